"""Users' jobs: submission, status, cancellation, and what limits their placement."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..ledger.records import JobAccepted, JobCancelled
from ..planning import placement
from ..planning.forecast import Arrivals
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
"""Uncommitted records; with more of them no jobs are accepted and no tasks are placed."""


class JobRegistry(TermActor):
    """Owns the jobs that are not over, and the resource shapes that are asked for."""

    def __init__(self, term: Term, commands: CommandSender) -> None:
        """`commands`: stops the tasks of cancelled jobs."""
        super().__init__(term)
        self.commands = commands
        self.live_jobs: dict[int, Job] = {}
        self.arrivals = Arrivals(self.policy.plan_horizon, self.policy.plan_step * 2)
        self.shapes = ResourceShapes()
        self.backoff_until: dict[int, float] = {}
        """Jobs of which no task is placed until a time."""
        self.suspect_jobs: set[int] = set()
        """Jobs that seem to be submitted with a mistake: one of their tasks at a time is tried."""
        self._cancellation_replies: dict[int, list[OnReply]] = {}
        """Clients that wait for a job's cancellation. Those that wait for too long were replied 503
        by their controller.
        """
        self._admission = JobAdmission(term)
        self.queue = PendingQueue(term, self.live_jobs, self.suspect_jobs)

    def restore(self) -> None:
        """Takes up the jobs of the replayed ledger."""
        now = self.runtime.now()
        for job in self.ledger.state.jobs.values():
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
        rejection = self._admission.rejection_reason(spec)
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
        # Before all controllers know gangs, one of them would place the tasks one by one.
        return spec.job_kind != wire.GANG or self.ledger.state.format >= formats.GANGS

    def _reject(self, on_reply: OnReply, reason: str) -> None:
        self._confirm_then(on_reply, lambda: reply_error(on_reply, UNPROCESSABLE, reason))

    def _accept(self, record: JobAccepted, on_reply: OnReply) -> None:
        """Proposes the job's record; the client is told once that is committed."""

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
        self.arrivals.note(job.spec.job_class, job.spec.tasks, run_s, now)
        self.term.request_pass()

    # Status

    def query_status(self, ref: str, on_reply: OnReply) -> None:
        """Replies a terminal state at once, any other after leadership is confirmed."""
        job = self.ledger.state.jobs_by_ref.get(ref)
        terminal_stage = self.ledger.state.terminal_jobs.get(ref) if job is None else None
        if terminal_stage is not None:
            on_reply(OK, wire.JobStatus(ref, terminal_stage))
        elif job is not None and job.reported_stage:
            on_reply(OK, self._status(job))
        else:
            self._confirm_then(on_reply, lambda: self._reply_status(ref, on_reply))

    def _reply_status(self, ref: str, on_reply: OnReply) -> None:
        job = self.ledger.state.jobs_by_ref.get(ref)
        if job is not None and not job.is_committed:
            # Its acceptance is under way: neither known nor unknown until the commit ends.
            reply_unavailable(on_reply)
        elif job is not None:
            on_reply(OK, self._status(job))
        else:
            stage = self.ledger.state.terminal_jobs.get(ref)
            if stage:
                on_reply(OK, wire.JobStatus(ref, stage))
            else:
                on_reply(NOT_FOUND, None)

    @staticmethod
    def _status(job: Job) -> wire.JobStatus:
        running = sum(placed.state == wire.RUNNING for placed in job.placements.values())
        stage = job.reported_stage or (wire.RUNNING if running else wire.PENDING)
        done = len(job.done_tasks)
        if stage in (wire.PENDING, wire.RUNNING) and job.spec.job_kind != wire.SERVICE:
            # The last task counts as done only with the job, whose end is being committed.
            done = min(done, job.spec.tasks - 1)
        status = wire.JobStatus(job.spec.ref, stage, done, running)
        if job.spec.job_kind == wire.GANG and not job.reported_stage:
            status.attempt = job.newest_attempt
            status.waiting = sum(placed.state == wire.WAITING for placed in job.placements.values())
        return status

    def _confirm_then(self, on_reply: OnReply, on_confirmed: Callable[[], None]) -> None:
        """Calls `on_confirmed` after leadership is confirmed, else replies unavailable."""

        def on_checked(is_leader: bool) -> None:
            if is_leader and self.term.active:
                on_confirmed()
            else:
                reply_unavailable(on_reply)

        self.ledger.confirm_leadership(on_checked)

    # Cancellation

    def cancel(self, ref: str, on_reply: OnReply) -> None:
        """Stops the job; the reply that it is cancelled follows the end of all its placements.

        A promise that depended on leases or on the cloud could be broken by a partition together
        with an outage. While a machine of the job is unresponsive, clients are asked to try again.
        """
        job = self.ledger.state.jobs_by_ref.get(ref)
        if job is None or job.reported_stage or not job.is_committed:
            self.query_status(ref, on_reply)
            return
        if job.is_done:
            # Its end is being committed.
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
        """Reports a cancelled job as such once, as committed, nothing of it is left."""
        has_tasks_left = job.placements or job.uncommitted_ends
        if not job.is_cancellation_committed or job.reported_stage or has_tasks_left:
            return
        job.reported_stage = wire.ABORTED
        for on_reply in self._cancellation_replies.pop(job.number, ()):
            on_reply(OK, wire.JobStatus(job.spec.ref, wire.ABORTED))

    # What limits placements

    def estimate_run_s(self, spec: wire.Spec) -> float:
        """How long a task is expected to run."""
        if spec.job_kind != wire.SERVICE and spec.estimated_run_s:
            return spec.estimated_run_s
        return self.policy.plan_horizon

    @property
    def gpu_reservations(self) -> placement.GpuNeeds:
        """The cores and memory to reserve for each GPU."""
        return self.shapes.gpu_reservations

    def excluded_zones(self, job: Job, leaving: Placement | None = None) -> frozenset[str]:
        """The zones in which none of the job's tasks may be placed now.

        `leaving`: a placement that is not counted.
        """
        spec = job.spec
        if not job.placements:
            return NO_ZONES
        if spec.one_zone:
            occupied = job.zone_counts.keys()
            return frozenset(zone for zone in self.fleet.zones if occupied != {zone})
        if not spec.spread:
            return NO_ZONES
        left_zone = leaving.zone if leaving else None
        return frozenset(
            zone
            for zone, count in job.zone_counts.items()
            if count - (zone == left_zone) >= spec.zone_share
        )

    def is_within_limit(self, spec: wire.Spec, count: int = 1) -> bool:
        """Whether the team's hard limit allows so many more tasks of a job."""
        team = self.term.limits.find_team(spec.team)
        if team is None:
            return False
        cores, gpus = self.term.compute_team_usage(spec.team)
        return not (
            (team.cores_max and cores + spec.cores * count > team.cores_max + placement.SLACK)
            or (team.gpus_max and gpus + spec.gpus * count > team.gpus_max + placement.SLACK)
        )
