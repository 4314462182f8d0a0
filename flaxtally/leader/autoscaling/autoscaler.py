"""What to rent and what to give back."""

from __future__ import annotations

import itertools
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from ...clients.cloud import MOST_RENTED
from ...planning import provisioning
from ...planning.best_effort import find_expensive_types
from ...planning.fleet import Machine, Pool
from ...planning.packing import Bin, Demand, FreeCapacity, pack_demand
from ...protocol import wire
from ..term import Term, TermActor
from .capacity_forecast import CapacityForecast
from .demand_forecast import DemandForecast
from .scale_out import ScaleOut

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from ..reconciliation.reconciler import Reconciler

log = logging.getLogger(__name__)

SPOT_WORTH = 1.1
"""Spot prices count so many times: a taken machine's lost work."""
MAX_SCALE_IN_CHECKS = 8
"""Times that a plan looks at whether idle machines can go."""


def _fixed(kind: wire.MachineType) -> wire.MachineType:
    """The type without what moves all the time."""
    return msgspec.structs.replace(kind, hourly_spot_price=0.0)


class Autoscaler(TermActor):
    """Owns the plan of the fleet."""

    def __init__(
        self, term: Term, jobs: JobRegistry, tracker: Reconciler, orders: CommandSender
    ) -> None:
        super().__init__(term)
        self.jobs, self.reconciler, self.commands = jobs, tracker, orders
        self._turns = 0
        self._rentals = ScaleOut(term, self.scale)
        self._rooms = CapacityForecast(term, self._rentals)
        self._demand = DemandForecast(term, jobs, self._rentals.is_in_backoff)

    def is_in_backoff(self, pool: Pool) -> bool:
        """Whether the pool refused a short while ago."""
        return self._rentals.is_in_backoff(pool)

    def load_machine_types(self) -> None:
        """Asks for the catalogue again and again: spot prices move."""

        def told(kinds: list[wire.MachineType] | None) -> None:
            if not self.term.active:
                return
            self.later(
                self.policy.plan_lead if kinds else self.policy.retry * 2, self.load_machine_types
            )
            if kinds is None:
                return
            self.term.machine_types = {kind.name: kind for kind in kinds}
            known = msgspec.convert(self.ledger.state.catalog, list[wire.MachineType])
            if [_fixed(kind) for kind in known] != [_fixed(kind) for kind in kinds]:
                self.ledger.propose_catalog(msgspec.to_builtins(kinds))
            self.term.request_pass()

        self.cloud.list_machine_types(told)

    def scale(self, then: Callable[[list[Demand]], None] | None = None) -> None:
        """Rents and gives back, then calls `then` with the demand that it planned for.

        Each part is a turn of the loop of its own: with thousands of machines a part takes as long
        as reports and heartbeats should wait. Nothing is called while planning has to wait.
        """
        if not self.term.machine_types:
            return
        now, policy = self.runtime.now(), self.policy
        if (
            now - self.term.began_at < policy.settle / 4
            and self.ledger.state.jobs
            and self.fleet.machines
        ):
            return
        self._turns += 1
        if self._turns % 10 == 0:
            self._log_fleet(now)
        self._rentals.retry()
        demands = self._demand.demands(now)
        self._fill_gaps(now, demands)
        self.runtime.soon(self._end_plan, demands, then)

    def _end_plan(self, demands: list[Demand], then: Callable[[list[Demand]], None] | None) -> None:
        if not self.term.may_act:
            return
        self._give_back(self.runtime.now(), demands)
        if then is not None:
            self.runtime.soon(then, demands)

    def _fill_gaps(self, now: float, demands: list[Demand]) -> None:
        """Rents what the forecast lacks, as much as the cloud's calls of a step can ask for."""
        steps = self._steps(now, demands, self._rooms.rooms(now))
        pools = [
            pool
            for kind in self.term.machine_types.values()
            for zone in kind.zones
            for spot in (False, True)
            if not self._rentals.is_in_backoff(pool := Pool(kind.name, zone, spot))
        ]
        per_step = int(self.settings.cloud_rps * self.policy.plan_step)
        calls = 1 if self.cloud.is_troubled else max(1, per_step)
        rents = provisioning.plan_provisioning(
            steps,
            self.term.machine_types,
            pools,
            self.jobs.gpu_reservations,
            SPOT_WORTH,
            calls * MOST_RENTED,
        )
        wanted: dict[Pool, list[provisioning.ProvisionDecision]] = {}
        for rent in rents:
            wanted.setdefault(rent.pool, []).append(rent)
        for pool, group in list(wanted.items())[:calls]:
            self._rentals.provision(pool, min(len(group), MOST_RENTED), group[0])

    def _log_fleet(self, now: float) -> None:
        """One line a while: how much of what is paid for is used, by type and kind."""
        groups: dict[str, list[float]] = {}
        for machine in self.fleet.machines.values():
            kind = self.term.machine_types.get(machine.machine_type)
            if kind is None:
                continue
            group = groups.setdefault(
                f"{kind.name}{'*' if machine.spot else ''}", [0, 0, 0, 0.0, 0.0]
            )
            group[0] += 1
            group[1] += machine.is_booting
            group[2] += not machine.is_booting and not machine.placements
            group[3] += machine.gpus / kind.gpus if kind.gpus else machine.cores / kind.cores
            group[4] += any(
                placed.job.spec.job_kind == wire.SERVICE for placed in machine.placements.values()
            )
        text = " ".join(
            f"{name}={int(n)}(boot:{int(boot)},idle:{int(idle)},used:{used:.1f},pinned:{int(pinned)})"
            for name, (n, boot, idle, used, pinned) in sorted(groups.items())
        )
        waiting: dict[str, int] = {}
        for job in self.jobs.queue.pending_jobs():
            waiting[job.spec.job_class] = waiting.get(job.spec.job_class, 0) + job.pending_count
        log.info("event=fleet term=%d %s waiting=%s", self.term.number, text, waiting)

    def _give_back(self, now: float, demands: list[Demand]) -> None:
        """Returns machines proven empty, idle for the cool-down, that no step's demand needs."""
        idle = [
            machine
            for machine in self.fleet.machines.values()
            if machine.is_reconciled
            and not machine.is_cordoned
            and not machine.is_terminating
            and machine.machine_type in self.term.machine_types
            and (self._is_idle(machine, now) or self._holds_only_leftovers(machine, now))
        ]
        if not idle:
            return
        idle.sort(key=lambda machine: -self.term.machine_types[machine.machine_type].hourly_price)
        # All at once, or else a half, and so on. One by one, fifty idle machines kept the loop busy
        # for seconds.
        spare, going, size = self.spare(demands, now), list[Machine](), len(idle)
        for _ in range(MAX_SCALE_IN_CHECKS):
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
            self.reconciler.scale_in.terminate(
                machine, f"idle for {now - machine.idle_since:.0f}s, no step needs it"
            )
        self.reconciler.scale_in.flush()

    def _is_idle(self, machine: Machine, now: float) -> bool:
        return not machine.placements and now - machine.idle_since > self.policy.cool_down

    def _holds_only_leftovers(self, machine: Machine, now: float) -> bool:
        """Whether the machine has long held nothing but best-effort tasks for which it is dear."""
        if machine.anchors or now - machine.unneeded_since <= self.policy.cool_down:
            return False
        pool, most = (machine.machine_type, machine.spot), self.policy.best_effort_price
        known: dict[int, bool] = {}
        for placed in machine.placements.values():
            job = placed.job
            if job.number not in known:
                dear = find_expensive_types(
                    job.shape, self.term.machine_types, self.jobs.gpu_reservations, most
                )
                known[job.number] = pool in dear
            if not known[job.number]:
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
            machine.machine_type,
            machine.spot,
            len(machine.placements),
        )
        machine.is_cordoned = True
        machine.mark_changed()
        self.commands.stop_best_effort(machine)

    def spare(self, demands: list[Demand], now: float) -> Callable[[set[str]], bool]:
        """Makes a check whether machines can be spared.

        They can if the demand that the rooms can hold, at each step, is held just as well without
        them.
        """
        bins_by_step = self._rooms.rooms(now)
        for room in itertools.chain.from_iterable(bins_by_step):
            # Best-effort work holds no machine that is dear for it, whatever else is there.
            room.has_regular_tasks = False
        steps = [
            (rooms, then, self._left(then, rooms.copy()))
            for _, then, rooms in self._steps(now, demands, bins_by_step)
        ]

        def check(without: set[str]) -> bool:
            return all(self._left(then, rooms.copy(without)) == left for rooms, then, left in steps)

        return check

    def _steps(
        self, now: float, demands: list[Demand], bins_by_step: list[list[Bin]]
    ) -> list[tuple[float, list[Demand], FreeCapacity]]:
        """Each step's time from now, demand, and the rooms that may hold some of it."""
        steps = []
        for at, bins in zip(self._rooms.steps, bins_by_step, strict=True):
            then = [self._demand.at(demand, at, now) for demand in demands]
            rooms = FreeCapacity(bins)
            rooms.drop_full_bins(then, self.jobs.gpu_reservations)
            steps.append((at, then, rooms))
        return steps

    def _left(self, demands: list[Demand], rooms: FreeCapacity) -> list[int]:
        """What of each demand finds no room. Packing uses up the rooms, and copies of caps."""
        return [
            pack_demand(
                replace(
                    demand,
                    max_tasks_by_zone=None
                    if demand.max_tasks_by_zone is None
                    else dict(demand.max_tasks_by_zone),
                ),
                rooms,
                self.jobs.gpu_reservations,
            )
            for demand in demands
        ]
