"""The platform's settings file, checked; fields that are not recognised are ignored."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from .runtime.loop import Address

MIN_VALUE_KB = 1.0
"""The largest record that can't be divided, a job with long names, must fit into a value."""
BYTES_PER_KB = 1024
DEFAULT_MAX_SOCKETS = 512.0
MAX_PORT = 65535


class SettingsError(Exception):
    """A setting is missing or wrong; the text names the field."""


@dataclass(frozen=True)
class Team:
    """A team's quota (what it is guaranteed) and its hard limit; a limit of 0 means none."""

    name: str
    cores: float
    cores_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class Objective:
    """A service-level objective of the platform.

    What is to happen to a job class within a time, or within so many times its deadline.
    """

    kind: str
    job_class: str | None
    within: float
    share: float
    times: float = 1.0


@dataclass(frozen=True)
class StateLimits:
    """What the key-value store accepts."""

    write_rps: float
    """Puts and deletes a second."""
    value_bytes: int
    txn_ops: int
    """Puts and deletes a transaction."""

    def lower(self, other: StateLimits) -> StateLimits:
        """What both limits allow."""
        return StateLimits(
            min(self.write_rps, other.write_rps),
            min(self.value_bytes, other.value_bytes),
            min(self.txn_ops, other.txn_ops),
        )


@dataclass(frozen=True)
class Settings:
    """All that the platform's file says."""

    node: str
    zone: str
    listen: Address
    peer_listen: Address
    peers: dict[str, tuple[str, Address]]
    cloud: Address
    state: Address
    zones: tuple[str, ...]
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]
    report_s: float
    lease_s: float
    gang_wait_s: float
    """A waiting task of a gang exits when its gang was not complete for so long."""
    gang_peer_s: float
    """Within this time the tasks of a gang notice that one is gone, and must be told to stop."""
    cancel_s: float
    state_rps: float
    state_limits: StateLimits
    """What the key-value store accepts from the start to the end: limits that it will lower later
    hold from the start.
    """
    cloud_rps: float
    list_lag_s: float
    max_sockets: int


def address(text: str) -> Address | None:
    """HOST:PORT, or None if the text is not that."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return None
    return host, int(port)


class _Table:
    """A table of the file, asked by field, with errors that name the field in full."""

    def __init__(self, data: Any, path: str) -> None:
        """`path`: the table's name in full; empty for the whole file."""
        if not isinstance(data, dict):
            raise SettingsError(f"{path or 'settings'}: not a table")
        self._data = data
        self._path = path

    def has(self, field: str) -> bool:
        """Whether the field is there."""
        return field in self._data

    def text(self, field: str) -> str:
        """A text that is not empty."""
        value = self._get(field)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._name(field)}: not a text")
        return value

    def texts(self, field: str) -> tuple[str, ...]:
        """A list of texts."""
        value = self._get(field)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise SettingsError(f"{self._name(field)}: not a list of texts")
        return tuple(value)

    def number_above(self, field: str, bound: float = 0.0, default: float | None = None) -> float:
        """A number larger than the bound; without the field, the default if there is one."""
        value = self._number(field, default)
        if value <= bound:
            raise SettingsError(f"{self._name(field)}: {value} is too small")
        return float(value)

    def number_from(self, field: str, bound: float = 0.0, default: float | None = None) -> float:
        """A number of at least the bound; without the field, the default if there is one."""
        value = self._number(field, default)
        if value < bound:
            raise SettingsError(f"{self._name(field)}: {value} is too small")
        return float(value)

    def address(self, field: str) -> Address:
        """A text of the form HOST:PORT."""
        found = address(self.text(field))
        if found is None:
            raise SettingsError(f"{self._name(field)}: not HOST:PORT")
        return found

    def table(self, field: str) -> _Table:
        """A table within this one."""
        return _Table(self._get(field), self._name(field))

    def tables(self, field: str) -> list[_Table]:
        """An array of tables; none if the field is missing."""
        value = self._data.get(field, [])
        if not isinstance(value, list):
            raise SettingsError(f"{self._name(field)}: not an array of tables")
        return [_Table(item, f"{self._name(field)}[{index}]") for index, item in enumerate(value)]

    def _name(self, field: str) -> str:
        return f"{self._path}.{field}" if self._path else field

    def _get(self, field: str) -> Any:
        if field not in self._data:
            raise SettingsError(f"{self._name(field)}: missing")
        return self._data[field]

    def _number(self, field: str, default: float | None) -> int | float:
        if default is not None and field not in self._data:
            return default
        value = self._get(field)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or math.isnan(value):
            raise SettingsError(f"{self._name(field)}: not a number")
        return cast("int | float", value)


def parse(data: dict[str, Any]) -> Settings:
    """Settings from the file's content, or `SettingsError` for the first fault."""
    top = _Table(data, "")
    params = top.table("params")
    endpoints = top.table("endpoints")
    workers, state, cloud = params.table("workers"), params.table("state"), params.table("cloud")
    state_limits = _lowest_state_limits(state)
    limits = params.table("limits")
    teams = _teams(params)
    objectives = _objectives(params)
    settings = Settings(
        node=top.text("node_name"),
        zone=top.text("site"),
        listen=top.address("listen"),
        peer_listen=top.address("cluster_listen"),
        peers=_peers(top),
        cloud=endpoints.address("cloud"),
        state=endpoints.address("state"),
        zones=params.texts("zones"),
        teams=teams,
        objectives=objectives,
        report_s=workers.number_above("report_s"),
        lease_s=workers.number_above("lease_s"),
        gang_wait_s=workers.number_above("gang_wait_s"),
        gang_peer_s=workers.number_above("gang_peer_s"),
        cancel_s=workers.number_above("cancel_s"),
        state_rps=state.number_above("rps"),
        state_limits=state_limits,
        cloud_rps=cloud.number_above("rps"),
        list_lag_s=cloud.number_from("list_lag_s"),
        max_sockets=int(limits.number_above("max_sockets", default=DEFAULT_MAX_SOCKETS)),
    )
    if settings.node in settings.peers:
        raise SettingsError("others: names this node itself")
    return settings


def _teams(params: _Table) -> dict[str, Team]:
    teams = {}
    for entry in params.tables("teams"):
        name = entry.text("name")
        teams[name] = Team(
            name,
            entry.number_from("cpus", default=0.0),
            entry.number_from("cpus_max", default=0.0),
            entry.number_from("gpus", default=0.0),
            entry.number_from("gpus_max", default=0.0),
        )
    return teams


def _objectives(params: _Table) -> tuple[Objective, ...]:
    return tuple(
        Objective(
            entry.text("kind"),
            entry.text("class") if entry.has("class") else None,
            entry.number_from("within_s", default=0.0),
            entry.number_from("share", default=0.0),
            entry.number_above("times", default=1.0),
        )
        for entry in params.tables("objectives")
    )


def _peers(top: _Table) -> dict[str, tuple[str, Address]]:
    """Zone and address of each other controller, by name."""
    return {
        entry.text("node_name"): (entry.text("site"), entry.address("peer_addr"))
        for entry in top.tables("others")
    }


def _lowest_state_limits(state: _Table) -> StateLimits:
    """The limits that hold now and, where they are announced, after the next change."""
    limits = _state_limits(state)
    return limits.lower(_state_limits(state.table("next"))) if state.has("next") else limits


def _state_limits(table: _Table) -> StateLimits:
    return StateLimits(
        write_rps=table.number_above("write_rps"),
        value_bytes=int(table.number_from("value_kb", MIN_VALUE_KB) * BYTES_PER_KB),
        txn_ops=int(table.number_from("txn_ops", 1.0)),
    )


def load(path: str) -> Settings:
    """Settings from a file, or `SettingsError`."""
    return parse(read_toml(path))


def read_toml(path: str) -> dict[str, Any]:
    """What a TOML file holds, or `SettingsError` with its path."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
