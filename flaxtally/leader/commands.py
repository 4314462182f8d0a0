"""Orders to machines and their answers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import msgspec

from ..lending.entitlement import NOTHING, Amounts, amounts_of
from ..protocol import wire
from .term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ledger.placement import Placement
    from ..planning.fleet import Machine

log = logging.getLogger(__name__)

MOST_ORDERS = 200


class CommandTransport:
    """How the leader's orders and questions reach machines; the dispatch actor implements it."""

    def send(
        self,
        server: str | None,
        machine: str,
        address: str,
        body: dict[str, Any] | None,
        done: Callable[[int, bytes], None],
    ) -> None:
        """Orders (or, with no body, a status question); `done(0, b"")` when no answer came."""
        raise NotImplementedError

    def other_controllers(self, zone: str) -> list[str]:
        """The other live controllers that can carry, those of the zone first."""
        raise NotImplementedError

    def recent_heartbeats(self) -> list[wire.Heartbeat]:
        """The last reports that this node took itself, for a leader that has just begun."""
        raise NotImplementedError


class CommandSender(TermActor):
    """Owns the commands to be sent, and which launches may still arrive."""

    def __init__(self, term: Term, carrier: CommandTransport) -> None:
        super().__init__(term)
        self.transport = carrier
        self.on_heartbeat: Callable[[str, wire.Heartbeat], None] = lambda *_: None
        self._stopping: dict[str, Amounts] = {}
        """What the tasks take that were told to stop and are not proven over, by team."""
        self._outbox: dict[str, list[tuple[dict[str, Any], Placement | None]]] = {}

    def enqueue(self, machine: Machine, order: dict[str, Any], launched: Placement | None) -> None:
        if not self._outbox:
            self.runtime.soon(self._send)
        # Whether it was carried out shows in what the machine reports.
        machine.converged_tasks = None
        self._outbox.setdefault(machine.name, []).append((order, launched))

    def launch_task(self, placed: Placement) -> None:
        machine = self.fleet.machines.get(placed.machine)
        if machine is None:
            return
        placed.command_sent_at = self.runtime.now()
        self.enqueue(machine, wire.launch(placed.name, placed.attempt), placed)

    def stop_task(self, placed: Placement, grace: float) -> None:
        machine = self.fleet.machines.get(placed.machine)
        if machine is None:
            return
        now = self.runtime.now()
        placed.command_sent_at = now
        self.mark_stopping(placed)
        self.enqueue(machine, wire.stop(placed.name, placed.attempt, grace), None)

    def mark_stopping(self, placed: Placement) -> None:
        """The task was told to stop, by this leader or an earlier one."""
        if placed.stopping_at is None:
            placed.stopping_at = self.runtime.now()
            spec = placed.job.spec
            before = self._stopping.get(spec.team, NOTHING)
            self._stopping[spec.team] = before.plus(amounts_of(spec))

    def forget_stopping(self, placed: Placement) -> None:
        """The placement is proven over."""
        if placed.stopping_at is not None:
            spec = placed.job.spec
            self._stopping[spec.team] = self._stopping[spec.team].minus(amounts_of(spec))

    def usage_not_stopping(self, team: str) -> Amounts:
        """What a team's tasks take that were not told to stop."""
        return self.term.team_usage(team).minus(self._stopping.get(team, NOTHING))

    def stop_best_effort(self, machine: Machine) -> None:
        """Stops the machine's best-effort tasks that can save; others are left to end."""
        for placed in machine.placements.values():
            if placed.is_best_effort and placed.job.spec.checkpoint_interval_s:
                self.stop_task(placed, placed.job.spec.checkpoint_save_s)

    def resume(self) -> None:
        """Leadership was confirmed after a pause: what waited meanwhile is sent."""
        if self._outbox:
            self._send()

    def _send(self) -> None:
        if self.term.suspended:
            return
        outbox, self._outbox = self._outbox, {}
        for name, entries in outbox.items():
            machine = self.fleet.machines.get(name)
            if machine is None or not machine.address:
                # Of an earlier term, not heard in this yet: its first report has the stops sent
                # again.
                continue
            # A placement may have been proven over while its launch waited here.
            entries = [
                (order, placed)
                for order, placed in entries
                if placed is None or placed.job.placements.get(placed.task) is placed
            ]
            for start in range(0, len(entries), MOST_ORDERS):
                part = entries[start : start + MOST_ORDERS]
                self._send_batch(
                    machine, [order for order, _ in part], [placed for _, placed in part if placed]
                )

    def _send_batch(
        self, machine: Machine, orders: list[dict[str, Any]], launched: list[Placement]
    ) -> None:
        server, pauses = machine.shard_owner, self.term.pause_count
        for placed in launched:
            # Set as the order leaves: this session is the last in which a copy of it can be
            # executed.
            placed.launch_incarnation = max(placed.launch_incarnation, machine.incarnation)
            placed.launches_in_flight += 1

        def told(status: int, body: bytes) -> None:
            if status in (200, 409):
                for placed in launched:
                    placed.launches_in_flight -= 1
                if machine.is_unresponsive:
                    machine.mark_changed()
                machine.failed_commands = 0
                self.handle_reply(server, body)
            elif pauses == self.term.pause_count:
                machine.failed_commands += 1

        self.transport.send(
            server,
            machine.name,
            machine.address,
            wire.orders_body(self.term.number, machine.incarnation, orders),
            told,
        )

    def handle_reply(self, server: str | None, body: bytes) -> None:
        if not self.term.active:
            return
        try:
            report = msgspec.msgpack.decode(body, type=wire.Heartbeat)
        except msgspec.DecodeError as fault:
            log.warning("a worker's answer: %s", fault)
            return
        if report.fencing_token > self.term.number:
            log.info(
                "event=higher_token term=%d token=%d machine=%s",
                self.term.number,
                report.fencing_token,
                report.machine,
            )
            return
        self.on_heartbeat(server or "", report)

    def send_empty_command(self, machine: Machine) -> None:
        """An empty order, one at a time: does the machine answer again?"""
        now = self.runtime.now()
        if now - machine.empty_command_at >= 1.5 * self.policy.order_call:
            machine.empty_command_at = now
            self.send_fencing_token(machine)

    def send_fencing_token(self, machine: Machine) -> None:
        """An empty order: it raises the worker's token, and its answer is the baseline."""
        if machine.address:
            machine.incarnation = max(machine.incarnation, 1)
            self._send_batch(machine, [], [])
