"""Finishes attempts: proposes the record, frees the capacity and notifies the other duties."""

from __future__ import annotations

import logging
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from ...ledger.records import AttemptEnded
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..jobs import JobRegistry
    from .failure_attribution import FailureAttribution

log = logging.getLogger(__name__)


class EndReason(Enum):
    """The proof that an attempt is finished. The values are written to the log."""

    EXITED = "exited"
    """Its machine reported the task's exit; the exit's cause is logged instead of the value."""
    ABSENT = "absent"
    """An earlier leader placed the task, and the machine's report does not list it."""
    NEW_INCARNATION = "session"
    """The worker on its machine started again, and the task is not among those that it runs."""
    NEVER_LAUNCHED = "never launched"
    """The job or its gang attempt was stopped, and the machine refused each launch command."""
    CANCELLED_BEFORE_LAUNCH = "cancelled before launch"
    WITHDRAWN_BEFORE_LAUNCH = "withdrawn before launch"
    MACHINE_REMOVED = "machine released"


class AttemptFinisher(TermActor):
    """Declares attempts finished, once that is proven. No other class does."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        commands: CommandSender,
        failure_attribution: FailureAttribution,
        gang_scheduler: GangScheduler,
    ) -> None:
        """Creates a finisher that notifies all of these duties when an attempt is finished."""
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._failure_attribution = failure_attribution
        self._gang_scheduler = gang_scheduler

    def finish_attempt(self, placement: Placement, reason: EndReason, exit_cause: str = "") -> None:
        """Proposes the record of the attempt's end, and frees its capacity.

        `exit_cause`: the cause that the machine reported, for `EndReason.EXITED`.
        """
        job = placement.job
        is_done = exit_cause == wire.CAUSE_DONE
        reason_text = exit_cause or reason.value
        self._log_end(placement, reason_text)
        self.ledger.propose(
            AttemptEnded(job.number, placement.task, placement.attempt, is_done),
            partial(self._on_end_committed, placement),
        )
        self._commands.stopping_tasks.remove_finished(placement)
        job.uncommitted_ends += 1
        machine = self.fleet.machines.get(placement.machine)
        if machine is not None:
            machine.remove_placement(placement, self.runtime.now())
        self._update_job(job, is_done=is_done)
        if job.spec.job_kind == wire.GANG:
            self._gang_scheduler.on_task_finished(placement, reason_text, is_done=is_done)
        self.term.request_pass()

    def _update_job(self, job: Job, *, is_done: bool) -> None:
        """Forgets a terminal job without placements, or requeues the task if it isn't done."""
        if job.is_terminal and not job.placements:
            self._jobs.live_jobs.pop(job.number, None)
            self._failure_attribution.forget_failures(job)
        elif not is_done:
            self._jobs.queue.requeue(job)

    def _on_end_committed(self, placement: Placement) -> None:
        job = placement.job
        placement.is_committed = False
        job.uncommitted_ends -= 1
        if job.is_done and not job.reported_stage:
            job.reported_stage = wire.DONE
            log.info("event=job_done term=%d job=%s", self.term.number, job.spec.ref)
        self._jobs.try_finish_cancellation(job)

    def _log_end(self, placement: Placement, reason_text: str) -> None:
        log.debug(
            "event=attempt_finished term=%d task=%s attempt=%d machine=%s why=%s inherited=%s "
            "unanswered_launches=%d",
            self.term.number,
            placement.name,
            placement.attempt,
            placement.machine,
            reason_text,
            placement.is_inherited,
            placement.launches_in_flight,
        )
