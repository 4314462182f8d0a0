"""A leader that was replaced, or may have been, changes nothing that no machine can fence.

Fencing tokens stop its commands, and guarded writes its records. Nothing stops what it asks of the
cloud, nor a stop of a task whose machine has not heard of the successor yet.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from flaxtally.protocol import wire
from flaxtally.runtime.http import Client

from .scenarios import check_final_state, start_busy_cluster, term, wait_for_leader
from .simulated_cluster import NODES, spec

if TYPE_CHECKING:
    import pytest

    from .simulated_cluster import SimulatedCluster

COOL_DOWN_S = 30.0
"""Seconds for which a machine is idle before the leader terminates it."""


def start_cluster_with_idle_machines() -> tuple[SimulatedCluster, list[str]]:
    """Returns a cluster with two services, and the names of two machines without tasks."""
    cluster = start_busy_cluster(services=2, arrays=0)
    spare = [cluster.cloud.add("c16", zone, False, boot=0.5) for zone in "ab"]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in spare), 10)
    return cluster, spare


def cut_off_by_refusals(cluster: SimulatedCluster, node: str, for_s: float) -> None:
    """The state service refuses the controller alone, and so do its peers, as behind a filter."""
    cluster.refuse(node, for_s)
    cluster.refuse_peers(node, for_s)


def wait_for_successor(cluster: SimulatedCluster, former: str) -> str:
    """Returns the controller that leads instead of `former`, once its term is active."""
    assert cluster.run_until(
        lambda: (
            (new := cluster.leader()) not in (None, former)
            and cluster.nodes[new or ""].leader.term.active
        ),
        15,
    ), cluster.trace
    return wait_for_leader(cluster)


def count_changes_requested_by(cluster: SimulatedCluster, node: str) -> int:
    """Returns how often the controller asked the cloud to provision or terminate machines."""
    return sum(host == cluster.ip(node) for host, _ in cluster.cloud.change_requests)


def start_jobs_on(cluster: SimulatedCluster, machines: list[str], node: str) -> None:
    """Submits services at the controller, and waits until they run on some of the machines."""
    refs = [f"j-{400 + number:06d}" for number in range(6)]
    for ref in refs:
        cluster.submit(spec(ref, tasks=2, cores=4.0), node=NODES.index(node))
    assert cluster.run_until(lambda: all(cluster.count(ref) == 2 for ref in refs), 40), (
        cluster.trace
    )
    assert set(machines) & {machine for machine, _ in cluster.running.values()}


def test_leader_refused_by_the_store_and_its_peers_terminates_no_machine_of_its_successor() -> None:
    # A leader that lost the state service took peers that refuse connections for dead. With all of
    # them behind a packet filter it believed that nobody could have replaced it, and terminated
    # machines that it saw idle while its successor ran replicas there (review/2).
    cluster, spare = start_cluster_with_idle_machines()
    cluster.run(4)
    former = wait_for_leader(cluster)
    cut_off_by_refusals(cluster, former, 70.0)
    successor = wait_for_successor(cluster, former)
    start_jobs_on(cluster, spare, successor)
    running = dict(cluster.running)
    requested = count_changes_requested_by(cluster, former)
    cluster.run(2 * COOL_DOWN_S - 5.0)
    assert cluster.nodes[former].election.is_leader, "it can't have learnt of its successor"
    assert count_changes_requested_by(cluster, former) == requested
    assert cluster.running == running, cluster.trace[-20:]
    cluster.run(15)
    check_final_state(cluster, 40)


def test_leader_whose_peers_are_connected_goes_on_in_an_outage() -> None:
    # Peers that exchange frames with the leader can't replace it unheard. It goes on managing the
    # machines while the state service is down: an idle one is terminated.
    cluster, spare = start_cluster_with_idle_machines()
    cluster.run(4)
    before = term(cluster)
    cluster.start_state_outage(2 * COOL_DOWN_S)
    cluster.run(2 * COOL_DOWN_S)
    assert not set(spare) & set(cluster.workers), cluster.cloud.change_requests
    assert term(cluster) == before


def send_heartbeat_with_token(
    cluster: SimulatedCluster, machine: str, node: str, token: int
) -> None:
    """Sends the controller a heartbeat of the machine that carries this fencing token."""
    worker = cluster.workers[machine]
    heartbeat = msgspec.structs.replace(worker.report(), fencing_token=token)
    Client(cluster.user, (cluster.ip(node), 8080)).request(
        "POST", wire.HEARTBEAT, heartbeat, 4.0, lambda _: None
    )


def test_leader_changes_no_machine_after_one_reported_the_token_of_a_later_term(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Only a later leader can have given a machine a higher token. A former leader logged this proof
    # twice a second and went on terminating machines, since nothing else told it (review/2).
    cluster, spare = start_cluster_with_idle_machines()
    cluster.run(4)
    leader, before = wait_for_leader(cluster), term(cluster)
    cluster.start_state_outage(2 * COOL_DOWN_S)
    cluster.run(1)
    requested = count_changes_requested_by(cluster, leader)
    caplog.set_level(logging.INFO)
    for _ in range(3):
        send_heartbeat_with_token(cluster, spare[0], leader, before + 1)
        cluster.run(1)
    cluster.run(2 * COOL_DOWN_S - 6.0)
    assert count_changes_requested_by(cluster, leader) == requested
    assert caplog.text.count("event=higher_token") == 1
    # The store shows that the token was none of a later leader: the leader goes on.
    cluster.run(10)
    assert "event=leadership_confirmed" in caplog.text
    assert cluster.run_until(lambda: not set(spare) <= set(cluster.workers), COOL_DOWN_S)
    assert (cluster.leader(), term(cluster)) == (leader, before)


def test_leader_is_suspended_once_by_a_worker_that_reports_a_token_nobody_sent(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A faulty worker must not keep the leader from working: its token is refuted once.
    cluster, spare = start_cluster_with_idle_machines()
    leader, before = wait_for_leader(cluster), term(cluster)
    caplog.set_level(logging.INFO)
    for _ in range(5):
        send_heartbeat_with_token(cluster, spare[0], leader, before + 1000)
        cluster.run(1)
    assert caplog.text.count("event=higher_token") == 1
    assert caplog.text.count("event=leadership_confirmed") == 1
    cluster.submit(spec("j-000500", tasks=2), node=NODES.index(leader))
    assert cluster.run_until(lambda: cluster.count("j-000500") == 2, 15), cluster.trace[-20:]
    assert term(cluster) == before


def test_leader_may_not_act_from_the_moment_of_its_step_down_on() -> None:
    # The term ends one turn of the event loop after the step-down. Timers that became due in that
    # turn still rented and released machines for a controller that knew it was replaced.
    cluster, _ = start_cluster_with_idle_machines()
    leader = cluster.nodes[wait_for_leader(cluster)]
    assert leader.leader.term.may_act
    leader.election.step_down()
    assert leader.leader.term.active
    assert not leader.leader.term.may_act
