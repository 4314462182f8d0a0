"""A leader that was replaced, or may have been, changes nothing that no machine can fence.

Fencing tokens stop its commands, and guarded writes its records. Nothing stops what it asks of the
cloud, nor a stop of a task whose machine has not heard of the successor yet.
"""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.clients.call_queue import MAX_CONNECTIONS
from flaxtally.leader.autoscaling import replica_moves
from flaxtally.leader.reclaim.open_reclaims import OpenReclaim
from flaxtally.ledger.reclaims import BorrowedAttempt, Reclaim
from flaxtally.planning.fleet import Pool
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.provisioning import ProvisionDecision
from flaxtally.protocol import wire
from flaxtally.runtime.http import Client

from .scenarios import (
    check_final_state,
    cut_off_by_refusals,
    start_busy_cluster,
    term,
    wait_for_leader,
)
from .simulated_cluster import CLOUD_ADDRESS, NODES, batch, gang, spec

if TYPE_CHECKING:
    from collections.abc import Callable

    from flaxtally.ledger.placement import Placement

    from .simulated_cluster import SimulatedCluster


COOL_DOWN_S = 30.0
"""Seconds for which a machine is idle before the leader terminates it."""


def start_cluster_with_idle_machines() -> tuple[SimulatedCluster, list[str]]:
    """Returns a cluster with two services, and the names of two machines without tasks."""
    cluster = start_busy_cluster(services=2, arrays=0)
    spare = [cluster.cloud.add("c16", zone, False, boot=0.5) for zone in "ab"]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in spare), 10)
    return cluster, spare


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


def test_leader_alone_in_an_outage_keeps_its_workers_and_goes_on_afterwards() -> None:
    # The other side: the peers are dead and the state service is down for all. The leader can't
    # tell this from a filter, so it changes no machine; but it must keep its workers' leases, and
    # serve again as soon as the state service does. After three leases it sent its workers away,
    # and all tasks ended, although there was nobody else to go to.
    cluster, spare = start_cluster_with_idle_machines()
    cluster.run(4)
    leader, before = wait_for_leader(cluster), term(cluster)
    for name in NODES:
        if name != leader:
            cluster.crash(name)
    cluster.run(6)
    running = dict(cluster.running)
    cluster.start_state_outage(2 * COOL_DOWN_S)
    cluster.run(2 * COOL_DOWN_S)
    assert cluster.running == running, cluster.trace[-20:]
    assert set(spare) <= set(cluster.workers)
    cluster.submit(spec("j-000500", tasks=2), node=NODES.index(leader))
    assert cluster.run_until(lambda: cluster.count("j-000500") == 2, 15), cluster.trace[-20:]
    assert (cluster.leader(), term(cluster)) == (leader, before)
    # What waited for the state service is done now: idle machines go back.
    assert cluster.run_until(lambda: not set(spare) <= set(cluster.workers), COOL_DOWN_S), (
        cluster.cloud.change_requests
    )


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


def request_machines(cluster: SimulatedCluster, node: str, count: int) -> None:
    """Has the controller's autoscaler request machines in so many calls to the cloud."""
    scale_out = cluster.nodes[node].leader.duties.autoscaler._scale_out
    for _ in range(count):
        scale_out.provision(
            Pool("c16", "a", spot=False),
            1,
            ProvisionDecision(Pool("c16", "a", spot=False), "gate", 1.0, 0.0, 1.0),
        )


def release_machine(cluster: SimulatedCluster, node: str, machine: str) -> None:
    """Has the controller terminate a machine, as its duties do."""
    duties = cluster.nodes[node].leader.duties
    duties.reconciler.scale_in.terminate(duties.term.fleet.machines[machine], "test")
    duties.reconciler.scale_in.send_terminations()


@pytest.mark.parametrize("act", ["release", "rent"])
def test_leader_changes_no_machine_before_it_notices_that_the_store_refuses_it(act: str) -> None:
    # A leader counts the store as reachable for two seconds after its last reply. A successor leads
    # within a tenth of one, so what the former leader decided in between met the successor's work.
    cluster, spare = start_cluster_with_idle_machines()
    cluster.run(4)
    former = wait_for_leader(cluster)
    cut_off_by_refusals(cluster, former, 30.0)
    successor = wait_for_successor(cluster, former)
    requested = count_changes_requested_by(cluster, former)
    assert cluster.nodes[former].election.is_store_reachable
    if act == "release":
        release_machine(cluster, former, spare[0])
    else:
        request_machines(cluster, former, 2)
    start_jobs_on(cluster, spare, successor)
    assert count_changes_requested_by(cluster, former) == requested


def test_calls_to_the_cloud_that_wait_for_their_turn_are_not_sent_for_a_replaced_leader() -> None:
    # Calls wait for the cloud's rate limit. Those that were queued by the rightful leader were sent
    # although another one led when their turn came.
    cluster, _ = start_cluster_with_idle_machines()
    cluster.run(4)
    former = wait_for_leader(cluster)
    request_machines(cluster, former, 12)
    cut_off_by_refusals(cluster, former, 30.0)
    wait_for_successor(cluster, former)
    cluster.run(0.1)
    requested = count_changes_requested_by(cluster, former)
    cluster.run(15)
    assert cluster.nodes[former].election.is_leader
    assert count_changes_requested_by(cluster, former) == requested


def test_calls_to_the_cloud_that_wait_for_a_connection_are_not_sent_for_a_replaced_leader() -> None:
    # The cloud answers slowly: calls beyond three waited in the HTTP client, where neither a change
    # of leader nor a pause of the process held them.
    cluster, _ = start_cluster_with_idle_machines()
    cluster.run(4)
    former = wait_for_leader(cluster)
    cluster.sim.extra_delay_s[frozenset((cluster.ip(former), CLOUD_ADDRESS[0]))] = 1.2
    request_machines(cluster, former, 8)
    cluster.run(0.3)
    in_transit = MAX_CONNECTIONS
    requested = count_changes_requested_by(cluster, former)
    cut_off_by_refusals(cluster, former, 30.0)
    wait_for_successor(cluster, former)
    cluster.run(15)
    assert cluster.nodes[former].election.is_leader
    assert count_changes_requested_by(cluster, former) <= requested + in_transit


def test_call_to_the_cloud_that_is_not_connected_yet_is_not_sent_after_a_pause() -> None:
    # A connection that was being established when the process was paused is established when it
    # continues. The call was then sent, although another controller may lead by now.
    cluster, _ = start_cluster_with_idle_machines()
    cluster.run(4)
    leader = wait_for_leader(cluster)
    client = cluster.nodes[leader].leader._context.cloud._queue._client
    client.close()
    requested = count_changes_requested_by(cluster, leader)
    request_machines(cluster, leader, 1)
    assert cluster.run_until(lambda: client.is_busy, 1)
    cluster.refuse(leader, 20.0)
    cluster.nodes[leader].leader.on_pause(8.0)
    cluster.run(10)
    assert count_changes_requested_by(cluster, leader) == requested


def preempt(cluster: SimulatedCluster, node: str, task: str) -> None:
    """Has the controller preempt a running task."""
    duties = cluster.nodes[node].leader.duties
    duties.scheduler.preemption._stop([find_placement(cluster, node, task)])


def move(cluster: SimulatedCluster, node: str, task: str) -> None:
    """Has the controller move a replica off its machine, to any other machine."""
    duties = cluster.nodes[node].leader.duties
    machine = duties.term.fleet.machines[cluster.find_machine(task)]
    target = next(each for each in duties.term.fleet.machines.values() if each is not machine)
    index = MachineIndex.of([target], duties.term.machine_types, random.Random(1))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(replica_moves, "find_target", lambda *_: target)
        duties.consolidation._moves._move_next_replica(machine, index, cluster.sim.time)


def heed_preemption_notice(cluster: SimulatedCluster, node: str, task: str) -> None:
    """Has the controller handle the cloud's notice for the task's machine."""
    duties = cluster.nodes[node].leader.duties
    notices = duties.heartbeat_handler._preemption_notices
    notices.handle_notice(duties.term.fleet.machines[cluster.find_machine(task)], 2.0)


def mark_machine_slow(cluster: SimulatedCluster, node: str, task: str) -> None:
    """Has the controller move batch tasks off a machine that runs them slowly."""
    duties = cluster.nodes[node].leader.duties
    machine = duties.term.fleet.machines[cluster.find_machine(task)]
    duties.stragglers._mark_slow(machine, 1, 3.0)


def stop_gang(cluster: SimulatedCluster, node: str, task: str) -> None:
    """Has the controller stop the gang that the task belongs to."""
    job = find_placement(cluster, node, task).job
    cluster.nodes[node].leader.duties.gang_scheduler.stop_gang(job, "test")


def stop_victim_of_reclaim(cluster: SimulatedCluster, node: str, task: str) -> None:
    """Has the controller take back the capacity that the task uses, by an open reclaim."""
    placement = find_placement(cluster, node, task)
    victim = BorrowedAttempt(placement.job.number, placement.task, placement.attempt)
    now = cluster.sim.hosts[cluster.ip(node)].wall()
    reclaim = Reclaim(
        1, "crew", placement.job.number, placement.machine, now, now + 10.0, 1, (victim,)
    )
    duties = cluster.nodes[node].leader.duties
    entry = OpenReclaim(reclaim, is_committed=True)
    duties.quota_reclaim.open_reclaims.add(entry)
    duties.quota_reclaim._stop_victims(entry, is_forced=False)


def find_placement(cluster: SimulatedCluster, node: str, task: str) -> Placement:
    ref, _, number = task.partition("/")
    job = cluster.nodes[node].leader.state.jobs_by_ref[ref]
    return job.placements[int(number)]


@pytest.mark.parametrize(
    ("act", "task"),
    [
        (preempt, "j-000200/0"),
        (move, "j-000000/0"),
        (heed_preemption_notice, "j-000200/0"),
        (mark_machine_slow, "j-000200/0"),
        (stop_gang, "j-000300/0"),
        (stop_victim_of_reclaim, "j-000200/0"),
        (stop_victim_of_reclaim, "j-000300/0"),
    ],
)
def test_leader_stops_no_task_that_its_successor_took_over(
    act: Callable[[SimulatedCluster, str, str], None], task: str
) -> None:
    # A machine that has not heard of the successor obeys the former leader. Here only that one
    # reaches it: a replica that the successor counts on would end.
    cluster, _ = start_cluster_with_idle_machines()
    cluster.submit(batch("j-000200", 1, checkpoint_interval_s=2.0), run_time=100.0)
    cluster.submit(gang("j-000300", 2), run_time=100.0)
    assert cluster.run_until(lambda: {"j-000200/0", "j-000300/0"} <= set(cluster.running), 40)
    cluster.run(4)
    former = wait_for_leader(cluster)
    others = [cluster.ip(name) for name in NODES if name != former]
    for worker in cluster.workers.values():
        cluster.cut(worker._address[0], others, 30.0)
    cut_off_by_refusals(cluster, former, 30.0)
    wait_for_successor(cluster, former)
    cluster.run(1.2)
    # It sends commands directly by now, and still counts the store as reachable.
    assert cluster.nodes[former].leader.term.may_act
    running = dict(cluster.running)
    act(cluster, former, task)
    stopping = [
        placed
        for job in cluster.nodes[former].leader.state.jobs.values()
        for placed in job.placements.values()
        if placed.stopping_at is not None
    ]
    assert stopping, "the former leader decided to stop a task"
    cluster.run(4)
    assert cluster.nodes[former].election.is_leader
    assert cluster.running == running, cluster.trace[-5:]
    assert all(placed.stopping_at is None for placed in stopping)


def test_confirmed_stops_reach_their_machine() -> None:
    # The other side: what the rightful leader decides is done at once, also in an outage in which
    # it is in contact with all peers.
    cluster = start_busy_cluster(services=2, arrays=1, run_time=100.0)
    leader = wait_for_leader(cluster)
    preempt(cluster, leader, "j-000100/0")
    assert cluster.run_until(lambda: "j-000100/0" not in cluster.running, 0.1)
    assert cluster.run_until(lambda: "j-000100/0" in cluster.running, 15)
    cluster.start_state_outage(20.0)
    cluster.run(3)
    preempt(cluster, leader, "j-000100/1")
    assert cluster.run_until(lambda: "j-000100/1" not in cluster.running, 0.1)


def test_leader_may_not_act_from_the_moment_of_its_step_down_on() -> None:
    # The term ends one turn of the event loop after the step-down. Timers that became due in that
    # turn still rented and released machines for a controller that knew it was replaced.
    cluster, _ = start_cluster_with_idle_machines()
    leader = cluster.nodes[wait_for_leader(cluster)]
    assert leader.leader.term.may_act
    leader.election.step_down()
    assert leader.leader.term.active
    assert not leader.leader.term.may_act


def test_controller_that_steps_down_goes_on_replying_to_its_workers() -> None:
    # Until it had read who leads, a former leader counted as out of touch with any leader for ever,
    # and replied 503. A worker whose other controllers were beyond a cut lost its lease over that.
    cluster, spare = start_cluster_with_idle_machines()
    former = wait_for_leader(cluster)
    worker = cluster.workers[spare[0]]
    cluster.refuse(former, 5.0)
    cluster.nodes[former].election.step_down()
    statuses: list[int] = []
    Client(cluster.user, (cluster.ip(former), 8080)).request(
        "POST", wire.HEARTBEAT, worker.report(), 4.0, lambda reply: statuses.append(reply.status)
    )
    assert cluster.run_until(lambda: bool(statuses), 1)
    assert statuses == [200]
