"""On which machines a gang would have capacity for all tasks once victims have left. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..planning.packing import Bin, count_slots

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from ..ledger.placement import Placement
    from ..planning.fleet import Machine
    from ..planning.placement import FreeResources, GpuReservations
    from ..protocol import wire


@dataclass(frozen=True)
class Victim:
    """A task that may leave its machine, and what is lost by that, in seconds of work."""

    placement: Placement
    preemption_cost: float


@dataclass(frozen=True)
class Candidate:
    """A machine that the gang may use, what is free there, and who may leave."""

    machine: Machine
    machine_type: wire.MachineType
    free: FreeResources
    victims: Sequence[Victim]


@dataclass(frozen=True)
class MachineSlots:
    """How many tasks of the gang a machine takes, once the victims have left."""

    machine: Machine
    task_count: int
    victims: tuple[Placement, ...]
    preemption_cost: float


def choose_cheapest_machines(
    spec: wire.Spec,
    zones: Collection[str],
    candidates_outside: Callable[[Collection[str]], Iterable[Candidate]],
    gpu_reservations: GpuReservations,
    total_cost: Callable[[list[MachineSlots]], float],
) -> list[MachineSlots] | None:
    """Machines that together hold the gang, in the zones where that costs least; None: nowhere.

    `candidates_outside` gives the machines outside the zones that it is called with.
    """
    excluded = [set(zones) - {zone} for zone in sorted(zones)] if spec.one_zone else [set[str]()]
    choices = [
        choose_machines(spec, spec.tasks, candidates_outside(each), gpu_reservations)
        for each in excluded
    ]
    feasible = (choice for choice in choices if choice is not None)
    return min(feasible, key=total_cost, default=None)


def choose_machines(
    spec: wire.Spec,
    task_count: int,
    candidates: Iterable[Candidate],
    gpu_reservations: GpuReservations,
) -> list[MachineSlots] | None:
    """Machines that together hold the tasks, those with the least cost first; None: they don't."""
    usable = [
        slots
        for candidate in candidates
        if (slots := _find_slots(spec, task_count, candidate, gpu_reservations)) is not None
    ]
    usable.sort(key=lambda slots: (slots.preemption_cost / slots.task_count, -slots.task_count))
    chosen: list[MachineSlots] = []
    unplaced = task_count
    for slots in usable:
        if unplaced <= 0:
            break
        chosen.append(slots)
        unplaced -= slots.task_count
    return chosen if unplaced <= 0 else None


def _find_slots(
    spec: wire.Spec, max_tasks: int, candidate: Candidate, gpu_reservations: GpuReservations
) -> MachineSlots | None:
    """The slots of a machine for at most `max_tasks` tasks, with no more victims than needed."""
    free = candidate.free
    removed: list[Placement] = []
    removed_cost = 0.0
    task_count = _count_tasks(spec, candidate, free, gpu_reservations)
    victim_count = 0
    preemption_cost = 0.0
    for victim in sorted(candidate.victims, key=lambda victim: victim.preemption_cost):
        if task_count >= max_tasks:
            break
        free = free.plus(victim.placement.job.spec)
        removed.append(victim.placement)
        removed_cost += victim.preemption_cost
        count = _count_tasks(spec, candidate, free, gpu_reservations)
        if count > task_count:
            task_count = count
            victim_count = len(removed)
            preemption_cost = removed_cost
    if not task_count:
        return None
    return MachineSlots(
        candidate.machine,
        min(task_count, max_tasks),
        tuple(removed[:victim_count]),
        preemption_cost,
    )


def _count_tasks(
    spec: wire.Spec, candidate: Candidate, free: FreeResources, gpu_reservations: GpuReservations
) -> int:
    """How many tasks of the gang the machine holds with that much free capacity."""
    machine = candidate.machine
    free_bin = Bin(
        candidate.machine_type,
        machine.zone,
        free.cores,
        free.gpus,
        free.memory_gb,
        spot=machine.spot,
    )
    return count_slots(spec, free_bin, gpu_reservations)
