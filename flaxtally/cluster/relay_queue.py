"""The queue of frames that wait to be relayed to a peer."""

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
    """A waiting frame, and when it was queued."""

    frame: Frame
    queued_at: float


class RelayQueue:
    """Frames by urgency; only the newest heartbeat and list of live machines are kept."""

    def __init__(self) -> None:
        """Starts empty."""
        self._heartbeat: Frame | None = None
        self._machines_alive: Frame | None = None
        self._frames: deque[_QueuedFrame] = deque()
        """Frames of all other kinds, oldest first."""
        self._machine_heartbeats: dict[Any, Frame] = {}
        """The newest heartbeat of each machine; the machine that waits longest comes first."""

    @property
    def has_frames(self) -> bool:
        """Whether any frames are waiting."""
        return bool(
            self._heartbeat or self._machines_alive or self._frames or self._machine_heartbeats
        )

    def add(self, frame: Frame, now: float) -> None:
        """Adds the frame; it takes the place of an older frame that it supersedes."""
        kind = frame["k"]
        if kind == HEARTBEAT_KIND:
            self._heartbeat = frame
        elif kind == FORWARDED_HEARTBEAT_KIND:
            # It takes over the position of the machine's previous heartbeat, so that each of
            # thousands of machines gets its turn.
            self._machine_heartbeats[frame.get("m")] = frame
        elif kind == MACHINES_ALIVE_KIND:
            self._machines_alive = frame
        else:
            if kind == RELAYED_COMMAND_RESULT_KIND:
                # The result contains a newer heartbeat of the machine.
                self._machine_heartbeats.pop(frame.get("m"), None)
            self._frames.append(_QueuedFrame(frame, now))

    def list_by_urgency(self) -> list[Frame]:
        """Returns the waiting frames, most urgent first.

        The order is: the controller's heartbeat, the list of live machines, then requests, commands
        and replies, then heartbeats of machines.
        """
        return [
            *([self._heartbeat] if self._heartbeat is not None else []),
            *([self._machines_alive] if self._machines_alive is not None else []),
            *(queued.frame for queued in self._frames),
            *self._machine_heartbeats.values(),
        ]

    def remove_first(self, count: int) -> None:
        """Removes the `count` most urgent frames, which have been sent."""
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
        """Drops frames that were queued before `time`; their senders have given up on them."""
        while self._frames and self._frames[0].queued_at < time:
            self._frames.popleft()

    def clear(self) -> None:
        """Drops all frames."""
        self._heartbeat = None
        self._machines_alive = None
        self._frames.clear()
        self._machine_heartbeats.clear()
