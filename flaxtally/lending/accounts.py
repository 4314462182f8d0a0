"""Who lends to whom: what the teams use, borrow and lend, and what they owe each other. Pure.

No loan is stored: all of this follows from placements and settings. What is borrowed in total is
lent by the teams with unused guarantee, each in proportion to what it leaves unused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from .entitlement import NOTHING, Amounts, Guarantee

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True)
class TeamAccount:
    """A team's guarantee, and what it uses and waits for."""

    team: str
    guarantee: Guarantee
    use: Amounts
    waiting: Amounts
    lends: Amounts
    borrows: Amounts


class Pair(NamedTuple):
    """A lender and a borrower."""

    lender: str
    borrower: str


class TeamUse(NamedTuple):
    """What the accounts are reckoned from."""

    team: str
    guarantee: Guarantee
    use: Amounts
    waiting: Amounts


def team_accounts(teams: Iterable[TeamUse]) -> dict[str, TeamAccount]:
    """The account of each team."""
    teams = list(teams)
    borrowed = {entry.team: entry.guarantee.borrowed(entry.use) for entry in teams}
    unused = {entry.team: entry.guarantee.unused(entry.use) for entry in teams}
    share = _lent_share(_total(borrowed.values()), _total(unused.values()))
    return {
        entry.team: TeamAccount(
            entry.team,
            entry.guarantee,
            entry.use,
            entry.waiting,
            _scaled(unused[entry.team], share),
            borrowed[entry.team],
        )
        for entry in teams
    }


def loans(accounts: dict[str, TeamAccount]) -> dict[Pair, Amounts]:
    """What each borrower owes to each lender; pairs that owe nothing are left out."""
    owed = _total(account.borrows for account in accounts.values())
    found: dict[Pair, Amounts] = {}
    for lender in accounts.values():
        for borrower in accounts.values():
            amounts = Amounts(
                *(
                    lent * borrowed / total if total else 0.0
                    for lent, borrowed, total in zip(
                        lender.lends, borrower.borrows, owed, strict=True
                    )
                )
            )
            if any(amounts):
                found[Pair(lender.team, borrower.team)] = amounts
    return found


def _total(amounts: Iterable[Amounts]) -> Amounts:
    total = NOTHING
    for each in amounts:
        total = total.plus(each)
    return total


def _lent_share(borrowed: Amounts, unused: Amounts) -> Amounts:
    """Which part of the unused guarantees is lent."""
    return Amounts(*(min(1.0, b / u) if u else 0.0 for b, u in zip(borrowed, unused, strict=True)))


def _scaled(amounts: Amounts, share: Amounts) -> Amounts:
    return Amounts(amounts.cores * share.cores, amounts.gpus * share.gpus)
