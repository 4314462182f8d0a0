"""The tasks that were commanded to stop, and the resources that they will free."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..lending.entitlement import NO_RESOURCES, Amounts, compute_amounts
from ..protocol.vocabulary import FLUSHING

if TYPE_CHECKING:
    from ..ledger.placement import Placement
    from .term import Term


class StoppingTasks:
    """Counts the resources of stopping tasks by team, until these are proven finished."""

    def __init__(self, term: Term) -> None:
        """Starts without stopping tasks."""
        self._term = term
        self._amounts: dict[str, Amounts] = {}

    def mark(self, placement: Placement) -> None:
        """Counts the task as stopping: this leader or an earlier one commanded it to."""
        if placement.stopping_at is None:
            placement.stopping_at = self._term.runtime.now()
            spec = placement.job.spec
            stopping = self._amounts.get(spec.team, NO_RESOURCES)
            self._amounts[spec.team] = stopping.plus(compute_amounts(spec))

    def remove_finished(self, placement: Placement) -> None:
        """Stops counting the resources of a task that is proven finished."""
        if placement.stopping_at is not None:
            spec = placement.job.spec
            self._amounts[spec.team] = self._amounts[spec.team].minus(compute_amounts(spec))

    def unmark_unless_saving(self, placement: Placement) -> None:
        """Counts the task as running again: the command was not sent.

        Does nothing for one that saves a checkpoint, since an earlier leader stopped it.
        """
        if placement.state != FLUSHING:
            self.remove_finished(placement)
            placement.stopping_at = None

    def compute_usage_not_stopping(self, team: str) -> Amounts:
        """Returns the resources of a team's tasks that were not commanded to stop."""
        stopping = self._amounts.get(team, NO_RESOURCES)
        return self._term.compute_team_usage(team).minus(stopping)
