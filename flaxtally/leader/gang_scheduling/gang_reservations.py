"""Reserves machines for gangs pending for long, so that small jobs don't starve them."""

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
    """Machines on which no other job of the gang's rank or lower is placed until `expires_at`."""

    job_number: int
    rank: int
    expires_at: float
    machines: frozenset[str]


class GangReservations(TermActor):
    """Owns the machines reserved for gangs: for one gang of each rank at a time, until a deadline.

    Running tasks on them are not stopped; the machines whose tasks finish first are reserved. A
    gang whose reservation expired unused must wait before it gets another, so that another gang
    can get one first.
    """

    def __init__(self, term: Term, jobs: JobRegistry) -> None:
        """`jobs`: used to check whether a gang with a reservation is still pending."""
        super().__init__(term)
        self._jobs = jobs
        self._reservations: dict[int, _GangReservation] = {}
        """The reservation of each rank that has one."""
        self._reservation_backoff_until: dict[int, float] = {}
        """Until when gangs with an earlier reservation get no other, by job number."""
        self._released_machines: set[str] = set()
        """Machines whose reservation ended since the last call of `take_released_machines`."""

    def reserve_machines(self, job: Job, index: MachineIndex) -> None:
        """Reserves machines for the gang if its rank has no reservation.

        Does nothing while the gang is in back-off after an earlier reservation, nor for a gang that
        must be spread over zones.
        """
        rank = wire.RANKS[job.spec.rank]
        now = self.runtime.now()
        self._expire_reservations(now)
        is_in_backoff = self._reservation_backoff_until.get(job.number, 0.0) > now
        if rank in self._reservations or is_in_backoff or job.spec.spread:
            return
        machines = self._choose_machines(job, index, now)
        if machines is None:
            return
        expires_at = now + self.policy.keep_patience
        self._reservations[rank] = _GangReservation(job.number, rank, expires_at, machines)
        self._reservation_backoff_until[job.number] = expires_at + self.policy.keep_patience
        log.info(
            "event=gang_machines_reserved term=%d job=%s machines=%d",
            self.term.number,
            job.spec.ref,
            len(machines),
        )

    def on_gang_placed(self, job: Job) -> None:
        """Ends the reservation of a gang that was placed."""
        self._reservation_backoff_until.pop(job.number, None)
        reservation = self._reservations.get(wire.RANKS[job.spec.rank])
        if reservation is not None and reservation.job_number == job.number:
            self._end_reservation(reservation)

    def make_machine_filter(self, job: Job) -> MachineFilter | None:
        """Returns a filter that rejects machines reserved against the job; None: there are none."""
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
        """Returns the machines whose reservation ended since the last call."""
        self._expire_reservations(self.runtime.now())
        released = self._released_machines
        self._released_machines = set()
        return released

    def _expire_reservations(self, now: float) -> None:
        for reservation in list(self._reservations.values()):
            job = self._jobs.live_jobs.get(reservation.job_number)
            if now >= reservation.expires_at or job is None or job.is_terminal or job.placements:
                self._end_reservation(reservation)
        self._reservation_backoff_until = {
            number: until
            for number, until in self._reservation_backoff_until.items()
            if until > now
        }

    def _end_reservation(self, reservation: _GangReservation) -> None:
        del self._reservations[reservation.rank]
        self._released_machines |= reservation.machines

    def _choose_machines(self, job: Job, index: MachineIndex, now: float) -> frozenset[str] | None:
        """Returns the machines that can hold the whole gang soonest, once finite tasks finish."""

        def candidates_outside(excluded_zones: Collection[str]) -> Iterator[Candidate]:
            max_machines = placement.SAMPLE_WIDENING_FACTOR**2 * self.policy.sample
            machines = itertools.islice(
                index.iterate_allowed(job.spec, excluded_zones), max_machines
            )
            for machine, machine_type in machines:
                free = placement.compute_free_resources(machine, machine_type)
                yield Candidate(machine, machine_type, free, _list_finite_tasks(machine, now))

        chosen = choose_cheapest_machines(
            job.spec,
            self.fleet.zones,
            candidates_outside,
            placement.GpuReservations(),
            _longest_wait_s,
        )
        return None if chosen is None else frozenset(slots.machine.name for slots in chosen)


def _list_finite_tasks(machine: Machine, now: float) -> list[Victim]:
    """Returns the tasks that finish by themselves, with the seconds until then as their cost."""
    return [
        Victim(placed, _estimate_remaining_s(placed, now))
        for placed in machine.finite_placements.values()
    ]


def _estimate_remaining_s(placed: Placement, now: float) -> float:
    return max(0.0, placed.job.spec.estimated_run_s - (now - (placed.started_at or now)))


def _longest_wait_s(chosen: list[MachineSlots]) -> float:
    return max(slots.preemption_cost for slots in chosen)
