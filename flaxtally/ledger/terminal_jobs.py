"""The stages of terminal jobs, kept indefinitely in a few bytes each. Performs no I/O.

A job's id consists of a prefix and digits, so the id and the stage fit into a 64-bit number. The
numbers are kept in sorted blocks; a string and a dict entry for each would take ten times the
memory.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from typing import TYPE_CHECKING

from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterator

JOB_ID_PREFIX = "j-"
_MAX_RECENT_STAGES = 4096
"""Number of stages that are collected before they are sorted into a block."""
_MAX_MERGED_BLOCK_STAGES = 1 << 16
"""Number of stages from which on a block isn't merged: that would block the event loop."""


def _number_of(ref: str) -> int | None:
    """Returns the id as a number; None if it is invalid. A 1 in front keeps leading zeros."""
    return int("1" + ref[len(JOB_ID_PREFIX) :]) if wire.JOB_ID.match(ref) else None


def _ref_of(number: int) -> str:
    return JOB_ID_PREFIX + str(number)[1:]


class TerminalJobs:
    """Whether a terminal job was done or cancelled, by id. The stage never changes."""

    def __init__(self) -> None:
        """Starts without terminal jobs."""
        self._recent: dict[int, int] = {}
        """The id's number combined with the stage (`number << 1 | aborted`), by the id's number."""
        self._blocks: list[array[int]] = []
        """Combined numbers of ids and stages, sorted within each block."""

    def __len__(self) -> int:
        """Returns how many jobs are terminal."""
        return len(self._recent) + sum(len(block) for block in self._blocks)

    def __contains__(self, ref: str) -> bool:
        """Returns whether the job is terminal."""
        return self.get(ref) is not None

    def __iter__(self) -> Iterator[str]:
        """Yields the ids in no particular order."""
        for number in self._recent:
            yield _ref_of(number)
        for block in self._blocks:
            for coded in block:
                yield _ref_of(coded >> 1)

    def get(self, ref: str) -> str | None:
        """Returns the stage of a terminal job; None if there is no terminal job with the id."""
        number = _number_of(ref)
        coded = None if number is None else self._find(number)
        if coded is None:
            return None
        return wire.ABORTED if coded & 1 else wire.DONE

    def add(self, ref: str, stage: str) -> None:
        """Stores the stage of a terminal job; raises ValueError if `ref` is not a job id."""
        number = _number_of(ref)
        if number is None:
            raise ValueError(f"{ref!r} is not a job id")
        if self._find(number) is not None:
            return
        self._recent[number] = number << 1 | (stage == wire.ABORTED)
        if len(self._recent) >= _MAX_RECENT_STAGES:
            self._merge_recent()

    def _find(self, number: int) -> int | None:
        """Returns the combined number of the id and stage; None if the job is not terminal."""
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
        """Moves the recent stages to a block, and merges small blocks into it."""
        block = array("Q", sorted(self._recent.values()))
        self._recent = {}
        while self._blocks and len(self._blocks[-1]) <= len(block) < _MAX_MERGED_BLOCK_STAGES:
            block = array("Q", sorted([*self._blocks.pop(), *block]))
        self._blocks.append(block)


class TerminalJobPage:
    """The ids of the terminal jobs whose records are in one page, in order."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        """Starts without records."""
        self._numbers = array("Q")

    def __iter__(self) -> Iterator[str]:
        """Yields the ids in the order of their records."""
        return map(_ref_of, self._numbers)

    def add(self, ref: str) -> None:
        """Adds the record of a terminal job; raises ValueError if `ref` is not a job id."""
        number = _number_of(ref)
        if number is None:
            raise ValueError(f"{ref!r} is not a job id")
        self._numbers.append(number)
