"""Compares the traces of four runs of a small deployment with those stored in `tests/traces/`.

A change in behaviour shows as a difference in a trace. If it is intended, store the new traces with
`FLAXTALLY_KEEP_TRACES=1 python3 -m pytest tests/test_traces.py`, and review the difference before
the commit.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from .simulated_cluster import NODES, SimulatedCluster, batch, spec

if TYPE_CHECKING:
    from collections.abc import Callable

TRACES = Path(__file__).parent / "traces"


def quiet_start() -> SimulatedCluster:
    cluster = SimulatedCluster(seed=3)
    cluster.submit(spec("j-000001", tasks=2))
    cluster.submit(batch("j-000002", 3), run_time=4.0, node=1)
    cluster.run(30)
    cluster.cancel("j-000001", node=2)
    cluster.run(5)
    return cluster


def leader_crash() -> SimulatedCluster:
    cluster = SimulatedCluster(seed=3)
    cluster.submit(spec("j-000001", tasks=2))
    cluster.submit(batch("j-000002", 2), run_time=20.0, node=1)
    cluster.run_until(lambda: len(cluster.running) == 4, 60)
    cluster.crash(cluster.leader() or "", restart_after_s=5.0)
    cluster.submit(spec("j-000003"), node=1)
    cluster.run(30)
    cluster.add_trace_line(
        f"leaders: {sum(node.election.is_leader for node in cluster.nodes.values())}"
    )
    return cluster


def hung_machine() -> SimulatedCluster:
    cluster = SimulatedCluster(seed=3)
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run_until(lambda: len(cluster.running) == 2, 60)
    machine = cluster.find_machine("j-000001/0")
    cluster.add_trace_line(f"{machine} hangs")
    cluster.workers[machine].hung = True
    cluster.run(40)
    return cluster


def all_crash_and_state_outage() -> SimulatedCluster:
    cluster = SimulatedCluster(seed=3)
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run_until(lambda: len(cluster.running) == 2, 60)
    for name in NODES:
        cluster.crash(name, restart_after_s=5.0)
    cluster.add_trace_line("the state service has trouble")
    cluster.state.down = True
    cluster.run(12)
    cluster.add_trace_line("the state service is back")
    cluster.state.recover()
    cluster.submit(spec("j-000002"))
    cluster.run(20)
    return cluster


@pytest.mark.parametrize(
    "scenario", [quiet_start, leader_crash, hung_machine, all_crash_and_state_outage]
)
def test_trace_equals_stored_trace(scenario: Callable[[], SimulatedCluster]) -> None:
    trace = "\n".join(scenario().trace) + "\n"
    path = TRACES / f"{scenario.__name__}.txt"
    if os.environ.get("FLAXTALLY_KEEP_TRACES"):
        path.write_text(trace)
    assert trace == path.read_text()
