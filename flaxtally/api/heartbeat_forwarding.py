"""Passes what machines report on to the leader.

While the link to the leader is silent frames go through the state service, whose values are small:
whole reports of all machines of a cut-off zone don't fit, most machines were silent to the leader,
and it released them one by one. So each batch says which machines reported lately; a report goes
whole only if it differs from the last one that was passed, and now and then, since mail may be
lost.
"""

from __future__ import annotations

import hashlib
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ..cluster.messages import FORWARDED_HEARTBEAT_KIND, MACHINES_ALIVE_KIND
from ..protocol import formats, wire
from ..runtime.actor import Actor

if TYPE_CHECKING:
    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..cluster.peer_links import PeerLinks
    from ..runtime.loop import Runtime

DIGEST_BYTES = 8
BYTES_A_NAME = 16
"""Of a value for each name of a list: names compress to a third of that."""


def digest(report: wire.Heartbeat) -> bytes:
    """Equal for reports that differ in nothing but their number."""
    content = msgspec.msgpack.encode(msgspec.structs.replace(report, sequence_number=0))
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True)
class _Passed:
    """The last whole report of a machine that was passed on."""

    term: int
    digest: bytes
    at: float


class HeartbeatForwarding(Actor):
    """Owns what was passed on while the link to the leader is silent."""

    def __init__(
        self,
        runtime: Runtime,
        election: LeaderElection,
        peers: PeerLinks,
        members: FormatNegotiation,
        period: float,
        whole_every: float,
        value_bytes: int,
    ) -> None:
        """Seconds between lists of machines that reported, and until a report goes whole again.

        `value_bytes`: of a value of the state service, which lists share with other frames.
        """
        super().__init__(runtime)
        self._election, self._peers, self._members = election, peers, members
        self._whole_every = whole_every
        self._most_listed = value_bytes // BYTES_A_NAME
        self._passed: dict[str, _Passed] = {}
        self._reported: dict[str, None] = {}
        """Machines that reported since they were last listed; who waits for longest first."""
        self.every(period, self._list_reported)

    def forward(self, report: wire.Heartbeat, body: bytes) -> None:
        """Passes a report, whose bytes are `body`, on to the leader that is followed."""
        if not self._by_mail():
            self._passed.pop(report.machine, None)
            self._send_whole(report, body)
            return
        self._reported[report.machine] = None
        now, term, found = self.runtime.now(), self._election.term, digest(report)
        last = self._passed.get(report.machine)
        if (
            last is None
            or (last.term, last.digest) != (term, found)
            or now - last.at > self._whole_every
        ):
            self._passed[report.machine] = _Passed(term, found, now)
            self._send_whole(report, body)

    def forget(self, before: float) -> None:
        """Drops what was passed on before that time."""
        self._passed = {name: entry for name, entry in self._passed.items() if entry.at > before}

    def _by_mail(self) -> bool:
        """Whether the leader is reached by mail alone, and knows lists of machines."""
        leader = self._election.leader
        return (
            leader is not None
            and not self._election.is_leader
            and self._peers.is_silent(leader)
            and self._members.newest_format_of(leader) >= formats.GANGS
        )

    def _list_reported(self) -> None:
        leader = self._election.leader
        if leader is None or not self._by_mail():
            self._reported.clear()
            return
        names = list(itertools.islice(self._reported, self._most_listed))
        for name in names:
            del self._reported[name]
        if names:
            self._peers.send(
                leader, {"k": MACHINES_ALIVE_KIND, "t": self._election.term, "m": sorted(names)}
            )

    def _send_whole(self, report: wire.Heartbeat, body: bytes) -> None:
        frame = {
            "k": FORWARDED_HEARTBEAT_KIND,
            "t": self._election.term,
            "m": report.machine,
            "b": body,
        }
        self._peers.send(self._election.leader or "", frame)
