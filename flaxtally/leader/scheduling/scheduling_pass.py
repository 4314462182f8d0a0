"""One pass over the pending jobs: what can be placed is placed."""

from __future__ import annotations

from collections.abc import Callable, Collection, Hashable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from ...planning import placement
from ...planning.best_effort import find_expensive_types
from ...planning.choice import choose
from ...planning.fleet import Machine
from ...planning.machine_index import Fit, MachineIndex
from ...protocol import wire

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...policy import Policy
    from ..jobs import JobRegistry
    from ..term import Term
    from .pending_queue import PendingJob
    from .preemption import Preemption

MAX_PLACEMENTS = 400
"""Tasks per pass: one large array on an idle fleet must not hold up heartbeats and users."""

MachineFilter = Callable[[Machine], bool]


class TaskPlacer(Protocol):
    """What a pass needs of the scheduler."""

    jobs: JobRegistry
    preemption: Preemption
    policy: Policy
    term: Term

    def has_hint(self, job: Job) -> bool:
        """Whether a machine is chosen for the job's next task."""

    def take_hinted_machine(
        self, job: Job, excluded_zones: Collection[str], is_available: MachineFilter | None
    ) -> Machine | None:
        """Returns the machine chosen for the job's next task, if that can still go there."""

    def place_task(self, job: Job, machine: Machine) -> None:
        """Places the job's next task."""

    def availability_filter(self, job: Job) -> MachineFilter | None:
        """Returns a filter of machines whose capacity isn't reserved against the job; None: all."""

    def place_gang(self, job: Job, index: MachineIndex, *, is_overdue: bool) -> int:
        """Places all that is due of a gang, or nothing; returns how many tasks.

        `is_overdue`: it takes any capacity, like other jobs that have waited for long.
        """


class _SearchKey(NamedTuple):
    """Equal for requests that may use the same machines, and that reserve the same for others."""

    constraints: Hashable
    is_overdue: bool
    """The job has waited for long and takes any capacity: that of slow machines, and what is
    reserved for GPU tasks.
    """


class _TaskRequest(NamedTuple):
    """A search for a machine for a job's next task."""

    job: Job
    excluded_zones: frozenset[str]
    key: _SearchKey
    is_available: MachineFilter | None
    """Machines whose capacity isn't reserved against the job; None: all."""


class SchedulingPass:
    """Places tasks in the queue's order. Within a pass free capacity only shrinks."""

    def __init__(
        self,
        scheduler: TaskPlacer,
        *,
        index: MachineIndex,
        grown: MachineIndex,
        infeasible: placement.Exhausted,
        now: float,
    ) -> None:
        """Prepares a pass over the machines of `index`.

        `infeasible`: requests that found no capacity in earlier passes. They search only `grown`,
        the machines with more free capacity than in the last pass.
        """
        self._scheduler = scheduler
        self._jobs = scheduler.jobs
        self._preemption = scheduler.preemption
        self._policy = scheduler.policy
        self._term = scheduler.term
        self._index = index
        self._grown = grown
        self._has_grown = len(grown) > 0
        self._now = now
        self._infeasible_before = infeasible
        self._infeasible = placement.Exhausted()
        """Requests that found no capacity in this pass: the same ones and larger ones don't search.
        """
        self._best_effort_filters: dict[int, MachineFilter] = {}
        """By job, whether best-effort work may use a machine."""
        self._preempted_for: set[Hashable] = set()
        """Shapes of batch work for which others were preempted in this pass."""
        self._placed_count = 0

    @property
    def is_full(self) -> bool:
        """Whether the pass has placed as many tasks as one may."""
        return self._placed_count >= MAX_PLACEMENTS

    def run(self, queue: list[PendingJob]) -> placement.Exhausted:
        """Places what it can; returns the requests known to find no capacity from here on."""
        hopeless: set[Hashable] = set()
        backoff_until = self._jobs.backoff_until
        for _, job, equivalence_class in list(queue):
            if self.is_full:
                break
            key = equivalence_class, self._jobs.excluded_zones(job)
            if key in hopeless and not self._scheduler.has_hint(job):
                continue
            if not job.pending_count or backoff_until.get(job.number, 0.0) > self._now:
                continue
            if not self._place_job(job) and equivalence_class is not None:
                # With the zones excluded now: some of its tasks may have been placed.
                hopeless.add((equivalence_class, self._jobs.excluded_zones(job)))
        # Requests that did not search in this pass have not seen the machines that grew.
        return self._infeasible if self._has_grown else self._infeasible_before

    def _place_job(self, job: Job) -> bool:
        """Places the job's pending tasks; False: there is no capacity for one, nor for equivalents.

        Of a suspect job at most one task runs at a time.
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
        """Places one task, without preemption: it will likely fail. False: it is over the limit."""
        is_available = self._scheduler.availability_filter(job)
        if not self._jobs.is_within_limit(job.spec):
            return False
        request = self._request(job, is_available)
        machine = self._find_machine(request, None)
        if machine is not None:
            self._place_task(job, machine)
        return True

    def _place_tasks(self, job: Job) -> bool:
        is_available = self._scheduler.availability_filter(job)
        machine: Machine | None = None
        while job.pending_count and not self.is_full:
            if not self._jobs.is_within_limit(job.spec):
                return False
            request = self._request(job, is_available)
            machine = self._find_machine(request, machine)
            if machine is None:
                self._preempt(request)
                return False
            self._place_task(job, machine)
        return True

    def _place_task(self, job: Job, machine: Machine) -> None:
        self._scheduler.place_task(job, machine)
        self._placed_count += 1

    def _request(self, job: Job, is_available: MachineFilter | None) -> _TaskRequest:
        spec = job.spec
        excluded_zones = self._jobs.excluded_zones(job)
        constraints = (
            spec.machine_types,
            spec.zone,
            spec.spot,
            spec.job_kind,
            wire.RANKS[spec.rank],
            bool(spec.gpus),
            excluded_zones,
        )
        key = _SearchKey(constraints, self._is_overdue(job))
        return _TaskRequest(job, excluded_zones, key, is_available)

    def _is_overdue(self, job: Job) -> bool:
        return self._now - job.pending_since > self._preemption.patience_s(job)

    # Finding a machine

    def _find_machine(self, request: _TaskRequest, previous: Machine | None) -> Machine | None:
        """Returns a machine for the task; `previous`: that of the job's task placed before."""
        job, excluded_zones, key, is_available = request
        machine = self._scheduler.take_hinted_machine(job, excluded_zones, is_available)
        if machine is None and previous is not None and previous.zone not in excluded_zones:
            machine = self._reuse_machine(previous, request)
        if machine is None and not self._infeasible.covers(key, job.spec):
            machine = self._search(request)
        return machine

    def _reuse_machine(self, machine: Machine, request: _TaskRequest) -> Machine | None:
        """Returns the machine of the task before, if it can hold one more task of an array.

        It was the best of a sample, and is more so the less capacity it has left.
        """
        spec = request.job.spec
        if spec.job_kind != wire.ARRAY:
            return None
        fits = Fit(spec, self._gpu_reservations_for(request), self._machine_filter(request))
        return machine if fits(machine, self._term.machine_types[machine.machine_type]) else None

    def _search(self, request: _TaskRequest) -> Machine | None:
        """Chooses a machine; where the request is known as infeasible, among those that grew."""
        spec = request.job.spec
        was_infeasible = self._infeasible_before.covers(request.key, spec)
        machine = choose(
            spec,
            request.job.number,
            self._grown if was_infeasible else self._index,
            self._gpu_reservations_for(request),
            self._policy.sample,
            request.excluded_zones,
            self._machine_filter(request),
        )
        if machine is None:
            self._infeasible.add(request.key, spec)
            if not (was_infeasible or self._has_grown):
                self._infeasible_before.add(request.key, spec)
        return machine

    def _gpu_reservations_for(self, request: _TaskRequest) -> placement.GpuNeeds | None:
        """Returns what the task must leave for GPU tasks; None: nothing."""
        return None if request.key.is_overdue else self._jobs.gpu_reservations

    def _machine_filter(self, request: _TaskRequest) -> MachineFilter | None:
        """Returns which machines the job may use, beside its own constraints; None: all."""
        job = request.job
        if not job.spec.is_best_effort or request.key.is_overdue:
            return request.is_available
        if job.number not in self._best_effort_filters:
            self._best_effort_filters[job.number] = self._best_effort_filter(request)
        return self._best_effort_filters[job.number]

    def _best_effort_filter(self, request: _TaskRequest) -> MachineFilter:
        """Returns a filter without expensive machines that would stay up for this job alone."""
        is_available = request.is_available
        expensive_types = find_expensive_types(
            request.job.spec,
            self._term.machine_types,
            self._jobs.gpu_reservations,
            self._policy.best_effort_price,
        )

        def is_worth_using(machine: Machine) -> bool:
            if (
                not machine.non_best_effort_count
                and (machine.machine_type, machine.spot) in expensive_types
            ):
                return False
            return is_available is None or is_available(machine)

        return is_worth_using

    # Preemption

    def _preempt(self, request: _TaskRequest) -> None:
        """Preempts others for the job's next task, where that is due.

        Batch work preempts for one task of a shape at a time. For services, who may be preempted
        depends on the team too, while it is within its quota.
        """
        job = request.job
        key = request.key.constraints, self._preemption.equivalence_key(job)
        if self._preemption.is_infeasible(key, job.spec) or (job.shape, key) in self._preempted_for:
            return
        is_preempting = self._preemption.preempt_for(job, key, request.excluded_zones)
        if is_preempting and not job.spec.spread:
            self._preempted_for.add((job.shape, key))
