"""Tests of gang scheduling on a small simulated cluster, with faults.

`SimulatedCluster` checks the invariants whenever a task starts or finishes.
"""

from __future__ import annotations

import pytest

from flaxtally.fakes.worker_task import WorkerTask
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import change_leader, check_final_state, wait_for_leader
from .simulated_cluster import SimulatedCluster, batch, gang, spec


def list_started_attempts(cluster: SimulatedCluster, ref: str) -> list[int]:
    """Returns the attempts in which the gang started running."""
    return [
        attempt for started_ref, attempt in cluster.gangs.started_attempts if started_ref == ref
    ]


def start_cluster_with_running_gang(
    seed: int = 1, tasks: int = 4, run_time: float = 30.0, **changes: object
) -> SimulatedCluster:
    """Returns a cluster in which the gang j-000001 runs."""
    cluster = SimulatedCluster(seed)
    cluster.submit(gang("j-000001", tasks, **changes), run_time=run_time)
    assert cluster.run_until(lambda: bool(list_started_attempts(cluster, "j-000001")), 90), (
        cluster.trace
    )
    cluster.run(1.0)
    return cluster


def assert_completes(cluster: SimulatedCluster, ref: str, limit_s: float = 120.0) -> None:
    assert cluster.run_until(lambda: ref in cluster.accepted, 30), cluster.trace[-30:]
    assert cluster.run_until(lambda: cluster.query_job(ref)[1]["stage"] == wire.DONE, limit_s), (
        cluster.trace[-30:]
    )


def find_machines_of_job(cluster: SimulatedCluster, ref: str) -> set[str]:
    return {machine for task, (machine, _) in cluster.running.items() if task.startswith(ref + "/")}


def test_gang_starts_together_in_one_zone_and_completes_once() -> None:
    # All tasks start together, in a single zone, and the gang completes in its first attempt.
    cluster = start_cluster_with_running_gang(run_time=5.0, tasks=12)
    zones = {
        cluster.workers[name].machine.zone for name in find_machines_of_job(cluster, "j-000001")
    }
    assert len(zones) == 1
    assert_completes(cluster, "j-000001")
    assert list_started_attempts(cluster, "j-000001") == [1]
    assert cluster.query_job("j-000001")[1] == {
        "ref": "j-000001",
        "stage": "done",
        "done": 12,
        "running": 0,
    }


def test_gang_starts_soon_after_its_machines_boot_without_any_other_event() -> None:
    # A gang that found no capacity when the first of its machines booted was not considered again
    # until it was overdue, as no other event requested a scheduling pass. Seen when the limits of
    # the state service dropped during a commit.
    cluster = SimulatedCluster(capacity=30)
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 390, cores=0.5, memory_gb=0.5), run_time=5.0)
    # A planning step, a boot of 8 s (at most 1.5 times that), and an image fetch.
    assert cluster.run_until(lambda: list_started_attempts(cluster, "j-000001") == [1], 18.0), (
        cluster.trace[-5:]
    )


def test_lost_machine_restarts_the_whole_gang_from_its_checkpoint() -> None:
    # Seen in the production version: a lost task was replaced under another attempt number
    # than the others, so the gang never started again.
    cluster = start_cluster_with_running_gang(tasks=12, run_time=30.0, cores=8.0)
    assert len(find_machines_of_job(cluster, "j-000001")) > 1
    cluster.run(11.0)
    lost = sorted(find_machines_of_job(cluster, "j-000001"))[0]
    cluster.cloud.remove_machine(lost)
    assert cluster.run_until(lambda: list_started_attempts(cluster, "j-000001") == [1, 2], 90), (
        cluster.trace[-40:]
    )
    assert cluster.gangs.saved_progress_s["j-000001"] == pytest.approx(10.0)
    assert_completes(cluster, "j-000001")


def test_hung_machine_ends_the_attempt_and_no_task_runs_twice() -> None:
    # A machine that hangs blocks the attempt: the gang has to restart elsewhere, exactly once.
    cluster = start_cluster_with_running_gang(tasks=12, cores=8.0)
    cluster.inject_machine_fault(
        "hung", sorted(find_machines_of_job(cluster, "j-000001"))[:1], 25.0
    )
    assert cluster.run_until(lambda: len(list_started_attempts(cluster, "j-000001")) == 2, 120), (
        cluster.trace[-40:]
    )
    assert_completes(cluster, "j-000001")


def test_machine_lost_before_the_gang_starts_is_replaced_within_the_same_attempt() -> None:
    # A task lost while the others still wait for an image must not cost them their attempt.
    cluster = SimulatedCluster()
    # The images are large, so that the tasks wait some seconds until the last one is fetched.
    cluster.submit(spec("j-000009", tasks=2, cores=12.0))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 6, cores=8.0, image_gb=8.0, image="img-9"), run_time=5.0)
    states = lambda: [  # noqa: E731  a condition that is used twice
        held.state
        for worker in cluster.workers.values()
        for held in worker.tasks.values()
        if held.task.startswith("j-000001/")
    ]
    assert cluster.run_until(lambda: wire.WAITING in states(), 90), cluster.trace
    waiting = sorted(
        name
        for name, worker in cluster.workers.items()
        if any(held.state == wire.WAITING for held in worker.tasks.values())
    )
    cluster.cloud.remove_machine(waiting[0])
    assert_completes(cluster, "j-000001")
    assert len(list_started_attempts(cluster, "j-000001")) == 1


def test_gang_can_be_cancelled_in_every_phase() -> None:
    # Cancels at delays that fall into different phases of the attempt; no task may be left running.
    for wait in (0.0, 0.05, 0.3, 1.0, 5.0):
        cluster = SimulatedCluster()
        cluster.submit(spec("j-000009", tasks=2))
        cluster.run(20.0)
        cluster.submit(gang("j-000001", 8), run_time=20.0)
        cluster.run(wait)
        cluster.cancel("j-000001", node=1)
        assert cluster.run_until(
            lambda cluster=cluster: "j-000001" in cluster.reported_cancelled_at, 30.0
        ), cluster.trace  # type: ignore[misc]
        cluster.run(5.0)
        assert cluster.count("j-000001") == 0


@pytest.mark.parametrize("after", [0.02, 0.05, 0.2, 0.6, 1.2, 3.0, 9.0])
def test_gang_completes_if_the_leader_crashes_at_any_time(after: float) -> None:
    # The new leader derives the phase of the attempt from the ledger and the workers' reports.
    cluster = SimulatedCluster(seed=int(after * 100))
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 8), run_time=8.0)
    cluster.run(after)
    change_leader(cluster)
    assert_completes(cluster, "j-000001")


def test_attempt_larger_than_a_transaction_is_committed_whole_or_not_at_all() -> None:
    # A leader that crashes between the transactions of an attempt must not leave a part of it
    # behind. With these limits, 200 placements take five pages of two kilobytes, and a transaction
    # holds two.
    for after in (0.05, 0.2, 0.4, 0.8, 1.5):
        cluster = SimulatedCluster(value_bytes=2048, txn_ops=4, capacity=30, seed=int(after * 10))
        cluster.submit(spec("j-000009", tasks=2))
        cluster.run(25.0)
        cluster.submit(gang("j-000001", 200, cores=0.5, memory_gb=1.0), run_time=8.0)
        cluster.run(after)
        change_leader(cluster)
        assert_completes(cluster, "j-000001", 200)
        assert not cluster.state.oversized_transactions


def test_gangs_that_compete_for_the_last_capacity_never_hold_half_each() -> None:
    # Gangs that each hold a part of the capacity would wait for each other indefinitely.
    cluster = SimulatedCluster(capacity=1)
    for number in range(4):
        cluster.submit(gang(f"j-{number:06d}", 6, cores=4.0), run_time=6.0, node=number)
    for number in range(4):
        assert_completes(cluster, f"j-{number:06d}", 200)
    assert all(attempt == 1 for _, attempt in cluster.gangs.started_attempts)


def test_critical_job_stops_a_gang_as_a_whole_and_its_checkpoint_is_kept() -> None:
    # Preempting single tasks would break the gang without saving: all tasks have to save and exit.
    cluster = SimulatedCluster(capacity=1)
    cluster.submit(gang("j-000001", 8, cores=8.0, memory_gb=1.0, one_zone=False), run_time=60.0)
    assert cluster.run_until(lambda: bool(list_started_attempts(cluster, "j-000001")), 90), (
        cluster.trace
    )
    cluster.run(12.0)
    cluster.submit(spec("j-000002", tasks=2, cores=14.0), node=1)
    assert cluster.run_until(lambda: cluster.count("j-000002") == 2, 90), cluster.trace[-30:]
    causes = [cause for _, attempt, cause in cluster.gangs.exits if attempt == 1]
    assert causes == [wire.CAUSE_HALTED] * 8
    assert cluster.gangs.saved_progress_s["j-000001"] > 10.0


def test_gang_that_no_set_of_zones_can_hold_is_rejected() -> None:
    # Contradictory or too large gangs would be pending indefinitely: they are rejected with 422.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(20.0)
    for number, job in enumerate(
        (
            gang("j-000001", 2, one_zone=True, spread=True),
            gang("j-000002", 2, one_zone=False, zone="a", spread=True),
            gang("j-000003", 500),
        )
    ):
        cluster.submit(job, node=number)
        cluster.run(2.0)
        assert job.ref not in cluster.accepted
        assert cluster.trace[-1].endswith("refused (422)")
    cluster.submit(gang("j-000004", 1, one_zone=True, spread=True), run_time=1.0)
    assert_completes(cluster, "j-000004")


def test_gang_keeps_running_while_every_controller_restarts() -> None:
    # The new leader learns of the attempt from the ledger and heartbeats: it must not start
    # another one.
    cluster = start_cluster_with_running_gang(run_time=40.0)
    for name in cluster.names:
        cluster.crash(name, restart_after_s=2.0)
    cluster.run(6.0)
    wait_for_leader(cluster)
    assert_completes(cluster, "j-000001")
    assert list_started_attempts(cluster, "j-000001") == [1]


# Two faults at once


def list_exit_causes(cluster: SimulatedCluster, ref: str, attempt: int) -> list[str]:
    return [
        cause
        for task, number, cause in cluster.gangs.exits
        if task.startswith(ref + "/") and number == attempt
    ]


def test_spot_notices_for_two_machines_at_once_save_the_gang_once() -> None:
    # Each notice requests a stop of the gang; the second one must not start another stop.
    cluster = start_cluster_with_running_gang(tasks=12, cores=8.0, spot=True)
    cluster.run(8.0)
    for name in sorted(find_machines_of_job(cluster, "j-000001"))[:2]:
        cluster.workers[name].preemption_notice_s = 12.0
        cluster.workers[name].report_soon()
        cluster.after(12.0, cluster.cloud.remove_machine, name)
    assert_completes(cluster, "j-000001")
    assert list_exit_causes(cluster, "j-000001", 1) == [wire.CAUSE_HALTED] * 12
    assert list_started_attempts(cluster, "j-000001") == [1, 2]
    assert cluster.gangs.saved_progress_s["j-000001"] > 8.0


def test_gang_is_done_if_other_machines_are_lost_after_one_task_completed() -> None:
    # A gang that is done must not be restarted because other tasks are lost before they report.
    cluster = start_cluster_with_running_gang(tasks=12, cores=8.0, run_time=6.0)
    assert cluster.run_until(
        lambda: wire.CAUSE_DONE in list_exit_causes(cluster, "j-000001", 1), 20.0
    )
    # All tasks complete together; the reports of the others are lost with their machines.
    for name in sorted(cluster.workers)[1:]:
        if any(held.state == wire.EXITED for held in cluster.workers[name].tasks.values()):
            cluster.cloud.remove_machine(name)
    assert_completes(cluster, "j-000001")
    cluster.run(30.0)
    assert list_started_attempts(cluster, "j-000001") == [1]
    assert cluster.query_job("j-000001")[1]["stage"] == wire.DONE


def test_machine_lost_while_the_gang_saves_restarts_it_from_its_last_checkpoint() -> None:
    # A save in which a task is lost is incomplete: the last complete checkpoint counts.
    cluster = start_cluster_with_running_gang(tasks=12, cores=8.0, spot=True, checkpoint_save_s=3.0)
    cluster.run(13.0)
    machines = sorted(find_machines_of_job(cluster, "j-000001"))
    cluster.workers[machines[0]].preemption_notice_s = 15.0
    cluster.workers[machines[0]].report_soon()

    def is_saving() -> bool:
        return any(
            held.state == wire.FLUSHING
            for worker in cluster.workers.values()
            for held in worker.tasks.values()
        )

    assert cluster.run_until(is_saving, 10.0)
    cluster.run(0.5)
    cluster.cloud.remove_machine(machines[1])
    assert_completes(cluster, "j-000001")
    assert list_started_attempts(cluster, "j-000001") == [1, 2]
    # Checkpoints are saved at multiples of 5 s.
    assert cluster.gangs.saved_progress_s["j-000001"] == pytest.approx(10.0)


@pytest.mark.parametrize("after", [0.2, 1.5, 3.2, 4.5])
def test_gang_can_be_cancelled_while_it_saves_or_restarts(after: float) -> None:
    # Cancels at several delays after a spot notice: neither the stop nor the restart may leave a
    # task running.
    cluster = start_cluster_with_running_gang(tasks=12, cores=8.0, spot=True, checkpoint_save_s=2.0)
    name = sorted(find_machines_of_job(cluster, "j-000001"))[0]
    cluster.workers[name].preemption_notice_s = 15.0
    cluster.workers[name].report_soon()
    cluster.run(1.0 + after)
    cluster.cancel("j-000001")
    assert cluster.run_until(lambda: "j-000001" in cluster.reported_cancelled_at, 30.0), (
        cluster.trace[-30:]
    )
    cluster.run(10.0)
    assert cluster.count("j-000001") == 0


@pytest.mark.parametrize("for_s", [3.0, 30.0])
def test_gang_starts_once_although_a_launch_does_not_reach_its_machine(for_s: float) -> None:
    # One fault is shorter than the time that tasks wait for the others, one is longer: then the
    # others exit as incomplete, and a new attempt is placed.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000009", tasks=2, cores=14.0))
    cluster.run(25.0)
    machine_without_replies = sorted(cluster.workers)[0]
    cluster.inject_machine_fault("deaf", [machine_without_replies], for_s)
    cluster.submit(gang("j-000001", 12, cores=2.0, one_zone=False), run_time=4.0)
    assert_completes(cluster, "j-000001", 150.0)
    assert len(list_started_attempts(cluster, "j-000001")) == 1


def test_gang_completes_if_every_controller_restarts_while_it_fetches_its_last_image() -> None:
    # The new leader has to continue an attempt of which only some tasks have their image.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000009", tasks=2, cores=12.0))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 6, cores=8.0, image_gb=8.0, image="img-9"), run_time=5.0)
    assert cluster.run_until(
        lambda: any(task.startswith("j-000001/") for task in cluster.running), 60.0
    )
    for name in cluster.names:
        cluster.crash(name, restart_after_s=1.0)
    assert_completes(cluster, "j-000001")


def test_gang_on_partitioned_machines_starts_nowhere_else_before_it_is_proven_finished() -> None:
    # The tasks on partitioned machines may still run: a second attempt elsewhere would run them
    # twice. `SimulatedCluster` checks that no task starts while another of its job is in another
    # zone.
    cluster = start_cluster_with_running_gang(tasks=8, run_time=60.0)
    partitioned = sorted(find_machines_of_job(cluster, "j-000001"))
    cluster.inject_machine_fault("cut", partitioned, 45.0)
    cluster.run(60.0)
    assert_completes(cluster, "j-000001", 200.0)


@pytest.mark.parametrize("seed", range(8))
def test_gangs_under_random_faults(seed: int) -> None:
    # Random gangs, cancellations and faults: each gang completes unless it was cancelled.
    cluster = SimulatedCluster(seed, capacity=6)
    rng = cluster.rng
    cluster.submit(spec("j-000009", tasks=4))
    cluster.run(20.0)
    for number in range(10):
        job = gang(
            f"j-{100 + number:06d}",
            rng.choice([1, 3, 6, 10]),
            cores=rng.choice([1.0, 4.0, 8.0]),
            rank=rng.choice(["high", "standard"]),
            one_zone=rng.random() < 0.7,
            spread=False,
            spot=rng.random() < 0.5,
        )
        cluster.after(rng.uniform(0, 30.0), cluster.submit, job, rng.uniform(3.0, 25.0), number)
        if rng.random() < 0.2:
            cluster.after(rng.uniform(5.0, 50.0), cluster.cancel, job.ref, number)
    for _ in range(8):
        cluster.run(rng.uniform(2.0, 7.0))
        machines = sorted(cluster.workers)
        fault = rng.choice(["crash", "hung", "deaf", "mute", "cut", "take", "refuse", "lose"])
        if fault == "crash":
            cluster.crash(wait_for_leader(cluster), restart_after_s=rng.uniform(0.2, 5.0))
        elif fault == "refuse":
            cluster.refuse(wait_for_leader(cluster), rng.uniform(2.0, 8.0))
        elif fault == "lose":
            cluster.lose_writes(0.5, 5.0, at_once=rng.random() < 0.5)
        elif not machines:
            continue  # earlier faults took all machines
        elif fault == "take":
            cluster.cloud.remove_machine(rng.choice(machines))
        else:
            cluster.inject_machine_fault(fault, rng.sample(machines, 1), rng.uniform(2.0, 20.0))
    check_final_state(cluster, 150.0)
    for number in range(10):
        known = cluster.rules.jobs[f"j-{100 + number:06d}"]
        assert known.is_cancel_requested or known.final_stage == wire.DONE, (
            number,
            cluster.trace[-40:],
        )


def test_high_rank_gang_preempts_lower_ranks_only_if_it_can_then_start_whole() -> None:
    # Preemption for a gang that still can't start would discard work for nothing.
    cluster = SimulatedCluster(capacity=1)
    for number in range(4):
        cluster.submit(
            batch(f"j-{200 + number:06d}", 8, checkpoint_interval_s=2.0, checkpoint_save_s=1.0),
            200.0,
            number,
        )
    cluster.run(60.0)
    busy = dict(cluster.running)
    assert len(busy) >= 16
    # The gang needs more than the whole fleet: no task is stopped for it.
    cluster.submit(gang("j-000001", 60, rank="high", cores=3.0), run_time=3.0)
    cluster.run(15.0)
    assert {task: where for task, where in cluster.running.items() if task in busy} == busy
    cluster.cancel("j-000001")
    cluster.run(5.0)
    cluster.submit(gang("j-000002", 6, rank="high", cores=4.0), run_time=3.0)
    assert cluster.run_until(lambda: list_started_attempts(cluster, "j-000002") == [1], 12.0), (
        cluster.trace[-30:]
    )
    assert_completes(cluster, "j-000002")


def test_small_jobs_do_not_starve_a_waiting_gang() -> None:
    # Every machine is full of small tasks that finish at different times, and more of them keep
    # arriving: without a reservation the gang found no capacity as long as that lasted.
    cluster = SimulatedCluster(capacity=1, team=Team("crew", 0.0, 500.0, 0.0, 64.0))
    for number in range(400):
        job = spec(
            f"j-{1000 + number:06d}",
            job_kind=wire.ARRAY,
            rank="standard",
            job_class="small",
            tasks=4,
            cores=2.0,
            spread=False,
            estimated_run_s=6.0,
        )
        cluster.after(0.5 * number, cluster.submit, job, 5.0 + number % 4, number)
    cluster.run(60.0)
    cluster.submit(gang("j-000001", 5, cores=6.0), run_time=3.0)
    assert cluster.run_until(lambda: list_started_attempts(cluster, "j-000001") == [1], 130.0), (
        cluster.trace[-30:]
    )


def test_unknown_cause_or_state_is_logged_once_and_other_tasks_still_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Workers of a newer version may report causes and states that the leader does not know: the
    # rest of the report must still be handled.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2, spread=False, cores=1.0))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    worker = cluster.workers[cluster.find_machine("j-000001/0")]
    worker.exit(worker.tasks["j-000001/0", 1], "novelty")
    worker.tasks["j-000001/1", 1].state = "pondering"
    worker.report_soon()
    assert cluster.run_until(lambda: cluster.running.get("j-000001/0", ("", 0))[1] == 2, 20)
    unknown = [entry.message for entry in caplog.records if "event=unknown" in entry.message]
    assert sorted(line.split()[0] for line in unknown) == [
        "event=unknown_cause",
        "event=unknown_state",
    ]


def test_gang_over_its_team_limit_waits_until_another_gang_is_proven_finished() -> None:
    # A cancelled gang counts towards the limit while a hung machine may still run its tasks.
    # `SimulatedCluster` checks the limit whenever a task starts.
    cluster = SimulatedCluster(team=Team("crew", 0.0, 20.0, 0.0, 8.0), capacity=6)
    cluster.submit(gang("j-000001", 8, cores=2.0), run_time=60.0)
    assert cluster.run_until(lambda: list_started_attempts(cluster, "j-000001") == [1], 90)
    cluster.submit(gang("j-000002", 6, cores=2.0), run_time=3.0)
    hung = sorted(find_machines_of_job(cluster, "j-000001"))[:1]
    cluster.run(5.0)
    cluster.inject_machine_fault("hung", hung, 12.0)
    cluster.cancel("j-000001")
    cluster.run(2.0)
    assert list_started_attempts(cluster, "j-000002") == []
    assert_completes(cluster, "j-000002")


def test_gang_completes_if_the_state_service_lowers_its_limits_during_its_commit() -> None:
    # The rest of the commit no longer fits the limits: the gang must start whole all the same.
    cluster = SimulatedCluster(value_bytes=8192, capacity=30)
    cluster.state.enforce(8192, 32)
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 390, cores=0.5, memory_gb=0.5), run_time=5.0)
    assert cluster.run_until(
        lambda: cluster.nodes[wait_for_leader(cluster)].ledger.is_committing, 30.0
    )
    cluster.state.enforce(2048, 4, 15.0)
    assert_completes(cluster, "j-000001", 150.0)
    assert list_started_attempts(cluster, "j-000001") in ([1], [2])


def test_gang_submitted_to_several_nodes_is_one_gang() -> None:
    # Users repeat a submission at other nodes: the gang must run only once.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(20.0)
    for node in range(3):
        cluster.submit(gang("j-000001", 4), run_time=4.0, node=node)
    assert_completes(cluster, "j-000001")
    assert list_started_attempts(cluster, "j-000001") == [1]
    assert len(cluster.gangs.exits) == 4


def test_waiting_task_of_an_unknown_attempt_is_stopped() -> None:
    # A task that waits for a gang that isn't in the ledger would occupy its machine for nothing.
    cluster = start_cluster_with_running_gang(run_time=60.0)
    cluster.cloud.add("c16", "a", False, boot=1.0)
    cluster.run(6.0)
    worker = cluster.workers[min(set(cluster.workers) - find_machines_of_job(cluster, "j-000001"))]
    stray = WorkerTask("j-000777/0", 3, wire.WAITING)
    worker.tasks["j-000777/0", 3] = stray
    worker.report_soon()
    assert cluster.run_until(lambda: ("j-000777/0", 3) not in worker.tasks, 20.0)
    assert stray.state == wire.EXITED
    assert list_started_attempts(cluster, "j-000001") == [1]
