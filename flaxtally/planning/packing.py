"""How much of a demand the room that will be there can hold. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

from .best_effort import NO_EXPENSIVE_TYPES, ExpensiveTypes
from .placement import SLACK, GpuNeeds, allowed

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..protocol import wire
    from ..protocol.shape import Shape

ANY_NUMBER = 1_000_000
"""Of tasks: no bound."""


class Bin:
    """A machine's room at one step of the packing."""

    __slots__ = (
        "cores",
        "gpus",
        "has_regular_tasks",
        "machine_type",
        "memory_gb",
        "name",
        "spot",
        "zone",
    )

    def __init__(
        self,
        kind: wire.MachineType,
        zone: str,
        spot: bool,
        cores: float,
        gpus: float,
        memory_gb: float,
        name: str = "",
        anchored: bool = False,
    ) -> None:
        """`has_regular_tasks`: kept for more than best-effort work."""
        self.machine_type, self.zone, self.spot = kind, zone, spot
        self.cores, self.gpus, self.memory_gb = cores, gpus, memory_gb
        self.name, self.has_regular_tasks = name, anchored

    @classmethod
    def empty(cls, kind: wire.MachineType, zone: str, spot: bool) -> Bin:
        """A machine with nothing on it."""
        return cls(kind, zone, spot, kind.cores, kind.gpus, kind.memory_gb)

    def copy(self) -> Bin:
        """The same room, to be used up by itself."""
        return Bin(
            self.machine_type,
            self.zone,
            self.spot,
            self.cores,
            self.gpus,
            self.memory_gb,
            self.name,
            self.has_regular_tasks,
        )


@dataclass
class Demand:
    """Tasks of one shape that need room at a time of the horizon."""

    shape: Shape
    count: float
    needed_until_s: float
    machines_by_zone: dict[str, int] = field(default_factory=dict)
    max_tasks_by_zone: dict[str, int] | None = None
    """For jobs that spread: how many more of their tasks each zone may take. None: any number."""
    represents_job_class: bool = False
    """Stands for its lane in the forecast of arrivals."""
    expensive_types: ExpensiveTypes = NO_EXPENSIVE_TYPES
    """Types that best-effort work neither rents nor keeps."""

    def can_use(self, room: Bin) -> bool:
        """Whether the room counts for this demand."""
        return allowed(self.shape, room.machine_type, room.zone, room.spot) and (
            room.has_regular_tasks
            or (room.machine_type.name, room.spot) not in self.expensive_types
        )

    def max_tasks_in(self, zone: str) -> int:
        """How many more tasks the zone may take."""
        return ANY_NUMBER if self.max_tasks_by_zone is None else self.max_tasks_by_zone.get(zone, 0)

    def add_tasks(self, count: float, length: float) -> None:
        """That many tasks more, which run that long."""
        whole = self.count + count
        if whole:
            self.needed_until_s = (self.needed_until_s * self.count + length * count) / whole
        self.count = whole

    def record_packed(self, zone: str, count: int) -> None:
        """That many tasks were packed in the zone."""
        if self.max_tasks_by_zone is not None:
            self.max_tasks_by_zone[zone] = self.max_tasks_in(zone) - count


class _PoolKey(NamedTuple):
    """What decides whether a demand may use a bin."""

    kind: str
    zone: str
    spot: bool
    anchored: bool


class FreeCapacity:
    """The bins of one step, by pool, in the order in which they came."""

    def __init__(self, bins: Iterable[Bin] = ()) -> None:
        self._pools: dict[_PoolKey, list[Bin]] = {}
        for room in bins:
            self.add_bin(room)

    def add_bin(self, room: Bin) -> None:
        """One more machine's room."""
        key = _PoolKey(room.machine_type.name, room.zone, room.spot, room.has_regular_tasks)
        self._pools.setdefault(key, []).append(room)

    def copy(self, without: Collection[str] = ()) -> FreeCapacity:
        """The same rooms, to be used up by themselves, less those of the machines named."""
        copied = FreeCapacity()
        copied._pools = {
            key: [room.copy() for room in rooms if room.name not in without]
            for key, rooms in self._pools.items()
        }
        return copied

    def drop_full_bins(self, demands: Iterable[Demand], needs: GpuNeeds) -> None:
        """Drops the bins in which no task of any demand finds room: packing passes over them."""
        demands = list(demands)
        for key, rooms in self._pools.items():
            shapes = [demand.shape for demand in demands if rooms and demand.can_use(rooms[0])]
            least = [
                size
                for size in (
                    _least(shape for shape in shapes if shape.gpus),
                    _least(shape for shape in shapes if not shape.gpus),
                )
                if size is not None
            ]
            self._pools[key] = [
                room for room in rooms if any(count_slots(size, room, needs) for size in least)
            ]

    def bins_for(self, demand: Demand) -> list[list[Bin]]:
        """The pools that count for the demand, those that it is to use first at the front.

        Spot machines first for what may use them, plain ones first for what needs no GPU.
        """
        shape = demand.shape
        found = [rooms for rooms in self._pools.values() if rooms and demand.can_use(rooms[0])]
        found.sort(
            key=lambda rooms: (
                shape.spot and not rooms[0].spot,
                bool(rooms[0].machine_type.gpus) and not shape.gpus,
            )
        )
        return found


class Size(Protocol):
    """What a task takes of its machine."""

    @property
    def cores(self) -> float: ...

    @property
    def gpus(self) -> float: ...

    @property
    def memory_gb(self) -> float: ...


class _Size(NamedTuple):
    cores: float
    gpus: float
    memory_gb: float


def _least(shapes: Iterable[Shape]) -> _Size | None:
    """The least that any of the shapes takes, by resource; None: there are none."""
    sizes = [(shape.cores, shape.gpus, shape.memory_gb) for shape in shapes]
    if not sizes:
        return None
    cores, gpus, memory_gb = zip(*sizes, strict=True)
    return _Size(min(cores), min(gpus), min(memory_gb))


def count_slots(size: Size, room: Bin, needs: GpuNeeds) -> int:
    """How many tasks of a size a bin still takes."""
    cores, memory_gb, kind = room.cores, room.memory_gb, room.machine_type
    if not size.gpus and kind.gpus:
        cores -= room.gpus * min(needs.cores, kind.cores / kind.gpus)
        memory_gb -= room.gpus * min(needs.memory_gb, kind.memory_gb / kind.gpus)
    most = math.inf
    if size.cores:
        most = (cores + SLACK) / size.cores
    if size.gpus:
        most = min(most, (room.gpus + SLACK) / size.gpus)
    if size.memory_gb:
        most = min(most, (memory_gb + SLACK) / size.memory_gb)
    return max(0, int(most)) if most < math.inf else ANY_NUMBER


def take_slots(size: Size, room: Bin, count: int) -> None:
    """Uses up the room of that many tasks."""
    room.cores -= size.cores * count
    room.gpus -= size.gpus * count
    room.memory_gb -= size.memory_gb * count


def pack_demand(demand: Demand, rooms: FreeCapacity, needs: GpuNeeds) -> int:
    """Packs the demand into the rooms, which it uses up; gives how many tasks are left over."""
    left = int(demand.count)
    if left <= 0:
        return left
    for bins in rooms.bins_for(demand):
        for room in bins:
            count = min(
                left, count_slots(demand.shape, room, needs), demand.max_tasks_in(room.zone)
            )
            if count:
                take_slots(demand.shape, room, count)
                demand.record_packed(room.zone, count)
                left -= count
                if left <= 0:
                    return left
    return left
