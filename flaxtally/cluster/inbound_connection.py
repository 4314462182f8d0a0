"""A connection that a peer dialled: this controller only reads it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from .frame_codec import FrameDecoder, InvalidFrameError
from .messages import Hello, MalformedFrameError, from_frame

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Stream
    from .messages import Frame

log = logging.getLogger(__name__)


class FrameReceiver(Protocol):
    """The links that a peer belongs to."""

    def handle_hello(self, hello: Hello, connection: int) -> None:
        """The first frame of a connection; later connections have higher numbers."""

    def handle_frame(self, sender: str, frame: Frame) -> None:
        """Any later frame."""


class InboundConnection:
    """Reads frames: first the peer's hello, then those for its links."""

    def __init__(
        self,
        stream: Stream,
        number: int,
        find_receiver: Callable[[str], FrameReceiver | None],
    ) -> None:
        """`find_receiver` gives the links that a node's name belongs to."""
        self._stream = stream
        self._number = number
        self._find_receiver = find_receiver
        self._decoder = FrameDecoder()
        self._peer: str | None = None
        """The name in the peer's hello."""
        self._receiver: FrameReceiver | None = None
        stream.on_data = self._on_data

    def _on_data(self, data: bytes) -> None:
        try:
            frames = self._decoder.feed(data)
        except InvalidFrameError as error:
            log.warning("event=peer_frame_invalid peer=%s reason=%s", self._peer, error)
            self._stream.close()
            return
        for frame in frames:
            if self._receiver is not None and self._peer is not None:
                self._receiver.handle_frame(self._peer, frame)
            elif not self._identify_peer(frame):
                log.warning("event=peer_unidentified from=%s", self._stream.far)
                self._stream.close()
                return

    def _identify_peer(self, frame: Frame) -> bool:
        try:
            hello = from_frame(frame, Hello)
        except MalformedFrameError:
            return False
        receiver = self._find_receiver(hello.node)
        if receiver is None:
            return False
        self._peer = hello.node
        self._receiver = receiver
        receiver.handle_hello(hello, self._number)
        return True
