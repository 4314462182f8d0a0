"""Accumulates what the teams borrow and lend over time, and serves the operators' page of loans."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec

from ...ledger.reclaims import LoanAccount
from ...lending.accounts import TeamAccount, TeamUsage, compute_team_accounts
from ...lending.entitlement import NO_RESOURCES, Amounts, compute_amounts
from ...lending.page import LoansPage, build_page
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ..jobs import JobRegistry
    from .quota_accounting import QuotaAccounting

OnReply = Callable[[int, Any], None]


class LoanAccounts(TermActor):
    """Owns the amounts borrowed and lent since the accounts were last stored in the ledger."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        quota_accounting: QuotaAccounting,
        store_interval_s: float,
    ) -> None:
        """`store_interval_s`: interval at which the accounts are stored in the ledger."""
        super().__init__(term)
        self._jobs = jobs
        self._quota_accounting = quota_accounting
        self._store_interval_s = store_interval_s
        self._sampled_at: float | None = None
        self._stored_at = term.began_at
        self._unstored: dict[str, LoanAccount] = {}

    # Accounting

    def sample(self) -> None:
        """Adds the present loans to the accounts, for the time since the last sample."""
        if not self._quota_accounting.is_enabled:
            return
        now = self.runtime.now()
        elapsed_s = now - self._sampled_at if self._sampled_at is not None else 0.0
        self._sampled_at = now
        for account in compute_team_accounts(self._collect_team_usages({})).values():
            self._accumulate(account, elapsed_s)
        if now - self._stored_at >= self._store_interval_s:
            self._stored_at = now
            self._propose_accounts()

    def _accumulate(self, account: TeamAccount, elapsed_s: float) -> None:
        before = self._get_account(account.team)
        is_borrowing = any(account.borrows)
        if not (is_borrowing or any(account.lends) or before.borrows_since):
            return
        since = (before.borrows_since or self.runtime.wall()) if is_borrowing else 0.0
        borrowed = account.borrows.times(elapsed_s)
        lent = account.lends.times(elapsed_s)
        self._unstored[account.team] = replace(
            before,
            borrows_since=since,
            borrowed_core_seconds=before.borrowed_core_seconds + borrowed.cores,
            borrowed_gpu_seconds=before.borrowed_gpu_seconds + borrowed.gpus,
            lent_core_seconds=before.lent_core_seconds + lent.cores,
            lent_gpu_seconds=before.lent_gpu_seconds + lent.gpus,
        )

    def _get_account(self, team: str) -> LoanAccount:
        """Returns the account as of the last sample; the counts of reclaims are current."""
        stored = self.ledger.state.loan_state.accounts.get(team) or LoanAccount(team)
        unstored = self._unstored.get(team)
        if unstored is None:
            return stored
        return replace(unstored, met=stored.met, late=stored.late)

    def _propose_accounts(self) -> None:
        """Proposes the changed accounts; they are committed together with other pending records."""
        for team in self._unstored:
            self.ledger.propose(self._get_account(team).to_record())
        self._unstored = {}

    def _collect_team_usages(self, waiting: dict[str, Amounts]) -> list[TeamUsage]:
        return [
            TeamUsage(
                team,
                self.term.get_quota(team),
                self.term.compute_team_usage(team),
                waiting.get(team, NO_RESOURCES),
            )
            for team in self.settings.teams
        ]

    # The operators' page

    def send_page(self, on_reply: OnReply) -> None:
        """Replies with the page of loans once leadership is confirmed, otherwise with 503."""

        def on_confirmed(is_leader: bool) -> None:
            if is_leader and self.term.active:
                on_reply(200, msgspec.to_builtins(self._build_page()))
            else:
                on_reply(503, None)

        self.ledger.confirm_leadership(on_confirmed)

    def _build_page(self) -> LoansPage:
        state = self.ledger.state
        reclaims = [
            (reclaim, state.jobs[reclaim.job].spec.ref)
            for reclaim in state.loan_state.reclaims.values()
            if reclaim.job in state.jobs
        ]
        accounts = compute_team_accounts(self._collect_team_usages(self._sum_waiting_amounts()))
        current = {team: self._get_account(team) for team in accounts}
        return build_page(self.term.number, accounts, current, reclaims)

    def _sum_waiting_amounts(self) -> dict[str, Amounts]:
        """Returns the resources that pending tasks request, by team."""
        waiting: dict[str, Amounts] = {}
        for job in self._jobs.queue.list_pending_jobs():
            team = job.spec.team
            pending = compute_amounts(job.spec, job.pending_count)
            waiting[team] = waiting.get(team, NO_RESOURCES).plus(pending)
        return waiting
