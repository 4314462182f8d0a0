"""The cell map: which zones and controllers make up which cell. Pure; persistent structures.

A map is never changed, only followed by a newer one: who reads it while the next is made sees all
of it or nothing. Zones and controllers stay with their cell for good, so that a machine has one
sequence of tokens and a ledger one set of writers, whatever version a controller has.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec
from pyrsistent import PMap, pmap

from ..runtime.loop import Address
from ..settings import SettingsError, address, read_toml

if TYPE_CHECKING:
    from collections.abc import Iterable

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,39}\Z")
MOST_CELLS = 64


class CellMapError(Exception):
    """A cell map is malformed, contradicts itself, or may not follow the one in force."""


class Cell(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A part of the fleet that has its own leader."""

    name: str
    zones: tuple[str, ...]
    controllers: tuple[str, ...]
    open: bool = True
    """Whether new jobs go there. One that is not open goes on with those that it has."""


class CellMap(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cells as of a version. As a value it is also what the state service keeps."""

    version: int
    cells: tuple[Cell, ...]


class CellIndex:
    """A checked map, with what is looked up in it."""

    def __init__(self, cell_map: CellMap) -> None:
        check(cell_map)
        self.map = cell_map
        self.cells: PMap[str, Cell] = pmap({cell.name: cell for cell in cell_map.cells})
        self.by_zone: PMap[str, Cell] = pmap(_by(cell_map, lambda cell: cell.zones))
        self.by_controller: PMap[str, Cell] = pmap(_by(cell_map, lambda cell: cell.controllers))

    @property
    def version(self) -> int:
        return self.map.version

    def followed_by(self, cell_map: CellMap) -> CellIndex:
        """The index of a newer map, or `CellMapError` if it may not follow this one."""
        if cell_map.version <= self.version:
            raise CellMapError(f"version: {cell_map.version} is not newer than {self.version}")
        newer = CellIndex(cell_map)
        for kind, now, then in (
            ("zone", self.by_zone, newer.by_zone),
            ("controller", self.by_controller, newer.by_controller),
        ):
            for name, cell in now.items():
                if name not in then:
                    raise CellMapError(f"{kind} {name}: missing; cell {cell.name} has it for good")
                if then[name].name != cell.name:
                    raise CellMapError(
                        f"{kind} {name}: in {then[name].name}; cell {cell.name} has it for good"
                    )
        return newer


def _by(cell_map: CellMap, names: Any) -> dict[str, Cell]:
    return {name: cell for cell in cell_map.cells for name in names(cell)}


def check(cell_map: CellMap) -> None:
    """Raises `CellMapError` for the first fault, naming its place."""
    if cell_map.version < 1:
        raise CellMapError(f"version: {cell_map.version} is below 1")
    if not 1 <= len(cell_map.cells) <= MOST_CELLS:
        raise CellMapError(f"cell: {len(cell_map.cells)} of them, not 1 to {MOST_CELLS}")
    names: set[str] = set()
    for number, cell in enumerate(cell_map.cells):
        place = f"cell[{number}]"
        if not NAME.match(cell.name):
            raise CellMapError(f"{place}.name: {cell.name!r} is not of small letters and digits")
        if cell.name in names:
            raise CellMapError(f"{place}.name: {cell.name} is there twice")
        names.add(cell.name)
        for field, values in (("zones", cell.zones), ("controllers", cell.controllers)):
            if not values:
                raise CellMapError(f"{place}.{field}: cell {cell.name} has none")
    _check_apart("zones", ((cell.name, cell.zones) for cell in cell_map.cells))
    _check_apart("controllers", ((cell.name, cell.controllers) for cell in cell_map.cells))


def _check_apart(field: str, owned: Iterable[tuple[str, tuple[str, ...]]]) -> None:
    owners: dict[str, str] = {}
    for number, (cell, names) in enumerate(owned):
        for name in names:
            if name in owners:
                raise CellMapError(
                    f"cell[{number}].{field}: {name} is in {owners[name]} and {cell}"
                )
            owners[name] = cell


class CellFile(msgspec.Struct, frozen=True):
    """What a deploy file says of cells."""

    map: CellMap
    state: Address | None
    """The state service that all cells share; None: the controllers' own."""


def read_file(path: str) -> CellFile:
    """The `[cells]` of a deploy file (TOML), or `CellMapError` with its place."""
    try:
        data = read_toml(path)
    except SettingsError as fault:
        raise CellMapError(str(fault)) from None
    try:
        return _from_table(data.get("cells"))
    except CellMapError as fault:
        raise CellMapError(f"{path}: cells.{fault}") from None


def _from_table(table: Any) -> CellFile:
    if not isinstance(table, dict):
        raise CellMapError("missing, or not a table")
    unknown = set(table) - {"version", "state", "cell"}
    if unknown:
        raise CellMapError(f"{min(unknown)}: unknown")
    state = table.get("state")
    where = address(state) if isinstance(state, str) else None
    if state is not None and where is None:
        raise CellMapError("state: not HOST:PORT")
    cell_map = decode({"version": table.get("version"), "cells": table.get("cell", [])})
    check(cell_map)
    return CellFile(cell_map, where)


def decode(value: Any) -> CellMap:
    """A map from plain values, or `CellMapError`; its contents are not checked yet."""
    try:
        return msgspec.convert(value, CellMap)
    except msgspec.ValidationError as fault:
        raise CellMapError(str(fault)) from None
