"""Room that is kept for a task while others are stopped to make it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...ledger.cluster_state import ClusterState
    from ...planning.fleet import Machine
    from ...protocol import wire

TaskKey = tuple[int, int]
"""A job's number and a task's."""


class Reservation(NamedTuple):
    """Room on a machine that is kept for a task until a time."""

    rank: int
    until: float
    spec: wire.Spec
    moving: bool
    """The task still runs elsewhere, and moves when there is room."""


class Reservations:
    """Owns the claims by machine and task."""

    def __init__(self) -> None:
        self._claims: dict[str, dict[TaskKey, Reservation]] = {}
        self._freed: set[str] = set()
        """Machines on which a claim was made good since the last `expire`."""

    def __bool__(self) -> bool:
        return bool(self._claims)

    def add(self, machine: str, key: TaskKey, claim: Reservation) -> None:
        """Keeps room on the machine for the task."""
        self._claims.setdefault(machine, {})[key] = claim

    def on(self, machine: str) -> Iterable[Reservation]:
        """The claims on a machine."""
        return self._claims.get(machine, {}).values()

    def has(self, key: TaskKey) -> bool:
        """Whether room is kept for the task anywhere."""
        return any(key in claims for claims in self._claims.values())

    def unclaimed_by(self, rank: int) -> Callable[[Machine], bool]:
        """Whether a machine's room is not claimed by somebody more important."""

        def keep(machine: Machine) -> bool:
            return all(rank <= claim.rank for claim in self.on(machine.name))

        return keep

    def made_good(self, key: TaskKey) -> None:
        """The task is placed: who comes later must not count its claim beside the placement."""
        for name, claims in self._claims.items():
            if claims.pop(key, None) is not None:
                self._freed.add(name)

    def expire(self, now: float, book: ClusterState) -> set[str]:
        """Drops claims that were made good or have waited too long; returns their machines."""
        kept, freed = {}, self._freed
        self._freed = set()
        for name, claims in self._claims.items():
            live = {
                key: claim for key, claim in claims.items() if self._is_live(key, claim, now, book)
            }
            if live:
                kept[name] = live
            if len(live) < len(claims):
                freed.add(name)
        self._claims = kept
        return freed

    @staticmethod
    def _is_live(key: TaskKey, claim: Reservation, now: float, book: ClusterState) -> bool:
        number, task = key
        job = book.jobs.get(number)
        return (
            claim.until > now and job is not None and (claim.moving or task not in job.placements)
        )
