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

from .scenarios import change_leader, check_final_state, cut_zone, wait_for_leader
from .simulated_cluster import NODES, SimulatedCluster, gang
from .simulated_lending import (
    CREW,
    FIVE_NODES,
    OTHERS,
    RECLAIM_DEADLINE_S,
    SimulatedLendingCluster,
    gpu_array,
    run_until,
    start_cluster_with_loans,
)
from .simulated_upgrade import UpgradingCluster

if TYPE_CHECKING:
    from flaxtally.ledger.job import Job
    from flaxtally.ledger.placement import Placement
    from flaxtally.planning.fleet import Machine

TAKEOVER_S = 8.0
SLOW_SAVE: dict[str, Any] = {"checkpoint_save_s": 3.0}


def lending_of(cluster: SimulatedCluster) -> QuotaReclaim:
    return cluster.nodes[wait_for_leader(cluster)].leader.duties.quota_reclaim


def returns(cluster: SimulatedLendingCluster, tasks: int = 8, node: int = 1) -> float:
    """The lender has work again; returns when."""
    cluster.submit(gpu_array("j-000200", tasks), run_time=400.0, node=node)
    return cluster.sim.time


def gets_room(
    cluster: SimulatedLendingCluster, since: float, tasks: int = 8, more: float = 0.0
) -> None:
    """The lender has all its room within the recall time, or as much later as is said."""
    run_until(
        cluster,
        lambda: cluster.count("j-000200") == tasks,
        since + RECLAIM_DEADLINE_S + more - cluster.sim.time,
    )


def no_recall_is_left(cluster: SimulatedLendingCluster) -> None:
    run_until(cluster, lambda: not cluster.recalls(), 3 * RECLAIM_DEADLINE_S)


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
    cluster: SimulatedCluster, step: Step, nth: int, monkeypatch: pytest.MonkeyPatch
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
        node = next(name for name in cluster.names if cluster.ip(name) == host.ip)
        cluster.crash(node, back_after=6.0)
        return result

    monkeypatch.setattr(owner, name, ends)
    return lambda: calls[0] >= nth


@pytest.mark.parametrize("nth", range(1, 9))
@pytest.mark.parametrize("step", list(STEPS))
def test_the_leader_ends_at_any_step_of_a_recall(
    step: str, nth: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Eight tasks are recalled: these are all the crash points of this seed's run.
    cluster = start_cluster_with_loans(
        seed=1, nodes=FIVE_NODES, max_reclaim_s=RECLAIM_DEADLINE_S + TAKEOVER_S
    )
    has_ended = crash_at(cluster, STEPS[step], nth, monkeypatch)
    since = returns(cluster, node=nth)
    gets_room(cluster, since, more=TAKEOVER_S)
    assert has_ended()
    no_recall_is_left(cluster)
    # A second task for the same demand would be one too many.
    assert cluster.count_stops("j-000100") == 8, cluster.stopped_tasks
    cluster.run(20.0)
    assert cluster.count_stops("j-000100") == 8, cluster.stopped_tasks


# 2. and 3. The state service


@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_recalls_commit_gets_no_answer_while_another_takes_over(at_once: bool, seed: int) -> None:
    cluster = start_cluster_with_loans(seed, max_reclaim_s=RECLAIM_DEADLINE_S + TAKEOVER_S + 12.0)
    cluster.lose_writes(1.0, 2.0, at_once)
    since = returns(cluster)
    cluster.run(1.0)
    change_leader(cluster)
    gets_room(cluster, since, more=TAKEOVER_S + 12.0)
    no_recall_is_left(cluster)
    assert cluster.count_stops("j-000100") == 8
    # The lender's work ends, and whatever copies are late by then begin nothing anew.
    cluster.cancel("j-000200")
    cluster.run(20.0)
    assert not cluster.recalls()
    assert cluster.count_stops("j-000100") == 8


@pytest.mark.parametrize("seed", [1, 2])
def test_the_state_service_refuses_the_leader_and_then_all_for_longer_than_the_recall(
    seed: int,
) -> None:
    cluster = SimulatedLendingCluster(seed, max_reclaim_s=3 * RECLAIM_DEADLINE_S + TAKEOVER_S)
    borrow(cluster, **SLOW_SAVE)
    returns(cluster, 4)
    run_until(cluster, lambda: len(cluster.recalls()) == 4, 5)
    before = {recall.number: recall.deadline for recall in cluster.recalls().values()}
    cluster.refuse(wait_for_leader(cluster), 8.0)
    cluster.run(6.0)
    cluster.start_state_outage(RECLAIM_DEADLINE_S + 5.0)
    cluster.run(RECLAIM_DEADLINE_S + 5.0)
    run_until(cluster, lambda: cluster.count("j-000200") == 4, TAKEOVER_S)
    no_recall_is_left(cluster)
    assert cluster.deadlines == before, "the same recalls, with the same deadlines"
    assert cluster.count_stops("j-000100") == 4


def borrow(
    cluster: SimulatedLendingCluster, tasks: int = 16, run_time: float = 300.0, **changes: Any
) -> None:
    """The team `others` takes all there is."""
    cluster.submit(gpu_array("j-000100", tasks, "others", **changes), run_time=run_time)
    run_until(cluster, lambda: cluster.count("j-000100") == tasks, 60)
    run_until(cluster, lambda: cluster.read_ledger().format >= formats.LENDING, 30)
    cluster.run(5.0)


# 4. Versions, and controllers without the feature


@pytest.mark.parametrize("seed", [1, 2])
def test_a_leader_without_the_feature_finishes_recalls_and_begins_none(seed: int) -> None:
    cluster = SimulatedLendingCluster(seed, max_reclaim_s=200.0)
    borrow(cluster, **SLOW_SAVE)
    returns(cluster, 4)
    run_until(cluster, lambda: len(cluster.recalls()) == 4, 5)
    # Whoever leads next lacks the feature; who leads now has it.
    cluster.nodes_without_lending = set(NODES) - {wait_for_leader(cluster)}
    for name in cluster.nodes_without_lending:
        cluster.crash(name, 0.2)
    cluster.run(1.0)
    second = change_leader(cluster)
    assert second in cluster.nodes_without_lending
    run_until(cluster, lambda: cluster.count("j-000200") == 4, RECLAIM_DEADLINE_S + TAKEOVER_S)
    no_recall_is_left(cluster)
    begun = len(cluster.deadlines)
    cluster.submit(gpu_array("j-000300", 2), run_time=100.0)
    cluster.run(RECLAIM_DEADLINE_S + 5.0)
    assert len(cluster.deadlines) == begun == 4, "none begins under this leader"
    cluster.nodes_without_lending = set()
    for name in NODES:
        if name != second:
            cluster.crash(name, 0.2)
    cluster.run(1.0)
    assert change_leader(cluster, back_after=10.0) != second
    cluster.submit(gpu_array("j-000400", 2), run_time=100.0)
    run_until(cluster, lambda: cluster.count("j-000400") == 2, RECLAIM_DEADLINE_S + TAKEOVER_S)
    assert len(cluster.deadlines) == begun + 2
    assert cluster.count_stops("j-000100") == 8


class UpgradingLendingCluster(UpgradingCluster, SimulatedLendingCluster):
    """Controllers of the version in production until their turn; then with lending."""


def test_a_rolling_upgrade_from_production_in_the_middle_of_a_loan() -> None:
    cluster = UpgradingLendingCluster(seed=3, max_reclaim_s=200.0)
    cluster.submit(gpu_array("j-000100", 16, "others", checkpoint_save_s=1.0), run_time=400.0)
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 60)
    # Production stops tasks one by one, with no record of it.
    returns(cluster, 2)
    cluster.roll_out_upgrade(8.0, NODES[:2])
    while wait_for_leader(cluster) == NODES[2]:
        change_leader(cluster)
    cluster.submit(gpu_array("j-000300", 2), run_time=400.0)
    cluster.run(RECLAIM_DEADLINE_S)
    # The new version leads, and stops tasks as before: no record that the old one can't read.
    assert cluster.format == formats.FIRST
    assert not cluster.deadlines
    assert cluster.count("j-000200") == cluster.count("j-000300") == 2
    cluster.upgrade(NODES[2])
    run_until(cluster, lambda: cluster.format >= formats.LENDING, 30)
    cluster.submit(gpu_array("j-000400", 4), run_time=400.0)
    run_until(cluster, lambda: cluster.count("j-000400") == 4, RECLAIM_DEADLINE_S + TAKEOVER_S)
    no_recall_is_left(cluster)
    assert len(cluster.deadlines) == 4
    for ref in ("j-000200", "j-000300", "j-000400"):
        cluster.cancel(ref)
    check_final_state(cluster, 20)


# 5. and 6. Teams that come at once


THREE = (CREW, Team("others", 0.0, 0.0, 4.0, 64.0), Team("third", 0.0, 0.0, 4.0, 64.0))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_teams_borrow_the_same_guarantee_as_the_lender_returns(seed: int) -> None:
    cluster = SimulatedLendingCluster(
        seed, teams=THREE, max_reclaim_s=RECLAIM_DEADLINE_S + TAKEOVER_S
    )
    warm_up(cluster)
    cluster.submit(gpu_array("j-000100", 16, "others"), run_time=300.0, node=0)
    cluster.submit(gpu_array("j-000101", 16, "third"), run_time=300.0, node=1)
    cluster.after(0.4, returns, cluster, 8, 2)
    cluster.run(1.0)
    gets_room(cluster, cluster.sim.time)
    cluster.run(20.0)
    assert cluster.count("j-000100") >= 4, "its own guarantee"
    assert cluster.count("j-000101") >= 4
    assert cluster.count("j-000200") == 8
    no_recall_is_left(cluster)


def warm_up(cluster: SimulatedLendingCluster) -> None:
    """All machines are there and idle, with the image."""
    cluster.submit(gpu_array("j-000001", 16), run_time=1.0)
    run_until(cluster, lambda: len(cluster.rules.jobs["j-000001"].done) == 16, 90)
    run_until(cluster, lambda: cluster.read_ledger().format >= formats.LENDING, 30)


@pytest.mark.parametrize("seed", [1, 2])
def test_lender_and_borrower_return_as_the_leader_stands_still(seed: int) -> None:
    cluster = SimulatedLendingCluster(seed, max_reclaim_s=RECLAIM_DEADLINE_S + 2 * TAKEOVER_S)
    borrow(cluster, run_time=30.0)
    frozen = wait_for_leader(cluster)
    cluster.freeze(frozen, 11.0)
    cluster.submit(gpu_array("j-000101", 16, "others"), run_time=300.0, node=0)
    since = returns(cluster)
    gets_room(cluster, since, more=2 * TAKEOVER_S)
    cluster.run(20.0)
    assert cluster.count("j-000200") == 8
    no_recall_is_left(cluster)
    cluster.cancel("j-000200")
    cluster.cancel("j-000101")
    check_final_state(cluster, 60)


# 7. The borrowed machine


TROUBLES: dict[str, Callable[[SimulatedLendingCluster, str], None]] = {
    "dies": lambda cluster, name: cluster.cloud.remove_machine(name),
    "hangs": lambda cluster, name: cluster.inject_machine_fault("hung", [name], 25.0),
    "is cut": lambda cluster, name: cluster.inject_machine_fault("cut", [name], 25.0),
    "is cut off with its zone": lambda cluster, name: cluster.after(
        25.0, cut_zone(cluster, cluster.workers[name].machine.zone)
    ),
    "gets a notice": lambda cluster, name: setattr(cluster.workers[name], "notice", 8.0),
}


@pytest.mark.parametrize("trouble", list(TROUBLES))
def test_the_borrowed_machine_fails_during_the_recall(trouble: str) -> None:
    cluster = SimulatedLendingCluster(2, capacity=2, max_reclaim_s=RECLAIM_DEADLINE_S + TAKEOVER_S)
    borrow(cluster, 32, **SLOW_SAVE)
    since = returns(cluster, 2)
    run_until(cluster, lambda: len(cluster.recalls()) == 2, 5)
    before = cluster.recalls()
    machine = next(iter(before.values())).machine
    TROUBLES[trouble](cluster, machine)
    gets_room(cluster, since, 2, more=TAKEOVER_S)
    on = {cluster.find_machine(f"j-000200/{task}") for task in range(2)}
    assert machine not in on
    no_recall_is_left(cluster)
    assert cluster.deadlines.keys() == before.keys(), "sought elsewhere under the same number"


# 8. Late reports and orders


@pytest.mark.parametrize("seed", [1, 2])
def test_a_late_stop_and_late_reports_meet_the_next_attempt(seed: int) -> None:
    cluster = SimulatedLendingCluster(seed, max_reclaim_s=RECLAIM_DEADLINE_S + 20.0)
    borrow(cluster)
    cluster.duplicate_heartbeats(0.5, 30.0)
    # The machine's answers are late: its stops are sent again and again, and held.
    machine = sorted(cluster.workers)[0]
    cluster.after(0.02, cluster.inject_machine_fault, "cut", [machine], 4.0)
    since = returns(cluster)
    gets_room(cluster, since, more=10.0)
    no_recall_is_left(cluster)
    cluster.cancel("j-000200")
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 30)
    stops = cluster.count_stops("j-000100")
    assert stops >= 8
    lending, seen = lending_of(cluster), list(cluster.seen.values())
    assert len(seen) >= 8
    assert not any(lending.open_reclaims.remaining_victims(recall) for recall in seen), (
        "they name the first attempts"
    )
    cluster.run(40.0)
    assert cluster.delivered_copies > 10
    assert cluster.count_stops("j-000100") == stops, "a stop of the first attempt ends the second"
    assert cluster.count("j-000100") == 16


def test_a_stop_that_gets_lost_is_sent_again() -> None:
    cluster = SimulatedLendingCluster(1)
    borrow(cluster)
    # One order to each machine, and its answer, are lost.
    cluster.inject_machine_fault("deaf", sorted(cluster.workers), 2.3)
    since = returns(cluster, 2)
    gets_room(cluster, since, 2, more=-4.0)
    assert cluster.count_stops("j-000100") == 2
    no_recall_is_left(cluster)


# 9. Who has no need any more


@pytest.mark.parametrize("how", ["cancelled", "placed elsewhere"])
@pytest.mark.parametrize("seed", [1, 2])
def test_nobody_is_stopped_for_a_demand_that_went_away(
    how: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster = SimulatedLendingCluster(seed)
    borrow(cluster)
    may_begin = [False]
    monkeypatch.setattr(ReclaimAdmission, "may_start", lambda *_: may_begin[0])
    returns(cluster, 2)
    cluster.run(3.5)
    cluster.slow_down_state_service(1.0, 6.0)
    may_begin[0] = True
    run_until(cluster, lambda: len(lending_of(cluster).open_reclaims) == 2, 5)
    assert not cluster.recalls(), "decided, and not committed"
    if how == "cancelled":
        cluster.cancel("j-000200")
        cluster.run(10.0)
    else:
        # Two of the borrower's tasks end by themselves.
        worker = cluster.workers[sorted(cluster.workers)[0]]
        for held in list(worker.tasks.values())[:2]:
            worker.exit(held, wire.CAUSE_DONE)
        run_until(cluster, lambda: cluster.count("j-000200") == 2, 10)
    assert cluster.count_stops("j-000100") == 0
    no_recall_is_left(cluster)


# 10. Checkpoints and gangs


@pytest.mark.parametrize("ran", [4.5, 5.0, 5.5])
def test_a_loan_is_recalled_around_a_checkpoint(ran: float) -> None:
    cluster = SimulatedLendingCluster(1, max_reclaim_s=RECLAIM_DEADLINE_S + 1.0)
    warm_up(cluster)
    cluster.submit(
        gpu_array("j-000100", 16, "others", checkpoint_interval_s=10.0, **SLOW_SAVE), run_time=300.0
    )
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 30)
    cluster.run(ran)
    since = returns(cluster, 2)
    gets_room(cluster, since, 2)
    first = {task for _, task, _ in cluster.stopped_tasks}
    cluster.cancel("j-000200")
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 10)
    cluster.stopped_tasks = [
        entry for entry in cluster.stopped_tasks if entry[1].startswith("j-000100/")
    ]
    # The same tasks are spared within their checkpoint interval.
    cluster.submit(gpu_array("j-000300", 2), run_time=30.0)
    run_until(cluster, lambda: cluster.count("j-000300") == 2, RECLAIM_DEADLINE_S)
    second = {task for _, task, _ in cluster.stopped_tasks} - first
    assert len(first) == len(second) == 2
    assert cluster.count_stops("j-000100") == 4


def test_a_gang_as_borrower_whose_machines_answer_only_in_part() -> None:
    cluster = SimulatedLendingCluster(2, max_reclaim_s=2 * RECLAIM_DEADLINE_S)
    warm_up(cluster)
    both = gang("j-000100", 16, team="others", gpus=1.0, one_zone=False, rank="standard")
    cluster.submit(msgspec.structs.replace(both, cores=3.0, memory_gb=16.0), run_time=300.0)
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 30)
    cluster.run(3.0)
    deaf = sorted(cluster.workers)[0]
    since = returns(cluster, 8)
    run_until(cluster, lambda: bool(cluster.recalls()), 8)
    cluster.inject_machine_fault("deaf", [deaf], 6.0)
    gets_room(cluster, since, 8, more=RECLAIM_DEADLINE_S)
    no_recall_is_left(cluster)


# 11. More teams, and a guarantee that is lowered


CIRCLE = tuple(Team(name, 0.0, 0.0, 4.0, 64.0) for name in ("crew", "others", "third"))
GUESTS = Team("guests", 0.0, 0.0, 0.0, 0.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_three_teams_in_a_circle_and_one_without_a_guarantee(seed: int) -> None:
    cluster = SimulatedLendingCluster(
        seed, teams=(*CIRCLE, GUESTS), max_reclaim_s=RECLAIM_DEADLINE_S
    )
    warm_up(cluster)
    for turn in range(6):
        # In each turn another team has all demand, then the next one comes back.
        team = CIRCLE[turn % 3].name
        cluster.submit(gpu_array(f"j-000{turn + 1}00", 12, team), run_time=300.0, node=turn)
        cluster.submit(gpu_array(f"j-000{turn + 1}50", 8, "guests"), run_time=20.0)
        cluster.run(20.0)
        if turn > 1:
            cluster.cancel(f"j-000{turn - 1}00", turn)
    cluster.run(10.0)
    no_recall_is_left(cluster)
    assert len(cluster.deadlines) > 4


class LoweredLimitsCluster(SimulatedLendingCluster):
    """Some controllers have a settings file in which `crew` is guaranteed less."""

    lowered: frozenset[str] = frozenset()
    lowered_to = 2.0

    def build_settings(self, node: str) -> Settings:
        settings = super().build_settings(node)
        if node not in self.lowered:
            return settings
        less = {**settings.teams, "crew": Team("crew", 0.0, 0.0, self.lowered_to, 64.0)}
        return dataclasses.replace(settings, teams=less)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_guarantee_is_lowered_while_it_is_owed(seed: int) -> None:
    cluster = LoweredLimitsCluster(seed, max_reclaim_s=500.0)
    borrow(cluster, **SLOW_SAVE)
    returns(cluster, 8)
    run_until(cluster, lambda: len(cluster.recalls()) > 1, 5)
    for name in NODES:
        cluster.lowered |= {name}
        cluster.crash(name, 0.5)
        cluster.run(10.0)
    no_recall_is_left(cluster)
    given = cluster.count("j-000200")
    assert 2 <= given <= 8
    assert cluster.count_stops("j-000100") == given, "whoever was stopped made room"


def test_a_guarantee_is_gone_before_anybody_was_told(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = LoweredLimitsCluster(1, max_reclaim_s=500.0)
    cluster.lowered_to = 0.0
    borrow(cluster)
    first = wait_for_leader(cluster)
    cluster.lowered = frozenset(NODES) - {first}
    for name in cluster.lowered:
        cluster.crash(name, 0.2)
    cluster.run(2.0)
    has_ended = crash_at(cluster, STEPS["committed"], 1, monkeypatch)
    returns(cluster, 2)
    run_until(cluster, has_ended, 5)
    assert cluster.recalls()
    no_recall_is_left(cluster)
    assert wait_for_leader(cluster) != first
    assert cluster.count_stops("j-000100") == 0


# 12. Many small jobs


def test_small_jobs_of_a_borrower_come_and_go_while_its_loans_are_recalled() -> None:
    cluster = SimulatedLendingCluster(
        1, teams=(CREW, OTHERS), max_reclaim_s=RECLAIM_DEADLINE_S + 4.0
    )
    warm_up(cluster)
    most_pages = most_recalls = 0
    writes = cluster.state.changes
    for second in range(60):
        for number in range(4):
            ref = f"j-{10000 + 4 * second + number:06d}"
            cluster.submit(gpu_array(ref, 1, "others"), run_time=6.0, node=number)
            if number == 0:
                cluster.after(2.5, cluster.cancel, ref, second)
        if second % 10 == 5:
            cluster.submit(gpu_array(f"j-{500 + second:06d}", 8), run_time=4.0, node=second)
        cluster.run(1.0)
        most_pages = max(most_pages, sum(key.startswith("p/") for key in cluster.state.rows))
        most_recalls = max(most_recalls, len(cluster.recalls()))
    assert len(cluster.deadlines) > 8, "loans were recalled"
    assert most_recalls <= 8, "no more than tasks that waited for it"
    assert most_pages <= 24
    assert (cluster.state.changes - writes) / 60 < 30.0
    run_until(cluster, lambda: not cluster.recalls(), 30)
