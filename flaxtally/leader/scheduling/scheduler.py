"""Which task goes to which machine: when passes are made, and what a placement does."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...ledger.records import TaskPlaced
from ...planning import placement
from ...planning.machine_index import Fit, MachineIndex
from ...protocol import wire
from ..gang_scheduling.gang_reservations import GangReservations
from ..jobs import MAX_BACKLOG, JobRegistry
from ..reconciliation.attempt_finisher import EndReason
from ..term import Term, TermActor
from .preemption import Preemption
from .scheduling_pass import SchedulingPass

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Hashable

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..reclaim.quota_reclaim import QuotaReclaim
    from ..reconciliation.reconciler import Reconciler
    from .pending_queue import PendingJob

log = logging.getLogger(__name__)

PASSES_A_HEARTBEAT = 8
"""At most."""
SHORTEST_WAIT_S = 0.002


class Scheduler(TermActor):
    """Owns the passes over the queue and the index of the machines that may be used."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        tracker: Reconciler,
        orders: CommandSender,
        gangs: GangScheduler,
        lending: QuotaReclaim,
    ) -> None:
        super().__init__(term)
        self.quota_reclaim = lending
        lending.find_room = lambda job: self.preemption.find_room(job, self._index)
        self.jobs, self.reconciler, self.commands, self.gang_scheduler = (
            jobs,
            tracker,
            orders,
            gangs,
        )
        self.preemption = Preemption(term, jobs, orders, gangs, lending)
        self.gang_reservations = GangReservations(term, jobs)
        self.looked = 0
        """Machines that the scheduler looked at, in all."""
        self._pass_requested = False
        self._next_pass = 0.0
        self.hints: dict[tuple[int, int], str] = {}
        """Where moved tasks are to go."""
        self._full = placement.Exhausted()
        """Who found no room in the passes up to now; only where there is more now they look again.
        """
        self._index = self._empty_index()
        self._indexed_kinds: Hashable = None
        self._needs = jobs.gpu_reservations
        self._grown: dict[str, Machine] = {}
        """Machines with more room than in the last pass."""
        term.pass_requests.subscribe(self.request_pass)

    def request_pass(self) -> None:
        if not self._pass_requested and self.term.active:
            self._pass_requested = True
            wait = self._next_pass - self.runtime.now()
            self.later(max(SHORTEST_WAIT_S, wait), self._schedule)

    def _schedule(self) -> None:
        self._pass_requested = False
        if not self.term.may_act or not self.term.machine_types:
            return
        if self.ledger.backlog > MAX_BACKLOG:
            self._request_pass_later()
            return
        now = self.runtime.now()
        queue = self.jobs.queue.ordered_jobs()
        is_full = bool(queue) and self._pass(queue, now)
        ended = self.runtime.now()
        rest = max(
            self.policy.pass_rest * (ended - now), self.policy.heartbeat / PASSES_A_HEARTBEAT
        )
        self._next_pass = ended + rest
        if is_full:
            self.request_pass()

    def _pass(self, queue: list[PendingJob], now: float) -> bool:
        """Places what can be placed of all that waits; whether it ended before all were tried.

        Who found no room in an earlier pass looks only where there is more now.
        """
        freed = self.preemption.begin_pass() | self.gang_reservations.ended()
        self._take_up_changes()
        for name in freed:
            machine = self.fleet.machines.get(name)
            if machine is not None:
                self._grown[name] = machine
        if self.jobs.gpu_reservations != self._needs:
            # What GPU tasks need beside their GPUs decides about room: all look everywhere.
            self._needs, self._full = self.jobs.gpu_reservations, placement.Exhausted()
        grown = self._empty_index(by_image=False)
        for machine in self._grown.values():
            grown.update(machine)
        self._grown = {}
        one_pass = SchedulingPass(self, self._index, grown, now)
        looked = self._index.looked
        self._full = one_pass.run(queue, self._full)
        self.looked += self._index.looked - looked + grown.looked
        return one_pass.is_full

    # The index

    def _empty_index(self, by_image: bool = True) -> MachineIndex:
        return MachineIndex(
            self.term.machine_types, self.rng, self.reconciler.is_schedulable, by_image
        )

    def _take_up_changes(self) -> None:
        """Brings the index up to date with what happened to machines."""
        kinds = self.term.machine_types
        if self._index.machine_types is not kinds:
            sizes = tuple(
                (kind.name, kind.cores, kind.gpus, kind.memory_gb) for kind in kinds.values()
            )
            if sizes != self._indexed_kinds:
                self._indexed_kinds, self._full = sizes, placement.Exhausted()
                self._index = self._empty_index()
                self.fleet.changed_machines.update(dict.fromkeys(self.fleet.machines.values()))
            self._index.machine_types = kinds
        changed = self.fleet.changed_machines
        while changed:
            machine, _ = changed.popitem()
            if self._index.update(machine):
                self._grown[machine.name] = machine

    def reconcile(self) -> None:
        """Looks at all machines anew: some become usable, or not, by time alone."""
        for machine in self.fleet.machines.values():
            if self.reconciler.is_schedulable(machine) != (machine in self._index):
                machine.mark_changed()

    # Placing

    def has_hint(self, job: Job) -> bool:
        """Whether it is said where the job's next task is to go."""
        hinted = bool(self.hints) and (job.number, job.next_pending_task()) in self.hints
        return hinted or self.quota_reclaim.room_for(job) is not None

    def hinted(
        self, job: Job, shut: Collection[str], keep: Callable[[Machine], bool] | None
    ) -> Machine | None:
        """Where the job's next task was moved to, or room was recalled, if it can go there."""
        hint = self.hints.pop((job.number, job.next_pending_task()), "")
        machine = self.fleet.machines.get(hint) or self.quota_reclaim.room_for(job)
        if machine is None or not self.reconciler.is_schedulable(machine) or machine.zone in shut:
            return None
        kind, spec = self.term.machine_types[machine.machine_type], job.spec
        fits = Fit(spec, self.jobs.gpu_reservations, keep)
        allowed = placement.allowed(spec, kind, machine.zone, machine.spot)
        return machine if allowed and fits(machine, kind) else None

    def place_gang(self, job: Job, index: MachineIndex, overdue: bool) -> int:
        if not self.gang_scheduler.is_due(job):
            return 0
        count = self.gang_scheduler.place_gang(job, index, not overdue, self.keep_for(job))
        if count:
            self.preemption.gang_placed(job)
            self.gang_reservations.placed(job)
            self._take_up_changes()
        elif not job.placements and self.jobs.is_within_limit(job.spec, job.spec.tasks):
            self._make_gang_room(job, index, overdue)
        return count

    def _make_gang_room(self, job: Job, index: MachineIndex, overdue: bool) -> None:
        """Stops others for the gang, or keeps new work off machines that it can use in a while."""
        if not self.preemption.make_gang_room(job, index) and overdue:
            self.gang_reservations.hold(job, index)

    def keep_for(self, job: Job) -> Callable[[Machine], bool] | None:
        """Whether a machine's room is kept neither for somebody more important nor for a gang."""
        rules = (
            self.preemption.unclaimed_by(wire.RANKS[job.spec.rank]),
            self.gang_reservations.free_for(job),
            self.quota_reclaim.free_for(job),
        )
        kept = [accepts for accepts in rules if accepts is not None]
        if len(kept) < 2:
            return kept[0] if kept else None
        return lambda machine: all(accepts(machine) for accepts in kept)

    def place(self, job: Job, machine: Machine) -> None:
        """Proposes the placement of the job's next task; it is launched once that is committed."""
        task = job.next_pending_task()
        attempt = job.attempts.get(task, 0) + 1
        now = self.runtime.now()

        def committed() -> None:
            if job.placements.get(task) is not placed:
                # Its machine was released meanwhile.
                return
            placed.is_committed = True
            if job.is_cancelled:
                # Cancelled between proposal and commit: it was never launched, so it is over.
                self.reconciler.attempts.finish_attempt(placed, EndReason.CANCELLED_BEFORE_LAUNCH)
            else:
                self.commands.launch_task(placed)

        self.ledger.propose(
            TaskPlaced(job.number, task, attempt, machine.name, machine.zone), committed
        )
        placed: Placement = job.placements[task]
        placed.proposed_at = job.pending_since = now
        machine.add_placement(placed)
        self.preemption.placed((job.number, task))
        self.quota_reclaim.placed(job, machine)
        self._take_up_changes()

    # Passes that nothing asks for

    def _request_pass_later(self) -> None:
        self.later(self.policy.retry, self.request_pass)

    def wake(self) -> None:
        """A pass for jobs that were held back and no longer are."""
        now = self.runtime.now()
        held = self.jobs.backoff
        if any(now < until < now + 2 * self.policy.retry for until in held.values()):
            self._request_pass_later()
        self.jobs.backoff = {
            no: until for no, until in held.items() if until > now - self.policy.settle
        }
