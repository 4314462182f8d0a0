"""What a team is entitled to, and what may be reclaimed from it. No I/O.

A team's *quota* covers its use up to an amount of each resource; operators' pages call it the
guarantee. Use beyond it is *borrowed*: from the unused quota of the *lenders*, as far as that
reaches. Two rules follow:

- Work of another team is stopped only while that team stays at or above its quota in a resource
  that the work takes: whatever it then lacks is beyond its quota.
- A pending task is *entitled* to capacity if the team's use with it is within the quota, in every
  resource.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ..planning.placement import SLACK

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..settings import Team


class Amounts(NamedTuple):
    """An amount of each resource."""

    cores: float
    gpus: float

    def plus(self, other: Amounts) -> Amounts:
        """The sum of each resource."""
        return Amounts(self.cores + other.cores, self.gpus + other.gpus)

    def minus(self, other: Amounts) -> Amounts:
        """The difference of each resource, which may be negative."""
        return Amounts(self.cores - other.cores, self.gpus - other.gpus)

    def times(self, factor: float) -> Amounts:
        """Each resource multiplied."""
        return Amounts(self.cores * factor, self.gpus * factor)


NO_RESOURCES = Amounts(0.0, 0.0)


def compute_amounts(spec: wire.Spec, task_count: int = 1) -> Amounts:
    """What so many tasks of a job take."""
    return Amounts(spec.cores * task_count, spec.gpus * task_count)


@dataclass(frozen=True)
class Quota:
    """What a team may use of each resource; infinite where the settings bound only others."""

    amounts: Amounts
    is_granted: bool
    """Whether the team has a quota at all; without one all that it uses is borrowed."""

    @classmethod
    def from_settings(cls, team: Team | None) -> Quota:
        """The quota in the settings; an unknown team has none."""
        if team is None or not (team.cores or team.gpus):
            return cls(NO_RESOURCES, is_granted=False)
        return cls(Amounts(team.cores or math.inf, team.gpus or math.inf), is_granted=True)

    def covers(self, use: Amounts) -> bool:
        """Whether that much use is within the quota in every resource."""
        return (
            self.is_granted
            and use.cores <= self.amounts.cores + SLACK
            and use.gpus <= self.amounts.gpus + SLACK
        )

    def is_preserved(self, use: Amounts, taken: Amounts) -> bool:
        """Whether `use` is at or above the quota in a resource of what was `taken` from it.

        What alone is more than the quota (a large gang) was never within it.
        """
        return not self.covers(taken) or any(
            amount > 0 and used >= granted - SLACK
            for amount, used, granted in zip(taken, use, self.amounts, strict=True)
        )

    def borrowed(self, use: Amounts) -> Amounts:
        """The use beyond the quota."""
        return Amounts(*(max(0.0, u - q) for u, q in zip(use, self.amounts, strict=True)))

    def unused(self, use: Amounts) -> Amounts:
        """The part of the quota that is not used; nothing where it is unbounded."""
        return Amounts(
            *(
                max(0.0, q - u) if math.isfinite(q) else 0.0
                for u, q in zip(use, self.amounts, strict=True)
            )
        )


class ReclaimBudget:
    """What may be taken from the teams in one decision, which may stop several tasks."""

    def __init__(self, quota_of: Callable[[str], Quota], use_of: Callable[[str], Amounts]) -> None:
        """`use_of`: what a team uses, without what is being stopped already."""
        self._quota_of = quota_of
        self._use_of = use_of
        self._remaining_use: dict[str, Amounts] = {}

    def can_take(self, team: str, taken: Amounts) -> bool:
        """Whether the team keeps its quota when that much is stopped too."""
        return self._quota_of(team).is_preserved(self._use_without(team, taken), taken)

    def try_take(self, team: str, taken: Amounts) -> bool:
        """The same, and counts it as stopped if the team keeps its quota."""
        if not self.can_take(team, taken):
            return False
        self._remaining_use[team] = self._use_without(team, taken)
        return True

    def _use_without(self, team: str, taken: Amounts) -> Amounts:
        """What the team would use then."""
        return (self._remaining_use.get(team) or self._use_of(team)).minus(taken)
