"""Which of the machines that can hold a task takes it. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..protocol import wire
from .placement import RESOURCE_TOLERANCE, GpuReservations

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from .fleet import Machine
    from .machine_index import MachineIndex


def estimate_fetch_s(spec: wire.Spec, machine: Machine, kind: wire.MachineType) -> float:
    """About how long the image takes to be there; fetches at the same time share the rate."""
    if spec.image in machine.images:
        return 0.0
    busy = machine.images_being_fetched()
    return (
        spec.image_gb
        / max(kind.fetch_gb_per_s, RESOURCE_TOLERANCE)
        * (1 + len(busy - {spec.image}))
    )


def _grade(seconds: float) -> int:
    """Fetch times by order of size: differences within a grade don't decide."""
    for grade, limit in enumerate((0.25, 0.75, 2.5, 8.0, 25.0)):
        if seconds <= limit:
            return grade
    return 5


def choose_machine(
    spec: wire.Spec,
    job_no: int,
    index: MachineIndex,
    needs: GpuReservations | None,
    sample: int,
    shut: Collection[str],
    keep: Callable[[Machine], bool] | None = None,
) -> Machine | None:
    """The machine for a task, or None. Looks at a sample of those that can hold it.

    `shut`: zones that the job may not use now.
    """
    best: tuple[tuple[float, ...], Machine] | None = None
    for machine in index.sample_fitting(spec, shut, needs, sample, keep):
        kind = index.machine_types[machine.machine_type]
        after = max(
            (kind.cores - machine.cores - spec.cores) / kind.cores if kind.cores else 0.0,
            (kind.gpus - machine.gpus - spec.gpus) / kind.gpus if kind.gpus else 0.0,
        )
        score: tuple[float, ...] = (
            _grade(estimate_fetch_s(spec, machine, kind)),
            float(
                spec.job_kind == wire.SERVICE and any(no == job_no for no, _ in machine.placements)
            ),
            float(spec.spot and not machine.spot),
            # Services pin a machine for long: the fewer are pinned, the more can be given back.
            -round(machine.service_load, 3),
            after,
        )
        if best is None or score < best[0]:
            best = (score, machine)
    return best[1] if best else None
