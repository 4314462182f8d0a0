"""Which jobs can be in time together. Pure.

When more is asked for than the machines can do, the order of due times makes job after job late:
each begins when it is nearly too late. Moore and Hodgson's rule leaves out the largest jobs
instead, so that the most can be in time.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class JobDueTimes(NamedTuple):
    """A job with waiting tasks.

    `latest`: by when these must begin for each of its due times, in order.
    """

    number: int
    latest: tuple[float, ...]
    work: float


def assign_due_time_levels(jobs: Iterable[JobDueTimes], now: float, slots: int) -> dict[int, int]:
    """By job, the first of its due times for which there is room.

    `slots` tasks run at a time. The number of its due times if there is none. Jobs of an earlier
    level go before those of a later one.
    """
    found: dict[int, int] = {}
    left, ahead, level = list(jobs), 0.0, 0
    while left:
        next_left = [job for job in left if level < len(job.latest) and job.latest[level] < now]
        found.update({job.number: level for job in left if level >= len(job.latest)})
        left = [job for job in left if level < len(job.latest) and job.latest[level] >= now]
        left.sort(key=lambda job: (job.latest[level], job.number))
        chosen: list[tuple[float, int, JobDueTimes]] = []
        for job in left:
            heapq.heappush(chosen, (-job.work, job.number, job))
            ahead += job.work
            while chosen and ahead > slots * (job.latest[level] - now):
                largest = heapq.heappop(chosen)[2]
                ahead -= largest.work
                next_left.append(largest)
        found.update({number: level for _, number, _ in chosen})
        left, level = next_left, level + 1
    return found
