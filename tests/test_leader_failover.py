"""Leader election and failover. Each test says which failure it guards against.

`SimulatedCluster` checks its invariants at every start and end of a task.
"""

from __future__ import annotations

from flaxtally.cluster.leader_key import LEADER_KEY
from flaxtally.ledger.records import JobCancelled
from flaxtally.protocol import wire

from .scenarios import start_serving_cluster
from .simulated_cluster import NODES, STATE_ADDRESS, SimulatedCluster, batch, spec


def test_fresh_deployment_elects_one_leader_and_finishes_an_array() -> None:
    # A fresh deployment must elect one leader, provision machines, place tasks, and report an array
    # as done.
    cluster = start_serving_cluster()
    cluster.submit(batch("j-000100", 10), run_time=5.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") > 0, 60)
    cluster.run(30)
    assert cluster.query_job("j-000100") == (
        200,
        {"ref": "j-000100", "stage": "done", "done": 10, "running": 0},
    )
    assert cluster.query_job("j-000000")[1]["stage"] == "running"
    assert cluster.query_job("j-999999")[0] == 404
    assert sum(node.election.is_leader for node in cluster.nodes.values()) == 1


def test_leader_crash_leaves_running_tasks_in_place() -> None:
    # A new leader must restore the placements from the ledger and leave running tasks alone.
    cluster = start_serving_cluster()
    before = dict(cluster.running)
    old_leader = cluster.leader()
    assert old_leader
    cluster.crash(old_leader, restart_after_s=5.0)
    assert cluster.run_until(lambda: cluster.leader() not in (None, old_leader), 5), cluster.trace
    cluster.run(30)
    assert cluster.running == before


def test_leader_crash_between_commit_and_launch_places_tasks_again() -> None:
    # A task that was placed in the ledger but never launched must be proven not to run, and then be
    # placed again.
    cluster = start_serving_cluster()
    leader = cluster.leader()
    assert leader
    node = cluster.nodes[leader]
    node.leader.duties.commands._send_batch = lambda *_: None  # type: ignore[method-assign]  drops the commands
    cluster.submit(spec("j-000050", tasks=2), node=NODES.index(leader))
    assert cluster.run_until(lambda: "j-000050" in cluster.accepted, 5)
    cluster.run(0.5)
    assert [
        placed.attempt for placed in node.leader.state.jobs_by_ref["j-000050"].placements.values()
    ] == [
        1,
        1,
    ]
    cluster.crash(leader, restart_after_s=5.0)
    assert cluster.run_until(lambda: cluster.count("j-000050") == 2, 30), cluster.trace
    assert {
        attempt for task, (_, attempt) in cluster.running.items() if task.startswith("j-000050")
    } == {2}


def test_crash_of_all_controllers_loses_no_accepted_job() -> None:
    # An accepted job must survive a crash of all controllers, and no task may run twice after it.
    cluster = start_serving_cluster()
    cluster.submit(batch("j-000100", 8), run_time=20.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") == 8, 60)
    for name in NODES:
        cluster.crash(name, restart_after_s=5.0)
    cluster.run(6)
    assert cluster.run_until(lambda: cluster.leader() is not None, 5)
    cluster.run(40)
    assert cluster.query_job("j-000100")[1]["stage"] == "done"
    assert all(cluster.count(f"j-{number:06d}") == 2 for number in range(4))


def test_partitioned_leader_is_deposed_and_replies_503() -> None:
    # Two controllers that both believe they lead: the partitioned one can commit nothing, and must
    # not answer requests.
    cluster = start_serving_cluster()
    old_leader = cluster.leader()
    assert old_leader
    for other in [*(cluster.ip(name) for name in NODES if name != old_leader), STATE_ADDRESS[0]]:
        cluster.sim.cut(cluster.ip(old_leader), other)
    assert cluster.run_until(lambda: cluster.leader() not in (None, old_leader), 15), cluster.trace
    replies: list[int] = []
    cluster.call(
        old_leader, "GET", f"{wire.JOBS}/j-000000", None, lambda status, _: replies.append(status)
    )
    cluster.submit(spec("j-000060", tasks=2), node=(NODES.index(old_leader) + 1) % 3)
    assert cluster.run_until(lambda: cluster.count("j-000060") == 2, 30)
    cluster.run(2)
    assert replies == [503]
    for other in [*(cluster.ip(name) for name in NODES if name != old_leader), STATE_ADDRESS[0]]:
        cluster.sim.heal(cluster.ip(old_leader), other)
    cluster.run(20)
    assert sum(node.election.is_leader for node in cluster.nodes.values()) == 1
    assert all(cluster.count(f"j-{number:06d}") == 2 for number in range(4))


def test_tasks_keep_running_during_an_outage_of_the_key_value_store() -> None:
    # Tasks must keep running, and no job may be accepted or lost. Requests must get 503 at once,
    # instead of waiting.
    cluster = start_serving_cluster()
    before = dict(cluster.running)
    cluster.state.down = True
    cluster.run(3)
    replies: list[tuple[float, int]] = []
    sent_at = cluster.sim.time
    cluster.call(
        "hearth-0",
        "POST",
        wire.JOBS,
        wire.build_submission(spec("j-000061")),
        lambda status, _: replies.append((cluster.sim.time - sent_at, status)),
    )
    cluster.run(20)
    assert replies[0][1] == 503
    assert replies[0][0] < 2.0
    cluster.state.recover()
    cluster.run(15)
    assert cluster.running == before
    assert cluster.query_job("j-000000")[1]["stage"] == "running"


def test_late_transaction_of_a_deposed_leader_fails() -> None:
    # A write that the network delays until another controller has taken over must not be applied.
    cluster = start_serving_cluster()
    old_leader = cluster.leader()
    assert old_leader
    cluster.sim.cut(cluster.ip(old_leader), STATE_ADDRESS[0])
    cluster.submit(spec("j-000062", tasks=2), node=NODES.index(old_leader))
    assert cluster.run_until(lambda: cluster.leader() not in (None, old_leader), 15)
    cluster.run(5)
    cluster.sim.heal(cluster.ip(old_leader), STATE_ADDRESS[0])
    assert cluster.run_until(lambda: cluster.count("j-000062") == 2, 30), cluster.trace
    cluster.run(10)
    terms = {row.value["term"] for row in [get_row(cluster, "lead")]}
    assert terms == {cluster.nodes[cluster.leader() or ""].election.term}


def get_row(cluster: SimulatedCluster, key: str) -> wire.Row:
    value, version, _ = cluster.state.rows[key]
    return wire.Row(key, value, version)


def test_commit_of_a_deposed_leader_fails_on_the_leader_key() -> None:
    # The commit must fail even if the pages that it writes still have the expected versions.
    cluster = start_serving_cluster()
    leader = cluster.nodes[cluster.leader() or ""]
    value, _, _ = cluster.state.rows[LEADER_KEY]
    cluster.state.transact(
        wire.Transaction(
            expected_versions=[],
            changes=[
                wire.Change(put=LEADER_KEY, value=value | {"term": 9, "node": "x", "boot": "x"})
            ],
        )
    )
    pages = {key: row for key, row in cluster.state.rows.items() if key.startswith("p/")}
    leader.ledger.propose(JobCancelled(1))
    assert cluster.run_until(lambda: not leader.election.is_leader, 2)
    cluster.run(0.1)
    assert {key: row for key, row in cluster.state.rows.items() if key.startswith("p/")} == pages


def test_takeover_counts_each_placement_once() -> None:
    # After a takeover, the placements on every machine that had reported recently were counted
    # twice.
    cluster = start_serving_cluster()
    cluster.crash(cluster.leader() or "", restart_after_s=5.0)
    cluster.run(15)
    leader = cluster.nodes[cluster.leader() or ""].leader
    used = sum(machine.cores for machine in leader.term.fleet.machines.values())
    assert used == sum(usage.cores for usage in leader.state.usage_by_team.values()) == 16.0


def test_old_pages_are_deleted_and_final_states_are_kept() -> None:
    # The ledger's pages must not grow with time, and the final states of jobs must be kept
    # indefinitely, also across takeovers.
    cluster = SimulatedCluster(value_bytes=1024)
    cluster.submit(spec("j-900000", tasks=2))
    for number in range(120):
        cluster.sim.at(number * 0.5, cluster.submit, batch(f"j-{number:06d}", 1), 1.0, number)
    cluster.sim.at(40.0, cluster.cancel, "j-000119")
    cluster.run(70)
    running_before = dict(cluster.running)
    newest_page = max(int(key[2:]) for key in cluster.state.rows if key.startswith("p/"))
    page_count = sum(key.startswith("p/") for key in cluster.state.rows)
    assert page_count < newest_page / 2
    for name in NODES:
        cluster.crash(name, restart_after_s=1.0)
    cluster.run(20)
    assert {
        task: running_before[task] for task in running_before if task.startswith("j-9")
    } == cluster.running
    for number in range(0, 119, 7):
        assert cluster.query_job(f"j-{number:06d}")[1]["stage"] == "done"


def test_peer_that_restarts_during_a_partition_is_reconnected() -> None:
    # A controller restarted during a network partition. The leader's old connection to it was dead,
    # while its own connection to the leader worked: heartbeats arrived, but every command was lost.
    cluster = start_serving_cluster()
    leader = cluster.leader()
    assert leader
    other = next(name for name in NODES if name != leader)
    cluster.sim.cut(cluster.ip(leader), cluster.ip(other))
    cluster.run(2)
    cluster.crash(other, restart_after_s=3.0)
    cluster.run(6)
    cluster.sim.heal(cluster.ip(leader), cluster.ip(other))
    cluster.run(5)
    assert cluster.nodes[leader].peers.is_directly_reachable(other)
    assert cluster.nodes[other].peers.is_directly_reachable(leader)


def test_leadership_is_stable_while_all_controllers_refuse_connections() -> None:
    # A packet filter that refuses connections between controllers made them look like dead
    # processes. They took over from each other, 140 terms in 30 s, and no job was accepted. The
    # leader's frames through the store relay must show that it is alive.
    cluster = start_serving_cluster()
    terms = max(node.election.term for node in cluster.nodes.values())
    pairs = [
        (cluster.ip(one), cluster.ip(other)) for one in NODES for other in NODES if one < other
    ]
    for one, other in pairs:
        cluster.sim.refuse(one, other)
    cluster.run(20)
    assert max(node.election.term for node in cluster.nodes.values()) <= terms + 2
    cluster.submit(spec("j-000777"), node=1)
    assert cluster.run_until(lambda: "j-000777" in cluster.accepted, 8)
    for one, other in pairs:
        cluster.sim.refused_pairs.discard(frozenset((one, other)))
    cluster.run(10)
    leader = cluster.leader()
    assert leader
    assert all(cluster.nodes[leader].peers.is_directly_reachable(name) for name in NODES)
    # If both other controllers crash together, the remaining one still leads after some seconds.
    for name in NODES:
        if name != leader:
            cluster.crash(name)
    cluster.run(5)
    assert cluster.leader() == leader


def test_last_controller_takes_over_when_leader_and_another_crash_together() -> None:
    # All peers of the last controller refuse connections, as they do behind a packet filter; it
    # must not wait for long to find out that they are dead.
    cluster = start_serving_cluster()
    leader = cluster.leader() or ""
    survivor = next(name for name in NODES if name != leader)
    for name in NODES:
        if name != survivor:
            cluster.crash(name)
    assert cluster.run_until(lambda: cluster.leader() == survivor, 4), cluster.trace[-5:]
