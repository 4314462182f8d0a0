"""Gangs on a small deployment: whole or not at all, through failures.

`SimulatedCluster` checks the rules at every start and end of a task.
"""

from __future__ import annotations

import pytest

from flaxtally.fakes.held_task import Held
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import change_leader, ends_well, leader_of
from .simulated_cluster import SimulatedCluster, batch, gang, spec


def begun(world: SimulatedCluster, ref: str) -> list[int]:
    """The attempts of the gang that began."""
    return [attempt for started, attempt in world.gangs.begun if started == ref]


def running_gang(
    seed: int = 1, tasks: int = 4, run_time: float = 30.0, **changes: object
) -> SimulatedCluster:
    """A world in which the gang j-000001 runs."""
    world = SimulatedCluster(seed)
    world.submit(gang("j-000001", tasks, **changes), run_time=run_time)
    assert world.until(lambda: bool(begun(world, "j-000001")), 90), world.trace
    world.run(1.0)
    return world


def ends_done(world: SimulatedCluster, ref: str, most: float = 120.0) -> None:
    assert world.until(lambda: ref in world.accepted, 30), world.trace[-30:]
    assert world.until(lambda: world.ask(ref)[1]["stage"] == wire.DONE, most), world.trace[-30:]


def machines_of(world: SimulatedCluster, ref: str) -> set[str]:
    return {machine for task, (machine, _) in world.running.items() if task.startswith(ref + "/")}


def test_a_gang_starts_together_in_one_zone_and_is_done_once() -> None:
    world = running_gang(run_time=5.0, tasks=12)
    zones = {world.workers[name].machine.zone for name in machines_of(world, "j-000001")}
    assert len(zones) == 1
    ends_done(world, "j-000001")
    assert begun(world, "j-000001") == [1]
    assert world.ask("j-000001")[1] == {
        "ref": "j-000001",
        "stage": "done",
        "done": 12,
        "running": 0,
    }


def test_a_gang_begins_soon_after_its_machines_are_up_though_nothing_else_happens() -> None:
    # Found with lower limits in the middle of a commit: a gang that found no room as the first of
    # its machines came up was not looked at again before it was overdue.
    world = SimulatedCluster(capacity=30)
    world.submit(spec("j-000009", tasks=2))
    world.run(25.0)
    world.submit(gang("j-000001", 390, cores=0.5, memory_gb=0.5), run_time=5.0)
    # A plan, a boot of 8 s (at most 1.5 times that), an image.
    assert world.until(lambda: begun(world, "j-000001") == [1], 18.0), world.trace[-5:]


def test_a_lost_machine_restarts_the_whole_gang_from_its_checkpoint() -> None:
    # Found in the production version: a lost task came back alone with another attempt number, so
    # the gang never met again.
    world = running_gang(tasks=12, run_time=30.0, cores=8.0)
    assert len(machines_of(world, "j-000001")) > 1
    world.run(11.0)
    lost = sorted(machines_of(world, "j-000001"))[0]
    world.cloud.take(lost)
    assert world.until(lambda: begun(world, "j-000001") == [1, 2], 90), world.trace[-40:]
    assert world.gangs.safe["j-000001"] == pytest.approx(10.0)
    ends_done(world, "j-000001")


def test_a_hung_machine_ends_the_attempt_and_nothing_runs_twice() -> None:
    world = running_gang(tasks=12, cores=8.0)
    world.machine_trouble("hung", sorted(machines_of(world, "j-000001"))[:1], 25.0)
    assert world.until(lambda: len(begun(world, "j-000001")) == 2, 120), world.trace[-40:]
    ends_done(world, "j-000001")


def test_a_machine_lost_before_the_start_is_replaced_under_the_same_attempt() -> None:
    world = SimulatedCluster()
    # Large images: the tasks wait for the last of them for some seconds.
    world.submit(spec("j-000009", tasks=2, cores=12.0))
    world.run(25.0)
    world.submit(gang("j-000001", 6, cores=8.0, image_gb=8.0, image="img-9"), run_time=5.0)
    states = lambda: [  # noqa: E731  a condition that is used twice
        held.state
        for worker in world.workers.values()
        for held in worker.tasks.values()
        if held.task.startswith("j-000001/")
    ]
    assert world.until(lambda: wire.WAITING in states(), 90), world.trace
    waiting = sorted(
        name
        for name, worker in world.workers.items()
        if any(held.state == wire.WAITING for held in worker.tasks.values())
    )
    world.cloud.take(waiting[0])
    ends_done(world, "j-000001")
    assert len(begun(world, "j-000001")) == 1


def test_a_cancelled_gang_is_gone_in_every_phase() -> None:
    for wait in (0.0, 0.05, 0.3, 1.0, 5.0):
        world = SimulatedCluster()
        world.submit(spec("j-000009", tasks=2))
        world.run(20.0)
        world.submit(gang("j-000001", 8), run_time=20.0)
        world.run(wait)
        world.cancel("j-000001", node=1)
        assert world.until(lambda w=world: "j-000001" in w.told_cancelled, 30.0), world.trace  # type: ignore[misc]
        world.run(5.0)
        assert world.count("j-000001") == 0


@pytest.mark.parametrize("after", [0.02, 0.05, 0.2, 0.6, 1.2, 3.0, 9.0])
def test_the_leader_ends_at_any_moment_of_a_gang(after: float) -> None:
    world = SimulatedCluster(seed=int(after * 100))
    world.submit(spec("j-000009", tasks=2))
    world.run(25.0)
    world.submit(gang("j-000001", 8), run_time=8.0)
    world.run(after)
    change_leader(world)
    ends_done(world, "j-000001")


def test_attempts_larger_than_a_transaction_are_whole_or_nothing() -> None:
    # The lower limits: 200 placements take five pages of two kilobytes, a transaction has two.
    for after in (0.05, 0.2, 0.4, 0.8, 1.5):
        world = SimulatedCluster(value_bytes=2048, txn_ops=4, capacity=30, seed=int(after * 10))
        world.submit(spec("j-000009", tasks=2))
        world.run(25.0)
        world.submit(gang("j-000001", 200, cores=0.5, memory_gb=1.0), run_time=8.0)
        world.run(after)
        change_leader(world)
        ends_done(world, "j-000001", 200)
        assert not world.state.over_limit


def test_two_gangs_that_want_the_last_room_never_hold_half_each() -> None:
    world = SimulatedCluster(capacity=1)
    for number in range(4):
        world.submit(gang(f"j-{number:06d}", 6, cores=4.0), run_time=6.0, node=number)
    for number in range(4):
        ends_done(world, f"j-{number:06d}", 200)
    assert all(attempt == 1 for _, attempt in world.gangs.begun)


def test_critical_work_stops_a_gang_as_a_whole_and_its_progress_is_kept() -> None:
    world = SimulatedCluster(capacity=1)
    world.submit(gang("j-000001", 8, cores=8.0, memory_gb=1.0, one_zone=False), run_time=60.0)
    assert world.until(lambda: bool(begun(world, "j-000001")), 90), world.trace
    world.run(12.0)
    world.submit(spec("j-000002", tasks=2, cores=14.0), node=1)
    assert world.until(lambda: world.count("j-000002") == 2, 90), world.trace[-30:]
    causes = [cause for _, attempt, cause in world.gangs.exits if attempt == 1]
    assert causes == [wire.CAUSE_HALTED] * 8
    assert world.gangs.safe["j-000001"] > 10.0


def test_a_gang_that_no_zones_hold_is_refused() -> None:
    world = SimulatedCluster()
    world.submit(spec("j-000009", tasks=2))
    world.run(20.0)
    for number, job in enumerate(
        (
            gang("j-000001", 2, one_zone=True, spread=True),
            gang("j-000002", 2, one_zone=False, zone="a", spread=True),
            gang("j-000003", 500),
        )
    ):
        world.submit(job, node=number)
        world.run(2.0)
        assert job.ref not in world.accepted
        assert world.trace[-1].endswith("refused (422)")
    world.submit(gang("j-000004", 1, one_zone=True, spread=True), run_time=1.0)
    ends_done(world, "j-000004")


def test_every_controller_restarts_while_a_gang_runs() -> None:
    world = running_gang(run_time=40.0)
    for name in world.names:
        world.crash(name, back_after=2.0)
    world.run(6.0)
    leader_of(world)
    ends_done(world, "j-000001")
    assert begun(world, "j-000001") == [1]


# Two troubles at once


def exits(world: SimulatedCluster, ref: str, attempt: int) -> list[str]:
    return [
        cause
        for task, number, cause in world.gangs.exits
        if task.startswith(ref + "/") and number == attempt
    ]


def test_a_spot_notice_for_two_machines_at_once_saves_the_gang_once() -> None:
    world = running_gang(tasks=12, cores=8.0, spot=True)
    world.run(8.0)
    for name in sorted(machines_of(world, "j-000001"))[:2]:
        world.workers[name].notice = 12.0
        world.workers[name].changed()
        world.after(12.0, world.cloud.take, name)
    ends_done(world, "j-000001")
    assert exits(world, "j-000001", 1) == [wire.CAUSE_HALTED] * 12
    assert begun(world, "j-000001") == [1, 2]
    assert world.gangs.safe["j-000001"] > 8.0


def test_one_task_is_done_as_the_machine_of_another_dies() -> None:
    world = running_gang(tasks=12, cores=8.0, run_time=6.0)
    assert world.until(lambda: wire.CAUSE_DONE in exits(world, "j-000001", 1), 20.0)
    # All complete together; what the others' machines would have reported is lost with them.
    for name in sorted(world.workers)[1:]:
        if any(held.state == wire.EXITED for held in world.workers[name].tasks.values()):
            world.cloud.take(name)
    ends_done(world, "j-000001")
    world.run(30.0)
    assert begun(world, "j-000001") == [1]
    assert world.ask("j-000001")[1]["stage"] == wire.DONE


def test_a_machine_lost_while_the_gang_saves_sends_it_back_to_its_checkpoint() -> None:
    world = running_gang(tasks=12, cores=8.0, spot=True, checkpoint_save_s=3.0)
    world.run(13.0)
    machines = sorted(machines_of(world, "j-000001"))
    world.workers[machines[0]].notice = 15.0
    world.workers[machines[0]].changed()

    def saving() -> bool:
        return any(
            held.state == wire.FLUSHING
            for worker in world.workers.values()
            for held in worker.tasks.values()
        )

    assert world.until(saving, 10.0)
    world.run(0.5)
    world.cloud.take(machines[1])
    ends_done(world, "j-000001")
    assert begun(world, "j-000001") == [1, 2]
    # Checkpoints are at multiples of 5 s.
    assert world.gangs.safe["j-000001"] == pytest.approx(10.0)


@pytest.mark.parametrize("after", [0.2, 1.5, 3.2, 4.5])
def test_a_gang_is_cancelled_while_it_saves_or_restarts(after: float) -> None:
    world = running_gang(tasks=12, cores=8.0, spot=True, checkpoint_save_s=2.0)
    name = sorted(machines_of(world, "j-000001"))[0]
    world.workers[name].notice = 15.0
    world.workers[name].changed()
    world.run(1.0 + after)
    world.cancel("j-000001")
    assert world.until(lambda: "j-000001" in world.told_cancelled, 30.0), world.trace[-30:]
    world.run(10.0)
    assert world.count("j-000001") == 0


@pytest.mark.parametrize("for_s", [3.0, 30.0])
def test_the_launch_of_one_task_does_not_reach_its_machine(for_s: float) -> None:
    # Shorter than the others wait, and longer: then they exit as incomplete, and all begins anew.
    world = SimulatedCluster()
    world.submit(spec("j-000009", tasks=2, cores=14.0))
    world.run(25.0)
    deaf = sorted(world.workers)[0]
    world.machine_trouble("deaf", [deaf], for_s)
    world.submit(gang("j-000001", 12, cores=2.0, one_zone=False), run_time=4.0)
    ends_done(world, "j-000001", 150.0)
    assert len(begun(world, "j-000001")) == 1


def test_every_controller_restarts_while_a_gang_waits_for_its_last_image() -> None:
    world = SimulatedCluster()
    world.submit(spec("j-000009", tasks=2, cores=12.0))
    world.run(25.0)
    world.submit(gang("j-000001", 6, cores=8.0, image_gb=8.0, image="img-9"), run_time=5.0)
    assert world.until(lambda: any(task.startswith("j-000001/") for task in world.running), 60.0)
    for name in world.names:
        world.crash(name, back_after=1.0)
    ends_done(world, "j-000001")


def test_a_gang_cut_off_in_its_zone_starts_nowhere_else_before_it_is_proven_over() -> None:
    # `SimulatedCluster` checks that no task starts while another of its job is in another zone.
    world = running_gang(tasks=8, run_time=60.0)
    gone = sorted(machines_of(world, "j-000001"))
    world.machine_trouble("cut", gone, 45.0)
    world.run(60.0)
    ends_done(world, "j-000001", 200.0)


@pytest.mark.parametrize("seed", range(8))
def test_gangs_through_random_troubles(seed: int) -> None:
    world = SimulatedCluster(seed, capacity=6)
    rng = world.rng
    world.submit(spec("j-000009", tasks=4))
    world.run(20.0)
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
        world.after(rng.uniform(0, 30.0), world.submit, job, rng.uniform(3.0, 25.0), number)
        if rng.random() < 0.2:
            world.after(rng.uniform(5.0, 50.0), world.cancel, job.ref, number)
    for _ in range(8):
        world.run(rng.uniform(2.0, 7.0))
        machines = sorted(world.workers)
        trouble = rng.choice(["crash", "hung", "deaf", "mute", "cut", "take", "refuse", "lose"])
        if trouble == "crash":
            world.crash(leader_of(world), back_after=rng.uniform(0.2, 5.0))
        elif trouble == "take":
            world.cloud.take(rng.choice(machines))
        elif trouble == "refuse":
            world.refuse(leader_of(world), rng.uniform(2.0, 8.0))
        elif trouble == "lose":
            world.lose_writes(0.5, 5.0, at_once=rng.random() < 0.5)
        elif machines:
            world.machine_trouble(trouble, rng.sample(machines, 1), rng.uniform(2.0, 20.0))
    ends_well(world, 150.0)
    for number in range(10):
        known = world.rules.jobs[f"j-{100 + number:06d}"]
        assert known.is_cancel_requested or known.final_stage == wire.DONE, (
            number,
            world.trace[-40:],
        )


def test_a_gang_of_high_rank_stops_lower_work_only_where_it_then_starts_whole() -> None:
    world = SimulatedCluster(capacity=1)
    for number in range(4):
        world.submit(
            batch(f"j-{200 + number:06d}", 8, checkpoint_interval_s=2.0, checkpoint_save_s=1.0),
            200.0,
            number,
        )
    world.run(60.0)
    busy = dict(world.running)
    assert len(busy) >= 16
    # More than the whole fleet: nobody is stopped for it.
    world.submit(gang("j-000001", 60, rank="high", cores=3.0), run_time=3.0)
    world.run(15.0)
    assert {task: where for task, where in world.running.items() if task in busy} == busy
    world.cancel("j-000001")
    world.run(5.0)
    world.submit(gang("j-000002", 6, rank="high", cores=4.0), run_time=3.0)
    assert world.until(lambda: begun(world, "j-000002") == [1], 12.0), world.trace[-30:]
    ends_done(world, "j-000002")


def test_small_work_does_not_overtake_a_waiting_gang_for_ever() -> None:
    # Every machine is full of small tasks that end at different times, and more of them come all
    # the time: without room held for it the gang found none as long as that lasted.
    world = SimulatedCluster(capacity=1, team=Team("crew", 0.0, 500.0, 0.0, 64.0))
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
        world.after(0.5 * number, world.submit, job, 5.0 + number % 4, number)
    world.run(60.0)
    world.submit(gang("j-000001", 5, cores=6.0), run_time=3.0)
    assert world.until(lambda: begun(world, "j-000001") == [1], 130.0), world.trace[-30:]


def test_an_unknown_reason_is_one_log_line_and_the_other_tasks_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = SimulatedCluster()
    world.submit(spec("j-000001", tasks=2, spread=False, cores=1.0))
    assert world.until(lambda: world.count("j-000001") == 2, 60)
    worker = world.workers[world.machine_of("j-000001/0")]
    worker.exit(worker.tasks["j-000001/0", 1], "novelty")
    worker.tasks["j-000001/1", 1].state = "pondering"
    worker.changed()
    assert world.until(lambda: world.running.get("j-000001/0", ("", 0))[1] == 2, 20)
    unknown = [entry.message for entry in caplog.records if "event=unknown" in entry.message]
    assert sorted(line.split()[0] for line in unknown) == [
        "event=unknown_cause",
        "event=unknown_state",
    ]


def test_a_gang_that_fits_its_teams_limit_only_once_another_is_proven_over() -> None:
    # `SimulatedCluster` checks the limit at every start.
    world = SimulatedCluster(team=Team("crew", 0.0, 20.0, 0.0, 8.0), capacity=6)
    world.submit(gang("j-000001", 8, cores=2.0), run_time=60.0)
    assert world.until(lambda: begun(world, "j-000001") == [1], 90)
    world.submit(gang("j-000002", 6, cores=2.0), run_time=3.0)
    silent = sorted(machines_of(world, "j-000001"))[:1]
    world.run(5.0)
    world.machine_trouble("hung", silent, 12.0)
    world.cancel("j-000001")
    world.run(2.0)
    assert begun(world, "j-000002") == []
    ends_done(world, "j-000002")


def test_lower_limits_in_the_middle_of_a_gangs_commit() -> None:
    world = SimulatedCluster(value_bytes=8192, capacity=30)
    world.state.enforce(8192, 32)
    world.submit(spec("j-000009", tasks=2))
    world.run(25.0)
    world.submit(gang("j-000001", 390, cores=0.5, memory_gb=0.5), run_time=5.0)
    assert world.until(lambda: world.nodes[leader_of(world)].ledger.is_committing, 30.0)
    world.state.enforce(2048, 4, 15.0)
    ends_done(world, "j-000001", 150.0)
    assert begun(world, "j-000001") in ([1], [2])


def test_copies_of_a_gangs_submission_at_several_nodes_are_one_gang() -> None:
    world = SimulatedCluster()
    world.submit(spec("j-000009", tasks=2))
    world.run(20.0)
    for node in range(3):
        world.submit(gang("j-000001", 4), run_time=4.0, node=node)
    ends_done(world, "j-000001")
    assert begun(world, "j-000001") == [1]
    assert len(world.gangs.exits) == 4


def test_a_waiting_task_of_an_attempt_that_nobody_placed_is_stopped() -> None:
    world = running_gang(run_time=60.0)
    world.cloud.add("c16", "a", False, boot=1.0)
    world.run(6.0)
    worker = world.workers[min(set(world.workers) - machines_of(world, "j-000001"))]
    stray = Held("j-000777/0", 3, wire.WAITING)
    worker.tasks["j-000777/0", 3] = stray
    worker.changed()
    assert world.until(lambda: ("j-000777/0", 3) not in worker.tasks, 20.0)
    assert stray.state == wire.EXITED
    assert begun(world, "j-000001") == [1]
