"""The pending tasks for which others were stopped, so that none preempts twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...ledger.job import Job
    from .reservations import TaskKey


class Preemptors:
    """Owns the tasks for which others were stopped, until their reservation expires."""

    def __init__(self) -> None:
        """Starts without tasks."""
        self._expires_at: dict[TaskKey, float] = {}

    def add(self, key: TaskKey, expires_at: float) -> None:
        """Adds a task for which others were stopped and capacity is reserved until then."""
        self._expires_at[key] = expires_at

    def remove(self, key: TaskKey) -> bool:
        """Removes the task; returns whether others had been stopped for it."""
        return self._expires_at.pop(key, None) is not None

    def is_preemptor(self, key: TaskKey, now: float) -> bool:
        """Whether others were stopped for the task and its capacity is still reserved."""
        return self._expires_at.get(key, 0.0) > now

    def list_pending_tasks(self, job: Job, now: float) -> set[int]:
        """Returns the job's pending tasks for which others were stopped."""
        return {
            task
            for (number, task), expires_at in self._expires_at.items()
            if number == job.number and expires_at > now and task not in job.placements
        }

    def expire(self, now: float) -> None:
        """Removes the tasks whose reservation has expired."""
        self._expires_at = {
            key: expires_at for key, expires_at in self._expires_at.items() if expires_at > now
        }
