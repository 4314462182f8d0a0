"""Where a task goes: pure functions over rooms and specs."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from . import wire
from .fleet import Machine
from .forecast import Shape

SLACK = 1e-6


@dataclass(frozen=True)
class Room:
    """What a machine has left."""

    cores: float
    gpus: float
    ram: float

    def holds(self, spec: wire.Spec) -> bool:
        return (
            spec.cores <= self.cores + SLACK and spec.gpus <= self.gpus + SLACK and spec.ram <= self.ram + SLACK
        )  # fmt: skip


def room(machine: Machine, kind: wire.MachineType) -> Room:
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
    """Of the class that takes most on average. One greedy task is no reason to leave the cores of all GPUs idle."""
    lanes: dict[str, list[wire.Spec]] = {}
    for spec in specs:
        if spec.gpus:
            lanes.setdefault(spec.lane, []).append(spec)
    means = [
        (sum(s.cores / s.gpus for s in found) / len(found), sum(s.ram / s.gpus for s in found) / len(found))
        for found in lanes.values()
    ]  # fmt: skip
    return GpuNeeds(max((cores for cores, _ in means), default=0.0), max((ram for _, ram in means), default=0.0))


def leaves_gpus_usable(spec: wire.Spec, left: Room, kind: wire.MachineType, needs: GpuNeeds) -> bool:
    """A task without GPUs may fill a GPU machine's spare cores, not those its free GPUs will need."""
    if spec.gpus or not kind.gpus:
        return True
    return (
        left.cores - spec.cores >= left.gpus * min(needs.cores, kind.cores / kind.gpus) - SLACK
        and left.ram - spec.ram >= left.gpus * min(needs.ram, kind.ram / kind.gpus) - SLACK
    )  # fmt: skip


def scarcest(spec: wire.Spec, kind: wire.MachineType) -> float:
    """The share of a machine that a task takes, by its scarcest resource."""
    share = max(spec.cores / kind.cores if kind.cores else 0.0, spec.ram / kind.ram if kind.ram else 0.0)
    return max(share, spec.gpus / kind.gpus) if kind.gpus else share


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


def choose(
    spec: wire.Spec, job_no: int, machines: Sequence[Machine], kinds: dict[str, wire.MachineType],
    needs: GpuNeeds, sample: int, rng: random.Random, zone_open: dict[str, bool],
) -> Machine | None:  # fmt: skip
    """The machine for a task, or None. Looks at a sample of those that can hold it."""
    fitting = [
        machine
        for machine in machines
        if zone_open.get(machine.zone, True)
        and allowed(spec, kinds[machine.kind], machine.zone, machine.spot)
        and room(machine, kinds[machine.kind]).holds(spec)
        and leaves_gpus_usable(spec, room(machine, kinds[machine.kind]), kinds[machine.kind], needs)
    ]
    if len(fitting) > sample:
        fitting = rng.sample(fitting, sample)
    best: tuple[tuple[float, ...], Machine] | None = None
    for machine in fitting:
        kind = kinds[machine.kind]
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
