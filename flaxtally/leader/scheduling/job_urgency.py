"""The urgency of pending jobs: the due time that a job is to meet, and its latest start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...planning.urgency import JobDueTimes, assign_due_time_levels
from ...protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...ledger.job import Job
    from ...policy import Policy
    from ...settings import Objective

OVERDUE_LEVEL = -1
"""The level of jobs that have waited for too long: before all others of their rank."""
NO_DUE_TIME_LEVEL = 1000
"""The level of best-effort jobs without a due time: after all others."""
MAX_WAIT_FRACTION = 0.7
"""A job is overdue after it has waited for this fraction of the time within which an objective
wants its job class to start.
"""


class JobUrgency:
    """Derives due times from the objectives, and chooses those that pending jobs can meet."""

    def __init__(self, objectives: Iterable[Objective], policy: Policy) -> None:
        """Reads the due times of each job class from the objectives."""
        self._policy = policy
        self._levels: dict[int, int] = {}
        """By job, the index of the due time to meet where capacity doesn't suffice for all."""
        self._begin_within_s: dict[str, float] = {}
        self._finish_within_s: dict[str, list[float]] = {}
        self._deadline_factors: dict[str, list[float]] = {}
        for objective in objectives:
            if objective.job_class is not None:
                self._add_objective(objective, objective.job_class)

    def _add_objective(self, objective: Objective, job_class: str) -> None:
        if objective.kind == "deadline" and objective.times != 1.0:
            self._deadline_factors.setdefault(job_class, []).append(objective.times)
        if objective.kind == "wait" and objective.within:
            self._begin_within_s[job_class] = min(
                objective.within * MAX_WAIT_FRACTION, self._policy.begin_latest
            )
        if objective.kind == "finished" and objective.within:
            self._finish_within_s.setdefault(job_class, []).append(objective.within)

    def compute(self, job: Job, wall: float) -> tuple[int, float]:
        """Returns the index of the due time that the job is to meet, and its latest start."""
        spec = job.spec
        begin_within_s = self._begin_within_s.get(spec.job_class, self._policy.begin_latest)
        may_wait = spec.job_kind == wire.SERVICE or (spec.is_best_effort and job.has_started)
        if wall - job.accepted_at > begin_within_s and not may_wait:
            # A job that was deferred because it is large must start nevertheless.
            return OVERDUE_LEVEL, job.accepted_at
        latest_starts = self._compute_latest_starts(job)
        if spec.is_best_effort and not latest_starts:
            return NO_DUE_TIME_LEVEL, job.accepted_at
        missed = sum(wall > start for start in latest_starts)
        level = max(missed, self._levels.get(job.number, 0))
        if level < len(latest_starts):
            return level, latest_starts[level]
        return len(latest_starts), 0.0

    def _compute_latest_starts(self, job: Job) -> tuple[float, ...]:
        """Returns when the job's tasks must start to meet each of its due times, in order."""
        spec = job.spec
        due_times = list(self._finish_within_s.get(spec.job_class, ()))
        if spec.deadline is not None:
            due_times.append(spec.deadline)
            # After a missed deadline, an objective may still require a multiple of it.
            factors = self._deadline_factors.get(spec.job_class, ())
            due_times += [spec.deadline * factor for factor in factors]
        return tuple(job.accepted_at + due - spec.estimated_run_s for due in sorted(due_times))

    def choose_levels(self, pending: Iterable[Job], live_jobs: Iterable[Job], wall: float) -> None:
        """Chooses the due time that each pending job is to meet.

        Each job class is assumed to run as many tasks at a time as it has placed among `live_jobs`.
        """
        self._levels = {}
        dues_by_class = self._group_dues_by_class(pending)
        if not dues_by_class:
            return
        running = _count_placements_by_class(live_jobs)
        for job_class, dues in dues_by_class.items():
            self._levels |= assign_due_time_levels(dues, wall, max(1, running.get(job_class, 0)))

    def _group_dues_by_class(self, pending: Iterable[Job]) -> dict[str, list[JobDueTimes]]:
        dues_by_class: dict[str, list[JobDueTimes]] = {}
        for job in pending:
            spec = job.spec
            if spec.job_kind != wire.SERVICE:
                work_s = job.pending_count * spec.estimated_run_s
                due = JobDueTimes(job.number, self._compute_latest_starts(job), work_s)
                dues_by_class.setdefault(spec.job_class, []).append(due)
        return dues_by_class


def _count_placements_by_class(jobs: Iterable[Job]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for job in jobs:
        job_class = job.spec.job_class
        counts[job_class] = counts.get(job_class, 0) + len(job.placements)
    return counts
