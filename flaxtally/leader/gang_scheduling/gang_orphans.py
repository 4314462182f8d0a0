"""Tasks of gangs that a machine reports although the log does not place them there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Collection

    from ...ledger.job import Job
    from ..launch_fence import LaunchFence

AttemptName = tuple[str, int]
"""The name of a task and the number of one of its attempts, as machines report them."""


class _Orphan:
    """A task of a gang's newest attempt that a machine reports without a placement there."""

    __slots__ = ("forget_token", "is_forget_queued", "is_listed", "job", "was_live")

    def __init__(self, job: Job) -> None:
        self.job = job
        self.is_listed = True
        """Whether the machine's newest report lists the task."""
        self.is_forget_queued = False
        self.forget_token = 0
        """The fencing token under which the machine was last commanded to forget it; 0: none."""
        self.was_live = False
        """Whether it was reported before it exited. Commands to stop it may arrive late."""

    def is_forget_refused(self, token: int) -> bool:
        """Whether a machine with that fencing token executes no copy of the forget command."""
        return not self.is_forget_queued or 0 < self.forget_token < token


class GangOrphans(TermActor):
    """Owns the orphaned tasks of the gangs' newest attempts, by machine.

    A replacement for a lost task of a gang has the attempt number of the lost task. So a machine's
    report does not tell which of the two it is about if both were placed on that machine, and
    neither do commands. A machine therefore gets no replacement of an attempt

    - while it reports an orphaned task of the attempt, and
    - while a command about such a task may still arrive there in this term.

    An exited orphan is to be forgotten. Copies of that command may arrive after it was executed,
    and would erase the exit of a replacement. So the machine is excluded until the term's fencing
    token is higher than theirs: with the launch of a replacement, the machine begins to refuse
    them. A live orphan is commanded to stop until it exits, and its machine is excluded for the
    rest of the term.

    Commands of earlier terms can't arrive: a machine is used only once it has reported under the
    fencing token of this term.
    """

    def __init__(self, term: Term, launch_fence: LaunchFence) -> None:
        """Starts without orphans: machines report them. `launch_fence`: raises the token."""
        super().__init__(term)
        self._launch_fence = launch_fence
        self._by_machine: dict[str, dict[AttemptName, _Orphan]] = {}

    def update(self, machine: str, reported: Collection[wire.TaskStatus]) -> set[Job]:
        """Takes over the orphaned tasks of a machine's newest report.

        Returns the gangs of which the machine may take a task again.
        """
        known = self._by_machine.get(machine, {})
        if not known and not reported:
            return set()
        return self._replace(machine, known, self._merge(known, reported))

    def on_token_raised(self) -> set[Job]:
        """Drops the tasks whose forget commands are refused under the term's new token.

        Returns the gangs of which a machine may take a task again.
        """
        forgotten: set[Job] = set()
        for machine, known in list(self._by_machine.items()):
            current = {
                name: orphan
                for name, orphan in known.items()
                if orphan.is_listed or self._excludes(orphan)
            }
            forgotten |= self._replace(machine, known, current)
        return forgotten

    def _replace(
        self,
        machine: str,
        known: dict[AttemptName, _Orphan],
        current: dict[AttemptName, _Orphan],
    ) -> set[Job]:
        """Replaces the known orphans of a machine; returns the gangs of those that are left out."""
        forgotten = {orphan.job for name, orphan in known.items() if name not in current}
        if current:
            self._by_machine[machine] = current
        else:
            self._by_machine.pop(machine, None)
        return forgotten

    def _excludes(self, orphan: _Orphan) -> bool:
        """Whether a command about a task that isn't listed could meet a replacement."""
        return orphan.was_live or not orphan.is_forget_refused(self.term.number)

    def _merge(
        self, known: dict[AttemptName, _Orphan], reported: Collection[wire.TaskStatus]
    ) -> dict[AttemptName, _Orphan]:
        current = {
            name: orphan
            for name, orphan in known.items()
            if self._excludes(orphan) and _is_replaceable(orphan.job, name[1])
        }
        for orphan in known.values():
            orphan.is_listed = False
        for task in reported:
            job = self.ledger.state.jobs_by_ref.get(task.job_ref)
            if job is None or not _is_replaceable(job, task.attempt):
                continue
            name = (task.task, task.attempt)
            orphan = known.get(name) or _Orphan(job)
            orphan.is_listed = True
            orphan.was_live = orphan.was_live or task.state != wire.EXITED
            current[name] = orphan
        if any(not orphan.is_listed and not orphan.was_live for orphan in current.values()):
            self._launch_fence.await_gang_commands()
        return current

    def may_send_forget(self, machine: str, machine_token: int, task: wire.TaskStatus) -> bool:
        """Whether the machine, which lists the task under that token, may be told to forget it now.

        If so, it counts as told: for a task of a gang's newest attempt, that is once for as long as
        the command may be executed.
        """
        orphan = self._by_machine.get(machine, {}).get((task.task, task.attempt))
        if orphan is None:
            return True
        if not orphan.is_forget_refused(machine_token):
            return False
        orphan.is_forget_queued = True
        orphan.forget_token = 0
        return True

    def record_forget(self, machine: str, task: wire.TaskStatus, token: int) -> None:
        """Records that the command to forget the task was sent under that fencing token."""
        orphan = self._by_machine.get(machine, {}).get((task.task, task.attempt))
        if orphan is not None:
            orphan.forget_token = token

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
