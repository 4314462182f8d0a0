"""The cloud client of a cell, limited to the machines and machine types of the cell's zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..clients.cloud import Cloud

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol.cloud import ListedMachine, MachineType
    from ..runtime.loop import Address, Runtime


class CellCloud(Cloud):
    """Hides the zones of other cells, which are scaled by their own leaders."""

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        rps: float,
        timeout_s: float,
        zones: frozenset[str],
    ) -> None:
        """Takes the zones of the cell; the other arguments are those of `Cloud`."""
        super().__init__(runtime, address, rps, timeout_s)
        self._zones = zones

    def list_machine_types(self, on_done: Callable[[list[MachineType] | None], None]) -> None:
        """Reads the machine types that are offered in the cell's zones."""

        def on_listed(machine_types: list[MachineType] | None) -> None:
            on_done(None if machine_types is None else self._in_own_zones(machine_types))

        super().list_machine_types(on_listed)

    def _in_own_zones(self, machine_types: list[MachineType]) -> list[MachineType]:
        found = []
        for machine_type in machine_types:
            zones = [zone for zone in machine_type.zones if zone in self._zones]
            if zones:
                found.append(msgspec.structs.replace(machine_type, zones=zones))
        return found

    def list_machines(self, on_done: Callable[[list[ListedMachine] | None], None]) -> None:
        """Reads the list of machines in the cell's zones."""

        def on_listed(machines: list[ListedMachine] | None) -> None:
            if machines is not None:
                machines = [machine for machine in machines if machine.zone in self._zones]
            on_done(machines)

        super().list_machines(on_listed)
