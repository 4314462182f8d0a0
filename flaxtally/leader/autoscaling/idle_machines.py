"""Finds machines that are idle, or run only best-effort tasks, and chooses which to terminate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...planning.best_effort import find_expensive_types
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.job import Job
    from ...planning.fleet import Machine
    from ..jobs import JobRegistry

MAX_SCALE_IN_CHECKS = 8
"""Maximum number of checks per planning step of whether the fleet can spare idle machines."""


class IdleMachines(TermActor):
    """Finds the machines that were not needed for the cool-down time."""

    def __init__(self, term: Term, jobs: JobRegistry) -> None:
        """`jobs`: tells which cores and memory GPU tasks need beside their GPUs."""
        super().__init__(term)
        self._jobs = jobs

    def find_idle(self, now: float) -> list[Machine]:
        """Returns the idle machines, in descending order of price."""
        idle = [
            machine
            for machine in self.fleet.machines.values()
            if machine.is_reconciled
            and not machine.is_cordoned
            and not machine.is_terminating
            and machine.machine_type in self.term.machine_types
            and (self._is_idle(machine, now) or self._has_only_expensive_best_effort(machine, now))
        ]
        idle.sort(key=lambda machine: -self.term.machine_types[machine.machine_type].hourly_price)
        return idle

    def _is_idle(self, machine: Machine, now: float) -> bool:
        return not machine.placements and now - machine.idle_since > self.policy.cool_down

    def _has_only_expensive_best_effort(self, machine: Machine, now: float) -> bool:
        """Returns whether only best-effort tasks run here and the machine is too expensive.

        They must have been the only tasks for longer than the cool-down time, and the machine too
        expensive for each of their jobs.
        """
        if machine.non_best_effort_count or now - machine.unneeded_since <= self.policy.cool_down:
            return False
        is_too_expensive: dict[int, bool] = {}
        for placed in machine.placements.values():
            job = placed.job
            if job.number not in is_too_expensive:
                is_too_expensive[job.number] = self._is_too_expensive(machine, job)
            if not is_too_expensive[job.number]:
                return False
        return bool(is_too_expensive)

    def _is_too_expensive(self, machine: Machine, job: Job) -> bool:
        expensive_types = find_expensive_types(
            job.shape,
            self.term.machine_types,
            self._jobs.gpu_reservations,
            self.policy.best_effort_price,
        )
        return (machine.machine_type, machine.spot) in expensive_types


def choose_spare_machines(
    idle: list[Machine], can_spare: Callable[[set[str]], bool]
) -> list[Machine]:
    """Returns the idle machines that can be spared together.

    Checks all at once, then the first half if that fails, and so on: checking fifty idle machines
    one by one blocked the event loop for seconds.
    """
    spare: list[Machine] = []
    size = len(idle)
    for _ in range(MAX_SCALE_IN_CHECKS):
        candidates = idle[:size]
        if not candidates:
            break
        if can_spare({machine.name for machine in [*spare, *candidates]}):
            spare += candidates
            idle = idle[size:]
        else:
            size = len(candidates) // 2
    return spare
