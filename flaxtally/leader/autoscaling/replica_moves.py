"""Moves the replicas of machines that are being emptied, one at a time for each machine."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from ...planning.consolidation import (
    TargetSearch,
    find_target,
    list_replicas,
    without_best_effort,
)
from ...planning.machine_index import MachineIndex
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..jobs import JobRegistry
    from ..reconciliation.reconciler import Reconciler
    from ..scheduling.scheduler import Scheduler

log = logging.getLogger(__name__)


class ReplicaMoves(TermActor):
    """Owns the machines being emptied and the moves of replicas in flight."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        reconciler: Reconciler,
        commands: CommandSender,
        scheduler: Scheduler,
    ) -> None:
        """`scheduler`: places a stopped replica on the machine chosen for it."""
        super().__init__(term)
        self._jobs = jobs
        self._reconciler = reconciler
        self._commands = commands
        self._scheduler = scheduler
        self._emptying_since: dict[str, float] = {}
        self._image_fetches_since: dict[Placement, float] = {}
        """Start times of moves in which the new machine has to fetch the image."""

    # Machines being emptied

    def can_empty_more(self) -> bool:
        """Returns whether one more machine may be emptied in a fleet of this size."""
        return len(self._emptying_since) < max(1, self._compute_max_disrupted_machines())

    def list_machines_being_emptied(self) -> list[Machine]:
        """Returns the machines being emptied that still exist."""
        return [
            machine
            for name in self._emptying_since
            if (machine := self.fleet.machines.get(name)) is not None
        ]

    def start_emptying(self, machine: Machine, now: float) -> None:
        """Adds the machine to those whose replicas `continue_moves` moves."""
        self._emptying_since[machine.name] = now

    def is_fleet_reachable(self, now: float) -> bool:
        """Returns whether only a few machines have missing heartbeats."""
        overdue_count = sum(
            now - machine.last_heartbeat_at >= self.policy.machine_suspect
            for machine in self.fleet.machines.values()
            if not machine.is_booting
        )
        return overdue_count <= self._compute_max_disrupted_machines()

    def make_target_search(self) -> TargetSearch:
        """Returns the parameters of a search for machines to which replicas can move."""
        return TargetSearch(
            self._jobs.gpu_reservations,
            self.policy.sample,
            self._jobs.find_excluded_zones,
            self._scheduler.make_availability_filter,
        )

    def _compute_max_disrupted_machines(self) -> int:
        """Returns how many machines may be emptied, or miss heartbeats, at the same time.

        A small fraction of the fleet.
        """
        return len(self.fleet.machines) // (2 * self.policy.sample)

    # Moves

    def continue_moves(self, now: float) -> None:
        """Moves the next replica of each machine that is being emptied.

        Waits until the previous replica is placed, and while the fleet is not reachable.
        """
        index: MachineIndex | None = None
        must_wait = not self.is_fleet_reachable(now) or self._is_pending(wire.SERVICE)
        is_gang_pending = self._is_pending(wire.GANG)
        for name, since in list(self._emptying_since.items()):
            machine = self.fleet.machines.get(name)
            if machine is None or machine.is_terminating or not machine.placements:
                del self._emptying_since[name]
                continue
            # A pending gang may need the capacity of the machine that is being emptied.
            is_overdue = is_gang_pending or now - since > self.policy.move_patience
            if is_overdue and machine.preempted_by_cloud_at is None:
                self._abandon_emptying(machine)
                continue
            is_move_in_progress = any(
                placed.stopping_at is not None for placed in machine.placements.values()
            )
            if not must_wait and not is_move_in_progress:
                if index is None:
                    index = self._index_schedulable(self._reconciler.find_schedulable_machines())
                self._move_next_replica(machine, index, now)

    def _is_pending(self, job_kind: str) -> bool:
        return any(job.spec.job_kind == job_kind for job in self._jobs.queue.list_pending_jobs())

    def _abandon_emptying(self, machine: Machine) -> None:
        log.info("event=emptying_abandoned term=%d machine=%s", self.term.number, machine.name)
        del self._emptying_since[machine.name]
        machine.is_cordoned = False
        machine.mark_changed()

    def _index_schedulable(self, schedulable: list[Machine]) -> MachineIndex:
        return MachineIndex.of(schedulable, self.term.machine_types, self.rng)

    def _move_next_replica(self, machine: Machine, index: MachineIndex, now: float) -> None:
        """Moves the machine's next replica to a machine that has capacity for it now.

        Limits how many moved replicas fetch an image at the same time: each of them is unavailable
        for seconds.
        """
        self._forget_completed_fetches(now)
        placed = next((placed for placed in list_replicas(machine) if placed.was_reported), None)
        if placed is None:
            return
        target = find_target(placed, machine, index, self.make_target_search())
        if target is None:
            self._preempt_best_effort_for(machine)
            return
        if placed.job.spec.image not in target.images:
            max_fetches = max(1, len(self.fleet.machines) // (8 * self.policy.sample))
            if len(self._image_fetches_since) >= max_fetches:
                return
            self._image_fetches_since[placed] = now
        self._scheduler.move_task(placed, target)

    def _forget_completed_fetches(self, now: float) -> None:
        """Removes replicas that run on their new machine or whose move is overdue."""
        self._image_fetches_since = {
            placed: since
            for placed, since in self._image_fetches_since.items()
            if now - since < self.policy.move_patience and not _runs_elsewhere(placed)
        }

    def _preempt_best_effort_for(self, machine: Machine) -> None:
        """Stops best-effort tasks on other machines if that frees capacity for the replicas."""
        if not any(
            job.placements and job.spec.is_best_effort for job in self._jobs.live_jobs.values()
        ):
            return
        schedulable = self._reconciler.find_schedulable_machines()
        with without_best_effort(schedulable) as stoppable:
            index = self._index_schedulable(schedulable)
            search = replace(self.make_target_search(), stoppable=stoppable)
            targets = [
                (placed, target)
                for placed in list_replicas(machine)
                if placed.was_reported
                and (target := find_target(placed, machine, index, search)) is not None
            ]
        for placed, target in targets:
            self._scheduler.preemption.preempt_to_move(placed, target)


def _runs_elsewhere(placed: Placement) -> bool:
    """Returns whether the task of an earlier placement runs under a later one."""
    current = placed.job.placements.get(placed.task)
    return current is not None and current is not placed and current.state == wire.RUNNING
