"""Attributes the failures of tasks to their machines or to their jobs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...planning.fleet import Machine
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)

MIN_FAILED_JOBS_FOR_QUARANTINE = 2
"""The number of different jobs that must fail on a machine for it to be quarantined."""
MIN_FAILED_MACHINES_FOR_SUSPECT = 2
"""The number of machines on which a job must fail, with no successful task, to be suspect."""
MAX_BACKOFF_FACTOR = 64
"""The longest back-off of a failing job, as a multiple of `retry`; it doubles up to this value."""


class _JobFailures:
    """The failures of one job's tasks."""

    __slots__ = ("machines", "rounds")

    def __init__(self) -> None:
        self.machines: set[str] = set()
        self.rounds = 0


class FailureAttribution(TermActor):
    """Owns the failures by job, and decides which machines are quarantined.

    A job that fails on several machines before any of its tasks succeeded was probably submitted
    with a mistake. It is then suspect: its failures do not count against the machines, at most one
    of its tasks runs at a time, and no machine is provisioned for it. A machine on which several
    other jobs fail is quarantined.
    """

    def __init__(self, term: Term, jobs: JobRegistry) -> None:
        """Starts without failures; `jobs` holds the back-offs and suspect jobs for scheduling."""
        super().__init__(term)
        self._jobs = jobs
        self._failures: dict[int, _JobFailures] = {}

    def record_failure(self, job: Job, machine: Machine) -> None:
        """Records that a task of the job failed on the machine."""
        failures = self._failures.setdefault(job.number, _JobFailures())
        failures.machines.add(machine.name)
        if self._jobs.backoff_until.get(job.number, 0.0) <= self.runtime.now():
            # Tasks that fail during the back-off count as the same round.
            self._back_off(job, machine, failures)
        if len(failures.machines) >= MIN_FAILED_MACHINES_FOR_SUSPECT and not job.done_tasks:
            self._jobs.suspect_jobs.add(job.number)
            self._clear_machine_failures(job, failures)
        else:
            self._count_failure_of_machine(job, machine)

    def forget_failures(self, job: Job) -> None:
        """Forgets a job's failures.

        The job is finished, or a task that succeeded or has run for long shows that the job was
        submitted without a mistake.
        """
        self._failures.pop(job.number, None)
        self._jobs.suspect_jobs.discard(job.number)

    def lift_quarantine(self, machine: Machine) -> None:
        """Ends a machine's quarantine and forgets the failures on it."""
        log.info("event=quarantine_lifted term=%d machine=%s", self.term.number, machine.name)
        machine.quarantined_until = None
        machine.is_cordoned = machine.preempted_by_cloud_at is not None
        machine.failed_jobs.clear()
        machine.mark_changed()
        self.term.request_pass()

    def clear_suspect_jobs(self) -> None:
        """Clears suspect jobs of which a task has run for longer than a mistake takes to show."""
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

    def _count_failure_of_machine(self, job: Job, machine: Machine) -> None:
        machine.failed_jobs.add(job.spec.ref)
        if len(machine.failed_jobs) >= MIN_FAILED_JOBS_FOR_QUARANTINE and not machine.is_cordoned:
            self._quarantine(machine)

    def _quarantine(self, machine: Machine) -> None:
        log.info("event=machine_quarantined term=%d machine=%s", self.term.number, machine.name)
        # Some faults are transient: the first quarantine is short, later ones are longer. The upper
        # bound keeps jobs from waiting 90 s while a machine is idle.
        quarantine_s = min(
            self.policy.faulty_rest * 2**machine.quarantine_count, self.policy.keep_patience
        )
        machine.is_cordoned = True
        machine.quarantined_until = self.runtime.now() + quarantine_s
        machine.mark_changed()
        machine.quarantine_count += 1

    def _clear_machine_failures(self, job: Job, failures: _JobFailures) -> None:
        """Stops counting the job's failures against the machines on which it failed."""
        for name in failures.machines:
            machine = self.fleet.machines.get(name)
            if machine is None:
                continue
            machine.failed_jobs.discard(job.spec.ref)
            is_below_threshold = len(machine.failed_jobs) < MIN_FAILED_JOBS_FOR_QUARANTINE
            if machine.quarantined_until is not None and is_below_threshold:
                self.lift_quarantine(machine)
