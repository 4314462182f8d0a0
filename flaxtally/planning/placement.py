"""What fits where: pure functions over rooms and specs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from ..protocol import wire
    from ..protocol.shape import Shape
    from .fleet import Machine

RESOURCE_TOLERANCE = 1e-6
SAMPLE_WIDENING_FACTOR = 4


class FreeResources(NamedTuple):
    """What a machine has left."""

    cores: float
    gpus: float
    memory_gb: float

    def holds(self, spec: wire.Spec) -> bool:
        return (
            spec.cores <= self.cores + RESOURCE_TOLERANCE
            and spec.gpus <= self.gpus + RESOURCE_TOLERANCE
            and spec.memory_gb <= self.memory_gb + RESOURCE_TOLERANCE
        )

    def plus(self, spec: wire.Spec) -> FreeResources:
        """The room when a task of the job is gone."""
        return FreeResources(
            self.cores + spec.cores, self.gpus + spec.gpus, self.memory_gb + spec.memory_gb
        )

    def minus(self, spec: wire.Spec) -> FreeResources:
        """The room when a task of the job has come."""
        return FreeResources(
            self.cores - spec.cores, self.gpus - spec.gpus, self.memory_gb - spec.memory_gb
        )


def free_resources(machine: Machine, kind: wire.MachineType) -> FreeResources:
    """What the machine has left."""
    return FreeResources(
        kind.cores - machine.cores, kind.gpus - machine.gpus, kind.memory_gb - machine.memory_gb
    )


def may_use_machine_type(
    spec: wire.Spec | Shape, kind: wire.MachineType, zone: str, spot: bool
) -> bool:
    """Whether a job, or a planner's shape of jobs, may use this kind of machine at all."""
    return (
        (spec.machine_types is None or kind.name in spec.machine_types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
        and spec.cores <= kind.cores + RESOURCE_TOLERANCE
        and spec.gpus <= kind.gpus + RESOURCE_TOLERANCE
        and spec.memory_gb <= kind.memory_gb + RESOURCE_TOLERANCE
    )


@dataclass(frozen=True)
class GpuReservations:
    """The cores and memory that tasks take with each GPU; what cheap fillers must leave."""

    cores: float = 0.0
    memory_gb: float = 0.0


def compute_gpu_reservations(specs: Iterable[wire.Spec]) -> GpuReservations:
    """What tasks need beside each GPU, for the class that takes most on average.

    One greedy task is no reason to leave the cores of all GPUs idle.
    """
    job_classes: dict[str, list[wire.Spec]] = {}
    for spec in specs:
        if spec.gpus:
            job_classes.setdefault(spec.job_class, []).append(spec)
    means = [
        (
            sum(s.cores / s.gpus for s in found) / len(found),
            sum(s.memory_gb / s.gpus for s in found) / len(found),
        )
        for found in job_classes.values()
    ]
    return GpuReservations(
        max((cores for cores, _ in means), default=0.0),
        max((memory_gb for _, memory_gb in means), default=0.0),
    )


def leaves_gpus_usable(
    spec: wire.Spec, left: FreeResources, kind: wire.MachineType, needs: GpuReservations
) -> bool:
    """Tasks without GPUs may use a GPU machine's cores, but not those its free GPUs need."""
    if spec.gpus or not kind.gpus:
        return True
    return (
        left.cores - spec.cores
        >= left.gpus * min(needs.cores, kind.cores / kind.gpus) - RESOURCE_TOLERANCE
        and left.memory_gb - spec.memory_gb
        >= left.gpus * min(needs.memory_gb, kind.memory_gb / kind.gpus) - RESOURCE_TOLERANCE
    )


class InfeasibleRequests:
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
        cores, gpus, memory_gb = spec.cores, spec.gpus, spec.memory_gb
        return any(low[0] <= cores and low[1] <= gpus and low[2] <= memory_gb for low in sizes)

    def add(self, key: Hashable, spec: wire.Spec) -> None:
        size = spec.cores, spec.gpus, spec.memory_gb
        sizes = self._sizes.get(key, [])
        kept = [low for low in sizes if low[0] < size[0] or low[1] < size[1] or low[2] < size[2]]
        self._sizes[key] = [*kept, size]
