"""Summarizes in one log line how much of the provisioned capacity is used, by machine type."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...planning.fleet import Machine
    from ..scheduling.pending_queue import PendingQueue


@dataclass
class _TypeUsage:
    """Usage of the machines of one type, either spot or on-demand."""

    machine_count: int = 0
    booting_count: int = 0
    idle_count: int = 0
    utilization_sum: float = 0.0
    """Sum over machines of the fraction of GPUs in use, or of cores on machines without GPUs."""
    service_count: int = 0
    """Number of machines that run services, which occupy them for a long time."""

    def add_machine(self, machine: Machine, machine_type: wire.MachineType) -> None:
        """Adds a machine to the counts."""
        self.machine_count += 1
        self.booting_count += machine.is_booting
        self.idle_count += not machine.is_booting and not machine.placements
        if machine_type.gpus:
            self.utilization_sum += machine.gpus / machine_type.gpus
        else:
            self.utilization_sum += machine.cores / machine_type.cores
        self.service_count += any(
            placed.job.spec.job_kind == wire.SERVICE for placed in machine.placements.values()
        )


def describe_fleet(
    machines: Iterable[Machine], machine_types: Mapping[str, wire.MachineType]
) -> str:
    """Returns the usage by machine type as text, with a star after the type of spot machines."""
    usages: dict[str, _TypeUsage] = {}
    for machine in machines:
        machine_type = machine_types.get(machine.machine_type)
        if machine_type is not None:
            name = f"{machine_type.name}{'*' if machine.spot else ''}"
            usages.setdefault(name, _TypeUsage()).add_machine(machine, machine_type)
    return " ".join(
        f"{name}={usage.machine_count}(boot:{usage.booting_count},idle:{usage.idle_count},"
        f"used:{usage.utilization_sum:.1f},pinned:{usage.service_count})"
        for name, usage in sorted(usages.items())
    )


def count_pending_tasks(queue: PendingQueue) -> dict[str, int]:
    """Returns the number of pending tasks by job class."""
    pending: dict[str, int] = {}
    for job in queue.list_pending_jobs():
        pending[job.spec.job_class] = pending.get(job.spec.job_class, 0) + job.pending_count
    return pending
