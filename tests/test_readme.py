"""Runs the commands of README's section "Try it", from the demo to a cancelled job.

Guards against commands in README that no longer work. They run as real processes on loopback, with
another folder and other ports than README's.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from .free_ports import RANGE_LENGTH, find_free_ports

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

pytestmark = pytest.mark.real_processes

ROOT = Path(__file__).resolve().parent.parent
FOLDER, PORT = "target/demo", 21000
"""The folder and the first port that README's commands use."""
TIMEOUT_S = 60.0


def readme_commands() -> list[list[str]]:
    """Return the commands of the section "Try it", without comments."""
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    section = text.split("## Try it")[1].split("\n## ")[0]
    lines = re.findall(r"^    python3 -m (flaxtally .*)$", section, re.MULTILINE)
    return [line.partition("#")[0].split() for line in lines]


def adapt_command(words: list[str], folder: Path, first_port: int) -> list[str]:
    """Return a command with this test's folder and ports."""
    port_prefix = str(PORT // RANGE_LENGTH)
    return [
        re.sub(
            rf":{port_prefix}(\d\d)\b",
            rf":{first_port // RANGE_LENGTH}\g<1>",
            word.replace(FOLDER, str(folder)),
        )
        for word in words
    ]


class Processes:
    """Processes that a test starts, killed at its end."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._started: list[subprocess.Popen[bytes]] = []

    def start(self, words: list[str]) -> None:
        with (self._folder / f"{len(self._started)}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *words], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT
            )
        self._started.append(process)

    def kill_all(self) -> None:
        for process in self._started:
            process.kill()
        for process in self._started:
            process.wait()

    def logs(self) -> str:
        return "\n".join(path.read_text() for path in sorted(self._folder.glob("*.log")))


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    started = Processes(tmp_path)
    yield started
    started.kill_all()


def wait_until(condition: Callable[[], bool]) -> bool:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.2)
    return True


def run_command(words: list[str]) -> tuple[int, dict[str, object]]:
    """Run a command to its end; return its exit code and the JSON object that it printed."""
    completed = subprocess.run(
        [sys.executable, "-m", *words], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return completed.returncode, json.loads(completed.stdout) if completed.stdout.strip() else {}


def test_readme_commands_lead_to_a_cancelled_job(processes: Processes, tmp_path: Path) -> None:
    folder = tmp_path / "demo"
    first_port = find_free_ports()
    commands = [adapt_command(words, folder, first_port) for words in readme_commands()]
    demo, serve, submit, status, cancel = commands[:5]
    assert [words[1] for words in commands[:5]] == ["demo", "serve", "submit", "status", "cancel"]
    processes.start([*demo, "--port", str(first_port)])
    assert wait_until(lambda: (folder / "job.json").exists()), processes.logs()
    for number in range(3):
        config = serve[-1].replace("controller-0", f"controller-{number}")
        processes.start([*serve[:-1], config])
    assert wait_until(lambda: run_command(submit)[0] == 0), processes.logs()
    assert wait_until(lambda: run_command(status)[1].get("stage") == "running"), processes.logs()
    replies: list[dict[str, object]] = []

    def is_cancelled() -> bool:
        exit_code, reply = run_command(cancel)
        replies.append(reply)
        return exit_code == 0

    assert wait_until(is_cancelled), processes.logs()
    assert replies[-1]["stage"] == "aborted"
    assert run_command(status)[1]["stage"] == "aborted"
    assert "event=leader_elected" in processes.logs()
