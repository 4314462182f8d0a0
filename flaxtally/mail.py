"""Frames between controllers through the state service, while their direct link is silent.

When two zones can't reach each other both still reach the state service. Each node then puts what
it has for a peer into a key of its own, a batch at a time, and reads the peer's key. It is slow
(about a second) and may lose frames like the links do; those who send and receive are safe under
both. It keeps a far part in touch with its leader: its workers' reports arrive, stops and launches
reach them.
"""

from __future__ import annotations

import base64
import logging
import zlib
from collections.abc import Callable
from typing import Any

import cbor2

from . import wire
from .actor import Actor
from .loop import Runtime
from .store import Outcome, Store

log = logging.getLogger(__name__)

MAIL = "mail/"
MOST_INFLATED = 1 << 20
FRESH_PERIODS = 5
"""For so many periods a peer whose batch was read counts as heard."""
CLOCKS_APART = 1.0
"""Seconds by which the times of day of two nodes may differ, and more."""
Frame = dict[str, Any]


def fold(frames: list[Frame], most: int, at: float) -> str:
    """A batch as text of at most `most` characters; the newest frames win when not all fit.

    `at`: the time of day, since a batch lies there until the next silence of the link.
    """
    while True:
        text = base64.b85encode(zlib.compress(cbor2.dumps([at, frames]), 6)).decode("ascii")
        if len(text) <= most or not frames:
            return text
        frames = frames[len(frames) // 4 + 1 :]


def unfold(text: str) -> tuple[float, list[Frame]]:
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


class _Box:
    """One direction to and one from a peer."""

    def __init__(self) -> None:
        self.frames: dict[Any, Frame] = {}
        self.count = 0
        self.posted_at = float("-inf")
        self.version: int | None = None
        self.writing = self.reading = False
        self.seen: int | None = None
        self.heard = float("-inf")


class Mail(Actor):
    """Owns this node's boxes. `silent(peer)` tells whether the direct link is."""

    def __init__(
        self,
        runtime: Runtime,
        node: str,
        peers: list[str],
        store: Store,
        period: float,
        most: int,
        silent: Callable[[str], bool],
        wanted: Callable[[str], bool],
        receive: Callable[[str, Frame], None],
    ) -> None:
        super().__init__(runtime)
        self._node, self._store, self._period, self._most = node, store, period, most
        self._silent, self._wanted, self._receive = silent, wanted, receive
        self._boxes = {peer: _Box() for peer in peers}
        self.every(period / 2, self._turn)

    def fresh(self, peer: str) -> bool:
        box = self._boxes.get(peer)
        return box is not None and self.runtime.now() - box.heard < FRESH_PERIODS * self._period

    def on_pause(self, lost: float) -> None:
        """The process stood still: peers were not silent meanwhile."""
        now = self.runtime.now()
        for box in self._boxes.values():
            box.heard = min(now, box.heard + lost)

    def post(self, peer: str, frame: Frame) -> None:
        """Keeps the frame for the next batch.

        Of heartbeats, and of one machine's reports, the last is enough.
        """
        box = self._boxes[peer]
        box.count += 1
        key = {"hb": "hb", "rep": ("rep", frame.get("m"))}.get(frame["k"], box.count)
        box.frames.pop(key, None)
        box.frames[key] = frame

    def _turn(self) -> None:
        for peer, box in self._boxes.items():
            if not self._silent(peer) or not self._wanted(peer):
                box.frames.clear()
                continue
            self._read(peer, box)
            pause = self._period if self.fresh(peer) else 2 * self._period
            if box.frames and not box.writing and self.runtime.now() - box.posted_at >= pause:
                self._write(peer, box)

    def _write(self, peer: str, box: _Box) -> None:
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
        text = fold(list(box.frames.values()), self._most, self.runtime.wall())
        box.frames = {}

        def told(outcome: Outcome, revision: int) -> None:
            box.writing = False
            box.version = revision if outcome is Outcome.DONE else None

        self._store.transact({key: box.version}, {key: text}, [], told)

    def _read(self, peer: str, box: _Box) -> None:
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
                at, frames = unfold(row.value)
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
