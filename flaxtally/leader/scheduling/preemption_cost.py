"""The work that is lost when a task is stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...protocol import wire

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..reclaim.open_reclaims import OpenReclaims


class PreemptionCost:
    """Estimates the work that is lost when a task is stopped."""

    def __init__(self, gang_scheduler: GangScheduler, open_reclaims: OpenReclaims) -> None:
        """`open_reclaims` knows tasks that stop anyway, so that preempting them costs nothing."""
        self._gang_scheduler = gang_scheduler
        self._open_reclaims = open_reclaims

    def estimate_lost_work_s(self, placed: Placement, now: float) -> float:
        """Returns the seconds of work lost by a stop; for a gang's task, by the whole gang."""
        if self._open_reclaims.will_stop(placed) or placed.started_at is None:
            return 0.0
        spec = placed.job.spec
        if spec.job_kind == wire.GANG:
            return self._gang_scheduler.estimate_lost_work_s(placed.job)
        return spec.checkpoint_save_s if spec.checkpoint_interval_s else now - placed.started_at
