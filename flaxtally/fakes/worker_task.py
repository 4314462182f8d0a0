"""An attempt of a task on a fake worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..runtime.loop import Timer


class WorkerTask:
    """An attempt of a task on a worker, with its state and the cause of its exit.

    `kept`: whether it saved a checkpoint when it was stopped. `timer`: its next change of state.
    """

    def __init__(self, task: str, attempt: int, state: str) -> None:
        self.task, self.attempt, self.state = task, attempt, state
        self.cause: str | None = None
        self.kept = False
        self.timer: Timer | None = None
