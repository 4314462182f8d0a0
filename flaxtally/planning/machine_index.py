"""The machines that tasks may be placed on, found by free room, pool and image. Pure.

A search costs what it finds and not what there is: within a pool the machines are kept in order of
their free cores, apart by free GPUs, so that those without room are never looked at. Machines are
drawn at random among those that can hold a task, a sample at a time.
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
    free_resources,
    leaves_gpus_usable,
    may_use_machine_type,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Hashable, Iterable, Iterator, Sequence

_STRIDES_TRIED = 32
_DIGITS = 6
"""Of amounts that are compared: rooms are sums and differences of amounts."""


class CapacityTaken(NamedTuple):
    """What decides whether a machine has more room than before."""

    cores: float
    gpus: float
    memory_gb: float
    slow: bool
    unanchored: bool
    """Nothing but best-effort work is there, which may then find the machine too dear."""

    @classmethod
    def of(cls, machine: Machine) -> CapacityTaken:
        """What is taken of the machine now."""
        return cls(
            machine.cores,
            machine.gpus,
            machine.memory_gb,
            machine.is_slow,
            not machine.non_best_effort_count,
        )

    def leaves_more_than(self, before: CapacityTaken) -> bool:
        """Whether some task may fit now that did not fit before.

        A GPU that is taken needs no cores kept for it: then there is more room for what needs no
        GPU.
        """
        return (
            self.gpus != before.gpus
            or self.cores < before.cores
            or self.memory_gb < before.memory_gb
            or self.slow < before.slow
            or self.unanchored < before.unanchored
        )


class _Members:
    """Machines that can be added, removed and drawn by number at a constant cost."""

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


_ByCores = list[tuple[float, int, Machine]]
"""Machines in order of their free cores; the number tells equal ones apart."""


class _Pool:
    """The machines of one type, zone and kind of rental."""

    __slots__ = ("by_free_gpus", "kind", "members", "zone")

    def __init__(self, kind: wire.MachineType, zone: str) -> None:
        self.kind, self.zone = kind, zone
        self.members = _Members()
        self.by_free_gpus: dict[float, _ByCores] = {}


class _Entry:
    """Where a machine stands in the index, and what was known of it then."""

    __slots__ = ("free_cores", "free_gpus", "images", "number", "pool", "taken")

    def __init__(self, number: int, pool: _Pool) -> None:
        self.number, self.pool = number, pool
        self.taken: CapacityTaken | None = None
        self.free_cores = self.free_gpus = 0.0
        self.images: frozenset[str] = frozenset()


class _Span(NamedTuple):
    """A part of a sequence whose items, or whose items' last field, are machines."""

    items: Sequence[Any]
    first: int
    end: int


class MachineIndex:
    """The machines that may be used, as of the last `update` of each.

    `usable` is asked again for each machine looked at, since a machine may fall silent without
    anything happening. `examined_count` counts the machines looked at.
    """

    def __init__(
        self,
        kinds: dict[str, wire.MachineType],
        rng: random.Random,
        usable: Callable[[Machine], bool] = lambda _: True,
        by_image: bool = True,
    ) -> None:
        """`by_image`: machines are also found by the images that they hold."""
        self.machine_types, self._rng, self._usable = kinds, rng, usable
        self.examined_count = 0
        self._entries: dict[Machine, _Entry] = {}
        self._numbered = 0
        self._pools: dict[Pool, _Pool] = {}
        self._by_image: dict[str, _Members] | None = {} if by_image else None
        self._allowed: dict[Hashable, list[_Pool]] = {}

    @classmethod
    def of(
        cls, machines: Iterable[Machine], kinds: dict[str, wire.MachineType], rng: random.Random
    ) -> MachineIndex:
        """An index of machines that are all usable."""
        index = cls(kinds, rng)
        for machine in machines:
            index.update(machine)
        return index

    def __contains__(self, machine: Machine) -> bool:
        return machine in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    # Changes

    def update(self, machine: Machine) -> bool:
        """Takes up what is known of the machine now; returns whether there is more room there."""
        if not self._usable(machine):
            self.remove(machine)
            return False
        entry = self._entries.get(machine)
        if entry is None:
            entry = self._entries[machine] = self._enter(machine)
        if self._by_image is not None and entry.images != machine.images.keys():
            self._update_images(machine, entry, self._by_image)
        taken, before = CapacityTaken.of(machine), entry.taken
        if taken == before:
            return False
        if before is not None:
            self._leave_room(entry)
        entry.taken = taken
        self._take_room(machine, entry)
        return before is None or taken.leaves_more_than(before)

    def remove(self, machine: Machine) -> None:
        """Forgets the machine, if it is known."""
        entry = self._entries.pop(machine, None)
        if entry is None:
            return
        self._leave_room(entry)
        entry.pool.members.remove(machine)
        if self._by_image is not None:
            for image in entry.images:
                self._by_image[image].remove(machine)

    def _enter(self, machine: Machine) -> _Entry:
        pool = self._pools.get(machine.pool)
        if pool is None:
            pool = self._pools[machine.pool] = _Pool(
                self.machine_types[machine.machine_type], machine.zone
            )
            self._allowed.clear()
        pool.members.add(machine)
        self._numbered += 1
        return _Entry(self._numbered, pool)

    @staticmethod
    def _take_room(machine: Machine, entry: _Entry) -> None:
        kind = entry.pool.kind
        entry.free_cores = round(kind.cores - machine.cores, _DIGITS)
        entry.free_gpus = round(kind.gpus - machine.gpus, _DIGITS)
        by_cores = entry.pool.by_free_gpus.setdefault(entry.free_gpus, [])
        insort(by_cores, (entry.free_cores, entry.number, machine))

    @staticmethod
    def _leave_room(entry: _Entry) -> None:
        by_cores = entry.pool.by_free_gpus[entry.free_gpus]
        del by_cores[bisect_left(by_cores, (entry.free_cores, entry.number))]
        if not by_cores:
            del entry.pool.by_free_gpus[entry.free_gpus]

    @staticmethod
    def _update_images(machine: Machine, entry: _Entry, by_image: dict[str, _Members]) -> None:
        images = frozenset(machine.images)
        for image in entry.images - images:
            by_image[image].remove(machine)
        for image in images - entry.images:
            by_image.setdefault(image, _Members()).add(machine)
        entry.images = images

    # Searches

    def iterate_allowed(
        self, spec: wire.Spec, shut: Collection[str]
    ) -> Iterator[tuple[Machine, wire.MachineType]]:
        """The machines that the job may use, whatever room they have, in a random order.

        `shut`: zones that the job may not use now.
        """
        spans = [
            _Span(pool.members.machines, 0, len(pool.members.machines))
            for pool in self._open(spec, shut)
        ]
        for machine in self._shuffled(spans):
            self.examined_count += 1
            if self._usable(machine):
                yield machine, self.machine_types[machine.machine_type]

    def sample_fitting(
        self,
        spec: wire.Spec,
        shut: Collection[str],
        needs: GpuReservations | None,
        most: int,
        keep: Callable[[Machine], bool] | None = None,
    ) -> list[Machine]:
        """A sample of the machines that can hold one more task of the job.

        At most `most`, drawn at random among those that hold its image, and if none of them can,
        among all. In a large fleet a sample of all misses the few that do.

        Without `needs` nothing is kept for GPU tasks, and slow machines will do. Who has found some
        ends after `SAMPLE_WIDENING_FACTOR` times as many looks; who has found none looks at all that have the cores
        and GPUs.
        """
        pools = self._open(spec, shut)
        spans = [span for pool in pools for span in self._with_room(pool, spec, needs)]
        if not spans:
            return []
        fits = Fit(spec, needs, keep)
        count = sum(span.end - span.first for span in spans)
        if count <= SAMPLE_WIDENING_FACTOR**2 * most:
            return self._sample_of_few(spans, fits, most)
        holding = self._with_image(spec, pools, SAMPLE_WIDENING_FACTOR**2 * most)
        return self._sample(holding, fits, most) or self._sample(
            (entry[2] for entry in self._shuffled(spans)), fits, most
        )

    def can_hold(
        self, spec: wire.Spec, shut: Collection[str], needs: GpuReservations | None, count: int
    ) -> bool:
        """Whether there may be room for that many tasks together.

        By cores, GPUs and memory alone: much less than a search for each of them.
        """
        for pool in self._open(spec, shut):
            kind = pool.kind
            for span in self._with_room(pool, spec, needs):
                for entry in itertools.islice(span.items, span.first, span.end):
                    count -= _most_tasks(spec, free_resources(entry[2], kind))
                    if count <= 0:
                        return True
        return False

    def _open(self, spec: wire.Spec, shut: Collection[str]) -> list[_Pool]:
        """The pools that the job may use now."""
        key = (spec.machine_types, spec.zone, spec.spot, spec.cores, spec.gpus, spec.memory_gb)
        pools = self._allowed.get(key)
        if pools is None:
            pools = self._allowed[key] = [
                pool
                for (_, zone, spot), pool in self._pools.items()
                if may_use_machine_type(spec, pool.kind, zone, spot)
            ]
        return [pool for pool in pools if pool.zone not in shut] if shut else pools

    @staticmethod
    def _with_room(pool: _Pool, spec: wire.Spec, needs: GpuReservations | None) -> Iterator[_Span]:
        """The pool's machines that have the cores and GPUs; memory is looked at one by one."""
        kind = pool.kind
        kept = 0.0
        if needs is not None and kind.gpus and not spec.gpus:
            kept = min(needs.cores, kind.cores / kind.gpus)
        for free_gpus, by_cores in pool.by_free_gpus.items():
            if free_gpus < spec.gpus - RESOURCE_TOLERANCE:
                continue
            least = spec.cores + free_gpus * kept - 2 * RESOURCE_TOLERANCE
            if by_cores[-1][0] >= least:
                yield _Span(by_cores, bisect_left(by_cores, (least,)), len(by_cores))

    def _with_image(self, spec: wire.Spec, pools: list[_Pool], most: int) -> Iterator[Machine]:
        """Machines that hold the image, at most `most` of them, in a random order."""
        holding = self._by_image.get(spec.image) if self._by_image is not None else None
        if holding is None:
            return
        open_pools = {id(pool) for pool in pools}
        machines = self._shuffled([_Span(holding.machines, 0, len(holding.machines))])
        for machine in itertools.islice(machines, most):
            if id(self._entries[machine].pool) in open_pools:
                yield machine

    def _sample_of_few(self, spans: list[_Span], fits: Fit, most: int) -> list[Machine]:
        """The same where few machines have room: all of them are looked at."""
        machines = [
            entry[2]
            for span in spans
            for entry in itertools.islice(span.items, span.first, span.end)
        ]
        self.examined_count += len(machines)
        image = fits.spec.image
        holding = [machine for machine in machines if image in machine.images]
        for some in (holding, machines):
            found = [
                machine
                for machine in some
                if fits(machine, self.machine_types[machine.machine_type]) and self._usable(machine)
            ]
            if found:
                return found if len(found) <= most else self._rng.sample(found, most)
        return []

    def _sample(self, machines: Iterator[Machine], fits: Fit, most: int) -> list[Machine]:
        found: list[Machine] = []
        enough = self.examined_count + SAMPLE_WIDENING_FACTOR * most
        for machine in machines:
            self.examined_count += 1
            if fits(machine, self.machine_types[machine.machine_type]) and self._usable(machine):
                found.append(machine)
            if found and (len(found) >= most or self.examined_count >= enough):
                break
        return found

    def _shuffled(self, spans: list[_Span]) -> Iterator[Any]:
        """Each item of the spans once, from a random one on.

        A stride without a common divisor visits each once; shuffling them would cost more than most
        searches.
        """
        ends: list[int] = []
        count = 0
        for span in spans:
            count += span.end - span.first
            ends.append(count)
        if not count:
            return
        at, stride = self._rng.randrange(count), self._stride(count)
        for _ in range(count):
            number = bisect_right(ends, at)
            span = spans[number]
            yield span.items[span.end - (ends[number] - at)]
            at += stride
            if at >= count:
                at -= count

    def _stride(self, count: int) -> int:
        if count == 1:
            return 0
        for _ in range(_STRIDES_TRIED):
            stride = self._rng.randrange(1, count)
            if math.gcd(stride, count) == 1:
                return stride
        return 1


def _most_tasks(spec: wire.Spec, free: FreeResources) -> int:
    """How many tasks that room holds at most."""
    sizes = ((spec.cores, free.cores), (spec.gpus, free.gpus), (spec.memory_gb, free.memory_gb))
    return min(
        (int((left + RESOURCE_TOLERANCE) / size) for size, left in sizes if size),
        default=spec.tasks,
    )


class Fit:
    """Whether a machine can hold one more task of a job."""

    __slots__ = ("_any_speed", "_cores", "_gpus", "_keep", "_needs", "_ram", "spec")

    def __init__(
        self, spec: wire.Spec, needs: GpuReservations | None, keep: Callable[[Machine], bool] | None
    ) -> None:
        self.spec, self._needs, self._keep = spec, needs, keep
        self._cores, self._gpus, self._ram = (
            spec.cores - RESOURCE_TOLERANCE,
            spec.gpus - RESOURCE_TOLERANCE,
            spec.memory_gb - RESOURCE_TOLERANCE,
        )
        self._any_speed = spec.job_kind == wire.SERVICE or needs is None

    def __call__(self, machine: Machine, kind: wire.MachineType) -> bool:
        spec, needs = self.spec, self._needs
        return (
            machine.cores + self._cores <= kind.cores
            and machine.gpus + self._gpus <= kind.gpus
            and machine.memory_gb + self._ram <= kind.memory_gb
            and (self._any_speed or not machine.is_slow)
            and (
                bool(spec.gpus)
                or not kind.gpus
                or needs is None
                or leaves_gpus_usable(spec, free_resources(machine, kind), kind, needs)
            )
            and (self._keep is None or self._keep(machine))
        )
