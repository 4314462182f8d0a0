"""The leader's commands to workers, and the replies to them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

import msgspec

from ..protocol import workers
from ..protocol.workers import Command, CommandBatch, Heartbeat
from .confirmed_stops import ConfirmedStops, UnconfirmedStop
from .stopping_tasks import StoppingTasks
from .term import Term, TermActor

if TYPE_CHECKING:
    from ..clients.workers import OnReply
    from ..ledger.placement import Placement
    from ..planning.fleet import Machine

log = logging.getLogger(__name__)

EXECUTED, REFUSED = 200, 409
"""The statuses of a worker's reply to a batch of commands."""
MAX_BATCH_COMMANDS = 200
"""The most commands sent to a worker in one request."""
EMPTY_BATCH_INTERVAL_RATIO = 1.5
"""The shortest time between two empty batches to a machine, as a multiple of `order_call`."""

_heartbeat_decoder = msgspec.msgpack.Decoder(Heartbeat)


class CommandTransport(Protocol):
    """Carries commands and status queries to workers, and keeps the heartbeats received here."""

    def send(
        self,
        controller: str | None,
        machine: str,
        address: str,
        batch: CommandBatch | None,
        on_reply: OnReply,
    ) -> None:
        """Sends commands to a worker, or a status query where `batch` is None.

        `controller`: the controller that the machine reports to, which sends them; None if it is
        unknown. `on_reply` is called with `(0, b"")` if no reply arrived.
        """

    def list_other_controllers(self, zone: str) -> list[str]:
        """Returns the other live controllers that can call workers, those of the zone first."""
        raise NotImplementedError

    def list_recent_heartbeats(self) -> list[Heartbeat]:
        """Returns the newest heartbeat of each machine that reported to this controller itself.

        A new leader learns the machines from them.
        """
        raise NotImplementedError


OnSent = Callable[[int], None]
"""Called with the fencing token under which a command is sent, each time that it is."""


class _QueuedCommand(NamedTuple):
    """A command to be sent at the end of this iteration of the event loop."""

    command: Command
    launched: Placement | None = None
    """The placement that the command launches; None if it is no launch command."""
    on_sent: OnSent | None = None

    @property
    def is_obsolete(self) -> bool:
        """Whether it launches a placement that was proven finished while it was queued."""
        return self.launched is not None and not self.launched.is_current


class _RefusedBatch(NamedTuple):
    """Commands that a machine refused by a token of this leader that is higher than theirs."""

    machine: Machine
    incarnation: int
    queued: list[_QueuedCommand]


class CommandSender(TermActor):
    """Queues and sends commands, and tracks which launch commands have no reply.

    A machine refuses the commands of a former leader only after it has heard of the successor.
    Launches, and stops of cancelled tasks, carry out what is committed, whoever sends them. All
    other stops are decisions of the leader alone: leadership is confirmed before they are sent.
    """

    def __init__(
        self,
        term: Term,
        transport: CommandTransport,
        on_heartbeat: Callable[[str, Heartbeat], None],
    ) -> None:
        """Creates a sender with an empty queue.

        `on_heartbeat`: called with the controller that carried a reply and the status in it.
        """
        super().__init__(term)
        self.transport = transport
        self._on_heartbeat = on_heartbeat
        self.stopping_tasks = StoppingTasks(term)
        self._outbox: dict[str, list[_QueuedCommand]] = {}
        """The commands to be sent, by machine."""
        self._refused: list[_RefusedBatch] = []
        """Batches that machines refused by a token that the leader is taking."""
        self._confirmed_stops = ConfirmedStops(term, self.stopping_tasks, self._enqueue_stop)

    # Commands

    def enqueue(
        self,
        machine: Machine,
        command: Command,
        launched: Placement | None = None,
        on_sent: OnSent | None = None,
    ) -> None:
        """Queues a command, to be sent with the others of this iteration of the event loop.

        `launched`: the placement that the command launches, if it is a launch command.
        """
        self._enqueue(machine, [_QueuedCommand(command, launched, on_sent)])

    def _enqueue(self, machine: Machine, queued: list[_QueuedCommand]) -> None:
        self._schedule_sending()
        # The machine's next heartbeat shows whether the command was executed.
        machine.converged_tasks = None
        self._outbox.setdefault(machine.name, []).extend(queued)

    def _schedule_sending(self) -> None:
        if not self._outbox and not self._confirmed_stops.is_waiting:
            self.runtime.soon(self._send_queued)

    def launch_task(self, placement: Placement) -> None:
        """Commands the placement's machine to start the task."""
        machine = self.fleet.machines.get(placement.machine)
        if machine is None:
            return
        placement.command_sent_at = self.runtime.now()
        self.enqueue(machine, workers.launch(placement.name, placement.attempt), placement)

    def stop_task(self, placement: Placement, grace_s: float) -> None:
        """Commands the placement's machine to stop the task, with time to save a checkpoint.

        Unless the job's cancellation is committed, the command is sent only once leadership is
        confirmed. If it isn't, the task does not count as stopping any more.
        """
        if placement.machine not in self.fleet.machines:
            return
        placement.command_sent_at = self.runtime.now()
        is_first = placement.stopping_at is None
        self.stopping_tasks.mark(placement)
        if placement.job.is_cancellation_committed:
            self._enqueue_stop(placement, grace_s)
        else:
            self._schedule_sending()
            self._confirmed_stops.add(UnconfirmedStop(placement, grace_s, is_first))

    def _enqueue_stop(self, placement: Placement, grace_s: float) -> None:
        machine = self.fleet.machines.get(placement.machine)
        if machine is not None:
            self.enqueue(machine, workers.stop(placement.name, placement.attempt, grace_s))

    def stop_best_effort(self, machine: Machine) -> None:
        """Stops the machine's best-effort tasks that write checkpoints; the others may finish."""
        for placement in machine.placements.values():
            if placement.is_best_effort and placement.job.spec.checkpoint_interval_s:
                self.stop_task(placement, placement.job.spec.checkpoint_save_s)

    def send_empty_command(self, machine: Machine) -> None:
        """Sends an empty batch to find out whether the machine replies again.

        Does nothing if the previous one was sent too recently.
        """
        now = self.runtime.now()
        if now - machine.empty_command_at >= EMPTY_BATCH_INTERVAL_RATIO * self.policy.order_call:
            machine.empty_command_at = now
            self.send_fencing_token(machine)

    def send_fencing_token(self, machine: Machine) -> None:
        """Sends an empty batch: it raises the worker's token, and the reply reconciles the machine.

        Does nothing while the machine's address is unknown.
        """
        if machine.address:
            machine.incarnation = max(machine.incarnation, 1)
            self._send_batch(machine, [])

    # Sending

    def resume(self) -> None:
        """Sends the commands queued during a pause, once leadership is confirmed."""
        if self._outbox or self._confirmed_stops.is_waiting:
            self._send_queued()

    def _send_queued(self) -> None:
        if self.term.authority.is_suspended:
            return
        self._confirmed_stops.request_confirmation()
        outbox = self._outbox
        self._outbox = {}
        for name, queued in outbox.items():
            machine = self.fleet.machines.get(name)
            # A machine without an address is known from an earlier term and has sent no heartbeat
            # in this one: its first heartbeat makes the leader send the stops again.
            if machine is not None and machine.address:
                self._send_in_batches(
                    machine,
                    [queued_command for queued_command in queued if not queued_command.is_obsolete],
                )

    def _send_in_batches(self, machine: Machine, queued: list[_QueuedCommand]) -> None:
        for start in range(0, len(queued), MAX_BATCH_COMMANDS):
            self._send_batch(machine, queued[start : start + MAX_BATCH_COMMANDS])

    def _send_batch(self, machine: Machine, queued: list[_QueuedCommand]) -> None:
        controller = machine.shard_owner
        pause_count = self.term.pause_count
        batch = CommandBatch(
            self.term.number, machine.incarnation, [each.command for each in queued]
        )
        launched = [each.launched for each in queued if each.launched is not None]
        for placement in launched:
            # Set when the command is sent: no later incarnation of the worker, and none that has
            # seen a higher token, can execute a copy of it.
            placement.launch_incarnation = max(placement.launch_incarnation, batch.incarnation)
            placement.launch_token = batch.fencing_token
            placement.launches_in_flight += 1
        for each in queued:
            if each.on_sent is not None:
                each.on_sent(batch.fencing_token)

        def on_reply(status: int, body: bytes) -> None:
            heartbeat = _decode_status(body) if status in (EXECUTED, REFUSED) else None
            if heartbeat is not None and heartbeat.machine == machine.name:
                for placement in launched:
                    placement.launches_in_flight -= 1
                if machine.is_unresponsive:
                    machine.mark_changed()
                machine.failed_commands = 0
            elif pause_count == self.term.pause_count:
                machine.failed_commands += 1
            if heartbeat is not None:
                if status == REFUSED:
                    self._send_again_if_token_rose(machine, queued, batch, heartbeat)
                self._handle_status(controller, heartbeat)

        self.transport.send(controller, machine.name, machine.address, batch, on_reply)

    # Commands refused because this leader has taken a further term

    def _send_again_if_token_rose(
        self,
        machine: Machine,
        queued: list[_QueuedCommand],
        batch: CommandBatch,
        heartbeat: Heartbeat,
    ) -> None:
        """Sends commands again that a machine refused only by this leader's own higher token."""
        token = heartbeat.fencing_token
        is_token_only = token > batch.fencing_token and heartbeat.incarnation == batch.incarnation
        if not (queued and is_token_only and self.term.active and self.term.is_own_token(token)):
            return
        refused = _RefusedBatch(machine, batch.incarnation, queued)
        if token <= self.term.number:
            self._send_again(refused)
        else:
            self._refused.append(refused)

    def _send_again(self, refused: _RefusedBatch) -> None:
        machine = refused.machine
        if machine.incarnation == refused.incarnation:
            self._enqueue(machine, refused.queued)

    def on_token_raised(self) -> None:
        """Sends the commands again that machines refused by the token, before it was known here."""
        all_refused = self._refused
        self._refused = []
        for refused in all_refused:
            self._send_again(refused)

    # Replies

    def handle_reply(self, controller: str | None, body: bytes) -> None:
        """Processes the status in a worker's reply, if it can be decoded."""
        heartbeat = _decode_status(body) if self.term.active else None
        if heartbeat is not None:
            self._handle_status(controller, heartbeat)

    def _handle_status(self, controller: str | None, heartbeat: Heartbeat) -> None:
        """Processes the status in a reply, unless a later leader commands the worker."""
        if not self.term.active:
            return
        if self.term.is_later_token(heartbeat.fencing_token):
            self.term.on_higher_token(heartbeat.machine, heartbeat.fencing_token)
            return
        self._on_heartbeat(controller or "", heartbeat)


def _decode_status(body: bytes) -> Heartbeat | None:
    """Returns the status in a worker's reply; None if it is none, which is logged."""
    try:
        return _heartbeat_decoder.decode(body)
    except msgspec.DecodeError as error:
        log.warning("cannot decode a worker's reply, ignoring it: %s", error)
        return None
