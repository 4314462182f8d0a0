"""Tasks of gangs that a machine reports although the log does not place them there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Collection

    from ...ledger.job import Job

AttemptName = tuple[str, int]
"""The name of a task and the number of one of its attempts, as machines report them."""


class _Orphan:
    """A task of a gang's newest attempt that a machine reports without a placement there."""

    __slots__ = ("is_forget_sent", "job", "was_live")

    def __init__(self, job: Job) -> None:
        self.job = job
        self.is_forget_sent = False
        self.was_live = False
        """Whether it was reported before it exited. Commands to stop it may arrive late."""


class GangOrphans(TermActor):
    """Owns the orphaned tasks of the gangs' newest attempts, by machine.

    A replacement for a lost task of a gang has the attempt number of the lost task. So a machine's
    report does not tell which of the two it is about if both were placed on that machine, and
    neither do commands. A machine therefore gets no replacement of an attempt

    - while it reports an orphaned task of the attempt, and
    - while a command about such a task may still arrive there in this term.

    An exited orphan is to be forgotten, and that command is sent once only. Nothing else removes
    the task from the machine's reports, so a report without it proves that the command was
    executed. A live orphan is commanded to stop until it exits, and nothing proves that no copy of
    that command is on its way, so its machine is excluded for the rest of the term.

    Commands of earlier terms can't arrive: a machine is used only once it has reported under the
    fencing token of this term.
    """

    def __init__(self, term: Term) -> None:
        """Starts without orphans: machines report them."""
        super().__init__(term)
        self._by_machine: dict[str, dict[AttemptName, _Orphan]] = {}

    def update(self, machine: str, reported: Collection[wire.TaskStatus]) -> set[Job]:
        """Takes over the orphaned tasks of a machine's newest report.

        Returns the gangs whose tasks the machine no longer reports.
        """
        known = self._by_machine.get(machine, {})
        if not known and not reported:
            return set()
        current = self._merge(known, reported)
        forgotten = {orphan.job for name, orphan in known.items() if name not in current}
        if current:
            self._by_machine[machine] = current
        else:
            self._by_machine.pop(machine, None)
        return forgotten

    def _merge(
        self, known: dict[AttemptName, _Orphan], reported: Collection[wire.TaskStatus]
    ) -> dict[AttemptName, _Orphan]:
        current = {
            name: orphan
            for name, orphan in known.items()
            if orphan.was_live and _is_replaceable(orphan.job, name[1])
        }
        for task in reported:
            job = self.ledger.state.jobs_by_ref.get(task.job_ref)
            if job is None or not _is_replaceable(job, task.attempt):
                continue
            name = (task.task, task.attempt)
            orphan = known.get(name) or _Orphan(job)
            orphan.was_live = orphan.was_live or task.state != wire.EXITED
            current[name] = orphan
        return current

    def may_send_forget(self, machine: str, task: wire.TaskStatus) -> bool:
        """Whether the machine may be commanded to forget the task now.

        If so, it counts as commanded: for a task of a gang's newest attempt, that is once only.
        """
        orphan = self._by_machine.get(machine, {}).get((task.task, task.attempt))
        if orphan is None:
            return True
        is_first = not orphan.is_forget_sent
        orphan.is_forget_sent = True
        return is_first

    def find_excluded_machines(self, job: Job) -> set[str]:
        """Returns the machines that get no replacement of the gang's newest attempt now."""
        return {
            machine
            for machine, orphans in self._by_machine.items()
            if any(orphan.job is job for orphan in orphans.values())
        }

    def find_forgetting_machines(self, job: Job) -> set[str]:
        """Returns those excluded machines that are usable once they have forgotten the tasks."""
        return {
            machine
            for machine in self.find_excluded_machines(job)
            if not any(
                orphan.job is job and orphan.was_live
                for orphan in self._by_machine[machine].values()
            )
        }

    def forget_machine(self, machine: str) -> None:
        """Forgets the orphans on a machine that was removed."""
        self._by_machine.pop(machine, None)


def _is_replaceable(job: Job, attempt: int) -> bool:
    """Whether lost tasks of that attempt of the job may be replaced under the same number."""
    return job.spec.job_kind == wire.GANG and not job.is_terminal and attempt == job.newest_attempt
