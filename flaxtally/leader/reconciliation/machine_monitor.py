"""Periodic checks of machines: silent, never booted, drained, or not ending a cancelled task."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...planning.fleet import Machine
    from ..autoscaling.scale_in import ScaleIn
    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from .failure_attribution import FailureAttribution
    from .health_checks import HealthChecks

MIN_FAILED_PROBES = 2
"""Before a silent machine that has an address is terminated."""


class MachineMonitor(TermActor):
    """Probes silent machines, and terminates those of which nothing more is to be expected."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        commands: CommandSender,
        failure_attribution: FailureAttribution,
        health_checks: HealthChecks,
        scale_in: ScaleIn,
    ) -> None:
        """`scale_in` terminates machines, `health_checks` probes them."""
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._failure_attribution = failure_attribution
        self._health_checks = health_checks
        self._scale_in = scale_in

    def check_machines(self) -> None:
        """One round of checks over all machines."""
        now = self.runtime.now()
        self._failure_attribution.acquit_suspects()
        silent_zones = self._health_checks.find_silent_zones(now)
        for job in list(self._jobs.live_jobs.values()):
            if (
                job.is_cancellation_committed
                and now - job.cancelled_at > self.policy.cancel_patience
            ):
                self._terminate_machines_of(job, silent_zones)
        for machine in list(self.fleet.machines.values()):
            if not machine.is_terminating:
                self._check_machine(machine, now, silent_zones)

    def reset_silence(self) -> None:
        """After a time in which this controller received little: silence counts from now."""
        recent = self.runtime.now() - self.policy.machine_suspect
        for machine in self.fleet.machines.values():
            machine.last_heartbeat_at = max(machine.last_heartbeat_at, recent)

    def on_pause(self, lost_s: float) -> None:
        """The process stood still: it makes neither machines nor boots nor cancellations late."""
        now = self.runtime.now()
        for machine in self.fleet.machines.values():
            machine.last_heartbeat_at = min(now, machine.last_heartbeat_at + lost_s)
            machine.failed_probes = 0
            if machine.is_booting:
                machine.provisioned_at = min(now, machine.provisioned_at + lost_s)
        for job in self._jobs.live_jobs.values():
            if job.is_cancelled:
                job.cancelled_at = min(now, job.cancelled_at + lost_s)

    def _terminate_machines_of(self, job: Job, silent_zones: set[str]) -> None:
        """The end of a machine proves the end of the tasks that no stop command ended."""
        for placement in list(job.placements.values()):
            machine = self.fleet.machines.get(placement.machine)
            if (
                machine is not None
                and not machine.is_terminating
                and machine.zone not in silent_zones
            ):
                self._scale_in.terminate(machine, "cancelled task not confirmed gone")

    def _check_machine(self, machine: Machine, now: float, silent_zones: set[str]) -> None:
        if machine.is_booting:
            if self._is_boot_overdue(machine, now):
                self._scale_in.terminate(machine, "never came up")
        elif now - machine.last_heartbeat_at > self.policy.machine_suspect:
            self._check_silent_machine(machine, now, silent_zones)
        elif machine.is_cordoned and not machine.placements and machine.is_reconciled:
            self._scale_in.terminate(machine, "drained")
        elif machine.quarantined_until is not None and now > machine.quarantined_until:
            # Services ran on there all the while: it gets another chance.
            self._failure_attribution.lift_quarantine(machine)
        elif machine.is_unresponsive:
            # No other command goes there: without this one it would be passed over for ever.
            self._commands.send_empty_command(machine)

    def _is_boot_overdue(self, machine: Machine, now: float) -> bool:
        machine_type = self.term.machine_types.get(machine.machine_type)
        if machine_type is None:
            return False
        boot_s = max(machine_type.boot_s, self.policy.settle)
        return now - machine.provisioned_at > self.policy.boot_patience * boot_s

    def _check_silent_machine(self, machine: Machine, now: float, silent_zones: set[str]) -> None:
        silent_s = now - machine.last_heartbeat_at
        self._health_checks.probe_machine(machine)
        if machine.preempted_by_cloud_at is not None and now > machine.preempted_by_cloud_at:
            self._scale_in.terminate(machine, "silent, and its notice is over")
            return
        policy = self.policy
        patience_s = policy.zone_silence if machine.zone in silent_zones else policy.machine_silence
        is_unreachable = machine.failed_probes >= MIN_FAILED_PROBES or not machine.address
        if silent_s > patience_s and is_unreachable:
            self._scale_in.terminate(machine, f"silent for {silent_s:.1f}s")
