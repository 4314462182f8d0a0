"""Users' jobs: acceptance, states, cancellations, and the order in which they wait."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from .. import placement, wire
from ..forecast import Arrivals, Shape
from ..ledger import book as records
from ..ledger.book import Job, Placement
from ..urgency import Due, levels
from .orders import Orders
from .term import Term, TermActor

log = logging.getLogger(__name__)

Answer = Callable[[int, Any], None]
MOST_BACKLOG = 2000
NO_DUE_TIME = 1000
"""The level of best-effort jobs that nobody expects by any time: after all others."""
BEGIN_SHARE = 0.7
"""Of the time within which an aim wants a class to begin: who still waits then goes first."""


class Jobs(TermActor):
    """Owns the jobs that are not over, and what is asked for by shape."""

    def __init__(self, term: Term, orders: Orders) -> None:
        super().__init__(term)
        self.orders = orders
        self.live: dict[int, Job] = {}
        self.arrivals = Arrivals(self.policy.plan_horizon, self.policy.plan_step * 2)
        self.specs: dict[Shape, wire.Spec] = {}
        self.needs = placement.GpuNeeds()
        self.beyond: set[int] = set()
        """Jobs that reach beyond their team's guarantee, as of the last count."""
        self._waiting: dict[int, Job] = {}
        """Jobs that may have waiting tasks. A pass over all live jobs cost more than what it was
        for.
        """
        self._claims: dict[str, tuple[float, float]] = {}
        """What each team's unfinished jobs take together, as of the last count."""
        self._counted_at = float("-inf")
        self.backoff: dict[int, float] = {}
        self.suspects: set[int] = set()
        """Jobs that seem to be submitted with a mistake: one of their tasks at a time is tried."""
        self._cancelling: dict[int, list[Answer]] = {}
        """Who waits to hear that a job is cancelled. Those who wait for too long were answered 503
        by their node.
        """
        self._levels: dict[int, int] = {}
        """For which of its due times a waiting job is to be in time, where there is not room for
        all.
        """
        self._begin_within: dict[str, float] = {}
        self._finish_within: dict[str, list[float]] = {}
        self._late_times: dict[str, list[float]] = {}
        for aim in self.settings.objectives:
            if aim.kind == "deadline" and aim.lane is not None and aim.times != 1.0:
                self._late_times.setdefault(aim.lane, []).append(aim.times)
            if aim.kind == "wait" and aim.lane is not None and aim.within:
                self._begin_within[aim.lane] = min(
                    aim.within * BEGIN_SHARE, self.policy.begin_latest
                )
            if aim.kind == "finished" and aim.lane is not None and aim.within:
                self._finish_within.setdefault(aim.lane, []).append(aim.within)

    def recall(self) -> None:
        """Takes up what the ledger holds."""
        now = self.runtime.now()
        for job in self.ledger.book.jobs.values():
            if not job.final or job.placed:
                self.live[job.no] = job
                self._waiting[job.no] = job
                self._note_spec(job)
            job.waits_since = now
            if job.cancelled:
                job.cancelled_at = now

    def submit(self, spec: wire.Spec, answer: Answer) -> None:
        """Accepts, or says why not; each answer follows a commit or a confirmed leadership."""
        ref = spec.ref
        if ref in self.ledger.book.finals or ref in self.ledger.book.by_ref:
            self.poll(ref, answer)
            return
        if not self.term.kinds or self.ledger.backlog > MOST_BACKLOG:
            answer(503, None)
            return
        refusal = self._refusal(spec)
        if refusal:
            self._confirmed(answer, lambda: answer(422, {"error": refusal}))
            return
        now = self.runtime.now()
        no = self.ledger.book.next_no
        record = [records.JOB, no, round(self.runtime.wall(), 1), *msgspec.to_builtins(spec)]

        def committed() -> None:
            job.committed = True
            answer(201, wire.job_status(ref, wire.PENDING))

        self.ledger.propose(record, committed)
        job = self.ledger.book.jobs[no]
        job.known_at = job.waits_since = now
        self.live[no] = job
        self._waiting[no] = job
        self._claim(job)
        self._note_spec(job)
        self.arrivals.note(spec.lane, spec.tasks, self.run_length(spec), now)
        self.term.request_pass()

    def _refusal(self, spec: wire.Spec) -> str | None:
        team = self.settings.teams.get(spec.team)
        if team is None:
            return "unknown team"
        if not any(
            placement.allowed(spec, kind, zone, False)
            for kind in self.term.kinds.values()
            for zone in kind.zones
        ):
            return "no allowed machine type holds a task"
        count = 1 if spec.kind == wire.ARRAY else spec.tasks
        over = (team.cores_max and spec.cores * count > team.cores_max + placement.SLACK) or (
            team.gpus_max and spec.gpus * count > team.gpus_max + placement.SLACK
        )
        return "more than the team's limit" if over else None

    def poll(self, ref: str, answer: Answer) -> None:
        """A job's state: a final one at once, any other after leadership is confirmed."""
        job = self.ledger.book.by_ref.get(ref)
        if job is None and ref in self.ledger.book.finals:
            answer(200, wire.job_status(ref, self.ledger.book.finals[ref]))
        elif job is not None and job.told:
            answer(200, self._state(job))
        else:
            self._confirmed(answer, lambda: self._tell_state(ref, answer))

    def _tell_state(self, ref: str, answer: Answer) -> None:
        job = self.ledger.book.by_ref.get(ref)
        if job is None:
            stage = self.ledger.book.finals.get(ref)
            answer(200 if stage else 404, wire.job_status(ref, stage) if stage else None)
        elif not job.committed:
            # Its acceptance is under way: neither known nor unknown until the commit ends.
            answer(503, None)
        else:
            answer(200, self._state(job))

    @staticmethod
    def _state(job: Job) -> dict[str, Any]:
        running = sum(placed.state == wire.RUNNING for placed in job.placed.values())
        stage = job.told or (wire.RUNNING if running else wire.PENDING)
        done = len(job.done_tasks)
        if stage in (wire.PENDING, wire.RUNNING):
            done = min(done, job.spec.tasks - 1) if job.spec.kind != wire.SERVICE else done
        return wire.job_status(job.spec.ref, stage, done, running)

    def _confirmed(self, answer: Answer, then: Callable[[], None]) -> None:
        def told(leading: bool) -> None:
            if leading and self.term.active:
                then()
            else:
                answer(503, None)

        self.ledger.confirm(told)

    def cancel(self, ref: str, answer: Answer) -> None:
        """Stops the job; it is told as cancelled once each placement is proven over.

        A promise that hung on leases or on the cloud could be broken by a cut together with an
        outage. Who asks while a machine of the job is silent is told at once to ask again.
        """
        job = self.ledger.book.by_ref.get(ref)
        if job is None or job.told or not job.committed:
            self.poll(ref, answer)
            return
        if job.done:
            # Its end is being committed.
            answer(503, None)
            return
        if any(self._silent(placed) for placed in job.placed.values()):
            answer(503, None)
        else:
            self._cancelling.setdefault(job.no, []).append(answer)
        if job.cancelled:
            return

        def committed() -> None:
            job.ending = True
            self._stop_cancelled(job)
            self.settle(job)

        self.ledger.propose([records.CANCELLED, job.no], committed)
        job.cancelled_at = self.runtime.now()
        if not job.placed:
            self.live.pop(job.no, None)
        log.info("event=cancel term=%d job=%s placed=%d", self.term.number, ref, len(job.placed))

    def _silent(self, placed: Placement) -> bool:
        machine = self.fleet.machines.get(placed.machine)
        if machine is None or not machine.baseline:
            return True
        return self.runtime.now() - machine.heard_at > self.policy.machine_suspect

    def settle(self, job: Job) -> None:
        """After a commit: a cancelled job of which nothing is left is told as cancelled."""
        if job.ending and not job.told and not job.placed and not job.leaving:
            job.told = wire.ABORTED
            for answer in self._cancelling.pop(job.no, ()):
                answer(200, wire.job_status(job.spec.ref, wire.ABORTED))

    def _stop_cancelled(self, job: Job) -> None:
        for placed in list(job.placed.values()):
            if placed.committed:
                self.orders.stop(placed, 0.0)

    def run_length(self, spec: wire.Spec) -> float:
        """How long a task is expected to take room."""
        return (
            spec.estimate if spec.kind == wire.ARRAY and spec.estimate else self.policy.plan_horizon
        )

    def _note_spec(self, job: Job) -> None:
        self.specs[job.shape] = job.spec
        if job.spec.gpus:
            self.needs = placement.gpu_needs(self.specs.values())

    def waits_again(self, job: Job) -> None:
        """A task of the job is to be placed anew."""
        if job.no not in self._waiting:
            job.waits_since = self.runtime.now()
        self._waiting[job.no] = job

    def waiting(self) -> list[Job]:
        """The jobs with waiting tasks, in no order."""
        over = [no for no, job in self._waiting.items() if not job.waiting]
        for no in over:
            del self._waiting[no]
        return list(self._waiting.values())

    def queue(self) -> list[Job]:
        """Jobs with waiting tasks, in the order in which they are placed.

        By rank, those within their team's guarantee first, then those that can still be in time,
        the most pressing of them first, then by age.
        """
        waiting = self.waiting()
        if not waiting:
            return waiting
        if self.runtime.now() - self._counted_at > self.policy.retry / 2:
            self._count_claims()
            self._choose_levels(waiting)
        wall = self.runtime.wall()
        keyed = [
            (
                (
                    wire.RANKS[job.spec.rank],
                    job.no in self.beyond,
                    *self.urgency(job, wall),
                    job.no,
                ),
                job,
            )
            for job in waiting
        ]
        keyed.sort(key=lambda entry: entry[0])
        return [job for _, job in keyed]

    def _count_claims(self) -> None:
        """Counts anew who reaches beyond a guarantee; in between only new jobs are added."""
        self._counted_at = self.runtime.now()
        self._claims, self.beyond = {}, set()
        for job in self.live.values():
            if not job.final:
                self._claim(job)

    def _claim(self, job: Job) -> None:
        spec = job.spec
        cores, gpus = self._claims.get(spec.team, (0.0, 0.0))
        left = spec.tasks - len(job.done_tasks)
        self._claims[spec.team] = cores, gpus = cores + spec.cores * left, gpus + spec.gpus * left
        team = self.term.limits.of(spec.team)
        # A team without any guarantee is beyond it with its first task.
        if (
            team is None
            or not (team.cores or team.gpus)
            or (team.cores and cores > team.cores)
            or (team.gpus and gpus > team.gpus)
        ):
            self.beyond.add(job.no)

    def urgency(self, job: Job, wall: float) -> tuple[int, float]:
        """The due time that the job is to meet, and when it must start for that."""
        spec = job.spec
        begin_within = self._begin_within.get(spec.lane, self.policy.begin_latest)
        may_wait = spec.kind == wire.SERVICE or (spec.best_effort and job.begun)
        if wall - job.at > begin_within and not may_wait:
            # Those left out for being large must begin all the same.
            return -1, job.at
        latest = self._latest(job)
        if spec.best_effort and not latest:
            return NO_DUE_TIME, job.at
        level = max(sum(wall > time for time in latest), self._levels.get(job.no, 0))
        return (level, latest[level]) if level < len(latest) else (len(latest), 0.0)

    def _latest(self, job: Job) -> tuple[float, ...]:
        """By when its tasks must start for each of its due times."""
        spec = job.spec
        dues = list(self._finish_within.get(spec.lane, ()))
        if spec.deadline is not None:
            dues.append(spec.deadline)
            # A deadline that is lost may leave a multiple of it to be kept.
            dues += [spec.deadline * times for times in self._late_times.get(spec.lane, ())]
        return tuple(job.at + due - spec.estimate for due in sorted(dues))

    def _choose_levels(self, waiting: list[Job]) -> None:
        """Chooses which waiting jobs are to be in time.

        Each class by what its running tasks can work off.
        """
        lanes: dict[str, list[Due]] = {}
        for job in waiting:
            if job.spec.kind != wire.SERVICE and job.no not in self.suspects:
                due = Due(job.no, self._latest(job), job.waiting * job.spec.estimate)
                lanes.setdefault(job.spec.lane, []).append(due)
        running: dict[str, int] = {}
        for job in self.live.values():
            running[job.spec.lane] = running.get(job.spec.lane, 0) + len(job.placed)
        self._levels = {}
        for lane, dues in lanes.items():
            self._levels |= levels(dues, self.runtime.wall(), max(1, running.get(lane, 0)))

    def zones_open(self, job: Job, leaving: Placement | None = None) -> dict[str, bool]:
        """Zones that the job's placements keep open or shut.

        `leaving` is not counted. Zones that are not named are open.
        """
        spec = job.spec
        if spec.one_zone and job.placed:
            taken = {placed.zone for placed in job.placed.values()}
            return {zone: taken == {zone} for zone in self.fleet.zones}
        if spec.spread:
            left = leaving.zone if leaving else None
            return {
                zone: False
                for zone in self.fleet.zones
                if job.zone_count(zone) - (zone == left) >= spec.zone_share
            }
        return {}

    def within_limit(self, spec: wire.Spec, count: int = 1) -> bool:
        team, usage = self.term.limits.of(spec.team), self.ledger.book.usage.get(spec.team)
        if team is None:
            return False
        cores, gpus = (usage.cores, usage.gpus) if usage else (0.0, 0.0)
        return not (
            (team.cores_max and cores + spec.cores * count > team.cores_max + placement.SLACK)
            or (team.gpus_max and gpus + spec.gpus * count > team.gpus_max + placement.SLACK)
        )
