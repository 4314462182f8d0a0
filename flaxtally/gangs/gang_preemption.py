"""Finds machines that would have capacity for a whole gang without some tasks; without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..lending.victim_selection import remove_unneeded
from ..planning.packing import Bin, count_slots

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from ..ledger.placement import Placement
    from ..planning.fleet import Machine
    from ..planning.placement import FreeResources, GpuReservations
    from ..protocol import wire


@dataclass(frozen=True)
class Victim:
    """A task that may leave its machine, and the cost of that in seconds."""

    placement: Placement
    preemption_cost: float


@dataclass(frozen=True)
class Candidate:
    """A machine that the gang may use, its free capacity, and the tasks that may leave it."""

    machine: Machine
    machine_type: wire.MachineType
    free: FreeResources
    victims: Sequence[Victim]


@dataclass(frozen=True)
class MachineSlots:
    """Number of tasks of the gang that a machine can hold once the victims have left it."""

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
    """Returns machines that together can hold the gang, in the zones with the lowest cost.

    `candidates_outside` returns the machines outside the zones that it is called with. Returns
    None if there are no such machines in any zone.
    """
    excluded_zone_sets = (
        [set(zones) - {zone} for zone in sorted(zones)] if spec.one_zone else [set[str]()]
    )
    choices_by_zone_set = [
        choose_machines(spec, spec.tasks, candidates_outside(excluded_zones), gpu_reservations)
        for excluded_zones in excluded_zone_sets
    ]
    feasible = (choice for choice in choices_by_zone_set if choice is not None)
    return min(feasible, key=total_cost, default=None)


def choose_machines(
    spec: wire.Spec,
    task_count: int,
    candidates: Iterable[Candidate],
    gpu_reservations: GpuReservations,
) -> list[MachineSlots] | None:
    """Returns machines that together can hold the tasks, or None if not all tasks fit.

    Takes the machines with the lowest cost per task first.
    """
    usable = [
        (candidate, slots)
        for candidate in candidates
        if (slots := _find_slots(spec, task_count, candidate, gpu_reservations)) is not None
    ]
    usable.sort(
        key=lambda entry: (entry[1].preemption_cost / entry[1].task_count, -entry[1].task_count)
    )
    chosen: list[MachineSlots] = []
    unplaced = task_count
    for candidate, slots in usable:
        if unplaced <= 0:
            break
        if slots.task_count > unplaced:
            slots = _find_slots(spec, unplaced, candidate, gpu_reservations) or slots
        chosen.append(slots)
        unplaced -= slots.task_count
    return chosen if unplaced <= 0 else None


def _find_slots(
    spec: wire.Spec, max_tasks: int, candidate: Candidate, gpu_reservations: GpuReservations
) -> MachineSlots | None:
    """Returns the slots of a machine for at most `max_tasks` tasks, with as few victims as needed.

    None: the machine can't hold a task of the gang.
    """
    free = free_without_needed = candidate.free
    removed: list[Victim] = []
    needed: list[Victim] = []
    task_count = _count_tasks(spec, candidate, free, gpu_reservations)
    for victim in sorted(candidate.victims, key=lambda victim: victim.preemption_cost):
        if task_count >= max_tasks:
            break
        free = free.plus(victim.placement.job.spec)
        removed.append(victim)
        count = _count_tasks(spec, candidate, free, gpu_reservations)
        if count > task_count:
            task_count = count
            free_without_needed, needed = free, list(removed)
    if not task_count:
        return None
    task_count = min(task_count, max_tasks)
    _, needed = remove_unneeded(
        needed,
        free_without_needed,
        lambda victim: victim.placement.job.spec,
        lambda free: _count_tasks(spec, candidate, free, gpu_reservations) >= task_count,
    )
    return MachineSlots(
        candidate.machine,
        task_count,
        tuple(victim.placement for victim in needed),
        sum(victim.preemption_cost for victim in needed),
    )


def _count_tasks(
    spec: wire.Spec, candidate: Candidate, free: FreeResources, gpu_reservations: GpuReservations
) -> int:
    """Returns how many tasks of the gang the machine can hold with `free` capacity."""
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
