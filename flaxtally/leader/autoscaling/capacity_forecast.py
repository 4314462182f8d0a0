"""What room there will be: free now, freed by tasks that end, and machines that boot."""

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
    """Reckons the room of the plan's steps."""

    def __init__(self, term: Term, rentals: ScaleOut) -> None:
        super().__init__(term)
        self._rentals = rentals

    @property
    def steps(self) -> tuple[float, float]:
        """The times ahead that the plan looks at, in seconds."""
        return self.policy.plan_lead / 2, self.policy.plan_lead

    def rooms(self, now: float) -> list[list[Bin]]:
        """The room of machines that serve at each step.

        Free now, or freed by tasks estimated to end. Machines that can't be up by then count at the
        last step only.
        """
        steps = self.steps
        found: list[list[Bin]] = [[] for _ in steps]
        for machine in self.fleet.machines.values():
            kind = self.term.machine_types.get(machine.machine_type)
            if kind is None or not self._will_serve(machine, kind, now):
                continue
            bins = self._bins(machine, kind, now, steps)
            booting = (
                kind.boot_s - (now - machine.provisioned_at) if machine.is_booting else -math.inf
            )
            for number, (at, room) in enumerate(zip(steps, bins, strict=True)):
                if booting <= at or number == len(steps) - 1:
                    found[number].append(room)
        for pool, count in self._rentals.pending():
            kind = self.term.machine_types[pool.machine_type]
            for number, at in enumerate(steps):
                if kind.boot_s <= at or number == len(steps) - 1:
                    found[number] += [Bin.empty(kind, pool.zone, pool.spot) for _ in range(count)]
        return found

    def _will_serve(self, machine: Machine, kind: wire.MachineType, now: float) -> bool:
        if (
            machine.is_cordoned
            or machine.is_terminating
            or machine.is_slow
            or machine.is_unresponsive
        ):
            return False
        if machine.is_booting:
            return now - machine.provisioned_at <= 2 * kind.boot_s
        return now - machine.last_heartbeat_at <= self.policy.machine_suspect

    def _bins(
        self, machine: Machine, kind: wire.MachineType, now: float, steps: tuple[float, ...]
    ) -> list[Bin]:
        """The machine's room at each step."""
        first = Bin(
            kind,
            machine.zone,
            machine.spot,
            kind.cores - machine.cores,
            kind.gpus - machine.gpus,
            kind.memory_gb - machine.memory_gb,
            machine.name,
            machine.anchors > 0,
        )
        bins = [first, *(first.copy() for _ in steps[1:])]
        for placed in machine.finite_placements.values():
            ends = self._ends_in(placed, now)
            if ends == math.inf:
                continue
            spec = placed.job.spec
            for at, room in zip(steps, bins, strict=True):
                if ends < at:
                    room.cores += spec.cores
                    room.gpus += spec.gpus
                    room.memory_gb += spec.memory_gb
        return bins

    @staticmethod
    def _ends_in(placed: Placement, now: float) -> float:
        """Seconds until the plan counts the room of an array's task as free."""
        spec = placed.job.spec
        if spec.is_best_effort:
            return -math.inf
        if spec.estimated_run_s <= 0:
            return math.inf
        return spec.estimated_run_s - (
            now - placed.started_at if placed.started_at is not None else 0.0
        )
