"""What heartbeats say about the leader: when it was last heard, and who else can see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .election_state import ElectionState
    from .messages import Heartbeat
    from .peer_links import PeerLinks


class LeaderObservation:
    """Owns the evidence on the leader that a follower gathers."""

    def __init__(self, state: ElectionState, peers: PeerLinks) -> None:
        """No leader was heard yet."""
        self._state = state
        self._peers = peers
        self.last_heartbeat_at = float("-inf")
        self.can_commit = False
        """As of its last heartbeat, the leader reaches the key-value store."""
        self.is_ready = False
        """As of its last heartbeat, the leader serves requests."""
        self.lost_since: float | None = None
        """When this controller first found that it can't see the leader; None while it can."""
        self.replaced_at = float("-inf")
        """When the leader that this controller followed, or itself, was found to be replaced."""
        self._can_peer_see_leader: dict[str, bool] = {}

    def can_see_leader(self) -> bool:
        """Whether this controller is, or can reach, a leader that can commit."""
        if self._state.is_leader:
            return True
        leader = self._state.leader
        return (
            leader is not None
            and self._peers.is_reachable(leader)
            and self.can_commit
            and not self._peers.refuses_connections(leader)
        )

    def on_leader_changed(self, now: float, *, is_replacement: bool) -> None:
        """Another leader is followed from now on: it counts as just heard, and not yet ready.

        `is_replacement`: there was a leader before.
        """
        if is_replacement:
            self.replaced_at = now
        self.last_heartbeat_at = now
        self.can_commit = True
        self.is_ready = False
        self.lost_since = None

    def on_leader_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """The followed leader was heard."""
        self.last_heartbeat_at = now
        self.can_commit = heartbeat.can_commit
        self.is_ready = heartbeat.is_ready

    def on_peer_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Notes whether a peer sees the leader of our term."""
        is_of_our_term = heartbeat.term == self._state.term
        self._can_peer_see_leader[peer] = heartbeat.can_see_leader and is_of_our_term

    def is_seen_by_any(self, peers: Iterable[str]) -> bool:
        """Whether one of the peers last said that it can see the leader."""
        return any(self._can_peer_see_leader.get(peer, False) for peer in peers)

    def measure_lost_s(self, now: float) -> float:
        """Seconds since the leader was first found lost; counting begins with the first call."""
        if self.lost_since is None:
            self.lost_since = now
        return now - self.lost_since

    def on_pause(self, now: float, lost_s: float) -> None:
        """This process stood still for `lost_s`: the leader was not silent meanwhile."""
        self.last_heartbeat_at = min(now, self.last_heartbeat_at + lost_s)
        self.lost_since = None
