"""Reads a connection that a peer dialled; this controller sends nothing on it."""

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
    """Receives the frames of an identified peer."""

    def handle_hello(self, hello: Hello, connection: int) -> None:
        """Handles the first frame of a connection; later connections have higher numbers."""

    def handle_frame(self, sender: str, frame: Frame) -> None:
        """Handles any later frame."""

    def handle_disconnect(self, sender: str) -> None:
        """Handles the end of a connection, if the peer or the network ended it."""


class InboundConnection:
    """Reads the peer's hello, then passes all further frames to the peer's receiver."""

    def __init__(
        self,
        stream: Stream,
        number: int,
        find_receiver: Callable[[str], FrameReceiver | None],
    ) -> None:
        """`find_receiver` returns the receiver for a node's name, None for an unknown node."""
        self._stream = stream
        self._number = number
        self._find_receiver = find_receiver
        self._decoder = FrameDecoder()
        self._peer: str | None = None
        """The node name that the peer's hello gives; None before the hello."""
        self._receiver: FrameReceiver | None = None
        stream.on_data = self._on_data
        stream.on_close = self._on_close

    def _on_close(self) -> None:
        if self._receiver is not None and self._peer is not None:
            self._receiver.handle_disconnect(self._peer)

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
