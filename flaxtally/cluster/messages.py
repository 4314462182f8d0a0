"""Typed messages between the controllers of one cell, and their form as frames.

A frame is a map whose key `k` names its kind. The links also carry frames of other kinds: those
between cells (`cells/messages.py`) and those of newer versions. The keys and their order are fixed,
since controllers of different versions communicate with each other; keys that this version does not
know are ignored.

The links add three keys to the frames that they broadcast. They belong to the link, not to the
message: `hears` (whether the sender receives frames from the receiver), `at` (when the frame was
sent, by the sender's clock) and `echo` (the `at` of the newest frame that the sender received from
the receiver).
"""

from __future__ import annotations

from typing import Any, ClassVar, TypeVar

import msgspec

Frame = dict[str, Any]
"""A message as the links carry it: a map that is encoded in CBOR with its keys in this order."""

HELLO_KIND = "hello"
HEARTBEAT_KIND = "hb"
FORWARDED_HEARTBEAT_KIND = "rep"
MACHINES_ALIVE_KIND = "alive"
RELAYED_COMMAND_KIND = "ord"
RELAYED_COMMAND_RESULT_KIND = "done"
JOB_REQUEST_KIND = "ask"
JOB_RESPONSE_KIND = "ans"

_UNCONVERTED_TYPES = (bytes,)


class MalformedFrameError(ValueError):
    """A frame of a known kind lacks a field, or a field has the wrong type."""


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag_field="k", tag=HELLO_KIND):
    """The first frame on a connection, which identifies the controller that dialled it."""

    KIND: ClassVar[str] = HELLO_KIND

    node: str
    formats: Any = None
    """The formats that the sender reads; `protocol.formats.parse_range` validates the value."""


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=HEARTBEAT_KIND,
    rename={
        "can_commit": "able",
        "is_ready": "ready",
        "can_see_leader": "sees",
        "live_members": "view",
        "can_reach_store": "store",
        "incarnation": "boot",
    },
):
    """The term, the leader and the membership that the sender knows of."""

    KIND: ClassVar[str] = HEARTBEAT_KIND

    term: int
    leader: str | None = None
    can_commit: bool = False
    """Whether the sender leads and can reach the key-value store."""
    is_ready: bool = False
    """Whether the sender leads and serves requests."""
    can_see_leader: bool = False
    """Whether the sender is, or can reach, a leader that can commit."""
    live_members: list[str] = []
    """The controllers that the leader can reach; empty in the heartbeats of others."""
    formats: Any = None
    """The formats that the sender reads; `protocol.formats.parse_range` validates the value."""
    can_reach_store: bool | None = None
    """Whether the key-value store served the sender recently.

    None if it never did since the sender was started, and in the heartbeats of older versions.
    """
    incarnation: int | None = None
    """Identifies the sender's process; None in the heartbeats of older versions."""


class ForwardedHeartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=FORWARDED_HEARTBEAT_KIND,
    rename={"term": "t", "machine": "m", "heartbeat": "b"},
):
    """A worker's heartbeat, forwarded unchanged to the leader."""

    KIND: ClassVar[str] = FORWARDED_HEARTBEAT_KIND

    term: int
    machine: str = ""
    heartbeat: bytes


class MachinesAlive(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=MACHINES_ALIVE_KIND,
    rename={"term": "t", "machines": "m"},
):
    """The machines whose heartbeats the sender received recently."""

    KIND: ClassVar[str] = MACHINES_ALIVE_KIND

    term: int
    machines: list[str]


class RelayedCommand(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=RELAYED_COMMAND_KIND,
    rename={
        "number": "i",
        "machine": "m",
        "address": "a",
        "commands": "o",
        "receiver_incarnation": "boot",
    },
):
    """A request of the leader that another controller send commands to a worker."""

    KIND: ClassVar[str] = RELAYED_COMMAND_KIND

    number: int
    machine: str | None = None
    address: str
    commands: dict[str, Any] | None = None
    """A batch of commands as the leader encoded it; None to query the worker's status.

    It is relayed unchanged, so that fields which a newer leader adds reach the worker.
    """
    receiver_incarnation: int | msgspec.UnsetType = msgspec.UNSET
    """The process that is to relay the commands: a later one does not know whether an earlier one
    did. Not sent if it is unknown, or by older versions: then any process relays them.
    """


class RelayedCommandResult(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=RELAYED_COMMAND_RESULT_KIND,
    rename={"number": "i", "status": "s", "body": "b", "machine": "m"},
):
    """A worker's reply to relayed commands; status 0 if there was no reply."""

    KIND: ClassVar[str] = RELAYED_COMMAND_RESULT_KIND

    number: int
    status: int
    body: bytes
    machine: str | msgspec.UnsetType | None = msgspec.UNSET
    """The machine that replied; not sent if there was no reply."""


class JobRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=JOB_REQUEST_KIND,
    rename={"number": "i", "operation": "w", "subject": "s"},
):
    """A user's request, forwarded to the leader."""

    KIND: ClassVar[str] = JOB_REQUEST_KIND

    number: int
    operation: str
    subject: Any = None
    """A job's id (`str`) or a submission (`bytes`); the reply to anything else has status 400."""


class JobResponse(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=JOB_RESPONSE_KIND,
    rename={"number": "i", "status": "s", "body": "b"},
):
    """The leader's reply to a `JobRequest`."""

    KIND: ClassVar[str] = JOB_RESPONSE_KIND

    number: int
    status: int
    body: Any = None


Message = (
    Hello
    | Heartbeat
    | ForwardedHeartbeat
    | MachinesAlive
    | RelayedCommand
    | RelayedCommandResult
    | JobRequest
    | JobResponse
)

AnyMessage = TypeVar("AnyMessage", bound=Message)


def to_frame(message: Message) -> Frame:
    """Returns the message as a frame: its kind first, then the fields in their order."""
    frame: Frame = msgspec.to_builtins(message, builtin_types=_UNCONVERTED_TYPES)
    return frame


def from_frame(frame: Frame, message_type: type[AnyMessage]) -> AnyMessage:
    """Returns the message of a frame of that type's kind, or raises `MalformedFrameError`."""
    try:
        return msgspec.convert(frame, message_type, builtin_types=_UNCONVERTED_TYPES)
    except msgspec.ValidationError as error:
        raise MalformedFrameError(f"{message_type.__name__} frame: {error}") from None
