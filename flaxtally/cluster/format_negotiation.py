"""Which formats the configured controllers read, and on what evidence.

A controller states its range in the first frame of each connection that it dials, and in the
heartbeats that it sends through the state service while no connection works. The newest connection
speaks for its process: what an older one still delivers is a late copy and proves nothing. Mail
can only raise what is known, since a batch may be some seconds old.

The leader keeps what it knows of the others at the state service (`formats`, guarded by the leader
key), so that a member that is down does not have to be heard again by the next leader.
"""

from __future__ import annotations

import logging
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
        self, runtime: Runtime, peers: Iterable[str], store: KeyValueStore, retry: float
    ) -> None:
        """`retry`: seconds between two tries to keep the evidence at the state service."""
        super().__init__(runtime)
        self._peers, self._store, self._retry = sorted(peers), store, retry
        self._heard: dict[str, FormatRange] = {}
        """What this process heard of its peers."""
        self._connections: dict[str, int] = {}
        """The newest connection of each peer, by the order in which they were accepted."""
        self._kept: dict[str, int] = {}
        """The newest format of each peer, as kept at the state service."""
        self._key_version: int | None = None
        """Of the key; None: it must be read before it can be written."""
        self._leader_version: int | None = None
        """Of the leader key, while this controller leads."""
        self._busy = False

    # Evidence

    def on_hello(self, peer: str, connection: int, stated: Any) -> None:
        """A peer's first frame on a connection; later connections have higher numbers."""
        if connection < self._connections.get(peer, -1):
            return
        self._connections[peer] = connection
        self._note(peer, formats.parse_range(stated))

    def on_relayed_heartbeat(self, peer: str, stated: Any) -> None:
        """A peer's heartbeat that came through the state service."""
        found = formats.parse_range(stated)
        if found.newest > self.newest_format_of(peer):
            self._note(peer, found)

    def _note(self, peer: str, found: FormatRange) -> None:
        before = self._heard.get(peer)
        self._heard[peer] = found
        if before != found:
            log.info("event=member_format peer=%s newest=%d", peer, found.newest)
            self._keep()

    def newest_format_of(self, peer: str) -> int:
        """The newest format that the peer is known to read."""
        heard = self._heard.get(peer)
        return heard.newest if heard is not None else self._kept.get(peer, formats.FIRST)

    @property
    def common_format(self) -> int:
        """The newest format that all configured controllers are known to read."""
        return min([formats.OWN.newest, *(self.newest_format_of(peer) for peer in self._peers)])

    # The key

    def begin(self, leader_version: int) -> None:
        """This controller leads, under that version of the leader key."""
        self._leader_version = leader_version
        self._key_version = None
        self._keep()

    def end(self) -> None:
        """This controller leads no more."""
        self._leader_version = None

    def _known(self) -> dict[str, int]:
        newest = {peer: self.newest_format_of(peer) for peer in self._peers}
        return {peer: version for peer, version in newest.items() if version > formats.FIRST}

    def _keep(self) -> None:
        if self._leader_version is None or self._busy:
            return
        if self._key_version is None:
            self._read(self._leader_version)
        elif self._known() != self._kept:
            self._write(self._leader_version, self._key_version)

    def _read(self, leader_version: int) -> None:
        self._busy = True

        def told(known: bool, row: wire.Row | None) -> None:
            self._busy = False
            if not known:
                self.later(self._retry, self._keep)
            elif self._leader_version == leader_version:
                self._key_version = row.version if row is not None else 0
                self._kept = _parse_kept(row.value) if row is not None else {}
                self._keep()
            else:
                self._keep()

        self._store.get(FORMATS_KEY, told)

    def _write(self, leader_version: int, key_version: int) -> None:
        self._busy = True
        known = self._known()

        def told(outcome: Outcome, revision: int) -> None:
            self._busy = False
            if outcome is Outcome.COMMITTED and self._leader_version == leader_version:
                self._kept, self._key_version = known, revision
            else:
                self._key_version = None
            self.later(self._retry, self._keep)

        guards = {LEADER_KEY: leader_version, FORMATS_KEY: key_version}
        self._store.compare_and_swap(guards, {FORMATS_KEY: {"newest": known}}, [], told)


def _parse_kept(value: Any) -> dict[str, int]:
    """The newest formats that the key holds; what is no number is left out."""
    newest = value.get("newest") if isinstance(value, dict) else None
    if not isinstance(newest, dict):
        log.error("event=formats_damaged value=%r", value)
        return {}
    return {str(peer): version for peer, version in newest.items() if type(version) is int}
