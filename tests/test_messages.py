"""The encoding of typed messages between controllers, and the handling of invalid frames."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from flaxtally.cluster import messages
from flaxtally.cluster.frame_codec import encode_frame
from flaxtally.cluster.frame_router import MAX_UNKNOWN_KINDS, FrameRouter
from flaxtally.protocol.workers import CommandBatch, encode_batch, launch, stop

if TYPE_CHECKING:
    from flaxtally.cluster.messages import Frame, Message

COMMANDS = CommandBatch(3, 7, [launch("j-000001/0", 2), stop("j-000001/1", 1, 0.5)])
COMMANDS_ON_THE_WIRE = {
    "baton": 3,
    "shift": 7,
    "orders": [
        {"verb": "launch", "hand": "j-000001/0", "try": 2},
        {"verb": "stop", "hand": "j-000001/1", "try": 1, "leewayS": 0.5},
    ],
}
MESSAGES_AND_FRAMES: list[tuple[Message, Frame]] = [
    (
        messages.Hello(node="controller-0", formats=[1, 4]),
        {"k": "hello", "node": "controller-0", "formats": [1, 4]},
    ),
    (
        messages.Heartbeat(
            term=3,
            leader="controller-1",
            can_commit=True,
            is_ready=False,
            can_see_leader=True,
            live_members=["controller-0", "controller-1"],
            formats=[1, 4],
            can_reach_store=True,
            incarnation=2**62 - 1,
        ),
        {
            "k": "hb",
            "term": 3,
            "leader": "controller-1",
            "able": True,
            "ready": False,
            "sees": True,
            "view": ["controller-0", "controller-1"],
            "formats": [1, 4],
            "store": True,
            "boot": 2**62 - 1,
        },
    ),
    (
        messages.ForwardedHeartbeat(term=3, machine="n-000001", heartbeat=b"\x81\x00"),
        {"k": "rep", "t": 3, "m": "n-000001", "b": b"\x81\x00"},
    ),
    (
        messages.MachinesAlive(term=3, machines=["n-000001", "n-000002"]),
        {"k": "alive", "t": 3, "m": ["n-000001", "n-000002"]},
    ),
    (
        messages.RelayedCommand(
            number=2**62 - 1, machine="n-000001", address="h:1", commands={"baton": 3, "x": b"y"}
        ),
        {"k": "ord", "i": 2**62 - 1, "m": "n-000001", "a": "h:1", "o": {"baton": 3, "x": b"y"}},
    ),
    (
        messages.RelayedCommand(
            number=2, machine="n-000001", address="h:1", commands=encode_batch(COMMANDS)
        ),
        {"k": "ord", "i": 2, "m": "n-000001", "a": "h:1", "o": COMMANDS_ON_THE_WIRE},
    ),
    (
        messages.RelayedCommand(
            number=2, machine="n-000001", address="h:1", commands=None, receiver_incarnation=7
        ),
        {"k": "ord", "i": 2, "m": "n-000001", "a": "h:1", "o": None, "boot": 7},
    ),
    (
        messages.RelayedCommand(number=1, machine="n-000001", address="h:1", commands=None),
        {"k": "ord", "i": 1, "m": "n-000001", "a": "h:1", "o": None},
    ),
    (
        messages.RelayedCommandResult(number=1, status=200, body=b"ok", machine="n-000001"),
        {"k": "done", "i": 1, "s": 200, "b": b"ok", "m": "n-000001"},
    ),
    (
        messages.RelayedCommandResult(number=1, status=0, body=b""),
        {"k": "done", "i": 1, "s": 0, "b": b""},
    ),
    (
        messages.JobRequest(number=1, operation="submit", subject=b"\x80"),
        {"k": "ask", "i": 1, "w": "submit", "s": b"\x80"},
    ),
    (
        messages.JobRequest(number=1, operation="poll", subject="j-000001"),
        {"k": "ask", "i": 1, "w": "poll", "s": "j-000001"},
    ),
    (
        messages.JobResponse(number=1, status=200, body={"state": "done", 1: [None, 0.5]}),
        {"k": "ans", "i": 1, "s": 200, "b": {"state": "done", 1: [None, 0.5]}},
    ),
]


@pytest.mark.parametrize(("message", "frame"), MESSAGES_AND_FRAMES)
def test_message_encodes_to_its_frame_and_decodes_back(message: Message, frame: Frame) -> None:
    # Controllers of other versions could not read a message whose bytes had changed.
    assert encode_frame(messages.to_frame(message)) == encode_frame(frame)
    assert messages.from_frame(frame, type(message)) == message
    assert frame["k"] == message.KIND


def test_every_message_type_is_covered() -> None:
    # A new type of message would otherwise not be compared by the test above.
    assert {type(message) for message, _ in MESSAGES_AND_FRAMES} == set(messages.Message.__args__)


def test_unknown_fields_are_ignored_and_missing_ones_get_defaults() -> None:
    # Newer versions send fields that this one does not know, and older ones omit fields.
    heartbeat = messages.from_frame(
        {"k": "hb", "term": 1, "hears": True, "novelty": [1]}, messages.Heartbeat
    )
    assert heartbeat == messages.Heartbeat(term=1)


@pytest.mark.parametrize(
    ("frame", "message_type"),
    [
        ({"k": "hb", "term": "x", "leader": 3}, messages.Heartbeat),
        ({"k": "hb"}, messages.Heartbeat),
        ({"k": "ord", "a": 1, "o": []}, messages.RelayedCommand),
        ({"k": "done", "i": [1]}, messages.RelayedCommandResult),
        ({"k": "ans", "i": "x"}, messages.JobResponse),
        ({"k": "alive", "t": 1, "m": "n-000001"}, messages.MachinesAlive),
    ],
)
def test_malformed_frame_raises_malformed_frame_error(
    frame: Frame, message_type: type[Any]
) -> None:
    # Any other exception than the typed error would escape the router's handling of bad frames.
    with pytest.raises(messages.MalformedFrameError, match=message_type.__name__):
        messages.from_frame(frame, message_type)


def test_router_logs_malformed_frames_and_each_unknown_kind_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A peer of a newer version sends frames of unknown kinds all the time; logging each of them, or
    # remembering an unlimited number of kinds, would fill the log or the memory.
    received: list[tuple[str, object]] = []
    router = FrameRouter()
    router.add_message_handler(
        messages.JobResponse, lambda sender, message: received.append((sender, message))
    )
    router.add_frame_handler("cell_state", lambda sender, frame: received.append((sender, frame)))
    caplog.set_level("INFO")
    router.route("controller-1", {"k": "ans", "i": 1, "s": 200, "b": None})
    router.route("controller-1", {"k": "cell_state", "cell": "south"})
    assert received == [
        ("controller-1", messages.JobResponse(number=1, status=200)),
        ("controller-1", {"k": "cell_state", "cell": "south"}),
    ]
    assert not caplog.records
    router.route("controller-1", {"k": "ans", "i": "x"})
    for _ in range(3):
        router.route("controller-1", {"k": "novelty"})
    assert [record.getMessage().split()[0] for record in caplog.records] == [
        "event=frame_malformed",
        "event=frame_kind_unknown",
    ]
    for number in range(2 * MAX_UNKNOWN_KINDS):
        router.route("controller-1", {"k": f"novelty-{number}"})
    assert len(caplog.records) == 1 + MAX_UNKNOWN_KINDS
    assert len(received) == 2


def test_result_without_machine_differs_from_result_with_null_machine() -> None:
    # Without a machine there was no reply; a null machine is another value and must not equal it.
    result = messages.from_frame(
        {"k": "done", "i": 1, "s": 0, "b": b""}, messages.RelayedCommandResult
    )
    assert result.machine is msgspec.UNSET
    assert (
        messages.from_frame(
            {"k": "done", "i": 1, "s": 0, "b": b"", "m": None}, messages.RelayedCommandResult
        )
        != result
    )
