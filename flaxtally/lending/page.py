"""The operators' page of loans: what a leader answers, and how it is printed. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..ledger.reclaims import LoanAccount, Reclaim
from .accounts import TeamAccount, loans

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .entitlement import Amounts

MOST_ROWS = 100
"""Of each list: an answer must fit into a response's 64 KiB."""


class TeamRow(msgspec.Struct):
    """What a team has, in cores and GPUs; of the guarantee null is unbounded."""

    team: str
    guarantee: tuple[float | None, float | None]
    use: tuple[float, float]
    waiting: tuple[float, float]
    lends: tuple[float, float]
    borrows: tuple[float, float]
    borrows_since: float | None
    borrowed_gpu_s: float
    lent_gpu_s: float
    recalls_met: int
    recalls_late: int


class LoanRow(msgspec.Struct):
    """What a borrower owes a lender, in cores and GPUs."""

    lender: str
    borrower: str
    cores: float
    gpus: float


class RecallRow(msgspec.Struct):
    """A recall that is not over. Times are of the day."""

    id: str
    lender: str
    job: str
    machine: str
    decided_at: float
    deadline: float
    stops: int


class LoansPage(msgspec.Struct):
    """All of it, each list cut to its most telling rows."""

    term: int
    teams: list[TeamRow]
    loans: list[LoanRow]
    recalls: list[RecallRow]
    left_out: int = 0
    """Rows that did not fit."""


def page(
    term: int,
    accounts: dict[str, TeamAccount],
    kept: dict[str, LoanAccount],
    recalls: Iterable[tuple[Reclaim, str]],
) -> LoansPage:
    """The page, from the teams' accounts, those in the ledger, and recalls with their job's id."""
    teams = [_team_row(account, kept.get(team)) for team, account in accounts.items()]
    teams.sort(key=lambda row: (-row.borrows[1], -row.borrows[0], row.team))
    owed = [LoanRow(*pair, *_rounded(amounts)) for pair, amounts in loans(accounts).items()]
    owed.sort(key=lambda row: (-row.gpus, -row.cores, row.lender, row.borrower))
    under_way = [_recall_row(recall, ref) for recall, ref in recalls]
    under_way.sort(key=lambda row: row.deadline)
    left_out = sum(max(0, len(rows) - MOST_ROWS) for rows in (teams, owed, under_way))
    return LoansPage(term, teams[:MOST_ROWS], owed[:MOST_ROWS], under_way[:MOST_ROWS], left_out)


def _team_row(account: TeamAccount, kept: LoanAccount | None) -> TeamRow:
    kept = kept or LoanAccount(account.team)
    cores, gpus = account.guarantee.amounts
    return TeamRow(
        team=account.team,
        guarantee=(_finite(cores), _finite(gpus)),
        use=_rounded(account.use),
        waiting=_rounded(account.waiting),
        lends=_rounded(account.lends),
        borrows=_rounded(account.borrows),
        borrows_since=kept.borrows_since or None,
        borrowed_gpu_s=round(kept.borrowed_gpu_seconds, 1),
        lent_gpu_s=round(kept.lent_gpu_seconds, 1),
        recalls_met=kept.met,
        recalls_late=kept.late,
    )


def _recall_row(recall: Reclaim, ref: str) -> RecallRow:
    return RecallRow(
        recall.id,
        recall.lender,
        ref,
        recall.machine,
        recall.decided_at,
        recall.deadline,
        len(recall.borrowed),
    )


def _finite(amount: float) -> float | None:
    return amount if amount < float("inf") else None


def _rounded(amounts: Amounts) -> tuple[float, float]:
    return round(amounts.cores, 2), round(amounts.gpus, 2)


def text(found: LoansPage) -> str:
    """The page as operators read it."""
    lines = ["GPUs: team  guarantee       use   waiting     lends   borrows  recalls met/late"]
    for row in found.teams:
        guaranteed = "-" if row.guarantee[1] is None else f"{row.guarantee[1]:g}"
        amounts = (row.use, row.waiting, row.lends, row.borrows)
        figures = "".join(f"{gpus:10.4g}" for _, gpus in amounts)
        lines.append(
            f"{row.team:<10} {guaranteed:>10} {figures}  {row.recalls_met}/{row.recalls_late}"
        )
    lines += [
        f"{row.borrower} owes {row.lender}: {row.gpus:g} GPUs, {row.cores:g} cores"
        for row in found.loans
    ]
    lines += [
        f"{row.id}: {row.lender} for {row.job} on {row.machine}, {row.stops} tasks give way, "
        f"due at {row.deadline:.1f}"
        for row in found.recalls
    ]
    if found.left_out:
        lines.append(f"({found.left_out} rows left out)")
    return "\n".join(lines)
