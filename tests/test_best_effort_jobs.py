"""Tests of best-effort jobs of teams without a quota, including very large arrays."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from flaxtally.leader.scheduling.scheduler import Scheduler
from flaxtally.leader.scheduling.scheduling_pass import MAX_PLACEMENTS_PER_PASS
from flaxtally.settings import Objective, Team

from .scenarios import check_final_state, wait_for_leader
from .simulated_cluster import SimulatedCluster, batch, spec

if TYPE_CHECKING:
    from flaxtally.ledger.job import Job
    from flaxtally.planning.fleet import Machine
    from flaxtally.protocol import wire

BEST_EFFORT_TEAM = Team("guests", 0.0, 0.0, 0.0, 0.0)


def best_effort_job(ref: str, tasks: int, **changes: Any) -> wire.Spec:
    """Returns a best-effort job, without GPUs, of a team without a quota."""
    base = {
        "team": "guests",
        "rank": "idle",
        "gpus": 0.0,
        "job_class": "guest",
        "estimated_run_s": 30.0,
    }
    return msgspec.structs.replace(batch(ref, tasks), **(base | changes))


def test_team_without_quota_is_over_quota_with_its_first_task() -> None:
    # A quota of 0 was taken for an unlimited one, so that jobs of teams without a quota were placed
    # before those of teams over their quota, and preempted their tasks.
    cluster = SimulatedCluster(
        other_teams=(BEST_EFFORT_TEAM,), team=Team("crew", 10.0, 200.0, 4.0, 64.0)
    )
    cluster.submit(batch("j-000001", 4), run_time=30.0)
    cluster.submit(best_effort_job("j-000002", 4, rank="standard"), run_time=30.0)
    cluster.submit(spec("j-000003", team="strangers"))
    cluster.run(15)
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    by_ref = leader.state.jobs_by_ref
    assert by_ref["j-000002"].number in leader.duties.jobs.queue.jobs_over_quota
    assert "j-000003" not in by_ref
    assert any("j-000003 refused (422)" in line for line in cluster.trace)
    check_final_state(cluster)


def test_best_effort_tasks_use_free_capacity_and_cheap_machines() -> None:
    # When the cheap pools were exhausted, the plan provisioned GPU machines for best-effort tasks,
    # and kept GPU machines whose GPUs were unused for hundreds of seconds.
    cluster = SimulatedCluster(
        other_teams=(BEST_EFFORT_TEAM,), capacity=2, team=Team("crew", 100.0, 200.0, 32.0, 64.0)
    )
    for number in range(4):
        cluster.submit(batch(f"j-{100 + number:06d}", 8), run_time=45.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 32, 60), cluster.trace[-20:]
    gpu_machines = {
        name for name, worker in cluster.workers.items() if worker.machine.machine_type == "g8"
    }
    for number in range(3):
        job = best_effort_job(
            f"j-{200 + number:06d}", 80, checkpoint_interval_s=5.0, checkpoint_save_s=0.5
        )
        cluster.submit(job, run_time=30.0, node=number)
    cluster.run(30)
    used_machines = {machine for task, (machine, _) in cluster.running.items() if task > "j-000200"}
    assert used_machines & gpu_machines, (
        "best-effort tasks must use the free capacity of GPU machines"
    )
    assert used_machines - gpu_machines, "cheap machines must be provisioned for best-effort tasks"
    cluster.run(110)
    remaining_gpu_machines = {
        name for name, worker in cluster.workers.items() if worker.machine.machine_type == "g8"
    }
    assert not remaining_gpu_machines, cluster.trace[-30:]
    assert any(worker.machine.machine_type == "c16" for worker in cluster.workers.values())
    check_final_state(cluster, 300)
    assert all(len(cluster.rules.jobs[f"j-{200 + number:06d}"].done) == 80 for number in range(3))


def test_replicas_move_from_gpu_machines_to_cheap_ones_full_of_best_effort_tasks() -> None:
    # Small replicas kept GPU machines in use for the rest of an incident, since best-effort tasks
    # filled the cheap machines to which the replicas would have moved.
    cluster = SimulatedCluster(
        other_teams=(BEST_EFFORT_TEAM,), capacity=1, team=Team("crew", 100.0, 200.0, 32.0, 64.0)
    )
    cluster.submit(batch("j-000100", 32), run_time=40.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") >= 16, 60), cluster.trace[-20:]
    cluster.submit(
        best_effort_job("j-000200", 100, checkpoint_interval_s=5.0, checkpoint_save_s=0.5),
        run_time=400.0,
    )
    assert cluster.run_until(lambda: cluster.count("j-000200") >= 16, 60), cluster.trace[-20:]
    for number in range(3):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    assert cluster.run_until(lambda: all(cluster.count(f"j-{n:06d}") == 2 for n in range(3)), 15)
    types = {name: worker.machine.machine_type for name, worker in cluster.workers.items()}
    replica_machines = [placed[0] for task, placed in cluster.running.items() if task < "j-000100"]
    assert any(types[name] == "g8" for name in replica_machines), (
        "some replicas must start on GPU machines"
    )
    cluster.run(190)
    assert not any(worker.machine.machine_type == "g8" for worker in cluster.workers.values())
    assert all(cluster.count(f"j-{number:06d}") == 2 for number in range(3))
    assert cluster.count("j-000200") > 8
    cluster.cancel("j-000200")
    check_final_state(cluster, 40)


def test_replicas_do_not_follow_a_best_effort_task_from_machine_to_machine() -> None:
    # Replicas were moved onto the machine that had been rented for a best-effort task, which was
    # stopped for that; another machine like it was rented for the task, and so on without end.
    cluster = SimulatedCluster(
        other_teams=(BEST_EFFORT_TEAM,), capacity=3, team=Team("crew", 100.0, 200.0, 32.0, 64.0)
    )
    cluster.submit(spec("j-000001", tasks=2, gpus=4.0, cores=6.0, spread=False))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    job = best_effort_job("j-000002", 1, gpus=4.0, cores=6.0, spot=False, estimated_run_s=20.0)
    cluster.submit(job, run_time=150.0)
    done = cluster.rules.jobs["j-000002"].done
    assert cluster.run_until(lambda: len(done) == 1, 260), cluster.trace[-30:]
    starts = sum("j-000001/" in line and " start on " in line for line in cluster.trace)
    assert starts <= 4


def test_best_effort_job_with_a_due_time_runs_before_older_ones_without() -> None:
    # 25,000 short tasks with an objective waited behind 2,670 older long tasks without one: the
    # older job kept its precedence long after its first tasks had started.
    objectives = (Objective("finished", "archive", 160.0, 0.9),)
    cluster = SimulatedCluster(other_teams=(BEST_EFFORT_TEAM,), capacity=1, objectives=objectives)
    cluster.submit(
        best_effort_job("j-000200", 260, checkpoint_interval_s=5.0, checkpoint_save_s=0.5),
        run_time=40.0,
    )
    cluster.run(60)
    assert cluster.count("j-000200") > 8
    cluster.submit(
        best_effort_job("j-000300", 60, job_class="archive", estimated_run_s=4.0), run_time=4.0
    )
    done = cluster.rules.jobs["j-000300"].done
    assert cluster.run_until(lambda: len(done) == 60, 160), (len(done), cluster.count("j-000200"))
    assert len(cluster.rules.jobs["j-000200"].done) < 260
    cluster.cancel("j-000200")
    check_final_state(cluster, 40)


def test_jobs_with_quota_preempt_best_effort_tasks_in_time() -> None:
    # Best-effort tasks fill the fleet; jobs of higher rank must still be placed in time, also those
    # of standard rank whose team is over its quota.
    cluster = SimulatedCluster(
        other_teams=(BEST_EFFORT_TEAM,), capacity=1, team=Team("crew", 4.0, 200.0, 1.0, 64.0)
    )
    cluster.submit(
        best_effort_job(
            "j-000200", 60, checkpoint_interval_s=5.0, checkpoint_save_s=0.5, cores=4.0
        ),
        run_time=60.0,
    )
    cluster.run(45)
    assert cluster.count("j-000200") > 8, cluster.trace[-10:]
    cluster.submit(spec("j-000001", tasks=2, cores=8.0))
    cluster.submit(batch("j-000100", 6), run_time=20.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 10), cluster.trace[-20:]
    assert cluster.run_until(lambda: cluster.count("j-000100") == 6, 40), cluster.trace[-20:]
    check_final_state(cluster, 200)


@pytest.mark.parametrize("crash", [False, True])
def test_very_large_array_does_not_delay_other_jobs(
    crash: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against scheduling passes that take longer the larger a job is: of 6,000 short tasks on
    # an idle fleet, a pass must place a bounded number, commits must stay within the limits of the
    # state service, other jobs must run, and cancelling the array halfway must stop all its tasks.
    placed: Counter[float] = Counter()
    place_task = Scheduler.place_task

    def count_placement(scheduler: Scheduler, job: Job, machine: Machine) -> None:
        placed[scheduler.runtime.now()] += 1
        place_task(scheduler, job, machine)

    monkeypatch.setattr(Scheduler, "place_task", count_placement)
    cluster = SimulatedCluster(other_teams=(BEST_EFFORT_TEAM,), capacity=3)
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    spare_machines = [cluster.cloud.add("c16", zone, False, boot=1.0) for zone in "ab" * 6]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in spare_machines), 5)
    cluster.run(3)
    large_array = best_effort_job("j-000200", 6000, cores=0.25, memory_gb=0.5, estimated_run_s=4.0)
    cluster.submit(large_array, run_time=4.0)
    assert cluster.run_until(lambda: cluster.count("j-000200") > 100, 60)
    if crash:
        cluster.crash(wait_for_leader(cluster), restart_after_s=3.0)
    for number in range(20):
        cluster.after(number, cluster.submit, batch(f"j-{300 + number:06d}", 1), 2.0, number)
    cluster.run(30)
    assert MAX_PLACEMENTS_PER_PASS / 2 < max(placed.values()) <= MAX_PLACEMENTS_PER_PASS
    assert not cluster.state.oversized_transactions
    assert cluster.state.changes < 40 * cluster.sim.time
    assert all(f"j-{300 + number:06d}" in cluster.accepted for number in range(20))
    assert sum(bool(cluster.rules.jobs[f"j-{300 + number:06d}"].done) for number in range(20)) > 12
    assert 500 < len(cluster.rules.jobs["j-000200"].done) < 6000
    cluster.cancel("j-000200")
    cluster.run(6)
    assert "j-000200" in cluster.reported_cancelled_at
    assert cluster.count("j-000200") == 0
    check_final_state(cluster, 30)
