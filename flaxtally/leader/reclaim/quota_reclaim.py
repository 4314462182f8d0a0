"""Carries reclaims out: started, victims stopped, moved to another machine, ended.

A reclaim is a record of the ledger before any task is stopped for it, and the record of its end is
proposed together with the placement that it was for: neither costs a transaction of its own.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from ...ledger.reclaims import Borrowed, LoanAccount, Reclaim
from ...lending.entitlement import compute_amounts
from ...lending.reclaim import ReclaimSituation, ReclaimTimes, Step, next_step
from ...protocol import wire
from ..term import Term, TermActor
from .open_reclaims import OpenReclaim, OpenReclaims

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from .preemption_plan import PreemptionPlan
    from .quota_accounting import QuotaAccounting
    from .reclaim_admission import ReclaimAdmission
    from .reclaimed_capacity import ReclaimedCapacity

log = logging.getLogger(__name__)

PROPOSAL_KEYS = "term=%d id=%s lender=%s borrowers=%s job=%s machine=%s stops=%d within=%.1f"
"""What a log event tells of a reclaim that is proposed."""


class PlanSearch(Protocol):
    """Searches the fleet for tasks whose stop makes room."""

    def find_plan(self, job: Job) -> PreemptionPlan | None:
        """Where tasks can be stopped for a task of a job that is entitled to capacity."""


class QuotaReclaim(TermActor):
    """Drives the open reclaims to their end.

    Without the feature it starts none, and finishes those of earlier leaders.
    """

    def __init__(
        self,
        term: Term,
        commands: CommandSender,
        gang_scheduler: GangScheduler,
        open_reclaims: OpenReclaims,
        accounting: QuotaAccounting,
        admission: ReclaimAdmission,
        capacity: ReclaimedCapacity,
        plan_search: PlanSearch,
    ) -> None:
        """`plan_search` finds another machine where the first one can't make room."""
        super().__init__(term)
        self.open_reclaims = open_reclaims
        self._commands = commands
        self._gang_scheduler = gang_scheduler
        self._accounting = accounting
        self._admission = admission
        self._capacity = capacity
        self._plan_search = plan_search
        self._times = ReclaimTimes(
            resend_after_s=self.policy.order_call,
            stop_s=self.policy.order_call,
            give_up_after_s=self.policy.recall,
        )

    def restore(self) -> None:
        """Adds the reclaims of earlier leaders: their deadlines and victims stand."""
        for reclaim in self.ledger.state.loan_state.reclaims.values():
            self.open_reclaims.add(OpenReclaim(reclaim, is_committed=True))
        if self.open_reclaims:
            log.info(
                "event=reclaims_restored term=%d open=%d lending=%s",
                self.term.number,
                len(self.open_reclaims),
                "enabled" if self._accounting.is_configured else "not enabled: none begins",
            )

    # Starting

    def try_start(self, job: Job, *plans: PreemptionPlan) -> bool:
        """Reclaims capacity by these plans, if that is due; False: too many stops this minute.

        If all victims have a lower rank, it doesn't wait for what could be provisioned.
        """
        rank = wire.RANKS[job.spec.rank]
        victims = [placed for plan in plans for placed in plan.victims]
        is_urgent = all(wire.RANKS[placed.job.spec.rank] > rank for placed in victims)
        if not is_urgent and not self._admission.may_start(job):
            return True
        if not self._admission.allows_stops(victims):
            return False
        for plan in plans:
            self._start(job, plan)
        return True

    def _start(self, job: Job, plan: PreemptionPlan) -> None:
        wall = self.runtime.wall()
        reclaim = Reclaim(
            self.ledger.state.loan_state.next_number,
            job.spec.team,
            job.number,
            plan.machine.name,
            round(wall, 2),
            round(wall + self._admission.compute_time_left_s(job), 2),
            plan.task_count,
            _victims_of(plan),
        )
        entry = OpenReclaim(reclaim, is_committed=False)
        self.open_reclaims.add(entry)
        log.info("event=reclaim_started " + PROPOSAL_KEYS, *self._proposal_values(reclaim))
        self._propose(entry)
        self.term.request_pass()

    def _propose(self, entry: OpenReclaim) -> None:
        """Proposes the reclaim as it is now; its victims are stopped once that is committed."""
        reclaim = entry.reclaim
        entry.is_committed = False
        entry.stops_sent_at = None
        entry.is_forced = False

        def on_committed() -> None:
            if self.open_reclaims.is_open(entry) and entry.reclaim is reclaim:
                entry.is_committed = True
                self._advance(entry)

        self.ledger.propose(reclaim.record(), on_committed)

    def _proposal_values(self, reclaim: Reclaim) -> tuple[object, ...]:
        """The values of `PROPOSAL_KEYS`."""
        victims = self.open_reclaims.find_remaining_victims(reclaim)
        return (
            self.term.number,
            reclaim.id,
            reclaim.lender,
            ",".join(sorted({placed.job.spec.team for placed in victims})),
            self.ledger.state.jobs[reclaim.job].spec.ref,
            reclaim.machine,
            len(reclaim.borrowed),
            reclaim.deadline - self.runtime.wall(),
        )

    # Advancing

    def watch(self) -> None:
        """Takes the next step of each reclaim, and asks for a pass while demand has none."""
        for entry in self.open_reclaims:
            self._advance(entry)
        if self._admission.has_unserved_demand():
            # Where all tasks are long, nothing else asks for a pass.
            self.term.request_pass()
        self._admission.expire()

    def _advance(self, entry: OpenReclaim) -> None:
        if not entry.is_committed or not self.term.may_act:
            return
        until_deadline = entry.reclaim.deadline - self.runtime.wall()
        if until_deadline < 0 and not entry.is_late:
            entry.is_late = True
            log.warning(
                "event=reclaim_deadline_missed term=%d id=%s", self.term.number, entry.reclaim.id
            )
        step = next_step(self._situation(entry, until_deadline), self._times)
        if step is Step.MOVE and entry.reclaim.tasks > 1:
            # Capacity for a gang is searched for as a whole.
            step = Step.GIVE_UP
        if step in (Step.STOP, Step.FORCE):
            self._stop_victims(entry, is_forced=step is Step.FORCE)
        elif step is Step.MOVE:
            self._move(entry)
        elif step in (Step.WITHDRAW, Step.GIVE_UP):
            self._end(entry, step.value)

    def _situation(self, entry: OpenReclaim, until_deadline: float) -> ReclaimSituation:
        victims = self.open_reclaims.find_remaining_victims(entry.reclaim)
        sent_at = entry.stops_sent_at
        return ReclaimSituation(
            is_wanted=self._is_wanted(entry),
            can_machine_serve=self._capacity.can_machine_take_task(entry.reclaim),
            remaining_victim_count=len(victims),
            since_stop_s=None if sent_at is None else self.runtime.now() - sent_at,
            is_forced=entry.is_forced,
            until_deadline_s=until_deadline,
            longest_save_s=max((_grace_period_s(placed) for placed in victims), default=0.0),
        )

    def _is_wanted(self, entry: OpenReclaim) -> bool:
        """Whether a task waits for this capacity and, before victims stop, is entitled to it."""
        reclaim = entry.reclaim
        job = self.ledger.state.jobs.get(reclaim.job)
        if job is None or self.open_reclaims.count_tasks_before(entry) >= job.pending_count:
            return False
        remaining_count = len(self.open_reclaims.find_remaining_victims(reclaim))
        if entry.stops_sent_at is not None or remaining_count < len(reclaim.borrowed):
            return True
        return self._accounting.is_within_quota(
            reclaim.lender, compute_amounts(job.spec, reclaim.tasks)
        )

    def _stop_victims(self, entry: OpenReclaim, *, is_forced: bool) -> None:
        """Stops the remaining victims; forced: with no time to save."""
        for placed in self.open_reclaims.find_remaining_victims(entry.reclaim):
            if placed.stopping_at is None:
                self._admission.record_stop(placed)
            if placed.job.spec.job_kind == wire.GANG:
                self._gang_scheduler.stop_gang(placed.job, entry.reclaim.id)
            else:
                grace_period_s = 0.0 if is_forced else _grace_period_s(placed)
                self._commands.stop_task(placed, grace_period_s)
        entry.stops_sent_at = self.runtime.now()
        entry.is_forced = is_forced
        self.open_reclaims.mark_stops_sent(entry)
        log.debug("event=reclaim_stops_sent id=%s forced=%s", entry.reclaim.id, is_forced)

    def _move(self, entry: OpenReclaim) -> None:
        """Moves the reclaim to another machine, with the same number and deadline."""
        job = self.ledger.state.jobs[entry.reclaim.job]
        plan = self._plan_search.find_plan(job)
        if plan is None or plan.machine.name == entry.reclaim.machine:
            return
        if not self._admission.allows_stops(plan.victims):
            return
        self.open_reclaims.remove(entry)
        entry.reclaim = replace(
            entry.reclaim, machine=plan.machine.name, borrowed=_victims_of(plan)
        )
        self.open_reclaims.add(entry)
        log.info("event=reclaim_moved " + PROPOSAL_KEYS, *self._proposal_values(entry.reclaim))
        self._propose(entry)

    # Ending

    def on_task_placed(self, job: Job, machine: Machine) -> None:
        """A task of the job was placed on the machine: a reclaim for it ends."""
        entries = self.open_reclaims.for_job(job)
        here = [entry for entry in entries if entry.reclaim.machine == machine.name]
        # Capacity that was found elsewhere does as well; victims not yet stopped then stay.
        surplus = [entry for entry in entries if entry.stops_sent_at is None and entry.is_committed]
        if here:
            self._end(here[0], "met")
        elif len(entries) > job.pending_count and surplus:
            self._end(surplus[0], Step.WITHDRAW.value)

    def on_gang_placed(self, job: Job) -> None:
        """All tasks of the gang were placed: the reclaims for it end."""
        for entry in self.open_reclaims.for_job(job):
            self._end(entry, "met")

    def _end(self, entry: OpenReclaim, outcome: str) -> None:
        reclaim = entry.reclaim
        self.open_reclaims.remove(entry)
        is_late = self.runtime.wall() > reclaim.deadline
        self.ledger.propose(reclaim.over_record())
        if outcome != Step.WITHDRAW.value:
            stored = self.ledger.state.loan_state.accounts.get(reclaim.lender)
            account = stored or LoanAccount(reclaim.lender)
            self.ledger.propose(account.counted(is_late=is_late).record())
        log.info(
            "event=reclaim_ended term=%d id=%s how=%r late=%s after=%.1f",
            self.term.number,
            reclaim.id,
            outcome,
            is_late,
            self.runtime.wall() - reclaim.decided_at,
        )


def _victims_of(plan: PreemptionPlan) -> tuple[Borrowed, ...]:
    return tuple(Borrowed(each.job.number, each.task, each.attempt) for each in plan.victims)


def _grace_period_s(placed: Placement) -> float:
    """How long the task needs to save a checkpoint."""
    spec = placed.job.spec
    return spec.checkpoint_save_s if spec.checkpoint_interval_s else 0.0
