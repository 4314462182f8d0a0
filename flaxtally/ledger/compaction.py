"""Compaction: the live content of old pages is rewritten to the open page, and they are deleted.

After a crash between rewriting and deleting, both exist: on replay the later records take effect.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from ..protocol import formats
from . import snapshot
from .pages import ORIGIN_PAGE
from .records import (
    CatalogPartStored,
    CatalogStored,
    FormatRaised,
    JobAccepted,
    JobTerminated,
    LoanAccountStored,
    ReclaimStarted,
    Record,
    record_size,
)
from .terminal_jobs import TerminalJobPage

if TYPE_CHECKING:
    from .cluster_state import ClusterState
    from .group_commit import GroupCommit
    from .job import Job
    from .pages import PageLimits
    from .record_queue import RecordQueue

log = logging.getLogger(__name__)

COMPACTION_STEP_BYTES = 7 * 1024
"""Total size of the pages that are compacted in one step."""
MAX_SNAPSHOT_RATIO = 2
"""Size of all pages relative to a snapshot of the state above which pages are compacted. A record
that doesn't fit into the rest of a page begins a new one, so up to half of the space may be empty:
compaction to a lower ratio would never finish.
"""
MIN_PAGE_COUNT = 8
"""Number of pages up to which compaction is not worthwhile."""


class Compactor:
    """Compacts the oldest pages during one term of leadership."""

    def __init__(
        self, state: ClusterState, queue: RecordQueue, commit: GroupCommit, limits: PageLimits
    ) -> None:
        """Rewrites records of `state` through `queue`, and deletes pages through `commit`."""
        self.is_compacting = False
        """Whether the records of rewritten pages still wait for their commit."""
        self._state = state
        self._queue = queue
        self._commit = commit
        self._limits = limits

    def compact(self) -> None:
        """Compacts the oldest pages if all pages are much larger than a snapshot of the state."""
        if self._is_busy():
            return
        rewritten: list[int] = []
        for page in self._pages_to_compact():
            if not self._rewrite_page(page):
                break
            rewritten.append(page)
        if not rewritten:
            return
        self.is_compacting = True
        if self._queue:
            self._queue.set_last_callback(partial(self._delete_pages, rewritten))
            self._commit.schedule()
        else:
            self._delete_pages(rewritten)

    def _is_busy(self) -> bool:
        """Whether a compaction or commit is in progress. Pages to delete still count as stored."""
        commit = self._commit
        return bool(self.is_compacting or commit.pages_to_delete or self._queue or commit.is_busy)

    def _pages_to_compact(self) -> list[int]:
        """Returns the oldest pages, as many as are compacted in one step."""
        pages = self._commit.page_versions
        if len(pages) <= MIN_PAGE_COUNT:
            return []
        page_bytes = self._limits.page_bytes
        snapshot_pages = MAX_SNAPSHOT_RATIO * self._state.snapshot_bytes() // page_bytes
        excess = len(pages) - (MIN_PAGE_COUNT + snapshot_pages)
        if excess <= 0:
            return []
        # Several small pages are compacted at a time: with one at a time, compaction fell behind
        # the writes.
        count = min(max(1, COMPACTION_STEP_BYTES // page_bytes), excess)
        return [page for page in sorted(pages) if page != ORIGIN_PAGE][:count]

    def _delete_pages(self, pages: list[int]) -> None:
        """Deletes pages whose live content is committed in other pages."""
        self.is_compacting = False
        self._commit.delete_pages(pages)

    def _rewrite_page(self, page: int) -> bool:
        """Queues the live content of the page again; returns False if that has to wait."""
        if page >= self._queue.open_page - 1:
            return False
        jobs = [job for job in self._state.jobs.values() if job.record_page == page]
        if any(_is_being_concluded(job) for job in jobs):
            return False
        groups = snapshot.build_page_records(self._state, page, self._limits.page_bytes)
        if self._state.format < formats.GANGS and any(map(self._exceeds_page, groups)):
            # An older controller would read such a job in part, and miss placements of its tasks.
            return False
        log.info(
            "event=page_compacted page=%d of=%d jobs=%d",
            page,
            len(self._commit.page_versions),
            len(jobs),
        )
        self._state.terminal_job_pages.pop(page, None)
        for group in groups:
            self._relocate(group[0], self._queue.append_batch(group, None))
        return True

    def _exceeds_page(self, group: list[Record]) -> bool:
        return sum(map(record_size, group)) > self._limits.page_bytes

    def _relocate(self, record: Record, page: int) -> None:
        """Notes the new page of what is rewritten by the group that begins with the record."""
        state = self._state
        match record:
            case JobAccepted(number=number):
                state.jobs[number].record_page = page
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


def _is_being_concluded(job: Job) -> bool:
    """Whether the job is concluded, but its final stage may not be reported yet.

    A cancelled job that still has placements is rewritten like any other.
    """
    return job.is_concluded and not job.reported_stage
