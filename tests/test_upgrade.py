"""A rolling upgrade from the version in production, and a state service that lowers its limits."""

from __future__ import annotations

import msgspec
import pytest

from flaxtally.protocol import formats, wire
from flaxtally.settings import Team

from .scenarios import change_leader, check_final_state, wait_for_leader
from .simulated_cluster import NODES, SimulatedCluster, batch, gang, spec
from .simulated_upgrade import LOWERED_LIMITS, UpgradingCluster


def start_serving_cluster(seed: int = 1, upgraded: tuple[str, ...] = ()) -> UpgradingCluster:
    """A world with services and arrays that run."""
    cluster = UpgradingCluster(seed, upgraded)
    for number in range(4):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    for number in range(3):
        cluster.submit(batch(f"j-{100 + number:06d}", 6), run_time=40.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 26, 90), cluster.trace
    return cluster


def work_goes_on(cluster: UpgradingCluster) -> None:
    """Small jobs for as long as the test plays, some of them cancelled."""
    for number in range(40):
        ref = f"j-{5000 + number:06d}"
        cluster.after(1.3 * number, cluster.submit, batch(ref, 2), 4.0, number)
        if number % 4 == 3:
            cluster.after(1.3 * number + 3.0, cluster.cancel, ref, number)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_roll_keeps_every_task_in_place_and_raises_the_format_at_its_end(seed: int) -> None:
    cluster = start_serving_cluster(seed)
    before = {task: where for task, where in cluster.running.items() if task < "j-000100"}
    work_goes_on(cluster)
    for number, name in enumerate(NODES):
        cluster.upgrade(name)
        cluster.run(8.0)
        assert cluster.format == (formats.GANGS if number == len(NODES) - 1 else formats.FIRST)
    after = {task: where for task, where in cluster.running.items() if task < "j-000100"}
    assert after == before
    cluster.submit(gang("j-000200", 4), run_time=3.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE
    assert not cluster.state.oversized_transactions


def test_a_gang_is_answered_503_until_every_controller_knows_gangs() -> None:
    cluster = start_serving_cluster()
    for name in NODES:
        cluster.upgrade(name)
        answers: list[int] = []
        if len(cluster.upgraded) < len(NODES):
            cluster.run(6.0)
            cluster.specs["j-000200"] = gang("j-000200", 2)
            for node in cluster.upgraded:
                body = wire.submission(cluster.specs["j-000200"])
                cluster.call(node, "POST", wire.WORK, body, lambda s, _, a=answers: a.append(s))  # type: ignore[misc]
            cluster.run(3.0)
            assert set(answers) == {503}
    cluster.run(8.0)
    cluster.submit(cluster.specs["j-000200"], run_time=3.0)
    assert cluster.run_until(lambda: "j-000200" in cluster.accepted, 20)
    assert cluster.run_until(lambda: cluster.query_job("j-000200")[1]["stage"] == wire.DONE, 60)


@pytest.mark.parametrize("seed", range(6))
def test_leadership_passes_both_ways_and_neither_version_loses_anything(seed: int) -> None:
    # At whatever moment the leader ends, one of the other version may read what it wrote: pages of
    # either size, and a snapshot that a cleaning had begun.
    # The first two take over from each other; one of them is old.
    cluster = start_serving_cluster(seed, upgraded=NODES[:1] if seed % 2 else NODES[::2])
    work_goes_on(cluster)
    passed: set[tuple[bool, bool]] = set()
    old = wait_for_leader(cluster)
    for turn in range(24):
        cluster.run(1.0 + 0.37 * (turn % 6) + 0.11 * seed)
        new = change_leader(cluster, back_after=0.5)
        passed.add((old in cluster.upgraded, new in cluster.upgraded))
        old = new
        if {(True, False), (False, True)} <= passed:
            break
    assert {(True, False), (False, True)} <= passed
    assert cluster.format == formats.FIRST
    check_final_state(cluster)


def test_a_controller_that_dies_before_its_turn_comes_back_old_and_holds_the_format_back() -> None:
    cluster = start_serving_cluster()
    cluster.upgrade(NODES[0])
    cluster.upgrade(NODES[1])
    cluster.run(4.0)
    cluster.crash(NODES[2], back_after=1.0)
    cluster.run(10.0)
    assert cluster.format == formats.FIRST
    cluster.upgrade(NODES[2])
    cluster.run(8.0)
    assert cluster.format == formats.GANGS
    check_final_state(cluster)


def test_a_member_that_is_cut_off_during_the_roll_is_waited_for() -> None:
    cluster = start_serving_cluster()
    far = next(name for name in NODES if name != cluster.leader())
    others = [cluster.ip(name) for name in NODES if name != far]
    cluster.cut(cluster.ip(far), [*others, "10.2.0.1"], 30.0)
    for name in NODES:
        if name != far:
            cluster.upgrade(name)
            cluster.run(6.0)
    cluster.upgrade(far)
    cluster.run(8.0)
    assert cluster.format == formats.FIRST
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 30.0)
    check_final_state(cluster)


def test_a_member_that_is_down_is_not_waited_for_once_it_was_heard() -> None:
    # The evidence outlives the leader that heard it: the next one reads it at the state service.
    cluster = start_serving_cluster(upgraded=NODES[:2])
    cluster.upgraded.add(NODES[2])
    while wait_for_leader(cluster) not in NODES[:2]:
        change_leader(cluster)
    cluster.crash(NODES[2])
    cluster.run(3.0)
    assert cluster.format == formats.FIRST
    cluster.start(NODES[2])
    # Heard, and down before anything but that was done about it.
    assert cluster.run_until(lambda: NODES[2] in cluster.state.rows["formats"][0]["newest"], 10.0)
    cluster.crash(NODES[2])
    for name in NODES[:2]:
        cluster.crash(name, back_after=1.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 30.0)


def test_the_raise_is_carried_out_and_its_answer_is_lost() -> None:
    cluster = start_serving_cluster(upgraded=NODES[:2])
    cluster.upgrade(NODES[2], back_after=2.0)
    cluster.lose_writes(0.7, 12.0, at_once=True)
    cluster.run(15.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 20.0)
    cluster.submit(gang("j-000200", 4), run_time=3.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE


def test_late_transactions_of_production_after_the_raise_change_nothing() -> None:
    cluster = start_serving_cluster()
    cluster.lose_writes(0.5, 20.0)
    work_goes_on(cluster)
    cluster.roll_out_upgrade(every=5.0)
    cluster.run(20.0)
    assert cluster.state.late_statuses
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 20.0)
    check_final_state(cluster)


@pytest.mark.parametrize("when", ["quiet", "takeover", "lost_answers", "team_at_limit"])
def test_the_limits_fall_without_notice(when: str) -> None:
    # Production repeated a page that was too large for ever: nothing was accepted or told any more.
    cluster = start_serving_cluster()
    work_goes_on(cluster)
    cluster.roll_out_upgrade(every=6.0)
    if when == "lost_answers":
        cluster.lose_writes(0.5, 10.0)
    if when == "team_at_limit":
        for number in range(12):
            cluster.submit(batch(f"j-{300 + number:06d}", 8), run_time=60.0, node=number)
        cluster.run(3.0)
        for number in range(12):
            cluster.cancel(f"j-{300 + number:06d}", number)
    cluster.lower_limits()
    if when == "takeover":
        change_leader(cluster)
    cluster.submit(gang("j-000200", 6), run_time=5.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE
    assert not cluster.state.oversized_transactions


def test_limits_that_fall_unannounced_end_a_term_and_nothing_else() -> None:
    cluster = SimulatedCluster()
    cluster.state.enforce(8192, 32)
    for number in range(12):
        cluster.submit(spec(f"j-{number:06d}", tasks=4), node=number)
    cluster.run(40.0)
    before = dict(cluster.running)
    cluster.state.enforce(2048, 4, 15.0)
    for number in range(30):
        cluster.submit(batch(f"j-{200 + number:06d}", 4), run_time=5.0, node=number)
    cluster.run(40.0)
    assert cluster.state.oversized_transactions
    assert {task: where for task, where in cluster.running.items() if task < "j-000100"} == before
    check_final_state(cluster)
    for number in range(30):
        assert cluster.query_job(f"j-{200 + number:06d}")[1]["stage"] == wire.DONE


def test_no_program_reads_a_ledger_of_a_newer_format(caplog: pytest.LogCaptureFixture) -> None:
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(20.0)
    newest = max(key for key in cluster.state.rows if key.startswith("p/"))
    value, stamp, lease = cluster.state.rows[newest]
    cluster.state.rows[newest] = {"r": [*value["r"], ["V", 99]]}, stamp, lease
    before = dict(cluster.running)
    for name in NODES:
        cluster.crash(name, back_after=0.5)
    cluster.run(12.0)
    assert cluster.leader() is None
    refusals = [entry for entry in caplog.records if "event=leadership_refused" in entry.message]
    assert 1 <= len(refusals) <= len(NODES)
    # Workers are answered all the same, so their tasks stay.
    assert cluster.running == before


def test_the_lower_limits_bound_what_is_written() -> None:
    assert LOWERED_LIMITS.value_bytes == 2048
    cluster = start_serving_cluster()
    cluster.roll_out_upgrade(every=6.0)
    largest = max(
        len(msgspec.json.encode(value))
        for key, (value, stamp, _) in cluster.state.rows.items()
        if key.startswith("p/") and stamp > cluster.state.revision - 40
    )
    assert largest <= LOWERED_LIMITS.value_bytes


def test_cleaning_ends_when_nothing_can_be_saved_by_it() -> None:
    # Found on a drawn day at the lower limits: pages were cleaned over and over, 3,900 of them, and
    # the state service had three times the usual changes. Here each page is half empty, since each
    # job is written into one, so what pages hold is well above what they mean.
    cluster = SimulatedCluster(
        value_bytes=2048, txn_ops=4, capacity=30, team=Team("crew", 0.0, 1e5, 0.0, 2e3)
    )
    for number in range(100):
        # Long names: somewhat more than half a page each.
        job = spec(
            f"j-{number:06d}",
            tasks=14,
            cores=0.3,
            memory_gb=0.2,
            job_class="l" * 190,
            image="i" * 190,
        )
        cluster.submit(job, node=number)
    for number in range(120):
        # What they leave in the pages begins the cleaning.
        job = batch(f"j-{1000 + number:06d}", 12, image="img-1")
        cluster.after(30.0 + 0.3 * number, cluster.submit, job, 2.0, number)
    cluster.run(150.0)
    assert len(cluster.running) == 100 * 14
    before = cluster.state.changes
    cluster.run(60.0)
    assert cluster.state.changes - before < 60


@pytest.mark.parametrize("loses", [False, True])
def test_a_gang_that_production_placed_task_by_task_ends_after_the_raise(loses: bool) -> None:
    # Production took the word and replaced a lost task alone, under another attempt number: such
    # tasks never meet. Their attempts are given up once the format is raised.
    cluster = start_serving_cluster()
    cluster.submit(gang("j-000200", 3, cores=2.0), run_time=25.0)
    assert cluster.run_until(lambda: cluster.count("j-000200") == 3, 60)
    if loses:
        cluster.cloud.remove_machine(cluster.find_machine("j-000200/0"))
        cluster.run(3.0)
    cluster.roll_out_upgrade(every=6.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 20.0)
    check_final_state(cluster, 120.0)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE


def test_the_state_service_refuses_the_leader_alone_during_the_raise() -> None:
    cluster = start_serving_cluster(upgraded=NODES[:2])
    cluster.upgrade(NODES[2], back_after=1.0)
    cluster.run(1.0)
    cluster.refuse(wait_for_leader(cluster), 8.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 30.0)
    cluster.submit(gang("j-000200", 4), run_time=3.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE


def test_what_was_told_before_the_roll_is_told_after_it() -> None:
    cluster = start_serving_cluster()
    cluster.submit(batch("j-000300", 3), run_time=2.0)
    assert cluster.run_until(lambda: cluster.query_job("j-000300")[1]["stage"] == wire.DONE, 60.0)
    cluster.cancel("j-000001")
    assert cluster.run_until(lambda: "j-000001" in cluster.reported_cancelled_at, 30.0)
    cluster.roll_out_upgrade(every=6.0)
    assert cluster.query_job("j-000300")[1]["stage"] == wire.DONE
    assert cluster.query_job("j-000001")[1]["stage"] == wire.ABORTED
    assert cluster.query_job("j-000000")[1]["stage"] == wire.RUNNING
    for ref in ("j-000300", "j-000001", "j-000000"):
        cluster.poll_repeatedly(ref)
    cluster.run(3.0)


def test_a_burst_of_submissions_at_the_lower_rate_forgets_none() -> None:
    cluster = start_serving_cluster(upgraded=NODES)
    cluster.lower_limits()
    for number in range(200):
        cluster.submit(batch(f"j-{1000 + number:06d}", 1, image="img-1"), 1.0, number)
    assert cluster.run_until(lambda: len(cluster.accepted) == 207, 60.0)
    check_final_state(cluster, 150.0)
    assert {cluster.rules.jobs[f"j-{1000 + number:06d}"].told for number in range(200)} == {
        wire.DONE
    }
    assert not cluster.state.oversized_transactions


def test_the_limits_fall_while_pages_are_cleaned() -> None:
    # Pages of production are said anew in small ones, under a leader that is replaced meanwhile.
    cluster = start_serving_cluster()
    for number in range(160):
        cluster.after(0.2 * number, cluster.submit, batch(f"j-{1000 + number:06d}", 6), 1.0, number)
    cluster.run(40.0)
    cluster.roll_out_upgrade(every=5.0)
    cleaning = [False]

    def is_cleaning() -> bool:
        leader = cluster.leader()
        cleaning[0] = leader is not None and cluster.nodes[leader].ledger.is_compacting
        return cleaning[0]

    for number in range(160):
        cluster.after(0.2 * number, cluster.submit, batch(f"j-{3000 + number:06d}", 6), 1.0, number)
    assert cluster.run_until(is_cleaning, 60.0)
    cluster.lower_limits()
    change_leader(cluster)
    check_final_state(cluster, 150.0)
    assert not cluster.state.oversized_transactions
