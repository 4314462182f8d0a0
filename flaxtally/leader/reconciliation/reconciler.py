"""What is proven about the machines: by reports, silence and releases."""

from __future__ import annotations

import logging

from ...ledger import cluster_state as records
from ...ledger.cluster_state import Placement
from ...planning.fleet import Machine
from ...protocol import wire
from ..autoscaling.scale_in import ScaleIn
from ..commands import CommandSender
from ..gang_scheduling.gang_scheduler import GangScheduler
from ..jobs import JobRegistry
from ..term import Term, TermActor
from .failure_attribution import FailureAttribution
from .health_checks import HealthChecks
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
        self.jobs, self.orders, self.stragglers, self.failures = jobs, orders, stragglers, failures
        self.gangs = gangs
        gangs.over = lambda placed, why: self.over(placed, False, why)
        self._exits: dict[str, dict[tuple[str, int], Placement]] = {}
        """Placements whose exit was reported, by machine and by task and attempt."""
        self.probes = HealthChecks(term, orders)
        self.releases = ScaleIn(term, orders, self._gone)
        orders.deliver = self.on_report

    def on_report(self, server: str, report: wire.Heartbeat) -> None:
        """A worker's report, taken by the part `server`, or the body of an orders' answer."""
        if not self.term.active or report.machine in self.fleet.gone:
            return
        now = self.runtime.now()
        machine = self.fleet.machines.get(report.machine)
        if machine is None:
            log.info("event=adopt term=%d machine=%s", self.term.number, report.machine)
            machine = self.fleet.adopt(report.machine, report.type, report.zone, report.spot)
        if not machine.kind:
            machine.kind, machine.spot = report.type, report.spot
        if not machine.newer(report.session, report.sequence):
            return
        if report.token != self.term.number:
            # A copy that comes after newer ones says nothing, not even that the machine is alive.
            if report.order <= machine.newest_foreign_report:
                return
            machine.newest_foreign_report = report.order
        if machine.booting:
            machine.booting = False
            machine.idle_since = now
            log.info(
                "event=machine_up term=%d machine=%s type=%s zone=%s spot=%s after=%.1f",
                self.term.number,
                machine.name,
                machine.kind,
                machine.zone,
                machine.spot,
                now - machine.rented_at,
            )
            self.term.request_pass()
        machine.address, machine.server = report.address, server
        if not (machine.baseline and report.token < self.term.number):
            if now - machine.heard_at >= self.policy.machine_suspect:
                machine.note_change()
            machine.heard_at = max(machine.heard_at, now)
        machine.failed_probes = 0
        if report.token != self.term.number:
            # Not made under our token: no proof of anything. Answering gives it the token.
            machine.session = max(machine.session, report.session)
            return
        if report.session > machine.session:
            machine.forget_images()
        machine.session, machine.sequence = report.session, report.sequence
        if not machine.baseline:
            machine.baseline = True
            machine.note_change()
            self.term.request_pass()
        if report.notice is not None and machine.notice_until is None:
            self._noticed(machine, report.notice)
        if report.tasks != machine.settled_tasks:
            self._compare_all(machine, report.tasks)

    def on_signs_of_life(self, server: str, names: list[str]) -> None:
        """These machines reported to the part `server`: they are not silent. It proves no more."""
        if not self.term.active:
            return
        now = self.runtime.now()
        for name in names:
            machine = self.fleet.machines.get(name)
            if machine is None or machine.booting or machine.releasing:
                continue
            if now - machine.heard_at >= self.policy.machine_suspect:
                machine.note_change()
            machine.heard_at = max(machine.heard_at, now)
            machine.failed_probes = 0
            if machine.server is None:
                machine.server = server

    def _compare_all(self, machine: Machine, tasks: list[wire.TaskStatus]) -> None:
        """What a believed report says of all placements there, and of what isn't placed there."""
        listed = {(task.task, task.attempt): task for task in tasks}
        placements = list(machine.placements.values())
        # Before the comparison: what it orders or ends unsettles the machine again.
        machine.settled_tasks = tasks if self._settles(placements, listed) else None
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
                if placed.launch_incarnation < machine.session:
                    self.over(placed, False, "session")
                elif not placed.was_reported:
                    self._not_seen(placed, now)
            elif placed.is_inherited:
                self.over(placed, False, "absent")
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
                self.orders.note_stopping(placed)
            if task.state in (wire.RUNNING, wire.WAITING):
                self._note_image(machine, placed)
            if task.state == wire.RUNNING and placed.started_at is None:
                placed.started_at = now
                if placed.job.spec.kind == wire.GANG:
                    self.gangs.running(placed)
                log.debug(
                    "event=running term=%d task=%s lane=%s attempt=%d machine=%s type=%s spot=%s "
                    "queued=%.2f starting=%.2f cached=%s",
                    self.term.number,
                    placed.name,
                    placed.job.spec.lane,
                    placed.attempt,
                    machine.name,
                    machine.kind,
                    machine.spot,
                    placed.proposed_at - placed.job.known_at,
                    now - placed.proposed_at,
                    placed.job.spec.image in machine.images,
                )
        if (
            placed.job.is_cancellation_committed
            and now - placed.command_sent_at > self.policy.retry
        ):
            self.orders.stop(placed, 0.0)

    def _not_seen(self, placed: Placement, now: float) -> None:
        """A believed report lacks a task that was launched in this term and never seen."""
        job = placed.job
        withdrawn = job.is_terminal or (
            job.spec.kind == wire.GANG and placed.stopping_at is not None
        )
        if withdrawn and placed.launches_in_flight == 0:
            # No copy of its launch is under way.
            self.over(placed, False, "never launched")
        elif not job.is_terminal and now - placed.command_sent_at > self.policy.order_call:
            self.orders.launch(placed)

    def _note_image(self, machine: Machine, placed: Placement) -> None:
        """The task has its image: the machine keeps it."""
        kind, spec = self.term.kinds.get(machine.kind), placed.job.spec
        machine.note_image(spec.image, spec.image_gb, kind.cache if kind else 0.0)

    def _exited(self, machine: Machine, placed: Placement, task: wire.TaskStatus) -> None:
        cause = task.cause
        if cause not in wire.CAUSES:
            log.warning("event=unknown_cause task=%s cause=%r", placed.name, cause)
        if cause == wire.CAUSE_DONE:
            machine.errors.clear()
            self.failures.forget(placed.job)
            self.stragglers.ended(machine, placed)
        elif cause == wire.CAUSE_ERROR:
            self.failures.failed(placed.job, machine)
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
        self.over(placed, cause == wire.CAUSE_DONE, cause or "exited")

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
            self.orders.order(machine, wire.stop(task.task, task.attempt, 0.0), None)
            return
        # Forget it only when no copy of its launch can still arrive: one would start it again.
        exits = self._exits.get(machine.name, {})
        ended = exits.get((task.task, task.attempt))
        if ended is None:
            self.orders.order(machine, wire.forget(task.task, task.attempt), None)
        elif ended.launches_in_flight == 0 and not ended.is_committed:
            del exits[task.task, task.attempt]
            self.orders.order(machine, wire.forget(task.task, task.attempt), None)

    def over(self, placed: Placement, done: bool, why: str) -> None:
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
            self.jobs.settle(job)

        self.ledger.propose(
            [records.ENDED, job.number, placed.task, placed.attempt, done], committed
        )
        self.orders.ended(placed)
        job.uncommitted_ends += 1
        if machine is not None:
            machine.free(placed, now)
        if job.is_terminal and not job.placements:
            self.jobs.live.pop(job.number, None)
            self.failures.forget(job)
        elif not done:
            self.jobs.queue.waits_again(job)
        if job.spec.kind == wire.GANG:
            self.gangs.ended(placed, done, why)
        self.term.request_pass()

    def _noticed(self, machine: Machine, notice: float) -> None:
        """The cloud takes the machine: save what can be saved, place nothing more."""
        now = self.runtime.now()
        machine.notice_until = now + notice
        machine.draining = True
        machine.note_change()
        log.info(
            "event=notice term=%d machine=%s in=%.1f tasks=%d",
            self.term.number,
            machine.name,
            notice,
            len(machine.placements),
        )
        for placed in list(machine.placements.values()):
            spec = placed.job.spec
            if spec.kind == wire.GANG:
                self.gangs.noticed(placed.job, notice)
            elif spec.checkpoint and placed.state == wire.RUNNING and spec.save < notice:
                self.orders.stop(placed, spec.save)
            elif spec.kind != wire.SERVICE and not spec.checkpoint:
                # What can't end before the machine is taken is lost either way: better begun
                # elsewhere now.
                left = (
                    spec.estimate - (now - placed.started_at)
                    if placed.started_at is not None
                    else spec.estimate
                )
                if left > 1.5 * notice:
                    self.orders.stop(placed, 0.0)
        self.term.request_pass()

    def usable(self) -> list[Machine]:
        return [machine for machine in self.fleet.machines.values() if self.is_usable(machine)]

    def is_usable(self, machine: Machine) -> bool:
        """Whether something may be placed there now."""
        return (
            machine.baseline
            and not machine.draining
            and not machine.releasing
            and machine.kind in self.term.kinds
            and self.runtime.now() - machine.heard_at < self.policy.machine_suspect
            and not machine.deaf
        )

    def watch(self) -> None:
        """Probes silent machines; releases what stays silent, never boots or defies a stop."""
        now, policy = self.runtime.now(), self.policy
        self.failures.watch()
        silent_zones = self.probes.silent_zones(now)
        for job in list(self.jobs.live.values()):
            if job.is_cancellation_committed and now - job.cancelled_at > policy.cancel_patience:
                for placed in list(job.placements.values()):
                    machine = self.fleet.machines.get(placed.machine)
                    if (
                        machine is not None
                        and not machine.releasing
                        and machine.zone not in silent_zones
                    ):
                        self.releases.release(machine, "cancelled task not confirmed gone")
        for machine in list(self.fleet.machines.values()):
            if machine.releasing:
                continue
            age = now - machine.heard_at
            if machine.booting:
                kind = self.term.kinds.get(machine.kind)
                if kind is not None and now - machine.rented_at > policy.boot_patience * max(
                    kind.boot, policy.settle
                ):
                    self.releases.release(machine, "never came up")
            elif age > policy.machine_suspect:
                self.probes.probe(machine)
                if machine.notice_until is not None and now > machine.notice_until:
                    self.releases.release(machine, "silent, and its notice is over")
                    continue
                patience = (
                    policy.zone_silence if machine.zone in silent_zones else policy.machine_silence
                )
                if age > patience and (machine.failed_probes >= 2 or not machine.address):
                    self.releases.release(machine, f"silent for {age:.1f}s")
            elif machine.draining and not machine.placements and machine.baseline:
                self.releases.release(machine, "drained")
            elif machine.faulty_until is not None and now > machine.faulty_until:
                # Services go on there all the same: it gets another chance.
                self.failures.clear(machine)
            elif machine.deaf:
                # Nothing else is sent there: without this it would be passed over for ever.
                self.orders.send_empty_order(machine)

    def hear_anew(self) -> None:
        """After a spell in which this node heard little: silence counts from now."""
        now = self.runtime.now()
        for machine in self.fleet.machines.values():
            machine.heard_at = max(machine.heard_at, now - self.policy.machine_suspect)

    def on_pause(self, lost: float) -> None:
        """The process stood still: neither machines nor boots nor cancellations are late for it."""
        now = self.runtime.now()
        for machine in self.fleet.machines.values():
            machine.heard_at = min(now, machine.heard_at + lost)
            machine.failed_probes = 0
            if machine.booting:
                machine.rented_at = min(now, machine.rented_at + lost)
        for job in self.jobs.live.values():
            if job.is_cancelled:
                job.cancelled_at = min(now, job.cancelled_at + lost)

    def _gone(self, machine: Machine) -> None:
        """The machine was released: all that was on it is over."""
        for placed in list(machine.placements.values()):
            # Also one whose own commit is under way: when it ends, nothing is launched there.
            self.over(placed, False, "machine released")
        self._exits.pop(machine.name, None)
        self.term.request_pass()
