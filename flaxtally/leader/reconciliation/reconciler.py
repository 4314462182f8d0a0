"""Compares the tasks that machines report with the placements in the log."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...protocol import wire
from ..autoscaling.scale_in import ScaleIn
from ..term import Term, TermActor
from .attempt_finisher import AttemptFinisher, EndReason
from .orphans import OrphanedTasks

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..jobs import JobRegistry
    from ..launch_fence import LaunchFence
    from .failure_attribution import FailureAttribution
    from .stragglers import Stragglers

log = logging.getLogger(__name__)

LAUNCH_REFUSED_CAUSES = (wire.CAUSE_FULL, wire.CAUSE_IN_USE, wire.CAUSE_UNKNOWN)
"""The exit causes of tasks that their machine refused to launch."""


class Reconciler(TermActor):
    """Brings the placements of a machine and its tasks into agreement.

    A machine is converged if the same status would change nothing when received again: it reports
    all its placements and no other tasks but exited ones that it may not forget before the fencing
    token rises, and no task of a placement has exited or must be stopped.
    """

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        commands: CommandSender,
        stragglers: Stragglers,
        failure_attribution: FailureAttribution,
        gang_scheduler: GangScheduler,
        launch_fence: LaunchFence,
    ) -> None:
        """Creates a reconciler that notifies the other duties when tasks run, finish or fail.

        `launch_fence`: knows when a machine may forget an exited task.
        """
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._stragglers = stragglers
        self._failure_attribution = failure_attribution
        self._gang_scheduler = gang_scheduler
        self._orphans = OrphanedTasks(term, commands, gang_scheduler.orphans, launch_fence)
        self.attempt_finisher = AttemptFinisher(
            term, jobs, commands, failure_attribution, gang_scheduler
        )
        self.scale_in = ScaleIn(term, commands, self._on_machine_removed)

    def reconcile(self, machine: Machine, tasks: list[wire.TaskStatus]) -> None:
        """Acts on the machine's status, which was made under the current fencing token."""
        reported = {(task.task, task.attempt): task for task in tasks}
        placements = list(machine.placements.values())
        # Set before the tasks are handled: a command or a finished attempt resets it.
        is_converged = self._is_converged(machine, placements, reported)
        machine.converged_tasks = tasks if is_converged else None
        for placement in placements:
            task = reported.pop((placement.name, placement.attempt), None)
            if task is None:
                self._handle_absent_task(machine, placement)
            elif task.state == wire.EXITED:
                self._handle_exit(machine, placement, task.cause)
            else:
                self._handle_live_task(machine, placement, task.state)
        self._gang_scheduler.on_orphans_reported(machine.name, reported.values())
        self._orphans.handle_orphans(machine, reported.values())

    def _is_converged(
        self,
        machine: Machine,
        placements: list[Placement],
        reported: dict[tuple[str, int], wire.TaskStatus],
    ) -> bool:
        others = dict(reported)
        for placement in placements:
            task = others.pop((placement.name, placement.attempt), None)
            if task is None or task.state == wire.EXITED or placement.job.is_cancelled:
                return False
        return self._orphans.all_await_token(machine, others.values())

    def on_token_raised(self) -> None:
        """Handles that commands carry a higher fencing token: exits may be forgotten."""
        self._orphans.on_token_raised()

    # A placement that the machine does not report

    def _handle_absent_task(self, machine: Machine, placement: Placement) -> None:
        if not placement.launch_incarnation:
            if placement.is_inherited:
                self.attempt_finisher.finish_attempt(placement, EndReason.ABSENT)
        elif placement.launch_incarnation < machine.incarnation:
            self.attempt_finisher.finish_attempt(placement, EndReason.NEW_INCARNATION)
        elif not placement.was_reported:
            self._handle_unconfirmed_launch(placement)

    def _handle_unconfirmed_launch(self, placement: Placement) -> None:
        """Repeats or gives up a launch of this term that no heartbeat has reported yet."""
        job = placement.job
        is_called_off = job.is_terminal or (
            job.spec.job_kind == wire.GANG and placement.stopping_at is not None
        )
        if is_called_off and placement.launches_in_flight == 0:
            # Each launch was refused, or the task would have been reported: so is each copy.
            self.attempt_finisher.finish_attempt(placement, EndReason.NEVER_LAUNCHED)
        elif not job.is_terminal and self._compute_since_command_s(placement) > (
            self.policy.order_call
        ):
            self._commands.launch_task(placement)

    # A placement whose task is on the machine

    def _handle_live_task(self, machine: Machine, placement: Placement, state: str) -> None:
        placement.was_reported = True
        if state != placement.state:
            self._change_state(machine, placement, state)
        if (
            placement.job.is_cancellation_committed
            and self._compute_since_command_s(placement) > self.policy.retry
        ):
            self._commands.stop_task(placement, 0.0)

    def _change_state(self, machine: Machine, placement: Placement, state: str) -> None:
        if state not in wire.TASK_STATES:
            log.warning("event=unknown_state task=%s state=%r", placement.name, state)
        placement.state = state
        if state == wire.FLUSHING:
            self._commands.stopping_tasks.mark(placement)
        if state in (wire.RUNNING, wire.WAITING):
            self._record_image(machine, placement)
        if state == wire.RUNNING and placement.started_at is None:
            self._on_task_running(machine, placement)

    def _record_image(self, machine: Machine, placement: Placement) -> None:
        """Records that the machine's cache holds the image, which the task has fetched."""
        machine_type = self.term.machine_types.get(machine.machine_type)
        cache_gb = machine_type.cache_gb if machine_type else 0.0
        spec = placement.job.spec
        machine.record_image(spec.image, spec.image_gb, cache_gb)

    def _on_task_running(self, machine: Machine, placement: Placement) -> None:
        now = self.runtime.now()
        job = placement.job
        placement.started_at = now
        if job.spec.job_kind == wire.GANG:
            self._gang_scheduler.on_task_running(placement)
        log.debug(
            "event=task_running term=%d task=%s job_class=%s attempt=%d machine=%s type=%s spot=%s "
            "queued=%.2f starting=%.2f cached=%s",
            self.term.number,
            placement.name,
            job.spec.job_class,
            placement.attempt,
            machine.name,
            machine.machine_type,
            machine.spot,
            placement.proposed_at - job.known_at,
            now - placement.proposed_at,
            job.spec.image in machine.images,
        )

    def _compute_since_command_s(self, placement: Placement) -> float:
        return self.runtime.now() - placement.command_sent_at

    # A placement whose task exited

    def _handle_exit(self, machine: Machine, placement: Placement, cause: str | None) -> None:
        placement.was_reported = True
        if cause not in wire.CAUSES:
            log.warning("event=unknown_cause task=%s cause=%r", placement.name, cause)
        if cause == wire.CAUSE_DONE:
            machine.failed_jobs.clear()
            self._failure_attribution.forget_failures(placement.job)
            self._stragglers.on_task_done(machine, placement)
        elif cause == wire.CAUSE_ERROR:
            self._failure_attribution.record_failure(placement.job, machine)
        elif cause in LAUNCH_REFUSED_CAUSES:
            self._back_off(machine, placement, cause)
        self._orphans.record_exit(machine, placement)
        self.attempt_finisher.finish_attempt(placement, EndReason.EXITED, cause or "")

    def _back_off(self, machine: Machine, placement: Placement, cause: str) -> None:
        """Delays the job's next attempt, because the machine refused the launch."""
        backoff_s = self.policy.retry * 2
        self._jobs.backoff_until[placement.job.number] = self.runtime.now() + backoff_s
        log.info(
            "event=launch_refused term=%d task=%s machine=%s cause=%s",
            self.term.number,
            placement.name,
            machine.name,
            cause,
        )

    # A machine that was removed

    def _on_machine_removed(self, machine: Machine) -> None:
        """Finishes the attempts on a machine whose termination the cloud confirmed."""
        for placement in list(machine.placements.values()):
            # This includes a placement whose commit is in flight: it is not launched after the
            # commit.
            self.attempt_finisher.finish_attempt(placement, EndReason.MACHINE_REMOVED)
        self._orphans.forget_machine(machine)
        self.term.request_pass()

    # Which machines take new tasks

    def find_schedulable_machines(self) -> list[Machine]:
        """Returns the machines on which tasks may be placed now."""
        return [machine for machine in self.fleet.machines.values() if self.is_schedulable(machine)]

    def is_schedulable(self, machine: Machine) -> bool:
        """Whether tasks may be placed on the machine now."""
        return (
            machine.is_reconciled
            and not machine.is_cordoned
            and not machine.is_terminating
            and machine.machine_type in self.term.machine_types
            and self.runtime.now() - machine.last_heartbeat_at < self.policy.machine_suspect
            and not machine.is_unresponsive
        )
