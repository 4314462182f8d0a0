"""Where a task goes: pure functions over rooms and specs."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from . import wire
from .fleet import Machine
from .forecast import Shape

SLACK = 1e-6
WIDEN = 4


class Room(NamedTuple):
    """What a machine has left."""

    cores: float
    gpus: float
    ram: float

    def holds(self, spec: wire.Spec) -> bool:
        return (
            spec.cores <= self.cores + SLACK
            and spec.gpus <= self.gpus + SLACK
            and spec.ram <= self.ram + SLACK
        )


def room(machine: Machine, kind: wire.MachineType) -> Room:
    """What the machine has left."""
    return Room(kind.cores - machine.cores, kind.gpus - machine.gpus, kind.ram - machine.ram)


def allowed(spec: wire.Spec | Shape, kind: wire.MachineType, zone: str, spot: bool) -> bool:
    """Whether a job, or a planner's shape of jobs, may use this kind of machine at all."""
    return (
        (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
        and spec.cores <= kind.cores + SLACK
        and spec.gpus <= kind.gpus + SLACK
        and spec.ram <= kind.ram + SLACK
    )


@dataclass(frozen=True)
class GpuNeeds:
    """The cores and memory that tasks take with each GPU; what cheap fillers must leave."""

    cores: float = 0.0
    ram: float = 0.0


def gpu_needs(specs: Iterable[wire.Spec]) -> GpuNeeds:
    """What tasks need beside each GPU, for the class that takes most on average.

    One greedy task is no reason to leave the cores of all GPUs idle.
    """
    lanes: dict[str, list[wire.Spec]] = {}
    for spec in specs:
        if spec.gpus:
            lanes.setdefault(spec.lane, []).append(spec)
    means = [
        (
            sum(s.cores / s.gpus for s in found) / len(found),
            sum(s.ram / s.gpus for s in found) / len(found),
        )
        for found in lanes.values()
    ]
    return GpuNeeds(
        max((cores for cores, _ in means), default=0.0), max((ram for _, ram in means), default=0.0)
    )


def leaves_gpus_usable(
    spec: wire.Spec, left: Room, kind: wire.MachineType, needs: GpuNeeds
) -> bool:
    """Tasks without GPUs may use a GPU machine's cores, but not those its free GPUs need."""
    if spec.gpus or not kind.gpus:
        return True
    return (
        left.cores - spec.cores >= left.gpus * min(needs.cores, kind.cores / kind.gpus) - SLACK
        and left.ram - spec.ram >= left.gpus * min(needs.ram, kind.ram / kind.gpus) - SLACK
    )


def fetch_seconds(spec: wire.Spec, machine: Machine, kind: wire.MachineType) -> float:
    """About how long the image takes to be there; fetches at the same time share the rate."""
    if spec.image in machine.images:
        return 0.0
    busy = machine.fetching()
    return spec.image_gb / max(kind.fetch_rate, SLACK) * (1 + len(busy - {spec.image}))


def _grade(seconds: float) -> int:
    """Fetch times by order of size: differences within a grade don't decide."""
    for grade, limit in enumerate((0.25, 0.75, 2.5, 8.0, 25.0)):
        if seconds <= limit:
            return grade
    return 5


class Exhausted:
    """Sizes of tasks for which nothing was found; larger ones needn't look.

    Jobs of a class ask for amounts that differ a little; one that found no room answers for all the
    larger ones.
    """

    def __init__(self) -> None:
        self._sizes: dict[Hashable, list[tuple[float, float, float]]] = {}

    def covers(self, key: Hashable, spec: wire.Spec) -> bool:
        sizes = self._sizes.get(key)
        if sizes is None:
            return False
        cores, gpus, ram = spec.cores, spec.gpus, spec.ram
        return any(low[0] <= cores and low[1] <= gpus and low[2] <= ram for low in sizes)

    def add(self, key: Hashable, spec: wire.Spec) -> None:
        size = spec.cores, spec.gpus, spec.ram
        sizes = self._sizes.get(key, [])
        kept = [low for low in sizes if low[0] < size[0] or low[1] < size[1] or low[2] < size[2]]
        self._sizes[key] = [*kept, size]


_Entry = tuple[int, wire.MachineType, Machine]


class Stock:
    """The machines that one pass of the scheduler may use.

    They are walked in a random order, each with its pool.

    What a pool may not take (types, zones, spot) is decided once a shape, not once a machine; a
    search begins at a random place and ends as soon as it has a sample. `looked` counts the
    machines looked at.
    """

    def __init__(
        self, machines: Iterable[Machine], kinds: dict[str, wire.MachineType], rng: random.Random
    ) -> None:
        self.kinds, self._rng, self.looked = kinds, rng, 0
        numbers: dict[tuple[str, str, bool], int] = {}
        self._entries = [
            (
                numbers.setdefault((machine.kind, machine.zone, machine.spot), len(numbers)),
                kinds[machine.kind],
                machine,
            )
            for machine in machines
        ]
        # A stride without a common divisor visits each machine once, in an order of its own;
        # shuffling hundreds of machines for each pass cost more than most passes' searches.
        count = len(self._entries)
        self._stride = (
            next(
                (
                    stride
                    for stride in (rng.randrange(1, count) for _ in range(32))
                    if math.gcd(stride, count) == 1
                ),
                1,
            )
            if count > 1
            else 0
        )
        self._pools = list(numbers)
        self._allowed: dict[Hashable, list[bool]] = {}
        self._by_image: dict[str, list[_Entry]] | None = None

    def _open(self, spec: wire.Spec, zone_open: dict[str, bool]) -> list[bool]:
        """By pool: whether the job may use it now."""
        key = (spec.types, spec.zone, spec.spot, spec.cores, spec.gpus, spec.ram)
        allows = self._allowed.get(key)
        if allows is None:
            allows = self._allowed[key] = [
                allowed(spec, self.kinds[kind], zone, spot) for kind, zone, spot in self._pools
            ]
        if not zone_open:
            return allows
        return [
            allow and zone_open.get(zone, True)
            for allow, (_, zone, _) in zip(allows, self._pools, strict=True)
        ]

    def walk(
        self, spec: wire.Spec, zone_open: dict[str, bool]
    ) -> Iterator[tuple[Machine, wire.MachineType]]:
        """The machines that the job may use, whatever room they have, from a random one on."""
        return self._walk(self._entries, self._stride, self._open(spec, zone_open))

    def _walk(
        self, entries: list[_Entry], stride: int, opens: list[bool]
    ) -> Iterator[tuple[Machine, wire.MachineType]]:
        if not any(opens):
            return
        count = len(entries)
        at = self._rng.randrange(count) if count else 0
        for _ in range(count):
            number, kind, machine = entries[at]
            if opens[number]:
                self.looked += 1
                yield machine, kind
            at += stride
            if at >= count:
                at -= count

    def _holding(self, image: str) -> list[_Entry]:
        """The machines that hold the image."""
        if self._by_image is None:
            self._by_image = {}
            for entry in self._entries:
                for held in entry[2].images:
                    self._by_image.setdefault(held, []).append(entry)
        return self._by_image.get(image, [])

    def fitting(
        self,
        spec: wire.Spec,
        zone_open: dict[str, bool],
        needs: GpuNeeds | None,
        most: int,
        keep: Callable[[Machine], bool] | None = None,
    ) -> list[Machine]:
        """A sample of the machines that can hold one more task of the job.

        At most `most`, drawn at random among those that hold its image, and if none of them can,
        among all. In a large fleet a sample of all misses the few that do.

        Without `needs` nothing is kept for GPU tasks, and slow machines will do. Who has found some
        ends after `WIDEN` times as many looks; who has found none looks at all.
        """
        opens = self._open(spec, zone_open)
        for walk in (
            self._walk(self._holding(spec.image), 1, opens),
            self._walk(self._entries, self._stride, opens),
        ):
            found = self._sample(walk, spec, needs, most, keep)
            if found:
                return found
        return []

    def _sample(
        self,
        walk: Iterator[tuple[Machine, wire.MachineType]],
        spec: wire.Spec,
        needs: GpuNeeds | None,
        most: int,
        keep: Callable[[Machine], bool] | None,
    ) -> list[Machine]:
        found: list[Machine] = []
        enough = self.looked + WIDEN * most
        quick = spec.kind == wire.SERVICE or needs is None
        cores, gpus, ram = spec.cores - SLACK, spec.gpus - SLACK, spec.ram - SLACK
        for machine, kind in walk:
            if (
                machine.cores + cores <= kind.cores
                and machine.gpus + gpus <= kind.gpus
                and machine.ram + ram <= kind.ram
                and (quick or not machine.slow)
                and (
                    spec.gpus
                    or not kind.gpus
                    or needs is None
                    or leaves_gpus_usable(spec, room(machine, kind), kind, needs)
                )
                and (keep is None or keep(machine))
            ):
                found.append(machine)
            if found and (len(found) >= most or self.looked >= enough):
                break
        return found


def choose(
    spec: wire.Spec,
    job_no: int,
    stock: Stock,
    needs: GpuNeeds | None,
    sample: int,
    zone_open: dict[str, bool],
    keep: Callable[[Machine], bool] | None = None,
) -> Machine | None:
    """The machine for a task, or None. Looks at a sample of those that can hold it."""
    best: tuple[tuple[float, ...], Machine] | None = None
    for machine in stock.fitting(spec, zone_open, needs, sample, keep):
        kind = stock.kinds[machine.kind]
        left = room(machine, kind)
        after = max(
            (left.cores - spec.cores) / kind.cores if kind.cores else 0.0,
            (left.gpus - spec.gpus) / kind.gpus if kind.gpus else 0.0,
        )
        score: tuple[float, ...] = (
            _grade(fetch_seconds(spec, machine, kind)),
            float(spec.kind == wire.SERVICE and any(no == job_no for no, _ in machine.placements)),
            float(spec.spot and not machine.spot),
            # Services pin a machine for long: the fewer are pinned, the more can be given back.
            -round(machine.pinned(), 3),
            after,
        )
        if best is None or score < best[0]:
            best = (score, machine)
    return best[1] if best else None
