"""Group commit: queued records are written together, page by page, in transactions.

Records are appended to pages `p/00000001`, `p/00000002`, … in order; a transaction rewrites the
page that is being filled and creates those that follow. One transaction is in flight at a time.
Each expects the leader key's version and the versions of the pages that it writes, so a delayed or
duplicate copy, or a transaction of a deposed leader, fails.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

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
    """Delays and timeouts of the ledger."""

    retry_s: float
    """Delay before a failed call is retried."""
    first_call_timeout_s: float
    """Timeout of the first try of a call."""
    batching_delay_s: float
    """Time to wait for more records, or requests, that are then sent together."""


class KeyChange(NamedTuple):
    """A value of the leader key that the leader writes itself, to take a further term."""

    value: dict[str, Any]
    on_written: Callable[[int], None]
    """Gets the key's new version, before the callbacks of the records written with it."""


@dataclass
class _Commit:
    """What a transaction changes."""

    key_change: KeyChange | None
    creates_origin: bool
    deletes: list[int]
    max_pages: int
    cost: int
    """Number of changes that count against the write budget."""
    pages: dict[int, list[StoredRecord]] = field(default_factory=dict)
    callbacks: list[OnCommitted] = field(default_factory=list)

    @property
    def written_pages(self) -> list[int]:
        """The pages that the transaction writes."""
        return [ORIGIN_PAGE, *self.pages] if self.creates_origin else list(self.pages)


class GroupCommit(Actor):
    """Owns the pages in the store for one term of leadership, and writes the queued records."""

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
        """The store's version of each page."""
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
        self._key_change: KeyChange | None = None
        """The change of the leader key that the next transaction makes."""
        self._in_flight: _Commit | None = None
        self._last_page = 0
        self._last_page_records: list[StoredRecord] = []
        """Records of the last written page, which is rewritten when records are added to it."""

    @property
    def is_busy(self) -> bool:
        """Whether a transaction is in flight."""
        return self._in_flight is not None

    def close(self) -> None:
        """Ends the term: no more transactions are sent and no callbacks called."""
        self._is_open = False
        self._sender.close()

    def change_leader_key(self, change: KeyChange) -> None:
        """Writes the leader key with the next transaction, and guards later ones by its version."""
        self._key_change = change
        self.schedule()

    def find_applied(self) -> None:
        """Finds out now whether the transaction in flight was executed: its reply may be lost."""
        self._sender.find_applied()

    def delete_pages(self, pages: list[int]) -> None:
        """Deletes pages whose live records are stored in other pages."""
        self.pages_to_delete += pages
        self.schedule()

    def schedule(self) -> None:
        """Schedules a commit after a short delay, in which more records may be queued."""
        if not self._is_scheduled and not self.is_busy:
            self._is_scheduled = True
            delay_s = max(
                self._timings.batching_delay_s / 2, self._bucket.seconds_until_available(1.0)
            )
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
        transaction = self._build_transaction(commit)
        self.pages_to_delete = self.pages_to_delete[len(commit.deletes) :]
        self._key_change = None
        self._bucket.take(commit.cost)
        if commit.pages:
            self._last_page = max(commit.pages)
            self._last_page_records = commit.pages[self._last_page]
        self._in_flight = commit
        self._sender.send(transaction)

    def _has_work(self) -> bool:
        return bool(self._queue or self.pages_to_delete or self._key_change)

    def _plan(self) -> _Commit:
        """Plans how many pages the next transaction may write and delete."""
        has_records = bool(self._queue)
        changes_key = self._key_change is not None
        creates_origin = has_records and not self.page_versions
        changes = self._limits.transaction_changes - creates_origin - changes_key
        deletes = self.pages_to_delete[: changes - has_records]
        max_pages = max(0, min(changes - len(deletes), self._limits.transaction_pages))
        written = min(self._queue.page_count, max_pages)
        cost = written + len(deletes) + creates_origin + changes_key
        return _Commit(self._key_change, creates_origin, deletes, max_pages, cost)

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

    def _build_transaction(self, commit: _Commit) -> Transaction:
        """Builds the transaction of the commit; drops the versions of the pages that it deletes."""
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
            # The condition "does not exist" would hold again once the new page was deleted, and a
            # delayed copy of this transaction would restore its records. The version of the page
            # before it prevents that: that page is final, and is deleted first.
            before = max(page for page in self.page_versions if page < min(created))
            expected_versions.setdefault(page_key(before), self.page_versions[before])
        for page in commit.deletes:
            expected_versions[page_key(page)] = self.page_versions.pop(page)
        if commit.key_change is not None:
            writes[LEADER_KEY] = commit.key_change.value
        return Transaction(expected_versions, writes, [page_key(page) for page in commit.deletes])

    def _on_outcome(self, outcome: CommitOutcome, revision: int) -> None:
        """Handles the outcome of the transaction in flight."""
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
        if commit.key_change is not None:
            self._leader_key_version = revision
            commit.key_change.on_written(revision)
        for callback in commit.callbacks:
            self.runtime.soon(self._call, callback)
        if self._has_work():
            self.schedule()

    def _call(self, callback: OnCommitted) -> None:
        if self._is_open:
            callback()

    def _reduce_limits(self) -> None:
        """Halves the limits: the store accepts less than the settings say.

        Sent again unchanged, the transaction would be refused indefinitely. Smaller transactions
        under the same term could conflict with a delayed copy of the refused one. So the term ends:
        the pages of the next one are smaller, and its takeover makes all copies fail.
        """
        self._limits.halve()
        log.error(
            "event=commit_too_large page_bytes=%d most_pages=%d",
            self._limits.page_bytes,
            self._limits.transaction_pages,
        )
