"""Controllers whose process is paused while their clocks continue."""

from __future__ import annotations

import pytest

from flaxtally.cluster.election_state import Role
from flaxtally.protocol import wire
from flaxtally.runtime.loop import Loop

from .scenarios import (
    check_final_state,
    start_busy_cluster,
    submit_steady_load,
    term,
    wait_for_leader,
)
from .simulated_cluster import SimulatedCluster, batch, spec


def test_the_loop_reports_a_pause_once_and_before_timers_that_became_due(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Without the notice each actor would blame others for heartbeats missed during its own pause.
    loop = Loop()
    clock, seen = [100.0], list[object]()
    monkeypatch.setattr(loop, "now", lambda: clock[0])
    loop._last_checkpoint_at = 100.0
    loop.on_pause(1.0, lambda lost: seen.append(round(lost, 3)))
    loop.after(0.5, seen.append, "timer")
    waits: list[float | None] = []

    class Frozen:
        def select(self, wait: float | None) -> list[object]:
            waits.append(wait)
            clock[0] += (wait or 0.0) + (20.0 if len(waits) == 1 else 0.0)
            return []

    monkeypatch.setattr(loop, "selector", Frozen())
    loop._turn()
    assert waits == [0.5]
    assert seen == [20.0, "timer"]
    loop.after(30.0, seen.append, "late")
    loop._turn()
    assert seen == [20.0, "timer", "late"], "a requested wait is not a pause"
    loop.soon(lambda: clock.__setitem__(0, clock[0] + 3.0))
    loop._turn()
    loop.soon(seen.append, "after a slow callback")
    loop._turn()
    assert seen[3:] == [3.0, "after a slow callback"]


@pytest.mark.parametrize("for_s", [5.0, 12.0, 30.0])
@pytest.mark.parametrize("who", ["leader", "follower"])
def test_a_paused_controller_changes_no_machine_or_replica(who: str, for_s: float) -> None:
    cluster = start_busy_cluster(services=8, run_time=60.0)
    old, before = wait_for_leader(cluster), term(cluster)
    frozen = old if who == "leader" else next(name for name in cluster.names if name != old)
    submit_steady_load(cluster, 40.0, interval_s=1.0)
    cluster.run(3)
    machines = set(cluster.workers)
    services = {task: at for task, at in cluster.running.items() if task < "j-000008"}
    cluster.freeze(frozen, for_s)
    if who == "leader":
        # Another controller takes over in the usual time.
        assert cluster.run_until(lambda: term(cluster) > before, 4), cluster.trace
    cluster.run(for_s + 8)
    assert term(cluster) == before + (who == "leader"), cluster.trace
    # No machine is judged by heartbeats missed during the pause, and no replica moves.
    assert machines <= set(cluster.workers), cluster.trace
    assert {task: cluster.running.get(task) for task in services} == services
    check_final_state(cluster)


def test_a_paused_leader_that_is_not_replaced_removes_no_machine() -> None:
    # All controllers pause together, or the others can't take over since the state service is down.
    # The leader continues; cancellations under way, boots and machines must not count as late.
    cluster = start_busy_cluster(services=6, run_time=80.0)
    cluster.run(3)
    old, before, machines = wait_for_leader(cluster), term(cluster), set(cluster.workers)
    for name in cluster.names:
        cluster.freeze(name, 9.0)
    cluster.run(15)
    assert wait_for_leader(cluster) == old
    assert term(cluster) == before
    assert machines <= set(cluster.workers), cluster.trace
    cluster.start_state_outage(20.0)
    cluster.run(1)
    cluster.freeze(old, 8.0)
    cluster.run(15)
    assert machines <= set(cluster.workers), cluster.trace
    cluster.run(10)
    check_final_state(cluster)


def test_a_former_leader_does_nothing_before_its_leadership_is_confirmed() -> None:
    # After the pause one turn of the loop first read the others' heartbeats (so the former leader
    # was not isolated), then ran its timers (so it terminated machines that it took for idle and
    # that its successor used), and only then learned that it had lost leadership.
    cluster = start_busy_cluster(services=2, arrays=0)
    spare = [cluster.cloud.add("c16", zone, False, boot=0.5) for zone in "ab"]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in spare), 10)
    old, before = wait_for_leader(cluster), term(cluster)
    cluster.run(24)
    cluster.freeze(old, 20.0)
    assert cluster.run_until(lambda: term(cluster) > before, 4), cluster.trace
    refs = [f"j-{400 + number:06d}" for number in range(6)]
    for ref in refs:
        cluster.submit(
            spec(ref, tasks=2, cores=4.0), node=cluster.names.index(wait_for_leader(cluster))
        )
    assert cluster.run_until(lambda: all(cluster.count(ref) == 2 for ref in refs), 14), (
        cluster.trace
    )
    assert set(spare) & {machine for machine, _ in cluster.running.values()}
    running, change_requests = (
        dict(cluster.running),
        cluster.cloud.change_requests.count((cluster.ip(old), wire.TERMINATE)),
    )
    cluster.run(12)
    assert cluster.cloud.change_requests.count((cluster.ip(old), wire.TERMINATE)) == change_requests
    assert cluster.running == running, cluster.trace[-20:]
    check_final_state(cluster, 40)


def test_a_candidate_paused_during_its_takeover_does_not_depose_the_new_leader() -> None:
    cluster: SimulatedCluster = start_busy_cluster(arrays=0)
    old = wait_for_leader(cluster)
    others = [name for name in cluster.names if name != old]
    cluster.crash(old, restart_after_s=3.0)
    # The candidate that has sent its takeover is paused until another controller leads.
    assert cluster.run_until(
        lambda: any(cluster.nodes[name].election.role is Role.CANDIDATE for name in others), 10
    )
    candidate = next(name for name in others if cluster.nodes[name].election.role is Role.CANDIDATE)
    cluster.freeze(candidate, 15.0)
    cluster.run(14)
    leader = wait_for_leader(cluster)
    cluster.run(5)
    assert wait_for_leader(cluster) == leader
    assert not (cluster.nodes[candidate].election.is_leader and leader != candidate)
    check_final_state(cluster)


@pytest.mark.parametrize("for_s", [1.2, 6.0, 25.0])
def test_a_leader_paused_during_a_commit_replies_only_what_still_holds(for_s: float) -> None:
    # The store's reply to the commit waits in the socket while others take over. What the leader
    # reports after it must still be true, and a reply to a user must not come after its timeout.
    cluster = start_busy_cluster(arrays=0)
    for number in range(6):
        ref = f"j-{400 + number:06d}"
        old = wait_for_leader(cluster)
        cluster.submit(batch(ref, 1), run_time=3.0, node=number)
        ledger = cluster.nodes[old].leader._context.ledger
        assert cluster.run_until(lambda ledger=ledger: ledger.is_committing, 5)  # type: ignore[misc]
        cluster.poll_repeatedly(ref)
        cluster.after(0.3, cluster.cancel, ref, number + 1)
        cluster.freeze(old, for_s)
        cluster.run(for_s + 6)
        cluster.poll_repeatedly(ref)
    check_final_state(cluster)


def test_a_leadership_confirmation_fails_when_the_ledger_is_replayed_again() -> None:
    # A leader that paused acts again once its leadership is confirmed. When a confirmation request
    # was dropped because a damaged ledger was replayed again, the leader never acted again.
    cluster = start_busy_cluster(services=1, arrays=0)
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    confirmations: list[bool] = []
    leader._context.ledger.confirm_leadership(confirmations.append)
    leader._context.ledger.replay(leader._context.ledger.leader_key_version, lambda: None)
    assert confirmations == [False]
