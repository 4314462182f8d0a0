"""Gangs under the leader: they are placed, launched, replaced, stopped and given up as a whole."""

from __future__ import annotations

import logging
import math
from dataclasses import replace
from typing import TYPE_CHECKING

from ...gangs.gang_capacity import (
    GangMachines,
    GangMachineSearch,
    MachineFilter,
    choose_machines_for_gang,
    choose_machines_for_missing,
)
from ...gangs.lifecycle import (
    Action,
    GangStatus,
    GangTimeouts,
    Phase,
    build_gang_status,
    decide_action,
    derive_phase,
)
from ...ledger import cluster_state as records
from ...protocol import formats, wire
from ..reconciliation.attempt_finisher import EndReason
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.cluster_state import Job, Placement
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..commands import CommandSender
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)

FETCH_SHARE = 0.8
"""Of `gang_wait_s`, and of a wait aim: a gang whose last image takes longer would be late."""


class _Attempt:
    """What this leader knows of a gang's attempt beside the ledger."""

    __slots__ = (
        "has_run",
        "is_broken",
        "is_done",
        "launched_at",
        "lost_on",
        "number",
        "stop_leeway",
        "stopped_at",
    )

    def __init__(self, number: int, now: float) -> None:
        self.number = number
        self.launched_at = now
        self.has_run = self.is_broken = self.is_done = False
        self.stopped_at: float | None = None
        self.stop_leeway = 0.0
        self.lost_on: set[str] = set()
        """Machines that may still list a task of the attempt that is over there."""


class GangScheduler(TermActor):
    """Owns the attempts of gangs in this term.

    An attempt is one batch of records: it is committed whole or not at all, and nothing of it is
    launched before. The next attempt begins when no task of the last one is on a machine any more.
    """

    def __init__(self, term: Term, jobs: JobRegistry, orders: CommandSender) -> None:
        super().__init__(term)
        self.jobs, self.commands = jobs, orders
        self._times = GangTimeouts(self.settings.gang_wait_s, self.settings.gang_peer_s)
        self._begin_within = {
            aim.job_class: aim.within
            for aim in self.settings.objectives
            if aim.kind == "wait" and aim.job_class is not None and aim.within
        }
        self._attempts: dict[int, _Attempt] = {}
        self._no_room: dict[int, float] = {}
        """Gangs for which there was no room, and when to look again."""
        self.finish_attempt: Callable[[Placement, EndReason], None] = lambda *_: None
        """Says that a placement is proven over. The tracker, which owns the proofs, sets it."""

    # Placing

    def is_due(self, job: Job) -> bool:
        """Whether room for the gang may be sought: not again right after there was none."""
        no_room_until = self._no_room.get(job.number, 0.0)
        return self.ledger.state.format >= formats.GANGS and no_room_until <= self.runtime.now()

    def place_gang(
        self, job: Job, index: MachineIndex, needs: bool, keep: MachineFilter | None
    ) -> int:
        """Places what is due of a gang, all of it or nothing; returns how many tasks.

        `needs`: what GPU tasks need beside their GPUs is kept for them.
        """
        now = self.runtime.now()
        step = self._next_step(job)
        if step not in (Action.PLACE, Action.REPLACE):
            return 0
        missing = [task for task in range(job.spec.tasks) if task not in job.placements]
        choice = self._choose(job, len(missing), index, needs, keep)
        if choice is not None:
            attempt = job.newest_attempt + (step is Action.PLACE)
            self._reserve(job, attempt, missing, choice.machines)
            return len(missing)
        self._no_room[job.number] = now + self.policy.retry
        if step is Action.REPLACE:
            self._abandon(job, "no room for a lost task")
        return 0

    def _choose(
        self, job: Job, count: int, index: MachineIndex, needs: bool, keep: MachineFilter | None
    ) -> GangMachines | None:
        if not self.jobs.is_within_limit(job.spec, count):
            return None
        gpu_needs = self.jobs.gpu_reservations if needs else None
        search = GangMachineSearch(job.spec, job.number, index, gpu_needs, self.policy.sample, keep)
        longest = FETCH_SHARE * self._times.wait_s
        if not job.placements:
            return self._choose_all(search, longest)
        lost_on = self._attempt_of(job).lost_on

        def keep_others(machine: Machine) -> bool:
            return machine.name not in lost_on and (keep is None or keep(machine))

        search = replace(search, machine_filter=keep_others)
        return choose_machines_for_missing(
            search, count, self.fleet.zones, job.zone_counts, longest
        )

    def _choose_all(self, search: GangMachineSearch, longest: float) -> GangMachines | None:
        """Machines for all tasks; where the images would be late, GPU machines too.

        What these keep for GPU tasks is taken for a gang's short time: images are there sooner.
        """
        choice = choose_machines_for_gang(search, self.fleet.zones, longest)
        soon = FETCH_SHARE * self._begin_within.get(search.spec.job_class, math.inf)
        if search.gpu_needs is None or (choice is not None and choice.fetch_s <= soon):
            return choice
        if soon == math.inf:
            return choice
        sooner = choose_machines_for_gang(replace(search, gpu_needs=None), self.fleet.zones, soon)
        return sooner or choice

    def _reserve(self, job: Job, attempt: int, tasks: list[int], machines: list[Machine]) -> None:
        """Proposes the placements together; they are launched when the last is committed."""
        now = self.runtime.now()
        placed: list[Placement] = []
        self.ledger.propose_batch(
            [
                [records.PLACED, job.number, task, attempt, machine.name, machine.zone]
                for task, machine in zip(tasks, machines, strict=True)
            ],
            lambda: self._committed(job, placed),
        )
        for task, machine in zip(tasks, machines, strict=True):
            placement = job.placements[task]
            placement.proposed_at = now
            placed.append(placement)
            machine.add_placement(placement)
        job.pending_since = now
        known = self._attempts.get(job.number)
        if known is None or known.number != attempt:
            self._attempts[job.number] = _Attempt(attempt, now)
        log.info(
            "event=gang_placed term=%d job=%s attempt=%d tasks=%d of=%d queued=%.2f",
            self.term.number,
            job.spec.ref,
            attempt,
            len(tasks),
            job.spec.tasks,
            now - job.known_at,
        )

    def _committed(self, job: Job, placed: list[Placement]) -> None:
        left = [each for each in placed if job.placements.get(each.task) is each]
        for each in left:
            each.is_committed = True
        attempt = self._attempt_of(job)
        given_up = job.is_cancelled or attempt.is_broken or attempt.stopped_at is not None
        if len(job.placements) == job.spec.tasks and not given_up:
            for each in left:
                self.commands.launch_task(each)
            return
        # A machine was released meanwhile, or it was called off: nothing of it was launched.
        for each in left:
            self.finish_attempt(each, EndReason.WITHDRAWN_BEFORE_LAUNCH)
        self.evaluate(job)

    # What happens to an attempt

    def on_task_running(self, placed: Placement) -> None:
        """A task of a gang was reported as running."""
        attempt = self._attempt_of(placed.job)
        if not attempt.has_run:
            attempt.has_run = True
            log.info(
                "event=gang_running term=%d job=%s attempt=%d after=%.2f",
                self.term.number,
                placed.job.spec.ref,
                placed.attempt,
                self.runtime.now() - placed.job.known_at,
            )

    def on_task_ended(self, placed: Placement, done: bool, cause: str) -> None:
        """A task of a gang is proven over, by that cause."""
        job = placed.job
        if placed.attempt == job.newest_attempt:
            self._attempt_of(job).lost_on.add(placed.machine)
        if done and not self._attempt_of(job).is_done:
            self._attempt_of(job).is_done = True
            log.info(
                "event=gang_done term=%d job=%s attempt=%d",
                self.term.number,
                job.spec.ref,
                placed.attempt,
            )
        elif not done and cause in (wire.CAUSE_PEERS, wire.CAUSE_ALONE):
            # What is left of the attempt exits too: waiting for it would only take time.
            self._attempt_of(job).is_broken = True
        self._no_room.pop(job.number, None)
        self.evaluate(job)

    def evaluate(self, job: Job) -> None:
        """Gives the attempt up if it can't be completed any more."""
        if job.placements and self._next_step(job) is Action.ABANDON:
            self._abandon(job, "a task is gone")

    def watch(self) -> None:
        """Repeats orders to stop that were not carried out; forgets gangs that are over."""
        self._look_again()
        for no in list(self._attempts):
            job = self.jobs.live_jobs.get(no)
            if job is None:
                del self._attempts[no]
                self._no_room.pop(no, None)
        for job in list(self.jobs.live_jobs.values()):
            if job.spec.job_kind == wire.GANG and job.placements and not job.is_terminal:
                self._take_up_stop(job)
                self.evaluate(job)
                self._repeat_stops(job)

    def _look_again(self) -> None:
        """A pass for gangs that found no room a while ago: nothing else may ask for one."""
        now = self.runtime.now()
        waiting = {no: until for no, until in self._no_room.items() if until > now}
        if len(waiting) < len(self._no_room):
            self._no_room = waiting
            self.term.request_pass()

    def _take_up_stop(self, job: Job) -> None:
        """Goes on with a stop that an earlier leader began: all tasks must be told in time."""
        saving = any(placed.state == wire.FLUSHING for placed in job.placements.values())
        if saving and len(job.placements) == job.spec.tasks:
            self.stop_gang(job, "an earlier leader began it")

    def phase(self, job: Job) -> Phase:
        """Where the gang stands."""
        return derive_phase(self._situation(job))

    # Stopping

    def can_stop(self, job: Job) -> bool:
        """Whether all tasks can be told to save in time: their machines answer."""
        return self.phase(job) in (Phase.WAITING, Phase.RUNNING) and all(
            self._hears(placed) for placed in job.placements.values()
        )

    def preemption_cost(self, job: Job) -> float:
        """Seconds of work, of all tasks together, that a stop of the gang throws away."""
        now, spec = self.runtime.now(), job.spec
        ran = [
            now - placed.started_at
            for placed in job.placements.values()
            if placed.started_at is not None
        ]
        if not ran:
            return 0.0
        return len(ran) * spec.checkpoint_save_s if spec.checkpoint_interval_s else sum(ran)

    def stop_gang(self, job: Job, why: str) -> None:
        """Tells all tasks to save and exit: one decision for the whole gang."""
        attempt = self._attempt_of(job)
        if attempt.stopped_at is not None or attempt.is_broken:
            return
        attempt.stopped_at = self.runtime.now()
        attempt.stop_leeway = job.spec.checkpoint_save_s if job.spec.checkpoint_interval_s else 0.0
        log.info(
            "event=gang_stop term=%d job=%s attempt=%d why=%r",
            self.term.number,
            job.spec.ref,
            attempt.number,
            why,
        )
        for placed in job.placements.values():
            self.commands.stop_task(placed, attempt.stop_leeway)

    def on_preemption_notice(self, job: Job, notice: float) -> None:
        """A machine of the gang is taken by the cloud in `notice` seconds."""
        saves = (
            job.spec.checkpoint_interval_s
            and job.spec.checkpoint_save_s + self._times.peer_s < notice
        )
        phase = self.phase(job)
        if phase in (Phase.LAUNCHING, Phase.WAITING) or (phase is Phase.RUNNING and saves):
            self.stop_gang(job, "a machine is taken")

    def _abandon(self, job: Job, why: str) -> None:
        attempt = self._attempt_of(job)
        if attempt.is_broken and attempt.stopped_at is None and self._all_told(job):
            return
        log.info(
            "event=gang_abandoned term=%d job=%s attempt=%d left=%d ran=%s why=%r",
            self.term.number,
            job.spec.ref,
            attempt.number,
            len(job.placements),
            attempt.has_run,
            why,
        )
        attempt.is_broken, attempt.stopped_at, attempt.stop_leeway = True, None, 0.0
        for placed in job.placements.values():
            if placed.is_committed:
                self.commands.stop_task(placed, 0.0)

    @staticmethod
    def _all_told(job: Job) -> bool:
        return all(placed.stopping_at is not None for placed in job.placements.values())

    def _repeat_stops(self, job: Job) -> None:
        attempt, now = self._attempt_of(job), self.runtime.now()
        if not attempt.is_broken and attempt.stopped_at is None:
            return
        for placed in job.placements.values():
            saving = placed.state == wire.FLUSHING and not attempt.is_broken
            if (
                saving
                or not placed.is_committed
                or (placed.launches_in_flight and not placed.was_reported)
            ):
                # An unanswered launch is repeated first: only a task that is seen can be proven
                # over.
                continue
            if now - placed.command_sent_at > self.policy.retry:
                self.commands.stop_task(placed, attempt.stop_leeway)

    # What is known

    def _attempt_of(self, job: Job) -> _Attempt:
        newest = job.newest_attempt
        attempt = self._attempts.get(job.number)
        if attempt is None or attempt.number != newest:
            # Of an earlier term: what its tasks did is learnt from reports.
            attempt = self._attempts[job.number] = _Attempt(newest, self.term.began_at)
        return attempt

    def _situation(self, job: Job) -> GangStatus:
        attempt, now = self._attempt_of(job), self.runtime.now()
        stopped = attempt.stopped_at
        return build_gang_status(
            job,
            attempt.has_run,
            attempt.is_broken,
            None if stopped is None else now - stopped,
            now - attempt.launched_at,
        )

    def _next_step(self, job: Job) -> Action:
        return decide_action(self._situation(job), self._times, job.spec.checkpoint_save_s)

    def _hears(self, placed: Placement) -> bool:
        machine = self.fleet.machines.get(placed.machine)
        return (
            machine is not None
            and placed.was_reported
            and not machine.is_unresponsive
            and self.runtime.now() - machine.last_heartbeat_at < self.policy.machine_suspect
        )
