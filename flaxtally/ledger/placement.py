"""Placements: an attempt's replicated state, and the leader's view of it. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .job import Job


class ReplicatedPlacement:
    """A task's attempt on a machine, as recorded in the ledger.

    It exists from its proposal until it is proven to have ended, and is the same on each replay.
    """

    __slots__ = ("attempt", "job", "machine", "task", "zone")

    def __init__(self, job: Job, task: int, attempt: int, machine: str, zone: str) -> None:
        """`machine` is a name, `zone` the machine's zone when it was chosen."""
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.zone = zone

    @property
    def name(self) -> str:
        """The task's name in log lines: its job's id and its number."""
        return f"{self.job.spec.ref}/{self.task}"

    @property
    def is_current(self) -> bool:
        """Whether it is the task's placement now: it was not proven to have ended."""
        return self.job.placements.get(self.task) is self

    @property
    def is_best_effort(self) -> bool:
        """Whether its job has the lowest rank and its tasks run to completion."""
        return self.job.spec.is_best_effort


class Placement(ReplicatedPlacement):
    """A placement with the leader's view of it in its present term.

    None of these fields is in the ledger: a new leader begins without them, and learns them from
    commits and from the workers' heartbeats.
    """

    __slots__ = (
        "command_sent_at",
        "is_committed",
        "is_inherited",
        "launch_incarnation",
        "launch_token",
        "launches_in_flight",
        "proposed_at",
        "started_at",
        "state",
        "stopping_at",
        "was_placed_within_quota",
        "was_reported",
    )

    def __init__(self, job: Job, task: int, attempt: int, machine: str, zone: str) -> None:
        """Starts without any knowledge of the attempt's state."""
        # Set here, without a call of the base class: replay creates one object per such record.
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.zone = zone
        self.is_committed = False
        self.is_inherited = False
        """Whether an earlier leader placed it."""
        self.launch_incarnation = 0
        """The newest incarnation of the worker to which a launch was sent; 0: none was sent."""
        self.launch_token = 0
        """The highest fencing token under which a launch was sent in this term; 0: none was."""
        self.launches_in_flight = 0
        """Number of launch commands without a reply."""
        self.was_reported = False
        """Whether a heartbeat of this term reported the attempt."""
        self.state = ""
        self.proposed_at = 0.0
        self.started_at: float | None = None
        self.command_sent_at = float("-inf")
        """When a command for the attempt was last issued."""
        self.was_placed_within_quota = False
        """Whether this leader placed it while its job was within its team's quota."""
        self.stopping_at: float | None = None
        """When this leader learned that the task was commanded to stop; None: it was not."""

    def mark_inherited(self) -> None:
        """Marks it as placed by an earlier leader: it was read from the ledger on takeover."""
        self.is_committed = True
        self.is_inherited = True
