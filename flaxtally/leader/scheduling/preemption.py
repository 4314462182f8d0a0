"""Stops tasks to free capacity for more important ones, or for those of a lending team."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

from ...planning import placement
from ...protocol import wire
from ..reclaim.preemption_plan import PreemptionPlan
from ..term import Term, TermActor
from .preemptors import Preemptors
from .reservations import Reservation, Reservations, TaskKey

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Hashable

    from ...gangs.gang_preemption import MachineSlots
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..reclaim.open_reclaims import OpenReclaims
    from ..reclaim.quota_reclaim import QuotaReclaim
    from .preemption_policy import PreemptionPolicies
    from .victim_search import VictimSearch

log = logging.getLogger(__name__)


class Preemption(TermActor):
    """Owns the reservations of capacity that was freed by stopping tasks."""

    def __init__(
        self,
        term: Term,
        commands: CommandSender,
        gang_scheduler: GangScheduler,
        policies: PreemptionPolicies,
        victim_search: VictimSearch,
        reservations: Reservations,
        open_reclaims: OpenReclaims,
        quota_reclaim: QuotaReclaim,
    ) -> None:
        """`quota_reclaim` stops borrowed tasks for a reclaim; all other tasks are stopped here."""
        super().__init__(term)
        self._commands = commands
        self._gang_scheduler = gang_scheduler
        self._policies = policies
        self._victim_search = victim_search
        self._reservations = reservations
        self._open_reclaims = open_reclaims
        self._quota_reclaim = quota_reclaim
        self._preemptors = Preemptors()
        self._infeasible = placement.InfeasibleRequests()
        """Requests that found no victim, until `_infeasible_until`."""
        self._infeasible_until = 0.0

    def begin_pass(self) -> set[str]:
        """Drops expired state; returns the names of machines on which reservations ended."""
        now = self.runtime.now()
        if now >= self._infeasible_until:
            self._infeasible = placement.InfeasibleRequests()
            self._infeasible_until = now + self.policy.retry
        self._policies.current.begin_pass()
        return self._reservations.expire(now, self.ledger.state)

    # Queries

    def make_filter_for_rank(self, rank: int) -> Callable[[Machine], bool] | None:
        """Returns a filter of machines that no more important task has reserved; None: all."""
        return self._reservations.make_filter_for_rank(rank) if self._reservations else None

    def get_equivalence_key(self, job: Job) -> Hashable:
        """Returns a key that is equal for jobs for which the same tasks may be stopped."""
        return self._policies.current.get_equivalence_key(job)

    def is_infeasible(self, key: Hashable, spec: wire.Spec) -> bool:
        """Whether a job with this key that is no larger than `spec` recently found no victim."""
        return self._infeasible.covers(key, spec)

    def get_overdue_after_s(self, job: Job) -> float:
        """Returns how long a job waits before it also uses capacity reserved for GPU tasks."""
        return self._policies.current.get_overdue_after_s(job)

    # Placements

    def on_task_placed(self, placed: Placement) -> None:
        """Drops the reservation of a task that was placed; logs whose reservation it overrode."""
        self._reservations.fulfil((placed.job.number, placed.task))
        for number, task in self._reservations.list_tasks_on(placed.machine):
            job = self.ledger.state.jobs.get(number)
            log.info(
                "event=reservation_overridden term=%d task=%s machine=%s reserved_for=%s/%d",
                self.term.number,
                placed.name,
                placed.machine,
                job.spec.ref if job is not None else number,
                task,
            )

    def on_gang_placed(self, job: Job) -> None:
        """Drops the reservations of a gang that was placed."""
        self._quota_reclaim.on_gang_placed(job)
        for task in range(job.spec.tasks):
            if self._preemptors.remove((job.number, task)):
                self._reservations.fulfil((job.number, task))

    # For single tasks

    def preempt_for_task(self, job: Job, key: Hashable, excluded_zones: Collection[str]) -> bool:
        """Stops tasks to free capacity for one task of the job, where the least work is lost.

        The capacity is reserved for the job's rank for as long as the stops may take. Returns False
        if there is no victim for this job, nor for others with the same `key`.
        """
        policy = self._policies.current
        is_entitled = policy.is_entitled(job)
        if wire.RANKS[job.spec.rank] == wire.RANKS["idle"] and not is_entitled:
            self._infeasible.add(key, job.spec)
            return False
        if is_entitled:
            policy.record_demand(job)
        request = self._victim_search.make_request(job, is_entitled=is_entitled)
        task = policy.find_next_preemptor(job, self._preemptors, request.now)
        if task is None:
            return True
        zones = policy.find_excluded_zones(job, excluded_zones)
        plan = self._victim_search.find_cheapest(request, zones)
        if plan is None:
            self._infeasible.add(key, job.spec)
            return False
        if policy.is_reclaim(request, plan.victims):
            return self._quota_reclaim.try_start(job, plan)
        self._execute_plan(job, task, plan)
        return True

    def _execute_plan(self, job: Job, task: TaskKey, plan: PreemptionPlan) -> None:
        self._preemptors.expire(self.runtime.now())
        self._log_stops(job, task, plan)
        self._preempt(task, job.spec, plan.machine, plan.victims)

    def _log_stops(self, job: Job, task: TaskKey, plan: PreemptionPlan) -> None:
        """Logs which tasks are stopped for which one, and by which right."""
        rank = wire.RANKS[job.spec.rank]
        is_by_rank = all(wire.RANKS[placed.job.spec.rank] > rank for placed in plan.victims)
        log.info(
            "event=tasks_preempted term=%d task=%s/%d machine=%s stopped=%s right=%s loss=%.0f",
            self.term.number,
            job.spec.ref,
            task[1],
            plan.machine.name,
            ",".join(placed.name for placed in plan.victims),
            "rank" if is_by_rank else "guarantee",
            plan.cost,
        )

    def preempt_to_move(self, placed: Placement, machine: Machine) -> None:
        """Stops best-effort tasks on the machine, so that a replica can move there."""
        key = placed.job.number, placed.task
        if self._reservations.has_task(key):
            return
        machine_type = self.term.machine_types[machine.machine_type]
        request = self._victim_search.make_request(placed.job, is_entitled=False)
        victims = self._victim_search.select_victims_on(machine, machine_type, request)
        if victims and all(victim.is_best_effort for victim in victims):
            self._reserve(key, placed.job.spec, machine, victims, is_moving=True)
            self._stop(victims)

    # For gangs

    def preempt_for_gang(self, job: Job) -> bool:
        """Stops tasks to free capacity for a whole gang; returns whether it is being freed.

        Stops nothing if there isn't enough for all its tasks.

        By rank, only gangs above batch jobs may preempt: a gang waits until all its tasks have
        capacity, and the capacity that was freed for it is idle meanwhile.
        """
        policy, now = self._policies.current, self.runtime.now()
        if self._preemptors.is_preemptor(
            (job.number, 0), now
        ) or self._open_reclaims.count_tasks_for(job):
            return True
        key = "gang", job.shape, job.spec.tasks, policy.get_gang_equivalence_key(job)
        if (
            not policy.may_preempt_for_gang(job)
            or job.spec.spread
            or self.is_infeasible(key, job.spec)
        ):
            return False
        request = self._victim_search.make_request(job, is_entitled=policy.is_entitled(job))
        choice = self._victim_search.find_cheapest_for_gang(request)
        if choice is None:
            self._infeasible.add(key, job.spec)
            return False
        victims = [placed for slots in choice for placed in slots.victims]
        if policy.is_reclaim(request, victims):
            return self._quota_reclaim.try_start(job, *map(_make_plan, choice))
        self._execute_gang_plan(job, choice)
        return True

    def _execute_gang_plan(self, job: Job, choice: list[MachineSlots]) -> None:
        self._preemptors.expire(self.runtime.now())
        tasks = iter(range(job.spec.tasks))
        for slots in choice:
            for task in itertools.islice(tasks, slots.task_count):
                self._preempt((job.number, task), job.spec, slots.machine, list(slots.victims))
        log.info(
            "event=tasks_preempted_for_gang term=%d job=%s machines=%d",
            self.term.number,
            job.spec.ref,
            len(choice),
        )

    # Execution

    def _preempt(
        self, key: TaskKey, spec: wire.Spec, machine: Machine, victims: list[Placement]
    ) -> None:
        """Stops the tasks and reserves their capacity for another one."""
        expires_at = self._reserve(key, spec, machine, victims, is_moving=False)
        self._stop(victims)
        self._preemptors.add(key, expires_at)

    def _reserve(
        self,
        key: TaskKey,
        spec: wire.Spec,
        machine: Machine,
        victims: list[Placement],
        *,
        is_moving: bool,
    ) -> float:
        """Reserves the victims' capacity for as long as their stop may take; returns the expiry."""
        longest_save_s = max((placed.job.spec.checkpoint_save_s for placed in victims), default=0.0)
        expires_at = self.runtime.now() + 2 * self.policy.order_call + longest_save_s
        reservation = Reservation(wire.RANKS[spec.rank], expires_at, spec, is_moving)
        self._reservations.add(machine.name, key, reservation)
        return expires_at

    def _stop(self, victims: list[Placement]) -> None:
        for placed in victims:
            if placed.stopping_at is not None:
                continue
            if placed.job.spec.job_kind == wire.GANG:
                self._gang_scheduler.stop_gang(placed.job, "preempted")
            else:
                self._commands.stop_task(placed, placed.job.spec.checkpoint_save_s)


def _make_plan(slots: MachineSlots) -> PreemptionPlan:
    return PreemptionPlan(
        slots.machine, list(slots.victims), slots.preemption_cost, slots.task_count
    )
