"""The life of an attempt of a gang, and what is to be done next. Pure.

    PENDING    nothing of the gang is placed
    RESERVED   all placements are proposed together, not committed yet
    LAUNCHING  committed and sent; no task has its image yet, as far as is known
    WAITING    some tasks wait for the others on their machines
    RUNNING    the tasks run
    STOPPING   all were ordered to save a checkpoint and exit
    BROKEN     a task is gone, and the others are to exit
    DONE       a task completed, and with it the gang

None of this is stored: it follows from the ledger's placements and from what the workers report, so
that a new leader finds each gang in its phase.
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
"""Of `gang_wait_s`: a task replaced later than that after the launch would come too late."""


class Phase(enum.Enum):
    """Where an attempt stands; see the module's table."""

    PENDING = "pending"
    RESERVED = "reserved"
    LAUNCHING = "launching"
    WAITING = "waiting"
    RUNNING = "running"
    STOPPING = "stopping"
    BROKEN = "broken"
    DONE = "done"


class Action(enum.Enum):
    """What the leader does next about a gang."""

    NOTHING = "nothing"
    PLACE = "place"
    """Place all tasks, under a new attempt number."""
    REPLACE = "replace"
    """Place the missing tasks, under the attempt number of the others."""
    ABANDON = "abandon"
    """Stop all that is left, so that the next attempt can begin."""


@dataclass(frozen=True)
class Member:
    """A task of a gang that is placed and not proven over."""

    attempt: int
    is_committed: bool
    state: str
    """As last reported; empty: nothing was reported of it."""


@dataclass(frozen=True)
class GangStatus:
    """What is known of a gang."""

    task_count: int
    members: tuple[Member, ...]
    is_done: bool = False
    is_cancelled: bool = False
    has_run: bool = False
    """Some task of the attempt was seen running."""
    is_broken: bool = False
    """The attempt was abandoned."""
    since_stop_s: float | None = None
    """Since the first command to save and exit; None: there was none."""
    since_launch_s: float = 0.0
    """Since the attempt was launched, as far as this leader knows."""


@dataclass(frozen=True)
class GangTimeouts:
    """What workers are configured with."""

    wait_s: float
    """How long a task waits for the others."""
    peer_s: float
    """How long a task runs without contact to the others."""


def derive_phase(status: GangStatus) -> Phase:
    """The phase that follows from what is known."""
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
    """Whether the members are of several attempts, which never meet.

    No version that knows gangs commits this: the tasks were placed one by one by an older one.
    """
    return len({member.attempt for member in members}) > 1


def decide_action(status: GangStatus, timeouts: GangTimeouts, checkpoint_save_s: float) -> Action:
    """Decides what to do next about a gang whose tasks need that long to save."""
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
        # Whether the gang has begun is not known before all have reported.
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
    """The status of a gang: from the ledger, and from what the leader knows besides."""
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
