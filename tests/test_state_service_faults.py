"""Faults of the state service: refused, slow, lost and delayed calls, and combinations of these."""

from __future__ import annotations

import logging

import pytest

from flaxtally.protocol import wire

from .scenarios import (
    change_leader,
    check_final_state,
    start_busy_cluster,
    submit_steady_load,
    term,
    wait_for_leader,
)
from .simulated_cluster import NODES, SimulatedCluster, batch, spec


def test_cancellations_hold_when_an_outage_follows_a_refused_leader() -> None:
    # The state service refuses the leader, the next leader confirms cancellations, then no
    # controller reaches the state service for longer than `cancel_s`, while workers still report to
    # the old leader. A confirmed cancellation must hold nevertheless.
    for seed in range(3):
        cluster = start_busy_cluster(seed, services=10, arrays=4, run_time=200.0)
        old = wait_for_leader(cluster)
        cluster.refuse(old, 14.0)
        cluster.after(4.0, cluster.start_state_outage, 40.0)
        refs = [f"j-{number:06d}" for number in [*range(10), *range(100, 104)]]
        for number, ref in enumerate(refs):
            # Sent to the refused leader, to the next one, and during the outage.
            cluster.after(number * 0.6, cluster.cancel, ref, number)
        cluster.run(3.9)
        new = wait_for_leader(cluster)
        cluster.run(20)
        assert new != old
        assert cluster.state.down
        assert cluster.reported_cancelled_at
        assert all(cluster.count(ref) == 0 for ref in cluster.reported_cancelled_at)
        cluster.run(60)
        assert len(cluster.reported_cancelled_at) + len(cluster.unanswered_cancellations) == len(
            refs
        )
        assert len(cluster.unanswered_cancellations) == 0, (
            cluster.unanswered_cancellations,
            cluster.trace,
        )
        check_final_state(cluster, 20)


def test_cancellations_hold_when_an_outage_begins_a_second_after_the_leader_is_refused() -> None:
    # Jobs are cancelled as the state service refuses the leader; a second later it fails for all.
    # No task of a job whose cancellation was confirmed may run, and every user gets a reply.
    for seed in range(3):
        cluster = start_busy_cluster(seed, services=8, arrays=2, run_time=200.0)
        cluster.refuse(wait_for_leader(cluster), 14.0)
        for number in range(8):
            cluster.after(number * 0.02, cluster.cancel, f"j-{number:06d}", number)
        cluster.after(1.0, cluster.start_state_outage, 40.0)
        cluster.run(30)
        assert all(cluster.count(ref) == 0 for ref in cluster.reported_cancelled_at)
        cluster.run(40)
        assert not cluster.unanswered_cancellations
        assert len(cluster.reported_cancelled_at) == 8
        check_final_state(cluster, 20)


@pytest.mark.parametrize("at_once", [False, True])
def test_transactions_without_a_reply_are_executed_late_or_at_once(at_once: bool) -> None:
    # The store executes transactions without a reply: after newer ones of the same controller, or
    # at once, while other controllers read what they wrote. A record with a tuple of types was not
    # recognized when it was read back, so the leader assumed that it was deposed.
    cluster = start_busy_cluster()
    for number in range(200, 240):
        cluster.after(
            number - 200,
            cluster.submit,
            batch(f"j-{number:06d}", 2, machine_types=("g8",)),
            4.0,
            number,
        )
    cluster.lose_writes(0.3, 40.0, at_once)
    submit_steady_load(cluster, 40.0)
    before = term(cluster)
    cluster.after(15.0, cluster.crash, wait_for_leader(cluster), 3.0)
    cluster.run(60)
    assert len(cluster.state.late_statuses) > 10
    if at_once:
        assert 200 in cluster.state.late_statuses
        assert term(cluster) <= before + 3, cluster.trace
    check_final_state(cluster)


def test_ten_changes_of_leader_in_two_minutes_also_during_outages() -> None:
    # Leaders crash, are isolated or are refused by the state service, some just before an outage.
    cluster = start_busy_cluster()
    first = term(cluster)
    submit_steady_load(cluster, 100.0, interval_s=1.0)
    for turn in range(12):
        leader = wait_for_leader(cluster, 30)
        if turn % 3 == 0:
            cluster.crash(leader, restart_after_s=1.0)
        elif turn % 3 == 1:
            cluster.isolate(leader, 8.0)
        else:
            cluster.refuse(leader, 8.0)
        if turn in (4, 8):
            cluster.after(1.0, cluster.start_state_outage, 5.0)
        cluster.run(9.5)
    assert term(cluster) >= first + 10
    check_final_state(cluster)


def test_cancellations_and_queries_while_the_state_service_is_slow_or_unreachable() -> None:
    # Cancellations are confirmed while the state service is slow; those sent while it refuses the
    # leader and then fails for all are confirmed later.
    cluster = start_busy_cluster(services=6, run_time=200.0)
    cluster.slow_down_state_service(0.6, 20.0)
    for number in range(4):
        cluster.after(number * 1.5, cluster.cancel, f"j-{number:06d}", number)
    cluster.run(20)
    assert len(cluster.reported_cancelled_at) >= 3, cluster.trace
    cluster.refuse(wait_for_leader(cluster), 45.0)
    cluster.start_state_outage(40.0)
    for number in range(100, 102):
        cluster.after(3.0, cluster.cancel, f"j-{number:06d}", number)
    for ref in cluster.specs:
        cluster.after(10.0, cluster.poll_repeatedly, ref)
    cluster.run(70)
    assert len(cluster.reported_cancelled_at) == 6
    check_final_state(cluster)


def test_compaction_keeps_up_with_four_jobs_per_second_while_a_machine_hangs() -> None:
    # Four jobs of one task per second, a quarter of them cancelled. Compaction stopped while the
    # machine of a cancelled job sent no heartbeats, so the number of pages grew without bound.
    cluster = SimulatedCluster(value_bytes=2048)
    cluster.submit(spec("j-900000", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-900000") == 2, 60)
    for number in range(480):
        ref = f"j-{number:06d}"
        cluster.after(number * 0.25, cluster.submit, batch(ref, 1, image="img-1"), 2.0, number)
        if number % 4 == 0:
            cluster.after(number * 0.25 + 1.0 + number % 3, cluster.cancel, ref, number)
    machine = cluster.find_machine("j-900000/0")
    cluster.run(20)
    cluster.cloud.down = True
    cluster.inject_machine_fault("hung", [machine], 110.0)
    cluster.cancel("j-900000")
    cluster.run(90)
    leader = cluster.nodes[wait_for_leader(cluster)]
    page_keys = [key for key in cluster.state.rows if key.startswith("p/")]
    last_page = max(int(key[2:]) for key in page_keys)
    assert leader.leader.state.jobs_by_ref["j-900000"].placements
    assert len(page_keys) < last_page / 2, (len(page_keys), last_page)
    change_leader(cluster)
    cluster.run(40)
    cluster.cloud.down = False
    cluster.run(10)
    assert len(cluster.accepted) == 481
    check_final_state(cluster)
    assert sum(job.final_stage == wire.DONE for job in cluster.rules.jobs.values()) > 300


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_new_leader_keeps_working_machines_that_are_not_listed_yet(seed: int) -> None:
    # New machines get tasks at once, the cloud lists them late, writes are slow, and the leader
    # crashes. The next leader terminated machines that ran tasks but were not listed yet.
    cluster = SimulatedCluster(seed)
    cluster.cloud.boot, cluster.cloud.list_lag_s = 1.0, 4.0
    cluster.run(3)
    cluster.slow_down_state_service(0.3, 30.0)
    for number in range(4):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
        cluster.submit(batch(f"j-{100 + number:06d}", 3), run_time=15.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) >= 6, 30), cluster.trace
    working = {cluster.find_machine(task) for task in cluster.running}
    cluster.crash(wait_for_leader(cluster), restart_after_s=3.0)
    cluster.run(12)
    assert working <= set(cluster.workers), cluster.trace
    check_final_state(cluster)


def test_a_delayed_copy_of_a_transaction_restores_no_compacted_page() -> None:
    # The condition "does not exist" holds again once the page that a transaction created has been
    # compacted and deleted. A delayed copy under the same term would then have restored its old
    # records, and the next leader would have read them.
    cluster = SimulatedCluster(value_bytes=512)
    sent: list[wire.Transaction] = []
    transact = cluster.state.transact

    def recorded(txn: wire.Transaction) -> tuple[int, object]:
        status, body = transact(txn)
        if status == 200 and any((change.put or "").startswith("p/") for change in txn.changes):
            sent.append(txn)
        return status, body

    cluster.state.transact = recorded  # type: ignore[method-assign]
    for number in range(100):
        cluster.after(number * 0.4, cluster.submit, batch(f"j-{number:06d}", 1), 1.0, number)
    cluster.run(60)
    compacted = [
        txn
        for txn in sent
        if all(
            change.put not in cluster.state.rows
            for change in txn.changes
            if change.put != "p/00000000"
        )
    ]
    assert len(compacted) > 20
    assert {transact(txn)[0] for txn in sent} == {409}


def test_a_commit_whose_reply_is_lost_is_recognized_when_read_back() -> None:
    # Machine types are a tuple in memory and a list when read back. Comparing the two failed, so
    # the leader assumed that it was deposed.
    cluster = start_busy_cluster()
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    before = leader.term
    cluster.lose_writes(0.5, 20.0, at_once=True)
    for number in range(200, 220):
        cluster.after(
            number - 200,
            cluster.submit,
            batch(f"j-{number:06d}", 2, machine_types=("g8",)),
            4.0,
            number,
        )
    cluster.run(30)
    assert cluster.state.late_statuses.count(200) > 5
    assert leader.term is before
    check_final_state(cluster, 20)


def test_lost_replies_of_the_state_service_delay_no_user() -> None:
    # With a third of the transactions unanswered, most polls got their reply after the 2 s for
    # which users wait, since one lost reply of the store delayed all queries.
    cluster = start_busy_cluster()
    cluster.lose_writes(0.3, 60.0)
    reply_times: list[float] = []

    def poll(number: int) -> None:
        sent_at = cluster.sim.time

        def on_reply(status: int, _: object) -> None:
            reply_times.append(cluster.sim.time - sent_at if status == 200 else 9.0)

        cluster.call(NODES[number % 3], "GET", f"{wire.JOBS}/j-{number % 4:06d}", None, on_reply)

    for number in range(500):
        cluster.after(number * 0.1, poll, number)
    cluster.run(56)
    assert len(reply_times) == 500
    assert sum(wait < 2.0 for wait in reply_times) > 450


def test_a_leader_that_stepped_down_never_leads_the_same_term_again() -> None:
    # The leader key still named it, so it led the same term again and regarded its own placements
    # as those of an earlier leader. A delayed launch then arrived with a fencing token that the
    # worker still accepts: the task ran twice.
    cluster = start_busy_cluster(services=1, arrays=0)
    old = cluster.nodes[wait_for_leader(cluster)]
    first, task = old.election.term, "j-000050/0"
    cluster.inject_machine_fault("cut", list(cluster.workers), 6.0)
    cluster.submit(spec("j-000050", spread=False))
    cluster.run(0.5)
    assert old.leader.state.jobs_by_ref["j-000050"].placements
    old.election.step_down()
    cluster.run(1)
    assert term(cluster) > first
    assert cluster.run_until(lambda: task in cluster.running, 40)
    check_final_state(cluster, 30)


def test_a_damaged_ledger_is_logged_once_and_not_served(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Serving from a ledger of which a page can't be read could start a task twice.
    cluster = start_busy_cluster()
    intact = cluster.state.rows["p/00000001"]
    for damage in ({"x": 1}, {"r": [["?"]]}):
        cluster.state.rows["p/00000001"] = damage, *intact[1:]
        caplog.clear()
        with caplog.at_level(logging.ERROR):
            cluster.crash(wait_for_leader(cluster), restart_after_s=1.0)
            cluster.run(4)
        assert [record.message.split()[0] for record in caplog.records] == ["event=ledger_damaged"]
        assert not any(node.election.is_ready for node in cluster.nodes.values())
    cluster.state.rows["p/00000001"] = intact
    check_final_state(cluster, 40)
