"""Negotiates the format: which ones the configured controllers read, and on what evidence.

A controller states its range in the first frame of each connection that it dials, and in the
heartbeats that are relayed through the key-value store while no connection works. The newest
connection speaks for its process: what an older one still delivers is a late copy and proves
nothing. Relayed heartbeats can only raise what is known, since a batch may be some seconds old.

The leader stores what it knows of the others (`formats`, guarded by the leader key), so that a
member that is down does not have to be heard again by the next leader.
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
    """Owns the evidence on the formats of this controller's peers."""

    def __init__(
        self, runtime: Runtime, peers: Iterable[str], store: KeyValueStore, retry_s: float
    ) -> None:
        """`retry_s`: between two tries to store the evidence."""
        super().__init__(runtime)
        self._peers = sorted(peers)
        self._store = store
        self._retry_s = retry_s
        self._stated_ranges: dict[str, FormatRange] = {}
        """What peers stated to this process."""
        self._newest_connections: dict[str, int] = {}
        """The newest connection of each peer, by the order in which they were accepted."""
        self._stored_formats: dict[str, int] = {}
        """The newest format of each peer, as stored."""
        self._key_version: int | None = None
        """Of the formats key; None: it must be read before it can be written."""
        self._leader_key_version: int | None = None
        """Of the leader key, while this controller leads."""
        self._is_call_pending = False

    # Evidence

    def on_hello(self, peer: str, connection: int, stated: Any) -> None:
        """A peer's first frame on a connection; later connections have higher numbers."""
        if connection < self._newest_connections.get(peer, -1):
            return
        self._newest_connections[peer] = connection
        self._record_range(peer, formats.parse_range(stated))

    def on_relayed_heartbeat(self, peer: str, stated: Any) -> None:
        """A peer's heartbeat that came through the key-value store."""
        stated_range = formats.parse_range(stated)
        if stated_range.newest > self.newest_format_of(peer):
            self._record_range(peer, stated_range)

    def _record_range(self, peer: str, stated_range: FormatRange) -> None:
        if self._stated_ranges.get(peer) != stated_range:
            self._stated_ranges[peer] = stated_range
            log.info("event=member_format peer=%s newest=%d", peer, stated_range.newest)
            self._store_evidence()

    def newest_format_of(self, peer: str) -> int:
        """The newest format that the peer is known to read."""
        stated_range = self._stated_ranges.get(peer)
        if stated_range is not None:
            return stated_range.newest
        return self._stored_formats.get(peer, formats.FIRST)

    @property
    def common_format(self) -> int:
        """The newest format that all configured controllers are known to read."""
        return min(
            [formats.SUPPORTED.newest, *(self.newest_format_of(peer) for peer in self._peers)]
        )

    # The formats key

    def begin(self, leader_key_version: int) -> None:
        """This controller leads, under that version of the leader key."""
        self._leader_key_version = leader_key_version
        self._key_version = None
        self._store_evidence()

    def end(self) -> None:
        """This controller leads no more."""
        self._leader_key_version = None

    def _known_formats(self) -> dict[str, int]:
        newest_formats = {peer: self.newest_format_of(peer) for peer in self._peers}
        return {peer: newest for peer, newest in newest_formats.items() if newest > formats.FIRST}

    def _store_evidence(self) -> None:
        """Stores what is known, if this controller leads and the key does not hold it yet."""
        if self._leader_key_version is None or self._is_call_pending:
            return
        if self._key_version is None:
            self._read_key(self._leader_key_version)
        elif self._known_formats() != self._stored_formats:
            self._write_key(self._leader_key_version, self._key_version)

    def _read_key(self, leader_key_version: int) -> None:
        self._is_call_pending = True
        self._store.get(FORMATS_KEY, partial(self._on_key_read, leader_key_version))

    def _on_key_read(self, leader_key_version: int, is_known: bool, row: wire.Row | None) -> None:
        self._is_call_pending = False
        if not is_known:
            self.later(self._retry_s, self._store_evidence)
            return
        if self._leader_key_version == leader_key_version:
            self._key_version = row.version if row is not None else 0
            self._stored_formats = _parse_stored_formats(row.value) if row is not None else {}
        self._store_evidence()

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
        self.later(self._retry_s, self._store_evidence)


def _parse_stored_formats(value: Any) -> dict[str, int]:
    """The newest formats that the key holds; what is no number is left out."""
    newest = value.get("newest") if isinstance(value, dict) else None
    if not isinstance(newest, dict):
        log.error("event=formats_damaged value=%r", value)
        return {}
    return {str(peer): version for peer, version in newest.items() if type(version) is int}
