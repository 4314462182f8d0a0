"""The operators' policy: settings that are derived from the values of the platform's settings file.

The default values are in `defaults.policy`, written in the language of the module `language`. An
operators' file in the same language overrides some of them.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .language import (
    PLAIN,
    RATE,
    SIZE,
    TIME,
    Fault,
    PolicyError,
    SettingConstraint,
    Statement,
    Unit,
    evaluate,
    parse,
)

if TYPE_CHECKING:
    from ..settings import Settings

__all__ = ["Policy", "PolicyError", "Setting", "build", "default", "explain", "load"]

DEFAULTS_PATH = Path(__file__).with_name("defaults.policy")
MAX_FILE_BYTES = 256 * 1024

_TIME_CONSTRAINT = SettingConstraint(TIME, 0.001, 86400.0)
_RATIO_CONSTRAINT = SettingConstraint(PLAIN, 0.0, 1000.0)
SETTING_CONSTRAINTS: dict[str, SettingConstraint] = {
    "boot_patience": SettingConstraint(PLAIN, 1.0, 100.0),
    "late": SettingConstraint(PLAIN, 1.1, 100.0),
    "very_late": SettingConstraint(PLAIN, 1.1, 100.0),
    "slack": SettingConstraint(PLAIN, 0.0, 1.0),
    "move_worth": _RATIO_CONSTRAINT,
    "best_effort_price": _RATIO_CONSTRAINT,
    "pass_rest": _RATIO_CONSTRAINT,
    "sample": SettingConstraint(PLAIN, 1.0, 10000.0, is_integer=True),
}
"""The constraint of each setting, by its name; settings that are not listed here are times."""


@dataclass(frozen=True)
class Policy:
    """The value of each setting, times in seconds; `defaults.policy` says what each one means."""

    heartbeat: float
    peer_silence: float
    process_pause: float
    loop_delay: float
    refused_patience: float
    leader_hold: float
    lease_patience: float
    probe: float
    mail: float
    unattended: float
    ask: float
    call: float
    first_call: float
    order_call: float
    retry: float
    gather: float
    machine_suspect: float
    machine_silence: float
    zone_silence: float
    settle: float
    cancel_patience: float
    boot_patience: float
    late: float
    very_late: float
    faulty_rest: float
    slow_rest: float
    plan_step: float
    plan_horizon: float
    plan_lead: float
    begin_latest: float
    keep_patience: float
    slack: float
    best_effort_price: float
    cool_down: float
    exits_kept: float
    recall: float
    pool_rest: float
    move_after: float
    move_patience: float
    move_worth: float
    sample: int
    pass_rest: float


for _field in dataclasses.fields(Policy):
    SETTING_CONSTRAINTS.setdefault(_field.name, _TIME_CONSTRAINT)


@dataclass(frozen=True)
class Setting:
    """A setting with its value and its definition, as `policy show` prints them."""

    name: str
    value: float
    unit: Unit
    source: str
    line: int
    text: str


def _collect_platform_values(settings: Settings) -> dict[str, tuple[float, Unit]]:
    """Returns the values of the platform's settings file that expressions may refer to."""
    return {
        "workers.report_s": (settings.report_s, TIME),
        "workers.lease_s": (settings.lease_s, TIME),
        "workers.cancel_s": (settings.cancel_s, TIME),
        "state.rps": (settings.state_rps, RATE),
        "state.write_rps": (settings.state_limits.write_rps, RATE),
        "state.value_gb": (settings.state_limits.value_bytes / 2**30, SIZE),
        "state.txn_ops": (float(settings.state_limits.txn_ops), PLAIN),
        "cloud.rps": (settings.cloud_rps, RATE),
        "cloud.list_lag_s": (settings.list_lag_s, TIME),
        "limits.max_sockets": (float(settings.max_sockets), PLAIN),
        "params.nodes": (float(len(settings.peers) + 1), PLAIN),
    }


def _read_statements(path: Path, name: str) -> list[Statement]:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise PolicyError([Fault(name, 0, f"the file is larger than {MAX_FILE_BYTES} bytes")])
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise PolicyError([Fault(name, 0, error.strerror or str(error))]) from None
    except UnicodeDecodeError:
        raise PolicyError([Fault(name, 0, "the file is not UTF-8 text")]) from None
    statements = parse(text, name)
    first_line: dict[str, int] = {}
    duplicates = [
        Fault(
            name,
            statement.line,
            f"{statement.name} is already set in line {first_line[statement.name]}",
        )
        for statement in statements
        if first_line.setdefault(statement.name, statement.line) != statement.line
    ]
    if duplicates:
        raise PolicyError(duplicates)
    return statements


def explain(settings: Settings, path: str | None = None) -> list[Setting]:
    """Returns each setting of the policy, with the place of its definition.

    `path`: an operators' file with overrides. Raises `PolicyError` with every fault.
    """
    statements = {
        statement.name: statement
        for statement in _read_statements(DEFAULTS_PATH, DEFAULTS_PATH.name)
    }
    if path is not None:
        statements |= {
            statement.name: statement for statement in _read_statements(Path(path), path)
        }
    values = evaluate(statements, SETTING_CONSTRAINTS, _collect_platform_values(settings))
    return [
        Setting(
            name,
            values[name],
            SETTING_CONSTRAINTS[name].unit,
            statement.file,
            statement.line,
            statement.text,
        )
        for name, statement in statements.items()
    ]


def build(explained: list[Setting]) -> Policy:
    """Builds the policy from the settings that `explain` returned."""
    values: dict[str, Any] = {
        setting.name: int(setting.value)
        if SETTING_CONSTRAINTS[setting.name].is_integer
        else setting.value
        for setting in explained
    }
    return Policy(**values)


def load(settings: Settings, path: str | None = None) -> Policy:
    """Returns the policy with the overrides of an operators' file, or raises `PolicyError`."""
    return build(explain(settings, path))


def default(settings: Settings) -> Policy:
    """Returns the policy of `defaults.policy` for these settings."""
    return load(settings)
