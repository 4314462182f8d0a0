"""Compares demand with free capacity at each step of the planning horizon."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

from ...planning.packing import Demand, FreeCapacity, pack_demand
from ...planning.provisioning import ForecastStep
from ..term import Term, TermActor
from .capacity_forecast import CapacityForecast
from .demand_forecast import DemandForecast

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...planning.packing import Bin
    from ..jobs import JobRegistry
    from .scale_out import ScaleOut


class Forecast(TermActor):
    """Combines the forecasts of demand and of capacity."""

    def __init__(self, term: Term, jobs: JobRegistry, scale_out: ScaleOut) -> None:
        """`scale_out`: lists the requested machines and the pools in back-off."""
        super().__init__(term)
        self._jobs = jobs
        self._capacity = CapacityForecast(term, scale_out)
        self._demand = DemandForecast(term, jobs, scale_out.is_in_backoff)

    def forecast_demands(self, now: float) -> list[Demand]:
        """Returns the current demand, in the order in which it would be placed."""
        return self._demand.forecast_demands(now)

    def forecast_steps(self, now: float, demands: list[Demand]) -> list[ForecastStep]:
        """Returns, for each step, the projected demand and the capacity usable for any of it."""
        return self._project(now, demands, self._capacity.forecast_bins(now))

    def make_spare_check(self, demands: list[Demand], now: float) -> Callable[[set[str]], bool]:
        """Returns a function that checks whether the fleet can spare machines, given by name.

        It can if, at each step, as much of the demand finds capacity without them as with them.
        """
        bins_by_step = self._capacity.forecast_bins(now)
        for free_bin in itertools.chain.from_iterable(bins_by_step):
            # No machine is kept for best-effort tasks for which it is too expensive, even if it
            # runs other tasks too.
            free_bin.has_regular_tasks = False
        steps = [
            (step, self._count_unplaced(step.demands, step.free_capacity.copy()))
            for step in self._project(now, demands, bins_by_step)
        ]

        def can_spare(names: set[str]) -> bool:
            return all(
                self._count_unplaced(step.demands, step.free_capacity.copy(names)) == unplaced
                for step, unplaced in steps
            )

        return can_spare

    def _project(
        self, now: float, demands: list[Demand], bins_by_step: list[list[Bin]]
    ) -> list[ForecastStep]:
        steps = []
        for step_s, bins in zip(self._capacity.steps_s, bins_by_step, strict=True):
            projected = [self._demand.project_demand(demand, step_s, now) for demand in demands]
            free_capacity = FreeCapacity(bins)
            free_capacity.drop_full_bins(projected, self._jobs.gpu_reservations)
            steps.append(ForecastStep(step_s, projected, free_capacity))
        return steps

    def _count_unplaced(self, demands: list[Demand], free_capacity: FreeCapacity) -> list[int]:
        """Returns how many tasks of each demand find no capacity; consumes `free_capacity`."""
        return [
            pack_demand(_copy_limits(demand), free_capacity, self._jobs.gpu_reservations)
            for demand in demands
        ]


def _copy_limits(demand: Demand) -> Demand:
    """Returns a copy of the demand whose limits by zone may be decremented by packing."""
    limits = demand.max_tasks_by_zone
    return replace(demand, max_tasks_by_zone=None if limits is None else dict(limits))
