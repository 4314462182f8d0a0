"""The write-ahead log: records are proposed, applied to the cluster state, and committed soon.

The cluster state takes a record when it is proposed; whatever may be *seen* of it (answers,
launches) waits for its `on_committed`, which is called after the commit only. `group_commit` writes
the records, `replay` reads them at a takeover, and `compaction` rewrites old pages.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any

from ..protocol import formats
from ..runtime.actor import Actor
from ..runtime.token_bucket import TokenBucket
from . import snapshot
from .batch import PIECE_OVERHEAD
from .cluster_state import ClusterState
from .compaction import Compactor
from .group_commit import GroupCommit, LedgerTimings
from .leadership_barrier import LeadershipBarrier
from .pages import BURST_S, LEDGER_SHARE, ORIGIN_PAGE, PageLimits
from .record_queue import OnCommitted, RecordQueue
from .records import FormatRaised, Record, record_size
from .replay import Replay, ReplayOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clients.key_value_store import KeyValueStore
    from ..runtime.loop import Runtime
    from ..settings import StateLimits

log = logging.getLogger(__name__)

DAMAGED_RETRIES = 10
"""Times the delay of a retry, until a damaged ledger is read again."""


class WriteAheadLog(Actor):
    """The ledger as the leader uses it; it begins anew with each term of leading."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        limits: StateLimits,
        timings: LedgerTimings,
        on_leadership_lost: Callable[[], None],
        on_unsupported_format: Callable[[], None],
    ) -> None:
        """`on_leadership_lost`: somebody else leads, or the term must end.

        `on_unsupported_format`: the ledger can't be read by this program.
        """
        super().__init__(runtime)
        self._store = store
        self._timings = timings
        self._on_leadership_lost = on_leadership_lost
        self._on_unsupported_format = on_unsupported_format
        self._limits = PageLimits(limits)
        self._bucket = TokenBucket(
            runtime,
            limits.write_rps * LEDGER_SHARE,
            max(self._limits.transaction_pages + 2, limits.write_rps * BURST_S),
        )
        self._start_term(0)

    def _start_term(self, leader_key_version: int) -> None:
        """Begins with nothing under that version of the leader key; 0: this controller follows."""
        self.leader_key_version = leader_key_version
        self.state = ClusterState()
        self._queue = RecordQueue(self._limits)
        self._commit = GroupCommit(
            self.runtime,
            self._store,
            self._bucket,
            self._limits,
            self._timings,
            self._queue,
            leader_key_version,
            self._on_leadership_lost,
        )
        self._compactor = Compactor(self.state, self._queue, self._commit, self._limits)
        self._barrier = LeadershipBarrier(
            self.runtime,
            self._store,
            leader_key_version,
            self._timings.first_call_timeout_s,
            self._timings.batching_delay_s,
            self._on_leadership_lost,
        )
        self._replay: Replay | None = None

    def _restart(self, leader_key_version: int) -> None:
        """Forgets everything; requests to confirm leadership are answered that it is not sure."""
        barrier = self._barrier
        if self._replay is not None:
            self._replay.close()
        self._commit.close()
        self._start_term(leader_key_version)
        barrier.close()

    def close(self) -> None:
        """This controller leads no more: what waited is dropped."""
        self._restart(0)

    def replay(self, leader_key_version: int, on_ready: Callable[[], None]) -> None:
        """Reads all pages under a leader key of this version; `on_ready` follows."""
        self._restart(leader_key_version)
        self._replay = Replay(
            self.runtime,
            self._store,
            self.state,
            self._timings.retry_s,
            partial(self._on_replayed, on_ready),
        )
        self._replay.start()

    def _on_replayed(self, on_ready: Callable[[], None], outcome: ReplayOutcome) -> None:
        replay = self._replay
        if replay is None:
            return
        if outcome is ReplayOutcome.UNSUPPORTED_FORMAT:
            self._restart(self.leader_key_version)
            self._on_unsupported_format()
            return
        if outcome is ReplayOutcome.DAMAGED:
            self._restart(self.leader_key_version)
            delay_s = DAMAGED_RETRIES * self._timings.retry_s
            self.later(delay_s, self._replay_again, self.state, on_ready)
            return
        self._commit.page_versions = replay.page_versions
        for job in self.state.jobs.values():
            job.mark_replayed()
        self._queue.open_page = max(replay.page_versions, default=ORIGIN_PAGE) + 1
        log.info(
            "event=ledger_read pages=%d jobs=%d", len(replay.page_versions), len(self.state.jobs)
        )
        on_ready()

    def _replay_again(self, state: ClusterState, on_ready: Callable[[], None]) -> None:
        """Reads a damaged ledger once more, if the term is still the one of that state."""
        if state is self.state:
            self.replay(self.leader_key_version, on_ready)

    def propose(self, record: Record, on_committed: OnCommitted | None = None) -> None:
        """Applies the record and commits it soon; `on_committed` follows the commit."""
        size = record_size(record)
        self._queue.make_room(size)
        self.state.apply(record, self._queue.open_page)
        self._queue.append(record, size, on_committed)
        self._commit.schedule()

    def propose_batch(self, records: list[Record], on_committed: OnCommitted | None = None) -> None:
        """Proposes records that are read all or none; `on_committed` follows the last commit.

        None of them is of a kind that a page is the home of. More than a page is written only in
        a format that has batches (`writes_batches`).
        """
        for record in records:
            self.state.apply(record, self._queue.open_page)
        self._queue.append_batch(records, on_committed)
        self._commit.schedule()

    def raise_format(self, version: int) -> None:
        """Lets records of that format be written: no older program can read the ledger again."""
        log.info("event=format_raised format=%d", version)
        self.propose(FormatRaised(version))

    def propose_catalog(self, types: list[Any]) -> None:
        """Keeps the cloud's machine types, if that can be written."""
        records = snapshot.catalog_records(types, self._limits.page_bytes)
        if len(records) == 1 or self.writes_batches:
            self.propose_batch(records)

    def compact(self) -> None:
        """Rewrites and deletes old pages if the pages hold much more than they still mean."""
        self._compactor.compact()

    def confirm_leadership(self, on_done: Callable[[bool], None]) -> None:
        """`on_done(True)` once a transaction sent after this call shows that we lead."""
        self._barrier.confirm(on_done)

    def fits_in_page(self, record: Record) -> bool:
        """Whether the record fits into a page, also within a batch."""
        return record_size(record) <= self._limits.page_bytes - PIECE_OVERHEAD

    @property
    def writes_batches(self) -> bool:
        """Whether all controllers read batches of more than a page."""
        return self.state.format >= formats.GANGS

    @property
    def backlog(self) -> int:
        """How many records wait for their commit."""
        return len(self._queue)

    @property
    def is_committing(self) -> bool:
        """Whether a transaction is under way."""
        return self._commit.is_busy

    @property
    def is_compacting(self) -> bool:
        """Whether pages were rewritten whose new records are not committed yet."""
        return self._compactor.is_compacting
