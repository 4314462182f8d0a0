"""Actors: each owns its state and is spoken to by messages, one at a time, in order."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from .loop import Runtime, Timer


class Actor:
    """A message is a method's name and its arguments; `tell` returns before it is handled.

    The loop handles one message at a time and logs what a handler raises, so a bad message
    ends neither the actor nor the loop.
    """

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime

    def tell(self, message: str, *args: Any) -> None:
        self.runtime.soon(getattr(self, "on_" + message), *args)

    def every(self, period: float, fn: Callable[[], None]) -> None:
        """Calls `fn` at once and every `period` seconds; a fault in one call stops no later one."""

        def turn() -> None:
            self.runtime.after(period, turn)
            fn()

        # Under its own name in logs and traces: which duty held up the loop?
        turn.__qualname__ = getattr(fn, "__qualname__", turn.__qualname__)
        self.runtime.soon(turn)

    def later(self, delay: float, fn: Callable[..., None], *args: Any) -> Timer:
        return self.runtime.after(delay, fn, *args)
