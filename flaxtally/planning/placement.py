"""Where a task goes: pure functions over rooms and specs."""

from __future__ import annotations

from collections.abc import Callable, Collection, Hashable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from ..protocol import wire
from ..protocol.shape import Shape
from .fleet import Machine

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

    def plus(self, spec: wire.Spec) -> Room:
        """The room when a task of the job is gone."""
        return Room(self.cores + spec.cores, self.gpus + spec.gpus, self.ram + spec.ram)

    def minus(self, spec: wire.Spec) -> Room:
        """The room when a task of the job has come."""
        return Room(self.cores - spec.cores, self.gpus - spec.gpus, self.ram - spec.ram)


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


class Stock(Protocol):
    """Machines among which one is chosen."""

    kinds: dict[str, wire.MachineType]

    def fitting(
        self,
        spec: wire.Spec,
        shut: Collection[str],
        needs: GpuNeeds | None,
        most: int,
        keep: Callable[[Machine], bool] | None = None,
    ) -> list[Machine]:
        """A sample of the machines that can hold one more task of the job."""


def choose(
    spec: wire.Spec,
    job_no: int,
    stock: Stock,
    needs: GpuNeeds | None,
    sample: int,
    shut: Collection[str],
    keep: Callable[[Machine], bool] | None = None,
) -> Machine | None:
    """The machine for a task, or None. Looks at a sample of those that can hold it.

    `shut`: zones that the job may not use now.
    """
    best: tuple[tuple[float, ...], Machine] | None = None
    for machine in stock.fitting(spec, shut, needs, sample, keep):
        kind = stock.kinds[machine.kind]
        after = max(
            (kind.cores - machine.cores - spec.cores) / kind.cores if kind.cores else 0.0,
            (kind.gpus - machine.gpus - spec.gpus) / kind.gpus if kind.gpus else 0.0,
        )
        score: tuple[float, ...] = (
            _grade(fetch_seconds(spec, machine, kind)),
            float(spec.kind == wire.SERVICE and any(no == job_no for no, _ in machine.placements)),
            float(spec.spot and not machine.spot),
            # Services pin a machine for long: the fewer are pinned, the more can be given back.
            -round(machine.pinned, 3),
            after,
        )
        if best is None or score < best[0]:
            best = (score, machine)
    return best[1] if best else None
