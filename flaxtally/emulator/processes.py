"""The processes of a run: started, sampled, and ended whatever happens."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import psutil

SOURCE_ROOT = Path(__file__).resolve().parent.parent.parent
KILL_TIMEOUT_S = 5.0


class ResourceUsage(NamedTuple):
    """What a process used until `at`, a time of the steady clock in seconds."""

    at: float
    processor_s: float
    memory_bytes: int
    files: int


class ProcessEndedError(Exception):
    """A process ended that should run; the text says which, how, and where its log is."""


class ManagedProcess:
    """A process that belongs to the run, and what it used over time."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name, self.log, self.usages = name, log, list[ResourceUsage]()
        self._arguments = arguments
        self._process: subprocess.Popen[bytes] | None = None
        self._psutil_process: psutil.Process | None = None
        self._earlier_processor_s = 0.0
        """Processor time of earlier lives."""

    def start(self) -> None:
        import_paths = [str(SOURCE_ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        environment = os.environ | {
            "PYTHONPATH": os.pathsep.join(import_paths),
            "LOG_LEVEL": "info",
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self._psutil_process = psutil.Process(self._process.pid)

    def check(self) -> None:
        """Raises `ProcessEndedError` if it should run and doesn't."""
        if self._process is not None and self._process.poll() is not None:
            raise ProcessEndedError(
                f"{self.name} ended with status {self._process.returncode}: see {self.log}"
            )

    def kill(self) -> None:
        """Ends it without a signal that it could see, as a failing machine does."""
        if self._process is None:
            return
        if self.usages:
            self._earlier_processor_s = self.usages[-1].processor_s
        self._process.kill()
        self._process.wait(KILL_TIMEOUT_S)
        self._process = self._psutil_process = None

    def pause(self) -> None:
        """Stands still until `resume`, with all that reaches it waiting."""
        if self._process is not None:
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Goes on."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)

    def sample(self, now: float) -> None:
        """Notes what it uses; a process that just ended is passed over."""
        if self._psutil_process is None:
            return
        try:
            with self._psutil_process.oneshot():
                times = self._psutil_process.cpu_times()
                memory = self._psutil_process.memory_info().rss
                files = self._psutil_process.num_fds()
        except psutil.Error:
            return
        self.usages.append(
            ResourceUsage(now, self._earlier_processor_s + times.user + times.system, memory, files)
        )


class Processes:
    """Owns all processes of a run."""

    def __init__(self) -> None:
        self._by_name: dict[str, ManagedProcess] = {}

    def start(self, name: str, arguments: list[str], log: Path) -> None:
        process = self._by_name[name] = ManagedProcess(name, arguments, log)
        process.start()

    def __getitem__(self, name: str) -> ManagedProcess:
        return self._by_name[name]

    def check(self) -> None:
        """Raises `ProcessEndedError` for the first that ended by itself."""
        for process in self._by_name.values():
            process.check()

    def sample(self, now: float) -> None:
        for process in self._by_name.values():
            process.sample(now)

    def names(self) -> list[str]:
        return list(self._by_name)

    def kill_all(self) -> None:
        for process in self._by_name.values():
            process.kill()
