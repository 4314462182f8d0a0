"""Recognizes relayed commands that arrive more than once."""

from __future__ import annotations


class CommandDeduplicator:
    """Distinguishes commands that arrive for the first time from duplicates.

    While a link counts as down, each frame is sent both over it and through the key-value store. It
    may arrive on both paths, the second time seconds or minutes later. A duplicate launch that is
    executed after the machine has forgotten the attempt would start that attempt a second time.
    """

    def __init__(self, max_remembered: int) -> None:
        """`max_remembered`: the minimum count of remembered numbers; older ones count as seen."""
        self._max_remembered = max_remembered
        self._seen: set[int] = set()
        self._newest_forgotten = -1

    def is_new(self, number: int) -> bool:
        """Whether the number arrives for the first time; remembers it."""
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
