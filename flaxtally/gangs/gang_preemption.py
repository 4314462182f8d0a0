"""On which machines a gang would have room for all tasks once others have left. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..planning.packing import Bin, slots

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from ..ledger.placement import Placement
    from ..planning.fleet import Machine
    from ..planning.placement import GpuNeeds, Room
    from ..protocol import wire


@dataclass(frozen=True)
class Leaving:
    """A task that may leave its machine, and what is lost by that, in seconds of work."""

    placed: Placement
    loss: float


@dataclass(frozen=True)
class Candidate:
    """A machine that the gang may use, what is free there, and who may leave."""

    machine: Machine
    kind: wire.MachineType
    free: Room
    leaving: Sequence[Leaving]


@dataclass(frozen=True)
class Share:
    """How many tasks of the gang a machine takes, once those have left."""

    machine: Machine
    tasks: int
    leaving: tuple[Placement, ...]
    loss: float


def best_shares(
    spec: wire.Spec,
    zones: Collection[str],
    candidates: Callable[[Collection[str]], Iterable[Candidate]],
    needs: GpuNeeds,
    cost: Callable[[list[Share]], float],
) -> list[Share] | None:
    """Machines that together hold the gang, in the zones where that costs least; None: nowhere.

    `candidates` gives the machines beside those of zones that are shut.
    """
    shut_zones = [set(zones) - {zone} for zone in sorted(zones)] if spec.one_zone else [set[str]()]
    found = [shares(spec, spec.tasks, candidates(shut), needs) for shut in shut_zones]
    return min((each for each in found if each is not None), key=cost, default=None)


def shares(
    spec: wire.Spec, count: int, candidates: Iterable[Candidate], needs: GpuNeeds
) -> list[Share] | None:
    """Machines that together hold `count` tasks, where little is lost first; None: they don't."""
    found = [
        share
        for candidate in candidates
        if (share := _share(spec, count, candidate, needs)) is not None
    ]
    found.sort(key=lambda share: (share.loss / share.tasks, -share.tasks))
    chosen: list[Share] = []
    for share in found:
        if count <= 0:
            break
        chosen.append(share)
        count -= share.tasks
    return chosen if count <= 0 else None


def _share(spec: wire.Spec, count: int, candidate: Candidate, needs: GpuNeeds) -> Share | None:
    machine, kind, free = candidate.machine, candidate.kind, candidate.free
    gone: list[Placement] = []
    loss = best_loss = 0.0
    tasks, needed = _tasks(spec, machine, kind, free, needs), 0
    for leaving in sorted(candidate.leaving, key=lambda leaving: leaving.loss):
        if tasks >= count:
            break
        free = free.plus(leaving.placed.job.spec)
        gone.append(leaving.placed)
        loss += leaving.loss
        more = _tasks(spec, machine, kind, free, needs)
        if more > tasks:
            tasks, needed, best_loss = more, len(gone), loss
    if not tasks:
        return None
    return Share(machine, min(tasks, count), tuple(gone[:needed]), best_loss)


def _tasks(
    spec: wire.Spec, machine: Machine, kind: wire.MachineType, free: Room, needs: GpuNeeds
) -> int:
    room = Bin(kind, machine.zone, machine.spot, free.cores, free.gpus, free.memory_gb)
    return slots(spec, room, needs)
