"""Which thinly used machine to empty, by moving its replicas to room that is paid for anyway. Pure.

The design returns machines that fall idle; replicas that stay for long keep thinly used ones from
ever falling idle. A replica whose image the other machine holds is away for a fraction of a second.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from ..protocol import wire
from .choice import choose
from .machine_index import MachineIndex

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable, Iterator, Sequence

    from ..ledger.cluster_state import Job, Placement
    from .fleet import Machine
    from .placement import GpuNeeds


def pick(
    machines: Sequence[Machine],
    kinds: dict[str, wire.MachineType],
    needs: GpuNeeds,
    sample: int,
    rng: random.Random,
    shut_without: Callable[[Job, Placement], Collection[str]],
    settled: Callable[[Placement], bool],
    beside_arrays: bool,
    moving: Collection[Machine] = (),
    firm: Collection[str] = (),
    least: float = 0.0,
) -> tuple[Machine | None, list[str]]:
    """The machine to empty, and the names of those that were looked at and can't be emptied.

    It is the one whose return saves most a replica moved, if all on it fit on other used machines,
    or on idle ones that cost less than half.

    `beside_arrays`: also one where array tasks still run, which will take none while it is emptied.
    `moving`: machines being emptied, whose replicas find their room first. `firm`: machines to pass
    over. `least`: the price an hour from which a machine's return is worth its replicas' moves.
    """
    candidates: list[tuple[float, Machine]] = []
    for machine in machines:
        if machine.name in firm or hourly_price(machine, kinds) < least:
            continue
        there = list_replicas(machine)
        alone = len(there) == len(machine.placements)
        if there and all(settled(placed) for placed in there) and (beside_arrays or alone):
            candidates.append((hourly_price(machine, kinds) / len(there), machine))
    candidates.sort(key=lambda entry: -entry[0])
    failed: list[str] = []
    if not candidates:
        return None, failed
    index = MachineIndex.of(machines, kinds, rng)
    claimed: list[tuple[Machine, wire.Spec]] = []

    def fits(machine: Machine) -> bool:
        for placed in sorted(list_replicas(machine), key=lambda placed: -placed.job.spec.cores):
            spec = placed.job.spec
            found = find_target(placed, machine, index, needs, sample, shut_without)
            if found is None:
                return False
            found.reserve(spec, 1)
            index.update(found)
            claimed.append((found, spec))
        return True

    try:
        if not all(fits(machine) for machine in moving):
            return None, failed
        held = len(claimed)
        for _, machine in candidates[: max(1, sample // 4)]:
            if fits(machine):
                return machine, failed
            failed.append(machine.name)
            while len(claimed) > held:
                held_by, spec = claimed.pop()
                held_by.reserve(spec, -1)
                index.update(held_by)
        return None, failed
    finally:
        for held_by, spec in claimed:
            held_by.reserve(spec, -1)


@contextmanager
def without_best_effort(machines: Iterable[Machine]) -> Iterator[None]:
    """Counts the room of best-effort tasks as free: they give way to replicas."""
    freed = [
        (machine, placed.job.spec)
        for machine in machines
        for placed in machine.placements.values()
        if placed.is_best_effort and placed.stopping_at is None
    ]
    for machine, spec in freed:
        machine.reserve(spec, -1)
    try:
        yield
    finally:
        for machine, spec in freed:
            machine.reserve(spec, 1)


def find_target(
    placed: Placement,
    machine: Machine,
    index: MachineIndex,
    needs: GpuNeeds,
    sample: int,
    shut_without: Callable[[Job, Placement], Collection[str]],
) -> Machine | None:
    """Where a replica of the machine can move to now."""
    job = placed.job
    return choose(
        job.spec,
        job.number,
        index,
        needs,
        sample,
        shut_without(job, placed),
        lambda other: can_take(machine, other, job.spec, index.machine_types),
    )


def can_take(
    machine: Machine, other: Machine, spec: wire.Spec, kinds: dict[str, wire.MachineType]
) -> bool:
    """Whether a replica may move from the one machine to the other.

    To a used machine, or an idle one that costs less than half; to one that holds its image, or off
    GPUs that it doesn't need to a machine without them.
    """
    if other is machine or not (
        other.placements or 2 * hourly_price(other, kinds) < hourly_price(machine, kinds)
    ):
        return False
    freed = (
        kinds[machine.machine_type].gpus and not spec.gpus and not kinds[other.machine_type].gpus
    )
    return spec.image in other.images or bool(freed)


def list_replicas(machine: Machine) -> list[Placement]:
    """What must move; tasks of arrays are left to end."""
    return [
        placed for placed in machine.placements.values() if placed.job.spec.job_kind == wire.SERVICE
    ]


def hourly_price(machine: Machine, kinds: dict[str, wire.MachineType]) -> float:
    """What the machine costs an hour."""
    kind = kinds[machine.machine_type]
    return kind.hourly_spot_price if machine.spot else kind.hourly_price
