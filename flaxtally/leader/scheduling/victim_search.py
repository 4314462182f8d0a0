"""Searches the fleet for the tasks whose preemption loses the least work; stops nothing."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from ...gangs.gang_preemption import Candidate, MachineSlots, Victim, choose_cheapest_machines
from ...lending.victim_selection import select_victims
from ...planning import placement
from ...protocol import wire
from ..reclaim.preemption_plan import PreemptionPlan
from ..term import Term, TermActor
from .preemption_policy import PreemptionRequest

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..jobs import JobRegistry
    from ..reclaim.reclaimed_capacity import ReclaimedCapacity
    from .preemption_cost import PreemptionCost
    from .preemption_policy import PreemptionPolicies, PreemptionPolicy
    from .reservations import Reservations
    from .schedulable_machines import SchedulableMachines
    from .scheduling_pass import MachineFilter


class VictimSearch(TermActor):
    """Chooses victims as the preemption policy in force allows."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        gang_scheduler: GangScheduler,
        machines: SchedulableMachines,
        policies: PreemptionPolicies,
        cost: PreemptionCost,
        reservations: Reservations,
        reclaimed_capacity: ReclaimedCapacity,
    ) -> None:
        """`reservations`, `reclaimed_capacity`: know what is being freed for other tasks."""
        super().__init__(term)
        self._jobs = jobs
        self._gang_scheduler = gang_scheduler
        self._machines = machines
        self._policies = policies
        self._cost = cost
        self._reservations = reservations
        self._reclaimed_capacity = reclaimed_capacity

    @property
    def _max_machines(self) -> int:
        """The most machines that one search examines; the next one examines a different part."""
        return placement.SAMPLE_WIDENING_FACTOR**2 * self.policy.sample

    def make_request(
        self, job: Job, *, is_entitled: bool, is_eligible: MachineFilter | None = None
    ) -> PreemptionRequest:
        """Returns a request for the job as of now.

        `is_eligible`: a filter of machines on which the job may be placed; None: all.
        """
        precedence = self._jobs.queue.get_precedence(job)
        now = self.runtime.now()
        return PreemptionRequest(job, job.spec, precedence, is_entitled, now, is_eligible)

    def find_plan(self, job: Job) -> PreemptionPlan | None:
        """Returns a plan to stop tasks for a job that is entitled to capacity; None: none found."""
        excluded = self._reclaimed_capacity.find_excluded_zones(job)
        return self.find_cheapest(self.make_request(job, is_entitled=True), excluded)

    def find_cheapest(
        self, request: PreemptionRequest, excluded_zones: Collection[str]
    ) -> PreemptionPlan | None:
        """Returns the plan that loses the least work in a sample of machines; None: none found."""
        best: PreemptionPlan | None = None
        found_count = 0
        machines = self._machines.index.iterate_allowed(request.spec, excluded_zones)
        for seen_count, (machine, machine_type) in enumerate(machines):
            if seen_count >= self._max_machines:
                break
            victims = self.select_victims_on(machine, machine_type, request)
            if not victims:
                continue
            cost = sum(self._cost.estimate_lost_work_s(placed, request.now) for placed in victims)
            if best is None or cost < best.cost:
                best = PreemptionPlan(machine, victims, cost)
            found_count += 1
            if found_count >= self.policy.sample:
                break
        return best

    def select_victims_on(
        self, machine: Machine, machine_type: wire.MachineType, request: PreemptionRequest
    ) -> list[Placement]:
        """Returns the tasks to stop on the machine for one task of the job; empty: none suffice.

        Tasks that lose the least work are chosen first.
        """
        policy, spec = self._policies.current, request.spec
        if request.is_eligible is not None and not request.is_eligible(machine):
            return []
        preemptible = self._list_preemptible_on(machine, request, policy)
        if not preemptible:
            return []
        preemptible.sort(
            key=lambda placed: (
                policy.is_last_resort(placed, spec),
                self._cost.estimate_lost_work_s(placed, request.now),
            )
        )
        free_after_stops, victims = select_victims(
            spec,
            self._compute_unreserved_capacity(machine, machine_type, request),
            preemptible,
            lambda placed: placed.job.spec,
            policy.make_budget(spec).try_take,
        )
        fits = free_after_stops.holds(spec) and (
            placement.leaves_gpus_usable(
                spec, free_after_stops, machine_type, self._jobs.gpu_reservations
            )
            or policy.ignores_gpu_reservations(request)
        )
        return victims if fits else []

    def find_cheapest_for_gang(self, request: PreemptionRequest) -> list[MachineSlots] | None:
        """Returns machines that can hold the gang once their victims stop; None: none can."""
        policy, spec = self._policies.current, request.spec
        budget = policy.make_budget(spec)

        def candidates(excluded_zones: Collection[str]) -> Iterator[Candidate]:
            machines = self._machines.index.iterate_allowed(spec, excluded_zones)
            for machine, machine_type in itertools.islice(machines, self._max_machines):
                if request.is_eligible is not None and not request.is_eligible(machine):
                    continue
                victims = [
                    Victim(placed, self._cost.estimate_lost_work_s(placed, request.now))
                    for placed in self._list_preemptible_on(machine, request, policy)
                    if budget.try_take(placed)
                ]
                capacity = self._compute_unreserved_capacity(machine, machine_type, request)
                yield Candidate(machine, machine_type, capacity, victims)

        def total_cost(choice: list[MachineSlots]) -> float:
            return sum(slots.preemption_cost for slots in choice)

        return choose_cheapest_machines(
            spec, self.fleet.zones, candidates, self._jobs.gpu_reservations, total_cost
        )

    def _list_preemptible_on(
        self, machine: Machine, request: PreemptionRequest, policy: PreemptionPolicy
    ) -> list[Placement]:
        """Returns the tasks that were reported as running there and that the policy may stop."""
        is_preemptible = policy.is_preemptible
        return [
            placed
            for placed in machine.placements.values()
            if placed.was_reported and is_preemptible(placed, request) and self._can_stop(placed)
        ]

    def _can_stop(self, placed: Placement) -> bool:
        is_gang = placed.job.spec.job_kind == wire.GANG
        return not is_gang or self._gang_scheduler.can_stop(placed.job)

    def _compute_unreserved_capacity(
        self, machine: Machine, machine_type: wire.MachineType, request: PreemptionRequest
    ) -> placement.FreeResources:
        """Returns free resources minus reservations: a victim must not free capacity twice."""
        free = self._reservations.compute_unreserved(machine, machine_type, request.precedence)
        for spec in self._reclaimed_capacity.get_reserved_specs_on(machine.name):
            free = free.minus(spec)
        return free
