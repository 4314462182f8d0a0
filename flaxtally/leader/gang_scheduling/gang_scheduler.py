"""Places and launches gangs, replaces their lost tasks, and stops or abandons them as a whole."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...gangs.lifecycle import Action, Phase
from ...ledger.records import TaskPlaced
from ...protocol import formats, wire
from ..reconciliation.attempt_finisher import EndReason
from ..term import Term, TermActor
from .gang_attempts import GangAttempts
from .gang_machines import GangMachineChooser
from .gang_orphans import GangOrphans
from .gang_stops import GangStops

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ...gangs.gang_capacity import MachineFilter
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from ..launch_fence import LaunchFence

log = logging.getLogger(__name__)


class GangScheduler(TermActor):
    """Places gangs, and reacts to changes of their tasks.

    The placements of an attempt are one batch of records, committed as a whole or not at all, and
    no task is launched before the commit. The next attempt begins when no machine has a task of the
    previous one any more.
    """

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        commands: CommandSender,
        launch_fence: LaunchFence,
        finish_attempt: Callable[[Placement, EndReason], None],
    ) -> None:
        """`launch_fence`: fences off commands about tasks that are to be replaced.

        `finish_attempt`: called with a placement that was never launched, and the reason.

        It is provided by the reconciler, which decides when an attempt is proven to be finished.
        """
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._finish_attempt = finish_attempt
        self._attempts = GangAttempts(term)
        self.orphans = GangOrphans(term, launch_fence)
        self._machine_chooser = GangMachineChooser(term, jobs, self._attempts, self.orphans)
        self._stops = GangStops(term, commands, self._attempts)
        self._no_capacity_until: dict[int, float] = {}
        """When to search again for gangs for which there was no capacity, by job number."""

    # Placing

    def is_due(self, job: Job) -> bool:
        """Returns whether to search capacity for the gang; a failed search starts a back-off."""
        search_again_at = self._no_capacity_until.get(job.number, 0.0)
        return self.ledger.state.format >= formats.GANGS and search_again_at <= self.runtime.now()

    def place_gang(
        self,
        job: Job,
        index: MachineIndex,
        machine_filter: MachineFilter | None,
        *,
        reserve_for_gpus: bool,
    ) -> int:
        """Places all missing tasks of a gang or none, and returns how many it placed.

        `reserve_for_gpus`: what GPU tasks need besides their GPUs stays reserved for them.
        """
        now = self.runtime.now()
        action = self._attempts.decide_next_action(job)
        if action not in (Action.PLACE, Action.REPLACE):
            return 0
        missing = [task for task in range(job.spec.tasks) if task not in job.placements]
        chooser = self._machine_chooser
        search = chooser.make_search(job, index, machine_filter, reserve_for_gpus=reserve_for_gpus)
        choice = chooser.choose_machines(job, len(missing), search)
        if choice is not None:
            attempt = job.newest_attempt + (action is Action.PLACE)
            self._propose_placements(job, attempt, missing, choice.machines)
            return len(missing)
        self._no_capacity_until[job.number] = now + self.policy.retry
        if action is Action.REPLACE and not chooser.will_have_machines(job, len(missing), search):
            self._stops.abandon_gang(job, "no capacity for a lost task")
        return 0

    def _propose_placements(
        self, job: Job, attempt: int, tasks: list[int], machines: list[Machine]
    ) -> None:
        """Proposes the placements in one batch; they are launched once all are committed."""
        now = self.runtime.now()
        proposed: list[Placement] = []
        self.ledger.propose_batch(
            [
                TaskPlaced(job.number, task, attempt, machine.name, machine.zone)
                for task, machine in zip(tasks, machines, strict=True)
            ],
            lambda: self._on_committed(job, proposed),
        )
        for task, machine in zip(tasks, machines, strict=True):
            placed = job.placements[task]
            placed.proposed_at = now
            proposed.append(placed)
            machine.add_placement(placed)
        job.pending_since = now
        self._attempts.start_attempt(job, attempt)
        log.info(
            "event=gang_placed term=%d job=%s attempt=%d tasks=%d of=%d queued=%.2f",
            self.term.number,
            job.spec.ref,
            attempt,
            len(tasks),
            job.spec.tasks,
            now - job.known_at,
        )

    def _on_committed(self, job: Job, proposed: list[Placement]) -> None:
        current = [placed for placed in proposed if placed.is_current]
        for placed in current:
            placed.is_committed = True
        attempt = self._attempts.get_or_create_attempt(job)
        is_stopped_or_cancelled = (
            job.is_cancelled or attempt.is_broken or attempt.stopped_at is not None
        )
        if len(job.placements) == job.spec.tasks and not is_stopped_or_cancelled:
            for placed in current:
                self._commands.launch_task(placed)
            return
        # A machine was terminated meanwhile, or the gang was cancelled or stopped: none of these
        # placements was launched.
        for placed in current:
            self._finish_attempt(placed, EndReason.WITHDRAWN_BEFORE_LAUNCH)
        self._abandon_if_lost(job)

    # Changes of tasks and machines

    def on_task_running(self, placed: Placement) -> None:
        """Handles a report that a task of a gang is running."""
        attempt = self._attempts.get_or_create_attempt(placed.job)
        if not attempt.has_run:
            attempt.has_run = True
            log.info(
                "event=gang_running term=%d job=%s attempt=%d after=%.2f",
                self.term.number,
                placed.job.spec.ref,
                placed.attempt,
                self.runtime.now() - placed.job.known_at,
            )

    def on_task_finished(self, placed: Placement, cause: str, *, is_done: bool) -> None:
        """Handles a task of a gang that is proven to be finished; `cause`: the exit cause."""
        job = placed.job
        attempt = self._attempts.get_or_create_attempt(job)
        if placed.attempt == job.newest_attempt:
            attempt.machines_with_lost_tasks.add(placed.machine)
        if is_done and not attempt.is_done:
            attempt.is_done = True
            log.info(
                "event=gang_completed term=%d job=%s attempt=%d",
                self.term.number,
                job.spec.ref,
                placed.attempt,
            )
        elif not is_done and cause in (wire.CAUSE_PEER_LOST, wire.CAUSE_INCOMPLETE):
            # The other tasks of the attempt will exit too: waiting for them would only delay the
            # next attempt.
            attempt.is_broken = True
        self._no_capacity_until.pop(job.number, None)
        self._abandon_if_lost(job)

    def on_orphans_reported(self, machine: str, tasks: Collection[wire.TaskStatus]) -> None:
        """Handles the tasks that a machine reports although the log does not place them there."""
        self._on_machines_usable_again(self.orphans.update(machine, tasks))

    def on_token_raised(self) -> None:
        """Handles that machines will refuse the commands that were sent to them before."""
        self._on_machines_usable_again(self.orphans.on_token_raised())

    def _on_machines_usable_again(self, jobs: set[Job]) -> None:
        """Searches again for machines for gangs of which some may take a lost task now."""
        for job in jobs:
            self._no_capacity_until.pop(job.number, None)
            self.term.request_pass()

    def on_preemption_notice(self, job: Job, notice_s: float) -> None:
        """Handles the cloud's notice that it preempts a machine of the gang in `notice_s` seconds.

        Stops the gang unless its tasks run and can't save a checkpoint in time.
        """
        can_save = (
            job.spec.checkpoint_interval_s
            and job.spec.checkpoint_save_s + self._attempts.timeouts.peer_s < notice_s
        )
        phase = self._attempts.derive_phase_of(job)
        if phase in (Phase.LAUNCHING, Phase.WAITING) or (phase is Phase.RUNNING and can_save):
            self.stop_gang(job, "preemption notice")

    def check_gangs(self) -> None:
        """Repeats stop commands that were not executed; removes attempts of terminal gangs."""
        self._request_pass_for_waiting_gangs()
        for number in self._attempts.list_job_numbers():
            if number not in self._jobs.live_jobs:
                self._attempts.remove_attempt(number)
                self._no_capacity_until.pop(number, None)
        for job in list(self._jobs.live_jobs.values()):
            if job.spec.job_kind == wire.GANG and job.placements and not job.is_terminal:
                self._stops.resume_stop(job)
                self._abandon_if_lost(job)
                self._stops.repeat_stops(job)

    def _abandon_if_lost(self, job: Job) -> None:
        """Abandons the attempt if it can't complete any more."""
        if job.placements and self._attempts.decide_next_action(job) is Action.ABANDON:
            self._stops.abandon_gang(job, "a task was lost")

    def _request_pass_for_waiting_gangs(self) -> None:
        """Requests a scheduling pass once the back-off of a gang without capacity has ended.

        There may be no other event that causes a pass.
        """
        now = self.runtime.now()
        still_backing_off = {
            number: until for number, until in self._no_capacity_until.items() if until > now
        }
        if len(still_backing_off) < len(self._no_capacity_until):
            self._no_capacity_until = still_backing_off
            self.term.request_pass()

    # Stopping

    def can_stop(self, job: Job) -> bool:
        """Returns whether all tasks can be commanded to save in time: their machines reply."""
        return self._attempts.derive_phase_of(job) in (Phase.WAITING, Phase.RUNNING) and all(
            self._is_reachable(placed) for placed in job.placements.values()
        )

    def stop_gang(self, job: Job, reason: str) -> None:
        """Commands all tasks to save and exit: one decision for the whole gang."""
        self._stops.stop_gang(job, reason)

    def estimate_lost_work_s(self, job: Job) -> float:
        """Returns the seconds of work, summed over all tasks, that a stop of the gang discards."""
        now = self.runtime.now()
        spec = job.spec
        run_times_s = [
            now - placed.started_at
            for placed in job.placements.values()
            if placed.started_at is not None
        ]
        if not run_times_s:
            return 0.0
        if spec.checkpoint_interval_s:
            return len(run_times_s) * spec.checkpoint_save_s
        return sum(run_times_s)

    def _is_reachable(self, placed: Placement) -> bool:
        machine = self.fleet.machines.get(placed.machine)
        return (
            machine is not None
            and placed.was_reported
            and not machine.is_unresponsive
            and self.runtime.now() - machine.last_heartbeat_at < self.policy.machine_suspect
        )
