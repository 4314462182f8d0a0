"""A task on a fake worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..runtime.loop import Timer


class WorkerTask:
    """A task on the worker, with its attempt, state and cause of exit; `kept`: it has saved."""

    def __init__(self, task: str, attempt: int, state: str) -> None:
        self.task, self.attempt, self.state = task, attempt, state
        self.cause: str | None = None
        self.kept = False
        self.timer: Timer | None = None
