"""Measures what polls cost a controller: `python3 tools/poll_storm.py HOST:PORT JOB [--pid PID]`.

Queries a job at a steady rate over a few connections and reports the latency of the replies and,
given the controller's process id, its processor time per poll. Rate and duration are bounded.
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


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Poller(threading.Thread):
    """Polls over one connection at a steady rate."""

    def __init__(self, address: str, job: str, period_s: float, end_at: float) -> None:
        super().__init__(daemon=True)
        self._address, self._job, self._period_s, self._end_at = address, job, period_s, end_at
        self.statuses: Counter[int] = Counter()
        self.latencies_s: list[float] = []

    def run(self) -> None:
        connection = http.client.HTTPConnection(self._address, timeout=2.0)
        due_at = time.monotonic()
        while due_at < self._end_at:
            time.sleep(max(0.0, due_at - time.monotonic()))
            started_at = time.monotonic()
            try:
                connection.request("GET", f"/work/{self._job}")
                response = connection.getresponse()
                response.read()
                self.statuses[response.status] += 1
            except (OSError, http.client.HTTPException):
                connection.close()
                self.statuses[0] += 1
            self.latencies_s.append(time.monotonic() - started_at)
            due_at += self._period_s


def main() -> None:
    parser = argparse.ArgumentParser(description="Measure what polls cost a controller.")
    parser.add_argument("address", help="HOST:PORT of a controller on this machine")
    parser.add_argument("job")
    parser.add_argument("--rate", type=float, default=200.0, help="polls per second; at most 2000")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="duration of the run; at most 60"
    )
    parser.add_argument("--pid", type=int, help="the controller's process id")
    arguments = parser.parse_args()
    rate, seconds = min(arguments.rate, 2000.0), min(arguments.seconds, 60.0)
    cpu_before_s = read_cpu_seconds(arguments.pid) if arguments.pid else 0.0
    end_at = time.monotonic() + seconds
    pollers = [
        Poller(arguments.address, arguments.job, CONNECTIONS / rate, end_at)
        for _ in range(CONNECTIONS)
    ]
    for poller in pollers:
        poller.start()
    for poller in pollers:
        poller.join()
    latencies_s = sorted(latency_s for poller in pollers for latency_s in poller.latencies_s)
    statuses = sum((poller.statuses for poller in pollers), Counter())
    percentiles = statistics.quantiles(latencies_s, n=100)
    print(f"polls: {len(latencies_s)} in {seconds:.0f} s, by status {dict(statuses)}")
    print(f"answered after ms: median {percentiles[49] * 1e3:.1f}, p99 {percentiles[98] * 1e3:.1f}")
    if arguments.pid:
        used_s = read_cpu_seconds(arguments.pid) - cpu_before_s
        print(f"processor time: {used_s:.2f} s, {used_s / len(latencies_s) * 1e6:.0f} us a poll")


if __name__ == "__main__":
    main()
