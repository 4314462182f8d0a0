"""Determines which teams are within their quota and which ones borrow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...lending.entitlement import Amounts, ReclaimBudget, compute_amounts
from ...protocol import formats, wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...lending.feature import LendingFeature
    from ..commands import CommandSender
    from .open_reclaims import OpenReclaims


class QuotaAccounting(TermActor):
    """Compares the teams' usage with their quotas, including what open reclaims will change."""

    def __init__(
        self,
        term: Term,
        commands: CommandSender,
        open_reclaims: OpenReclaims,
        feature: LendingFeature | None,
    ) -> None:
        """`feature`: None if lending is not configured."""
        super().__init__(term)
        self._commands = commands
        self._open_reclaims = open_reclaims
        self._feature = feature

    @property
    def is_configured(self) -> bool:
        """Whether this controller's features file enables lending."""
        return self._feature is not None

    @property
    def is_enabled(self) -> bool:
        """Whether reclaims may start: all configured controllers can read their records."""
        return self._feature is not None and self.ledger.state.format >= formats.LENDING

    def make_reclaim_budget(self) -> ReclaimBudget:
        """Returns the budget of one decision: what may be taken from the teams now."""
        return ReclaimBudget(self.term.get_quota, self._compute_staying_usage)

    def find_borrowers(self) -> frozenset[str]:
        """Returns the teams that use more than their quota: only they can lose capacity."""
        return frozenset(
            team
            for team in self.ledger.state.usage_by_team
            if not self.term.get_quota(team).covers(self._compute_staying_usage(team))
        )

    def _compute_staying_usage(self, team: str) -> Amounts:
        """Returns the usage of a team's tasks that are neither stopping nor chosen to stop."""
        not_stopping = self._commands.stopping_tasks.compute_usage_not_stopping(team)
        return not_stopping.minus(self._open_reclaims.get_chosen_usage(team))

    def is_entitled(self, job: Job) -> bool:
        """Whether one more task of the job, or its whole gang, is within its team's quota."""
        spec = job.spec
        lenders = self._feature.lenders if self._feature is not None else frozenset()
        if lenders and spec.team not in lenders:
            return False
        promised = self._open_reclaims.get_promised(spec.team)
        usage = self.term.compute_team_usage(spec.team).plus(promised)
        task_count = spec.tasks if spec.job_kind == wire.GANG else 1
        return self.term.get_quota(spec.team).covers(usage.plus(compute_amounts(spec, task_count)))

    def is_within_quota(self, team: str, added: Amounts) -> bool:
        """Whether the team's usage plus the added amount is within its quota."""
        return self.term.get_quota(team).covers(self.term.compute_team_usage(team).plus(added))
