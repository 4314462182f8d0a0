"""Group commit of the ledger's records to pages at the state service.

Records are appended to pages `p/00000001`, `p/00000002`, … in order; a transaction rewrites the
page that is being filled and creates those that follow. One transaction is under way at a time,
each guards the leader key's version and the versions of the pages it writes, so a late or repeated
copy, or one of a deposed leader, fails. Memory (the `Book`) takes a record when it is proposed;
whatever may be *seen* of it (answers, launches) waits for its `then`, which is called after the
commit only.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..clients.store import Outcome, Store
from ..cluster.election import LEAD
from ..protocol import wire
from ..runtime.actor import Actor
from ..runtime.http import pack
from ..runtime.loop import Runtime
from ..runtime.token_bucket import TokenBucket
from .book import CATALOG, FINAL, JOB, Book, Record
from .confirmation import Confirmation
from .finals import PageOfFinals

log = logging.getLogger(__name__)

PAGES = "p/"
TXN_BYTES = 56 * 1024
FEW_PAGES = 8
"""Not worth cleaning."""
ORIGIN = 0
"""An empty page, created with the first records and never dropped: its guard "does not exist" holds
just once.
"""
Then = Callable[[], None]


def page_key(number: int) -> str:
    """The key of a page at the state service."""
    return f"{PAGES}{number:08d}"


@dataclass(frozen=True)
class _Transaction:
    """A commit under way. Sent again unchanged until its outcome is known."""

    generation: int
    guards: dict[str, int]
    puts: dict[str, Any]
    drops: list[str]
    pages: list[int]


class Ledger(Actor):
    """Owns the pages. `lost` is called when somebody else leads."""

    def __init__(
        self,
        runtime: Runtime,
        store: Store,
        write_rps: float,
        value_bytes: int,
        txn_ops: int,
        retry: float,
        first: float,
        gather: float,
        lost: Callable[[], None],
    ) -> None:
        super().__init__(runtime)
        self._store, self._retry, self._first, self._gather, self._lost = (
            store,
            retry,
            first,
            gather,
            lost,
        )
        self._page_bytes = value_bytes * 7 // 8
        self._most_pages = max(1, min(txn_ops - 2, TXN_BYTES // value_bytes))
        self._bucket = TokenBucket(
            runtime, write_rps * 0.85, max(self._most_pages, write_rps * 0.5)
        )
        self.generation = 0
        self._reset(0)

    def _reset(self, version: int) -> None:
        self.generation += 1
        self._version = version
        self.book = Book()
        self._queue: deque[tuple[Record, int, Then | None]] = deque()
        self._thens: list[Then] = []
        self._pages: dict[int, int] = {}
        self._filling = 1
        self._content: list[Record] = []
        self._content_page = 0
        """The page whose records `_content` holds."""
        self._size = 0
        self._busy = self._armed = False
        self._confirmation = Confirmation(
            self.runtime, self._store, version, self._first, self._gather, self._lost
        )
        self._drops: list[int] = []
        self._cleaning = False

    def close(self) -> None:
        """This node leads no more: what waited is dropped."""
        self._restart(0)

    def _restart(self, version: int) -> None:
        """Forgets everything; who waits for leadership to be confirmed is told that it is not."""
        confirmation = self._confirmation
        self._reset(version)
        confirmation.close()

    def open(self, version: int, ready: Then) -> None:
        """Reads all pages under a leader key of this version.

        Writes of earlier leaders fail from the takeover on, so what is read is final.
        """
        self._restart(version)
        generation = self.generation

        def read() -> None:
            self._store.rows(PAGES, told)

        def told(rows: list[wire.Row] | None) -> None:
            if generation != self.generation:
                return
            if rows is None:
                self.later(self._retry, read)
                return
            try:
                for row in rows:
                    number = int(row.key[len(PAGES) :])
                    self._pages[number] = row.version
                    for record in row.value["r"]:
                        self.book.replay(record, number)
            except Exception as fault:
                # To serve without a part of it could start a task twice: nothing is served until it
                # is mended.
                log.error("event=ledger_damaged page=%s why=%r", row.key, fault)
                self._restart(version)
                self.later(10 * self._retry, self._open_again, self.generation, version, ready)
                return
            for job in self.book.jobs.values():
                job.committed = True
                job.ending = job.cancelled
                # A cancelled job is told as such when nothing of it is left; see `Jobs.settle`.
                job.told = (
                    wire.DONE
                    if job.done
                    else wire.ABORTED
                    if job.cancelled and not job.placed
                    else ""
                )
                for placement in job.placed.values():
                    placement.committed = placement.inherited = True
            self._filling = max(self._pages, default=ORIGIN) + 1
            log.info("event=ledger_read pages=%d jobs=%d", len(rows), len(self.book.jobs))
            ready()

        read()

    def _open_again(self, generation: int, version: int, ready: Then) -> None:
        if generation == self.generation:
            self.open(version, ready)

    def propose(self, record: Record, then: Then | None = None) -> None:
        """Applies the record to the book and commits it soon; `then` follows the commit."""
        size = self._room(record)
        self.book.apply(record, self._filling)
        self._add(record, size, then)

    def _room(self, record: Record) -> int:
        """Makes room for the record in the page being filled; returns the record's size."""
        size = len(msgspec.json.encode(record)) + 1
        if self._size and self._size + size > self._page_bytes:
            self._filling += 1
            self._size = 0
        return size

    def _add(self, record: Record, size: int, then: Then | None) -> None:
        self._size += size
        self._queue.append((record, self._filling, then))
        self._arm()

    # Cleaning: old pages are said anew, shorter, in the page being filled, and then dropped

    def clean(self) -> None:
        """Cleans the oldest page when the pages hold much more than what they still mean.

        A crash between the new records and the drop leaves both: replay takes the later ones.
        """
        if self._cleaning or self._queue or self._busy or len(self._pages) <= FEW_PAGES:
            return
        oldest = min(page for page in self._pages if page != ORIGIN)
        if (
            oldest >= self._filling - 1
            or len(self._pages) <= FEW_PAGES + 2 * self.book.weight() // self._page_bytes
        ):
            return
        at_home = [job for job in self.book.jobs.values() if job.home == oldest]
        if any(job.final and not job.placed and not job.told for job in at_home):
            # Its end is about to be told. (A cancelled job that still has placements is said anew
            # like any other.)
            return
        self._cleaning = True
        log.info("event=clean page=%d of=%d jobs=%d", oldest, len(self._pages), len(at_home))
        records = self.book.snapshot(oldest)
        refs = iter(self.book.final_home.pop(oldest, ()))
        for record in records:
            size = self._room(record)
            if record[0] == JOB:
                self.book.jobs[record[1]].home = self._filling
            elif record[0] == CATALOG:
                self.book.catalog_home = self._filling
            elif record[0] == FINAL and record[1]:
                self.book.compact(self.book.jobs[record[1]], self._filling)
            elif record[0] == FINAL:
                self.book.final_home.setdefault(self._filling, PageOfFinals()).add(next(refs))
            self._add(record, size, None)

        def said() -> None:
            self._cleaning = False
            self._drops.append(oldest)
            self._arm()

        if self._queue:
            record, page, _ = self._queue.pop()
            self._queue.append((record, page, said))
        else:
            said()

    @property
    def backlog(self) -> int:
        return len(self._queue)

    def _arm(self) -> None:
        if not self._armed and not self._busy:
            self._armed = True
            self.later(max(self._gather / 2, self._bucket.wait(1.0)), self._commit, self.generation)

    def _commit(self, generation: int) -> None:
        if generation != self.generation:
            return
        self._armed = False
        if self._busy or not (self._queue or self._drops):
            return
        first = self._queue[0][1] if self._queue else 0
        last = self._queue[-1][1] if self._queue else -1
        cost = min(last - first + 1, self._most_pages) + len(self._drops)
        if self._bucket.wait(cost) > 0:
            self._armed = True
            self.later(self._bucket.wait(cost), self._commit, generation)
            return
        pages: dict[int, list[Record]] = {}
        if self._content and first == self._content_page:
            pages[first] = self._content
        thens: list[Then] = []
        while self._queue and (self._queue[0][1] in pages or len(pages) < self._most_pages):
            record, page, then = self._queue.popleft()
            pages.setdefault(page, []).append(record)
            if then is not None:
                thens.append(then)
        self._thens = thens
        guards = {LEAD: self._version}
        puts: dict[str, Any] = {}
        for page, records in pages.items():
            guards[page_key(page)] = self._pages.get(page, 0)
            puts[page_key(page)] = {"r": records}
        created = [page for page in pages if page not in self._pages]
        if created and not self._pages:
            guards[page_key(ORIGIN)] = 0
            puts[page_key(ORIGIN)] = {"r": []}
            created.append(ORIGIN)
        elif created:
            # "Does not exist" would hold again once the new page was cleaned away, and a late copy
            # of this transaction would bring its records back. The page before it, which is final
            # and goes first, tells the two apart.
            before = max(page for page in self._pages if page < min(created))
            guards.setdefault(page_key(before), self._pages[before])
        drops = [page_key(page) for page in self._drops]
        for page in self._drops:
            guards[page_key(page)] = self._pages.pop(page)
        self._drops = []
        self._bucket.take(len(pages) + len(drops))
        if pages:
            self._content_page = max(pages)
            self._content = pages[self._content_page]
        self._busy = True
        numbers = [ORIGIN, *pages] if ORIGIN in created else list(pages)
        self._send(_Transaction(generation, guards, puts, drops, numbers), unsure=False)

    def _send(self, transaction: _Transaction, unsure: bool) -> None:
        """Sends it until its outcome is known. `unsure`: a copy may have been applied."""
        pages = transaction.pages

        def again(unsure: bool) -> None:
            if transaction.generation == self.generation:
                self._send(transaction, unsure)

        def told(outcome: Outcome, revision: int) -> None:
            if transaction.generation != self.generation:
                return
            if outcome is Outcome.DONE:
                self._committed(pages, revision)
            elif outcome is Outcome.FAILED and unsure:
                # The first copy may have been applied although its answer was lost: read back.
                self._read_back(transaction)
            elif outcome is Outcome.FAILED:
                log.info("event=commit_refused pages=%s", pages)
                self._lost()
            else:
                self._bucket.take(len(pages))
                delay = max(self._retry / 4, self._bucket.wait(len(pages)))
                self.later(delay, again, unsure or outcome is Outcome.UNKNOWN)

        self._store.transact(
            transaction.guards,
            transaction.puts,
            transaction.drops,
            told,
            commit=True,
            first=not unsure,
        )

    def _read_back(self, transaction: _Transaction) -> None:
        """Finds out by a page of it whether the transaction was applied."""
        pages = transaction.pages
        key = page_key(pages[-1]) if pages else transaction.drops[-1]

        def told(known: bool, row: wire.Row | None) -> None:
            if transaction.generation != self.generation:
                return
            if not known:
                self.later(self._retry, self._read_back, transaction)
            elif (
                row is not None
                and row.version != transaction.guards[key]
                and pack(row.value) == pack(transaction.puts.get(key))
            ):
                # A transaction is atomic, and each puts a record that no earlier one did: one page
                # tells for all.
                self._committed(pages, row.version)
            elif row is None and not pages:
                self._committed(pages, 0)
            else:
                self._lost()

        self._store.get(key, told)

    def _committed(self, pages: list[int], revision: int) -> None:
        for page in pages:
            self._pages[page] = revision
        self._busy = False
        thens, self._thens = self._thens, []
        for then in thens:
            self.runtime.soon(self._then, self.generation, then)
        if self._queue or self._drops:
            self._arm()

    def _then(self, generation: int, then: Then) -> None:
        if generation == self.generation:
            then()

    def confirm(self, done: Callable[[bool], None]) -> None:
        """`done(True)` once a compare-only transaction sent after this call shows that we lead."""
        self._confirmation.confirm(done)
