"""Decides what a team is entitled to, and what may be reclaimed from it. Performs no I/O.

A team's *quota* covers its usage up to an amount of each resource; operators' pages call it the
guarantee. Usage beyond the quota is *borrowed* from the unused quota of the *lenders*, as far as
that suffices. Two rules follow:

- Tasks of another team are stopped only while that team stays at or above its quota in a resource
  that they use: it then loses only what it uses beyond its quota.
- A pending task is *entitled* to capacity if its team's usage including the task is within the
  quota, in every resource.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ..planning.placement import RESOURCE_TOLERANCE

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..settings import Team


class Amounts(NamedTuple):
    """An amount of each resource that quotas limit."""

    cores: float
    gpus: float

    def plus(self, other: Amounts) -> Amounts:
        """Returns the sum of each resource."""
        return Amounts(self.cores + other.cores, self.gpus + other.gpus)

    def minus(self, other: Amounts) -> Amounts:
        """Returns the difference of each resource, which may be negative."""
        return Amounts(self.cores - other.cores, self.gpus - other.gpus)

    def times(self, factor: float) -> Amounts:
        """Returns each resource multiplied by a factor."""
        return Amounts(self.cores * factor, self.gpus * factor)


NO_RESOURCES = Amounts(0.0, 0.0)


def compute_amounts(spec: wire.Spec, task_count: int = 1) -> Amounts:
    """Returns the resources that `task_count` tasks of a job use."""
    return Amounts(spec.cores * task_count, spec.gpus * task_count)


@dataclass(frozen=True)
class Quota:
    """A team's quota of each resource; infinite for one that the settings don't limit."""

    amounts: Amounts
    is_granted: bool
    """Whether the settings give the team a quota; without one all its usage is borrowed."""

    @classmethod
    def from_settings(cls, team: Team | None) -> Quota:
        """Returns a team's quota in the settings; an unknown team has none."""
        if team is None or not (team.cores or team.gpus):
            return cls(NO_RESOURCES, is_granted=False)
        return cls(Amounts(team.cores or math.inf, team.gpus or math.inf), is_granted=True)

    def covers(self, usage: Amounts) -> bool:
        """Whether the usage is within the quota in every resource."""
        return (
            self.is_granted
            and usage.cores <= self.amounts.cores + RESOURCE_TOLERANCE
            and usage.gpus <= self.amounts.gpus + RESOURCE_TOLERANCE
        )

    def is_preserved(self, usage: Amounts, taken: Amounts) -> bool:
        """Whether a team keeps its quota if `taken` is stopped and `usage` remains.

        It does if the usage is at or above the quota in a resource of what was taken. Work that by
        itself exceeds the quota (a large gang) was never covered by it, and may always be taken.
        """
        return not self.covers(taken) or any(
            amount > 0 and used >= granted - RESOURCE_TOLERANCE
            for amount, used, granted in zip(taken, usage, self.amounts, strict=True)
        )

    def compute_borrowed(self, usage: Amounts) -> Amounts:
        """Returns the usage beyond the quota."""
        return Amounts(*(max(0.0, u - q) for u, q in zip(usage, self.amounts, strict=True)))

    def compute_unused(self, usage: Amounts) -> Amounts:
        """Returns the part of the quota that is not used; zero for a resource without a limit."""
        return Amounts(
            *(
                max(0.0, q - u) if math.isfinite(q) else 0.0
                for u, q in zip(usage, self.amounts, strict=True)
            )
        )


class ReclaimBudget:
    """Limits what one decision, which may stop several tasks, takes from the teams."""

    def __init__(
        self, get_quota: Callable[[str], Quota], get_usage: Callable[[str], Amounts]
    ) -> None:
        """`get_usage`: a team's usage without the tasks that are already being stopped."""
        self._get_quota = get_quota
        self._get_usage = get_usage
        self._remaining_usage: dict[str, Amounts] = {}

    def can_take(self, team: str, taken: Amounts) -> bool:
        """Whether the team keeps its quota if that much is stopped in addition."""
        return self._get_quota(team).is_preserved(self._compute_usage_without(team, taken), taken)

    def try_take(self, team: str, taken: Amounts) -> bool:
        """Like `can_take`, and counts the amount as stopped if the team keeps its quota."""
        if not self.can_take(team, taken):
            return False
        self._remaining_usage[team] = self._compute_usage_without(team, taken)
        return True

    def _compute_usage_without(self, team: str, taken: Amounts) -> Amounts:
        """Returns the team's usage after that much more is stopped."""
        return (self._remaining_usage.get(team) or self._get_usage(team)).minus(taken)
