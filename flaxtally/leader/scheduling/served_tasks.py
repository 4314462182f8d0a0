"""The pending tasks for which others were stopped, so that none is served twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...ledger.job import Job
    from .reservations import TaskKey


class ServedTasks:
    """Owns the pending tasks for which others were stopped, until their reservation expires."""

    def __init__(self) -> None:
        """None is served yet."""
        self._expires_at: dict[TaskKey, float] = {}

    def add(self, key: TaskKey, expires_at: float) -> None:
        """Others were stopped for the task; its capacity is reserved until then."""
        self._expires_at[key] = expires_at

    def remove(self, key: TaskKey) -> bool:
        """Forgets the task; whether others had been stopped for it."""
        return self._expires_at.pop(key, None) is not None

    def is_served(self, key: TaskKey, now: float) -> bool:
        """Whether others were stopped for the task and its capacity is still reserved."""
        return self._expires_at.get(key, 0.0) > now

    def pending_of(self, job: Job, now: float) -> set[int]:
        """The job's pending tasks that are served."""
        return {
            task
            for (number, task), expires_at in self._expires_at.items()
            if number == job.number and expires_at > now and task not in job.placements
        }

    def expire(self, now: float) -> None:
        """Forgets the tasks whose reservation has expired."""
        self._expires_at = {
            key: expires_at for key, expires_at in self._expires_at.items() if expires_at > now
        }
