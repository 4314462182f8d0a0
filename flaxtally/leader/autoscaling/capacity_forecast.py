"""Forecasts free capacity: free now, released by tasks that finish, and on machines that boot."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ...planning.packing import Bin
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ...protocol import wire
    from .scale_out import ScaleOut


class CapacityForecast(TermActor):
    """Forecasts the free capacity at each step of the planning horizon."""

    def __init__(self, term: Term, scale_out: ScaleOut) -> None:
        """`scale_out`: lists the machines that are requested and not yet granted."""
        super().__init__(term)
        self._scale_out = scale_out

    @property
    def steps_s(self) -> tuple[float, float]:
        """The steps of the planning horizon, in seconds from now, in ascending order."""
        return self.policy.plan_lead / 2, self.policy.plan_lead

    def forecast_bins(self, now: float) -> list[list[Bin]]:
        """Returns, for each step, the free capacity of each machine that will be usable.

        Counts capacity that is free now or released by tasks that are estimated to finish. Machines
        that can't have booted by a step count at the last step only.
        """
        bins_by_step: list[list[Bin]] = [[] for _ in self.steps_s]
        for machine in self.fleet.machines.values():
            machine_type = self.term.machine_types.get(machine.machine_type)
            if machine_type is not None and self._will_be_usable(machine, machine_type, now):
                self._add_machine(bins_by_step, machine, machine_type, now)
        for pool, count in self._scale_out.list_pending_machines():
            machine_type = self.term.machine_types[pool.machine_type]
            for number, step_s in enumerate(self.steps_s):
                if machine_type.boot_s <= step_s or number == len(self.steps_s) - 1:
                    bins_by_step[number] += [
                        Bin.empty(machine_type, pool.zone, spot=pool.spot) for _ in range(count)
                    ]
        return bins_by_step

    def _add_machine(
        self,
        bins_by_step: list[list[Bin]],
        machine: Machine,
        machine_type: wire.MachineType,
        now: float,
    ) -> None:
        """Adds a machine's free capacity to the steps by which it will have booted."""
        steps_s = self.steps_s
        bins = self._forecast_machine_bins(machine, machine_type, now, steps_s)
        boot_remaining_s = -math.inf
        if machine.is_booting:
            boot_remaining_s = machine_type.boot_s - (now - machine.provisioned_at)
        for number, (step_s, free_bin) in enumerate(zip(steps_s, bins, strict=True)):
            if boot_remaining_s <= step_s or number == len(steps_s) - 1:
                bins_by_step[number].append(free_bin)

    def _will_be_usable(self, machine: Machine, machine_type: wire.MachineType, now: float) -> bool:
        if (
            machine.is_cordoned
            or machine.is_terminating
            or machine.is_slow
            or machine.is_unresponsive
        ):
            return False
        if machine.is_booting:
            return now - machine.provisioned_at <= 2 * machine_type.boot_s
        return now - machine.last_heartbeat_at <= self.policy.machine_suspect

    def _forecast_machine_bins(
        self,
        machine: Machine,
        machine_type: wire.MachineType,
        now: float,
        steps_s: tuple[float, ...],
    ) -> list[Bin]:
        """Returns the machine's free capacity at each step."""
        first = Bin(
            machine_type,
            machine.zone,
            machine_type.cores - machine.cores,
            machine_type.gpus - machine.gpus,
            machine_type.memory_gb - machine.memory_gb,
            machine.name,
            spot=machine.spot,
            has_regular_tasks=machine.non_best_effort_count > 0,
        )
        bins = [first, *(first.copy() for _ in steps_s[1:])]
        for placed in machine.finite_placements.values():
            remaining_s = self._estimate_remaining_s(placed, now)
            if remaining_s == math.inf:
                continue
            spec = placed.job.spec
            for step_s, free_bin in zip(steps_s, bins, strict=True):
                if remaining_s < step_s:
                    free_bin.cores += spec.cores
                    free_bin.gpus += spec.gpus
                    free_bin.memory_gb += spec.memory_gb
        return bins

    @staticmethod
    def _estimate_remaining_s(placed: Placement, now: float) -> float:
        """Returns the seconds until the forecast counts the capacity of a finite task as free.

        Best-effort tasks count as free at once, tasks without an estimated run time never.
        """
        spec = placed.job.spec
        if spec.is_best_effort:
            return -math.inf
        if spec.estimated_run_s <= 0:
            return math.inf
        return spec.estimated_run_s - (
            now - placed.started_at if placed.started_at is not None else 0.0
        )
