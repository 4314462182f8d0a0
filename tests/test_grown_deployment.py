"""A day of hundreds of machines and seven controllers: the rules, and a bound on the work done."""

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
from flaxtally.planning.placement import Exhausted
from flaxtally.planning.provisioning import merge_demands
from flaxtally.planning.urgency import Due, levels
from flaxtally.protocol import wire
from flaxtally.protocol.shape import Shape
from flaxtally.runtime.loop import Loop
from flaxtally.settings import Team

from .simulated_cluster import TYPES, SimulatedCluster, batch, spec

if TYPE_CHECKING:
    import pytest

NAMES = tuple(f"hearth-{number}" for number in range(7))


def test_a_grown_deployment_keeps_the_rules_and_looks_at_few_machines_a_task() -> None:
    # Found on grown deployments: each waiting task looked at every machine, twice where it found
    # none, in each pass of the scheduler; a leader with a share of a core fell seconds behind at
    # the start. The world checks at each start of a task: run once, committed first, in its place,
    # within quota.
    cluster = SimulatedCluster(nodes=NAMES, capacity=60, team=Team("crew", 0.0, 1e5, 0.0, 2400.0))
    jobs = 0
    for number in range(90):
        jobs += 1
        cluster.submit(spec(f"j-{jobs:06d}", tasks=(2, 6, 12)[number % 3]), node=number)
    for number in range(14):
        jobs += 1
        cluster.submit(
            spec(f"j-{jobs:06d}", tasks=2, gpus=4.0, cores=14.0, memory_gb=100.0, job_class="big"),
            node=number,
        )
    for number in range(20):
        jobs += 1
        cluster.submit(batch(f"j-{jobs:06d}", 60), run_time=6.0, node=number)
    cluster.run(26)
    assert len(cluster.workers) > 200
    leader = cluster.leader()
    assert leader
    starts = sum(" start " in line for line in cluster.trace)
    looked = cluster.nodes[leader].leader.duties.scheduler.examined_count
    assert starts > 1000
    assert looked < starts * len(cluster.workers) / 2, (looked, starts)
    cluster.crash(leader, back_after=5.0)
    cluster.cancel("j-000001", node=1)
    cluster.run(9)
    assert "j-000001" in cluster.reported_cancelled_at
    assert cluster.query_job("j-000002")[1]["stage"] == "running"
    assert len(cluster.accepted) == jobs
    assert all(
        cluster.count(ref) == job.tasks
        for ref, job in cluster.specs.items()
        if job.job_kind == wire.SERVICE and ref != "j-000001"
    )


def test_who_found_no_room_looks_again_where_there_is_more() -> None:
    # A day of 600 machines took over 400 s of processor time: each pass sought room anew for all
    # that waited. What is remembered must be forgotten in time, or tasks wait beside free room.
    index = MachineIndex({kind.name: kind for kind in TYPES}, random.Random(1))
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
    # A GPU that is taken keeps no cores any more from what needs no GPU.
    two.gpus = 1.0
    assert index.update(two)
    three.is_slow = True
    assert not index.update(three)
    three.is_slow = False
    assert index.update(three)
    # One that is gone for a while has all its room anew when it is back.
    index.remove(three)
    assert index.update(three)


def test_a_size_that_found_no_room_answers_for_larger_ones() -> None:
    full = Exhausted()
    full.add("a", spec("j-000001", cores=4.0, memory_gb=8.0))
    assert full.covers("a", spec("j-000002", cores=4.0, memory_gb=9.0))
    assert not full.covers("a", spec("j-000003", cores=3.9, memory_gb=9.0))
    assert not full.covers("b", spec("j-000002", cores=4.0, memory_gb=9.0))
    full.add("a", spec("j-000003", cores=2.0, memory_gb=2.0))
    assert full.covers("a", spec("j-000004", cores=2.0, memory_gb=2.0))


def test_idle_machines_are_checked_together(monkeypatch: pytest.MonkeyPatch) -> None:
    # Fifty idle machines, checked one by one, kept the leader's loop busy for longer than a peer
    # may be silent.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    used = {cluster.find_machine(f"j-000001/{task}") for task in range(2)}
    spare = {cluster.cloud.add("c16", "ab"[number % 2], False, boot=0.5) for number in range(40)}
    packed: list[int] = []
    count_unplaced = Forecast._count_unplaced
    monkeypatch.setattr(
        Forecast, "_count_unplaced", lambda *args: packed.append(1) or count_unplaced(*args)
    )
    most = 0
    for _ in range(60):
        packed.clear()
        cluster.run(1.0)
        most = max(most, len(packed))
    assert not spare & set(cluster.workers)
    assert used <= set(cluster.workers)
    # One a step for what the rooms hold, the checks, and the same for the consolidation.
    assert 0 < most <= 2 * 2 * (1 + MAX_SCALE_IN_CHECKS)


def test_sizes_that_are_alike_are_planned_as_one() -> None:
    # Jobs whose cores vary made sixty demands, each of them packed into every machine.
    def demand(cores: float, **changes: object) -> Demand:
        return Demand(Shape.of(spec("j-000001", cores=cores, **changes)), 10, 60.0)

    found = merge_demands(
        [demand(5.0), demand(5.4), demand(5.2), demand(10.0), demand(5.2, gpus=1.0)]
    )
    assert [(one.shape.cores, one.shape.gpus, one.count) for one in found] == [
        (5.4, 0.0, 30),
        (10.0, 0.0, 10),
        (5.2, 1.0, 10),
    ]


def test_time_limits_that_were_kept_wake_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    # Every request sets time limits and cancels them; the loop woke for each of them when it would
    # have been due.
    loop = Loop()
    waits: list[float | None] = []
    monkeypatch.setattr(loop.selector, "select", lambda wait: waits.append(wait) or [])
    for number in range(100):
        loop.after(0.001 * number, lambda: None).cancel()
    loop.after(60.0, lambda: None)
    loop._turn()
    assert waits[0] is not None
    assert 59.0 < waits[0] <= 60.0


def test_too_much_work_leaves_out_the_largest_not_the_last() -> None:
    # Found on magnolia-plant-fleet's bursts: in the order of due times every job began when it was
    # nearly too late.
    large = [Due(number, (50.0, 90.0), 400.0) for number in range(2)]
    small = [Due(10 + number, (60.0, 90.0), 50.0) for number in range(8)]
    found = levels([*large, *small], 10.0, 10)
    assert [found[due.no] for due in small] == [0] * 8
    # 400 s of the small ones' work leave room for 400 s until 90 s, none for the other.
    assert sorted(found[due.no] for due in large) == [1, 2]
    assert levels([Due(1, (5.0, 20.0), 1.0), Due(2, (), 1.0)], 10.0, 1) == {1: 1, 2: 0}


def test_everything_restarts_together_at_size() -> None:
    # 560 machines and seven controllers: all controllers end at once, some back within a fraction
    # of a second, while machines hang and others are taken. The world checks the rules at each
    # start and end of a task; here: every job is known and answered, what ran runs on, and no
    # controller holds more sockets than it may. (Played at half as many machines again only by the
    # bench: here it would take half of the suite's time.)
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
        cluster.crash(name, back_after=(0.2, 5.0, 0.4)[number % 3])
    most = 0
    for _ in range(45):
        cluster.run(1.0)
        for name in NAMES:
            streams = cluster.sim.hosts[cluster.ip(name)].streams
            most = max(most, sum(stream.opened and not stream.is_closed for stream in streams))
    assert most <= 500
    assert not set(hung) & set(cluster.workers)
    assert not any(" end lapsed " in line for line in cluster.trace)
    ended = [line for line in cluster.trace if " end " in line and " end done " not in line]
    assert {line.split(" end ")[1].split()[0] for line in ended} <= {"gone", "halted"}
    # What ran on hung machines is placed anew, a few replicas are moved off dear machines; the rest
    # stayed.
    moved = {task for task in services if cluster.running.get(task) != before[task]}
    assert len(moved) <= sum(before[task][0] in hung for task in services) + len(services) / 20
    assert services <= set(cluster.running)
    for number in range(0, 178, 11):
        assert cluster.query_job(f"j-{number:06d}")[0] == 200
    assert len(cluster.accepted) == 178


def test_a_replica_leaves_gpus_for_a_cold_machine_without() -> None:
    # Found on quizul-cluj-fleet: 47 of 79 GPU machines held nothing but small replicas, while cheap
    # machines stood idle beside them, since none of these held an image.
    kinds = {kind.name: kind for kind in TYPES}
    dear, cheap, other = (
        Machine(f"n-{number}", kind, "a", spot=False, now=0.0)
        for number, kind in enumerate(("g8", "c16", "g8"))
    )
    gate = spec("j-000001")
    assert can_move(dear, cheap, gate, kinds)
    assert not can_move(cheap, dear, gate, kinds)
    assert not can_move(dear, other, gate, kinds)
    other.placements[1, 0] = Placement(Job(1, 0.0, gate), 0, 1, "n-2", "a")
    assert not can_move(dear, other, gate, kinds)
    other.images["img-1"] = 1.0
    assert can_move(dear, other, gate, kinds)
    assert not can_move(dear, cheap, spec("j-000002", gpus=1.0), kinds)


def test_a_flood_of_submissions_delays_neither_reports_nor_leadership() -> None:
    # More is asked at once than the state service's limit lets through: each is answered in time,
    # accepted or 503, no worker loses its lease, the leader stays, and the limit on changes is
    # kept.
    cluster = SimulatedCluster(nodes=NAMES, capacity=20)
    for number in range(4):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 8, 60)
    cluster.run(3)
    before, term = dict(cluster.running), cluster.nodes[NAMES[0]].election.term
    answers: list[tuple[float, int]] = []

    def query_job(number: int) -> None:
        asked = cluster.sim.time
        job = batch(f"j-{number:06d}", 3, image=f"img-{number % 9}")
        cluster.specs[job.ref] = job
        cluster.call(
            NAMES[number % 7],
            "POST",
            wire.WORK,
            wire.submission(job),
            lambda status, _: answers.append((cluster.sim.time - asked, status)),
        )

    start, changes = cluster.sim.time, cluster.state.changes
    for number in range(3000):
        cluster.sim.at(start + number / 1500, query_job, 1000 + number)
    cluster.run(8)
    assert len(answers) == 3000
    assert {status for _, status in answers} <= {201, 503}
    assert sum(status == 201 for _, status in answers) > 1000
    assert max(wait for wait, _ in answers) < 4.0
    assert cluster.state.changes - changes <= 8 * 40 + 40
    assert {node.election.term for node in cluster.nodes.values()} == {term}
    assert {task: cluster.running.get(task) for task in before} == before
