"""Compaction: old pages are rewritten, shorter, into the page being filled, and then deleted.

A crash between the new records and the delete leaves both: replay takes the later ones.
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

COMPACTED_BYTES = 7 * 1024
"""Of pages that are compacted at a time."""
MAX_PAGES_PER_SNAPSHOT = 2
"""Times what the pages still mean, from which on they are compacted. What doesn't fit into the rest
of a page begins a new one, so up to half of all may be empty: to compact below that would never
end.
"""
MIN_PAGE_COUNT = 8
"""Fewer aren't worth compacting."""


class Compactor:
    """Compacts the oldest pages in one term of leading."""

    def __init__(
        self, state: ClusterState, queue: RecordQueue, commit: GroupCommit, limits: PageLimits
    ) -> None:
        """Rewrites records of `state` by `queue`, and deletes pages by `commit`."""
        self.is_compacting = False
        """Whether pages were rewritten whose new records are not committed yet."""
        self._state = state
        self._queue = queue
        self._commit = commit
        self._limits = limits

    def compact(self) -> None:
        """Compacts the oldest pages if the pages hold much more than what they still mean."""
        if self._is_occupied():
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

    def _is_occupied(self) -> bool:
        """Whether something is under way. Pages to delete are still among the known ones."""
        commit = self._commit
        return bool(self.is_compacting or commit.pages_to_delete or self._queue or commit.is_busy)

    def _pages_to_compact(self) -> list[int]:
        """The oldest pages, as many as are compacted in one go."""
        pages = self._commit.page_versions
        if len(pages) <= MIN_PAGE_COUNT:
            return []
        page_bytes = self._limits.page_bytes
        snapshot_pages = MAX_PAGES_PER_SNAPSHOT * self._state.snapshot_bytes() // page_bytes
        excess = len(pages) - (MIN_PAGE_COUNT + snapshot_pages)
        if excess <= 0:
            return []
        # Small pages are compacted several at a time: one at a time fell behind what is written.
        count = min(max(1, COMPACTED_BYTES // page_bytes), excess)
        return [page for page in sorted(pages) if page != ORIGIN_PAGE][:count]

    def _delete_pages(self, pages: list[int]) -> None:
        """What the pages mean is committed elsewhere."""
        self.is_compacting = False
        self._commit.delete_pages(pages)

    def _rewrite_page(self, page: int) -> bool:
        """Queues again what the page still means; False: not now."""
        if page >= self._queue.open_page - 1:
            return False
        jobs = [job for job in self._state.jobs.values() if job.home_page == page]
        if any(_is_being_concluded(job) for job in jobs):
            return False
        groups = snapshot.build_page_records(self._state, page, self._limits.page_bytes)
        if self._state.format < formats.GANGS and any(map(self._exceeds_page, groups)):
            # Read in part by an older controller, such a job would have tasks placed nowhere.
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
        """What the record begins to rewrite stands in that page from now on."""
        state = self._state
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


def _is_being_concluded(job: Job) -> bool:
    """Whether its end is about to be reported.

    (A cancelled job that still has placements is rewritten like any other.)
    """
    return job.is_concluded and not job.reported_stage
