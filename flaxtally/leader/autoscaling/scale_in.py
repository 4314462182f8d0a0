"""Machines that are terminated, and the cloud's list of the machines that exist."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from ...clients.cloud import MAX_MACHINES_PER_TERMINATE_CALL
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...planning.fleet import Machine
    from ..commands import CommandSender

log = logging.getLogger(__name__)


class ScaleIn(TermActor):
    """Owns the termination request under way, and the request for the cloud's list."""

    def __init__(
        self,
        term: Term,
        commands: CommandSender,
        on_machine_removed: Callable[[Machine], None],
    ) -> None:
        """`on_machine_removed`: called once a machine is proven to be gone."""
        super().__init__(term)
        self._commands = commands
        self._on_machine_removed = on_machine_removed
        self._is_terminating = False
        self._is_listing = False
        self._next_listing_at = float("-inf")

    # Termination

    def terminate(self, machine: Machine, reason: str) -> None:
        """Marks a machine for termination with all that is on it.

        Nothing is placed there from now on; `send_terminations` sends the request.
        """
        log.info(
            "event=machine_termination_requested term=%d machine=%s type=%s zone=%s spot=%s "
            "tasks=%d why=%r",
            self.term.number,
            machine.name,
            machine.machine_type,
            machine.zone,
            machine.spot,
            len(machine.placements),
            reason,
        )
        machine.is_terminating = True
        machine.mark_changed()

    def send_terminations(self) -> None:
        """Asks the cloud to terminate the machines marked for it, one request at a time."""
        now = self.runtime.now()
        names = [machine.name for machine in self.fleet.machines.values() if machine.is_terminating]
        if not names or self._is_terminating:
            return
        names = sorted(names, key=lambda name: self.fleet.machines[name].termination_tried_at)[
            :MAX_MACHINES_PER_TERMINATE_CALL
        ]
        for name in names:
            self.fleet.machines[name].termination_tried_at = now
        self._is_terminating = True
        self.cloud.terminate(
            names,
            lambda is_terminated: self._on_termination_reply(names, is_terminated=is_terminated),
        )

    def _on_termination_reply(self, names: list[str], *, is_terminated: bool) -> None:
        if not self.term.active:
            return
        self._is_terminating = False
        if is_terminated:
            for name in names:
                self._remove_machine(name)

    def _remove_machine(self, name: str) -> None:
        """Forgets a machine: the cloud's 200 proves that it and all that was on it are gone."""
        machine = self.fleet.machines.pop(name, None)
        self.fleet.removed_machines.add(name)
        if machine is not None:
            self._on_machine_removed(machine)

    # The cloud's list

    def list_machines(self) -> None:
        """Asks the cloud for its list, which lags: it finds machines, and never proves one gone.

        One list at a time: at thousands of machines it takes longer than the step between two.
        """
        now = self.runtime.now()
        if self._is_listing or now < self._next_listing_at:
            return
        self._is_listing = True
        self.cloud.list_machines(partial(self._on_listed, now))

    def _on_listed(self, requested_at: float, entries: list[wire.ListedMachine] | None) -> None:
        now = self.runtime.now()
        self._is_listing = False
        # A long list takes many calls: half of them are left to others.
        self._next_listing_at = now + (now - requested_at)
        if entries is None or not self.term.may_act:
            return
        self._terminate_unlisted({entry.machine for entry in entries}, requested_at)
        for entry in entries:
            if entry.machine not in self.fleet.removed_machines:
                self._update_machine(self._find_or_add_machine(entry, now), entry, now)
        self.send_terminations()

    def _terminate_unlisted(self, listed: set[str], requested_at: float) -> None:
        """Terminates machines that an earlier leader terminated and could not commit.

        The ledger places tasks on them, they sent no heartbeat in this term, and the cloud no
        longer lists them. The list proves nothing; the answer to the termination will. A machine
        newer than the listed ones may exist and not be listed yet: names are in the order of
        creation, and after twice the lag all machines of the earlier leader are listed.
        """
        is_lag_over = requested_at - self.term.began_at > 2 * self.settings.list_lag_s
        newest = max(listed, default="")
        for machine in self.fleet.machines.values():
            is_unknown = (
                not machine.is_reconciled
                and not machine.machine_type
                and not machine.is_terminating
            )
            is_missing = machine.name not in listed and (is_lag_over or machine.name < newest)
            if is_unknown and machine.placements and is_missing:
                self.terminate(machine, "placed on by an earlier leader, silent and not listed")

    def _find_or_add_machine(self, entry: wire.ListedMachine, now: float) -> Machine:
        machine = self.fleet.machines.get(entry.machine)
        if machine is None:
            log.info(
                "event=machine_discovered term=%d machine=%s state=%s",
                self.term.number,
                entry.machine,
                entry.state,
            )
            machine = self.fleet.add_machine(
                entry.machine, entry.machine_type, entry.zone, spot=entry.spot
            )
            machine.provisioned_at = now - entry.age_s
        return machine

    def _update_machine(self, machine: Machine, entry: wire.ListedMachine, now: float) -> None:
        """Takes over what the cloud's list says of a machine."""
        if not machine.machine_type:
            machine.machine_type = entry.machine_type
            machine.spot = entry.spot
        if entry.address and not machine.address:
            machine.address = entry.address
            if entry.state != wire.BOOTING:
                self._commands.send_fencing_token(machine)
        if entry.state == wire.FAILED and not machine.is_terminating:
            self.terminate(machine, "listed as failed")
        elif entry.state == wire.RUNNING and machine.is_booting and not machine.is_reconciled:
            machine.is_booting = False
            machine.last_heartbeat_at = now
