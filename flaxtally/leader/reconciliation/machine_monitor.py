"""Periodic checks of machines.

They find machines without heartbeats, with an overdue boot, drained, or still running a cancelled
task.
"""

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
"""The failed probes before a machine without heartbeats whose address is known is terminated."""


class MachineMonitor(TermActor):
    """Probes machines without heartbeats, and terminates those that are lost or drained."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        commands: CommandSender,
        failure_attribution: FailureAttribution,
        health_checks: HealthChecks,
        scale_in: ScaleIn,
    ) -> None:
        """Creates a monitor; `scale_in` terminates machines, `health_checks` probes them."""
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._failure_attribution = failure_attribution
        self._health_checks = health_checks
        self._scale_in = scale_in

    def check_machines(self) -> None:
        """Checks all machines once."""
        now = self.runtime.now()
        self._failure_attribution.clear_suspect_jobs()
        zones_without_heartbeats = self._health_checks.find_zones_without_heartbeats(now)
        for job in list(self._jobs.live_jobs.values()):
            if (
                job.is_cancellation_committed
                and now - job.cancelled_at > self.policy.cancel_patience
            ):
                self._terminate_machines_of(job, zones_without_heartbeats)
        for machine in list(self.fleet.machines.values()):
            if not machine.is_terminating:
                self._check_machine(machine, now, zones_without_heartbeats)

    def reset_missing_heartbeats(self) -> None:
        """Counts missing heartbeats from now on, after a time in which few could arrive here."""
        recent = self.runtime.now() - self.policy.machine_suspect
        for machine in self.fleet.machines.values():
            machine.last_heartbeat_at = max(machine.last_heartbeat_at, recent)

    def on_pause(self, pause_s: float) -> None:
        """Extends the deadlines of heartbeats, boots and cancellations by the process's pause."""
        now = self.runtime.now()
        for machine in self.fleet.machines.values():
            machine.last_heartbeat_at = min(now, machine.last_heartbeat_at + pause_s)
            machine.failed_probes = 0
            if machine.is_booting:
                machine.provisioned_at = min(now, machine.provisioned_at + pause_s)
        for job in self._jobs.live_jobs.values():
            if job.is_cancelled:
                job.cancelled_at = min(now, job.cancelled_at + pause_s)

    def _terminate_machines_of(self, job: Job, zones_without_heartbeats: set[str]) -> None:
        """Terminates the machines that still run tasks of a cancelled job.

        The termination of a machine proves that the tasks on it are finished, where stop commands
        had no effect.
        """
        for placement in list(job.placements.values()):
            machine = self.fleet.machines.get(placement.machine)
            if (
                machine is not None
                and not machine.is_terminating
                and machine.zone not in zones_without_heartbeats
            ):
                self._scale_in.terminate(machine, "cancelled task not proven finished")

    def _check_machine(
        self, machine: Machine, now: float, zones_without_heartbeats: set[str]
    ) -> None:
        if machine.is_booting:
            if self._is_boot_overdue(machine, now):
                self._scale_in.terminate(machine, "did not boot in time")
        elif now - machine.last_heartbeat_at > self.policy.machine_suspect:
            self._check_overdue_machine(machine, now, zones_without_heartbeats)
        elif machine.is_cordoned and not machine.placements and machine.is_reconciled:
            self._scale_in.terminate(machine, "drained")
        elif machine.quarantined_until is not None and now > machine.quarantined_until:
            # Services kept running on the machine, so it was not drained: it takes tasks again.
            self._failure_attribution.lift_quarantine(machine)
        elif machine.is_unresponsive:
            # No other commands are sent to the machine: without this one it would stay unresponsive
            # indefinitely.
            self._commands.send_empty_command(machine)

    def _is_boot_overdue(self, machine: Machine, now: float) -> bool:
        machine_type = self.term.machine_types.get(machine.machine_type)
        if machine_type is None:
            return False
        boot_s = max(machine_type.boot_s, self.policy.settle)
        return now - machine.provisioned_at > self.policy.boot_patience * boot_s

    def _check_overdue_machine(
        self, machine: Machine, now: float, zones_without_heartbeats: set[str]
    ) -> None:
        heartbeat_age_s = now - machine.last_heartbeat_at
        self._health_checks.probe_machine(machine)
        if machine.preempted_by_cloud_at is not None and now > machine.preempted_by_cloud_at:
            self._scale_in.terminate(machine, "no heartbeat, and its preemption notice has expired")
            return
        policy = self.policy
        timeout_s = (
            policy.zone_silence
            if machine.zone in zones_without_heartbeats
            else policy.machine_silence
        )
        is_unreachable = machine.failed_probes >= MIN_FAILED_PROBES or not machine.address
        if heartbeat_age_s > timeout_s and is_unreachable:
            self._scale_in.terminate(machine, f"no heartbeat for {heartbeat_age_s:.1f}s")
