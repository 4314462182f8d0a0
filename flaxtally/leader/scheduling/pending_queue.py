"""The order in which waiting jobs are placed."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING, NamedTuple

from ...lending.entitlement import NOTHING, Amounts, Guarantee, amounts_of
from ...planning.urgency import Due, levels
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Hashable

    from ...ledger.job import Job

NO_DUE_TIME = 1000
"""The level of best-effort jobs that nobody expects by any time: after all others."""
BEGIN_SHARE = 0.7
"""Of the time within which an aim wants a class to begin: who still waits then goes first."""

Key = tuple[int, bool, int, float, int]
"""Rank, whether beyond the team's guarantee, due time to be met, latest start for it, number."""


class PendingJob(NamedTuple):
    """A job in its place in the queue."""

    key: Key
    job: Job
    alike: int | None
    """Equal for jobs of which none finds room where another found none, if they may use the same
    zones; None: it is like no other.
    """


class PendingQueue(TermActor):
    """Owns the jobs that may have waiting tasks, and who reaches beyond a guarantee.

    The order is reckoned anew every other retry; in between new jobs are put in their places.
    """

    def __init__(self, term: Term, live: dict[int, Job], suspects: set[int]) -> None:
        """`live`: the jobs that are not over; `suspects`: those likely submitted with a mistake."""
        super().__init__(term)
        self._live, self._suspects = live, suspects
        self.teams_over_quota: set[int] = set()
        """Jobs that reach beyond their team's guarantee, as of the last count."""
        self._waiting: dict[int, Job] = {}
        """Jobs that may have waiting tasks. A pass over all live jobs cost more than what it was
        for.
        """
        self._order: list[PendingJob] = []
        self._ordered: set[int] = set()
        self._ordered_at = float("-inf")
        self._alike_numbers: dict[Hashable, int] = {}
        self._demand: dict[str, Amounts] = {}
        """What each team's unfinished jobs take together, as of the last count."""
        self._guarantees: dict[str, Guarantee] = {}
        """The teams' guarantees as of the last count."""
        self._levels: dict[int, int] = {}
        """For which of its due times a waiting job is to be in time, where there is not room for
        all.
        """
        self._begin_within: dict[str, float] = {}
        self._finish_within: dict[str, list[float]] = {}
        self._late_times: dict[str, list[float]] = {}
        for aim in self.settings.objectives:
            if aim.kind == "deadline" and aim.job_class is not None and aim.times != 1.0:
                self._late_times.setdefault(aim.job_class, []).append(aim.times)
            if aim.kind == "wait" and aim.job_class is not None and aim.within:
                self._begin_within[aim.job_class] = min(
                    aim.within * BEGIN_SHARE, self.policy.begin_latest
                )
            if aim.kind == "finished" and aim.job_class is not None and aim.within:
                self._finish_within.setdefault(aim.job_class, []).append(aim.within)

    # Who waits

    def restore(self, job: Job) -> None:
        """A job that an earlier term accepted."""
        self._waiting[job.number] = job

    def add(self, job: Job) -> None:
        """A new job."""
        self._waiting[job.number] = job
        self._count_demand(job)
        self._put_in_order(job)

    def requeue(self, job: Job) -> None:
        """A task of the job is to be placed anew."""
        if job.number not in self._waiting:
            job.pending_since = self.runtime.now()
        self._waiting[job.number] = job
        self._put_in_order(job)

    def pending_jobs(self) -> list[Job]:
        """The jobs with waiting tasks, in no order."""
        over = [no for no, job in self._waiting.items() if not job.pending_count]
        for no in over:
            del self._waiting[no]
        return list(self._waiting.values())

    # Their order

    def ordered_jobs(self) -> list[PendingJob]:
        """Jobs in the order in which they are placed; some may have no waiting tasks any more.

        By rank, those within their team's guarantee first, then those that can still be in time,
        the most pressing of them first, then by age.
        """
        if self.runtime.now() - self._ordered_at > self.policy.retry / 2:
            self._order_anew(self.pending_jobs())
        return self._order

    def _order_anew(self, waiting: list[Job]) -> None:
        self._alike_numbers.clear()
        self._ordered = {job.number for job in waiting}
        if not waiting:
            # Whoever comes next is counted anew.
            self._order = []
            return
        self._ordered_at = self.runtime.now()
        self._count_all_demand()
        self._choose_levels(waiting)
        self._order = sorted(self._entry(job) for job in waiting)

    def _put_in_order(self, job: Job) -> None:
        if job.number not in self._ordered:
            self._ordered.add(job.number)
            insort(self._order, self._entry(job))

    def _entry(self, job: Job) -> PendingJob:
        level, latest = self.urgency(job, self.runtime.wall())
        beyond = job.number in self.teams_over_quota
        key = wire.RANKS[job.spec.rank], beyond, level, latest, job.number
        return PendingJob(key, job, self._alike(job, beyond, self.runtime.now()))

    def _alike(self, job: Job, beyond: bool, now: float) -> int | None:
        """A number for what decides whether a task finds room, or somebody to stop for it."""
        spec = job.spec
        if spec.job_kind == wire.GANG or job.number in self._suspects:
            return None
        overdue = now - job.pending_since > self.policy.keep_patience
        size = spec.cores, spec.gpus, spec.memory_gb
        where = spec.machine_types, spec.zone, spec.spot
        alike = (
            spec.job_kind,
            spec.rank,
            spec.team,
            size,
            where,
            spec.spread,
            beyond,
            overdue,
            job.shape,
        )
        return self._alike_numbers.setdefault(alike, len(self._alike_numbers))

    def _count_all_demand(self) -> None:
        """Counts anew who reaches beyond a guarantee; in between only new jobs are added."""
        self._demand, self._guarantees, self.teams_over_quota = {}, {}, set()
        for job in self._live.values():
            if not (job.is_done or job.is_cancelled):
                self._count_demand(job)

    def _count_demand(self, job: Job) -> None:
        spec = job.spec
        left = amounts_of(spec, spec.tasks - len(job.done_tasks))
        demand = self._demand[spec.team] = self._demand.get(spec.team, NOTHING).plus(left)
        guarantee = self._guarantees.get(spec.team)
        if guarantee is None:
            guarantee = self._guarantees[spec.team] = self.term.quota(spec.team)
        if not guarantee.covers(demand):
            self.teams_over_quota.add(job.number)

    # Due times

    def urgency(self, job: Job, wall: float) -> tuple[int, float]:
        """The due time that the job is to meet, and when it must start for that."""
        spec = job.spec
        begin_within = self._begin_within.get(spec.job_class, self.policy.begin_latest)
        may_wait = spec.job_kind == wire.SERVICE or (spec.is_best_effort and job.has_started)
        if wall - job.accepted_at > begin_within and not may_wait:
            # Those left out for being large must begin all the same.
            return -1, job.accepted_at
        latest = self._latest(job)
        if spec.is_best_effort and not latest:
            return NO_DUE_TIME, job.accepted_at
        level = max(sum(wall > time for time in latest), self._levels.get(job.number, 0))
        return (level, latest[level]) if level < len(latest) else (len(latest), 0.0)

    def _latest(self, job: Job) -> tuple[float, ...]:
        """By when its tasks must start for each of its due times."""
        spec = job.spec
        dues = list(self._finish_within.get(spec.job_class, ()))
        if spec.deadline is not None:
            dues.append(spec.deadline)
            # A deadline that is lost may leave a multiple of it to be kept.
            dues += [spec.deadline * times for times in self._late_times.get(spec.job_class, ())]
        return tuple(job.accepted_at + due - spec.estimated_run_s for due in sorted(dues))

    def _choose_levels(self, waiting: list[Job]) -> None:
        """Chooses which waiting jobs are to be in time.

        Each class by what its running tasks can work off.
        """
        job_classes: dict[str, list[Due]] = {}
        for job in waiting:
            if job.spec.job_kind != wire.SERVICE and job.number not in self._suspects:
                due = Due(
                    job.number, self._latest(job), job.pending_count * job.spec.estimated_run_s
                )
                job_classes.setdefault(job.spec.job_class, []).append(due)
        if not job_classes:
            self._levels = {}
            return
        running: dict[str, int] = {}
        for job in self._live.values():
            job_class = job.spec.job_class
            running[job_class] = running.get(job_class, 0) + len(job.placements)
        self._levels = {}
        for job_class, dues in job_classes.items():
            self._levels |= levels(dues, self.runtime.wall(), max(1, running.get(job_class, 0)))
