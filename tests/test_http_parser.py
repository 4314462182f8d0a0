"""The HTTP parser and the frames between controllers, with input split at any place."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flaxtally.cluster.frame_codec import FrameDecoder, encode_frame
from flaxtally.runtime.http import MalformedMessageError, Parser

REQUEST = b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"


@pytest.mark.real_processes
@given(st.lists(st.integers(1, 20), min_size=1, max_size=12))
@settings(derandomize=True, max_examples=50)
def test_parser_takes_bytes_in_any_pieces(sizes: list[int]) -> None:
    # TCP may split and join messages at any byte.
    parser, data, found = Parser(False, 100), REQUEST * 3, []
    while data:
        size = sizes[len(data) % len(sizes)]
        parser.feed(data[:size])
        data = data[size:]
        while (message := parser.next()) is not None:
            found.append((message.start, message.body))
    assert found == [(["POST", "/work", "HTTP/1.1"], b"hello")] * 3


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / SPDY/9\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (b"x" * 20000, 400),
    ],
)
def test_parser_rejects_malformed_messages(data: bytes, status: int) -> None:
    # Ambiguous or oversized requests must be rejected with the right status, never guessed at.
    parser = Parser(False, 100)
    parser.feed(data)
    with pytest.raises(MalformedMessageError) as caught:
        parser.next()
    assert caught.value.status == status


def test_peer_frames_are_decoded_from_any_pieces_and_malformed_ones_rejected() -> None:
    # A connection delivers frames byte by byte at worst; malformed frames must raise an error.
    frames, data = FrameDecoder(), encode_frame({"k": "hb", "term": 3}) * 2
    found = [frame for byte in data for frame in frames.feed(bytes([byte]))]
    assert found == [{"k": "hb", "term": 3}] * 2
    with pytest.raises(ValueError, match="too long"):
        FrameDecoder().feed(b"\xff\xff\xff\xff")
    with pytest.raises(ValueError, match="not a frame"):
        FrameDecoder().feed(b"\x00\x00\x00\x01\x05")
