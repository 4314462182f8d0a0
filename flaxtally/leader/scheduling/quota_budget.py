"""Limits what one decision to preempt takes from teams to what they use beyond their quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...lending.entitlement import ReclaimBudget, compute_amounts
from ...protocol import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.placement import Placement


class QuotaBudget:
    """Allows a victim only while its team keeps its quota, unless no quota protects it."""

    def __init__(
        self, reclaim_budget: ReclaimBudget, is_unprotected: Callable[[Placement], bool]
    ) -> None:
        """`is_unprotected`: whether a task may be stopped in any case, and is not counted."""
        self._reclaim_budget = reclaim_budget
        self._is_unprotected = is_unprotected
        self._gangs: set[int] = set()
        """Numbers of the gangs that are counted already, since a gang stops as a whole."""

    def try_take(self, placed: Placement) -> bool:
        """Whether the task's team keeps its quota without it; if so, counts the task as taken."""
        job = placed.job
        if job.number in self._gangs or self._is_unprotected(placed):
            return True
        is_gang = job.spec.job_kind == wire.GANG
        task_count = len(job.placements) if is_gang else 1
        if not self._reclaim_budget.try_take(job.spec.team, compute_amounts(job.spec, task_count)):
            return False
        if is_gang:
            self._gangs.add(job.number)
        return True
