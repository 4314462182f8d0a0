"""Pages of the store that hold the records: their keys and size limits. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..settings import StateLimits

PAGE_PREFIX = "p/"
ORIGIN_PAGE = 0
"""An empty page, created with the first records and never deleted, so that the condition that it
does not exist holds only once.
"""
MAX_TRANSACTION_BYTES = 56 * 1024
MIN_PAGE_BYTES = 768
PAGE_FILL_FRACTION = 7 / 8
"""Fraction of the largest value of the store that the records of a page may take."""
LEDGER_WRITE_FRACTION = 0.85
"""Fraction of the store's changes per second that the ledger may make; the rest is for leadership
and the store relay.
"""
BURST_S = 0.5
"""Seconds whose changes may be sent in one burst; the store allows the changes of one second."""


def page_key(page: int) -> str:
    """Returns the key of a page in the store."""
    return f"{PAGE_PREFIX}{page:08d}"


def page_of_key(key: str) -> int:
    """Returns the page that has the key."""
    return int(key[len(PAGE_PREFIX) :])


class PageLimits:
    """Size limits of pages and transactions, halved when the store refuses a transaction."""

    def __init__(self, limits: StateLimits) -> None:
        """Derives the limits from what the store accepts according to the settings."""
        self.page_bytes = int(limits.value_bytes * PAGE_FILL_FRACTION)
        self.transaction_changes = limits.txn_ops
        """Maximum number of writes and deletes in a transaction."""
        # A transaction must not exceed a burst, which other writers share.
        self.transaction_pages = max(
            1,
            min(
                limits.txn_ops - 2,
                MAX_TRANSACTION_BYTES // limits.value_bytes,
                int(limits.write_rps * BURST_S),
            ),
        )

    def halve(self) -> None:
        """Halves the limits: the store accepts less than the settings say."""
        self.page_bytes = max(MIN_PAGE_BYTES, self.page_bytes // 2)
        self.transaction_pages = max(1, self.transaction_pages // 2)
