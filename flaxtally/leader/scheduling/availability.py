"""Which machines have capacity for a job beside what is kept for others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...planning import placement
from ...planning.capacity_claims import has_capacity_beside
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.job import Job
    from ...planning.fleet import Machine
    from ..reclaim.reclaimed_capacity import ReclaimedCapacity
    from .reservations import Reservations


class Availability(TermActor):
    """Compares a job with all claims on a machine at once: reservations and reclaims."""

    def __init__(
        self, term: Term, reservations: Reservations, reclaimed_capacity: ReclaimedCapacity
    ) -> None:
        """`reservations` and `reclaimed_capacity` know what is kept for which jobs."""
        super().__init__(term)
        self._reservations = reservations
        self._reclaimed_capacity = reclaimed_capacity

    def make_filter(self, job: Job) -> Callable[[Machine], bool] | None:
        """Returns a filter of machines with capacity that isn't kept from the job; None: all.

        Capacity is kept from a job by reservations for jobs that it does not precede, and by
        reclaims for other jobs.
        """
        list_reserved = self._reservations.make_claim_list(job)
        list_reclaimed = self._reclaimed_capacity.make_claim_list(job)
        if list_reserved is None and list_reclaimed is None:
            return None

        def is_available(machine: Machine) -> bool:
            claims = []
            if list_reserved is not None:
                claims += list_reserved(machine.name)
            if list_reclaimed is not None:
                claims += list_reclaimed(machine.name)
            if not claims:
                return True
            machine_type = self.term.machine_types.get(machine.machine_type)
            if machine_type is None:
                return False
            free = placement.compute_free_resources(machine, machine_type)
            return has_capacity_beside(job.spec, free, claims)

        return is_available
