"""Runs `emulate lending` for a few seconds: real controllers that fail, and the audit's verdict."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from .free_ports import find_free_ports

pytestmark = pytest.mark.real_processes

ROOT = Path(__file__).resolve().parent.parent
SHORT_RUN_OPTIONS = ["--seconds=24", "--swap-every=3", "--fault-every=7"]


def run(folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
    words = [sys.executable, "-m", "flaxtally", "emulate", "lending", f"--out={folder}"]
    return subprocess.run(
        [*words, f"--port={find_free_ports()}", *SHORT_RUN_OPTIONS, *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
    )


def test_loans_are_reclaimed_while_real_controllers_fail(tmp_path: Path) -> None:
    """A leader that fails during a reclaim must not leave a team below its guarantee.

    The bound has a margin for a busy machine; runs by hand use a lower one.
    """
    done = run(tmp_path, "--seed=2", "--most-s=20")
    assert done.returncode == 0, done.stdout + done.stderr
    verdict = json.loads((tmp_path / "verdict.json").read_text())
    assert verdict["breaches"] == verdict["rules_broken"] == []
    assert verdict["recalled"] >= 8
    assert len(verdict["faults"]) >= 3
    lines = [json.loads(line) for line in (tmp_path / "loans.jsonl").read_text().splitlines()]
    # Both teams borrow in turn, and return everything.
    assert {line["borrower"] for line in lines if line["gpus"] == 8.0} == {"day", "night"}
    assert any(line["gpus"] == 0.0 for line in lines)


def test_a_shortfall_above_the_bound_is_a_breach(tmp_path: Path) -> None:
    """An audit that can't fail would pass every run; no controller can meet this bound."""
    done = run(tmp_path, "--seed=2", "--most-s=0.01", "--seconds=12", "--fault-every=60")
    assert done.returncode == 1, done.stdout + done.stderr
    assert "GUARANTEE BROKEN" in done.stdout


@pytest.mark.parametrize("option", ["--seconds=0", "--port=none"])
def test_invalid_options_are_reported_before_any_process_starts(
    tmp_path: Path, option: str
) -> None:
    """A run must not fail half-way for a reason that its options already show."""
    done = run(tmp_path, option)
    assert done.returncode == 2
    assert done.stdout == ""
