"""Who may be stopped for whom: by rank alone, or, where lending is enabled, by quota too.

`PreemptionPolicy` is what preemption asks. `RankPolicy` is the null policy of lending; the other is
`lending_policy.LendingPolicy`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ..jobs import JobRegistry
    from ..reclaim.quota_accounting import QuotaAccounting
    from .preemption_cost import PreemptionCost
    from .reservations import TaskKey
    from .served_tasks import ServedTasks


@dataclass(frozen=True, slots=True)
class PreemptionRequest:
    """A search for tasks to stop for one of a job."""

    job: Job
    spec: wire.Spec
    is_entitled: bool
    """The job's next task has a right to capacity that others use beyond their quota."""
    now: float


class PreemptionBudget(Protocol):
    """What one decision may take from each team, which may stop several tasks."""

    def try_take(self, placed: Placement) -> bool:
        """Whether the task may be stopped beside those taken before; then it counts as taken."""


class PreemptionPolicy(Protocol):
    """The rules of preemption; they decide, and stop nothing."""

    def begin_pass(self) -> None:
        """A scheduling pass begins."""

    def is_entitled(self, job: Job) -> bool:
        """Whether the job's next task has a right to what others use beyond their quota."""

    def equivalence_key(self, job: Job) -> Hashable:
        """Equal for jobs for which the same tasks may be stopped."""

    def gang_equivalence_key(self, job: Job) -> Hashable:
        """The same for a gang."""

    def may_preempt_for_gang(self, job: Job) -> bool:
        """Whether tasks may be stopped for all of a gang."""

    def is_reclaim(self, request: PreemptionRequest, victims: Collection[Placement]) -> bool:
        """Whether to stop these is a reclaim of borrowed quota, which must be recorded first."""

    def record_demand(self, job: Job) -> None:
        """The job is entitled to capacity and found none."""

    def next_unserved_task(self, job: Job, served: ServedTasks, now: float) -> TaskKey | None:
        """The pending task to preempt for next; None: capacity is being made for all of them."""

    def excluded_zones(self, job: Job, zones: Collection[str]) -> Collection[str]:
        """Where nothing may be stopped for the job; `zones`: where it may have no more tasks."""

    def is_preemptible(self, placed: Placement, request: PreemptionRequest) -> bool:
        """Whether the task may be stopped, as far as the budget allows."""

    def is_last_resort(self, placed: Placement, spec: wire.Spec) -> bool:
        """Whether the task is stopped only if all others do not make enough room."""

    def new_budget(self, spec: wire.Spec) -> PreemptionBudget:
        """The budget of one decision for a job."""

    def overdue_after_s(self, job: Job) -> float:
        """How long a job waits before it takes any capacity, also what is kept for GPU tasks."""

    def ignores_gpu_reservations(self, request: PreemptionRequest) -> bool:
        """Whether the job may be given what is kept for GPU tasks by stopping others."""


class UnlimitedBudget:
    """Takes any task: ranks alone decide."""

    def try_take(self, placed: Placement) -> bool:
        """Always true."""
        return True


class RankPolicy(TermActor):
    """Lower ranks are stopped for higher ones, without lending.

    A team within its quota also goes before what another team runs beyond its own, of which little
    may be lost.
    """

    def __init__(self, term: Term, jobs: JobRegistry, cost: PreemptionCost) -> None:
        """`jobs`: its queue knows the jobs beyond their team's quota."""
        super().__init__(term)
        self._jobs = jobs
        self._cost = cost
        self._budget = UnlimitedBudget()

    def begin_pass(self) -> None:
        """Nothing is kept from pass to pass."""

    def is_entitled(self, job: Job) -> bool:
        """Whether all demand of the job's team up to this job is within the quota."""
        return job.number not in self._jobs.queue.jobs_over_quota

    def equivalence_key(self, job: Job) -> Hashable:
        """The team matters only within its quota."""
        return job.spec.team if self.is_entitled(job) else None

    def gang_equivalence_key(self, job: Job) -> Hashable:
        """Ranks alone decide for a gang, and its shape says its rank."""

    def may_preempt_for_gang(self, job: Job) -> bool:
        """Only ranks above that of batch work."""
        return wire.RANKS[job.spec.rank] < wire.RANKS["standard"]

    def is_reclaim(self, request: PreemptionRequest, victims: Collection[Placement]) -> bool:
        """Nothing is lent."""
        return False

    def record_demand(self, job: Job) -> None:
        """No deadline runs."""

    def next_unserved_task(self, job: Job, served: ServedTasks, now: float) -> TaskKey | None:
        """The job's next pending task: one at a time."""
        key = job.number, job.next_pending_task()
        return None if served.is_served(key, now) else key

    def excluded_zones(self, job: Job, zones: Collection[str]) -> Collection[str]:
        """No others than those in which the job may have no more tasks."""
        return zones

    def is_preemptible(self, placed: Placement, request: PreemptionRequest) -> bool:
        """Whether the task has a lower rank, or runs beyond its quota and loses little."""
        other, spec = placed.job.spec, request.spec
        return wire.RANKS[other.rank] > wire.RANKS[spec.rank] or (
            request.is_entitled
            and placed.job.number in self._jobs.queue.jobs_over_quota
            and other.team != spec.team
            and other.job_kind != wire.SERVICE
            and self._cost.of_task(placed, request.now) < self.policy.settle
        )

    def is_last_resort(self, placed: Placement, spec: wire.Spec) -> bool:
        """Cost alone decides about the order."""
        return False

    def new_budget(self, spec: wire.Spec) -> PreemptionBudget:
        """No team's quota protects its tasks."""
        return self._budget

    def overdue_after_s(self, job: Job) -> float:
        """The policy file's."""
        return self.policy.keep_patience

    def ignores_gpu_reservations(self, request: PreemptionRequest) -> bool:
        """Never by preemption."""
        return False


class PreemptionPolicies:
    """Chooses the policy: lending may become enabled within a term."""

    def __init__(
        self, by_rank: PreemptionPolicy, with_lending: PreemptionPolicy, quota: QuotaAccounting
    ) -> None:
        """`quota`: knows whether lending is enabled."""
        self._by_rank = by_rank
        self._with_lending = with_lending
        self._quota = quota

    @property
    def current(self) -> PreemptionPolicy:
        """The policy that holds now."""
        return self._with_lending if self._quota.is_enabled else self._by_rank
