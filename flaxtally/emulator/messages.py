"""What the processes of an emulated deployment tell each other: typed, as cbor2 frames over TCP."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import msgspec

from ..cluster.frame_codec import FrameDecoder, encode_frame
from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Stream

log = logging.getLogger(__name__)


class Event(msgspec.Struct, array_like=True):
    """Something that the rules look at. `at` is the machine's steady clock, in seconds."""

    at: float
    kind: str
    subject: str
    """A task or a job."""
    machine: str = ""
    attempt: int = 0
    asked_at: float = 0.0
    status: int = 0
    stage: str = ""
    body_ref: str = ""
    """The job that an answer speaks of."""


STARTED, ENDED, SUBMITTED, CANCEL_REQUESTED = "started", "ended", "submitted", "cancel_asked"
SUBMIT_REPLY, POLL_REPLY, CANCEL_REPLY = "submit", "poll", "cancel"
REPLY_KINDS = (SUBMIT_REPLY, POLL_REPLY, CANCEL_REPLY)


class Hello(msgspec.Struct, tag_field="k", tag="hello"):
    """A part says who it is, once it can serve."""

    role: str
    number: int


class StartLoad(msgspec.Struct, tag_field="k", tag="begin"):
    """The load begins."""


class Events(msgspec.Struct, tag_field="k", tag="events"):
    """A piece of the history, in the order of one part."""

    events: list[Event]


class Samples(msgspec.Struct, tag_field="k", tag="samples"):
    """Measured delays in seconds, by what was measured."""

    name: str
    values: list[float]


class Counters(msgspec.Struct, tag_field="k", tag="counters"):
    """Totals since the part began."""

    at: float
    totals: dict[str, float]


class LoopLate(msgspec.Struct, tag_field="k", tag="loop_late"):
    """A part of the emulator itself is behind: its figures aren't the controllers'."""

    late: float


class MachineStarted(msgspec.Struct, tag_field="k", tag="machine_up"):
    """The cloud started a machine."""

    machine: wire.Listed


class RemoveMachines(msgspec.Struct, tag_field="k", tag="take_machines"):
    """The cloud takes machines; nothing may run on them once this is answered."""

    request: int
    machines: list[str]


class MachinesRemoved(msgspec.Struct, tag_field="k", tag="machines_taken"):
    """The answer to `RemoveMachines`."""

    request: int


class RestartWorkers(msgspec.Struct, tag_field="k", tag="restart_workers"):
    """A share of the workers loses its tasks and begins a new session, all at once."""

    share: float


class SilenceZone(msgspec.Struct, tag_field="k", tag="silence_zone"):
    """A zone's workers neither send nor hear anything for a while."""

    zone: str
    seconds: float


Message = (
    Hello
    | StartLoad
    | Events
    | Samples
    | Counters
    | LoopLate
    | MachineStarted
    | RemoveMachines
    | MachinesRemoved
    | RestartWorkers
    | SilenceZone
)


class Channel:
    """Messages over a stream, both ways. A malformed one is one log line."""

    def __init__(
        self,
        stream: Stream,
        on_message: Callable[[Channel, Any], None],
        on_closed: Callable[[Channel], None],
    ) -> None:
        self._stream, self._on_message, self._frames = stream, on_message, FrameDecoder()
        self.role, self.number = "", 0
        stream.on_data = self._on_data
        stream.on_close = lambda: on_closed(self)

    @property
    def name(self) -> str:
        """The part at the other end, once it has said who it is."""
        return f"{self.role}-{self.number}"

    def send(self, message: Message) -> None:
        self._stream.send(encode_frame(msgspec.to_builtins(message)))

    def _on_data(self, data: bytes) -> None:
        try:
            frames = self._frames.feed(data)
        except ValueError as error:
            log.error("event=malformed_stream part=%s why=%s", self.name, error)
            self._stream.close()
            return
        for frame in frames:
            try:
                message = msgspec.convert(frame, Message)
            except msgspec.ValidationError as error:
                log.error("event=malformed_message part=%s why=%s", self.name, error)
                continue
            self._on_message(self, message)
