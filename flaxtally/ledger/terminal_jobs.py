"""The stages of terminal jobs, which are kept for ever: a few bytes each. Pure.

A job's id is a text of digits, so an id and its stage fit a number of 64 bits. Numbers are kept in
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
_MAX_RECENT = 4096
"""Stages that are kept apart until they are worth sorting into a block."""
_MAX_MERGED_BLOCK = 1 << 16
"""Blocks that are larger aren't merged: it would hold up the loop."""


def _number_of(ref: str) -> int | None:
    """The id as a number: a 1 before its digits keeps leading zeros apart; None: it is no id."""
    return int("1" + ref[len(PREFIX) :]) if wire.JOB_ID.match(ref) else None


def _ref_of(number: int) -> str:
    return PREFIX + str(number)[1:]


class TerminalJobs:
    """By id, whether a job was done or cancelled. The stage of a terminal job never changes."""

    def __init__(self) -> None:
        """No job is terminal yet."""
        self._recent: dict[int, int] = {}
        """By the number of an id, the number with its stage."""
        self._blocks: list[array[int]] = []
        """Numbers with their stages, in order within each block."""

    def __len__(self) -> int:
        """How many jobs are terminal."""
        return len(self._recent) + sum(len(block) for block in self._blocks)

    def __contains__(self, ref: str) -> bool:
        """Whether the job is terminal."""
        return self.get(ref) is not None

    def __iter__(self) -> Iterator[str]:
        """The ids, in no order."""
        for number in self._recent:
            yield _ref_of(number)
        for block in self._blocks:
            for coded in block:
                yield _ref_of(coded >> 1)

    def get(self, ref: str) -> str | None:
        """The stage of a terminal job; None: it is none, or the text is no job's id."""
        number = _number_of(ref)
        coded = None if number is None else self._find(number)
        if coded is None:
            return None
        return wire.ABORTED if coded & 1 else wire.DONE

    def add(self, ref: str, stage: str) -> None:
        """Keeps the stage of a terminal job; raises ValueError if the text is no job's id."""
        number = _number_of(ref)
        if number is None:
            raise ValueError(f"{ref!r} is no job's id")
        if self._find(number) is not None:
            return
        self._recent[number] = number << 1 | (stage == wire.ABORTED)
        if len(self._recent) >= _MAX_RECENT:
            self._merge_recent()

    def _find(self, number: int) -> int | None:
        """The number with its stage; None: the job is not terminal."""
        if number in self._recent:
            return self._recent[number]
        sought = number << 1
        for block in self._blocks:
            if block[0] >> 1 <= number <= block[-1] >> 1:
                index = bisect_left(block, sought)
                if index < len(block) and block[index] >> 1 == number:
                    return block[index]
        return None

    def _merge_recent(self) -> None:
        """Makes a block of the recent stages; small blocks become one."""
        block = array("Q", sorted(self._recent.values()))
        self._recent = {}
        while self._blocks and len(self._blocks[-1]) <= len(block) < _MAX_MERGED_BLOCK:
            block = array("Q", sorted([*self._blocks.pop(), *block]))
        self._blocks.append(block)


class TerminalJobPage:
    """The ids of terminal jobs whose records stand in one page, in order."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        """No record stands in the page yet."""
        self._numbers = array("Q")

    def __iter__(self) -> Iterator[str]:
        """The ids, in the order of their records."""
        return map(_ref_of, self._numbers)

    def add(self, ref: str) -> None:
        """One more record of a terminal job; raises ValueError if the text is no job's id."""
        number = _number_of(ref)
        if number is None:
            raise ValueError(f"{ref!r} is no job's id")
        self._numbers.append(number)
