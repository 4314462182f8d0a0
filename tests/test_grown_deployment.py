"""Tests on hundreds of machines and seven controllers: invariants, and bounds on the work done."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from flaxtally.leader.autoscaling.forecast import Forecast
from flaxtally.leader.autoscaling.idle_machines import MAX_SCALE_IN_CHECKS
from flaxtally.ledger.job import Job
from flaxtally.ledger.placement import Placement
from flaxtally.planning.consolidation import can_move
from flaxtally.planning.fleet import Machine
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.packing import Demand
from flaxtally.planning.placement import InfeasibleRequests
from flaxtally.planning.provisioning import merge_demands
from flaxtally.planning.urgency import JobDueTimes, assign_due_time_levels
from flaxtally.protocol import wire
from flaxtally.protocol.shape import Shape
from flaxtally.runtime.loop import Loop
from flaxtally.settings import Team

from .simulated_cluster import TYPES, SimulatedCluster, batch, spec

if TYPE_CHECKING:
    import pytest

NAMES = tuple(f"hearth-{number}" for number in range(7))


def test_large_deployment_keeps_the_invariants_and_examines_few_machines_per_task() -> None:
    # On large deployments, each pending task examined every machine in each scheduling pass, and
    # twice if none had capacity; a leader with a fraction of a core fell seconds behind at the
    # start. The cluster checks at each start of a task: it runs once, is committed first, is on an
    # allowed machine, and is within quota.
    cluster = SimulatedCluster(nodes=NAMES, capacity=60, team=Team("crew", 0.0, 1e5, 0.0, 2400.0))
    job_count = 0
    for number in range(90):
        job_count += 1
        cluster.submit(spec(f"j-{job_count:06d}", tasks=(2, 6, 12)[number % 3]), node=number)
    for number in range(14):
        job_count += 1
        cluster.submit(
            spec(
                f"j-{job_count:06d}",
                tasks=2,
                gpus=4.0,
                cores=14.0,
                memory_gb=100.0,
                job_class="big",
            ),
            node=number,
        )
    for number in range(20):
        job_count += 1
        cluster.submit(batch(f"j-{job_count:06d}", 60), run_time=6.0, node=number)
    cluster.run(26)
    assert len(cluster.workers) > 200
    leader = cluster.leader()
    assert leader
    start_count = sum(" start " in line for line in cluster.trace)
    examined_count = cluster.nodes[leader].leader.duties.scheduler.examined_count
    assert start_count > 1000
    assert examined_count < start_count * len(cluster.workers) / 2, (examined_count, start_count)
    cluster.crash(leader, restart_after_s=5.0)
    cluster.cancel("j-000001", node=1)
    cluster.run(9)
    assert "j-000001" in cluster.reported_cancelled_at
    assert cluster.query_job("j-000002")[1]["stage"] == "running"
    assert len(cluster.accepted) == job_count
    assert all(
        cluster.count(ref) == job.tasks
        for ref, job in cluster.specs.items()
        if job.job_kind == wire.SERVICE and ref != "j-000001"
    )


def test_search_is_repeated_on_machines_that_have_more_capacity() -> None:
    # A run with 600 machines took over 400 s of processor time: each scheduling pass searched
    # capacity for all pending tasks again. A remembered failure must be dropped as soon as a
    # machine has more capacity, or tasks stay pending next to free machines.
    index = MachineIndex(
        {machine_type.name: machine_type for machine_type in TYPES}, random.Random(1)
    )
    one, two, three = (
        Machine(f"n-{number}", TYPES[1].name, "a", spot=False, now=0.0) for number in range(3)
    )
    assert [index.update(machine) for machine in (one, two, three)] == [True] * 3
    assert [index.update(machine) for machine in (one, two, three)] == [False] * 3
    one.cores, two.memory_gb = 8.0, 8.0
    assert not index.update(one)
    assert not index.update(two)
    one.cores = 4.0
    assert index.update(one)
    # Cores are reserved for a free GPU; once the GPU is in use, other tasks may take them.
    two.gpus = 1.0
    assert index.update(two)
    three.is_slow = True
    assert not index.update(three)
    three.is_slow = False
    assert index.update(three)
    # A machine that was removed counts as having more capacity when it is added again.
    index.remove(three)
    assert index.update(three)


def test_size_without_capacity_also_excludes_larger_sizes() -> None:
    # Jobs of a class differ a little in size: without this, each of them searches all machines.
    exhausted = InfeasibleRequests()
    exhausted.add("a", spec("j-000001", cores=4.0, memory_gb=8.0))
    assert exhausted.covers("a", spec("j-000002", cores=4.0, memory_gb=9.0))
    assert not exhausted.covers("a", spec("j-000003", cores=3.9, memory_gb=9.0))
    assert not exhausted.covers("b", spec("j-000002", cores=4.0, memory_gb=9.0))
    exhausted.add("a", spec("j-000003", cores=2.0, memory_gb=2.0))
    assert exhausted.covers("a", spec("j-000004", cores=2.0, memory_gb=2.0))


def test_idle_machines_are_checked_together(monkeypatch: pytest.MonkeyPatch) -> None:
    # Checking fifty idle machines one by one blocked the leader's event loop for longer than the
    # peers' heartbeat timeout.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    used_machines = {cluster.find_machine(f"j-000001/{task}") for task in range(2)}
    idle_machines = {
        cluster.cloud.add("c16", "ab"[number % 2], False, boot=0.5) for number in range(40)
    }
    pack_calls: list[int] = []
    count_unplaced = Forecast._count_unplaced
    monkeypatch.setattr(
        Forecast, "_count_unplaced", lambda *args: pack_calls.append(1) or count_unplaced(*args)
    )
    max_calls = 0
    for _ in range(60):
        pack_calls.clear()
        cluster.run(1.0)
        max_calls = max(max_calls, len(pack_calls))
    assert not idle_machines & set(cluster.workers)
    assert used_machines <= set(cluster.workers)
    # For each of two forecast steps: one call for the baseline and one per check; and the same
    # again for the consolidation.
    assert 0 < max_calls <= 2 * 2 * (1 + MAX_SCALE_IN_CHECKS)


def test_demands_of_similar_size_are_merged() -> None:
    # Jobs whose cores vary resulted in sixty demands, each of which was packed into every machine.
    def demand(cores: float, **changes: object) -> Demand:
        return Demand(Shape.of(spec("j-000001", cores=cores, **changes)), 10, 60.0)

    merged = merge_demands(
        [demand(5.0), demand(5.4), demand(5.2), demand(10.0), demand(5.2, gpus=1.0)]
    )
    assert [(each.shape.cores, each.shape.gpus, each.count) for each in merged] == [
        (5.4, 0.0, 30),
        (10.0, 0.0, 10),
        (5.2, 1.0, 10),
    ]


def test_cancelled_timers_do_not_wake_the_event_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    # Every request sets timers and cancels them; the event loop woke up for each cancelled timer
    # when it would have been due.
    loop = Loop()
    waits: list[float | None] = []
    monkeypatch.setattr(loop.selector, "select", lambda wait: waits.append(wait) or [])
    for number in range(100):
        loop.after(0.001 * number, lambda: None).cancel()
    loop.after(60.0, lambda: None)
    loop._turn()
    assert waits[0] is not None
    assert 59.0 < waits[0] <= 60.0


def test_overload_defers_the_largest_job_and_not_the_last_one() -> None:
    # Under load bursts on magnolia-plant-fleet, scheduling in the order of due times alone started
    # every job when it was nearly too late.
    large = [JobDueTimes(number, (50.0, 90.0), 400.0) for number in range(2)]
    small = [JobDueTimes(10 + number, (60.0, 90.0), 50.0) for number in range(8)]
    levels_by_job = assign_due_time_levels([*large, *small], 10.0, 10)
    assert [levels_by_job[due.number] for due in small] == [0] * 8
    # 400 s of work of the small jobs leave 400 s until 90 s: enough for one large job only.
    assert sorted(levels_by_job[due.number] for due in large) == [1, 2]
    assert assign_due_time_levels(
        [JobDueTimes(1, (5.0, 20.0), 1.0), JobDueTimes(2, (), 1.0)], 10.0, 1
    ) == {1: 1, 2: 0}


def test_large_deployment_survives_a_restart_of_all_controllers() -> None:
    # With 560 machines, all seven controllers crash at once and some restart within a fraction of a
    # second, while machines hang and others are preempted: requests for every job must get replies,
    # running tasks must keep running, and no controller may exceed its socket limit. The cluster
    # checks the invariants at each start and end of a task. (Only the bench runs this with half as
    # many machines again: here that would take half of the suite's time.)
    cluster = SimulatedCluster(nodes=NAMES, capacity=140, team=Team("crew", 0.0, 1e5, 0.0, 4000.0))
    for number in range(150):
        cluster.submit(spec(f"j-{number:06d}", tasks=(2, 6, 12)[number % 3]), node=number)
    for number in range(150, 178):
        cluster.submit(batch(f"j-{number:06d}", 120), run_time=25.0, node=number)
    cluster.run(28)
    assert len(cluster.workers) > 500
    assert len(cluster.accepted) == 178
    before = dict(cluster.running)
    services = {task for task in before if int(task[2:8]) < 150}
    hung = sorted({before[task][0] for task in services})[:6]
    for name in hung:
        cluster.workers[name].hung = True
    for number, name in enumerate(NAMES):
        cluster.crash(name, restart_after_s=(0.2, 5.0, 0.4)[number % 3])
    max_streams = 0
    for _ in range(45):
        cluster.run(1.0)
        for name in NAMES:
            streams = cluster.sim.hosts[cluster.ip(name)].streams
            max_streams = max(
                max_streams, sum(stream.opened and not stream.is_closed for stream in streams)
            )
    assert max_streams <= 500
    assert not set(hung) & set(cluster.workers)
    assert not any(" end lapsed " in line for line in cluster.trace)
    ended = [line for line in cluster.trace if " end " in line and " end done " not in line]
    assert {line.split(" end ")[1].split()[0] for line in ended} <= {"gone", "halted"}
    # Tasks of hung machines are placed again, and a few replicas are moved off expensive machines;
    # the others stay.
    moved = {task for task in services if cluster.running.get(task) != before[task]}
    assert len(moved) <= sum(before[task][0] in hung for task in services) + len(services) / 20
    assert services <= set(cluster.running)
    for number in range(0, 178, 11):
        assert cluster.query_job(f"j-{number:06d}")[0] == 200
    assert len(cluster.accepted) == 178


def test_replica_moves_off_a_gpu_machine_to_a_cheap_one_without_its_image() -> None:
    # On quizul-cluj-fleet, 47 of 79 GPU machines ran only small replicas while cheap machines were
    # idle, since none of these had an image in its cache.
    machine_types = {machine_type.name: machine_type for machine_type in TYPES}
    expensive, cheap, other_expensive = (
        Machine(f"n-{number}", type_name, "a", spot=False, now=0.0)
        for number, type_name in enumerate(("g8", "c16", "g8"))
    )
    service = spec("j-000001")
    assert can_move(expensive, cheap, service, machine_types)
    assert not can_move(cheap, expensive, service, machine_types)
    assert not can_move(expensive, other_expensive, service, machine_types)
    other_expensive.placements[1, 0] = Placement(Job(1, 0.0, service), 0, 1, "n-2", "a")
    assert not can_move(expensive, other_expensive, service, machine_types)
    other_expensive.images["img-1"] = 1.0
    assert can_move(expensive, other_expensive, service, machine_types)
    assert not can_move(expensive, cheap, spec("j-000002", gpus=1.0), machine_types)


def test_burst_of_submissions_delays_neither_heartbeats_nor_leadership() -> None:
    # More submissions arrive at once than the state service's rate limit allows: each gets a reply
    # in time, accepted or 503, no worker loses its lease, the leader keeps its term, and the limit
    # on changes is kept.
    cluster = SimulatedCluster(nodes=NAMES, capacity=20)
    for number in range(4):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 8, 60)
    cluster.run(3)
    before, term = dict(cluster.running), cluster.nodes[NAMES[0]].election.term
    replies: list[tuple[float, int]] = []

    def submit(number: int) -> None:
        submitted_at = cluster.sim.time
        job = batch(f"j-{number:06d}", 3, image=f"img-{number % 9}")
        cluster.specs[job.ref] = job
        cluster.call(
            NAMES[number % 7],
            "POST",
            wire.JOBS,
            wire.build_submission(job),
            lambda status, _: replies.append((cluster.sim.time - submitted_at, status)),
        )

    start, changes_before = cluster.sim.time, cluster.state.changes
    for number in range(3000):
        cluster.sim.at(start + number / 1500, submit, 1000 + number)
    cluster.run(8)
    assert len(replies) == 3000
    assert {status for _, status in replies} <= {201, 503}
    assert sum(status == 201 for _, status in replies) > 1000
    assert max(wait_s for wait_s, _ in replies) < 4.0
    assert cluster.state.changes - changes_before <= 8 * 40 + 40
    assert {node.election.term for node in cluster.nodes.values()} == {term}
    assert {task: cluster.running.get(task) for task in before} == before
