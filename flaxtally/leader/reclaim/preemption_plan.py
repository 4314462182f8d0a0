"""A machine on which capacity can be made by stopping tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine


class PreemptionPlan(NamedTuple):
    """Which tasks to stop on a machine so that tasks of a job fit there."""

    machine: Machine
    victims: list[Placement]
    cost: float
    """Seconds of work that are lost."""
    task_count: int = 1
    """How many tasks of the job then fit."""
