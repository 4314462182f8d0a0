"""What to rent for the gaps of the forecast: cheapest per unit of work first. Pure.

For each step of the horizon the demand is packed into the rooms that will be there by then
(machines up, and machines asked for until twice their boot time has passed). Packing into the rooms
themselves, not into their sum, is the exception that DESIGN's "room in pieces" asks for. What finds
no room at some step is a gap; from its first step to the last one of its run each type is scored by
(launch overhead + (e - t) x price) / work served, and the cheapest joins until no gap remains.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .packing import Bin, Demand, FreeCapacity, count_slots, pack_demand, take_slots

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from ..protocol import wire
    from .fleet import Pool
    from .placement import GpuNeeds

MAX_URGENCY_PREMIUM = 2.0
SIMILAR_SIZE_RATIO = 1.25


@dataclass
class ProvisionDecision:
    """One machine to rent, and why."""

    pool: Pool
    job_class: str
    score: float
    needed_from_s: float
    needed_until_s: float


def merge_demands(demands: Iterable[Demand]) -> list[Demand]:
    """Merges demands of nearly the same size; those given are used up.

    Those that differ by no more than `SIMILAR_SIZE_RATIO` in cores, and in nothing else, count as
    one of the largest size.

    Jobs of a class vary; a plan that packs each of their sizes by itself grows with sizes times
    machines.
    """
    found: dict[Hashable, Demand] = {}
    for demand in demands:
        shape = demand.shape
        order = (
            math.floor(math.log(shape.cores) / math.log(SIMILAR_SIZE_RATIO))
            if shape.cores > 0
            else None
        )
        key = replace(shape, cores=0.0), order
        one = found.get(key)
        if one is None:
            found[key] = demand
            continue
        if shape.cores > one.shape.cores:
            one.shape = shape
        one.add_tasks(demand.count, demand.needed_until_s)
        one.represents_job_class = one.represents_job_class or demand.represents_job_class
        if one.max_tasks_by_zone is not None and demand.max_tasks_by_zone is not None:
            for zone, cap in demand.max_tasks_by_zone.items():
                one.max_tasks_by_zone[zone] = one.max_tasks_by_zone.get(zone, 0) + cap
    return list(found.values())


def find_cheapest_pool(
    demand: Demand,
    count: int,
    first: float,
    kinds: dict[str, wire.MachineType],
    pools: list[Pool],
    needs: GpuNeeds,
    spot_worth: float,
    by: float,
) -> tuple[float, Pool] | None:
    """The pool with the lowest price per unit of work for this gap.

    Only types that boot by then count. Among equal ones, the zone that the shape's machines use
    least. None also if being there in time costs `MAX_URGENCY_PREMIUM` times as much as the
    cheapest type: a later step's gap will take that one.
    """
    best: tuple[float, int, Pool] | None = None
    lowest = float("inf")
    shape = demand.shape
    hours = max(demand.needed_until_s - first, 1.0) / 3600
    for pool in pools:
        kind = kinds[pool.machine_type]
        fresh = Bin.empty(kind, pool.zone, pool.spot)
        if not demand.can_use(fresh):
            continue
        served = min(count, count_slots(shape, fresh, needs), demand.max_tasks_in(pool.zone))
        if not served:
            continue
        price = kind.hourly_spot_price * spot_worth if pool.spot else kind.hourly_price
        score = (price * kind.boot_s / 3600 + hours * price) / (served * hours)
        lowest = min(lowest, score)
        key = (round(score, 6), demand.machines_by_zone.get(pool.zone, 0))
        if kind.boot_s <= by and (best is None or key < best[:2]):
            best = (*key, pool)
    return (best[0], best[2]) if best and best[0] < MAX_URGENCY_PREMIUM * lowest else None


def plan_provisioning(
    steps: list[tuple[float, list[Demand], FreeCapacity]],
    kinds: dict[str, wire.MachineType],
    pools: list[Pool],
    needs: GpuNeeds,
    spot_worth: float,
    most: int,
) -> list[ProvisionDecision]:
    """What to rent now.

    `steps`: (time from now, demand, rooms) in order of time, which are used up; what is rented for
    one step is room at the later ones. Before the last step, only types that boot in time serve a
    gap.
    """
    rents: list[ProvisionDecision] = []
    joined: list[tuple[Pool, wire.MachineType]] = []
    open_pools = list(pools)
    for number, (at, demands, rooms) in enumerate(steps, 1):
        by = at if number < len(steps) else float("inf")
        for pool, kind in joined:
            rooms.add_bin(Bin.empty(kind, pool.zone, pool.spot))
        for demand in demands:
            left = pack_demand(demand, rooms, needs)
            while left > 0 and len(rents) < most:
                found = find_cheapest_pool(
                    demand, left, at, kinds, open_pools, needs, spot_worth, by
                )
                if found is None:
                    break
                score, pool = found
                kind = kinds[pool.machine_type]
                fresh = Bin.empty(kind, pool.zone, pool.spot)
                count = min(
                    left, count_slots(demand.shape, fresh, needs), demand.max_tasks_in(pool.zone)
                )
                take_slots(demand.shape, fresh, count)
                demand.record_packed(pool.zone, count)
                rooms.add_bin(fresh)
                joined.append((pool, kind))
                demand.machines_by_zone[pool.zone] = demand.machines_by_zone.get(pool.zone, 0) + 1
                rents.append(
                    ProvisionDecision(
                        pool, demand.shape.job_class, score, at, demand.needed_until_s
                    )
                )
                left -= count
    return rents
