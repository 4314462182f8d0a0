"""Forwards the heartbeats that workers send to this controller to the leader.

While the link to the leader is down, frames go through the key-value store, whose values are small.
The full heartbeats of all machines of a partitioned zone don't fit: when only those were sent, the
leader received nothing from most machines and terminated them one by one. Therefore each batch
lists the machines that reported recently. A full heartbeat is sent only if it differs from the last
one that was forwarded, and at intervals, since frames through the store may be lost.
"""

from __future__ import annotations

import hashlib
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ..cluster.messages import ForwardedHeartbeat, MachinesAlive, to_frame
from ..protocol import formats, wire
from ..runtime.actor import Actor

if TYPE_CHECKING:
    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..cluster.peer_links import PeerLinks
    from ..policy import Policy
    from ..runtime.loop import Runtime
    from ..settings import Settings

DIGEST_BYTES = 8
VALUE_BYTES_PER_NAME = 16
"""Bytes of a store value that are allowed per machine name in a list; compressed names take a third
of that.
"""


def compute_digest(heartbeat: wire.Heartbeat) -> bytes:
    """Returns a digest that is equal for heartbeats that differ only in their sequence number."""
    content = msgspec.msgpack.encode(msgspec.structs.replace(heartbeat, sequence_number=0))
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True)
class _ForwardedHeartbeat:
    """The last full heartbeat of a machine that was forwarded."""

    term: int
    digest: bytes
    sent_at: float


class HeartbeatForwarding(Actor):
    """Forwards heartbeats, and tracks what was forwarded while the link to the leader is down."""

    def __init__(
        self,
        runtime: Runtime,
        settings: Settings,
        policy: Policy,
        election: LeaderElection,
        peers: PeerLinks,
        member_formats: FormatNegotiation,
    ) -> None:
        """`member_formats`: shows whether the leader's program supports lists of live machines."""
        super().__init__(runtime)
        self._election = election
        self._peers = peers
        self._member_formats = member_formats
        self._max_age_s = settings.lease_s / 2
        """Time after which an unchanged heartbeat is sent in full again."""
        self._max_names = settings.state_limits.value_bytes // VALUE_BYTES_PER_NAME
        """Maximum count of names in one list, which shares a store value with other frames."""
        self._forwarded: dict[str, _ForwardedHeartbeat] = {}
        self._unlisted: dict[str, None] = {}
        """Machines that reported since they were last listed, the longest-waiting first."""
        self.every(policy.mail, self._send_liveness)

    def forward(self, heartbeat: wire.Heartbeat, body: bytes) -> None:
        """Forwards a heartbeat, whose encoded form is `body`, to the current leader."""
        if not self._uses_store_relay():
            self._forwarded.pop(heartbeat.machine, None)
            self._send_heartbeat(heartbeat, body)
            return
        self._unlisted[heartbeat.machine] = None
        now = self.runtime.now()
        term = self._election.term
        digest = compute_digest(heartbeat)
        last = self._forwarded.get(heartbeat.machine)
        is_unchanged = last is not None and last.term == term and last.digest == digest
        if last is None or not is_unchanged or now - last.sent_at > self._max_age_s:
            self._forwarded[heartbeat.machine] = _ForwardedHeartbeat(term, digest, now)
            self._send_heartbeat(heartbeat, body)

    def expire(self, before: float) -> None:
        """Drops records of heartbeats that were forwarded before the given time."""
        self._forwarded = {
            machine: last for machine, last in self._forwarded.items() if last.sent_at > before
        }

    def _uses_store_relay(self) -> bool:
        """Whether the leader is reached only through the store relay, and supports the lists."""
        leader = self._election.leader
        return (
            leader is not None
            and not self._election.is_leader
            and self._peers.is_link_down(leader)
            and self._member_formats.get_newest_format(leader) >= formats.GANGS
        )

    def _send_liveness(self) -> None:
        leader = self._election.leader
        if leader is None or not self._uses_store_relay():
            self._unlisted.clear()
            return
        names = list(itertools.islice(self._unlisted, self._max_names))
        for name in names:
            del self._unlisted[name]
        if names:
            message = MachinesAlive(term=self._election.term, machines=sorted(names))
            self._peers.send(leader, to_frame(message))

    def _send_heartbeat(self, heartbeat: wire.Heartbeat, body: bytes) -> None:
        message = ForwardedHeartbeat(
            term=self._election.term, machine=heartbeat.machine, heartbeat=body
        )
        self._peers.send(self._election.leader or "", to_frame(message))
