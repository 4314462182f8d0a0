"""Health checks: probes of machines, and detection of zones whose heartbeats are missing."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...clients.workers import WORKER_SOCKETS_FRACTION
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...planning.fleet import Machine
    from ..commands import CommandSender

MAX_PROBING_FRACTION = 0.5
"""The share of the connections for calls to workers that probes may use.

The rest stays free for commands to other machines while a zone sends no heartbeats.
"""
MIN_OVERDUE_MACHINES = 3
"""The fewest machines with missing heartbeats for which their whole zone may count as affected."""


class _ZoneCount:
    """How many machines of a zone are up, and how many of these have missing heartbeats."""

    __slots__ = ("overdue", "up")

    def __init__(self) -> None:
        self.up = 0
        self.overdue = 0

    @property
    def is_mostly_overdue(self) -> bool:
        return self.overdue >= MIN_OVERDUE_MACHINES and self.overdue * 2 > self.up


class HealthChecks(TermActor):
    """Probes machines, and owns the probes in flight."""

    def __init__(self, term: Term, commands: CommandSender) -> None:
        """Starts without probes; `commands` processes the status in the reply to a probe."""
        super().__init__(term)
        self._commands = commands
        self._probed_machine_count = 0
        """The number of machines that are being probed."""
        called_sockets = self.settings.max_sockets * WORKER_SOCKETS_FRACTION
        self._max_probed_machines = max(1, int(called_sockets * MAX_PROBING_FRACTION))
        self._zone_overdue_until: dict[str, float] = {}

    def find_zones_without_heartbeats(self, now: float) -> set[str]:
        """Returns the zones in which the heartbeats of most machines are missing.

        The probable cause is the network or a controller, while the machines still work.
        """
        for zone, count in self._count_machines(now).items():
            if count.is_mostly_overdue:
                # The zone still counts for a while after half of its machines are back: the
                # others probably follow.
                self._zone_overdue_until[zone] = now + self.policy.machine_silence
        return {zone for zone, until in self._zone_overdue_until.items() if until > now}

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
                count.overdue += 1
        return counts

    def probe_machine(self, machine: Machine) -> None:
        """Queries the machine's status directly and through another controller at the same time.

        One reply is enough. If neither replies, not only this controller is cut off from the
        machine. Nothing is sent while the machine, or too many others, are being probed.
        """
        if machine.open_probes or not machine.address:
            return
        if self._probed_machine_count >= self._max_probed_machines:
            return
        controllers = self._choose_controllers(machine)
        machine.open_probes = len(controllers)
        self._probed_machine_count += 1
        transport = self._commands.transport
        pause_count = self.term.pause_count
        for controller in controllers:
            on_reply = partial(self._on_probe_reply, machine, pause_count, controller)
            transport.send(controller, machine.name, machine.address, None, on_reply)

    def _choose_controllers(self, machine: Machine) -> list[str]:
        """Returns the controllers that probe a machine: this one, and one of the others in turn."""
        controllers = [self.settings.node]
        others = self._commands.transport.list_other_controllers(machine.zone)
        if others:
            controllers.append(others[machine.failed_probes // 2 % len(others)])
        return controllers

    def _on_probe_reply(
        self, machine: Machine, pause_count: int, controller: str, status: int, body: bytes
    ) -> None:
        machine.open_probes -= 1
        if not machine.open_probes:
            self._probed_machine_count -= 1
        if status == 200:
            machine.failed_probes = 0
            self._commands.handle_reply(controller, body)
        elif pause_count == self.term.pause_count:
            machine.failed_probes += 1
