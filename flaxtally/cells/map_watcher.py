"""Follows the cell map at the state service that all cells share."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import msgspec

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.actor import Actor
from .map import CellIndex, CellMap, CellMapError, decode

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..runtime.loop import Runtime

log = logging.getLogger(__name__)

MAP_KEY = "cells/map"


class CellMapWatcher(Actor):
    """Owns this controller's newest map. It is read every `period` seconds.

    The controller takes part in its cell only once the map has confirmed what its file says of that
    cell (`on_agreed`): two files that give a zone to two cells would be two leaders of a machine.
    From then on an old map sends a new job to a cell that is no longer open, at worst: which cell a
    job belongs to, and how a limit is divided, is decided by guarded keys and not by the map.
    """

    def __init__(
        self, runtime: Runtime, store: KeyValueStore, node: str, first: CellMap, period: float
    ) -> None:
        """`first`: the deploy file's. It becomes the fleet's if there is none yet."""
        super().__init__(runtime)
        self._store, self._node = store, node
        self.index = CellIndex(first)
        self._cell = self.index.by_controller[node]
        self._agreed = False
        self.on_agreed: Callable[[], None] = lambda: None
        """Called once."""
        self._reading = False
        self._refused: Any = None
        """The last value that could not be taken, so that it is logged once."""
        self.every(period, self._read)

    def _read(self) -> None:
        if self._reading:
            return
        self._reading = True

        def told(known: bool, row: wire.Row | None) -> None:
            self._reading = False
            if known and row is None:
                self._create()
            elif row is not None:
                self._take(row.value)

        self._store.get(MAP_KEY, told)

    def _create(self) -> None:
        def told(outcome: Outcome, _: int) -> None:
            if outcome is Outcome.COMMITTED:
                log.info("event=cell_map_created version=%d", self.index.version)

        self._store.compare_and_swap(
            {MAP_KEY: 0}, {MAP_KEY: msgspec.to_builtins(self.index.map)}, [], told
        )

    def _take(self, value: Any) -> None:
        try:
            found = decode(value)
            if not self._agreed:
                self._agree(CellIndex(found))
                return
            if found.version <= self.index.version:
                return
            self.index = self.index.followed_by(found)
        except CellMapError as fault:
            if value != self._refused:
                self._refused = value
                log.error("event=cell_map_refused node=%s why=%s", self._node, fault)
            return
        log.info("event=cell_map node=%s version=%d", self._node, self.index.version)

    def _agree(self, index: CellIndex) -> None:
        """Takes the fleet's map in place of the file's, or raises `CellMapError`."""
        cell = self._cell
        for kind, names, owners in (
            ("zone", cell.zones, index.by_zone),
            ("controller", (self._node,), index.by_controller),
        ):
            for name in names:
                owner = owners.get(name)
                if owner is None or owner.name != cell.name:
                    there = owner.name if owner is not None else "no cell"
                    raise CellMapError(f"{kind} {name}: in {there}, by our file in {cell.name}")
        self.index, self._agreed = index, True
        log.info("event=cell_map node=%s version=%d", self._node, index.version)
        self.on_agreed()
