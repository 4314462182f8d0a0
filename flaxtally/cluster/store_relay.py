"""Frames between controllers through the state service, while their direct link is silent.

When two zones can't reach each other both still reach the state service. Each node then puts what
it has for a peer into a key of its own, a batch at a time, and reads the peer's key. It is slow
(about a second) and may lose frames like the links do; those who send and receive are safe under
both. It keeps a far part in touch with its leader: its workers' reports arrive, stops and launches
reach them.
"""

from __future__ import annotations

import base64
import itertools
import logging
import zlib
from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import cbor2

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.actor import Actor
from .messages import (
    FORWARDED_HEARTBEAT_KIND,
    HEARTBEAT_KIND,
    MACHINES_ALIVE_KIND,
    RELAYED_COMMAND_RESULT_KIND,
    Frame,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..protocol import wire
    from ..runtime.loop import Runtime

log = logging.getLogger(__name__)

MAIL = "mail/"
MOST_INFLATED = 1 << 20
FRESH_PERIODS = 5
"""For so many periods a peer whose batch was read counts as heard."""
LEAST_FRAME = 16
"""Characters of a frame at least, where many of a kind are compressed together."""
SAFE_SHARE = 0.95
CLOCKS_APART = 1.0
"""Seconds by which the times of day of two nodes may differ, and more."""


def encode_batch(frames: Sequence[Frame], most: int, at: float) -> tuple[str, int]:
    """A batch as text of at most `most` characters, and how many of the first frames are in it.

    `at`: the time of day, since a batch lies there until the next silence of the link.
    """
    count = min(len(frames), max(1, most // LEAST_FRAME))
    while True:
        body = cbor2.dumps([at, list(frames[:count])])
        text = base64.b85encode(zlib.compress(body, 6)).decode("ascii")
        share = min(most / len(text), MOST_INFLATED / len(body))
        if share >= 1 or not count:
            return text, count
        # About as many as fit, and fewer each time.
        count = min(count - 1, int(count * share * SAFE_SHARE))


def decode_batch(text: str) -> tuple[float, list[Frame]]:
    """The time of day of a batch and its frames, or ValueError."""
    try:
        inflater = zlib.decompressobj()
        at, frames = cbor2.loads(inflater.decompress(base64.b85decode(text), MOST_INFLATED))
    except (zlib.error, cbor2.CBORDecodeError, TypeError) as fault:
        raise ValueError(str(fault)) from None
    if not isinstance(at, float):
        raise ValueError("no time")
    if not isinstance(frames, list) or not all(
        isinstance(frame, dict) and "k" in frame for frame in frames
    ):
        raise ValueError("not a batch")
    return at, frames


class _QueuedFrame(NamedTuple):
    """A frame that waits for a batch."""

    frame: Frame
    since: float


class _RelayQueue:
    """One direction to and one from a peer."""

    def __init__(self) -> None:
        self.heartbeat: Frame | None = None
        self.alive: Frame | None = None
        """The last list of machines that reported."""
        self.frames: deque[_QueuedFrame] = deque()
        """All but heartbeats and reports, the oldest first."""
        self.reports: dict[Any, Frame] = {}
        """The last one of each machine; who waits for longest first."""
        self.posted_at = float("-inf")
        self.version: int | None = None
        self.writing = self.reading = False
        self.seen: int | None = None
        self.heard = float("-inf")

    @property
    def holds_any(self) -> bool:
        """Whether anything waits."""
        return bool(self.heartbeat or self.alive or self.frames or self.reports)

    def in_order(self) -> list[Frame]:
        """What waits.

        Leadership first, then who is alive, then questions, orders and answers, then reports.
        """
        first = [frame for frame in (self.heartbeat, self.alive) if frame is not None]
        return [*first, *(waiting.frame for waiting in self.frames), *self.reports.values()]

    def sent(self, count: int) -> None:
        """So many of the first are on their way; the others wait for the next batch."""
        if count and self.heartbeat is not None:
            self.heartbeat = None
            count -= 1
        if count and self.alive is not None:
            self.alive = None
            count -= 1
        while count and self.frames:
            self.frames.popleft()
            count -= 1
        for machine in list(itertools.islice(self.reports, count)):
            del self.reports[machine]

    def forget(self, before: float) -> None:
        """Drops frames that are too old to be of use; who sent them has given them up."""
        while self.frames and self.frames[0].since < before:
            self.frames.popleft()

    def clear(self) -> None:
        """Drops all: the link carries frames again."""
        self.heartbeat = self.alive = None
        self.frames.clear()
        self.reports.clear()


class StoreRelay(Actor):
    """Owns this node's boxes. `silent(peer)` tells whether the direct link is."""

    def __init__(
        self,
        runtime: Runtime,
        node: str,
        peers: list[str],
        store: KeyValueStore,
        period: float,
        most: int,
        silent: Callable[[str], bool],
        wanted: Callable[[str], bool],
        receive: Callable[[str, Frame], None],
    ) -> None:
        super().__init__(runtime)
        self._node, self._store, self._period, self._most = node, store, period, most
        self._silent, self._wanted, self._receive = silent, wanted, receive
        self._boxes = {peer: _RelayQueue() for peer in peers}
        self.every(period / 2, self._turn)

    def is_reachable(self, peer: str) -> bool:
        box = self._boxes.get(peer)
        return box is not None and self.runtime.now() - box.heard < FRESH_PERIODS * self._period

    def on_pause(self, lost: float) -> None:
        """The process stood still: peers were not silent meanwhile."""
        now = self.runtime.now()
        for box in self._boxes.values():
            box.heard = min(now, box.heard + lost)

    def enqueue(self, peer: str, frame: Frame) -> None:
        """Keeps the frame for a batch.

        Of heartbeats, and of one machine's reports, the last is enough.
        """
        box = self._boxes[peer]
        if frame["k"] == HEARTBEAT_KIND:
            box.heartbeat = frame
        elif frame["k"] == FORWARDED_HEARTBEAT_KIND:
            # In the place of its last one: with thousands of machines, each gets its turn.
            box.reports[frame.get("m")] = frame
        elif frame["k"] == MACHINES_ALIVE_KIND:
            box.alive = frame
        else:
            if frame["k"] == RELAYED_COMMAND_RESULT_KIND:
                # It holds a newer report of the machine.
                box.reports.pop(frame.get("m"), None)
            box.frames.append(_QueuedFrame(frame, self.runtime.now()))

    def _turn(self) -> None:
        for peer, box in self._boxes.items():
            if not self._silent(peer) or not self._wanted(peer):
                box.clear()
                continue
            self._read(peer, box)
            box.forget(self.runtime.now() - FRESH_PERIODS * self._period)
            pause = self._period if self.is_reachable(peer) else 2 * self._period
            if box.holds_any and not box.writing and self.runtime.now() - box.posted_at >= pause:
                self._write(peer, box)

    def _write(self, peer: str, box: _RelayQueue) -> None:
        key = f"{MAIL}{self._node}/{peer}"
        box.writing = True
        if box.version is None:

            def found(known: bool, row: wire.Row | None) -> None:
                box.writing = False
                if known:
                    box.version = row.version if row else 0

            self._store.get(key, found)
            return
        box.posted_at = self.runtime.now()
        frames = box.in_order()
        now = self.runtime.wall()
        text, count = encode_batch(frames, self._most, now)
        box.sent(count)
        if count < len(frames) and encode_batch([frames[count]], self._most, now)[1] == 0:
            log.warning("a frame of kind %s is too long for mail", frames[count]["k"])
            box.sent(1)

        def told(outcome: Outcome, revision: int) -> None:
            box.writing = False
            box.version = revision if outcome is Outcome.COMMITTED else None

        self._store.compare_and_swap({key: box.version}, {key: text}, [], told)

    def _read(self, peer: str, box: _RelayQueue) -> None:
        if box.reading:
            return
        box.reading = True

        def told(known: bool, row: wire.Row | None) -> None:
            box.reading = False
            if not known:
                return
            first, version = box.seen is None, row.version if row else 0
            if box.seen == version:
                return
            box.seen = version
            # What lay there before we looked may be of long ago.
            if first or row is None or not self._silent(peer):
                return
            try:
                at, frames = decode_batch(row.value)
            except ValueError as fault:
                log.warning("mail of %s: %s", peer, fault)
                return
            if self.runtime.wall() - at > FRESH_PERIODS * self._period + CLOCKS_APART:
                # Of an earlier silence, never read then: heartbeats and orders of long ago.
                return
            box.heard = self.runtime.now()
            for frame in frames:
                try:
                    self._receive(peer, frame)
                except Exception:
                    log.exception("mailed frame %s of %s failed", frame.get("k"), peer)

        self._store.get(f"{MAIL}{peer}/{self._node}", told)
