"""Encodes frames for a byte stream: a length prefix, then the frame in CBOR."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import cbor2

if TYPE_CHECKING:
    from .messages import Frame

MAX_FRAME_BYTES = 1 << 20
_LENGTH_PREFIX = struct.Struct(">I")


class InvalidFrameError(ValueError):
    """The bytes are not a valid frame."""


def encode_frame(frame: Frame) -> bytes:
    """Returns the frame as bytes, with a length prefix."""
    body = cbor2.dumps(frame)
    return _LENGTH_PREFIX.pack(len(body)) + body


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        """Starts at the first byte of the stream."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that these bytes complete, or raises `InvalidFrameError`."""
        self._buffer += data
        frames: list[Frame] = []
        while len(self._buffer) >= _LENGTH_PREFIX.size:
            body_end = _LENGTH_PREFIX.size + self._read_length()
            if len(self._buffer) < body_end:
                break
            body = bytes(self._buffer[_LENGTH_PREFIX.size : body_end])
            frames.append(_decode_body(body))
            del self._buffer[:body_end]
        return frames

    def _read_length(self) -> int:
        length: int = _LENGTH_PREFIX.unpack_from(self._buffer)[0]
        if length > MAX_FRAME_BYTES:
            raise InvalidFrameError(
                f"frame too long: {length} bytes, the maximum is {MAX_FRAME_BYTES}"
            )
        return length


def _decode_body(body: bytes) -> Frame:
    try:
        frame = cbor2.loads(body)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise InvalidFrameError(str(error)) from None
    if not isinstance(frame, dict) or not isinstance(frame.get("k"), str):
        raise InvalidFrameError(
            "not a frame: expected a map with the frame's kind, a string, under the key 'k'"
        )
    return frame
