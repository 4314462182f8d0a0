"""The machines that a leader knows in one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..planning.fleet import Machine

if TYPE_CHECKING:
    from ..ledger.write_ahead_log import WriteAheadLog
    from ..runtime.loop import Runtime


class Fleet:
    """The machines known in this term, and the names of those that were terminated."""

    def __init__(self, runtime: Runtime, ledger: WriteAheadLog, zones: tuple[str, ...]) -> None:
        """Starts without machines.

        `zones`: the zones of the settings; machines may also be in others.
        """
        self._runtime = runtime
        self._ledger = ledger
        self.machines: dict[str, Machine] = {}
        self.removed_machines: set[str] = set()
        self.changed_machines: dict[Machine, None] = {}
        """Machines whose free capacity, images or usability changed since the last scheduling pass.

        The values are unused: the dictionary serves as an ordered set.
        """
        self.zones = set(zones)

    def add_machine(self, name: str, machine_type: str, zone: str, *, spot: bool) -> Machine:
        """Returns the machine of that name; if it is unknown, adds it with its placements."""
        machine = self.machines.get(name)
        if machine is None:
            now = self._runtime.now()
            machine = self.machines[name] = Machine(
                name,
                machine_type,
                zone,
                spot=spot,
                now=now,
                changed_machines=self.changed_machines,
            )
            self.zones.add(zone)
            for placement in self._ledger.state.placements_by_machine.get(name, {}).values():
                machine.add_placement(placement)
        return machine
