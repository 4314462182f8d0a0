"""Batches: records that are read whole or not at all, though they take several pages. Pure.

A batch of more than a page is written in pieces, `[BATCH, first, last, records]`, one after the
other. Commits may end between two of them, and their writer may lose its leadership there; what is
read without its last piece never happened. A leader launches or tells nothing of a batch before
the last piece is committed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

Record = list[Any]
BATCH = "B"
PIECE_OVERHEAD = 32
"""Bytes of a piece beside its records."""


def size_of(record: Record) -> int:
    """Bytes that the record takes in a page."""
    return len(msgspec.json.encode(record)) + 1


def pieces(records: Sequence[Record], most_bytes: int) -> list[Record]:
    """The records in pieces of at most `most_bytes`, as far as no record is larger."""
    groups: list[list[Record]] = [[]]
    left = most_bytes - PIECE_OVERHEAD
    for record in records:
        size = size_of(record)
        if groups[-1] and size > left:
            groups.append([])
            left = most_bytes - PIECE_OVERHEAD
        groups[-1].append(record)
        left -= size
    end = len(groups) - 1
    return [[BATCH, number == 0, number == end, group] for number, group in enumerate(groups)]


class BatchReader:
    """Puts batches together while pages are read in order."""

    def __init__(self) -> None:
        self._open: list[tuple[int, Record]] | None = None
        """The pages and records of a batch whose last piece has not come."""

    def read(self, page: int, record: Record) -> Iterator[tuple[int, Record]]:
        """The records that are certain now, each with the page that it stands in.

        A batch without its first piece began in a page that was cleaned: what it says of jobs was
        said anew since. One without its last piece was given up by its writer.
        """
        if record[0] != BATCH:
            self._open = None
            yield page, record
            return
        _, is_first, is_last, records = record
        if is_first:
            self._open = []
        if self._open is None:
            return
        self._open += [(page, inner) for inner in records]
        if is_last:
            whole, self._open = self._open, None
            yield from whole
