"""State of gang attempts that the leader holds in memory, in addition to the ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...gangs.lifecycle import (
    Action,
    GangStatus,
    GangTimeouts,
    Phase,
    build_gang_status,
    decide_action,
    derive_phase,
)
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job


class GangAttempt:
    """State of one attempt of a gang that is not in the ledger."""

    __slots__ = (
        "grace_s",
        "has_run",
        "is_broken",
        "is_done",
        "launched_at",
        "machines_with_lost_tasks",
        "number",
        "stopped_at",
    )

    def __init__(self, number: int, launched_at: float) -> None:
        """Creates an attempt of which only the launch is known."""
        self.number = number
        self.launched_at = launched_at
        self.has_run = False
        """Whether some task was reported as running."""
        self.is_broken = False
        """Whether the attempt can't complete any more, so that all its tasks have to exit."""
        self.is_done = False
        self.stopped_at: float | None = None
        """When the tasks were first commanded to save and exit; None: they were not."""
        self.grace_s = 0.0
        """Seconds that the tasks have for saving a checkpoint."""
        self.machines_with_lost_tasks: set[str] = set()
        """Machines on which a task of the attempt was lost in this term: they get no other one."""


class GangAttempts(TermActor):
    """Owns the attempts of this term, and derives the phase and next action of each gang."""

    def __init__(self, term: Term) -> None:
        """Starts without attempts: those of an earlier term are created when first requested."""
        super().__init__(term)
        self.timeouts = GangTimeouts(self.settings.gang_wait_s, self.settings.gang_peer_s)
        self._attempts: dict[int, GangAttempt] = {}

    def get_or_create_attempt(self, job: Job) -> GangAttempt:
        """Returns the newest attempt of the gang."""
        newest = job.newest_attempt
        attempt = self._attempts.get(job.number)
        if attempt is None or attempt.number != newest:
            # An earlier leader launched it: heartbeats will report the state of its tasks.
            attempt = GangAttempt(newest, self.term.began_at)
            self._attempts[job.number] = attempt
        return attempt

    def start_attempt(self, job: Job, number: int) -> None:
        """Records the launch of an attempt, unless tasks are only added to it."""
        known = self._attempts.get(job.number)
        if known is None or known.number != number:
            self._attempts[job.number] = GangAttempt(number, self.runtime.now())

    def list_job_numbers(self) -> list[int]:
        """Returns the job numbers of the gangs that have an attempt."""
        return list(self._attempts)

    def remove_attempt(self, job_number: int) -> None:
        """Removes the attempt of a gang that is terminal."""
        del self._attempts[job_number]

    def derive_phase_of(self, job: Job) -> Phase:
        """Returns the phase of the gang's newest attempt."""
        return derive_phase(self._build_status(job))

    def decide_next_action(self, job: Job) -> Action:
        """Returns the next action for the gang."""
        return decide_action(self._build_status(job), self.timeouts, job.spec.checkpoint_save_s)

    def _build_status(self, job: Job) -> GangStatus:
        attempt = self.get_or_create_attempt(job)
        now = self.runtime.now()
        stopped_at = attempt.stopped_at
        return build_gang_status(
            job,
            has_run=attempt.has_run,
            is_broken=attempt.is_broken,
            since_stop_s=None if stopped_at is None else now - stopped_at,
            since_launch_s=now - attempt.launched_at,
        )
