"""Decides which machines to provision and which to terminate, at each planning step."""

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
"""Factor applied to spot prices in price comparisons: a preempted spot machine loses work."""
FLEET_SUMMARY_INTERVAL_STEPS = 10
"""Number of planning steps between two log lines that summarize the whole fleet."""


class Autoscaler(TermActor):
    """Controls the size of the fleet: compares forecast demand and capacity and acts on gaps."""

    def __init__(
        self, term: Term, jobs: JobRegistry, reconciler: Reconciler, commands: CommandSender
    ) -> None:
        """`reconciler`: owns `ScaleIn`; `commands`: sends stop commands to the workers."""
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._scale_in = reconciler.scale_in
        self._step_count = 0
        self._scale_out = ScaleOut(term, self.scale)
        self._forecast = Forecast(term, jobs, self._scale_out)
        self._idle_machines = IdleMachines(term, jobs)

    def is_in_backoff(self, pool: Pool) -> bool:
        """Returns whether the pool is in back-off after a recent refusal."""
        return self._scale_out.is_in_backoff(pool)

    def make_spare_check(self, demands: list[Demand], now: float) -> Callable[[set[str]], bool]:
        """Returns a function that checks whether the fleet can spare machines, given by name."""
        return self._forecast.make_spare_check(demands, now)

    # The cloud's catalogue

    def load_machine_types(self) -> None:
        """Requests the cloud's machine types, periodically because spot prices change."""
        self.cloud.list_machine_types(self._on_machine_types)

    def _on_machine_types(self, machine_types: list[wire.MachineType] | None) -> None:
        if not self.term.active:
            return
        delay_s = self.policy.plan_lead if machine_types else self.policy.retry * 2
        self.later(delay_s, self.load_machine_types)
        if machine_types is None:
            return
        self.term.machine_types = {
            machine_type.name: machine_type for machine_type in machine_types
        }
        recorded = msgspec.convert(self.ledger.state.catalog, list[wire.MachineType])
        if _without_spot_prices(recorded) != _without_spot_prices(machine_types):
            self.ledger.propose_catalog(msgspec.to_builtins(machine_types))
        self.term.request_pass()

    # A planning step

    def scale(self, on_done: DemandListener | None = None) -> None:
        """Scales out, then in, then calls `on_done` with the demand that was planned for.

        Each part is a separate callback on the event loop: with thousands of machines, a single
        part already delays heartbeats as long as is acceptable. `on_done` isn't called while the
        machine types or the state of known machines are still missing.
        """
        if not self.term.machine_types:
            return
        now = self.runtime.now()
        if self._is_awaiting_heartbeats(now):
            return
        self._step_count += 1
        if self._step_count % FLEET_SUMMARY_INTERVAL_STEPS == 0:
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

    def _is_awaiting_heartbeats(self, now: float) -> bool:
        """Returns whether the term is too young for the known machines to have reported."""
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
        """Provisions machines for unmet demand, within the cloud API calls allowed per step."""
        steps = self._forecast.forecast_steps(now, demands)
        max_calls = self._compute_max_calls()
        provisioner = Provisioner(
            self.term.machine_types,
            self._list_available_pools(),
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

    def _list_available_pools(self) -> list[Pool]:
        return [
            pool
            for machine_type in self.term.machine_types.values()
            for zone in machine_type.zones
            for spot in (False, True)
            if not self._scale_out.is_in_backoff(pool := Pool(machine_type.name, zone, spot))
        ]

    def _compute_max_calls(self) -> int:
        """Returns how many provisioning calls this step may make."""
        if self.cloud.is_failing:
            return 1
        return max(1, int(self.settings.cloud_rps * self.policy.plan_step))

    # Scale-in

    def _scale_in_idle(self, demands: list[Demand], now: float) -> None:
        """Terminates machines that were idle for the cool-down time and that no step needs."""
        idle = self._idle_machines.find_idle(now)
        if not idle:
            return
        for machine in choose_spare_machines(idle, self.make_spare_check(demands, now)):
            if machine.placements:
                self._drain_best_effort(machine)
            else:
                idle_s = now - machine.idle_since
                self._scale_in.terminate(
                    machine, f"idle for {idle_s:.0f}s, not needed in any forecast step"
                )
        self._scale_in.send_terminations()

    def _drain_best_effort(self, machine: Machine) -> None:
        """Cordons the machine so that it can be terminated once it is empty.

        Tasks that can save a checkpoint are stopped; others run until they finish.
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
    """Returns the machine types with spot prices set to zero, as these change continually."""
    return [
        msgspec.structs.replace(machine_type, hourly_spot_price=0.0)
        for machine_type in machine_types
    ]
