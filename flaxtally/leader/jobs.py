"""Users' jobs: acceptance, states, cancellations."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..ledger.records import JobAccepted, JobCancelled
from ..planning import placement
from ..planning.forecast import Arrivals
from ..protocol import formats, wire
from .resource_shapes import ResourceShapes
from .scheduling.pending_queue import PendingQueue
from .term import Term, TermActor

if TYPE_CHECKING:
    from ..ledger.job import Job
    from ..ledger.placement import Placement
    from .commands import CommandSender

log = logging.getLogger(__name__)

NO_ZONES: frozenset[str] = frozenset()
Answer = Callable[[int, Any], None]
MOST_BACKLOG = 2000


class JobRegistry(TermActor):
    """Owns the jobs that are not over, and what is asked for by shape."""

    def __init__(self, term: Term, orders: CommandSender) -> None:
        super().__init__(term)
        self.commands = orders
        self.live_jobs: dict[int, Job] = {}
        self.arrivals = Arrivals(self.policy.plan_horizon, self.policy.plan_step * 2)
        self.shapes = ResourceShapes()
        self.backoff: dict[int, float] = {}
        self.suspects: set[int] = set()
        """Jobs that seem to be submitted with a mistake: one of their tasks at a time is tried."""
        self._cancelling: dict[int, list[Answer]] = {}
        """Who waits to hear that a job is cancelled. Those who wait for too long were answered 503
        by their node.
        """
        self.queue = PendingQueue(term, self.live_jobs, self.suspects)

    def restore(self) -> None:
        """Takes up what the ledger holds."""
        now = self.runtime.now()
        for job in self.ledger.state.jobs.values():
            if not job.is_terminal or job.placements:
                self.live_jobs[job.number] = job
                self.queue.restore(job)
                self.shapes.record_shape(job.shape, job.spec)
            job.pending_since = now
            if job.is_cancelled:
                job.cancelled_at = now

    def submit(self, spec: wire.Spec, answer: Answer) -> None:
        """Accepts, or says why not; each answer follows a commit or a confirmed leadership."""
        ref = spec.ref
        if ref in self.ledger.state.jobs_by_ref or ref in self.ledger.state.terminal_jobs:
            self.query_status(ref, answer)
            return
        if not self.term.machine_types or self.ledger.backlog > MOST_BACKLOG:
            answer(503, None)
            return
        if spec.job_kind == wire.GANG and self.ledger.state.format < formats.GANGS:
            # Some controller would place its tasks one by one.
            answer(503, None)
            return
        refusal = self._refusal(spec)
        if refusal:
            self._confirmed(answer, lambda: answer(422, {"error": refusal}))
            return
        now = self.runtime.now()
        no = self.ledger.state.next_job_number
        record = JobAccepted.from_spec(no, round(self.runtime.wall(), 1), spec)
        if not self.ledger.fits_in_page(record):
            self._confirmed(answer, lambda: answer(422, {"error": "its names are too long"}))
            return

        def committed() -> None:
            job.is_committed = True
            answer(201, wire.job_status(ref, wire.PENDING))

        self.ledger.propose(record, committed)
        job = self.ledger.state.jobs[no]
        job.known_at = job.pending_since = now
        self.live_jobs[no] = job
        self.queue.add(job)
        self.shapes.record_shape(job.shape, job.spec)
        self.arrivals.note(spec.job_class, spec.tasks, self.expected_run_s(spec), now)
        self.term.request_pass()

    def _refusal(self, spec: wire.Spec) -> str | None:
        team = self.settings.teams.get(spec.team)
        if team is None:
            return "unknown team"
        if not any(
            placement.allowed(spec, kind, zone, False)
            for kind in self.term.machine_types.values()
            for zone in kind.zones
        ):
            return "no allowed machine type holds a task"
        if spec.job_kind == wire.GANG and not self._zones_hold(spec):
            return "no zones hold all tasks at the same time"
        count = 1 if spec.job_kind == wire.ARRAY else spec.tasks
        over = (team.cores_max and spec.cores * count > team.cores_max + placement.SLACK) or (
            team.gpus_max and spec.gpus * count > team.gpus_max + placement.SLACK
        )
        return "more than the team's limit" if over else None

    def _zones_hold(self, spec: wire.Spec) -> bool:
        """Whether some choice of zones can hold all tasks of a gang."""
        zones = {
            zone
            for kind in self.term.machine_types.values()
            for zone in kind.zones
            if placement.allowed(spec, kind, zone, False)
        }
        in_one = spec.one_zone or len(zones) == 1
        return not (spec.spread and in_one and spec.tasks > spec.zone_share)

    def query_status(self, ref: str, answer: Answer) -> None:
        """A job's state: a final one at once, any other after leadership is confirmed."""
        job = self.ledger.state.jobs_by_ref.get(ref)
        final = self.ledger.state.terminal_jobs.get(ref) if job is None else None
        if final is not None:
            answer(200, wire.job_status(ref, final))
        elif job is not None and job.reported_stage:
            answer(200, self._state(job))
        else:
            self._confirmed(answer, lambda: self._tell_state(ref, answer))

    def _tell_state(self, ref: str, answer: Answer) -> None:
        job = self.ledger.state.jobs_by_ref.get(ref)
        if job is None:
            stage = self.ledger.state.terminal_jobs.get(ref)
            answer(200 if stage else 404, wire.job_status(ref, stage) if stage else None)
        elif not job.is_committed:
            # Its acceptance is under way: neither known nor unknown until the commit ends.
            answer(503, None)
        else:
            answer(200, self._state(job))

    @staticmethod
    def _state(job: Job) -> dict[str, Any]:
        running = sum(placed.state == wire.RUNNING for placed in job.placements.values())
        stage = job.reported_stage or (wire.RUNNING if running else wire.PENDING)
        done = len(job.done_tasks)
        if stage in (wire.PENDING, wire.RUNNING):
            done = min(done, job.spec.tasks - 1) if job.spec.job_kind != wire.SERVICE else done
        status = wire.job_status(job.spec.ref, stage, done, running)
        if job.spec.job_kind == wire.GANG and not job.reported_stage:
            status["try"] = job.newest_attempt
            status["waiting"] = sum(
                placed.state == wire.WAITING for placed in job.placements.values()
            )
        return status

    def _confirmed(self, answer: Answer, then: Callable[[], None]) -> None:
        def told(leading: bool) -> None:
            if leading and self.term.active:
                then()
            else:
                answer(503, None)

        self.ledger.confirm_leadership(told)

    def cancel(self, ref: str, answer: Answer) -> None:
        """Stops the job; it is told as cancelled once each placement is proven over.

        A promise that hung on leases or on the cloud could be broken by a cut together with an
        outage. Who asks while a machine of the job is silent is told at once to ask again.
        """
        job = self.ledger.state.jobs_by_ref.get(ref)
        if job is None or job.reported_stage or not job.is_committed:
            self.query_status(ref, answer)
            return
        if job.is_done:
            # Its end is being committed.
            answer(503, None)
            return
        if any(self._silent(placed) for placed in job.placements.values()):
            answer(503, None)
        else:
            self._cancelling.setdefault(job.number, []).append(answer)
        if job.is_cancelled:
            return

        def committed() -> None:
            job.is_cancellation_committed = True
            self._stop_cancelled(job)
            self.conclude_job(job)

        self.ledger.propose(JobCancelled(job.number), committed)
        job.cancelled_at = self.runtime.now()
        if not job.placements:
            self.live_jobs.pop(job.number, None)
        log.info(
            "event=cancel term=%d job=%s placed=%d", self.term.number, ref, len(job.placements)
        )

    def _silent(self, placed: Placement) -> bool:
        machine = self.fleet.machines.get(placed.machine)
        if machine is None or not machine.is_reconciled:
            return True
        return self.runtime.now() - machine.last_heartbeat_at > self.policy.machine_suspect

    def conclude_job(self, job: Job) -> None:
        """After a commit: a cancelled job of which nothing is left is told as cancelled."""
        if (
            job.is_cancellation_committed
            and not job.reported_stage
            and not job.placements
            and not job.uncommitted_ends
        ):
            job.reported_stage = wire.ABORTED
            for answer in self._cancelling.pop(job.number, ()):
                answer(200, wire.job_status(job.spec.ref, wire.ABORTED))

    def _stop_cancelled(self, job: Job) -> None:
        for placed in list(job.placements.values()):
            if placed.is_committed:
                self.commands.stop_task(placed, 0.0)

    def expected_run_s(self, spec: wire.Spec) -> float:
        """How long a task is expected to take room."""
        return (
            spec.estimated_run_s
            if spec.job_kind != wire.SERVICE and spec.estimated_run_s
            else self.policy.plan_horizon
        )

    @property
    def gpu_reservations(self) -> placement.GpuNeeds:
        """What GPU tasks need beside their GPUs."""
        return self.shapes.gpu_reservations

    def excluded_zones(self, job: Job, leaving: Placement | None = None) -> frozenset[str]:
        """The zones in which none of the job's tasks may be placed now.

        `leaving`: a placement that is not counted.
        """
        spec = job.spec
        if not job.placements:
            return NO_ZONES
        if spec.one_zone:
            taken = job.zone_counts.keys()
            return frozenset(zone for zone in self.fleet.zones if taken != {zone})
        if not spec.spread:
            return NO_ZONES
        left = leaving.zone if leaving else None
        return frozenset(
            zone
            for zone, count in job.zone_counts.items()
            if count - (zone == left) >= spec.zone_share
        )

    def is_within_limit(self, spec: wire.Spec, count: int = 1) -> bool:
        team = self.term.limits.find_team(spec.team)
        if team is None:
            return False
        cores, gpus = self.term.team_usage(spec.team)
        return not (
            (team.cores_max and cores + spec.cores * count > team.cores_max + placement.SLACK)
            or (team.gpus_max and gpus + spec.gpus * count > team.gpus_max + placement.SLACK)
        )
