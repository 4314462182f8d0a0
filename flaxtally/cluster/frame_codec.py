"""Frames as bytes of a stream: cbor2 with a length before it."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import cbor2

if TYPE_CHECKING:
    from .messages import Frame

MAX_FRAME_BYTES = 1 << 20
_LENGTH = struct.Struct(">I")


class InvalidFrameError(ValueError):
    """The bytes are no frame."""


def encode_frame(frame: Frame) -> bytes:
    """A frame as bytes, with its length before it."""
    body = cbor2.dumps(frame)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Cuts a byte stream into frames."""

    def __init__(self) -> None:
        """Begins with the stream's first byte."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that these bytes complete, or `InvalidFrameError`."""
        self._buffer += data
        frames: list[Frame] = []
        while len(self._buffer) >= _LENGTH.size:
            body_end = _LENGTH.size + self._read_length()
            if len(self._buffer) < body_end:
                break
            body = bytes(self._buffer[_LENGTH.size : body_end])
            frames.append(_decode_body(body))
            del self._buffer[:body_end]
        return frames

    def _read_length(self) -> int:
        length: int = _LENGTH.unpack_from(self._buffer)[0]
        if length > MAX_FRAME_BYTES:
            raise InvalidFrameError(f"frame too long: {length} bytes")
        return length


def _decode_body(body: bytes) -> Frame:
    try:
        frame = cbor2.loads(body)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise InvalidFrameError(str(error)) from None
    if not isinstance(frame, dict) or not isinstance(frame.get("k"), str):
        raise InvalidFrameError("not a frame: a map with a kind is expected")
    return frame
