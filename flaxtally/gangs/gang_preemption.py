"""On which machines a gang would have room for all tasks once others have left. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..planning.packing import Bin, count_slots

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from ..ledger.cluster_state import Placement
    from ..planning.fleet import Machine
    from ..planning.placement import GpuNeeds, Room
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
    free: Room
    victims: Sequence[Victim]


@dataclass(frozen=True)
class MachineSlots:
    """How many tasks of the gang a machine takes, once those have left."""

    machine: Machine
    task_count: int
    victims: tuple[Placement, ...]
    preemption_cost: float


def choose_cheapest_machines(
    spec: wire.Spec,
    zones: Collection[str],
    candidates: Callable[[Collection[str]], Iterable[Candidate]],
    needs: GpuNeeds,
    cost: Callable[[list[MachineSlots]], float],
) -> list[MachineSlots] | None:
    """Machines that together hold the gang, in the zones where that costs least; None: nowhere.

    `candidates` gives the machines beside those of zones that are shut.
    """
    shut_zones = [set(zones) - {zone} for zone in sorted(zones)] if spec.one_zone else [set[str]()]
    found = [choose_machines(spec, spec.tasks, candidates(shut), needs) for shut in shut_zones]
    return min((each for each in found if each is not None), key=cost, default=None)


def choose_machines(
    spec: wire.Spec, count: int, candidates: Iterable[Candidate], needs: GpuNeeds
) -> list[MachineSlots] | None:
    """Machines that together hold `count` tasks, where little is lost first; None: they don't."""
    found = [
        share
        for candidate in candidates
        if (share := _share(spec, count, candidate, needs)) is not None
    ]
    found.sort(key=lambda share: (share.preemption_cost / share.task_count, -share.task_count))
    chosen: list[MachineSlots] = []
    for share in found:
        if count <= 0:
            break
        chosen.append(share)
        count -= share.task_count
    return chosen if count <= 0 else None


def _share(
    spec: wire.Spec, count: int, candidate: Candidate, needs: GpuNeeds
) -> MachineSlots | None:
    machine, kind, free = candidate.machine, candidate.machine_type, candidate.free
    gone: list[Placement] = []
    loss = best_loss = 0.0
    tasks, needed = _tasks(spec, machine, kind, free, needs), 0
    for leaving in sorted(candidate.victims, key=lambda leaving: leaving.preemption_cost):
        if tasks >= count:
            break
        free = free.plus(leaving.placement.job.spec)
        gone.append(leaving.placement)
        loss += leaving.preemption_cost
        more = _tasks(spec, machine, kind, free, needs)
        if more > tasks:
            tasks, needed, best_loss = more, len(gone), loss
    if not tasks:
        return None
    return MachineSlots(machine, min(tasks, count), tuple(gone[:needed]), best_loss)


def _tasks(
    spec: wire.Spec, machine: Machine, kind: wire.MachineType, free: Room, needs: GpuNeeds
) -> int:
    room = Bin(kind, machine.zone, machine.spot, free.cores, free.gpus, free.memory_gb)
    return count_slots(spec, room, needs)
