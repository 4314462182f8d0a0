"""Gangs on a small deployment: whole or not at all, through failures.

`SimulatedCluster` checks the rules at every start and end of a task.
"""

from __future__ import annotations

import pytest

from flaxtally.fakes.held_task import HeldTask
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import change_leader, check_final_state, wait_for_leader
from .simulated_cluster import SimulatedCluster, batch, gang, spec


def started_attempts(cluster: SimulatedCluster, ref: str) -> list[int]:
    """The attempts of the gang that began."""
    return [attempt for started, attempt in cluster.gangs.started_attempts if started == ref]


def running_gang(
    seed: int = 1, tasks: int = 4, run_time: float = 30.0, **changes: object
) -> SimulatedCluster:
    """A world in which the gang j-000001 runs."""
    cluster = SimulatedCluster(seed)
    cluster.submit(gang("j-000001", tasks, **changes), run_time=run_time)
    assert cluster.run_until(lambda: bool(started_attempts(cluster, "j-000001")), 90), cluster.trace
    cluster.run(1.0)
    return cluster


def ends_done(cluster: SimulatedCluster, ref: str, most: float = 120.0) -> None:
    assert cluster.run_until(lambda: ref in cluster.accepted, 30), cluster.trace[-30:]
    assert cluster.run_until(lambda: cluster.query_job(ref)[1]["stage"] == wire.DONE, most), (
        cluster.trace[-30:]
    )


def machines_of(cluster: SimulatedCluster, ref: str) -> set[str]:
    return {machine for task, (machine, _) in cluster.running.items() if task.startswith(ref + "/")}


def test_a_gang_starts_together_in_one_zone_and_is_done_once() -> None:
    cluster = running_gang(run_time=5.0, tasks=12)
    zones = {cluster.workers[name].machine.zone for name in machines_of(cluster, "j-000001")}
    assert len(zones) == 1
    ends_done(cluster, "j-000001")
    assert started_attempts(cluster, "j-000001") == [1]
    assert cluster.query_job("j-000001")[1] == {
        "ref": "j-000001",
        "stage": "done",
        "done": 12,
        "running": 0,
    }


def test_a_gang_begins_soon_after_its_machines_are_up_though_nothing_else_happens() -> None:
    # Found with lower limits in the middle of a commit: a gang that found no room as the first of
    # its machines came up was not looked at again before it was overdue.
    cluster = SimulatedCluster(capacity=30)
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 390, cores=0.5, memory_gb=0.5), run_time=5.0)
    # A plan, a boot of 8 s (at most 1.5 times that), an image.
    assert cluster.run_until(lambda: started_attempts(cluster, "j-000001") == [1], 18.0), (
        cluster.trace[-5:]
    )


def test_a_lost_machine_restarts_the_whole_gang_from_its_checkpoint() -> None:
    # Found in the production version: a lost task came back alone with another attempt number, so
    # the gang never met again.
    cluster = running_gang(tasks=12, run_time=30.0, cores=8.0)
    assert len(machines_of(cluster, "j-000001")) > 1
    cluster.run(11.0)
    lost = sorted(machines_of(cluster, "j-000001"))[0]
    cluster.cloud.remove_machine(lost)
    assert cluster.run_until(lambda: started_attempts(cluster, "j-000001") == [1, 2], 90), (
        cluster.trace[-40:]
    )
    assert cluster.gangs.saved_progress_s["j-000001"] == pytest.approx(10.0)
    ends_done(cluster, "j-000001")


def test_a_hung_machine_ends_the_attempt_and_nothing_runs_twice() -> None:
    cluster = running_gang(tasks=12, cores=8.0)
    cluster.inject_machine_fault("hung", sorted(machines_of(cluster, "j-000001"))[:1], 25.0)
    assert cluster.run_until(lambda: len(started_attempts(cluster, "j-000001")) == 2, 120), (
        cluster.trace[-40:]
    )
    ends_done(cluster, "j-000001")


def test_a_machine_lost_before_the_start_is_replaced_under_the_same_attempt() -> None:
    cluster = SimulatedCluster()
    # Large images: the tasks wait for the last of them for some seconds.
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
    ends_done(cluster, "j-000001")
    assert len(started_attempts(cluster, "j-000001")) == 1


def test_a_cancelled_gang_is_gone_in_every_phase() -> None:
    for wait in (0.0, 0.05, 0.3, 1.0, 5.0):
        cluster = SimulatedCluster()
        cluster.submit(spec("j-000009", tasks=2))
        cluster.run(20.0)
        cluster.submit(gang("j-000001", 8), run_time=20.0)
        cluster.run(wait)
        cluster.cancel("j-000001", node=1)
        assert cluster.run_until(lambda w=cluster: "j-000001" in w.reported_cancelled_at, 30.0), (
            cluster.trace
        )  # type: ignore[misc]
        cluster.run(5.0)
        assert cluster.count("j-000001") == 0


@pytest.mark.parametrize("after", [0.02, 0.05, 0.2, 0.6, 1.2, 3.0, 9.0])
def test_the_leader_ends_at_any_moment_of_a_gang(after: float) -> None:
    cluster = SimulatedCluster(seed=int(after * 100))
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 8), run_time=8.0)
    cluster.run(after)
    change_leader(cluster)
    ends_done(cluster, "j-000001")


def test_attempts_larger_than_a_transaction_are_whole_or_nothing() -> None:
    # The lower limits: 200 placements take five pages of two kilobytes, a transaction has two.
    for after in (0.05, 0.2, 0.4, 0.8, 1.5):
        cluster = SimulatedCluster(value_bytes=2048, txn_ops=4, capacity=30, seed=int(after * 10))
        cluster.submit(spec("j-000009", tasks=2))
        cluster.run(25.0)
        cluster.submit(gang("j-000001", 200, cores=0.5, memory_gb=1.0), run_time=8.0)
        cluster.run(after)
        change_leader(cluster)
        ends_done(cluster, "j-000001", 200)
        assert not cluster.state.oversized_transactions


def test_two_gangs_that_want_the_last_room_never_hold_half_each() -> None:
    cluster = SimulatedCluster(capacity=1)
    for number in range(4):
        cluster.submit(gang(f"j-{number:06d}", 6, cores=4.0), run_time=6.0, node=number)
    for number in range(4):
        ends_done(cluster, f"j-{number:06d}", 200)
    assert all(attempt == 1 for _, attempt in cluster.gangs.started_attempts)


def test_critical_work_stops_a_gang_as_a_whole_and_its_progress_is_kept() -> None:
    cluster = SimulatedCluster(capacity=1)
    cluster.submit(gang("j-000001", 8, cores=8.0, memory_gb=1.0, one_zone=False), run_time=60.0)
    assert cluster.run_until(lambda: bool(started_attempts(cluster, "j-000001")), 90), cluster.trace
    cluster.run(12.0)
    cluster.submit(spec("j-000002", tasks=2, cores=14.0), node=1)
    assert cluster.run_until(lambda: cluster.count("j-000002") == 2, 90), cluster.trace[-30:]
    causes = [cause for _, attempt, cause in cluster.gangs.exits if attempt == 1]
    assert causes == [wire.CAUSE_HALTED] * 8
    assert cluster.gangs.saved_progress_s["j-000001"] > 10.0


def test_a_gang_that_no_zones_hold_is_refused() -> None:
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
    ends_done(cluster, "j-000004")


def test_every_controller_restarts_while_a_gang_runs() -> None:
    cluster = running_gang(run_time=40.0)
    for name in cluster.names:
        cluster.crash(name, back_after=2.0)
    cluster.run(6.0)
    wait_for_leader(cluster)
    ends_done(cluster, "j-000001")
    assert started_attempts(cluster, "j-000001") == [1]


# Two troubles at once


def exits(cluster: SimulatedCluster, ref: str, attempt: int) -> list[str]:
    return [
        cause
        for task, number, cause in cluster.gangs.exits
        if task.startswith(ref + "/") and number == attempt
    ]


def test_a_spot_notice_for_two_machines_at_once_saves_the_gang_once() -> None:
    cluster = running_gang(tasks=12, cores=8.0, spot=True)
    cluster.run(8.0)
    for name in sorted(machines_of(cluster, "j-000001"))[:2]:
        cluster.workers[name].notice = 12.0
        cluster.workers[name].report_soon()
        cluster.after(12.0, cluster.cloud.remove_machine, name)
    ends_done(cluster, "j-000001")
    assert exits(cluster, "j-000001", 1) == [wire.CAUSE_HALTED] * 12
    assert started_attempts(cluster, "j-000001") == [1, 2]
    assert cluster.gangs.saved_progress_s["j-000001"] > 8.0


def test_one_task_is_done_as_the_machine_of_another_dies() -> None:
    cluster = running_gang(tasks=12, cores=8.0, run_time=6.0)
    assert cluster.run_until(lambda: wire.CAUSE_DONE in exits(cluster, "j-000001", 1), 20.0)
    # All complete together; what the others' machines would have reported is lost with them.
    for name in sorted(cluster.workers)[1:]:
        if any(held.state == wire.EXITED for held in cluster.workers[name].tasks.values()):
            cluster.cloud.remove_machine(name)
    ends_done(cluster, "j-000001")
    cluster.run(30.0)
    assert started_attempts(cluster, "j-000001") == [1]
    assert cluster.query_job("j-000001")[1]["stage"] == wire.DONE


def test_a_machine_lost_while_the_gang_saves_sends_it_back_to_its_checkpoint() -> None:
    cluster = running_gang(tasks=12, cores=8.0, spot=True, checkpoint_save_s=3.0)
    cluster.run(13.0)
    machines = sorted(machines_of(cluster, "j-000001"))
    cluster.workers[machines[0]].notice = 15.0
    cluster.workers[machines[0]].report_soon()

    def saving() -> bool:
        return any(
            held.state == wire.FLUSHING
            for worker in cluster.workers.values()
            for held in worker.tasks.values()
        )

    assert cluster.run_until(saving, 10.0)
    cluster.run(0.5)
    cluster.cloud.remove_machine(machines[1])
    ends_done(cluster, "j-000001")
    assert started_attempts(cluster, "j-000001") == [1, 2]
    # Checkpoints are at multiples of 5 s.
    assert cluster.gangs.saved_progress_s["j-000001"] == pytest.approx(10.0)


@pytest.mark.parametrize("after", [0.2, 1.5, 3.2, 4.5])
def test_a_gang_is_cancelled_while_it_saves_or_restarts(after: float) -> None:
    cluster = running_gang(tasks=12, cores=8.0, spot=True, checkpoint_save_s=2.0)
    name = sorted(machines_of(cluster, "j-000001"))[0]
    cluster.workers[name].notice = 15.0
    cluster.workers[name].report_soon()
    cluster.run(1.0 + after)
    cluster.cancel("j-000001")
    assert cluster.run_until(lambda: "j-000001" in cluster.reported_cancelled_at, 30.0), (
        cluster.trace[-30:]
    )
    cluster.run(10.0)
    assert cluster.count("j-000001") == 0


@pytest.mark.parametrize("for_s", [3.0, 30.0])
def test_the_launch_of_one_task_does_not_reach_its_machine(for_s: float) -> None:
    # Shorter than the others wait, and longer: then they exit as incomplete, and all begins anew.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000009", tasks=2, cores=14.0))
    cluster.run(25.0)
    deaf = sorted(cluster.workers)[0]
    cluster.inject_machine_fault("deaf", [deaf], for_s)
    cluster.submit(gang("j-000001", 12, cores=2.0, one_zone=False), run_time=4.0)
    ends_done(cluster, "j-000001", 150.0)
    assert len(started_attempts(cluster, "j-000001")) == 1


def test_every_controller_restarts_while_a_gang_waits_for_its_last_image() -> None:
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000009", tasks=2, cores=12.0))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 6, cores=8.0, image_gb=8.0, image="img-9"), run_time=5.0)
    assert cluster.run_until(
        lambda: any(task.startswith("j-000001/") for task in cluster.running), 60.0
    )
    for name in cluster.names:
        cluster.crash(name, back_after=1.0)
    ends_done(cluster, "j-000001")


def test_a_gang_cut_off_in_its_zone_starts_nowhere_else_before_it_is_proven_over() -> None:
    # `SimulatedCluster` checks that no task starts while another of its job is in another zone.
    cluster = running_gang(tasks=8, run_time=60.0)
    gone = sorted(machines_of(cluster, "j-000001"))
    cluster.inject_machine_fault("cut", gone, 45.0)
    cluster.run(60.0)
    ends_done(cluster, "j-000001", 200.0)


@pytest.mark.parametrize("seed", range(8))
def test_gangs_through_random_troubles(seed: int) -> None:
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
        trouble = rng.choice(["crash", "hung", "deaf", "mute", "cut", "take", "refuse", "lose"])
        if trouble == "crash":
            cluster.crash(wait_for_leader(cluster), back_after=rng.uniform(0.2, 5.0))
        elif trouble == "take":
            cluster.cloud.remove_machine(rng.choice(machines))
        elif trouble == "refuse":
            cluster.refuse(wait_for_leader(cluster), rng.uniform(2.0, 8.0))
        elif trouble == "lose":
            cluster.lose_writes(0.5, 5.0, at_once=rng.random() < 0.5)
        elif machines:
            cluster.inject_machine_fault(trouble, rng.sample(machines, 1), rng.uniform(2.0, 20.0))
    check_final_state(cluster, 150.0)
    for number in range(10):
        known = cluster.rules.jobs[f"j-{100 + number:06d}"]
        assert known.asked_to_cancel or known.told == wire.DONE, (number, cluster.trace[-40:])


def test_a_gang_of_high_rank_stops_lower_work_only_where_it_then_starts_whole() -> None:
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
    # More than the whole fleet: nobody is stopped for it.
    cluster.submit(gang("j-000001", 60, rank="high", cores=3.0), run_time=3.0)
    cluster.run(15.0)
    assert {task: where for task, where in cluster.running.items() if task in busy} == busy
    cluster.cancel("j-000001")
    cluster.run(5.0)
    cluster.submit(gang("j-000002", 6, rank="high", cores=4.0), run_time=3.0)
    assert cluster.run_until(lambda: started_attempts(cluster, "j-000002") == [1], 12.0), (
        cluster.trace[-30:]
    )
    ends_done(cluster, "j-000002")


def test_small_work_does_not_overtake_a_waiting_gang_for_ever() -> None:
    # Every machine is full of small tasks that end at different times, and more of them come all
    # the time: without room held for it the gang found none as long as that lasted.
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
    assert cluster.run_until(lambda: started_attempts(cluster, "j-000001") == [1], 130.0), (
        cluster.trace[-30:]
    )


def test_an_unknown_reason_is_one_log_line_and_the_other_tasks_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
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


def test_a_gang_that_fits_its_teams_limit_only_once_another_is_proven_over() -> None:
    # `SimulatedCluster` checks the limit at every start.
    cluster = SimulatedCluster(team=Team("crew", 0.0, 20.0, 0.0, 8.0), capacity=6)
    cluster.submit(gang("j-000001", 8, cores=2.0), run_time=60.0)
    assert cluster.run_until(lambda: started_attempts(cluster, "j-000001") == [1], 90)
    cluster.submit(gang("j-000002", 6, cores=2.0), run_time=3.0)
    silent = sorted(machines_of(cluster, "j-000001"))[:1]
    cluster.run(5.0)
    cluster.inject_machine_fault("hung", silent, 12.0)
    cluster.cancel("j-000001")
    cluster.run(2.0)
    assert started_attempts(cluster, "j-000002") == []
    ends_done(cluster, "j-000002")


def test_lower_limits_in_the_middle_of_a_gangs_commit() -> None:
    cluster = SimulatedCluster(value_bytes=8192, capacity=30)
    cluster.state.enforce(8192, 32)
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(25.0)
    cluster.submit(gang("j-000001", 390, cores=0.5, memory_gb=0.5), run_time=5.0)
    assert cluster.run_until(
        lambda: cluster.nodes[wait_for_leader(cluster)].ledger.is_committing, 30.0
    )
    cluster.state.enforce(2048, 4, 15.0)
    ends_done(cluster, "j-000001", 150.0)
    assert started_attempts(cluster, "j-000001") in ([1], [2])


def test_copies_of_a_gangs_submission_at_several_nodes_are_one_gang() -> None:
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000009", tasks=2))
    cluster.run(20.0)
    for node in range(3):
        cluster.submit(gang("j-000001", 4), run_time=4.0, node=node)
    ends_done(cluster, "j-000001")
    assert started_attempts(cluster, "j-000001") == [1]
    assert len(cluster.gangs.exits) == 4


def test_a_waiting_task_of_an_attempt_that_nobody_placed_is_stopped() -> None:
    cluster = running_gang(run_time=60.0)
    cluster.cloud.add("c16", "a", False, boot=1.0)
    cluster.run(6.0)
    worker = cluster.workers[min(set(cluster.workers) - machines_of(cluster, "j-000001"))]
    stray = HeldTask("j-000777/0", 3, wire.WAITING)
    worker.tasks["j-000777/0", 3] = stray
    worker.report_soon()
    assert cluster.run_until(lambda: ("j-000777/0", 3) not in worker.tasks, 20.0)
    assert stray.state == wire.EXITED
    assert started_attempts(cluster, "j-000001") == [1]
