"""Terminates machines, and compares the fleet with the cloud's list of machines."""

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
    """Owns the termination request and the list request that are in flight."""

    def __init__(
        self,
        term: Term,
        commands: CommandSender,
        on_machine_removed: Callable[[Machine], None],
    ) -> None:
        """`on_machine_removed`: called once a machine is proven to be terminated."""
        super().__init__(term)
        self._commands = commands
        self._on_machine_removed = on_machine_removed
        self._is_termination_in_flight = False
        self._is_listing_in_flight = False
        self._next_listing_at = float("-inf")

    # Termination

    def terminate(self, machine: Machine, reason: str) -> None:
        """Marks a machine, with all tasks on it, for termination.

        Nothing is placed there any more; `send_terminations` sends the request.
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
        if not names or self._is_termination_in_flight:
            return
        names = sorted(names, key=lambda name: self.fleet.machines[name].termination_tried_at)[
            :MAX_MACHINES_PER_TERMINATE_CALL
        ]
        for name in names:
            self.fleet.machines[name].termination_tried_at = now
        self._is_termination_in_flight = True
        self.cloud.terminate(
            names,
            lambda is_terminated: self._on_termination_reply(names, is_terminated=is_terminated),
        )

    def _on_termination_reply(self, names: list[str], *, is_terminated: bool) -> None:
        if not self.term.active:
            return
        self._is_termination_in_flight = False
        if is_terminated:
            for name in names:
                self._remove_machine(name)

    def _remove_machine(self, name: str) -> None:
        """Removes a machine: the cloud's 200 proves that it and its tasks are terminated."""
        machine = self.fleet.machines.pop(name, None)
        self.fleet.removed_machines.add(name)
        if machine is not None:
            self._on_machine_removed(machine)

    # The cloud's list

    def list_machines(self) -> None:
        """Requests the cloud's list of machines, which lags behind the actual state.

        The list serves to discover machines; it never proves that one is terminated. One list is
        requested at a time: with thousands of machines it takes longer than the interval between
        two calls of this method.
        """
        now = self.runtime.now()
        if self._is_listing_in_flight or now < self._next_listing_at:
            return
        self._is_listing_in_flight = True
        self.cloud.list_machines(partial(self._on_listed, now))

    def _on_listed(self, requested_at: float, entries: list[wire.ListedMachine] | None) -> None:
        now = self.runtime.now()
        self._is_listing_in_flight = False
        # A long list takes many API calls: waiting as long as it took leaves half of the allowed
        # calls to other requests.
        self._next_listing_at = now + (now - requested_at)
        if entries is None or not self.term.may_act:
            return
        self._terminate_unlisted({entry.machine for entry in entries}, requested_at)
        for entry in entries:
            if entry.machine not in self.fleet.removed_machines:
                self._update_machine(self._get_or_add_machine(entry, now), entry, now)
        self.send_terminations()

    def _terminate_unlisted(self, listed: set[str], requested_at: float) -> None:
        """Terminates machines whose termination an earlier leader could not commit.

        The ledger has tasks placed on them, they sent no heartbeat in this term, and the cloud no
        longer lists them. Absence from the list proves nothing; the reply to the termination
        request will. A machine newer than the listed ones may exist and not be listed yet: names
        are in the order of creation, and after twice the lag of the list all machines of the
        earlier leader are listed.
        """
        is_list_lag_over = requested_at - self.term.began_at > 2 * self.settings.list_lag_s
        newest = max(listed, default="")
        for machine in self.fleet.machines.values():
            is_unknown = (
                not machine.is_reconciled
                and not machine.machine_type
                and not machine.is_terminating
            )
            is_absent_from_list = machine.name not in listed and (
                is_list_lag_over or machine.name < newest
            )
            if is_unknown and machine.placements and is_absent_from_list:
                self.terminate(
                    machine, "tasks placed by an earlier leader, no heartbeat, not listed"
                )

    def _get_or_add_machine(self, entry: wire.ListedMachine, now: float) -> Machine:
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
        """Updates a machine from its entry in the cloud's list."""
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
