"""The operators' settings: what the platform's file leaves open, as ratios to its figures.

The shipped values stand in `defaults.policy`, in the language of `language`; an operators' file in
the same language sets some of them anew.
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
    Known,
    PolicyError,
    Statement,
    Unit,
    evaluate,
    parse,
)

if TYPE_CHECKING:
    from ..settings import Settings

__all__ = ["Policy", "PolicyError", "Setting", "build", "default", "explain", "load"]

DEFAULTS = Path(__file__).with_name("defaults.policy")
LONGEST_FILE = 256 * 1024

_TIME = Known(TIME, 0.001, 86400.0)
_RATIO = Known(PLAIN, 0.0, 1000.0)
KNOWN: dict[str, Known] = {
    "boot_patience": Known(PLAIN, 1.0, 100.0),
    "late": Known(PLAIN, 1.1, 100.0),
    "very_late": Known(PLAIN, 1.1, 100.0),
    "slack": Known(PLAIN, 0.0, 1.0),
    "move_worth": _RATIO,
    "best_effort_price": _RATIO,
    "pass_rest": _RATIO,
    "sample": Known(PLAIN, 1.0, 10000.0, whole=True),
}


@dataclass(frozen=True)
class Policy:
    """The settings' values; times in seconds. What each means is said in `defaults.policy`."""

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
    recall: float
    pool_rest: float
    move_after: float
    move_patience: float
    move_worth: float
    sample: int
    pass_rest: float


for _field in dataclasses.fields(Policy):
    KNOWN.setdefault(_field.name, _TIME)


@dataclass(frozen=True)
class Setting:
    """A setting as `policy show` prints it."""

    name: str
    value: float
    unit: Unit
    source: str
    line: int
    text: str


def _platform(settings: Settings) -> dict[str, tuple[float, Unit]]:
    """The names of the platform's file that expressions may use."""
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


def _read(path: Path, name: str) -> list[Statement]:
    try:
        if path.stat().st_size > LONGEST_FILE:
            raise PolicyError([Fault(name, 0, "too long for a policy file")])
        text = path.read_text(encoding="utf-8")
    except OSError as fault:
        raise PolicyError([Fault(name, 0, fault.strerror or str(fault))]) from None
    except UnicodeDecodeError:
        raise PolicyError([Fault(name, 0, "not UTF-8 text")]) from None
    statements = parse(text, name)
    first: dict[str, int] = {}
    twice = [
        Fault(
            name,
            statement.line,
            f"{statement.name} was set in line {first[statement.name]} already",
        )
        for statement in statements
        if first.setdefault(statement.name, statement.line) != statement.line
    ]
    if twice:
        raise PolicyError(twice)
    return statements


def explain(settings: Settings, path: str | None = None) -> list[Setting]:
    """Each setting's value and where it came from, or `PolicyError` with every fault."""
    statements = {statement.name: statement for statement in _read(DEFAULTS, DEFAULTS.name)}
    if path is not None:
        statements |= {statement.name: statement for statement in _read(Path(path), path)}
    values = evaluate(statements, KNOWN, _platform(settings))
    return [
        Setting(
            name, values[name], KNOWN[name].unit, statement.file, statement.line, statement.text
        )
        for name, statement in statements.items()
    ]


def build(explained: list[Setting]) -> Policy:
    """The policy of settings that were explained."""
    values: dict[str, Any] = {
        setting.name: int(setting.value) if KNOWN[setting.name].whole else setting.value
        for setting in explained
    }
    return Policy(**values)


def load(settings: Settings, path: str | None = None) -> Policy:
    """The shipped values with those of an operators' file, or `PolicyError` with every fault."""
    return build(explain(settings, path))


def default(settings: Settings) -> Policy:
    """The shipped policy for these settings."""
    return load(settings)
