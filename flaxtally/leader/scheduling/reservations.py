"""Reservations of capacity for a task while other tasks are stopped to free it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...ledger.cluster_state import ClusterState
    from ...planning.fleet import Machine
    from ...protocol import wire

TaskKey = tuple[int, int]
"""The number of a job and the number of one of its tasks."""


class Reservation(NamedTuple):
    """Capacity on a machine that is reserved for a task until `expires_at`."""

    rank: int
    expires_at: float
    spec: wire.Spec
    is_move: bool
    """Whether the task still runs elsewhere and moves once the capacity is free."""


class Reservations:
    """Owns the reservations by machine and task."""

    def __init__(self) -> None:
        """Starts without reservations."""
        self._by_machine: dict[str, dict[TaskKey, Reservation]] = {}
        self._freed_machines: set[str] = set()
        """Names of machines on which a reservation was fulfilled since the last `expire`."""

    def __bool__(self) -> bool:
        return bool(self._by_machine)

    def add(self, machine: str, key: TaskKey, reservation: Reservation) -> None:
        """Reserves capacity on the machine for the task."""
        self._by_machine.setdefault(machine, {})[key] = reservation

    def list_on(self, machine: str) -> Iterable[Reservation]:
        """Returns the reservations on a machine."""
        return self._by_machine.get(machine, {}).values()

    def list_tasks_on(self, machine: str) -> list[TaskKey]:
        """Returns the tasks for which capacity is reserved on a machine."""
        return list(self._by_machine.get(machine, ()))

    def has_task(self, key: TaskKey) -> bool:
        """Whether capacity is reserved for the task on any machine."""
        return any(key in reservations for reservations in self._by_machine.values())

    def make_filter_for_rank(self, rank: int) -> Callable[[Machine], bool]:
        """Returns a filter of machines without a reservation for a more important rank."""

        def is_available(machine: Machine) -> bool:
            return all(rank <= reservation.rank for reservation in self.list_on(machine.name))

        return is_available

    def fulfil(self, key: TaskKey) -> None:
        """Drops the reservations of a placed task.

        Otherwise, later searches would count them in addition to the placement.
        """
        for machine, reservations in self._by_machine.items():
            if reservations.pop(key, None) is not None:
                self._freed_machines.add(machine)

    def expire(self, now: float, state: ClusterState) -> set[str]:
        """Drops fulfilled and expired reservations; returns the names of their machines."""
        live_by_machine = {}
        freed_machines = self._freed_machines
        self._freed_machines = set()
        for machine, reservations in self._by_machine.items():
            live = {
                key: reservation
                for key, reservation in reservations.items()
                if self._is_live(key, reservation, now, state)
            }
            if live:
                live_by_machine[machine] = live
            if len(live) < len(reservations):
                freed_machines.add(machine)
        self._by_machine = live_by_machine
        return freed_machines

    @staticmethod
    def _is_live(key: TaskKey, reservation: Reservation, now: float, state: ClusterState) -> bool:
        number, task = key
        job = state.jobs.get(number)
        if job is None or reservation.expires_at <= now:
            return False
        return reservation.is_move or task not in job.placements
