"""Moves replicas off thinly used machines, one at a time, so that these can be given back."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...planning import consolidate
from ...planning.machine_index import MachineIndex
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.cluster_state import Placement
    from ...planning.fleet import Machine
    from ...planning.packing import Demand
    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from ..reconciliation.reconciler import Reconciler
    from ..scheduling.scheduler import Scheduler
    from .autoscaler import Autoscaler

log = logging.getLogger(__name__)


class Consolidation(TermActor):
    """Owns the machines being emptied: one at a time in a small fleet, several in a large one."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        tracker: Reconciler,
        orders: CommandSender,
        planner: Autoscaler,
        scheduler: Scheduler,
    ) -> None:
        super().__init__(term)
        self.jobs, self.reconciler, self.commands, self.autoscaler = jobs, tracker, orders, planner
        self._moving: dict[str, float] = {}
        """Machines being emptied, and since when."""
        self._firm: dict[str, float] = {}
        """Machines that could not be emptied, until when they are passed over."""
        self._scheduler = scheduler
        self._cold: dict[Placement, float] = {}
        """Moved replicas that fetch their image, and since when."""

    def consolidate(self, demands: list[Demand]) -> None:
        """Begins to empty machines when all is calm; `continue_moves` moves their replicas."""
        if not self.term.may_act:
            return
        now = self.runtime.now()
        most = max(1, self._few())
        calm = (
            len(self._moving) < most
            and now - self.term.began_at > self.policy.settle
            and self._in_touch(now)
            and not any(
                wire.RANKS[job.spec.rank] < wire.RANKS["standard"] or job.spec.job_kind == wire.GANG
                for job in self.jobs.queue.pending_jobs()
            )
        )
        if not calm:
            return

        def settled(placed: Placement) -> bool:
            # Who has just begun is left in peace: its start counts for what users see.
            return (
                placed.state == wire.RUNNING
                and placed.started_at is not None
                and (now - placed.started_at > self.policy.move_after)
            )

        self._firm = {name: until for name, until in self._firm.items() if until > now}
        beside_arrays = all(job.spec.is_best_effort for job in self.jobs.queue.pending_jobs())
        kinds = self.term.machine_types
        known = [
            machine for machine in self.fleet.machines.values() if machine.machine_type in kinds
        ]
        mean = sum(consolidate.hourly_price(machine, kinds) for machine in known) / max(
            1, len(known)
        )
        spare: Callable[[set[str]], bool] | None = None
        going: set[str] = set()
        while len(self._moving) < most:
            moving = [
                machine
                for name in self._moving
                if (machine := self.fleet.machines.get(name)) is not None
            ]
            usable = self.reconciler.schedulable_machines()
            with consolidate.without_best_effort(usable):
                machine, failed = consolidate.pick(
                    usable,
                    kinds,
                    self.jobs.gpu_reservations,
                    self.policy.sample,
                    self.rng,
                    self.jobs.excluded_zones,
                    settled,
                    beside_arrays,
                    moving,
                    self._firm,
                    mean * (self.policy.move_worth if not moving else 1.0),
                )
            self._firm.update(dict.fromkeys(failed, now + self.policy.settle))
            if machine is None:
                return
            spare = spare or self.autoscaler.spare(demands, now)
            going.add(machine.name)
            if not spare(going):
                self._firm[machine.name] = now + self.policy.settle
                return
            log.info(
                "event=empty term=%d machine=%s type=%s zone=%s replicas=%d",
                self.term.number,
                machine.name,
                machine.machine_type,
                machine.zone,
                len(machine.placements),
            )
            self._moving[machine.name] = now
            machine.is_cordoned = True
            machine.mark_changed()
            self.commands.stop_best_effort(machine)

    def _few(self) -> int:
        """How many machines may be silent or emptied at a time in a fleet of this size."""
        return len(self.fleet.machines) // (2 * self.policy.sample)

    def _in_touch(self, now: float) -> bool:
        silent = sum(
            now - machine.last_heartbeat_at >= self.policy.machine_suspect
            for machine in self.fleet.machines.values()
            if not machine.is_booting
        )
        return silent <= self._few()

    def continue_moves(self, now: float) -> None:
        """Moves the next replica of each machine that is being emptied.

        Once the last one is placed, and while all machines are in touch.
        """
        index: MachineIndex | None = None
        waiting = not self._in_touch(now) or any(
            job.spec.job_kind == wire.SERVICE for job in self.jobs.queue.pending_jobs()
        )
        gang_waits = any(job.spec.job_kind == wire.GANG for job in self.jobs.queue.pending_jobs())
        for name, since in list(self._moving.items()):
            machine = self.fleet.machines.get(name)
            if machine is None or machine.is_terminating or not machine.placements:
                del self._moving[name]
                continue
            # A gang that waits may need the very room of a machine that is being emptied.
            late = gang_waits or now - since > self.policy.move_patience
            if late and machine.preempted_by_cloud_at is None:
                log.info("event=empty_given_up term=%d machine=%s", self.term.number, machine.name)
                del self._moving[name]
                machine.is_cordoned = False
                machine.mark_changed()
                continue
            stopping = any(placed.stopping_at is not None for placed in machine.placements.values())
            if not waiting and not stopping:
                if index is None:
                    usable = self.reconciler.schedulable_machines()
                    index = MachineIndex.of(usable, self.term.machine_types, self.rng)
                self._move_one(machine, index, now)

    def _move_one(self, machine: Machine, index: MachineIndex, now: float) -> None:
        """Moves the machine's next replica to where there is room for it now.

        Few fetch their image at a time: each of them is away for seconds.
        """
        self._cold = {
            old: since
            for old, since in self._cold.items()
            if now - since < self.policy.move_patience
            and not (
                (new := old.job.placements.get(old.task)) is not None
                and new is not old
                and new.state == wire.RUNNING
            )
        }
        placed = next(
            (placed for placed in consolidate.list_replicas(machine) if placed.was_reported), None
        )
        if placed is None:
            return
        target = consolidate.find_target(
            placed,
            machine,
            index,
            self.jobs.gpu_reservations,
            self.policy.sample,
            self.jobs.excluded_zones,
        )
        if target is None:
            self._displace(machine)
            return
        if placed.job.spec.image not in target.images:
            if len(self._cold) >= max(1, len(self.fleet.machines) // (8 * self.policy.sample)):
                return
            self._cold[placed] = now
        self._scheduler.hints[placed.job.number, placed.task] = target.name
        self.commands.stop_task(placed, 0.0)

    def _displace(self, machine: Machine) -> None:
        """Stops best-effort tasks elsewhere where that makes room for the machine's replicas."""
        if not any(
            job.placements and job.spec.is_best_effort for job in self.jobs.live_jobs.values()
        ):
            return
        usable = self.reconciler.schedulable_machines()
        with consolidate.without_best_effort(usable):
            index = MachineIndex.of(usable, self.term.machine_types, self.rng)
            found = [
                (placed, other)
                for placed in consolidate.list_replicas(machine)
                if placed.was_reported
                and (
                    other := consolidate.find_target(
                        placed,
                        machine,
                        index,
                        self.jobs.gpu_reservations,
                        self.policy.sample,
                        self.jobs.excluded_zones,
                    )
                )
                is not None
            ]
        for placed, other in found:
            self._scheduler.preemption.make_room_to_move(placed, other)
