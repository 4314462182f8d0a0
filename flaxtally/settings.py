"""Reads and checks the platform's settings file. Unknown fields are ignored."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from .runtime.loop import Address

MIN_VALUE_KB = 1.0
"""The least `value_kb`: a job with long names, the largest record that can't be split, must fit
into one value.
"""
BYTES_PER_KB = 1024
DEFAULT_MAX_SOCKETS = 512.0
MAX_PORT = 65535


class SettingsError(Exception):
    """A setting is missing or invalid; the text names the field."""


@dataclass(frozen=True)
class Team:
    """A team's quota (what it is guaranteed) and its hard limits; a limit of 0 means none."""

    name: str
    cores: float
    cores_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class Objective:
    """A service-level objective of the platform for a job class.

    It is a time in seconds (`within`), or a multiple of each job's deadline (`times`). `share` is
    the fraction that must meet it.
    """

    kind: str
    job_class: str | None
    within: float
    share: float
    times: float = 1.0


@dataclass(frozen=True)
class StateLimits:
    """The limits of the key-value store."""

    write_rps: float
    """Puts and deletes per second."""
    value_bytes: int
    txn_ops: int
    """Puts and deletes per transaction."""

    def minimum_with(self, other: StateLimits) -> StateLimits:
        """Returns the smaller of each limit."""
        return StateLimits(
            min(self.write_rps, other.write_rps),
            min(self.value_bytes, other.value_bytes),
            min(self.txn_ops, other.txn_ops),
        )


@dataclass(frozen=True)
class Settings:
    """The content of the platform's settings file; times are in seconds."""

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
    """A waiting task of a gang exits if its gang is not complete within this time."""
    gang_peer_s: float
    """Within this time the tasks of a gang notice that one of them is lost, and must be sent a stop
    command.
    """
    cancel_s: float
    state_rps: float
    state_limits: StateLimits
    """The strictest limits of the key-value store over time: lower limits that are announced for
    later are kept from the start.
    """
    cloud_rps: float
    list_lag_s: float
    max_sockets: int


def parse_address(text: str) -> Address | None:
    """Parses a text of the form HOST:PORT; returns None if it has another form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        return None
    return host, int(port)


class _Table:
    """A table of the file; the error of a missing or invalid field has the field's full name."""

    def __init__(self, data: Any, path: str) -> None:
        """`path`: the full name of the table; empty for the whole file."""
        if not isinstance(data, dict):
            raise SettingsError(f"{path or 'settings'}: expected a table, got {data!r}")
        self._data = data
        self._path = path

    def has(self, field: str) -> bool:
        """Whether the table has the field."""
        return field in self._data

    def text(self, field: str) -> str:
        """Returns the value of a field that must be a non-empty string."""
        value = self._get(field)
        if not isinstance(value, str) or not value:
            raise SettingsError(
                f"{self._full_name(field)}: expected a non-empty string, got {value!r}"
            )
        return value

    def texts(self, field: str) -> tuple[str, ...]:
        """Returns the value of a field that must be a list of strings."""
        value = self._get(field)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise SettingsError(
                f"{self._full_name(field)}: expected a list of strings, got {value!r}"
            )
        return tuple(value)

    def number_above(self, field: str, bound: float = 0.0, default: float | None = None) -> float:
        """Returns a number that must be larger than the bound; a missing field has the default."""
        value = self._number(field, default)
        if value <= bound:
            raise SettingsError(
                f"{self._full_name(field)}: {value} is too small, expected more than {bound:g}"
            )
        return float(value)

    def number_at_least(
        self, field: str, bound: float = 0.0, default: float | None = None
    ) -> float:
        """Returns a number that must be at least the bound; a missing field has the default."""
        value = self._number(field, default)
        if value < bound:
            raise SettingsError(
                f"{self._full_name(field)}: {value} is too small, expected at least {bound:g}"
            )
        return float(value)

    def address(self, field: str) -> Address:
        """Returns the address in a field of the form HOST:PORT."""
        parsed = parse_address(self.text(field))
        if parsed is None:
            raise SettingsError(
                f"{self._full_name(field)}: expected HOST:PORT, got {self._data[field]!r}"
            )
        return parsed

    def table(self, field: str) -> _Table:
        """Returns the table in a field."""
        return _Table(self._get(field), self._full_name(field))

    def tables(self, field: str) -> list[_Table]:
        """Returns the tables of an array; empty if the field is missing."""
        value = self._data.get(field, [])
        if not isinstance(value, list):
            raise SettingsError(
                f"{self._full_name(field)}: expected an array of tables, got {value!r}"
            )
        return [
            _Table(item, f"{self._full_name(field)}[{index}]") for index, item in enumerate(value)
        ]

    def _full_name(self, field: str) -> str:
        return f"{self._path}.{field}" if self._path else field

    def _get(self, field: str) -> Any:
        if field not in self._data:
            raise SettingsError(f"{self._full_name(field)}: missing")
        return self._data[field]

    def _number(self, field: str, default: float | None) -> int | float:
        if default is not None and field not in self._data:
            return default
        value = self._get(field)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or math.isnan(value):
            raise SettingsError(f"{self._full_name(field)}: expected a number, got {value!r}")
        return cast("int | float", value)


def parse(data: dict[str, Any]) -> Settings:
    """Builds the settings from the file's content; raises `SettingsError` for the first error."""
    top = _Table(data, "")
    params = top.table("params")
    endpoints = top.table("endpoints")
    workers, state, cloud = params.table("workers"), params.table("state"), params.table("cloud")
    state_limits = _parse_lowest_state_limits(state)
    limits = params.table("limits")
    teams = _parse_teams(params)
    objectives = _parse_objectives(params)
    settings = Settings(
        node=top.text("node_name"),
        zone=top.text("site"),
        listen=top.address("listen"),
        peer_listen=top.address("cluster_listen"),
        peers=_parse_peers(top),
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
        list_lag_s=cloud.number_at_least("list_lag_s"),
        max_sockets=int(limits.number_above("max_sockets", default=DEFAULT_MAX_SOCKETS)),
    )
    if settings.node in settings.peers:
        raise SettingsError(
            f"others: lists this node itself, {settings.node!r}; expected only other controllers"
        )
    return settings


def _parse_teams(params: _Table) -> dict[str, Team]:
    teams = {}
    for entry in params.tables("teams"):
        name = entry.text("name")
        teams[name] = Team(
            name,
            entry.number_at_least("cpus", default=0.0),
            entry.number_at_least("cpus_max", default=0.0),
            entry.number_at_least("gpus", default=0.0),
            entry.number_at_least("gpus_max", default=0.0),
        )
    return teams


def _parse_objectives(params: _Table) -> tuple[Objective, ...]:
    return tuple(
        Objective(
            entry.text("kind"),
            entry.text("class") if entry.has("class") else None,
            entry.number_at_least("within_s", default=0.0),
            entry.number_at_least("share", default=0.0),
            entry.number_above("times", default=1.0),
        )
        for entry in params.tables("objectives")
    )


def _parse_peers(top: _Table) -> dict[str, tuple[str, Address]]:
    """Returns the zone and the address of each other controller, by name."""
    return {
        entry.text("node_name"): (entry.text("site"), entry.address("peer_addr"))
        for entry in top.tables("others")
    }


def _parse_lowest_state_limits(state: _Table) -> StateLimits:
    """Returns the smaller of the present limits and those announced for the next change, if any."""
    limits = _parse_state_limits(state)
    return (
        limits.minimum_with(_parse_state_limits(state.table("next")))
        if state.has("next")
        else limits
    )


def _parse_state_limits(table: _Table) -> StateLimits:
    return StateLimits(
        write_rps=table.number_above("write_rps"),
        value_bytes=int(table.number_at_least("value_kb", MIN_VALUE_KB) * BYTES_PER_KB),
        txn_ops=int(table.number_at_least("txn_ops", 1.0)),
    )


def load(path: str) -> Settings:
    """Reads the settings from a file; raises `SettingsError` if it is invalid."""
    return parse(read_toml(path))


def read_toml(path: str) -> dict[str, Any]:
    """Returns the content of a TOML file; raises `SettingsError` with its path."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
