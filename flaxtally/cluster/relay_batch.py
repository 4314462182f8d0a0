"""Batches of frames as text values of the key-value store."""

from __future__ import annotations

import base64
import zlib
from typing import TYPE_CHECKING

import cbor2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .messages import Frame

MAX_INFLATED_BYTES = 1 << 20
MIN_FRAME_CHARS = 16
"""Characters of a frame at least, where many of a kind are compressed together."""
SAFE_SHARE = 0.95


class InvalidBatchError(ValueError):
    """The value of a relay key is no batch."""


def encode_batch(frames: Sequence[Frame], max_chars: int, sent_at: float) -> tuple[str, int]:
    """A batch as text of at most `max_chars`, and how many of the first frames are in it.

    `sent_at`: the time of day, since a batch stays there until the next silence of the link.
    """
    count = min(len(frames), max(1, max_chars // MIN_FRAME_CHARS))
    while True:
        body = cbor2.dumps([sent_at, list(frames[:count])])
        text = base64.b85encode(zlib.compress(body, 6)).decode("ascii")
        share = min(max_chars / len(text), MAX_INFLATED_BYTES / len(body))
        if share >= 1 or not count:
            return text, count
        # About as many as fit, and fewer each time.
        count = min(count - 1, int(count * share * SAFE_SHARE))


def decode_batch(text: str) -> tuple[float, list[Frame]]:
    """The time of day of a batch and its frames, or `InvalidBatchError`."""
    try:
        inflater = zlib.decompressobj()
        body = inflater.decompress(base64.b85decode(text), MAX_INFLATED_BYTES)
        sent_at, frames = cbor2.loads(body)
    except (zlib.error, cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise InvalidBatchError(str(error)) from None
    if not isinstance(sent_at, float):
        raise InvalidBatchError("no time")
    if not isinstance(frames, list) or not all(
        isinstance(frame, dict) and "k" in frame for frame in frames
    ):
        raise InvalidBatchError("not a list of frames")
    return sent_at, frames
