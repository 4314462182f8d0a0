"""What the teams borrow and lend, summed up over time, and the operators' question about it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec

from ...ledger.reclaims import LoanAccount
from ...lending.accounts import TeamAccount, TeamUse, team_accounts
from ...lending.entitlement import NOTHING, Amounts, amounts_of
from ...lending.page import page
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ..jobs import JobRegistry
    from .quota_reclaim import QuotaReclaim

Answer = Callable[[int, Any], None]


class LoanAccounts(TermActor):
    """Owns what was borrowed and lent since the accounts were last kept in the ledger."""

    def __init__(
        self, term: Term, jobs: JobRegistry, lending: QuotaReclaim, every_s: float
    ) -> None:
        """`every_s`: how often what was summed up is kept, in seconds."""
        super().__init__(term)
        self.jobs, self.quota_reclaim, self._every_s = jobs, lending, every_s
        self._sampled_at: float | None = None
        self._kept_at = term.began_at
        self._changed: dict[str, LoanAccount] = {}

    def sample(self) -> None:
        """Adds what is borrowed and lent now, since the last sample."""
        if not self.quota_reclaim.is_enabled:
            return
        now = self.runtime.now()
        seconds = now - self._sampled_at if self._sampled_at is not None else 0.0
        self._sampled_at = now
        for account in team_accounts(self._uses({})).values():
            self._add(account, seconds)
        if now - self._kept_at >= self._every_s:
            self._kept_at = now
            self._keep()

    def _add(self, account: TeamAccount, seconds: float) -> None:
        before = self._of(account.team)
        borrows = any(account.borrows)
        if not (borrows or any(account.lends) or before.borrows_since):
            return
        since = (before.borrows_since or self.runtime.wall()) if borrows else 0.0
        borrowed, lent = account.borrows.times(seconds), account.lends.times(seconds)
        self._changed[account.team] = replace(
            before,
            borrows_since=since,
            borrowed_core_seconds=before.borrowed_core_seconds + borrowed.cores,
            borrowed_gpu_seconds=before.borrowed_gpu_seconds + borrowed.gpus,
            lent_core_seconds=before.lent_core_seconds + lent.cores,
            lent_gpu_seconds=before.lent_gpu_seconds + lent.gpus,
        )

    def _of(self, team: str) -> LoanAccount:
        """The account as it is now; recalls are counted in the ledger at once."""
        kept = self.ledger.state.loan_state.accounts.get(team) or LoanAccount(team)
        changed = self._changed.get(team)
        return replace(changed, met=kept.met, late=kept.late) if changed is not None else kept

    def _keep(self) -> None:
        """Proposes what changed; it rides with whatever else is committed."""
        for team in self._changed:
            self.ledger.propose(self._of(team).record())
        self._changed = {}

    def _uses(self, waiting: dict[str, Amounts]) -> list[TeamUse]:
        return [
            TeamUse(
                team,
                self.term.quota(team),
                self.term.team_usage(team),
                waiting.get(team, NOTHING),
            )
            for team in self.settings.teams
        ]

    def answer(self, answer: Answer) -> None:
        """The page of loans, after leadership is confirmed."""

        def told(leading: bool) -> None:
            if leading and self.term.active:
                answer(200, msgspec.to_builtins(self._page()))
            else:
                answer(503, None)

        self.ledger.confirm_leadership(told)

    def _page(self) -> Any:
        waiting: dict[str, Amounts] = {}
        for job in self.jobs.queue.pending_jobs():
            team = job.spec.team
            waits = amounts_of(job.spec, job.pending_count)
            waiting[team] = waiting.get(team, NOTHING).plus(waits)
        book = self.ledger.state
        recalls = [
            (recall, book.jobs[recall.job].spec.ref)
            for recall in book.loan_state.reclaims.values()
            if recall.job in book.jobs
        ]
        accounts = team_accounts(self._uses(waiting))
        kept = {team: self._of(team) for team in accounts}
        return page(self.term.number, accounts, kept, recalls)
