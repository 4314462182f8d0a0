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

from .scenarios import change_leader, check_final_state, cut_zone, wait_for_leader
from .simulated_cluster import NODES, SimulatedCluster, gang
from .simulated_lending import (
    CREW_TEAM,
    FIVE_NODES,
    OTHERS_TEAM,
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
"""Additional time that a change of leader may cost."""
SLOW_SAVE: dict[str, Any] = {"checkpoint_save_s": 3.0}
"""Changes of a job: its tasks take 3 s to save a checkpoint."""


def get_quota_reclaim(cluster: SimulatedCluster) -> QuotaReclaim:
    return cluster.nodes[wait_for_leader(cluster)].leader.duties.quota_reclaim


def submit_lender_job(cluster: SimulatedLendingCluster, tasks: int = 8, node: int = 1) -> float:
    """Submits a job of the lender; returns the time."""
    cluster.submit(gpu_array("j-000200", tasks), run_time=400.0, node=node)
    return cluster.sim.time


def wait_for_lender_capacity(
    cluster: SimulatedLendingCluster, since: float, tasks: int = 8, extra_s: float = 0.0
) -> None:
    """Waits until the lender's tasks run: at most the recall time and `extra_s` after `since`."""
    run_until(
        cluster,
        lambda: cluster.count("j-000200") == tasks,
        since + RECLAIM_DEADLINE_S + extra_s - cluster.sim.time,
    )


def wait_for_no_open_reclaim(cluster: SimulatedLendingCluster) -> None:
    run_until(cluster, lambda: not cluster.read_reclaims(), 3 * RECLAIM_DEADLINE_S)


# 1. The leader crashes at every step


Step = tuple[type, str, bool, Callable[..., bool]]


def is_stop(_: CommandSender, __: Machine, queued: list[Any]) -> bool:
    return any(each.command.verb == wire.STOP for each in queued)


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
    cluster: SimulatedCluster, step: Step, nth: int, monkeypatch: pytest.MonkeyPatch
) -> Callable[[], bool]:
    """Crashes the leader at the nth call of the step that counts.

    Returns a function that tells whether it has crashed.
    """
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
        node = next(name for name in cluster.names if cluster.ip(name) == runtime.ip)
        cluster.crash(node, restart_after_s=6.0)
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
    cluster = start_cluster_with_loans(
        seed=1, nodes=FIVE_NODES, max_shortfall_s=RECLAIM_DEADLINE_S + TAKEOVER_S
    )
    has_crashed = crash_at(cluster, STEPS[step], nth, monkeypatch)
    since = submit_lender_job(cluster, node=nth)
    wait_for_lender_capacity(cluster, since, extra_s=TAKEOVER_S)
    assert has_crashed()
    wait_for_no_open_reclaim(cluster)
    # A second stop for the same demand would be one too many.
    assert cluster.count_stops("j-000100") == 8, cluster.stopped_tasks
    cluster.run(20.0)
    assert cluster.count_stops("j-000100") == 8, cluster.stopped_tasks


# 2. and 3. The state service


@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("seed", [1, 2])
def test_the_commit_of_a_reclaim_gets_no_reply_and_another_leader_takes_over(
    at_once: bool, seed: int
) -> None:
    # The old leader doesn't know whether its records are stored: delayed copies of the writes must
    # not start or repeat a reclaim.
    cluster = start_cluster_with_loans(seed, max_shortfall_s=RECLAIM_DEADLINE_S + TAKEOVER_S + 12.0)
    cluster.lose_writes(1.0, 2.0, at_once)
    since = submit_lender_job(cluster)
    cluster.run(1.0)
    change_leader(cluster)
    wait_for_lender_capacity(cluster, since, extra_s=TAKEOVER_S + 12.0)
    wait_for_no_open_reclaim(cluster)
    assert cluster.count_stops("j-000100") == 8
    # The lender's job is cancelled: delayed copies of writes must not start a reclaim again.
    cluster.cancel("j-000200")
    cluster.run(20.0)
    assert not cluster.read_reclaims()
    assert cluster.count_stops("j-000100") == 8


@pytest.mark.parametrize("seed", [1, 2])
def test_reclaims_survive_an_outage_of_the_state_service_longer_than_the_recall_time(
    seed: int,
) -> None:
    # The state service rejects first the leader, then all controllers: the next leader must finish
    # the same reclaims instead of starting others.
    cluster = SimulatedLendingCluster(seed, max_shortfall_s=3 * RECLAIM_DEADLINE_S + TAKEOVER_S)
    borrow(cluster, **SLOW_SAVE)
    submit_lender_job(cluster, 4)
    run_until(cluster, lambda: len(cluster.read_reclaims()) == 4, 5)
    before = {reclaim.number: reclaim.deadline for reclaim in cluster.read_reclaims().values()}
    cluster.refuse(wait_for_leader(cluster), 8.0)
    cluster.run(6.0)
    cluster.start_state_outage(RECLAIM_DEADLINE_S + 5.0)
    cluster.run(RECLAIM_DEADLINE_S + 5.0)
    run_until(cluster, lambda: cluster.count("j-000200") == 4, TAKEOVER_S)
    wait_for_no_open_reclaim(cluster)
    assert cluster.deadlines == before, "the same reclaims, with the same deadlines"
    assert cluster.count_stops("j-000100") == 4


def borrow(
    cluster: SimulatedLendingCluster, tasks: int = 16, run_time: float = 300.0, **changes: Any
) -> None:
    """Has the team `others` use all GPUs."""
    cluster.submit(gpu_array("j-000100", tasks, "others", **changes), run_time=run_time)
    run_until(cluster, lambda: cluster.count("j-000100") == tasks, 60)
    run_until(cluster, lambda: cluster.read_ledger().format >= formats.LENDING, 30)
    cluster.run(5.0)


# 4. Versions, and controllers without the feature


@pytest.mark.parametrize("seed", [1, 2])
def test_a_leader_without_the_feature_finishes_reclaims_and_starts_none(seed: int) -> None:
    # While the feature is being enabled or disabled, controllers differ: open reclaims must still
    # be finished by whichever leads.
    cluster = SimulatedLendingCluster(seed, max_shortfall_s=200.0)
    borrow(cluster, **SLOW_SAVE)
    submit_lender_job(cluster, 4)
    run_until(cluster, lambda: len(cluster.read_reclaims()) == 4, 5)
    # The present leader has the feature; all others restart without it, one of which leads next.
    cluster.nodes_without_lending = set(NODES) - {wait_for_leader(cluster)}
    for name in cluster.nodes_without_lending:
        cluster.crash(name, 0.2)
    cluster.run(1.0)
    # It is away for longer than the others may take to notice: a restarted leader leads again.
    second = change_leader(cluster, restart_after_s=10.0)
    assert second in cluster.nodes_without_lending
    run_until(cluster, lambda: cluster.count("j-000200") == 4, RECLAIM_DEADLINE_S + TAKEOVER_S)
    wait_for_no_open_reclaim(cluster)
    started_count = len(cluster.deadlines)
    cluster.submit(gpu_array("j-000300", 2), run_time=100.0)
    cluster.run(RECLAIM_DEADLINE_S + 5.0)
    assert len(cluster.deadlines) == started_count == 4, "none starts under this leader"
    cluster.nodes_without_lending = set()
    for name in NODES:
        if name != second:
            cluster.crash(name, 0.2)
    cluster.run(1.0)
    assert change_leader(cluster, restart_after_s=10.0) != second
    cluster.submit(gpu_array("j-000400", 2), run_time=100.0)
    run_until(cluster, lambda: cluster.count("j-000400") == 2, RECLAIM_DEADLINE_S + TAKEOVER_S)
    assert len(cluster.deadlines) == started_count + 2
    assert cluster.count_stops("j-000100") == 8


class RollingCluster(UpgradingCluster, SimulatedLendingCluster):
    """Controllers run the version in production until they are upgraded, then one with lending."""


def test_no_reclaim_record_is_written_before_a_rolling_upgrade_is_complete() -> None:
    # Until all controllers are upgraded, the new version must not write records of reclaims, which
    # the version in production can't read.
    cluster = RollingCluster(seed=3, max_shortfall_s=200.0)
    cluster.submit(gpu_array("j-000100", 16, "others", checkpoint_save_s=1.0), run_time=400.0)
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 60)
    # The version in production stops tasks one by one, without a record.
    submit_lender_job(cluster, 2)
    cluster.roll_out_upgrade(8.0, NODES[:2])
    while wait_for_leader(cluster) == NODES[2]:
        change_leader(cluster)
    cluster.submit(gpu_array("j-000300", 2), run_time=400.0)
    cluster.run(RECLAIM_DEADLINE_S)
    # The new version leads and stops tasks like the old one, without records that it can't read.
    assert cluster.format == formats.FIRST
    assert not cluster.deadlines
    assert cluster.count("j-000200") == cluster.count("j-000300") == 2
    cluster.upgrade(NODES[2])
    run_until(cluster, lambda: cluster.format >= formats.LENDING, 30)
    cluster.submit(gpu_array("j-000400", 4), run_time=400.0)
    run_until(cluster, lambda: cluster.count("j-000400") == 4, RECLAIM_DEADLINE_S + TAKEOVER_S)
    wait_for_no_open_reclaim(cluster)
    assert len(cluster.deadlines) == 4
    for ref in ("j-000200", "j-000300", "j-000400"):
        cluster.cancel(ref)
    check_final_state(cluster, 20)


# 5. and 6. Several teams with demand at the same time


THREE_TEAMS = (CREW_TEAM, Team("others", 0.0, 0.0, 4.0, 64.0), Team("third", 0.0, 0.0, 4.0, 64.0))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_teams_borrow_the_same_quota_while_the_lender_submits_work(seed: int) -> None:
    # The lender must get its quota back from two borrowers, neither of which falls below its own.
    cluster = SimulatedLendingCluster(
        seed, teams=THREE_TEAMS, max_shortfall_s=RECLAIM_DEADLINE_S + TAKEOVER_S
    )
    warm_up(cluster)
    cluster.submit(gpu_array("j-000100", 16, "others"), run_time=300.0, node=0)
    cluster.submit(gpu_array("j-000101", 16, "third"), run_time=300.0, node=1)
    cluster.after(0.4, submit_lender_job, cluster, 8, 2)
    cluster.run(1.0)
    wait_for_lender_capacity(cluster, cluster.sim.time)
    cluster.run(20.0)
    assert cluster.count("j-000100") >= 4, "its own quota"
    assert cluster.count("j-000101") >= 4
    assert cluster.count("j-000200") == 8
    wait_for_no_open_reclaim(cluster)


def warm_up(cluster: SimulatedLendingCluster) -> None:
    """Has all machines provisioned and idle, with the image fetched."""
    cluster.submit(gpu_array("j-000001", 16), run_time=1.0)
    run_until(cluster, lambda: len(cluster.rules.jobs["j-000001"].done) == 16, 90)
    run_until(cluster, lambda: cluster.read_ledger().format >= formats.LENDING, 30)


@pytest.mark.parametrize("seed", [1, 2])
def test_lender_and_borrower_submit_work_while_the_leader_is_frozen(seed: int) -> None:
    # The next leader sees both demands at once; the frozen one must not act on its old state when
    # it resumes.
    cluster = SimulatedLendingCluster(seed, max_shortfall_s=RECLAIM_DEADLINE_S + 2 * TAKEOVER_S)
    borrow(cluster, run_time=30.0)
    frozen = wait_for_leader(cluster)
    cluster.freeze(frozen, 11.0)
    cluster.submit(gpu_array("j-000101", 16, "others"), run_time=300.0, node=0)
    since = submit_lender_job(cluster)
    wait_for_lender_capacity(cluster, since, extra_s=2 * TAKEOVER_S)
    cluster.run(20.0)
    assert cluster.count("j-000200") == 8
    wait_for_no_open_reclaim(cluster)
    cluster.cancel("j-000200")
    cluster.cancel("j-000101")
    check_final_state(cluster, 60)


# 7. Faults of the borrowed machine


MACHINE_FAULTS: dict[str, Callable[[SimulatedLendingCluster, str], None]] = {
    "dies": lambda cluster, name: cluster.cloud.remove_machine(name),
    "hangs": lambda cluster, name: cluster.inject_machine_fault("hung", [name], 25.0),
    "is cut": lambda cluster, name: cluster.inject_machine_fault("cut", [name], 25.0),
    "is cut off with its zone": lambda cluster, name: cluster.after(
        25.0, cut_zone(cluster, cluster.workers[name].machine.zone)
    ),
    "gets a notice": lambda cluster, name: setattr(
        cluster.workers[name], "preemption_notice_s", 8.0
    ),
}


@pytest.mark.parametrize("fault", list(MACHINE_FAULTS))
def test_a_reclaim_moves_when_the_borrowed_machine_fails(fault: str) -> None:
    # The capacity must come from another machine, under the same reclaim and within its deadline.
    cluster = SimulatedLendingCluster(
        2, capacity=2, max_shortfall_s=RECLAIM_DEADLINE_S + TAKEOVER_S
    )
    borrow(cluster, 32, **SLOW_SAVE)
    since = submit_lender_job(cluster, 2)
    run_until(cluster, lambda: len(cluster.read_reclaims()) == 2, 5)
    before = cluster.read_reclaims()
    machine = next(iter(before.values())).machine
    MACHINE_FAULTS[fault](cluster, machine)
    wait_for_lender_capacity(cluster, since, 2, extra_s=TAKEOVER_S)
    machines = {cluster.find_machine(f"j-000200/{task}") for task in range(2)}
    assert machine not in machines
    wait_for_no_open_reclaim(cluster)
    assert cluster.deadlines.keys() == before.keys(), (
        "moved to another machine under the same number"
    )


# 8. Late heartbeats, and late or lost commands


@pytest.mark.parametrize("seed", [1, 2])
def test_late_stops_and_heartbeats_do_not_affect_the_next_attempt(seed: int) -> None:
    # A stop that is repeated or delayed must not stop the task's next attempt, and an old heartbeat
    # must not count for it.
    cluster = SimulatedLendingCluster(seed, max_shortfall_s=RECLAIM_DEADLINE_S + 20.0)
    borrow(cluster)
    cluster.duplicate_heartbeats(0.5, 30.0)
    # The machine's replies are late: stops are sent to it repeatedly, and delayed.
    machine = sorted(cluster.workers)[0]
    cluster.after(0.02, cluster.inject_machine_fault, "cut", [machine], 4.0)
    since = submit_lender_job(cluster)
    wait_for_lender_capacity(cluster, since, extra_s=10.0)
    wait_for_no_open_reclaim(cluster)
    cluster.cancel("j-000200")
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 30)
    stops = cluster.count_stops("j-000100")
    assert stops >= 8
    quota_reclaim, seen_reclaims = get_quota_reclaim(cluster), list(cluster.seen_reclaims.values())
    assert len(seen_reclaims) >= 8
    assert not any(
        quota_reclaim.open_reclaims.find_remaining_victims(reclaim) for reclaim in seen_reclaims
    ), "the reclaims name the first attempts"
    cluster.run(40.0)
    assert cluster.delivered_copies > 10
    assert cluster.count_stops("j-000100") == stops, (
        "a stop of the first attempt stopped the second"
    )
    assert cluster.count("j-000100") == 16


def test_a_lost_stop_is_sent_again() -> None:
    # A lost command must not delay a reclaim until its deadline.
    cluster = SimulatedLendingCluster(1)
    borrow(cluster)
    # One command to each machine, and its reply, are lost.
    cluster.inject_machine_fault("deaf", sorted(cluster.workers), 2.3)
    since = submit_lender_job(cluster, 2)
    wait_for_lender_capacity(cluster, since, 2, extra_s=-4.0)
    assert cluster.count_stops("j-000100") == 2
    wait_for_no_open_reclaim(cluster)


# 9. Demand that disappears


@pytest.mark.parametrize("cause", ["cancelled", "placed elsewhere"])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_task_is_stopped_for_demand_that_disappeared(
    cause: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A demand that is cancelled or served elsewhere while its reclaim is being committed must not
    # cost the borrower tasks.
    cluster = SimulatedLendingCluster(seed)
    borrow(cluster)
    may_start = [False]
    monkeypatch.setattr(ReclaimAdmission, "may_start", lambda *_: may_start[0])
    submit_lender_job(cluster, 2)
    cluster.run(3.5)
    cluster.slow_down_state_service(1.0, 6.0)
    may_start[0] = True
    run_until(cluster, lambda: len(get_quota_reclaim(cluster).open_reclaims) == 2, 5)
    assert not cluster.read_reclaims(), "proposed, and not committed"
    if cause == "cancelled":
        cluster.cancel("j-000200")
        cluster.run(10.0)
    else:
        # Two of the borrower's tasks finish by themselves.
        worker = cluster.workers[sorted(cluster.workers)[0]]
        for held in list(worker.tasks.values())[:2]:
            worker.exit(held, wire.CAUSE_DONE)
        run_until(cluster, lambda: cluster.count("j-000200") == 2, 10)
    assert cluster.count_stops("j-000100") == 0
    wait_for_no_open_reclaim(cluster)


# 10. Checkpoints and gangs


@pytest.mark.parametrize("run_s", [4.5, 5.0, 5.5])
def test_tasks_reclaimed_around_a_checkpoint_are_spared_by_the_next_reclaim(run_s: float) -> None:
    # Guards against reclaims that stop the same tasks again before their next checkpoint.
    cluster = SimulatedLendingCluster(1, max_shortfall_s=RECLAIM_DEADLINE_S + 1.0)
    warm_up(cluster)
    cluster.submit(
        gpu_array("j-000100", 16, "others", checkpoint_interval_s=10.0, **SLOW_SAVE), run_time=300.0
    )
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 30)
    cluster.run(run_s)
    since = submit_lender_job(cluster, 2)
    wait_for_lender_capacity(cluster, since, 2)
    first = {task for _, task, _ in cluster.stopped_tasks}
    cluster.cancel("j-000200")
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 10)
    cluster.stopped_tasks = [
        entry for entry in cluster.stopped_tasks if entry[1].startswith("j-000100/")
    ]
    # Within their checkpoint interval, the tasks of the first reclaim are not stopped again.
    cluster.submit(gpu_array("j-000300", 2), run_time=30.0)
    run_until(cluster, lambda: cluster.count("j-000300") == 2, RECLAIM_DEADLINE_S)
    second = {task for _, task, _ in cluster.stopped_tasks} - first
    assert len(first) == len(second) == 2
    assert cluster.count_stops("j-000100") == 4


def test_a_borrowing_gang_is_stopped_though_one_machine_receives_no_replies() -> None:
    # A gang is stopped as a whole: the capacity of the other machines must not wait indefinitely.
    cluster = SimulatedLendingCluster(2, max_shortfall_s=2 * RECLAIM_DEADLINE_S)
    warm_up(cluster)
    gang_spec = gang("j-000100", 16, team="others", gpus=1.0, one_zone=False, rank="standard")
    cluster.submit(msgspec.structs.replace(gang_spec, cores=3.0, memory_gb=16.0), run_time=300.0)
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 30)
    cluster.run(3.0)
    without_replies = sorted(cluster.workers)[0]
    since = submit_lender_job(cluster, 8)
    run_until(cluster, lambda: bool(cluster.read_reclaims()), 8)
    cluster.inject_machine_fault("deaf", [without_replies], 6.0)
    wait_for_lender_capacity(cluster, since, 8, extra_s=RECLAIM_DEADLINE_S)
    wait_for_no_open_reclaim(cluster)


# 11. More teams, and a quota that is lowered


TEAMS_IN_TURN = tuple(Team(name, 0.0, 0.0, 4.0, 64.0) for name in ("crew", "others", "third"))
TEAM_WITHOUT_QUOTA = Team("guests", 0.0, 0.0, 0.0, 0.0)


@pytest.mark.parametrize("seed", [1, 2])
def test_three_teams_lend_in_turn_beside_one_without_a_quota(seed: int) -> None:
    # Each team is lender, borrower and lender again: reclaims must not block each other or remain.
    cluster = SimulatedLendingCluster(
        seed, teams=(*TEAMS_IN_TURN, TEAM_WITHOUT_QUOTA), max_shortfall_s=RECLAIM_DEADLINE_S
    )
    warm_up(cluster)
    for turn in range(6):
        # In each turn another team submits demand for more than its quota.
        team = TEAMS_IN_TURN[turn % 3].name
        cluster.submit(gpu_array(f"j-000{turn + 1}00", 12, team), run_time=300.0, node=turn)
        cluster.submit(gpu_array(f"j-000{turn + 1}50", 8, "guests"), run_time=20.0)
        cluster.run(20.0)
        if turn > 1:
            cluster.cancel(f"j-000{turn - 1}00", turn)
    cluster.run(10.0)
    wait_for_no_open_reclaim(cluster)
    assert len(cluster.deadlines) > 4


class LoweredQuotaCluster(SimulatedLendingCluster):
    """Some controllers have a settings file with a lower quota of `crew`."""

    lowered: frozenset[str] = frozenset()
    lowered_to = 2.0

    def build_settings(self, node: str) -> Settings:
        settings = super().build_settings(node)
        if node not in self.lowered:
            return settings
        lowered_teams = {**settings.teams, "crew": Team("crew", 0.0, 0.0, self.lowered_to, 64.0)}
        return dataclasses.replace(settings, teams=lowered_teams)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_quota_is_lowered_while_it_is_being_reclaimed(seed: int) -> None:
    # Reclaims beyond the new quota must end, and no task may be stopped without use.
    cluster = LoweredQuotaCluster(seed, max_shortfall_s=500.0)
    borrow(cluster, **SLOW_SAVE)
    submit_lender_job(cluster, 8)
    run_until(cluster, lambda: len(cluster.read_reclaims()) > 1, 5)
    for name in NODES:
        cluster.lowered |= {name}
        cluster.crash(name, 0.5)
        cluster.run(10.0)
    wait_for_no_open_reclaim(cluster)
    granted_count = cluster.count("j-000200")
    assert 2 <= granted_count <= 8
    assert cluster.count_stops("j-000100") == granted_count, (
        "each stopped task freed capacity that is used"
    )


def test_a_quota_is_removed_before_any_stop_is_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    # The next leader's settings grant the lender nothing: its committed reclaims must be withdrawn.
    cluster = LoweredQuotaCluster(1, max_shortfall_s=500.0)
    cluster.lowered_to = 0.0
    borrow(cluster)
    first = wait_for_leader(cluster)
    cluster.lowered = frozenset(NODES) - {first}
    for name in cluster.lowered:
        cluster.crash(name, 0.2)
    cluster.run(2.0)
    has_crashed = crash_at(cluster, STEPS["committed"], 1, monkeypatch)
    submit_lender_job(cluster, 2)
    run_until(cluster, has_crashed, 5)
    assert cluster.read_reclaims()
    wait_for_no_open_reclaim(cluster)
    assert wait_for_leader(cluster) != first
    assert cluster.count_stops("j-000100") == 0


# 12. Many small jobs


def test_ledger_stays_bounded_while_loans_of_many_small_jobs_are_reclaimed() -> None:
    # Many small jobs of the borrower start, finish and are cancelled while its loans are reclaimed:
    # the open reclaims, the pages of the ledger and the writes per second must stay bounded.
    cluster = SimulatedLendingCluster(
        1, teams=(CREW_TEAM, OTHERS_TEAM), max_shortfall_s=RECLAIM_DEADLINE_S + 4.0
    )
    warm_up(cluster)
    max_pages = max_reclaims = 0
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
        max_pages = max(max_pages, sum(key.startswith("p/") for key in cluster.state.rows))
        max_reclaims = max(max_reclaims, len(cluster.read_reclaims()))
    assert len(cluster.deadlines) > 8, "loans were reclaimed"
    assert max_reclaims <= 8, "no more than the pending tasks"
    assert max_pages <= 24
    assert (cluster.state.changes - writes) / 60 < 30.0
    run_until(cluster, lambda: not cluster.read_reclaims(), 30)
