"""Negotiates the data format: tracks which formats each configured controller can read.

A controller announces its range of formats in the first frame of each connection that it dials, and
in the heartbeats that are relayed through the key-value store while no connection works. Only the
newest connection of a peer counts: frames that an older one still delivers are late copies. Relayed
heartbeats can only raise the known format, since a batch may be some seconds old.

The leader stores the formats of its peers (key `formats`, guarded by the leader key), so that the
next leader knows them also for members that are down.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any

from ..clients.key_value_store import KeyValueStore, Outcome
from ..protocol import formats, wire
from ..runtime.actor import Actor
from .leader_key import LEADER_KEY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..protocol.formats import FormatRange
    from ..runtime.loop import Runtime

log = logging.getLogger(__name__)

FORMATS_KEY = "formats"


class FormatNegotiation(Actor):
    """Tracks the formats that this controller's peers can read."""

    def __init__(
        self, runtime: Runtime, peers: Iterable[str], store: KeyValueStore, retry_s: float
    ) -> None:
        """`retry_s`: the delay between two attempts to store the known formats."""
        super().__init__(runtime)
        self._peers = sorted(peers)
        self._store = store
        self._retry_s = retry_s
        self._announced_ranges: dict[str, FormatRange] = {}
        """The range that each peer announced to this process."""
        self._newest_connections: dict[str, int] = {}
        """The number of each peer's newest connection; connections are numbered as accepted."""
        self._stored_formats: dict[str, int] = {}
        """The newest format of each peer, as stored in the formats key."""
        self._key_version: int | None = None
        """Version of the formats key; None if the key must be read before it can be written."""
        self._leader_key_version: int | None = None
        """Version of the leader key while this controller leads; None otherwise."""
        self._is_call_pending = False

    # Announced formats

    def on_hello(self, peer: str, connection: int, announced_formats: Any) -> None:
        """Handles a peer's first frame on a connection; later connections have higher numbers."""
        if connection < self._newest_connections.get(peer, -1):
            return
        self._newest_connections[peer] = connection
        self._record_range(peer, formats.parse_range(announced_formats))

    def on_relayed_heartbeat(self, peer: str, announced_formats: Any) -> None:
        """Handles a peer's heartbeat that was relayed through the key-value store."""
        announced_range = formats.parse_range(announced_formats)
        if announced_range.newest > self.get_newest_format(peer):
            self._record_range(peer, announced_range)

    def _record_range(self, peer: str, announced_range: FormatRange) -> None:
        if self._announced_ranges.get(peer) != announced_range:
            self._announced_ranges[peer] = announced_range
            log.info("event=member_format peer=%s newest=%d", peer, announced_range.newest)
            self._store_known_formats()

    def get_newest_format(self, peer: str) -> int:
        """Returns the newest format that the peer is known to read."""
        announced_range = self._announced_ranges.get(peer)
        if announced_range is not None:
            return announced_range.newest
        return self._stored_formats.get(peer, formats.FIRST)

    @property
    def common_format(self) -> int:
        """The newest format that all configured controllers are known to read."""
        return min(
            [formats.SUPPORTED.newest, *(self.get_newest_format(peer) for peer in self._peers)]
        )

    # The formats key

    def begin_term(self, leader_key_version: int) -> None:
        """Starts storing the formats, guarded by that version of the leader key."""
        self._leader_key_version = leader_key_version
        self._key_version = None
        self._store_known_formats()

    def change_leader_key_version(self, leader_key_version: int) -> None:
        """Guards further writes by that version: the leader has taken a further term."""
        self._leader_key_version = leader_key_version

    def end_term(self) -> None:
        """Stops storing the formats: this controller no longer leads."""
        self._leader_key_version = None

    def _known_formats(self) -> dict[str, int]:
        newest_formats = {peer: self.get_newest_format(peer) for peer in self._peers}
        return {peer: newest for peer, newest in newest_formats.items() if newest > formats.FIRST}

    def _store_known_formats(self) -> None:
        """Stores the known formats if this controller leads and they are not stored yet."""
        if self._leader_key_version is None or self._is_call_pending:
            return
        if self._key_version is None:
            self._read_key(self._leader_key_version)
        elif self._known_formats() != self._stored_formats:
            self._write_key(self._leader_key_version, self._key_version)

    def _read_key(self, leader_key_version: int) -> None:
        self._is_call_pending = True
        self._store.get(FORMATS_KEY, partial(self._on_key_read, leader_key_version))

    def _on_key_read(self, leader_key_version: int, is_read: bool, row: wire.Row | None) -> None:
        self._is_call_pending = False
        if not is_read:
            self.later(self._retry_s, self._store_known_formats)
            return
        if self._leader_key_version == leader_key_version:
            self._key_version = row.version if row is not None else 0
            self._stored_formats = _parse_stored_formats(row.value) if row is not None else {}
        self._store_known_formats()

    def _write_key(self, leader_key_version: int, key_version: int) -> None:
        self._is_call_pending = True
        known = self._known_formats()
        self._store.compare_and_swap(
            {LEADER_KEY: leader_key_version, FORMATS_KEY: key_version},
            {FORMATS_KEY: {"newest": known}},
            [],
            partial(self._on_key_written, leader_key_version, known),
        )

    def _on_key_written(
        self, leader_key_version: int, known: dict[str, int], outcome: Outcome, version: int
    ) -> None:
        self._is_call_pending = False
        if outcome is Outcome.COMMITTED and self._leader_key_version == leader_key_version:
            self._stored_formats = known
            self._key_version = version
        else:
            self._key_version = None
        self.later(self._retry_s, self._store_known_formats)


def _parse_stored_formats(value: Any) -> dict[str, int]:
    """Returns the newest format by peer; entries that are not integers are left out."""
    newest = value.get("newest") if isinstance(value, dict) else None
    if not isinstance(newest, dict):
        log.error("event=formats_damaged value=%r", value)
        return {}
    return {str(peer): version for peer, version in newest.items() if type(version) is int}
