"""Reservations of capacity for pending tasks while other tasks leave it."""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING, TypeVar

from ...lending.entitlement import NO_RESOURCES, Amounts, compute_amounts
from ...planning import placement
from ...planning.capacity_claims import CapacityClaim, find_unsatisfiable
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..reclaim.reclaimed_capacity import MachineStatus, ReclaimedCapacity
    from .pending_queue import PendingQueue
    from .precedence import Precedence

log = logging.getLogger(__name__)

Key = TypeVar("Key")

TaskKey = tuple[int, int]
"""The number of a job and the number of one of its tasks."""


class Purpose(enum.Enum):
    """What capacity is reserved for."""

    PREEMPTION = "preemption"
    """A pending task for which others were stopped."""
    MOVE = "move"
    """A replica that moves from a machine that is being emptied."""
    LARGE_GANG = "large gang"
    """A gang that waits until enough tasks finish by themselves."""


class Reservation:
    """Capacity on a machine that is reserved for a task of a job."""

    __slots__ = ("awaited", "expires_at", "job", "machine", "precedence", "purpose", "task")

    def __init__(
        self,
        job: Job,
        task: int,
        machine: str,
        precedence: Precedence,
        awaited: Sequence[Placement],
        expires_at: float,
        purpose: Purpose,
    ) -> None:
        """`machine`: its name; `awaited`: the tasks there that are about to leave it."""
        self.job = job
        self.task = task
        self.machine = machine
        self.precedence = precedence
        """The job's precedence when the capacity was reserved."""
        self.awaited = tuple(awaited)
        self.expires_at = expires_at
        self.purpose = purpose

    @property
    def key(self) -> TaskKey:
        """The task for which the capacity is reserved."""
        return self.job.number, self.task

    def list_remaining(self) -> list[Placement]:
        """Returns the awaited tasks that have not left the machine yet."""
        return [placed for placed in self.awaited if placed.is_current]

    def to_claim(self) -> CapacityClaim:
        """Returns what it claims of its machine now."""
        return CapacityClaim(self.job.spec, 1, self.list_remaining())

    def is_fulfilled(self) -> bool:
        """Whether its job needs it no longer, since it was placed or is terminal."""
        if self.job.is_terminal:
            return True
        if self.purpose is Purpose.MOVE:
            return False
        return self.task in self.job.placements or not self.job.pending_count


class Reservations(TermActor):
    """Owns the reservations of capacity, and decides whom they keep out.

    A job may use capacity that is reserved for one that it precedes, and what is left beside the
    others.
    """

    def __init__(
        self,
        term: Term,
        queue: PendingQueue,
        machine_status: MachineStatus,
        reclaimed_capacity: ReclaimedCapacity,
    ) -> None:
        """Starts without reservations.

        `queue` knows the precedence of jobs, `reclaimed_capacity` what reclaims keep from all.
        """
        super().__init__(term)
        self._reclaimed_capacity = reclaimed_capacity
        self._queue = queue
        self._machine_status = machine_status
        self._by_task: dict[TaskKey, Reservation] = {}
        self._by_machine: dict[str, list[Reservation]] = {}
        self._by_job: dict[int, list[Reservation]] = {}
        self._freed_machines: set[str] = set()
        """Names of machines on which reservations ended since `take_freed_machines`."""

    def __iter__(self) -> Iterator[Reservation]:
        """Iterates over a copy: reservations may be added and removed meanwhile."""
        return iter(list(self._by_task.values()))

    # Changes

    def add(
        self,
        job: Job,
        task: int,
        machine: str,
        awaited: Sequence[Placement],
        expires_at: float,
        purpose: Purpose,
    ) -> None:
        """Reserves capacity for the task, in place of an earlier reservation for it.

        `machine`: its name; `awaited`: the tasks there that are about to leave it.
        """
        earlier = self._by_task.get((job.number, task))
        if earlier is not None:
            self._remove(earlier)
        precedence = self._queue.get_precedence(job)
        reservation = Reservation(job, task, machine, precedence, awaited, expires_at, purpose)
        self._by_task[reservation.key] = reservation
        self._by_machine.setdefault(reservation.machine, []).append(reservation)
        self._by_job.setdefault(reservation.job.number, []).append(reservation)

    def _remove(self, reservation: Reservation) -> None:
        del self._by_task[reservation.key]
        _remove_entry(self._by_machine, reservation.machine, reservation)
        _remove_entry(self._by_job, reservation.job.number, reservation)
        self._freed_machines.add(reservation.machine)

    def remove_for_job(self, job: Job) -> None:
        """Removes all reservations for a job."""
        for reservation in list(self._by_job.get(job.number, ())):
            self._remove(reservation)

    def on_task_placed(self, placed: Placement) -> None:
        """Removes the placed task's reservation, and those that its placement made impossible.

        The placement keeps the precedence for which capacity was reserved for its job: only then
        does it count as within its team's quota after further jobs of the team were accepted.
        """
        precedence = self._find_best_precedence(placed.job)
        fulfilled = self._by_task.get((placed.job.number, placed.task))
        if fulfilled is not None:
            self._remove(fulfilled)
        placed.was_placed_within_quota = not precedence.is_over_quota
        self._end_overridden(placed)

    def on_gang_placed(self, job: Job) -> None:
        """Like `on_task_placed`, for all tasks of a gang at once."""
        precedence = self._find_best_precedence(job)
        self.remove_for_job(job)
        for placed in job.placements.values():
            placed.was_placed_within_quota = not precedence.is_over_quota
            self._end_overridden(placed)

    def _find_best_precedence(self, job: Job) -> Precedence:
        """Returns the precedence that the job has now or had when capacity was reserved for it."""
        reserved = self._by_job.get(job.number, ())
        return min(map(self._get_precedence, reserved), default=self._queue.get_precedence(job))

    def _end_overridden(self, placed: Placement) -> None:
        """Ends the reservations on the machine for which there is no capacity any more."""
        machine = self.fleet.machines.get(placed.machine)
        if machine is None or machine.name not in self._by_machine:
            return
        machine_type = self.term.machine_types[machine.machine_type]
        free = placement.compute_free_resources(machine, machine_type)
        reserved = sorted(self._by_machine[machine.name], key=self._get_precedence)
        reclaimed = self._reclaimed_capacity.list_claims_on(machine.name)
        claims = [*reclaimed, *(each.to_claim() for each in reserved)]
        for position in find_unsatisfiable(free, claims):
            if position < len(reclaimed):
                # The reclaim moves to another machine by itself.
                continue
            reservation = reserved[position - len(reclaimed)]
            if reservation.job is not placed.job:
                self._log_override(reservation, placed)
            self._end(reservation)

    def _log_override(self, reservation: Reservation, placed: Placement) -> None:
        log.info(
            "event=reservation_overridden term=%d task=%s machine=%s reserved_for=%s/%d",
            self.term.number,
            placed.name,
            placed.machine,
            reservation.job.spec.ref,
            reservation.task,
        )

    def _end(self, reservation: Reservation) -> None:
        """Removes a reservation; one task of a gang can't be placed without the others."""
        if reservation.job.spec.job_kind == wire.GANG:
            self.remove_for_job(reservation.job)
        elif reservation.key in self._by_task:
            self._remove(reservation)

    def expire(self) -> None:
        """Ends the reservations that are fulfilled, are too old, or whose machine can't be used.

        The time does not run while tasks that were stopped for the job are still on their machines.
        """
        now = self.runtime.now()
        awaiting = {
            reservation.job.number
            for reservation in self
            if reservation.purpose is not Purpose.LARGE_GANG and reservation.list_remaining()
        }
        for reservation in self:
            if reservation.job.number in awaiting:
                earliest = now + self.policy.order_call
                reservation.expires_at = max(reservation.expires_at, earliest)
            if reservation.key not in self._by_task:
                continue
            if reservation.is_fulfilled():
                self._remove(reservation)
            elif now >= reservation.expires_at or not self._can_use_machine(reservation):
                self._log_end(reservation, now)
                self._end(reservation)

    def _can_use_machine(self, reservation: Reservation) -> bool:
        if reservation.purpose is Purpose.LARGE_GANG:
            return True
        machine = self.fleet.machines.get(reservation.machine)
        return machine is not None and self._machine_status.is_schedulable(machine)

    def _log_end(self, reservation: Reservation, now: float) -> None:
        log.info(
            "event=reservation_ended term=%d reserved_for=%s/%d machine=%s how=%r",
            self.term.number,
            reservation.job.spec.ref,
            reservation.task,
            reservation.machine,
            "too old" if now >= reservation.expires_at else "machine not usable",
        )

    def take_freed_machines(self) -> set[str]:
        """Returns the names of the machines on which reservations ended since the last call."""
        freed = self._freed_machines
        self._freed_machines = set()
        return freed

    # Queries

    @property
    def has_freed_machines(self) -> bool:
        """Whether reservations ended since the last call of `take_freed_machines`."""
        return bool(self._freed_machines)

    @property
    def machine_names(self) -> frozenset[str]:
        """The names of the machines with reserved capacity."""
        return frozenset(self._by_machine)

    def has_task(self, key: TaskKey) -> bool:
        """Whether capacity is reserved for the task on any machine."""
        return key in self._by_task

    def list_preempting_tasks(self, job: Job) -> set[int]:
        """Returns the job's pending tasks for which others were stopped."""
        return {
            reservation.task
            for reservation in self._by_job.get(job.number, ())
            if reservation.purpose is Purpose.PREEMPTION and not reservation.is_fulfilled()
        }

    def find_ready_machine(self, job: Job) -> Machine | None:
        """Returns a machine that all tasks have left that were stopped for a task of the job."""
        for reservation in self._by_job.get(job.number, ()):
            if reservation.purpose is Purpose.PREEMPTION and not reservation.list_remaining():
                return self.fleet.machines.get(reservation.machine)
        return None

    def compute_reserved_for_team(self, job: Job) -> Amounts:
        """Returns how much of its team's limit the job must leave to jobs of its team.

        That is what is reserved for those that it does not precede, without what tasks of the team
        use that leave for them.
        """
        reserved = NO_RESOURCES
        if not self._by_task:
            return reserved
        precedence = self._queue.get_precedence(job)
        awaited: set[Placement] = set()
        for reservation in self._by_task.values():
            other = reservation.job
            if (
                other is not job
                and other.spec.team == job.spec.team
                and reservation.purpose is Purpose.PREEMPTION
                and not precedence < self._get_precedence(reservation)
            ):
                reserved = reserved.plus(compute_amounts(other.spec))
                awaited.update(reservation.list_remaining())
        for placed in awaited:
            if placed.job.spec.team == job.spec.team:
                reserved = reserved.minus(compute_amounts(placed.job.spec))
        return Amounts(max(0.0, reserved.cores), max(0.0, reserved.gpus))

    def make_claim_list(self, job: Job) -> Callable[[str], list[CapacityClaim]] | None:
        """Returns a function that lists the claims on a machine that keep the job out.

        The function takes the machine's name. None: nothing is reserved.
        """
        if not self._by_task:
            return None
        precedence = self._queue.get_precedence(job)

        def list_claims(machine: str) -> list[CapacityClaim]:
            return [
                each.to_claim()
                for each in self._by_machine.get(machine, ())
                if each.job is not job and not precedence < self._get_precedence(each)
            ]

        return list_claims

    def compute_unreserved(
        self, machine: Machine, machine_type: wire.MachineType, precedence: Precedence
    ) -> placement.FreeResources:
        """Returns what is free and not reserved, for a search of tasks to stop.

        A job does not stop tasks for capacity that others were stopped for already, even if it
        precedes the job that this is reserved for: each stop must lead to the start it is made for.
        """
        free = placement.compute_free_resources(machine, machine_type)
        for reservation in self._by_machine.get(machine.name, ()):
            is_waiting_gang = reservation.purpose is Purpose.LARGE_GANG
            if not is_waiting_gang or not precedence < self._get_precedence(reservation):
                free = free.minus(reservation.job.spec)
        return free

    def _get_precedence(self, reservation: Reservation) -> Precedence:
        """Returns the precedence of the job, now or when the capacity was reserved."""
        return min(reservation.precedence, self._queue.get_precedence(reservation.job))


def _remove_entry(index: dict[Key, list[Reservation]], key: Key, reservation: Reservation) -> None:
    entries = index[key]
    entries.remove(reservation)
    if not entries:
        del index[key]
