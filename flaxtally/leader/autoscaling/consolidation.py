"""Empties underutilized machines by moving their replicas, so that they can be terminated."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from ...planning.consolidation import (
    EmptyingRules,
    choose_machine_to_empty,
    get_hourly_price,
    without_best_effort,
)
from ...protocol import wire
from ..term import Term, TermActor
from .replica_moves import ReplicaMoves

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ...planning.packing import Demand
    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from ..reconciliation.reconciler import Reconciler
    from ..scheduling.scheduler import Scheduler
    from .autoscaler import Autoscaler

log = logging.getLogger(__name__)


class Consolidation(TermActor):
    """Chooses the machines to be emptied while the cluster is stable.

    One machine at a time in a small fleet, several in a large one. `ReplicaMoves` empties them.
    """

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        reconciler: Reconciler,
        commands: CommandSender,
        autoscaler: Autoscaler,
        scheduler: Scheduler,
    ) -> None:
        """`autoscaler`: checks whether the fleet can do without a machine."""
        super().__init__(term)
        self._jobs = jobs
        self._reconciler = reconciler
        self._commands = commands
        self._autoscaler = autoscaler
        self._scheduler = scheduler
        self._moves = ReplicaMoves(term, jobs, reconciler, commands, scheduler)
        self._skipped_until: dict[str, float] = {}
        """When machines that could not be emptied may be considered again, by name."""

    def continue_moves(self, now: float) -> None:
        """Moves the next replica of each machine that is being emptied."""
        self._moves.continue_moves(now)

    def consolidate(self, demands: list[Demand]) -> None:
        """Starts emptying machines if the cluster is stable; `continue_moves` moves replicas."""
        if not self.term.may_act:
            return
        now = self.runtime.now()
        if not self._may_consolidate(now):
            return
        self._skipped_until = {
            name: until for name, until in self._skipped_until.items() if until > now
        }
        rules = self._make_emptying_rules(now)
        mean_price = self._compute_mean_hourly_price()
        can_spare: Callable[[set[str]], bool] | None = None
        chosen: set[str] = set()
        while self._moves.can_empty_more():
            machine = self._choose_machine(rules, mean_price, now)
            if machine is None:
                return
            can_spare = can_spare or self._autoscaler.make_spare_check(demands, now)
            chosen.add(machine.name)
            if not can_spare(chosen):
                self._skipped_until[machine.name] = now + self.policy.settle
                return
            self._start_emptying(machine, now)

    def _may_consolidate(self, now: float) -> bool:
        """Returns whether the fleet is reachable and neither an urgent job nor a gang is pending.

        Urgent jobs are those that rank above `standard`. Nothing is moved early in a term.
        """
        return (
            self._moves.can_empty_more()
            and now - self.term.began_at > self.policy.settle
            and self._moves.is_fleet_reachable(now)
            and not any(
                wire.RANKS[job.spec.rank] < wire.RANKS["standard"] or job.spec.job_kind == wire.GANG
                for job in self._jobs.queue.list_pending_jobs()
            )
        )

    def _make_emptying_rules(self, now: float) -> EmptyingRules:
        def is_settled(placed: Placement) -> bool:
            # A replica that has just started is not moved: users notice each restart.
            return (
                placed.state == wire.RUNNING
                and placed.started_at is not None
                and (now - placed.started_at > self.policy.move_after)
            )

        only_best_effort_pending = all(
            job.spec.is_best_effort for job in self._jobs.queue.list_pending_jobs()
        )
        return EmptyingRules(
            is_settled,
            allow_finite_tasks=only_best_effort_pending,
            skipped=self._scheduler.machines_with_reservations.union(self._skipped_until),
        )

    def _compute_mean_hourly_price(self) -> float:
        machine_types = self.term.machine_types
        known = [
            machine
            for machine in self.fleet.machines.values()
            if machine.machine_type in machine_types
        ]
        total = sum(get_hourly_price(machine, machine_types) for machine in known)
        return total / max(1, len(known))

    def _choose_machine(
        self, rules: EmptyingRules, mean_price: float, now: float
    ) -> Machine | None:
        """Returns the next machine to empty; skips those that can't be emptied for a while."""
        emptying = self._moves.list_machines_being_emptied()
        price_factor = self.policy.move_worth if not emptying else 1.0
        schedulable = self._reconciler.find_schedulable_machines()
        with without_best_effort(schedulable) as stoppable:
            choice = choose_machine_to_empty(
                schedulable,
                self.term.machine_types,
                self.rng,
                replace(self._moves.make_target_search(), stoppable=stoppable),
                replace(rules, min_hourly_price=mean_price * price_factor),
                emptying,
            )
        self._skipped_until.update(dict.fromkeys(choice.rejected, now + self.policy.settle))
        return choice.machine

    def _start_emptying(self, machine: Machine, now: float) -> None:
        log.info(
            "event=machine_emptying term=%d machine=%s type=%s zone=%s replicas=%d",
            self.term.number,
            machine.name,
            machine.machine_type,
            machine.zone,
            len(machine.placements),
        )
        self._moves.start_emptying(machine, now)
        machine.is_cordoned = True
        machine.mark_changed()
        self._commands.stop_best_effort(machine)
