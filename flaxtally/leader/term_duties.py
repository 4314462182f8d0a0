"""The duties of a leader, created and connected to each other for one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .autoscaling.autoscaler import Autoscaler
from .autoscaling.consolidation import Consolidation
from .commands import CommandSender, CommandTransport
from .gang_scheduling.gang_scheduler import GangScheduler
from .jobs import JobRegistry
from .launch_fence import LaunchFence
from .reconciliation.failure_attribution import FailureAttribution
from .reconciliation.health_checks import HealthChecks
from .reconciliation.heartbeat_handler import HeartbeatHandler
from .reconciliation.machine_monitor import MachineMonitor
from .reconciliation.preemption_notices import PreemptionNotices
from .reconciliation.reconciler import Reconciler
from .reconciliation.stragglers import Stragglers
from .scheduling.preemption_parts import build_preemption
from .scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ledger.placement import Placement
    from ..lending.feature import LendingFeature
    from ..protocol import wire
    from .reclaim.loan_accounts import LoanAccounts
    from .reclaim.quota_accounting import QuotaAccounting
    from .reconciliation.attempt_finisher import EndReason
    from .term import Term


class TermDuties:
    """All duties of one term. The leader creates the next term's when the term ends."""

    def __init__(
        self,
        term: Term,
        transport: CommandTransport,
        raise_token: Callable[[], None],
        lending: LendingFeature | None,
    ) -> None:
        """Connects the duties; none of them acts before the term becomes active.

        `raise_token`: has the leader take a further term and lead on in it.
        `lending`: the feature by which loans between teams are reclaimed; None if it is disabled:
        then jobs preempt those that they precede, and nothing is recorded.
        """
        self.term = term
        self.commands = CommandSender(term, transport, self._handle_heartbeat)
        self.jobs = JobRegistry(term, self.commands)
        self.stragglers = Stragglers(term, self.jobs, self.commands)
        self.failure_attribution = FailureAttribution(term, self.jobs)
        self.launch_fence = LaunchFence(term, raise_token)
        self.gang_scheduler = GangScheduler(
            term, self.jobs, self.commands, self.launch_fence, self._finish_attempt
        )
        self.reconciler = self._create_reconciler()
        self.heartbeat_handler = self._create_heartbeat_handler()
        self.machine_monitor = self._create_machine_monitor()
        self.autoscaler = Autoscaler(term, self.jobs, self.reconciler, self.commands)
        preemption_parts = build_preemption(
            term,
            self.jobs,
            self.commands,
            self.gang_scheduler,
            self.reconciler,
            self.autoscaler,
            lending,
        )
        self.quota_reclaim = preemption_parts.quota_reclaim
        self.loan_accounts = self._create_loan_accounts(lending, preemption_parts.quota_accounting)
        self.scheduler = Scheduler(
            term, self.jobs, self.reconciler, self.commands, self.gang_scheduler, preemption_parts
        )
        self.consolidation = Consolidation(
            term, self.jobs, self.reconciler, self.commands, self.autoscaler, self.scheduler
        )

    def _create_reconciler(self) -> Reconciler:
        return Reconciler(
            self.term,
            self.jobs,
            self.commands,
            self.stragglers,
            self.failure_attribution,
            self.gang_scheduler,
            self.launch_fence,
        )

    def _create_heartbeat_handler(self) -> HeartbeatHandler:
        preemption_notices = PreemptionNotices(self.term, self.commands, self.gang_scheduler)
        return HeartbeatHandler(self.term, self.reconciler, preemption_notices)

    def _create_machine_monitor(self) -> MachineMonitor:
        return MachineMonitor(
            self.term,
            self.jobs,
            self.commands,
            self.failure_attribution,
            HealthChecks(self.term, self.commands),
            self.reconciler.scale_in,
        )

    def _handle_heartbeat(self, controller: str, heartbeat: wire.Heartbeat) -> None:
        self.heartbeat_handler.handle_heartbeat(controller, heartbeat)

    def _finish_attempt(self, placement: Placement, reason: EndReason) -> None:
        self.reconciler.attempt_finisher.finish_attempt(placement, reason)

    def _create_loan_accounts(
        self, lending: LendingFeature | None, quota_accounting: QuotaAccounting
    ) -> LoanAccounts | None:
        if lending is None:
            return None
        # Imported here so that a controller without the feature does not load the module.
        from .reclaim.loan_accounts import LoanAccounts

        return LoanAccounts(self.term, self.jobs, quota_accounting, lending.account_interval_s)

    def run_periodic_checks(self) -> None:
        """Runs the frequent checks, in an order in which each uses the results of those before."""
        self.machine_monitor.check_machines()
        self.stragglers.check_running_tasks()
        self.gang_scheduler.check_gangs()
        self.quota_reclaim.advance_reclaims()
        self.consolidation.continue_moves(self.term.runtime.now())
        self.reconciler.scale_in.send_terminations()
        self.scheduler.refresh_machines()
        self.scheduler.resume_backed_off_jobs()
        self.scheduler.preemption.check_stops()
        self.launch_fence.check()
        # Compaction at the interval of fleet planning falls behind if jobs are many and short.
        self.term.ledger.compact()

    def on_token_raised(self) -> None:
        """Handles that this leader leads on under a higher fencing token."""
        self.launch_fence.on_token_raised()
        self.commands.on_token_raised()
        self.gang_scheduler.on_token_raised()
        self.reconciler.on_token_raised()

    def plan_fleet(self) -> None:
        """Provisions and terminates machines; samples how much the teams lend and borrow."""
        self.autoscaler.scale(self.consolidation.consolidate)
        if self.loan_accounts is not None:
            self.loan_accounts.sample()

    def list_machines(self) -> None:
        """Compares the known machines with the cloud's list."""
        self.reconciler.scale_in.list_machines()

    def on_pause(self, pause_s: float) -> None:
        """Adjusts the deadlines after the process was paused for `pause_s`."""
        self.machine_monitor.on_pause(pause_s)
        self.stragglers.on_pause()
