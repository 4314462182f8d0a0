"""`flaxtally cells check | apply | show`. Exit codes: 0 done, 1 no answer, 2 invalid input."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.loop import Loop
from ..settings import parse_address
from .map import CellIndex, CellMap, CellMapError, decode, read_file
from .map_watcher import MAP_KEY
from .quota_rebalancer import SHARE_KEY_PREFIX, parse_share_key
from .shares import TeamShares

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire

DONE, NO_ANSWER, INVALID_INPUT = 0, 1, 2
TIMEOUT_S = 5.0
"""Timeout of each call to the state service."""


def _fail(code: int, text: str) -> int:
    print(f"flaxtally: {text}", file=sys.stderr)
    return code


def check(path: str) -> int:
    """Checks the cells of a deploy file."""
    try:
        cell_file = read_file(path)
    except CellMapError as error:
        return _fail(INVALID_INPUT, str(error))
    print(f"{path}: {len(cell_file.map.cells)} cells, version {cell_file.map.version}")
    return DONE


class _StoreCalls:
    """Blocking calls to the state service, each on the same event loop."""

    def __init__(self, state_address: str) -> None:
        """Raises `CellMapError` if the address is malformed."""
        parsed_address = parse_address(state_address)
        if parsed_address is None:
            raise CellMapError(
                f"--state {state_address}: not HOST:PORT; expected the state service's address"
            )
        self._loop = Loop()
        self._store = KeyValueStore(self._loop, parsed_address, TIMEOUT_S, TIMEOUT_S)

    def _wait(self, call: Callable[[Callable[..., None]], None]) -> tuple[Any, ...]:
        replies: list[tuple[Any, ...]] = []

        def on_reply(*reply: Any) -> None:
            replies.append(reply)
            self._loop.stop()

        call(on_reply)
        self._loop.run()
        return replies[0]

    def get(self, key: str) -> tuple[bool, wire.Row | None]:
        known, row = self._wait(lambda on_reply: self._store.get(key, on_reply))
        return known, row

    def rows(self, prefix: str) -> list[wire.Row] | None:
        (rows,) = self._wait(lambda on_reply: self._store.list_prefix(prefix, on_reply))
        result: list[wire.Row] | None = rows
        return result

    def put(self, key: str, version: int, value: Any) -> Outcome:
        (outcome, _) = self._wait(
            lambda on_reply: self._store.compare_and_swap(
                {key: version}, {key: value}, [], on_reply
            )
        )
        result: Outcome = outcome
        return result


def apply(path: str, state_address: str) -> int:
    """Stores a deploy file's map as the one in force, if it may replace the present one."""
    try:
        cell_map, calls = read_file(path).map, _StoreCalls(state_address)
    except CellMapError as error:
        return _fail(INVALID_INPUT, str(error))
    known, row = calls.get(MAP_KEY)
    if not known:
        return _fail(
            NO_ANSWER,
            f"--state {state_address}: no answer; expected a running state service",
        )
    try:
        if row is not None:
            CellIndex(decode(row.value)).build_successor(cell_map)
    except CellMapError as error:
        return _fail(INVALID_INPUT, f"{path}: cells.{error}")
    version = row.version if row is not None else 0
    outcome = calls.put(MAP_KEY, version, msgspec.to_builtins(cell_map))
    if outcome is Outcome.CONFLICT:
        return _fail(
            INVALID_INPUT,
            f"{path}: cells.version: another map was applied meanwhile; see `cells show`",
        )
    if outcome is not Outcome.COMMITTED:
        return _fail(
            NO_ANSWER,
            f"--state {state_address}: no answer to the write; `cells show` prints the stored map",
        )
    print(f"cell map {cell_map.version} is in force at {state_address}")
    return DONE


def show(state_address: str) -> int:
    """Prints the map in force and how the teams' limits are divided."""
    try:
        calls = _StoreCalls(state_address)
        known, row = calls.get(MAP_KEY)
        if not known:
            return _fail(
                NO_ANSWER,
                f"--state {state_address}: no answer; expected a running state service",
            )
        if row is None:
            return _fail(
                NO_ANSWER,
                f"--state {state_address}: no cell map is stored there; put one in force with "
                "`flaxtally cells apply`",
            )
        lines = _format_map(decode(row.value))
        lines += _format_shares(calls.rows(SHARE_KEY_PREFIX))
    except (CellMapError, msgspec.ValidationError) as error:
        return _fail(
            NO_ANSWER, f"--state {state_address}: a stored cell map or share is malformed: {error}"
        )
    print("\n".join(lines))
    return DONE


def _format_map(cell_map: CellMap) -> list[str]:
    lines = [f"version {cell_map.version}"]
    for cell in cell_map.cells:
        state = "open" if cell.open else "takes no new jobs"
        zones, controllers = " ".join(cell.zones), " ".join(cell.controllers)
        lines.append(f"cell {cell.name}: {state}; zones {zones}; controllers {controllers}")
    return lines


def _format_shares(rows: list[wire.Row] | None) -> list[str]:
    if rows is None:
        return ["shares: no answer"]
    lines = []
    for row in rows:
        shares = msgspec.convert(row.value, TeamShares)
        parts = [f"{cell} {share.cores:g}/{share.gpus:g}" for cell, share in shares.of.items()]
        wants = [f"{cell} {want.cores:g}/{want.gpus:g}" for cell, want in shares.wants.items()]
        wants_text = f"; wanted: {', '.join(wants)}" if wants else ""
        lines.append(f"team {parse_share_key(row.key)}, cores/gpus: {', '.join(parts)}{wants_text}")
    return lines
