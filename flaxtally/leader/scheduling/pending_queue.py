"""The queue of pending jobs, in the order in which they are placed."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING, NamedTuple

from ...lending.entitlement import NO_RESOURCES, Amounts, Quota, compute_amounts
from ...protocol import wire
from ..term import Term, TermActor
from .job_urgency import JobUrgency
from .precedence import Precedence

if TYPE_CHECKING:
    from collections.abc import Hashable

    from ...ledger.job import Job


class QueueKey(NamedTuple):
    """The sort key of the queue; its fields are compared in this order."""

    precedence: Precedence
    level: int
    """The index of the due time that the job is to meet, see `JobUrgency`."""
    latest_start_at: float
    """When the job must start to meet that due time."""
    number: int


class PendingJob(NamedTuple):
    """A job and its position in the queue."""

    key: QueueKey
    job: Job
    equivalence_class: int | None
    """Equal for jobs of which none finds capacity if one of them found none, as far as they may use
    the same zones; None: no other job is equivalent.
    """


class PendingQueue(TermActor):
    """Owns the jobs that may have pending tasks, and which jobs are over their team's quota.

    The order is computed again every half retry interval; in between new jobs are inserted.
    """

    def __init__(self, term: Term, live_jobs: dict[int, Job], suspect_jobs: set[int]) -> None:
        """Starts empty.

        `live_jobs`: the unfinished jobs; `suspect_jobs`: numbers of jobs that were likely submitted
        with a mistake.
        """
        super().__init__(term)
        self._live_jobs = live_jobs
        self._suspect_jobs = suspect_jobs
        self.jobs_over_quota: set[int] = set()
        """Numbers of the jobs that are over their team's quota, as of the last count."""
        self._pending: dict[int, Job] = {}
        """Jobs that may have pending tasks; examining all live jobs costs more than placing."""
        self._order: list[PendingJob] = []
        self._ordered_numbers: set[int] = set()
        self._ordered_at = float("-inf")
        self._equivalence_classes: dict[Hashable, int] = {}
        self._demand: dict[tuple[str, int], Amounts] = {}
        """Resources that each team's unfinished jobs of a rank need, as of the last count."""
        self._quotas: dict[str, Quota] = {}
        """The teams' quotas as of the last count."""
        self._urgency = JobUrgency(self.settings.objectives, self.policy)

    # Membership

    def restore(self, job: Job) -> None:
        """Adds a job that was accepted in an earlier term."""
        self._pending[job.number] = job

    def add(self, job: Job) -> None:
        """Adds a new job."""
        self._pending[job.number] = job
        self._count_demand(job)
        self._insert(job)

    def requeue(self, job: Job) -> None:
        """Adds the job unless it is in the queue: one of its tasks must be placed again."""
        if job.number not in self._pending:
            job.pending_since = self.runtime.now()
        self._pending[job.number] = job
        self._insert(job)

    def list_pending_jobs(self) -> list[Job]:
        """Returns the jobs with pending tasks, in no particular order."""
        finished = [number for number, job in self._pending.items() if not job.pending_count]
        for number in finished:
            del self._pending[number]
        return list(self._pending.values())

    # Order

    def get_ordered_jobs(self) -> list[PendingJob]:
        """Returns the jobs in the order of placement; some may have no pending tasks any more.

        Orders them by precedence; then jobs that can still meet a due time come first, the most
        urgent first, then older jobs.
        """
        if self.runtime.now() - self._ordered_at > self.policy.retry / 2:
            self._sort_queue(self.list_pending_jobs())
        return self._order

    def compute_urgency(self, job: Job, wall: float) -> tuple[int, float]:
        """Returns the index of the due time that the job is to meet, and its latest start."""
        return self._urgency.compute(job, wall)

    def _sort_queue(self, pending: list[Job]) -> None:
        self._equivalence_classes.clear()
        self._ordered_numbers = {job.number for job in pending}
        if not pending:
            # `_ordered_at` stays as it is: the next call sorts again.
            self._order = []
            return
        self._ordered_at = self.runtime.now()
        self._count_all_demand()
        deferrable = [job for job in pending if job.number not in self._suspect_jobs]
        self._urgency.choose_levels(deferrable, self._live_jobs.values(), self.runtime.wall())
        self._order = sorted(self._make_entry(job) for job in pending)

    def _insert(self, job: Job) -> None:
        if job.number not in self._ordered_numbers:
            self._ordered_numbers.add(job.number)
            insort(self._order, self._make_entry(job))

    def _make_entry(self, job: Job) -> PendingJob:
        level, latest_start_at = self._urgency.compute(job, self.runtime.wall())
        key = QueueKey(self.get_precedence(job), level, latest_start_at, job.number)
        return PendingJob(key, job, self._find_equivalence_class(job))

    def get_precedence(self, job: Job) -> Precedence:
        """Returns the job's precedence over others, as of the last count of the quotas."""
        return Precedence(job.number in self.jobs_over_quota, wire.RANKS[job.spec.rank])

    def _find_equivalence_class(self, job: Job) -> int | None:
        """Returns a number for the properties that decide where a task fits or may preempt."""
        spec = job.spec
        if spec.job_kind == wire.GANG or job.number in self._suspect_jobs:
            return None
        is_overdue = self.runtime.now() - job.pending_since > self.policy.keep_patience
        properties = (
            spec.job_kind,
            spec.rank,
            spec.team,
            (spec.cores, spec.gpus, spec.memory_gb),
            (spec.machine_types, spec.zone, spec.spot),
            spec.spread,
            job.number in self.jobs_over_quota,
            is_overdue,
            job.shape,
        )
        return self._equivalence_classes.setdefault(properties, len(self._equivalence_classes))

    # Quotas

    def _count_all_demand(self) -> None:
        """Determines which jobs are over quota; until the next call, only new jobs are added.

        A team's quota goes to its jobs of the highest ranks first, and within a rank to those that
        were accepted first: otherwise a job could precede one of a higher rank of its own team.
        """
        self._demand = {}
        self._quotas = {}
        self.jobs_over_quota = set()
        by_rank: list[list[Job]] = [[] for _ in wire.RANKS]
        for job in self._live_jobs.values():
            # Inlined: calling a property for each live job would cost as much as the count itself.
            if not (job.is_done or job.is_cancelled):
                by_rank[wire.RANKS[job.spec.rank]].append(job)
        for jobs in by_rank:
            for job in jobs:
                self._count_demand(job)

    def _count_demand(self, job: Job) -> None:
        """Adds the job's demand; it is over quota if that of its rank and higher ones is."""
        spec = job.spec
        rank = wire.RANKS[spec.rank]
        unfinished = compute_amounts(spec, spec.tasks - len(job.done_tasks))
        demand = self._demand.get((spec.team, rank), NO_RESOURCES).plus(unfinished)
        self._demand[spec.team, rank] = demand
        for higher_rank in range(rank):
            demand = demand.plus(self._demand.get((spec.team, higher_rank), NO_RESOURCES))
        quota = self._quotas.get(spec.team)
        if quota is None:
            quota = self._quotas[spec.team] = self.term.get_quota(spec.team)
        if not quota.covers(demand):
            self.jobs_over_quota.add(job.number)
