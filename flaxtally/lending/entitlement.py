"""What a team is entitled to, and what may be reclaimed of it. Pure.

A team's *guarantee* covers its use up to an amount of each resource. Use beyond it is *borrowed*:
from the unused guarantee of the *lenders*, as far as that reaches. Two rules follow:

- Work of another team is stopped only while that team stays at or above its guarantee in a resource
  that the work takes: whatever it then lacks is beyond its guarantee.
- A waiting task is *entitled* to room if the team's use with it is within the guarantee, in every
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
        return Amounts(self.cores + other.cores, self.gpus + other.gpus)

    def minus(self, other: Amounts) -> Amounts:
        return Amounts(self.cores - other.cores, self.gpus - other.gpus)

    def times(self, count: float) -> Amounts:
        return Amounts(self.cores * count, self.gpus * count)


NOTHING = Amounts(0.0, 0.0)


def amounts_of(spec: wire.Spec, tasks: int = 1) -> Amounts:
    """What so many tasks of a job take."""
    return Amounts(spec.cores * tasks, spec.gpus * tasks)


@dataclass(frozen=True)
class Guarantee:
    """What a team is guaranteed of each resource; infinite where the settings bound only others."""

    amounts: Amounts
    exists: bool
    """Whether the team has a guarantee at all; without one all that it uses is borrowed."""

    @classmethod
    def of(cls, team: Team | None) -> Guarantee:
        """The guarantee in the settings; an unknown team has none."""
        if team is None or not (team.cores or team.gpus):
            return cls(NOTHING, exists=False)
        return cls(Amounts(team.cores or math.inf, team.gpus or math.inf), exists=True)

    def covers(self, use: Amounts) -> bool:
        """Whether that much use is within the guarantee in every resource."""
        return (
            self.exists
            and use.cores <= self.amounts.cores + SLACK
            and use.gpus <= self.amounts.gpus + SLACK
        )

    def is_kept_by(self, use: Amounts, taken: Amounts) -> bool:
        """Whether use is at or above the guarantee in a resource of what was `taken` from it.

        What alone is more than the guarantee (a large gang) was never within it.
        """
        return not self.covers(taken) or any(
            amount > 0 and used >= guaranteed - SLACK
            for amount, used, guaranteed in zip(taken, use, self.amounts, strict=True)
        )

    def borrowed(self, use: Amounts) -> Amounts:
        """The use beyond the guarantee."""
        return Amounts(*(max(0.0, u - g) for u, g in zip(use, self.amounts, strict=True)))

    def unused(self, use: Amounts) -> Amounts:
        """The part of the guarantee that is not used; nothing where it is unbounded."""
        return Amounts(
            *(
                max(0.0, g - u) if math.isfinite(g) else 0.0
                for u, g in zip(use, self.amounts, strict=True)
            )
        )


class Reclaimable:
    """What may be taken of the teams in one decision, which may stop several tasks."""

    def __init__(
        self, guarantee: Callable[[str], Guarantee], use: Callable[[str], Amounts]
    ) -> None:
        """`use`: of a team, without what is being stopped already."""
        self._guarantee, self._use = guarantee, use
        self._left: dict[str, Amounts] = {}

    def allows(self, team: str, taken: Amounts) -> bool:
        """Whether the team keeps its guarantee when that much is stopped too."""
        return self._guarantee(team).is_kept_by(self._without(team, taken), taken)

    def _without(self, team: str, taken: Amounts) -> Amounts:
        """What the team would use then."""
        return (self._left.get(team) or self._use(team)).minus(taken)

    def take(self, team: str, taken: Amounts) -> bool:
        """The same, and counts it as stopped if it is allowed."""
        if not self.allows(team, taken):
            return False
        self._left[team] = self._without(team, taken)
        return True
