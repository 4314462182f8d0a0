"""How much of a demand the capacity that will be there can hold. Pure.

Machines are bins, tasks of one shape take slots in them. Begin with `pack_demand`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Protocol

from .best_effort import NO_EXPENSIVE_TYPES, ExpensiveTypes
from .placement import RESOURCE_TOLERANCE, GpuReservations, may_use_machine_type

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..protocol import wire
    from ..protocol.shape import Shape

NO_LIMIT = 1_000_000
"""More tasks than any demand has."""


class Bin:
    """A machine's free capacity at one step of the packing."""

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
        machine_type: wire.MachineType,
        zone: str,
        cores: float,
        gpus: float,
        memory_gb: float,
        name: str = "",
        *,
        spot: bool,
        has_regular_tasks: bool = False,
    ) -> None:
        """`has_regular_tasks`: more than best-effort work keeps the machine."""
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.cores = cores
        self.gpus = gpus
        self.memory_gb = memory_gb
        self.name = name
        self.has_regular_tasks = has_regular_tasks

    @classmethod
    def empty(cls, machine_type: wire.MachineType, zone: str, *, spot: bool) -> Bin:
        """A machine with nothing on it."""
        return cls(
            machine_type,
            zone,
            machine_type.cores,
            machine_type.gpus,
            machine_type.memory_gb,
            spot=spot,
        )

    def copy(self) -> Bin:
        """The same capacity, to be used up by itself."""
        return Bin(
            self.machine_type,
            self.zone,
            self.cores,
            self.gpus,
            self.memory_gb,
            self.name,
            spot=self.spot,
            has_regular_tasks=self.has_regular_tasks,
        )


@dataclass
class Demand:
    """Tasks of one shape that need capacity at a time of the horizon."""

    shape: Shape
    count: float
    needed_until_s: float
    machines_by_zone: dict[str, int] = field(default_factory=dict)
    """Machines that the demand may use, those to be provisioned included."""
    max_tasks_by_zone: dict[str, int] | None = None
    """For jobs that spread: how many more of their tasks each zone may take. None: no limit."""
    represents_job_class: bool = False
    """Whether what is expected to arrive of the job class counts for this shape."""
    expensive_types: ExpensiveTypes = NO_EXPENSIVE_TYPES
    """Types that are neither provisioned nor kept for best-effort work."""

    def can_use(self, free_bin: Bin) -> bool:
        """Whether the capacity counts for this demand."""
        machine_type = free_bin.machine_type
        return may_use_machine_type(self.shape, machine_type, free_bin.zone, free_bin.spot) and (
            free_bin.has_regular_tasks
            or (machine_type.name, free_bin.spot) not in self.expensive_types
        )

    def max_tasks_in(self, zone: str) -> int:
        """How many more tasks the zone may take."""
        return NO_LIMIT if self.max_tasks_by_zone is None else self.max_tasks_by_zone.get(zone, 0)

    def add_tasks(self, count: float, run_s: float) -> None:
        """Adds tasks; the demand is needed until the mean of all their run times."""
        total = self.count + count
        if total:
            self.needed_until_s = (self.needed_until_s * self.count + run_s * count) / total
        self.count = total

    def record_packed(self, zone: str, count: int) -> None:
        """Counts tasks that were packed in the zone against its limit."""
        if self.max_tasks_by_zone is not None:
            self.max_tasks_by_zone[zone] = self.max_tasks_in(zone) - count


class _BinKey(NamedTuple):
    """What decides whether a demand may use a bin."""

    machine_type: str
    zone: str
    spot: bool
    has_regular_tasks: bool


class FreeCapacity:
    """The bins of one step, by pool, in the order in which they were added."""

    def __init__(self, bins: Iterable[Bin] = ()) -> None:
        """`bins` are not copied: packing uses them up."""
        self._bins: dict[_BinKey, list[Bin]] = {}
        for free_bin in bins:
            self.add_bin(free_bin)

    def add_bin(self, free_bin: Bin) -> None:
        """Adds one more machine's capacity."""
        key = _BinKey(
            free_bin.machine_type.name, free_bin.zone, free_bin.spot, free_bin.has_regular_tasks
        )
        self._bins.setdefault(key, []).append(free_bin)

    def copy(self, without: Collection[str] = ()) -> FreeCapacity:
        """The same capacity, to be used up by itself, less that of the machines named."""
        copied = FreeCapacity()
        copied._bins = {
            key: [free_bin.copy() for free_bin in bins if free_bin.name not in without]
            for key, bins in self._bins.items()
        }
        return copied

    def drop_full_bins(self, demands: Iterable[Demand], gpu_reservations: GpuReservations) -> None:
        """Drops the bins that have no slot for any demand: packing passes over them."""
        demands = list(demands)
        for key, bins in self._bins.items():
            shapes = [demand.shape for demand in demands if bins and demand.can_use(bins[0])]
            smallest = [
                size
                for size in (
                    _smallest_size(shape for shape in shapes if shape.gpus),
                    _smallest_size(shape for shape in shapes if not shape.gpus),
                )
                if size is not None
            ]
            self._bins[key] = [
                free_bin
                for free_bin in bins
                if any(count_slots(size, free_bin, gpu_reservations) for size in smallest)
            ]

    def bins_for(self, demand: Demand) -> list[list[Bin]]:
        """The bins that count for the demand, by pool, those to be used first at the front.

        Spot machines first for what may use them, plain ones first for what needs no GPU.
        """
        shape = demand.shape
        pools = [bins for bins in self._bins.values() if bins and demand.can_use(bins[0])]
        pools.sort(
            key=lambda bins: (
                shape.spot and not bins[0].spot,
                bool(bins[0].machine_type.gpus) and not shape.gpus,
            )
        )
        return pools


class Size(Protocol):
    """What a task takes of its machine."""

    @property
    def cores(self) -> float:
        """Processor cores."""
        ...

    @property
    def gpus(self) -> float:
        """GPUs."""
        ...

    @property
    def memory_gb(self) -> float:
        """Memory."""
        ...


class _Size(NamedTuple):
    cores: float
    gpus: float
    memory_gb: float


def _smallest_size(shapes: Iterable[Shape]) -> _Size | None:
    """The least that any of the shapes takes, by resource; None: there are none."""
    sizes = [(shape.cores, shape.gpus, shape.memory_gb) for shape in shapes]
    if not sizes:
        return None
    cores, gpus, memory_gb = zip(*sizes, strict=True)
    return _Size(min(cores), min(gpus), min(memory_gb))


def count_slots(size: Size, free_bin: Bin, gpu_reservations: GpuReservations) -> int:
    """How many more tasks of a size the bin takes."""
    cores = free_bin.cores
    memory_gb = free_bin.memory_gb
    machine_type = free_bin.machine_type
    if not size.gpus and machine_type.gpus:
        cores -= free_bin.gpus * min(gpu_reservations.cores, machine_type.cores / machine_type.gpus)
        memory_gb -= free_bin.gpus * min(
            gpu_reservations.memory_gb, machine_type.memory_gb / machine_type.gpus
        )
    slots = math.inf
    if size.cores:
        slots = (cores + RESOURCE_TOLERANCE) / size.cores
    if size.gpus:
        slots = min(slots, (free_bin.gpus + RESOURCE_TOLERANCE) / size.gpus)
    if size.memory_gb:
        slots = min(slots, (memory_gb + RESOURCE_TOLERANCE) / size.memory_gb)
    return max(0, int(slots)) if slots < math.inf else NO_LIMIT


def take_slots(size: Size, free_bin: Bin, count: int) -> None:
    """Uses up the capacity of that many tasks."""
    free_bin.cores -= size.cores * count
    free_bin.gpus -= size.gpus * count
    free_bin.memory_gb -= size.memory_gb * count


def pack_demand(
    demand: Demand, free_capacity: FreeCapacity, gpu_reservations: GpuReservations
) -> int:
    """Packs the demand into the capacity, which it uses up; gives how many tasks are left over."""
    unplaced = int(demand.count)
    if unplaced <= 0:
        return unplaced
    for bins in free_capacity.bins_for(demand):
        for free_bin in bins:
            slots = count_slots(demand.shape, free_bin, gpu_reservations)
            count = min(unplaced, slots, demand.max_tasks_in(free_bin.zone))
            if count:
                take_slots(demand.shape, free_bin, count)
                demand.record_packed(free_bin.zone, count)
                unplaced -= count
                if unplaced <= 0:
                    return unplaced
    return unplaced
