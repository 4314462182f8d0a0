"""Which thinly used machine to empty, by moving its replicas to room that is paid for anyway. Pure.

The design returns machines that fall idle; replicas that stay for long keep thinly used ones from ever
falling idle. A replica whose image the other machine holds is away for a fraction of a second.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from . import wire
from .fleet import Machine
from .ledger.book import Job, Placement
from .placement import GpuNeeds, Stock, choose


def pick(
    machines: Sequence[Machine], kinds: dict[str, wire.MachineType], needs: GpuNeeds, sample: int,
    rng: random.Random, zones_without: Callable[[Job, Placement], dict[str, bool]],
    settled: Callable[[Placement], bool], beside_arrays: bool,
) -> Machine | None:  # fmt: skip
    """The machine whose return saves most a replica moved, if all on it fit on other used machines.

    `beside_arrays`: also one where array tasks still run, which will take none while it is emptied."""
    candidates = [
        machine
        for machine in machines
        if _replicas(machine) and all(settled(placed) for placed in _replicas(machine))
        and (beside_arrays or len(_replicas(machine)) == len(machine.placements))
    ]  # fmt: skip
    candidates.sort(key=lambda machine: -_hourly(machine, kinds) / len(_replicas(machine)))
    if not candidates:
        return None
    stock = Stock((machine for machine in machines if machine.placements), kinds, rng)
    for machine in candidates[: max(1, sample // 4)]:
        if _fits(machine, stock, needs, sample, zones_without):
            return machine
    return None


def _replicas(machine: Machine) -> list[Placement]:
    """What must move; tasks of arrays are left to end."""
    return [placed for placed in machine.placements.values() if placed.job.spec.kind == wire.SERVICE]


def _hourly(machine: Machine, kinds: dict[str, wire.MachineType]) -> float:
    kind = kinds[machine.kind]
    return kind.spot_price if machine.spot else kind.price


def _fits(
    machine: Machine, stock: Stock, needs: GpuNeeds, sample: int,
    zones_without: Callable[[Job, Placement], dict[str, bool]],
) -> bool:  # fmt: skip
    claimed: list[tuple[Machine, wire.Spec]] = []
    try:
        for placed in sorted(_replicas(machine), key=lambda placed: -placed.job.spec.cores):
            spec = placed.job.spec
            target = choose(
                spec, placed.job.no, stock, needs, sample, zones_without(placed.job, placed),
                lambda other, image=spec.image: other is not machine and image in other.images,  # type: ignore[misc]
            )  # fmt: skip
            if target is None:
                return False
            target.claim(spec, 1)
            claimed.append((target, spec))
        return True
    finally:
        for target, spec in claimed:
            target.claim(spec, -1)
