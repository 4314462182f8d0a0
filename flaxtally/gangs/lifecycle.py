"""Phases of an attempt of a gang, and the decision on the next action; without I/O.

    PENDING    no task of the gang is placed
    RESERVED   all placements are proposed together, not committed yet
    LAUNCHING  committed and launched; no task is known to have its image yet
    WAITING    some tasks wait on their machines for the others
    RUNNING    the tasks run
    STOPPING   all tasks were commanded to save a checkpoint and exit
    BROKEN     a task was lost, and the others have to exit
    DONE       a task completed, and with it the gang

The phase is not stored: it is derived from the placements in the ledger and the workers' reports,
so that a new leader derives the same phase.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ledger.job import Job

REPLACEMENT_WINDOW_FRACTION = 0.5
"""Time after the launch, as a fraction of `gang_wait_s`, in which lost tasks are replaced.

A task replaced later would not be ready before the others stop waiting.
"""


class Phase(enum.Enum):
    """The phase of an attempt; see the table in the module's doc comment."""

    PENDING = "pending"
    RESERVED = "reserved"
    LAUNCHING = "launching"
    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"
    BROKEN = "broken"
    DONE = "done"


class Action(enum.Enum):
    """The next action of the leader for a gang."""

    NOTHING = "nothing"
    PLACE = "place"
    """Place all tasks, under a new attempt number."""
    REPLACE = "replace"
    """Place the missing tasks, under the attempt number of the others."""
    ABANDON = "abandon"
    """Stop all remaining tasks, so that the next attempt can begin."""


@dataclass(frozen=True)
class Member:
    """A task of a gang that is placed and not proven to be finished."""

    attempt: int
    is_committed: bool
    state: str
    """The state in the last report; empty: the task was not reported yet."""


@dataclass(frozen=True)
class GangStatus:
    """The known state of a gang and its newest attempt."""

    task_count: int
    members: tuple[Member, ...]
    is_done: bool = False
    is_cancelled: bool = False
    has_run: bool = False
    """Whether some task of the attempt was reported as running."""
    is_broken: bool = False
    """Whether the attempt was abandoned."""
    since_stop_s: float | None = None
    """Seconds since the first command to save and exit; None: there was none."""
    since_launch_s: float = 0.0
    """Seconds since the launch; for an attempt of an earlier leader, since this term began."""


@dataclass(frozen=True)
class GangTimeouts:
    """The workers' configured timeouts."""

    wait_s: float
    """Seconds that a started task waits for the other tasks."""
    peer_s: float
    """Seconds that a task runs without contact to the other tasks."""


def derive_phase(status: GangStatus) -> Phase:
    """Returns the phase that follows from the status."""
    members = status.members
    states = {member.state for member in members}
    has_lost_task_after_start = status.has_run and len(members) < status.task_count
    if status.is_done:
        return Phase.DONE
    if not members:
        return Phase.PENDING
    if not all(member.is_committed for member in members):
        return Phase.RESERVED
    if status.since_stop_s is not None:
        return Phase.STOPPING
    if status.is_broken or has_mixed_attempts(members) or has_lost_task_after_start:
        return Phase.BROKEN
    if states & {wire.RUNNING, wire.FLUSHING}:
        return Phase.RUNNING
    return Phase.WAITING if wire.WAITING in states else Phase.LAUNCHING


def has_mixed_attempts(members: Iterable[Member]) -> bool:
    """Returns whether the members belong to several attempts, which never run together.

    No version with gang scheduling commits such placements: an older version placed the tasks one
    by one.
    """
    return len({member.attempt for member in members}) > 1


def decide_action(status: GangStatus, timeouts: GangTimeouts, checkpoint_save_s: float) -> Action:
    """Decides the next action for a gang; `checkpoint_save_s`: how long its tasks need to save."""
    phase = derive_phase(status)
    if status.is_cancelled or phase in (Phase.DONE, Phase.RESERVED):
        # A cancelled gang is stopped like any cancelled job.
        return Action.NOTHING
    if phase is Phase.PENDING:
        return Action.PLACE
    if phase is Phase.BROKEN:
        return Action.ABANDON
    if phase is Phase.STOPPING:
        is_stop_overdue = (status.since_stop_s or 0.0) > checkpoint_save_s + 2 * timeouts.peer_s
        return Action.ABANDON if is_stop_overdue else Action.NOTHING
    if len(status.members) == status.task_count:
        return Action.NOTHING
    return _decide_about_lost_task(status, timeouts, phase)


def _decide_about_lost_task(status: GangStatus, timeouts: GangTimeouts, phase: Phase) -> Action:
    max_replacement_delay_s = REPLACEMENT_WINDOW_FRACTION * timeouts.wait_s
    if phase is Phase.RUNNING or status.since_launch_s > max_replacement_delay_s:
        return Action.ABANDON
    if not all(member.state for member in status.members):
        # Whether the gang runs already is unknown until all remaining tasks were reported.
        return Action.NOTHING
    return Action.REPLACE


def build_gang_status(
    job: Job,
    *,
    has_run: bool,
    is_broken: bool,
    since_stop_s: float | None,
    since_launch_s: float,
) -> GangStatus:
    """Builds the status of a gang from the ledger and from the leader's own state."""
    members = tuple(
        Member(placed.attempt, placed.is_committed, placed.state)
        for placed in job.placements.values()
    )
    return GangStatus(
        job.spec.tasks,
        members,
        job.is_done,
        job.is_cancelled,
        has_run,
        is_broken,
        since_stop_s,
        since_launch_s,
    )
