"""One scheduling pass over the pending jobs, which places the tasks that fit."""

from __future__ import annotations

from collections.abc import Callable, Collection, Hashable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from ...planning import placement
from ...planning.best_effort import find_expensive_types
from ...planning.choice import choose_machine
from ...planning.fleet import Machine
from ...planning.machine_index import FitCheck, MachineIndex
from ...protocol import wire

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...lending.entitlement import Amounts
    from ...policy import Policy
    from ..jobs import JobRegistry
    from ..term import Term
    from .pending_queue import PendingJob
    from .preemption import Preemption

MAX_PLACEMENTS_PER_PASS = 400
"""Tasks that a pass may place: a large array on an idle fleet must not delay heartbeats and user
requests.
"""

MachineFilter = Callable[[Machine], bool]


class TaskPlacer(Protocol):
    """The part of the scheduler that a pass uses."""

    jobs: JobRegistry
    preemption: Preemption
    policy: Policy
    term: Term

    def has_hint(self, job: Job) -> bool:
        """Whether a machine has been chosen for the job's next task."""

    def take_hinted_machine(
        self, job: Job, excluded_zones: Collection[str], is_available: MachineFilter | None
    ) -> Machine | None:
        """Returns the machine chosen for the job's next task, if the task fits there."""

    def place_task(self, job: Job, machine: Machine) -> None:
        """Places the job's next task."""

    def make_availability_filter(self, job: Job) -> MachineFilter | None:
        """Returns a filter of machines whose capacity isn't reserved against the job; None: all."""

    def compute_reserved(self, job: Job) -> Amounts:
        """Returns how much of its team's limit the job must leave to other jobs of its team."""

    def place_gang(self, job: Job, index: MachineIndex, *, is_overdue: bool) -> int:
        """Places all due tasks of a gang, or none; returns how many were placed.

        `is_overdue`: the gang may also use capacity that is reserved for GPU tasks.
        """


class _SearchKey(NamedTuple):
    """Equal for requests that may use the same machines and leave the same reserves on them."""

    constraints: Hashable
    is_overdue: bool
    """Whether the job has waited so long that it may also use slow machines and capacity that is
    reserved for GPU tasks.
    """


class _TaskRequest(NamedTuple):
    """A search for a machine for a job's next task."""

    job: Job
    excluded_zones: frozenset[str]
    key: _SearchKey
    is_available: MachineFilter | None
    """A filter of machines whose capacity isn't reserved against the job; None: all."""


class SchedulingPass:
    """Places tasks in the order of the queue; within a pass, free capacity only decreases."""

    def __init__(
        self,
        scheduler: TaskPlacer,
        *,
        index: MachineIndex,
        with_gained_capacity: MachineIndex,
        infeasible: placement.InfeasibleRequests,
        now: float,
    ) -> None:
        """Prepares a pass over the machines of `index`.

        `infeasible`: requests that found no capacity in earlier passes. They search only
        `with_gained_capacity`, the machines with more free capacity than in the last pass.
        """
        self._scheduler = scheduler
        self._jobs = scheduler.jobs
        self._preemption = scheduler.preemption
        self._policy = scheduler.policy
        self._term = scheduler.term
        self._index = index
        self._with_gained_capacity = with_gained_capacity
        self._has_gained_capacity = len(with_gained_capacity) > 0
        self._now = now
        self._infeasible_before = infeasible
        self._infeasible = placement.InfeasibleRequests()
        """Requests that found no capacity in this pass; equal and larger ones are not searched."""
        self._best_effort_filters: dict[int, MachineFilter] = {}
        """By job number, a filter of the machines that the best-effort job may use."""
        self._preempted_for: set[Hashable] = set()
        """Job shapes, with their keys, for which tasks were preempted in this pass."""
        self._placed_count = 0

    @property
    def is_full(self) -> bool:
        """Whether the pass has placed as many tasks as a pass may place."""
        return self._placed_count >= MAX_PLACEMENTS_PER_PASS

    def run(self, queue: list[PendingJob]) -> placement.InfeasibleRequests:
        """Places the tasks that fit; returns the requests that are known to find no capacity."""
        infeasible_keys: set[Hashable] = set()
        backoff_until = self._jobs.backoff_until
        for _, job, equivalence_class in list(queue):
            if self.is_full:
                break
            key = equivalence_class, self._jobs.find_excluded_zones(job)
            if key in infeasible_keys and not self._scheduler.has_hint(job):
                continue
            if not job.pending_count or backoff_until.get(job.number, 0.0) > self._now:
                continue
            if not self._place_job(job) and equivalence_class is not None:
                # Zones are read again: placing some of the job's tasks may have excluded more.
                infeasible_keys.add((equivalence_class, self._jobs.find_excluded_zones(job)))
        # Requests that did not search in this pass have not examined the machines that gained
        # capacity.
        return self._infeasible if self._has_gained_capacity else self._infeasible_before

    def _place_job(self, job: Job) -> bool:
        """Places the job's pending tasks; False: one, or an equivalent one, finds no capacity.

        A suspect job runs at most one task at a time.
        """
        if job.spec.job_kind == wire.GANG:
            self._placed_count += self._scheduler.place_gang(
                job, self._index, is_overdue=self._is_overdue(job)
            )
            return True
        if job.number in self._jobs.suspect_jobs:
            return bool(job.placements) or self._try_suspect(job)
        return self._place_tasks(job)

    def _try_suspect(self, job: Job) -> bool:
        """Places one task without preemption, as it is likely to fail; False: over the limit."""
        is_available = self._scheduler.make_availability_filter(job)
        if not self._jobs.is_within_limit(job.spec, 1, self._scheduler.compute_reserved(job)):
            return False
        request = self._make_request(job, is_available)
        machine = self._find_machine(request, None)
        if machine is not None:
            self._place_task(job, machine)
        return True

    def _place_tasks(self, job: Job) -> bool:
        is_available = self._scheduler.make_availability_filter(job)
        reserved = self._scheduler.compute_reserved(job)
        machine: Machine | None = None
        while job.pending_count and not self.is_full:
            if not self._jobs.is_within_limit(job.spec, 1, reserved):
                return False
            request = self._make_request(job, is_available)
            machine = self._find_machine(request, machine)
            if machine is None:
                self._preempt(request)
                return False
            self._place_task(job, machine)
        return True

    def _place_task(self, job: Job, machine: Machine) -> None:
        self._scheduler.place_task(job, machine)
        self._placed_count += 1

    def _make_request(self, job: Job, is_available: MachineFilter | None) -> _TaskRequest:
        spec = job.spec
        excluded_zones = self._jobs.find_excluded_zones(job)
        constraints = (
            spec.machine_types,
            spec.zone,
            spec.spot,
            spec.job_kind,
            self._jobs.queue.get_precedence(job),
            bool(spec.gpus),
            excluded_zones,
        )
        key = _SearchKey(constraints, self._is_overdue(job))
        return _TaskRequest(job, excluded_zones, key, is_available)

    def _is_overdue(self, job: Job) -> bool:
        return self._now - job.pending_since > self._preemption.get_overdue_after_s(job)

    # Finding a machine

    def _find_machine(self, request: _TaskRequest, previous: Machine | None) -> Machine | None:
        """Returns a machine for the task; `previous`: the machine of the job's previous task."""
        job, excluded_zones, key, is_available = request
        machine = self._scheduler.take_hinted_machine(job, excluded_zones, is_available)
        if machine is None and previous is not None and previous.zone not in excluded_zones:
            machine = self._reuse_machine(previous, request)
        if machine is None and not self._infeasible.covers(key, job.spec):
            machine = self._search(request)
        return machine

    def _reuse_machine(self, machine: Machine, request: _TaskRequest) -> Machine | None:
        """Returns the machine of the previous task, if it can hold one more task of an array.

        It scored best in a sample, and scores even better with less free capacity.
        """
        spec = request.job.spec
        if spec.job_kind != wire.ARRAY:
            return None
        fits = FitCheck(
            spec, self._get_gpu_reservations_for(request), self._make_machine_filter(request)
        )
        return machine if fits(machine, self._term.machine_types[machine.machine_type]) else None

    def _search(self, request: _TaskRequest) -> Machine | None:
        """Chooses a machine; for a known infeasible request, among those that gained capacity."""
        spec = request.job.spec
        was_infeasible = self._infeasible_before.covers(request.key, spec)
        machine = choose_machine(
            spec,
            request.job.number,
            self._with_gained_capacity if was_infeasible else self._index,
            self._get_gpu_reservations_for(request),
            self._policy.sample,
            request.excluded_zones,
            self._make_machine_filter(request),
        )
        if machine is None:
            self._infeasible.add(request.key, spec)
            if not (was_infeasible or self._has_gained_capacity):
                self._infeasible_before.add(request.key, spec)
        return machine

    def _get_gpu_reservations_for(self, request: _TaskRequest) -> placement.GpuReservations | None:
        """Returns the reservations for GPU tasks that the task must leave free; None: none."""
        return None if request.key.is_overdue else self._jobs.gpu_reservations

    def _make_machine_filter(self, request: _TaskRequest) -> MachineFilter | None:
        """Returns a filter of machines in addition to the job's own constraints; None: all."""
        is_worth_using = self._get_best_effort_filter(request)
        is_available = request.is_available
        if is_worth_using is None or is_available is None:
            return is_worth_using or is_available
        return lambda machine: is_worth_using(machine) and is_available(machine)

    def _get_best_effort_filter(self, request: _TaskRequest) -> MachineFilter | None:
        """Returns a filter of machines that are worth using for the job; None: all are."""
        job = request.job
        if not job.spec.is_best_effort or request.key.is_overdue:
            return None
        if job.number not in self._best_effort_filters:
            self._best_effort_filters[job.number] = self._make_best_effort_filter(request)
        return self._best_effort_filters[job.number]

    def _make_best_effort_filter(self, request: _TaskRequest) -> MachineFilter:
        """Returns a filter without expensive machines that would be kept for this job alone."""
        expensive_types = find_expensive_types(
            request.job.spec,
            self._term.machine_types,
            self._jobs.gpu_reservations,
            self._policy.best_effort_price,
        )

        def is_worth_using(machine: Machine) -> bool:
            return bool(machine.non_best_effort_count) or (
                (machine.machine_type, machine.spot) not in expensive_types
            )

        return is_worth_using

    def _make_eligibility_filter(self, request: _TaskRequest) -> MachineFilter | None:
        """Returns a filter of machines on which the task may be placed once it fits; None: all.

        Stopping tasks on another machine would be futile.
        """
        is_worth_using = self._get_best_effort_filter(request)
        if request.job.spec.job_kind == wire.SERVICE or request.key.is_overdue:
            return is_worth_using
        return lambda machine: (
            not machine.is_slow and (is_worth_using is None or is_worth_using(machine))
        )

    # Preemption

    def _preempt(self, request: _TaskRequest) -> None:
        """Preempts other tasks for the job's next task, unless that is known to be futile.

        Jobs without spread preempt for one task of a shape per pass. Which tasks may be preempted
        can also depend on the team, through the equivalence key.
        """
        job = request.job
        key = request.key.constraints, self._preemption.get_equivalence_key(job)
        if self._preemption.is_infeasible(key, job.spec) or (job.shape, key) in self._preempted_for:
            return
        is_preempting = self._preemption.preempt_for_task(
            job, key, request.excluded_zones, self._make_eligibility_filter(request)
        )
        if is_preempting and not job.spec.spread:
            self._preempted_for.add((job.shape, key))
