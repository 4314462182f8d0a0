"""Encodes batches of frames as text values of the key-value store."""

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
"""Lower bound for the size of a frame in a batch, where frames are compressed together."""
COUNT_ESTIMATE_RATIO = 0.95
"""Fraction of the estimated number of frames that fit which is tried next."""


class InvalidBatchError(ValueError):
    """The value of a relay key is not a valid batch."""


def encode_batch(frames: Sequence[Frame], max_chars: int, sent_at: float) -> tuple[str, int]:
    """Returns a batch of at most `max_chars` as text, and how many of the first frames it contains.

    `sent_at`: the wall-clock time. The receiver needs it to recognize an old batch, since a batch
    stays in the store until the next time that the link is down.
    """
    count = min(len(frames), max(1, max_chars // MIN_FRAME_CHARS))
    while True:
        body = cbor2.dumps([sent_at, list(frames[:count])])
        text = base64.b85encode(zlib.compress(body, 6)).decode("ascii")
        size_ratio = min(max_chars / len(text), MAX_INFLATED_BYTES / len(body))
        if size_ratio >= 1 or not count:
            return text, count
        # Estimate how many frames fit; the count falls in every round, so the loop terminates.
        count = min(count - 1, int(count * size_ratio * COUNT_ESTIMATE_RATIO))


def decode_batch(text: str) -> tuple[float, list[Frame]]:
    """Returns a batch's wall-clock time and its frames, or raises `InvalidBatchError`."""
    try:
        inflater = zlib.decompressobj()
        body = inflater.decompress(base64.b85decode(text), MAX_INFLATED_BYTES)
        sent_at, frames = cbor2.loads(body)
    except (zlib.error, cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise InvalidBatchError(str(error)) from None
    if not isinstance(sent_at, float):
        raise InvalidBatchError("relay batch without a valid send time: expected a float")
    if not isinstance(frames, list) or not all(
        isinstance(frame, dict) and "k" in frame for frame in frames
    ):
        raise InvalidBatchError(
            "relay batch without a list of frames: expected maps with the key 'k'"
        )
    return sent_at, frames
