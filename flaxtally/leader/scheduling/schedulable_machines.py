"""The machines on which tasks may be placed, indexed by their free capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...planning.machine_index import MachineIndex
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from ...planning.fleet import Machine
    from ..reconciliation.reconciler import Reconciler


class SchedulableMachines(TermActor):
    """Owns the index of schedulable machines and the set of those that gained capacity."""

    def __init__(self, term: Term, reconciler: Reconciler) -> None:
        """`reconciler` knows which machines are schedulable."""
        super().__init__(term)
        self._reconciler = reconciler
        self.index = self._create_index(by_image=True)
        self._indexed_sizes: Hashable = None
        """The sizes of the machine types for which the index was built."""
        self._gained_capacity: dict[str, Machine] = {}
        """Machines with more free capacity than in the last pass, by name."""

    def _create_index(self, *, by_image: bool) -> MachineIndex:
        return MachineIndex(
            self.term.machine_types, self.rng, self._reconciler.is_schedulable, by_image
        )

    def apply_changes(self) -> bool:
        """Applies changes of machines to the index; returns whether it was rebuilt."""
        was_rebuilt = self._apply_machine_types()
        changed = self.fleet.changed_machines
        while changed:
            machine, _ = changed.popitem()
            if self.index.update(machine):
                self._gained_capacity[machine.name] = machine
        return was_rebuilt

    def _apply_machine_types(self) -> bool:
        machine_types = self.term.machine_types
        if self.index.machine_types is machine_types:
            return False
        sizes = tuple(
            (each.name, each.cores, each.gpus, each.memory_gb) for each in machine_types.values()
        )
        must_rebuild = sizes != self._indexed_sizes
        if must_rebuild:
            self._indexed_sizes = sizes
            self.index = self._create_index(by_image=True)
            self.fleet.changed_machines.update(dict.fromkeys(self.fleet.machines.values()))
        self.index.machine_types = machine_types
        return must_rebuild

    def mark_capacity_gained(self, names: Iterable[str]) -> None:
        """Adds the named machines to those that gained capacity."""
        for name in names:
            machine = self.fleet.machines.get(name)
            if machine is not None:
                self._gained_capacity[name] = machine

    def take_machines_with_gained_capacity(self) -> MachineIndex:
        """Returns an index of the machines that gained capacity since the last call."""
        with_gained_capacity = self._create_index(by_image=False)
        for machine in self._gained_capacity.values():
            with_gained_capacity.update(machine)
        self._gained_capacity = {}
        return with_gained_capacity

    def refresh(self) -> None:
        """Marks machines as changed whose schedulability changed through passing time alone."""
        for machine in self.fleet.machines.values():
            if self._reconciler.is_schedulable(machine) != (machine in self.index):
                machine.mark_changed()
