"""Chooses the zone in which the autoscaler keeps capacity for gangs that must be in one zone."""

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
    """Owns the zone chosen for each job class whose gangs must be in one zone.

    Capacity for such a gang is useful only if one zone has enough of it for all tasks. So the
    forecast packs the demand of a class into the zone that already has the most capacity for it,
    and keeps that zone.
    """

    def __init__(
        self, term: Term, jobs: JobRegistry, is_in_backoff: Callable[[Pool], bool]
    ) -> None:
        """`is_in_backoff`: returns whether a pool is in back-off after a recent refusal."""
        super().__init__(term)
        self._jobs = jobs
        self._is_in_backoff = is_in_backoff
        self._zone_by_class: dict[str, str] = {}

    def assign_zones(self, demands: Iterable[Demand], now: float) -> None:
        """Restricts each demand of gangs that must be in one zone to a chosen zone."""
        for demand in demands:
            shape = demand.shape
            if not shape.one_zone or shape.zone is not None:
                continue
            largest_job = self._jobs.arrivals.max_tasks_per_job(shape.job_class, now)
            zone = self._choose_zone(shape, max(math.ceil(demand.count), largest_job))
            if zone is not None:
                self._zone_by_class[shape.job_class] = zone
                demand.shape = replace(shape, zone=zone)

    def _choose_zone(self, shape: Shape, task_count: int) -> str | None:
        zones = {
            zone
            for machine_type in self.term.machine_types.values()
            for zone in machine_type.zones
            if placement.may_use_machine_type(shape, machine_type, zone, spot=False)
        }
        free_slots = self._count_free_slots(shape)
        current_zone = self._zone_by_class.get(shape.job_class)

        def preference(zone: str) -> tuple[bool, bool, bool, int, str]:
            can_grow = self._can_provision(shape, zone)
            return (
                free_slots[zone] >= task_count,
                zone == current_zone and can_grow,
                can_grow,
                free_slots[zone],
                zone,
            )

        return max(zones, key=preference, default=None)

    def _count_free_slots(self, shape: Shape) -> Counter[str]:
        """Returns, by zone, how many more tasks of the shape the machines can hold."""
        free_slots: Counter[str] = Counter()
        for machine in self.fleet.machines.values():
            machine_type = self.term.machine_types.get(machine.machine_type)
            if (
                machine_type is None
                or machine.is_cordoned
                or machine.is_terminating
                or machine.is_slow
                or not placement.may_use_machine_type(
                    shape, machine_type, machine.zone, machine.spot
                )
            ):
                continue
            free = placement.compute_free_resources(machine, machine_type)
            free_bin = Bin(
                machine_type,
                machine.zone,
                free.cores,
                free.gpus,
                free.memory_gb,
                spot=machine.spot,
            )
            free_slots[machine.zone] += count_slots(shape, free_bin, self._jobs.gpu_reservations)
        return free_slots

    def _can_provision(self, shape: Shape, zone: str) -> bool:
        return any(
            zone in machine_type.zones
            and placement.may_use_machine_type(shape, machine_type, zone, spot)
            and not self._is_in_backoff(Pool(machine_type.name, zone, spot))
            for machine_type in self.term.machine_types.values()
            for spot in (False, True)
        )
