"""Which machines to provision for the gaps of the forecast: greedy cost-per-work bin packing.

Pure. For each step of the horizon the demand is packed into the capacity that will be there by then
(machines up, and machines requested, until twice their boot time has passed). Packing into the
machines themselves, not into their sum, is the exception that DESIGN's "room in pieces" asks for.
What finds no capacity at some step is a gap; from its first step to the last one of its run each
type is scored by (launch overhead + (e - t) x price) / work served, and the cheapest joins until no
gap remains.
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
"""How many times the price of the cheapest pool one may cost that boots in time."""
SIMILAR_SIZE_RATIO = 1.25
"""Demands whose cores differ by no more than this factor may count as one."""


@dataclass
class ProvisionDecision:
    """One machine to provision, and why."""

    pool: Pool
    job_class: str
    score: float
    needed_from_s: float
    needed_until_s: float


@dataclass
class ForecastStep:
    """The demand at a step of the horizon, and the capacity that may hold some of it."""

    starts_in_s: float
    demands: list[Demand]
    free_capacity: FreeCapacity


def merge_demands(demands: Iterable[Demand]) -> list[Demand]:
    """Merges demands of nearly the same size; those given are used up.

    Those that differ by no more than `SIMILAR_SIZE_RATIO` in cores, and in nothing else, count as
    one of the largest size.

    Jobs of a class vary; a plan that packs each of their sizes by itself grows with sizes times
    machines.
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
    """A pool, and its price per unit of work."""

    score: float
    pool: Pool


@dataclass
class Provisioner:
    """Fills the gaps of a forecast with machines of the pools that can be had."""

    machine_types: dict[str, wire.MachineType]
    pools: list[Pool]
    gpu_reservations: GpuReservations
    spot_price_factor: float

    def plan(self, steps: list[ForecastStep], max_machines: int) -> list[ProvisionDecision]:
        """Decides what to provision now.

        `steps` in order of time are used up; what is provisioned for one step is capacity at the
        later ones. Before the last step, only types that boot in time serve a gap.
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
        """Adds machines to `decisions` until the demand has capacity, or no pool serves it."""
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
        """The pool with the lowest price per unit of work for this gap.

        Only types that boot in time count. Among equal ones, the zone that the shape's machines
        use least. None also if being there in time costs `MAX_URGENCY_PREMIUM` times as much as
        the cheapest type: a later step's gap will take that one.
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
        """How many of `count` tasks the new machine takes."""
        slots = count_slots(demand.shape, new_bin, self.gpu_reservations)
        return min(count, slots, demand.max_tasks_in(new_bin.zone))

    def _empty_bin(self, pool: Pool) -> Bin:
        return Bin.empty(self.machine_types[pool.machine_type], pool.zone, spot=pool.spot)
