"""Teams without a guarantee and their best-effort work, very large arrays too."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from flaxtally.leader.scheduling.scheduler import Scheduler
from flaxtally.leader.scheduling.scheduling_pass import MAX_PLACEMENTS
from flaxtally.settings import Objective, Team

from .scenarios import check_final_state, wait_for_leader
from .simulated_cluster import SimulatedCluster, batch, spec

if TYPE_CHECKING:
    from flaxtally.ledger.job import Job
    from flaxtally.planning.fleet import Machine
    from flaxtally.protocol import wire

GUEST = Team("guests", 0.0, 0.0, 0.0, 0.0)


def guest(ref: str, tasks: int, **changes: Any) -> wire.Spec:
    """Best-effort work of a team without a guarantee: cores alone."""
    base = {
        "team": "guests",
        "rank": "idle",
        "gpus": 0.0,
        "job_class": "guest",
        "estimated_run_s": 30.0,
    }
    return msgspec.structs.replace(batch(ref, tasks), **(base | changes))


def test_a_team_without_a_guarantee_is_beyond_it_with_its_first_task() -> None:
    # Found: "0 means none" was read as "no bound", so guests' jobs went before those of teams that
    # reach beyond their guarantee, and stopped their tasks.
    cluster = SimulatedCluster(other_teams=(GUEST,), team=Team("crew", 10.0, 200.0, 4.0, 64.0))
    cluster.submit(batch("j-000001", 4), run_time=30.0)
    cluster.submit(guest("j-000002", 4, rank="standard"), run_time=30.0)
    cluster.submit(spec("j-000003", team="strangers"))
    cluster.run(15)
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    by_ref = leader.state.jobs_by_ref
    assert by_ref["j-000002"].number in leader.duties.jobs.queue.jobs_over_quota
    assert "j-000003" not in by_ref
    assert any("j-000003 refused (422)" in line for line in cluster.trace)
    check_final_state(cluster)


def test_guests_run_on_what_is_left_and_on_cheap_machines() -> None:
    # Found on the days with guests: when the cheap pools were empty the plan rented GPU machines
    # for guests' tasks, and kept those whose GPUs nobody used any more for hundreds of seconds.
    cluster = SimulatedCluster(
        other_teams=(GUEST,), capacity=2, team=Team("crew", 100.0, 200.0, 32.0, 64.0)
    )
    for number in range(4):
        cluster.submit(batch(f"j-{100 + number:06d}", 8), run_time=45.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 32, 60), cluster.trace[-20:]
    dear = {name for name, worker in cluster.workers.items() if worker.machine.machine_type == "g8"}
    for number in range(3):
        job = guest(f"j-{200 + number:06d}", 80, checkpoint_interval_s=5.0, checkpoint_save_s=0.5)
        cluster.submit(job, run_time=30.0, node=number)
    cluster.run(30)
    there = {machine for task, (machine, _) in cluster.running.items() if task > "j-000200"}
    assert there & dear, "what GPU tasks leave is used"
    assert there - dear, "cheap machines are rented"
    cluster.run(110)
    left = {name for name, worker in cluster.workers.items() if worker.machine.machine_type == "g8"}
    assert not left, cluster.trace[-30:]
    assert any(worker.machine.machine_type == "c16" for worker in cluster.workers.values())
    check_final_state(cluster, 300)
    assert all(len(cluster.rules.jobs[f"j-{200 + number:06d}"].done) == 80 for number in range(3))


def test_replicas_leave_dear_machines_for_cheap_ones_full_of_guests() -> None:
    # Found in an incident: small replicas that stood on GPU machines kept all of these for the rest
    # of the day, since guests' tasks filled the cheap machines that they would have moved to.
    cluster = SimulatedCluster(
        other_teams=(GUEST,), capacity=1, team=Team("crew", 100.0, 200.0, 32.0, 64.0)
    )
    cluster.submit(batch("j-000100", 32), run_time=40.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") >= 16, 60), cluster.trace[-20:]
    cluster.submit(
        guest("j-000200", 100, checkpoint_interval_s=5.0, checkpoint_save_s=0.5), run_time=400.0
    )
    assert cluster.run_until(lambda: cluster.count("j-000200") >= 16, 60), cluster.trace[-20:]
    for number in range(3):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    assert cluster.run_until(lambda: all(cluster.count(f"j-{n:06d}") == 2 for n in range(3)), 15)
    types = {name: worker.machine.machine_type for name, worker in cluster.workers.items()}
    held = [place[0] for task, place in cluster.running.items() if task < "j-000100"]
    assert any(types[name] == "g8" for name in held), "small replicas stand on GPU machines"
    cluster.run(190)
    assert not any(worker.machine.machine_type == "g8" for worker in cluster.workers.values())
    assert all(cluster.count(f"j-{number:06d}") == 2 for number in range(3))
    assert cluster.count("j-000200") > 8
    cluster.cancel("j-000200")
    check_final_state(cluster, 40)


def test_a_guests_archive_with_a_due_time_goes_before_a_queue_that_nobody_waits_for() -> None:
    # Found by a hunt: 25,000 short tasks with an aim stood behind 2,670 long ones without any that
    # were older, and kept going first long after they had begun.
    aims = (Objective("finished", "archive", 160.0, 0.9),)
    cluster = SimulatedCluster(other_teams=(GUEST,), capacity=1, objectives=aims)
    cluster.submit(
        guest("j-000200", 260, checkpoint_interval_s=5.0, checkpoint_save_s=0.5), run_time=40.0
    )
    cluster.run(60)
    assert cluster.count("j-000200") > 8
    cluster.submit(guest("j-000300", 60, job_class="archive", estimated_run_s=4.0), run_time=4.0)
    done = cluster.rules.jobs["j-000300"].done
    assert cluster.run_until(lambda: len(done) == 60, 160), (len(done), cluster.count("j-000200"))
    assert len(cluster.rules.jobs["j-000200"].done) < 260
    cluster.cancel("j-000200")
    check_final_state(cluster, 40)


def test_guaranteed_work_takes_the_room_of_guests_in_time() -> None:
    # Also for standard work of a team beyond its guarantee: a lower rank always gives way.
    cluster = SimulatedCluster(
        other_teams=(GUEST,), capacity=1, team=Team("crew", 4.0, 200.0, 1.0, 64.0)
    )
    cluster.submit(
        guest("j-000200", 60, checkpoint_interval_s=5.0, checkpoint_save_s=0.5, cores=4.0),
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
def test_one_very_large_array_delays_nobody(crash: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    # 6,000 tasks of some seconds on an idle fleet: a pass places a bounded number of them, commits
    # stay within the state service's limits, others go on, and cancelling it halfway ends it all.
    placed: Counter[float] = Counter()
    place = Scheduler.place_task

    def counted(scheduler: Scheduler, job: Job, machine: Machine) -> None:
        placed[scheduler.runtime.now()] += 1
        place(scheduler, job, machine)

    monkeypatch.setattr(Scheduler, "place_task", counted)
    cluster = SimulatedCluster(other_teams=(GUEST,), capacity=3)
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    spare = [cluster.cloud.add("c16", zone, False, boot=1.0) for zone in "ab" * 6]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in spare), 5)
    cluster.run(3)
    big = guest("j-000200", 6000, cores=0.25, memory_gb=0.5, estimated_run_s=4.0)
    cluster.submit(big, run_time=4.0)
    assert cluster.run_until(lambda: cluster.count("j-000200") > 100, 60)
    if crash:
        cluster.crash(wait_for_leader(cluster), back_after=3.0)
    for number in range(20):
        cluster.after(number, cluster.submit, batch(f"j-{300 + number:06d}", 1), 2.0, number)
    cluster.run(30)
    assert MAX_PLACEMENTS / 2 < max(placed.values()) <= MAX_PLACEMENTS
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
