"""The final states of jobs, which are kept for ever: a few bytes each.

A job's id is a text of digits, so an id and its state fit a number of 64 bits. Numbers are kept in
sorted blocks; a text and an entry of a dict for each would take ten times the memory.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from typing import TYPE_CHECKING

from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterator

PREFIX = "j-"
_MOST_RECENT = 4096
"""States that are kept apart until they are worth sorting in."""
_MOST_IN_BLOCK = 1 << 16
"""Blocks that are larger aren't merged: it would hold up the loop."""


def _number_of(ref: str) -> int | None:
    """The id as a number: a 1 before its digits keeps leading zeros apart; None: it is no id."""
    return int("1" + ref[len(PREFIX) :]) if wire.JOB_ID.match(ref) else None


def _ref_of(number: int) -> str:
    return PREFIX + str(number)[1:]


class TerminalJobs:
    """By id, whether a job was done or cancelled. What is final never changes."""

    def __init__(self) -> None:
        self._recent: dict[int, int] = {}
        """By number, the same with its state."""
        self._blocks: list[array[int]] = []
        """Numbers with their states, in order within each block."""

    def __len__(self) -> int:
        return len(self._recent) + sum(len(block) for block in self._blocks)

    def __contains__(self, ref: str) -> bool:
        return self.get(ref) is not None

    def __iter__(self) -> Iterator[str]:
        """The ids, in no order."""
        for number in self._recent:
            yield _ref_of(number)
        for block in self._blocks:
            for coded in block:
                yield _ref_of(coded >> 1)

    def get(self, ref: str) -> str | None:
        """The state of a job that is over; None: it is not, or the text is no job's id."""
        number = _number_of(ref)
        coded = None if number is None else self._find(number)
        if coded is None:
            return None
        return wire.ABORTED if coded & 1 else wire.DONE

    def add(self, ref: str, state: str) -> None:
        """Keeps the final state of a job; raises ValueError if the text is no job's id."""
        number = _number_of(ref)
        if number is None:
            raise ValueError(f"{ref!r} is no job's id")
        if self._find(number) is not None:
            return
        self._recent[number] = number << 1 | (state == wire.ABORTED)
        if len(self._recent) >= _MOST_RECENT:
            self._sort_in()

    def _find(self, number: int) -> int | None:
        """The number with its state; None: the job is not over."""
        if number in self._recent:
            return self._recent[number]
        sought = number << 1
        for block in self._blocks:
            if block[0] >> 1 <= number <= block[-1] >> 1:
                at = bisect_left(block, sought)
                if at < len(block) and block[at] >> 1 == number:
                    return block[at]
        return None

    def _sort_in(self) -> None:
        """Makes a block of the recent states; small blocks become one."""
        block = array("Q", sorted(self._recent.values()))
        self._recent = {}
        while self._blocks and len(self._blocks[-1]) <= len(block) < _MOST_IN_BLOCK:
            block = array("Q", sorted([*self._blocks.pop(), *block]))
        self._blocks.append(block)


class TerminalJobPage:
    """The ids of final jobs whose records stand in one page, in order."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        self._numbers = array("Q")

    def __iter__(self) -> Iterator[str]:
        return map(_ref_of, self._numbers)

    def add(self, ref: str) -> None:
        """One more record of a final job; raises ValueError if the text is no job's id."""
        number = _number_of(ref)
        if number is None:
            raise ValueError(f"{ref!r} is no job's id")
        self._numbers.append(number)
