"""The frames that wait to be relayed to a peer."""

from __future__ import annotations

import itertools
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

from .messages import (
    FORWARDED_HEARTBEAT_KIND,
    HEARTBEAT_KIND,
    MACHINES_ALIVE_KIND,
    RELAYED_COMMAND_RESULT_KIND,
)

if TYPE_CHECKING:
    from .messages import Frame


class _QueuedFrame(NamedTuple):
    """A frame that waits, since when."""

    frame: Frame
    queued_at: float


class RelayQueue:
    """Frames by urgency; of heartbeats and lists of machines the last one is enough."""

    def __init__(self) -> None:
        """Begins empty."""
        self._heartbeat: Frame | None = None
        self._machines_alive: Frame | None = None
        self._frames: deque[_QueuedFrame] = deque()
        """Those of all other kinds, the oldest first."""
        self._machine_heartbeats: dict[Any, Frame] = {}
        """The last one of each machine; the machine that waits for longest comes first."""

    @property
    def has_frames(self) -> bool:
        """Whether anything waits."""
        return bool(
            self._heartbeat or self._machines_alive or self._frames or self._machine_heartbeats
        )

    def add(self, frame: Frame, now: float) -> None:
        """Keeps the frame, in the place of an older one that it replaces."""
        kind = frame["k"]
        if kind == HEARTBEAT_KIND:
            self._heartbeat = frame
        elif kind == FORWARDED_HEARTBEAT_KIND:
            # In the place of its last one: with thousands of machines, each gets its turn.
            self._machine_heartbeats[frame.get("m")] = frame
        elif kind == MACHINES_ALIVE_KIND:
            self._machines_alive = frame
        else:
            if kind == RELAYED_COMMAND_RESULT_KIND:
                # It holds a newer heartbeat of the machine.
                self._machine_heartbeats.pop(frame.get("m"), None)
            self._frames.append(_QueuedFrame(frame, now))

    def list_by_urgency(self) -> list[Frame]:
        """What waits.

        Leadership first, then who is alive, then requests, commands and replies, then heartbeats
        of machines.
        """
        return [
            *([self._heartbeat] if self._heartbeat is not None else []),
            *([self._machines_alive] if self._machines_alive is not None else []),
            *(queued.frame for queued in self._frames),
            *self._machine_heartbeats.values(),
        ]

    def remove_first(self, count: int) -> None:
        """Drops so many of the most urgent frames: they are on their way."""
        if count and self._heartbeat is not None:
            self._heartbeat = None
            count -= 1
        if count and self._machines_alive is not None:
            self._machines_alive = None
            count -= 1
        while count and self._frames:
            self._frames.popleft()
            count -= 1
        for machine in list(itertools.islice(self._machine_heartbeats, count)):
            del self._machine_heartbeats[machine]

    def drop_queued_before(self, time: float) -> None:
        """Drops frames that are too old to be of use; who sent them has given them up."""
        while self._frames and self._frames[0].queued_at < time:
            self._frames.popleft()

    def clear(self) -> None:
        """Drops all: the link carries frames again."""
        self._heartbeat = None
        self._machines_alive = None
        self._frames.clear()
        self._machine_heartbeats.clear()
