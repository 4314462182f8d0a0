"""What is proven about the machines: by reports, silence and releases."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...ledger.records import AttemptEnded
from ...protocol import wire
from ..autoscaling.scale_in import ScaleIn
from ..term import Term, TermActor
from .health_checks import HealthChecks

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..jobs import JobRegistry
    from .failure_attribution import FailureAttribution
    from .stragglers import Stragglers

log = logging.getLogger(__name__)


class Reconciler(TermActor):
    """Owns the proofs: it alone says that a placement is over."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        orders: CommandSender,
        stragglers: Stragglers,
        failures: FailureAttribution,
        gangs: GangScheduler,
    ) -> None:
        super().__init__(term)
        self.jobs, self.commands, self.stragglers, self.failure_attribution = (
            jobs,
            orders,
            stragglers,
            failures,
        )
        self.gang_scheduler = gangs
        gangs.finish_attempt = lambda placed, why: self.finish_attempt(placed, False, why)
        self._exits: dict[str, dict[tuple[str, int], Placement]] = {}
        """Placements whose exit was reported, by machine and by task and attempt."""
        self.health_checks = HealthChecks(term, orders)
        self.scale_in = ScaleIn(term, orders, self._gone)
        orders.on_heartbeat = self.handle_heartbeat

    def handle_heartbeat(self, server: str, report: wire.Heartbeat) -> None:
        """A worker's report, taken by the part `server`, or the body of an orders' answer."""
        if not self.term.active or report.machine in self.fleet.removed_machines:
            return
        now = self.runtime.now()
        machine = self.fleet.machines.get(report.machine)
        if machine is None:
            log.info("event=adopt term=%d machine=%s", self.term.number, report.machine)
            machine = self.fleet.add_machine(
                report.machine, report.machine_type, report.zone, report.spot
            )
        if not machine.machine_type:
            machine.machine_type, machine.spot = report.machine_type, report.spot
        if not machine.is_newer(report.incarnation, report.sequence_number):
            return
        if report.fencing_token != self.term.number:
            # A copy that comes after newer ones says nothing, not even that the machine is alive.
            if report.recency <= machine.newest_foreign_heartbeat:
                return
            machine.newest_foreign_heartbeat = report.recency
        if machine.is_booting:
            machine.is_booting = False
            machine.idle_since = now
            log.info(
                "event=machine_up term=%d machine=%s type=%s zone=%s spot=%s after=%.1f",
                self.term.number,
                machine.name,
                machine.machine_type,
                machine.zone,
                machine.spot,
                now - machine.provisioned_at,
            )
            self.term.request_pass()
        machine.address, machine.shard_owner = report.address, server
        if not (machine.is_reconciled and report.fencing_token < self.term.number):
            if now - machine.last_heartbeat_at >= self.policy.machine_suspect:
                machine.mark_changed()
            machine.last_heartbeat_at = max(machine.last_heartbeat_at, now)
        machine.failed_probes = 0
        if report.fencing_token != self.term.number:
            # Not made under our token: no proof of anything. Answering gives it the token.
            machine.incarnation = max(machine.incarnation, report.incarnation)
            return
        if report.incarnation > machine.incarnation:
            machine.forget_images()
        machine.incarnation, machine.sequence_number = report.incarnation, report.sequence_number
        if not machine.is_reconciled:
            machine.is_reconciled = True
            machine.mark_changed()
            self.term.request_pass()
        if report.preemption_notice_s is not None and machine.preempted_by_cloud_at is None:
            self._noticed(machine, report.preemption_notice_s)
        if report.tasks != machine.converged_tasks:
            self._compare_all(machine, report.tasks)

    def handle_liveness(self, server: str, names: list[str]) -> None:
        """These machines reported to the part `server`: they are not silent. It proves no more."""
        if not self.term.active:
            return
        now = self.runtime.now()
        for name in names:
            machine = self.fleet.machines.get(name)
            if machine is None or machine.is_booting or machine.is_terminating:
                continue
            if now - machine.last_heartbeat_at >= self.policy.machine_suspect:
                machine.mark_changed()
            machine.last_heartbeat_at = max(machine.last_heartbeat_at, now)
            machine.failed_probes = 0
            if machine.shard_owner is None:
                machine.shard_owner = server

    def _compare_all(self, machine: Machine, tasks: list[wire.TaskStatus]) -> None:
        """What a believed report says of all placements there, and of what isn't placed there."""
        listed = {(task.task, task.attempt): task for task in tasks}
        placements = list(machine.placements.values())
        # Before the comparison: what it orders or ends unsettles the machine again.
        machine.converged_tasks = tasks if self._settles(placements, listed) else None
        for placed in placements:
            self._compare(machine, placed, listed.pop((placed.name, placed.attempt), None))
        for left in listed.values():
            self._unplaced(machine, left)

    @staticmethod
    def _settles(
        placements: list[Placement], listed: dict[tuple[str, int], wire.TaskStatus]
    ) -> bool:
        """Whether a second report like this one would say nothing new.

        All placements are reported, nothing else is, none has exited or is to be stopped.
        """
        return len(listed) == len(placements) and all(
            not placed.job.is_cancelled
            and (task := listed.get((placed.name, placed.attempt))) is not None
            and task.state != wire.EXITED
            for placed in placements
        )

    def _compare(self, machine: Machine, placed: Placement, task: wire.TaskStatus | None) -> None:
        """What a believed report says of one placement."""
        now = self.runtime.now()
        if task is None:
            if placed.launch_incarnation:
                if placed.launch_incarnation < machine.incarnation:
                    self.finish_attempt(placed, False, "session")
                elif not placed.was_reported:
                    self._not_seen(placed, now)
            elif placed.is_inherited:
                self.finish_attempt(placed, False, "absent")
            return
        placed.was_reported = True
        if task.state == wire.EXITED:
            self._exited(machine, placed, task)
            return
        if task.state != placed.state:
            if task.state not in wire.TASK_STATES:
                log.warning("event=unknown_state task=%s state=%r", placed.name, task.state)
            placed.state = task.state
            if task.state == wire.FLUSHING:
                self.commands.mark_stopping(placed)
            if task.state in (wire.RUNNING, wire.WAITING):
                self._note_image(machine, placed)
            if task.state == wire.RUNNING and placed.started_at is None:
                placed.started_at = now
                if placed.job.spec.job_kind == wire.GANG:
                    self.gang_scheduler.on_task_running(placed)
                log.debug(
                    "event=running term=%d task=%s lane=%s attempt=%d machine=%s type=%s spot=%s "
                    "queued=%.2f starting=%.2f cached=%s",
                    self.term.number,
                    placed.name,
                    placed.job.spec.job_class,
                    placed.attempt,
                    machine.name,
                    machine.machine_type,
                    machine.spot,
                    placed.proposed_at - placed.job.known_at,
                    now - placed.proposed_at,
                    placed.job.spec.image in machine.images,
                )
        if (
            placed.job.is_cancellation_committed
            and now - placed.command_sent_at > self.policy.retry
        ):
            self.commands.stop_task(placed, 0.0)

    def _not_seen(self, placed: Placement, now: float) -> None:
        """A believed report lacks a task that was launched in this term and never seen."""
        job = placed.job
        withdrawn = job.is_terminal or (
            job.spec.job_kind == wire.GANG and placed.stopping_at is not None
        )
        if withdrawn and placed.launches_in_flight == 0:
            # No copy of its launch is under way.
            self.finish_attempt(placed, False, "never launched")
        elif not job.is_terminal and now - placed.command_sent_at > self.policy.order_call:
            self.commands.launch_task(placed)

    def _note_image(self, machine: Machine, placed: Placement) -> None:
        """The task has its image: the machine keeps it."""
        kind, spec = self.term.machine_types.get(machine.machine_type), placed.job.spec
        machine.record_image(spec.image, spec.image_gb, kind.cache_gb if kind else 0.0)

    def _exited(self, machine: Machine, placed: Placement, task: wire.TaskStatus) -> None:
        cause = task.cause
        if cause not in wire.CAUSES:
            log.warning("event=unknown_cause task=%s cause=%r", placed.name, cause)
        if cause == wire.CAUSE_DONE:
            machine.failed_jobs.clear()
            self.failure_attribution.forget(placed.job)
            self.stragglers.on_task_done(machine, placed)
        elif cause == wire.CAUSE_ERROR:
            self.failure_attribution.failed(placed.job, machine)
        elif cause in (wire.CAUSE_FULL, wire.CAUSE_IN_USE, wire.CAUSE_UNKNOWN):
            self.jobs.backoff[placed.job.number] = self.runtime.now() + self.policy.retry * 2
            log.info(
                "event=refused term=%d task=%s machine=%s cause=%s",
                self.term.number,
                placed.name,
                machine.name,
                cause,
            )
        self._exits.setdefault(machine.name, {})[placed.name, placed.attempt] = placed
        self.finish_attempt(placed, cause == wire.CAUSE_DONE, cause or "exited")

    def _unplaced(self, machine: Machine, task: wire.TaskStatus) -> None:
        """A task on the machine that the ledger does not place there."""
        if task.state != wire.EXITED:
            log.warning(
                "event=stray term=%d task=%s attempt=%d machine=%s",
                self.term.number,
                task.task,
                task.attempt,
                machine.name,
            )
            self.commands.enqueue(machine, wire.stop(task.task, task.attempt, 0.0), None)
            return
        # Forget it only when no copy of its launch can still arrive: one would start it again.
        exits = self._exits.get(machine.name, {})
        ended = exits.get((task.task, task.attempt))
        if ended is None:
            self.commands.enqueue(machine, wire.forget(task.task, task.attempt), None)
        elif ended.launches_in_flight == 0 and not ended.is_committed:
            del exits[task.task, task.attempt]
            self.commands.enqueue(machine, wire.forget(task.task, task.attempt), None)

    def finish_attempt(self, placed: Placement, done: bool, why: str) -> None:
        """The placement is proven over: the record, and then whatever waits for it."""
        job, now = placed.job, self.runtime.now()
        machine = self.fleet.machines.get(placed.machine)
        log.debug(
            "event=over term=%d task=%s attempt=%d machine=%s why=%s",
            self.term.number,
            placed.name,
            placed.attempt,
            placed.machine,
            why,
        )

        def committed() -> None:
            placed.is_committed = False
            job.uncommitted_ends -= 1
            if job.is_done and not job.reported_stage:
                job.reported_stage = wire.DONE
                log.info("event=job_done term=%d job=%s", self.term.number, job.spec.ref)
            self.jobs.conclude_job(job)

        self.ledger.propose(AttemptEnded(job.number, placed.task, placed.attempt, done), committed)
        self.commands.forget_stopping(placed)
        job.uncommitted_ends += 1
        if machine is not None:
            machine.remove_placement(placed, now)
        if job.is_terminal and not job.placements:
            self.jobs.live_jobs.pop(job.number, None)
            self.failure_attribution.forget(job)
        elif not done:
            self.jobs.queue.requeue(job)
        if job.spec.job_kind == wire.GANG:
            self.gang_scheduler.on_task_ended(placed, done, why)
        self.term.request_pass()

    def _noticed(self, machine: Machine, notice: float) -> None:
        """The cloud takes the machine: save what can be saved, place nothing more."""
        now = self.runtime.now()
        machine.preempted_by_cloud_at = now + notice
        machine.is_cordoned = True
        machine.mark_changed()
        log.info(
            "event=notice term=%d machine=%s in=%.1f tasks=%d",
            self.term.number,
            machine.name,
            notice,
            len(machine.placements),
        )
        for placed in list(machine.placements.values()):
            spec = placed.job.spec
            if spec.job_kind == wire.GANG:
                self.gang_scheduler.on_preemption_notice(placed.job, notice)
            elif (
                spec.checkpoint_interval_s
                and placed.state == wire.RUNNING
                and spec.checkpoint_save_s < notice
            ):
                self.commands.stop_task(placed, spec.checkpoint_save_s)
            elif spec.job_kind != wire.SERVICE and not spec.checkpoint_interval_s:
                # What can't end before the machine is taken is lost either way: better begun
                # elsewhere now.
                left = (
                    spec.estimated_run_s - (now - placed.started_at)
                    if placed.started_at is not None
                    else spec.estimated_run_s
                )
                if left > 1.5 * notice:
                    self.commands.stop_task(placed, 0.0)
        self.term.request_pass()

    def schedulable_machines(self) -> list[Machine]:
        return [machine for machine in self.fleet.machines.values() if self.is_schedulable(machine)]

    def is_schedulable(self, machine: Machine) -> bool:
        """Whether something may be placed there now."""
        return (
            machine.is_reconciled
            and not machine.is_cordoned
            and not machine.is_terminating
            and machine.machine_type in self.term.machine_types
            and self.runtime.now() - machine.last_heartbeat_at < self.policy.machine_suspect
            and not machine.is_unresponsive
        )

    def watch(self) -> None:
        """Probes silent machines; releases what stays silent, never boots or defies a stop."""
        now, policy = self.runtime.now(), self.policy
        self.failure_attribution.watch()
        silent_zones = self.health_checks.silent_zones(now)
        for job in list(self.jobs.live_jobs.values()):
            if job.is_cancellation_committed and now - job.cancelled_at > policy.cancel_patience:
                for placed in list(job.placements.values()):
                    machine = self.fleet.machines.get(placed.machine)
                    if (
                        machine is not None
                        and not machine.is_terminating
                        and machine.zone not in silent_zones
                    ):
                        self.scale_in.terminate(machine, "cancelled task not confirmed gone")
        for machine in list(self.fleet.machines.values()):
            if machine.is_terminating:
                continue
            age = now - machine.last_heartbeat_at
            if machine.is_booting:
                kind = self.term.machine_types.get(machine.machine_type)
                if kind is not None and now - machine.provisioned_at > policy.boot_patience * max(
                    kind.boot_s, policy.settle
                ):
                    self.scale_in.terminate(machine, "never came up")
            elif age > policy.machine_suspect:
                self.health_checks.probe(machine)
                if (
                    machine.preempted_by_cloud_at is not None
                    and now > machine.preempted_by_cloud_at
                ):
                    self.scale_in.terminate(machine, "silent, and its notice is over")
                    continue
                patience = (
                    policy.zone_silence if machine.zone in silent_zones else policy.machine_silence
                )
                if age > patience and (machine.failed_probes >= 2 or not machine.address):
                    self.scale_in.terminate(machine, f"silent for {age:.1f}s")
            elif machine.is_cordoned and not machine.placements and machine.is_reconciled:
                self.scale_in.terminate(machine, "drained")
            elif machine.quarantined_until is not None and now > machine.quarantined_until:
                # Services go on there all the same: it gets another chance.
                self.failure_attribution.clear(machine)
            elif machine.is_unresponsive:
                # Nothing else is sent there: without this it would be passed over for ever.
                self.commands.send_empty_command(machine)

    def reset_silence(self) -> None:
        """After a spell in which this node heard little: silence counts from now."""
        now = self.runtime.now()
        for machine in self.fleet.machines.values():
            machine.last_heartbeat_at = max(
                machine.last_heartbeat_at, now - self.policy.machine_suspect
            )

    def on_pause(self, lost: float) -> None:
        """The process stood still: neither machines nor boots nor cancellations are late for it."""
        now = self.runtime.now()
        for machine in self.fleet.machines.values():
            machine.last_heartbeat_at = min(now, machine.last_heartbeat_at + lost)
            machine.failed_probes = 0
            if machine.is_booting:
                machine.provisioned_at = min(now, machine.provisioned_at + lost)
        for job in self.jobs.live_jobs.values():
            if job.is_cancelled:
                job.cancelled_at = min(now, job.cancelled_at + lost)

    def _gone(self, machine: Machine) -> None:
        """The machine was released: all that was on it is over."""
        for placed in list(machine.placements.values()):
            # Also one whose own commit is under way: when it ends, nothing is launched there.
            self.finish_attempt(placed, False, "machine released")
        self._exits.pop(machine.name, None)
        self.term.request_pass()
