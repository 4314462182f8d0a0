"""Batches: records that are read completely or not at all, even across pages. Performs no I/O.

A batch larger than a page is written as consecutive pieces (`records.BatchPiece`). They may be
committed by different transactions, and the writer may lose its leadership in between: a batch
without its last piece is ignored. A leader launches or reports nothing of a batch before the last
piece is committed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .records import BatchPiece, Record, record_size

if TYPE_CHECKING:
    from collections.abc import Sequence

PIECE_OVERHEAD_BYTES = 32
"""Size of a piece without its records."""


def split_batch(records: Sequence[Record], max_bytes: int) -> list[BatchPiece]:
    """Splits records into pieces of at most `max_bytes`, unless a single record is larger."""
    groups: list[list[Record]] = [[]]
    remaining_bytes = max_bytes - PIECE_OVERHEAD_BYTES
    for record in records:
        size = record_size(record)
        if groups[-1] and size > remaining_bytes:
            groups.append([])
            remaining_bytes = max_bytes - PIECE_OVERHEAD_BYTES
        groups[-1].append(record)
        remaining_bytes -= size
    last_index = len(groups) - 1
    return [
        BatchPiece(index == 0, index == last_index, group) for index, group in enumerate(groups)
    ]


class BatchReader:
    """Assembles batches while pages are read in order."""

    def __init__(self) -> None:
        """Starts without an open batch."""
        self._open: list[tuple[int, Record]] | None = None
        """Pages and records of the batch that still lacks its last piece; None if there is none."""

    def abandon(self) -> None:
        """Discards the open batch: a record outside a batch shows that its writer abandoned it."""
        self._open = None

    def read_piece(self, page: int, piece: BatchPiece) -> Sequence[tuple[int, Record]]:
        """Returns the records of the batch that this piece completes, if any, with their pages.

        A batch without its first piece began in a page that was compacted, so its records about
        jobs were rewritten since. One without its last piece was abandoned by its writer.
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
