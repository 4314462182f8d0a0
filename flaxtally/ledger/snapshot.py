"""Snapshots: the records that a compaction writes in place of a page. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..protocol import formats
from .batch import PIECE_OVERHEAD_BYTES
from .records import (
    CatalogPartStored,
    CatalogStored,
    FormatRaised,
    JobAccepted,
    JobCancelled,
    JobTerminated,
    Record,
    TaskPlaced,
    TaskRun,
    TasksRestored,
    record_size,
)

if TYPE_CHECKING:
    from .cluster_state import ClusterState
    from .job import Job

MAX_RUNS_PER_RECORD = 16
"""Maximum number of runs in a record, which bounds its size however many tasks its job has."""
TYPES_PER_RECORD = 1
"""Number of machine types in one record, if they don't all fit into a page."""


def build_terminal_record(job: Job) -> JobTerminated:
    """Returns the record that is kept of a concluded job."""
    return JobTerminated(job.number, job.spec.ref, job.terminal_stage)


def build_job_records(job: Job) -> list[Record]:
    """Returns all records of a job that is not concluded, to be written as one batch.

    If only a part of them were read, placed tasks would appear as not placed.
    """
    accepted = JobAccepted.from_spec(job.number, job.accepted_at, job.spec)
    placed = [
        TaskPlaced(job.number, each.task, each.attempt, each.machine, each.zone)
        for each in job.placements.values()
    ]
    if job.is_done:
        # A gang can be done while some of its attempts are not proven to have ended: each of its
        # tasks counts as done.
        all_tasks = TaskRun(first=0, count=job.spec.tasks, attempt=job.newest_attempt, is_done=True)
        return [accepted, *placed, TasksRestored(job.number, [all_tasks])]
    runs = _runs_of_unplaced_tasks(job)
    restored = [
        TasksRestored(job.number, runs[start : start + MAX_RUNS_PER_RECORD])
        for start in range(0, len(runs), MAX_RUNS_PER_RECORD)
    ]
    cancelled = [JobCancelled(job.number)] if job.is_cancelled else []
    return [accepted, *restored, *placed, *cancelled]


def build_catalog_records(types: list[Any], max_bytes: int) -> list[Record]:
    """Returns the cloud's machine types as one record, or as a batch if they exceed a page.

    The first record replaces all earlier ones.
    """
    complete = CatalogStored(types)
    if record_size(complete) <= max_bytes - PIECE_OVERHEAD_BYTES:
        return [complete]
    return [
        CatalogPartStored(types[start : start + TYPES_PER_RECORD], start > 0)
        for start in range(0, len(types), TYPES_PER_RECORD)
    ]


def build_page_records(state: ClusterState, page: int, max_bytes: int) -> list[list[Record]]:
    """Returns the live content of a page, in groups that are each written as a batch.

    `max_bytes` is the largest size of the records of a page.
    """
    groups: list[list[Record]] = []
    if state.format > formats.FIRST and state.format_page == page:
        groups.append([FormatRaised(state.format)])
    if state.catalog and state.catalog_page == page:
        groups.append(build_catalog_records(state.catalog, max_bytes))
    groups += [
        [build_terminal_record(job)] if job.is_concluded else build_job_records(job)
        for job in state.jobs.values()
        if job.record_page == page
    ]
    groups += [[record] for record in state.loan_state.records_of_page(page)]
    for ref in state.terminal_job_pages.get(page, ()):
        stage = state.terminal_jobs.get(ref)
        if stage is not None:
            groups.append([JobTerminated(0, ref, stage)])
    return groups


def _runs_of_unplaced_tasks(job: Job) -> list[TaskRun]:
    """Returns the tasks placed before and not now; consecutive ones in the same state as a run."""
    runs: list[TaskRun] = []
    first = 0
    count = 0
    attempt = 0
    is_done = False
    for task in range(job.next_unstarted_task):
        if task in job.placements:
            continue
        task_attempt = job.attempts.get(task, 0)
        task_is_done = task in job.done_tasks
        if first + count == task and task_attempt == attempt and task_is_done == is_done:
            count += 1
            continue
        if count:
            runs.append(TaskRun(first, count, attempt, is_done))
        first = task
        count = 1
        attempt = task_attempt
        is_done = task_is_done
    if count:
        runs.append(TaskRun(first, count, attempt, is_done))
    return runs
