"""Reserves machines for gangs pending for long, so that small jobs don't starve them."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

from ...gangs.gang_preemption import Candidate, MachineSlots, Victim, choose_cheapest_machines
from ...planning import placement
from ..scheduling.reservations import Purpose
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..jobs import JobRegistry
    from ..scheduling.reservations import Reservations

log = logging.getLogger(__name__)


class GangReservations(TermActor):
    """Decides for which gangs capacity is reserved: for one of each rank at a time, for a while.

    Running tasks on the machines are not stopped; the machines whose tasks finish first are
    reserved. A gang whose reservation expired unused must wait before it gets another, so that
    another gang can get one first.
    """

    def __init__(self, term: Term, jobs: JobRegistry, reservations: Reservations) -> None:
        """`reservations`: holds the reserved capacity."""
        super().__init__(term)
        self._jobs = jobs
        self._reservations = reservations
        self._reservation_backoff_until: dict[int, float] = {}
        """Until when gangs with an earlier reservation get no other, by job number."""

    def reserve_machines(self, job: Job, index: MachineIndex) -> None:
        """Reserves machines for the gang if its rank has no reservation.

        Does nothing while the gang is in back-off after an earlier reservation, nor for a gang that
        must be spread over zones.
        """
        now = self.runtime.now()
        is_in_backoff = self._reservation_backoff_until.get(job.number, 0.0) > now
        if is_in_backoff or job.spec.spread or self._has_reservation(job.spec.rank):
            return
        choice = self._choose_machines(job, index, now)
        if choice is None:
            return
        self._expire_backoffs(now)
        expires_at = now + self.policy.keep_patience
        self._reservation_backoff_until[job.number] = expires_at + self.policy.keep_patience
        self._reserve(job, choice, expires_at)
        log.info(
            "event=gang_machines_reserved term=%d job=%s machines=%d",
            self.term.number,
            job.spec.ref,
            len(choice),
        )

    def _has_reservation(self, rank: str) -> bool:
        return any(
            each.purpose is Purpose.LARGE_GANG and each.job.spec.rank == rank
            for each in self._reservations
        )

    def _reserve(self, job: Job, choice: list[MachineSlots], expires_at: float) -> None:
        tasks = iter(range(job.spec.tasks))
        for slots in choice:
            for task in itertools.islice(tasks, slots.task_count):
                self._reservations.add(
                    job, task, slots.machine.name, slots.victims, expires_at, Purpose.LARGE_GANG
                )

    def on_gang_placed(self, job: Job) -> None:
        """Ends the back-off of a gang that was placed."""
        self._reservation_backoff_until.pop(job.number, None)

    def _expire_backoffs(self, now: float) -> None:
        self._reservation_backoff_until = {
            number: until
            for number, until in self._reservation_backoff_until.items()
            if until > now
        }

    def _choose_machines(
        self, job: Job, index: MachineIndex, now: float
    ) -> list[MachineSlots] | None:
        """Returns the machines that can hold the whole gang soonest, once finite tasks finish."""
        precedence = self._jobs.queue.get_precedence(job)

        def candidates_outside(excluded_zones: Collection[str]) -> Iterator[Candidate]:
            max_machines = placement.SAMPLE_WIDENING_FACTOR**2 * self.policy.sample
            machines = itertools.islice(
                index.iterate_allowed(job.spec, excluded_zones), max_machines
            )
            for machine, machine_type in machines:
                free = self._reservations.compute_unreserved(machine, machine_type, precedence)
                yield Candidate(machine, machine_type, free, _list_finite_tasks(machine, now))

        return choose_cheapest_machines(
            job.spec,
            self.fleet.zones,
            candidates_outside,
            placement.GpuReservations(),
            _longest_wait_s,
        )


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
