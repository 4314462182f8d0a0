"""Links between controllers: each dials each other, and sends only on connections that it dialled.

A frame may be lost with its connection, or be held by the network and come minutes late: those who
send and receive must be safe under both.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..protocol import formats
from ..runtime.actor import Actor
from .frame_codec import encode_frame
from .inbound_connection import InboundConnection
from .messages import HEARTBEAT_KIND, Frame, Hello, to_frame

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from ..runtime.loop import Address, Runtime, Stream
    from .peer_liveness import PeerLiveness
    from .store_relay import StoreRelay

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class LinkListener:
    """Who is called for what happens on the links."""

    on_frame: Callable[[str, Frame], None]
    """Gets the sender and the frame."""
    on_hello: Callable[[str, int, Any], None] | None = None
    """Gets the peer of a new connection, the connection's number in the order in which they were
    accepted, and the formats that the peer states.
    """
    on_refused: Callable[[], None] | None = None
    """A peer's address refused a connection."""


class _Link:
    """The connection dialled to one peer."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: Stream | None = None
        self.dialled_at = float("-inf")
        self.unsent = bytearray()
        """Frames that wait to be sent together."""

    def flush(self) -> None:
        """Sends what waits, if there is a connection; otherwise it is dropped."""
        if self.unsent and self.stream is not None:
            self.stream.send(bytes(self.unsent))
        self.unsent.clear()


class PeerLinks(Actor):
    """Owns the links to a set of peers."""

    def __init__(
        self,
        runtime: Runtime,
        liveness: PeerLiveness,
        addresses: dict[str, Address],
        listener: LinkListener,
        *,
        batch_delay_s: float,
        listen: Address | None = None,
        relay: StoreRelay | None = None,
    ) -> None:
        """`batch_delay_s`: for so long frames are gathered, to be sent together.

        Without `listen`, other links (that `accept_for` these) accept the peers' connections.
        `relay`: the way for frames to a peer whose link is silent.
        """
        super().__init__(runtime)
        self._node = liveness.node
        self._liveness = liveness
        self._listener = listener
        self._batch_delay_s = batch_delay_s
        self._silence_s = liveness.silence_s
        self._links = {name: _Link(address) for name, address in addresses.items()}
        self.relay = relay
        self._siblings: list[PeerLinks] = []
        self._accepted_count = 0
        if listen is not None:
            runtime.listen(listen, self._accept)

    def accept_for(self, links: PeerLinks) -> None:
        """Peers of other links may speak on connections that are accepted here."""
        self._siblings.append(links)

    def on_pause(self, lost_s: float) -> None:
        """The process stood still: peers were not silent meanwhile, nor are links stale for it."""
        now = self.runtime.now()
        self._liveness.on_pause(lost_s)
        for link in self._links.values():
            link.dialled_at = min(now, link.dialled_at + lost_s)
        if self.relay is not None:
            self.relay.on_pause(lost_s)

    # Reachability

    @property
    def last_heard_at(self) -> dict[str, float]:
        """By peer: when a frame of it last came over its link."""
        return self._liveness.last_heard_at

    def is_directly_reachable(self, node: str) -> bool:
        """Whether the node was lately heard over its link."""
        return self._liveness.is_directly_reachable(node)

    def is_reachable(self, node: str) -> bool:
        """Whether the node was lately heard at all, over its link or through the store relay."""
        return self._liveness.is_directly_reachable(node) or (
            self.relay is not None and self.relay.is_reachable(node)
        )

    def is_silent(self, node: str) -> bool:
        """Whether one of the two directions of the link seems dead."""
        return self._liveness.is_silent(node)

    def refuses_connections(self, node: str) -> bool:
        """Whether the node's process is likely dead.

        Its address refused a connection after it was last heard, and no frame of it comes through
        the store relay. A cut hangs instead; a filter refuses too, but then frames will be relayed.
        """
        if node not in self._links or not self._liveness.refused_last(node):
            return False
        return self.relay is None or not self.relay.is_reachable(node)

    # Sending

    def broadcast(self, frame: Frame) -> None:
        """Sends to every peer, with a note on whether we hear it."""
        for node in self._links:
            self.send(node, frame | {"hears": self.is_directly_reachable(node)})

    def send(self, node: str, frame: Frame) -> None:
        """Sends if the link is up or can be dialled; no promise that it arrives."""
        link = self._links.get(node)
        if link is None:
            return
        if self.relay is not None and self.is_silent(node):
            self.relay.enqueue(node, frame)
        self._ensure_connected(node, link)
        if link.stream is None:
            return
        # Frames go a few at a time: hundreds of requests and heartbeats a second were as many sends
        # and wake-ups.
        if not link.unsent:
            self.later(self._batch_delay_s, link.flush)
        link.unsent += encode_frame(frame)
        if frame["k"] == HEARTBEAT_KIND:
            link.flush()

    def _ensure_connected(self, node: str, link: _Link) -> None:
        """Replaces a connection that seems dead, and dials if there is none, but not too often."""
        now = self.runtime.now()
        if link.stream is not None and self._is_stale(node, link):
            # A cut may hold packets for minutes: what waits in the old connection is better lost.
            # And the peer may have been restarted during a cut: then this connection leads nowhere,
            # and nothing says so but the peer itself, whose own connection to us works.
            link.stream.close()
            link.stream = None
        if link.stream is None and now - link.dialled_at >= self._silence_s / 4:
            self._dial(node, link)

    def _is_stale(self, node: str, link: _Link) -> bool:
        patience_s = 2 * self._silence_s
        if self.runtime.now() - link.dialled_at <= patience_s:
            return False
        liveness = self._liveness
        return liveness.silent_for_s(node) > patience_s or liveness.is_unresponsive(node)

    def _dial(self, node: str, link: _Link) -> None:
        link.dialled_at = self.runtime.now()
        link.stream = self.runtime.connect(link.address)
        link.stream.on_close = lambda: self._on_link_closed(node, link)
        hello = Hello(node=self._node, formats=list(formats.SUPPORTED))
        link.stream.send(encode_frame(to_frame(hello)))

    def _on_link_closed(self, node: str, link: _Link) -> None:
        link.stream = None
        if self.runtime.now() - link.dialled_at >= self._silence_s / 4:
            # Dialled again at once: the host of a dead process refuses at once, a cut hangs.
            self._dial(node, link)
            return
        self._liveness.on_refused(node)
        if self._listener.on_refused is not None:
            self.runtime.soon(self._listener.on_refused)

    # Receiving

    def _accept(self, stream: Stream) -> None:
        self._accepted_count += 1
        InboundConnection(stream, self._accepted_count, self._find_links_of)

    def _find_links_of(self, node: str) -> PeerLinks | None:
        """The links, these or those accepted for, whose peer the node is."""
        for links in (self, *self._siblings):
            if node in links._links:
                return links
        return None

    def handle_hello(self, hello: Hello, connection: int) -> None:
        """A peer's first frame on a connection that was accepted."""
        if self._listener.on_hello is not None:
            self._listener.on_hello(hello.node, connection, hello.formats)

    def handle_frame(self, sender: str, frame: Frame) -> None:
        """A later frame of a peer."""
        self._liveness.on_frame(sender)
        if "hears" in frame:
            self._liveness.on_hears(sender, is_hearing=frame["hears"] is not False)
        try:
            self._listener.on_frame(sender, frame)
        except Exception:
            log.exception("event=frame_handler_failed peer=%s kind=%s", sender, frame.get("k"))
