"""Frames between controllers of different cells."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from ..cluster.messages import Frame

STATE_FRAME, REQUEST, REPLY = "cell_state", "cell_ask", "cell_answer"


class MachineKind(msgspec.Struct, frozen=True, array_like=True):
    """A machine type that a cell can provision, with the resources that one task can use."""

    name: str
    cores: float
    gpus: float
    memory_gb: float


class CellState(msgspec.Struct, frozen=True, tag_field="k", tag=STATE_FRAME):
    """The state of a cell, which each of its controllers broadcasts periodically."""

    cell: str
    able: bool
    """Whether requests sent to this controller reach a leader that can commit."""
    pressure: float | None = None
    """Pending tasks per machine of the cell; reported by the cell's leader only."""
    kinds: list[MachineKind] = []
    """Machine types that the cell can provision; reported by the cell's leader only."""


class CellRequest(msgspec.Struct, frozen=True, tag_field="k", tag=REQUEST):
    """A user's request that is forwarded to the job's cell."""

    number: int
    what: str
    """The kind of request, such as a submission or a cancellation."""
    ref: str
    """The id of the job that the request is about."""
    submission: bytes = b""
    """The body of a submission as the user sent it; empty for other requests."""


class CellReply(msgspec.Struct, frozen=True, tag_field="k", tag=REPLY):
    """The reply to a `CellRequest` with the same number."""

    number: int
    status: int
    body: Any = None


CellMessage = CellState | CellRequest | CellReply


def to_frame(message: CellMessage) -> Frame:
    """Encodes the message as a frame between controllers."""
    frame: Frame = msgspec.to_builtins(message, builtin_types=(bytes,))
    return frame


def from_frame(frame: Frame) -> CellMessage:
    """Decodes a frame; raises `msgspec.ValidationError` if it is malformed."""
    message: CellMessage = msgspec.convert(frame, CellMessage, builtin_types=(bytes,))
    return message
