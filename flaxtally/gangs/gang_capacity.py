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
    gpu_reservations: GpuNeeds | None
    """None: nothing is reserved for GPU tasks, and slow machines will do."""
    sample_size: int
    machine_filter: MachineFilter | None
    """Which machines may be used, besides the job's own conditions; None: any."""

    def find_machine(
        self, excluded_zones: Collection[str], previous: Machine | None
    ) -> Machine | None:
        """A machine for one more task: that of the previous task while it holds one more."""
        if previous is not None and previous.zone not in excluded_zones:
            fits = Fit(self.spec, self.gpu_reservations, self.machine_filter)
            if fits(previous, self.index.machine_types[previous.machine_type]):
                return previous
        return choose(
            self.spec,
            self.job_number,
            self.index,
            self.gpu_reservations,
            self.sample_size,
            excluded_zones,
            self.machine_filter,
        )


class GangMachines(NamedTuple):
    """Machines for all tasks of a gang, and about how long the last image takes to be there."""

    machines: list[Machine]
    fetch_s: float


def choose_machines_for_gang(
    search: GangMachineSearch, zones: Collection[str], max_fetch_s: float
) -> GangMachines | None:
    """Machines for all tasks of the gang; None: there is no capacity for all.

    Of zones that can each hold a gang that must be in one, the one in which it starts first. None
    too if its images would take longer than `max_fetch_s` everywhere.
    """
    best: GangMachines | None = None
    zone_sets = [{zone} for zone in sorted(zones)] if search.spec.one_zone else [set(zones)]
    for allowed_zones in zone_sets:
        found = _choose_in_zones(search, search.spec.tasks, allowed_zones, zones, {})
        if found is None or found.fetch_s > max_fetch_s:
            continue
        if best is None or found.fetch_s < best.fetch_s:
            best = found
        if not best.fetch_s:
            break
    return best


def choose_machines_for_missing(
    search: GangMachineSearch,
    task_count: int,
    zones: Collection[str],
    placed_by_zone: dict[str, int],
    max_fetch_s: float,
) -> GangMachines | None:
    """Machines for the missing tasks of a gang whose others wait; None: not for all."""
    allowed_zones = set(placed_by_zone) if search.spec.one_zone else set(zones)
    found = _choose_in_zones(search, task_count, allowed_zones, zones, placed_by_zone)
    return None if found is None or found.fetch_s > max_fetch_s else found


def _choose_in_zones(
    search: GangMachineSearch,
    task_count: int,
    allowed_zones: Collection[str],
    zones: Iterable[str],
    placed_by_zone: dict[str, int],
) -> GangMachines | None:
    index = search.index
    excluded_zones = set(zones) - set(allowed_zones)
    if not index.can_hold(search.spec, excluded_zones, search.gpu_reservations, task_count):
        return None
    reserved: list[Machine] = []
    fetch_s = _reserve_machines(search, task_count, allowed_zones, zones, placed_by_zone, reserved)
    for machine in reserved:
        machine.reserve(search.spec, -1)
    for machine in dict.fromkeys(reserved):
        index.update(machine)
    return GangMachines(reserved, fetch_s) if len(reserved) == task_count else None


def _reserve_machines(
    search: GangMachineSearch,
    task_count: int,
    allowed_zones: Collection[str],
    zones: Iterable[str],
    placed_by_zone: dict[str, int],
    reserved: list[Machine],
) -> float:
    """Reserves a machine for each task until none is found; gives the longest time of a fetch."""
    spec, index = search.spec, search.index
    max_in_zone = spec.max_tasks_per_zone if spec.spread else spec.tasks
    tasks_by_zone = dict(placed_by_zone)
    longest_fetch_s = 0.0
    for _ in range(task_count):
        excluded_zones = {
            zone
            for zone in zones
            if zone not in allowed_zones or tasks_by_zone.get(zone, 0) >= max_in_zone
        }
        machine = search.find_machine(excluded_zones, reserved[-1] if reserved else None)
        if machine is None:
            break
        machine_type = index.machine_types[machine.machine_type]
        longest_fetch_s = max(longest_fetch_s, fetch_seconds(spec, machine, machine_type))
        tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + 1
        machine.reserve(spec, 1)
        index.update(machine)
        reserved.append(machine)
    return longest_fetch_s
