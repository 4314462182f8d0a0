"""Jobs and the states of their tasks. Performs no I/O."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire
from ..protocol.shape import Shape

if TYPE_CHECKING:
    from .placement import Placement
    from .records import TaskRun

ACCEPTED_RECORD_BYTES = 40
"""Approximate size of the record of an accepted job in a page, without its specification."""
PLACED_RECORD_BYTES = 24
"""Approximate size of the record of a placement in a page, without names."""
RUN_BYTES = 20
"""Approximate size of a run of tasks (`TaskRun`) in a page."""


class Job:
    """A job and the states of its tasks. Tasks from `next_unstarted_task` on were never placed.

    A task is unstarted, pending again (`retry_queue`), placed, or done. The fields from
    `is_committed` on are the leader's view in its present term; the ledger does not store them.
    """

    __slots__ = (
        "accepted_at",
        "accepted_bytes",
        "attempts",
        "cancelled_at",
        "done_tasks",
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
        "record_page",
        "reported_stage",
        "retry_queue",
        "shape",
        "spec",
        "uncommitted_ends",
        "zone_counts",
    )

    def __init__(self, number: int, accepted_at: float, spec: wire.Spec) -> None:
        """Creates a job without placements; `accepted_at` is wall-clock time."""
        self.number = number
        self.accepted_at = accepted_at
        self.spec = spec
        self.shape = Shape.of(spec)
        self.accepted_bytes = ACCEPTED_RECORD_BYTES + len(msgspec.json.encode(spec))
        self.placement_bytes = PLACED_RECORD_BYTES
        """Approximate size of the record of its last placement."""
        self.next_unstarted_task = 0
        self.retry_queue: list[int] = []
        """A heap of the pending tasks that were placed before, or skipped."""
        self.attempts: dict[int, int] = {}
        """Number of the newest attempt, by task."""
        self.done_tasks: set[int] = set()
        self.placements: dict[int, Placement] = {}
        self.zone_counts: dict[str, int] = {}
        """Number of placements by zone; zones without placements are omitted."""
        self.is_cancelled = False
        self.is_done = False
        self.record_page = 0
        """The page of the record that accepted it, or in which its newest snapshot begins."""
        # The leader's view in its present term.
        self.is_committed = False
        self.is_cancellation_committed = False
        self.reported_stage = ""
        """The terminal stage, once it may be reported to users; empty before."""
        self.uncommitted_ends = 0
        """Number of ended attempts whose record is not committed yet."""
        self.cancelled_at = 0.0
        self.known_at = 0.0
        """When this leader accepted the job; 0 for a job of an earlier term."""
        self.pending_since = 0.0
        """Time since which it has pending tasks of which none was placed."""

    @property
    def is_terminal(self) -> bool:
        """Whether the job is done or cancelled: no task of it will be placed again."""
        return self.is_done or self.is_cancelled

    @property
    def is_concluded(self) -> bool:
        """Whether it is terminal and has no placements."""
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
        """The approximate size of its records in a snapshot."""
        placed = len(self.placements)
        # Tasks that are placed, or pending again, separate the others into runs.
        runs = min(self.next_unstarted_task - placed, placed + 1 + 2 * len(self.retry_queue))
        return self.accepted_bytes + self.placement_bytes * placed + RUN_BYTES * max(0, runs)

    @property
    def pending_count(self) -> int:
        """How many of its tasks are to be placed."""
        if self.is_terminal:
            return 0
        return self.spec.tasks - self.next_unstarted_task + len(self.retry_queue)

    def next_pending_task(self) -> int:
        """Returns the pending task to place next; it stays pending until it is placed."""
        return self.retry_queue[0] if self.retry_queue else self.next_unstarted_task

    def placements_in_zone(self, zone: str) -> int:
        """Returns how many of its tasks are placed in the zone."""
        return self.zone_counts.get(zone, 0)

    def can_place(self, task: int, attempt: int) -> bool:
        """Returns whether the task may be placed under that attempt number.

        A task of a gang may be placed again with the attempt number of its gang.
        """
        if task in self.placements or task in self.done_tasks or self.is_cancelled:
            return False
        last_attempt = self.attempts.get(task, 0)
        return attempt >= last_attempt + (self.spec.job_kind != wire.GANG)

    def add_placement(self, placement: Placement) -> None:
        """Adds the placement of a pending task."""
        task = placement.task
        zone = placement.zone
        if task == self.next_unstarted_task and not self.retry_queue:
            self.next_unstarted_task = task + 1
        else:
            self._remove_pending(task)
        self.attempts[task] = placement.attempt
        self.placements[task] = placement
        self.placement_bytes = PLACED_RECORD_BYTES + len(placement.machine) + len(zone)
        self.zone_counts[zone] = self.zone_counts.get(zone, 0) + 1

    def remove_placement(self, placement: Placement) -> None:
        """Removes a placement; the caller decides what becomes of the task."""
        del self.placements[placement.task]
        self.zone_counts[placement.zone] -= 1
        if not self.zone_counts[placement.zone]:
            del self.zone_counts[placement.zone]

    def end_task(self, task: int, *, is_done: bool) -> None:
        """Ends an attempt of the task: the task is done, or pending again."""
        if is_done and self.spec.job_kind == wire.GANG:
            # The tasks of a gang complete together.
            self.done_tasks.update(range(self.spec.tasks))
        elif is_done and self.spec.job_kind != wire.SERVICE:
            self.done_tasks.add(task)
        else:
            heapq.heappush(self.retry_queue, task)
        self._update_is_done()

    def restore_tasks(self, runs: list[TaskRun]) -> None:
        """Restores the tasks of a snapshot that were placed before and are not placed now."""
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
        """Marks the job as committed: all that is known of it was read from the ledger."""
        self.is_committed = True
        self.is_cancellation_committed = self.is_cancelled
        # A cancelled job is reported as such once it has no placements; see
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
        """Removes a pending task; unstarted tasks before it move to the heap."""
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
