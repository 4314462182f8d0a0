"""Reads the cell map periodically from the state service that all cells share."""

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
"""Key of the cell map in force."""


class CellMapWatcher(Actor):
    """Holds the newest map that this controller has read; it is read every `period_s` seconds.

    The controller joins its cell only after the stored map has confirmed the cell of its deploy
    file (`on_agreed`): if two files gave a zone to two cells, a machine would have two leaders.
    After that the worst effect of an outdated map is that a new job is sent to a closed cell. The
    cell of a job and the division of a limit don't depend on the map but on keys whose writes are
    guarded.
    """

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        node: str,
        initial_map: CellMap,
        period_s: float,
    ) -> None:
        """`initial_map`: the deploy file's map, which is stored if there is no stored map yet."""
        super().__init__(runtime)
        self._store, self._node = store, node
        self.index = CellIndex(initial_map)
        self._cell = self.index.by_controller[node]
        self._is_agreed = False
        self.on_agreed: Callable[[], None] = lambda: None
        """Called once, when the stored map has confirmed this controller's cell."""
        self._is_reading = False
        self._last_refused_value: Any = None
        """The last value that was refused; it is logged only once."""
        self.every(period_s, self._read)

    def _read(self) -> None:
        if self._is_reading:
            return
        self._is_reading = True

        def on_reply(known: bool, row: wire.Row | None) -> None:
            self._is_reading = False
            if known and row is None:
                self._create()
            elif row is not None:
                self._handle_value(row.value)

        self._store.get(MAP_KEY, on_reply)

    def _create(self) -> None:
        def on_reply(outcome: Outcome, _: int) -> None:
            if outcome is Outcome.COMMITTED:
                log.info("event=cell_map_created version=%d", self.index.version)

        self._store.compare_and_swap(
            {MAP_KEY: 0}, {MAP_KEY: msgspec.to_builtins(self.index.map)}, [], on_reply
        )

    def _handle_value(self, value: Any) -> None:
        try:
            stored_map = decode(value)
            if not self._is_agreed:
                self._agree_on(CellIndex(stored_map))
                return
            if stored_map.version <= self.index.version:
                return
            self.index = self.index.build_successor(stored_map)
        except CellMapError as error:
            if value != self._last_refused_value:
                self._last_refused_value = value
                log.error("event=cell_map_refused node=%s why=%s", self._node, error)
            return
        log.info("event=cell_map node=%s version=%d", self._node, self.index.version)

    def _agree_on(self, index: CellIndex) -> None:
        """Replaces the file's map by the stored one; raises `CellMapError` if they disagree."""
        cell = self._cell
        for kind, names, owners in (
            ("zone", cell.zones, index.by_zone),
            ("controller", (self._node,), index.by_controller),
        ):
            for name in names:
                owner = owners.get(name)
                if owner is None or owner.name != cell.name:
                    stored_cell = owner.name if owner is not None else "no cell"
                    raise CellMapError(
                        f"{kind} {name}: in {stored_cell} by the stored map, "
                        f"in {cell.name} by this controller's deploy file"
                    )
        self.index, self._is_agreed = index, True
        log.info("event=cell_map node=%s version=%d", self._node, index.version)
        self.on_agreed()
