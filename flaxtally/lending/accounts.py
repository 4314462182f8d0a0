"""Computes what the teams use, borrow and lend, and what they owe each other. Performs no I/O.

Loans are not stored: they follow from placements and settings. The teams with unused quota lend
what is borrowed in total, each in proportion to its unused quota.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from .entitlement import NO_RESOURCES, Amounts, Quota

if TYPE_CHECKING:
    from collections.abc import Iterable


class TeamUsage(NamedTuple):
    """The figures from which a team's account is computed."""

    team: str
    quota: Quota
    usage: Amounts
    waiting: Amounts


@dataclass(frozen=True)
class TeamAccount:
    """A team's quota, what it uses and waits for, and what it lends and borrows."""

    team: str
    quota: Quota
    usage: Amounts
    waiting: Amounts
    lends: Amounts
    borrows: Amounts


class LoanParties(NamedTuple):
    """The lender and the borrower of a loan."""

    lender: str
    borrower: str


def compute_team_accounts(teams: Iterable[TeamUsage]) -> dict[str, TeamAccount]:
    """Returns the account of each team, by name."""
    teams = list(teams)
    borrowed = {entry.team: entry.quota.compute_borrowed(entry.usage) for entry in teams}
    unused = {entry.team: entry.quota.compute_unused(entry.usage) for entry in teams}
    lent_fraction = _compute_lent_fraction(
        _sum_amounts(borrowed.values()), _sum_amounts(unused.values())
    )
    return {
        entry.team: TeamAccount(
            entry.team,
            entry.quota,
            entry.usage,
            entry.waiting,
            _scale_amounts(unused[entry.team], lent_fraction),
            borrowed[entry.team],
        )
        for entry in teams
    }


def compute_loans(accounts: dict[str, TeamAccount]) -> dict[LoanParties, Amounts]:
    """Returns what each borrower owes to each lender; pairs without a loan are left out."""
    total = _sum_amounts(account.borrows for account in accounts.values())
    loans: dict[LoanParties, Amounts] = {}
    for lender in accounts.values():
        for borrower in accounts.values():
            owed = _compute_owed(lender.lends, borrower.borrows, total)
            if any(owed):
                loans[LoanParties(lender.team, borrower.team)] = owed
    return loans


def _compute_owed(lends: Amounts, borrows: Amounts, total_borrowed: Amounts) -> Amounts:
    """Returns a borrower's part of what a team lends, in proportion to its part of all loans."""
    return Amounts(
        *(
            lent * borrowed / total if total else 0.0
            for lent, borrowed, total in zip(lends, borrows, total_borrowed, strict=True)
        )
    )


def _sum_amounts(amounts: Iterable[Amounts]) -> Amounts:
    total = NO_RESOURCES
    for amount in amounts:
        total = total.plus(amount)
    return total


def _compute_lent_fraction(borrowed: Amounts, unused: Amounts) -> Amounts:
    """Returns the fraction of the unused quotas that is lent, for each resource."""
    return Amounts(*(min(1.0, b / u) if u else 0.0 for b, u in zip(borrowed, unused, strict=True)))


def _scale_amounts(amounts: Amounts, fraction: Amounts) -> Amounts:
    return Amounts(amounts.cores * fraction.cores, amounts.gpus * fraction.gpus)
