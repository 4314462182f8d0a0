"""What to rent for the gaps of the forecast: cheapest per unit of work first. Pure.

For each step of the horizon the demand is packed into the rooms that will be there by then
(machines up, and machines asked for until twice their boot time has passed). Packing into the rooms
themselves, not into their sum, is the exception that DESIGN's "room in pieces" asks for. What finds
no room at some step is a gap; from its first step to the last one of its run each type is scored by
(launch overhead + (e - t) x price) / work served, and the cheapest joins until no gap remains.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field, replace

from . import wire
from .best_effort import NOTHING_DEAR, Dear
from .forecast import Shape
from .placement import SLACK, GpuNeeds, allowed

HASTE = 2.0
ALIKE = 1.25


@dataclass
class Bin:
    """A machine's room at one step of the packing."""

    kind: wire.MachineType
    zone: str
    spot: bool
    cores: float
    gpus: float
    ram: float
    name: str = ""
    anchored: bool = False
    """Kept for more than best-effort work."""


@dataclass(frozen=True)
class Pool:
    """Where machines can be asked for."""

    kind: str
    zone: str
    spot: bool


@dataclass
class Rent:
    """One machine to rent, and why."""

    pool: Pool
    lane: str
    score: float
    first: float
    last: float


@dataclass
class Demand:
    """Tasks of one shape that need room at a time of the horizon."""

    shape: Shape
    count: float
    until: float
    zones: dict[str, int] = field(default_factory=dict)
    caps: dict[str, int] | None = None
    """For jobs that spread: how many more of their tasks each zone may take. None: any number."""
    typical: bool = False
    """Stands for its lane in the forecast of arrivals."""
    dear: Dear = NOTHING_DEAR
    """Types that best-effort work neither rents nor keeps."""

    def may_use(self, room: Bin) -> bool:
        """Whether the room counts for this demand."""
        return allowed(self.shape, room.kind, room.zone, room.spot) and (
            room.anchored or (room.kind.name, room.spot) not in self.dear
        )

    def cap(self, zone: str) -> int:
        return 1_000_000 if self.caps is None else self.caps.get(zone, 0)

    def add(self, count: float, length: float) -> None:
        """That many tasks more, which run that long."""
        whole = self.count + count
        if whole:
            self.until = (self.until * self.count + length * count) / whole
        self.count = whole

    def used(self, zone: str, count: int) -> None:
        if self.caps is not None:
            self.caps[zone] = self.cap(zone) - count


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


def _slots(shape: Shape, room: Bin, needs: GpuNeeds) -> int:
    """How many tasks of a shape a bin still takes."""
    cores, ram = room.cores, room.ram
    if not shape.gpus and room.kind.gpus:
        cores -= room.gpus * min(needs.cores, room.kind.cores / room.kind.gpus)
        ram -= room.gpus * min(needs.ram, room.kind.ram / room.kind.gpus)
    pairs = ((cores, shape.cores), (room.gpus, shape.gpus), (ram, shape.ram))
    counts = [(have + SLACK) / want for have, want in pairs if want]
    return max(0, int(min(counts))) if counts else 1_000_000


def _take(shape: Shape, room: Bin, count: int) -> None:
    room.cores -= shape.cores * count
    room.gpus -= shape.gpus * count
    room.ram -= shape.ram * count


def pack(demand: Demand, rooms: list[Bin], needs: GpuNeeds) -> int:
    """Packs the demand into the rooms, which it uses up; gives how many tasks are left over."""
    left = int(demand.count)
    shape = demand.shape
    # Spot machines first for what may use them, plain ones first for what needs no GPU.
    for room in sorted(
        (room for room in rooms if demand.may_use(room)),
        key=lambda room: (shape.spot and not room.spot, bool(room.kind.gpus) and not shape.gpus),
    ):
        if left <= 0:
            break
        count = min(left, _slots(shape, room, needs), demand.cap(room.zone))
        if count:
            _take(shape, room, count)
            demand.used(room.zone, count)
            left -= count
    return left


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
        kind = kinds[pool.kind]
        fresh = Bin(kind, pool.zone, pool.spot, kind.cores, kind.gpus, kind.ram)
        if not demand.may_use(fresh):
            continue
        served = min(count, _slots(shape, fresh, needs), demand.cap(pool.zone))
        if not served:
            continue
        price = kind.spot_price * spot_worth if pool.spot else kind.price
        score = (price * kind.boot / 3600 + hours * price) / (served * hours)
        lowest = min(lowest, score)
        key = (round(score, 6), demand.zones.get(pool.zone, 0))
        if kind.boot <= by and (best is None or key < best[:2]):
            best = (*key, pool)
    return (best[0], best[2]) if best and best[0] < HASTE * lowest else None


def plan(
    steps: list[tuple[float, list[Demand], list[Bin]]],
    kinds: dict[str, wire.MachineType],
    pools: list[Pool],
    needs: GpuNeeds,
    spot_worth: float,
    most: int,
) -> list[Rent]:
    """What to rent now.

    `steps`: (time from now, demand, rooms) in order of time; what is rented for one step is room at
    the later ones. Before the last step, only types that boot in time serve a gap.
    """
    rents: list[Rent] = []
    joined: list[tuple[Pool, wire.MachineType]] = []
    open_pools = list(pools)
    for number, (at, demands, rooms) in enumerate(steps, 1):
        by = at if number < len(steps) else float("inf")
        bins = rooms + [
            Bin(kind, pool.zone, pool.spot, kind.cores, kind.gpus, kind.ram)
            for pool, kind in joined
        ]
        for demand in demands:
            left = pack(demand, bins, needs)
            while left > 0 and len(rents) < most:
                found = cheapest(demand, left, at, kinds, open_pools, needs, spot_worth, by)
                if found is None:
                    break
                score, pool = found
                kind = kinds[pool.kind]
                fresh = Bin(kind, pool.zone, pool.spot, kind.cores, kind.gpus, kind.ram)
                count = min(left, _slots(demand.shape, fresh, needs), demand.cap(pool.zone))
                _take(demand.shape, fresh, count)
                demand.used(pool.zone, count)
                bins.append(fresh)
                joined.append((pool, kind))
                demand.zones[pool.zone] = demand.zones.get(pool.zone, 0) + 1
                rents.append(Rent(pool, demand.shape.lane, score, at, demand.until))
                left -= count
    return rents
