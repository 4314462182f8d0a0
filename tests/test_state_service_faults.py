"""Faults of the state service: refused, slow, lost and delayed calls, and combinations of these."""

from __future__ import annotations

import logging

import pytest

from flaxtally.protocol import wire

from .scenarios import busy, change_leader, ends_well, leader_of, steady_work, term
from .simulated_cluster import NODES, SimulatedCluster, batch, spec


def test_cancellations_hold_when_an_outage_follows_a_refused_leader() -> None:
    # The state service refuses the leader, the next leader confirms cancellations, then no
    # controller reaches the state service for longer than `cancel_s`, while workers still report to
    # the old leader. A confirmed cancellation must hold nevertheless.
    for seed in range(3):
        world = busy(seed, services=10, arrays=4, run_time=200.0)
        old = leader_of(world)
        world.refuse(old, 14.0)
        world.after(4.0, world.outage, 40.0)
        refs = [f"j-{number:06d}" for number in [*range(10), *range(100, 104)]]
        for number, ref in enumerate(refs):
            # Sent to the refused leader, to the next one, and during the outage.
            world.after(number * 0.6, world.cancel, ref, number)
        world.run(3.9)
        new = leader_of(world)
        world.run(20)
        assert new != old
        assert world.state.down
        assert world.told_cancelled
        assert all(world.count(ref) == 0 for ref in world.told_cancelled)
        world.run(60)
        assert len(world.told_cancelled) + len(world.gave_up) == len(refs)
        assert len(world.gave_up) == 0, (world.gave_up, world.trace)
        ends_well(world, 20)


def test_cancellations_hold_when_an_outage_begins_a_second_after_the_leader_is_refused() -> None:
    # Jobs are cancelled as the state service refuses the leader; a second later it fails for all.
    # No task of a job whose cancellation was confirmed may run, and every user gets a reply.
    for seed in range(3):
        world = busy(seed, services=8, arrays=2, run_time=200.0)
        world.refuse(leader_of(world), 14.0)
        for number in range(8):
            world.after(number * 0.02, world.cancel, f"j-{number:06d}", number)
        world.after(1.0, world.outage, 40.0)
        world.run(30)
        assert all(world.count(ref) == 0 for ref in world.told_cancelled)
        world.run(40)
        assert not world.gave_up
        assert len(world.told_cancelled) == 8
        ends_well(world, 20)


@pytest.mark.parametrize("at_once", [False, True])
def test_transactions_without_a_reply_are_executed_late_or_at_once(at_once: bool) -> None:
    # The store executes transactions without a reply: after newer ones of the same controller, or
    # at once, while other controllers read what they wrote. A record with a tuple of types was not
    # recognized when it was read back, so the leader assumed that it was deposed.
    world = busy()
    for number in range(200, 240):
        world.after(
            number - 200,
            world.submit,
            batch(f"j-{number:06d}", 2, machine_types=("g8",)),
            4.0,
            number,
        )
    world.lose_writes(0.3, 40.0, at_once)
    steady_work(world, 40.0)
    before = term(world)
    world.after(15.0, world.crash, leader_of(world), 3.0)
    world.run(60)
    assert len(world.state.late) > 10
    if at_once:
        assert 200 in world.state.late
        assert term(world) <= before + 3, world.trace
    ends_well(world)


def test_ten_changes_of_leader_in_two_minutes_also_during_outages() -> None:
    # Leaders crash, are isolated or are refused by the state service, some just before an outage.
    world = busy()
    first = term(world)
    steady_work(world, 100.0, every=1.0)
    for turn in range(12):
        leader = leader_of(world, 30)
        if turn % 3 == 0:
            world.crash(leader, back_after=1.0)
        elif turn % 3 == 1:
            world.isolate(leader, 8.0)
        else:
            world.refuse(leader, 8.0)
        if turn in (4, 8):
            world.after(1.0, world.outage, 5.0)
        world.run(9.5)
    assert term(world) >= first + 10
    ends_well(world)


def test_cancellations_and_queries_while_the_state_service_is_slow_or_unreachable() -> None:
    # Cancellations are confirmed while the state service is slow; those sent while it refuses the
    # leader and then fails for all are confirmed later.
    world = busy(services=6, run_time=200.0)
    world.slow_state(0.6, 20.0)
    for number in range(4):
        world.after(number * 1.5, world.cancel, f"j-{number:06d}", number)
    world.run(20)
    assert len(world.told_cancelled) >= 3, world.trace
    world.refuse(leader_of(world), 45.0)
    world.outage(40.0)
    for number in range(100, 102):
        world.after(3.0, world.cancel, f"j-{number:06d}", number)
    for ref in world.specs:
        world.after(10.0, world.look_closely, ref)
    world.run(70)
    assert len(world.told_cancelled) == 6
    ends_well(world)


def test_compaction_keeps_up_with_four_jobs_per_second_while_a_machine_hangs() -> None:
    # Four jobs of one task per second, a quarter of them cancelled. Compaction stopped while the
    # machine of a cancelled job sent no heartbeats, so the number of pages grew without bound.
    world = SimulatedCluster(value_bytes=2048)
    world.submit(spec("j-900000", tasks=2))
    assert world.until(lambda: world.count("j-900000") == 2, 60)
    for number in range(480):
        ref = f"j-{number:06d}"
        world.after(number * 0.25, world.submit, batch(ref, 1, image="img-1"), 2.0, number)
        if number % 4 == 0:
            world.after(number * 0.25 + 1.0 + number % 3, world.cancel, ref, number)
    machine = world.machine_of("j-900000/0")
    world.run(20)
    world.cloud.down = True
    world.machine_trouble("hung", [machine], 110.0)
    world.cancel("j-900000")
    world.run(90)
    leader = world.nodes[leader_of(world)]
    page_keys = [key for key in world.state.rows if key.startswith("p/")]
    last_page = max(int(key[2:]) for key in page_keys)
    assert leader.leader.state.jobs_by_ref["j-900000"].placements
    assert len(page_keys) < last_page / 2, (len(page_keys), last_page)
    change_leader(world)
    world.run(40)
    world.cloud.down = False
    world.run(10)
    assert len(world.accepted) == 481
    ends_well(world)
    assert sum(job.told == wire.DONE for job in world.rules.jobs.values()) > 300


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_new_leader_keeps_working_machines_that_are_not_listed_yet(seed: int) -> None:
    # New machines get tasks at once, the cloud lists them late, writes are slow, and the leader
    # crashes. The next leader terminated machines that ran tasks but were not listed yet.
    world = SimulatedCluster(seed)
    world.cloud.boot, world.cloud.lag = 1.0, 4.0
    world.run(3)
    world.slow_state(0.3, 30.0)
    for number in range(4):
        world.submit(spec(f"j-{number:06d}", tasks=2), node=number)
        world.submit(batch(f"j-{100 + number:06d}", 3), run_time=15.0, node=number)
    assert world.until(lambda: len(world.running) >= 6, 30), world.trace
    working = {world.machine_of(task) for task in world.running}
    world.crash(leader_of(world), back_after=3.0)
    world.run(12)
    assert working <= set(world.workers), world.trace
    ends_well(world)


def test_a_delayed_copy_of_a_transaction_restores_no_compacted_page() -> None:
    # The condition "does not exist" holds again once the page that a transaction created has been
    # compacted and deleted. A delayed copy under the same term would then have restored its old
    # records, and the next leader would have read them.
    world = SimulatedCluster(value_bytes=512)
    sent: list[wire.Transaction] = []
    transact = world.state.transact

    def recorded(txn: wire.Transaction) -> tuple[int, object]:
        status, body = transact(txn)
        if status == 200 and any((change.put or "").startswith("p/") for change in txn.changes):
            sent.append(txn)
        return status, body

    world.state.transact = recorded  # type: ignore[method-assign]
    for number in range(100):
        world.after(number * 0.4, world.submit, batch(f"j-{number:06d}", 1), 1.0, number)
    world.run(60)
    compacted = [
        txn
        for txn in sent
        if all(
            change.put not in world.state.rows
            for change in txn.changes
            if change.put != "p/00000000"
        )
    ]
    assert len(compacted) > 20
    assert {transact(txn)[0] for txn in sent} == {409}


def test_a_commit_whose_reply_is_lost_is_recognized_when_read_back() -> None:
    # Machine types are a tuple in memory and a list when read back. Comparing the two failed, so
    # the leader assumed that it was deposed.
    world = busy()
    leader = world.nodes[leader_of(world)].leader
    before = leader.term
    world.lose_writes(0.5, 20.0, at_once=True)
    for number in range(200, 220):
        world.after(
            number - 200,
            world.submit,
            batch(f"j-{number:06d}", 2, machine_types=("g8",)),
            4.0,
            number,
        )
    world.run(30)
    assert world.state.late.count(200) > 5
    assert leader.term is before
    ends_well(world, 20)


def test_lost_replies_of_the_state_service_delay_no_user() -> None:
    # With a third of the transactions unanswered, most polls got their reply after the 2 s for
    # which users wait, since one lost reply of the store delayed all queries.
    world = busy()
    world.lose_writes(0.3, 60.0)
    reply_times: list[float] = []

    def poll(number: int) -> None:
        sent_at = world.sim.time

        def on_reply(status: int, _: object) -> None:
            reply_times.append(world.sim.time - sent_at if status == 200 else 9.0)

        world.call(NODES[number % 3], "GET", f"{wire.JOBS}/j-{number % 4:06d}", None, on_reply)

    for number in range(500):
        world.after(number * 0.1, poll, number)
    world.run(56)
    assert len(reply_times) == 500
    assert sum(wait < 2.0 for wait in reply_times) > 450


def test_a_leader_that_stepped_down_never_leads_the_same_term_again() -> None:
    # The leader key still named it, so it led the same term again and regarded its own placements
    # as those of an earlier leader. A delayed launch then arrived with a fencing token that the
    # worker still accepts: the task ran twice.
    world = busy(services=1, arrays=0)
    old = world.nodes[leader_of(world)]
    first, task = old.election.term, "j-000050/0"
    world.machine_trouble("cut", list(world.workers), 6.0)
    world.submit(spec("j-000050", spread=False))
    world.run(0.5)
    assert old.leader.state.jobs_by_ref["j-000050"].placements
    old.election.step_down()
    world.run(1)
    assert term(world) > first
    assert world.until(lambda: task in world.running, 40)
    ends_well(world, 30)


def test_a_damaged_ledger_is_logged_once_and_not_served(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Serving from a ledger of which a page can't be read could start a task twice.
    world = busy()
    intact = world.state.rows["p/00000001"]
    for damage in ({"x": 1}, {"r": [["?"]]}):
        world.state.rows["p/00000001"] = damage, *intact[1:]
        caplog.clear()
        with caplog.at_level(logging.ERROR):
            world.crash(leader_of(world), back_after=1.0)
            world.run(4)
        assert [record.message.split()[0] for record in caplog.records] == ["event=ledger_damaged"]
        assert not any(node.election.is_ready for node in world.nodes.values())
    world.state.rows["p/00000001"] = intact
    ends_well(world, 40)
