"""The life of an attempt of a gang, and what is to be done next. Pure.

    PENDING    nothing of the gang is placed
    RESERVED   all placements are proposed together, not committed yet
    LAUNCHING  committed and sent; no task has its image yet, as far as is known
    WAITING    some tasks wait for the others on their machines
    RUNNING    the tasks run
    STOPPING   all were told to save and exit
    BROKEN     a task is gone, and the others are to exit
    DONE       a task completed, and with it the gang

Nothing of this is kept: it follows from the ledger's placements and from what the workers report,
so that a leader that begins finds each gang in its state.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ledger.cluster_state import Job

REPLACEMENT_WINDOW_SHARE = 0.5
"""Of `gang_wait_s`: who is replaced later than that after the launch would come too late."""


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
    """All tasks, under a new attempt number."""
    REPLACE = "replace"
    """The missing tasks, under the attempt number of the others."""
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
    """What is known of a gang. Times in seconds."""

    task_count: int
    members: tuple[Member, ...]
    is_done: bool = False
    is_cancelled: bool = False
    has_run: bool = False
    """Some task of the attempt was seen running."""
    is_broken: bool = False
    """The attempt was given up."""
    since_stop_s: float | None = None
    """Since the first order to save and exit."""
    since_launch_s: float = 0.0
    """Since the attempt was launched, as far as this leader knows."""


@dataclass(frozen=True)
class GangTimeouts:
    """What workers are set to, in seconds."""

    wait_s: float
    peer_s: float


def build_gang_status(
    job: Job,
    has_run: bool,
    is_broken: bool,
    stopping_for: float | None,
    launched_for: float,
) -> GangStatus:
    """The situation of a gang in the ledger, with what the leader knows beside it."""
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
        stopping_for,
        launched_for,
    )


def derive_phase(now: GangStatus) -> Phase:
    """Where the gang stands."""
    states = {member.state for member in now.members}
    if now.is_done:
        return Phase.DONE
    if not now.members:
        return Phase.PENDING
    if not all(member.is_committed for member in now.members):
        return Phase.RESERVED
    if now.since_stop_s is not None:
        return Phase.STOPPING
    if (
        now.is_broken
        or is_mixed(now.members)
        or (now.has_run and len(now.members) < now.task_count)
    ):
        return Phase.BROKEN
    if states & {wire.RUNNING, wire.FLUSHING}:
        return Phase.RUNNING
    return Phase.WAITING if wire.WAITING in states else Phase.LAUNCHING


def is_mixed(members: Iterable[Member]) -> bool:
    """Whether the members are of several attempts, which never meet.

    No version that knows gangs commits this: the tasks were placed one by one by an older one.
    """
    return len({member.attempt for member in members}) > 1


def decide_action(now: GangStatus, times: GangTimeouts, save: float) -> Action:
    """What to do next. `save`: seconds that a task needs to save."""
    phase = derive_phase(now)
    if now.is_cancelled or phase in (Phase.DONE, Phase.RESERVED):
        # A cancelled gang is stopped like any cancelled job.
        return Action.NOTHING
    if phase is Phase.PENDING:
        return Action.PLACE
    if phase is Phase.BROKEN:
        return Action.ABANDON
    if phase is Phase.STOPPING:
        late = (now.since_stop_s or 0.0) > save + 2 * times.peer_s
        return Action.ABANDON if late else Action.NOTHING
    if len(now.members) == now.task_count:
        return Action.NOTHING
    if phase is Phase.RUNNING or now.since_launch_s > REPLACEMENT_WINDOW_SHARE * times.wait_s:
        return Action.ABANDON
    if not all(member.state for member in now.members):
        # Whether the gang has begun is not known before all have reported.
        return Action.NOTHING
    return Action.REPLACE
