"""A leader takes a further term and leads on, so that machines refuse copies of its commands."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import pytest

from flaxtally.cluster.leader_key import LEADER_KEY
from flaxtally.leader.launch_fence import LaunchFence, RaiseReason
from flaxtally.protocol import wire

from .scenarios import (
    check_final_state,
    choose_soak_seeds,
    start_busy_cluster,
    submit_steady_load,
    wait_for_leader,
)
from .simulated_cluster import SimulatedCluster, batch, spec
from .test_leader_authority import ActAudit, inject_random_fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from flaxtally.leader.leader import Leader

REF = "j-000900"
SEEDS = (0, 1, 2, 3)
SOAK_SEEDS = choose_soak_seeds(SEEDS)


def start_cluster_with_exits() -> tuple[SimulatedCluster, Leader]:
    """Returns a cluster with exits for which the token is to be raised, and its leader."""
    cluster = start_busy_cluster()
    cluster.submit(batch(REF, 3), run_time=1.0)
    assert cluster.run_until(lambda: len(cluster.rules.jobs[REF].done) == 3, 30), cluster.trace
    return cluster, cluster.nodes[wait_for_leader(cluster)].leader


def call_at_raise(monkeypatch: pytest.MonkeyPatch, callback: Callable[[], None]) -> None:
    """Has the callback called when a leader is about to raise its token for the first time."""
    find_reason = LaunchFence._find_reason
    called: list[RaiseReason] = []

    def find_reason_and_call(fence: LaunchFence) -> RaiseReason | None:
        reason = find_reason(fence)
        if reason is not None and not called:
            called.append(reason)
            callback()
        return reason

    monkeypatch.setattr(LaunchFence, "_find_reason", find_reason_and_call)


def wait_for_raise(cluster: SimulatedCluster, leader: Leader) -> None:
    """Waits until the leader leads on under a higher token."""
    assert cluster.run_until(lambda: leader.term.number > leader.term.first_number > 0, 60)


def test_leader_leads_on_under_the_higher_token() -> None:
    # Nothing else may change: no takeover, no replay, no pause in what is served.
    cluster, leader = start_cluster_with_exits()
    term, first = leader.term, leader.term.first_number
    wait_for_raise(cluster, leader)
    assert leader.term is term
    assert term.number == first + 1
    assert cluster.state.rows[LEADER_KEY][0]["term"] == first + 1
    cluster.submit(spec("j-000901"))
    assert cluster.run_until(lambda: cluster.count("j-000901") == 1, 1.0), cluster.trace
    cluster.run(5.0)
    assert {node.election.term for node in cluster.nodes.values()} == {first + 1}
    assert {worker.fencing_token for worker in cluster.workers.values()} == {first + 1}
    check_final_state(cluster)


def test_token_is_not_raised_if_no_exit_waits() -> None:
    # Each raise costs writes, and a report of each machine.
    cluster = start_busy_cluster(arrays=0)
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    cluster.run(120.0)
    assert leader.term.number == leader.term.first_number


@pytest.mark.parametrize("at_once", [False, True])
def test_leader_leads_on_if_the_answer_to_the_raise_is_lost(
    at_once: bool, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Whether or not the leader key was written, the leader may not take itself for deposed, and
    # users are answered meanwhile.
    caplog.set_level(logging.INFO)
    cluster, leader = start_cluster_with_exits()
    name = wait_for_leader(cluster)
    answers: list[int] = []

    def disturb() -> None:
        cluster.lose_writes(1.0, 0.6, at_once=at_once)
        path = f"{wire.JOBS}/j-000000"
        for number in range(3):
            cluster.after(
                0.2 + number / 10,
                cluster.call,
                name,
                "GET",
                path,
                None,
                lambda status, _: answers.append(status),
            )

    call_at_raise(monkeypatch, disturb)
    wait_for_raise(cluster, leader)
    cluster.run(2.5)
    assert cluster.leader() == name
    assert answers == [200] * 3
    assert "leader_stepped_down" not in caplog.text
    assert "higher_token" not in caplog.text
    cluster.submit(spec("j-000901"))
    assert cluster.run_until(lambda: cluster.count("j-000901") == 1, 2.0), cluster.trace
    check_final_state(cluster)


@pytest.mark.parametrize("delay_s", [0.0, 0.003, 0.006, 0.02])
def test_leader_that_crashes_while_it_raises_the_token_is_succeeded(
    delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The key may or may not be written when the leader ends; it is back within a second.
    cluster, leader = start_cluster_with_exits()
    first = leader.term.first_number
    name = wait_for_leader(cluster)
    call_at_raise(monkeypatch, lambda: cluster.after(delay_s, cluster.crash, name, 0.5))
    cluster.run(40.0)
    assert cluster.nodes[wait_for_leader(cluster)].leader.term.first_number > first
    cluster.submit(spec("j-000901"))
    assert cluster.run_until(lambda: cluster.count("j-000901") == 1, 5.0), cluster.trace
    check_final_state(cluster)


def test_commands_that_machines_refuse_by_the_new_token_are_sent_again(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Machines may hear of the term from followers before the leader knows that it has taken it.
    # That is no sign of another leader, and no failure of the machine.
    caplog.set_level(logging.INFO)
    cluster, leader = start_cluster_with_exits()
    first = leader.term.first_number
    task = "j-000000/0"
    machine = leader.term.fleet.machines[cluster.find_machine(task)]
    worker = cluster.workers[machine.name]
    launched: list[int] = []
    worker.on_batch_executed = lambda commands: launched.extend(
        commands.fencing_token
        for each in commands.commands
        if (each.verb, each.task) == (wire.LAUNCH, task)
    )

    def launch_again() -> None:
        assert leader.term.number == first
        worker.fencing_token = first + 1
        placement = leader.state.jobs_by_ref["j-000000"].placements[0]
        leader.duties.commands.launch_task(placement)

    def disturb() -> None:
        cluster.lose_writes(1.0, 0.2, at_once=True)
        cluster.after(0.02, launch_again)

    call_at_raise(monkeypatch, disturb)
    wait_for_raise(cluster, leader)
    cluster.run(0.3)
    assert launched == [first + 1]
    assert machine.failed_commands == 0
    assert "higher_token" not in caplog.text
    check_final_state(cluster)


def test_outage_just_after_the_raise_ends_no_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    # Followers have read the new term, and the leader, whose answer was lost, can't read it before
    # the outage ends: they may not take it for silent, or the workers' leases expire.
    cluster, leader = start_cluster_with_exits()
    name = wait_for_leader(cluster)

    def disturb() -> None:
        cluster.lose_writes(1.0, 2.0, at_once=True)
        cluster.after(0.02, cluster.refuse, name, 1.3)
        cluster.after(1.2, cluster.start_state_outage, 60.0)

    call_at_raise(monkeypatch, disturb)
    first = leader.term.first_number
    assert cluster.run_until(lambda: cluster.state.is_down, 60)
    assert leader.term.number == first
    cluster.run(59.0)
    assert {worker.incarnation for worker in cluster.workers.values()} == {1}
    check_final_state(cluster)


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_raises_every_half_second_under_random_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each fault meets a raise that is about to begin, under way, or just over; answers are lost.
    monkeypatch.setattr(LaunchFence, "_find_reason", lambda _: RaiseReason.EXITS_WAIT)
    cluster = start_busy_cluster(seed, services=3, arrays=1, run_time=15.0)
    audit = ActAudit(cluster, monkeypatch)
    submit_steady_load(cluster, 60.0, interval_s=1.0)
    cluster.copy_command_batches(0.3, 70.0)
    for _ in range(15):
        if cluster.rng.random() < 0.3:
            cluster.lose_writes(0.5, 3.0, at_once=cluster.rng.random() < 0.7)
        else:
            inject_random_fault(cluster)
        cluster.run(cluster.rng.uniform(0.5, 6.0))
    check_final_state(cluster)
    assert not audit.unentitled, audit.unentitled
