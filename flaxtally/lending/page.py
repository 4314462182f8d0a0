"""The operators' page of loans: its content in the leader's reply, and as text.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..ledger.reclaims import LoanAccount, Reclaim
from .accounts import TeamAccount, compute_loans

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .entitlement import Amounts

MAX_ROWS = 100
"""Rows of each list: the page must fit into a response of 64 KiB."""


class TeamRow(msgspec.Struct):
    """A team's amounts as (cores, GPUs). `guarantee`: its quota; null means no limit."""

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
    """The cores and GPUs that a borrower owes a lender."""

    lender: str
    borrower: str
    cores: float
    gpus: float


class ReclaimRow(msgspec.Struct):
    """An open reclaim. Times are in seconds since the epoch."""

    id: str
    lender: str
    job: str
    machine: str
    decided_at: float
    deadline: float
    stops: int


class LoansPage(msgspec.Struct):
    """The page; each list has at most `MAX_ROWS` rows, the most important ones."""

    term: int
    teams: list[TeamRow]
    loans: list[LoanRow]
    recalls: list[ReclaimRow]
    left_out: int = 0
    """The number of rows that did not fit."""


def build_page(
    term: int,
    accounts: dict[str, TeamAccount],
    stored: dict[str, LoanAccount],
    reclaims: Iterable[tuple[Reclaim, str]],
) -> LoansPage:
    """Builds the page.

    `accounts`: as computed now; `stored`: the totals over time; `reclaims`: with their job's id.
    """
    teams = [_build_team_row(account, stored.get(team)) for team, account in accounts.items()]
    teams.sort(key=lambda row: (-row.borrows[1], -row.borrows[0], row.team))
    loans = [
        LoanRow(*pair, *_round_amounts(owed)) for pair, owed in compute_loans(accounts).items()
    ]
    loans.sort(key=lambda row: (-row.gpus, -row.cores, row.lender, row.borrower))
    open_reclaims = [_build_reclaim_row(reclaim, job_id) for reclaim, job_id in reclaims]
    open_reclaims.sort(key=lambda row: row.deadline)
    return LoansPage(
        term,
        teams[:MAX_ROWS],
        loans[:MAX_ROWS],
        open_reclaims[:MAX_ROWS],
        left_out=sum(max(0, len(rows) - MAX_ROWS) for rows in (teams, loans, open_reclaims)),
    )


def _build_team_row(account: TeamAccount, stored: LoanAccount | None) -> TeamRow:
    totals = stored or LoanAccount(account.team)
    cores, gpus = account.quota.amounts
    return TeamRow(
        team=account.team,
        guarantee=(_finite_or_none(cores), _finite_or_none(gpus)),
        use=_round_amounts(account.usage),
        waiting=_round_amounts(account.waiting),
        lends=_round_amounts(account.lends),
        borrows=_round_amounts(account.borrows),
        borrows_since=totals.borrows_since or None,
        borrowed_gpu_s=round(totals.borrowed_gpu_seconds, 1),
        lent_gpu_s=round(totals.lent_gpu_seconds, 1),
        recalls_met=totals.met,
        recalls_late=totals.late,
    )


def _build_reclaim_row(reclaim: Reclaim, job_id: str) -> ReclaimRow:
    return ReclaimRow(
        reclaim.id,
        reclaim.lender,
        job_id,
        reclaim.machine,
        reclaim.decided_at,
        reclaim.deadline,
        len(reclaim.borrowed),
    )


def _finite_or_none(amount: float) -> float | None:
    return amount if amount < float("inf") else None


def _round_amounts(amounts: Amounts) -> tuple[float, float]:
    return round(amounts.cores, 2), round(amounts.gpus, 2)


def format_page(page: LoansPage) -> str:
    """Formats the page as the command line prints it."""
    lines = ["GPUs: team  guarantee       use   waiting     lends   borrows  recalls met/late"]
    lines += [_format_team(row) for row in page.teams]
    lines += [
        f"{row.borrower} owes {row.lender}: {row.gpus:g} GPUs, {row.cores:g} cores"
        for row in page.loans
    ]
    lines += [
        f"{row.id}: {row.lender} for {row.job} on {row.machine}, {row.stops} tasks give way, "
        f"due at {row.deadline:.1f}"
        for row in page.recalls
    ]
    if page.left_out:
        lines.append(f"({page.left_out} rows left out)")
    return "\n".join(lines)


def _format_team(row: TeamRow) -> str:
    quota = "-" if row.guarantee[1] is None else f"{row.guarantee[1]:g}"
    amounts = (row.use, row.waiting, row.lends, row.borrows)
    figures = "".join(f"{gpus:10.4g}" for _, gpus in amounts)
    return f"{row.team:<10} {quota:>10} {figures}  {row.recalls_met}/{row.recalls_late}"
