"""Typed messages between the controllers of one cell, and their form as frames.

A frame is a map whose key `k` names its kind. Frames of other kinds pass through the same links:
those between cells (`cells/messages.py`) and those of newer versions. The keys and their order are
fixed, since controllers of several versions talk to each other; keys that this version does not
know are passed over.

The links add `hears` to frames that they broadcast: whether they hear the receiver. It belongs to
the link, not to the message.
"""

from __future__ import annotations

from typing import Any, ClassVar, TypeVar

import msgspec

Frame = dict[str, Any]
"""A message as the links carry it: encoded by cbor2 as a map, in this order of keys."""

HELLO_KIND = "hello"
HEARTBEAT_KIND = "hb"
FORWARDED_HEARTBEAT_KIND = "rep"
MACHINES_ALIVE_KIND = "alive"
RELAYED_COMMAND_KIND = "ord"
RELAYED_COMMAND_RESULT_KIND = "done"
JOB_REQUEST_KIND = "ask"
JOB_RESPONSE_KIND = "ans"

_BYTES_STAY = (bytes,)


class MalformedFrameError(ValueError):
    """A frame of a known kind lacks a field, or a field has a wrong type."""


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag_field="k", tag=HELLO_KIND):
    """The first frame on a connection: who dialled it."""

    KIND: ClassVar[str] = HELLO_KIND

    node: str
    formats: Any = None
    """The formats that the sender reads; `protocol.formats.parse_range` judges it."""


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
    },
):
    """What a controller believes of term, leader and membership."""

    KIND: ClassVar[str] = HEARTBEAT_KIND

    term: int
    leader: str | None = None
    can_commit: bool = False
    """The sender leads, and reaches the key-value store."""
    is_ready: bool = False
    """The sender leads, and serves requests."""
    can_see_leader: bool = False
    live_members: list[str] = []
    """The membership view of the leader; empty from others."""
    formats: Any = None
    """The formats that the sender reads; `protocol.formats.parse_range` judges it."""


class ForwardedHeartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=FORWARDED_HEARTBEAT_KIND,
    rename={"term": "t", "machine": "m", "heartbeat": "b"},
):
    """A worker's heartbeat, passed on to the leader as it came."""

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
    """The machines whose heartbeats came to the sender lately."""

    KIND: ClassVar[str] = MACHINES_ALIVE_KIND

    term: int
    machines: list[str]


class RelayedCommand(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=RELAYED_COMMAND_KIND,
    rename={"number": "i", "machine": "m", "address": "a", "commands": "o"},
):
    """The leader asks another controller to send commands to a worker."""

    KIND: ClassVar[str] = RELAYED_COMMAND_KIND

    number: int
    machine: str | None = None
    address: str
    commands: dict[str, Any] | None = None
    """A batch of commands as the leader encoded it; None: query the worker's status.

    It is relayed as it came, so fields that a newer leader adds reach the worker.
    """


class RelayedCommandResult(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=RELAYED_COMMAND_RESULT_KIND,
    rename={"number": "i", "status": "s", "body": "b", "machine": "m"},
):
    """A worker's answer to relayed commands; status 0 if none came."""

    KIND: ClassVar[str] = RELAYED_COMMAND_RESULT_KIND

    number: int
    status: int
    body: bytes
    machine: str | msgspec.UnsetType | None = msgspec.UNSET
    """The machine that answered; not sent where none did."""


class JobRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=JOB_REQUEST_KIND,
    rename={"number": "i", "operation": "w", "subject": "s"},
):
    """A user's request, passed on to the leader."""

    KIND: ClassVar[str] = JOB_REQUEST_KIND

    number: int
    operation: str
    subject: Any = None
    """A job's id (`str`) or a submission (`bytes`); anything else is answered with status 400."""


class JobResponse(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="k",
    tag=JOB_RESPONSE_KIND,
    rename={"number": "i", "status": "s", "body": "b"},
):
    """The leader's answer to a `JobRequest`."""

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
    """The message as a frame; the kind comes first, then the fields in their order."""
    frame: Frame = msgspec.to_builtins(message, builtin_types=_BYTES_STAY)
    return frame


def from_frame(frame: Frame, message_type: type[AnyMessage]) -> AnyMessage:
    """The message of a frame of that type's kind, or `MalformedFrameError`."""
    try:
        return msgspec.convert(frame, message_type, builtin_types=_BYTES_STAY)
    except msgspec.ValidationError as error:
        raise MalformedFrameError(f"{message_type.__name__} frame: {error}") from None
