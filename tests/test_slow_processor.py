"""Controllers whose processor is too slow for their load: messages are queued, timers fire late.

The protocol's rules must hold, the leader must not change more than a few times, and the queues
must drain.
"""

import pytest

from flaxtally.protocol import wire

from .scenarios import start_busy_cluster, term, wait_for_leader
from .simulated_cluster import SimulatedCluster, spec

SERVICE_COUNT = 4
CALL_S = 0.01
"""The processor time of a call: too long for a controller to keep up with its timers and polls."""
POLLS_PER_S = 150


def start_loaded_cluster(seed: int) -> SimulatedCluster:
    return start_busy_cluster(seed, services=SERVICE_COUNT, arrays=1, run_time=40.0)


def start_poll_storm(cluster: SimulatedCluster, nodes: list[str], duration_s: float) -> list[int]:
    """Polls jobs at these controllers; the returned list gets the HTTP status of each reply."""
    statuses: list[int] = []
    for number in range(int(duration_s * POLLS_PER_S)):
        path = f"{wire.JOBS}/j-{number % SERVICE_COUNT:06d}"
        node = nodes[number % len(nodes)]
        cluster.after(
            number / POLLS_PER_S,
            cluster.call,
            node,
            "GET",
            path,
            None,
            lambda status, _: statuses.append(status),
        )
    return statuses


def compute_longest_queue(cluster: SimulatedCluster) -> int:
    """Returns the number of calls queued at the controller that is furthest behind."""
    return max(len(cluster.sim.hosts[cluster.ip(name)].queue) for name in cluster.names)


def are_all_replicas_running(cluster: SimulatedCluster) -> bool:
    return all(cluster.count(f"j-{number:06d}") == 2 for number in range(SERVICE_COUNT))


@pytest.mark.parametrize("which", ["leader", "a follower", "all"])
def test_slow_processor_recovers_from_a_poll_storm(which: str) -> None:
    # Polls make a slow controller fall seconds behind: afterwards its queue must drain, leadership
    # must not go back and forth, and new jobs must start.
    cluster = start_loaded_cluster(seed=5)
    leader = wait_for_leader(cluster)
    follower = next(name for name in cluster.names if name != leader)
    slow = {"leader": [leader], "a follower": [follower], "all": list(cluster.names)}[which]
    before = term(cluster)
    for name in slow:
        cluster.slow_down_processor(name, CALL_S, 20.0)
    statuses = start_poll_storm(cluster, slow, 15.0)
    longest = 0
    for _ in range(100):
        cluster.run(0.1)
        longest = max(longest, compute_longest_queue(cluster))
    assert longest * CALL_S > 1.0, "the poll storm must overload the processor"
    cluster.submit(spec("j-000020"), node=1)
    cluster.run(20.0)
    # A leader that is seconds behind may be replaced, but not again and again.
    assert term(cluster) <= before + 2
    assert compute_longest_queue(cluster) == 0
    assert statuses.count(200) > 0
    cluster.run(15.0)
    assert "j-000020" in cluster.accepted
    assert cluster.query_job("j-000020")[1]["running"] == 1
    assert are_all_replicas_running(cluster)


def test_slow_controllers_serve_again_within_a_few_terms_after_all_restart() -> None:
    # After a restart of all controllers, polls and the replay of the log compete for slow
    # processors: a leader must still be found within a few terms, and cancellations must work.
    cluster = start_loaded_cluster(seed=6)
    for name in cluster.names:
        cluster.crash(name, restart_after_s=2.0)
    cluster.run(2.1)
    for name in cluster.names:
        cluster.slow_down_processor(name, CALL_S, 15.0)
    start_poll_storm(cluster, list(cluster.names), 10.0)
    before = term(cluster)
    cluster.run(40.0)
    assert term(cluster) <= before + 4
    assert compute_longest_queue(cluster) == 0
    assert are_all_replicas_running(cluster)
    cluster.cancel("j-000001")
    cluster.run(10.0)
    assert cluster.query_job("j-000001")[1]["stage"] == wire.ABORTED


@pytest.mark.parametrize("seed", [0, 1, 2, 3])
def test_slow_new_leader_is_not_replaced_before_it_writes_its_lease(seed: int) -> None:
    # A former leader, cut off from its peers, saw its successor in the leader key, but no lease of
    # it yet, because the successor was still reading the ledger. It took leadership back, three
    # times within a second.
    cluster = SimulatedCluster(seed=seed)
    for number in range(1, 6):
        cluster.submit(spec(f"j-{number:06d}", tasks=2))
    cluster.run(25.0)
    leader = wait_for_leader(cluster)
    others = [name for name in cluster.names if name != leader]
    before = term(cluster)
    cluster.cut(cluster.ip(leader), [cluster.ip(name) for name in others], 8.0)
    for name in others:
        cluster.slow_down_processor(name, 5 * CALL_S, 12.0)
    cluster.run(20.0)
    assert term(cluster) == before + 1
    assert cluster.leader() in others
