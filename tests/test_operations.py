"""Poll storms, jobs that fail on every machine, and machines that boot late or never.

Each test creates the condition, checks that it occurred, and names the failure that it guards
against.
"""

from __future__ import annotations

from typing import Any

import pytest

from flaxtally.protocol import wire

from .scenarios import check_final_state, start_busy_cluster, submit_steady_load, wait_for_leader
from .simulated_cluster import STATE_ADDRESS, SimulatedCluster, batch, spec


def start_poll_storm(
    cluster: SimulatedCluster, refs: list[str], duration_s: float, polls_per_s: int = 200
) -> dict[int, int]:
    """Polls the status of these jobs at all nodes; counts the replies by HTTP status.

    The dictionary that is returned fills while the cluster runs.
    """
    replies: dict[int, int] = {}

    def on_reply(status: int, _: Any) -> None:
        replies[status] = replies.get(status, 0) + 1

    for number in range(int(duration_s * polls_per_s)):
        ref, node = refs[number % len(refs)], cluster.names[number % len(cluster.names)]
        path = f"{wire.JOBS}/{ref}"
        cluster.after(number / polls_per_s, cluster.call, node, "GET", path, None, on_reply)
    return replies


@pytest.mark.parametrize(
    "fault",
    ["nothing", "crash", "refuse", "isolate", "freeze", "workers", "state", "network"],
)
def test_poll_storm_delays_no_other_requests(fault: str) -> None:
    # Polls share confirmations of leadership, so that the requests to the state service do not grow
    # with the polls. Submissions, heartbeats, cancellations and the lease must not be delayed, even
    # if the leader is lost.
    cluster = start_busy_cluster(services=6, run_time=40.0)
    cluster.run(3)
    refs = list(cluster.specs)
    before = cluster.state.requests
    replies = start_poll_storm(cluster, refs, 30.0)
    submit_steady_load(cluster, 30.0, interval_s=0.5)
    cluster.run(10)
    leader = wait_for_leader(cluster)
    if fault == "crash":
        cluster.crash(leader, restart_after_s=3.0)
    elif fault == "refuse":
        cluster.refuse(leader, 12.0)
    elif fault == "isolate":
        cluster.isolate(leader, 12.0)
    elif fault == "freeze":
        cluster.freeze(leader, 12.0)
    elif fault == "workers":
        cluster.cut(
            cluster.ip(leader), [cluster.get_machine_ip(name) for name in cluster.workers], 15.0
        )
    elif fault == "state":
        cluster.cut(cluster.ip(leader), [STATE_ADDRESS[0]], 15.0)
    elif fault == "network":
        cluster.cut(
            cluster.ip(leader), [ip for ip in cluster.sim.hosts if ip != cluster.ip(leader)], 15.0
        )
    running = dict(cluster.running)
    cluster.run(22)
    poll_count = 30 * 200
    assert replies[200] > poll_count * (0.99 if fault == "nothing" else 0.6), replies
    assert set(replies) <= {200, 503, 0}
    # Two fifths of the requests that the state service allows, however many clients poll.
    assert cluster.state.requests - before < 0.4 * 250 * 32, cluster.state.requests - before
    services = {task: at for task, at in running.items() if task < "j-000100"}
    assert {task: cluster.running.get(task) for task in services} == services, cluster.trace[-30:]
    assert len(cluster.accepted) >= 60 + len(refs)
    check_final_state(cluster)


def test_jobs_that_fail_on_every_machine_cost_little_and_block_no_others() -> None:
    # All tasks of such a job were tried at each retry (656 failures in one recorded run), and
    # machines were provisioned for its pending tasks.
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
    assert len(leader.duties.jobs.suspect_jobs) == len(refs)
    assert not any(machine.is_cordoned for machine in leader.term.fleet.machines.values())
    provision_count = len(cluster.cloud.provision_requests)
    cluster.submit(batch("j-000300", 8), run_time=8.0)
    cluster.run(60)
    assert len(cluster.rules.jobs["j-000300"].done) == 8
    later_failed = sum(" end error" in line for line in cluster.trace) - failed
    # One task at a time, with a growing back-off between the attempts.
    assert 0 < later_failed <= 6 * len(refs), later_failed
    assert len(cluster.cloud.provision_requests) <= provision_count + 2, (
        cluster.cloud.provision_requests
    )
    for number, ref in enumerate(refs):
        cluster.cancel(ref, number)
    cluster.run(3)
    assert set(refs) <= set(cluster.reported_cancelled_at)
    assert all(cluster.count(ref) == 0 for ref in refs)
    check_final_state(cluster)


def test_job_that_failed_on_faulty_machines_is_not_suspect_for_long() -> None:
    # A job that fails on two faulty machines becomes suspect without a mistake of its own. A
    # replica that keeps running, or a task that succeeds, must clear it.
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
    assert not cluster.nodes[wait_for_leader(cluster)].leader.duties.jobs.suspect_jobs
    check_final_state(cluster)


@pytest.mark.parametrize("boot", [0.3, None])
def test_machines_that_do_not_boot_do_not_count_as_capacity_indefinitely(
    boot: float | None,
) -> None:
    # Many machines at once never boot: their pools are not used for a while, and the jobs go to
    # other pools. With the other parameter all machines boot within a second.
    cluster = SimulatedCluster(capacity=6)
    cluster.cloud.boot = boot
    cluster.cloud.boots_fail = boot is None
    for number in range(6):
        cluster.submit(batch(f"j-{100 + number:06d}", 4), run_time=10.0, node=number)
    cluster.run(20)
    if boot is None:
        assert not cluster.workers
        cluster.after(25.0, setattr, cluster.cloud, "boots_fail", False)
    provision_count = len(cluster.cloud.provision_requests)

    def has_started(ref: str) -> bool:
        return cluster.count(ref) + len(cluster.rules.jobs[ref].done) == 4

    refs = [f"j-{100 + number:06d}" for number in range(6)]
    assert cluster.run_until(lambda: all(has_started(ref) for ref in refs), 120), cluster.trace[
        -10:
    ]
    assert len(cluster.cloud.provision_requests) - provision_count < 40, (
        "provisions and terminates in a loop"
    )
    cluster.run(80)
    not_booted = [name for name in cluster.cloud.machines if name not in cluster.workers]
    assert len(not_booted) <= 2, not_booted
    check_final_state(cluster)
