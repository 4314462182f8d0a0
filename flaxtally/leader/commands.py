"""The leader's commands to workers, and the replies to them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple, Protocol

import msgspec

from ..lending.entitlement import NO_RESOURCES, Amounts, compute_amounts
from ..protocol import workers
from ..protocol.workers import Command, CommandBatch, Heartbeat
from .term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clients.workers import OnReply
    from ..ledger.placement import Placement
    from ..planning.fleet import Machine

log = logging.getLogger(__name__)

MAX_COMMANDS = 200
"""Commands in one batch."""
EMPTY_BATCH_INTERVAL = 1.5
"""Times `order_call`: at least so long between two empty batches to a machine."""

_heartbeat_decoder = msgspec.msgpack.Decoder(Heartbeat)


class CommandTransport(Protocol):
    """How the leader's commands and status queries reach workers, and what they reported here."""

    def send(
        self,
        server: str | None,
        machine: str,
        address: str,
        batch: CommandBatch | None,
        on_reply: OnReply,
    ) -> None:
        """Sends commands to a worker, or a status query where `batch` is None.

        `server` is the controller that the machine reports to, where one is known; it is the one
        that sends them. `on_reply(0, b"")` when no reply came.
        """

    def other_controllers(self, zone: str) -> list[str]:
        """The other live controllers that can reach workers for us, those of the zone first."""
        raise NotImplementedError

    def recent_heartbeats(self) -> list[Heartbeat]:
        """The last heartbeats that this controller took itself, for a leader that has just begun.

        One for each machine.
        """
        raise NotImplementedError


class _QueuedCommand(NamedTuple):
    """A command that waits for the end of this turn of the event loop."""

    command: Command
    launched: Placement | None
    """What it launches, if it is a launch."""

    @property
    def is_obsolete(self) -> bool:
        """Whether it launches a placement that was proven over while it waited."""
        placed = self.launched
        return placed is not None and placed.job.placements.get(placed.task) is not placed


class CommandSender(TermActor):
    """Owns the commands to be sent, and which launches may still arrive."""

    def __init__(
        self,
        term: Term,
        transport: CommandTransport,
        on_heartbeat: Callable[[str, Heartbeat], None],
    ) -> None:
        """`on_heartbeat` gets the status in each reply, and the controller that carried it."""
        super().__init__(term)
        self.transport = transport
        self._on_heartbeat = on_heartbeat
        self._stopping: dict[str, Amounts] = {}
        """By team, what the tasks take that were commanded to stop and are not proven over."""
        self._outbox: dict[str, list[_QueuedCommand]] = {}
        """By machine."""

    # Commands

    def enqueue(self, machine: Machine, command: Command, launched: Placement | None) -> None:
        """Sends the command with the others of this turn of the event loop."""
        if not self._outbox:
            self.runtime.soon(self._send_queued)
        # Whether it was executed shows in the machine's next heartbeat.
        machine.converged_tasks = None
        self._outbox.setdefault(machine.name, []).append(_QueuedCommand(command, launched))

    def launch_task(self, placed: Placement) -> None:
        """Commands the placement's machine to start it."""
        machine = self.fleet.machines.get(placed.machine)
        if machine is None:
            return
        placed.command_sent_at = self.runtime.now()
        self.enqueue(machine, workers.launch(placed.name, placed.attempt), placed)

    def stop_task(self, placed: Placement, grace_s: float) -> None:
        """Commands the placement's machine to stop it, with time to save a checkpoint."""
        machine = self.fleet.machines.get(placed.machine)
        if machine is None:
            return
        placed.command_sent_at = self.runtime.now()
        self.mark_stopping(placed)
        self.enqueue(machine, workers.stop(placed.name, placed.attempt, grace_s), None)

    def stop_best_effort(self, machine: Machine) -> None:
        """Stops the machine's best-effort tasks that can save; others are left to end."""
        for placed in machine.placements.values():
            if placed.is_best_effort and placed.job.spec.checkpoint_interval_s:
                self.stop_task(placed, placed.job.spec.checkpoint_save_s)

    def send_empty_command(self, machine: Machine) -> None:
        """Finds out whether the machine replies again; one batch at a time."""
        now = self.runtime.now()
        if now - machine.empty_command_at >= EMPTY_BATCH_INTERVAL * self.policy.order_call:
            machine.empty_command_at = now
            self.send_fencing_token(machine)

    def send_fencing_token(self, machine: Machine) -> None:
        """Sends an empty batch: it raises the worker's token, and the reply reconciles it."""
        if machine.address:
            machine.incarnation = max(machine.incarnation, 1)
            self._send_batch(machine, [], [])

    # What stopping tasks still take

    def mark_stopping(self, placed: Placement) -> None:
        """The task was commanded to stop, by this leader or an earlier one."""
        if placed.stopping_at is None:
            placed.stopping_at = self.runtime.now()
            spec = placed.job.spec
            stopping = self._stopping.get(spec.team, NO_RESOURCES)
            self._stopping[spec.team] = stopping.plus(compute_amounts(spec))

    def forget_stopping(self, placed: Placement) -> None:
        """The placement is proven over."""
        if placed.stopping_at is not None:
            spec = placed.job.spec
            self._stopping[spec.team] = self._stopping[spec.team].minus(compute_amounts(spec))

    def usage_not_stopping(self, team: str) -> Amounts:
        """What a team's tasks take that were not commanded to stop."""
        return self.term.team_usage(team).minus(self._stopping.get(team, NO_RESOURCES))

    # Sending

    def resume(self) -> None:
        """Leadership was confirmed after a pause: what waited meanwhile is sent."""
        if self._outbox:
            self._send_queued()

    def _send_queued(self) -> None:
        if self.term.suspended:
            return
        outbox = self._outbox
        self._outbox = {}
        for name, queued in outbox.items():
            machine = self.fleet.machines.get(name)
            # One without an address is of an earlier term and has sent no heartbeat in this yet:
            # its first one has the stops sent again.
            if machine is not None and machine.address:
                self._send_in_batches(machine, [one for one in queued if not one.is_obsolete])

    def _send_in_batches(self, machine: Machine, queued: list[_QueuedCommand]) -> None:
        for start in range(0, len(queued), MAX_COMMANDS):
            part = queued[start : start + MAX_COMMANDS]
            commands = [one.command for one in part]
            launched = [one.launched for one in part if one.launched is not None]
            self._send_batch(machine, commands, launched)

    def _send_batch(
        self, machine: Machine, commands: list[Command], launched: list[Placement]
    ) -> None:
        server = machine.shard_owner
        pause_count = self.term.pause_count
        for placed in launched:
            # Set as the command leaves: this incarnation of the worker is the last in which a copy
            # of it can be executed.
            placed.launch_incarnation = max(placed.launch_incarnation, machine.incarnation)
            placed.launches_in_flight += 1

        def on_reply(status: int, body: bytes) -> None:
            if status in (200, 409):
                for placed in launched:
                    placed.launches_in_flight -= 1
                if machine.is_unresponsive:
                    machine.mark_changed()
                machine.failed_commands = 0
                self.handle_reply(server, body)
            elif pause_count == self.term.pause_count:
                machine.failed_commands += 1

        batch = CommandBatch(self.term.number, machine.incarnation, commands)
        self.transport.send(server, machine.name, machine.address, batch, on_reply)

    # Replies

    def handle_reply(self, server: str | None, body: bytes) -> None:
        """Takes the status in a worker's reply, unless a later leader commands the worker."""
        if not self.term.active:
            return
        try:
            heartbeat = _heartbeat_decoder.decode(body)
        except msgspec.DecodeError as error:
            log.warning("a worker's reply can't be decoded: %s", error)
            return
        if heartbeat.fencing_token > self.term.number:
            log.info(
                "event=higher_token term=%d token=%d machine=%s",
                self.term.number,
                heartbeat.fencing_token,
                heartbeat.machine,
            )
            return
        self._on_heartbeat(server or "", heartbeat)
