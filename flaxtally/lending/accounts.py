"""What the teams use, borrow and lend, and what they owe each other. No I/O.

No loan is stored: all of this follows from placements and settings. What is borrowed in total is
lent by the teams with unused quota, each in proportion to what it leaves unused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from .entitlement import NO_RESOURCES, Amounts, Quota

if TYPE_CHECKING:
    from collections.abc import Iterable


class TeamUsage(NamedTuple):
    """What a team's account is computed from."""

    team: str
    quota: Quota
    use: Amounts
    waiting: Amounts


@dataclass(frozen=True)
class TeamAccount:
    """A team's quota, what it uses and waits for, and what it lends and borrows."""

    team: str
    quota: Quota
    use: Amounts
    waiting: Amounts
    lends: Amounts
    borrows: Amounts


class Pair(NamedTuple):
    """A lender and a borrower."""

    lender: str
    borrower: str


def compute_team_accounts(teams: Iterable[TeamUsage]) -> dict[str, TeamAccount]:
    """The account of each team."""
    teams = list(teams)
    borrowed = {entry.team: entry.quota.borrowed(entry.use) for entry in teams}
    unused = {entry.team: entry.quota.unused(entry.use) for entry in teams}
    lent_share = _lent_share(_total(borrowed.values()), _total(unused.values()))
    return {
        entry.team: TeamAccount(
            entry.team,
            entry.quota,
            entry.use,
            entry.waiting,
            _scaled(unused[entry.team], lent_share),
            borrowed[entry.team],
        )
        for entry in teams
    }


def compute_loans(accounts: dict[str, TeamAccount]) -> dict[Pair, Amounts]:
    """What each borrower owes to each lender; pairs that owe nothing are left out."""
    total = _total(account.borrows for account in accounts.values())
    loans: dict[Pair, Amounts] = {}
    for lender in accounts.values():
        for borrower in accounts.values():
            owed = _owed(lender.lends, borrower.borrows, total)
            if any(owed):
                loans[Pair(lender.team, borrower.team)] = owed
    return loans


def _owed(lends: Amounts, borrows: Amounts, total_borrowed: Amounts) -> Amounts:
    """The part of what is lent that falls to a borrower, by its share of all that is borrowed."""
    return Amounts(
        *(
            lent * borrowed / total if total else 0.0
            for lent, borrowed, total in zip(lends, borrows, total_borrowed, strict=True)
        )
    )


def _total(amounts: Iterable[Amounts]) -> Amounts:
    total = NO_RESOURCES
    for each in amounts:
        total = total.plus(each)
    return total


def _lent_share(borrowed: Amounts, unused: Amounts) -> Amounts:
    """Which part of the unused quotas is lent."""
    return Amounts(*(min(1.0, b / u) if u else 0.0 for b, u in zip(borrowed, unused, strict=True)))


def _scaled(amounts: Amounts, share: Amounts) -> Amounts:
    return Amounts(amounts.cores * share.cores, amounts.gpus * share.gpus)
