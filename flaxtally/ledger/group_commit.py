"""Group commit: the records that wait are written together, page by page, in transactions.

Records are appended to pages `p/00000001`, `p/00000002`, … in order; a transaction rewrites the
page that is being filled and creates those that follow. One transaction is under way at a time,
each expects the leader key's version and the versions of the pages that it writes, so a late or
repeated copy, or one of a deposed leader, fails.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..cluster.leader_key import LEADER_KEY
from ..runtime.actor import Actor
from .pages import ORIGIN_PAGE, page_key
from .transaction import CommitOutcome, Transaction, TransactionSender

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clients.key_value_store import KeyValueStore
    from ..runtime.loop import Runtime
    from ..runtime.token_bucket import TokenBucket
    from .pages import PageLimits
    from .record_queue import OnCommitted, RecordQueue
    from .records import StoredRecord

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class LedgerTimings:
    """How long the ledger waits."""

    retry_s: float
    """Before a call that failed is made again."""
    first_call_s: float
    """For the answer to a first call."""
    gather_s: float
    """For further records, or requests, to be sent together."""


@dataclass
class _Commit:
    """What a transaction changes."""

    creates_origin: bool
    deletes: list[int]
    max_pages: int
    cost: int
    """Changes, of the budget."""
    pages: dict[int, list[StoredRecord]] = field(default_factory=dict)
    callbacks: list[OnCommitted] = field(default_factory=list)

    @property
    def written_pages(self) -> list[int]:
        """The pages that the transaction writes."""
        return [ORIGIN_PAGE, *self.pages] if self.creates_origin else list(self.pages)


class GroupCommit(Actor):
    """Owns the pages in the store for one term of leading, and writes what the queue holds."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        bucket: TokenBucket,
        limits: PageLimits,
        timings: LedgerTimings,
        queue: RecordQueue,
        leader_key_version: int,
        on_leadership_lost: Callable[[], None],
    ) -> None:
        """`on_leadership_lost` is called when a transaction is refused."""
        super().__init__(runtime)
        self.page_versions: dict[int, int] = {}
        """By page, the version that the store has of it."""
        self.pages_to_delete: list[int] = []
        self._bucket = bucket
        self._limits = limits
        self._timings = timings
        self._queue = queue
        self._leader_key_version = leader_key_version
        self._on_leadership_lost = on_leadership_lost
        self._sender = TransactionSender(runtime, store, bucket, timings.retry_s, self._on_outcome)
        self._is_open = True
        self._is_scheduled = False
        self._in_flight: _Commit | None = None
        self._last_page = 0
        self._last_page_records: list[StoredRecord] = []
        """What the last page written holds: it is written again with further records."""

    @property
    def is_busy(self) -> bool:
        """Whether a transaction is under way."""
        return self._in_flight is not None

    def close(self) -> None:
        """The term is over: nothing is sent and nobody called from now on."""
        self._is_open = False
        self._sender.close()

    def delete_pages(self, pages: list[int]) -> None:
        """Deletes pages whose records stand elsewhere."""
        self.pages_to_delete += pages
        self.schedule()

    def schedule(self) -> None:
        """Commits soon what waits; more may come until then."""
        if not self._is_scheduled and not self.is_busy:
            self._is_scheduled = True
            delay_s = max(self._timings.gather_s / 2, self._bucket.seconds_until_available(1.0))
            self.later(delay_s, self._commit)

    def _commit(self) -> None:
        if not self._is_open:
            return
        self._is_scheduled = False
        if self.is_busy or not self._has_work():
            return
        commit = self._plan()
        wait_s = self._bucket.seconds_until_available(commit.cost)
        if wait_s > 0:
            self._is_scheduled = True
            self.later(wait_s, self._commit)
            return
        self._take_records(commit)
        transaction = self._transaction(commit)
        self.pages_to_delete = self.pages_to_delete[len(commit.deletes) :]
        self._bucket.take(commit.cost)
        if commit.pages:
            self._last_page = max(commit.pages)
            self._last_page_records = commit.pages[self._last_page]
        self._in_flight = commit
        self._sender.send(transaction)

    def _has_work(self) -> bool:
        return bool(self._queue or self.pages_to_delete)

    def _plan(self) -> _Commit:
        """How many pages a transaction may write and delete now."""
        has_records = bool(self._queue)
        creates_origin = has_records and not self.page_versions
        changes = self._limits.transaction_changes - creates_origin
        deletes = self.pages_to_delete[: changes - has_records]
        max_pages = max(0, min(changes - len(deletes), self._limits.transaction_pages))
        written = min(self._queue.page_count, max_pages)
        return _Commit(creates_origin, deletes, max_pages, written + len(deletes) + creates_origin)

    def _take_records(self, commit: _Commit) -> None:
        """Moves records from the queue into the pages of the commit."""
        queue = self._queue
        pages = commit.pages
        if queue and commit.max_pages and queue.first_page == self._last_page:
            pages[self._last_page] = self._last_page_records
        while queue and (queue.first_page in pages or len(pages) < commit.max_pages):
            record, page, on_committed = queue.popleft()
            pages.setdefault(page, []).append(record)
            if on_committed is not None:
                commit.callbacks.append(on_committed)

    def _transaction(self, commit: _Commit) -> Transaction:
        """The transaction that carries the commit out; deleted pages are forgotten."""
        expected_versions = {LEADER_KEY: self._leader_key_version}
        writes: dict[str, Any] = {}
        for page, records in commit.pages.items():
            expected_versions[page_key(page)] = self.page_versions.get(page, 0)
            writes[page_key(page)] = {"r": records}
        created = [page for page in commit.pages if page not in self.page_versions]
        if commit.creates_origin:
            expected_versions[page_key(ORIGIN_PAGE)] = 0
            writes[page_key(ORIGIN_PAGE)] = {"r": []}
        elif created:
            # "Does not exist" would hold again once the new page was deleted, and a late copy of
            # this transaction would bring its records back. The page before it, which is final and
            # goes first, tells the two apart.
            before = max(page for page in self.page_versions if page < min(created))
            expected_versions.setdefault(page_key(before), self.page_versions[before])
        for page in commit.deletes:
            expected_versions[page_key(page)] = self.page_versions.pop(page)
        return Transaction(expected_versions, writes, [page_key(page) for page in commit.deletes])

    def _on_outcome(self, outcome: CommitOutcome, revision: int) -> None:
        """The transaction under way came out."""
        commit = self._in_flight
        if commit is None:
            return
        if outcome is CommitOutcome.COMMITTED:
            self._on_committed(commit, revision)
            return
        if outcome is CommitOutcome.TOO_LARGE:
            self._reduce_limits()
        else:
            log.info("event=commit_refused pages=%s", commit.written_pages)
        self._on_leadership_lost()

    def _on_committed(self, commit: _Commit, revision: int) -> None:
        for page in commit.written_pages:
            self.page_versions[page] = revision
        self._in_flight = None
        for callback in commit.callbacks:
            self.runtime.soon(self._call, callback)
        if self._has_work():
            self.schedule()

    def _call(self, callback: OnCommitted) -> None:
        if self._is_open:
            callback()

    def _reduce_limits(self) -> None:
        """The store accepts less than the settings say.

        Sent again unchanged the transaction would be refused for ever. Smaller pieces under the
        same term could meet a late copy of what was refused: the next term's pages are smaller, and
        its takeover bars all copies.
        """
        self._limits.halve()
        log.error(
            "event=commit_too_large page_bytes=%d most_pages=%d",
            self._limits.page_bytes,
            self._limits.transaction_pages,
        )
