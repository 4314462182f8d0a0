"""Orphaned tasks: tasks that a machine reports although the log does not place them there."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_orphans import GangOrphans

log = logging.getLogger(__name__)


class OrphanedTasks(TermActor):
    """Stops orphaned tasks, and has machines forget exited ones once that is safe."""

    def __init__(self, term: Term, commands: CommandSender, gang_orphans: GangOrphans) -> None:
        """Starts without reported exits; `commands` sends stop and forget commands to machines.

        `gang_orphans`: limits the forget commands about the tasks of gangs.
        """
        super().__init__(term)
        self._commands = commands
        self._gang_orphans = gang_orphans
        self._exits: dict[str, dict[tuple[str, int], Placement]] = {}
        """The placements whose exit was reported, by machine, then by task and attempt."""

    def record_exit(self, machine: Machine, placement: Placement) -> None:
        """Records an exit; the machine lists the task until it is commanded to forget it."""
        self._exits.setdefault(machine.name, {})[placement.name, placement.attempt] = placement

    def forget_machine(self, machine: Machine) -> None:
        """Forgets the exits on a machine that was removed."""
        self._exits.pop(machine.name, None)
        self._gang_orphans.forget_machine(machine.name)

    def handle_orphan(self, machine: Machine, task: wire.TaskStatus) -> None:
        """Stops a task that the log does not place on the machine, or lets it forget the task."""
        if task.state != wire.EXITED:
            self._stop_orphan(machine, task)
        elif self._can_forget(machine, task) and self._gang_orphans.may_send_forget(
            machine.name, task
        ):
            self._forget(machine, task)

    def _stop_orphan(self, machine: Machine, task: wire.TaskStatus) -> None:
        log.warning(
            "event=orphan_stop_sent term=%d task=%s attempt=%d machine=%s",
            self.term.number,
            task.task,
            task.attempt,
            machine.name,
        )
        self._commands.enqueue(machine, wire.stop(task.task, task.attempt, 0.0))

    def _forget(self, machine: Machine, task: wire.TaskStatus) -> None:
        log.debug(
            "event=forget_sent term=%d task=%s attempt=%d machine=%s cause=%s",
            self.term.number,
            task.task,
            task.attempt,
            machine.name,
            task.cause,
        )
        self._commands.enqueue(machine, wire.forget(task.task, task.attempt))

    def _can_forget(self, machine: Machine, task: wire.TaskStatus) -> bool:
        """Whether no copy of the launch command can still arrive: it would start the task again.

        If so, the recorded exit is removed.
        """
        exits = self._exits.get(machine.name, {})
        placement = exits.get((task.task, task.attempt))
        if placement is None:
            return True
        if placement.launches_in_flight or placement.is_committed:
            return False
        del exits[task.task, task.attempt]
        return True
