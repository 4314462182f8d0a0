"""Stops tasks to free capacity for more important ones, or for those of a lending team."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

from ...planning import placement
from ...protocol import wire
from ..reclaim.preemption_plan import PreemptionPlan
from ..term import Term, TermActor
from .reservations import Purpose, Reservations, TaskKey

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable, Iterable, Sequence

    from ...gangs.gang_preemption import MachineSlots
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..reclaim.open_reclaims import OpenReclaims
    from ..reclaim.quota_reclaim import QuotaReclaim
    from .preemption_policy import PreemptionPolicies
    from .scheduling_pass import MachineFilter
    from .victim_search import VictimSearch

log = logging.getLogger(__name__)


class Preemption(TermActor):
    """Stops tasks for others, and reserves their capacity for these.

    A stop is repeated until the task has left its machine; the capacity stays reserved until then.
    """

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
        self._reservations.expire()
        return self._reservations.take_freed_machines()

    def check_stops(self) -> None:
        """Repeats stops that were not executed, and requests a pass once reservations have ended.

        There may be no other event that causes a pass.
        """
        now = self.runtime.now()
        for reservation in self._reservations:
            if reservation.purpose is Purpose.LARGE_GANG:
                continue
            for placed in reservation.list_remaining():
                is_saving = placed.state == wire.FLUSHING
                if not is_saving and now - placed.command_sent_at > self.policy.order_call:
                    self._stop_again(placed)
        self._reservations.expire()
        if self._reservations.has_freed_machines:
            self.term.request_pass()

    def _stop_again(self, placed: Placement) -> None:
        """Repeats the stop of a task; `GangScheduler` repeats those of gangs."""
        if placed.job.spec.job_kind != wire.GANG:
            self._commands.stop_task(placed, placed.job.spec.checkpoint_save_s)

    # Queries

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

    def on_gang_placed(self, job: Job) -> None:
        """Drops the reservations of a gang that was placed."""
        self._quota_reclaim.on_gang_placed(job)
        self._reservations.on_gang_placed(job)

    # For single tasks

    def preempt_for_task(
        self,
        job: Job,
        key: Hashable,
        excluded_zones: Collection[str],
        is_eligible: MachineFilter | None,
    ) -> bool:
        """Stops tasks to free capacity for one task of the job, where the least work is lost.

        The capacity is reserved for the task until the others have left. Returns False if there is
        no victim for this job, nor for others with the same `key`. `is_eligible`: a filter of
        machines on which the job may be placed; None: all.
        """
        policy = self._policies.current
        is_entitled = policy.is_entitled(job)
        if wire.RANKS[job.spec.rank] == wire.RANKS["idle"] and not is_entitled:
            self._infeasible.add(key, job.spec)
            return False
        if is_entitled:
            policy.record_demand(job)
        task = policy.find_next_preemptor(job, self._reservations)
        if task is None:
            return True
        request = self._victim_search.make_request(
            job, is_entitled=is_entitled, is_eligible=is_eligible
        )
        zones = policy.find_excluded_zones(job, excluded_zones)
        plan = self._victim_search.find_cheapest(request, zones)
        if plan is None:
            self._infeasible.add(key, job.spec)
            return False
        if policy.is_reclaim(request, plan.victims):
            return self._quota_reclaim.try_start(job, plan)
        self._log_stops(job, task, plan)
        self._reserve(job, task[1], plan.machine, plan.victims, Purpose.PREEMPTION)
        self._stop(plan.victims)
        return True

    def _log_stops(self, job: Job, task: TaskKey, plan: PreemptionPlan) -> None:
        """Logs which tasks are stopped for which one, and by which right.

        Tasks that are stopping already are left out.
        """
        stopped = _join_names_to_stop(plan.victims)
        if not stopped:
            return
        rank = wire.RANKS[job.spec.rank]
        is_by_rank = all(wire.RANKS[placed.job.spec.rank] > rank for placed in plan.victims)
        log.info(
            "event=tasks_preempted term=%d task=%s/%d machine=%s stopped=%s right=%s loss=%.0f",
            self.term.number,
            job.spec.ref,
            task[1],
            plan.machine.name,
            stopped,
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
            self._reserve(placed.job, placed.task, machine, victims, Purpose.MOVE)
            self._stop(victims)

    def reserve_for_move(self, placed: Placement, machine: Machine) -> None:
        """Reserves capacity for a replica that is stopped now to be placed on the machine."""
        self._reserve(placed.job, placed.task, machine, [], Purpose.MOVE)

    # For gangs

    def preempt_for_gang(self, job: Job) -> bool:
        """Stops tasks to free capacity for a whole gang; returns whether it is being freed.

        Stops nothing if there isn't enough for all its tasks.

        By rank, only gangs above batch jobs may preempt: a gang waits until all its tasks have
        capacity, and the capacity that was freed for it is idle meanwhile.
        """
        policy = self._policies.current
        if self._reservations.list_preempting_tasks(job) or (
            self._open_reclaims.count_tasks_for(job)
        ):
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
        stopped = _join_names_to_stop(placed for slots in choice for placed in slots.victims)
        tasks = iter(range(job.spec.tasks))
        for slots in choice:
            for task in itertools.islice(tasks, slots.task_count):
                self._reserve(job, task, slots.machine, slots.victims, Purpose.PREEMPTION)
            self._stop(slots.victims)
        log.info(
            "event=tasks_preempted_for_gang term=%d job=%s machines=%d stopped=%s",
            self.term.number,
            job.spec.ref,
            len(choice),
            stopped,
        )

    # Execution

    def _reserve(
        self,
        job: Job,
        task: int,
        machine: Machine,
        awaited: Sequence[Placement],
        purpose: Purpose,
    ) -> None:
        """Reserves capacity for a task for as long as the stops of others may take."""
        longest_save_s = max((placed.job.spec.checkpoint_save_s for placed in awaited), default=0.0)
        expires_at = self.runtime.now() + 2 * self.policy.order_call + longest_save_s
        self._reservations.add(job, task, machine.name, awaited, expires_at, purpose)

    def _stop(self, victims: Sequence[Placement]) -> None:
        for placed in victims:
            if placed.stopping_at is not None:
                continue
            if placed.job.spec.job_kind == wire.GANG:
                self._gang_scheduler.stop_gang(placed.job, "preempted")
            else:
                self._commands.stop_task(placed, placed.job.spec.checkpoint_save_s)


def _join_names_to_stop(victims: Iterable[Placement]) -> str:
    """Returns the names of the victims that are not stopping already, for a log line."""
    return ",".join(placed.name for placed in victims if placed.stopping_at is None)


def _make_plan(slots: MachineSlots) -> PreemptionPlan:
    return PreemptionPlan(
        slots.machine, list(slots.victims), slots.preemption_cost, slots.task_count
    )
