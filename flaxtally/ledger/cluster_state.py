"""The replicated state machine: applies records to the state of all jobs. Performs no I/O.

The leader applies each record when it proposes it; a new leader applies the stored ones on replay.
`records` defines the records and their meaning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..protocol import formats
from .batch import BatchReader
from .job import Job
from .placement import Placement
from .reclaims import LoanState
from .records import (
    JOB_RECORDS,
    AttemptEnded,
    BatchPiece,
    CatalogPartStored,
    CatalogStored,
    FormatRaised,
    InvalidRecordError,
    JobAccepted,
    JobCancelled,
    JobTerminated,
    LoanAccountStored,
    ReclaimFinished,
    ReclaimStarted,
    Record,
    TaskPlaced,
    TasksRestored,
    decode_record,
)
from .terminal_jobs import TerminalJobPage, TerminalJobs

if TYPE_CHECKING:
    from collections.abc import Callable

TERMINAL_JOB_BYTES = 24
"""Approximate size of the record of a terminal job in a page."""


class UnsupportedFormatError(Exception):
    """The ledger has a format that this program does not read."""


class ResourceUsage:
    """Resources that a team's placements use."""

    __slots__ = ("cores", "gpus")

    def __init__(self) -> None:
        """Starts with no usage."""
        self.cores = 0.0
        self.gpus = 0.0


class ClusterState:
    """All jobs, and what else the ledger stores. A compacted terminal job has only its stage."""

    def __init__(self) -> None:
        """Creates the state before the first record."""
        self.jobs: dict[int, Job] = {}
        self.jobs_by_ref: dict[str, Job] = {}
        self.terminal_jobs = TerminalJobs()
        self.terminal_job_pages: dict[int, TerminalJobPage] = {}
        self.usage_by_team: dict[str, ResourceUsage] = {}
        self.placements_by_machine: dict[str, dict[tuple[int, int], Placement]] = {}
        self.next_job_number = 1
        self.catalog: list[Any] = []
        self.catalog_page = 0
        self.format = formats.FIRST
        """The newest format that may be written, since all controllers read it."""
        self.format_page = 0
        self.loan_state = LoanState()
        self._reader = BatchReader()
        self._handlers: dict[type[Record], Callable[[int, Any], None]] = {
            JobAccepted: self._accept_job,
            TasksRestored: self._restore_tasks,
            TaskPlaced: self._place_task,
            AttemptEnded: self._end_attempt,
            JobCancelled: self._cancel_job,
            JobTerminated: self._terminate_job,
            CatalogStored: self._store_catalog,
            CatalogPartStored: self._store_catalog_part,
            FormatRaised: self._raise_format,
            ReclaimStarted: self.loan_state.start_reclaim,
            ReclaimFinished: self.loan_state.finish_reclaim,
            LoanAccountStored: self.loan_state.store_account,
        }

    def apply(self, record: Record, page: int) -> None:
        """Applies a record that is, or will be, stored in the page.

        Raises `InvalidRecordError` or `UnsupportedFormatError`.
        """
        self._handlers[type(record)](page, record)

    def replay(self, stored: Any, page: int) -> None:
        """Applies an item of a page that was read from the store.

        Records of a job that has not been accepted yet are skipped: the page with its acceptance
        was compacted, and a later snapshot contains their effect. Raises `UnsupportedFormatError`
        or `InvalidRecordError`.
        """
        record = decode_record(stored)
        if isinstance(record, BatchPiece):
            for record_page, inner in self._reader.read_piece(page, record):
                self._replay_record(inner, record_page)
        else:
            self._reader.abandon()
            self._replay_record(record, page)

    def compact_job(self, job: Job, page: int) -> None:
        """Reduces a concluded job to what is kept indefinitely: its id and stage."""
        self._keep_terminal(page, job.number, job.spec.ref, job.terminal_stage)

    def snapshot_bytes(self) -> int:
        """Returns the approximate size of a snapshot of the whole state."""
        job_bytes = sum(
            TERMINAL_JOB_BYTES if job.is_terminal and not job.placements else job.snapshot_bytes
            for job in self.jobs.values()
        )
        terminal_bytes = TERMINAL_JOB_BYTES * len(self.terminal_jobs)
        return terminal_bytes + job_bytes + self.loan_state.snapshot_bytes()

    def _replay_record(self, record: Record, page: int) -> None:
        if not isinstance(record, JOB_RECORDS) or record.job in self.jobs:
            self._handlers[type(record)](page, record)

    def _accept_job(self, page: int, record: JobAccepted) -> None:
        number = record.number
        job = Job(number, record.accepted_at, record.spec)
        ref = record.ref
        previous = self.jobs.get(number)
        if previous is not None:
            self._replace_job(previous, job)
        elif ref in self.jobs_by_ref or ref in self.terminal_jobs:
            raise InvalidRecordError(f"job {ref} was already accepted")
        job.record_page = page
        self.jobs[number] = job
        self.jobs_by_ref[ref] = job
        self.next_job_number = max(self.next_job_number, number + 1)

    def _replace_job(self, previous: Job, job: Job) -> None:
        """Replaces a job whose snapshot begins; the records that follow add its placements."""
        for placement in list(previous.placements.values()):
            self._remove_placement(placement)
        job.reported_stage = previous.reported_stage
        job.is_committed = previous.is_committed

    def _restore_tasks(self, page: int, record: TasksRestored) -> None:
        self.jobs[record.job].restore_tasks(record.runs)

    def _place_task(self, page: int, record: TaskPlaced) -> None:
        job = self.jobs[record.job]
        if not job.can_place(record.task, record.attempt):
            raise InvalidRecordError(
                f"task {job.spec.ref}/{record.task} cannot be placed as attempt {record.attempt}"
            )
        placement = Placement(job, record.task, record.attempt, record.machine, record.zone)
        job.add_placement(placement)
        machine_placements = self.placements_by_machine.setdefault(record.machine, {})
        machine_placements[record.job, record.task] = placement
        usage = self.usage_by_team.get(job.spec.team)
        if usage is None:
            usage = ResourceUsage()
            self.usage_by_team[job.spec.team] = usage
        usage.cores += job.spec.cores
        usage.gpus += job.spec.gpus

    def _end_attempt(self, page: int, record: AttemptEnded) -> None:
        job = self.jobs[record.job]
        placement = job.placements.get(record.task)
        if placement is None or placement.attempt != record.attempt:
            raise InvalidRecordError(
                f"task {job.spec.ref}/{record.task} has no attempt {record.attempt} to end"
            )
        self._remove_placement(placement)
        job.end_task(record.task, is_done=record.is_done)

    def _cancel_job(self, page: int, record: JobCancelled) -> None:
        job = self.jobs[record.job]
        if job.is_done:
            raise InvalidRecordError(f"job {job.spec.ref} is done and cannot be cancelled")
        job.is_cancelled = True

    def _terminate_job(self, page: int, record: JobTerminated) -> None:
        self._keep_terminal(page, record.job, record.ref, record.stage)

    def _keep_terminal(self, page: int, number: int, ref: str, stage: str) -> None:
        job = self.jobs.pop(number, None)
        if job is not None:
            self.jobs_by_ref.pop(ref, None)
        self.terminal_jobs.add(ref, stage)
        self.terminal_job_pages.setdefault(page, TerminalJobPage()).add(ref)
        self.next_job_number = max(self.next_job_number, number + 1)

    def _store_catalog(self, page: int, record: CatalogStored) -> None:
        self.catalog = record.types
        self.catalog_page = page

    def _store_catalog_part(self, page: int, record: CatalogPartStored) -> None:
        if record.is_continuation:
            self.catalog = [*self.catalog, *record.types]
        else:
            self.catalog = record.types
            self.catalog_page = page

    def _raise_format(self, page: int, record: FormatRaised) -> None:
        if record.format > formats.SUPPORTED.newest:
            raise UnsupportedFormatError(
                f"ledger format {record.format} is newer than {formats.SUPPORTED.newest}, "
                "the newest that this program reads"
            )
        self.format = max(self.format, record.format)
        self.format_page = page

    def _remove_placement(self, placement: Placement) -> None:
        job = placement.job
        job.remove_placement(placement)
        machine_placements = self.placements_by_machine[placement.machine]
        del machine_placements[job.number, placement.task]
        if not machine_placements:
            del self.placements_by_machine[placement.machine]
        usage = self.usage_by_team[job.spec.team]
        usage.cores -= job.spec.cores
        usage.gpus -= job.spec.gpus
