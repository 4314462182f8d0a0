"""An index of machines by free capacity, pool and cached image. Performs no I/O.

The cost of a search depends on the machines that it finds and not on the size of the fleet: each
pool groups its machines by free GPUs and sorts each group by free cores, so that machines without
enough capacity are never examined. A search returns a random sample of the machines that can hold
a task.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left, bisect_right, insort
from typing import TYPE_CHECKING, Any, NamedTuple

from ..protocol import wire
from .fleet import Machine, Pool
from .placement import (
    RESOURCE_TOLERANCE,
    SAMPLE_WIDENING_FACTOR,
    FreeResources,
    GpuReservations,
    compute_free_resources,
    leaves_gpus_usable,
    may_use_machine_type,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Hashable, Iterable, Iterator, Sequence

_MAX_STRIDE_TRIES = 32
"""Random strides that are tried before a search falls back to a stride of 1."""
_ROUNDING_DIGITS = 6
"""Decimal places to which free amounts are rounded before they are compared: they are sums and
differences of floating-point numbers.
"""


class UsedCapacity(NamedTuple):
    """The properties of a machine that decide whether its free capacity has grown."""

    cores: float
    gpus: float
    memory_gb: float
    is_slow: bool
    has_only_best_effort: bool
    """The machine runs only best-effort tasks, so it may be too expensive for more of them."""

    @classmethod
    def of(cls, machine: Machine) -> UsedCapacity:
        """Returns the capacity of the machine that is in use now."""
        return cls(
            machine.cores,
            machine.gpus,
            machine.memory_gb,
            machine.is_slow,
            not machine.non_best_effort_count,
        )

    def leaves_more_than(self, before: UsedCapacity) -> bool:
        """Whether some task may fit now that did not fit before.

        More GPUs in use also count: no cores are reserved for them any more, so that tasks without
        GPUs may use these cores.
        """
        return (
            self.gpus != before.gpus
            or self.cores < before.cores
            or self.memory_gb < before.memory_gb
            or self.is_slow < before.is_slow
            or self.has_only_best_effort < before.has_only_best_effort
        )


class _MachineSet:
    """A set of machines with constant-time addition, removal and access by position."""

    __slots__ = ("_numbers", "machines")

    def __init__(self) -> None:
        self.machines: list[Machine] = []
        self._numbers: dict[Machine, int] = {}

    def add(self, machine: Machine) -> None:
        self._numbers[machine] = len(self.machines)
        self.machines.append(machine)

    def remove(self, machine: Machine) -> None:
        number = self._numbers.pop(machine)
        last = self.machines.pop()
        if last is not machine:
            self.machines[number] = last
            self._numbers[last] = number


_MachinesByFreeCores = list[tuple[float, int, Machine]]
"""Free cores, entry number and machine, sorted; the number makes entries unique."""


class _Pool:
    """The machines of one type and zone that are all spot instances or all on-demand."""

    __slots__ = ("by_free_gpus", "machine_type", "members", "zone")

    def __init__(self, machine_type: wire.MachineType, zone: str) -> None:
        self.machine_type, self.zone = machine_type, zone
        self.members = _MachineSet()
        self.by_free_gpus: dict[float, _MachinesByFreeCores] = {}


class _Entry:
    """A machine's position in the index, and its state as of the last update."""

    __slots__ = ("free_cores", "free_gpus", "images", "number", "pool", "used")

    def __init__(self, number: int, pool: _Pool) -> None:
        self.number, self.pool = number, pool
        self.used: UsedCapacity | None = None
        self.free_cores = self.free_gpus = 0.0
        self.images: frozenset[str] = frozenset()


class _Span(NamedTuple):
    """A slice of a sequence of machines, or of tuples whose last field is a machine."""

    items: Sequence[Any]
    first: int
    end: int


class MachineIndex:
    """The machines that may be used, as of the last `update` of each.

    Each search calls `is_usable` again for the machines that it examines, since a machine may stop
    sending heartbeats without an update. `examined_count` counts the machines that were examined.
    """

    def __init__(
        self,
        machine_types: dict[str, wire.MachineType],
        rng: random.Random,
        is_usable: Callable[[Machine], bool] = lambda _: True,
        by_image: bool = True,
    ) -> None:
        """Starts empty. `by_image`: machines are also indexed by the images in their cache."""
        self.machine_types, self._rng, self._is_usable = machine_types, rng, is_usable
        self.examined_count = 0
        self._entries: dict[Machine, _Entry] = {}
        self._last_number = 0
        self._pools: dict[Pool, _Pool] = {}
        self._by_image: dict[str, _MachineSet] | None = {} if by_image else None
        self._pools_by_constraints: dict[Hashable, list[_Pool]] = {}

    @classmethod
    def of(
        cls,
        machines: Iterable[Machine],
        machine_types: dict[str, wire.MachineType],
        rng: random.Random,
    ) -> MachineIndex:
        """Returns an index of the given machines, all of which are usable."""
        index = cls(machine_types, rng)
        for machine in machines:
            index.update(machine)
        return index

    def __contains__(self, machine: Machine) -> bool:
        return machine in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    # Changes

    def update(self, machine: Machine) -> bool:
        """Updates the machine's entry; returns whether its free capacity has grown."""
        if not self._is_usable(machine):
            self.remove(machine)
            return False
        entry = self._entries.get(machine)
        if entry is None:
            entry = self._entries[machine] = self._create_entry(machine)
        if self._by_image is not None and entry.images != machine.images.keys():
            self._update_images(machine, entry, self._by_image)
        used, before = UsedCapacity.of(machine), entry.used
        if used == before:
            return False
        if before is not None:
            self._remove_free_capacity(entry)
        entry.used = used
        self._add_free_capacity(machine, entry)
        return before is None or used.leaves_more_than(before)

    def remove(self, machine: Machine) -> None:
        """Removes the machine if it is in the index."""
        entry = self._entries.pop(machine, None)
        if entry is None:
            return
        self._remove_free_capacity(entry)
        entry.pool.members.remove(machine)
        if self._by_image is not None:
            for image in entry.images:
                self._by_image[image].remove(machine)

    def _create_entry(self, machine: Machine) -> _Entry:
        pool = self._pools.get(machine.pool)
        if pool is None:
            pool = self._pools[machine.pool] = _Pool(
                self.machine_types[machine.machine_type], machine.zone
            )
            self._pools_by_constraints.clear()
        pool.members.add(machine)
        self._last_number += 1
        return _Entry(self._last_number, pool)

    @staticmethod
    def _add_free_capacity(machine: Machine, entry: _Entry) -> None:
        machine_type = entry.pool.machine_type
        entry.free_cores = round(machine_type.cores - machine.cores, _ROUNDING_DIGITS)
        entry.free_gpus = round(machine_type.gpus - machine.gpus, _ROUNDING_DIGITS)
        by_cores = entry.pool.by_free_gpus.setdefault(entry.free_gpus, [])
        insort(by_cores, (entry.free_cores, entry.number, machine))

    @staticmethod
    def _remove_free_capacity(entry: _Entry) -> None:
        by_cores = entry.pool.by_free_gpus[entry.free_gpus]
        del by_cores[bisect_left(by_cores, (entry.free_cores, entry.number))]
        if not by_cores:
            del entry.pool.by_free_gpus[entry.free_gpus]

    @staticmethod
    def _update_images(machine: Machine, entry: _Entry, by_image: dict[str, _MachineSet]) -> None:
        images = frozenset(machine.images)
        for image in entry.images - images:
            by_image[image].remove(machine)
        for image in images - entry.images:
            by_image.setdefault(image, _MachineSet()).add(machine)
        entry.images = images

    # Searches

    def iterate_allowed(
        self, spec: wire.Spec, excluded_zones: Collection[str]
    ) -> Iterator[tuple[Machine, wire.MachineType]]:
        """Yields the machines that the job may use, in random order, however full they are.

        `excluded_zones`: zones that the job may not use now.
        """
        spans = [
            _Span(pool.members.machines, 0, len(pool.members.machines))
            for pool in self._find_allowed_pools(spec, excluded_zones)
        ]
        for machine in self._iterate_in_random_order(spans):
            self.examined_count += 1
            if self._is_usable(machine):
                yield machine, self.machine_types[machine.machine_type]

    def sample_fitting(
        self,
        spec: wire.Spec,
        excluded_zones: Collection[str],
        gpu_reservations: GpuReservations | None,
        max_count: int,
        is_available: Callable[[Machine], bool] | None = None,
    ) -> list[Machine]:
        """Returns a random sample of the machines that can hold one more task of the job.

        Draws at most `max_count` machines among those that have its image, and among all machines
        if none of these fits: in a large fleet, a sample of all machines would miss the few that
        have the image.

        Without `gpu_reservations` nothing is reserved for GPU tasks, and slow machines are allowed.
        A search that has found a machine examines at most `SAMPLE_WIDENING_FACTOR * max_count`
        machines; one that has found none examines all with enough free cores and GPUs.
        """
        pools = self._find_allowed_pools(spec, excluded_zones)
        spans = [
            span
            for pool in pools
            for span in self._find_spans_with_capacity(pool, spec, gpu_reservations)
        ]
        if not spans:
            return []
        fits = FitCheck(spec, gpu_reservations, is_available)
        count = sum(span.end - span.first for span in spans)
        if count <= SAMPLE_WIDENING_FACTOR**2 * max_count:
            return self._sample_from_all(spans, fits, max_count)
        with_image = self._iterate_machines_with_image(
            spec, pools, SAMPLE_WIDENING_FACTOR**2 * max_count
        )
        return self._sample(with_image, fits, max_count) or self._sample(
            (entry[2] for entry in self._iterate_in_random_order(spans)), fits, max_count
        )

    def can_hold(
        self,
        spec: wire.Spec,
        excluded_zones: Collection[str],
        gpu_reservations: GpuReservations | None,
        count: int,
    ) -> bool:
        """Whether `count` tasks of the job may fit at the same time.

        Compares cores, GPUs and memory only, which is much cheaper than a search for each task.
        """
        for pool in self._find_allowed_pools(spec, excluded_zones):
            machine_type = pool.machine_type
            for span in self._find_spans_with_capacity(pool, spec, gpu_reservations):
                for entry in itertools.islice(span.items, span.first, span.end):
                    count -= _compute_max_task_count(
                        spec, compute_free_resources(entry[2], machine_type)
                    )
                    if count <= 0:
                        return True
        return False

    def _find_allowed_pools(self, spec: wire.Spec, excluded_zones: Collection[str]) -> list[_Pool]:
        """Returns the pools that the job may use now."""
        key = (spec.machine_types, spec.zone, spec.spot, spec.cores, spec.gpus, spec.memory_gb)
        pools = self._pools_by_constraints.get(key)
        if pools is None:
            pools = self._pools_by_constraints[key] = [
                pool
                for (_, zone, spot), pool in self._pools.items()
                if may_use_machine_type(spec, pool.machine_type, zone, spot)
            ]
        return (
            [pool for pool in pools if pool.zone not in excluded_zones] if excluded_zones else pools
        )

    @staticmethod
    def _find_spans_with_capacity(
        pool: _Pool, spec: wire.Spec, gpu_reservations: GpuReservations | None
    ) -> Iterator[_Span]:
        """Yields the pool's machines with enough free cores and GPUs; memory is not checked."""
        machine_type = pool.machine_type
        reserved_cores = 0.0
        if gpu_reservations is not None and machine_type.gpus and not spec.gpus:
            reserved_cores = min(gpu_reservations.cores, machine_type.cores / machine_type.gpus)
        for free_gpus, by_cores in pool.by_free_gpus.items():
            if free_gpus < spec.gpus - RESOURCE_TOLERANCE:
                continue
            min_free_cores = spec.cores + free_gpus * reserved_cores - 2 * RESOURCE_TOLERANCE
            if by_cores[-1][0] >= min_free_cores:
                yield _Span(by_cores, bisect_left(by_cores, (min_free_cores,)), len(by_cores))

    def _iterate_machines_with_image(
        self, spec: wire.Spec, pools: list[_Pool], max_count: int
    ) -> Iterator[Machine]:
        """Yields machines of the pools that have the image, out of at most `max_count` examined."""
        with_image = self._by_image.get(spec.image) if self._by_image is not None else None
        if with_image is None:
            return
        pool_ids = {id(pool) for pool in pools}
        machines = self._iterate_in_random_order(
            [_Span(with_image.machines, 0, len(with_image.machines))]
        )
        for machine in itertools.islice(machines, max_count):
            if id(self._entries[machine].pool) in pool_ids:
                yield machine

    def _sample_from_all(self, spans: list[_Span], fits: FitCheck, max_count: int) -> list[Machine]:
        """Samples the spans after examining all their machines, for spans with few machines."""
        machines = [
            entry[2]
            for span in spans
            for entry in itertools.islice(span.items, span.first, span.end)
        ]
        self.examined_count += len(machines)
        image = fits.spec.image
        with_image = [machine for machine in machines if image in machine.images]
        for candidates in (with_image, machines):
            found = [
                machine
                for machine in candidates
                if fits(machine, self.machine_types[machine.machine_type])
                and self._is_usable(machine)
            ]
            if found:
                return found if len(found) <= max_count else self._rng.sample(found, max_count)
        return []

    def _sample(self, machines: Iterator[Machine], fits: FitCheck, max_count: int) -> list[Machine]:
        found: list[Machine] = []
        max_examined_count = self.examined_count + SAMPLE_WIDENING_FACTOR * max_count
        for machine in machines:
            self.examined_count += 1
            if fits(machine, self.machine_types[machine.machine_type]) and self._is_usable(machine):
                found.append(machine)
            if found and (len(found) >= max_count or self.examined_count >= max_examined_count):
                break
        return found

    def _iterate_in_random_order(self, spans: list[_Span]) -> Iterator[Any]:
        """Yields each item of the spans once, beginning at a random one.

        A stride that is coprime to the number of items visits each of them once; shuffling them
        would cost more than most searches.
        """
        span_ends: list[int] = []
        count = 0
        for span in spans:
            count += span.end - span.first
            span_ends.append(count)
        if not count:
            return
        position, stride = self._rng.randrange(count), self._choose_stride(count)
        for _ in range(count):
            number = bisect_right(span_ends, position)
            span = spans[number]
            yield span.items[span.end - (span_ends[number] - position)]
            position += stride
            if position >= count:
                position -= count

    def _choose_stride(self, count: int) -> int:
        if count == 1:
            return 0
        for _ in range(_MAX_STRIDE_TRIES):
            stride = self._rng.randrange(1, count)
            if math.gcd(stride, count) == 1:
                return stride
        return 1


def _compute_max_task_count(spec: wire.Spec, free: FreeResources) -> int:
    """Returns an upper bound of the tasks that fit into the free resources."""
    sizes = ((spec.cores, free.cores), (spec.gpus, free.gpus), (spec.memory_gb, free.memory_gb))
    return min(
        (int((left + RESOURCE_TOLERANCE) / size) for size, left in sizes if size),
        default=spec.tasks,
    )


class FitCheck:
    """Checks whether a machine can hold one more task of a job."""

    __slots__ = (
        "_allows_slow_machines",
        "_cores",
        "_gpu_reservations",
        "_gpus",
        "_is_available",
        "_memory_gb",
        "spec",
    )

    def __init__(
        self,
        spec: wire.Spec,
        gpu_reservations: GpuReservations | None,
        is_available: Callable[[Machine], bool] | None,
    ) -> None:
        """Prepares the check; without `gpu_reservations`, slow machines are allowed, too."""
        self.spec, self._gpu_reservations, self._is_available = spec, gpu_reservations, is_available
        self._cores, self._gpus, self._memory_gb = (
            spec.cores - RESOURCE_TOLERANCE,
            spec.gpus - RESOURCE_TOLERANCE,
            spec.memory_gb - RESOURCE_TOLERANCE,
        )
        self._allows_slow_machines = spec.job_kind == wire.SERVICE or gpu_reservations is None

    def __call__(self, machine: Machine, machine_type: wire.MachineType) -> bool:
        """Whether the machine can hold one more task."""
        spec, gpu_reservations = self.spec, self._gpu_reservations
        return (
            machine.cores + self._cores <= machine_type.cores
            and machine.gpus + self._gpus <= machine_type.gpus
            and machine.memory_gb + self._memory_gb <= machine_type.memory_gb
            and (self._allows_slow_machines or not machine.is_slow)
            and (
                bool(spec.gpus)
                or not machine_type.gpus
                or gpu_reservations is None
                or leaves_gpus_usable(
                    spec,
                    compute_free_resources(machine, machine_type),
                    machine_type,
                    gpu_reservations,
                )
            )
            and (self._is_available is None or self._is_available(machine))
        )
