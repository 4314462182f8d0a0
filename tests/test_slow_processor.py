"""Controllers whose processor is too slow for what is asked of them: messages wait their turn and
timers fire late. The rules hold, leadership stays where it is or moves once, and the queue drains.
"""

import pytest

from flaxtally.protocol import wire

from .scenarios import start_busy_cluster, term, wait_for_leader
from .simulated_cluster import SimulatedCluster, spec

SERVICES = 4
CALL_SECONDS = 0.01
"""With its own timers and a storm's polls a controller has more to do than there is time for."""
POLLS_A_SECOND = 150


def start_loaded_cluster(seed: int) -> SimulatedCluster:
    return start_busy_cluster(seed, services=SERVICES, arrays=1, run_time=40.0)


def storm(cluster: SimulatedCluster, nodes: list[str], seconds: float) -> list[int]:
    """Polls at these controllers; the statuses that come are added to what is returned."""
    statuses: list[int] = []
    for number in range(int(seconds * POLLS_A_SECOND)):
        path = f"{wire.WORK}/j-{number % SERVICES:06d}"
        node = nodes[number % len(nodes)]
        cluster.after(
            number / POLLS_A_SECOND,
            cluster.call,
            node,
            "GET",
            path,
            None,
            lambda status, _: statuses.append(status),
        )
    return statuses


def backlog(cluster: SimulatedCluster) -> int:
    """Calls that wait at the controller that is furthest behind."""
    return max(len(cluster.sim.hosts[cluster.ip(name)].queue) for name in cluster.names)


def all_replicas_run(cluster: SimulatedCluster) -> bool:
    return all(cluster.count(f"j-{number:06d}") == 2 for number in range(SERVICES))


@pytest.mark.parametrize("which", ["leader", "a follower", "all"])
def test_a_slow_processor_in_a_poll_storm(which: str) -> None:
    cluster = start_loaded_cluster(seed=5)
    leader = wait_for_leader(cluster)
    follower = next(name for name in cluster.names if name != leader)
    slow = {"leader": [leader], "a follower": [follower], "all": list(cluster.names)}[which]
    before = term(cluster)
    for name in slow:
        cluster.slow_down_processor(name, CALL_SECONDS, 20.0)
    statuses = storm(cluster, slow, 15.0)
    most = 0
    for _ in range(100):
        cluster.run(0.1)
        most = max(most, backlog(cluster))
    assert most * CALL_SECONDS > 1.0, "the storm must be more than the processor has time for"
    cluster.submit(spec("j-000020"), node=1)
    cluster.run(20.0)
    # A leader that is seconds behind may be replaced; that must not go back and forth.
    assert term(cluster) <= before + 2
    assert backlog(cluster) == 0
    assert statuses.count(200) > 0
    cluster.run(15.0)
    assert "j-000020" in cluster.accepted
    assert cluster.query_job("j-000020")[1]["running"] == 1
    assert all_replicas_run(cluster)


def test_slow_processors_when_all_controllers_restart() -> None:
    cluster = start_loaded_cluster(seed=6)
    for name in cluster.names:
        cluster.crash(name, back_after=2.0)
    cluster.run(2.1)
    for name in cluster.names:
        cluster.slow_down_processor(name, CALL_SECONDS, 15.0)
    storm(cluster, list(cluster.names), 10.0)
    before = term(cluster)
    cluster.run(40.0)
    assert term(cluster) <= before + 4
    assert backlog(cluster) == 0
    assert all_replicas_run(cluster)
    cluster.cancel("j-000001")
    cluster.run(10.0)
    assert cluster.query_job("j-000001")[1]["stage"] == wire.ABORTED


@pytest.mark.parametrize("seed", [0, 1, 2, 3])
def test_a_slow_new_leader_is_left_its_time_to_note_its_lease(seed: int) -> None:
    # The former leader, cut off from its peers, learned of its successor by the leader key, found
    # no lease of it yet (it was still reading the ledger), and took the lead back: three times
    # within a second.
    cluster = SimulatedCluster(seed=seed)
    for number in range(1, 6):
        cluster.submit(spec(f"j-{number:06d}", tasks=2))
    cluster.run(25.0)
    leader = wait_for_leader(cluster)
    others = [name for name in cluster.names if name != leader]
    before = term(cluster)
    cluster.cut(cluster.ip(leader), [cluster.ip(name) for name in others], 8.0)
    for name in others:
        cluster.slow_down_processor(name, 5 * CALL_SECONDS, 12.0)
    cluster.run(20.0)
    assert term(cluster) == before + 1
    assert cluster.leader() in others
