"""Machines that are given back, and the cloud's list of those that there are."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ...clients.cloud import MOST_RELEASED
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...planning.fleet import Machine
    from ..commands import CommandSender

log = logging.getLogger(__name__)


class ScaleIn(TermActor):
    """Owns the releases under way, and the list that was asked for."""

    def __init__(self, term: Term, orders: CommandSender, gone: Callable[[Machine], None]) -> None:
        """`gone`: a machine is proven gone."""
        super().__init__(term)
        self.commands, self._gone = orders, gone
        self._releasing_now = False
        self._listing = False
        self._next_listing = float("-inf")

    def terminate(self, machine: Machine, why: str) -> None:
        """The machine is given back, with all that is on it; nothing is placed there any more."""
        log.info(
            "event=release term=%d machine=%s type=%s zone=%s spot=%s tasks=%d why=%r",
            self.term.number,
            machine.name,
            machine.machine_type,
            machine.zone,
            machine.spot,
            len(machine.placements),
            why,
        )
        machine.is_terminating = True
        machine.mark_changed()

    def flush(self) -> None:
        """Asks the cloud to take the machines that are to be released, one request at a time."""
        now = self.runtime.now()
        names = [machine.name for machine in self.fleet.machines.values() if machine.is_terminating]
        if not names or self._releasing_now:
            return
        names = sorted(names, key=lambda name: self.fleet.machines[name].termination_tried_at)[
            :MOST_RELEASED
        ]
        for name in names:
            self.fleet.machines[name].termination_tried_at = now
        self._releasing_now = True

        def told(released: bool) -> None:
            if not self.term.active:
                return
            self._releasing_now = False
            if released:
                for name in names:
                    self._released(name)

        self.cloud.terminate(names, told)

    def _released(self, name: str) -> None:
        """The cloud's 200 is the proof that the machine and all that was on it are gone."""
        machine = self.fleet.machines.pop(name, None)
        self.fleet.removed_machines.add(name)
        if machine is not None:
            self._gone(machine)

    def _unlisted(self, listed: set[str], asked_at: float) -> None:
        """Releases machines that an earlier leader released and could not commit.

        The ledger places tasks on them, no report of this term came from them, and the cloud no
        longer lists them. The list proves nothing; the release's answer will. One that is newer
        than the list is old works, and is not listed yet: names are in the order of creation, and
        after twice the lag all of the earlier leader's are listed.
        """
        late_enough = asked_at - self.term.began_at > 2 * self.settings.list_lag_s
        newest = max(listed, default="")
        for machine in self.fleet.machines.values():
            silent = (
                not machine.is_reconciled
                and not machine.machine_type
                and not machine.is_terminating
            )
            missing = machine.name not in listed and (late_enough or machine.name < newest)
            if silent and machine.placements and missing:
                self.terminate(machine, "placed on by an earlier leader, silent and not listed")

    def list_machines(self) -> None:
        """Asks the cloud for its list, which lags: it finds machines, and never proves one gone.

        One list at a time: at thousands of machines it takes longer than the step between two.
        """
        asked_at = self.runtime.now()
        if self._listing or asked_at < self._next_listing:
            return
        self._listing = True

        def told(listed: list[wire.Listed] | None) -> None:
            now = self.runtime.now()
            self._listing = False
            # A long list takes many calls: half of them are left to others.
            self._next_listing = now + (now - asked_at)
            if listed is None or not self.term.may_act:
                return
            self._unlisted({entry.machine for entry in listed}, asked_at)
            for entry in listed:
                if entry.machine in self.fleet.removed_machines:
                    continue
                machine = self.fleet.machines.get(entry.machine)
                if machine is None:
                    log.info(
                        "event=found term=%d machine=%s stage=%s",
                        self.term.number,
                        entry.machine,
                        entry.state,
                    )
                    machine = self.fleet.add_machine(
                        entry.machine, entry.machine_type, entry.zone, entry.spot
                    )
                    machine.provisioned_at = now - entry.age_s
                if not machine.machine_type:
                    machine.machine_type, machine.spot = entry.machine_type, entry.spot
                if entry.address and not machine.address:
                    machine.address = entry.address
                    if entry.state != wire.BOOTING:
                        self.commands.send_fencing_token(machine)
                if entry.state == wire.FAILED and not machine.is_terminating:
                    self.terminate(machine, "listed as failed")
                elif (
                    entry.state == wire.RUNNING and machine.is_booting and not machine.is_reconciled
                ):
                    machine.is_booting = False
                    machine.last_heartbeat_at = now
            self.flush()

        self.cloud.list_machines(told)
