"""Poll storms, jobs that fail everywhere, machines that are late.

Each test brings the condition about, sees that it happened, and names what it guards against.
"""

from __future__ import annotations

from typing import Any

import pytest

from flaxtally.protocol import wire

from .scenarios import check_final_state, start_busy_cluster, submit_steady_load, wait_for_leader
from .simulated_cluster import STATE, SimulatedCluster, batch, spec


def poll_storm(
    cluster: SimulatedCluster, refs: list[str], for_s: float, per_s: int = 200
) -> dict[int, int]:
    """Users ask about these jobs that many times a second, at all nodes; the answers by status."""
    answers: dict[int, int] = {}

    def count(status: int, _: Any) -> None:
        answers[status] = answers.get(status, 0) + 1

    for number in range(int(for_s * per_s)):
        ref, node = refs[number % len(refs)], cluster.names[number % len(cluster.names)]
        path = f"{wire.WORK}/{ref}"
        cluster.after(number / per_s, cluster.call, node, "GET", path, None, count)
    return answers


@pytest.mark.parametrize(
    "what",
    ["nothing", "crash", "refuse", "isolate", "freeze", "workers", "state", "network"],
)
def test_a_poll_storm_crowds_nothing_out(what: str) -> None:
    # Polls share confirmations of leadership, so the state service's requests don't grow with them;
    # submissions, reports, cancellations and the lease go on, also when the leader is lost.
    cluster = start_busy_cluster(services=6, run_time=40.0)
    cluster.run(3)
    refs = list(cluster.specs)
    before = cluster.state.requests
    answers = poll_storm(cluster, refs, 30.0)
    submit_steady_load(cluster, 30.0, every=0.5)
    cluster.run(10)
    leader = wait_for_leader(cluster)
    if what == "crash":
        cluster.crash(leader, back_after=3.0)
    elif what == "refuse":
        cluster.refuse(leader, 12.0)
    elif what == "isolate":
        cluster.isolate(leader, 12.0)
    elif what == "freeze":
        cluster.freeze(leader, 12.0)
    elif what == "workers":
        cluster.cut(
            cluster.ip(leader), [cluster.get_machine_ip(name) for name in cluster.workers], 15.0
        )
    elif what == "state":
        cluster.cut(cluster.ip(leader), [STATE[0]], 15.0)
    elif what == "network":
        cluster.cut(
            cluster.ip(leader), [ip for ip in cluster.sim.hosts if ip != cluster.ip(leader)], 15.0
        )
    running = dict(cluster.running)
    cluster.run(22)
    provision_requests = 30 * 200
    assert answers[200] > provision_requests * (0.99 if what == "nothing" else 0.6), answers
    assert set(answers) <= {200, 503, 0}
    # Two fifths of what the state service allows, however many ask.
    assert cluster.state.requests - before < 0.4 * 250 * 32, cluster.state.requests - before
    services = {task: at for task, at in running.items() if task < "j-000100"}
    assert {task: cluster.running.get(task) for task in services} == services, cluster.trace[-30:]
    assert len(cluster.accepted) >= 60 + len(refs)
    check_final_state(cluster)


def test_jobs_that_fail_everywhere_cost_little_and_block_nobody() -> None:
    # Found: all tasks of such a job were tried at each retry (656 failures on a recorded day), and
    # its waiting tasks were demand for which the plan rented machines.
    cluster = SimulatedCluster(capacity=2)
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    refs = [f"j-{100 + number:06d}" for number in range(8)]
    for number, ref in enumerate(refs):
        cluster.broken.add(ref)
        cluster.submit(batch(ref, 20), run_time=5.0, node=number)
    cluster.run(30)
    failed = sum(" end error" in line for line in cluster.trace)
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    assert len(leader.duties.jobs.suspects) == len(refs)
    assert not any(machine.is_cordoned for machine in leader.term.fleet.machines.values())
    rented = len(cluster.cloud.provision_requests)
    cluster.submit(batch("j-000300", 8), run_time=8.0)
    cluster.run(60)
    assert len(cluster.rules.jobs["j-000300"].done) == 8
    again = sum(" end error" in line for line in cluster.trace) - failed
    # One task at a time, with a growing pause between.
    assert 0 < again <= 6 * len(refs), again
    assert len(cluster.cloud.provision_requests) <= rented + 2, cluster.cloud.provision_requests
    for number, ref in enumerate(refs):
        cluster.cancel(ref, number)
    cluster.run(3)
    assert set(refs) <= set(cluster.reported_cancelled_at)
    assert all(cluster.count(ref) == 0 for ref in refs)
    check_final_state(cluster)


def test_a_job_that_failed_on_faulty_machines_is_no_suspect_for_long() -> None:
    # The other side of it: two faulty machines are no mistake of the job's. A replica that runs, or
    # a task that ends, acquits it.
    cluster = SimulatedCluster(capacity=4)
    for number in range(2):
        cluster.submit(spec(f"j-{number:06d}", tasks=4, gpus=1.0))
    assert cluster.run_until(lambda: len(cluster.running) == 8, 60)
    cluster.faulty_machines.update(cluster.workers)
    cluster.submit(batch("j-000100", 12), run_time=5.0)
    cluster.submit(spec("j-000200", tasks=4, gpus=1.0))
    cluster.run(25)
    cluster.faulty_machines.clear()
    assert cluster.run_until(lambda: len(cluster.rules.jobs["j-000100"].done) == 12, 90), (
        cluster.trace[-20:]
    )
    assert cluster.run_until(lambda: cluster.count("j-000200") == 4, 60), cluster.trace[-20:]
    assert not cluster.nodes[wait_for_leader(cluster)].leader.duties.jobs.suspects
    check_final_state(cluster)


@pytest.mark.parametrize("boot", [0.3, None])
def test_machines_late_or_never_up_are_no_capacity_for_ever(boot: float | None) -> None:
    # Many at once never come up (their pools are given up for a while, the jobs go elsewhere), or
    # all are up within a second.
    cluster = SimulatedCluster(capacity=6)
    cluster.cloud.boot = boot
    cluster.cloud.boots_fail = boot is None
    for number in range(6):
        cluster.submit(batch(f"j-{100 + number:06d}", 4), run_time=10.0, node=number)
    cluster.run(20)
    if boot is None:
        assert not cluster.workers
        cluster.after(25.0, setattr, cluster.cloud, "boots_fail", False)
    provision_requests = len(cluster.cloud.provision_requests)

    def begun(ref: str) -> bool:
        return cluster.count(ref) + len(cluster.rules.jobs[ref].done) == 4

    refs = [f"j-{100 + number:06d}" for number in range(6)]
    assert cluster.run_until(lambda: all(begun(ref) for ref in refs), 120), cluster.trace[-10:]
    assert len(cluster.cloud.provision_requests) - provision_requests < 40, (
        "no endless renting and returning"
    )
    cluster.run(80)
    stuck = [name for name in cluster.cloud.machines if name not in cluster.workers]
    assert len(stuck) <= 2, stuck
    check_final_state(cluster)
