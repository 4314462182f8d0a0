"""Records that say anew what the records of a page still mean, for pages that are cleaned. Pure."""

from __future__ import annotations

import msgspec

from ..protocol import formats, wire
from .batch import PIECE_OVERHEAD, Record, size_of
from .cluster_state import CANCELLED, CATALOG, FINAL, FORMAT, JOB, PLACED, TASKS, ClusterState, Job

RUNS_A_RECORD = 16
"""So that a record fits into a page, however many tasks its job has."""
TYPES_A_RECORD = 1
"""Machine types of the catalogue in one record, where they don't all fit into a page."""


def final_record(job: Job) -> Record:
    """All that is kept of a job that is over."""
    return [FINAL, job.number, job.spec.ref, wire.ABORTED if job.is_cancelled else wire.DONE]


def job_records(job: Job) -> list[Record]:
    """All of a job that is not over, to be written as one batch.

    Read in part they would say that its tasks are placed nowhere.
    """
    accepted: Record = [JOB, job.number, job.accepted_at, *msgspec.to_builtins(job.spec)]
    placed: list[Record] = [
        [PLACED, job.number, there.task, there.attempt, there.machine, there.zone]
        for there in job.placements.values()
    ]
    if job.is_done:
        # A gang that is done while some of its tasks are not proven over: each counts as done.
        everything = [0, job.spec.tasks, job.newest_attempt, True]
        return [accepted, *placed, [TASKS, job.number, [everything]]]
    runs = _runs(job)
    unplaced: list[Record] = [
        [TASKS, job.number, runs[start : start + RUNS_A_RECORD]]
        for start in range(0, len(runs), RUNS_A_RECORD)
    ]
    cancelled: list[Record] = [[CANCELLED, job.number]] if job.is_cancelled else []
    return [accepted, *unplaced, *placed, *cancelled]


def catalog_records(types: list[object], most_bytes: int) -> list[Record]:
    """The cloud's machine types: one record, or a batch of several if they don't fit into a page.

    The first record says that none of the earlier ones count.
    """
    whole: Record = [CATALOG, types]
    if size_of(whole) <= most_bytes - PIECE_OVERHEAD:
        return [whole]
    return [
        [CATALOG, types[start : start + TYPES_A_RECORD], start > 0]
        for start in range(0, len(types), TYPES_A_RECORD)
    ]


def page_records(book: ClusterState, page: int, most_bytes: int) -> list[list[Record]]:
    """All that the records of a page still mean, in groups that are each a batch.

    `most_bytes`: of the records of a page.
    """
    groups: list[list[Record]] = []
    if book.format > formats.FIRST and book.format_page == page:
        groups.append([[FORMAT, book.format]])
    if book.catalog and book.catalog_page == page:
        groups.append(catalog_records(book.catalog, most_bytes))
    for job in [job for job in book.jobs.values() if job.home_page == page]:
        over = job.is_terminal and not job.placements
        groups.append([final_record(job)] if over else job_records(job))
    groups += [[record] for record in book.loan_state.records_at_home(page)]
    groups += [
        [[FINAL, 0, ref, book.terminal_jobs.get(ref)]]
        for ref in book.terminal_job_pages.get(page, ())
    ]
    return groups


def _runs(job: Job) -> list[list[object]]:
    """The tasks that are not placed, those alike that follow each other as one."""
    runs: list[list[object]] = []
    first = count = attempt = 0
    done = False
    for task in range(job.next_unstarted_task):
        if task in job.placements:
            continue
        now = job.attempts.get(task, 0), task in job.done_tasks
        if count and first + count == task and (attempt, done) == now:
            count += 1
            continue
        if count:
            runs.append([first, count, attempt, done])
        first, count, (attempt, done) = task, 1, now
    if count:
        runs.append([first, count, attempt, done])
    return runs
