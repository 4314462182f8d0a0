"""Loans are recalled while controllers, machines and the state service fail.

In all of them the protocol's rules and the audit of guarantees are checked at every event, and a
recall's deadline must never change. Each test fails without what it is about: the commit says what
was tried.
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


def lending_of(world: SimulatedCluster) -> QuotaReclaim:
    return world.nodes[leader_of(world)].leader.duties.quota_reclaim


def returns(world: SimulatedLendingCluster, tasks: int = 8, node: int = 1) -> float:
    """The lender has work again; returns when."""
    world.submit(work("j-000200", tasks), run_time=400.0, node=node)
    return world.sim.time


def gets_room(
    world: SimulatedLendingCluster, since: float, tasks: int = 8, more: float = 0.0
) -> None:
    """The lender has all its room within the recall time, or as much later as is said."""
    until(
        world,
        lambda: world.count("j-000200") == tasks,
        since + RECALL_S + more - world.sim.time,
    )


def no_recall_is_left(world: SimulatedLendingCluster) -> None:
    until(world, lambda: not world.recalls(), 3 * RECALL_S)


# 1. The leader ends at every step


Step = tuple[type, str, bool, Callable[..., bool]]


def is_stop(_: CommandSender, __: Machine, commands: list[wire.Command], ___: Any) -> bool:
    return any(command.verb == wire.STOP for command in commands)


def of_borrower(_: AttemptFinisher, placed: Placement, *__: Any) -> bool:
    return placed.job.spec.ref == "j-000100"


def of_lender(_: Scheduler, job: Job, *__: Any) -> bool:
    return job.spec.ref == "j-000200"


def always(*_: Any) -> bool:
    return True


STEPS: dict[str, Step] = {
    "decided": (QuotaReclaim, "_propose", True, always),
    "committed": (QuotaReclaim, "_stop_victims", False, always),
    "ordered": (CommandSender, "_send_batch", True, is_stop),
    "proven": (AttemptFinisher, "finish_attempt", True, of_borrower),
    "placing": (Scheduler, "place_task", False, of_lender),
}
"""What is called, and whether the leader ends after or in place of the call."""


def crash_at(
    world: SimulatedCluster, step: Step, nth: int, monkeypatch: pytest.MonkeyPatch
) -> Callable[[], bool]:
    """The leader's process ends at the nth such call; gives whether it did."""
    owner, name, is_after, counts = step
    whole: Callable[..., Any] = getattr(owner, name)
    calls = [0]

    def ends(self: Any, *rest: Any, **named: Any) -> Any:
        host = self.runtime
        if not counts(self, *rest):
            return whole(self, *rest, **named)
        calls[0] += 1
        if calls[0] != nth:
            return whole(self, *rest, **named)
        result = whole(self, *rest, **named) if is_after else None
        node = next(name for name in world.names if world.ip(name) == host.ip)
        world.crash(node, back_after=6.0)
        return result

    monkeypatch.setattr(owner, name, ends)
    return lambda: calls[0] >= nth


@pytest.mark.parametrize("nth", range(1, 9))
@pytest.mark.parametrize("step", list(STEPS))
def test_the_leader_ends_at_any_step_of_a_recall(
    step: str, nth: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Eight tasks are recalled: these are all the crash points of this seed's run.
    world = borrowed_world(seed=1, nodes=FIVE, most_s=RECALL_S + TAKEOVER_S)
    has_ended = crash_at(world, STEPS[step], nth, monkeypatch)
    since = returns(world, node=nth)
    gets_room(world, since, more=TAKEOVER_S)
    assert has_ended()
    no_recall_is_left(world)
    # A second task for the same demand would be one too many.
    assert world.stops_of("j-000100") == 8, world.halted
    world.run(20.0)
    assert world.stops_of("j-000100") == 8, world.halted


# 2. and 3. The state service


@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_recalls_commit_gets_no_answer_while_another_takes_over(at_once: bool, seed: int) -> None:
    world = borrowed_world(seed, most_s=RECALL_S + TAKEOVER_S + 12.0)
    world.lose_writes(1.0, 2.0, at_once)
    since = returns(world)
    world.run(1.0)
    change_leader(world)
    gets_room(world, since, more=TAKEOVER_S + 12.0)
    no_recall_is_left(world)
    assert world.stops_of("j-000100") == 8
    # The lender's work ends, and whatever copies are late by then begin nothing anew.
    world.cancel("j-000200")
    world.run(20.0)
    assert not world.recalls()
    assert world.stops_of("j-000100") == 8


@pytest.mark.parametrize("seed", [1, 2])
def test_the_state_service_refuses_the_leader_and_then_all_for_longer_than_the_recall(
    seed: int,
) -> None:
    world = SimulatedLendingCluster(seed, most_s=3 * RECALL_S + TAKEOVER_S)
    borrow(world, **SLOW_SAVE)
    returns(world, 4)
    until(world, lambda: len(world.recalls()) == 4, 5)
    before = {recall.number: recall.deadline for recall in world.recalls().values()}
    world.refuse(leader_of(world), 8.0)
    world.run(6.0)
    world.outage(RECALL_S + 5.0)
    world.run(RECALL_S + 5.0)
    until(world, lambda: world.count("j-000200") == 4, TAKEOVER_S)
    no_recall_is_left(world)
    assert world.deadlines == before, "the same recalls, with the same deadlines"
    assert world.stops_of("j-000100") == 4


def borrow(
    world: SimulatedLendingCluster, tasks: int = 16, run_time: float = 300.0, **changes: Any
) -> None:
    """The team `others` takes all there is."""
    world.submit(work("j-000100", tasks, "others", **changes), run_time=run_time)
    until(world, lambda: world.count("j-000100") == tasks, 60)
    until(world, lambda: world.book().format >= formats.LENDING, 30)
    world.run(5.0)


# 4. Versions, and controllers without the feature


@pytest.mark.parametrize("seed", [1, 2])
def test_a_leader_without_the_feature_finishes_recalls_and_begins_none(seed: int) -> None:
    world = SimulatedLendingCluster(seed, most_s=200.0)
    borrow(world, **SLOW_SAVE)
    returns(world, 4)
    until(world, lambda: len(world.recalls()) == 4, 5)
    # Whoever leads next lacks the feature; who leads now has it.
    world.without = set(NODES) - {leader_of(world)}
    for name in world.without:
        world.crash(name, 0.2)
    world.run(1.0)
    second = change_leader(world)
    assert second in world.without
    until(world, lambda: world.count("j-000200") == 4, RECALL_S + TAKEOVER_S)
    no_recall_is_left(world)
    begun = len(world.deadlines)
    world.submit(work("j-000300", 2), run_time=100.0)
    world.run(RECALL_S + 5.0)
    assert len(world.deadlines) == begun == 4, "none begins under this leader"
    world.without = set()
    for name in NODES:
        if name != second:
            world.crash(name, 0.2)
    world.run(1.0)
    assert change_leader(world, back_after=10.0) != second
    world.submit(work("j-000400", 2), run_time=100.0)
    until(world, lambda: world.count("j-000400") == 2, RECALL_S + TAKEOVER_S)
    assert len(world.deadlines) == begun + 2
    assert world.stops_of("j-000100") == 8


class RollingWorld(UpgradingCluster, SimulatedLendingCluster):
    """Controllers of the version in production until their turn; then with lending."""


def test_a_rolling_upgrade_from_production_in_the_middle_of_a_loan() -> None:
    world = RollingWorld(seed=3, most_s=200.0)
    world.submit(work("j-000100", 16, "others", checkpoint_save_s=1.0), run_time=400.0)
    until(world, lambda: world.count("j-000100") == 16, 60)
    # Production stops tasks one by one, with no record of it.
    returns(world, 2)
    world.roll(8.0, NODES[:2])
    while leader_of(world) == NODES[2]:
        change_leader(world)
    world.submit(work("j-000300", 2), run_time=400.0)
    world.run(RECALL_S)
    # The new version leads, and stops tasks as before: no record that the old one can't read.
    assert world.format == formats.FIRST
    assert not world.deadlines
    assert world.count("j-000200") == world.count("j-000300") == 2
    world.upgrade(NODES[2])
    until(world, lambda: world.format >= formats.LENDING, 30)
    world.submit(work("j-000400", 4), run_time=400.0)
    until(world, lambda: world.count("j-000400") == 4, RECALL_S + TAKEOVER_S)
    no_recall_is_left(world)
    assert len(world.deadlines) == 4
    for ref in ("j-000200", "j-000300", "j-000400"):
        world.cancel(ref)
    ends_well(world, 20)


# 5. and 6. Teams that come at once


THREE = (CREW, Team("others", 0.0, 0.0, 4.0, 64.0), Team("third", 0.0, 0.0, 4.0, 64.0))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_teams_borrow_the_same_guarantee_as_the_lender_returns(seed: int) -> None:
    world = SimulatedLendingCluster(seed, teams=THREE, most_s=RECALL_S + TAKEOVER_S)
    warm_up(world)
    world.submit(work("j-000100", 16, "others"), run_time=300.0, node=0)
    world.submit(work("j-000101", 16, "third"), run_time=300.0, node=1)
    world.after(0.4, returns, world, 8, 2)
    world.run(1.0)
    gets_room(world, world.sim.time)
    world.run(20.0)
    assert world.count("j-000100") >= 4, "its own guarantee"
    assert world.count("j-000101") >= 4
    assert world.count("j-000200") == 8
    no_recall_is_left(world)


def warm_up(world: SimulatedLendingCluster) -> None:
    """All machines are there and idle, with the image."""
    world.submit(work("j-000001", 16), run_time=1.0)
    until(world, lambda: len(world.rules.jobs["j-000001"].done) == 16, 90)
    until(world, lambda: world.book().format >= formats.LENDING, 30)


@pytest.mark.parametrize("seed", [1, 2])
def test_lender_and_borrower_return_as_the_leader_stands_still(seed: int) -> None:
    world = SimulatedLendingCluster(seed, most_s=RECALL_S + 2 * TAKEOVER_S)
    borrow(world, run_time=30.0)
    frozen = leader_of(world)
    world.freeze(frozen, 11.0)
    world.submit(work("j-000101", 16, "others"), run_time=300.0, node=0)
    since = returns(world)
    gets_room(world, since, more=2 * TAKEOVER_S)
    world.run(20.0)
    assert world.count("j-000200") == 8
    no_recall_is_left(world)
    world.cancel("j-000200")
    world.cancel("j-000101")
    ends_well(world, 60)


# 7. The borrowed machine


TROUBLES: dict[str, Callable[[SimulatedLendingCluster, str], None]] = {
    "dies": lambda world, name: world.cloud.take(name),
    "hangs": lambda world, name: world.machine_trouble("hung", [name], 25.0),
    "is cut": lambda world, name: world.machine_trouble("cut", [name], 25.0),
    "is cut off with its zone": lambda world, name: world.after(
        25.0, cut_zone(world, world.workers[name].machine.zone)
    ),
    "gets a notice": lambda world, name: setattr(world.workers[name], "notice", 8.0),
}


@pytest.mark.parametrize("trouble", list(TROUBLES))
def test_the_borrowed_machine_fails_during_the_recall(trouble: str) -> None:
    world = SimulatedLendingCluster(2, capacity=2, most_s=RECALL_S + TAKEOVER_S)
    borrow(world, 32, **SLOW_SAVE)
    since = returns(world, 2)
    until(world, lambda: len(world.recalls()) == 2, 5)
    before = world.recalls()
    machine = next(iter(before.values())).machine
    TROUBLES[trouble](world, machine)
    gets_room(world, since, 2, more=TAKEOVER_S)
    on = {world.machine_of(f"j-000200/{task}") for task in range(2)}
    assert machine not in on
    no_recall_is_left(world)
    assert world.deadlines.keys() == before.keys(), "sought elsewhere under the same number"


# 8. Late reports and orders


@pytest.mark.parametrize("seed", [1, 2])
def test_a_late_stop_and_late_reports_meet_the_next_attempt(seed: int) -> None:
    world = SimulatedLendingCluster(seed, most_s=RECALL_S + 20.0)
    borrow(world)
    world.copy_reports(0.5, 30.0)
    # The machine's answers are late: its stops are sent again and again, and held.
    machine = sorted(world.workers)[0]
    world.after(0.02, world.machine_trouble, "cut", [machine], 4.0)
    since = returns(world)
    gets_room(world, since, more=10.0)
    no_recall_is_left(world)
    world.cancel("j-000200")
    until(world, lambda: world.count("j-000100") == 16, 30)
    stops = world.stops_of("j-000100")
    assert stops >= 8
    lending, seen = lending_of(world), list(world.seen.values())
    assert len(seen) >= 8
    assert not any(lending.open_reclaims.find_remaining_victims(recall) for recall in seen), (
        "they name the first attempts"
    )
    world.run(40.0)
    assert world.copies > 10
    assert world.stops_of("j-000100") == stops, "a stop of the first attempt ends the second"
    assert world.count("j-000100") == 16


def test_a_stop_that_gets_lost_is_sent_again() -> None:
    world = SimulatedLendingCluster(1)
    borrow(world)
    # One order to each machine, and its answer, are lost.
    world.machine_trouble("deaf", sorted(world.workers), 2.3)
    since = returns(world, 2)
    gets_room(world, since, 2, more=-4.0)
    assert world.stops_of("j-000100") == 2
    no_recall_is_left(world)


# 9. Who has no need any more


@pytest.mark.parametrize("how", ["cancelled", "placed elsewhere"])
@pytest.mark.parametrize("seed", [1, 2])
def test_nobody_is_stopped_for_a_demand_that_went_away(
    how: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = SimulatedLendingCluster(seed)
    borrow(world)
    may_begin = [False]
    monkeypatch.setattr(ReclaimAdmission, "may_start", lambda *_: may_begin[0])
    returns(world, 2)
    world.run(3.5)
    world.slow_state(1.0, 6.0)
    may_begin[0] = True
    until(world, lambda: len(lending_of(world).open_reclaims) == 2, 5)
    assert not world.recalls(), "decided, and not committed"
    if how == "cancelled":
        world.cancel("j-000200")
        world.run(10.0)
    else:
        # Two of the borrower's tasks end by themselves.
        worker = world.workers[sorted(world.workers)[0]]
        for held in list(worker.tasks.values())[:2]:
            worker.exit(held, wire.CAUSE_DONE)
        until(world, lambda: world.count("j-000200") == 2, 10)
    assert world.stops_of("j-000100") == 0
    no_recall_is_left(world)


# 10. Checkpoints and gangs


@pytest.mark.parametrize("ran", [4.5, 5.0, 5.5])
def test_a_loan_is_recalled_around_a_checkpoint(ran: float) -> None:
    world = SimulatedLendingCluster(1, most_s=RECALL_S + 1.0)
    warm_up(world)
    world.submit(
        work("j-000100", 16, "others", checkpoint_interval_s=10.0, **SLOW_SAVE), run_time=300.0
    )
    until(world, lambda: world.count("j-000100") == 16, 30)
    world.run(ran)
    since = returns(world, 2)
    gets_room(world, since, 2)
    first = {task for _, task, _ in world.halted}
    world.cancel("j-000200")
    until(world, lambda: world.count("j-000100") == 16, 10)
    world.halted = [entry for entry in world.halted if entry[1].startswith("j-000100/")]
    # The same tasks are spared within their checkpoint interval.
    world.submit(work("j-000300", 2), run_time=30.0)
    until(world, lambda: world.count("j-000300") == 2, RECALL_S)
    second = {task for _, task, _ in world.halted} - first
    assert len(first) == len(second) == 2
    assert world.stops_of("j-000100") == 4


def test_a_gang_as_borrower_whose_machines_answer_only_in_part() -> None:
    world = SimulatedLendingCluster(2, most_s=2 * RECALL_S)
    warm_up(world)
    both = gang("j-000100", 16, team="others", gpus=1.0, one_zone=False, rank="standard")
    world.submit(msgspec.structs.replace(both, cores=3.0, memory_gb=16.0), run_time=300.0)
    until(world, lambda: world.count("j-000100") == 16, 30)
    world.run(3.0)
    deaf = sorted(world.workers)[0]
    since = returns(world, 8)
    until(world, lambda: bool(world.recalls()), 8)
    world.machine_trouble("deaf", [deaf], 6.0)
    gets_room(world, since, 8, more=RECALL_S)
    no_recall_is_left(world)


# 11. More teams, and a guarantee that is lowered


CIRCLE = tuple(Team(name, 0.0, 0.0, 4.0, 64.0) for name in ("crew", "others", "third"))
GUESTS = Team("guests", 0.0, 0.0, 0.0, 0.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_three_teams_in_a_circle_and_one_without_a_guarantee(seed: int) -> None:
    world = SimulatedLendingCluster(seed, teams=(*CIRCLE, GUESTS), most_s=RECALL_S)
    warm_up(world)
    for turn in range(6):
        # In each turn another team has all demand, then the next one comes back.
        team = CIRCLE[turn % 3].name
        world.submit(work(f"j-000{turn + 1}00", 12, team), run_time=300.0, node=turn)
        world.submit(work(f"j-000{turn + 1}50", 8, "guests"), run_time=20.0)
        world.run(20.0)
        if turn > 1:
            world.cancel(f"j-000{turn - 1}00", turn)
    world.run(10.0)
    no_recall_is_left(world)
    assert len(world.deadlines) > 4


class LoweredWorld(SimulatedLendingCluster):
    """Some controllers have a settings file in which `crew` is guaranteed less."""

    lowered: frozenset[str] = frozenset()
    lowered_to = 2.0

    def settings_of(self, node: str) -> Settings:
        settings = super().settings_of(node)
        if node not in self.lowered:
            return settings
        less = {**settings.teams, "crew": Team("crew", 0.0, 0.0, self.lowered_to, 64.0)}
        return dataclasses.replace(settings, teams=less)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_guarantee_is_lowered_while_it_is_owed(seed: int) -> None:
    world = LoweredWorld(seed, most_s=500.0)
    borrow(world, **SLOW_SAVE)
    returns(world, 8)
    until(world, lambda: len(world.recalls()) > 1, 5)
    for name in NODES:
        world.lowered |= {name}
        world.crash(name, 0.5)
        world.run(10.0)
    no_recall_is_left(world)
    given = world.count("j-000200")
    assert 2 <= given <= 8
    assert world.stops_of("j-000100") == given, "whoever was stopped made room"


def test_a_guarantee_is_gone_before_anybody_was_told(monkeypatch: pytest.MonkeyPatch) -> None:
    world = LoweredWorld(1, most_s=500.0)
    world.lowered_to = 0.0
    borrow(world)
    first = leader_of(world)
    world.lowered = frozenset(NODES) - {first}
    for name in world.lowered:
        world.crash(name, 0.2)
    world.run(2.0)
    has_ended = crash_at(world, STEPS["committed"], 1, monkeypatch)
    returns(world, 2)
    until(world, has_ended, 5)
    assert world.recalls()
    no_recall_is_left(world)
    assert leader_of(world) != first
    assert world.stops_of("j-000100") == 0


# 12. Many small jobs


def test_small_jobs_of_a_borrower_come_and_go_while_its_loans_are_recalled() -> None:
    world = SimulatedLendingCluster(1, teams=(CREW, OTHERS), most_s=RECALL_S + 4.0)
    warm_up(world)
    most_pages = most_recalls = 0
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
        most_pages = max(most_pages, sum(key.startswith("p/") for key in world.state.rows))
        most_recalls = max(most_recalls, len(world.recalls()))
    assert len(world.deadlines) > 8, "loans were recalled"
    assert most_recalls <= 8, "no more than tasks that waited for it"
    assert most_pages <= 24
    assert (world.state.changes - writes) / 60 < 30.0
    until(world, lambda: not world.recalls(), 30)
