"""Who is stopped to make room for whom."""

from __future__ import annotations

import heapq
import itertools
import logging
from typing import TYPE_CHECKING

from ...gangs.gang_preemption import Candidate, MachineSlots, Victim, choose_cheapest_machines
from ...lending.entitlement import Reclaimable, amounts_of
from ...lending.victim_selection import giving_way
from ...planning import placement
from ...protocol import wire
from ..reclaim.quota_reclaim import QuotaReclaim, Room
from ..term import Term, TermActor
from .reservations import Reservation, Reservations, TaskKey

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Hashable, Iterator

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)


class _PreemptionBudget:
    """What one decision may take of other teams; without lending, ranks alone decide."""

    def __init__(
        self,
        team: str,
        reclaimable: Reclaimable | None,
        is_leaving: Callable[[Placement], bool],
    ) -> None:
        """`is_leaving`: whether a task gives way whatever is decided."""
        self._team, self._reclaimable, self._is_leaving = team, reclaimable, is_leaving
        self._gangs: set[int] = set()
        """Gangs that are counted: they stop as a whole."""

    def take(self, placed: Placement) -> bool:
        """Whether the task's team keeps its guarantee without it, too; then it counts."""
        job = placed.job
        leaves_anyway = job.number in self._gangs or self._is_leaving(placed)
        if self._reclaimable is None or job.spec.team == self._team or leaves_anyway:
            return True
        tasks = len(job.placements) if job.spec.job_kind == wire.GANG else 1
        if not self._reclaimable.take(job.spec.team, amounts_of(job.spec, tasks)):
            return False
        if job.spec.job_kind == wire.GANG:
            self._gangs.add(job.number)
        return True


class Preemption(TermActor):
    """Owns the claims on room for which others were stopped."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        orders: CommandSender,
        gangs: GangScheduler,
        lending: QuotaReclaim,
    ) -> None:
        super().__init__(term)
        self.jobs, self.commands, self.gang_scheduler, self.quota_reclaim = (
            jobs,
            orders,
            gangs,
            lending,
        )
        self._claims = Reservations()
        self._preempted: dict[TaskKey, float] = {}
        """Tasks for which others were stopped, and until when their room is kept."""
        self._nobody = placement.Exhausted()
        """Who found nobody to stop, until `_nobody_until`."""
        self._nobody_until = 0.0
        self._borrowers: frozenset[str] = frozenset()
        """The teams that borrow, as of this pass: a search must not look into all others' tasks."""

    def begin_pass(self) -> set[str]:
        """Forgets what is no longer true; returns the machines on which claims ended."""
        now = self.runtime.now()
        if now >= self._nobody_until:
            self._nobody, self._nobody_until = placement.Exhausted(), now + self.policy.retry
        if self.quota_reclaim.is_enabled:
            self._borrowers = self.quota_reclaim.borrowers()
        return self._claims.expire(now, self.ledger.state)

    def unclaimed_by(self, rank: int) -> Callable[[Machine], bool] | None:
        """Whether a machine's room is not kept for somebody more important; None: nothing is."""
        return self._claims.filter_for_rank(rank) if self._claims else None

    def placed(self, key: TaskKey) -> None:
        """The task is placed: its claim is made good."""
        self._claims.fulfil(key)

    def is_entitled(self, job: Job) -> bool:
        """Whether the job's next task has a right to room that others use beyond a guarantee."""
        if self.quota_reclaim.is_enabled:
            return self.quota_reclaim.is_entitled(job)
        return job.number not in self.jobs.queue.jobs_over_quota

    def party(self, job: Job) -> Hashable:
        """For whom others are stopped: equal where the same tasks may be."""
        if self.quota_reclaim.is_enabled:
            return job.spec.team, self.is_entitled(job)
        return job.spec.team if self.is_entitled(job) else None

    def found_nobody(self, kin: Hashable, spec: wire.Spec) -> bool:
        """Whether the job's like found nobody to stop a short while ago."""
        return self._nobody.covers(kin, spec)

    def make_room(
        self, job: Job, kin: Hashable, index: MachineIndex, shut: Collection[str]
    ) -> bool:
        """Makes room for a task by stopping tasks of lower rank.

        Where, of a sample, the least work is lost.

        The machine is kept for that rank until the stopped tasks are proven gone. False: there is
        nobody to stop, for this job and its like.
        """
        now, spec, rank = self.runtime.now(), job.spec, wire.RANKS[job.spec.rank]
        entitled = self.is_entitled(job)
        if rank == wire.RANKS["idle"] and not entitled:
            self._nobody.add(kin, spec)
            return False
        if entitled:
            self.quota_reclaim.wants(job)
        key = self._unserved(job, now)
        if key is None:
            return True
        if self.quota_reclaim.is_enabled:
            shut = self.quota_reclaim.excluded_zones(job)
        best = self._least_loss(job, index, shut, entitled, now)
        if best is None:
            self._nobody.add(kin, spec)
            return False
        loss, machine, victims = best
        if entitled and self._is_borrowed(spec, victims):
            return self._recall(job, Room(machine, victims))
        self._preempted = {key: until for key, until in self._preempted.items() if until > now}
        self._preempted[key] = self._evict(key, spec, machine, victims, moving=False)
        log.debug(
            "event=preempt term=%d job=%s machine=%s stopped=%d loss=%.0f",
            self.term.number,
            spec.ref,
            machine.name,
            len(victims),
            loss,
        )
        return True

    def find_room(self, job: Job, index: MachineIndex) -> Room | None:
        """Where room can be made for a task that is entitled to it."""
        shut = self.quota_reclaim.excluded_zones(job)
        best = self._least_loss(job, index, shut, True, self.runtime.now())
        return Room(best[1], best[2]) if best is not None else None

    def _unserved(self, job: Job, now: float) -> TaskKey | None:
        """The waiting task for which room is to be made next; None: it is being made for all."""
        key = job.number, job.next_pending_task()
        if not self.quota_reclaim.is_enabled:
            return None if self._preempted.get(key, 0.0) > now else key
        recalled = self.quota_reclaim.open_reclaims.tasks_for(job)
        served = {
            task
            for (no, task), until in self._preempted.items()
            if no == job.number and until > now and task not in job.placements
        }
        if recalled + len(served) >= job.pending_count:
            return None
        waiting = itertools.chain(
            heapq.nsmallest(len(served) + 1, job.retry_queue),
            range(job.next_unstarted_task, job.spec.tasks),
        )
        return next(((job.number, task) for task in waiting if task not in served), None)

    def _is_borrowed(self, spec: wire.Spec, victims: list[Placement]) -> bool:
        """Whether another team's work is to give way, and that is to be kept in the ledger."""
        return self.quota_reclaim.is_enabled and any(
            placed.job.spec.team != spec.team for placed in victims
        )

    def _recall(self, job: Job, *rooms: Room) -> bool:
        """Recalls the rooms, at once if only lower ranks give way; whether room is being made."""
        rank = wire.RANKS[job.spec.rank]
        borrowed = [placed for room in rooms for placed in room.borrowed]
        urgent = all(wire.RANKS[placed.job.spec.rank] > rank for placed in borrowed)
        if not urgent and not self.quota_reclaim.may_begin(job):
            return True
        if not self.quota_reclaim.within_budget(borrowed):
            return False
        for room in rooms:
            self.quota_reclaim.begin(job, room)
        return True

    def make_gang_room(self, job: Job, index: MachineIndex) -> bool:
        """Makes room for a whole gang, or stops nobody; whether room is being made.

        Only for ranks above the one that batch work has: a gang waits for all its tasks' room, and
        what is stopped for it meanwhile does nothing.
        """
        now, rank = self.runtime.now(), wire.RANKS[job.spec.rank]
        first = job.number, 0
        if self._preempted.get(first, 0.0) > now:
            return True
        if self.quota_reclaim.open_reclaims.tasks_for(job):
            return True
        party = self.party(job) if self.quota_reclaim.is_enabled else None
        kin = "gang", job.shape, job.spec.tasks, party
        recalls = self.quota_reclaim.is_enabled and self.is_entitled(job)
        may_stop = rank < wire.RANKS["standard"] or recalls
        if not may_stop or job.spec.spread or self.found_nobody(kin, job.spec):
            return False
        best = self._least_gang_loss(job, index, now)
        if best is None:
            self._nobody.add(kin, job.spec)
            return False
        rooms = [Room(share.machine, list(share.victims), share.task_count) for share in best]
        if recalls and any(self._is_borrowed(job.spec, room.borrowed) for room in rooms):
            return self._recall(job, *rooms)
        tasks = iter(range(job.spec.tasks))
        self._preempted = {key: until for key, until in self._preempted.items() if until > now}
        for share in best:
            for task in itertools.islice(tasks, share.task_count):
                key = job.number, task
                victims = list(share.victims)
                self._preempted[key] = self._evict(key, job.spec, share.machine, victims, False)
        log.info(
            "event=gang_preempts term=%d job=%s machines=%d",
            self.term.number,
            job.spec.ref,
            len(best),
        )
        return True

    def gang_placed(self, job: Job) -> None:
        """The gang is placed: its claims are made good."""
        self.quota_reclaim.gang_placed(job)
        for task in range(job.spec.tasks):
            if self._preempted.pop((job.number, task), None) is not None:
                self._claims.fulfil((job.number, task))

    def _least_gang_loss(
        self, job: Job, index: MachineIndex, now: float
    ) -> list[MachineSlots] | None:
        spec = job.spec
        entitled, budget = self.is_entitled(job), self._budget(spec)

        def candidates(shut: Collection[str]) -> Iterator[Candidate]:
            most = placement.WIDEN**2 * self.policy.sample
            for machine, kind in itertools.islice(index.walk(spec, shut), most):
                leaving = [
                    Victim(placed, self._loss(placed, now))
                    for placed in machine.placements.values()
                    if placed.was_reported
                    and self._gives_way(placed, spec, entitled, now)
                    and budget.take(placed)
                ]
                yield Candidate(machine, kind, self._unclaimed_room(machine, kind), leaving)

        def whole_loss(found: list[MachineSlots]) -> float:
            return sum(share.preemption_cost for share in found)

        return choose_cheapest_machines(
            spec, self.fleet.zones, candidates, self.jobs.gpu_reservations, whole_loss
        )

    def make_room_to_move(self, placed: Placement, machine: Machine) -> None:
        """Stops best-effort tasks on the machine so that a replica can move there."""
        key = placed.job.number, placed.task
        if self._claims.has_task(key):
            return
        kind, now = self.term.machine_types[machine.machine_type], self.runtime.now()
        victims = self._victims(placed.job, machine, kind, False, now)
        if victims and all(victim.is_best_effort for victim in victims):
            self._evict(key, placed.job.spec, machine, victims, moving=True)

    def _least_loss(
        self,
        job: Job,
        index: MachineIndex,
        shut: Collection[str],
        entitled: bool,
        now: float,
    ) -> tuple[float, Machine, list[Placement]] | None:
        best: tuple[float, Machine, list[Placement]] | None = None
        found = 0
        for seen, (machine, kind) in enumerate(index.walk(job.spec, shut)):
            if seen >= placement.WIDEN**2 * self.policy.sample:
                # Another part of the fleet is looked at the next time.
                break
            victims = self._victims(job, machine, kind, entitled, now)
            if not victims:
                continue
            loss = sum(self._loss(placed, now) for placed in victims)
            if best is None or loss < best[0]:
                best = loss, machine, victims
            found += 1
            if found >= self.policy.sample:
                break
        return best

    def _evict(
        self,
        key: TaskKey,
        spec: wire.Spec,
        machine: Machine,
        victims: list[Placement],
        moving: bool,
    ) -> float:
        """Stops the tasks and keeps their room for another; returns until when."""
        now = self.runtime.now()
        saves = max((placed.job.spec.checkpoint_save_s for placed in victims), default=0.0)
        until = now + 2 * self.policy.order_call + saves
        rank = wire.RANKS[spec.rank]
        self._claims.add(machine.name, key, Reservation(rank, until, spec, moving))
        for placed in victims:
            if placed.stopping_at is not None:
                continue
            if placed.job.spec.job_kind == wire.GANG:
                self.gang_scheduler.stop_gang(placed.job, "preempted")
            else:
                self.commands.stop_task(placed, placed.job.spec.checkpoint_save_s)
        return until

    def _victims(
        self, job: Job, machine: Machine, kind: wire.MachineType, entitled: bool, now: float
    ) -> list[Placement]:
        """The tasks whose stop makes room for one of the job.

        Those that lose least first; none: it can't be done there.
        """
        spec = job.spec
        lower = [
            placed
            for placed in machine.placements.values()
            if placed.was_reported and self._gives_way(placed, spec, entitled, now)
        ]
        if not lower:
            return []
        lower.sort(key=lambda placed: (self._is_last(placed, spec), self._loss(placed, now)))
        left, victims = giving_way(
            spec,
            self._unclaimed_room(machine, kind),
            lower,
            lambda placed: placed.job.spec,
            self._budget(spec).take,
        )
        fits = left.holds(spec) and (
            placement.leaves_gpus_usable(spec, left, kind, self.jobs.gpu_reservations)
            or self._takes_any_room(job, now)
        )
        return victims if fits else []

    def _gives_way(self, placed: Placement, spec: wire.Spec, entitled: bool, now: float) -> bool:
        """Whether the task may be stopped for one of the job.

        Those of lower rank may; and a team's guarantee goes before what another team runs beyond
        its own, of which little may be lost.
        """
        other = placed.job.spec
        if other.job_kind == wire.GANG and not self.gang_scheduler.can_stop(placed.job):
            return False
        if self.quota_reclaim.is_enabled:
            return self._may_be_taken(placed, spec, entitled)
        return wire.RANKS[other.rank] > wire.RANKS[spec.rank] or (
            entitled
            and placed.job.number in self.jobs.queue.jobs_over_quota
            and other.team != spec.team
            and other.job_kind != wire.SERVICE
            and self._loss(placed, now) < self.policy.settle
        )

    def _may_be_taken(self, placed: Placement, spec: wire.Spec, entitled: bool) -> bool:
        """Whether the task may be stopped, as far as its team keeps its guarantee (`_budget`).

        Within a team rank decides. Replicas of higher rank are not reclaimed: somebody is being
        answered by them, and the plan rents for who waits.
        """
        other = placed.job.spec
        rank, other_rank = wire.RANKS[spec.rank], wire.RANKS[other.rank]
        if other.team == spec.team:
            return other_rank > rank
        if other.job_kind == wire.SERVICE and other_rank < rank:
            return False
        if not (other_rank > rank or entitled):
            return False
        borrows = other.team in self._borrowers and not self.quota_reclaim.was_recalled(placed)
        return borrows or self._is_leaving(placed)

    def _takes_any_room(self, job: Job, now: float) -> bool:
        """Whether the job, entitled to room, has waited for so long that no GPUs are spared."""
        return (
            self.quota_reclaim.is_enabled
            and now - job.pending_since > self.quota_reclaim.patience(job)
        )

    def _is_last(self, placed: Placement, spec: wire.Spec) -> bool:
        """Whether the task gives way after all others: a replica of another team."""
        other = placed.job.spec
        return (
            self.quota_reclaim.is_enabled
            and other.job_kind == wire.SERVICE
            and other.team != spec.team
        )

    def _budget(self, spec: wire.Spec) -> _PreemptionBudget:
        reclaimable = self.quota_reclaim.reclaimable() if self.quota_reclaim.is_enabled else None
        return _PreemptionBudget(spec.team, reclaimable, self._is_leaving)

    def _is_leaving(self, placed: Placement) -> bool:
        return placed.stopping_at is not None or self.quota_reclaim.open_reclaims.is_chosen(placed)

    def _unclaimed_room(self, machine: Machine, kind: wire.MachineType) -> placement.Room:
        """What is left there: what is being stopped for another task can't make room twice."""
        left = placement.room(machine, kind)
        for claim in self._claims.list_on(machine.name):
            left = left.minus(claim.spec)
        for spec in self.quota_reclaim.kept_on(machine.name):
            left = left.minus(spec)
        return left

    def _loss(self, placed: Placement, now: float) -> float:
        """Seconds of work that a stop throws away."""
        if self._is_leaving(placed) or placed.started_at is None:
            return 0.0
        if placed.job.spec.job_kind == wire.GANG:
            return self.gang_scheduler.preemption_cost(placed.job)
        return (
            placed.job.spec.checkpoint_save_s
            if placed.job.spec.checkpoint_interval_s
            else now - placed.started_at
        )
