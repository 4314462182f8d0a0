"""Whether tasks fit on machines: functions of free resources and job specs, without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from ..protocol import wire
    from ..protocol.shape import Shape
    from .fleet import Machine

RESOURCE_TOLERANCE = 1e-6
"""Rounding error that comparisons of resource amounts allow: cores, GPUs or GB."""
SAMPLE_WIDENING_FACTOR = 4
"""Machines that a search may examine once it has found one, as a multiple of its sample size.

The square of this factor bounds searches that examine more, such as the search for victims.
"""


class FreeResources(NamedTuple):
    """The free resources of a machine."""

    cores: float
    gpus: float
    memory_gb: float

    def holds(self, spec: wire.Spec) -> bool:
        """Whether a task of the job fits."""
        return (
            spec.cores <= self.cores + RESOURCE_TOLERANCE
            and spec.gpus <= self.gpus + RESOURCE_TOLERANCE
            and spec.memory_gb <= self.memory_gb + RESOURCE_TOLERANCE
        )

    def plus(self, spec: wire.Spec) -> FreeResources:
        """Returns the free resources after a task of the job is removed."""
        return FreeResources(
            self.cores + spec.cores, self.gpus + spec.gpus, self.memory_gb + spec.memory_gb
        )

    def minus(self, spec: wire.Spec) -> FreeResources:
        """Returns the free resources after a task of the job is added."""
        return FreeResources(
            self.cores - spec.cores, self.gpus - spec.gpus, self.memory_gb - spec.memory_gb
        )


def compute_free_resources(machine: Machine, machine_type: wire.MachineType) -> FreeResources:
    """Returns the machine's free resources."""
    return FreeResources(
        machine_type.cores - machine.cores,
        machine_type.gpus - machine.gpus,
        machine_type.memory_gb - machine.memory_gb,
    )


def may_use_machine_type(
    spec: wire.Spec | Shape, machine_type: wire.MachineType, zone: str, spot: bool
) -> bool:
    """Whether a job, or a shape of jobs, may use machines of this type and pool at all."""
    return (
        (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
        and spec.cores <= machine_type.cores + RESOURCE_TOLERANCE
        and spec.gpus <= machine_type.gpus + RESOURCE_TOLERANCE
        and spec.memory_gb <= machine_type.memory_gb + RESOURCE_TOLERANCE
    )


@dataclass(frozen=True)
class GpuReservations:
    """The cores and memory that tasks without GPUs must leave free for each free GPU."""

    cores: float = 0.0
    memory_gb: float = 0.0


def compute_gpu_reservations(specs: Iterable[wire.Spec]) -> GpuReservations:
    """Returns the cores and memory per GPU of the job class with the highest mean.

    The mean, since one task with an unusually high need must not keep the cores of all GPUs idle.
    """
    job_classes: dict[str, list[wire.Spec]] = {}
    for spec in specs:
        if spec.gpus:
            job_classes.setdefault(spec.job_class, []).append(spec)
    means = [
        (
            sum(s.cores / s.gpus for s in class_specs) / len(class_specs),
            sum(s.memory_gb / s.gpus for s in class_specs) / len(class_specs),
        )
        for class_specs in job_classes.values()
    ]
    return GpuReservations(
        max((cores for cores, _ in means), default=0.0),
        max((memory_gb for _, memory_gb in means), default=0.0),
    )


def leaves_gpus_usable(
    spec: wire.Spec,
    free: FreeResources,
    machine_type: wire.MachineType,
    gpu_reservations: GpuReservations,
) -> bool:
    """Whether a task leaves the cores and memory that the machine's free GPUs need."""
    if spec.gpus or not machine_type.gpus:
        return True
    return (
        free.cores - spec.cores
        >= free.gpus * min(gpu_reservations.cores, machine_type.cores / machine_type.gpus)
        - RESOURCE_TOLERANCE
        and free.memory_gb - spec.memory_gb
        >= free.gpus * min(gpu_reservations.memory_gb, machine_type.memory_gb / machine_type.gpus)
        - RESOURCE_TOLERANCE
    )


class InfeasibleRequests:
    """Sizes of tasks for which a search found nothing, so that larger ones need no search.

    Jobs of a class request slightly different amounts; where one of them does not fit, neither do
    all the larger ones.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._sizes: dict[Hashable, list[tuple[float, float, float]]] = {}

    def covers(self, key: Hashable, spec: wire.Spec) -> bool:
        """Whether a request with this key that is no larger than `spec` was infeasible."""
        sizes = self._sizes.get(key)
        if sizes is None:
            return False
        cores, gpus, memory_gb = spec.cores, spec.gpus, spec.memory_gb
        return any(
            smaller[0] <= cores and smaller[1] <= gpus and smaller[2] <= memory_gb
            for smaller in sizes
        )

    def add(self, key: Hashable, spec: wire.Spec) -> None:
        """Adds an infeasible request, in place of the larger ones with this key."""
        size = spec.cores, spec.gpus, spec.memory_gb
        sizes = self._sizes.get(key, [])
        kept = [
            smaller
            for smaller in sizes
            if smaller[0] < size[0] or smaller[1] < size[1] or smaller[2] < size[2]
        ]
        self._sizes[key] = [*kept, size]
