"""Chooses the machines to provision for the gaps of the forecast: greedy bin packing by price.

Performs no I/O. For each step of the forecast, the demand is packed into the capacity that will
exist by then: running machines, and requested machines until twice their boot time has passed. The
demand is packed into individual machines and not into the sum of their capacity, since free
capacity that is spread over several machines can't hold a large task (see "room in pieces" in
DESIGN).

Demand without capacity at a step is a gap. For a gap that is needed from time t until e, each pool
is scored by (launch overhead + (e - t) x price) / work served, and machines of the cheapest pool
are added until no gap remains.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NamedTuple

from .packing import Bin, Demand, FreeCapacity, count_slots, pack_demand, take_slots

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from ..protocol import wire
    from .fleet import Pool
    from .placement import GpuReservations

MAX_URGENCY_PREMIUM = 2.0
"""The price limit of a pool that boots in time, as a multiple of the cheapest pool's price."""
SIMILAR_SIZE_RATIO = 1.25
"""The factor by which the cores of demands may differ that are merged into one."""


@dataclass
class ProvisionDecision:
    """A machine to provision, and the gap that it fills."""

    pool: Pool
    job_class: str
    score: float
    needed_from_s: float
    needed_until_s: float


@dataclass
class ForecastStep:
    """The demand at a step of the forecast, and the free capacity expected by then."""

    starts_in_s: float
    demands: list[Demand]
    free_capacity: FreeCapacity


def merge_demands(demands: Iterable[Demand]) -> list[Demand]:
    """Merges demands of nearly the same size; modifies those given.

    Demands that differ only in cores, and by no more than `SIMILAR_SIZE_RATIO`, become one demand
    of the largest size.

    The sizes of a class's jobs vary; packing each size separately would take time in proportion to
    sizes times machines.
    """
    merged: dict[Hashable, Demand] = {}
    for demand in demands:
        key = _similarity_key(demand)
        similar = merged.get(key)
        if similar is None:
            merged[key] = demand
        else:
            _merge_into(similar, demand)
    return list(merged.values())


def _similarity_key(demand: Demand) -> Hashable:
    shape = demand.shape
    magnitude = (
        math.floor(math.log(shape.cores) / math.log(SIMILAR_SIZE_RATIO))
        if shape.cores > 0
        else None
    )
    return replace(shape, cores=0.0), magnitude


def _merge_into(target: Demand, demand: Demand) -> None:
    if demand.shape.cores > target.shape.cores:
        target.shape = demand.shape
    target.add_tasks(demand.count, demand.needed_until_s)
    target.represents_job_class = target.represents_job_class or demand.represents_job_class
    if target.max_tasks_by_zone is not None and demand.max_tasks_by_zone is not None:
        for zone, limit in demand.max_tasks_by_zone.items():
            target.max_tasks_by_zone[zone] = target.max_tasks_by_zone.get(zone, 0) + limit


class ScoredPool(NamedTuple):
    """A pool and its price per unit of work."""

    score: float
    pool: Pool


@dataclass
class Provisioner:
    """Fills the gaps of a forecast with machines of the available pools."""

    machine_types: dict[str, wire.MachineType]
    pools: list[Pool]
    gpu_reservations: GpuReservations
    spot_price_factor: float

    def plan(self, steps: list[ForecastStep], max_machines: int) -> list[ProvisionDecision]:
        """Returns the machines to provision now.

        `steps` are in order of time, and are modified; a machine that is provisioned for one step
        counts as capacity at the later ones. Before the last step, only machine types that boot in
        time may fill a gap.
        """
        decisions: list[ProvisionDecision] = []
        for number, step in enumerate(steps, 1):
            is_last = number == len(steps)
            max_boot_s = float("inf") if is_last else step.starts_in_s
            for decision in decisions:
                step.free_capacity.add_bin(self._empty_bin(decision.pool))
            for demand in step.demands:
                self._fill_gap(step, demand, max_boot_s, decisions, max_machines)
        return decisions

    def _fill_gap(
        self,
        step: ForecastStep,
        demand: Demand,
        max_boot_s: float,
        decisions: list[ProvisionDecision],
        max_machines: int,
    ) -> None:
        """Adds machines to `decisions` until the demand fits, or no pool can serve it."""
        unplaced = pack_demand(demand, step.free_capacity, self.gpu_reservations)
        while unplaced > 0 and len(decisions) < max_machines:
            found = self.find_cheapest_pool(demand, unplaced, step.starts_in_s, max_boot_s)
            if found is None:
                break
            pool = found.pool
            new_bin = self._empty_bin(pool)
            count = self._count_served(demand, unplaced, new_bin)
            take_slots(demand.shape, new_bin, count)
            demand.record_packed(pool.zone, count)
            step.free_capacity.add_bin(new_bin)
            demand.machines_by_zone[pool.zone] = demand.machines_by_zone.get(pool.zone, 0) + 1
            decisions.append(
                ProvisionDecision(
                    pool,
                    demand.shape.job_class,
                    found.score,
                    step.starts_in_s,
                    demand.needed_until_s,
                )
            )
            unplaced -= count

    def find_cheapest_pool(
        self, demand: Demand, count: int, starts_in_s: float, max_boot_s: float
    ) -> ScoredPool | None:
        """Returns the pool with the lowest price per unit of work for this gap.

        Only machine types that boot in time are eligible. Among equal prices, the pool whose zone
        has the fewest machines of the demand is chosen. Returns None also if the price is at least
        `MAX_URGENCY_PREMIUM` times that of the cheapest pool, which then fills the gap of a later
        step.
        """
        best: tuple[float, int, Pool] | None = None
        lowest = float("inf")
        hours = max(demand.needed_until_s - starts_in_s, 1.0) / 3600
        for pool in self.pools:
            new_bin = self._empty_bin(pool)
            if not demand.can_use(new_bin):
                continue
            served = self._count_served(demand, count, new_bin)
            if not served:
                continue
            score = self._price_per_work(pool, served, hours)
            lowest = min(lowest, score)
            key = (round(score, 6), demand.machines_by_zone.get(pool.zone, 0))
            boot_s = self.machine_types[pool.machine_type].boot_s
            if boot_s <= max_boot_s and (best is None or key < best[:2]):
                best = (*key, pool)
        if best is None or best[0] >= MAX_URGENCY_PREMIUM * lowest:
            return None
        return ScoredPool(best[0], best[2])

    def _price_per_work(self, pool: Pool, served: int, hours: float) -> float:
        machine_type = self.machine_types[pool.machine_type]
        if pool.spot:
            price = machine_type.hourly_spot_price * self.spot_price_factor
        else:
            price = machine_type.hourly_price
        return (price * machine_type.boot_s / 3600 + hours * price) / (served * hours)

    def _count_served(self, demand: Demand, count: int, new_bin: Bin) -> int:
        """Returns how many of `count` tasks the new machine can take."""
        slots = count_slots(demand.shape, new_bin, self.gpu_reservations)
        return min(count, slots, demand.max_tasks_in(new_bin.zone))

    def _empty_bin(self, pool: Pool) -> Bin:
        return Bin.empty(self.machine_types[pool.machine_type], pool.zone, spot=pool.spot)
