"""Stops gangs: commands all tasks of an attempt to save a checkpoint and exit, or just to exit."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ..commands import CommandSender
    from .gang_attempts import GangAttempt, GangAttempts

log = logging.getLogger(__name__)


class GangStops(TermActor):
    """Stops attempts as a whole, and repeats the commands until they are executed."""

    def __init__(self, term: Term, commands: CommandSender, attempts: GangAttempts) -> None:
        """`commands`: sends the stop commands to the workers."""
        super().__init__(term)
        self._commands = commands
        self._attempts = attempts

    def stop_gang(self, job: Job, reason: str) -> None:
        """Commands all tasks to save and exit: one decision for the whole gang.

        Does nothing if the attempt is being stopped already or is broken.
        """
        attempt = self._attempts.get_or_create_attempt(job)
        if attempt.stopped_at is not None or attempt.is_broken:
            return
        attempt.stopped_at = self.runtime.now()
        attempt.grace_s = job.spec.checkpoint_save_s if job.spec.checkpoint_interval_s else 0.0
        log.info(
            "event=gang_stopping term=%d job=%s attempt=%d why=%r",
            self.term.number,
            job.spec.ref,
            attempt.number,
            reason,
        )
        for placed in job.placements.values():
            self._commands.stop_task(placed, attempt.grace_s)

    def abandon_gang(self, job: Job, reason: str) -> None:
        """Commands all remaining tasks of an attempt to exit at once, without saving."""
        attempt = self._attempts.get_or_create_attempt(job)
        if attempt.is_broken and attempt.stopped_at is None and _are_all_stopping(job):
            return
        log.info(
            "event=gang_abandoned term=%d job=%s attempt=%d left=%d ran=%s why=%r",
            self.term.number,
            job.spec.ref,
            attempt.number,
            len(job.placements),
            attempt.has_run,
            reason,
        )
        attempt.is_broken = True
        attempt.stopped_at = None
        attempt.grace_s = 0.0
        for placed in job.placements.values():
            if placed.is_committed:
                self._commands.stop_task(placed, 0.0)

    def resume_stop(self, job: Job) -> None:
        """Continues a stop that an earlier leader began: all tasks must get the command in time."""
        is_saving = any(placed.state == wire.FLUSHING for placed in job.placements.values())
        if is_saving and len(job.placements) == job.spec.tasks:
            self.stop_gang(job, "stop began under an earlier leader")

    def repeat_stops(self, job: Job) -> None:
        """Repeats stop commands that were not executed."""
        attempt = self._attempts.get_or_create_attempt(job)
        if not attempt.is_broken and attempt.stopped_at is None:
            return
        now = self.runtime.now()
        for placed in job.placements.values():
            is_due = now - placed.command_sent_at > self.policy.retry
            if is_due and _must_repeat_stop(placed, attempt):
                self._commands.stop_task(placed, attempt.grace_s)


def _are_all_stopping(job: Job) -> bool:
    return all(placed.stopping_at is not None for placed in job.placements.values())


def _must_repeat_stop(placed: Placement, attempt: GangAttempt) -> bool:
    is_saving = placed.state == wire.FLUSHING and not attempt.is_broken
    if is_saving or not placed.is_committed:
        return False
    # A launch without a reply is repeated first: only a reported task can be proven to be finished.
    return not placed.launches_in_flight or placed.was_reported
