"""Recalls under the leader: begun, told, sought elsewhere, met.

A recall is a record of the ledger before anybody is told to stop, and the record of its end is
proposed together with the placement that it was for: neither costs a transaction of its own.
"""

from __future__ import annotations

import logging
from collections import Counter, deque
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from ...ledger.reclaims import Borrowed, LoanAccount, Reclaim
from ...lending.entitlement import Amounts, Reclaimable, amounts_of
from ...lending.reclaim import Situation, Step, Times, next_step
from ...planning import placement
from ...planning.best_effort import find_expensive_types
from ...planning.fleet import Machine, Pool
from ...protocol import formats, wire
from ..term import Term, TermActor
from .open_reclaims import OpenReclaim, OpenReclaims

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...lending.feature import LendingFeature
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)

MINUTE_S = 60.0
FEW_STOPS = 16
"""Tasks that recalls may always stop a minute, however few are placed."""
PATIENCE_SHARE = 0.5
"""Of the recall time: then who is entitled to room takes what is kept for GPU tasks, too."""
SLOW_BOOT = 1.5
"""Times the usual boot time: a machine that must be up in time for a demand."""


class Room(NamedTuple):
    """Where room can be made for tasks of a job, and who is to give way."""

    machine: Machine
    borrowed: list[Placement]
    tasks: int = 1


class QuotaReclaim(TermActor):
    """Owns the recalls. Without the feature it begins none, and finishes those that it finds."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        orders: CommandSender,
        gangs: GangScheduler,
        feature: LendingFeature | None,
    ) -> None:
        super().__init__(term)
        self.jobs, self.commands, self.gang_scheduler, self.feature = jobs, orders, gangs, feature
        self.open_reclaims = OpenReclaims(self.ledger)
        self._wanted_since: dict[int, float] = {}
        """Jobs that are entitled to room and found none, and since when."""
        self._stops: deque[float] = deque()
        """When recalls told tasks to stop, in the last minute."""
        self._recalled_at: dict[tuple[int, int], float] = {}
        """Tasks that recalls told to stop, and when, for as long as a checkpoint interval."""
        self._times = Times(
            repeat=self.policy.order_call,
            stop=self.policy.order_call,
            overdue=self.policy.recall,
        )
        self.find_room: Callable[[Job], Room | None] = lambda _: None
        """Where room can be made for a task of the job. Preemption sets it."""
        self.is_schedulable: Callable[[Machine], bool] = lambda _: True
        """Whether something may be placed on a machine. The tracker sets it."""
        self.is_in_backoff: Callable[[Pool], bool] = lambda _: False
        """Whether a pool refused a short while ago. The planner sets it."""

    def restore(self) -> None:
        """Takes up the recalls of earlier leaders: their deadlines and borrowed tasks stand."""
        for recall in self.ledger.state.loan_state.reclaims.values():
            self.open_reclaims.add(OpenReclaim(recall, is_committed=True))
        if self.open_reclaims:
            log.info(
                "event=recalls_taken_up term=%d open=%d lending=%s",
                self.term.number,
                len(self.open_reclaims),
                "enabled" if self.feature is not None else "not enabled: none begins",
            )

    @property
    def is_enabled(self) -> bool:
        """Whether recalls may begin here."""
        return self.feature is not None and self.ledger.state.format >= formats.LENDING

    # Entitlement

    def reclaimable(self) -> Reclaimable:
        """What may be taken of the teams now, in one decision."""
        return Reclaimable(self.term.quota, self._firm_use)

    def borrowers(self) -> frozenset[str]:
        """The teams that use more than their guarantee: of no others may anything be taken."""
        return frozenset(
            team
            for team in self.ledger.state.usage_by_team
            if not self.term.quota(team).covers(self._firm_use(team))
        )

    def _firm_use(self, team: str) -> Amounts:
        """What a team's tasks take that were neither told to stop nor chosen to."""
        return self.commands.usage_not_stopping(team).minus(self.open_reclaims.chosen_of(team))

    def is_entitled(self, job: Job) -> bool:
        """Whether one more task of the job, or the gang, is within its team's guarantee."""
        spec = job.spec
        lenders = self.feature.lenders if self.feature is not None else frozenset()
        if lenders and spec.team not in lenders:
            return False
        use = self.term.team_usage(spec.team).plus(self.open_reclaims.promised(spec.team))
        tasks = spec.tasks if spec.job_kind == wire.GANG else 1
        return self.term.quota(spec.team).covers(use.plus(amounts_of(spec, tasks)))

    def patience(self, job: Job) -> float:
        """How long a job waits before it takes any room, also what is kept for GPU tasks."""
        if self.is_enabled and self.is_entitled(job):
            return min(self.policy.keep_patience, self.policy.recall * PATIENCE_SHARE)
        return self.policy.keep_patience

    def was_recalled(self, placed: Placement) -> bool:
        """Whether a recall stopped the task within its checkpoint interval."""
        at = self._recalled_at.get((placed.job.number, placed.task), float("-inf"))
        return self.runtime.now() - at < placed.job.spec.checkpoint_interval_s

    # Beginning

    def is_served(self, job: Job) -> bool:
        """Whether there is a recall for each waiting task of the job."""
        return self.open_reclaims.tasks_for(job) >= job.pending_count

    def excluded_zones(self, job: Job) -> frozenset[str]:
        """The zones in which no more room may be recalled for the job, with what is under way."""
        spec, found = job.spec, self.open_reclaims.of(job)
        shut = self.jobs.excluded_zones(job)
        if not found or not (spec.spread or spec.one_zone):
            return shut
        zones = Counter(
            self.fleet.machines[each.recall.machine].zone
            for each in found
            if each.recall.machine in self.fleet.machines
        )
        if spec.one_zone:
            return shut | {zone for zone in self.fleet.zones if zone not in zones}
        return shut | {
            zone
            for zone, count in zones.items()
            if job.placements_in_zone(zone) + count >= spec.zone_share
        }

    def wants(self, job: Job) -> None:
        """The job is entitled to room and finds none: from now on the recall time runs."""
        if self.is_enabled:
            self._wanted_since.setdefault(job.number, self.runtime.now())

    def may_begin(self, job: Job) -> bool:
        """Whether room is to be taken back for the job now.

        Not while a machine can be rented that is up in time, and costs no more than the plan pays:
        that takes nothing from anybody.
        """
        return not self._can_rent(job.spec, self._time_left(job))

    def _time_left(self, job: Job) -> float:
        """Seconds of the recall time that are left, which runs from now on at the latest."""
        now = self.runtime.now()
        return self.policy.recall - (now - self._wanted_since.setdefault(job.number, now))

    def _can_rent(self, spec: wire.Spec, within: float) -> bool:
        kinds = self.term.machine_types
        dear = find_expensive_types(
            spec, kinds, self.jobs.gpu_reservations, self.policy.best_effort_price
        )
        return any(
            placement.allowed(spec, kind, zone, spot)
            and (kind.name, spot) not in dear
            and not self.is_in_backoff(Pool(kind.name, zone, spot))
            for kind in kinds.values()
            if kind.boot_s * SLOW_BOOT + self.policy.plan_step <= within
            for zone in kind.zones
            for spot in (False, True)
        )

    def within_budget(self, borrowed: list[Placement]) -> bool:
        """Whether recalls may tell these tasks to stop, too, within this minute."""
        now = self.runtime.now()
        while self._stops and now - self._stops[0] > MINUTE_S:
            self._stops.popleft()
        if self.feature is None:
            return False
        placed = sum(len(job.placements) for job in self.jobs.live_jobs.values())
        most = max(FEW_STOPS, self.feature.stops_a_minute * placed)
        firm = [each for each in borrowed if each.stopping_at is None]
        new = sum(not self.open_reclaims.is_chosen(each) for each in firm)
        return len(self._stops) + self.open_reclaims.chosen + new <= most

    def begin(self, job: Job, room: Room) -> None:
        """Recalls room for tasks of the job."""
        wall = self.runtime.wall()
        recall = Reclaim(
            self.ledger.state.loan_state.next_number,
            job.spec.team,
            job.number,
            room.machine.name,
            round(wall, 2),
            round(wall + self._time_left(job), 2),
            room.tasks,
            _borrowed(room),
        )
        each = OpenReclaim(recall, is_committed=False)
        self.open_reclaims.add(each)
        self._propose(each, "begin")
        self.term.request_pass()

    def _propose(self, each: OpenReclaim, how: str) -> None:
        """Proposes the recall as it is now; the borrowed tasks are told once that is committed."""
        recall = each.recall
        each.is_committed, each.told_at, each.is_forced = False, None, False
        job = self.ledger.state.jobs[recall.job]
        log.info(
            "event=recall_%s term=%d id=%s lender=%s borrowers=%s job=%s machine=%s stops=%d "
            "within=%.1f",
            how,
            self.term.number,
            recall.id,
            recall.lender,
            ",".join(sorted({placed.job.spec.team for placed in self.open_reclaims.left(recall)})),
            job.spec.ref,
            recall.machine,
            len(recall.borrowed),
            recall.deadline - self.runtime.wall(),
        )

        def committed() -> None:
            if self.open_reclaims.has(each) and each.recall is recall:
                each.is_committed = True
                self._continue(each)

        self.ledger.propose(recall.record(), committed)

    # What happens to a recall

    def watch(self) -> None:
        """The next step of each recall; forgets who does not wait any more."""
        now = self.runtime.now()
        for each in self.open_reclaims:
            self._continue(each)
        live = self.jobs.live_jobs
        if any(not self.is_served(live[no]) for no in self._wanted_since if no in live):
            # Where all tasks are long, nothing else asks for a pass.
            self.term.request_pass()
        self._wanted_since = {
            no: since
            for no, since in self._wanted_since.items()
            if (job := live.get(no)) is not None and job.pending_count
        }
        self._recalled_at = {
            (no, task): at
            for (no, task), at in self._recalled_at.items()
            if (job := live.get(no)) is not None and now - at < job.spec.checkpoint_interval_s
        }

    def _continue(self, each: OpenReclaim) -> None:
        if not each.is_committed or not self.term.may_act:
            return
        recall = each.recall
        until_deadline = recall.deadline - self.runtime.wall()
        if until_deadline < 0 and not each.is_late:
            each.is_late = True
            log.warning("event=recall_late term=%d id=%s", self.term.number, recall.id)
        step = next_step(self._situation(each, until_deadline), self._times)
        if step is Step.SEEK and recall.tasks > 1:
            # A gang's room is sought as a whole.
            step = Step.GIVE_UP
        if step in (Step.STOP, Step.FORCE):
            self._stop(each, is_forced=step is Step.FORCE)
        elif step is Step.SEEK:
            self._seek(each)
        elif step in (Step.WITHDRAW, Step.GIVE_UP):
            self._end(each, step.value)

    def _situation(self, each: OpenReclaim, until_deadline: float) -> Situation:
        recall, now = each.recall, self.runtime.now()
        left = self.open_reclaims.left(recall)
        return Situation(
            is_wanted=self._is_wanted(each),
            machine_answers=self._may_answer(recall),
            borrowed_left=len(left),
            since_told=None if each.told_at is None else now - each.told_at,
            is_forced=each.is_forced,
            until_deadline=until_deadline,
            longest_save=max((_save(placed) for placed in left), default=0.0),
        )

    def _may_answer(self, recall: Reclaim) -> bool:
        """Whether the machine can give the room; one that this term has not heard yet may."""
        machine = self.fleet.machines.get(recall.machine)
        job = self.ledger.state.jobs.get(recall.job)
        if machine is None or job is None or machine.zone in self.jobs.excluded_zones(job):
            return False
        if not machine.is_reconciled and not machine.is_terminating:
            return self.runtime.now() - self.term.began_at < self.policy.machine_suspect
        return self.is_schedulable(machine)

    def _is_wanted(self, each: OpenReclaim) -> bool:
        """Whether a task of the job waits for this room and, before others stop, is entitled."""
        recall = each.recall
        job = self.ledger.state.jobs.get(recall.job)
        if job is None or self.open_reclaims.tasks_before(each) >= job.pending_count:
            return False
        if each.told_at is not None or len(self.open_reclaims.left(recall)) < len(recall.borrowed):
            return True
        use = self.term.team_usage(recall.lender).plus(amounts_of(job.spec, recall.tasks))
        return self.term.quota(recall.lender).covers(use)

    def _stop(self, each: OpenReclaim, is_forced: bool) -> None:
        now = self.runtime.now()
        for placed in self.open_reclaims.left(each.recall):
            if placed.stopping_at is None:
                self._stops.append(now)
                self._recalled_at[placed.job.number, placed.task] = now
            if placed.job.spec.job_kind == wire.GANG:
                self.gang_scheduler.stop_gang(placed.job, each.recall.id)
            else:
                self.commands.stop_task(placed, 0.0 if is_forced else _save(placed))
        each.told_at, each.is_forced = now, is_forced
        self.open_reclaims.told(each)
        log.debug("event=recall_told id=%s forced=%s", each.recall.id, is_forced)

    def _seek(self, each: OpenReclaim) -> None:
        """Looks for the room elsewhere, under the same number and with the same deadline."""
        job = self.ledger.state.jobs[each.recall.job]
        room = self.find_room(job)
        if room is None or room.machine.name == each.recall.machine:
            return
        if not self.within_budget(room.borrowed):
            return
        self.open_reclaims.remove(each)
        old = each.recall
        each.recall = replace(old, machine=room.machine.name, borrowed=_borrowed(room))
        self.open_reclaims.add(each)
        self._propose(each, "moved")

    def placed(self, job: Job, machine: Machine) -> None:
        """A task of the job was placed there: a recall for it is met."""
        found = self.open_reclaims.of(job)
        here = [each for each in found if each.recall.machine == machine.name]
        # Room that was found elsewhere does as well; who was not told yet then stays.
        surplus = [each for each in found if each.told_at is None and each.is_committed]
        if here:
            self._end(here[0], "met")
        elif len(found) > job.pending_count and surplus:
            self._end(surplus[0], "withdraw")

    def gang_placed(self, job: Job) -> None:
        """All tasks of the gang were placed: the recalls for it are met."""
        for each in self.open_reclaims.of(job):
            self._end(each, "met")

    def _end(self, each: OpenReclaim, how: str) -> None:
        recall = each.recall
        self.open_reclaims.remove(each)
        is_late = self.runtime.wall() > recall.deadline
        self.ledger.propose(recall.over_record())
        if how != Step.WITHDRAW.value:
            kept = self.ledger.state.loan_state.accounts.get(recall.lender)
            account = kept or LoanAccount(recall.lender)
            self.ledger.propose(account.counted(is_late=is_late).record())
        log.info(
            "event=recall_over term=%d id=%s how=%r late=%s after=%.1f",
            self.term.number,
            recall.id,
            how,
            is_late,
            self.runtime.wall() - recall.decided_at,
        )

    # Room

    def room_for(self, job: Job) -> Machine | None:
        """A machine on which a recall made room for a task of the job."""
        for each in self.open_reclaims.of(job):
            machine = self.fleet.machines.get(each.recall.machine)
            if (
                each.is_committed
                and machine is not None
                and not self.open_reclaims.left(each.recall)
            ):
                return machine
        return None

    def free_for(self, job: Job) -> Callable[[Machine], bool] | None:
        """Whether a machine has room for the job beside what recalls keep; None: they keep none."""
        machines = self.open_reclaims.machines()
        if not machines:
            return None

        def keep(machine: Machine) -> bool:
            return machine.name not in machines or self._is_free(machine, job)

        return keep

    def _is_free(self, machine: Machine, job: Job) -> bool:
        kind = self.term.machine_types.get(machine.machine_type)
        if kind is None:
            return False
        expected = placement.room(machine, kind)
        there = self.open_reclaims.machines()[machine.name]
        others = [each for each in there if each.recall.job != job.number]
        for spec in self.open_reclaims.kept(others):
            expected = expected.minus(spec)
        stopping = {placed for each in others for placed in self.open_reclaims.left(each.recall)}
        for placed in stopping:
            expected = expected.plus(placed.job.spec)
        return expected.holds(job.spec)

    def kept_on(self, machine: str) -> list[wire.Spec]:
        """The tasks for which recalls keep room on a machine."""
        return self.open_reclaims.kept(self.open_reclaims.machines().get(machine, []))


def _borrowed(room: Room) -> tuple[Borrowed, ...]:
    return tuple(Borrowed(each.job.number, each.task, each.attempt) for each in room.borrowed)


def _save(placed: Placement) -> float:
    """The grace period that the task needs to save."""
    return placed.job.spec.checkpoint_save_s if placed.job.spec.checkpoint_interval_s else 0.0
