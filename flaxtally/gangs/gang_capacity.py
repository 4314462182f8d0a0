"""Chooses machines for all tasks of a gang, or for none; without I/O or lasting side effects."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ..planning.choice import choose_machine, estimate_fetch_s
from ..planning.fleet import Machine
from ..planning.machine_index import FitCheck, MachineIndex

if TYPE_CHECKING:
    from ..planning.placement import GpuReservations
    from ..protocol import wire

MachineFilter = Callable[[Machine], bool]


@dataclass(frozen=True)
class GangMachineSearch:
    """Parameters of a search for machines for one gang."""

    spec: wire.Spec
    job_number: int
    index: MachineIndex
    gpu_reservations: GpuReservations | None
    """Cores and memory kept free per GPU; None: none are, and slow machines are allowed."""
    sample_size: int
    machine_filter: MachineFilter | None
    """Restricts the usable machines in addition to the job's own constraints; None: it doesn't."""

    def find_machine(
        self, excluded_zones: Collection[str], previous: Machine | None
    ) -> Machine | None:
        """Returns a machine for one more task: the previous task's machine while it has capacity.

        None: no machine has capacity for the task.
        """
        if previous is not None and previous.zone not in excluded_zones:
            fits = FitCheck(self.spec, self.gpu_reservations, self.machine_filter)
            if fits(previous, self.index.machine_types[previous.machine_type]):
                return previous
        return choose_machine(
            self.spec,
            self.job_number,
            self.index,
            self.gpu_reservations,
            self.sample_size,
            excluded_zones,
            self.machine_filter,
        )


class GangMachines(NamedTuple):
    """Machines for tasks of a gang, and the estimated time until the last image is fetched."""

    machines: list[Machine]
    fetch_s: float


def choose_machines_for_gang(
    search: GangMachineSearch, zones: Collection[str], max_fetch_s: float
) -> GangMachines | None:
    """Returns machines for all tasks of the gang, or None if there is no capacity for all.

    A gang that must be in one zone gets the zone in which it can start first. Returns None also if
    fetching its images would take longer than `max_fetch_s` everywhere.
    """
    best: GangMachines | None = None
    zone_sets = [{zone} for zone in sorted(zones)] if search.spec.one_zone else [set(zones)]
    for allowed_zones in zone_sets:
        choice = _choose_in_zones(search, search.spec.tasks, allowed_zones, zones, {})
        if choice is None or choice.fetch_s > max_fetch_s:
            continue
        if best is None or choice.fetch_s < best.fetch_s:
            best = choice
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
    """Returns machines for the missing tasks of a gang whose other tasks are placed.

    None: there is no capacity for all of them, or fetching an image would take longer than
    `max_fetch_s`.
    """
    allowed_zones = set(placed_by_zone) if search.spec.one_zone else set(zones)
    choice = _choose_in_zones(search, task_count, allowed_zones, zones, placed_by_zone)
    return None if choice is None or choice.fetch_s > max_fetch_s else choice


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
    """Reserves a machine for each task until none is found; returns the longest fetch time.

    Appends the machines to `reserved`; the caller releases the reservations.
    """
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
        longest_fetch_s = max(longest_fetch_s, estimate_fetch_s(spec, machine, machine_type))
        tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + 1
        machine.reserve(spec, 1)
        index.update(machine)
        reserved.append(machine)
    return longest_fetch_s
