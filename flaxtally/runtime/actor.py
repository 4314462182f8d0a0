"""Actors: each owns its state and handles one message at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from .loop import Runtime, Timer


class Actor:
    """Owns state that only its own methods change; the loop calls them one after the other.

    A message to an actor is a call of one of its methods through `Runtime.soon`. The loop logs
    what a handler raises, so a bad message stops neither the actor nor the loop.
    """

    def __init__(self, runtime: Runtime) -> None:
        """`runtime`: the event loop that calls this actor."""
        self.runtime = runtime

    def every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Calls `callback` now and every `period_s`; an error in a call doesn't stop later ones."""

        def call_and_repeat() -> None:
            self.runtime.after(period_s, call_and_repeat)
            callback()

        # Logs and traces of slow callbacks show the repeated callback, not this wrapper.
        call_and_repeat.__qualname__ = getattr(
            callback, "__qualname__", call_and_repeat.__qualname__
        )
        self.runtime.soon(call_and_repeat)

    def later(self, delay_s: float, callback: Callable[..., None], *args: Any) -> Timer:
        """Calls `callback` once, after `delay_s` seconds."""
        return self.runtime.after(delay_s, callback, *args)
