"""A token bucket: a rate limit with bursts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .loop import Runtime


class TokenBucket:
    """Limits calls to `rate_per_s`, with bursts of up to `burst`."""

    def __init__(self, runtime: Runtime, rate_per_s: float, burst: float) -> None:
        self._runtime, self._rate_per_s, self._burst = runtime, rate_per_s, burst
        self._tokens, self._refilled_at = burst, runtime.now()

    def seconds_until_available(self, cost: float) -> float:
        """Returns the seconds until there are `cost` tokens, or the bucket is full; 0 if now."""
        now = self._runtime.now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate_per_s)
        self._refilled_at = now
        wait_s = (min(cost, self._burst) - self._tokens) / self._rate_per_s
        # A wait shorter than the clock's resolution would be repeated indefinitely.
        return wait_s if wait_s > 1e-6 else 0.0

    def take(self, cost: float) -> None:
        """Takes `cost` tokens, even if there are fewer: later calls then wait longer."""
        self._tokens -= cost

    def try_take(self, cost: float) -> bool:
        """Takes `cost` tokens if there are that many now; returns whether it did."""
        if self.seconds_until_available(cost):
            return False
        self.take(cost)
        return True

    def empty(self) -> None:
        """Removes all tokens, after the other side refused a call as too many."""
        self._tokens = 0.0
