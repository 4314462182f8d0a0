"""Tracks which peers are reachable, from their frames and connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..runtime.loop import Runtime


ECHO_AGE_FRACTION = 0.8
"""Fraction of the link timeout within which a frame must have been sent that a peer echoes.

A peer campaigns a whole link timeout after the last frame that it received, at the earliest.
"""


class PeerLiveness:
    """State of each direct link: when a frame arrived and when a connection was refused."""

    def __init__(
        self, runtime: Runtime, node: str, peers: Iterable[str], link_timeout_s: float
    ) -> None:
        """`node`: this controller's name.

        `link_timeout_s`: the time without a frame after which a peer counts as unreachable.
        """
        names = list(peers)
        self.node = node
        self.link_timeout_s = link_timeout_s
        self._runtime = runtime
        self.last_heard_at: dict[str, float] = dict.fromkeys(names, float("-inf"))
        """By peer: when a frame last arrived over the direct link."""
        self._refused_at: dict[str, float] = dict.fromkeys(names, float("-inf"))
        self._disconnected_at: dict[str, float] = dict.fromkeys(names, float("-inf"))
        self._stamps: dict[str, float] = {}
        """By peer: when it sent its newest frame, by its own clock."""
        self._echoed_at: dict[str, float] = dict.fromkeys(names, float("-inf"))
        """By peer: when this controller sent the newest frame that the peer says it received."""
        self._not_receiving: set[str] = set()
        """Peers that report that they receive no frames from this controller."""

    def on_frame(self, peer: str) -> None:
        """Records that a frame of the peer arrived over the direct link."""
        self.last_heard_at[peer] = self._runtime.now()

    def on_receipt_report(self, peer: str, *, is_receiving: bool) -> None:
        """Records whether the peer reports that it receives this controller's frames."""
        if is_receiving:
            self._not_receiving.discard(peer)
        else:
            self._not_receiving.add(peer)

    def on_stamp(self, peer: str, stamp: Any) -> None:
        """Records when the peer sent a frame, by its clock; ignores what is not a time."""
        if isinstance(stamp, float):
            self._stamps[peer] = stamp

    def on_echo(self, peer: str, echo: Any) -> None:
        """Records the stamp that the peer echoes: it has received the frame sent then."""
        if isinstance(echo, float) and echo <= self._runtime.now():
            self._echoed_at[peer] = max(echo, self._echoed_at[peer])

    def get_stamp_to_echo(self, peer: str) -> float | None:
        """Returns the stamp of the peer's newest frame; None if none arrived."""
        return self._stamps.get(peer)

    def on_refused(self, peer: str) -> None:
        """Records that the peer's address refused a connection."""
        self._refused_at[peer] = self._runtime.now()

    def on_disconnected(self, peer: str) -> None:
        """Records that a connection which the peer had dialled has ended."""
        self._disconnected_at[peer] = self._runtime.now()

    def on_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the time without frames of the peers."""
        now = self._runtime.now()
        for peer in self.last_heard_at:
            self.last_heard_at[peer] = min(now, self.last_heard_at[peer] + pause_s)
            self._refused_at[peer] = min(now, self._refused_at[peer] + pause_s)

    def seconds_since_last_frame(self, peer: str) -> float:
        """Returns the seconds since a frame of the peer arrived over the direct link."""
        return self._runtime.now() - self.last_heard_at.get(peer, float("-inf"))

    def is_directly_reachable(self, peer: str) -> bool:
        """Whether a frame of the peer arrived recently; always true for this controller itself."""
        return peer == self.node or self.seconds_since_last_frame(peer) < self.link_timeout_s

    def is_not_receiving(self, peer: str) -> bool:
        """Whether the peer reports that it receives no frames from this controller."""
        return peer in self._not_receiving

    def has_refused_since_last_frame(self, peer: str) -> bool:
        """Whether the peer's address refused a connection after its last frame arrived."""
        return self._refused_at[peer] > self.last_heard_at[peer]

    def is_link_down(self, peer: str) -> bool:
        """Whether the link seems to be dead in at least one direction."""
        if not self.is_directly_reachable(peer):
            return True
        return peer in self._refused_at and (
            self.is_not_receiving(peer) or self.has_refused_since_last_frame(peer)
        )

    @property
    def max_echo_age_s(self) -> float:
        """The age of a frame up to which a peer's reply to it still counts."""
        return ECHO_AGE_FRACTION * self.link_timeout_s

    def is_in_contact(self, peer: str) -> bool:
        """Whether the peer received a frame that was sent recently, and its reply arrived.

        It is the age of this controller's own frame that counts: a reply may have been delayed, by
        the network or by a pause of this process, and then says nothing of the time since.
        """
        return (
            self._runtime.now() - self._echoed_at[peer] < self.max_echo_age_s
            and not self.is_link_down(peer)
            and self._disconnected_at[peer] <= self.last_heard_at[peer]
        )
