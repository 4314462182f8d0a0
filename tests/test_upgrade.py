"""Rolling upgrades from the version in production, and lowered limits of the state service."""

from __future__ import annotations

import msgspec
import pytest

from flaxtally.protocol import formats, wire
from flaxtally.settings import Team

from .scenarios import change_leader, check_final_state, wait_for_leader
from .simulated_cluster import NODES, SimulatedCluster, batch, gang, spec
from .simulated_upgrade import LOWERED_LIMITS, UpgradingCluster


def start_serving_cluster(seed: int = 1, upgraded: tuple[str, ...] = ()) -> UpgradingCluster:
    """Start a cluster and wait until its services and arrays run."""
    cluster = UpgradingCluster(seed, upgraded)
    for number in range(4):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    for number in range(3):
        cluster.submit(batch(f"j-{100 + number:06d}", 6), run_time=40.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 26, 90), cluster.trace
    return cluster


def submit_small_jobs(cluster: UpgradingCluster) -> None:
    """Submit small jobs throughout the test and cancel some of them."""
    for number in range(40):
        ref = f"j-{5000 + number:06d}"
        cluster.after(1.3 * number, cluster.submit, batch(ref, 2), 4.0, number)
        if number % 4 == 3:
            cluster.after(1.3 * number + 3.0, cluster.cancel, ref, number)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rolling_upgrade_moves_no_task_and_raises_the_format_at_its_end(seed: int) -> None:
    # A format that is raised too early could not be read by a controller of the old version.
    cluster = start_serving_cluster(seed)
    before = {task: machine for task, machine in cluster.running.items() if task < "j-000100"}
    submit_small_jobs(cluster)
    for number, name in enumerate(NODES):
        cluster.upgrade(name)
        cluster.run(8.0)
        assert cluster.format == (formats.GANGS if number == len(NODES) - 1 else formats.FIRST)
    after = {task: machine for task, machine in cluster.running.items() if task < "j-000100"}
    assert after == before
    cluster.submit(gang("j-000200", 4), run_time=3.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE
    assert not cluster.state.oversized_transactions


def test_gang_gets_503_until_every_controller_supports_gangs() -> None:
    # A controller of the old version that became leader would place a gang task by task.
    cluster = start_serving_cluster()
    for name in NODES:
        cluster.upgrade(name)
        statuses: list[int] = []
        if len(cluster.upgraded) < len(NODES):
            cluster.run(6.0)
            cluster.specs["j-000200"] = gang("j-000200", 2)
            for node in cluster.upgraded:
                body = wire.build_submission(cluster.specs["j-000200"])
                cluster.call(
                    node,
                    "POST",
                    wire.JOBS,
                    body,
                    lambda status, _, statuses=statuses: statuses.append(status),
                )  # type: ignore[misc]
            cluster.run(3.0)
            assert set(statuses) == {503}
    cluster.run(8.0)
    cluster.submit(cluster.specs["j-000200"], run_time=3.0)
    assert cluster.run_until(lambda: "j-000200" in cluster.accepted, 20)
    assert cluster.run_until(lambda: cluster.query_job("j-000200")[1]["stage"] == wire.DONE, 60)


@pytest.mark.parametrize("seed", range(6))
def test_leadership_passes_in_both_directions_between_versions_without_loss(seed: int) -> None:
    # Whenever the leader crashes, a controller of the other version may have to read what it wrote:
    # pages of either size, or a snapshot that a compaction had started.
    # The first two controllers take over from each other; one of them has the production version.
    cluster = start_serving_cluster(seed, upgraded=NODES[:1] if seed % 2 else NODES[::2])
    submit_small_jobs(cluster)
    handovers: set[tuple[bool, bool]] = set()
    old = wait_for_leader(cluster)
    for turn in range(24):
        cluster.run(1.0 + 0.37 * (turn % 6) + 0.11 * seed)
        new = change_leader(cluster, restart_after_s=0.5)
        handovers.add((old in cluster.upgraded, new in cluster.upgraded))
        old = new
        if {(True, False), (False, True)} <= handovers:
            break
    assert {(True, False), (False, True)} <= handovers
    assert cluster.format == formats.FIRST
    check_final_state(cluster)


@pytest.mark.parametrize("seed", [1, 2])
def test_old_followers_follow_a_new_leader_that_raises_its_token(seed: int) -> None:
    # Machines that report to a controller of the old version must hear of the higher token, and
    # keep their leases and tasks, also when such a controller leads next.
    cluster = start_serving_cluster(seed, upgraded=NODES[:1])
    for _ in range(10):
        if wait_for_leader(cluster) == NODES[0]:
            break
        change_leader(cluster, restart_after_s=0.5)
    term = cluster.nodes[NODES[0]].leader.term
    first = term.number
    submit_small_jobs(cluster)
    cluster.copy_command_batches(0.5, 50.0)
    cluster.run(55.0)
    assert wait_for_leader(cluster) == NODES[0]
    assert term.number > term.first_number == first
    assert {node.election.term for node in cluster.nodes.values()} == {term.number}
    assert {worker.fencing_token for worker in cluster.workers.values()} == {term.number}
    assert {worker.incarnation for worker in cluster.workers.values()} == {1}
    assert change_leader(cluster, restart_after_s=0.5) != NODES[0]
    check_final_state(cluster)


def test_controller_that_restarts_before_its_upgrade_delays_the_format() -> None:
    # The format must not be raised while a controller of the old version may return.
    cluster = start_serving_cluster()
    cluster.upgrade(NODES[0])
    cluster.upgrade(NODES[1])
    cluster.run(4.0)
    cluster.crash(NODES[2], restart_after_s=1.0)
    cluster.run(10.0)
    assert cluster.format == formats.FIRST
    cluster.upgrade(NODES[2])
    cluster.run(8.0)
    assert cluster.format == formats.GANGS
    check_final_state(cluster)


def test_format_waits_for_a_controller_that_is_cut_off_during_the_upgrade() -> None:
    # A controller that is cut off could still have the old version, unable to read a newer format.
    cluster = start_serving_cluster()
    isolated = next(name for name in NODES if name != cluster.leader())
    others = [cluster.ip(name) for name in NODES if name != isolated]
    cluster.cut(cluster.ip(isolated), [*others, "10.2.0.1"], 30.0)
    for name in NODES:
        if name != isolated:
            cluster.upgrade(name)
            cluster.run(6.0)
    cluster.upgrade(isolated)
    cluster.run(8.0)
    assert cluster.format == formats.FIRST
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 30.0)
    check_final_state(cluster)


def test_format_does_not_wait_for_a_down_controller_that_has_announced_its_version() -> None:
    # A new leader must know the formats that were announced to its predecessor: it reads them from
    # the state service.
    cluster = start_serving_cluster(upgraded=NODES[:2])
    cluster.upgraded.add(NODES[2])
    while wait_for_leader(cluster) not in NODES[:2]:
        change_leader(cluster)
    cluster.crash(NODES[2])
    cluster.run(3.0)
    assert cluster.format == formats.FIRST
    cluster.start(NODES[2])
    # Its heartbeat is recorded, and it crashes before the leader acts on it any further.
    assert cluster.run_until(lambda: NODES[2] in cluster.state.rows["formats"][0]["newest"], 10.0)
    cluster.crash(NODES[2])
    for name in NODES[:2]:
        cluster.crash(name, restart_after_s=1.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 30.0)


def test_format_is_raised_although_replies_to_writes_are_lost() -> None:
    # The transaction that raises the format may be applied although its reply never arrives.
    cluster = start_serving_cluster(upgraded=NODES[:2])
    cluster.upgrade(NODES[2], restart_after_s=2.0)
    cluster.lose_writes(0.7, 12.0, at_once=True)
    cluster.run(15.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 20.0)
    cluster.submit(gang("j-000200", 4), run_time=3.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE


def test_late_transactions_of_the_production_version_after_the_raise_have_no_effect() -> None:
    # A delayed write of an old leader could otherwise overwrite records of the new format.
    cluster = start_serving_cluster()
    cluster.lose_writes(0.5, 20.0)
    submit_small_jobs(cluster)
    cluster.roll_out_upgrade(interval_s=5.0)
    cluster.run(20.0)
    assert cluster.state.late_statuses
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 20.0)
    check_final_state(cluster)


@pytest.mark.parametrize("situation", ["quiet", "takeover", "lost_answers", "team_at_limit"])
def test_upgraded_controllers_keep_to_limits_lowered_without_notice(situation: str) -> None:
    # The version in production retried an oversized page indefinitely, so that no job was accepted
    # or reported any more.
    cluster = start_serving_cluster()
    submit_small_jobs(cluster)
    cluster.roll_out_upgrade(interval_s=6.0)
    if situation == "lost_answers":
        cluster.lose_writes(0.5, 10.0)
    if situation == "team_at_limit":
        for number in range(12):
            cluster.submit(batch(f"j-{300 + number:06d}", 8), run_time=60.0, node=number)
        cluster.run(3.0)
        for number in range(12):
            cluster.cancel(f"j-{300 + number:06d}", number)
    cluster.lower_limits()
    if situation == "takeover":
        change_leader(cluster)
    cluster.submit(gang("j-000200", 6), run_time=5.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE
    assert not cluster.state.oversized_transactions


def test_unannounced_lower_limits_end_a_term_but_affect_no_task() -> None:
    # The leader's first oversized transaction is refused; its successor must write smaller ones.
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
    assert {
        task: machine for task, machine in cluster.running.items() if task < "j-000100"
    } == before
    check_final_state(cluster)
    for number in range(30):
        assert cluster.query_job(f"j-{200 + number:06d}")[1]["stage"] == wire.DONE


def test_controllers_refuse_to_lead_on_a_ledger_of_a_newer_format(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A program that replayed records of an unknown format could misread them and stop tasks.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(20.0)
    newest = max(key for key in cluster.state.rows if key.startswith("p/"))
    value, stamp, lease = cluster.state.rows[newest]
    cluster.state.rows[newest] = {"r": [*value["r"], ["V", 99]]}, stamp, lease
    before = dict(cluster.running)
    for name in NODES:
        cluster.crash(name, restart_after_s=0.5)
    cluster.run(12.0)
    assert cluster.leader() is None
    refusals = [entry for entry in caplog.records if "event=leadership_refused" in entry.message]
    assert 1 <= len(refusals) <= len(NODES)
    # Workers still receive replies, so their tasks keep running.
    assert cluster.running == before


def test_written_pages_respect_the_lower_limits() -> None:
    # Pages that exceed the announced limits would be refused once the state service enforces them.
    assert LOWERED_LIMITS.value_bytes == 2048
    cluster = start_serving_cluster()
    cluster.roll_out_upgrade(interval_s=6.0)
    largest_bytes = max(
        len(msgspec.json.encode(value))
        for key, (value, stamp, _) in cluster.state.rows.items()
        if key.startswith("p/") and stamp > cluster.state.revision - 40
    )
    assert largest_bytes <= LOWERED_LIMITS.value_bytes


def test_compaction_stops_when_it_cannot_save_space() -> None:
    # In a random run at the lower limits, compaction never stopped: it rewrote 3,900 pages and
    # tripled the changes at the state service. Here each job takes a page of its own and leaves
    # it almost half empty, so the pages take up much more space than their content needs.
    cluster = SimulatedCluster(
        value_bytes=2048, txn_ops=4, capacity=30, team=Team("crew", 0.0, 1e5, 0.0, 2e3)
    )
    for number in range(100):
        # With these long names each job takes somewhat more than half a page.
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
        # The obsolete records of these jobs trigger compaction.
        job = batch(f"j-{1000 + number:06d}", 12, image="img-1")
        cluster.after(30.0 + 0.3 * number, cluster.submit, job, 2.0, number)
    cluster.run(150.0)
    assert len(cluster.running) == 100 * 14
    changes_before = cluster.state.changes
    cluster.run(60.0)
    assert cluster.state.changes - changes_before < 60


@pytest.mark.parametrize("loses_machine", [False, True])
def test_gang_that_production_placed_task_by_task_finishes_after_the_raise(
    loses_machine: bool,
) -> None:
    # The version in production accepted gangs but replaced a lost task alone, with another attempt
    # number: such tasks never rendezvous. Their attempts are abandoned once the format is raised.
    cluster = start_serving_cluster()
    cluster.submit(gang("j-000200", 3, cores=2.0), run_time=25.0)
    assert cluster.run_until(lambda: cluster.count("j-000200") == 3, 60)
    if loses_machine:
        cluster.cloud.remove_machine(cluster.find_machine("j-000200/0"))
        cluster.run(3.0)
    cluster.roll_out_upgrade(interval_s=6.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 20.0)
    check_final_state(cluster, 120.0)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE


def test_state_service_refuses_only_the_leader_during_the_raise() -> None:
    # If only the leader is refused, leadership must pass on and the format must still be raised.
    cluster = start_serving_cluster(upgraded=NODES[:2])
    cluster.upgrade(NODES[2], restart_after_s=1.0)
    cluster.run(1.0)
    cluster.refuse(wait_for_leader(cluster), 8.0)
    assert cluster.run_until(lambda: cluster.format == formats.GANGS, 30.0)
    cluster.submit(gang("j-000200", 4), run_time=3.0)
    check_final_state(cluster)
    assert cluster.query_job("j-000200")[1]["stage"] == wire.DONE


def test_reported_stages_stay_the_same_after_the_upgrade() -> None:
    # A new version that read the old ledger differently would contradict earlier replies.
    cluster = start_serving_cluster()
    cluster.submit(batch("j-000300", 3), run_time=2.0)
    assert cluster.run_until(lambda: cluster.query_job("j-000300")[1]["stage"] == wire.DONE, 60.0)
    cluster.cancel("j-000001")
    assert cluster.run_until(lambda: "j-000001" in cluster.reported_cancelled_at, 30.0)
    cluster.roll_out_upgrade(interval_s=6.0)
    assert cluster.query_job("j-000300")[1]["stage"] == wire.DONE
    assert cluster.query_job("j-000001")[1]["stage"] == wire.ABORTED
    assert cluster.query_job("j-000000")[1]["stage"] == wire.RUNNING
    for ref in ("j-000300", "j-000001", "j-000000"):
        cluster.poll_repeatedly(ref)
    cluster.run(3.0)


def test_no_job_of_a_submission_burst_is_lost_at_the_lower_rate() -> None:
    # At the lower rate writes queue up: an accepted job could be dropped or never be reported.
    cluster = start_serving_cluster(upgraded=NODES)
    cluster.lower_limits()
    for number in range(200):
        cluster.submit(batch(f"j-{1000 + number:06d}", 1, image="img-1"), 1.0, number)
    assert cluster.run_until(lambda: len(cluster.accepted) == 207, 60.0)
    check_final_state(cluster, 150.0)
    assert {cluster.rules.jobs[f"j-{1000 + number:06d}"].final_stage for number in range(200)} == {
        wire.DONE
    }
    assert not cluster.state.oversized_transactions


def test_compaction_writes_no_oversized_transaction_when_limits_are_lowered() -> None:
    # Pages of the production version are rewritten as small ones while the leader is replaced.
    cluster = start_serving_cluster()
    for number in range(160):
        cluster.after(0.2 * number, cluster.submit, batch(f"j-{1000 + number:06d}", 6), 1.0, number)
    cluster.run(40.0)
    cluster.roll_out_upgrade(interval_s=5.0)
    compacting = [False]

    def is_compacting() -> bool:
        leader = cluster.leader()
        compacting[0] = leader is not None and cluster.nodes[leader].ledger.is_compacting
        return compacting[0]

    for number in range(160):
        cluster.after(0.2 * number, cluster.submit, batch(f"j-{3000 + number:06d}", 6), 1.0, number)
    assert cluster.run_until(is_compacting, 60.0)
    cluster.lower_limits()
    change_leader(cluster)
    check_final_state(cluster, 150.0)
    assert not cluster.state.oversized_transactions
