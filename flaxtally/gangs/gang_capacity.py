"""Machines for the tasks of a gang: for all of them, or for none. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ..planning.choice import choose, fetch_seconds
from ..planning.fleet import Machine
from ..planning.machine_index import Fit, MachineIndex

if TYPE_CHECKING:
    from ..planning.placement import GpuNeeds
    from ..protocol import wire

MachineFilter = Callable[[Machine], bool]


@dataclass(frozen=True)
class GangMachineSearch:
    """What a search for the tasks of one gang goes by."""

    spec: wire.Spec
    job_number: int
    index: MachineIndex
    gpu_needs: GpuNeeds | None
    """None: nothing is kept for GPU tasks, and slow machines will do."""
    sample_size: int
    machine_filter: MachineFilter | None
    """Which machines may be used, beside the job's own conditions; None: any."""

    def find_machine(self, shut: Collection[str], last: Machine | None) -> Machine | None:
        """A machine for one more task: that of the task before while it holds one more."""
        if last is not None and last.zone not in shut:
            fits = Fit(self.spec, self.gpu_needs, self.machine_filter)
            if fits(last, self.index.machine_types[last.machine_type]):
                return last
        return choose(
            self.spec,
            self.job_number,
            self.index,
            self.gpu_needs,
            self.sample_size,
            shut,
            self.machine_filter,
        )


class GangMachines(NamedTuple):
    """Machines for all tasks of a gang, and about how long the last image takes, in seconds."""

    machines: list[Machine]
    fetch_s: float


def choose_machines_for_gang(
    search: GangMachineSearch, zones: Collection[str], longest_fetch: float
) -> GangMachines | None:
    """Machines for all tasks of the gang; None: there is not room for all.

    Of zones that can each hold a gang that must be in one, the one in which it begins first. None
    too if its images would take longer than `longest_fetch` seconds everywhere.
    """
    best: GangMachines | None = None
    for allowed in [{zone} for zone in sorted(zones)] if search.spec.one_zone else [set(zones)]:
        found = _choose_in(search, search.spec.tasks, allowed, zones, {})
        if found is None or found.fetch_s > longest_fetch:
            continue
        if best is None or found.fetch_s < best.fetch_s:
            best = found
        if not best.fetch_s:
            break
    return best


def choose_machines_for_missing(
    search: GangMachineSearch,
    count: int,
    zones: Collection[str],
    placed: dict[str, int],
    longest_fetch: float,
) -> GangMachines | None:
    """Machines for tasks of a gang whose others wait, by zone in `placed`; None: not for all."""
    allowed = set(placed) if search.spec.one_zone else set(zones)
    found = _choose_in(search, count, allowed, zones, placed)
    return None if found is None or found.fetch_s > longest_fetch else found


def _choose_in(
    search: GangMachineSearch,
    count: int,
    allowed: Collection[str],
    zones: Iterable[str],
    placed: dict[str, int],
) -> GangMachines | None:
    spec, index = search.spec, search.index
    if not index.can_hold(spec, set(zones) - set(allowed), search.gpu_needs, count):
        return None
    most = spec.zone_share if spec.spread else spec.tasks
    taken = dict(placed)
    claimed: list[Machine] = []
    fetch = 0.0
    for _ in range(count):
        shut = {zone for zone in zones if zone not in allowed or taken.get(zone, 0) >= most}
        machine = search.find_machine(shut, claimed[-1] if claimed else None)
        if machine is None:
            break
        fetch = max(fetch, fetch_seconds(spec, machine, index.machine_types[machine.machine_type]))
        taken[machine.zone] = taken.get(machine.zone, 0) + 1
        machine.reserve(spec, 1)
        index.update(machine)
        claimed.append(machine)
    for machine in claimed:
        machine.reserve(spec, -1)
    for machine in dict.fromkeys(claimed):
        index.update(machine)
    return GangMachines(claimed, fetch) if len(claimed) == count else None
