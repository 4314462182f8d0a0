"""A rolling upgrade from the version in production, and a state service that lowers its limits."""

from __future__ import annotations

import msgspec
import pytest

from flaxtally.protocol import formats, wire
from flaxtally.settings import Team

from .scenarios import change_leader, ends_well, leader_of
from .simulated_cluster import NODES, SimulatedCluster, batch, gang, spec
from .simulated_upgrade import LOWER, UpgradingCluster


def serving(seed: int = 1, upgraded: tuple[str, ...] = ()) -> UpgradingCluster:
    """A world with services and arrays that run."""
    world = UpgradingCluster(seed, upgraded)
    for number in range(4):
        world.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    for number in range(3):
        world.submit(batch(f"j-{100 + number:06d}", 6), run_time=40.0, node=number)
    assert world.until(lambda: len(world.running) == 26, 90), world.trace
    return world


def work_goes_on(world: UpgradingCluster) -> None:
    """Small jobs for as long as the test plays, some of them cancelled."""
    for number in range(40):
        ref = f"j-{5000 + number:06d}"
        world.after(1.3 * number, world.submit, batch(ref, 2), 4.0, number)
        if number % 4 == 3:
            world.after(1.3 * number + 3.0, world.cancel, ref, number)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_roll_keeps_every_task_in_place_and_raises_the_format_at_its_end(seed: int) -> None:
    world = serving(seed)
    before = {task: where for task, where in world.running.items() if task < "j-000100"}
    work_goes_on(world)
    for number, name in enumerate(NODES):
        world.upgrade(name)
        world.run(8.0)
        assert world.format == (formats.GANGS if number == len(NODES) - 1 else formats.FIRST)
    after = {task: where for task, where in world.running.items() if task < "j-000100"}
    assert after == before
    world.submit(gang("j-000200", 4), run_time=3.0)
    ends_well(world)
    assert world.ask("j-000200")[1]["stage"] == wire.DONE
    assert not world.state.over_limit


def test_a_gang_is_answered_503_until_every_controller_knows_gangs() -> None:
    world = serving()
    for name in NODES:
        world.upgrade(name)
        answers: list[int] = []
        if len(world.upgraded) < len(NODES):
            world.run(6.0)
            world.specs["j-000200"] = gang("j-000200", 2)
            for node in world.upgraded:
                body = wire.submission(world.specs["j-000200"])
                world.call(node, "POST", wire.WORK, body, lambda s, _, a=answers: a.append(s))  # type: ignore[misc]
            world.run(3.0)
            assert set(answers) == {503}
    world.run(8.0)
    world.submit(world.specs["j-000200"], run_time=3.0)
    assert world.until(lambda: "j-000200" in world.accepted, 20)
    assert world.until(lambda: world.ask("j-000200")[1]["stage"] == wire.DONE, 60)


@pytest.mark.parametrize("seed", range(6))
def test_leadership_passes_both_ways_and_neither_version_loses_anything(seed: int) -> None:
    # At whatever moment the leader ends, one of the other version may read what it wrote: pages of
    # either size, and a snapshot that a cleaning had begun.
    # The first two take over from each other; one of them is old.
    world = serving(seed, upgraded=NODES[:1] if seed % 2 else NODES[::2])
    work_goes_on(world)
    passed: set[tuple[bool, bool]] = set()
    old = leader_of(world)
    for turn in range(24):
        world.run(1.0 + 0.37 * (turn % 6) + 0.11 * seed)
        new = change_leader(world, back_after=0.5)
        passed.add((old in world.upgraded, new in world.upgraded))
        old = new
        if {(True, False), (False, True)} <= passed:
            break
    assert {(True, False), (False, True)} <= passed
    assert world.format == formats.FIRST
    ends_well(world)


def test_a_controller_that_dies_before_its_turn_comes_back_old_and_holds_the_format_back() -> None:
    world = serving()
    world.upgrade(NODES[0])
    world.upgrade(NODES[1])
    world.run(4.0)
    world.crash(NODES[2], back_after=1.0)
    world.run(10.0)
    assert world.format == formats.FIRST
    world.upgrade(NODES[2])
    world.run(8.0)
    assert world.format == formats.GANGS
    ends_well(world)


def test_a_member_that_is_cut_off_during_the_roll_is_waited_for() -> None:
    world = serving()
    far = next(name for name in NODES if name != world.leader())
    others = [world.ip(name) for name in NODES if name != far]
    world.cut(world.ip(far), [*others, "10.2.0.1"], 30.0)
    for name in NODES:
        if name != far:
            world.upgrade(name)
            world.run(6.0)
    world.upgrade(far)
    world.run(8.0)
    assert world.format == formats.FIRST
    assert world.until(lambda: world.format == formats.GANGS, 30.0)
    ends_well(world)


def test_a_member_that_is_down_is_not_waited_for_once_it_was_heard() -> None:
    # The evidence outlives the leader that heard it: the next one reads it at the state service.
    world = serving(upgraded=NODES[:2])
    world.upgraded.add(NODES[2])
    while leader_of(world) not in NODES[:2]:
        change_leader(world)
    world.crash(NODES[2])
    world.run(3.0)
    assert world.format == formats.FIRST
    world.start(NODES[2])
    # Heard, and down before anything but that was done about it.
    assert world.until(lambda: NODES[2] in world.state.rows["formats"][0]["newest"], 10.0)
    world.crash(NODES[2])
    for name in NODES[:2]:
        world.crash(name, back_after=1.0)
    assert world.until(lambda: world.format == formats.GANGS, 30.0)


def test_the_raise_is_carried_out_and_its_answer_is_lost() -> None:
    world = serving(upgraded=NODES[:2])
    world.upgrade(NODES[2], back_after=2.0)
    world.lose_writes(0.7, 12.0, at_once=True)
    world.run(15.0)
    assert world.until(lambda: world.format == formats.GANGS, 20.0)
    world.submit(gang("j-000200", 4), run_time=3.0)
    ends_well(world)
    assert world.ask("j-000200")[1]["stage"] == wire.DONE


def test_late_transactions_of_production_after_the_raise_change_nothing() -> None:
    world = serving()
    world.lose_writes(0.5, 20.0)
    work_goes_on(world)
    world.roll(every=5.0)
    world.run(20.0)
    assert world.state.late
    assert world.until(lambda: world.format == formats.GANGS, 20.0)
    ends_well(world)


@pytest.mark.parametrize("when", ["quiet", "takeover", "lost_answers", "team_at_limit"])
def test_the_limits_fall_without_notice(when: str) -> None:
    # Production repeated a page that was too large for ever: nothing was accepted or told any more.
    world = serving()
    work_goes_on(world)
    world.roll(every=6.0)
    if when == "lost_answers":
        world.lose_writes(0.5, 10.0)
    if when == "team_at_limit":
        for number in range(12):
            world.submit(batch(f"j-{300 + number:06d}", 8), run_time=60.0, node=number)
        world.run(3.0)
        for number in range(12):
            world.cancel(f"j-{300 + number:06d}", number)
    world.lower_limits()
    if when == "takeover":
        change_leader(world)
    world.submit(gang("j-000200", 6), run_time=5.0)
    ends_well(world)
    assert world.ask("j-000200")[1]["stage"] == wire.DONE
    assert not world.state.over_limit


def test_limits_that_fall_unannounced_end_a_term_and_nothing_else() -> None:
    world = SimulatedCluster()
    world.state.enforce(8192, 32)
    for number in range(12):
        world.submit(spec(f"j-{number:06d}", tasks=4), node=number)
    world.run(40.0)
    before = dict(world.running)
    world.state.enforce(2048, 4, 15.0)
    for number in range(30):
        world.submit(batch(f"j-{200 + number:06d}", 4), run_time=5.0, node=number)
    world.run(40.0)
    assert world.state.over_limit
    assert {task: where for task, where in world.running.items() if task < "j-000100"} == before
    ends_well(world)
    for number in range(30):
        assert world.ask(f"j-{200 + number:06d}")[1]["stage"] == wire.DONE


def test_no_program_reads_a_ledger_of_a_newer_format(caplog: pytest.LogCaptureFixture) -> None:
    world = SimulatedCluster()
    world.submit(spec("j-000001", tasks=2))
    world.run(20.0)
    newest = max(key for key in world.state.rows if key.startswith("p/"))
    value, stamp, lease = world.state.rows[newest]
    world.state.rows[newest] = {"r": [*value["r"], ["V", 99]]}, stamp, lease
    before = dict(world.running)
    for name in NODES:
        world.crash(name, back_after=0.5)
    world.run(12.0)
    assert world.leader() is None
    refusals = [entry for entry in caplog.records if "event=leadership_refused" in entry.message]
    assert 1 <= len(refusals) <= len(NODES)
    # Workers are answered all the same, so their tasks stay.
    assert world.running == before


def test_the_lower_limits_bound_what_is_written() -> None:
    assert LOWER.value_bytes == 2048
    world = serving()
    world.roll(every=6.0)
    largest = max(
        len(msgspec.json.encode(value))
        for key, (value, stamp, _) in world.state.rows.items()
        if key.startswith("p/") and stamp > world.state.revision - 40
    )
    assert largest <= LOWER.value_bytes


def test_cleaning_ends_when_nothing_can_be_saved_by_it() -> None:
    # Found on a drawn day at the lower limits: pages were cleaned over and over, 3,900 of them, and
    # the state service had three times the usual changes. Here each page is half empty, since each
    # job is written into one, so what pages hold is well above what they mean.
    world = SimulatedCluster(
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
        world.submit(job, node=number)
    for number in range(120):
        # What they leave in the pages begins the cleaning.
        job = batch(f"j-{1000 + number:06d}", 12, image="img-1")
        world.after(30.0 + 0.3 * number, world.submit, job, 2.0, number)
    world.run(150.0)
    assert len(world.running) == 100 * 14
    before = world.state.changes
    world.run(60.0)
    assert world.state.changes - before < 60


@pytest.mark.parametrize("loses", [False, True])
def test_a_gang_that_production_placed_task_by_task_ends_after_the_raise(loses: bool) -> None:
    # Production took the word and replaced a lost task alone, under another attempt number: such
    # tasks never meet. Their attempts are given up once the format is raised.
    world = serving()
    world.submit(gang("j-000200", 3, cores=2.0), run_time=25.0)
    assert world.until(lambda: world.count("j-000200") == 3, 60)
    if loses:
        world.cloud.take(world.machine_of("j-000200/0"))
        world.run(3.0)
    world.roll(every=6.0)
    assert world.until(lambda: world.format == formats.GANGS, 20.0)
    ends_well(world, 120.0)
    assert world.ask("j-000200")[1]["stage"] == wire.DONE


def test_the_state_service_refuses_the_leader_alone_during_the_raise() -> None:
    world = serving(upgraded=NODES[:2])
    world.upgrade(NODES[2], back_after=1.0)
    world.run(1.0)
    world.refuse(leader_of(world), 8.0)
    assert world.until(lambda: world.format == formats.GANGS, 30.0)
    world.submit(gang("j-000200", 4), run_time=3.0)
    ends_well(world)
    assert world.ask("j-000200")[1]["stage"] == wire.DONE


def test_what_was_told_before_the_roll_is_told_after_it() -> None:
    world = serving()
    world.submit(batch("j-000300", 3), run_time=2.0)
    assert world.until(lambda: world.ask("j-000300")[1]["stage"] == wire.DONE, 60.0)
    world.cancel("j-000001")
    assert world.until(lambda: "j-000001" in world.told_cancelled, 30.0)
    world.roll(every=6.0)
    assert world.ask("j-000300")[1]["stage"] == wire.DONE
    assert world.ask("j-000001")[1]["stage"] == wire.ABORTED
    assert world.ask("j-000000")[1]["stage"] == wire.RUNNING
    for ref in ("j-000300", "j-000001", "j-000000"):
        world.look_closely(ref)
    world.run(3.0)


def test_a_burst_of_submissions_at_the_lower_rate_forgets_none() -> None:
    world = serving(upgraded=NODES)
    world.lower_limits()
    for number in range(200):
        world.submit(batch(f"j-{1000 + number:06d}", 1, image="img-1"), 1.0, number)
    assert world.until(lambda: len(world.accepted) == 207, 60.0)
    ends_well(world, 150.0)
    assert {world.rules.jobs[f"j-{1000 + number:06d}"].final_stage for number in range(200)} == {
        wire.DONE
    }
    assert not world.state.over_limit


def test_the_limits_fall_while_pages_are_cleaned() -> None:
    # Pages of production are said anew in small ones, under a leader that is replaced meanwhile.
    world = serving()
    for number in range(160):
        world.after(0.2 * number, world.submit, batch(f"j-{1000 + number:06d}", 6), 1.0, number)
    world.run(40.0)
    world.roll(every=5.0)
    cleaning = [False]

    def is_cleaning() -> bool:
        leader = world.leader()
        cleaning[0] = leader is not None and world.nodes[leader].ledger.is_compacting
        return cleaning[0]

    for number in range(160):
        world.after(0.2 * number, world.submit, batch(f"j-{3000 + number:06d}", 6), 1.0, number)
    assert world.until(is_cleaning, 60.0)
    world.lower_limits()
    change_leader(world)
    ends_well(world, 150.0)
    assert not world.state.over_limit
