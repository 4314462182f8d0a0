"""Health checks: probes of silent machines, and zones that are silent as a whole."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...clients.workers import WORKER_SOCKETS_FRACTION
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...planning.fleet import Machine
    from ..commands import CommandSender

PROBING_SHARE = 0.5
"""Of the connections for calls to workers: commands to others go on while a zone is silent."""
MIN_SILENT_MACHINES = 3
"""For a zone to count as silent."""


class _ZoneCount:
    """How many machines of a zone are up, and how many of these are silent."""

    __slots__ = ("silent", "up")

    def __init__(self) -> None:
        self.up = 0
        self.silent = 0

    @property
    def is_mostly_silent(self) -> bool:
        return self.silent >= MIN_SILENT_MACHINES and self.silent * 2 > self.up


class HealthChecks(TermActor):
    """Owns the probes under way."""

    def __init__(self, term: Term, commands: CommandSender) -> None:
        """`commands` reads the status that a probe's answer carries."""
        super().__init__(term)
        self._commands = commands
        self._probed_machine_count = 0
        """Machines that are being probed."""
        called_sockets = self.settings.max_sockets * WORKER_SOCKETS_FRACTION
        self._max_probed_machines = max(1, int(called_sockets * PROBING_SHARE))
        self._zone_silent_until: dict[str, float] = {}

    def find_silent_zones(self, now: float) -> set[str]:
        """Zones in which most machines fell silent together.

        The likely cause is the network or a controller, while the machines are well.
        """
        for zone, count in self._count_machines(now).items():
            if count.is_mostly_silent:
                # It lasts beyond the return of half of the machines: the others are to follow.
                self._zone_silent_until[zone] = now + self.policy.machine_silence
        return {zone for zone, until in self._zone_silent_until.items() if until > now}

    def _count_machines(self, now: float) -> dict[str, _ZoneCount]:
        counts: dict[str, _ZoneCount] = {}
        for machine in self.fleet.machines.values():
            if machine.is_booting or machine.is_terminating:
                continue
            count = counts.get(machine.zone)
            if count is None:
                count = counts[machine.zone] = _ZoneCount()
            count.up += 1
            if now - machine.last_heartbeat_at > self.policy.machine_suspect:
                count.silent += 1
        return counts

    def probe_machine(self, machine: Machine) -> None:
        """Asks the machine directly and through another controller, at the same time.

        One answer is enough; without any, more than this controller is cut off from the machine.
        Nothing is sent while the machine, or too many others, are being probed.
        """
        if machine.open_probes or not machine.address:
            return
        if self._probed_machine_count >= self._max_probed_machines:
            return
        servers = self._choose_servers(machine)
        machine.open_probes = len(servers)
        self._probed_machine_count += 1
        transport = self._commands.transport
        pause_count = self.term.pause_count
        for server in servers:
            on_reply = partial(self._on_probe_reply, machine, pause_count, server)
            transport.send(server, machine.name, machine.address, None, on_reply)

    def _choose_servers(self, machine: Machine) -> list[str]:
        """The controllers that probe: this one, and the others in turn."""
        servers = [self.settings.node]
        others = self._commands.transport.other_controllers(machine.zone)
        if others:
            servers.append(others[machine.failed_probes // 2 % len(others)])
        return servers

    def _on_probe_reply(
        self, machine: Machine, pause_count: int, server: str, status: int, body: bytes
    ) -> None:
        machine.open_probes -= 1
        if not machine.open_probes:
            self._probed_machine_count -= 1
        if status == 200:
            machine.failed_probes = 0
            self._commands.handle_reply(server, body)
        elif pause_count == self.term.pause_count:
            machine.failed_probes += 1
