"""The preemption policy where teams lend each other unused quota."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor
from .quota_budget import QuotaBudget

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ..jobs import JobRegistry
    from ..reclaim.open_reclaims import OpenReclaims
    from ..reclaim.quota_accounting import QuotaAccounting
    from ..reclaim.reclaim_admission import ReclaimAdmission
    from ..reclaim.reclaimed_capacity import ReclaimedCapacity
    from .preemption_policy import PreemptionBudget, PreemptionRequest
    from .reservations import Reservations, TaskKey

OVERDUE_RECLAIM_FRACTION = 0.5
"""The fraction of the reclaim deadline after which an entitled job also uses capacity that is
reserved for GPU tasks.
"""


class LendingPolicy(TermActor):
    """Protects tasks within their team's quota; borrowed capacity goes to teams within theirs."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        quota_accounting: QuotaAccounting,
        admission: ReclaimAdmission,
        open_reclaims: OpenReclaims,
        reclaimed_capacity: ReclaimedCapacity,
    ) -> None:
        """The queue of `jobs` knows the precedence of jobs.

        `reclaimed_capacity` knows the zones in which capacity is being reclaimed.
        """
        super().__init__(term)
        self._jobs = jobs
        self._quota_accounting = quota_accounting
        self._admission = admission
        self._open_reclaims = open_reclaims
        self._reclaimed_capacity = reclaimed_capacity
        self._borrowers: frozenset[str] = frozenset()
        """The teams that borrow, as of this pass, so that a search examines only their tasks."""

    def begin_pass(self) -> None:
        """Determines which teams borrow."""
        self._borrowers = self._quota_accounting.find_borrowers()

    def is_entitled(self, job: Job) -> bool:
        """Whether the job's next task, or the whole gang, is within its team's quota."""
        return self._quota_accounting.is_entitled(job)

    def get_equivalence_key(self, job: Job) -> Hashable:
        """Returns a key with the team: other rules hold for its own tasks than for other teams'."""
        return job.spec.team, self.is_entitled(job)

    def get_gang_equivalence_key(self, job: Job) -> Hashable:
        """Returns the same key as for other jobs."""
        return self.get_equivalence_key(job)

    def may_preempt_for_gang(self, job: Job) -> bool:
        """Whether the rank is above that of batch jobs, or the gang is within its team's quota."""
        return wire.RANKS[job.spec.rank] < wire.RANKS["standard"] or self.is_entitled(job)

    def is_reclaim(self, request: PreemptionRequest, victims: Collection[Placement]) -> bool:
        """Whether another team's tasks are stopped for a job within its team's quota."""
        return request.is_entitled and any(
            placed.job.spec.team != request.spec.team for placed in victims
        )

    def record_demand(self, job: Job) -> None:
        """Sets the reclaim deadline of the job."""
        self._admission.record_demand(job)

    def find_next_preemptor(self, job: Job, reservations: Reservations) -> TaskKey | None:
        """Returns the next pending task for which no reclaim or preemption is open."""
        reclaimed_count = self._open_reclaims.count_tasks_for(job)
        preempting_tasks = reservations.list_preempting_tasks(job)
        if reclaimed_count + len(preempting_tasks) >= job.pending_count:
            return None
        pending = itertools.chain(
            heapq.nsmallest(len(preempting_tasks) + 1, job.retry_queue),
            range(job.next_unstarted_task, job.spec.tasks),
        )
        return next(((job.number, task) for task in pending if task not in preempting_tasks), None)

    def find_excluded_zones(self, job: Job, zones: Collection[str]) -> Collection[str]:
        """Returns the zones; counts tasks for which capacity is being reclaimed as placed."""
        return self._reclaimed_capacity.find_excluded_zones(job)

    def is_preemptible(self, placed: Placement, request: PreemptionRequest) -> bool:
        """Whether the task may be stopped, if its team keeps its quota (see `QuotaBudget`).

        Within a team, rank decides. Replicas of higher rank are not reclaimed: they are serving
        requests, and the autoscaler provisions machines for the pending job.
        """
        other, spec = placed.job.spec, request.spec
        rank, other_rank = wire.RANKS[spec.rank], wire.RANKS[other.rank]
        if other.team == spec.team:
            return other_rank > rank
        if other.job_kind == wire.SERVICE and other_rank < rank:
            return False
        if not request.is_entitled and not self._may_preempt_by_rank(placed, request):
            return False
        is_borrowed = other.team in self._borrowers and not self._admission.was_reclaimed(placed)
        return is_borrowed or self._open_reclaims.will_stop(placed)

    def _may_preempt_by_rank(self, placed: Placement, request: PreemptionRequest) -> bool:
        """Whether the job outranks another team's task, and would not be overtaken by it again.

        Only a reclaim keeps its capacity from jobs that precede.
        """
        outranks = wire.RANKS[placed.job.spec.rank] > wire.RANKS[request.spec.rank]
        return outranks and request.precedence < self._jobs.queue.get_precedence(placed.job)

    def is_last_resort(self, placed: Placement, spec: wire.Spec) -> bool:
        """Whether the task is a replica of another team."""
        other = placed.job.spec
        return other.job_kind == wire.SERVICE and other.team != spec.team

    def make_budget(self, spec: wire.Spec) -> PreemptionBudget:
        """Returns a budget of what the other teams use beyond their quotas."""

        def is_unprotected(placed: Placement) -> bool:
            is_own_team = placed.job.spec.team == spec.team
            return is_own_team or self._open_reclaims.will_stop(placed)

        return QuotaBudget(self._quota_accounting.make_reclaim_budget(), is_unprotected)

    def get_overdue_after_s(self, job: Job) -> float:
        """Returns `keep_patience`, or less for a job within its team's quota."""
        if self._quota_accounting.is_entitled(job):
            return min(self.policy.keep_patience, self.policy.recall * OVERDUE_RECLAIM_FRACTION)
        return self.policy.keep_patience

    def ignores_gpu_reservations(self, request: PreemptionRequest) -> bool:
        """Whether the job is overdue."""
        return request.now - request.job.pending_since > self.get_overdue_after_s(request.job)
