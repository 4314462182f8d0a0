"""Questions to machines that are silent, and zones that are silent as a whole."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...clients.workers import CALLED_SHARE
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...planning.fleet import Machine
    from ..commands import CommandSender

PROBING_SHARE = 0.5
"""Of the connections for calls to workers: when a zone is silent, orders to the others go on."""


class HealthChecks(TermActor):
    """Owns the probes under way."""

    def __init__(self, term: Term, orders: CommandSender) -> None:
        super().__init__(term)
        self.commands = orders
        self._probing = 0
        """Machines that are being probed."""
        self._most_probed = max(1, int(self.settings.max_sockets * CALLED_SHARE * PROBING_SHARE))
        self._zone_silent_until: dict[str, float] = {}

    def silent_zones(self, now: float) -> set[str]:
        """Zones in which most machines fell silent together.

        That is the network or a controller, and the machines are likely well.
        """
        counts: dict[str, list[int]] = {}
        for machine in self.fleet.machines.values():
            if not machine.is_booting and not machine.is_terminating:
                count = counts.setdefault(machine.zone, [0, 0])
                count[0] += 1
                count[1] += now - machine.last_heartbeat_at > self.policy.machine_suspect
        for zone, (up, silent) in counts.items():
            if silent >= 3 and silent * 2 > up:
                # Not over as soon as half of them report again: the others are then on their way.
                self._zone_silent_until[zone] = now + self.policy.machine_silence
        return {zone for zone, until in self._zone_silent_until.items() if until > now}

    def probe(self, machine: Machine) -> None:
        """Asks the machine directly and through another controller, at the same time.

        One answer is enough. Where neither comes, it is not just this controller that is cut off.
        Nothing happens while it is being probed, or too many others are.
        """
        if machine.open_probes or not machine.address or self._probing >= self._most_probed:
            return
        servers = [self.settings.node]
        others = self.commands.transport.other_controllers(machine.zone)
        if others:
            servers.append(others[machine.failed_probes // 2 % len(others)])
        pauses = self.term.pause_count

        def told(server: str, status: int, body: bytes) -> None:
            machine.open_probes -= 1
            self._probing -= not machine.open_probes
            if status == 200:
                machine.failed_probes = 0
                self.commands.handle_reply(server, body)
            elif pauses == self.term.pause_count:
                machine.failed_probes += 1

        machine.open_probes = len(servers)
        self._probing += 1
        for server in servers:
            done = partial(told, server)
            self.commands.transport.send(server, machine.name, machine.address, None, done)
