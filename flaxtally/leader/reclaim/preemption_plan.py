"""The plan of a preemption on one machine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine


class PreemptionPlan(NamedTuple):
    """The tasks to stop on a machine so that tasks of a job fit there."""

    machine: Machine
    victims: list[Placement]
    cost: float
    """The work that is lost, in seconds."""
    task_count: int = 1
    """The number of the job's tasks that then fit."""
