"""How far an event loop is behind: how late timers fire, and which callback took longest."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable


class LoopDelay(NamedTuple):
    """The worst of a stretch of time, in seconds."""

    late: float
    """How late a timer fired."""
    longest: float
    """How long a single callback took."""
    callback: str
    """The name of that callback."""


def callback_name(fn: Callable[..., Any]) -> str:
    """The callback as operators and developers know it: class and method."""
    while isinstance(fn, partial):
        fn = fn.func
    return getattr(fn, "__qualname__", repr(fn))


class DelayMonitor:
    """Owns the worst delays since the last notice.

    `notify` is called when a timer fires more than `least` seconds late, at most once in `period`
    seconds.
    """

    def __init__(self, least: float, period: float, notify: Callable[[LoopDelay], None]) -> None:
        self._least, self._period, self._notify = least, period, notify
        self._next_notice = float("-inf")
        self._late = self._longest = 0.0
        self._callback: Callable[..., Any] | None = None

    def ran(self, fn: Callable[..., Any], took: float) -> None:
        """A callback ran for so many seconds."""
        if took > self._longest:
            self._longest, self._callback = took, fn

    def fired(self, late: float, now: float) -> None:
        """A timer fired so many seconds after its time."""
        self._late = max(self._late, late)
        if self._late <= self._least or now < self._next_notice:
            return
        self._next_notice = now + self._period
        name = callback_name(self._callback) if self._callback is not None else "none"
        delay = LoopDelay(self._late, self._longest, name)
        self._late = self._longest = 0.0
        self._callback = None
        self._notify(delay)
