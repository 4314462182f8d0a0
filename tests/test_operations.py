"""Poll storms, jobs that fail everywhere, machines that are late.

Each test brings the condition about, sees that it happened, and names what it guards against.
"""

from __future__ import annotations

from typing import Any

import pytest

from flaxtally.protocol import wire

from .scenarios import busy, ends_well, leader_of, steady_work
from .simulated_cluster import STATE, SimulatedCluster, batch, spec


def poll_storm(
    world: SimulatedCluster, refs: list[str], for_s: float, per_s: int = 200
) -> dict[int, int]:
    """Users ask about these jobs that many times a second, at all nodes; the answers by status."""
    answers: dict[int, int] = {}

    def count(status: int, _: Any) -> None:
        answers[status] = answers.get(status, 0) + 1

    for number in range(int(for_s * per_s)):
        ref, node = refs[number % len(refs)], world.names[number % len(world.names)]
        path = f"{wire.WORK}/{ref}"
        world.after(number / per_s, world.call, node, "GET", path, None, count)
    return answers


@pytest.mark.parametrize(
    "what",
    ["nothing", "crash", "refuse", "isolate", "freeze", "workers", "state", "network"],
)
def test_a_poll_storm_crowds_nothing_out(what: str) -> None:
    # Polls share confirmations of leadership, so the state service's requests don't grow with them;
    # submissions, reports, cancellations and the lease go on, also when the leader is lost.
    world = busy(services=6, run_time=40.0)
    world.run(3)
    refs = list(world.specs)
    before = world.state.requests
    answers = poll_storm(world, refs, 30.0)
    steady_work(world, 30.0, every=0.5)
    world.run(10)
    leader = leader_of(world)
    if what == "crash":
        world.crash(leader, back_after=3.0)
    elif what == "refuse":
        world.refuse(leader, 12.0)
    elif what == "isolate":
        world.isolate(leader, 12.0)
    elif what == "freeze":
        world.freeze(leader, 12.0)
    elif what == "workers":
        world.cut(world.ip(leader), [world.ip_of(name) for name in world.workers], 15.0)
    elif what == "state":
        world.cut(world.ip(leader), [STATE[0]], 15.0)
    elif what == "network":
        world.cut(world.ip(leader), [ip for ip in world.sim.hosts if ip != world.ip(leader)], 15.0)
    running = dict(world.running)
    world.run(22)
    asked = 30 * 200
    assert answers[200] > asked * (0.99 if what == "nothing" else 0.6), answers
    assert set(answers) <= {200, 503, 0}
    # Two fifths of what the state service allows, however many ask.
    assert world.state.requests - before < 0.4 * 250 * 32, world.state.requests - before
    services = {task: at for task, at in running.items() if task < "j-000100"}
    assert {task: world.running.get(task) for task in services} == services, world.trace[-30:]
    assert len(world.accepted) >= 60 + len(refs)
    ends_well(world)


def test_jobs_that_fail_everywhere_cost_little_and_block_nobody() -> None:
    # Found: all tasks of such a job were tried at each retry (656 failures on a recorded day), and
    # its waiting tasks were demand for which the plan rented machines.
    world = SimulatedCluster(capacity=2)
    world.submit(spec("j-000001", tasks=2))
    assert world.until(lambda: world.count("j-000001") == 2, 60)
    refs = [f"j-{100 + number:06d}" for number in range(8)]
    for number, ref in enumerate(refs):
        world.broken.add(ref)
        world.submit(batch(ref, 20), run_time=5.0, node=number)
    world.run(30)
    failed = sum(" end error" in line for line in world.trace)
    leader = world.nodes[leader_of(world)].leader
    assert len(leader.duties.jobs.suspect_jobs) == len(refs)
    assert not any(machine.is_cordoned for machine in leader.term.fleet.machines.values())
    rented = len(world.cloud.asked)
    world.submit(batch("j-000300", 8), run_time=8.0)
    world.run(60)
    assert len(world.rules.jobs["j-000300"].done) == 8
    again = sum(" end error" in line for line in world.trace) - failed
    # One task at a time, with a growing pause between.
    assert 0 < again <= 6 * len(refs), again
    assert len(world.cloud.asked) <= rented + 2, world.cloud.asked
    for number, ref in enumerate(refs):
        world.cancel(ref, number)
    world.run(3)
    assert set(refs) <= set(world.told_cancelled)
    assert all(world.count(ref) == 0 for ref in refs)
    ends_well(world)


def test_a_job_that_failed_on_faulty_machines_is_no_suspect_for_long() -> None:
    # The other side of it: two faulty machines are no mistake of the job's. A replica that runs, or
    # a task that ends, acquits it.
    world = SimulatedCluster(capacity=4)
    for number in range(2):
        world.submit(spec(f"j-{number:06d}", tasks=4, gpus=1.0))
    assert world.until(lambda: len(world.running) == 8, 60)
    world.faulty.update(world.workers)
    world.submit(batch("j-000100", 12), run_time=5.0)
    world.submit(spec("j-000200", tasks=4, gpus=1.0))
    world.run(25)
    world.faulty.clear()
    assert world.until(lambda: len(world.rules.jobs["j-000100"].done) == 12, 90), world.trace[-20:]
    assert world.until(lambda: world.count("j-000200") == 4, 60), world.trace[-20:]
    assert not world.nodes[leader_of(world)].leader.duties.jobs.suspect_jobs
    ends_well(world)


@pytest.mark.parametrize("boot", [0.3, None])
def test_machines_late_or_never_up_are_no_capacity_for_ever(boot: float | None) -> None:
    # Many at once never come up (their pools are given up for a while, the jobs go elsewhere), or
    # all are up within a second.
    world = SimulatedCluster(capacity=6)
    world.cloud.boot = boot
    world.cloud.boots_fail = boot is None
    for number in range(6):
        world.submit(batch(f"j-{100 + number:06d}", 4), run_time=10.0, node=number)
    world.run(20)
    if boot is None:
        assert not world.workers
        world.after(25.0, setattr, world.cloud, "boots_fail", False)
    asked = len(world.cloud.asked)

    def begun(ref: str) -> bool:
        return world.count(ref) + len(world.rules.jobs[ref].done) == 4

    refs = [f"j-{100 + number:06d}" for number in range(6)]
    assert world.until(lambda: all(begun(ref) for ref in refs), 120), world.trace[-10:]
    assert len(world.cloud.asked) - asked < 40, "no endless renting and returning"
    world.run(80)
    stuck = [name for name in world.cloud.machines if name not in world.workers]
    assert len(stuck) <= 2, stuck
    ends_well(world)
