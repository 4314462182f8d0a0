"""Runs `emulate scale` at its smallest size: real processes on loopback, for a few seconds."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

from .free_ports import find_free_ports

pytestmark = pytest.mark.real_processes

ROOT = Path(__file__).resolve().parent.parent
SMALLEST_RUN_OPTIONS = [
    "--workers=12",
    "--seconds=3",
    "--warm-up=20",
    "--lease-s=4",
    "--report-s=0.8",
    "--array-tasks=6",
    "--workers-per-process=6",
    "--starts-per-worker=0.3",
]


def command(folder: Path, *options: str) -> list[str]:
    words = [sys.executable, "-m", "flaxtally", "emulate", "scale", f"--out={folder}"]
    return [*words, f"--port={find_free_ports()}", *SMALLEST_RUN_OPTIONS, *options]


def run(folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        command(folder, *options), cwd=ROOT, capture_output=True, text=True, timeout=120
    )


def processes_of(folder: Path) -> list[psutil.Process]:
    """Returns the processes of a run, which all have its folder on their command line."""
    found = []
    for process in psutil.process_iter(["cmdline"]):
        words = process.info["cmdline"] or []
        if any(str(folder) in word for word in words) and process.pid != os.getpid():
            found.append(process)
    return found


@pytest.mark.parametrize("cells", [1, 2])
def test_the_smallest_run_breaks_no_rule_and_leaves_its_results(tmp_path: Path, cells: int) -> None:
    """The whole path from processes to results works, with one cell and with several."""
    done = run(tmp_path, f"--cells={cells}", "--zones=4")
    assert done.returncode == 0, done.stdout + done.stderr
    size = json.loads((tmp_path / "results.json").read_text())["sizes"][0]
    assert size["rules_broken"] == []
    steady, disturbed = size["phases"]
    assert steady["workers"] == 12
    assert steady["reports_per_s"] > 10
    assert steady["running_tasks"] > 30
    assert steady["processes"]["controller-0"]["memory_mb"] > 5
    assert disturbed["starts_per_s"] > 0
    # The leader was killed, and another controller took over.
    assert len(steady["leaders"]) == len(disturbed["leaders"]) == cells
    assert disturbed["leaders"] != steady["leaders"]
    # Only several cells use the shared state service, for the job directory and for quota shares.
    assert (disturbed["shared_requests_per_s"] > 0) == (cells > 1)
    assert "leads and is ended" in done.stderr
    assert "workers" in done.stdout
    assert processes_of(tmp_path) == []


def test_a_task_that_is_started_twice_ends_the_run_with_the_events_that_show_it(
    tmp_path: Path,
) -> None:
    """A run that misses a broken rule would report success; the option injects one."""
    done = run(tmp_path, "--break-rule")
    assert done.returncode == 1, done.stdout + done.stderr
    broken = json.loads((tmp_path / "results.json").read_text())["sizes"][0]["rules_broken"]
    assert any("ran_twice" in rule[0] for rule in broken)
    shown = next(line for line in done.stdout.splitlines() if "RULE BROKEN" in line)
    assert "ran_twice" in shown
    assert done.stdout.count(" started j-") >= 2


@pytest.mark.parametrize("how", ["interrupt", "part dies"])
def test_no_process_outlives_an_interrupted_or_failed_run(tmp_path: Path, how: str) -> None:
    """Processes that stay would keep the ports of the next run and distort its figures."""
    with subprocess.Popen(
        command(tmp_path), cwd=ROOT, stderr=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as running:
        until = time.monotonic() + 30
        while len(processes_of(tmp_path)) < 8 and time.monotonic() < until:
            time.sleep(0.2)
        assert len(processes_of(tmp_path)) == 8, "the run, four children and three controllers"
        if how == "interrupt":
            running.send_signal(signal.SIGINT)
        else:
            child = next(p for p in processes_of(tmp_path) if p.cmdline()[-2:] == ["workers", "1"])
            child.kill()
        _, errors = running.communicate(timeout=20)
    assert running.returncode == (130 if how == "interrupt" else 1)
    assert ("workers-1" in errors) == (how == "part dies")
    assert processes_of(tmp_path) == []


@pytest.mark.parametrize(
    ("options", "words"),
    [
        (["--workers=2"], "below 4"),
        (["--workers=ten"], "--workers"),
        (["--seconds=0"], "not above 0"),
        (["--workers=1000000"], "lower --workers"),
        (["--port=65535"], "lower --port"),
    ],
)
def test_options_that_can_not_be_run_are_reported_before_any_process_starts(
    tmp_path: Path, options: list[str], words: str
) -> None:
    """A run must not fail half-way for a reason that its options already show."""
    done = run(tmp_path, *options)
    assert done.returncode == 2
    assert words in done.stderr
    assert done.stdout == ""
    assert processes_of(tmp_path) == []
