"""Two zones that can't reach each other, while values at the state service are small."""

from __future__ import annotations

from flaxtally import policy
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import check_final_state, wait_for_leader
from .simulated_cluster import ZONES, SimulatedCluster, spec


def hosts_of(cluster: SimulatedCluster, zone: str) -> list[str]:
    """Controllers and machines of the zone."""
    controllers = [
        cluster.ip(name) for number, name in enumerate(cluster.names) if ZONES[number % 2] == zone
    ]
    return controllers + [
        cluster.get_machine_ip(name)
        for name, worker in cluster.workers.items()
        if worker.machine.zone == zone
    ]


def longest_silence(cluster: SimulatedCluster) -> float:
    """For how long the leader has not heard one of its machines, in seconds."""
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    return max(
        cluster.sim.time - machine.last_heartbeat_at
        for machine in leader.term.fleet.machines.values()
        if not machine.is_booting
    )


def test_machines_beyond_a_cut_stay_in_touch_with_small_values() -> None:
    # Found on a day of troubles at the lower limits: whole reports of busy machines filled the
    # values, most machines of the far zone were silent, and the leader released them one by one.
    cluster = SimulatedCluster(
        value_bytes=2048, txn_ops=4, capacity=30, team=Team("crew", 0.0, 1e5, 0.0, 2400.0)
    )
    for number in range(100):
        # Ids come in no order: they hardly compress.
        ref = f"j-{number * 7919 * 104729 % 10**9:09d}"
        cluster.submit(spec(ref, tasks=10, cores=0.3, memory_gb=0.2), node=number)
    # Two machines' worth of cores a job, so that many machines are up.
    for number in range(30):
        cluster.submit(spec(f"j-{200 + number:06d}", tasks=2, cores=12.0), node=number)
    cluster.run(70.0)
    assert len(cluster.running) == 1060
    machines = set(cluster.workers)
    assert len(machines) > 25
    before = dict(cluster.running)
    near = hosts_of(cluster, "a")
    for far in hosts_of(cluster, "b"):
        cluster.cut(far, near, 40.0)
    for number in range(200):
        # Orders and their answers go the same way, before reports.
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
    oldest = 0.0
    for _ in range(60):
        cluster.run(0.5)
        oldest = max(oldest, longest_silence(cluster))
    # Silent for longer a machine is probed and gets no work, and then it is released.
    assert oldest < policy.default(cluster.build_settings("hearth-0")).machine_suspect
    assert {task for task in before if cluster.running.get(task) != before[task]} == set()
    assert not cluster.state.oversized_transactions
    check_final_state(cluster, 60.0)
