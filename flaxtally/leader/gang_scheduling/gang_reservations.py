"""Machines reserved for a gang that has waited for long, so that small work doesn't overtake it."""

from __future__ import annotations

import itertools
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...gangs.gang_preemption import Candidate, MachineSlots, Victim, choose_cheapest_machines
from ...planning import placement
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ...gangs.gang_capacity import MachineFilter
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class _GangReservation:
    """Machines on which nothing of the gang's rank or lower is placed, until a time."""

    job_number: int
    rank: int
    expires_at: float
    machines: frozenset[str]


class GangReservations(TermActor):
    """Owns the machines reserved for gangs: for one gang of each rank at a time, and not for long.

    What runs there ends by itself; the machines whose tasks end first are reserved. A gang for
    which they were reserved in vain lets another one go first.
    """

    def __init__(self, term: Term, jobs: JobRegistry) -> None:
        """`jobs`: tells whether a gang with a reservation is still pending."""
        super().__init__(term)
        self._jobs = jobs
        self._reservations: dict[int, _GangReservation] = {}
        """By rank."""
        self._ineligible_until: dict[int, float] = {}
        """Gangs with a reservation in vain, and until when they get no other."""
        self._released_machines: set[str] = set()
        """Machines whose reservation ended since `take_released_machines` was called."""

    def reserve_machines(self, job: Job, index: MachineIndex) -> None:
        """Reserves machines for the gang, if there is no reservation of its rank."""
        rank = wire.RANKS[job.spec.rank]
        now = self.runtime.now()
        self._expire_reservations(now)
        is_ineligible = self._ineligible_until.get(job.number, 0.0) > now
        if rank in self._reservations or is_ineligible or job.spec.spread:
            return
        machines = self._choose_machines(job, index, now)
        if machines is None:
            return
        expires_at = now + self.policy.keep_patience
        self._reservations[rank] = _GangReservation(job.number, rank, expires_at, machines)
        self._ineligible_until[job.number] = expires_at + self.policy.keep_patience
        log.info(
            "event=gang_machines_reserved term=%d job=%s machines=%d",
            self.term.number,
            job.spec.ref,
            len(machines),
        )

    def on_gang_placed(self, job: Job) -> None:
        """Ends the reservation of a gang that is placed."""
        self._ineligible_until.pop(job.number, None)
        reservation = self._reservations.get(wire.RANKS[job.spec.rank])
        if reservation is not None and reservation.job_number == job.number:
            self._end_reservation(reservation)

    def machine_filter_for(self, job: Job) -> MachineFilter | None:
        """Accepts machines that aren't reserved against the job; None: none is reserved."""
        self._expire_reservations(self.runtime.now())
        rank = wire.RANKS[job.spec.rank]
        reserved = [
            reservation.machines
            for reservation in self._reservations.values()
            if reservation.rank <= rank and reservation.job_number != job.number
        ]
        if not reserved:
            return None
        names = frozenset(itertools.chain.from_iterable(reserved))
        return lambda machine: machine.name not in names

    def take_released_machines(self) -> set[str]:
        """The machines whose reservation ended since the last call."""
        self._expire_reservations(self.runtime.now())
        released = self._released_machines
        self._released_machines = set()
        return released

    def _expire_reservations(self, now: float) -> None:
        for reservation in list(self._reservations.values()):
            job = self._jobs.live_jobs.get(reservation.job_number)
            if now >= reservation.expires_at or job is None or job.is_terminal or job.placements:
                self._end_reservation(reservation)
        self._ineligible_until = {
            number: until for number, until in self._ineligible_until.items() if until > now
        }

    def _end_reservation(self, reservation: _GangReservation) -> None:
        del self._reservations[reservation.rank]
        self._released_machines |= reservation.machines

    def _choose_machines(self, job: Job, index: MachineIndex, now: float) -> frozenset[str] | None:
        """The machines that together hold the gang soonest, as their finite tasks end."""

        def candidates_outside(excluded_zones: Collection[str]) -> Iterator[Candidate]:
            max_machines = placement.SAMPLE_WIDENING_FACTOR**2 * self.policy.sample
            machines = itertools.islice(
                index.iterate_allowed(job.spec, excluded_zones), max_machines
            )
            for machine, machine_type in machines:
                free = placement.free_resources(machine, machine_type)
                yield Candidate(machine, machine_type, free, _finite_tasks(machine, now))

        chosen = choose_cheapest_machines(
            job.spec,
            self.fleet.zones,
            candidates_outside,
            placement.GpuReservations(),
            _longest_wait_s,
        )
        return None if chosen is None else frozenset(slots.machine.name for slots in chosen)


def _finite_tasks(machine: Machine, now: float) -> list[Victim]:
    """The tasks that end by themselves; the seconds until then are the cost."""
    return [
        Victim(placed, _estimated_remaining_s(placed, now))
        for placed in machine.finite_placements.values()
    ]


def _estimated_remaining_s(placed: Placement, now: float) -> float:
    return max(0.0, placed.job.spec.estimated_run_s - (now - (placed.started_at or now)))


def _longest_wait_s(chosen: list[MachineSlots]) -> float:
    return max(slots.preemption_cost for slots in chosen)
