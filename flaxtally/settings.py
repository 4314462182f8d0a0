"""The platform's settings file, checked; fields that are not recognised are ignored."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .runtime.loop import Address

LEAST_VALUE_KB = 1.0
"""The largest record that can't be divided, a job with long names, must fit into a value."""


class SettingsError(Exception):
    """A setting is missing or wrong; the text names the field."""


@dataclass(frozen=True)
class Team:
    """A team's guarantee and limit; a limit of 0 means none."""

    name: str
    cores: float
    cores_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class Objective:
    """An aim of the platform.

    What is to happen to a class within a time, or within so many times its deadline.
    """

    kind: str
    job_class: str | None
    within: float
    share: float
    times: float = 1.0


@dataclass(frozen=True)
class StateLimits:
    """What the state service accepts."""

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
    """All that the platform says."""

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
    """What the state service accepts from the start to the end: limits that it will lower later
    hold from the start.
    """
    cloud_rps: float
    list_lag_s: float
    max_sockets: int


def address(text: str) -> Address | None:
    """HOST:PORT, or None if the text is not that."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host, int(port)


class _Table:
    """A table of the file, asked by field, with errors that name the field in full."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{path or 'settings'}: not a table")
        self._data, self._path = data, path

    def _name(self, field: str) -> str:
        return f"{self._path}.{field}" if self._path else field

    def _get(self, field: str) -> Any:
        if field not in self._data:
            raise SettingsError(f"{self._name(field)}: missing")
        return self._data[field]

    def text(self, field: str) -> str:
        value = self._get(field)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._name(field)}: not a text")
        return value

    def number(
        self, field: str, default: float | None = None, above: float = 0.0, least: bool = False
    ) -> float:
        if default is not None and field not in self._data:
            return default
        value = self._get(field)
        if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
            raise SettingsError(f"{self._name(field)}: not a number")
        if value < above or (value == above and not least):
            raise SettingsError(f"{self._name(field)}: {value} is too small")
        return float(value)

    def address(self, field: str) -> Address:
        found = address(self.text(field))
        if found is None:
            raise SettingsError(f"{self._name(field)}: not HOST:PORT")
        return found

    def table(self, field: str) -> _Table:
        return _Table(self._get(field), self._name(field))

    def tables(self, field: str) -> list[_Table]:
        value = self._data.get(field, [])
        if not isinstance(value, list):
            raise SettingsError(f"{self._name(field)}: not an array of tables")
        return [_Table(item, f"{self._name(field)}[{index}]") for index, item in enumerate(value)]

    def texts(self, field: str) -> tuple[str, ...]:
        value = self._get(field)
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise SettingsError(f"{self._name(field)}: not a list of texts")
        return tuple(value)

    def has(self, field: str) -> bool:
        return field in self._data


def parse(data: dict[str, Any]) -> Settings:
    """Settings from the file's content, or `SettingsError` for the first fault."""
    top = _Table(data, "")
    params = top.table("params")
    endpoints = top.table("endpoints")
    workers, state, cloud = params.table("workers"), params.table("state"), params.table("cloud")
    state_limits = _state_limits(state)
    if state.has("next"):
        state_limits = state_limits.lower(_state_limits(state.table("next")))
    limits = params.table("limits")
    teams = {
        name: Team(
            name,
            entry.number("cpus", 0.0, least=True),
            entry.number("cpus_max", 0.0, least=True),
            entry.number("gpus", 0.0, least=True),
            entry.number("gpus_max", 0.0, least=True),
        )
        for entry in params.tables("teams")
        for name in [entry.text("name")]
    }
    objectives = tuple(
        Objective(
            entry.text("kind"),
            entry.text("class") if entry.has("class") else None,
            entry.number("within_s", 0.0, least=True),
            entry.number("share", 0.0, least=True),
            entry.number("times", 1.0),
        )
        for entry in params.tables("objectives")
    )
    settings = Settings(
        node=top.text("node_name"),
        zone=top.text("site"),
        listen=top.address("listen"),
        peer_listen=top.address("cluster_listen"),
        peers={
            entry.text("node_name"): (entry.text("site"), entry.address("peer_addr"))
            for entry in top.tables("others")
        },
        cloud=endpoints.address("cloud"),
        state=endpoints.address("state"),
        zones=params.texts("zones"),
        teams=teams,
        objectives=objectives,
        report_s=workers.number("report_s"),
        lease_s=workers.number("lease_s"),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s"),
        state_rps=state.number("rps"),
        state_limits=state_limits,
        cloud_rps=cloud.number("rps"),
        list_lag_s=cloud.number("list_lag_s", least=True),
        max_sockets=int(limits.number("max_sockets", 512.0)),
    )
    if settings.node in settings.peers:
        raise SettingsError("others: names this node itself")
    return settings


def _state_limits(table: _Table) -> StateLimits:
    return StateLimits(
        write_rps=table.number("write_rps"),
        value_bytes=int(table.number("value_kb", above=LEAST_VALUE_KB, least=True) * 1024),
        txn_ops=int(table.number("txn_ops", above=1.0, least=True)),
    )


def load(path: str) -> Settings:
    """Settings from a file, or `SettingsError`."""
    return parse(read_toml(path))


def read_toml(path: str) -> dict[str, Any]:
    """What a TOML file holds, or `SettingsError` with its path."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as fault:
        raise SettingsError(f"{path}: {fault.strerror or fault}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise SettingsError(f"{path}: {fault}") from None
