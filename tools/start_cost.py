"""Measures what the start of a controller costs: `python3 tools/start_cost.py TREE [TREE ...]`.

Builds each source tree with the command of its `deploy/service.toml`, then starts a controller of
each tree in turn, several times, until it listens. Prints the processor time of a start (median,
minimum and maximum) and its memory (median).
"""

from __future__ import annotations

import argparse
import os
import shlex
import signal
import socket
import statistics
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

SETTINGS = """
node_name = "hearth-0"
site = "a"
listen = "127.0.0.1:{users}"
cluster_listen = "127.0.0.1:{peers}"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[params]
zones = ["a"]
workers.report_s = 1.5
workers.lease_s = 10.0
workers.gang_wait_s = 40.0
workers.gang_peer_s = 6.0
workers.cancel_s = 30.0
state = {{ rps = 250.0, write_rps = 40.0, value_kb = 8.0, txn_ops = 32 }}
cloud = {{ rps = 3.0, list_lag_s = 4.0 }}
limits = {{ max_sockets = 700 }}
"""
START_TIMEOUT_S = 20.0


def find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def wait_until_listening(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1.0).close()
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.005)
        else:
            return


def measure_start(tree: Path, command: list[str], settings: Path) -> tuple[float, float]:
    """Start a controller once; return its processor time in seconds and its memory in MB."""
    user_port = find_free_port()
    settings.write_text(SETTINGS.format(users=user_port, peers=find_free_port()))
    process = subprocess.Popen([*command, str(settings)], cwd=tree, stderr=subprocess.DEVNULL)
    wait_until_listening(user_port)
    process.send_signal(signal.SIGKILL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = status
    return usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024


def main() -> None:
    parser = argparse.ArgumentParser(description="Measure what the start of a controller costs.")
    parser.add_argument("trees", nargs="+", type=Path, metavar="TREE")
    parser.add_argument("--times", type=int, default=15)
    arguments = parser.parse_args()
    commands: dict[Path, list[str]] = {}
    for tree in arguments.trees:
        deploy = tomllib.loads((tree / "deploy" / "service.toml").read_text())
        subprocess.run(deploy["build"], shell=True, check=True, cwd=tree)
        commands[tree] = shlex.split(deploy["run"])
    costs: dict[Path, list[tuple[float, float]]] = {tree: [] for tree in commands}
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(arguments.times):
            for tree, command in commands.items():
                costs[tree].append(measure_start(tree, command, Path(folder) / "node.toml"))
    for tree, starts in costs.items():
        times = sorted(seconds for seconds, _ in starts)
        memory = statistics.median(megabytes for _, megabytes in starts)
        print(
            f"{tree}: {statistics.median(times):.3f} s ({times[0]:.3f} to {times[-1]:.3f}), "
            f"{memory:.1f} MB"
        )


if __name__ == "__main__":
    main()
