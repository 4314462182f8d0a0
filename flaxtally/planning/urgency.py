"""Decides which jobs can meet their due times together. Performs no I/O.

When demand exceeds capacity, scheduling by earliest due time makes one job after the other late:
each starts when it is nearly too late. The Moore-Hodgson algorithm defers the largest jobs
instead, so that as many jobs as possible are on time.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class JobDueTimes(NamedTuple):
    """A job with pending tasks.

    `latest_starts`: when they must start to meet each of the job's due times, in order. `work_s`:
    the estimated run time of all of them together.
    """

    number: int
    latest_starts: tuple[float, ...]
    work_s: float


def assign_due_time_levels(
    jobs: Iterable[JobDueTimes], now: float, max_running_tasks: int
) -> dict[int, int]:
    """Returns, by job number, the index of the first due time that the job can meet.

    The index is the number of its due times if it can meet none. `max_running_tasks` tasks run at a
    time. Jobs with a lower index are scheduled before those with a higher one.
    """
    level_by_job: dict[int, int] = {}
    remaining, chosen_work_s, level = list(jobs), 0.0, 0
    while remaining:
        next_remaining = [
            job
            for job in remaining
            if level < len(job.latest_starts) and job.latest_starts[level] < now
        ]
        level_by_job.update(
            {job.number: level for job in remaining if level >= len(job.latest_starts)}
        )
        remaining = [
            job
            for job in remaining
            if level < len(job.latest_starts) and job.latest_starts[level] >= now
        ]
        remaining.sort(key=lambda job: (job.latest_starts[level], job.number))
        chosen: list[tuple[float, int, JobDueTimes]] = []
        for job in remaining:
            heapq.heappush(chosen, (-job.work_s, job.number, job))
            chosen_work_s += job.work_s
            while chosen and chosen_work_s > max_running_tasks * (job.latest_starts[level] - now):
                largest = heapq.heappop(chosen)[2]
                chosen_work_s -= largest.work_s
                next_remaining.append(largest)
        level_by_job.update({number: level for _, number, _ in chosen})
        remaining, level = next_remaining, level + 1
    return level_by_job
