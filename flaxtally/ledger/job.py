"""Jobs and the states of their tasks. Pure."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire
from ..protocol.shape import Shape

if TYPE_CHECKING:
    from .placement import Placement
    from .records import TaskRun

ACCEPTED_BYTES = 40
"""About what the record of an accepted job takes in a page beside its specification."""
PLACED_BYTES = 24
"""About what the record of a placement takes in a page beside names."""
RUN_BYTES = 20
"""About what a run of tasks takes in a page."""


class Job:
    """A job and the states of its tasks. Tasks from `next_unstarted_task` on were never placed.

    A task is unstarted, waiting again (`retry_queue`), placed, or done. What the ledger doesn't
    keep, but the leader believes in its term, stands last in the constructor.
    """

    __slots__ = (
        "accepted_at",
        "accepted_bytes",
        "attempts",
        "cancelled_at",
        "done_tasks",
        "home_page",
        "is_cancellation_committed",
        "is_cancelled",
        "is_committed",
        "is_done",
        "known_at",
        "next_unstarted_task",
        "number",
        "pending_since",
        "placement_bytes",
        "placements",
        "reported_stage",
        "retry_queue",
        "shape",
        "spec",
        "uncommitted_ends",
        "zone_counts",
    )

    def __init__(self, number: int, accepted_at: float, spec: wire.Spec) -> None:
        """A job of which no task was placed yet; `accepted_at` is the time of day."""
        self.number = number
        self.accepted_at = accepted_at
        self.spec = spec
        self.shape = Shape.of(spec)
        self.accepted_bytes = ACCEPTED_BYTES + len(msgspec.json.encode(spec))
        self.placement_bytes = PLACED_BYTES
        """About what the record of its last placement takes."""
        self.next_unstarted_task = 0
        self.retry_queue: list[int] = []
        """A heap of the tasks that were placed once, or passed over, and wait again."""
        self.attempts: dict[int, int] = {}
        """By task, the number of its newest attempt."""
        self.done_tasks: set[int] = set()
        self.placements: dict[int, Placement] = {}
        self.zone_counts: dict[str, int] = {}
        """Placements by zone; zones without any are left out."""
        self.is_cancelled = False
        self.is_done = False
        self.home_page = 0
        """The page of the record that accepted it, or of its newest snapshot."""
        # What the leader believes in its term.
        self.is_committed = False
        self.is_cancellation_committed = False
        self.reported_stage = ""
        self.uncommitted_ends = 0
        """Attempts that ended and whose record is not committed yet."""
        self.cancelled_at = 0.0
        self.known_at = 0.0
        self.pending_since = 0.0
        """Since when it has waiting tasks and none of them was placed."""

    @property
    def is_terminal(self) -> bool:
        """Whether none of its tasks is to be placed any more."""
        return self.is_done or self.is_cancelled

    @property
    def is_concluded(self) -> bool:
        """Whether it is terminal and nothing of it is placed."""
        return self.is_terminal and not self.placements

    @property
    def terminal_stage(self) -> str:
        """The stage of the job once it is terminal, as users read it."""
        return wire.ABORTED if self.is_cancelled else wire.DONE

    @property
    def has_started(self) -> bool:
        """Whether a task of it was ever placed."""
        return self.next_unstarted_task > 0

    @property
    def newest_attempt(self) -> int:
        """The highest attempt number of any of its tasks; 0: none was placed."""
        return max(self.attempts.values(), default=0)

    @property
    def snapshot_bytes(self) -> int:
        """About how many bytes its records take in a snapshot."""
        placed = len(self.placements)
        # Tasks that are placed, or wait again, part the others into runs.
        runs = min(self.next_unstarted_task - placed, placed + 1 + 2 * len(self.retry_queue))
        return self.accepted_bytes + self.placement_bytes * placed + RUN_BYTES * max(0, runs)

    @property
    def pending_count(self) -> int:
        """How many of its tasks wait to be placed."""
        if self.is_terminal:
            return 0
        return self.spec.tasks - self.next_unstarted_task + len(self.retry_queue)

    def next_pending_task(self) -> int:
        """The waiting task to place next; it stays waiting until it is placed."""
        return self.retry_queue[0] if self.retry_queue else self.next_unstarted_task

    def placements_in_zone(self, zone: str) -> int:
        """How many of its tasks are placed in the zone."""
        return self.zone_counts.get(zone, 0)

    def can_place(self, task: int, attempt: int) -> bool:
        """Whether the task may be placed under that attempt number.

        A task of a gang may be placed again with the attempt number of its gang.
        """
        if task in self.placements or task in self.done_tasks or self.is_cancelled:
            return False
        last_attempt = self.attempts.get(task, 0)
        return attempt >= last_attempt + (self.spec.job_kind != wire.GANG)

    def add_placement(self, placement: Placement) -> None:
        """The task that waited is placed."""
        task = placement.task
        zone = placement.zone
        if task == self.next_unstarted_task and not self.retry_queue:
            self.next_unstarted_task = task + 1
        else:
            self._remove_pending(task)
        self.attempts[task] = placement.attempt
        self.placements[task] = placement
        self.placement_bytes = PLACED_BYTES + len(placement.machine) + len(zone)
        self.zone_counts[zone] = self.zone_counts.get(zone, 0) + 1

    def remove_placement(self, placement: Placement) -> None:
        """The task is not placed any more; the caller says what became of it."""
        del self.placements[placement.task]
        self.zone_counts[placement.zone] -= 1
        if not self.zone_counts[placement.zone]:
            del self.zone_counts[placement.zone]

    def end_task(self, task: int, *, is_done: bool) -> None:
        """An attempt of the task ended: the task is done, or waits again."""
        if is_done and self.spec.job_kind == wire.GANG:
            # The tasks of a gang complete together.
            self.done_tasks.update(range(self.spec.tasks))
        elif is_done and self.spec.job_kind != wire.SERVICE:
            self.done_tasks.add(task)
        else:
            heapq.heappush(self.retry_queue, task)
        self._update_is_done()

    def restore_tasks(self, runs: list[TaskRun]) -> None:
        """Takes tasks over from a snapshot: those that were placed before and are not placed."""
        for run in runs:
            for task in range(run.first, run.first + run.count):
                if run.attempt:
                    self.attempts[task] = run.attempt
                if run.is_done:
                    self.done_tasks.add(task)
                else:
                    heapq.heappush(self.retry_queue, task)
                self.next_unstarted_task = max(self.next_unstarted_task, task + 1)
        self._update_is_done()

    def mark_replayed(self) -> None:
        """All that is known of it was read from the ledger, so it is committed."""
        self.is_committed = True
        self.is_cancellation_committed = self.is_cancelled
        # A cancelled job is reported as such when nothing of it is placed; see
        # `JobRegistry.try_finish_cancellation`.
        if self.is_done:
            self.reported_stage = wire.DONE
        elif self.is_concluded:
            self.reported_stage = wire.ABORTED
        else:
            self.reported_stage = ""
        for placement in self.placements.values():
            placement.mark_inherited()

    def _remove_pending(self, task: int) -> None:
        """The task waits no more; unstarted tasks that were passed over wait in the heap."""
        queue = self.retry_queue
        if queue and queue[0] == task:
            heapq.heappop(queue)
        elif task in queue:
            queue.remove(task)
            heapq.heapify(queue)
        else:
            for skipped in range(self.next_unstarted_task, task):
                heapq.heappush(queue, skipped)
            self.next_unstarted_task = max(self.next_unstarted_task, task + 1)

    def _update_is_done(self) -> None:
        if (
            self.spec.job_kind != wire.SERVICE
            and len(self.done_tasks) == self.spec.tasks
            and not self.is_cancelled
        ):
            self.is_done = True
