"""Users' jobs: submission, status, cancellation, and the limits on their placement."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..ledger.records import JobAccepted, JobCancelled
from ..lending.entitlement import NO_RESOURCES, Amounts
from ..planning import placement
from ..planning.forecast import ArrivalStatistics
from ..protocol import formats, wire
from .job_admission import JobAdmission
from .replies import (
    CREATED,
    NOT_FOUND,
    OK,
    UNPROCESSABLE,
    OnReply,
    reply_error,
    reply_unavailable,
)
from .resource_shapes import ResourceShapes
from .scheduling.pending_queue import PendingQueue
from .term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ledger.job import Job
    from ..ledger.placement import Placement
    from .commands import CommandSender

log = logging.getLogger(__name__)

NO_ZONES: frozenset[str] = frozenset()
MAX_UNCOMMITTED_RECORDS = 2000
"""The number of uncommitted records above which no jobs are accepted and no tasks are placed."""


class JobRegistry(TermActor):
    """Owns the jobs that are not finished, and the resource shapes that jobs ask for."""

    def __init__(self, term: Term, commands: CommandSender) -> None:
        """Starts without jobs; `commands` stops the tasks of cancelled ones."""
        super().__init__(term)
        self.commands = commands
        self.live_jobs: dict[int, Job] = {}
        self.arrivals = ArrivalStatistics(self.policy.plan_horizon, self.policy.plan_step * 2)
        self.shapes = ResourceShapes()
        self.backoff_until: dict[int, float] = {}
        """The time, by job number, before which no task of the job is placed."""
        self.suspect_jobs: set[int] = set()
        """The numbers of jobs that were probably submitted with a mistake.

        At most one task of such a job runs at a time.
        """
        self._cancellation_replies: dict[int, list[OnReply]] = {}
        """The clients, by job number, that wait for a job's cancellation.

        The controller that took the request replies 503 to a client that has waited too long.
        """
        self._admission = JobAdmission(term)
        self.queue = PendingQueue(term, self.live_jobs, self.suspect_jobs)

    def restore(self) -> None:
        """Restores the unfinished jobs from the replayed ledger."""
        now = self.runtime.now()
        # Compaction may have moved the records of older jobs behind those of newer ones.
        for job in sorted(self.ledger.state.jobs.values(), key=lambda job: job.number):
            if not job.is_terminal or job.placements:
                self.live_jobs[job.number] = job
                self.queue.restore(job)
                self.shapes.record_shape(job.shape, job.spec)
            job.pending_since = now
            if job.is_cancelled:
                job.cancelled_at = now

    # Submission

    def submit(self, spec: wire.Spec, on_reply: OnReply) -> None:
        """Accepts or rejects a job; each reply follows a commit or confirmed leadership."""
        if spec.ref in self.ledger.state.jobs_by_ref or spec.ref in self.ledger.state.terminal_jobs:
            self.query_status(spec.ref, on_reply)
            return
        if not self._can_accept(spec):
            reply_unavailable(on_reply)
            return
        rejection = self._admission.find_rejection_reason(spec)
        if rejection:
            self._reject(on_reply, rejection)
            return
        number = self.ledger.state.next_job_number
        record = JobAccepted.from_spec(number, round(self.runtime.wall(), 1), spec)
        if not self.ledger.fits_in_page(record):
            self._reject(on_reply, "its names are too long")
            return
        self._accept(record, on_reply)

    def _can_accept(self, spec: wire.Spec) -> bool:
        """Whether jobs can be accepted now."""
        if not self.term.machine_types or self.ledger.backlog > MAX_UNCOMMITTED_RECORDS:
            return False
        # A controller without gang scheduling would place the tasks one by one.
        return spec.job_kind != wire.GANG or self.ledger.state.format >= formats.GANGS

    def _reject(self, on_reply: OnReply, reason: str) -> None:
        self._run_if_leader(on_reply, lambda: reply_error(on_reply, UNPROCESSABLE, reason))

    def _accept(self, record: JobAccepted, on_reply: OnReply) -> None:
        """Proposes the job's record; replies to the client once it is committed."""

        def on_committed() -> None:
            job.is_committed = True
            on_reply(CREATED, wire.JobStatus(job.spec.ref, wire.PENDING))

        self.ledger.propose(record, on_committed)
        job = self.ledger.state.jobs[record.number]
        now = self.runtime.now()
        job.known_at = now
        job.pending_since = now
        self.live_jobs[job.number] = job
        self.queue.add(job)
        self.shapes.record_shape(job.shape, job.spec)
        run_s = self.estimate_run_s(job.spec)
        self.arrivals.record_arrival(job.spec.job_class, job.spec.tasks, run_s, now)
        self.term.request_pass()

    # Status

    def query_status(self, ref: str, on_reply: OnReply) -> None:
        """Replies with a job's status: at once if terminal, else once leadership is confirmed."""
        job = self.ledger.state.jobs_by_ref.get(ref)
        terminal_stage = self.ledger.state.terminal_jobs.get(ref) if job is None else None
        if terminal_stage is not None:
            on_reply(OK, wire.JobStatus(ref, terminal_stage))
        elif job is not None and job.reported_stage:
            on_reply(OK, self._build_status(job))
        else:
            self._run_if_leader(on_reply, lambda: self._reply_status(ref, on_reply))

    def _reply_status(self, ref: str, on_reply: OnReply) -> None:
        job = self.ledger.state.jobs_by_ref.get(ref)
        if job is not None and not job.is_committed:
            # The job counts as neither known nor unknown until its acceptance is committed.
            reply_unavailable(on_reply)
        elif job is not None:
            on_reply(OK, self._build_status(job))
        else:
            stage = self.ledger.state.terminal_jobs.get(ref)
            if stage:
                on_reply(OK, wire.JobStatus(ref, stage))
            else:
                on_reply(NOT_FOUND, None)

    @staticmethod
    def _build_status(job: Job) -> wire.JobStatus:
        running = sum(placed.state == wire.RUNNING for placed in job.placements.values())
        stage = job.reported_stage or (wire.RUNNING if running else wire.PENDING)
        done = len(job.done_tasks)
        if stage in (wire.PENDING, wire.RUNNING) and job.spec.job_kind != wire.SERVICE:
            # The last task counts as done only once the end of the job is committed.
            done = min(done, job.spec.tasks - 1)
        status = wire.JobStatus(job.spec.ref, stage, done, running)
        if job.spec.job_kind == wire.GANG and not job.reported_stage:
            status.attempt = job.newest_attempt
            status.waiting = sum(placed.state == wire.WAITING for placed in job.placements.values())
        return status

    def _run_if_leader(self, on_reply: OnReply, on_confirmed: Callable[[], None]) -> None:
        """Calls `on_confirmed` once leadership is confirmed, or replies that it is unavailable."""

        def on_checked(is_leader: bool) -> None:
            if is_leader and self.term.active:
                on_confirmed()
            else:
                reply_unavailable(on_reply)

        self.ledger.confirm_leadership(on_checked)

    # Cancellation

    def cancel(self, ref: str, on_reply: OnReply) -> None:
        """Stops the job; replies that it is cancelled once all its placements are proven finished.

        A reply that relied on leases or on the cloud instead could turn out wrong in a network
        partition together with an outage. While a machine of the job is unresponsive, clients are
        asked to try again.
        """
        job = self.ledger.state.jobs_by_ref.get(ref)
        if job is None or job.reported_stage or not job.is_committed:
            self.query_status(ref, on_reply)
            return
        if job.is_done:
            # The end of the job is being committed.
            reply_unavailable(on_reply)
            return
        if any(self._is_unresponsive(placed) for placed in job.placements.values()):
            reply_unavailable(on_reply)
        else:
            self._cancellation_replies.setdefault(job.number, []).append(on_reply)
        if not job.is_cancelled:
            self._begin_cancellation(job)

    def _begin_cancellation(self, job: Job) -> None:
        def on_committed() -> None:
            job.is_cancellation_committed = True
            self._stop_tasks(job)
            self.try_finish_cancellation(job)

        self.ledger.propose(JobCancelled(job.number), on_committed)
        job.cancelled_at = self.runtime.now()
        if not job.placements:
            self.live_jobs.pop(job.number, None)
        log.info(
            "event=job_cancelled term=%d job=%s placed=%d",
            self.term.number,
            job.spec.ref,
            len(job.placements),
        )

    def _is_unresponsive(self, placed: Placement) -> bool:
        machine = self.fleet.machines.get(placed.machine)
        if machine is None or not machine.is_reconciled:
            return True
        return self.runtime.now() - machine.last_heartbeat_at > self.policy.machine_suspect

    def _stop_tasks(self, job: Job) -> None:
        for placed in list(job.placements.values()):
            if placed.is_committed:
                self.commands.stop_task(placed, 0.0)

    def try_finish_cancellation(self, job: Job) -> None:
        """Reports a cancelled job as aborted if its cancellation and all its ends are committed."""
        has_tasks_left = job.placements or job.uncommitted_ends
        if not job.is_cancellation_committed or job.reported_stage or has_tasks_left:
            return
        job.reported_stage = wire.ABORTED
        for on_reply in self._cancellation_replies.pop(job.number, ()):
            on_reply(OK, wire.JobStatus(job.spec.ref, wire.ABORTED))

    # Limits on placements

    def estimate_run_s(self, spec: wire.Spec) -> float:
        """Returns how long a task of the job is expected to run."""
        if spec.job_kind != wire.SERVICE and spec.estimated_run_s:
            return spec.estimated_run_s
        return self.policy.plan_horizon

    @property
    def gpu_reservations(self) -> placement.GpuReservations:
        """The cores and memory to reserve for each GPU."""
        return self.shapes.gpu_reservations

    def find_excluded_zones(
        self, job: Job, excluded_placement: Placement | None = None
    ) -> frozenset[str]:
        """Returns the zones in which none of the job's tasks may be placed now.

        `excluded_placement`: a placement of the job that counts as removed.
        """
        spec = job.spec
        if not job.placements:
            return NO_ZONES
        if spec.one_zone:
            occupied = job.zone_counts.keys()
            return frozenset(zone for zone in self.fleet.zones if occupied != {zone})
        if not spec.spread:
            return NO_ZONES
        excluded_zone = excluded_placement.zone if excluded_placement else None
        return frozenset(
            zone
            for zone, count in job.zone_counts.items()
            if count - (zone == excluded_zone) >= spec.max_tasks_per_zone
        )

    def is_within_limit(
        self, spec: wire.Spec, count: int = 1, reserved: Amounts = NO_RESOURCES
    ) -> bool:
        """Whether the team's hard limit allows `count` more tasks of a job.

        `reserved`: what the job must leave to other jobs of the team.
        """
        team = self.term.limits.find_team(spec.team)
        if team is None:
            return False
        cores, gpus = self.term.compute_team_usage(spec.team).plus(reserved)
        return not (
            (
                team.cores_max
                and cores + spec.cores * count > team.cores_max + placement.RESOURCE_TOLERANCE
            )
            or (
                team.gpus_max
                and gpus + spec.gpus * count > team.gpus_max + placement.RESOURCE_TOLERANCE
            )
        )
