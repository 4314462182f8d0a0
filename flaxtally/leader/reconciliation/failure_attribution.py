"""Whose fault is a failed task: the machine's, or that of a job submitted with a mistake?"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...planning.fleet import Machine
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)

FAULTY_AFTER = 2
"""Jobs that fail on one machine."""
SUSPECT_AFTER = 2
"""Machines on which a job fails with nothing done."""
LONGEST_BACKOFF = 64
"""Times `retry`: the backoff doubles up to here."""


class _Record:
    """What is known of a job's failures."""

    __slots__ = ("machines", "rounds")

    def __init__(self) -> None:
        self.machines: set[str] = set()
        self.rounds = 0


class FailureAttribution(TermActor):
    """Owns the failures by job, and decides which machines are faulty.

    A job that fails on several machines and has nothing done was likely submitted with a mistake:
    the machines are cleared of it, one of its tasks at a time is tried, and it rents nothing. A
    machine on which several other jobs fail is faulty.
    """

    def __init__(self, term: Term, jobs: JobRegistry) -> None:
        super().__init__(term)
        self.jobs = jobs
        self._records: dict[int, _Record] = {}

    def failed(self, job: Job, machine: Machine) -> None:
        """A task of the job failed on the machine."""
        record = self._records.setdefault(job.number, _Record())
        record.machines.add(machine.name)
        if self.jobs.backoff.get(job.number, 0.0) <= self.runtime.now():
            # Tasks that fail together are one round.
            record.rounds += 1
            wait = self.policy.retry * min(2**record.rounds, LONGEST_BACKOFF)
            self.jobs.backoff[job.number] = self.runtime.now() + wait
            log.info(
                "event=task_error term=%d job=%s machine=%s round=%d",
                self.term.number,
                job.spec.ref,
                machine.name,
                record.rounds,
            )
        if len(record.machines) >= SUSPECT_AFTER and not job.done_tasks:
            self.jobs.suspects.add(job.number)
            self._clear_of(job, record)
        else:
            self._blame(job, machine)

    def forget(self, job: Job) -> None:
        """The job is over, or a task that ended with its result or runs for long acquits it."""
        self._records.pop(job.number, None)
        self.jobs.suspects.discard(job.number)

    def clear(self, machine: Machine) -> None:
        """The machine gets another chance."""
        log.info("event=machine_cleared term=%d machine=%s", self.term.number, machine.name)
        machine.quarantined_until = None
        machine.is_cordoned = machine.preempted_by_cloud_at is not None
        machine.failed_jobs.clear()
        machine.mark_changed()
        self.term.request_pass()

    def watch(self) -> None:
        """Acquits suspects whose task has run for longer than a mistake takes to show."""
        now = self.runtime.now()
        for no in list(self.jobs.suspects):
            job = self.jobs.live_jobs.get(no)
            if job is None:
                self.jobs.suspects.discard(no)
            elif any(
                placed.started_at is not None and now - placed.started_at > self.policy.settle
                for placed in job.placements.values()
            ):
                self.forget(job)

    def _blame(self, job: Job, machine: Machine) -> None:
        machine.failed_jobs.add(job.spec.ref)
        if len(machine.failed_jobs) < FAULTY_AFTER or machine.is_cordoned:
            return
        log.info("event=machine_faulty term=%d machine=%s", self.term.number, machine.name)
        # Some are for a spell only: looked at again soon, then less often; no job may wait 90 s
        # beside it.
        rest = min(self.policy.faulty_rest * 2**machine.quarantine_count, self.policy.keep_patience)
        machine.is_cordoned, machine.quarantined_until = True, self.runtime.now() + rest
        machine.mark_changed()
        machine.quarantine_count += 1

    def _clear_of(self, job: Job, record: _Record) -> None:
        """Takes the job's failures off the machines on which it failed."""
        for name in record.machines:
            machine = self.fleet.machines.get(name)
            if machine is None:
                continue
            machine.failed_jobs.discard(job.spec.ref)
            if machine.quarantined_until is not None and len(machine.failed_jobs) < FAULTY_AFTER:
                self.clear(machine)
