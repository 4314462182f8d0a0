"""Links between controllers: each dials all others, and sends only on connections that it dialled.

A frame may be lost with its connection, or be delayed by the network for minutes. Senders and
receivers must be safe in both cases.
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
    """Callbacks for events on the links."""

    on_frame: Callable[[str, Frame], None]
    """Gets the sender and the frame."""
    on_hello: Callable[[str, int, Any], None] | None = None
    """Gets the peer of a new connection, the number of the connection (they are numbered as
    accepted), and the formats that the peer announces.
    """
    on_refused: Callable[[], None] | None = None
    """Called when a peer's address refused a connection."""


class _Link:
    """The connection dialled to one peer."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: Stream | None = None
        self.dialled_at = float("-inf")
        self.unsent = bytearray()
        """Encoded frames that wait to be sent together."""

    def flush(self) -> None:
        """Sends the waiting frames, or drops them if there is no connection."""
        if self.unsent and self.stream is not None:
            self.stream.send(bytes(self.unsent))
        self.unsent.clear()


class PeerLinks(Actor):
    """The links to a set of peers."""

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
        """Starts listening for the peers' connections, if there is a `listen` address.

        `batch_delay_s`: how long frames are gathered before they are sent together.
        Without `listen`, the peers connect to other `PeerLinks`, on which
        `accept_connections_for` was called with these.
        `relay`: carries frames to a peer whose direct link is down.
        """
        super().__init__(runtime)
        self._node = liveness.node
        self._liveness = liveness
        self._listener = listener
        self._batch_delay_s = batch_delay_s
        self._link_timeout_s = liveness.link_timeout_s
        self._links = {name: _Link(address) for name, address in addresses.items()}
        self.relay = relay
        self._other_links: list[PeerLinks] = []
        self._accepted_count = 0
        if listen is not None:
            runtime.listen(listen, self._accept)

    def accept_connections_for(self, links: PeerLinks) -> None:
        """Lets the peers of other `PeerLinks` use connections that are accepted here."""
        self._other_links.append(links)

    def on_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the age of links and the time without frames."""
        now = self.runtime.now()
        self._liveness.on_pause(pause_s)
        for link in self._links.values():
            link.dialled_at = min(now, link.dialled_at + pause_s)
        if self.relay is not None:
            self.relay.on_pause(pause_s)

    # Reachability

    @property
    def last_heard_at(self) -> dict[str, float]:
        """By peer: when a frame last arrived over the direct link."""
        return self._liveness.last_heard_at

    def is_directly_reachable(self, node: str) -> bool:
        """Whether a frame of the node arrived recently over the direct link."""
        return self._liveness.is_directly_reachable(node)

    def is_reachable(self, node: str) -> bool:
        """Whether a frame of the node arrived recently, directly or through the store relay."""
        return self._liveness.is_directly_reachable(node) or (
            self.relay is not None and self.relay.is_reachable(node)
        )

    def is_link_down(self, node: str) -> bool:
        """Whether the link seems to be dead in at least one direction."""
        return self._liveness.is_link_down(node)

    @property
    def max_echo_age_s(self) -> float:
        """The age of a frame up to which a peer's reply to it still counts."""
        return self._liveness.max_echo_age_s

    def is_in_contact(self, node: str) -> bool:
        """Whether the node echoes, over the direct link, a frame that was sent to it recently."""
        return self._liveness.is_in_contact(node)

    def refuses_connections(self, node: str) -> bool:
        """Whether the node's process is probably dead.

        True if its address refused a connection after its last frame, and no frame of it arrives
        through the store relay. In a network partition connections hang instead. A packet filter
        may also refuse them, but then a live node's frames arrive through the relay.
        """
        if node not in self._links or not self._liveness.has_refused_since_last_frame(node):
            return False
        return self.relay is None or not self.relay.is_reachable(node)

    # Sending

    def broadcast(self, frame: Frame) -> None:
        """Sends the frame to every peer, adding the state of the link in both directions."""
        now = self.runtime.now()
        for node in self._links:
            link_state = {
                "hears": self.is_directly_reachable(node),
                "at": now,
                "echo": self._liveness.get_stamp_to_echo(node),
            }
            self.send(node, frame | link_state)

    def send(self, node: str, frame: Frame) -> None:
        """Sends the frame if the link is up or can be dialled; delivery is not guaranteed."""
        link = self._links.get(node)
        if link is None:
            return
        if self.relay is not None and self.is_link_down(node):
            self.relay.enqueue(node, frame)
        self._ensure_connected(node, link)
        if link.stream is None:
            return
        # Frames are sent in batches: at hundreds of requests and heartbeats a second, single ones
        # cost as many sends and wake-ups.
        if not link.unsent:
            self.later(self._batch_delay_s, link.flush)
        link.unsent += encode_frame(frame)
        if frame["k"] == HEARTBEAT_KIND:
            link.flush()

    def _ensure_connected(self, node: str, link: _Link) -> None:
        """Replaces a stale connection; dials, at a limited rate, if there is none."""
        now = self.runtime.now()
        if link.stream is not None and self._is_stale(node, link):
            # A network partition may hold packets back for minutes, and frames that wait in the old
            # connection are better lost than delivered that late. If the peer was restarted during
            # the partition, this connection is dead. The only sign of that is the peer's report,
            # over its own working connection to this controller, that it receives no frames.
            link.stream.close()
            link.stream = None
        if link.stream is None and now - link.dialled_at >= self._link_timeout_s / 4:
            self._dial(node, link)

    def _is_stale(self, node: str, link: _Link) -> bool:
        timeout_s = 2 * self._link_timeout_s
        if self.runtime.now() - link.dialled_at <= timeout_s:
            return False
        liveness = self._liveness
        return liveness.seconds_since_last_frame(node) > timeout_s or liveness.is_not_receiving(
            node
        )

    def _dial(self, node: str, link: _Link) -> None:
        link.dialled_at = self.runtime.now()
        link.stream = self.runtime.connect(link.address)
        link.stream.on_close = lambda: self._on_link_closed(node, link)
        hello = Hello(node=self._node, formats=list(formats.SUPPORTED))
        link.stream.send(encode_frame(to_frame(hello)))

    def _on_link_closed(self, node: str, link: _Link) -> None:
        link.stream = None
        if self.runtime.now() - link.dialled_at >= self._link_timeout_s / 4:
            # Dial again at once: if the process is dead its host refuses immediately, whereas in a
            # network partition the connection hangs.
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
        """Returns the `PeerLinks` that the node is a peer of; None for an unknown node."""
        for links in (self, *self._other_links):
            if node in links._links:
                return links
        return None

    def handle_hello(self, hello: Hello, connection: int) -> None:
        """Handles a peer's first frame on an accepted connection."""
        if self._listener.on_hello is not None:
            self._listener.on_hello(hello.node, connection, hello.formats)

    def handle_disconnect(self, sender: str) -> None:
        """Handles the end of a connection that the peer had dialled."""
        self._liveness.on_disconnected(sender)

    def handle_frame(self, sender: str, frame: Frame) -> None:
        """Handles a later frame of a peer."""
        self._liveness.on_frame(sender)
        if "hears" in frame:
            self._liveness.on_receipt_report(sender, is_receiving=frame["hears"] is not False)
            self._liveness.on_stamp(sender, frame.get("at"))
            self._liveness.on_echo(sender, frame.get("echo"))
        try:
            self._listener.on_frame(sender, frame)
        except Exception:
            log.exception("event=frame_handler_failed peer=%s kind=%s", sender, frame.get("k"))
