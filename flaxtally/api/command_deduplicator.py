"""Recognizes relayed commands that arrive twice."""

from __future__ import annotations


class CommandDeduplicator:
    """Tells commands that come a second time from those that come for the first.

    While a link is taken for silent a frame goes both over it and through the state service, and
    may arrive by both ways, the second time seconds or minutes late. A launch executed again after
    its attempt was forgotten on the machine would start that attempt a second time.
    """

    def __init__(self, max_remembered: int) -> None:
        """`max_remembered`: numbers that are remembered at least; older ones count as seen."""
        self._max_remembered = max_remembered
        self._seen: set[int] = set()
        self._newest_forgotten = -1

    def is_new(self, number: int) -> bool:
        """Whether the number comes for the first time; it is remembered."""
        if number <= self._newest_forgotten or number in self._seen:
            return False
        self._seen.add(number)
        if len(self._seen) > 2 * self._max_remembered:
            self._forget_oldest()
        return True

    def _forget_oldest(self) -> None:
        newest = sorted(self._seen)[-self._max_remembered :]
        self._newest_forgotten = newest[0] - 1
        self._seen = set(newest)
