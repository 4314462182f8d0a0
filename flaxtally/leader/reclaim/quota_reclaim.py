"""Carries reclaims out: starts them, stops their victims, moves and finishes them.

The record of a reclaim is committed to the ledger before any task is stopped for it. The record of
its end is proposed together with the placement that it was for. Neither costs a transaction of its
own.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from ...ledger.reclaims import BorrowedAttempt, LoanAccount, Reclaim
from ...lending.entitlement import compute_amounts
from ...lending.reclaim import ReclaimSituation, ReclaimTimes, Step, choose_next_step
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

PROPOSAL_LOG_FORMAT = "term=%d id=%s lender=%s borrowers=%s job=%s machine=%s stops=%d within=%.1f"
"""The keys and formats of the log events of a proposed reclaim."""


class PlanSearch(Protocol):
    """Searches the fleet for tasks whose stop frees enough capacity."""

    def find_plan(self, job: Job) -> PreemptionPlan | None:
        """Returns which tasks to stop for a job entitled to capacity; None: none suffice."""


class QuotaReclaim(TermActor):
    """Owns the progress of the open reclaims.

    Without the feature it starts none, and finishes those of earlier leaders.
    """

    def __init__(
        self,
        term: Term,
        commands: CommandSender,
        gang_scheduler: GangScheduler,
        open_reclaims: OpenReclaims,
        quota_accounting: QuotaAccounting,
        admission: ReclaimAdmission,
        reclaimed_capacity: ReclaimedCapacity,
        plan_search: PlanSearch,
    ) -> None:
        """`plan_search`: finds another machine if the first one can't provide the capacity."""
        super().__init__(term)
        self.open_reclaims = open_reclaims
        self._commands = commands
        self._gang_scheduler = gang_scheduler
        self._quota_accounting = quota_accounting
        self._admission = admission
        self._reclaimed_capacity = reclaimed_capacity
        self._plan_search = plan_search
        self._times = ReclaimTimes(
            resend_after_s=self.policy.order_call,
            stop_s=self.policy.order_call,
            give_up_after_s=self.policy.recall,
        )

    def restore(self) -> None:
        """Adds the reclaims of earlier leaders, with their deadlines and victims unchanged."""
        for reclaim in self.ledger.state.loan_state.reclaims.values():
            self.open_reclaims.add(OpenReclaim(reclaim, is_committed=True))
        if self.open_reclaims:
            log.info(
                "event=reclaims_restored term=%d open=%d lending=%s",
                self.term.number,
                len(self.open_reclaims),
                "enabled"
                if self._quota_accounting.is_configured
                else "not enabled: no reclaim starts",
            )

    # Starting

    def try_start(self, job: Job, *plans: PreemptionPlan) -> bool:
        """Starts a reclaim for each plan; False: the limit of stops per minute would be exceeded.

        Starts none, and returns True, while a machine can be provisioned in time, unless all
        victims have a lower rank than the job.
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
            _list_victims(plan),
        )
        entry = OpenReclaim(reclaim, is_committed=False)
        self.open_reclaims.add(entry)
        log.info(
            "event=reclaim_started " + PROPOSAL_LOG_FORMAT, *self._get_proposal_values(reclaim)
        )
        self._propose(entry)
        self.term.request_pass()

    def _propose(self, entry: OpenReclaim) -> None:
        """Proposes the reclaim's present record; its victims are stopped once it is committed."""
        reclaim = entry.reclaim
        entry.is_committed = False
        entry.stops_sent_at = None
        entry.is_forced = False

        def on_committed() -> None:
            if self.open_reclaims.is_open(entry) and entry.reclaim is reclaim:
                entry.is_committed = True
                self._advance(entry)

        self.ledger.propose(reclaim.to_record(), on_committed)

    def _get_proposal_values(self, reclaim: Reclaim) -> tuple[object, ...]:
        """Returns the values for `PROPOSAL_LOG_FORMAT`."""
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

    def advance_reclaims(self) -> None:
        """Advances each reclaim, and requests a pass while some entitled demand has no reclaim."""
        for entry in self.open_reclaims:
            self._advance(entry)
        if self._admission.has_demand_without_reclaim():
            # If all running tasks are long, nothing else requests a pass.
            self.term.request_pass()
        self._admission.expire()

    def _advance(self, entry: OpenReclaim) -> None:
        if not entry.is_committed or not self.term.may_act:
            return
        until_deadline_s = entry.reclaim.deadline - self.runtime.wall()
        if until_deadline_s < 0 and not entry.is_late:
            entry.is_late = True
            log.warning(
                "event=reclaim_deadline_missed term=%d id=%s", self.term.number, entry.reclaim.id
            )
        step = choose_next_step(self._observe_situation(entry, until_deadline_s), self._times)
        if step is Step.MOVE and entry.reclaim.tasks > 1:
            # Capacity for a gang is searched for as a whole, not one machine at a time.
            step = Step.GIVE_UP
        if step in (Step.STOP, Step.FORCE):
            self._stop_victims(entry, is_forced=step is Step.FORCE)
        elif step is Step.MOVE:
            self._move(entry)
        elif step in (Step.WITHDRAW, Step.GIVE_UP):
            self._finish(entry, step.value)

    def _observe_situation(self, entry: OpenReclaim, until_deadline_s: float) -> ReclaimSituation:
        victims = self.open_reclaims.find_remaining_victims(entry.reclaim)
        sent_at = entry.stops_sent_at
        return ReclaimSituation(
            is_wanted=self._is_wanted(entry),
            can_machine_serve=self._reclaimed_capacity.can_machine_take_task(entry.reclaim),
            remaining_victim_count=len(victims),
            since_stop_s=None if sent_at is None else self.runtime.now() - sent_at,
            is_forced=entry.is_forced,
            until_deadline_s=until_deadline_s,
            longest_save_s=max((_get_grace_period_s(placed) for placed in victims), default=0.0),
        )

    def _is_wanted(self, entry: OpenReclaim) -> bool:
        """Whether a task waits for this capacity and, until stops are sent, is entitled to it."""
        reclaim = entry.reclaim
        job = self.ledger.state.jobs.get(reclaim.job)
        if job is None or self.open_reclaims.count_tasks_before(entry) >= job.pending_count:
            return False
        remaining_count = len(self.open_reclaims.find_remaining_victims(reclaim))
        if entry.stops_sent_at is not None or remaining_count < len(reclaim.borrowed):
            return True
        return self._quota_accounting.is_within_quota(
            reclaim.lender, compute_amounts(job.spec, reclaim.tasks)
        )

    def _stop_victims(self, entry: OpenReclaim, *, is_forced: bool) -> None:
        """Stops the remaining victims; `is_forced`: without a grace period to save a checkpoint."""
        for placed in self.open_reclaims.find_remaining_victims(entry.reclaim):
            if placed.stopping_at is None:
                self._admission.record_stop(placed)
            if placed.job.spec.job_kind == wire.GANG:
                self._gang_scheduler.stop_gang(placed.job, entry.reclaim.id)
            else:
                grace_period_s = 0.0 if is_forced else _get_grace_period_s(placed)
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
            entry.reclaim, machine=plan.machine.name, borrowed=_list_victims(plan)
        )
        self.open_reclaims.add(entry)
        log.info(
            "event=reclaim_moved " + PROPOSAL_LOG_FORMAT, *self._get_proposal_values(entry.reclaim)
        )
        self._propose(entry)

    # Finishing

    def on_task_placed(self, job: Job, machine: Machine) -> None:
        """Finishes a reclaim for the job, a task of which was placed on the machine."""
        entries = self.open_reclaims.list_for_job(job)
        on_machine = [entry for entry in entries if entry.reclaim.machine == machine.name]
        # If the task was placed elsewhere, a reclaim that has sent no stops may be surplus: it is
        # withdrawn, and its victims keep running.
        surplus = [entry for entry in entries if entry.stops_sent_at is None and entry.is_committed]
        if on_machine:
            self._finish(on_machine[0], "met")
        elif len(entries) > job.pending_count and surplus:
            self._finish(surplus[0], Step.WITHDRAW.value)

    def on_gang_placed(self, job: Job) -> None:
        """Finishes the reclaims for a gang, all tasks of which were placed."""
        for entry in self.open_reclaims.list_for_job(job):
            self._finish(entry, "met")

    def _finish(self, entry: OpenReclaim, outcome: str) -> None:
        reclaim = entry.reclaim
        self.open_reclaims.remove(entry)
        is_late = self.runtime.wall() > reclaim.deadline
        self.ledger.propose(reclaim.to_finished_record())
        if outcome != Step.WITHDRAW.value:
            stored = self.ledger.state.loan_state.accounts.get(reclaim.lender)
            account = stored or LoanAccount(reclaim.lender)
            self.ledger.propose(account.with_reclaim_counted(is_late=is_late).to_record())
        log.info(
            "event=reclaim_ended term=%d id=%s how=%r late=%s after=%.1f",
            self.term.number,
            reclaim.id,
            outcome,
            is_late,
            self.runtime.wall() - reclaim.decided_at,
        )


def _list_victims(plan: PreemptionPlan) -> tuple[BorrowedAttempt, ...]:
    return tuple(BorrowedAttempt(each.job.number, each.task, each.attempt) for each in plan.victims)


def _get_grace_period_s(placed: Placement) -> float:
    """Returns the time that the task needs to save a checkpoint."""
    spec = placed.job.spec
    return spec.checkpoint_save_s if spec.checkpoint_interval_s else 0.0
