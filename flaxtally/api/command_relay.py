"""Relays the leader's commands to workers through the controllers that reply to their heartbeats.

The leader's controller asks the owner of the machine's shard to send the commands. The owner
returns the worker's reply in its result.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ..cluster.messages import RelayedCommand, RelayedCommandResult, to_frame
from ..leader.commands import CommandTransport
from ..protocol.workers import encode_batch, fencing_token_of
from ..runtime.actor import Actor
from .command_deduplicator import CommandDeduplicator
from .sharding import map_controllers_to_zones

if TYPE_CHECKING:
    from ..clients.workers import Workers
    from ..cluster.leader_election import LeaderElection
    from ..cluster.peer_links import PeerLinks
    from ..policy import Policy
    from ..protocol import wire
    from ..protocol.workers import EncodedBatch
    from ..runtime.loop import Runtime, Timer
    from ..settings import Settings
    from .recent_heartbeats import RecentHeartbeats

OnCommandReply = Callable[[int, bytes], None]
"""Gets the status and body of a worker's reply; the status is `NO_REPLY` if there was none."""
NO_REPLY = 0
MIN_REMEMBERED_COMMANDS = 4096
REMEMBERED_COMMANDS_PER_SOCKET = 4
"""Command numbers to remember for the detection of duplicates, per socket. The sockets bound the
number of machines that a controller may have to relay commands to.
"""
RELAY_TIMEOUT_FACTOR = 1.25
"""Timeout for the result of a relayed command, as a multiple of that for a call to a worker."""


class _PendingCommand(NamedTuple):
    """A batch of commands that another controller was asked to send to a worker."""

    controller: str
    on_reply: OnCommandReply
    timer: Timer


class CommandRelay(Actor, CommandTransport):
    """Tracks commands relayed through other controllers, and the numbers of those received."""

    def __init__(
        self,
        runtime: Runtime,
        settings: Settings,
        policy: Policy,
        election: LeaderElection,
        peers: PeerLinks,
        workers: Workers,
        heartbeats: RecentHeartbeats,
    ) -> None:
        """`workers`: the client for the workers that this controller calls directly."""
        super().__init__(runtime)
        self._node = settings.node
        self._zone_by_controller = map_controllers_to_zones(settings)
        self._reply_timeout_s = policy.order_call * RELAY_TIMEOUT_FACTOR
        self._election = election
        self._peers = peers
        self._workers = workers
        self._heartbeats = heartbeats
        self._numbers = itertools.count(election.incarnation)
        self._pending: dict[int, _PendingCommand] = {}
        """By the number of the command."""
        self._deduplicators: dict[str, CommandDeduplicator] = {}
        """By leader, for the current term. Within a term, a leader is a single process whose
        command numbers increase.
        """
        self._deduplicators_term = 0
        self._max_remembered = max(
            MIN_REMEMBERED_COMMANDS, REMEMBERED_COMMANDS_PER_SOCKET * settings.max_sockets
        )

    # At the leader

    def send(
        self,
        controller: str | None,
        machine: str,
        address: str,
        batch: wire.CommandBatch | None,
        on_reply: OnCommandReply,
    ) -> None:
        """Sends commands to a machine's worker, or a status query if `batch` is None.

        They are relayed through `controller`, or sent directly if that is None, is this controller,
        or can't be reached.
        """
        if (
            controller is None
            or controller == self._node
            or not self._peers.is_reachable(controller)
        ):
            self._call_worker(address, batch, on_reply)
            return
        encoded = encode_batch(batch) if batch is not None else None
        number = next(self._numbers)
        timer = self.later(self._reply_timeout_s, self._on_reply_timeout, number)
        self._pending[number] = _PendingCommand(controller, on_reply, timer)
        incarnation = self._election.get_peer_incarnation(controller)
        command = RelayedCommand(
            number=number,
            machine=machine,
            address=address,
            commands=encoded,
            receiver_incarnation=msgspec.UNSET if incarnation is None else incarnation,
        )
        self._peers.send(controller, to_frame(command))

    def list_other_controllers(self, zone: str) -> list[str]:
        """Returns the other live controllers that can relay commands, those of the zone first."""
        live = [
            name
            for name in self._election.live_members
            if name != self._node and self._peers.is_directly_reachable(name)
        ]
        return sorted(live, key=lambda name: self._zone_by_controller.get(name) != zone)

    def list_recent_heartbeats(self) -> list[wire.Heartbeat]:
        """Returns the latest heartbeats that this controller received, for a new leader."""
        return self._heartbeats.list_recent()

    def handle_result(self, sender: str, result: RelayedCommandResult) -> None:
        """Handles the result from a controller that was asked to send commands."""
        pending = self._pending.get(result.number)
        if pending is None or pending.controller != sender:
            return
        del self._pending[result.number]
        pending.timer.cancel()
        pending.on_reply(result.status, result.body)

    def _on_reply_timeout(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.on_reply(NO_REPLY, b"")

    # At the controller that relays

    def handle_command(self, sender: str, command: RelayedCommand) -> None:
        """Sends the leader's commands to a worker, and the worker's reply back to the leader.

        Late commands are harmless: they contain the fencing token and the worker's incarnation.
        Commands that this process may have sent before are ignored.
        """
        if not self._should_execute(sender, command):
            return

        def on_reply(status: int, body: bytes) -> None:
            result = RelayedCommandResult(
                number=command.number,
                status=status,
                body=body,
                machine=command.machine if status != NO_REPLY else msgspec.UNSET,
            )
            self._peers.send(sender, to_frame(result))

        self._call_worker(command.address, command.commands, on_reply)

    def _should_execute(self, sender: str, command: RelayedCommand) -> bool:
        """Whether the commands are of the current term and arrive for the first time.

        True for a status query, which may be repeated.
        """
        if command.commands is None:
            return True
        term = self._election.term
        if fencing_token_of(command.commands) != term:
            return False
        if command.receiver_incarnation not in (msgspec.UNSET, self._election.incarnation):
            # An earlier process of this controller may have sent the commands.
            return False
        if term != self._deduplicators_term:
            self._deduplicators_term = term
            self._deduplicators = {}
        deduplicator = self._deduplicators.get(sender)
        if deduplicator is None:
            deduplicator = CommandDeduplicator(self._max_remembered)
            self._deduplicators[sender] = deduplicator
        return deduplicator.is_new(command.number)

    # To the worker

    def _call_worker(
        self,
        address: str,
        batch: wire.CommandBatch | EncodedBatch | None,
        on_reply: OnCommandReply,
    ) -> None:
        if batch is None:
            self._workers.query_status(address, on_reply)
        else:
            self._workers.send_commands(address, batch, on_reply)
