"""Late copies of command batches that a machine executed and answered before."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from flaxtally.protocol import wire

from .scenarios import (
    change_leader,
    check_final_state,
    choose_soak_seeds,
    start_busy_cluster,
    submit_steady_load,
    wait_for_leader,
)
from .simulated_cluster import GANG_WAIT_S, SimulatedCluster, batch, spec
from .test_placement_identity import GANG, start_waiting_gang

if TYPE_CHECKING:
    from collections.abc import Callable

REF = "j-000900"
TASK = f"{REF}/0"
SEEDS = (0, 1, 2, 3)
SOAK_SEEDS = choose_soak_seeds(SEEDS)
COPY_DELAYS_S = (0.2, 4.0, 13.0, 45.0)
"""Seconds, after the task was placed anew or cancelled, at which copies of its launch arrive."""


def find_batches(
    cluster: SimulatedCluster, verb: str, task: str
) -> list[tuple[str, wire.CommandBatch]]:
    """Returns the executed batches with that command, with their machines, the oldest first."""
    return [
        (machine, commands)
        for machine, commands in cluster.executed_batches
        if any((each.verb, each.task) == (verb, task) for each in commands.commands)
    ]


def find_launches(cluster: SimulatedCluster, task: str) -> list[tuple[str, wire.CommandBatch]]:
    """Returns the batches that launched the task, with their machines, the oldest first."""
    return find_batches(cluster, wire.LAUNCH, task)


def count_starts(cluster: SimulatedCluster) -> int:
    """Returns how often the task was started on any machine."""
    return sum(f"{TASK} try" in line and " start on " in line for line in cluster.trace)


def drain_and_wait(cluster: SimulatedCluster, machine: str) -> None:
    """Announces the end of the machine, and waits until the task runs on another one."""
    cluster.workers[machine].preemption_notice_s = 60.0
    assert cluster.run_until(
        lambda: TASK in cluster.running and cluster.find_machine(TASK) != machine, 60
    ), cluster.trace


def fail_first_launch(cluster: SimulatedCluster) -> None:
    """Submits a service that fails on its first machine, and waits until it runs on another."""
    cluster.submit(spec(REF), node=0)
    assert cluster.run_until(lambda: len(find_launches(cluster, TASK)) == 1, 20), cluster.trace
    machine = find_launches(cluster, TASK)[0][0]
    cluster.faulty_machines.add(machine)
    drain_and_wait(cluster, machine)
    cluster.faulty_machines.clear()


def move_task(cluster: SimulatedCluster) -> None:
    """Has a task stopped on its machine and started on another one."""
    cluster.submit(
        spec(REF, job_kind=wire.ARRAY, checkpoint_interval_s=5.0, checkpoint_save_s=1.0),
        run_time=200.0,
    )
    assert cluster.run_until(lambda: TASK in cluster.running, 20), cluster.trace
    # The leader stops it for the notice only once it knows that the task runs.
    cluster.run(2.0)
    drain_and_wait(cluster, cluster.find_machine(TASK))


def cancel_job(cluster: SimulatedCluster) -> None:
    """Cancels a job that runs, and waits until its user is told so."""
    cluster.submit(spec(REF), node=0)
    assert cluster.run_until(lambda: TASK in cluster.running, 20), cluster.trace
    cluster.cancel(REF)
    assert cluster.run_until(lambda: REF in cluster.reported_cancelled_at, 20), cluster.trace


def refuse_first_launch(cluster: SimulatedCluster) -> None:
    """Has the first machine refuse a task, which then runs on another one."""
    refused: list[str] = []

    def get_spec(ref: str) -> wire.Spec | None:
        if ref == REF and not refused:
            refused.append(ref)
            return None
        return cluster.specs.get(ref)

    for worker in cluster.workers.values():
        worker._spec = get_spec
    cluster.submit(spec(REF), node=0)
    assert cluster.run_until(lambda: bool(refused), 20), cluster.trace
    drain_and_wait(cluster, find_launches(cluster, TASK)[0][0])


@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize(
    "end_first_attempt", [fail_first_launch, move_task, cancel_job, refuse_first_launch]
)
def test_late_copy_of_an_answered_launch_starts_no_ended_attempt_again(
    end_first_attempt: Callable[[SimulatedCluster], None], restart: bool
) -> None:
    # Issue 65: the copy came after the machine had been told to forget the attempt.
    cluster = start_busy_cluster()
    end_first_attempt(cluster)
    machine, commands = find_launches(cluster, TASK)[0]
    # Time enough for the machine to be told to forget the exit.
    cluster.run(2.0)
    began_at = cluster.sim.time
    if restart:
        for name in cluster.names:
            cluster.crash(name, restart_after_s=0.5)
    starts = count_starts(cluster)
    for delay_s in COPY_DELAYS_S:
        cluster.run(began_at + delay_s - cluster.sim.time)
        cluster.deliver_batch_copy(machine, commands)
    cluster.run(2.0)
    assert count_starts(cluster) == starts, cluster.trace
    check_final_state(cluster)


def test_late_copies_about_a_lost_gang_task_do_not_meet_its_replacement() -> None:
    # The replacement has the same name: an old forget command would erase its exit.
    cluster, failing = start_waiting_gang()
    machine = failing.machine.machine
    task = next(task for task, _ in failing.tasks if task.startswith(GANG))
    change_leader(cluster, restart_after_s=5.0)
    assert cluster.run_until(lambda: (GANG, 1) in cluster.gangs.started_attempts, GANG_WAIT_S), (
        cluster.trace
    )
    first_launch, second_launch = find_launches(cluster, task)
    forgets = find_batches(cluster, wire.FORGET, task)
    assert {place for place, _ in (first_launch, second_launch, *forgets)} == {machine}
    for _, commands in (first_launch, *forgets):
        assert not cluster.deliver_batch_copy(machine, commands)
    check_final_state(cluster)


def test_exits_are_forgotten_within_a_minute_without_a_change_of_leader() -> None:
    # An exit that stays listed for ever makes reports and workers grow without end.
    cluster = start_busy_cluster()
    fail_first_launch(cluster)
    machine = find_launches(cluster, TASK)[0][0]
    term = cluster.nodes[wait_for_leader(cluster)].leader.term
    assert cluster.run_until(
        lambda: (
            machine not in cluster.workers
            or not any(
                held.task == TASK and held.attempt == 1
                for held in cluster.workers[machine].tasks.values()
            )
        ),
        60.0,
    )
    assert cluster.nodes[wait_for_leader(cluster)].leader.term is term


def test_a_stream_of_short_jobs_leaves_few_exits_on_a_machine() -> None:
    # One-task jobs come four a second for two minutes, a quarter of them cancelled.
    cluster = start_busy_cluster(capacity=2)
    most_listed = 0
    for number in range(480):
        ref = f"j-{2000 + number:06d}"
        cluster.after(number / 4, cluster.submit, batch(ref, 1), 1.0, number)
        if number % 4 == 0:
            cluster.after(number / 4 + 1.5, cluster.cancel, ref, number)
    for _ in range(130):
        cluster.run(1.0)
        most_listed = max(
            [
                most_listed,
                *(
                    sum(held.state == wire.EXITED for held in worker.tasks.values())
                    for worker in cluster.workers.values()
                ),
            ]
        )
    assert most_listed <= 100
    check_final_state(cluster)
    assert not any(
        held.state == wire.EXITED
        for worker in cluster.workers.values()
        for held in worker.tasks.values()
    )


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_copies_of_executed_batches_are_harmless_under_random_faults(seed: int) -> None:
    # Copies of every kind of command arrive 0.1 to 24 s late, among restarts of controllers that
    # are back within a second.
    cluster = start_busy_cluster(seed, arrays=1, run_time=15.0)
    cluster.copy_command_batches(0.8, 60.0)
    submit_steady_load(cluster, 45.0)
    for _ in range(8):
        fault = cluster.rng.randrange(6)
        machine = cluster.rng.choice(sorted(cluster.workers) or ["n-none"])
        if fault == 0:
            cluster.crash(wait_for_leader(cluster), restart_after_s=cluster.rng.uniform(0.1, 1.0))
        elif fault == 1:
            for name in cluster.names:
                cluster.crash(name, restart_after_s=cluster.rng.uniform(0.1, 1.0))
        elif fault == 2:
            cluster.faulty_machines = {machine}
        elif fault == 3 and machine in cluster.workers:
            cluster.inject_machine_fault(
                cluster.rng.choice(["cut", "hung", "deaf", "mute"]),
                [machine],
                cluster.rng.uniform(1.0, 12.0),
            )
        elif fault == 5 and machine in cluster.workers:
            # The worker is back at once, in its next session.
            cluster.workers[machine]._expire_lease()
        elif fault == 4:
            cluster.lose_writes(0.3, 3.0, at_once=cluster.rng.random() < 0.5)
        cluster.run(cluster.rng.uniform(2.0, 8.0))
    cluster.faulty_machines.clear()
    assert cluster.delivered_batch_copies > 5
    check_final_state(cluster)
