"""Replies to the heartbeats of workers, and passes them to the leader."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec

from ..clients.workers import decode_heartbeat
from ..protocol import wire

if TYPE_CHECKING:
    from ..cluster.leader_election import LeaderElection
    from ..cluster.messages import ForwardedHeartbeat, MachinesAlive
    from ..leader.leader import Leader
    from ..policy import Policy
    from ..runtime.http import Request
    from ..runtime.loop import Runtime
    from .heartbeat_forwarding import HeartbeatForwarding
    from .recent_heartbeats import RecentHeartbeats
    from .shard_redirects import ShardRedirects

log = logging.getLogger(__name__)

OK, BAD_REQUEST, MISDIRECTED, UNAVAILABLE = 200, 400, 421, 503


class CellRedirect(NamedTuple):
    """The machine belongs to another cell; `controller` is one of that cell, None if unknown."""

    controller: str | None


class CellLocator(Protocol):
    """Finds the cell that a machine belongs to, in a fleet that is divided into cells."""

    def redirect_to_cell(self, heartbeat: wire.Heartbeat) -> CellRedirect | None:
        """Returns where a machine of another cell reports; None for a machine of this cell."""


class _Reply(NamedTuple):
    status: int
    body: Any


@dataclass(frozen=True)
class HeartbeatTables:
    """The state that a controller keeps about the machines that report to it."""

    forwarding: HeartbeatForwarding
    recent: RecentHeartbeats
    redirects: ShardRedirects


class HeartbeatEndpoint:
    """Handles heartbeats from workers, and those that other controllers forward."""

    def __init__(
        self,
        runtime: Runtime,
        node: str,
        policy: Policy,
        election: LeaderElection,
        leader: Leader,
        tables: HeartbeatTables,
        cells: CellLocator | None,
    ) -> None:
        """`node`: the name of this controller. `cells`: None in a fleet without cells."""
        self._runtime = runtime
        self._node = node
        self._unattended_s = policy.unattended
        self._election = election
        self._leader = leader
        self._forwarding = tables.forwarding
        self._recent = tables.recent
        self._redirects = tables.redirects
        self._cells = cells
        self._started_at = runtime.now()

    def handle_heartbeat(self, request: Request) -> None:
        """Replies to a worker's heartbeat, and passes it to the leader if it is accepted."""
        try:
            heartbeat = decode_heartbeat(request.body)
        except msgspec.DecodeError as error:
            log.warning("malformed heartbeat from a worker, rejected: %s", error)
            request.reply(BAD_REQUEST, {"error": "not a report"})
            return
        refusal = self._decide_refusal(heartbeat)
        if refusal is not None:
            request.reply(refusal.status, refusal.body)
            return
        election = self._election
        request.reply(OK, wire.HeartbeatReply(election.term))
        self._recent.record(heartbeat)
        if election.is_leader:
            self._leader.handle_heartbeat(self._node, heartbeat)
        elif election.leader is not None:
            self._forwarding.forward(heartbeat, request.body)

    def _decide_refusal(self, heartbeat: wire.Heartbeat) -> _Reply | None:
        """Returns the reply to a heartbeat that is not accepted; None for one that is."""
        cell_redirect = self._cells.redirect_to_cell(heartbeat) if self._cells is not None else None
        if cell_redirect is not None:
            return _Reply(MISDIRECTED, wire.Redirect(cell_redirect.controller))
        election = self._election
        token = heartbeat.fencing_token
        now = self._runtime.now()
        if election.term == 0 and token and now - self._started_at < self._unattended_s:
            # This controller was restarted and can't reach any other service: the worker keeps its
            # tasks, and gets no commands.
            return _Reply(OK, wire.HeartbeatReply(token))
        if token > election.term:
            # The worker has commands of a newer term than this controller knows: this controller
            # is not entitled to act. Or it is taking that term itself, and awaits the outcome.
            self._leader.handle_higher_token(heartbeat.machine, token)
            return _Reply(MISDIRECTED, wire.Redirect(None))
        if election.term == 0 or election.seconds_since_leader_contact > self._unattended_s:
            return _Reply(UNAVAILABLE, None)
        owner = self._redirects.find_redirect_target(heartbeat, now)
        if owner is not None:
            return _Reply(MISDIRECTED, wire.Redirect(owner))
        return None

    def handle_forwarded_heartbeat(self, sender: str, message: ForwardedHeartbeat) -> None:
        """Handles a heartbeat that another controller accepted and forwarded."""
        if not self._election.leads_term(message.term):
            return
        try:
            heartbeat = decode_heartbeat(message.heartbeat)
        except msgspec.DecodeError as error:
            log.warning("malformed heartbeat forwarded by %s, ignored: %s", sender, error)
            return
        self._recent.record(heartbeat)
        self._leader.handle_heartbeat(sender, heartbeat)

    def handle_liveness(self, sender: str, message: MachinesAlive) -> None:
        """Handles a list of machines that reported recently elsewhere; it has no other data."""
        if self._election.leads_term(message.term):
            self._leader.handle_liveness(sender, message.machines)
