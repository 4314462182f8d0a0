"""Demand over a short horizon: what waits, what runs past each step, what arrives on average."""

from __future__ import annotations

import math
from collections import deque


class _RecentJobs:
    """The jobs of one lane that came lately; their sums are kept, since plans ask often."""

    def __init__(self) -> None:
        self._jobs: deque[tuple[float, int, float]] = deque()
        """When each came, its tasks, and how long one is estimated to run."""
        self._tasks = 0
        self._work = 0.0

    def record_arrival(self, now: float, tasks: int, mean_run_s: float) -> None:
        """A job came."""
        self._jobs.append((now, tasks, mean_run_s))
        self._tasks += tasks
        self._work += tasks * mean_run_s

    def forget(self, before: float) -> None:
        """Drops the jobs that came before."""
        while self._jobs and self._jobs[0][0] < before:
            _, tasks, mean_run_s = self._jobs.popleft()
            self._tasks -= tasks
            self._work -= tasks * mean_run_s
        if not self._jobs:
            # Sums and differences leave a little behind.
            self._work = 0.0

    @property
    def max_tasks_per_job(self) -> int:
        """The most tasks of a job."""
        return max((tasks for _, tasks, _ in self._jobs), default=0)

    @property
    def mean_length(self) -> float:
        """How long a task is estimated to run; 0: there are none."""
        return self._work / max(1, self._tasks)


class ArrivalStatistics:
    """The past window's arrivals by lane, in buckets of a step.

    The busiest buckets are left out of the average: a start-up burst or a single huge job says
    nothing of what the next minute brings.
    """

    def __init__(self, window: float, step: float) -> None:
        self._window, self._step = window, step
        self._buckets: deque[tuple[int, dict[str, float]]] = deque()
        self._first: float | None = None
        self._job_classes: dict[str, _RecentJobs] = {}

    def _recent(self, job_class: str, now: float) -> _RecentJobs:
        """The lane's jobs of the window."""
        recent = self._job_classes.setdefault(job_class, _RecentJobs())
        recent.forget(now - self._window)
        return recent

    def max_tasks_per_job(self, job_class: str, now: float) -> int:
        """The most tasks of one job of the lane within the window."""
        return self._recent(job_class, now).max_tasks_per_job

    def mean_run_s(self, job_class: str, now: float) -> float:
        """How long a task of the lane is estimated to run.

        The average over the window's tasks; 0: none came.
        """
        return self._recent(job_class, now).mean_length

    def record_arrival(self, job_class: str, tasks: int, mean_run_s: float, now: float) -> None:
        if self._first is None:
            self._first = now
        self._recent(job_class, now).record_arrival(now, tasks, mean_run_s)
        slot = int(now / self._step)
        if not self._buckets or self._buckets[-1][0] != slot:
            self._buckets.append((slot, {}))
        counts = self._buckets[-1][1]
        counts[job_class] = counts.get(job_class, 0.0) + tasks

    def tasks_per_s(self, job_class: str, now: float) -> float:
        """Tasks a second."""
        if self._first is None:
            return 0.0
        oldest = int((now - self._window) / self._step)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        slots = int(min(self._window, now - self._first) / self._step)
        if slots < 4:
            return 0.0
        counts = sorted((counts.get(job_class, 0.0) for _, counts in self._buckets), reverse=True)
        dropped = math.ceil(slots * 0.1)
        return sum(counts[dropped:]) / (max(1, slots - dropped) * self._step)
