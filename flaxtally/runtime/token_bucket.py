"""A budget of calls a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .loop import Runtime


class TokenBucket:
    """A call budget: `rate` a second, with bursts of `burst`."""

    def __init__(self, runtime: Runtime, rate: float, burst: float) -> None:
        self._runtime, self._rate, self._burst = runtime, rate, burst
        self._level, self._at = burst, runtime.now()

    def seconds_until_available(self, cost: float) -> float:
        """Seconds until `cost` can be taken (0: now)."""
        now = self._runtime.now()
        self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        seconds_until_available = (min(cost, self._burst) - self._level) / self._rate
        # Below what a clock can tell apart it would be waited for without end.
        return seconds_until_available if seconds_until_available > 1e-6 else 0.0

    def take(self, cost: float) -> None:
        self._level -= cost

    def try_take(self, cost: float) -> bool:
        """Takes `cost` if it can be taken now."""
        if self.seconds_until_available(cost):
            return False
        self.take(cost)
        return True

    def empty(self) -> None:
        self._level = 0.0
