"""Combinations of faults in which the state service refuses, is slow, loses answers or is late."""

from __future__ import annotations

import logging

import pytest

from flaxtally.protocol import wire

from .scenarios import busy, change_leader, ends_well, leader_of, steady_work, term
from .simulated_cluster import NODES, SimulatedCluster, batch, spec


def test_the_gap_between_a_refused_leader_and_an_outage() -> None:
    # The meeting that broke most schedulers: the leader is refused, another confirms cancellations,
    # then nobody reaches the state service for longer than `cancel_s` while workers go on reporting
    # to the old leader.
    for seed in range(3):
        world = busy(seed, services=10, arrays=4, run_time=200.0)
        old = leader_of(world)
        world.refuse(old, 14.0)
        world.after(4.0, world.outage, 40.0)
        refs = [f"j-{number:06d}" for number in [*range(10), *range(100, 104)]]
        for number, ref in enumerate(refs):
            # At the refused leader, at the next one, and in the outage.
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


def test_cancelled_as_the_leader_is_refused_and_a_second_later_nobody_is_served() -> None:
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
def test_transactions_without_an_answer(at_once: bool) -> None:
    # Carried out after newer ones of the same controller, or at once while other nodes read what
    # they wrote. Found: a record whose types are a tuple was not recognised when read back, so the
    # leader took itself for deposed.
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


def test_ten_leaders_in_two_minutes_also_inside_an_outage() -> None:
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


def test_the_state_service_is_slow_or_gone_while_users_cancel_and_ask() -> None:
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


def test_one_task_jobs_four_a_second_for_minutes_a_quarter_cancelled() -> None:
    # Also while a cancelled job's machine is silent: found that cleaning then stood still, and
    # pages grew with the day.
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
    kept = [key for key in world.state.rows if key.startswith("p/")]
    written = max(int(key[2:]) for key in kept)
    assert leader.leader.state.jobs_by_ref["j-900000"].placements
    assert len(kept) < written / 2, (len(kept), written)
    change_leader(world)
    world.run(40)
    world.cloud.down = False
    world.run(10)
    assert len(world.accepted) == 481
    ends_well(world)
    assert sum(job.final_stage == wire.DONE for job in world.rules.jobs.values()) > 300


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(seed: int) -> None:
    # Found: the next leader released machines that worked and were not listed yet.
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


def test_a_late_copy_of_a_transaction_brings_no_cleaned_page_back() -> None:
    # Found by reading: the guard "does not exist" holds again once the page that a transaction
    # created is cleaned away; its late copy, under the same term, would have brought old records
    # back for the next leader to read.
    world = SimulatedCluster(value_bytes=512)
    sent: list[wire.Transaction] = []
    transact = world.state.transact

    def seen(txn: wire.Transaction) -> tuple[int, object]:
        status, body = transact(txn)
        if status == 200 and any((change.put or "").startswith("p/") for change in txn.changes):
            sent.append(txn)
        return status, body

    world.state.transact = seen  # type: ignore[method-assign]
    for number in range(100):
        world.after(number * 0.4, world.submit, batch(f"j-{number:06d}", 1), 1.0, number)
    world.run(60)
    gone = [
        txn
        for txn in sent
        if all(
            change.put not in world.state.rows
            for change in txn.changes
            if change.put != "p/00000000"
        )
    ]
    assert len(gone) > 20
    assert {transact(txn)[0] for txn in sent} == {409}


def test_a_commit_whose_answer_is_lost_is_recognised_when_read_back() -> None:
    # Found: types are a tuple in memory and a list when read, so the leader took itself for
    # deposed.
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


def test_answers_that_are_lost_keep_no_user_waiting() -> None:
    # Found on a day of our own: with a third of the transactions unanswered, most polls were
    # answered after the 2 s for which users wait, since one lost answer held all questions up.
    world = busy()
    world.lose_writes(0.3, 60.0)
    waits: list[float] = []

    def ask(number: int) -> None:
        asked = world.sim.time

        def told(status: int, _: object) -> None:
            waits.append(world.sim.time - asked if status == 200 else 9.0)

        world.call(NODES[number % 3], "GET", f"{wire.WORK}/j-{number % 4:06d}", None, told)

    for number in range(500):
        world.after(number * 0.1, ask, number)
    world.run(56)
    assert len(waits) == 500
    assert sum(wait < 2.0 for wait in waits) > 450


def test_a_leader_that_gave_up_never_leads_the_same_term_again() -> None:
    # Found: the key still named it, so it led the same term anew and took what it had placed for
    # placed by an earlier one. A launch that was held up then came under a token that the worker
    # still takes: the task ran twice.
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


def test_a_damaged_ledger_is_said_once_and_not_served_from(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = busy()
    sound = world.state.rows["p/00000001"]
    for damage in ({"x": 1}, {"r": [["?"]]}):
        world.state.rows["p/00000001"] = damage, *sound[1:]
        caplog.clear()
        with caplog.at_level(logging.ERROR):
            world.crash(leader_of(world), back_after=1.0)
            world.run(4)
        assert [record.message.split()[0] for record in caplog.records] == ["event=ledger_damaged"]
        assert not any(node.election.is_ready for node in world.nodes.values())
    world.state.rows["p/00000001"] = sound
    ends_well(world, 40)
