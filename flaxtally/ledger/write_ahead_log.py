"""The write-ahead log: records are proposed, applied to the cluster state, and committed soon.

The cluster state applies a record when it is proposed; effects that others see (replies, launches)
wait for `on_committed`, which is called only after the commit. `group_commit` writes the records,
`replay` reads them at a takeover, and `compaction` rewrites old pages.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any

from ..protocol import formats
from ..runtime.actor import Actor
from ..runtime.token_bucket import TokenBucket
from . import snapshot
from .batch import PIECE_OVERHEAD_BYTES
from .cluster_state import ClusterState
from .compaction import Compactor
from .group_commit import GroupCommit, KeyChange, LedgerTimings
from .leadership_barrier import LeadershipBarrier
from .pages import BURST_S, LEDGER_WRITE_FRACTION, ORIGIN_PAGE, PageLimits
from .record_queue import OnCommitted, RecordQueue
from .records import FormatRaised, Record, record_size
from .replay import Replay, ReplayOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clients.key_value_store import KeyValueStore
    from ..runtime.loop import Runtime
    from ..settings import StateLimits

log = logging.getLogger(__name__)

DAMAGED_RETRY_FACTOR = 10
"""Delay until a damaged ledger is read again, as a multiple of `retry_s`."""


class WriteAheadLog(Actor):
    """The leader's interface to the ledger; its state is reset with each term of leadership."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        limits: StateLimits,
        timings: LedgerTimings,
        on_leadership_lost: Callable[[], None],
        on_unsupported_format: Callable[[], None],
    ) -> None:
        """`on_leadership_lost`: another controller leads, or the term must end.

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
            limits.write_rps * LEDGER_WRITE_FRACTION,
            max(self._limits.transaction_pages + 2, limits.write_rps * BURST_S),
        )
        self._start_term(0)

    def _start_term(self, leader_key_version: int) -> None:
        """Creates empty state for a version of the leader key; 0: this controller is a follower."""
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
            self._commit.find_applied,
        )
        self._replay: Replay | None = None

    def _restart(self, leader_key_version: int) -> None:
        """Discards all state; pending requests to confirm leadership get False."""
        barrier = self._barrier
        if self._replay is not None:
            self._replay.close()
        self._commit.close()
        self._start_term(leader_key_version)
        barrier.close()

    def close(self) -> None:
        """Ends the term of leadership: records that are not committed are dropped."""
        self._restart(0)

    def replay(self, leader_key_version: int, on_ready: Callable[[], None]) -> None:
        """Reads all pages under a leader key of this version, then calls `on_ready`."""
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
            delay_s = DAMAGED_RETRY_FACTOR * self._timings.retry_s
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
        """Applies the record and schedules its commit, after which `on_committed` is called."""
        size = record_size(record)
        self._queue.open_next_page_if_full(size)
        self.state.apply(record, self._queue.open_page)
        self._queue.append(record, size, on_committed)
        self._commit.schedule()

    def propose_batch(self, records: list[Record], on_committed: OnCommitted | None = None) -> None:
        """Proposes records that are read all or none; calls `on_committed` after the last commit.

        None of them may set the page of a job, a reclaim or an account: they are applied before the
        pages that they are written to are known. A batch larger than a page may only be written in
        a format that has batches (`writes_batches`).
        """
        for record in records:
            self.state.apply(record, self._queue.open_page)
        self._queue.append_batch(records, on_committed)
        self._commit.schedule()

    def raise_format(self, version: int) -> None:
        """Allows records of the format: no older program can read the ledger from now on."""
        log.info("event=format_raised format=%d", version)
        self.propose(FormatRaised(version))

    def propose_catalog(self, types: list[Any]) -> None:
        """Stores the cloud's machine types, if the ledger's format allows their size."""
        records = snapshot.build_catalog_records(types, self._limits.page_bytes)
        if len(records) == 1 or self.writes_batches:
            self.propose_batch(records)

    def compact(self) -> None:
        """Compacts old pages if all pages are much larger than a snapshot of the state."""
        self._compactor.compact()

    def confirm_leadership(self, on_done: Callable[[bool], None]) -> None:
        """Calls `on_done(True)` once a transaction sent after this call proves leadership."""
        self._barrier.confirm(on_done)

    def change_leader_key(self, value: dict[str, Any], on_written: Callable[[int], None]) -> None:
        """Writes the leader key as its holder; `on_written` gets the new version.

        Records are committed under the one version before and under the other from then on. If
        another controller has written the key, the term ends as with any commit.
        """
        self._barrier.begin_key_change()

        def on_key_written(version: int) -> None:
            self.leader_key_version = version
            self._barrier.complete_key_change(version)
            on_written(version)

        self._commit.change_leader_key(KeyChange(value, on_key_written))

    def fits_in_page(self, record: Record) -> bool:
        """Returns whether the record fits into a page, also within a batch."""
        return record_size(record) <= self._limits.page_bytes - PIECE_OVERHEAD_BYTES

    @property
    def writes_batches(self) -> bool:
        """Whether all controllers read batches larger than a page."""
        return self.state.format >= formats.GANGS

    @property
    def backlog(self) -> int:
        """Number of records that wait for their commit."""
        return len(self._queue)

    @property
    def is_committing(self) -> bool:
        """Whether a transaction is in flight."""
        return self._commit.is_busy

    @property
    def is_compacting(self) -> bool:
        """Whether the records of rewritten pages still wait for their commit."""
        return self._compactor.is_compacting
