"""The cloud as a cell sees it: its own zones' machines and offers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..clients.cloud import Cloud

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..runtime.loop import Address, Runtime


class CellCloud(Cloud):
    """Leaves out what belongs to other cells: they rent, list and give back in their own zones."""

    def __init__(
        self, runtime: Runtime, address: Address, rps: float, timeout: float, zones: frozenset[str]
    ) -> None:
        super().__init__(runtime, address, rps, timeout)
        self._zones = zones

    def list_machine_types(self, done: Callable[[list[wire.MachineType] | None], None]) -> None:
        def told(kinds: list[wire.MachineType] | None) -> None:
            done(None if kinds is None else self._own_types(kinds))

        super().list_machine_types(told)

    def _own_types(self, kinds: list[wire.MachineType]) -> list[wire.MachineType]:
        found = []
        for kind in kinds:
            zones = [zone for zone in kind.zones if zone in self._zones]
            if zones:
                found.append(msgspec.structs.replace(kind, zones=zones))
        return found

    def list_machines(self, done: Callable[[list[wire.Listed] | None], None]) -> None:
        def told(listed: list[wire.Listed] | None) -> None:
            if listed is not None:
                listed = [machine for machine in listed if machine.zone in self._zones]
            done(listed)

        super().list_machines(told)
