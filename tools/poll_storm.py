"""What polls cost a controller: `python3 tools/poll_storm.py HOST:PORT JOB [--pid PID]`.

Asks about a job at a steady rate over a few connections, and reports how long answers took and,
with the controller's process id, its processor time a poll. Bounded in rate and time.
"""

from __future__ import annotations

import argparse
import http.client
import os
import statistics
import threading
import time
from collections import Counter
from pathlib import Path

CONNECTIONS = 8


def cpu_seconds(pid: int) -> float:
    """User and system time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Asker(threading.Thread):
    """One connection that polls at a steady pace."""

    def __init__(self, address: str, job: str, period: float, until: float) -> None:
        super().__init__(daemon=True)
        self._address, self._job, self._period, self._until = address, job, period, until
        self.statuses: Counter[int] = Counter()
        self.delays: list[float] = []

    def run(self) -> None:
        connection = http.client.HTTPConnection(self._address, timeout=2.0)
        due = time.monotonic()
        while due < self._until:
            time.sleep(max(0.0, due - time.monotonic()))
            began = time.monotonic()
            try:
                connection.request("GET", f"/work/{self._job}")
                answer = connection.getresponse()
                answer.read()
                self.statuses[answer.status] += 1
            except (OSError, http.client.HTTPException):
                connection.close()
                self.statuses[0] += 1
            self.delays.append(time.monotonic() - began)
            due += self._period


def main() -> None:
    parser = argparse.ArgumentParser(description="What polls cost a controller.")
    parser.add_argument("address", help="HOST:PORT of a controller on this machine")
    parser.add_argument("job")
    parser.add_argument("--rate", type=float, default=200.0, help="polls a second, 2000 at most")
    parser.add_argument("--seconds", type=float, default=10.0, help="60 at most")
    parser.add_argument("--pid", type=int, help="the controller's process")
    arguments = parser.parse_args()
    rate, seconds = min(arguments.rate, 2000.0), min(arguments.seconds, 60.0)
    before = cpu_seconds(arguments.pid) if arguments.pid else 0.0
    until = time.monotonic() + seconds
    askers = [
        Asker(arguments.address, arguments.job, CONNECTIONS / rate, until)
        for _ in range(CONNECTIONS)
    ]
    for asker in askers:
        asker.start()
    for asker in askers:
        asker.join()
    delays = sorted(delay for asker in askers for delay in asker.delays)
    statuses = sum((asker.statuses for asker in askers), Counter())
    cut = statistics.quantiles(delays, n=100)
    print(f"polls: {len(delays)} in {seconds:.0f} s, by status {dict(statuses)}")
    print(f"answered after ms: median {cut[49] * 1e3:.1f}, p99 {cut[98] * 1e3:.1f}")
    if arguments.pid:
        used = cpu_seconds(arguments.pid) - before
        print(f"processor time: {used:.2f} s, {used / len(delays) * 1e6:.0f} us a poll")


if __name__ == "__main__":
    main()
