"""Controllers whose processor is too slow for their load: messages are queued, timers fire late.

The protocol's rules must hold, the leader must not change more than a few times, and the queues
must drain.
"""

import pytest

from flaxtally.protocol import wire

from .scenarios import busy, leader_of, term
from .simulated_cluster import SimulatedCluster, spec

SERVICES = 4
CALL_S = 0.01
"""The processor time of a call: too long for a controller to keep up with its timers and polls."""
POLLS_PER_S = 150


def start_loaded_cluster(seed: int) -> SimulatedCluster:
    return busy(seed, services=SERVICES, arrays=1, run_time=40.0)


def start_poll_storm(world: SimulatedCluster, nodes: list[str], duration_s: float) -> list[int]:
    """Polls jobs at these controllers; the returned list gets the HTTP status of each reply."""
    statuses: list[int] = []
    for number in range(int(duration_s * POLLS_PER_S)):
        path = f"{wire.JOBS}/j-{number % SERVICES:06d}"
        node = nodes[number % len(nodes)]
        world.after(
            number / POLLS_PER_S,
            world.call,
            node,
            "GET",
            path,
            None,
            lambda status, _: statuses.append(status),
        )
    return statuses


def compute_longest_queue(world: SimulatedCluster) -> int:
    """Returns the number of calls queued at the controller that is furthest behind."""
    return max(len(world.sim.hosts[world.ip(name)].queue) for name in world.names)


def are_all_replicas_running(world: SimulatedCluster) -> bool:
    return all(world.count(f"j-{number:06d}") == 2 for number in range(SERVICES))


@pytest.mark.parametrize("which", ["leader", "a follower", "all"])
def test_slow_processor_recovers_from_a_poll_storm(which: str) -> None:
    # Polls make a slow controller fall seconds behind: afterwards its queue must drain, leadership
    # must not go back and forth, and new jobs must start.
    world = start_loaded_cluster(seed=5)
    leader = leader_of(world)
    follower = next(name for name in world.names if name != leader)
    slow = {"leader": [leader], "a follower": [follower], "all": list(world.names)}[which]
    before = term(world)
    for name in slow:
        world.slow_processor(name, CALL_S, 20.0)
    statuses = start_poll_storm(world, slow, 15.0)
    longest = 0
    for _ in range(100):
        world.run(0.1)
        longest = max(longest, compute_longest_queue(world))
    assert longest * CALL_S > 1.0, "the poll storm must overload the processor"
    world.submit(spec("j-000020"), node=1)
    world.run(20.0)
    # A leader that is seconds behind may be replaced, but not again and again.
    assert term(world) <= before + 2
    assert compute_longest_queue(world) == 0
    assert statuses.count(200) > 0
    world.run(15.0)
    assert "j-000020" in world.accepted
    assert world.ask("j-000020")[1]["running"] == 1
    assert are_all_replicas_running(world)


def test_slow_processors_when_all_controllers_restart() -> None:
    # After a restart of all controllers, polls and the replay of the log compete for slow
    # processors: a leader must still be found within a few terms, and cancellations must work.
    world = start_loaded_cluster(seed=6)
    for name in world.names:
        world.crash(name, back_after=2.0)
    world.run(2.1)
    for name in world.names:
        world.slow_processor(name, CALL_S, 15.0)
    start_poll_storm(world, list(world.names), 10.0)
    before = term(world)
    world.run(40.0)
    assert term(world) <= before + 4
    assert compute_longest_queue(world) == 0
    assert are_all_replicas_running(world)
    world.cancel("j-000001")
    world.run(10.0)
    assert world.ask("j-000001")[1]["stage"] == wire.ABORTED


@pytest.mark.parametrize("seed", [0, 1, 2, 3])
def test_slow_new_leader_is_not_replaced_before_it_writes_its_lease(seed: int) -> None:
    # A former leader, cut off from its peers, saw its successor in the leader key, but no lease of
    # it yet, because the successor was still reading the ledger. It took leadership back, three
    # times within a second.
    world = SimulatedCluster(seed=seed)
    for number in range(1, 6):
        world.submit(spec(f"j-{number:06d}", tasks=2))
    world.run(25.0)
    leader = leader_of(world)
    others = [name for name in world.names if name != leader]
    before = term(world)
    world.cut(world.ip(leader), [world.ip(name) for name in others], 8.0)
    for name in others:
        world.slow_processor(name, 5 * CALL_S, 12.0)
    world.run(20.0)
    assert term(world) == before + 1
    assert world.leader() in others
