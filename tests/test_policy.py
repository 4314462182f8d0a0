"""Policy files: the language, its checker, the default values and the command line's errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from flaxtally import policy
from flaxtally.cli import main
from flaxtally.fakes import demo
from flaxtally.policy.language import PLAIN, TIME, PolicyError, SettingConstraint, evaluate, parse
from flaxtally.settings import load

if TYPE_CHECKING:
    from pathlib import Path

CONSTRAINTS = {
    "a": SettingConstraint(TIME, 0.0, 100.0),
    "b": SettingConstraint(TIME, 0.0),
    "c": SettingConstraint(PLAIN, 0.0, 9.0, is_integer=True),
}
PLATFORM_SETTINGS = {"workers.lease_s": (10.0, TIME), "params.nodes": (3.0, PLAIN)}


def evaluate_text(text: str) -> dict[str, float]:
    return evaluate(
        {statement.name: statement for statement in parse(text, "x")},
        CONSTRAINTS,
        PLATFORM_SETTINGS,
    )


def list_faults(text: str) -> list[str]:
    with pytest.raises(PolicyError) as raised:
        evaluate_text(text)
    return [str(fault) for fault in raised.value.faults]


def test_expressions_follow_precedence_units_and_other_settings() -> None:
    # A misread expression would give a setting a wrong value without an error. Also covers a
    # reference to a setting that is defined further down, and a continued line.
    text = """
    b = a * 2 - 500 ms      # a follows below
    a = max(workers.lease_s / 4,
            -1 s + 2 s)
    c = if params.nodes >= 3 then 2 + 3 * (1 - 0) else 9
    """
    assert evaluate_text(text) == {"a": 2.5, "b": 4.5, "c": 5.0}


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (
            "a = workers.leas_s",
            "x:1: unknown name 'workers.leas_s'; did you mean 'workers.lease_s'?",
        ),
        ("a = 3", "x:1: a has the wrong unit: got a plain number, expected s"),
        ("a = 3 s + 2 GB", "x:1: '+' of different units: s and GB"),
        ("\na = 1 s / (params.nodes - 3)", "x:2: a divides by zero"),
        ("a = b\nb = a", "x:1: circular reference: a -> b -> a"),
        ("a = 200 s", "x:1: a is 200, it must be between 0 and 100"),
        ("c = 1 / 2", "x:1: c is 0.5, it must be a whole number"),
        ("a = 3 s +", "x:1: unexpected end of the expression"),
        ("a = 3 s; b = 2 s", "x:1: unexpected character ';'"),
        ("z = 1", "x:1: unknown setting 'z'"),
        ("a = " + "(" * 25 + "1 s" + ")" * 25, "x:1: nested more than 20 levels deep"),
        ("a = 1 s" + " + 1 s" * 40, "x:1: the statement has 124 tokens, at most 60 are allowed"),
    ],
)
def test_each_fault_is_reported_with_its_line(text: str, fault: str) -> None:
    # An operator must find the place of an error; a wrong unit must not pass as a plain number.
    assert list_faults(text) == [fault]


def test_all_faults_of_a_file_are_listed_without_their_consequences() -> None:
    # A setting that refers to a faulty one must not be reported as a fault of its own.
    assert list_faults("a = 4 GB\nc = nodes\nq = 1") == [
        "x:1: a has the wrong unit: got GB, expected s",
        "x:2: unknown name 'nodes'; did you mean 'params.nodes'?",
        "x:3: unknown setting 'q'",
    ]
    assert list_faults("a = b / 0\nb = 1 s") == ["x:1: a divides by zero"]
    assert list_faults("a = b") == ["x:1: b has no value"]


@given(st.text("abc=+-*/()<>, 0123.sG#\nifthenelsemxw_", max_size=80))
@example("a=b")
@hypothesis_settings(derandomize=True, max_examples=600, deadline=None)
def test_any_invalid_text_raises_only_policy_errors(text: str) -> None:
    # Guards against a crash of the parser or the checker on arbitrary input: whatever an operator
    # writes must give errors with a line and a reason.
    found = []
    try:
        evaluate_text(text)
    except PolicyError as error:
        found = error.faults
    assert all(fault.line >= 1 and fault.reason for fault in found)


SETTINGS_TEXT = (
    demo.build_controller_settings(21000, 0)
    .replace("report_s = 1.5", "report_s = 2.0")
    .replace("lease_s = 10.0", "lease_s = 12.0")
    .replace("cancel_s = 30.0", "cancel_s = 42.0")
)


@pytest.fixture
def config(tmp_path: Path) -> Path:
    path = tmp_path / "hearth-0.toml"
    path.write_text(SETTINGS_TEXT, encoding="utf-8")
    return path


def test_an_operators_file_overrides_a_setting_and_its_dependents(
    config: Path, tmp_path: Path
) -> None:
    # `very_late` is defined by `late` and must follow its override; others keep their value.
    defaults = policy.default(load(str(config)))
    assert (defaults.plan_step, defaults.sample, defaults.unattended) == (3.0, 24, 36.0)
    operator_file = tmp_path / "own.policy"
    operator_file.write_text("late = 2\ncool_down = 90 s\n")
    changed = policy.load(load(str(config)), str(operator_file))
    assert (changed.cool_down, changed.late, changed.very_late) == (90.0, 2.0, pytest.approx(2.7))
    assert changed.plan_step == defaults.plan_step


def test_invalid_files_give_messages_and_exit_code_2(
    config: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # A typing error in a file or an argument must end the command with a message, not a traceback.
    operator_file = tmp_path / "own.policy"
    operator_file.write_text("cool_dwon = 90 s\nlate = 1 s\n")
    for command in (["check"], ["policy", "show"], ["serve"]):
        assert main([*command, "--config", str(config), "--policy", str(operator_file)]) == 2
        captured = capsys.readouterr()
        assert (
            f"{operator_file}:1: unknown setting 'cool_dwon'; did you mean 'cool_down'?"
            in captured.err
        )
        assert f"{operator_file}:2: late has the wrong unit: got s" in captured.err
        assert captured.out == ""
    assert main(["check", "--config", str(config), "--policy", str(tmp_path / "absent")]) == 2
    assert main(["submit", str(tmp_path / "absent.json"), "--to", "127.0.0.1:1"]) == 2
    (tmp_path / "job.json").write_text("[1")
    assert main(["submit", str(tmp_path / "job.json"), "--to", "127.0.0.1:1"]) == 2
    assert main(["status", "j-000001", "--to", "nowhere"]) == 2
    assert main(["status", "j 1", "--to", "127.0.0.1:1"]) == 2
    assert "Traceback" not in capsys.readouterr().err
    assert main(["policy", "show", "--config", str(config)]) == 0
    assert "cool_down = 36 s  # workers.lease_s * 3  (defaults.policy:" in capsys.readouterr().out


def test_the_demos_settings_are_valid_and_list_each_other(tmp_path: Path) -> None:
    # Guards against a demo in which a controller lists another with a wrong zone or address.
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
