"""A network partition between two zones while the key-value store allows only small values."""

from __future__ import annotations

from flaxtally import policy
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import ends_well, leader_of
from .simulated_cluster import ZONES, SimulatedCluster, spec


def list_hosts(world: SimulatedCluster, zone: str) -> list[str]:
    """Returns the addresses of the zone's controllers and machines."""
    controllers = [
        world.ip(name) for number, name in enumerate(world.names) if ZONES[number % 2] == zone
    ]
    return controllers + [
        world.ip_of(name) for name, worker in world.workers.items() if worker.machine.zone == zone
    ]


def get_max_heartbeat_age_s(world: SimulatedCluster) -> float:
    """Returns for how many seconds the leader has got no heartbeat of a machine, at most."""
    leader = world.nodes[leader_of(world)].leader
    return max(
        world.sim.time - machine.last_heartbeat_at
        for machine in leader.term.fleet.machines.values()
        if not machine.is_booting
    )


def test_machines_of_a_partitioned_zone_stay_connected_with_small_store_values() -> None:
    # At the lowest limits of the store, the full heartbeats of busy machines filled its values. The
    # leader got no heartbeats from most machines of the other zone, and terminated them one by one.
    world = SimulatedCluster(
        value_bytes=2048, txn_ops=4, capacity=30, team=Team("crew", 0.0, 1e5, 0.0, 2400.0)
    )
    for number in range(100):
        # The ids are in no order, so that they hardly compress.
        ref = f"j-{number * 7919 * 104729 % 10**9:09d}"
        world.submit(spec(ref, tasks=10, cores=0.3, memory_gb=0.2), node=number)
    # Each job takes the cores of two machines, so that many machines are provisioned.
    for number in range(30):
        world.submit(spec(f"j-{200 + number:06d}", tasks=2, cores=12.0), node=number)
    world.run(70.0)
    assert len(world.running) == 1060
    machines = set(world.workers)
    assert len(machines) > 25
    before = dict(world.running)
    near = list_hosts(world, "a")
    for far in list_hosts(world, "b"):
        world.cut(far, near, 40.0)
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
        world.after(number * 0.2, world.submit, job, 3.0, number)
    world.run(10.0)
    max_heartbeat_age_s = 0.0
    for _ in range(60):
        world.run(0.5)
        max_heartbeat_age_s = max(max_heartbeat_age_s, get_max_heartbeat_age_s(world))
    # After a longer time without heartbeats a machine is probed, gets no tasks, and is terminated.
    assert max_heartbeat_age_s < policy.default(world.settings_of("hearth-0")).machine_suspect
    assert {task for task in before if world.running.get(task) != before[task]} == set()
    assert not world.state.over_limit
    ends_well(world, 60.0)
