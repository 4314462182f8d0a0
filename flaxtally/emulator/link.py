"""The connection of a child process to the coordinator, and the interface of its role."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..runtime.actor import Actor
from .messages import Channel, Counters, Event, Events, Hello, LoopLate, Message, Samples

if TYPE_CHECKING:
    from ..runtime.loop_delay import LoopDelay
    from .measured import CountingLoop
    from .plan import Plan

FLUSH_INTERVAL_S = 0.25
"""Seconds between two batches of events and samples."""
COUNTER_INTERVAL_S = 1.0
"""Seconds between two `Counters` messages."""
MAX_EVENTS_PER_FRAME = 4000
"""Keeps a frame of events well below the size limit of frames."""
MAX_SAMPLES_PER_FRAME = 20_000
"""Keeps a frame of samples well below the size limit of frames."""
LOOP_LATE_THRESHOLD_S = 0.25
"""A timer that is later than this is reported, because such a delay distorts the figures."""
ENVIRONMENT, WORKERS, USERS = "outside", "workers", "users"
"""The roles of child processes; the first one runs the fake services."""


class RoleHandler(Protocol):
    """What a child process does in its role, apart from the connection to the coordinator."""

    def receive(self, message: Message) -> None:
        """Handles a message from the coordinator."""

    def totals(self) -> dict[str, float]:
        """Returns the counters since the process started."""


class CoordinatorLink(Actor):
    """Owns the connection to the coordinator, and the events and samples to be sent over it."""

    def __init__(self, loop: CountingLoop, plan: Plan, role: str, number: int) -> None:
        super().__init__(loop)
        self._loop, self._role, self._number = loop, role, number
        self._events: list[Event] = []
        self._samples: dict[str, list[float]] = {}
        self.handler: RoleHandler | None = None
        self._channel = Channel(
            loop.connect(plan.coordinator), self._receive, lambda _: loop.stop()
        )
        loop.on_delay(LOOP_LATE_THRESHOLD_S, COUNTER_INTERVAL_S, self._on_delay)

    def start(self, handler: RoleHandler) -> None:
        """Announces that the process is ready, and begins to send events, samples and counters."""
        self.handler = handler
        self.send(Hello(self._role, self._number))
        self.every(FLUSH_INTERVAL_S, self._send_pending)
        self.every(COUNTER_INTERVAL_S, self._send_counters)

    def send(self, message: Message) -> None:
        self._channel.send(message)

    def add_event(self, event: Event) -> None:
        self._events.append(event)

    def add_sample(self, name: str, seconds: float) -> None:
        self._samples.setdefault(name, []).append(round(seconds, 6))

    def _receive(self, _: Channel, message: Message) -> None:
        if self.handler is not None:
            self.handler.receive(message)

    def _send_pending(self) -> None:
        events, self._events = self._events, []
        for first in range(0, len(events), MAX_EVENTS_PER_FRAME):
            self.send(Events(events[first : first + MAX_EVENTS_PER_FRAME]))
        samples, self._samples = self._samples, {}
        for name, values in samples.items():
            for first in range(0, len(values), MAX_SAMPLES_PER_FRAME):
                self.send(Samples(name, values[first : first + MAX_SAMPLES_PER_FRAME]))

    def _send_counters(self) -> None:
        if self.handler is not None:
            at = self.runtime.now()
            self.send(Counters(at, self.handler.totals()))

    def _on_delay(self, delay: LoopDelay) -> None:
        self.send(LoopLate(delay.max_lateness_s))
