"""The operators' settings: the language, its checker, the shipped values; and the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import example, given
from hypothesis import settings as tries
from hypothesis import strategies as st

from flaxtally import policy
from flaxtally.cli import main
from flaxtally.fakes import demo
from flaxtally.policy.language import PLAIN, TIME, Known, PolicyError, evaluate, parse
from flaxtally.settings import load

if TYPE_CHECKING:
    from pathlib import Path

NAMES = {
    "a": Known(TIME, 0.0, 100.0),
    "b": Known(TIME, 0.0),
    "c": Known(PLAIN, 0.0, 9.0, whole=True),
}
PLATFORM = {"workers.lease_s": (10.0, TIME), "params.nodes": (3.0, PLAIN)}


def values(text: str) -> dict[str, float]:
    return evaluate({statement.name: statement for statement in parse(text, "x")}, NAMES, PLATFORM)


def faults(text: str) -> list[str]:
    with pytest.raises(PolicyError) as raised:
        values(text)
    return [str(fault) for fault in raised.value.faults]


def test_expressions_follow_precedence_units_and_other_settings() -> None:
    text = """
    b = a * 2 - 500 ms      # a follows below
    a = max(workers.lease_s / 4,
            -1 s + 2 s)
    c = if params.nodes >= 3 then 2 + 3 * (1 - 0) else 9
    """
    assert values(text) == {"a": 2.5, "b": 4.5, "c": 5.0}


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (
            "a = workers.leas_s",
            "x:1: unknown name 'workers.leas_s'; did you mean 'workers.lease_s'?",
        ),
        ("a = 3", "x:1: a is in a plain number, it must be in s"),
        ("a = 3 s + 2 GB", "x:1: '+' of s and GB"),
        ("\na = 1 s / (params.nodes - 3)", "x:2: a divides by zero"),
        ("a = b\nb = a", "x:1: goes round in circles: a -> b -> a"),
        ("a = 200 s", "x:1: a is 200, it must be between 0 and 100"),
        ("c = 1 / 2", "x:1: c is 0.5, it must be whole"),
        ("a = 3 s +", "x:1: the expression ends too early"),
        ("a = 3 s; b = 2 s", "x:1: ';' has no place here"),
        ("z = 1", "x:1: no such setting: 'z'"),
        ("a = " + "(" * 25 + "1 s" + ")" * 25, "x:1: nested too deeply"),
        ("a = 1 s" + " + 1 s" * 40, "x:1: longer than 60 words and signs"),
    ],
)
def test_each_fault_is_named_with_its_line(text: str, fault: str) -> None:
    assert faults(text) == [fault]


def test_all_faults_of_a_file_are_listed_and_what_follows_from_one_is_not() -> None:
    assert faults("a = 4 GB\nc = nodes\nq = 1") == [
        "x:1: a is in GB, it must be in s",
        "x:2: unknown name 'nodes'; did you mean 'params.nodes'?",
        "x:3: no such setting: 'q'",
    ]
    assert faults("a = b / 0\nb = 1 s") == ["x:1: a divides by zero"]
    assert faults("a = b") == ["x:1: b has no value"]


@given(st.text("abc=+-*/()<>, 0123.sG#\nifthenelsemxw_", max_size=80))
@example("a=b")
@tries(derandomize=True, max_examples=600, deadline=None)
def test_no_text_makes_the_checker_fail_otherwise(text: str) -> None:
    found = []
    try:
        values(text)
    except PolicyError as error:
        found = error.faults
    assert all(fault.line >= 1 and fault.reason for fault in found)


PAGE = (
    demo.build_controller_settings(21000, 0)
    .replace("report_s = 1.5", "report_s = 2.0")
    .replace("lease_s = 10.0", "lease_s = 12.0")
    .replace("cancel_s = 30.0", "cancel_s = 42.0")
)


@pytest.fixture
def config(tmp_path: Path) -> Path:
    path = tmp_path / "hearth-0.toml"
    path.write_text(PAGE, encoding="utf-8")
    return path


def test_an_operators_file_changes_a_setting_and_what_refers_to_it(
    config: Path, tmp_path: Path
) -> None:
    shipped = policy.default(load(str(config)))
    assert (shipped.plan_step, shipped.sample, shipped.unattended) == (3.0, 24, 36.0)
    own = tmp_path / "own.policy"
    own.write_text("late = 2\ncool_down = 90 s\n")
    changed = policy.load(load(str(config)), str(own))
    assert (changed.cool_down, changed.late, changed.very_late) == (90.0, 2.0, pytest.approx(2.7))
    assert changed.plan_step == shipped.plan_step


def test_faulty_files_give_messages_and_exit_2(
    config: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    own = tmp_path / "own.policy"
    own.write_text("cool_dwon = 90 s\nlate = 1 s\n")
    for command in (["check"], ["policy", "show"], ["serve"]):
        assert main([*command, "--config", str(config), "--policy", str(own)]) == 2
        told = capsys.readouterr()
        assert f"{own}:1: no such setting: 'cool_dwon'; did you mean 'cool_down'?" in told.err
        assert f"{own}:2: late is in s" in told.err
        assert told.out == ""
    assert main(["check", "--config", str(config), "--policy", str(tmp_path / "absent")]) == 2
    assert main(["submit", str(tmp_path / "absent.json"), "--to", "127.0.0.1:1"]) == 2
    (tmp_path / "job.json").write_text("[1")
    assert main(["submit", str(tmp_path / "job.json"), "--to", "127.0.0.1:1"]) == 2
    assert main(["status", "j-000001", "--to", "nowhere"]) == 2
    assert main(["status", "j 1", "--to", "127.0.0.1:1"]) == 2
    assert "Traceback" not in capsys.readouterr().err
    assert main(["policy", "show", "--config", str(config)]) == 0
    assert "cool_down = 36 s  # workers.lease_s * 3  (defaults.policy:" in capsys.readouterr().out


def test_the_demos_settings_are_sound_and_know_each_other(tmp_path: Path) -> None:
    loaded = []
    for number in range(len(demo.NODES)):
        path = tmp_path / f"{number}.toml"
        path.write_text(demo.build_controller_settings(23000, number))
        loaded.append(load(str(path)))
    for settings in loaded:
        others = {
            other.node: (other.zone, other.peer_listen) for other in loaded if other is not settings
        }
        assert settings.peers == others
