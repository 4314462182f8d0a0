"""The processes of a run: starts them, samples their resource usage, and always kills them."""

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
"""Seconds within which a killed process must have exited."""


class ResourceUsage(NamedTuple):
    """What a process used until `at`, a time of the monotonic clock in seconds."""

    at: float
    processor_s: float
    memory_bytes: int
    files: int


class ProcessEndedError(Exception):
    """A process exited that should still run; the text says which one and where its log is."""


class ManagedProcess:
    """A process of the run, which can be restarted, and its resource usage over time."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name, self.log, self.usages = name, log, list[ResourceUsage]()
        self._arguments = arguments
        self._process: subprocess.Popen[bytes] | None = None
        self._psutil_process: psutil.Process | None = None
        self._earlier_processor_s = 0.0
        """Processor time that the process used before its last restart, in seconds."""

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
        """Raises `ProcessEndedError` if the process exited without being killed here."""
        if self._process is not None and self._process.poll() is not None:
            raise ProcessEndedError(
                f"{self.name} exited with status {self._process.returncode}: see {self.log}"
            )

    def kill(self) -> None:
        """Kills the process with SIGKILL: it can't clean up, as if its machine had failed."""
        if self._process is None:
            return
        if self.usages:
            self._earlier_processor_s = self.usages[-1].processor_s
        self._process.kill()
        self._process.wait(KILL_TIMEOUT_S)
        self._process = self._psutil_process = None

    def pause(self) -> None:
        """Stops the process until `resume`; its sockets keep what arrives meanwhile."""
        if self._process is not None:
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues a process that `pause` stopped."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)

    def sample(self, now: float) -> None:
        """Records the resource usage; does nothing if the process has just exited."""
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
        """Raises `ProcessEndedError` for the first process that exited on its own."""
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
