"""Lent capacity is reclaimed while controllers, machines and the state service fail.

All tests check the protocol's rules and the audit of guarantees at every event, and that the
deadline of a reclaim never changes.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from flaxtally.leader.commands import CommandSender
from flaxtally.leader.reclaim.quota_reclaim import QuotaReclaim
from flaxtally.leader.reclaim.reclaim_admission import ReclaimAdmission
from flaxtally.leader.reconciliation.attempt_finisher import AttemptFinisher
from flaxtally.leader.scheduling.scheduler import Scheduler
from flaxtally.protocol import formats, wire
from flaxtally.settings import Settings, Team

from .scenarios import change_leader, cut_zone, ends_well, leader_of
from .simulated_cluster import NODES, SimulatedCluster, gang
from .simulated_lending import (
    CREW,
    FIVE,
    OTHERS,
    RECALL_S,
    SimulatedLendingCluster,
    borrowed_world,
    until,
    work,
)
from .simulated_upgrade import UpgradingCluster

if TYPE_CHECKING:
    from flaxtally.ledger.job import Job
    from flaxtally.ledger.placement import Placement
    from flaxtally.planning.fleet import Machine

TAKEOVER_S = 8.0
SLOW_SAVE: dict[str, Any] = {"checkpoint_save_s": 3.0}


def get_quota_reclaim(world: SimulatedCluster) -> QuotaReclaim:
    return world.nodes[leader_of(world)].leader.duties.quota_reclaim


def submit_lender_job(world: SimulatedLendingCluster, tasks: int = 8, node: int = 1) -> float:
    """Submits a job of the lender; returns the time."""
    world.submit(work("j-000200", tasks), run_time=400.0, node=node)
    return world.sim.time


def wait_for_lender_capacity(
    world: SimulatedLendingCluster, since: float, tasks: int = 8, extra_s: float = 0.0
) -> None:
    """Waits until the lender's tasks run: at most the recall time and `extra_s` after `since`."""
    until(
        world,
        lambda: world.count("j-000200") == tasks,
        since + RECALL_S + extra_s - world.sim.time,
    )


def wait_for_no_open_reclaim(world: SimulatedLendingCluster) -> None:
    until(world, lambda: not world.recalls(), 3 * RECALL_S)


# 1. The leader crashes at every step


Step = tuple[type, str, bool, Callable[..., bool]]


def is_stop(_: CommandSender, __: Machine, commands: list[wire.Command], ___: Any) -> bool:
    return any(command.verb == wire.STOP for command in commands)


def is_of_borrower(_: AttemptFinisher, placed: Placement, *__: Any) -> bool:
    return placed.job.spec.ref == "j-000100"


def is_of_lender(_: Scheduler, job: Job, *__: Any) -> bool:
    return job.spec.ref == "j-000200"


def always(*_: Any) -> bool:
    return True


STEPS: dict[str, Step] = {
    "decided": (QuotaReclaim, "_propose", True, always),
    "committed": (QuotaReclaim, "_stop_victims", False, always),
    "ordered": (CommandSender, "_send_batch", True, is_stop),
    "proven": (AttemptFinisher, "finish_attempt", True, is_of_borrower),
    "placing": (Scheduler, "place_task", False, is_of_lender),
}
"""The function called at a step, whether the leader crashes after the call or instead of it, and
which calls count.
"""


def crash_at(
    world: SimulatedCluster, step: Step, nth: int, monkeypatch: pytest.MonkeyPatch
) -> Callable[[], bool]:
    """Crashes the leader at the nth such call; the returned function tells if it has crashed."""
    owner, name, is_after, is_counted = step
    original: Callable[..., Any] = getattr(owner, name)
    calls = [0]

    def call_or_crash(self: Any, *rest: Any, **named: Any) -> Any:
        runtime = self.runtime
        if not is_counted(self, *rest):
            return original(self, *rest, **named)
        calls[0] += 1
        if calls[0] != nth:
            return original(self, *rest, **named)
        result = original(self, *rest, **named) if is_after else None
        node = next(name for name in world.names if world.ip(name) == runtime.ip)
        world.crash(node, back_after=6.0)
        return result

    monkeypatch.setattr(owner, name, call_or_crash)
    return lambda: calls[0] >= nth


@pytest.mark.parametrize("nth", range(1, 9))
@pytest.mark.parametrize("step", list(STEPS))
def test_a_reclaim_survives_a_crash_of_the_leader_at_any_step(
    step: str, nth: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against capacity that is reclaimed late or twice after a takeover. Eight tasks are
    # reclaimed: these are all the crash points of this seed's run.
    world = borrowed_world(seed=1, nodes=FIVE, most_s=RECALL_S + TAKEOVER_S)
    has_crashed = crash_at(world, STEPS[step], nth, monkeypatch)
    since = submit_lender_job(world, node=nth)
    wait_for_lender_capacity(world, since, extra_s=TAKEOVER_S)
    assert has_crashed()
    wait_for_no_open_reclaim(world)
    # A second stop for the same demand would be one too many.
    assert world.stops_of("j-000100") == 8, world.halted
    world.run(20.0)
    assert world.stops_of("j-000100") == 8, world.halted


# 2. and 3. The state service


@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("seed", [1, 2])
def test_the_commit_of_a_reclaim_gets_no_reply_and_another_leader_takes_over(
    at_once: bool, seed: int
) -> None:
    # The old leader doesn't know whether its records are stored: delayed copies of the writes must
    # not start or repeat a reclaim.
    world = borrowed_world(seed, most_s=RECALL_S + TAKEOVER_S + 12.0)
    world.lose_writes(1.0, 2.0, at_once)
    since = submit_lender_job(world)
    world.run(1.0)
    change_leader(world)
    wait_for_lender_capacity(world, since, extra_s=TAKEOVER_S + 12.0)
    wait_for_no_open_reclaim(world)
    assert world.stops_of("j-000100") == 8
    # The lender's job is cancelled: delayed copies of writes must not start a reclaim again.
    world.cancel("j-000200")
    world.run(20.0)
    assert not world.recalls()
    assert world.stops_of("j-000100") == 8


@pytest.mark.parametrize("seed", [1, 2])
def test_reclaims_survive_an_outage_of_the_state_service_longer_than_the_recall_time(
    seed: int,
) -> None:
    # The state service rejects first the leader, then all controllers: the next leader must finish
    # the same reclaims instead of starting others.
    world = SimulatedLendingCluster(seed, most_s=3 * RECALL_S + TAKEOVER_S)
    borrow(world, **SLOW_SAVE)
    submit_lender_job(world, 4)
    until(world, lambda: len(world.recalls()) == 4, 5)
    before = {reclaim.number: reclaim.deadline for reclaim in world.recalls().values()}
    world.refuse(leader_of(world), 8.0)
    world.run(6.0)
    world.outage(RECALL_S + 5.0)
    world.run(RECALL_S + 5.0)
    until(world, lambda: world.count("j-000200") == 4, TAKEOVER_S)
    wait_for_no_open_reclaim(world)
    assert world.deadlines == before, "the same reclaims, with the same deadlines"
    assert world.stops_of("j-000100") == 4


def borrow(
    world: SimulatedLendingCluster, tasks: int = 16, run_time: float = 300.0, **changes: Any
) -> None:
    """Has the team `others` use all GPUs."""
    world.submit(work("j-000100", tasks, "others", **changes), run_time=run_time)
    until(world, lambda: world.count("j-000100") == tasks, 60)
    until(world, lambda: world.book().format >= formats.LENDING, 30)
    world.run(5.0)


# 4. Versions, and controllers without the feature


@pytest.mark.parametrize("seed", [1, 2])
def test_a_leader_without_the_feature_finishes_reclaims_and_starts_none(seed: int) -> None:
    # While the feature is being enabled or disabled, controllers differ: open reclaims must still
    # be finished by whichever leads.
    world = SimulatedLendingCluster(seed, most_s=200.0)
    borrow(world, **SLOW_SAVE)
    submit_lender_job(world, 4)
    until(world, lambda: len(world.recalls()) == 4, 5)
    # The present leader has the feature; all others restart without it, one of which leads next.
    world.without = set(NODES) - {leader_of(world)}
    for name in world.without:
        world.crash(name, 0.2)
    world.run(1.0)
    second = change_leader(world)
    assert second in world.without
    until(world, lambda: world.count("j-000200") == 4, RECALL_S + TAKEOVER_S)
    wait_for_no_open_reclaim(world)
    started_count = len(world.deadlines)
    world.submit(work("j-000300", 2), run_time=100.0)
    world.run(RECALL_S + 5.0)
    assert len(world.deadlines) == started_count == 4, "none starts under this leader"
    world.without = set()
    for name in NODES:
        if name != second:
            world.crash(name, 0.2)
    world.run(1.0)
    assert change_leader(world, back_after=10.0) != second
    world.submit(work("j-000400", 2), run_time=100.0)
    until(world, lambda: world.count("j-000400") == 2, RECALL_S + TAKEOVER_S)
    assert len(world.deadlines) == started_count + 2
    assert world.stops_of("j-000100") == 8


class RollingCluster(UpgradingCluster, SimulatedLendingCluster):
    """Controllers run the version in production until they are upgraded, then one with lending."""


def test_a_rolling_upgrade_from_production_while_capacity_is_lent() -> None:
    # Until all controllers are upgraded, the new version must not write records of reclaims, which
    # the version in production can't read.
    world = RollingCluster(seed=3, most_s=200.0)
    world.submit(work("j-000100", 16, "others", checkpoint_save_s=1.0), run_time=400.0)
    until(world, lambda: world.count("j-000100") == 16, 60)
    # The version in production stops tasks one by one, without a record.
    submit_lender_job(world, 2)
    world.roll(8.0, NODES[:2])
    while leader_of(world) == NODES[2]:
        change_leader(world)
    world.submit(work("j-000300", 2), run_time=400.0)
    world.run(RECALL_S)
    # The new version leads and stops tasks like the old one, without records that it can't read.
    assert world.format == formats.FIRST
    assert not world.deadlines
    assert world.count("j-000200") == world.count("j-000300") == 2
    world.upgrade(NODES[2])
    until(world, lambda: world.format >= formats.LENDING, 30)
    world.submit(work("j-000400", 4), run_time=400.0)
    until(world, lambda: world.count("j-000400") == 4, RECALL_S + TAKEOVER_S)
    wait_for_no_open_reclaim(world)
    assert len(world.deadlines) == 4
    for ref in ("j-000200", "j-000300", "j-000400"):
        world.cancel(ref)
    ends_well(world, 20)


# 5. and 6. Several teams with demand at the same time


THREE_TEAMS = (CREW, Team("others", 0.0, 0.0, 4.0, 64.0), Team("third", 0.0, 0.0, 4.0, 64.0))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_teams_borrow_the_same_quota_while_the_lender_submits_work(seed: int) -> None:
    # The lender must get its quota back from two borrowers, neither of which falls below its own.
    world = SimulatedLendingCluster(seed, teams=THREE_TEAMS, most_s=RECALL_S + TAKEOVER_S)
    warm_up(world)
    world.submit(work("j-000100", 16, "others"), run_time=300.0, node=0)
    world.submit(work("j-000101", 16, "third"), run_time=300.0, node=1)
    world.after(0.4, submit_lender_job, world, 8, 2)
    world.run(1.0)
    wait_for_lender_capacity(world, world.sim.time)
    world.run(20.0)
    assert world.count("j-000100") >= 4, "its own quota"
    assert world.count("j-000101") >= 4
    assert world.count("j-000200") == 8
    wait_for_no_open_reclaim(world)


def warm_up(world: SimulatedLendingCluster) -> None:
    """Has all machines provisioned and idle, with the image fetched."""
    world.submit(work("j-000001", 16), run_time=1.0)
    until(world, lambda: len(world.rules.jobs["j-000001"].done) == 16, 90)
    until(world, lambda: world.book().format >= formats.LENDING, 30)


@pytest.mark.parametrize("seed", [1, 2])
def test_lender_and_borrower_submit_work_while_the_leader_is_frozen(seed: int) -> None:
    # The next leader sees both demands at once; the frozen one must not act on its old state when
    # it resumes.
    world = SimulatedLendingCluster(seed, most_s=RECALL_S + 2 * TAKEOVER_S)
    borrow(world, run_time=30.0)
    frozen = leader_of(world)
    world.freeze(frozen, 11.0)
    world.submit(work("j-000101", 16, "others"), run_time=300.0, node=0)
    since = submit_lender_job(world)
    wait_for_lender_capacity(world, since, extra_s=2 * TAKEOVER_S)
    world.run(20.0)
    assert world.count("j-000200") == 8
    wait_for_no_open_reclaim(world)
    world.cancel("j-000200")
    world.cancel("j-000101")
    ends_well(world, 60)


# 7. Faults of the borrowed machine


MACHINE_FAULTS: dict[str, Callable[[SimulatedLendingCluster, str], None]] = {
    "dies": lambda world, name: world.cloud.take(name),
    "hangs": lambda world, name: world.machine_trouble("hung", [name], 25.0),
    "is cut": lambda world, name: world.machine_trouble("cut", [name], 25.0),
    "is cut off with its zone": lambda world, name: world.after(
        25.0, cut_zone(world, world.workers[name].machine.zone)
    ),
    "gets a notice": lambda world, name: setattr(world.workers[name], "notice", 8.0),
}


@pytest.mark.parametrize("fault", list(MACHINE_FAULTS))
def test_a_reclaim_moves_when_the_borrowed_machine_fails(fault: str) -> None:
    # The capacity must come from another machine, under the same reclaim and within its deadline.
    world = SimulatedLendingCluster(2, capacity=2, most_s=RECALL_S + TAKEOVER_S)
    borrow(world, 32, **SLOW_SAVE)
    since = submit_lender_job(world, 2)
    until(world, lambda: len(world.recalls()) == 2, 5)
    before = world.recalls()
    machine = next(iter(before.values())).machine
    MACHINE_FAULTS[fault](world, machine)
    wait_for_lender_capacity(world, since, 2, extra_s=TAKEOVER_S)
    machines = {world.machine_of(f"j-000200/{task}") for task in range(2)}
    assert machine not in machines
    wait_for_no_open_reclaim(world)
    assert world.deadlines.keys() == before.keys(), "moved to another machine under the same number"


# 8. Late heartbeats, and late or lost commands


@pytest.mark.parametrize("seed", [1, 2])
def test_late_stops_and_heartbeats_do_not_affect_the_next_attempt(seed: int) -> None:
    # A stop that is repeated or delayed must not stop the task's next attempt, and an old heartbeat
    # must not count for it.
    world = SimulatedLendingCluster(seed, most_s=RECALL_S + 20.0)
    borrow(world)
    world.copy_reports(0.5, 30.0)
    # The machine's replies are late: stops are sent to it repeatedly, and delayed.
    machine = sorted(world.workers)[0]
    world.after(0.02, world.machine_trouble, "cut", [machine], 4.0)
    since = submit_lender_job(world)
    wait_for_lender_capacity(world, since, extra_s=10.0)
    wait_for_no_open_reclaim(world)
    world.cancel("j-000200")
    until(world, lambda: world.count("j-000100") == 16, 30)
    stops = world.stops_of("j-000100")
    assert stops >= 8
    quota_reclaim, seen = get_quota_reclaim(world), list(world.seen.values())
    assert len(seen) >= 8
    assert not any(
        quota_reclaim.open_reclaims.find_remaining_victims(reclaim) for reclaim in seen
    ), "the reclaims name the first attempts"
    world.run(40.0)
    assert world.copies > 10
    assert world.stops_of("j-000100") == stops, "a stop of the first attempt stopped the second"
    assert world.count("j-000100") == 16


def test_a_lost_stop_is_sent_again() -> None:
    # A lost command must not delay a reclaim until its deadline.
    world = SimulatedLendingCluster(1)
    borrow(world)
    # One command to each machine, and its reply, are lost.
    world.machine_trouble("deaf", sorted(world.workers), 2.3)
    since = submit_lender_job(world, 2)
    wait_for_lender_capacity(world, since, 2, extra_s=-4.0)
    assert world.stops_of("j-000100") == 2
    wait_for_no_open_reclaim(world)


# 9. Demand that disappears


@pytest.mark.parametrize("cause", ["cancelled", "placed elsewhere"])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_task_is_stopped_for_demand_that_disappeared(
    cause: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A demand that is cancelled or served elsewhere while its reclaim is being committed must not
    # cost the borrower tasks.
    world = SimulatedLendingCluster(seed)
    borrow(world)
    may_start = [False]
    monkeypatch.setattr(ReclaimAdmission, "may_start", lambda *_: may_start[0])
    submit_lender_job(world, 2)
    world.run(3.5)
    world.slow_state(1.0, 6.0)
    may_start[0] = True
    until(world, lambda: len(get_quota_reclaim(world).open_reclaims) == 2, 5)
    assert not world.recalls(), "proposed, and not committed"
    if cause == "cancelled":
        world.cancel("j-000200")
        world.run(10.0)
    else:
        # Two of the borrower's tasks finish by themselves.
        worker = world.workers[sorted(world.workers)[0]]
        for held in list(worker.tasks.values())[:2]:
            worker.exit(held, wire.CAUSE_DONE)
        until(world, lambda: world.count("j-000200") == 2, 10)
    assert world.stops_of("j-000100") == 0
    wait_for_no_open_reclaim(world)


# 10. Checkpoints and gangs


@pytest.mark.parametrize("run_s", [4.5, 5.0, 5.5])
def test_tasks_reclaimed_around_a_checkpoint_are_spared_by_the_next_reclaim(run_s: float) -> None:
    # Guards against reclaims that stop the same tasks again before their next checkpoint.
    world = SimulatedLendingCluster(1, most_s=RECALL_S + 1.0)
    warm_up(world)
    world.submit(
        work("j-000100", 16, "others", checkpoint_interval_s=10.0, **SLOW_SAVE), run_time=300.0
    )
    until(world, lambda: world.count("j-000100") == 16, 30)
    world.run(run_s)
    since = submit_lender_job(world, 2)
    wait_for_lender_capacity(world, since, 2)
    first = {task for _, task, _ in world.halted}
    world.cancel("j-000200")
    until(world, lambda: world.count("j-000100") == 16, 10)
    world.halted = [entry for entry in world.halted if entry[1].startswith("j-000100/")]
    # Within their checkpoint interval, the tasks of the first reclaim are not stopped again.
    world.submit(work("j-000300", 2), run_time=30.0)
    until(world, lambda: world.count("j-000300") == 2, RECALL_S)
    second = {task for _, task, _ in world.halted} - first
    assert len(first) == len(second) == 2
    assert world.stops_of("j-000100") == 4


def test_a_borrowing_gang_is_stopped_though_one_machine_receives_no_replies() -> None:
    # A gang is stopped as a whole: the capacity of the other machines must not wait indefinitely.
    world = SimulatedLendingCluster(2, most_s=2 * RECALL_S)
    warm_up(world)
    gang_spec = gang("j-000100", 16, team="others", gpus=1.0, one_zone=False, rank="standard")
    world.submit(msgspec.structs.replace(gang_spec, cores=3.0, memory_gb=16.0), run_time=300.0)
    until(world, lambda: world.count("j-000100") == 16, 30)
    world.run(3.0)
    without_replies = sorted(world.workers)[0]
    since = submit_lender_job(world, 8)
    until(world, lambda: bool(world.recalls()), 8)
    world.machine_trouble("deaf", [without_replies], 6.0)
    wait_for_lender_capacity(world, since, 8, extra_s=RECALL_S)
    wait_for_no_open_reclaim(world)


# 11. More teams, and a quota that is lowered


TEAMS_IN_TURN = tuple(Team(name, 0.0, 0.0, 4.0, 64.0) for name in ("crew", "others", "third"))
TEAM_WITHOUT_QUOTA = Team("guests", 0.0, 0.0, 0.0, 0.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_three_teams_lend_in_turn_beside_one_without_a_quota(seed: int) -> None:
    # Each team is lender, borrower and lender again: reclaims must not block each other or remain.
    world = SimulatedLendingCluster(
        seed, teams=(*TEAMS_IN_TURN, TEAM_WITHOUT_QUOTA), most_s=RECALL_S
    )
    warm_up(world)
    for turn in range(6):
        # In each turn another team submits demand for more than its quota.
        team = TEAMS_IN_TURN[turn % 3].name
        world.submit(work(f"j-000{turn + 1}00", 12, team), run_time=300.0, node=turn)
        world.submit(work(f"j-000{turn + 1}50", 8, "guests"), run_time=20.0)
        world.run(20.0)
        if turn > 1:
            world.cancel(f"j-000{turn - 1}00", turn)
    world.run(10.0)
    wait_for_no_open_reclaim(world)
    assert len(world.deadlines) > 4


class LoweredQuotaCluster(SimulatedLendingCluster):
    """Some controllers have a settings file with a lower quota of `crew`."""

    lowered: frozenset[str] = frozenset()
    lowered_to = 2.0

    def settings_of(self, node: str) -> Settings:
        settings = super().settings_of(node)
        if node not in self.lowered:
            return settings
        lowered_teams = {**settings.teams, "crew": Team("crew", 0.0, 0.0, self.lowered_to, 64.0)}
        return dataclasses.replace(settings, teams=lowered_teams)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_quota_is_lowered_while_it_is_being_reclaimed(seed: int) -> None:
    # Reclaims beyond the new quota must end, and no task may be stopped without use.
    world = LoweredQuotaCluster(seed, most_s=500.0)
    borrow(world, **SLOW_SAVE)
    submit_lender_job(world, 8)
    until(world, lambda: len(world.recalls()) > 1, 5)
    for name in NODES:
        world.lowered |= {name}
        world.crash(name, 0.5)
        world.run(10.0)
    wait_for_no_open_reclaim(world)
    granted_count = world.count("j-000200")
    assert 2 <= granted_count <= 8
    assert world.stops_of("j-000100") == granted_count, (
        "each stopped task freed capacity that is used"
    )


def test_a_quota_is_removed_before_any_stop_is_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    # The next leader's settings grant the lender nothing: its committed reclaims must be withdrawn.
    world = LoweredQuotaCluster(1, most_s=500.0)
    world.lowered_to = 0.0
    borrow(world)
    first = leader_of(world)
    world.lowered = frozenset(NODES) - {first}
    for name in world.lowered:
        world.crash(name, 0.2)
    world.run(2.0)
    has_crashed = crash_at(world, STEPS["committed"], 1, monkeypatch)
    submit_lender_job(world, 2)
    until(world, has_crashed, 5)
    assert world.recalls()
    wait_for_no_open_reclaim(world)
    assert leader_of(world) != first
    assert world.stops_of("j-000100") == 0


# 12. Many small jobs


def test_many_small_jobs_of_a_borrower_while_its_loans_are_reclaimed() -> None:
    # Bounds the reclaims, the pages of the ledger and the writes per second.
    world = SimulatedLendingCluster(1, teams=(CREW, OTHERS), most_s=RECALL_S + 4.0)
    warm_up(world)
    max_pages = max_reclaims = 0
    writes = world.state.changes
    for second in range(60):
        for number in range(4):
            ref = f"j-{10000 + 4 * second + number:06d}"
            world.submit(work(ref, 1, "others"), run_time=6.0, node=number)
            if number == 0:
                world.after(2.5, world.cancel, ref, second)
        if second % 10 == 5:
            world.submit(work(f"j-{500 + second:06d}", 8), run_time=4.0, node=second)
        world.run(1.0)
        max_pages = max(max_pages, sum(key.startswith("p/") for key in world.state.rows))
        max_reclaims = max(max_reclaims, len(world.recalls()))
    assert len(world.deadlines) > 8, "loans were reclaimed"
    assert max_reclaims <= 8, "no more than the pending tasks"
    assert max_pages <= 24
    assert (world.state.changes - writes) / 60 < 30.0
    until(world, lambda: not world.recalls(), 30)
