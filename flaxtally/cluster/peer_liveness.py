"""Which peers are reachable, as their frames and connections show."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..runtime.loop import Runtime


class PeerLiveness:
    """Owns the evidence on each direct link: frames that came, connections that were refused."""

    def __init__(self, runtime: Runtime, node: str, peers: Iterable[str], silence_s: float) -> None:
        """`node`: this controller. `silence_s`: after so long without a frame a link is silent."""
        names = list(peers)
        self.node = node
        self.silence_s = silence_s
        self._runtime = runtime
        self.last_heard_at: dict[str, float] = dict.fromkeys(names, float("-inf"))
        """By peer: when a frame of it last came over its link."""
        self._refused_at: dict[str, float] = dict.fromkeys(names, float("-inf"))
        self._unresponsive: set[str] = set()
        """Peers that say that they don't hear us."""

    def on_frame(self, peer: str) -> None:
        """A frame of the peer came over its link."""
        self.last_heard_at[peer] = self._runtime.now()

    def on_hears(self, peer: str, *, is_hearing: bool) -> None:
        """The peer said whether it hears us."""
        if is_hearing:
            self._unresponsive.discard(peer)
        else:
            self._unresponsive.add(peer)

    def on_refused(self, peer: str) -> None:
        """The peer's address refused a connection."""
        self._refused_at[peer] = self._runtime.now()

    def on_pause(self, lost_s: float) -> None:
        """The process stood still for `lost_s`: peers were not silent meanwhile."""
        now = self._runtime.now()
        for peer in self.last_heard_at:
            self.last_heard_at[peer] = min(now, self.last_heard_at[peer] + lost_s)
            self._refused_at[peer] = min(now, self._refused_at[peer] + lost_s)

    def silent_for_s(self, peer: str) -> float:
        """Seconds since the peer was heard over its link."""
        return self._runtime.now() - self.last_heard_at.get(peer, float("-inf"))

    def is_directly_reachable(self, peer: str) -> bool:
        """Whether the peer was lately heard over its link; this controller always is."""
        return peer == self.node or self.silent_for_s(peer) < self.silence_s

    def is_unresponsive(self, peer: str) -> bool:
        """Whether the peer says that it doesn't hear us."""
        return peer in self._unresponsive

    def refused_last(self, peer: str) -> bool:
        """Whether the peer's address refused a connection after the peer was last heard."""
        return self._refused_at[peer] > self.last_heard_at[peer]

    def is_silent(self, peer: str) -> bool:
        """Whether one of the two directions of the link seems dead."""
        if not self.is_directly_reachable(peer):
            return True
        return peer in self._refused_at and (self.is_unresponsive(peer) or self.refused_last(peer))
