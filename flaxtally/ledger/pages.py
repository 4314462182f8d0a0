"""Pages of the store that hold the records: their keys, and how much they may take. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..settings import StateLimits

PAGE_PREFIX = "p/"
ORIGIN_PAGE = 0
"""An empty page, created with the first records and never deleted: that it "does not exist" is true
just once.
"""
MAX_TRANSACTION_BYTES = 56 * 1024
MIN_PAGE_BYTES = 768
PAGE_FILL_FRACTION = 7 / 8
"""Of a value's largest size: what the records of a page may take."""
LEDGER_SHARE = 0.85
"""Of the changes a second: the rest is for leadership and the store relay."""
BURST_S = 0.5
"""Changes of so many seconds may come at once; the store allows those of one second."""


def page_key(page: int) -> str:
    """The key of a page in the store."""
    return f"{PAGE_PREFIX}{page:08d}"


def page_of_key(key: str) -> int:
    """The page that has that key."""
    return int(key[len(PAGE_PREFIX) :])


class PageLimits:
    """How much a page and a transaction may take. It falls when the store refuses a transaction."""

    def __init__(self, limits: StateLimits) -> None:
        """What the settings say that the store accepts."""
        self.page_bytes = int(limits.value_bytes * PAGE_FILL_FRACTION)
        self.transaction_changes = limits.txn_ops
        """Writes and deletes."""
        # A transaction must not be more than a burst, which other writers share.
        self.transaction_pages = max(
            1,
            min(
                limits.txn_ops - 2,
                MAX_TRANSACTION_BYTES // limits.value_bytes,
                int(limits.write_rps * BURST_S),
            ),
        )

    def halve(self) -> None:
        """The store accepts less than the settings say."""
        self.page_bytes = max(MIN_PAGE_BYTES, self.page_bytes // 2)
        self.transaction_pages = max(1, self.transaction_pages // 2)
