"""Bin packing of forecast demand into expected free capacity. Performs no I/O.

Machines are bins, and tasks of one shape take slots in them. Start with `pack_demand`.
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
"""A number of tasks that is larger than any demand."""


class Bin:
    """The free capacity of a machine at one step of the forecast."""

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
        """`has_regular_tasks`: the machine runs tasks other than best-effort ones."""
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
        """Returns the bin of a machine without tasks."""
        return cls(
            machine_type,
            zone,
            machine_type.cores,
            machine_type.gpus,
            machine_type.memory_gb,
            spot=spot,
        )

    def copy(self) -> Bin:
        """Returns an independent copy."""
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
    """Tasks of one shape that need capacity at one step of the forecast."""

    shape: Shape
    count: float
    needed_until_s: float
    machines_by_zone: dict[str, int] = field(default_factory=dict)
    """Counts of the machines that the demand may use, including those to be provisioned."""
    max_tasks_by_zone: dict[str, int] | None = None
    """For spread jobs, how many more tasks each zone may take; None: no limit."""
    represents_job_class: bool = False
    """Whether the expected arrivals of the job class are counted for this shape."""
    expensive_types: ExpensiveTypes = NO_EXPENSIVE_TYPES
    """Machine types that are neither provisioned nor kept for best-effort jobs."""

    def can_use(self, free_bin: Bin) -> bool:
        """Whether the demand may use the bin."""
        machine_type = free_bin.machine_type
        return may_use_machine_type(self.shape, machine_type, free_bin.zone, free_bin.spot) and (
            free_bin.has_regular_tasks
            or (machine_type.name, free_bin.spot) not in self.expensive_types
        )

    def max_tasks_in(self, zone: str) -> int:
        """Returns how many more tasks the zone may take."""
        return NO_LIMIT if self.max_tasks_by_zone is None else self.max_tasks_by_zone.get(zone, 0)

    def add_tasks(self, count: float, run_s: float) -> None:
        """Adds tasks; `needed_until_s` becomes the mean run time of all tasks."""
        total = self.count + count
        if total:
            self.needed_until_s = (self.needed_until_s * self.count + run_s * count) / total
        self.count = total

    def record_packed(self, zone: str, count: int) -> None:
        """Counts tasks that were packed into the zone against its limit."""
        if self.max_tasks_by_zone is not None:
            self.max_tasks_by_zone[zone] = self.max_tasks_in(zone) - count


class _BinKey(NamedTuple):
    """The properties that decide whether a demand may use a bin."""

    machine_type: str
    zone: str
    spot: bool
    has_regular_tasks: bool


class FreeCapacity:
    """The bins of one forecast step, by pool, in the order in which they were added."""

    def __init__(self, bins: Iterable[Bin] = ()) -> None:
        """`bins` are not copied; packing uses up their capacity."""
        self._bins: dict[_BinKey, list[Bin]] = {}
        for free_bin in bins:
            self.add_bin(free_bin)

    def add_bin(self, free_bin: Bin) -> None:
        """Adds the free capacity of one more machine."""
        key = _BinKey(
            free_bin.machine_type.name, free_bin.zone, free_bin.spot, free_bin.has_regular_tasks
        )
        self._bins.setdefault(key, []).append(free_bin)

    def copy(self, without: Collection[str] = ()) -> FreeCapacity:
        """Returns an independent copy, without the bins of the machines named in `without`."""
        copied = FreeCapacity()
        copied._bins = {
            key: [free_bin.copy() for free_bin in bins if free_bin.name not in without]
            for key, bins in self._bins.items()
        }
        return copied

    def drop_full_bins(self, demands: Iterable[Demand], gpu_reservations: GpuReservations) -> None:
        """Drops the bins without a slot for any demand, so that packing does not examine them."""
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
        """Returns the bins that the demand may use, by pool, in the order of use.

        Spot machines come first for shapes that may use them, machines without GPUs for shapes that
        need none.
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
    """The resources that a task takes."""

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
        """Memory in GB."""
        ...


class _Size(NamedTuple):
    cores: float
    gpus: float
    memory_gb: float


def _smallest_size(shapes: Iterable[Shape]) -> _Size | None:
    """Returns the minimum over the shapes of each resource; None: there are no shapes."""
    sizes = [(shape.cores, shape.gpus, shape.memory_gb) for shape in shapes]
    if not sizes:
        return None
    cores, gpus, memory_gb = zip(*sizes, strict=True)
    return _Size(min(cores), min(gpus), min(memory_gb))


def count_slots(size: Size, free_bin: Bin, gpu_reservations: GpuReservations) -> int:
    """Returns how many more tasks of a size fit into the bin."""
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
    """Takes the capacity of `count` tasks out of the bin."""
    free_bin.cores -= size.cores * count
    free_bin.gpus -= size.gpus * count
    free_bin.memory_gb -= size.memory_gb * count


def pack_demand(
    demand: Demand, free_capacity: FreeCapacity, gpu_reservations: GpuReservations
) -> int:
    """Packs the demand into the capacity, which it uses up; returns how many tasks didn't fit."""
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
