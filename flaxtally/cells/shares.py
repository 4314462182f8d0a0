"""How a team's limit is divided among cells, in cores and GPUs. Performs no I/O.

The shares of a team never sum to more than its limit. `with_transfer` moves an amount from one cell
to another in a single record; `with_growth` assigns to a cell what no cell has yet.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..settings import Team

EMPTY_SHARE = 1e-9
"""Cores or GPUs that stand for an empty share: in a team's settings 0 would mean "no limit"."""
TOLERANCE = 1e-6
"""Cores or GPUs by which amounts may differ because of rounding."""


class Amount(NamedTuple):
    """An amount of cores and GPUs, which may be negative."""

    cores: float
    gpus: float

    def __add__(self, other: object) -> Amount:
        assert isinstance(other, tuple)
        return Amount(self.cores + other[0], self.gpus + other[1])

    def minus(self, other: Amount) -> Amount:
        return Amount(self.cores - other.cores, self.gpus - other.gpus)

    def at_most(self, other: Amount) -> Amount:
        return Amount(min(self.cores, other.cores), min(self.gpus, other.gpus))

    def at_least_zero(self) -> Amount:
        return Amount(max(0.0, self.cores), max(0.0, self.gpus))

    def times(self, factor: float) -> Amount:
        return Amount(self.cores * factor, self.gpus * factor)

    def is_within(self, other: Amount) -> bool:
        """Whether neither resource exceeds the other amount's, apart from rounding."""
        return self.cores <= other.cores + TOLERANCE and self.gpus <= other.gpus + TOLERANCE

    @property
    def is_zero(self) -> bool:
        return self.cores <= TOLERANCE and self.gpus <= TOLERANCE


ZERO = Amount(0.0, 0.0)


class ShareError(Exception):
    """A change was refused because it would break the invariant of the shares."""


class TeamShares(msgspec.Struct, frozen=True):
    """A team's shares and requests by cell, as stored at the state service."""

    of: dict[str, Amount]
    """The share of each cell."""
    wants: dict[str, Amount] = {}
    """What cells request in addition to their shares."""

    def get_share(self, cell: str) -> Amount:
        return self.of.get(cell, ZERO)

    @property
    def total(self) -> Amount:
        total = ZERO
        for share in self.of.values():
            total += share
        return total

    def check(self, limit: Amount) -> None:
        """Raises `ShareError` if a share is negative or their sum exceeds the limit."""
        for cell, share in self.of.items():
            if share.cores < -TOLERANCE or share.gpus < -TOLERANCE:
                raise ShareError(
                    f"cell {cell}: share {tuple(share)} is negative; expected 0 or more"
                )
        if not self.total.is_within(limit):
            raise ShareError(f"shares sum to {tuple(self.total)}, above the limit {tuple(limit)}")

    def with_transfer(self, source_cell: str, target_cell: str, amount: Amount) -> TeamShares:
        """Moves an amount to another cell's share, and reduces that cell's request by it."""
        if source_cell == target_cell or not amount.is_within(self.get_share(source_cell)):
            raise ShareError(
                f"cell {source_cell} can't transfer {tuple(amount)} to {target_cell}: "
                f"its share is {tuple(self.get_share(source_cell))}"
            )
        wants = dict(self.wants)
        remaining_want = wants.pop(target_cell, ZERO).minus(amount).at_least_zero()
        if not remaining_want.is_zero:
            wants[target_cell] = remaining_want
        of = {
            **self.of,
            source_cell: self.get_share(source_cell).minus(amount).at_least_zero(),
            target_cell: self.get_share(target_cell) + amount,
        }
        return TeamShares(of, wants)

    def with_growth(self, cell: str, amount: Amount) -> TeamShares:
        """Adds to a cell's share an amount that no cell has, as after the limit was raised."""
        return TeamShares({**self.of, cell: self.get_share(cell) + amount}, self.wants)

    def with_want(self, cell: str, amount: Amount) -> TeamShares:
        """Replaces the cell's request; the shares stay the same."""
        wants = {name: want for name, want in self.wants.items() if name != cell}
        if not amount.is_zero:
            wants[cell] = amount
        return TeamShares(self.of, wants)


def get_team_limit(team: Team) -> Amount:
    """Returns a team's limit; an unlimited resource counts as 0 and is not divided."""
    return Amount(team.cores_max, team.gpus_max)


def build_equal_shares(team: Team, cells: list[str]) -> TeamShares:
    """Builds the initial shares, which are the same for each cell."""
    return TeamShares({cell: get_team_limit(team).times(1 / len(cells)) for cell in cells})


def limit_team_to_share(team: Team, shares: TeamShares, share: Amount) -> Team:
    """Builds the team as a cell sees it: the limit is the cell's share of it.

    The guarantee is reduced by the same ratio. Shares that were divided under a higher limit than
    the present one shrink in proportion.
    """
    limit = get_team_limit(team)

    def scale_to_limit(of_limit: float, of_total: float, cell_share: float) -> float:
        return cell_share * min(1.0, of_limit / of_total) if of_total else 0.0

    cores = scale_to_limit(limit.cores, shares.total.cores, share.cores)
    gpus = scale_to_limit(limit.gpus, shares.total.gpus, share.gpus)
    return Team(
        team.name,
        team.cores * (cores / limit.cores if limit.cores else 1.0),
        max(cores, EMPTY_SHARE) if limit.cores else 0.0,
        team.gpus * (gpus / limit.gpus if limit.gpus else 1.0),
        max(gpus, EMPTY_SHARE) if limit.gpus else 0.0,
    )
