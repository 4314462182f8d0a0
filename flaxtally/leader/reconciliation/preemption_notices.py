"""Preemption notices: the cloud announces that it will take a spot instance back."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler

log = logging.getLogger(__name__)

MIN_RESTART_GAIN_RATIO = 1.5
"""The ratio of a task's remaining run time to the notice above which it is restarted elsewhere.

It applies to tasks without checkpoints.
"""


class PreemptionNotices(TermActor):
    """Cordons a machine that the cloud takes back, and moves the tasks that would lose work."""

    def __init__(self, term: Term, commands: CommandSender, gang_scheduler: GangScheduler) -> None:
        """Creates a handler; `gang_scheduler` decides for gangs, whose tasks stop together."""
        super().__init__(term)
        self._commands = commands
        self._gang_scheduler = gang_scheduler

    def handle_notice(self, machine: Machine, notice_s: float) -> None:
        """Prepares for the end of a machine that the cloud takes back in `notice_s`.

        It is called for the first report of the notice only.
        """
        machine.preempted_by_cloud_at = self.runtime.now() + notice_s
        machine.is_cordoned = True
        machine.mark_changed()
        log.info(
            "event=preemption_notice_received term=%d machine=%s in=%.1f tasks=%d",
            self.term.number,
            machine.name,
            notice_s,
            len(machine.placements),
        )
        for placement in list(machine.placements.values()):
            self._evacuate_task(placement, notice_s)
        self.term.request_pass()

    def _evacuate_task(self, placement: Placement, notice_s: float) -> None:
        spec = placement.job.spec
        if spec.job_kind == wire.GANG:
            self._gang_scheduler.on_preemption_notice(placement.job, notice_s)
        elif spec.checkpoint_interval_s:
            if placement.state == wire.RUNNING and spec.checkpoint_save_s < notice_s:
                self._commands.stop_task(placement, spec.checkpoint_save_s)
        elif spec.job_kind != wire.SERVICE and self._is_restart_better(placement, notice_s):
            self._commands.stop_task(placement, 0.0)

    def _is_restart_better(self, placement: Placement, notice_s: float) -> bool:
        """Whether the task should restart elsewhere now.

        If it cannot finish before the machine is taken, its work is lost anyway.
        """
        return self._estimate_remaining_run_s(placement) > MIN_RESTART_GAIN_RATIO * notice_s

    def _estimate_remaining_run_s(self, placement: Placement) -> float:
        estimated_run_s = placement.job.spec.estimated_run_s
        if placement.started_at is None:
            return estimated_run_s
        return estimated_run_s - (self.runtime.now() - placement.started_at)
