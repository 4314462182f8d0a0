"""Decides what to provision and what to terminate, at each planning step."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from ...clients.cloud import MAX_MACHINES_PER_PROVISION_CALL
from ...planning.fleet import Machine, Pool
from ...planning.provisioning import ProvisionDecision, Provisioner
from ...protocol import wire
from ..term import Term, TermActor
from .fleet_summary import count_pending_tasks, describe_fleet
from .forecast import Forecast
from .idle_machines import IdleMachines, choose_spare_machines
from .scale_out import ScaleOut

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...planning.packing import Demand
    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from ..reconciliation.reconciler import Reconciler

    DemandListener = Callable[[list[Demand]], None]

log = logging.getLogger(__name__)

SPOT_PRICE_FACTOR = 1.1
"""Spot prices count this many times: a preempted machine loses work."""
FLEET_SUMMARY_EVERY = 10
"""Planning steps from one log line about the whole fleet to the next."""


class Autoscaler(TermActor):
    """Owns the size of the fleet: compares forecasts of demand and capacity, and acts on gaps."""

    def __init__(
        self, term: Term, jobs: JobRegistry, reconciler: Reconciler, commands: CommandSender
    ) -> None:
        """`reconciler`: owner of the terminations; `commands`: carries stops to the workers."""
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._scale_in = reconciler.scale_in
        self._step_count = 0
        self._scale_out = ScaleOut(term, self.scale)
        self._forecast = Forecast(term, jobs, self._scale_out)
        self._idle_machines = IdleMachines(term, jobs)

    def is_in_backoff(self, pool: Pool) -> bool:
        """Whether the pool refused a short while ago."""
        return self._scale_out.is_in_backoff(pool)

    def make_spare_check(self, demands: list[Demand], now: float) -> Callable[[set[str]], bool]:
        """Makes a check of whether the fleet can do without the machines of the given names."""
        return self._forecast.make_spare_check(demands, now)

    # The cloud's catalogue

    def load_machine_types(self) -> None:
        """Asks for the cloud's machine types, again and again: spot prices move."""
        self.cloud.list_machine_types(self._on_machine_types)

    def _on_machine_types(self, machine_types: list[wire.MachineType] | None) -> None:
        if not self.term.active:
            return
        delay_s = self.policy.plan_lead if machine_types else self.policy.retry * 2
        self.later(delay_s, self.load_machine_types)
        if machine_types is None:
            return
        self.term.machine_types = {each.name: each for each in machine_types}
        recorded = msgspec.convert(self.ledger.state.catalog, list[wire.MachineType])
        if _without_spot_prices(recorded) != _without_spot_prices(machine_types):
            self.ledger.propose_catalog(msgspec.to_builtins(machine_types))
        self.term.request_pass()

    # A planning step

    def scale(self, on_done: DemandListener | None = None) -> None:
        """Scales out, then in, then calls `on_done` with the demand that was planned for.

        Each part is a callback of its own on the event loop: with thousands of machines, one part
        takes as long as heartbeats should wait. `on_done` isn't called while planning has to wait.
        """
        if not self.term.machine_types:
            return
        now = self.runtime.now()
        if self._is_settling(now):
            return
        self._step_count += 1
        if self._step_count % FLEET_SUMMARY_EVERY == 0:
            self._log_fleet()
        self._scale_out.retry_requests()
        demands = self._forecast.forecast_demands(now)
        self._scale_out_for(demands, now)
        self.runtime.soon(self._finish_step, demands, on_done)

    def _finish_step(self, demands: list[Demand], on_done: DemandListener | None) -> None:
        if not self.term.may_act:
            return
        self._scale_in_idle(demands, self.runtime.now())
        if on_done is not None:
            self.runtime.soon(on_done, demands)

    def _is_settling(self, now: float) -> bool:
        """Whether the term is so young that the state of known machines isn't known yet."""
        return bool(
            now - self.term.began_at < self.policy.settle / 4
            and self.ledger.state.jobs
            and self.fleet.machines
        )

    def _log_fleet(self) -> None:
        log.info(
            "event=fleet_summary term=%d %s pending=%s",
            self.term.number,
            describe_fleet(self.fleet.machines.values(), self.term.machine_types),
            count_pending_tasks(self._jobs.queue),
        )

    # Scale-out

    def _scale_out_for(self, demands: list[Demand], now: float) -> None:
        """Provisions what the forecast lacks, as far as the cloud's calls of a step allow."""
        steps = self._forecast.forecast_steps(now, demands)
        max_calls = self._max_calls()
        provisioner = Provisioner(
            self.term.machine_types,
            self._available_pools(),
            self._jobs.gpu_reservations,
            SPOT_PRICE_FACTOR,
        )
        decisions_by_pool: dict[Pool, list[ProvisionDecision]] = {}
        for decision in provisioner.plan(steps, max_calls * MAX_MACHINES_PER_PROVISION_CALL):
            decisions_by_pool.setdefault(decision.pool, []).append(decision)
        for pool, group in list(decisions_by_pool.items())[:max_calls]:
            self._scale_out.provision(
                pool, min(len(group), MAX_MACHINES_PER_PROVISION_CALL), group[0]
            )

    def _available_pools(self) -> list[Pool]:
        return [
            pool
            for machine_type in self.term.machine_types.values()
            for zone in machine_type.zones
            for spot in (False, True)
            if not self._scale_out.is_in_backoff(pool := Pool(machine_type.name, zone, spot))
        ]

    def _max_calls(self) -> int:
        """Provisioning calls that this step may make."""
        if self.cloud.is_failing:
            return 1
        return max(1, int(self.settings.cloud_rps * self.policy.plan_step))

    # Scale-in

    def _scale_in_idle(self, demands: list[Demand], now: float) -> None:
        """Terminates machines idle for the cool-down time that no step's demand needs."""
        idle = self._idle_machines.find_idle(now)
        if not idle:
            return
        for machine in choose_spare_machines(idle, self.make_spare_check(demands, now)):
            if machine.placements:
                self._drain_best_effort(machine)
            else:
                idle_s = now - machine.idle_since
                self._scale_in.terminate(machine, f"idle for {idle_s:.0f}s, no step needs it")
        self._scale_in.send_terminations()

    def _drain_best_effort(self, machine: Machine) -> None:
        """Cordons the machine, which is terminated once empty.

        Tasks that can save a checkpoint are stopped, others are left to end.
        """
        log.info(
            "event=machine_draining term=%d machine=%s type=%s spot=%s best_effort=%d",
            self.term.number,
            machine.name,
            machine.machine_type,
            machine.spot,
            len(machine.placements),
        )
        machine.is_cordoned = True
        machine.mark_changed()
        self._commands.stop_best_effort(machine)


def _without_spot_prices(machine_types: list[wire.MachineType]) -> list[wire.MachineType]:
    """The types without what changes all the time."""
    return [msgspec.structs.replace(each, hourly_spot_price=0.0) for each in machine_types]
