"""Poll storms, jobs that fail on every machine, and machines that boot late or never.

Each test creates the condition, checks that it occurred, and names the failure that it guards
against.
"""

from __future__ import annotations

from typing import Any

import pytest

from flaxtally.protocol import wire

from .scenarios import busy, ends_well, leader_of, steady_work
from .simulated_cluster import STATE, SimulatedCluster, batch, spec


def start_poll_storm(
    world: SimulatedCluster, refs: list[str], duration_s: float, polls_per_s: int = 200
) -> dict[int, int]:
    """Polls the status of these jobs at all nodes; counts the replies by HTTP status.

    The dictionary that is returned fills while the cluster runs.
    """
    replies: dict[int, int] = {}

    def on_reply(status: int, _: Any) -> None:
        replies[status] = replies.get(status, 0) + 1

    for number in range(int(duration_s * polls_per_s)):
        ref, node = refs[number % len(refs)], world.names[number % len(world.names)]
        path = f"{wire.JOBS}/{ref}"
        world.after(number / polls_per_s, world.call, node, "GET", path, None, on_reply)
    return replies


@pytest.mark.parametrize(
    "fault",
    ["nothing", "crash", "refuse", "isolate", "freeze", "workers", "state", "network"],
)
def test_poll_storm_delays_no_other_requests(fault: str) -> None:
    # Polls share confirmations of leadership, so that the requests to the state service do not grow
    # with the polls. Submissions, heartbeats, cancellations and the lease must not be delayed, even
    # if the leader is lost.
    world = busy(services=6, run_time=40.0)
    world.run(3)
    refs = list(world.specs)
    before = world.state.requests
    replies = start_poll_storm(world, refs, 30.0)
    steady_work(world, 30.0, every=0.5)
    world.run(10)
    leader = leader_of(world)
    if fault == "crash":
        world.crash(leader, back_after=3.0)
    elif fault == "refuse":
        world.refuse(leader, 12.0)
    elif fault == "isolate":
        world.isolate(leader, 12.0)
    elif fault == "freeze":
        world.freeze(leader, 12.0)
    elif fault == "workers":
        world.cut(world.ip(leader), [world.ip_of(name) for name in world.workers], 15.0)
    elif fault == "state":
        world.cut(world.ip(leader), [STATE[0]], 15.0)
    elif fault == "network":
        world.cut(world.ip(leader), [ip for ip in world.sim.hosts if ip != world.ip(leader)], 15.0)
    running = dict(world.running)
    world.run(22)
    poll_count = 30 * 200
    assert replies[200] > poll_count * (0.99 if fault == "nothing" else 0.6), replies
    assert set(replies) <= {200, 503, 0}
    # Two fifths of the requests that the state service allows, however many clients poll.
    assert world.state.requests - before < 0.4 * 250 * 32, world.state.requests - before
    services = {task: at for task, at in running.items() if task < "j-000100"}
    assert {task: world.running.get(task) for task in services} == services, world.trace[-30:]
    assert len(world.accepted) >= 60 + len(refs)
    ends_well(world)


def test_jobs_that_fail_on_every_machine_cost_little_and_block_no_others() -> None:
    # All tasks of such a job were tried at each retry (656 failures in one recorded run), and
    # machines were provisioned for its pending tasks.
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
    provision_count = len(world.cloud.asked)
    world.submit(batch("j-000300", 8), run_time=8.0)
    world.run(60)
    assert len(world.rules.jobs["j-000300"].done) == 8
    later_failed = sum(" end error" in line for line in world.trace) - failed
    # One task at a time, with a growing back-off between the attempts.
    assert 0 < later_failed <= 6 * len(refs), later_failed
    assert len(world.cloud.asked) <= provision_count + 2, world.cloud.asked
    for number, ref in enumerate(refs):
        world.cancel(ref, number)
    world.run(3)
    assert set(refs) <= set(world.told_cancelled)
    assert all(world.count(ref) == 0 for ref in refs)
    ends_well(world)


def test_job_that_failed_on_faulty_machines_is_not_suspect_for_long() -> None:
    # A job that fails on two faulty machines becomes suspect without a mistake of its own. A
    # replica that keeps running, or a task that succeeds, must clear it.
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
def test_machines_that_do_not_boot_do_not_count_as_capacity_indefinitely(
    boot: float | None,
) -> None:
    # Many machines at once never boot: their pools are not used for a while, and the jobs go to
    # other pools. With the other parameter all machines boot within a second.
    world = SimulatedCluster(capacity=6)
    world.cloud.boot = boot
    world.cloud.boots_fail = boot is None
    for number in range(6):
        world.submit(batch(f"j-{100 + number:06d}", 4), run_time=10.0, node=number)
    world.run(20)
    if boot is None:
        assert not world.workers
        world.after(25.0, setattr, world.cloud, "boots_fail", False)
    provision_count = len(world.cloud.asked)

    def has_started(ref: str) -> bool:
        return world.count(ref) + len(world.rules.jobs[ref].done) == 4

    refs = [f"j-{100 + number:06d}" for number in range(6)]
    assert world.until(lambda: all(has_started(ref) for ref in refs), 120), world.trace[-10:]
    assert len(world.cloud.asked) - provision_count < 40, "provisions and terminates in a loop"
    world.run(80)
    not_booted = [name for name in world.cloud.machines if name not in world.workers]
    assert len(not_booted) <= 2, not_booted
    ends_well(world)
