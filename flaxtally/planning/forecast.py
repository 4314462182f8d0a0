"""Statistics of recent job arrivals, from which the demand of the next minutes is estimated."""

from __future__ import annotations

import math
from collections import deque

_MIN_BUCKETS = 4
"""Complete buckets without which no arrival rate is estimated."""
_DROPPED_BUCKET_FRACTION = 0.1
"""The fraction of buckets, the busiest ones, that the mean arrival rate leaves out."""


class _RecentJobs:
    """The recent jobs of one job class; keeps running sums, since plans query them often."""

    def __init__(self) -> None:
        self._jobs: deque[tuple[float, int, float]] = deque()
        """Arrival time, task count and estimated run time of a task of each job."""
        self._tasks = 0
        self._work_s = 0.0

    def record_arrival(self, now: float, tasks: int, run_s: float) -> None:
        """Adds a job that arrived now."""
        self._jobs.append((now, tasks, run_s))
        self._tasks += tasks
        self._work_s += tasks * run_s

    def forget(self, before: float) -> None:
        """Drops the jobs that arrived before this time."""
        while self._jobs and self._jobs[0][0] < before:
            _, tasks, run_s = self._jobs.popleft()
            self._tasks -= tasks
            self._work_s -= tasks * run_s
        if not self._jobs:
            # Removes the rounding error of the sums and differences.
            self._work_s = 0.0

    @property
    def max_tasks_per_job(self) -> int:
        """The task count of the largest job."""
        return max((tasks for _, tasks, _ in self._jobs), default=0)

    @property
    def mean_run_s(self) -> float:
        """The mean estimated run time of the tasks; 0: there are none."""
        return self._work_s / max(1, self._tasks)


class ArrivalStatistics:
    """Counts the arrivals of a sliding window by job class, in buckets of one step.

    The mean rate leaves out the busiest buckets: a start-up burst or a single huge job does not
    predict the arrivals of the next minute.
    """

    def __init__(self, window_s: float, step_s: float) -> None:
        """Starts without arrivals."""
        self._window_s, self._step_s = window_s, step_s
        self._buckets: deque[tuple[int, dict[str, float]]] = deque()
        self._first_arrival_at: float | None = None
        self._job_classes: dict[str, _RecentJobs] = {}

    def _get_recent_jobs(self, job_class: str, now: float) -> _RecentJobs:
        """Returns the jobs of the class that arrived within the window."""
        recent = self._job_classes.setdefault(job_class, _RecentJobs())
        recent.forget(now - self._window_s)
        return recent

    def max_tasks_per_job(self, job_class: str, now: float) -> int:
        """Returns the task count of the largest job of the class within the window."""
        return self._get_recent_jobs(job_class, now).max_tasks_per_job

    def mean_run_s(self, job_class: str, now: float) -> float:
        """Returns the mean estimated run time of the class's tasks within the window; 0: none."""
        return self._get_recent_jobs(job_class, now).mean_run_s

    def record_arrival(self, job_class: str, tasks: int, run_s: float, now: float) -> None:
        """Records a job of the class that arrived now; `run_s`: estimated run time of a task."""
        if self._first_arrival_at is None:
            self._first_arrival_at = now
        self._get_recent_jobs(job_class, now).record_arrival(now, tasks, run_s)
        bucket_number = int(now / self._step_s)
        if not self._buckets or self._buckets[-1][0] != bucket_number:
            self._buckets.append((bucket_number, {}))
        counts = self._buckets[-1][1]
        counts[job_class] = counts.get(job_class, 0.0) + tasks

    def tasks_per_s(self, job_class: str, now: float) -> float:
        """Returns the mean arrival rate of the class's tasks, without the busiest buckets."""
        if self._first_arrival_at is None:
            return 0.0
        oldest = int((now - self._window_s) / self._step_s)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        bucket_count = int(min(self._window_s, now - self._first_arrival_at) / self._step_s)
        if bucket_count < _MIN_BUCKETS:
            return 0.0
        counts = sorted((counts.get(job_class, 0.0) for _, counts in self._buckets), reverse=True)
        dropped = math.ceil(bucket_count * _DROPPED_BUCKET_FRACTION)
        return sum(counts[dropped:]) / (max(1, bucket_count - dropped) * self._step_s)
