"""Frames between controllers of different cells."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from ..cluster.messages import Frame

STATE, QUESTION, ANSWER = "cell_state", "cell_ask", "cell_answer"


class Kind(msgspec.Struct, frozen=True, array_like=True):
    """A machine type that a cell can rent: what a task may take of it."""

    name: str
    cores: float
    gpus: float
    memory_gb: float


class CellState(msgspec.Struct, frozen=True, tag_field="k", tag=STATE):
    """What a controller says of its cell, again and again."""

    cell: str
    able: bool
    """Whether questions sent to it reach a leader that can commit."""
    pressure: float | None = None
    """Waiting tasks by machine; said by the cell's leader alone."""
    kinds: list[Kind] = []


class Question(msgspec.Struct, frozen=True, tag_field="k", tag=QUESTION):
    """A user's question that is passed to the job's cell."""

    number: int
    what: str
    ref: str
    """The job that it is about."""
    submission: bytes = b""
    """What the user sent, if it is a submission."""


class Answer(msgspec.Struct, frozen=True, tag_field="k", tag=ANSWER):
    """The answer to `Question`."""

    number: int
    status: int
    body: Any = None


Message = CellState | Question | Answer


def to_frame(message: Message) -> Frame:
    """The message as a frame between controllers."""
    frame: Frame = msgspec.to_builtins(message, builtin_types=(bytes,))
    return frame


def from_frame(frame: Frame) -> Message:
    """The message of a frame, or `msgspec.ValidationError`."""
    message: Message = msgspec.convert(frame, Message, builtin_types=(bytes,))
    return message
