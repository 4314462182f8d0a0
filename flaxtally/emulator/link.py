"""The connection of a part to the coordinator, and what a part must do for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..runtime.actor import Actor
from .messages import Channel, Counters, Event, Events, Hello, LoopLate, Message, Samples

if TYPE_CHECKING:
    from ..runtime.loop_delay import LoopDelay
    from .measured import CountingLoop
    from .plan import Plan

FLUSH_S = 0.25
COUNT_S = 1.0
MOST_EVENTS = 4000
"""A frame; it stays well below the frames' limit."""
MOST_SAMPLES = 20_000
LATE_S = 0.25
"""A part that is this far behind spoils the figures."""
OUTSIDE, WORKERS, USERS = "outside", "workers", "users"
"""The roles of parts."""


class Duty(Protocol):
    """What a part does besides speaking to the coordinator."""

    def receive(self, message: Message) -> None:
        """A message of the coordinator."""

    def totals(self) -> dict[str, float]:
        """What it counted since it began."""


class Link(Actor):
    """Owns the connection to the coordinator, and what waits to be told."""

    def __init__(self, loop: CountingLoop, plan: Plan, role: str, number: int) -> None:
        super().__init__(loop)
        self._loop, self._role, self._number = loop, role, number
        self._events: list[Event] = []
        self._samples: dict[str, list[float]] = {}
        self.duty: Duty | None = None
        self._channel = Channel(loop.connect(plan.control), self._receive, lambda _: loop.stop())
        loop.on_delay(LATE_S, COUNT_S, self._on_delay)

    def start(self, duty: Duty) -> None:
        """The part can serve from now on."""
        self.duty = duty
        self.send(Hello(self._role, self._number))
        self.every(FLUSH_S, self._flush)
        self.every(COUNT_S, self._count)

    def send(self, message: Message) -> None:
        self._channel.send(message)

    def event(self, event: Event) -> None:
        self._events.append(event)

    def sample(self, name: str, seconds: float) -> None:
        self._samples.setdefault(name, []).append(round(seconds, 6))

    def _receive(self, _: Channel, message: Message) -> None:
        if self.duty is not None:
            self.duty.receive(message)

    def _flush(self) -> None:
        events, self._events = self._events, []
        for first in range(0, len(events), MOST_EVENTS):
            self.send(Events(events[first : first + MOST_EVENTS]))
        samples, self._samples = self._samples, {}
        for name, values in samples.items():
            for first in range(0, len(values), MOST_SAMPLES):
                self.send(Samples(name, values[first : first + MOST_SAMPLES]))

    def _count(self) -> None:
        if self.duty is not None:
            at = self.runtime.now()
            self.send(Counters(at, self.duty.totals()))

    def _on_delay(self, delay: LoopDelay) -> None:
        self.send(LoopLate(delay.late))
