"""Chooses the machine for a task among those that can hold it. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..protocol import wire
from .placement import RESOURCE_TOLERANCE, GpuReservations

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from .fleet import Machine
    from .machine_index import MachineIndex

_FETCH_TIME_LIMITS_S = (0.25, 0.75, 2.5, 8.0, 25.0)
"""The upper limits of all grades of fetch times but the last."""


def estimate_fetch_s(spec: wire.Spec, machine: Machine, machine_type: wire.MachineType) -> float:
    """Estimates how long the image fetch takes; concurrent fetches share the bandwidth."""
    if spec.image in machine.images:
        return 0.0
    fetched_images = machine.list_images_being_fetched()
    return (
        spec.image_gb
        / max(machine_type.fetch_gb_per_s, RESOURCE_TOLERANCE)
        * (1 + len(fetched_images - {spec.image}))
    )


def _fetch_time_grade(seconds: float) -> int:
    """Returns a coarse grade of a fetch time; differences within a grade are ignored."""
    for grade, limit in enumerate(_FETCH_TIME_LIMITS_S):
        if seconds <= limit:
            return grade
    return len(_FETCH_TIME_LIMITS_S)


def choose_machine(
    spec: wire.Spec,
    job_number: int,
    index: MachineIndex,
    gpu_reservations: GpuReservations | None,
    sample_size: int,
    excluded_zones: Collection[str],
    is_available: Callable[[Machine], bool] | None = None,
) -> Machine | None:
    """Returns the best machine of a sample of those that can hold the task; None: there is none.

    `excluded_zones`: zones that the job may not use now.
    """
    best: tuple[tuple[float, ...], Machine] | None = None
    for machine in index.sample_fitting(
        spec, excluded_zones, gpu_reservations, sample_size, is_available
    ):
        machine_type = index.machine_types[machine.machine_type]
        remaining_fraction = max(
            (machine_type.cores - machine.cores - spec.cores) / machine_type.cores
            if machine_type.cores
            else 0.0,
            (machine_type.gpus - machine.gpus - spec.gpus) / machine_type.gpus
            if machine_type.gpus
            else 0.0,
        )
        score: tuple[float, ...] = (
            _fetch_time_grade(estimate_fetch_s(spec, machine, machine_type)),
            float(
                spec.job_kind == wire.SERVICE
                and any(number == job_number for number, _ in machine.placements)
            ),
            float(spec.spot and not machine.spot),
            # Services occupy a machine for long: the fewer machines have any, the more can be
            # terminated.
            -round(machine.service_load, 3),
            remaining_fraction,
        )
        if best is None or score < best[0]:
            best = (score, machine)
    return best[1] if best else None
