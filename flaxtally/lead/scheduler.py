"""Which task goes to which machine, and who makes room for whom."""

from __future__ import annotations

import logging
import operator
from collections.abc import Callable, Hashable

from .. import placement, wire
from ..best_effort import dear_types
from ..fleet import Machine
from ..ledger import book as records
from ..ledger.book import Job, Placement
from .claims import Claim, Claims, TaskKey
from .jobs import MOST_BACKLOG, Jobs
from .orders import Orders
from .term import Term, TermActor
from .tracker import Tracker

log = logging.getLogger(__name__)

MOST_PLACED = 400
"""Tasks a pass: one large array on an idle fleet must not hold up reports and users."""
NO_ZONES: frozenset[str] = frozenset()

RoomTaken = tuple[float, float, float, bool, bool]
"""Cores, GPUs and memory taken; whether slow; whether best-effort work may find it too dear."""


def _room_taken(machine: Machine) -> RoomTaken:
    return machine.cores, machine.gpus, machine.ram, machine.slow, not machine.anchors


class Scheduler(TermActor):
    """Owns the passes over the queue and the claims on room that preemptions make."""

    def __init__(self, term: Term, jobs: Jobs, tracker: Tracker, orders: Orders) -> None:
        super().__init__(term)
        self.jobs, self.tracker, self.orders = jobs, tracker, orders
        self.looked = 0
        """Machines that the scheduler looked at, in all."""
        self._pass_requested = False
        self._next_pass = 0.0
        self._placed = 0
        """Tasks placed in this pass."""
        self._claims = Claims()
        self._preempted: dict[tuple[int, int], float] = {}
        self.hints: dict[tuple[int, int], str] = {}
        """Where moved tasks are to go."""
        self._full = placement.Exhausted()
        """Who found no room in the passes up to now; only where there is more now they look again.
        """
        self._last_room: dict[str, RoomTaken] = {}
        self._rules: Hashable = None
        self._nobody = placement.Exhausted()
        """Who found nobody to stop, until `_nobody_until`."""
        self._nobody_until = 0.0
        term.request_pass = self.request_pass

    def request_pass(self) -> None:
        if not self._pass_requested and self.term.active:
            self._pass_requested = True
            self.later(max(0.002, self._next_pass - self.runtime.now()), self._schedule)

    def _schedule(self) -> None:
        self._pass_requested = False
        if not self.term.may_act or not self.term.kinds:
            return
        if self.ledger.backlog > MOST_BACKLOG:
            self._request_pass_later()
            return
        now = self.runtime.now()
        queue = self.jobs.queue()
        self._placed = 0
        if queue:
            self._pass(queue, now)
        ended = self.runtime.now()
        self._next_pass = ended + max(
            self.policy.pass_rest * (ended - now), self.policy.heartbeat / 8
        )
        if self._placed >= MOST_PLACED:
            self.request_pass()

    def _pass(self, queue: list[Job], now: float) -> None:
        """Places what can be placed of all that waits.

        Who found no room in an earlier pass looks only where there is more now.
        """
        usable = self.tracker.usable()
        stock = placement.Stock(usable, self.term.kinds, self.rng)
        more = self._grown(usable, self._claims.expire(now, self.ledger.book))
        grown = placement.Stock(more, self.term.kinds, self.rng)
        if now >= self._nobody_until:
            self._nobody, self._nobody_until = placement.Exhausted(), now + self.policy.retry
        # Within a pass room only shrinks: what found none, its like needn't look for.
        unfit = placement.Exhausted()
        asked: set[Hashable] = set()
        for job in queue:
            if self._placed >= MOST_PLACED:
                break
            if self.jobs.backoff.get(job.no, 0.0) > now:
                continue
            suspect = job.no in self.jobs.suspects
            if suspect and job.placed:
                continue
            spec = job.spec
            if spec.kind == wire.GANG and not job.placed:
                self._place_gang(job, stock)
                continue
            rank = wire.RANKS[spec.rank]
            keep = self._claims.unclaimed_by(rank) if self._claims else None
            worth: Callable[[Machine], bool] | None = None
            while job.waiting and self.jobs.within_limit(spec) and self._placed < MOST_PLACED:
                zones = self.jobs.zones_open(job)
                if self.hints and (hinted := self._hinted(job, zones, keep)) is not None:
                    self._place(job, hinted)
                    continue
                shut = (
                    frozenset(zone for zone, is_open in zones.items() if not is_open)
                    if zones
                    else NO_ZONES
                )
                # Who has waited for long takes any room: that of slow machines, and what is kept
                # for GPU tasks.
                overdue = now - job.waits_since > self.policy.keep_patience
                needs = None if overdue else self.jobs.needs
                like = spec.types, spec.zone, spec.spot, spec.kind, rank, bool(spec.gpus), shut
                room = like, overdue
                if not unfit.covers(room, spec):
                    if spec.best_effort and worth is None:
                        worth = self._worth_using(spec, keep)
                    known = self._full.covers(room, spec)
                    where = grown if known else stock
                    accept = keep if overdue or worth is None else worth
                    chosen = placement.choose(
                        spec, job.no, where, needs, self.policy.sample, zones, accept
                    )
                    if chosen is not None:
                        self._place(job, chosen)
                        if suspect:
                            break
                        continue
                    unfit.add(room, spec)
                    if not (known or more):
                        self._full.add(room, spec)
                if suspect:
                    # Nobody is stopped for what will likely fail.
                    break
                # Batch work stops others for one task of a shape at a time. For services, who may
                # be stopped depends on the team too, while they are within its guarantee.
                kin = like, spec.team if job.no not in self.jobs.beyond else None
                if self._nobody.covers(kin, spec) or (job.shape, kin) in asked:
                    break
                if not self._preempt(job, stock, zones):
                    self._nobody.add(kin, spec)
                elif not spec.spread:
                    asked.add((job.shape, kin))
                break
        if more:
            # Who did not look this time has not seen what grew.
            self._full = unfit
        self.looked += stock.looked + grown.looked

    def _grown(self, usable: list[Machine], freed: set[str]) -> list[Machine]:
        """The machines that have more room than in the last pass, or are new to it.

        What else decides about room (types, what GPU tasks need beside their GPUs) makes all look
        everywhere.
        """
        rules = self.jobs.needs, tuple(self.term.kinds)
        if rules != self._rules:
            self._rules, self._full, self._last_room = rules, placement.Exhausted(), {}
        last, room = self._last_room, dict[str, RoomTaken]()
        grown = []
        for machine in usable:
            name = machine.name
            took = room[name] = _room_taken(machine)
            had = last.get(name)
            if had == took and name not in freed:
                continue
            # A GPU that is taken needs no cores kept for it: then there is more room for what needs
            # no GPU.
            if (
                had is None
                or name in freed
                or took[1] != had[1]
                or any(map(operator.lt, took, had))
            ):
                grown.append(machine)
        self._last_room = room
        return grown

    def _hinted(
        self, job: Job, zones: dict[str, bool], keep: Callable[[Machine], bool] | None
    ) -> Machine | None:
        """Where the job's next task was moved to, if it can still go there."""
        machine = self.fleet.machines.get(self.hints.pop((job.no, job.next_task()), ""))
        if (
            machine is None
            or not self.tracker.is_usable(machine)
            or not zones.get(machine.zone, True)
        ):
            return None
        kind, spec = self.term.kinds[machine.kind], job.spec
        left = placement.room(machine, kind)
        fits = (
            left.holds(spec)
            and placement.allowed(spec, kind, machine.zone, machine.spot)
            and placement.leaves_gpus_usable(spec, left, kind, self.jobs.needs)
            and (keep is None or keep(machine))
        )
        return machine if fits else None

    def _worth_using(
        self, spec: wire.Spec, keep: Callable[[Machine], bool] | None
    ) -> Callable[[Machine], bool]:
        """Whether best-effort work may use a machine: not a dear one that nothing else is on."""
        dear = dear_types(spec, self.term.kinds, self.jobs.needs, self.policy.best_effort_price)

        def worth(machine: Machine) -> bool:
            if not machine.anchors and (machine.kind, machine.spot) in dear:
                return False
            return keep is None or keep(machine)

        return worth

    def _preempt(self, job: Job, stock: placement.Stock, zones: dict[str, bool]) -> bool:
        """Makes room for a task by stopping tasks of lower rank.

        Where, of a sample, the least work is lost.

        The machine is kept for that rank until the stopped tasks are proven gone. False: there is
        nobody to stop, for this job and its like.
        """
        now, spec, rank = self.runtime.now(), job.spec, wire.RANKS[job.spec.rank]
        key = (job.no, job.next_task())
        entitled = job.no not in self.jobs.beyond
        if rank == wire.RANKS["idle"] and not entitled:
            return False
        if self._preempted.get(key, 0.0) > now:
            return True
        best: tuple[float, Machine, list[Placement]] | None = None
        found = 0
        for seen, (machine, kind) in enumerate(stock.walk(spec, zones)):
            if seen >= placement.WIDEN**2 * self.policy.sample:
                # Another part of the fleet is looked at the next time.
                break
            victims = self._victims(job, machine, kind, entitled, now)
            if not victims:
                continue
            loss = sum(self._loss(placed, now) for placed in victims)
            if best is None or loss < best[0]:
                best = loss, machine, victims
            found += 1
            if found >= self.policy.sample:
                break
        if best is None:
            return False
        loss, machine, victims = best
        self._preempted = {key: until for key, until in self._preempted.items() if until > now}
        self._preempted[key] = self._evict(key, spec, machine, victims, moving=False)
        log.debug(
            "event=preempt term=%d job=%s machine=%s stopped=%d loss=%.0f",
            self.term.number,
            spec.ref,
            machine.name,
            len(victims),
            loss,
        )
        return True

    def _evict(
        self,
        key: TaskKey,
        spec: wire.Spec,
        machine: Machine,
        victims: list[Placement],
        moving: bool,
    ) -> float:
        """Stops the tasks and keeps their room for another; returns until when."""
        now = self.runtime.now()
        until = now + 2 * self.policy.order_call + max(placed.job.spec.save for placed in victims)
        rank = wire.RANKS[spec.rank]
        self._claims.add(machine.name, key, Claim(rank, until, spec, moving))
        for placed in victims:
            if placed.stopping_at is None:
                self.orders.stop(placed, placed.job.spec.save)
        return until

    def make_room(self, placed: Placement, machine: Machine) -> None:
        """Stops best-effort tasks on the machine so that a replica can move there."""
        key = placed.job.no, placed.task
        if self._claims.has(key):
            return
        kind, now = self.term.kinds[machine.kind], self.runtime.now()
        victims = self._victims(placed.job, machine, kind, False, now)
        if victims and all(victim.best_effort for victim in victims):
            self._evict(key, placed.job.spec, machine, victims, moving=True)

    def _victims(
        self, job: Job, machine: Machine, kind: wire.MachineType, entitled: bool, now: float
    ) -> list[Placement]:
        """The tasks whose stop makes room for one of the job.

        Those that lose least first; none: it can't be done there.
        """
        spec, rank = job.spec, wire.RANKS[job.spec.rank]
        lower = [
            placed
            for placed in machine.placements.values()
            if placed.seen
            and (
                wire.RANKS[placed.job.spec.rank] > rank
                # A team's guarantee goes before what another team runs beyond its own; little may
                # be lost.
                or (
                    entitled
                    and placed.job.no in self.jobs.beyond
                    and placed.job.spec.team != spec.team
                    and placed.job.spec.kind != wire.SERVICE
                    and self._loss(placed, now) < self.policy.settle
                )
            )
        ]
        if not lower:
            return []
        lower.sort(key=lambda placed: self._loss(placed, now))
        left, victims = placement.room(machine, kind), list[Placement]()
        for claim in self._claims.on(machine.name):
            # What is being stopped there makes room for another task; it can't make it twice.
            left = placement.Room(
                left.cores - claim.spec.cores,
                left.gpus - claim.spec.gpus,
                left.ram - claim.spec.ram,
            )
        for placed in lower:
            if left.holds(spec):
                break
            out = placed.job.spec
            left = placement.Room(left.cores + out.cores, left.gpus + out.gpus, left.ram + out.ram)
            victims.append(placed)
        fits = left.holds(spec) and placement.leaves_gpus_usable(spec, left, kind, self.jobs.needs)
        return victims if fits else []

    @staticmethod
    def _loss(placed: Placement, now: float) -> float:
        """Seconds of work that a stop throws away."""
        if placed.stopping_at is not None or placed.ran_at is None:
            return 0.0
        return placed.job.spec.save if placed.job.spec.checkpoint else now - placed.ran_at

    def _place_gang(self, job: Job, stock: placement.Stock) -> None:
        """A gang starts when all its tasks have room at once; a lost task is replaced singly."""
        spec, count = job.spec, job.waiting
        if not self.jobs.within_limit(spec, count):
            return
        for zones in (
            [{zone} for zone in sorted(self.fleet.zones)] if spec.one_zone else [self.fleet.zones]
        ):
            chosen: list[Machine] = []
            for _ in range(count):
                counts = [machine.zone for machine in chosen]
                most = spec.zone_share if spec.spread else count
                opens = {
                    zone: zone in zones and counts.count(zone) < most for zone in self.fleet.zones
                }
                machine = placement.choose(
                    spec, job.no, stock, self.jobs.needs, self.policy.sample, opens
                )
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

    def _request_pass_later(self) -> None:
        self.later(self.policy.retry, self.request_pass)

    def wake(self) -> None:
        """A pass for jobs that were held back and no longer are."""
        now = self.runtime.now()
        held = self.jobs.backoff
        if any(now < until < now + 2 * self.policy.retry for until in held.values()):
            self._request_pass_later()
        self.jobs.backoff = {
            no: until for no, until in held.items() if until > now - self.policy.settle
        }

    def _place(self, job: Job, machine: Machine) -> None:
        task = job.next_task()
        attempt = job.attempts.get(task, 0) + 1
        now = self.runtime.now()

        def committed() -> None:
            if job.placed.get(task) is not placed:
                # Its machine was released meanwhile.
                return
            placed.committed = True
            if job.cancelled:
                # Cancelled between proposal and commit: it was never launched, so it is over.
                self.tracker.over(placed, False, "cancelled before launch")
            else:
                self.orders.launch(placed)

        self.ledger.propose(
            [records.PLACED, job.no, task, attempt, machine.name, machine.zone], committed
        )
        placed = job.placed[task]
        placed.proposed_at = job.waits_since = now
        machine.use(placed)
        self._placed += 1
        self._claims.made_good((job.no, task))
        if job.spec.gpus:
            self._last_room.pop(machine.name, None)
        else:
            self._last_room[machine.name] = _room_taken(machine)
