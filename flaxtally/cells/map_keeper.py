"""Follows the cell map at the state service that all cells share."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from .. import wire
from ..actor import Actor
from ..loop import Runtime
from ..store import Outcome, Store
from .map import CellIndex, CellMap, CellMapError, decode

log = logging.getLogger(__name__)

MAP_KEY = "cells/map"


class MapKeeper(Actor):
    """Owns this controller's newest map. It is read every `period` seconds.

    An old map sends a new job to a cell that is no longer open, at worst: which cell a job belongs
    to, and how a limit is divided, is decided by guarded keys and not by the map.
    """

    def __init__(
        self, runtime: Runtime, store: Store, node: str, first: CellMap, period: float
    ) -> None:
        """`first`: the deploy file's, in force until a newer one is read."""
        super().__init__(runtime)
        self._store, self._node = store, node
        self.index = CellIndex(first)
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
            if outcome is Outcome.DONE:
                log.info("event=cell_map_created version=%d", self.index.version)

        self._store.transact({MAP_KEY: 0}, {MAP_KEY: msgspec.to_builtins(self.index.map)}, [], told)

    def _take(self, value: Any) -> None:
        try:
            found = decode(value)
            if found.version <= self.index.version:
                return
            self.index = self.index.followed_by(found)
        except CellMapError as fault:
            if value != self._refused:
                self._refused = value
                log.error("event=cell_map_refused node=%s why=%s", self._node, fault)
            return
        log.info("event=cell_map node=%s version=%d", self._node, self.index.version)
