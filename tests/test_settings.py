"""The platform's settings file: which fields are read, ignored and rejected."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import pytest

from flaxtally.cli import main
from flaxtally.settings import SettingsError, StateLimits, parse

if TYPE_CHECKING:
    from pathlib import Path


SETTINGS = """
node_name = "n0"
site = "a"
listen = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
novelty = 1
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
zones = ["a"]
[[params.teams]]
name = "crew"
cpus = 4.0
[params.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
gang_wait_s = 40.0
gang_peer_s = 6.0
[params.state]
rps = 250.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 3.0
list_lag_s = 4.0
[params.limits]
max_sockets = 700
"""


NEXT = """[params.state.next]
write_rps = 15.0
value_kb = 2.0
txn_ops = 4
"""


SETTINGS = SETTINGS.replace("[params.cloud]", NEXT + "[params.cloud]")


def test_the_lower_limits_of_the_state_service_hold_from_the_start() -> None:
    # Guards against records that fit now and exceed the lower limits that the state service has
    # announced for later.
    lower = parse(tomllib.loads(SETTINGS)).state_limits
    assert lower == StateLimits(write_rps=15.0, value_bytes=2048, txn_ops=4)
    # Each limit is compared separately: one that is raised later changes nothing.
    mixed = SETTINGS.replace("write_rps = 15.0", "write_rps = 90.0").replace("= 4\n", "= 64\n")
    found = parse(tomllib.loads(mixed)).state_limits
    assert found == StateLimits(write_rps=40.0, value_bytes=2048, txn_ops=32)
    assert parse(tomllib.loads(SETTINGS.replace(NEXT, ""))).state_limits.value_bytes == 8192


def test_settings_are_read_and_unknown_fields_ignored() -> None:
    # The platform may add fields to its file (here `novelty`): the controller must still start.
    found = parse(tomllib.loads(SETTINGS))
    assert (found.node, found.listen, found.state_limits.value_bytes) == (
        "n0",
        ("127.0.0.1", 8080),
        2048,
    )
    assert found.teams["crew"].cores == 4.0
    assert found.teams["crew"].cores_max == 0.0


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("report_s = 1.5", "", "params.workers.report_s: missing"),
        ("report_s = 1.5", 'report_s = "x"', "params.workers.report_s: expected a number, got 'x'"),
        ("lease_s = 10.0", "lease_s = 0", "params.workers.lease_s: 0 is too small"),
        ('listen = "127.0.0.1:8080"', 'listen = "here"', "listen: expected HOST:PORT, got 'here'"),
        ('zones = ["a"]', "zones = 3", "params.zones: expected a list of strings, got 3"),
        ("gang_wait_s = 40.0", "", "params.workers.gang_wait_s: missing"),
        ("gang_wait_s = 40.0", "gang_wait_s = -1", "params.workers.gang_wait_s: -1 is too small"),
        (
            "gang_peer_s = 6.0",
            'gang_peer_s = "six"',
            "params.workers.gang_peer_s: expected a number, got 'six'",
        ),
        ("txn_ops = 32", "txn_ops = 0", "params.state.txn_ops: 0 is too small"),
        ("value_kb = 8.0", "value_kb = 0.2", "params.state.value_kb: 0.2 is too small"),
        (NEXT, NEXT.replace("15.0", "0"), "params.state.next.write_rps: 0 is too small"),
        (
            NEXT,
            NEXT.replace("2.0", '"2"'),
            "params.state.next.value_kb: expected a number, got '2'",
        ),
        (NEXT, NEXT.replace("txn_ops = 4", ""), "params.state.next.txn_ops: missing"),
        (NEXT, NEXT.replace("txn_ops = 4", "txn_ops = -4"), "params.state.next.txn_ops: -4 is too"),
        (NEXT, "next = 3\n", "params.state.next: expected a table, got 3"),
    ],
)
def test_an_invalid_setting_is_named(old: str, new: str, field: str) -> None:
    # An operator must find the invalid field: the error has its full name and what is wrong.
    with pytest.raises(SettingsError, match=field.replace(".", r"\.")):
        parse(tomllib.loads(SETTINGS.replace(old, new, 1)))


def test_invalid_settings_end_with_one_line_and_exit_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # An invalid or missing file must end the command with a one-line message, not a traceback.
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace("rps = 3.0", "rps = true"))
    assert main(["serve", "--config", str(path)]) == 2
    assert main(["check", "--config", str(tmp_path / "absent")]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert "params.cloud.rps: expected a number, got True" in lines[0]
    path.write_text(SETTINGS)
    assert main(["check", "--config", str(path)]) == 0
