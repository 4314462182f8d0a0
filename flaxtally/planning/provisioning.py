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

from .packing import Bin, Demand, Rooms, pack, slots, take

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from ..protocol import wire
    from .fleet import Pool
    from .placement import GpuNeeds

HASTE = 2.0
ALIKE = 1.25


@dataclass
class Rent:
    """One machine to rent, and why."""

    pool: Pool
    job_class: str
    score: float
    first: float
    last: float


def merged(demands: Iterable[Demand]) -> list[Demand]:
    """Merges demands of nearly the same size; those given are used up.

    Those that differ by no more than `ALIKE` in cores, and in nothing else, count as one of the
    largest size.

    Jobs of a class vary; a plan that packs each of their sizes by itself grows with sizes times
    machines.
    """
    found: dict[Hashable, Demand] = {}
    for demand in demands:
        shape = demand.shape
        order = math.floor(math.log(shape.cores) / math.log(ALIKE)) if shape.cores > 0 else None
        key = replace(shape, cores=0.0), order
        one = found.get(key)
        if one is None:
            found[key] = demand
            continue
        if shape.cores > one.shape.cores:
            one.shape = shape
        one.add(demand.count, demand.until)
        one.typical = one.typical or demand.typical
        if one.caps is not None and demand.caps is not None:
            for zone, cap in demand.caps.items():
                one.caps[zone] = one.caps.get(zone, 0) + cap
    return list(found.values())


def cheapest(
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
    least. None also if being there in time costs `HASTE` times as much as the cheapest type: a
    later step's gap will take that one.
    """
    best: tuple[float, int, Pool] | None = None
    lowest = float("inf")
    shape = demand.shape
    hours = max(demand.until - first, 1.0) / 3600
    for pool in pools:
        kind = kinds[pool.machine_type]
        fresh = Bin.empty(kind, pool.zone, pool.spot)
        if not demand.may_use(fresh):
            continue
        served = min(count, slots(shape, fresh, needs), demand.cap(pool.zone))
        if not served:
            continue
        price = kind.hourly_spot_price * spot_worth if pool.spot else kind.hourly_price
        score = (price * kind.boot_s / 3600 + hours * price) / (served * hours)
        lowest = min(lowest, score)
        key = (round(score, 6), demand.zones.get(pool.zone, 0))
        if kind.boot_s <= by and (best is None or key < best[:2]):
            best = (*key, pool)
    return (best[0], best[2]) if best and best[0] < HASTE * lowest else None


def plan(
    steps: list[tuple[float, list[Demand], Rooms]],
    kinds: dict[str, wire.MachineType],
    pools: list[Pool],
    needs: GpuNeeds,
    spot_worth: float,
    most: int,
) -> list[Rent]:
    """What to rent now.

    `steps`: (time from now, demand, rooms) in order of time, which are used up; what is rented for
    one step is room at the later ones. Before the last step, only types that boot in time serve a
    gap.
    """
    rents: list[Rent] = []
    joined: list[tuple[Pool, wire.MachineType]] = []
    open_pools = list(pools)
    for number, (at, demands, rooms) in enumerate(steps, 1):
        by = at if number < len(steps) else float("inf")
        for pool, kind in joined:
            rooms.add(Bin.empty(kind, pool.zone, pool.spot))
        for demand in demands:
            left = pack(demand, rooms, needs)
            while left > 0 and len(rents) < most:
                found = cheapest(demand, left, at, kinds, open_pools, needs, spot_worth, by)
                if found is None:
                    break
                score, pool = found
                kind = kinds[pool.machine_type]
                fresh = Bin.empty(kind, pool.zone, pool.spot)
                count = min(left, slots(demand.shape, fresh, needs), demand.cap(pool.zone))
                take(demand.shape, fresh, count)
                demand.used(pool.zone, count)
                rooms.add(fresh)
                joined.append((pool, kind))
                demand.zones[pool.zone] = demand.zones.get(pool.zone, 0) + 1
                rents.append(Rent(pool, demand.shape.job_class, score, at, demand.until))
                left -= count
    return rents
