"""Orphaned tasks: tasks that a machine reports although the log does not place them there."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..gang_scheduling.gang_orphans import GangOrphans
    from ..launch_fence import LaunchFence

log = logging.getLogger(__name__)


class OrphanedTasks(TermActor):
    """Stops orphaned tasks, and has machines forget exited ones once that is safe."""

    def __init__(
        self,
        term: Term,
        commands: CommandSender,
        gang_orphans: GangOrphans,
        launch_fence: LaunchFence,
    ) -> None:
        """Starts without reported exits; `commands` sends stop and forget commands to machines.

        `gang_orphans`: limits the forget commands about the tasks of gangs. `launch_fence`: knows
        whether a forgotten attempt could be started again.
        """
        super().__init__(term)
        self._commands = commands
        self._launch_fence = launch_fence
        self._gang_orphans = gang_orphans
        self._exits: dict[str, dict[tuple[str, int], Placement]] = {}
        """The placements whose exit was reported, by machine, then by task and attempt."""
        self._forgets_sent_at: dict[str, dict[tuple[str, int], float]] = {}
        """When machines were last commanded to forget the exits that they list."""
        self._repeat_after_s = self.settings.lease_s / 2

    def record_exit(self, machine: Machine, placement: Placement) -> None:
        """Records an exit; the machine lists the task until it is commanded to forget it."""
        self._exits.setdefault(machine.name, {})[placement.name, placement.attempt] = placement
        self._launch_fence.await_exit(machine, placement)

    def forget_machine(self, machine: Machine) -> None:
        """Forgets the exits on a machine that was removed."""
        self._exits.pop(machine.name, None)
        self._forgets_sent_at.pop(machine.name, None)
        self._gang_orphans.forget_machine(machine.name)

    def on_token_raised(self) -> None:
        """Has all exits looked at again that waited for a higher fencing token."""
        for name in list(self._exits):
            machine = self.fleet.machines.get(name)
            if machine is not None:
                machine.converged_tasks = None
                self._drop_exits_of_earlier_incarnations(machine)

    def _drop_exits_of_earlier_incarnations(self, machine: Machine) -> None:
        """Drops the exits that the machine has forgotten by itself: its worker started again."""
        self._exits[machine.name] = {
            name: placement
            for name, placement in self._exits[machine.name].items()
            if placement.is_committed or placement.launch_incarnation >= machine.incarnation
        }

    def all_await_token(self, machine: Machine, tasks: Iterable[wire.TaskStatus]) -> bool:
        """Whether nothing is to be done about these tasks before the fencing token rises."""
        exits = self._exits.get(machine.name, {})
        return all(
            task.state == wire.EXITED
            and (placement := exits.get((task.task, task.attempt))) is not None
            and not placement.is_committed
            and not self._launch_fence.is_fenced(machine, placement)
            for task in tasks
        )

    def handle_orphans(self, machine: Machine, tasks: Iterable[wire.TaskStatus]) -> None:
        """Stops the tasks that the log does not place on the machine, or lets it forget them."""
        now = self.runtime.now()
        sent_before = self._forgets_sent_at.pop(machine.name, {})
        sent_at_by_task: dict[tuple[str, int], float] = {}
        for task in tasks:
            if task.state != wire.EXITED:
                self._stop_orphan(machine, task)
                continue
            sent_at = sent_before.get((task.task, task.attempt))
            if (sent_at is None or now - sent_at > self._repeat_after_s) and self._forget_if_safe(
                machine, task
            ):
                sent_at = now
            if sent_at is not None:
                sent_at_by_task[task.task, task.attempt] = sent_at
        if sent_at_by_task:
            self._forgets_sent_at[machine.name] = sent_at_by_task

    def _stop_orphan(self, machine: Machine, task: wire.TaskStatus) -> None:
        log.warning(
            "event=orphan_stop_sent term=%d task=%s attempt=%d machine=%s",
            self.term.number,
            task.task,
            task.attempt,
            machine.name,
        )
        self._commands.enqueue(machine, wire.stop(task.task, task.attempt, 0.0))

    def _forget_if_safe(self, machine: Machine, task: wire.TaskStatus) -> bool:
        """Has the machine forget an exit once that is committed and its launches are fenced off.

        Returns whether the command was sent.
        An exit that isn't recorded is one of a task that was launched in an earlier term, or one
        that was to be forgotten before.
        """
        exits = self._exits.get(machine.name, {})
        placement = exits.get((task.task, task.attempt))
        if placement is not None and (
            placement.is_committed or not self._launch_fence.is_fenced(machine, placement)
        ):
            return False
        if not self._gang_orphans.may_send_forget(machine.name, machine.fencing_token, task):
            return False
        exits.pop((task.task, task.attempt), None)
        self._log_forget(machine, task, placement)
        self._commands.enqueue(
            machine,
            wire.forget(task.task, task.attempt),
            on_sent=partial(self._gang_orphans.record_forget, machine.name, task),
        )
        return True

    def _log_forget(
        self, machine: Machine, task: wire.TaskStatus, placement: Placement | None
    ) -> None:
        log.debug(
            "event=forget_sent term=%d task=%s attempt=%d machine=%s cause=%s incarnation=%d "
            "launch_token=%d launch_incarnation=%d",
            self.term.number,
            task.task,
            task.attempt,
            machine.name,
            task.cause,
            machine.incarnation,
            placement.launch_token if placement is not None else 0,
            placement.launch_incarnation if placement is not None else 0,
        )
