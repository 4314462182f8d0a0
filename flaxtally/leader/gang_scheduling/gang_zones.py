"""In which zone the plan keeps room for gangs whose tasks must be in one."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ...planning import placement
from ...planning.fleet import Pool
from ...planning.packing import Bin, Demand, count_slots
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...protocol.shape import Shape
    from ..jobs import JobRegistry


class GangZones(TermActor):
    """Owns the zone of each class of gangs.

    Room for such a gang is of use only where there is enough of it in one zone: the plan packs the
    demand of a class into the zone that has most of it already, and keeps to that zone.
    """

    def __init__(self, term: Term, jobs: JobRegistry, is_resting: Callable[[Pool], bool]) -> None:
        """`is_resting`: whether a pool refused a short while ago."""
        super().__init__(term)
        self.jobs, self._is_resting = jobs, is_resting
        self._zone_of: dict[str, str] = {}

    def aim(self, demands: Iterable[Demand], now: float) -> None:
        """Aims each demand of gangs that must be in one zone at a zone."""
        for demand in demands:
            shape = demand.shape
            if not shape.one_zone or shape.zone is not None:
                continue
            need = max(math.ceil(demand.count), self.jobs.arrivals.largest(shape.job_class, now))
            zone = self._best_zone(shape, need)
            if zone is not None:
                self._zone_of[shape.job_class] = zone
                demand.shape = replace(shape, zone=zone)

    def _best_zone(self, shape: Shape, need: int) -> str | None:
        zones = {
            zone
            for kind in self.term.machine_types.values()
            for zone in kind.zones
            if placement.allowed(shape, kind, zone, False)
        }
        free = self._free_slots(shape)
        kept = self._zone_of.get(shape.job_class)

        def worth(zone: str) -> tuple[bool, bool, bool, int, str]:
            can_grow = self._can_rent(shape, zone)
            return free[zone] >= need, zone == kept and can_grow, can_grow, free[zone], zone

        return max(zones, key=worth, default=None)

    def _free_slots(self, shape: Shape) -> Counter[str]:
        """How many more tasks the machines of each zone hold."""
        found: Counter[str] = Counter()
        for machine in self.fleet.machines.values():
            kind = self.term.machine_types.get(machine.machine_type)
            if kind is None or machine.is_cordoned or machine.is_terminating or machine.is_slow:
                continue
            if not placement.allowed(shape, kind, machine.zone, machine.spot):
                continue
            room = placement.room(machine, kind)
            free = Bin(kind, machine.zone, machine.spot, room.cores, room.gpus, room.memory_gb)
            found[machine.zone] += count_slots(shape, free, self.jobs.gpu_reservations)
        return found

    def _can_rent(self, shape: Shape, zone: str) -> bool:
        return any(
            zone in kind.zones
            and placement.allowed(shape, kind, zone, spot)
            and not self._is_resting(Pool(kind.name, zone, spot))
            for kind in self.term.machine_types.values()
            for spot in (False, True)
        )
