"""The leader: decides, by the ledger and by what is proven about the machines.

It alone proposes records. What it decides goes out through the parts (the controllers that the live
view's hashing gives each machine to): they answer the machines' reports and carry its orders.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from . import consolidate, fill, placement, wire
from .actor import Actor
from .cloud import MOST_RELEASED, MOST_RENTED, Cloud
from .election import Election
from .fill import Bin, Demand, Pool
from .fleet import Machine
from .forecast import Arrivals, Shape
from .ledger.book import Book, Job, Placement
from .ledger.commit import Ledger
from .loop import Runtime
from .policy import Policy
from .settings import Settings

log = logging.getLogger(__name__)

Answer = Callable[[int, Any], None]
MOST_BACKLOG = 2000


def replace_prices(kind: wire.MachineType) -> wire.MachineType:
    """The type without what moves all the time."""
    return msgspec.structs.replace(kind, spot_price=0.0)


class Carrier:
    """How the leader's orders and questions reach machines; the dispatch actor implements it."""

    def carry(
        self, server: str | None, machine: str, address: str, body: dict[str, Any] | None,
        done: Callable[[int, bytes], None],
    ) -> None:  # fmt: skip
        """Orders (or, with no body, a status question); `done(0, b"")` when no answer came."""
        raise NotImplementedError

    def known_machines(self) -> list[wire.Report]:
        """The last reports that this node took itself, for a leader that has just begun."""
        raise NotImplementedError


class Leader(Actor):
    """The leader's decisions. Does nothing while this node doesn't lead."""

    def __init__(
        self, runtime: Runtime, settings: Settings, policy: Policy, ledger: Ledger, cloud: Cloud,
        election: Election, carrier: Carrier, rng: random.Random,
    ) -> None:  # fmt: skip
        super().__init__(runtime)
        self._settings, self._policy, self._ledger, self._cloud = settings, policy, ledger, cloud
        self._election, self._carrier, self._rng = election, carrier, rng
        self.active = False
        self.looked = 0
        """Machines that the scheduler looked at, in all."""
        self._term = 0
        self._beyond: set[int] = set()
        self._finish_within: dict[str, list[float]] = {}
        for aim in settings.objectives:
            if aim.kind == "finished" and aim.lane is not None and aim.within:
                self._finish_within.setdefault(aim.lane, []).append(aim.within)
        # Lanes whose wait aim no new machine can meet: room for their next job must be there before it.
        self._reserve = {
            aim.lane for aim in settings.objectives
            if aim.kind == "wait" and aim.lane is not None and aim.within < settings.lease_s
        }  # fmt: skip
        self.kinds: dict[str, wire.MachineType] = {}
        self._reset()
        self.every(policy.retry, self._watch)
        self.every(policy.plan_step, self._plan)
        self.every(max(settings.list_lag_s, policy.plan_step), self._list)

    def _reset(self) -> None:
        self.machines: dict[str, Machine] = {}
        self._gone: set[str] = set()
        self._live: dict[int, Job] = {}
        self._arrivals = Arrivals(self._policy.plan_horizon, self._policy.plan_step * 2)
        self._outbox: dict[str, list[tuple[dict[str, Any], Placement | None]]] = {}
        self._kicked = False
        self._next_pass = 0.0
        self._zones = set(self._settings.zones)
        self._began = self.runtime.now()
        self._hires = 0
        self._turns = 0
        self._moving: str | None = None
        self._moving_since = 0.0
        self._pending_hires: dict[str, tuple[Pool, int, float]] = {}
        self._resting: dict[Pool, float] = {}
        self._refusals: dict[Pool, int] = {}
        self._replanning = False
        self._errors: dict[str, set[str]] = {}
        self._backoff: dict[int, float] = {}
        self._needs = placement.GpuNeeds()
        self._specs: dict[Shape, wire.Spec] = {}
        self._releasing_now = False
        self._running: dict[str, int] = {}
        self._reserved: dict[str, dict[tuple[int, int], tuple[int, float, wire.Spec]]] = {}
        self._preempted: dict[tuple[int, int], float] = {}
        self._exits: dict[tuple[str, str, int], Placement] = {}

    @property
    def book(self) -> Book:
        return self._ledger.book

    # Leading begins and ends

    def on_begin(self, term: int, version: int) -> None:
        self._reset()
        self.active, self._term = False, term
        self._cloud.forget()
        self._ledger.open(version, self._ready)

    def on_end(self) -> None:
        if self.active or self._term:
            self.active = False
            self._ledger.close()
            self._cloud.forget()
            self._reset()

    def _ready(self) -> None:
        now = self.runtime.now()
        self.active = True
        self._began = now
        self._election.ready = True
        for job in self.book.jobs.values():
            if not job.final or job.placed:
                self._live[job.no] = job
                self._note_spec(job.spec)
            if job.cancelled:
                job.cancelled_at = now
        for report in self._carrier.known_machines():
            machine = self._adopt(report.machine, report.type, report.zone, report.spot)
            machine.address, machine.booting = report.address, False
            machine.session = report.session
        for name, there in self.book.on_machine.items():
            # Its type is not known before it reports or is listed.
            self._adopt(name, "", next(iter(there.values())).zone, False).booting = False
        for machine in self.machines.values():
            machine.heard_at = now + self._policy.settle / 2
            self._push_token(machine)
        if not self.kinds:
            kinds = msgspec.convert(self.book.catalog, list[wire.MachineType])
            self.kinds = {kind.name: kind for kind in kinds}
        self._learn_kinds(term=self._term)
        self._list()
        self._kick()

    def _learn_kinds(self, term: int) -> None:
        """Asks for the catalogue again and again: spot prices move."""

        def told(kinds: list[wire.MachineType] | None) -> None:
            if term != self._term or not self.active:
                return
            self.later(self._policy.plan_lead if kinds else self._policy.retry * 2, self._learn_kinds, term)
            if kinds is None:
                return
            self.kinds = {kind.name: kind for kind in kinds}
            known = msgspec.convert(self.book.catalog, list[wire.MachineType])
            if [replace_prices(kind) for kind in known] != [replace_prices(kind) for kind in kinds]:
                self._ledger.propose(["K", msgspec.to_builtins(kinds)])
            self._kick()

        self._cloud.catalog(told)

    # Users

    def submit(self, spec: wire.Spec, answer: Answer) -> None:
        """Accepts, or says why not; each answer follows a commit or a confirmed leadership."""
        if not self.active:
            answer(503, None)
            return
        ref = spec.ref
        if ref in self.book.finals or ref in self.book.by_ref:
            self._status(ref, answer)
            return
        if not self.kinds or self._ledger.backlog > MOST_BACKLOG:
            answer(503, None)
            return
        refusal = self._refusal(spec)
        if refusal:
            self._confirmed(answer, lambda: answer(422, {"error": refusal}))
            return
        now = self.runtime.now()
        no = self.book.next_no
        record = ["J", no, round(self.runtime.wall(), 1), *msgspec.to_builtins(spec)]

        def committed() -> None:
            job.committed = True
            answer(201, wire.job_status(ref, wire.PENDING))

        self._ledger.propose(record, committed)
        job = self.book.jobs[no]
        job.known_at = now
        self._live[no] = job
        self._note_spec(spec)
        self._arrivals.note(spec.lane, spec.tasks, now)
        self._kick()

    def _refusal(self, spec: wire.Spec) -> str | None:
        team = self._settings.teams.get(spec.team)
        if team is None:
            return "unknown team"
        if not any(
            placement.allowed(spec, kind, zone, False) for kind in self.kinds.values() for zone in kind.zones
        ):
            return "no allowed machine type holds a task"
        count = 1 if spec.kind == wire.ARRAY else spec.tasks
        over = (team.cores_max and spec.cores * count > team.cores_max + placement.SLACK) or (
            team.gpus_max and spec.gpus * count > team.gpus_max + placement.SLACK
        )
        return "more than the team's limit" if over else None

    def poll(self, ref: str, answer: Answer) -> None:
        if not self.active:
            answer(503, None)
            return
        self._status(ref, answer)

    def _status(self, ref: str, answer: Answer) -> None:
        job = self.book.by_ref.get(ref)
        if job is None and ref in self.book.finals:
            answer(200, wire.job_status(ref, self.book.finals[ref]))
        elif job is not None and job.told:
            answer(200, self._state(job))
        else:
            self._confirmed(answer, lambda: self._tell_state(ref, answer))

    def _tell_state(self, ref: str, answer: Answer) -> None:
        job = self.book.by_ref.get(ref)
        if job is None:
            stage = self.book.finals.get(ref)
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
            if leading and self.active:
                then()
            else:
                answer(503, None)

        self._ledger.confirm(told)

    def cancel(self, ref: str, answer: Answer) -> None:
        if not self.active:
            answer(503, None)
            return
        job = self.book.by_ref.get(ref)
        if job is None or job.told or not job.committed:
            self._status(ref, answer)
            return
        if job.done or job.cancelled:
            # Its end is being committed.
            answer(503, None)
            return
        if any(self._out_of_reach(placed) for placed in job.placed.values()):
            # A promise that we might not keep: the machine is silent and the cloud can't take it back.
            answer(503, None)
            return

        def committed() -> None:
            job.told = wire.ABORTED
            answer(200, wire.job_status(ref, wire.ABORTED))
            self._stop_cancelled(job)

        self._ledger.propose(["C", job.no], committed)
        job.cancelled_at = self.runtime.now()
        if not job.placed:
            self._live.pop(job.no, None)
        log.info("event=cancel term=%d job=%s placed=%d", self._term, ref, len(job.placed))

    def _out_of_reach(self, placed: Placement) -> bool:
        machine = self.machines.get(placed.machine)
        now = self.runtime.now()
        return (
            machine is not None
            and now - machine.heard_at > self._policy.machine_silence
            and now - self._cloud.troubled_at < self._policy.settle
            and self._cloud.troubled_at > self._cloud.contact
        )

    def _stop_cancelled(self, job: Job) -> None:
        for placed in list(job.placed.values()):
            if placed.committed:
                self._stop(placed, 0.0)

    # Reports

    def on_report(self, server: str, report: wire.Report) -> None:
        """A worker's report, taken by the part `server`, or the body of an orders' answer."""
        if not self.active or report.machine in self._gone:
            return
        now = self.runtime.now()
        machine = self.machines.get(report.machine)
        if machine is None:
            log.info("event=adopt term=%d machine=%s", self._term, report.machine)
            machine = self._adopt(report.machine, report.type, report.zone, report.spot)
        if not machine.kind:
            machine.kind, machine.spot = report.type, report.spot
        if not machine.newer(report.session, report.sequence):
            return
        if machine.booting:
            machine.booting = False
            machine.up_at = machine.idle_since = now
            log.info("event=machine_up term=%d machine=%s type=%s zone=%s spot=%s after=%.1f", self._term,
                     machine.name, machine.kind, machine.zone, machine.spot, now - machine.rented_at)  # fmt: skip
            self._kick()
        machine.address, machine.server = report.address, server
        if not (machine.baseline and report.token < self._term):
            machine.heard_at = max(machine.heard_at, now)
        machine.failed_probes = 0
        if report.token != self._term:
            # Not made under our token: no proof of anything. Answering gives it the token.
            machine.session = max(machine.session, report.session)
            return
        if report.session > machine.session:
            machine.images.clear()
        machine.session, machine.sequence = report.session, report.sequence
        if not machine.baseline:
            machine.baseline = True
            self._kick()
        if report.notice is not None and machine.notice_until is None:
            self._noticed(machine, report.notice)
        listed = {(task.task, task.attempt): task for task in report.tasks}
        for placed in list(machine.placements.values()):
            self._compare(machine, placed, listed.pop((placed.name, placed.attempt), None))
        for left in listed.values():
            self._unplaced(machine, left)

    def _compare(self, machine: Machine, placed: Placement, task: wire.TaskReport | None) -> None:
        """What a believed report says of one placement."""
        now = self.runtime.now()
        if task is None:
            if placed.launch_session:
                if placed.launch_session < machine.session:
                    self._over(placed, False, "session")
                elif not placed.seen and now - placed.sent_at > self._policy.order_call and not placed.job.cancelled:
                    self._launch(placed)
                elif not placed.seen and placed.job.cancelled and placed.open == 0:
                    self._over(placed, False, "never launched")
            elif placed.inherited:
                self._over(placed, False, "absent")
            return
        placed.seen = True
        if task.state == wire.EXITED:
            self._exited(machine, placed, task)
            return
        if task.state != placed.state:
            placed.state = task.state
            if task.state == wire.RUNNING and placed.ran_at is None:
                placed.ran_at = now
                log.debug("event=running term=%d task=%s lane=%s attempt=%d machine=%s type=%s spot=%s queued=%.2f "
                          "starting=%.2f cached=%s",
                          self._term, placed.name, placed.job.spec.lane, placed.attempt, machine.name,
                          machine.kind, machine.spot,
                          placed.proposed_at - placed.job.known_at, now - placed.proposed_at,
                          placed.job.spec.image in machine.images)  # fmt: skip
                kind = self.kinds.get(machine.kind)
                machine.note_image(placed.job.spec.image, placed.job.spec.image_gb, kind.cache if kind else 0.0)
        if placed.job.cancelled and placed.job.told and now - placed.sent_at > self._policy.retry:
            self._stop(placed, 0.0)

    def _exited(self, machine: Machine, placed: Placement, task: wire.TaskReport) -> None:
        cause, ref = task.cause, placed.job.spec.ref
        if cause == wire.CAUSE_DONE:
            machine.errors.clear()
        elif cause == wire.CAUSE_ERROR:
            machine.errors[ref] = machine.errors.get(ref, 0) + 1
            tried = self._errors.setdefault(ref, set())
            tried.add(machine.name)
            self._backoff[placed.job.no] = self.runtime.now() + self._policy.retry * min(2 ** len(tried), 64)
            log.info("event=task_error term=%d task=%s machine=%s", self._term, placed.name, machine.name)
            if len(machine.errors) >= 2 and not machine.draining:
                log.info("event=machine_faulty term=%d machine=%s", self._term, machine.name)
                machine.draining = True
        elif cause in (wire.CAUSE_FULL, wire.CAUSE_IN_USE, wire.CAUSE_UNKNOWN):
            self._backoff[placed.job.no] = self.runtime.now() + self._policy.retry * 2
            log.info("event=refused term=%d task=%s machine=%s cause=%s", self._term, placed.name, machine.name, cause)
        self._exits[machine.name, placed.name, placed.attempt] = placed
        self._over(placed, cause == wire.CAUSE_DONE, cause or "exited")

    def _unplaced(self, machine: Machine, task: wire.TaskReport) -> None:
        """A task on the machine that the ledger does not place there."""
        if task.state != wire.EXITED:
            log.warning("event=stray term=%d task=%s attempt=%d machine=%s", self._term, task.task, task.attempt,
                        machine.name)  # fmt: skip
            self._order(machine, wire.stop(task.task, task.attempt, 0.0), None)
            return
        # Forget it only when no copy of its launch can still arrive: one would start it again.
        ended = self._exits.get((machine.name, task.task, task.attempt))
        if ended is None:
            self._order(machine, wire.forget(task.task, task.attempt), None)
        elif ended.open == 0 and not ended.committed:
            del self._exits[machine.name, task.task, task.attempt]
            self._order(machine, wire.forget(task.task, task.attempt), None)

    def _over(self, placed: Placement, done: bool, why: str) -> None:
        """The placement is proven over: the record, and then whatever waits for it."""
        job, now = placed.job, self.runtime.now()
        machine = self.machines.get(placed.machine)
        log.debug("event=over term=%d task=%s attempt=%d machine=%s why=%s", self._term, placed.name, placed.attempt,
                  placed.machine, why)  # fmt: skip

        def committed() -> None:
            placed.committed = False
            if job.done and not job.told:
                job.told = wire.DONE
                log.info("event=job_done term=%d job=%s", self._term, job.spec.ref)

        self._ledger.propose(["E", job.no, placed.task, placed.attempt, done], committed)
        if machine is not None:
            machine.free(placed, now)
        if job.final and not job.placed:
            self._live.pop(job.no, None)
            self._errors.pop(job.spec.ref, None)
        self._kick()

    def _noticed(self, machine: Machine, notice: float) -> None:
        """The cloud takes the machine: save what can be saved, place nothing more."""
        now = self.runtime.now()
        machine.notice_until = now + notice
        machine.draining = True
        log.info("event=notice term=%d machine=%s in=%.1f tasks=%d", self._term, machine.name, notice,
                 len(machine.placements))  # fmt: skip
        for placed in machine.placements.values():
            spec = placed.job.spec
            if spec.checkpoint and placed.state == wire.RUNNING and spec.save < notice:
                self._stop(placed, spec.save)
            elif spec.kind != wire.SERVICE and not spec.checkpoint:
                # What can't end before the machine is taken is lost either way: better begun elsewhere now.
                left = spec.estimate - (now - placed.ran_at) if placed.ran_at is not None else spec.estimate
                if left > 1.5 * notice:
                    self._stop(placed, 0.0)
        self._kick()

    # Orders

    def _order(self, machine: Machine, order: dict[str, Any], launched: Placement | None) -> None:
        if not self._outbox:
            self.runtime.soon(self._send)
        self._outbox.setdefault(machine.name, []).append((order, launched))

    def _launch(self, placed: Placement) -> None:
        machine = self.machines.get(placed.machine)
        if machine is None:
            return
        placed.sent_at = self.runtime.now()
        self._order(machine, wire.launch(placed.name, placed.attempt), placed)

    def _stop(self, placed: Placement, grace: float) -> None:
        machine = self.machines.get(placed.machine)
        if machine is None:
            return
        now = self.runtime.now()
        placed.sent_at = now
        if placed.stopping_at is None:
            placed.stopping_at = now
        self._order(machine, wire.stop(placed.name, placed.attempt, grace), None)

    def _send(self) -> None:
        outbox, self._outbox = self._outbox, {}
        for name, entries in outbox.items():
            machine = self.machines.get(name)
            if machine is None:
                continue
            # A placement may have been proven over while its launch waited here.
            entries = [
                (order, placed)
                for order, placed in entries
                if placed is None or placed.job.placed.get(placed.task) is placed
            ]
            for start in range(0, len(entries), 200):
                part = entries[start : start + 200]
                self._carry(machine, [order for order, _ in part], [placed for _, placed in part if placed])

    def _carry(self, machine: Machine, orders: list[dict[str, Any]], launched: list[Placement]) -> None:
        term, server = self._term, machine.server
        for placed in launched:
            # Set as the order leaves: this session is the last in which a copy of it can be executed.
            placed.launch_session = max(placed.launch_session, machine.session)
            placed.open += 1

        def told(status: int, body: bytes) -> None:
            if status in (200, 409):
                for placed in launched:
                    placed.open -= 1
                machine.orders_failed = 0
                self._answered(term, server, body)
            else:
                machine.orders_failed += 1

        self._carrier.carry(
            server, machine.name, machine.address, wire.orders_body(term, machine.session, orders), told
        )  # fmt: skip

    def _answered(self, term: int, server: str | None, body: bytes) -> None:
        if term != self._term or not self.active:
            return
        try:
            report = msgspec.msgpack.decode(body, type=wire.Report)
        except msgspec.DecodeError as fault:
            log.warning("a worker's answer: %s", fault)
            return
        if report.token > self._term:
            log.info("event=higher_token term=%d token=%d machine=%s", self._term, report.token, report.machine)
            return
        self.on_report(server or "", report)

    def _push_token(self, machine: Machine) -> None:
        """An empty order: it raises the worker's token, and its answer is the baseline."""
        if machine.address:
            machine.session = max(machine.session, 1)
            self._carry(machine, [], [])

    # Placing

    def _kick(self) -> None:
        if not self._kicked and self.active:
            self._kicked = True
            self.later(max(0.002, self._next_pass - self.runtime.now()), self._schedule, self._term)

    def _note_spec(self, spec: wire.Spec) -> None:
        self._specs[Shape.of(spec)] = spec
        if spec.gpus:
            self._needs = placement.gpu_needs(self._specs.values())

    def _usable(self) -> list[Machine]:
        now = self.runtime.now()
        return [
            machine
            for machine in self.machines.values()
            if machine.baseline and not machine.draining and not machine.releasing and machine.kind in self.kinds
            and now - machine.heard_at < self._policy.machine_suspect and machine.orders_failed < 2
        ]  # fmt: skip

    def _queue(self) -> list[Job]:
        """Jobs with waiting tasks: by rank, those within their team's guarantee first, then those that
        can still be in time, the most pressing of them first, then by age."""
        used: dict[str, tuple[float, float]] = {}
        waiting: list[tuple[tuple[int, bool, int, float, int], Job]] = []
        wall = self.runtime.wall()
        self._beyond = set()
        for job in self._live.values():
            if job.final:
                continue
            spec = job.spec
            cores, gpus = used.get(spec.team, (0.0, 0.0))
            left = spec.tasks - len(job.done_tasks)
            cores, gpus = cores + spec.cores * left, gpus + spec.gpus * left
            used[spec.team] = cores, gpus
            team = self._settings.teams.get(spec.team)
            beyond = team is None or (bool(team.cores) and cores > team.cores) or (
                bool(team.gpus) and gpus > team.gpus)  # fmt: skip
            if beyond:
                self._beyond.add(job.no)
            if job.waiting:
                waiting.append(((wire.RANKS[spec.rank], beyond, *self._urgency(job, wall), job.no), job))
        waiting.sort(key=lambda entry: entry[0])
        return [job for _, job in waiting]

    def _urgency(self, job: Job, wall: float) -> tuple[int, float]:
        """How many of the job's due times are past saving, and when it must start for the next one."""
        spec = job.spec
        dues = list(self._finish_within.get(spec.lane, ()))
        if spec.deadline is not None:
            dues.append(spec.deadline)
        lost = 0
        for due in sorted(dues):
            latest = job.at + due - spec.estimate
            if wall <= latest:
                return lost, latest
            lost += 1
        return lost, 0.0

    def _schedule(self, term: int) -> None:
        self._kicked = False
        if not self.active or term != self._term or not self.kinds:
            return
        if self._ledger.backlog > MOST_BACKLOG:
            self._kick_later()
            return
        now = self.runtime.now()
        stock = placement.Stock(self._usable(), self.kinds, self._rng)
        self._expire_claims(now)
        # Within a pass room only shrinks: what found none, its like needn't look for.
        full: set[tuple[Shape, frozenset[str]]] = set()
        firm: set[tuple[Shape, frozenset[str], str | None]] = set()
        for job in self._queue():
            if self._backoff.get(job.no, 0.0) > now:
                continue
            spec = job.spec
            shape = Shape.of(spec)
            if spec.kind == wire.GANG and not job.placed:
                self._place_gang(job, stock)
                continue
            rank = wire.RANKS[spec.rank]
            keep = self._unclaimed_by(rank) if self._reserved else None
            while job.waiting and self._within_limit(spec):
                zones = self._zones_open(job)
                shut = frozenset(zone for zone, is_open in zones.items() if not is_open)
                chosen = None
                if (shape, shut) not in full:
                    chosen = placement.choose(spec, job.no, stock, self._needs, self._policy.sample, zones, keep)
                if chosen is not None:
                    self._place(job, chosen)
                    continue
                full.add((shape, shut))
                # Batch work stops others for one task of a shape at a time. For services, who may be stopped
                # depends on the team too, while they are within its guarantee.
                kin = shape, shut, spec.team if spec.spread and job.no not in self._beyond else None
                if kin not in firm and not (self._preempt(job, stock, zones) and spec.spread):
                    firm.add(kin)
                break
        self.looked += stock.looked
        ended = self.runtime.now()
        self._next_pass = ended + self._policy.pass_rest * (ended - now)

    def _unclaimed_by(self, rank: int) -> Callable[[Machine], bool]:
        """Whether a machine's room is not claimed by somebody more important."""

        def keep(machine: Machine) -> bool:
            return all(rank <= claim[0] for claim in self._reserved.get(machine.name, {}).values())

        return keep

    def _expire_claims(self, now: float) -> None:
        """Drops the claims on room that were made good, or have waited too long."""
        kept = {}
        for name, claims in self._reserved.items():
            live = {
                key: claim for key, claim in claims.items()
                if claim[1] > now and (job := self.book.jobs.get(key[0])) is not None and key[1] not in job.placed
            }  # fmt: skip
            if live:
                kept[name] = live
        self._reserved = kept

    def _preempt(self, job: Job, stock: placement.Stock, zones: dict[str, bool]) -> bool:
        """Makes room for a task by stopping tasks of lower rank where, of a sample, the least work is lost.

        The machine is kept for that rank until the stopped tasks are proven gone. False: there is
        nobody to stop, for this job and its like."""
        now, spec, rank = self.runtime.now(), job.spec, wire.RANKS[job.spec.rank]
        key = (job.no, job.next_task())
        entitled = job.no not in self._beyond
        if rank > wire.RANKS["high"] and not entitled:
            return False
        if self._preempted.get(key, 0.0) > now:
            return True
        best: tuple[float, Machine, list[Placement]] | None = None
        found = 0
        for machine, kind in stock.walk(spec, zones):
            victims = self._victims(job, machine, kind, entitled, now)
            if not victims:
                continue
            loss = sum(self._loss(placed, now) for placed in victims)
            if best is None or loss < best[0]:
                best = loss, machine, victims
            found += 1
            if found >= self._policy.sample:
                break
        if best is None:
            return False
        loss, machine, victims = best
        until = now + 2 * self._policy.order_call + max(placed.job.spec.save for placed in victims)
        self._preempted[key] = until
        self._preempted = {key: until for key, until in self._preempted.items() if until > now}
        self._reserved.setdefault(machine.name, {})[key] = (rank, until, spec)
        log.info("event=preempt term=%d job=%s machine=%s stopped=%d loss=%.0f", self._term, spec.ref, machine.name,
                 len(victims), loss)  # fmt: skip
        for placed in victims:
            if placed.stopping_at is None:
                self._stop(placed, placed.job.spec.save)
        return True

    def _victims(
        self, job: Job, machine: Machine, kind: wire.MachineType, entitled: bool, now: float
    ) -> list[Placement]:  # fmt: skip
        """The tasks whose stop makes room for one of the job, those that lose least first; none: it can't."""
        spec, rank = job.spec, wire.RANKS[job.spec.rank]
        lower = [
            placed for placed in machine.placements.values()
            if placed.seen and (
                wire.RANKS[placed.job.spec.rank] > rank
                # A team's guarantee goes before what another team runs beyond its own; little may be lost.
                or (entitled and placed.job.no in self._beyond and placed.job.spec.team != spec.team
                    and placed.job.spec.kind != wire.SERVICE and self._loss(placed, now) < self._policy.settle)
            )
        ]  # fmt: skip
        if not lower:
            return []
        lower.sort(key=lambda placed: self._loss(placed, now))
        left, victims = placement.room(machine, kind), list[Placement]()
        for _, _, claim in self._reserved.get(machine.name, {}).values():
            # What is being stopped there makes room for another task; it can't make it twice.
            left = placement.Room(left.cores - claim.cores, left.gpus - claim.gpus, left.ram - claim.ram)
        for placed in lower:
            if left.holds(spec):
                break
            out = placed.job.spec
            left = placement.Room(left.cores + out.cores, left.gpus + out.gpus, left.ram + out.ram)
            victims.append(placed)
        fits = left.holds(spec) and placement.leaves_gpus_usable(spec, left, kind, self._needs)
        return victims if fits else []

    @staticmethod
    def _loss(placed: Placement, now: float) -> float:
        """Seconds of work that a stop throws away."""
        if placed.stopping_at is not None or placed.ran_at is None:
            return 0.0
        return placed.job.spec.save if placed.job.spec.checkpoint else now - placed.ran_at

    def _place_gang(self, job: Job, stock: placement.Stock) -> None:
        """A gang starts only when all its tasks have room at once; a lost one is replaced singly."""
        spec, count = job.spec, job.waiting
        if not self._within_limit(spec, count):
            return
        for zones in [{zone} for zone in sorted(self._zones)] if spec.one_zone else [self._zones]:
            chosen: list[Machine] = []
            for _ in range(count):
                counts = [machine.zone for machine in chosen]
                most = spec.zone_share if spec.spread else count
                opens = {zone: zone in zones and counts.count(zone) < most for zone in self._zones}
                machine = placement.choose(spec, job.no, stock, self._needs, self._policy.sample, opens)
                if machine is None:
                    break
                machine.claim(spec, 1)
                chosen.append(machine)
            for machine in chosen:
                machine.claim(spec, -1)
            if len(chosen) == count:
                for machine in chosen:
                    self._place(job, machine)
                return

    def _kick_later(self) -> None:
        self.later(self._policy.retry, self._kick)

    def _within_limit(self, spec: wire.Spec, count: int = 1) -> bool:
        team, usage = self._settings.teams.get(spec.team), self.book.usage.get(spec.team)
        if team is None:
            return False
        cores, gpus = (usage.cores, usage.gpus) if usage else (0.0, 0.0)
        return not (
            (team.cores_max and cores + spec.cores * count > team.cores_max + placement.SLACK)
            or (team.gpus_max and gpus + spec.gpus * count > team.gpus_max + placement.SLACK)
        )

    def _zones_open(self, job: Job) -> dict[str, bool]:
        """Zones that the job's other placements leave open; those not named are open."""
        spec = job.spec
        if spec.one_zone and job.placed:
            taken = {placed.zone for placed in job.placed.values()}
            return {zone: zone in taken and len(taken) == 1 for zone in self._zones}
        if spec.spread:
            return {zone: False for zone in self._zones if job.zone_count(zone) >= spec.zone_share}
        return {}

    def _place(self, job: Job, machine: Machine) -> None:
        task = job.next_task()
        attempt = job.attempts.get(task, 0) + 1
        now = self.runtime.now()

        def committed() -> None:
            placed.committed = True
            if job.cancelled:
                # Cancelled between proposal and commit: it was never launched, so it is over.
                self._over(placed, False, "cancelled before launch")
            elif job.placed.get(task) is placed:
                self._launch(placed)

        self._ledger.propose(["P", job.no, task, attempt, machine.name, machine.zone], committed)
        placed = job.placed[task]
        placed.proposed_at = now
        machine.use(placed)

    # Machines

    def _adopt(self, name: str, kind: str, zone: str, spot: bool) -> Machine:
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, kind, zone, spot, self.runtime.now())
            self._zones.add(zone)
            for placed in self.book.on_machine.get(name, {}).values():
                machine.use(placed)
        return machine

    def _watch(self) -> None:
        """Silent machines, late boots, unkept cancellations: probe, and release what stays silent."""
        if not self.active:
            return
        now, policy = self.runtime.now(), self._policy
        for job in list(self._live.values()):
            if job.cancelled and job.told and now - job.cancelled_at > policy.cancel_patience:
                for placed in list(job.placed.values()):
                    machine = self.machines.get(placed.machine)
                    if machine is not None and not machine.releasing:
                        self._release(machine, "cancelled task not confirmed gone")
        dark = self._dark_zones(now)
        for machine in list(self.machines.values()):
            if machine.releasing:
                continue
            age = now - machine.heard_at
            if machine.booting:
                kind = self.kinds.get(machine.kind)
                if kind is not None and now - machine.rented_at > policy.boot_patience * max(kind.boot, policy.settle):
                    self._release(machine, "never came up")
            elif age > policy.machine_suspect:
                if not machine.probing and machine.address:
                    self._probe(machine)
                if machine.notice_until is not None and now > machine.notice_until:
                    self._release(machine, "silent, and its notice is over")
                    continue
                patience = policy.zone_silence if machine.zone in dark else policy.machine_silence
                if age > patience and (machine.failed_probes >= 2 or not machine.address):
                    self._release(machine, f"silent for {age:.1f}s")
            elif machine.draining and not machine.placements and machine.baseline:
                self._release(machine, "drained")
        self._move_on(now)
        self._flush_releases()
        if any(now < until < now + 2 * policy.retry for until in self._backoff.values()):
            self._kick_later()
        self._backoff = {no: until for no, until in self._backoff.items() if until > now - policy.settle}

    def _dark_zones(self, now: float) -> set[str]:
        """Zones in which most machines fell silent together: that is the network or a controller, and the
        machines are likely well."""
        counts: dict[str, list[int]] = {}
        for machine in self.machines.values():
            if not machine.booting and not machine.releasing:
                count = counts.setdefault(machine.zone, [0, 0])
                count[0] += 1
                count[1] += now - machine.heard_at > self._policy.machine_suspect
        return {zone for zone, (up, silent) in counts.items() if silent >= 3 and silent * 2 > up}

    def _probe(self, machine: Machine) -> None:
        machine.probing = True
        term, server = self._term, self._settings.node

        def told(status: int, body: bytes) -> None:
            machine.probing = False
            if status == 200:
                machine.failed_probes = 0
                self._answered(term, server, body)
            else:
                machine.failed_probes += 1

        self._carrier.carry(server, machine.name, machine.address, None, told)

    def _release(self, machine: Machine, why: str) -> None:
        log.info("event=release term=%d machine=%s type=%s zone=%s spot=%s tasks=%d why=%r", self._term,
                 machine.name, machine.kind, machine.zone, machine.spot, len(machine.placements), why)  # fmt: skip
        machine.releasing = True

    def _flush_releases(self) -> None:
        now = self.runtime.now()
        names = [machine.name for machine in self.machines.values() if machine.releasing]
        if not names or self._releasing_now:
            return
        names = sorted(names, key=lambda name: self.machines[name].release_tried)[:MOST_RELEASED]
        for name in names:
            self.machines[name].release_tried = now
        self._releasing_now = True
        term = self._term

        def told(released: bool) -> None:
            if term != self._term or not self.active:
                return
            self._releasing_now = False
            if released:
                for name in names:
                    self._released(name)

        self._cloud.release(names, told)

    def _released(self, name: str) -> None:
        """The cloud's 200 is the proof that the machine and all that was on it are gone."""
        machine = self.machines.pop(name, None)
        self._gone.add(name)
        if machine is None:
            return
        for placed in list(machine.placements.values()):
            if placed.committed:
                self._over(placed, False, "machine released")
            else:
                # Its commit is under way: when it ends, nothing may be launched there.
                self._ledger.propose(["E", placed.job.no, placed.task, placed.attempt, False])
        self._exits = {key: placed for key, placed in self._exits.items() if key[0] != name}
        self._kick()

    def _list(self) -> None:
        if not self.active:
            return
        term = self._term

        def told(listed: list[wire.Listed] | None) -> None:
            if listed is None or term != self._term or not self.active:
                return
            now = self.runtime.now()
            for entry in listed:
                if entry.machine in self._gone:
                    continue
                machine = self.machines.get(entry.machine)
                if machine is None:
                    log.info("event=found term=%d machine=%s stage=%s", term, entry.machine, entry.state)
                    machine = self._adopt(entry.machine, entry.type, entry.zone, entry.spot)
                    machine.rented_at = now - entry.age
                if not machine.kind:
                    machine.kind, machine.spot = entry.type, entry.spot
                if entry.address and not machine.address:
                    machine.address = entry.address
                    if entry.state != wire.BOOTING:
                        self._push_token(machine)
                if entry.state == wire.FAILED and not machine.releasing:
                    self._release(machine, "listed as failed")
                elif entry.state == wire.RUNNING and machine.booting and not machine.baseline:
                    machine.booting = False
                    machine.heard_at = now
            self._flush_releases()

        self._cloud.listing(told)

    # Planning

    def _plan(self) -> None:
        if not self.active or not self.kinds:
            return
        now, policy = self.runtime.now(), self._policy
        if now - self._began < policy.settle / 4 and self.book.jobs and self.machines:
            return
        self._ledger.clean()
        self._turns += 1
        if self._turns % 10 == 0:
            self._log_fleet(now)
        self._retry_hires(now)
        self._resting = {pool: until for pool, until in self._resting.items() if until > now}
        demands = self._demands(now)
        steps = []
        for at in self._steps():
            steps.append((at, [self._at(demand, at, now) for demand in demands], self._rooms(now, at)))
        pools = [
            Pool(kind.name, zone, spot)
            for kind in self.kinds.values() for zone in kind.zones for spot in (False, True)
            if Pool(kind.name, zone, spot) not in self._resting
        ]  # fmt: skip
        rents = fill.plan(steps, self.kinds, pools, self._needs, 1.1, 40)
        wanted: dict[Pool, list[fill.Rent]] = {}
        for rent in rents:
            wanted.setdefault(rent.pool, []).append(rent)
        for pool, group in list(wanted.items())[: max(1, int(self._settings.cloud_rps * policy.plan_step))]:
            self._rent(pool, min(len(group), MOST_RENTED), group[0])
        self._give_back(now, demands)
        self._consolidate(now)

    # Moving replicas off thinly used machines

    def _consolidate(self, now: float) -> None:
        """Begins to empty a machine, when all is calm; `_move_on` moves its replicas one at a time."""
        usable = self._usable()
        calm = (
            self._moving is None
            and now - self._began > self._policy.settle
            and not any(job.waiting and wire.RANKS[job.spec.rank] < wire.RANKS["standard"] for job in self._queue())
            and all(now - m.heard_at < self._policy.machine_suspect for m in self.machines.values() if not m.booting)
        )
        if not calm:
            return

        def settled(placed: Placement) -> bool:
            # Who has just begun is left in peace: its start counts for what users see.
            return placed.state == wire.RUNNING and placed.ran_at is not None and (
                now - placed.ran_at > self._policy.move_after)  # fmt: skip

        machine = consolidate.pick(
            usable, self.kinds, self._needs, self._policy.sample, self._rng, self._zones_without, settled,
            not any(job.waiting for job in self._live.values()),
        )  # fmt: skip
        if machine is None:
            return
        if self._spare(machine, self._demands(now), now):
            log.info("event=empty term=%d machine=%s type=%s zone=%s replicas=%d", self._term, machine.name,
                     machine.kind, machine.zone, len(machine.placements))  # fmt: skip
            self._moving = machine.name
            self._moving_since = now
            machine.draining = True

    def _zones_without(self, job: Job, placed: Placement) -> dict[str, bool]:
        if job.spec.one_zone:
            return {zone: zone == placed.zone for zone in self._zones}
        if not job.spec.spread:
            return {}
        return {
            zone: job.zone_count(zone) - (zone == placed.zone) < job.spec.zone_share for zone in self._zones
        }  # fmt: skip

    def _move_on(self, now: float) -> None:
        if self._moving is None:
            return
        machine = self.machines.get(self._moving)
        if machine is None or machine.releasing or not machine.placements:
            self._moving = None
            return
        stuck = now - self._moving_since > self._policy.move_patience
        if stuck and machine.notice_until is None:
            log.info("event=empty_given_up term=%d machine=%s", self._term, machine.name)
            self._moving = None
            machine.draining = False
            return
        waiting = any(job.waiting and job.spec.kind == wire.SERVICE for job in self._live.values())
        stopping = any(placed.stopping_at is not None for placed in machine.placements.values())
        if not waiting and not stopping:
            for placed in machine.placements.values():
                if placed.seen and placed.job.spec.kind == wire.SERVICE:
                    self._stop(placed, 0.0)
                    break

    def _log_fleet(self, now: float) -> None:
        """One line a while: how much of what is paid for is used, by type and kind."""
        groups: dict[str, list[float]] = {}
        for machine in self.machines.values():
            kind = self.kinds.get(machine.kind)
            if kind is None:
                continue
            group = groups.setdefault(f"{kind.name}{'*' if machine.spot else ''}", [0, 0, 0, 0.0, 0.0])
            group[0] += 1
            group[1] += machine.booting
            group[2] += not machine.booting and not machine.placements
            group[3] += machine.gpus / kind.gpus if kind.gpus else machine.cores / kind.cores
            group[4] += any(placed.job.spec.kind == wire.SERVICE for placed in machine.placements.values())
        text = " ".join(
            f"{name}={int(n)}(boot:{int(boot)},idle:{int(idle)},used:{used:.1f},pinned:{int(pinned)})"
            for name, (n, boot, idle, used, pinned) in sorted(groups.items())
        )  # fmt: skip
        waiting: dict[str, int] = {}
        for job in self._live.values():
            if job.waiting:
                waiting[job.spec.lane] = waiting.get(job.spec.lane, 0) + job.waiting
        log.info("event=fleet term=%d %s waiting=%s", self._term, text, waiting)

    def _demands(self, now: float) -> list[Demand]:
        """Waiting tasks by shape, in the order in which they would be placed."""
        counts: dict[Shape, Demand] = {}
        self._running = {}
        for job in self._live.values():
            lane = job.spec.lane
            self._running[lane] = self._running.get(lane, 0) + len(job.placed)
        headroom: dict[str, tuple[float, float]] = {}
        for job in self._queue():
            spec = job.spec
            team = self._settings.teams.get(spec.team)
            if team is None:
                continue
            if spec.team not in headroom:
                usage = self.book.usage.get(spec.team)
                cores, gpus = (usage.cores, usage.gpus) if usage else (0.0, 0.0)
                headroom[spec.team] = (
                    team.cores_max - cores if team.cores_max else 1e9, team.gpus_max - gpus if team.gpus_max else 1e9,
                )  # fmt: skip
            cores, gpus = headroom[spec.team]
            count = job.waiting
            if spec.cores:
                count = min(count, int(cores / spec.cores + placement.SLACK))
            if spec.gpus:
                count = min(count, int(gpus / spec.gpus + placement.SLACK))
            count = max(0, count)
            headroom[spec.team] = cores - count * spec.cores, gpus - count * spec.gpus
            shape = Shape.of(spec)
            demand = counts.get(shape)
            if demand is None:
                demand = counts[shape] = Demand(shape, 0.0, self._run_length(spec))
            demand.count += count
            if spec.spread:
                caps = demand.caps = demand.caps or {}
                for zone in self._settings.zones:
                    caps[zone] = caps.get(zone, 0) + max(0, spec.zone_share - job.zone_count(zone))
        for shape, spec in self._specs.items():
            if shape not in counts and self._typical(shape) and (
                self._arrivals.rate(shape.lane, now) > 0 or shape.lane in self._reserve
            ):  # fmt: skip
                counts[shape] = Demand(shape, 0.0, self._run_length(spec))
                if spec.spread:
                    counts[shape].caps = dict.fromkeys(self._settings.zones, 0)
        for demand in counts.values():
            for machine in self.machines.values():
                if machine.kind in self.kinds and placement.allowed(
                    demand.shape, self.kinds[machine.kind], machine.zone, machine.spot
                ):
                    demand.zones[machine.zone] = demand.zones.get(machine.zone, 0) + 1
        return sorted(counts.values(), key=lambda demand: (demand.shape.rank, -demand.shape.gpus))

    def _typical(self, shape: Shape) -> bool:
        """One shape stands for its lane in the forecast of arrivals: the one last seen."""
        last = next((other for other in reversed(self._specs) if other.lane == shape.lane), None)
        return last == shape

    def _run_length(self, spec: wire.Spec) -> float:
        return spec.estimate if spec.kind == wire.ARRAY and spec.estimate else self._policy.plan_horizon

    def _at(self, demand: Demand, at: float, now: float) -> Demand:
        count = demand.count
        caps = dict(demand.caps) if demand.caps is not None else None
        if not demand.shape.service:
            # By then the machines that run such tasks now will have worked off a part of the queue.
            count = max(0.0, count - self._running.get(demand.shape.lane, 0) * at / max(demand.until, 1.0))
        if self._typical(demand.shape):
            more = self._arrivals.rate(demand.shape.lane, now) * min(at, demand.until)
            more += self._arrivals.largest(demand.shape.lane, now) if demand.shape.lane in self._reserve else 0.0
            count += more
            if caps is not None:
                caps = {zone: cap + math.ceil(more / 2) for zone, cap in caps.items()}
        return Demand(demand.shape, count, at + demand.until, demand.zones, caps)

    def _rooms(self, now: float, at: float) -> list[Bin]:
        """The room of machines that serve by then: free now, or freed by tasks estimated to end."""
        bins: list[Bin] = []
        for machine in self.machines.values():
            kind = self.kinds.get(machine.kind)
            if kind is None or machine.draining or machine.releasing:
                continue
            if machine.booting and now - machine.rented_at > 2 * kind.boot:
                continue
            if not machine.booting and now - machine.heard_at > self._policy.machine_suspect:
                continue
            room = placement.room(machine, kind)
            space = Bin(kind, machine.zone, machine.spot, room.cores, room.gpus, room.ram, machine.name)
            if at:
                for placed in machine.placements.values():
                    spec = placed.job.spec
                    if spec.kind == wire.ARRAY and spec.estimate:
                        began = placed.ran_at if placed.ran_at is not None else now
                        if began + spec.estimate < now + at:
                            space.cores += spec.cores
                            space.gpus += spec.gpus
                            space.ram += spec.ram
            bins.append(space)
        for pool, count, _ in self._pending_hires.values():
            kind = self.kinds[pool.kind]
            bins += [Bin(kind, pool.zone, pool.spot, kind.cores, kind.gpus, kind.ram) for _ in range(count)]
        return bins

    def _rent(self, pool: Pool, count: int, why: fill.Rent) -> None:
        self._hires += 1
        request = f"{self._settings.node}-{self._term}-{self._hires}"
        log.info("event=rent term=%d request=%s type=%s zone=%s spot=%s count=%d lane=%s score=%.3f gap=%.0f-%.0f",
                 self._term, request, pool.kind, pool.zone, pool.spot, count, why.lane, why.score, why.first,
                 why.last)  # fmt: skip
        self._pending_hires[request] = (pool, count, self.runtime.now())
        self._hire(request)

    def _hire(self, request: str) -> None:
        pool, count, _ = self._pending_hires[request]
        term = self._term

        def told(outcome: str, machines: list[str]) -> None:
            if term != self._term or not self.active:
                return
            now = self.runtime.now()
            if outcome == "unknown":
                return
            asked = self._pending_hires.pop(request, None)
            for name in machines:
                if name not in self._gone:
                    machine = self._adopt(name, pool.kind, pool.zone, pool.spot)
                    if asked and machine.booting:
                        machine.rented_at = asked[2]
            refusals = self._refusals[pool] = 0 if machines else self._refusals.get(pool, 0) + 1
            if len(machines) < count:
                # Longer each time in a row; and the gap is planned anew at once, not at the next step.
                self._resting[pool] = now + self._policy.pool_rest * min(2**refusals, 8) / 2
                if not self._replanning:
                    self._replanning = True
                    self.later(self._policy.retry / 8, self._replan)
                log.info("event=refused_pool term=%d type=%s zone=%s spot=%s got=%d of=%d", self._term, pool.kind,
                         pool.zone, pool.spot, len(machines), count)  # fmt: skip

        self._cloud.rent(request, pool.kind, pool.zone, pool.spot, count, told)

    def _replan(self) -> None:
        self._replanning = False
        if not self._pending_hires:
            self._plan()

    def _retry_hires(self, now: float) -> None:
        """A lost reply is asked for again under the same name; after an outage the gap is planned anew."""
        for request, (_, _, asked) in list(self._pending_hires.items()):
            if now - asked > self._policy.plan_lead:
                del self._pending_hires[request]
            elif now - asked > self._policy.order_call:
                self._hire(request)

    def _give_back(self, now: float, demands: list[Demand]) -> None:
        """Returns machines proven empty, idle through the cool-down, that no step's demand needs."""
        idle = [
            machine
            for machine in self.machines.values()
            if machine.baseline and not machine.placements and not machine.draining and not machine.releasing
            and machine.kind in self.kinds and now - machine.idle_since > self._policy.cool_down
        ]  # fmt: skip
        if not idle:
            return
        idle.sort(key=lambda machine: -self.kinds[machine.kind].price)
        for machine in idle:
            if self._spare(machine, demands, now):
                self._release(machine, f"idle for {now - machine.idle_since:.0f}s, no step needs it")
        self._flush_releases()

    def _steps(self) -> tuple[float, float]:
        """The times ahead that the plan looks at."""
        return self._policy.plan_lead / 2, self._policy.plan_lead

    def _spare(self, machine: Machine, demands: list[Demand], now: float) -> bool:
        """Whether no step's demand needs the machine."""
        return all(
            self._enough(at, [self._at(demand, at, now) for demand in demands], now, machine.name)
            for at in self._steps()
        )  # fmt: skip

    def _enough(self, at: float, demands: list[Demand], now: float, without: str) -> bool:
        """Whether the demand that the rooms can hold is held just as well without this machine."""
        rooms = self._rooms(now, at)
        fewer = [room for room in self._rooms(now, at) if room.name != without]
        return all(
            fill.pack(replace(demand, caps=dict(demand.caps) if demand.caps else None), rooms, self._needs)
            == fill.pack(demand, fewer, self._needs)
            for demand in demands
        )  # fmt: skip
