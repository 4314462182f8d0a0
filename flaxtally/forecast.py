"""Demand over a short horizon: what waits, what runs past each step, what arrives on average."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from . import wire


@dataclass(frozen=True)
class Shape:
    """Tasks that are alike to the planner."""

    lane: str
    cores: float
    gpus: float
    ram: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    service: bool
    rank: int

    @property
    def best_effort(self) -> bool:
        """Whether it is of the lowest rank and runs to an end."""
        return not self.service and self.rank == wire.RANKS["idle"]

    @classmethod
    def of(cls, spec: wire.Spec) -> Shape:
        return cls(
            spec.lane,
            round(spec.cores, 1),
            spec.gpus,
            spec.ram,
            spec.types,
            spec.zone,
            spec.spot,
            spec.kind == wire.SERVICE,
            wire.RANKS[spec.rank],
        )


class Arrivals:
    """The past window's arrivals by lane, in buckets of a step.

    The busiest buckets are left out of the average: a start-up burst or a single huge job says
    nothing of what the next minute brings.
    """

    def __init__(self, window: float, step: float) -> None:
        self._window, self._step = window, step
        self._buckets: deque[tuple[int, dict[str, float]]] = deque()
        self._first: float | None = None
        self._jobs: deque[tuple[float, str, int, float]] = deque()

    def _recent(self, lane: str, now: float) -> list[tuple[int, float]]:
        """The lane's jobs of the window: tasks, and how long each is estimated to run."""
        while self._jobs and self._jobs[0][0] < now - self._window:
            self._jobs.popleft()
        return [(tasks, length) for _, noted, tasks, length in self._jobs if noted == lane]

    def largest(self, lane: str, now: float) -> int:
        """The most tasks of one job of the lane within the window."""
        return max((tasks for tasks, _ in self._recent(lane, now)), default=0)

    def length(self, lane: str, now: float) -> float:
        """How long a task of the lane is estimated to run.

        The average over the window's tasks; 0: none came.
        """
        recent = self._recent(lane, now)
        return sum(tasks * length for tasks, length in recent) / max(
            1, sum(tasks for tasks, _ in recent)
        )

    def note(self, lane: str, tasks: int, length: float, now: float) -> None:
        if self._first is None:
            self._first = now
        self._jobs.append((now, lane, tasks, length))
        slot = int(now / self._step)
        if not self._buckets or self._buckets[-1][0] != slot:
            self._buckets.append((slot, {}))
        counts = self._buckets[-1][1]
        counts[lane] = counts.get(lane, 0.0) + tasks

    def rate(self, lane: str, now: float) -> float:
        """Tasks a second."""
        if self._first is None:
            return 0.0
        oldest = int((now - self._window) / self._step)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        slots = int(min(self._window, now - self._first) / self._step)
        if slots < 4:
            return 0.0
        counts = sorted((counts.get(lane, 0.0) for _, counts in self._buckets), reverse=True)
        dropped = math.ceil(slots * 0.1)
        return sum(counts[dropped:]) / (max(1, slots - dropped) * self._step)
