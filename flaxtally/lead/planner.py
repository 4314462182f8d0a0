"""What to rent and what to give back."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import replace

import msgspec

from .. import fill, placement, wire
from ..best_effort import dear_types
from ..cloud import MOST_RENTED
from ..fill import Bin, Demand, Pool
from ..fleet import Machine
from ..forecast import Shape
from ..ledger import book as records
from ..ledger.book import Job, Placement
from .jobs import Jobs
from .orders import Orders
from .term import Term, TermActor
from .tracker import Tracker

log = logging.getLogger(__name__)

MOST_CHECKS = 8
"""Times that a plan looks at whether idle machines can go."""


def _fixed(kind: wire.MachineType) -> wire.MachineType:
    """The type without what moves all the time."""
    return msgspec.structs.replace(kind, spot_price=0.0)


class Planner(TermActor):
    """Owns the plan of the fleet and the rental requests under way."""

    def __init__(self, term: Term, jobs: Jobs, tracker: Tracker, orders: Orders) -> None:
        super().__init__(term)
        self.jobs, self.tracker, self.orders = jobs, tracker, orders
        # Lanes whose wait aim no new machine can meet: room for their next job must be there before
        # it.
        self._reserve = {
            aim.lane
            for aim in self.settings.objectives
            if aim.kind == "wait" and aim.lane is not None and aim.within < self.settings.lease_s
        }
        self._rentals_sent = 0
        self._turns = 0
        self._pending_rentals: dict[str, tuple[Pool, int, float]] = {}
        self._resting: dict[Pool, float] = {}
        self._refusals: dict[Pool, int] = {}
        self._replanning = False
        self._asking: set[str] = set()
        """Requests whose answer has not come yet; none is sent twice at a time."""
        self._running: dict[str, int] = {}

    def learn_kinds(self) -> None:
        """Asks for the catalogue again and again: spot prices move."""

        def told(kinds: list[wire.MachineType] | None) -> None:
            if not self.term.active:
                return
            self.later(self.policy.plan_lead if kinds else self.policy.retry * 2, self.learn_kinds)
            if kinds is None:
                return
            self.term.kinds = {kind.name: kind for kind in kinds}
            known = msgspec.convert(self.ledger.book.catalog, list[wire.MachineType])
            if [_fixed(kind) for kind in known] != [_fixed(kind) for kind in kinds]:
                self.ledger.propose([records.CATALOG, msgspec.to_builtins(kinds)])
            self.term.request_pass()

        self.cloud.catalog(told)

    def plan(self) -> list[Demand] | None:
        """Rents and gives back; the demand that it planned for, None while that has to wait."""
        if not self.term.kinds:
            return None
        now, policy = self.runtime.now(), self.policy
        if (
            now - self.term.began < policy.settle / 4
            and self.ledger.book.jobs
            and self.fleet.machines
        ):
            return None
        self._turns += 1
        if self._turns % 10 == 0:
            self._log_fleet(now)
        self._retry_rentals(now)
        self._resting = {pool: until for pool, until in self._resting.items() if until > now}
        demands = self._demands(now)
        steps = []
        for at in self._steps():
            steps.append(
                (at, [self._at(demand, at, now) for demand in demands], self._rooms(now, at))
            )
        pools = [
            Pool(kind.name, zone, spot)
            for kind in self.term.kinds.values()
            for zone in kind.zones
            for spot in (False, True)
            if Pool(kind.name, zone, spot) not in self._resting
        ]
        calls = (
            1 if self.cloud.troubled else max(1, int(self.settings.cloud_rps * policy.plan_step))
        )
        rents = fill.plan(steps, self.term.kinds, pools, self.jobs.needs, 1.1, calls * MOST_RENTED)
        wanted: dict[Pool, list[fill.Rent]] = {}
        for rent in rents:
            wanted.setdefault(rent.pool, []).append(rent)
        for pool, group in list(wanted.items())[:calls]:
            self._rent(pool, min(len(group), MOST_RENTED), group[0])
        self._give_back(now, demands)
        return demands

    def _log_fleet(self, now: float) -> None:
        """One line a while: how much of what is paid for is used, by type and kind."""
        groups: dict[str, list[float]] = {}
        for machine in self.fleet.machines.values():
            kind = self.term.kinds.get(machine.kind)
            if kind is None:
                continue
            group = groups.setdefault(
                f"{kind.name}{'*' if machine.spot else ''}", [0, 0, 0, 0.0, 0.0]
            )
            group[0] += 1
            group[1] += machine.booting
            group[2] += not machine.booting and not machine.placements
            group[3] += machine.gpus / kind.gpus if kind.gpus else machine.cores / kind.cores
            group[4] += any(
                placed.job.spec.kind == wire.SERVICE for placed in machine.placements.values()
            )
        text = " ".join(
            f"{name}={int(n)}(boot:{int(boot)},idle:{int(idle)},used:{used:.1f},pinned:{int(pinned)})"
            for name, (n, boot, idle, used, pinned) in sorted(groups.items())
        )
        waiting: dict[str, int] = {}
        for job in self.jobs.waiting():
            waiting[job.spec.lane] = waiting.get(job.spec.lane, 0) + job.waiting
        log.info("event=fleet term=%d %s waiting=%s", self.term.number, text, waiting)

    def _demands(self, now: float) -> list[Demand]:
        """Waiting tasks by shape, in the order in which they would be placed."""
        counts: dict[Shape, Demand] = {}
        self._running = {}
        for job in self.jobs.live.values():
            lane = job.spec.lane
            self._running[lane] = self._running.get(lane, 0) + len(job.placed)
        headroom: dict[str, tuple[float, float]] = {}
        for job in self.jobs.queue():
            spec = job.spec
            team = self.term.limits.of(spec.team)
            if team is None or job.no in self.jobs.suspects:
                continue
            if spec.team not in headroom:
                usage = self.ledger.book.usage.get(spec.team)
                cores, gpus = (usage.cores, usage.gpus) if usage else (0.0, 0.0)
                headroom[spec.team] = (
                    team.cores_max - cores if team.cores_max else 1e9,
                    team.gpus_max - gpus if team.gpus_max else 1e9,
                )
            cores, gpus = headroom[spec.team]
            count = job.waiting
            if spec.cores:
                count = min(count, int(cores / spec.cores + placement.SLACK))
            if spec.gpus:
                count = min(count, int(gpus / spec.gpus + placement.SLACK))
            count = max(0, count)
            headroom[spec.team] = cores - count * spec.cores, gpus - count * spec.gpus
            shape = job.shape
            demand = counts.get(shape)
            if demand is None:
                demand = counts[shape] = Demand(
                    shape, 0.0, self.jobs.run_length(spec), typical=self._typical(shape)
                )
            demand.add(count, self.jobs.run_length(spec))
            if spec.spread:
                caps = demand.caps = demand.caps or {}
                for zone in self.settings.zones:
                    caps[zone] = caps.get(zone, 0) + max(0, spec.zone_share - job.zone_count(zone))
        for job in self.jobs.live.values():
            if job.placed and not job.final and job.spec.best_effort:
                self._demand_again(counts, job)
        for shape, spec in self.jobs.specs.items():
            if (
                shape not in counts
                and self._typical(shape)
                and (self.jobs.arrivals.rate(shape.lane, now) > 0 or shape.lane in self._reserve)
            ):
                length = self.jobs.arrivals.length(shape.lane, now) or self.jobs.run_length(spec)
                counts[shape] = Demand(shape, 0.0, length, typical=True)
                if spec.spread:
                    counts[shape].caps = dict.fromkeys(self.settings.zones, 0)
        demands = fill.merged(counts.values())
        for demand in demands:
            if demand.shape.best_effort:
                most = self.policy.best_effort_price
                demand.dear = dear_types(demand.shape, self.term.kinds, self.jobs.needs, most)
            for machine in self.fleet.machines.values():
                if machine.kind in self.term.kinds and placement.allowed(
                    demand.shape, self.term.kinds[machine.kind], machine.zone, machine.spot
                ):
                    demand.zones[machine.zone] = demand.zones.get(machine.zone, 0) + 1
        return sorted(demands, key=lambda demand: (demand.shape.rank, -demand.shape.gpus))

    def _demand_again(self, counts: dict[Shape, Demand], job: Job) -> None:
        """Plans best-effort tasks that run like those that wait.

        `_rooms` counts their room as free, so that they get what all other demand leaves, or cheap
        machines.
        """
        spec = job.spec
        length = self.jobs.run_length(spec)
        demand = counts.get(job.shape)
        if demand is None:
            typical = self._typical(job.shape)
            demand = counts[job.shape] = Demand(job.shape, 0.0, length, typical=typical)
        demand.add(len(job.placed), length)
        if spec.spread:
            caps = demand.caps = demand.caps or {}
            for zone in self.settings.zones:
                caps[zone] = caps.get(zone, 0) + job.zone_count(zone)

    def _typical(self, shape: Shape) -> bool:
        """One shape stands for its lane in the forecast of arrivals: the one last seen."""
        last = next(
            (other for other in reversed(self.jobs.specs) if other.lane == shape.lane), None
        )
        return last == shape

    def _at(self, demand: Demand, at: float, now: float) -> Demand:
        count = demand.count
        caps = dict(demand.caps) if demand.caps is not None else None
        if not demand.shape.service:
            # By then the machines that run such tasks now will have worked off a part of the queue.
            count = max(
                0.0, count - self._running.get(demand.shape.lane, 0) * at / max(demand.until, 1.0)
            )
        if demand.typical:
            # Not by the last job's own length: one long job made the plan rent for a hundred
            # machines' work.
            length = self.jobs.arrivals.length(demand.shape.lane, now) or demand.until
            more = self.jobs.arrivals.rate(demand.shape.lane, now) * min(at, length)
            if demand.shape.lane in self._reserve:
                # Room for the next job, and for what the loss of a few machines would leave
                # without.
                more += self.jobs.arrivals.largest(demand.shape.lane, now)
                more += math.ceil(self.policy.slack * self._running.get(demand.shape.lane, 0))
            count += more
            if caps is not None:
                caps = {zone: cap + math.ceil(more / 2) for zone, cap in caps.items()}
        return replace(demand, count=count, until=at + demand.until, caps=caps)

    def _rooms(self, now: float, at: float) -> list[Bin]:
        """The room of machines that serve by then.

        Free now, or freed by tasks estimated to end. Machines that can't be up by then count at the
        last step only.
        """
        bins: list[Bin] = []
        last = at >= self._steps()[-1]
        for machine in self.fleet.machines.values():
            kind = self.term.kinds.get(machine.kind)
            if (
                kind is None
                or machine.draining
                or machine.releasing
                or machine.slow
                or machine.deaf
            ):
                continue
            asked = now - machine.rented_at
            if machine.booting and (asked > 2 * kind.boot or not (last or kind.boot - asked <= at)):
                continue
            if not machine.booting and now - machine.heard_at > self.policy.machine_suspect:
                continue
            room = placement.room(machine, kind)
            space = Bin(
                kind,
                machine.zone,
                machine.spot,
                room.cores,
                room.gpus,
                room.ram,
                machine.name,
                machine.anchors > 0,
            )
            for placed in machine.placements.values():
                if self._frees_room(placed, now, at):
                    space.cores += placed.job.spec.cores
                    space.gpus += placed.job.spec.gpus
                    space.ram += placed.job.spec.ram
            bins.append(space)
        for pool, count, _ in self._pending_rentals.values():
            kind = self.term.kinds[pool.kind]
            if last or kind.boot <= at:
                bins += [
                    Bin(kind, pool.zone, pool.spot, kind.cores, kind.gpus, kind.ram)
                    for _ in range(count)
                ]
        return bins

    @staticmethod
    def _frees_room(placed: Placement, now: float, at: float) -> bool:
        """Whether the plan counts the task's room as free in `at` seconds."""
        spec = placed.job.spec
        if spec.best_effort:
            return True
        began = placed.ran_at if placed.ran_at is not None else now
        return spec.kind == wire.ARRAY and 0 < spec.estimate < now + at - began

    def _rent(self, pool: Pool, count: int, why: fill.Rent) -> None:
        self._rentals_sent += 1
        request = f"{self.settings.node}-{self.term.number}-{self._rentals_sent}"
        log.info(
            "event=rent term=%d request=%s type=%s zone=%s spot=%s count=%d lane=%s score=%.3f "
            "gap=%.0f-%.0f",
            self.term.number,
            request,
            pool.kind,
            pool.zone,
            pool.spot,
            count,
            why.lane,
            why.score,
            why.first,
            why.last,
        )
        self._pending_rentals[request] = (pool, count, self.runtime.now())
        self._send_rental(request)

    def _send_rental(self, request: str) -> None:
        if request in self._asking:
            return
        pool, count, _ = self._pending_rentals[request]
        self._asking.add(request)

        def told(outcome: str, machines: list[str]) -> None:
            self._asking.discard(request)
            if not self.term.active or outcome == "unknown":
                return
            now, asked = self.runtime.now(), self._pending_rentals.pop(request, None)
            if outcome == "trouble":
                # It was not executed, and the next plan knows better what is needed by then.
                return
            for name in machines:
                if name not in self.fleet.gone:
                    machine = self.fleet.adopt(name, pool.kind, pool.zone, pool.spot)
                    if asked and machine.booting:
                        machine.rented_at = asked[2]
            refusals = self._refusals[pool] = 0 if machines else self._refusals.get(pool, 0) + 1
            if len(machines) < count:
                # Longer each time in a row; and the gap is planned anew at once, not at the next
                # step.
                self._resting[pool] = now + self.policy.pool_rest * min(2**refusals, 8) / 2
                if not self._replanning:
                    self._replanning = True
                    self.later(self.policy.retry / 8, self._replan)
                log.info(
                    "event=refused_pool term=%d type=%s zone=%s spot=%s got=%d of=%d",
                    self.term.number,
                    pool.kind,
                    pool.zone,
                    pool.spot,
                    len(machines),
                    count,
                )

        self.cloud.rent(request, pool.kind, pool.zone, pool.spot, count, told)

    def _replan(self) -> None:
        self._replanning = False
        if not self._pending_rentals and self.term.may_act:
            self.plan()

    def _retry_rentals(self, now: float) -> None:
        """Asks again, under the same name, for rentals whose answer was lost.

        After an outage the gap is planned anew.
        """
        for request, (_, _, asked) in list(self._pending_rentals.items()):
            if now - asked > self.policy.plan_lead:
                del self._pending_rentals[request]
            elif now - asked > self.policy.order_call:
                self._send_rental(request)

    def _give_back(self, now: float, demands: list[Demand]) -> None:
        """Returns machines proven empty, idle for the cool-down, that no step's demand needs."""
        idle = [
            machine
            for machine in self.fleet.machines.values()
            if machine.baseline
            and not machine.draining
            and not machine.releasing
            and machine.kind in self.term.kinds
            and (self._is_idle(machine, now) or self._holds_only_leftovers(machine, now))
        ]
        if not idle:
            return
        idle.sort(key=lambda machine: -self.term.kinds[machine.kind].price)
        # All at once, or else a half, and so on. One by one, fifty idle machines kept the loop busy
        # for seconds.
        spare, going, size = self.spare(demands, now), list[Machine](), len(idle)
        for _ in range(MOST_CHECKS):
            some = idle[:size]
            if not some:
                break
            if spare({machine.name for machine in [*going, *some]}):
                going += some
                idle = idle[size:]
            else:
                size = len(some) // 2
        for machine in going:
            if machine.placements:
                self._drain(machine)
                continue
            self.tracker.release(
                machine, f"idle for {now - machine.idle_since:.0f}s, no step needs it"
            )
        self.tracker.flush_releases()

    def _is_idle(self, machine: Machine, now: float) -> bool:
        return not machine.placements and now - machine.idle_since > self.policy.cool_down

    def _holds_only_leftovers(self, machine: Machine, now: float) -> bool:
        """Whether the machine has long held nothing but best-effort tasks for which it is dear."""
        if machine.anchors or now - machine.unneeded_since <= self.policy.cool_down:
            return False
        pool, most = (machine.kind, machine.spot), self.policy.best_effort_price
        known: dict[int, bool] = {}
        for placed in machine.placements.values():
            job = placed.job
            if job.no not in known:
                dear = dear_types(job.shape, self.term.kinds, self.jobs.needs, most)
                known[job.no] = pool in dear
            if not known[job.no]:
                return False
        return bool(known)

    def _drain(self, machine: Machine) -> None:
        """Places nothing more on the machine, which is released when empty.

        Tasks that can save are stopped, others are left to end.
        """
        log.info(
            "event=drain term=%d machine=%s type=%s spot=%s best_effort=%d",
            self.term.number,
            machine.name,
            machine.kind,
            machine.spot,
            len(machine.placements),
        )
        machine.draining = True
        self.orders.stop_best_effort(machine)

    def _steps(self) -> tuple[float, float]:
        """The times ahead that the plan looks at."""
        return self.policy.plan_lead / 2, self.policy.plan_lead

    def spare(self, demands: list[Demand], now: float) -> Callable[[set[str]], bool]:
        """Makes a check whether machines can be spared.

        They can if the demand that the rooms can hold, at each step, is held just as well without
        them.
        """
        steps = []
        for at in self._steps():
            # Best-effort work holds no machine that is dear for it, whatever else is there.
            rooms = [replace(room, anchored=False) for room in self._rooms(now, at)]
            then = [self._at(demand, at, now) for demand in demands]
            steps.append((rooms, then, self._left(then, rooms)))

        def check(without: set[str]) -> bool:
            return all(
                self._left(then, [room for room in rooms if room.name not in without]) == left
                for rooms, then, left in steps
            )

        return check

    def _left(self, demands: list[Demand], rooms: list[Bin]) -> list[int]:
        """What of each demand finds no room. Packing uses rooms and caps up: it gets copies."""
        rooms = [replace(room) for room in rooms]
        return [
            fill.pack(
                replace(demand, caps=None if demand.caps is None else dict(demand.caps)),
                rooms,
                self.jobs.needs,
            )
            for demand in demands
        ]
