"""Runs scheduling passes when they are due, and carries out placements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...ledger.records import TaskPlaced
from ...planning import placement
from ...planning.machine_index import FitCheck
from ..gang_scheduling.gang_reservations import GangReservations
from ..jobs import MAX_UNCOMMITTED_RECORDS, JobRegistry
from ..reconciliation.attempt_finisher import EndReason
from ..term import Term, TermActor
from .availability import Availability
from .scheduling_pass import SchedulingPass

if TYPE_CHECKING:
    from collections.abc import Collection

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...lending.entitlement import Amounts
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..reconciliation.reconciler import Reconciler
    from .pending_queue import PendingJob
    from .preemption_parts import PreemptionParts
    from .reservations import TaskKey
    from .scheduling_pass import MachineFilter

MAX_PASSES_PER_HEARTBEAT = 8
"""The most passes that run within one heartbeat interval."""
MIN_PASS_DELAY_S = 0.002
"""Delay of a pass after a request, so that several requests in a row lead to one pass."""


class Scheduler(TermActor):
    """Owns the scheduling passes over the pending queue."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        reconciler: Reconciler,
        commands: CommandSender,
        gang_scheduler: GangScheduler,
        preemption_parts: PreemptionParts,
    ) -> None:
        """Subscribes to the term's requests for a pass."""
        super().__init__(term)
        self.jobs = jobs
        self.reconciler = reconciler
        self.commands = commands
        self.gang_scheduler = gang_scheduler
        self.preemption = preemption_parts.preemption
        self._quota_reclaim = preemption_parts.quota_reclaim
        self._reclaimed_capacity = preemption_parts.reclaimed_capacity
        self._reservations = preemption_parts.reservations
        self._availability = Availability(term, self._reservations, self._reclaimed_capacity)
        self.gang_reservations = GangReservations(term, jobs, self._reservations)
        self.examined_count = 0
        """The number of machines that passes have examined."""
        self.hints: dict[TaskKey, str] = {}
        """The name of the machine on which a task that is moved should be placed."""
        self._is_pass_requested = False
        self._next_pass_at = 0.0
        self._machines = preemption_parts.machines
        self._infeasible = placement.InfeasibleRequests()
        """Requests that found no capacity; they search only machines that gained capacity."""
        self._gpu_reservations = jobs.gpu_reservations
        """The reservations that the last pass used."""
        term.pass_requests.subscribe(self.request_pass)

    # Passes

    def request_pass(self) -> None:
        """Runs a pass soon, unless one is already due."""
        if not self._is_pass_requested and self.term.active:
            self._is_pass_requested = True
            delay_s = self._next_pass_at - self.runtime.now()
            self.later(max(MIN_PASS_DELAY_S, delay_s), self._schedule)

    def _schedule(self) -> None:
        self._is_pass_requested = False
        if not self.term.may_act or not self.term.machine_types:
            return
        if self.ledger.backlog > MAX_UNCOMMITTED_RECORDS:
            self._request_pass_later()
            return
        began_at = self.runtime.now()
        queue = self.jobs.queue.get_ordered_jobs()
        is_unfinished = bool(queue) and self._run_pass(queue, began_at)
        ended_at = self.runtime.now()
        self._next_pass_at = ended_at + self._compute_pass_backoff_s(ended_at - began_at)
        if is_unfinished:
            self.request_pass()

    def _compute_pass_backoff_s(self, pass_s: float) -> float:
        """Returns the delay before the next pass, given the duration of the last one."""
        return max(self.policy.pass_rest * pass_s, self.policy.heartbeat / MAX_PASSES_PER_HEARTBEAT)

    def _run_pass(self, queue: list[PendingJob], now: float) -> bool:
        """Places what fits; returns whether the pass ended before it had tried all jobs."""
        freed_machines = self.preemption.begin_pass()
        if self._machines.apply_changes():
            self._infeasible = placement.InfeasibleRequests()
        self._machines.mark_capacity_gained(freed_machines)
        if self.jobs.gpu_reservations != self._gpu_reservations:
            # They decide which capacity other tasks may use, so all requests must search all
            # machines again.
            self._gpu_reservations = self.jobs.gpu_reservations
            self._infeasible = placement.InfeasibleRequests()
        index = self._machines.index
        with_gained_capacity = self._machines.take_machines_with_gained_capacity()
        examined_before = index.examined_count
        scheduling_pass = SchedulingPass(
            self,
            index=index,
            with_gained_capacity=with_gained_capacity,
            infeasible=self._infeasible,
            now=now,
        )
        self._infeasible = scheduling_pass.run(queue)
        self.examined_count += (
            index.examined_count - examined_before + with_gained_capacity.examined_count
        )
        return scheduling_pass.is_full

    def _request_pass_later(self) -> None:
        self.later(self.policy.retry, self.request_pass)

    def resume_backed_off_jobs(self) -> None:
        """Requests a pass if a job's back-off ends soon; drops those that ended long ago."""
        now = self.runtime.now()
        backoff_until = self.jobs.backoff_until
        if any(now < until < now + 2 * self.policy.retry for until in backoff_until.values()):
            self._request_pass_later()
        self.jobs.backoff_until = {
            number: until
            for number, until in backoff_until.items()
            if until > now - self.policy.settle
        }

    # Moves of replicas

    @property
    def machines_with_reservations(self) -> frozenset[str]:
        """The names of machines with reserved capacity, which must not be emptied meanwhile."""
        return self._reservations.machine_names

    def move_task(self, placed: Placement, machine: Machine) -> None:
        """Stops a task so that it is placed on the machine, whose capacity is reserved for it."""
        self.hints[placed.job.number, placed.task] = machine.name
        self.preemption.reserve_for_move(placed, machine)
        self.commands.stop_task(placed, 0.0)

    # Machines

    def refresh_machines(self) -> None:
        """Updates machines whose schedulability changed through passing time alone."""
        self._machines.refresh()

    # Machine hints and filters

    def has_hint(self, job: Job) -> bool:
        """Whether a machine has been chosen for the job's next task."""
        is_hinted = bool(self.hints) and (job.number, job.next_pending_task()) in self.hints
        return is_hinted or self._find_freed_machine(job) is not None

    def _find_freed_machine(self, job: Job) -> Machine | None:
        """Returns a machine on which tasks were stopped for the job and have left."""
        return self._reclaimed_capacity.find_freed_machine(
            job
        ) or self._reservations.find_ready_machine(job)

    def take_hinted_machine(
        self, job: Job, excluded_zones: Collection[str], is_available: MachineFilter | None
    ) -> Machine | None:
        """Returns the machine chosen for the job's next task, if the task fits there.

        It was chosen for a move of the task, or other tasks were stopped there.
        """
        hint = self.hints.pop((job.number, job.next_pending_task()), "")
        machine = self.fleet.machines.get(hint) or self._find_freed_machine(job)
        if machine is None or machine.zone in excluded_zones:
            return None
        if not self.reconciler.is_schedulable(machine):
            return None
        spec = job.spec
        machine_type = self.term.machine_types[machine.machine_type]
        fits = FitCheck(spec, self.jobs.gpu_reservations, is_available)
        is_allowed = placement.may_use_machine_type(spec, machine_type, machine.zone, machine.spot)
        return machine if is_allowed and fits(machine, machine_type) else None

    def make_availability_filter(self, job: Job) -> MachineFilter | None:
        """Returns a filter of machines whose capacity isn't reserved against the job.

        Capacity may be reserved for a job that precedes it or is equal, or by a reclaim.
        """
        return self._availability.make_filter(job)

    def compute_reserved(self, job: Job) -> Amounts:
        """Returns how much of its team's limit the job must leave to other jobs of its team."""
        return self._reservations.compute_reserved_for_team(job)

    # Placements

    def place_gang(self, job: Job, index: MachineIndex, *, is_overdue: bool) -> int:
        """Places all due tasks of a gang, or none; returns how many were placed."""
        if not self.gang_scheduler.is_due(job):
            return 0
        # A replacement of a lost task may use what is left: otherwise the whole gang would stop.
        if not job.placements and not self.jobs.is_within_limit(
            job.spec, job.spec.tasks, self.compute_reserved(job)
        ):
            return 0
        count = self.gang_scheduler.place_gang(
            job, index, self.make_availability_filter(job), reserve_for_gpus=not is_overdue
        )
        if count:
            self.preemption.on_gang_placed(job)
            self.gang_reservations.on_gang_placed(job)
            self._machines.apply_changes()
        elif not job.placements:
            self._make_capacity_for_gang(job, index, is_overdue=is_overdue)
        return count

    def _make_capacity_for_gang(self, job: Job, index: MachineIndex, *, is_overdue: bool) -> None:
        """Preempts other tasks for the gang, or reserves machines that it can use later."""
        if not self.preemption.preempt_for_gang(job) and is_overdue:
            self.gang_reservations.reserve_machines(job, index)

    def place_task(self, job: Job, machine: Machine) -> None:
        """Proposes the placement of the job's next task, which is launched after its commit."""
        task = job.next_pending_task()
        attempt = job.attempts.get(task, 0) + 1
        now = self.runtime.now()

        def on_committed() -> None:
            self._launch_if_current(placed)

        self.ledger.propose(
            TaskPlaced(job.number, task, attempt, machine.name, machine.zone), on_committed
        )
        placed: Placement = job.placements[task]
        placed.proposed_at = now
        job.pending_since = now
        machine.add_placement(placed)
        self._reservations.on_task_placed(placed)
        self._quota_reclaim.on_task_placed(job, machine)
        self._machines.apply_changes()

    def _launch_if_current(self, placed: Placement) -> None:
        """Launches a task after the commit, unless its job is cancelled or its machine lost."""
        job = placed.job
        if not placed.is_current:
            # The machine was removed before the commit.
            return
        placed.is_committed = True
        if job.is_cancelled:
            # Cancelled between proposal and commit: the task was never launched, so the attempt
            # is finished.
            self.reconciler.attempt_finisher.finish_attempt(
                placed, EndReason.CANCELLED_BEFORE_LAUNCH
            )
        else:
            self.commands.launch_task(placed)
