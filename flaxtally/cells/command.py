"""`flaxtally cells check | apply | show`. Exit codes: 0 done, 1 no answer, 2 refused input."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.loop import Loop
from ..settings import address
from .map import CellIndex, CellMap, CellMapError, decode, read_file
from .map_watcher import MAP_KEY
from .quota_rebalancer import SHARE_KEY_PREFIX, team_of
from .shares import TeamShares

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire

DONE, NO_ANSWER, INVALID_INPUT = 0, 1, 2
TIMEOUT_S = 5.0


def _fail(code: int, text: str) -> int:
    print(f"flaxtally: {text}", file=sys.stderr)
    return code


def check(path: str) -> int:
    """Whether a deploy file's cells are sound."""
    try:
        found = read_file(path)
    except CellMapError as fault:
        return _fail(INVALID_INPUT, str(fault))
    print(f"{path}: {len(found.map.cells)} cells, version {found.map.version}")
    return DONE


class _Calls:
    """Calls to the state service, one after the other, each waited for."""

    def __init__(self, where: str) -> None:
        """Raises `CellMapError` if that is no address."""
        found = address(where)
        if found is None:
            raise CellMapError(f"--state {where}: not HOST:PORT")
        self._loop = Loop()
        self._store = KeyValueStore(self._loop, found, TIMEOUT_S, TIMEOUT_S)

    def _wait(self, ask: Callable[[Callable[..., None]], None]) -> tuple[Any, ...]:
        answers: list[tuple[Any, ...]] = []

        def told(*answer: Any) -> None:
            answers.append(answer)
            self._loop.stop()

        ask(told)
        self._loop.run()
        return answers[0]

    def get(self, key: str) -> tuple[bool, wire.Row | None]:
        known, row = self._wait(lambda told: self._store.get(key, told))
        return known, row

    def rows(self, prefix: str) -> list[wire.Row] | None:
        (rows,) = self._wait(lambda told: self._store.list_prefix(prefix, told))
        found: list[wire.Row] | None = rows
        return found

    def put(self, key: str, version: int, value: Any) -> Outcome:
        (outcome, _) = self._wait(
            lambda told: self._store.compare_and_swap({key: version}, {key: value}, [], told)
        )
        found: Outcome = outcome
        return found


def apply(path: str, where: str) -> int:
    """Puts a file's map in force if it may follow the one that is."""
    try:
        cell_map, calls = read_file(path).map, _Calls(where)
    except CellMapError as fault:
        return _fail(INVALID_INPUT, str(fault))
    known, row = calls.get(MAP_KEY)
    if not known:
        return _fail(NO_ANSWER, f"no answer from {where}")
    try:
        if row is not None:
            CellIndex(decode(row.value)).followed_by(cell_map)
    except CellMapError as fault:
        return _fail(INVALID_INPUT, f"{path}: cells.{fault}")
    version = row.version if row is not None else 0
    outcome = calls.put(MAP_KEY, version, msgspec.to_builtins(cell_map))
    if outcome is Outcome.CONFLICT:
        return _fail(INVALID_INPUT, f"{path}: cells.version: another map came in between")
    if outcome is not Outcome.COMMITTED:
        return _fail(NO_ANSWER, f"{where} gave no answer: `cells show` tells which map is in force")
    print(f"cell map {cell_map.version} is in force at {where}")
    return DONE


def show(where: str) -> int:
    """Prints the map in force and how the teams' limits are divided."""
    try:
        calls = _Calls(where)
        known, row = calls.get(MAP_KEY)
        if not known:
            return _fail(NO_ANSWER, f"no answer from {where}")
        if row is None:
            return _fail(NO_ANSWER, f"{where} holds no cell map")
        lines = _map_lines(decode(row.value))
        lines += _share_lines(calls.rows(SHARE_KEY_PREFIX))
    except (CellMapError, msgspec.ValidationError) as fault:
        return _fail(NO_ANSWER, f"{where}: {fault}")
    print("\n".join(lines))
    return DONE


def _map_lines(cell_map: CellMap) -> list[str]:
    lines = [f"version {cell_map.version}"]
    for cell in cell_map.cells:
        state = "open" if cell.open else "takes no new jobs"
        zones, controllers = " ".join(cell.zones), " ".join(cell.controllers)
        lines.append(f"cell {cell.name}: {state}; zones {zones}; controllers {controllers}")
    return lines


def _share_lines(rows: list[wire.Row] | None) -> list[str]:
    if rows is None:
        return ["shares: no answer"]
    lines = []
    for row in rows:
        shares = msgspec.convert(row.value, TeamShares)
        parts = [f"{cell} {share.cores:g}/{share.gpus:g}" for cell, share in shares.of.items()]
        wants = [f"{cell} {want.cores:g}/{want.gpus:g}" for cell, want in shares.wants.items()]
        asked = f"; wanted: {', '.join(wants)}" if wants else ""
        lines.append(f"team {team_of(row.key)}, cores/gpus: {', '.join(parts)}{asked}")
    return lines
