"""Group commit of the ledger's records to pages at the state service.

Records are appended to pages `p/00000001`, `p/00000002`, … in order; a transaction rewrites the
page that is being filled and creates those that follow. One transaction is under way at a time,
each guards the leader key's version and the versions of the pages it writes, so a late or repeated
copy, or one of a deposed leader, fails. Memory (the `ClusterState`) takes a record when it is
proposed; whatever may be *seen* of it (answers, launches) waits for its `then`, which is called
after the commit only.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..cluster.leader_key import LEADER_KEY
from ..protocol import formats, wire
from ..runtime.actor import Actor
from ..runtime.token_bucket import TokenBucket
from . import snapshot
from .batch import PIECE_OVERHEAD, split_batch
from .cluster_state import ClusterState, UnsupportedFormatError
from .leadership_barrier import LeadershipBarrier
from .records import (
    CatalogPartStored,
    CatalogStored,
    FormatRaised,
    JobAccepted,
    JobTerminated,
    LoanAccountStored,
    ReclaimStarted,
    Record,
    StoredRecord,
    record_size,
)
from .terminal_jobs import TerminalJobPage
from .transaction import CommitOutcome, Transaction, TransactionSender

if TYPE_CHECKING:
    from ..clients.key_value_store import KeyValueStore
    from ..runtime.loop import Runtime
    from ..settings import StateLimits

log = logging.getLogger(__name__)

PAGES = "p/"
TXN_BYTES = 56 * 1024
PAGE_SHARE = 7 / 8
"""Of a value's largest size: what the records of a page may take."""
LEDGER_SHARE = 0.85
"""Of the changes a second: the rest is for leadership and mail."""
BURST_S = 0.5
"""Changes of so many seconds may come at once; the state service allows those of one second."""
LEAST_PAGE_BYTES = 768
CLEANED_BYTES = 7 * 1024
"""Of pages that are cleaned at a time."""
LOOSE = 2
"""Times what the pages still mean, from which on they are cleaned. What doesn't fit into the rest
of a page begins a new one, so up to half of all may be empty: cleaning below that would never end.
"""
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


class WriteAheadLog(Actor):
    """Owns the pages. `lost` is called when somebody else leads."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        limits: StateLimits,
        retry: float,
        first: float,
        gather: float,
        lost: Callable[[], None],
        format_too_new: Callable[[], None],
    ) -> None:
        """`format_too_new`: the ledger can't be read by this program."""
        super().__init__(runtime)
        self._store, self._retry, self._first, self._gather, self._lost = (
            store,
            retry,
            first,
            gather,
            lost,
        )
        self._format_too_new = format_too_new
        self._limits = limits
        self._page_bytes = int(limits.value_bytes * PAGE_SHARE)
        # A transaction must not be more than a burst, which other writers share.
        self._most_pages = max(
            1,
            min(
                limits.txn_ops - 2, TXN_BYTES // limits.value_bytes, int(limits.write_rps * BURST_S)
            ),
        )
        self._bucket = TokenBucket(
            runtime,
            limits.write_rps * LEDGER_SHARE,
            max(self._most_pages + 2, limits.write_rps * BURST_S),
        )
        self.generation = 0
        self._reset(0)

    def _reset(self, version: int) -> None:
        self.generation += 1
        self._version = version
        self.state = ClusterState()
        self._queue: deque[tuple[StoredRecord, int, Then | None]] = deque()
        self._thens: list[Then] = []
        self._pages: dict[int, int] = {}
        self._filling = 1
        self._content: list[StoredRecord] = []
        self._content_page = 0
        """The page whose records `_content` holds."""
        self._size = 0
        self._busy = self._armed = False
        self._writing: list[int] = []
        """The pages that the transaction under way writes."""
        self._sender = TransactionSender(
            self.runtime, self._store, self._bucket, self._retry, self._ended
        )
        self._confirmation = LeadershipBarrier(
            self.runtime, self._store, version, self._first, self._gather, self._lost
        )
        self._drops: list[int] = []
        self._cleaning = False
        self._cleaned: list[int] = []
        """Pages that were said anew and are dropped once that is committed."""

    def close(self) -> None:
        """This node leads no more: what waited is dropped."""
        self._restart(0)

    def _restart(self, version: int) -> None:
        """Forgets everything; who waits for leadership to be confirmed is told that it is not."""
        confirmation = self._confirmation
        self._sender.close()
        self._reset(version)
        confirmation.close()

    def replay(self, version: int, ready: Then) -> None:
        """Reads all pages under a leader key of this version.

        Writes of earlier leaders fail from the takeover on, so what is read is final.
        """
        self._restart(version)
        generation = self.generation

        def read() -> None:
            self._store.list_prefix(PAGES, told)

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
                        self.state.replay(record, number)
            except UnsupportedFormatError as fault:
                log.error("event=ledger_format_unknown page=%s why=%r", row.key, str(fault))
                self._restart(version)
                self._format_too_new()
                return
            except Exception as fault:
                # To serve without a part of it could start a task twice: nothing is served until it
                # is mended.
                log.error("event=ledger_damaged page=%s why=%r", row.key, fault)
                self._restart(version)
                self.later(10 * self._retry, self._open_again, self.generation, version, ready)
                return
            for job in self.state.jobs.values():
                job.is_committed = True
                job.is_cancellation_committed = job.is_cancelled
                # A cancelled job is told as such when nothing of it is left; see
                # `JobRegistry.settle`.
                job.reported_stage = (
                    wire.DONE
                    if job.is_done
                    else wire.ABORTED
                    if job.is_cancelled and not job.placements
                    else ""
                )
                for placement in job.placements.values():
                    placement.is_committed = placement.is_inherited = True
            self._filling = max(self._pages, default=ORIGIN) + 1
            log.info("event=ledger_read pages=%d jobs=%d", len(rows), len(self.state.jobs))
            ready()

        read()

    def _open_again(self, generation: int, version: int, ready: Then) -> None:
        if generation == self.generation:
            self.replay(version, ready)

    def propose(self, record: Record, on_committed: Then | None = None) -> None:
        """Applies the record to the book and commits it soon; `on_committed` follows the commit."""
        size = self._room(record_size(record))
        self.state.apply(record, self._filling)
        self._add(record, size, on_committed)

    def propose_batch(self, records: list[Record], on_committed: Then | None = None) -> None:
        """Proposes records that are read all or none; `on_committed` follows the last commit.

        None of them is of a kind that a page is the home of. More than a page is written only in
        a format that has batches (`writes_batches`).
        """
        for record in records:
            self.state.apply(record, self._filling)
        self._add_batch(records, on_committed)

    @property
    def writes_batches(self) -> bool:
        """Whether all controllers read batches of more than a page."""
        return self.state.format >= formats.GANGS

    def fits_in_page(self, record: Record) -> bool:
        """Whether the record fits into a page, also within a batch."""
        return record_size(record) <= self._page_bytes - PIECE_OVERHEAD

    def raise_format(self, version: int) -> None:
        """Lets records of that format be written: no older program can read the ledger again."""
        log.info("event=format_raised format=%d", version)
        self.propose(FormatRaised(version))

    def propose_catalog(self, types: list[Any]) -> None:
        """Keeps the cloud's machine types, if that can be written."""
        records = snapshot.catalog_records(types, self._page_bytes)
        if len(records) == 1 or self.writes_batches:
            self.propose_batch(records)

    def _room(self, size: int) -> int:
        """Makes room for so many bytes in the page being filled; returns them."""
        if self._size and self._size + size > self._page_bytes:
            self._filling += 1
            self._size = 0
        return size

    def _add(self, record: StoredRecord, size: int, then: Then | None) -> None:
        self._size += size
        self._queue.append((record, self._filling, then))
        self._arm()

    def _add_batch(self, records: list[Record], then: Then | None) -> int:
        """Queues the records so that they are read as one; returns the page of the first."""
        size = sum(record_size(record) for record in records)
        fits = size <= self._page_bytes
        written = records if fits else split_batch(records, self._page_bytes)
        if fits:
            # One page is written at once.
            self._room(size)
        first = 0
        for number, record in enumerate(written):
            room = self._room(record_size(record))
            first = first or self._filling
            self._add(record, room, then if number == len(written) - 1 else None)
        return first

    # Cleaning: old pages are said anew, shorter, in the page being filled, and then dropped

    def compact(self) -> None:
        """Cleans the oldest page when the pages hold much more than what they still mean.

        A crash between the new records and the drop leaves both: replay takes the later ones.
        """
        if self._cleaning or self._drops or self._queue or self._busy:
            # Pages that are to be dropped are still among the known ones.
            return
        if len(self._pages) <= FEW_PAGES:
            return
        least = FEW_PAGES + LOOSE * self.state.snapshot_bytes() // self._page_bytes
        if len(self._pages) <= least:
            return
        # Small pages are cleaned several at a time: one a turn fell behind what is written.
        count = min(max(1, CLEANED_BYTES // self._page_bytes), len(self._pages) - least)
        oldest = [page for page in sorted(self._pages) if page != ORIGIN]
        for page in oldest[:count]:
            if not self._clean_page(page):
                break
        if not self._cleaned:
            return
        self._cleaning = True
        if self._queue:
            record, page, _ = self._queue.pop()
            self._queue.append((record, page, self._drop_cleaned))
        else:
            self._drop_cleaned()

    def _drop_cleaned(self) -> None:
        """What the cleaned pages mean stands elsewhere: they go."""
        self._cleaning = False
        self._drops += self._cleaned
        self._cleaned = []
        self._arm()

    def _clean_page(self, oldest: int) -> bool:
        """Says anew what the page still means; False: not now."""
        if oldest >= self._filling - 1:
            return False
        at_home = [job for job in self.state.jobs.values() if job.home_page == oldest]
        if any(
            job.is_terminal and not job.placements and not job.reported_stage for job in at_home
        ):
            # Its end is about to be told. (A cancelled job that still has placements is said anew
            # like any other.)
            return False
        groups = snapshot.page_records(self.state, oldest, self._page_bytes)
        if not self.writes_batches and any(
            sum(map(record_size, group)) > self._page_bytes for group in groups
        ):
            # Read in part by an older controller, such a job would have tasks placed nowhere.
            return False
        log.info("event=clean page=%d of=%d jobs=%d", oldest, len(self._pages), len(at_home))
        self.state.terminal_job_pages.pop(oldest, None)
        for group in groups:
            home = self._add_batch(group, None)
            self._relocate(group[0], home)
        self._cleaned.append(oldest)
        return True

    def _relocate(self, record: Record, page: int) -> None:
        """What the record begins to rewrite stands in that page from now on."""
        state = self.state
        match record:
            case JobAccepted(number=number):
                state.jobs[number].home_page = page
            case CatalogStored() | CatalogPartStored():
                state.catalog_page = page
            case FormatRaised():
                state.format_page = page
            case JobTerminated(job=number, ref=ref):
                if number:
                    state.compact_job(state.jobs[number], page)
                else:
                    state.terminal_job_pages.setdefault(page, TerminalJobPage()).add(ref)
            case ReclaimStarted(number=number):
                state.loan_state.relocate_reclaim(number, page)
            case LoanAccountStored(team=team):
                state.loan_state.relocate_account(team, page)

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
        changes = self._limits.txn_ops
        creates_origin = not self._pages and bool(self._queue)
        drops = self._drops[: changes - creates_origin - bool(self._queue)]
        most_pages = max(0, min(changes - creates_origin - len(drops), self._most_pages))
        first = self._queue[0][1] if self._queue else 0
        last = self._queue[-1][1] if self._queue else -1
        cost = min(last - first + 1, most_pages) + len(drops) + creates_origin
        if self._bucket.wait(cost) > 0:
            self._armed = True
            self.later(self._bucket.wait(cost), self._commit, generation)
            return
        pages: dict[int, list[StoredRecord]] = {}
        if self._content and first == self._content_page and most_pages:
            pages[first] = self._content
        thens: list[Then] = []
        while self._queue and (self._queue[0][1] in pages or len(pages) < most_pages):
            record, page, then = self._queue.popleft()
            pages.setdefault(page, []).append(record)
            if then is not None:
                thens.append(then)
        self._thens = thens
        guards = {LEADER_KEY: self._version}
        puts: dict[str, Any] = {}
        for page, records in pages.items():
            guards[page_key(page)] = self._pages.get(page, 0)
            puts[page_key(page)] = {"r": records}
        created = [page for page in pages if page not in self._pages]
        numbers = list(pages)
        if creates_origin:
            guards[page_key(ORIGIN)] = 0
            puts[page_key(ORIGIN)] = {"r": []}
            numbers = [ORIGIN, *pages]
        elif created:
            # "Does not exist" would hold again once the new page was cleaned away, and a late copy
            # of this transaction would bring its records back. The page before it, which is final
            # and goes first, tells the two apart.
            before = max(page for page in self._pages if page < min(created))
            guards.setdefault(page_key(before), self._pages[before])
        for page in drops:
            guards[page_key(page)] = self._pages.pop(page)
        self._drops = self._drops[len(drops) :]
        self._bucket.take(cost)
        if pages:
            self._content_page = max(pages)
            self._content = pages[self._content_page]
        self._busy = True
        self._writing = numbers
        self._sender.send(Transaction(guards, puts, [page_key(page) for page in drops]))

    def _ended(self, ending: CommitOutcome, revision: int) -> None:
        """The transaction under way came out."""
        if ending is CommitOutcome.COMMITTED:
            self._committed(revision)
        elif ending is CommitOutcome.TOO_LARGE:
            self._too_large()
        else:
            log.info("event=commit_refused pages=%s", self._writing)
            self._lost()

    def _too_large(self) -> None:
        """The state service accepts less than the settings say.

        Sent again unchanged it would be refused for ever. Smaller pieces under the same term could
        meet a late copy of what was refused: the next term's pages are smaller, and its takeover
        bars all copies.
        """
        self._page_bytes = max(LEAST_PAGE_BYTES, self._page_bytes // 2)
        self._most_pages = max(1, self._most_pages // 2)
        log.error(
            "event=commit_too_large page_bytes=%d most_pages=%d", self._page_bytes, self._most_pages
        )
        self._lost()

    def _committed(self, revision: int) -> None:
        for page in self._writing:
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

    def confirm_leadership(self, done: Callable[[bool], None]) -> None:
        """`done(True)` once a compare-only transaction sent after this call shows that we lead."""
        self._confirmation.confirm(done)
