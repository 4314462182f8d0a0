"""The rules of preemption: by rank alone or, where lending is enabled, by quota too.

`PreemptionPolicy` is their interface. `RankPolicy` implements it without lending, and
`lending_policy.LendingPolicy` with it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ...lending.entitlement import ReclaimBudget
from ...protocol import wire
from ..term import Term, TermActor
from .quota_budget import QuotaBudget

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from ..reclaim.quota_accounting import QuotaAccounting
    from .precedence import Precedence
    from .preemption_cost import PreemptionCost
    from .reservations import Reservations, TaskKey
    from .scheduling_pass import MachineFilter


@dataclass(frozen=True, slots=True)
class PreemptionRequest:
    """A search for tasks that can be stopped for the next task of a job."""

    job: Job
    spec: wire.Spec
    precedence: Precedence
    """The job's precedence over others."""
    is_entitled: bool
    """Whether the job's next task is entitled to capacity that others use beyond their quota."""
    now: float
    is_eligible: MachineFilter | None = None
    """A filter of machines on which the job may be placed once they have capacity; None: all."""


class PreemptionBudget(Protocol):
    """Limits the tasks of each team that one decision, which may stop several, can stop."""

    def try_take(self, placed: Placement) -> bool:
        """Whether the task may be stopped in addition to those taken; if so, counts it as taken."""


class PreemptionPolicy(Protocol):
    """Decides which tasks may be stopped for which jobs; stops nothing itself."""

    def begin_pass(self) -> None:
        """Prepares for a new scheduling pass."""

    def is_entitled(self, job: Job) -> bool:
        """Whether the job's next task is entitled to what others use beyond their quota."""

    def get_equivalence_key(self, job: Job) -> Hashable:
        """Returns a key that is equal for jobs for which the same tasks may be stopped."""

    def get_gang_equivalence_key(self, job: Job) -> Hashable:
        """Returns the equivalence key of a gang."""

    def may_preempt_for_gang(self, job: Job) -> bool:
        """Whether tasks may be stopped for a whole gang."""

    def is_reclaim(self, request: PreemptionRequest, victims: Collection[Placement]) -> bool:
        """Whether stopping the victims reclaims borrowed quota, which must be recorded first."""

    def record_demand(self, job: Job) -> None:
        """Records that the job is entitled to capacity and found none."""

    def find_next_preemptor(self, job: Job, reservations: Reservations) -> TaskKey | None:
        """Returns the pending task to preempt for next; None: capacity is being freed for all."""

    def find_excluded_zones(self, job: Job, zones: Collection[str]) -> Collection[str]:
        """Returns the zones where nothing may be stopped for the job.

        `zones`: those where the job may have no more tasks.
        """

    def is_preemptible(self, placed: Placement, request: PreemptionRequest) -> bool:
        """Whether the task may be stopped, as far as the budget allows."""

    def is_last_resort(self, placed: Placement, spec: wire.Spec) -> bool:
        """Whether the task is stopped only if stopping all others does not free enough."""

    def make_budget(self, spec: wire.Spec) -> PreemptionBudget:
        """Returns the budget of one decision for a job."""

    def get_overdue_after_s(self, job: Job) -> float:
        """Returns how long a job waits before it also uses capacity reserved for GPU tasks."""

    def ignores_gpu_reservations(self, request: PreemptionRequest) -> bool:
        """Whether the job may preempt for capacity that is reserved for GPU tasks."""


class RankPolicy(TermActor):
    """Preempts for jobs that precede others, without lending: by rank, or by a team's quota.

    A job within its team's quota also preempts tasks of any rank that another team runs beyond its
    quota, if little work is lost. A job over its team's quota preempts no task within another's.
    """

    def __init__(
        self, term: Term, jobs: JobRegistry, cost: PreemptionCost, commands: CommandSender
    ) -> None:
        """The queue of `jobs` knows the jobs over their team's quota.

        `commands` knows the tasks that were commanded to stop.
        """
        super().__init__(term)
        self._jobs = jobs
        self._cost = cost
        self._commands = commands

    def begin_pass(self) -> None:
        """Does nothing, since the policy keeps no state."""

    def is_entitled(self, job: Job) -> bool:
        """Whether the demand of the job's team up to and including this job is within its quota."""
        return job.number not in self._jobs.queue.jobs_over_quota

    def get_equivalence_key(self, job: Job) -> Hashable:
        """Returns the team within its quota; otherwise None, since the team does not matter."""
        return job.spec.team if self.is_entitled(job) else None

    def get_gang_equivalence_key(self, job: Job) -> Hashable:
        """Returns None: ranks alone decide for a gang, and its shape contains its rank."""

    def may_preempt_for_gang(self, job: Job) -> bool:
        """Whether the rank is above that of batch jobs."""
        return wire.RANKS[job.spec.rank] < wire.RANKS["standard"]

    def is_reclaim(self, request: PreemptionRequest, victims: Collection[Placement]) -> bool:
        """Returns False, since nothing is lent."""
        return False

    def record_demand(self, job: Job) -> None:
        """Does nothing, since there is no reclaim deadline."""

    def find_next_preemptor(self, job: Job, reservations: Reservations) -> TaskKey | None:
        """Returns the job's next pending task; preempts for one task at a time."""
        if reservations.list_preempting_tasks(job):
            return None
        return job.number, job.next_pending_task()

    def find_excluded_zones(self, job: Job, zones: Collection[str]) -> Collection[str]:
        """Returns `zones`."""
        return zones

    def is_preemptible(self, placed: Placement, request: PreemptionRequest) -> bool:
        """Whether the job precedes the task's, and the rank or the quota gives it the right.

        A task that was placed within its team's quota counts as within it for jobs that are over
        theirs, also after further jobs of its team were accepted: each of these would otherwise
        give the others the right to stop it again.
        """
        other, spec = placed.job.spec, request.spec
        if not request.precedence < self._jobs.queue.get_precedence(placed.job):
            return False
        if wire.RANKS[other.rank] > wire.RANKS[spec.rank]:
            return other.team == spec.team or not (
                request.precedence.is_over_quota and placed.was_placed_within_quota
            )
        return (
            other.team != spec.team
            and other.job_kind != wire.SERVICE
            and self._cost.estimate_lost_work_s(placed, request.now) < self.policy.settle
        )

    def is_last_resort(self, placed: Placement, spec: wire.Spec) -> bool:
        """Returns False, since cost alone decides the order."""
        return False

    def make_budget(self, spec: wire.Spec) -> PreemptionBudget:
        """Returns a budget of what other teams use beyond their quotas.

        A lower rank may be stopped in any case.
        """
        rank = wire.RANKS[spec.rank]

        def is_unprotected(placed: Placement) -> bool:
            is_lower_rank = wire.RANKS[placed.job.spec.rank] > rank
            return is_lower_rank or placed.stopping_at is not None

        usage_not_stopping = self._commands.stopping_tasks.compute_usage_not_stopping
        return QuotaBudget(ReclaimBudget(self.term.get_quota, usage_not_stopping), is_unprotected)

    def get_overdue_after_s(self, job: Job) -> float:
        """Returns `keep_patience`."""
        return self.policy.keep_patience

    def ignores_gpu_reservations(self, request: PreemptionRequest) -> bool:
        """Returns False."""
        return False


class PreemptionPolicies:
    """Selects the policy in force, since lending may be enabled within a term."""

    def __init__(
        self,
        by_rank: PreemptionPolicy,
        with_lending: PreemptionPolicy,
        quota_accounting: QuotaAccounting,
    ) -> None:
        """`quota_accounting` knows whether lending is enabled."""
        self._by_rank = by_rank
        self._with_lending = with_lending
        self._quota_accounting = quota_accounting

    @property
    def current(self) -> PreemptionPolicy:
        """The policy in force now."""
        return self._with_lending if self._quota_accounting.is_enabled else self._by_rank
