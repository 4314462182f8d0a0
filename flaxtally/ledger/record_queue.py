"""Records that wait for their commit, each with the page that it goes to. Performs no I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from .batch import split_batch
from .records import Record, StoredRecord, record_size

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .pages import PageLimits

OnCommitted = Callable[[], None]


class QueuedRecord(NamedTuple):
    """A record that is not committed yet."""

    record: StoredRecord
    page: int
    on_committed: OnCommitted | None


class RecordQueue:
    """The records of one term in the order in which they were proposed.

    They fill one page after the other; `open_page` is the one that is being filled.
    """

    def __init__(self, limits: PageLimits) -> None:
        """Creates an empty queue; the first page is the one after the origin."""
        self.open_page = 1
        self._limits = limits
        self._open_page_bytes = 0
        self._records: deque[QueuedRecord] = deque()

    def __len__(self) -> int:
        """Returns how many records wait."""
        return len(self._records)

    @property
    def first_page(self) -> int:
        """The page of the oldest record."""
        return self._records[0].page

    @property
    def page_count(self) -> int:
        """How many pages the waiting records go to."""
        return self._records[-1].page - self._records[0].page + 1 if self._records else 0

    def open_next_page_if_full(self, size: int) -> None:
        """Opens the next page if `size` more bytes don't fit into the open one."""
        if self._open_page_bytes and self._open_page_bytes + size > self._limits.page_bytes:
            self.open_page += 1
            self._open_page_bytes = 0

    def append(self, record: StoredRecord, size: int, on_committed: OnCommitted | None) -> None:
        """Adds a record of `size` bytes to the open page; call `open_next_page_if_full` before."""
        self._open_page_bytes += size
        self._records.append(QueuedRecord(record, self.open_page, on_committed))

    def append_batch(self, records: Sequence[Record], on_committed: OnCommitted | None) -> int:
        """Adds records that are read all or none; returns the page of the first.

        `on_committed` is called after the commit of the last.
        """
        size = sum(record_size(record) for record in records)
        written: Sequence[StoredRecord] = records
        if size <= self._limits.page_bytes:
            # A single page is always written atomically.
            self.open_next_page_if_full(size)
        else:
            written = split_batch(records, self._limits.page_bytes)
        first_page = 0
        last_index = len(written) - 1
        for index, record in enumerate(written):
            size = record_size(record)
            self.open_next_page_if_full(size)
            first_page = first_page or self.open_page
            self.append(record, size, on_committed if index == last_index else None)
        return first_page

    def popleft(self) -> QueuedRecord:
        """Removes and returns the oldest record."""
        return self._records.popleft()

    def set_last_callback(self, on_committed: OnCommitted) -> None:
        """Sets the callback of the newest record, called once all queued records are committed."""
        self._records[-1] = self._records[-1]._replace(on_committed=on_committed)
