"""Whether a task's failure is the fault of its machine or of its job."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...planning.fleet import Machine
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)

QUARANTINE_AFTER_JOBS = 2
"""Jobs that fail on one machine."""
SUSPECT_AFTER_MACHINES = 2
"""Machines on which a job fails with nothing done."""
MAX_BACKOFF_FACTOR = 64
"""Times `retry`: the backoff of a failing job doubles up to here."""


class _JobFailures:
    """The failures of one job's tasks."""

    __slots__ = ("machines", "rounds")

    def __init__(self) -> None:
        self.machines: set[str] = set()
        self.rounds = 0


class FailureAttribution(TermActor):
    """Owns the failures by job, and decides which machines are quarantined.

    A job that fails on several machines and has nothing done was likely submitted with a mistake:
    its failures no longer count against the machines, one of its tasks at a time is tried, and no
    machine is provisioned for it. A machine on which several other jobs fail is quarantined.
    """

    def __init__(self, term: Term, jobs: JobRegistry) -> None:
        """`jobs` holds the backoffs and the suspects, which scheduling reads."""
        super().__init__(term)
        self._jobs = jobs
        self._failures: dict[int, _JobFailures] = {}

    def record_failure(self, job: Job, machine: Machine) -> None:
        """A task of the job failed on the machine."""
        failures = self._failures.setdefault(job.number, _JobFailures())
        failures.machines.add(machine.name)
        if self._jobs.backoff_until.get(job.number, 0.0) <= self.runtime.now():
            # Tasks that fail together count as one round.
            self._back_off(job, machine, failures)
        if len(failures.machines) >= SUSPECT_AFTER_MACHINES and not job.done_tasks:
            self._jobs.suspect_jobs.add(job.number)
            self._acquit_machines(job, failures)
        else:
            self._blame_machine(job, machine)

    def forget_failures(self, job: Job) -> None:
        """The job is over, or a task that succeeded or runs for long shows that it is sound."""
        self._failures.pop(job.number, None)
        self._jobs.suspect_jobs.discard(job.number)

    def lift_quarantine(self, machine: Machine) -> None:
        """The machine gets another chance."""
        log.info("event=quarantine_lifted term=%d machine=%s", self.term.number, machine.name)
        machine.quarantined_until = None
        machine.is_cordoned = machine.preempted_by_cloud_at is not None
        machine.failed_jobs.clear()
        machine.mark_changed()
        self.term.request_pass()

    def acquit_suspects(self) -> None:
        """Acquits suspects whose task has run for longer than a mistake takes to show."""
        for number in list(self._jobs.suspect_jobs):
            job = self._jobs.live_jobs.get(number)
            if job is None:
                self._jobs.suspect_jobs.discard(number)
            elif self._has_long_running_task(job):
                self.forget_failures(job)

    def _has_long_running_task(self, job: Job) -> bool:
        now = self.runtime.now()
        return any(
            placement.started_at is not None and now - placement.started_at > self.policy.settle
            for placement in job.placements.values()
        )

    def _back_off(self, job: Job, machine: Machine, failures: _JobFailures) -> None:
        failures.rounds += 1
        backoff_s = self.policy.retry * min(2**failures.rounds, MAX_BACKOFF_FACTOR)
        self._jobs.backoff_until[job.number] = self.runtime.now() + backoff_s
        log.info(
            "event=task_failed term=%d job=%s machine=%s round=%d",
            self.term.number,
            job.spec.ref,
            machine.name,
            failures.rounds,
        )

    def _blame_machine(self, job: Job, machine: Machine) -> None:
        machine.failed_jobs.add(job.spec.ref)
        if len(machine.failed_jobs) >= QUARANTINE_AFTER_JOBS and not machine.is_cordoned:
            self._quarantine(machine)

    def _quarantine(self, machine: Machine) -> None:
        log.info("event=machine_quarantined term=%d machine=%s", self.term.number, machine.name)
        # Some faults pass: the first quarantine is short, later ones longer. No job may have to
        # wait 90 s beside an idle machine.
        quarantine_s = min(
            self.policy.faulty_rest * 2**machine.quarantine_count, self.policy.keep_patience
        )
        machine.is_cordoned = True
        machine.quarantined_until = self.runtime.now() + quarantine_s
        machine.mark_changed()
        machine.quarantine_count += 1

    def _acquit_machines(self, job: Job, failures: _JobFailures) -> None:
        """The job's failures no longer count against the machines on which it failed."""
        for name in failures.machines:
            machine = self.fleet.machines.get(name)
            if machine is None:
                continue
            machine.failed_jobs.discard(job.spec.ref)
            is_acquitted = len(machine.failed_jobs) < QUARANTINE_AFTER_JOBS
            if machine.quarantined_until is not None and is_acquitted:
                self.lift_quarantine(machine)
