"""Tracks from heartbeats when the leader was last heard, and which peers can see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .election_state import ElectionState
    from .messages import Heartbeat
    from .peer_links import PeerLinks


class LeaderObservation:
    """What a follower knows about the leader."""

    def __init__(self, state: ElectionState, peers: PeerLinks) -> None:
        """Starts without any heartbeat of a leader."""
        self._state = state
        self._peers = peers
        self.last_heartbeat_at = float("-inf")
        self.can_commit = False
        """Whether the leader can reach the key-value store, according to its last heartbeat."""
        self.is_ready = False
        """Whether the leader serves requests, according to its last heartbeat."""
        self.unreachable_since: float | None = None
        """When this controller first found the leader unreachable; None while it can see it."""
        self.replaced_at = float("-inf")
        """When this controller last learned that the previous leader had been replaced."""
        self._can_peer_see_leader: dict[str, bool] = {}
        """By peer: whether its last heartbeat said that it can see the leader of our term."""
        self._can_peer_reach_store: dict[str, bool | None] = {}
        """By peer: whether its last heartbeat said that it can reach the key-value store."""
        self._incarnations: dict[str, int | None] = {}
        """By peer: the process that sent its last heartbeat; None if that did not say."""

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
        """Starts to observe another leader, which counts as just heard and not yet ready.

        `is_replacement`: whether there was a leader before.
        """
        if is_replacement:
            self.replaced_at = now
        self.last_heartbeat_at = now
        self.can_commit = True
        self.is_ready = False
        self.unreachable_since = None

    def on_leader_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Records a heartbeat of the followed leader."""
        self.last_heartbeat_at = now
        self.can_commit = heartbeat.can_commit
        self.is_ready = heartbeat.is_ready

    def on_peer_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Records what a peer reports of itself, and whether it sees the leader of our term."""
        is_of_our_term = heartbeat.term == self._state.term
        self._can_peer_see_leader[peer] = heartbeat.can_see_leader and is_of_our_term
        self._can_peer_reach_store[peer] = heartbeat.can_reach_store
        self._incarnations[peer] = heartbeat.incarnation

    def get_incarnation(self, peer: str) -> int | None:
        """Returns the process that sent the peer's last heartbeat; None if it is not known."""
        return self._incarnations.get(peer)

    def is_store_down_for(self, peer: str) -> bool:
        """Whether the peer's last heartbeat said that it can't reach the key-value store either."""
        return self._can_peer_reach_store.get(peer) is False

    def is_seen_by_any(self, peers: Iterable[str]) -> bool:
        """Whether the last heartbeat of any of the peers said that it can see the leader."""
        return any(self._can_peer_see_leader.get(peer, False) for peer in peers)

    def measure_unreachable_s(self, now: float) -> float:
        """Returns for how long the leader has been unreachable; the first call starts the count."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        return now - self.unreachable_since

    def on_pause(self, now: float, pause_s: float) -> None:
        """Excludes a pause of this process from the time without heartbeats of the leader."""
        self.last_heartbeat_at = min(now, self.last_heartbeat_at + pause_s)
        self.unreachable_since = None
