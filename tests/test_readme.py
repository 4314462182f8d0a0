"""README's path from the demo to a cancelled job, as a new user takes it: real processes on
loopback. The commands are README's own, on another folder and port.
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

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

pytestmark = pytest.mark.real_processes

ROOT = Path(__file__).resolve().parent.parent
FOLDER, PORT = "target/demo", 21000
"""README's."""
OTHER_PORT = 24500
PATIENCE_S = 60.0


def readme_commands() -> list[list[str]]:
    """The commands of the section "Try it", comments left out."""
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    section = text.split("## Try it")[1].split("\n## ")[0]
    lines = re.findall(r"^    python3 -m (flaxtally .*)$", section, re.MULTILINE)
    return [line.partition("#")[0].split() for line in lines]


def moved(words: list[str], folder: Path) -> list[str]:
    """A command with this test's folder and port."""
    first = str(PORT // 100)
    return [
        re.sub(rf":{first}(\d\d)\b", rf":{OTHER_PORT // 100}\1", word.replace(FOLDER, str(folder)))
        for word in words
    ]


class Processes:
    """What was started and is ended with the test."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._started: list[subprocess.Popen[bytes]] = []

    def start(self, words: list[str]) -> None:
        with (self._folder / f"{len(self._started)}.log").open("wb") as log:
            started = subprocess.Popen(
                [sys.executable, "-m", *words], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT
            )
        self._started.append(started)

    def end_all(self) -> None:
        for process in self._started:
            process.kill()
        for process in self._started:
            process.wait()

    def logs(self) -> str:
        return "\n".join(path.read_text() for path in sorted(self._folder.glob("*.log")))


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    found = Processes(tmp_path)
    yield found
    found.end_all()


def until(condition: Callable[[], bool]) -> bool:
    end = time.monotonic() + PATIENCE_S
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.2)
    return True


def run(words: list[str]) -> tuple[int, dict[str, object]]:
    """A command that ends: its exit code, and what it printed."""
    ended = subprocess.run(
        [sys.executable, "-m", *words], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return ended.returncode, json.loads(ended.stdout) if ended.stdout.strip() else {}


def test_the_path_of_the_readme_leads_to_a_cancelled_job(
    processes: Processes, tmp_path: Path
) -> None:
    folder = tmp_path / "demo"
    commands = [moved(words, folder) for words in readme_commands()]
    demo, serve, submit, status, cancel = commands[:5]
    assert [words[1] for words in commands[:5]] == ["demo", "serve", "submit", "status", "cancel"]
    processes.start([*demo, "--port", str(OTHER_PORT)])
    assert until(lambda: (folder / "job.json").exists()), processes.logs()
    for number in range(3):
        config = serve[-1].replace("controller-0", f"controller-{number}")
        processes.start([*serve[:-1], config])
    assert until(lambda: run(submit)[0] == 0), processes.logs()
    assert until(lambda: run(status)[1].get("stage") == "running"), processes.logs()
    told: list[dict[str, object]] = []

    def cancelled() -> bool:
        code, answer = run(cancel)
        told.append(answer)
        return code == 0

    assert until(cancelled), processes.logs()
    assert told[-1]["stage"] == "aborted"
    assert run(status)[1]["stage"] == "aborted"
    assert "event=leader_elected" in processes.logs()
