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
    world = SimulatedCluster(seed=3)
    world.submit(spec("j-000001", tasks=2))
    world.submit(batch("j-000002", 3), run_time=4.0, node=1)
    world.run(30)
    world.cancel("j-000001", node=2)
    world.run(5)
    return world


def leader_crash() -> SimulatedCluster:
    world = SimulatedCluster(seed=3)
    world.submit(spec("j-000001", tasks=2))
    world.submit(batch("j-000002", 2), run_time=20.0, node=1)
    world.until(lambda: len(world.running) == 4, 60)
    world.crash(world.leader() or "", back_after=5.0)
    world.submit(spec("j-000003"), node=1)
    world.run(30)
    world.note(f"leaders: {sum(node.election.is_leader for node in world.nodes.values())}")
    return world


def hung_machine() -> SimulatedCluster:
    world = SimulatedCluster(seed=3)
    world.submit(spec("j-000001", tasks=2))
    world.until(lambda: len(world.running) == 2, 60)
    machine = world.machine_of("j-000001/0")
    world.note(f"{machine} hangs")
    world.workers[machine].hung = True
    world.run(40)
    return world


def all_crash_and_state_outage() -> SimulatedCluster:
    world = SimulatedCluster(seed=3)
    world.submit(spec("j-000001", tasks=2))
    world.until(lambda: len(world.running) == 2, 60)
    for name in NODES:
        world.crash(name, back_after=5.0)
    world.note("the state service has trouble")
    world.state.down = True
    world.run(12)
    world.note("the state service is back")
    world.state.recover()
    world.submit(spec("j-000002"))
    world.run(20)
    return world


@pytest.mark.parametrize(
    "scenario", [quiet_start, leader_crash, hung_machine, all_crash_and_state_outage]
)
def test_trace_equals_stored_trace(scenario: Callable[[], SimulatedCluster]) -> None:
    trace = "\n".join(scenario().trace) + "\n"
    path = TRACES / f"{scenario.__name__}.txt"
    if os.environ.get("FLAXTALLY_KEEP_TRACES"):
        path.write_text(trace)
    assert trace == path.read_text()
