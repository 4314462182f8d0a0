"""How a team's limit is divided among cells. Pure arithmetic, in cores and GPUs.

The shares of a team never sum to more than its limit. They change only by `moved`, which takes as
much as it gives, in one record.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..settings import Team

NOTHING = 1e-9
"""A share of a limited resource that holds no task: in a team's settings 0 means "no limit"."""
TOLERANCE = 1e-6


class Amount(NamedTuple):
    """Cores and GPUs."""

    cores: float
    gpus: float

    def __add__(self, other: object) -> Amount:
        assert isinstance(other, tuple)
        return Amount(self.cores + other[0], self.gpus + other[1])

    def minus(self, other: Amount) -> Amount:
        return Amount(self.cores - other.cores, self.gpus - other.gpus)

    def at_most(self, other: Amount) -> Amount:
        return Amount(min(self.cores, other.cores), min(self.gpus, other.gpus))

    def at_least_nothing(self) -> Amount:
        return Amount(max(0.0, self.cores), max(0.0, self.gpus))

    def times(self, factor: float) -> Amount:
        return Amount(self.cores * factor, self.gpus * factor)

    def within(self, other: Amount) -> bool:
        """Whether neither is more than the other's, but for rounding."""
        return self.cores <= other.cores + TOLERANCE and self.gpus <= other.gpus + TOLERANCE

    @property
    def is_nothing(self) -> bool:
        return self.cores <= TOLERANCE and self.gpus <= TOLERANCE


ZERO = Amount(0.0, 0.0)


class ShareError(Exception):
    """Shares that break their invariant; nothing is changed."""


class TeamShares(msgspec.Struct, frozen=True):
    """A team's shares by cell, and what cells want besides theirs. As kept at the state service."""

    of: dict[str, Amount]
    wants: dict[str, Amount] = {}

    def share(self, cell: str) -> Amount:
        return self.of.get(cell, ZERO)

    @property
    def total(self) -> Amount:
        whole = ZERO
        for share in self.of.values():
            whole += share
        return whole

    def check(self, limit: Amount) -> None:
        """Raises `ShareError` if a share is negative, or all together are above the limit."""
        for cell, share in self.of.items():
            if share.cores < -TOLERANCE or share.gpus < -TOLERANCE:
                raise ShareError(f"cell {cell}: a share is below nothing")
        if not self.total.within(limit):
            raise ShareError(f"shares are {tuple(self.total)}, above the limit {tuple(limit)}")

    def moved(self, giver: str, taker: str, amount: Amount) -> TeamShares:
        """Takes from one cell and gives to another; the taker wants that much less."""
        if giver == taker or not amount.within(self.share(giver)):
            raise ShareError(f"cell {giver} can't give {tuple(amount)}")
        wants = dict(self.wants)
        left = wants.pop(taker, ZERO).minus(amount).at_least_nothing()
        if not left.is_nothing:
            wants[taker] = left
        of = {
            **self.of,
            giver: self.share(giver).minus(amount).at_least_nothing(),
            taker: self.share(taker) + amount,
        }
        return TeamShares(of, wants)

    def grown(self, cell: str, amount: Amount) -> TeamShares:
        """The cell takes of what no cell has: a limit that was raised has more than the shares."""
        return TeamShares({**self.of, cell: self.share(cell) + amount}, self.wants)

    def with_want(self, cell: str, amount: Amount) -> TeamShares:
        """The same shares; the cell wants so much more."""
        wants = {name: want for name, want in self.wants.items() if name != cell}
        if not amount.is_nothing:
            wants[cell] = amount
        return TeamShares(self.of, wants)


def get_team_limit(team: Team) -> Amount:
    """A team's limit; what is not limited counts as 0 and is not divided."""
    return Amount(team.cores_max, team.gpus_max)


def build_equal_shares(team: Team, cells: list[str]) -> TeamShares:
    """The shares of the beginning: as much for each."""
    return TeamShares({cell: get_team_limit(team).times(1 / len(cells)) for cell in cells})


def share_as_team(team: Team, shares: TeamShares, share: Amount) -> Team:
    """The team as a cell sees it: its share is its limit, of its guarantee it has as large a part.

    Shares that were divided under a higher limit than the present one shrink with it.
    """
    limit = get_team_limit(team)

    def part(of_limit: float, of_total: float, mine: float) -> float:
        return mine * min(1.0, of_limit / of_total) if of_total else 0.0

    cores = part(limit.cores, shares.total.cores, share.cores)
    gpus = part(limit.gpus, shares.total.gpus, share.gpus)
    return Team(
        team.name,
        team.cores * (cores / limit.cores if limit.cores else 1.0),
        max(cores, NOTHING) if limit.cores else 0.0,
        team.gpus * (gpus / limit.gpus if limit.gpus else 1.0),
        max(gpus, NOTHING) if limit.gpus else 0.0,
    )
