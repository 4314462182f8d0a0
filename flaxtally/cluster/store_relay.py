"""Relays frames between controllers through the key-value store while their direct link is down.

Two zones that can't reach each other may both still reach the key-value store. Each controller then
writes its frames for a peer, in batches, to a key of its own, and reads the peer's key. This is
slow (about a second) and may lose frames like the links do; senders and receivers are safe in both
cases. It keeps the controllers of a partitioned zone connected to their leader: the heartbeats of
the zone's workers reach the leader, and its commands reach the workers.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.actor import Actor
from .relay_batch import InvalidBatchError, decode_batch, encode_batch
from .relay_queue import RelayQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..runtime.loop import Runtime
    from .messages import Frame
    from .peer_liveness import PeerLiveness

log = logging.getLogger(__name__)

RELAY_KEY_PREFIX = "mail/"
MAX_AGE_PERIODS = 5
"""Relay periods after which a batch or a waiting frame is too old to be used, and a peer whose last
batch was read that long ago counts as unreachable.
"""
MAX_CLOCK_SKEW_S = 1.0
"""Upper bound for the difference between the wall clocks of two controllers."""


@dataclass(frozen=True)
class RelayLimits:
    """How often batches are written, and how large they may be."""

    period_s: float
    max_batch_chars: int

    @property
    def max_age_s(self) -> float:
        """The age up to which a batch, or a frame that waits for one, is still used."""
        return MAX_AGE_PERIODS * self.period_s


class _PeerRelay:
    """State of the relay to and from one peer."""

    def __init__(self) -> None:
        self.queue = RelayQueue()
        self.is_writing = False
        self.written_at = float("-inf")
        self.written_version: int | None = None
        """Version of our key for the peer; None if it must be read before it can be written."""
        self.is_reading = False
        self.read_version: int | None = None
        """Version of the peer's key for us as last read; None if it was never read."""
        self.last_heard_at = float("-inf")


class StoreRelay(Actor):
    """Writes this controller's relay keys, and reads those of its peers."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        liveness: PeerLiveness,
        limits: RelayLimits,
        *,
        may_relay_to: Callable[[str], bool],
        on_frame: Callable[[str, Frame], None],
    ) -> None:
        """Relays to peers whose direct link is down and that `may_relay_to` allows.

        `on_frame` gets the sender and the frame for each frame that is received.
        """
        super().__init__(runtime)
        self._node = liveness.node
        self._store = store
        self._liveness = liveness
        self._limits = limits
        self._may_relay_to = may_relay_to
        self._on_frame = on_frame
        self._relays = {peer: _PeerRelay() for peer in liveness.last_heard_at}
        self.every(limits.period_s / 2, self._relay_frames)

    def is_reachable(self, peer: str) -> bool:
        """Whether a new batch of the peer was read recently."""
        relay = self._relays.get(peer)
        return (
            relay is not None and self.runtime.now() - relay.last_heard_at < self._limits.max_age_s
        )

    def on_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the time without batches of the peers."""
        now = self.runtime.now()
        for relay in self._relays.values():
            relay.last_heard_at = min(now, relay.last_heard_at + pause_s)

    def enqueue(self, peer: str, frame: Frame) -> None:
        """Queues the frame for one of the next batches."""
        self._relays[peer].queue.add(frame, self.runtime.now())

    def _relay_frames(self) -> None:
        for peer, relay in self._relays.items():
            if not self._liveness.is_link_down(peer) or not self._may_relay_to(peer):
                relay.queue.clear()
                continue
            self._read_batch(peer, relay)
            relay.queue.drop_queued_before(self.runtime.now() - self._limits.max_age_s)
            if self._is_batch_due(peer, relay):
                self._write(peer, relay)

    def _is_batch_due(self, peer: str, relay: _PeerRelay) -> bool:
        if not relay.queue.has_frames or relay.is_writing:
            return False
        period_s = self._limits.period_s
        interval_s = period_s if self.is_reachable(peer) else 2 * period_s
        return self.runtime.now() - relay.written_at >= interval_s

    # Writing

    def _write(self, peer: str, relay: _PeerRelay) -> None:
        key = f"{RELAY_KEY_PREFIX}{self._node}/{peer}"
        relay.is_writing = True
        if relay.written_version is None:
            self._store.get(key, partial(self._on_own_key_read, relay))
        else:
            self._write_batch(key, relay, relay.written_version)

    @staticmethod
    def _on_own_key_read(relay: _PeerRelay, is_read: bool, row: wire.Row | None) -> None:
        relay.is_writing = False
        if is_read:
            relay.written_version = row.version if row else 0

    def _write_batch(self, key: str, relay: _PeerRelay, version: int) -> None:
        relay.written_at = self.runtime.now()
        batch = self._take_batch(relay.queue)
        self._store.compare_and_swap(
            {key: version}, {key: batch}, [], partial(self._on_batch_written, relay)
        )

    def _take_batch(self, queue: RelayQueue) -> str:
        """Removes the most urgent frames from the queue and returns them as a batch.

        A frame that is too long for any batch is dropped.
        """
        frames = queue.list_by_urgency()
        max_chars, now = self._limits.max_batch_chars, self.runtime.wall()
        batch, count = encode_batch(frames, max_chars, now)
        queue.remove_first(count)
        if count < len(frames) and encode_batch([frames[count]], max_chars, now)[1] == 0:
            log.warning("event=relay_frame_too_long kind=%s", frames[count]["k"])
            queue.remove_first(1)
        return batch

    @staticmethod
    def _on_batch_written(relay: _PeerRelay, outcome: Outcome, version: int) -> None:
        relay.is_writing = False
        relay.written_version = version if outcome is Outcome.COMMITTED else None

    # Reading

    def _read_batch(self, peer: str, relay: _PeerRelay) -> None:
        if not relay.is_reading:
            relay.is_reading = True
            key = f"{RELAY_KEY_PREFIX}{peer}/{self._node}"
            self._store.get(key, partial(self._on_batch_read, peer, relay))

    def _on_batch_read(
        self, peer: str, relay: _PeerRelay, is_read: bool, row: wire.Row | None
    ) -> None:
        relay.is_reading = False
        version = row.version if row else 0
        if not is_read or relay.read_version == version:
            return
        is_first_read = relay.read_version is None
        relay.read_version = version
        # A batch that was there before the first read may be very old.
        if not is_first_read and row is not None and self._liveness.is_link_down(peer):
            self._receive_batch(peer, relay, row.value)

    def _receive_batch(self, peer: str, relay: _PeerRelay, text: str) -> None:
        try:
            sent_at, frames = decode_batch(text)
        except InvalidBatchError as error:
            log.warning("event=relay_batch_invalid peer=%s reason=%s", peer, error)
            return
        if self.runtime.wall() - sent_at > self._limits.max_age_s + MAX_CLOCK_SKEW_S:
            # The batch is from an earlier outage of the link and was not read then: its heartbeats
            # and commands are outdated.
            return
        relay.last_heard_at = self.runtime.now()
        for frame in frames:
            self._receive_frame(peer, frame)

    def _receive_frame(self, peer: str, frame: Frame) -> None:
        try:
            self._on_frame(peer, frame)
        except Exception:
            kind = frame.get("k")
            log.exception("event=relay_frame_handler_failed peer=%s kind=%s", peer, kind)
