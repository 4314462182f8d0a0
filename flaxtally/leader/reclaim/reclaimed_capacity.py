"""The capacity that open reclaims reserve for the tasks that they serve."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Protocol

from ...planning.capacity_claims import CapacityClaim
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.job import Job
    from ...ledger.reclaims import Reclaim
    from ...planning.fleet import Machine
    from ...protocol import wire
    from ..jobs import JobRegistry
    from .open_reclaims import OpenReclaims


class MachineStatus(Protocol):
    """Tells which machines accept new work."""

    def is_schedulable(self, machine: Machine) -> bool:
        """Whether tasks may be placed on the machine."""


class ReclaimedCapacity(TermActor):
    """Tells which reclaimed capacity a job may use, and keeps it free of other jobs."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        open_reclaims: OpenReclaims,
        machine_status: MachineStatus,
    ) -> None:
        """`jobs`: says in which zones a job may have no more tasks."""
        super().__init__(term)
        self._jobs = jobs
        self._open_reclaims = open_reclaims
        self._machine_status = machine_status

    def find_freed_machine(self, job: Job) -> Machine | None:
        """Returns a machine on which a reclaim has freed capacity for a task of the job."""
        for entry in self._open_reclaims.list_for_job(job):
            machine = self.fleet.machines.get(entry.reclaim.machine)
            if (
                entry.is_committed
                and machine is not None
                and not self._open_reclaims.find_remaining_victims(entry.reclaim)
            ):
                return machine
        return None

    def can_machine_take_task(self, reclaim: Reclaim) -> bool:
        """Whether the machine of a reclaim can take the task that the reclaim serves.

        A machine without a heartbeat in this term can, until the term is old enough to suspect it.
        """
        machine = self.fleet.machines.get(reclaim.machine)
        job = self.ledger.state.jobs.get(reclaim.job)
        if machine is None or job is None or machine.zone in self._jobs.find_excluded_zones(job):
            return False
        if not machine.is_reconciled and not machine.is_terminating:
            return self.runtime.now() - self.term.began_at < self.policy.machine_suspect
        return self._machine_status.is_schedulable(machine)

    def make_claim_list(self, job: Job) -> Callable[[str], list[CapacityClaim]] | None:
        """Returns a function that lists the claims on a machine by reclaims for other jobs.

        The function takes the machine's name. None: no capacity is reclaimed.
        """
        if not self._open_reclaims.get_by_machine():
            return None
        return lambda machine: self.list_claims_on(machine, job)

    def list_claims_on(self, machine: str, job: Job | None = None) -> list[CapacityClaim]:
        """Returns the claims on a machine by reclaims for jobs other than `job`.

        `machine`: its name.
        """
        own_number = job.number if job is not None else None
        return [
            self._to_claim(entry.reclaim)
            for entry in self._open_reclaims.get_by_machine().get(machine, ())
            if entry.reclaim.job != own_number and entry.reclaim.job in self.ledger.state.jobs
        ]

    def _to_claim(self, reclaim: Reclaim) -> CapacityClaim:
        spec = self.ledger.state.jobs[reclaim.job].spec
        leaving = self._open_reclaims.find_remaining_victims(reclaim)
        return CapacityClaim(spec, reclaim.tasks, leaving)

    def get_reserved_specs_on(self, machine: str) -> list[wire.Spec]:
        """Returns the spec of each task for which reclaims reserve capacity on a machine."""
        entries = self._open_reclaims.get_by_machine().get(machine, [])
        return self._open_reclaims.get_reserved_specs(entries)

    def find_excluded_zones(self, job: Job) -> frozenset[str]:
        """Returns the zones in which no more capacity may be reclaimed for the job."""
        spec = job.spec
        entries = self._open_reclaims.list_for_job(job)
        excluded = self._jobs.find_excluded_zones(job)
        if not entries or not (spec.spread or spec.one_zone):
            return excluded
        machines = self.fleet.machines
        zones = Counter(
            machines[entry.reclaim.machine].zone
            for entry in entries
            if entry.reclaim.machine in machines
        )
        if spec.one_zone:
            return excluded | {zone for zone in self.fleet.zones if zone not in zones}
        return excluded | {
            zone
            for zone, count in zones.items()
            if job.placements_in_zone(zone) + count >= spec.max_tasks_per_zone
        }
