"""The connection of a part to the coordinator, and what a part must do for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..runtime.actor import Actor
from .messages import Channel, Counters, Event, Events, Hello, LoopLate, Message, Samples

if TYPE_CHECKING:
    from ..runtime.loop_delay import LoopDelay
    from .measured import CountingLoop
    from .plan import Plan

FLUSH_INTERVAL_S = 0.25
COUNTER_INTERVAL_S = 1.0
MAX_EVENTS_PER_FRAME = 4000
"""A frame; it stays well below the frames' limit."""
MAX_SAMPLES_PER_FRAME = 20_000
LOOP_LATE_THRESHOLD_S = 0.25
"""A part that is this far behind spoils the figures."""
ENVIRONMENT, WORKERS, USERS = "outside", "workers", "users"
"""The roles of parts."""


class RoleHandler(Protocol):
    """What a part does besides speaking to the coordinator."""

    def receive(self, message: Message) -> None:
        """A message of the coordinator."""

    def totals(self) -> dict[str, float]:
        """What it counted since it began."""


class CoordinatorLink(Actor):
    """Owns the connection to the coordinator, and what waits to be told."""

    def __init__(self, loop: CountingLoop, plan: Plan, role: str, number: int) -> None:
        super().__init__(loop)
        self._loop, self._role, self._number = loop, role, number
        self._events: list[Event] = []
        self._samples: dict[str, list[float]] = {}
        self.handler: RoleHandler | None = None
        self._channel = Channel(loop.connect(plan.control), self._receive, lambda _: loop.stop())
        loop.on_delay(LOOP_LATE_THRESHOLD_S, COUNTER_INTERVAL_S, self._on_delay)

    def start(self, handler: RoleHandler) -> None:
        """The part can serve from now on."""
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
        self.send(LoopLate(delay.late))
