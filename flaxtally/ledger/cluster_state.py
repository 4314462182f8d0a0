"""The ledger's content and its invariants: pure, fed by records, the same live and on replay.

Records (lists whose first item names them), in the order in which they were committed:

    J  no, at, *spec              a job was accepted, or begins anew as a snapshot
    P  no, task, attempt, machine, zone   a task was placed
    E  no, task, attempt, done    a placement is proven over; done: with its result
    C  no                         the user cancelled the job
    T  no, runs                   snapshot: [first, count, attempt, done] of tasks not placed
    F  no, ref, stage             a final job, all that is kept of it
    K  types                      the cloud's machine types, for leaders that begin in an outage

Since format 2 (`protocol.formats`), and never before a record V says so:

    V  format                     all controllers read records of this format
    B  first, last, records       a piece of a batch (`ledger.batch`)
    K  types, more                with more: in addition to those of the records before
    P, E of gangs                 a lost task of a gang that has not begun may be placed again with
                                  the attempt number of its gang; one task that is done ends the job

Since format 3: R, X and A, what is kept of loans (`ledger.reclaims`).
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

import msgspec

from ..protocol import formats, wire
from ..protocol.shape import Shape
from .batch import BatchReader, Record
from .reclaims import ACCOUNT, RECALL, RECALL_OVER, LoanState
from .terminal_jobs import TerminalJobPage, TerminalJobs

if TYPE_CHECKING:
    from collections.abc import Callable

JOB, TASKS, PLACED, ENDED = "J", "T", "P", "E"
CANCELLED, FINAL, CATALOG, FORMAT = "C", "F", "K", "V"
OF_A_JOB = (TASKS, PLACED, ENDED, CANCELLED)
"""Records that say something of a job that an earlier one accepted."""


ACCEPTED_BYTES, PLACED_BYTES, RUN_BYTES, FINAL_BYTES = 40, 24, 20, 24
"""About what records take in a page beside specs and names."""


class Placement:
    """A task's attempt on a machine, from its proposal until it is proven over.

    The fields after `zone` are the leader's knowledge in its present term, never the ledger's.
    """

    __slots__ = (
        "attempt",
        "command_sent_at",
        "is_committed",
        "is_inherited",
        "job",
        "launch_incarnation",
        "launches_in_flight",
        "machine",
        "proposed_at",
        "started_at",
        "state",
        "stopping_at",
        "task",
        "was_reported",
        "zone",
    )

    def __init__(self, job: Job, task: int, attempt: int, machine: str, zone: str) -> None:
        self.job, self.task, self.attempt, self.machine, self.zone = (
            job,
            task,
            attempt,
            machine,
            zone,
        )
        self.is_committed = False
        self.is_inherited = False
        self.launch_incarnation = 0
        self.launches_in_flight = 0
        self.was_reported = False
        self.state = ""
        self.proposed_at = 0.0
        self.started_at: float | None = None
        self.command_sent_at = float("-inf")
        self.stopping_at: float | None = None

    @property
    def name(self) -> str:
        return f"{self.job.spec.ref}/{self.task}"

    @property
    def is_best_effort(self) -> bool:
        return self.job.spec.is_best_effort


class Job:
    """A job and the states of its tasks. Tasks from `next_unstarted_task` on were never touched."""

    __slots__ = (
        "accepted_at",
        "accepted_bytes",
        "attempts",
        "cancelled_at",
        "done_tasks",
        "home_page",
        "is_cancellation_committed",
        "is_cancelled",
        "is_committed",
        "is_done",
        "known_at",
        "next_unstarted_task",
        "number",
        "pending_since",
        "placement_bytes",
        "placements",
        "reported_stage",
        "retry_queue",
        "shape",
        "spec",
        "uncommitted_ends",
        "zone_counts",
    )

    def __init__(self, no: int, at: float, spec: wire.Spec) -> None:
        self.number, self.accepted_at, self.spec = no, at, spec
        self.shape = Shape.of(spec)
        self.accepted_bytes = ACCEPTED_BYTES + len(msgspec.json.encode(spec))
        self.placement_bytes = PLACED_BYTES
        """About what the record of its last placement takes."""
        self.next_unstarted_task = 0
        self.retry_queue: list[int] = []
        self.attempts: dict[int, int] = {}
        self.done_tasks: set[int] = set()
        self.placements: dict[int, Placement] = {}
        self.zone_counts: dict[str, int] = {}
        """Placements by zone; zones without any are left out."""
        self.is_cancelled = False
        self.is_done = False
        self.is_committed = False
        self.reported_stage = ""
        self.is_cancellation_committed = False
        """Its cancellation is committed."""
        self.uncommitted_ends = 0
        """Placements proven over whose record is not committed yet."""
        self.cancelled_at = 0.0
        self.known_at = 0.0
        self.pending_since = 0.0
        """Since when it has waiting tasks and none of them was placed."""
        self.home_page = 0

    @property
    def is_terminal(self) -> bool:
        return self.is_done or self.is_cancelled

    @property
    def has_started(self) -> bool:
        """Whether a task of it was ever placed."""
        return self.next_unstarted_task > 0

    @property
    def newest_attempt(self) -> int:
        """The highest attempt number of any of its tasks; 0: none was placed."""
        return max(self.attempts.values(), default=0)

    @property
    def snapshot_bytes(self) -> int:
        """About how many bytes its records take in a snapshot."""
        placed = len(self.placements)
        # Tasks that are placed, or wait again, part the others into runs.
        runs = min(self.next_unstarted_task - placed, placed + 1 + 2 * len(self.retry_queue))
        return self.accepted_bytes + self.placement_bytes * placed + RUN_BYTES * max(0, runs)

    @property
    def pending_count(self) -> int:
        return (
            0
            if self.is_terminal
            else self.spec.tasks - self.next_unstarted_task + len(self.retry_queue)
        )

    def next_pending_task(self) -> int:
        """The waiting task to place next; it stays waiting until it is placed."""
        return self.retry_queue[0] if self.retry_queue else self.next_unstarted_task

    def placements_in_zone(self, zone: str) -> int:
        """How many of its tasks are placed in the zone."""
        return self.zone_counts.get(zone, 0)


class ResourceUsage:
    """What a team's placements use."""

    __slots__ = ("cores", "gpus")

    def __init__(self) -> None:
        self.cores = self.gpus = 0.0


class InvalidRecordError(Exception):
    """A record breaks an invariant; it must not be committed. On replay: a damaged ledger."""


class UnsupportedFormatError(Exception):
    """The ledger is of a format that this program does not read."""


class ClusterState:
    """All jobs. Records that are final and without placements shrink to `terminal_jobs`."""

    def __init__(self) -> None:
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
        """What may be written: all controllers read it."""
        self.format_page = 0
        self.loan_state = LoanState()
        self._reader = BatchReader()
        self._handlers: dict[str, Callable[..., None]] = {
            JOB: self._accept,
            TASKS: self._restore_tasks,
            PLACED: self._place,
            ENDED: self._end,
            CANCELLED: self._cancel,
            FINAL: self._finish,
            CATALOG: self._keep_catalog,
            FORMAT: self._raise_format,
            RECALL: self.loan_state.begin,
            RECALL_OVER: self.loan_state.end,
            ACCOUNT: self.loan_state.keep_account,
        }

    # Records, live and on replay

    def apply(self, record: Record, page: int) -> None:
        """Takes the record in, or raises `InvalidRecordError`."""
        self._handlers[record[0]](page, *record[1:])

    def replay(self, record: Record, page: int) -> None:
        """Applies a record that was read back.

        Records of a job whose own record is not there yet belong to a page that was cleaned: a
        later snapshot says what they meant. Raises `UnsupportedFormatError`, or
        `InvalidRecordError`.
        """
        for home, certain in self._reader.read(page, record):
            if certain[0] not in OF_A_JOB or certain[1] in self.jobs:
                self.apply(certain, home)

    def compact_job(self, job: Job, page: int) -> None:
        """Shrinks a final job without placements to what must be kept for ever."""
        self._finish(
            page, job.number, job.spec.ref, wire.ABORTED if job.is_cancelled else wire.DONE
        )

    def _accept(self, page: int, no: int, at: float, *spec: Any) -> None:
        old = self.jobs.get(no)
        if old is not None:
            for placement in list(old.placements.values()):
                self._remove(placement)
        job = Job(no, at, msgspec.convert(spec, wire.Spec))
        if old is not None:
            job.reported_stage, job.is_committed = old.reported_stage, old.is_committed
        elif job.spec.ref in self.jobs_by_ref or job.spec.ref in self.terminal_jobs:
            raise InvalidRecordError(f"job {job.spec.ref} is known")
        job.home_page = page
        self.jobs[no] = self.jobs_by_ref[job.spec.ref] = job
        self.next_job_number = max(self.next_job_number, no + 1)

    def _restore_tasks(self, page: int, no: int, runs: list[list[Any]]) -> None:
        job = self.jobs[no]
        for first, count, attempt, done in runs:
            for task in range(first, first + count):
                if attempt:
                    job.attempts[task] = attempt
                if done:
                    job.done_tasks.add(task)
                else:
                    heapq.heappush(job.retry_queue, task)
                job.next_unstarted_task = max(job.next_unstarted_task, task + 1)
        self._settle(job)

    def _place(self, page: int, no: int, task: int, attempt: int, machine: str, zone: str) -> None:
        job = self.jobs[no]
        if (
            task in job.placements
            or task in job.done_tasks
            or job.is_cancelled
            or attempt < job.attempts.get(task, 0) + (job.spec.job_kind != wire.GANG)
        ):
            raise InvalidRecordError(
                f"task {job.spec.ref}/{task} can't be placed as attempt {attempt}"
            )
        if job.retry_queue and job.retry_queue[0] == task:
            heapq.heappop(job.retry_queue)
        elif task in job.retry_queue:
            job.retry_queue.remove(task)
            heapq.heapify(job.retry_queue)
        else:
            for skipped in range(job.next_unstarted_task, task):
                heapq.heappush(job.retry_queue, skipped)
            job.next_unstarted_task = max(job.next_unstarted_task, task + 1)
        job.attempts[task] = attempt
        placement = Placement(job, task, attempt, machine, zone)
        job.placements[task] = placement
        job.placement_bytes = PLACED_BYTES + len(machine) + len(zone)
        job.zone_counts[zone] = job.zone_counts.get(zone, 0) + 1
        self.placements_by_machine.setdefault(machine, {})[no, task] = placement
        usage = self.usage_by_team.setdefault(job.spec.team, ResourceUsage())
        usage.cores += job.spec.cores
        usage.gpus += job.spec.gpus

    def _end(self, page: int, no: int, task: int, attempt: int, done: bool) -> None:
        job = self.jobs[no]
        placement = job.placements.get(task)
        if placement is None or placement.attempt != attempt:
            raise InvalidRecordError(f"task {job.spec.ref}/{task} has no attempt {attempt} to end")
        self._remove(placement)
        if done and job.spec.job_kind == wire.GANG:
            # They complete together.
            job.done_tasks.update(range(job.spec.tasks))
        elif done and job.spec.job_kind != wire.SERVICE:
            job.done_tasks.add(task)
        else:
            heapq.heappush(job.retry_queue, task)
        self._settle(job)

    def _cancel(self, page: int, no: int) -> None:
        job = self.jobs[no]
        if job.is_done:
            raise InvalidRecordError(f"job {job.spec.ref} is done")
        job.is_cancelled = True

    def _finish(self, page: int, no: int, ref: str, stage: str) -> None:
        job = self.jobs.pop(no, None)
        if job is not None:
            self.jobs_by_ref.pop(ref, None)
        self.terminal_jobs.add(ref, stage)
        self.terminal_job_pages.setdefault(page, TerminalJobPage()).add(ref)
        self.next_job_number = max(self.next_job_number, no + 1)

    def _keep_catalog(self, page: int, types: list[Any], more: bool = False) -> None:
        if more:
            self.catalog = [*self.catalog, *types]
        else:
            self.catalog, self.catalog_page = types, page

    def _raise_format(self, page: int, version: int) -> None:
        if version > formats.OWN.newest:
            raise UnsupportedFormatError(
                f"format {version}; this program reads {formats.OWN.newest}"
            )
        self.format, self.format_page = max(self.format, version), page

    def _remove(self, placement: Placement) -> None:
        job = placement.job
        del job.placements[placement.task]
        job.zone_counts[placement.zone] -= 1
        if not job.zone_counts[placement.zone]:
            del job.zone_counts[placement.zone]
        there = self.placements_by_machine[placement.machine]
        del there[job.number, placement.task]
        if not there:
            del self.placements_by_machine[placement.machine]
        usage = self.usage_by_team[job.spec.team]
        usage.cores -= job.spec.cores
        usage.gpus -= job.spec.gpus

    @staticmethod
    def _settle(job: Job) -> None:
        if (
            job.spec.job_kind != wire.SERVICE
            and len(job.done_tasks) == job.spec.tasks
            and not job.is_cancelled
        ):
            job.is_done = True

    def snapshot_bytes(self) -> int:
        """About how many bytes the records of a snapshot of everything would take."""
        jobs = sum(
            FINAL_BYTES if job.is_terminal and not job.placements else job.snapshot_bytes
            for job in self.jobs.values()
        )
        return FINAL_BYTES * len(self.terminal_jobs) + jobs + self.loan_state.snapshot_bytes()
