"""Delay of an event loop: how late its timers fire, and which callback took longest."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable


class LoopDelay(NamedTuple):
    """The largest delays since the last report, in seconds."""

    max_lateness_s: float
    """The largest time by which a timer fired late."""
    max_duration_s: float
    """The longest duration of a callback."""
    callback: str
    """The name of the callback that took longest, or `none`."""


def get_callback_name(callback: Callable[..., Any]) -> str:
    """Returns the callback's qualified name, for logs and traces."""
    while isinstance(callback, partial):
        callback = callback.func
    return getattr(callback, "__qualname__", repr(callback))


class DelayMonitor:
    """Tracks the largest delays since the last report.

    `notify` is called when a timer fires more than `threshold_s` late, at most once per `period_s`.
    """

    def __init__(
        self, threshold_s: float, period_s: float, notify: Callable[[LoopDelay], None]
    ) -> None:
        self._threshold_s, self._period_s, self._notify = threshold_s, period_s, notify
        self._next_report_at = float("-inf")
        self._max_lateness_s = self._max_duration_s = 0.0
        self._callback: Callable[..., Any] | None = None
        """The callback that took longest since the last report."""

    def record_callback(self, callback: Callable[..., Any], duration_s: float) -> None:
        """Records that a callback took `duration_s`."""
        if duration_s > self._max_duration_s:
            self._max_duration_s, self._callback = duration_s, callback

    def record_timer(self, lateness_s: float, now: float) -> None:
        """Records that a timer fired `lateness_s` seconds after it was due."""
        self._max_lateness_s = max(self._max_lateness_s, lateness_s)
        if self._max_lateness_s <= self._threshold_s or now < self._next_report_at:
            return
        self._next_report_at = now + self._period_s
        name = get_callback_name(self._callback) if self._callback is not None else "none"
        loop_delay = LoopDelay(self._max_lateness_s, self._max_duration_s, name)
        self._max_lateness_s = self._max_duration_s = 0.0
        self._callback = None
        self._notify(loop_delay)
