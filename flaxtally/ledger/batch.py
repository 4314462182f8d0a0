"""Batches: records that are read whole or not at all, though they take several pages. Pure.

A batch of more than a page is written in pieces (`records.BatchPiece`), one after the other.
Commits may end between two of them, and their writer may lose its leadership there; what is read
without its last piece never happened. A leader launches or reports nothing of a batch before the
last piece is committed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .records import BatchPiece, Record, record_size

if TYPE_CHECKING:
    from collections.abc import Sequence

PIECE_OVERHEAD = 32
"""Bytes of a piece beside its records."""


def split_batch(records: Sequence[Record], max_bytes: int) -> list[BatchPiece]:
    """The records in pieces of at most `max_bytes`, as far as no record is larger."""
    groups: list[list[Record]] = [[]]
    remaining_bytes = max_bytes - PIECE_OVERHEAD
    for record in records:
        size = record_size(record)
        if groups[-1] and size > remaining_bytes:
            groups.append([])
            remaining_bytes = max_bytes - PIECE_OVERHEAD
        groups[-1].append(record)
        remaining_bytes -= size
    last = len(groups) - 1
    return [BatchPiece(index == 0, index == last, group) for index, group in enumerate(groups)]


class BatchReader:
    """Puts batches together while pages are read in order."""

    def __init__(self) -> None:
        """No batch is open."""
        self._open: list[tuple[int, Record]] | None = None
        """The pages and records of a batch whose last piece has not been read."""

    def abandon(self) -> None:
        """A record that is in no batch was read: an open batch was given up by its writer."""
        self._open = None

    def read_piece(self, page: int, piece: BatchPiece) -> Sequence[tuple[int, Record]]:
        """The records that are certain now, each with the page that it stands in.

        A batch without its first piece began in a page that was compacted: what it said of jobs has
        been rewritten since. One without its last piece was given up by its writer.
        """
        if piece.is_first:
            self._open = []
        if self._open is None:
            return ()
        self._open += [(page, inner) for inner in piece.records]
        if not piece.is_last:
            return ()
        complete = self._open
        self._open = None
        return complete
