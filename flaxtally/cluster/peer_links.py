"""Links between controllers: length-prefixed cbor2 frames, heartbeats, the live view.

Each node dials each other node and speaks only on the connection it dialled; what it accepted it
only reads. A frame may be lost with its connection, or held by the network and come minutes late:
those who send and receive must be safe under both.
"""

from __future__ import annotations

import logging
import struct
from typing import TYPE_CHECKING, Any

import cbor2

from ..protocol import formats
from ..runtime.actor import Actor
from .messages import HEARTBEAT_KIND, HELLO_KIND, Frame, Hello, to_frame

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Address, Runtime, Stream
    from .store_relay import StoreRelay

log = logging.getLogger(__name__)

FRAME_LIMIT = 1 << 20
_length = struct.Struct(">I")


def encode(frame: Frame) -> bytes:
    """A frame as bytes, with its length before it."""
    body = cbor2.dumps(frame)
    return _length.pack(len(body)) + body


class Frames:
    """Cuts a byte stream into frames; raises ValueError on nonsense."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        self._buffer += data
        found: list[Frame] = []
        while len(self._buffer) >= 4:
            size = _length.unpack_from(self._buffer)[0]
            if size > FRAME_LIMIT:
                raise ValueError("frame too long")
            if len(self._buffer) < 4 + size:
                break
            try:
                frame = cbor2.loads(bytes(self._buffer[4 : 4 + size]))
            except (cbor2.CBORDecodeError, ValueError, TypeError) as fault:
                raise ValueError(str(fault)) from None
            del self._buffer[: 4 + size]
            if not isinstance(frame, dict) or not isinstance(frame.get("k"), str):
                raise ValueError("not a frame")
            found.append(frame)
        return found


class _Link:
    """The connection dialled to one peer."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stream: Stream | None = None
        self.dialled_at = float("-inf")
        self.refused_at = float("-inf")
        self.is_unresponsive = False
        self.gathered = bytearray()


class PeerLinks(Actor):
    """Owns the links. `heard[node]` is when a frame of that node last came."""

    def __init__(
        self,
        runtime: Runtime,
        node: str,
        listen: Address | None,
        others: dict[str, Address],
        silence: float,
        gather: float,
        receive: Callable[[str, Frame], None],
    ) -> None:
        """Without `listen`, another `PeerLinks` (with these `sibling` it) accepts connections."""
        super().__init__(runtime)
        self.sibling: PeerLinks | None = None
        """Links to nodes that are no peers of ours, and speak on connections accepted here."""
        self._node, self._silence, self._gather, self._receive = node, silence, gather, receive
        self._links = {name: _Link(address) for name, address in others.items()}
        self.last_heard_at: dict[str, float] = {name: float("-inf") for name in others}
        self.relay: StoreRelay | None = None
        self.on_refused: Callable[[], None] = lambda: None
        self.on_hello: Callable[[str, int, Any], None] = lambda *_: None
        """Told of a peer's first frame on a connection: the peer, the connection's number in the
        order in which they were accepted, and the formats that the peer states.
        """
        self._accepted = 0
        if listen is not None:
            runtime.listen(listen, self._accept)

    def is_directly_reachable(self, node: str) -> bool:
        """Whether the node was lately heard over its link."""
        return (
            node == self._node
            or self.runtime.now() - self.last_heard_at.get(node, float("-inf")) < self._silence
        )

    def is_reachable(self, node: str) -> bool:
        """Whether the node was lately heard at all, over its link or by mail."""
        return self.is_directly_reachable(node) or (
            self.relay is not None and self.relay.is_reachable(node)
        )

    def on_pause(self, lost: float) -> None:
        """The process stood still: peers were not silent meanwhile, nor are links stale for it."""
        now = self.runtime.now()
        for node, link in self._links.items():
            self.last_heard_at[node] = min(now, self.last_heard_at[node] + lost)
            link.refused_at = min(now, link.refused_at + lost)
            link.dialled_at = min(now, link.dialled_at + lost)
        if self.relay is not None:
            self.relay.on_pause(lost)

    def send(self, node: str, frame: Frame) -> None:
        """Sends if the link is up or can be dialled; no promise that it arrives."""
        link = self._links.get(node)
        if link is None:
            return
        if self.relay is not None and self.is_silent(node):
            self.relay.enqueue(node, frame)
        now = self.runtime.now()
        stale = (
            now - self.last_heard_at[node] > 2 * self._silence
            and now - link.dialled_at > 2 * self._silence
        )
        unheard = link.is_unresponsive and now - link.dialled_at > 2 * self._silence
        if link.stream is not None and (stale or unheard):
            # A cut may hold packets for minutes: what waits in the old connection is better lost.
            # And the peer may have begun anew during a cut: then this connection leads nowhere, and
            # nothing says so but the peer itself, whose own connection to us works.
            link.stream.close()
            link.stream = None
        if link.stream is None:
            if now - link.dialled_at < self._silence / 4:
                return
            self._dial(node, link)
        if link.stream is None:
            return
        # Frames go a few at a time: hundreds of questions and reports a second were as many sends
        # and wake-ups.
        if not link.gathered:
            self.later(self._gather, self._flush, link)
        link.gathered += encode(frame)
        if frame["k"] == HEARTBEAT_KIND:
            self._flush(link)

    @staticmethod
    def _flush(link: _Link) -> None:
        if link.gathered and link.stream is not None:
            link.stream.send(bytes(link.gathered))
        link.gathered.clear()

    def _dial(self, node: str, link: _Link) -> None:
        link.dialled_at = self.runtime.now()
        link.stream = self.runtime.connect(link.address)
        link.stream.on_close = lambda: self._lost(node, link)
        hello = Hello(node=self._node, formats=list(formats.OWN))
        link.stream.send(encode(to_frame(hello)))

    def is_silent(self, node: str) -> bool:
        """Whether one of the two directions of the link seems dead."""
        link = self._links.get(node)
        return not self.is_directly_reachable(node) or (
            link is not None and (link.is_unresponsive or self._refused(node, link))
        )

    def broadcast(self, frame: Frame) -> None:
        """To every peer, with word on whether we hear it."""
        for node in self._links:
            self.send(node, frame | {"hears": self.is_directly_reachable(node)})

    def _lost(self, node: str, link: _Link) -> None:
        link.stream = None
        now = self.runtime.now()
        if now - link.dialled_at < self._silence / 4:
            link.refused_at = now
            self.runtime.soon(self.on_refused)
        else:
            # Dialled again at once: a dead process refuses at once, a cut hangs.
            self._dial(node, link)

    def refuses_connections(self, node: str) -> bool:
        """Whether the node's process is likely dead.

        Its address refused a connection after it was last heard, and no mail of it comes. A cut
        hangs instead; a filter refuses too, but then mail will come.
        """
        link = self._links.get(node)
        if link is None or not self._refused(node, link):
            return False
        return self.relay is None or not self.relay.is_reachable(node)

    def _refused(self, node: str, link: _Link) -> bool:
        return link.refused_at > self.last_heard_at[node]

    def _accept(self, stream: Stream) -> None:
        frames = Frames()
        self._accepted += 1
        connection = self._accepted
        speaker: list[tuple[PeerLinks, str]] = []
        """Once it said who it is: the links that it belongs to, and its name."""

        def data(piece: bytes) -> None:
            try:
                found = frames.feed(piece)
            except ValueError as fault:
                log.warning("peer sent nonsense: %s", fault)
                stream.close()
                return
            for frame in found:
                if not speaker:
                    node = frame.get("node")
                    owner = self._links_of(node) if frame["k"] == HELLO_KIND else None
                    if owner is None:
                        log.warning("a peer did not say who it is")
                        stream.close()
                        return
                    speaker.append((owner, str(node)))
                    owner.on_hello(str(node), connection, frame.get("formats"))
                    continue
                links, name = speaker[0]
                links.handle_frame(name, frame)

        stream.on_data = data

    def _links_of(self, node: Any) -> PeerLinks | None:
        """Whose peer the node is."""
        if node in self._links:
            return self
        return (
            self.sibling
            if self.sibling is not None and node in self.sibling.last_heard_at
            else None
        )

    def handle_frame(self, sender: str, frame: Frame) -> None:
        """A frame of a peer, as it came."""
        self.last_heard_at[sender] = self.runtime.now()
        if "hears" in frame:
            self._links[sender].is_unresponsive = frame["hears"] is False
        try:
            self._receive(sender, frame)
        except Exception:
            log.exception("frame %s of %s failed", frame.get("k"), sender)
