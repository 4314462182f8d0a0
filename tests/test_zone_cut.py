"""A network partition between two zones while the key-value store allows only small values."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING

from flaxtally import policy
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import check_final_state, wait_for_leader
from .simulated_cluster import ZONES, SimulatedCluster, spec

if TYPE_CHECKING:
    import pytest


def list_hosts(cluster: SimulatedCluster, zone: str) -> list[str]:
    """Returns the addresses of the zone's controllers and machines."""
    controllers = [
        cluster.ip(name) for number, name in enumerate(cluster.names) if ZONES[number % 2] == zone
    ]
    return controllers + [
        cluster.get_machine_ip(name)
        for name, worker in cluster.workers.items()
        if worker.machine.zone == zone
    ]


def get_max_heartbeat_age_s(cluster: SimulatedCluster) -> float:
    """Returns for how many seconds the leader has got no heartbeat of a machine, at most."""
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    return max(
        cluster.sim.time - machine.last_heartbeat_at
        for machine in leader.term.fleet.machines.values()
        if not machine.is_booting
    )


def test_machines_of_a_partitioned_zone_stay_connected_with_small_store_values(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # At the lowest limits of the store, the full heartbeats of busy machines filled its values. The
    # leader got no heartbeats from most machines of the other zone, and terminated them one by one.
    caplog.set_level(logging.INFO)
    cluster = SimulatedCluster(
        value_bytes=2048, txn_ops=4, capacity=30, team=Team("crew", 0.0, 1e5, 0.0, 2400.0)
    )
    for number in range(100):
        # The ids are in no order, so that they hardly compress.
        ref = f"j-{number * 7919 * 104729 % 10**9:09d}"
        cluster.submit(spec(ref, tasks=10, cores=0.3, memory_gb=0.2), node=number)
    # Each job takes the cores of two machines, so that many machines are provisioned.
    for number in range(30):
        cluster.submit(spec(f"j-{200 + number:06d}", tasks=2, cores=12.0), node=number)
    cluster.run(70.0)
    assert len(cluster.running) == 1060
    machines = set(cluster.workers)
    assert len(machines) > 25
    before = dict(cluster.running)
    near = list_hosts(cluster, "a")
    for far in list_hosts(cluster, "b"):
        cluster.cut(far, near, 40.0)
    for number in range(200):
        # Commands and their results go through the same store values, ahead of heartbeats.
        job = spec(
            f"j-{5000 + number:06d}",
            job_kind=wire.ARRAY,
            tasks=6,
            cores=0.5,
            spread=False,
            estimated_run_s=3.0,
        )
        cluster.after(number * 0.2, cluster.submit, job, 3.0, number)
    cluster.run(10.0)
    max_heartbeat_age_s = 0.0
    for _ in range(60):
        cluster.run(0.5)
        max_heartbeat_age_s = max(max_heartbeat_age_s, get_max_heartbeat_age_s(cluster))
    # After a longer time without heartbeats a machine is probed, gets no tasks, and is terminated.
    assert max_heartbeat_age_s < policy.default(cluster.build_settings("hearth-0")).machine_suspect
    assert not re.search(r"event=machine_termination_requested .* tasks=[1-9]", caplog.text)
    # Replicas may leave only machines that a leader empties to save their cost, one at a time.
    emptied = set(re.findall(r"event=machine_emptying .*machine=(\S+)", caplog.text))
    moved = [task for task in before if cluster.running.get(task) != before[task]]
    assert {before[task][0] for task in moved} <= emptied
    assert len(set(before) - set(cluster.running)) <= 1
    ends = [line for line in cluster.trace if " end " in line and " end done on " not in line]
    assert all(" end halted on " in line for line in ends), ends
    assert not cluster.state.oversized_transactions
    check_final_state(cluster, 60.0)
