"""Controllers whose processor is too slow for what is asked of them: messages wait their turn and
timers fire late. The rules hold, leadership stays where it is or moves once, and the queue drains.
"""

import pytest

from flaxtally.protocol import wire

from .scenarios import busy, leader_of, term
from .simulated_cluster import SimulatedCluster, spec

SERVICES = 4
CALL_SECONDS = 0.01
"""With its own timers and a storm's polls a controller has more to do than there is time for."""
POLLS_A_SECOND = 150


def busy_world(seed: int) -> SimulatedCluster:
    return busy(seed, services=SERVICES, arrays=1, run_time=40.0)


def storm(world: SimulatedCluster, nodes: list[str], seconds: float) -> list[int]:
    """Polls at these controllers; the statuses that come are added to what is returned."""
    statuses: list[int] = []
    for number in range(int(seconds * POLLS_A_SECOND)):
        path = f"{wire.JOBS}/j-{number % SERVICES:06d}"
        node = nodes[number % len(nodes)]
        world.after(
            number / POLLS_A_SECOND,
            world.call,
            node,
            "GET",
            path,
            None,
            lambda status, _: statuses.append(status),
        )
    return statuses


def backlog(world: SimulatedCluster) -> int:
    """Calls that wait at the controller that is furthest behind."""
    return max(len(world.sim.hosts[world.ip(name)].queue) for name in world.names)


def all_replicas_run(world: SimulatedCluster) -> bool:
    return all(world.count(f"j-{number:06d}") == 2 for number in range(SERVICES))


@pytest.mark.parametrize("which", ["leader", "a follower", "all"])
def test_a_slow_processor_in_a_poll_storm(which: str) -> None:
    world = busy_world(seed=5)
    leader = leader_of(world)
    follower = next(name for name in world.names if name != leader)
    slow = {"leader": [leader], "a follower": [follower], "all": list(world.names)}[which]
    before = term(world)
    for name in slow:
        world.slow_processor(name, CALL_SECONDS, 20.0)
    statuses = storm(world, slow, 15.0)
    most = 0
    for _ in range(100):
        world.run(0.1)
        most = max(most, backlog(world))
    assert most * CALL_SECONDS > 1.0, "the storm must be more than the processor has time for"
    world.submit(spec("j-000020"), node=1)
    world.run(20.0)
    # A leader that is seconds behind may be replaced; that must not go back and forth.
    assert term(world) <= before + 2
    assert backlog(world) == 0
    assert statuses.count(200) > 0
    world.run(15.0)
    assert "j-000020" in world.accepted
    assert world.ask("j-000020")[1]["running"] == 1
    assert all_replicas_run(world)


def test_slow_processors_when_all_controllers_restart() -> None:
    world = busy_world(seed=6)
    for name in world.names:
        world.crash(name, back_after=2.0)
    world.run(2.1)
    for name in world.names:
        world.slow_processor(name, CALL_SECONDS, 15.0)
    storm(world, list(world.names), 10.0)
    before = term(world)
    world.run(40.0)
    assert term(world) <= before + 4
    assert backlog(world) == 0
    assert all_replicas_run(world)
    world.cancel("j-000001")
    world.run(10.0)
    assert world.ask("j-000001")[1]["stage"] == wire.ABORTED


@pytest.mark.parametrize("seed", [0, 1, 2, 3])
def test_a_slow_new_leader_is_left_its_time_to_note_its_lease(seed: int) -> None:
    # The former leader, cut off from its peers, learned of its successor by the leader key, found
    # no lease of it yet (it was still reading the ledger), and took the lead back: three times
    # within a second.
    world = SimulatedCluster(seed=seed)
    for number in range(1, 6):
        world.submit(spec(f"j-{number:06d}", tasks=2))
    world.run(25.0)
    leader = leader_of(world)
    others = [name for name in world.names if name != leader]
    before = term(world)
    world.cut(world.ip(leader), [world.ip(name) for name in others], 8.0)
    for name in others:
        world.slow_processor(name, 5 * CALL_SECONDS, 12.0)
    world.run(20.0)
    assert term(world) == before + 1
    assert world.leader() in others
