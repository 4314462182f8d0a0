"""The cell map: which zones and controllers make up which cell.

A map is immutable and only replaced as a whole by a newer one, so a reader never sees a mixture of
two versions. Zones and controllers never change their cell: whatever version of the map the
controllers have, a machine gets fencing tokens of one sequence and a ledger has one set of writers.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec
from pyrsistent import PMap, pmap

from ..runtime.loop import Address
from ..settings import SettingsError, parse_address, read_toml

if TYPE_CHECKING:
    from collections.abc import Iterable

CELL_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,39}\Z")
"""Matches valid names of cells, which are part of keys at the state service."""
MAX_CELLS = 64


class CellMapError(Exception):
    """A cell map is malformed, contradicts itself, or may not replace the one in force."""


class Cell(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the fleet that has its own leader."""

    name: str
    zones: tuple[str, ...]
    controllers: tuple[str, ...]
    open: bool = True
    """Whether the cell takes new jobs; a closed one continues to run those that it has."""


class CellMap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A version of the cells; the state service stores it in this form."""

    version: int
    cells: tuple[Cell, ...]


class CellIndex:
    """A validated map with lookups by cell name, zone and controller; it is never modified."""

    def __init__(self, cell_map: CellMap) -> None:
        check(cell_map)
        self.map = cell_map
        self.cells: PMap[str, Cell] = pmap({cell.name: cell for cell in cell_map.cells})
        self.by_zone: PMap[str, Cell] = pmap(_index_cells_by(cell_map, lambda cell: cell.zones))
        self.by_controller: PMap[str, Cell] = pmap(
            _index_cells_by(cell_map, lambda cell: cell.controllers)
        )

    @property
    def version(self) -> int:
        return self.map.version

    def build_successor(self, cell_map: CellMap) -> CellIndex:
        """Builds the index of a newer map; raises `CellMapError` if it may not follow."""
        if cell_map.version <= self.version:
            raise CellMapError(
                f"version: {cell_map.version} is not newer than {self.version}, which is in force"
            )
        newer = CellIndex(cell_map)
        for kind, current, newer_cells in (
            ("zone", self.by_zone, newer.by_zone),
            ("controller", self.by_controller, newer.by_controller),
        ):
            for name, cell in current.items():
                if name not in newer_cells:
                    raise CellMapError(f"{kind} {name}: missing; it must stay in cell {cell.name}")
                if newer_cells[name].name != cell.name:
                    raise CellMapError(
                        f"{kind} {name}: moved to cell {newer_cells[name].name}; "
                        f"it must stay in cell {cell.name}"
                    )
        return newer


def _index_cells_by(cell_map: CellMap, get_names: Any) -> dict[str, Cell]:
    return {name: cell for cell in cell_map.cells for name in get_names(cell)}


def check(cell_map: CellMap) -> None:
    """Raises `CellMapError` for the first error; the text names the field."""
    if cell_map.version < 1:
        raise CellMapError(f"version: {cell_map.version} is below 1, the lowest version")
    if not 1 <= len(cell_map.cells) <= MAX_CELLS:
        raise CellMapError(
            f"cell: the map has {len(cell_map.cells)} cells; expected 1 to {MAX_CELLS}"
        )
    names: set[str] = set()
    for number, cell in enumerate(cell_map.cells):
        place = f"cell[{number}]"
        if not CELL_NAME_PATTERN.match(cell.name):
            raise CellMapError(
                f"{place}.name: {cell.name!r} is not a cell name; expected up to 40 small letters, "
                "digits and hyphens, and no hyphen at the start"
            )
        if cell.name in names:
            raise CellMapError(f"{place}.name: {cell.name} is already the name of another cell")
        names.add(cell.name)
        for field, values in (("zones", cell.zones), ("controllers", cell.controllers)):
            if not values:
                raise CellMapError(
                    f"{place}.{field}: cell {cell.name} has no {field}; expected at least one"
                )
    _check_disjoint("zones", ((cell.name, cell.zones) for cell in cell_map.cells))
    _check_disjoint("controllers", ((cell.name, cell.controllers) for cell in cell_map.cells))


def _check_disjoint(field: str, owned: Iterable[tuple[str, tuple[str, ...]]]) -> None:
    owners: dict[str, str] = {}
    for number, (cell, names) in enumerate(owned):
        for name in names:
            if name in owners:
                raise CellMapError(
                    f"cell[{number}].{field}: {name} is in cells {owners[name]} and {cell}; "
                    "expected in one only"
                )
            owners[name] = cell


class CellFile(msgspec.Struct, frozen=True):
    """The table `cells` of a deploy file."""

    map: CellMap
    state: Address | None
    """Address of the state service that all cells share; None: that of the settings."""


def read_file(path: str) -> CellFile:
    """Reads `[cells]` of a deploy file (TOML); raises `CellMapError` that names file and field."""
    try:
        data = read_toml(path)
    except SettingsError as error:
        raise CellMapError(str(error)) from None
    try:
        return _from_table(data.get("cells"))
    except CellMapError as error:
        raise CellMapError(f"{path}: cells.{error}") from None


def _from_table(table: Any) -> CellFile:
    if not isinstance(table, dict):
        raise CellMapError("version: missing, because the file has no table [cells]")
    unknown = set(table) - {"version", "state", "cell"}
    if unknown:
        raise CellMapError(f"{min(unknown)}: unknown field; expected version, state or cell")
    state = table.get("state")
    state_address = parse_address(state) if isinstance(state, str) else None
    if state is not None and state_address is None:
        raise CellMapError(f"state: {state!r} is not HOST:PORT")
    cell_map = decode({"version": table.get("version"), "cells": table.get("cell", [])})
    check(cell_map)
    return CellFile(cell_map, state_address)


def decode(value: Any) -> CellMap:
    """Converts plain values to a map without calling `check`.

    Raises `CellMapError` if a field is missing or has the wrong type.
    """
    try:
        return msgspec.convert(value, CellMap)
    except msgspec.ValidationError as error:
        raise CellMapError(f"version or cell: {error}") from None
