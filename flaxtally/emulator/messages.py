"""The typed messages between the processes of an emulated deployment: cbor2 frames over TCP."""

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
    """An event that the rules check. `at` is a time of the monotonic clock, in seconds."""

    at: float
    kind: str
    subject: str
    """The id of a task or a job."""
    machine: str = ""
    attempt: int = 0
    asked_at: float = 0.0
    status: int = 0
    stage: str = ""
    body_ref: str = ""
    """The id of the job in a reply's body."""


STARTED, ENDED, SUBMITTED, CANCEL_REQUESTED = "started", "ended", "submitted", "cancel_asked"
SUBMIT_REPLY, POLL_REPLY, CANCEL_REPLY = "submit", "poll", "cancel"
REPLY_KINDS = (SUBMIT_REPLY, POLL_REPLY, CANCEL_REPLY)


class Hello(msgspec.Struct, tag_field="k", tag="hello"):
    """Announces a child process that is ready."""

    role: str
    number: int


class StartLoad(msgspec.Struct, tag_field="k", tag="begin"):
    """Tells the users' process to start the load."""


class Events(msgspec.Struct, tag_field="k", tag="events"):
    """Events of one child process, in their order."""

    events: list[Event]


class Samples(msgspec.Struct, tag_field="k", tag="samples"):
    """Measured delays of one kind, in seconds."""

    name: str
    values: list[float]


class Counters(msgspec.Struct, tag_field="k", tag="counters"):
    """Totals since the child process started, at a time of the monotonic clock."""

    at: float
    totals: dict[str, float]


class LoopLate(msgspec.Struct, tag_field="k", tag="loop_late"):
    """Reports a late timer in the emulator itself, which distorts the controllers' figures."""

    late: float


class MachineStarted(msgspec.Struct, tag_field="k", tag="machine_up"):
    """Announces that the fake cloud has started a machine."""

    machine: wire.ListedMachine


class RemoveMachines(msgspec.Struct, tag_field="k", tag="take_machines"):
    """Tells the workers' processes to remove machines; nothing may run on them after the reply."""

    request: int
    machines: list[str]


class MachinesRemoved(msgspec.Struct, tag_field="k", tag="machines_taken"):
    """The reply to `RemoveMachines`."""

    request: int


class RestartWorkers(msgspec.Struct, tag_field="k", tag="restart_workers"):
    """Makes a fraction of the workers lose their tasks and begin a new session, all at once."""

    share: float


class DisconnectZone(msgspec.Struct, tag_field="k", tag="silence_zone"):
    """Drops all messages to and from a zone's workers for `seconds`."""

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
    | DisconnectZone
)


class Channel:
    """Sends and receives messages over a stream; logs and skips a malformed message."""

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
        """The name of the child process at the other end, once it has announced itself."""
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
