"""Actors: each owns its state, and handles one message at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from .loop import Runtime, Timer


class Actor:
    """Owns state that only its own methods change, called by the loop one after the other.

    A message to an actor is a call of one of its methods through `Runtime.soon`. The loop logs
    what a handler raises, so a bad message ends neither the actor nor the loop.
    """

    def __init__(self, runtime: Runtime) -> None:
        """`runtime`: its loop calls this actor."""
        self.runtime = runtime

    def every(self, period_s: float, fn: Callable[[], None]) -> None:
        """Calls `fn` at once and every `period_s`; an error in one call stops no later one."""

        def call_and_repeat() -> None:
            self.runtime.after(period_s, call_and_repeat)
            fn()

        # Logs and traces name the duty that held up the loop, not this function.
        call_and_repeat.__qualname__ = getattr(fn, "__qualname__", call_and_repeat.__qualname__)
        self.runtime.soon(call_and_repeat)

    def later(self, delay_s: float, fn: Callable[..., None], *args: Any) -> Timer:
        """Calls `fn` once, after `delay_s`."""
        return self.runtime.after(delay_s, fn, *args)
