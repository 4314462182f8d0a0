"""Jobs from submission to end: cancellation, quota, preemption, priority and consolidation.

Each test names the failure that it guards against.
"""

from __future__ import annotations

from flaxtally.protocol import wire
from flaxtally.settings import Objective, Team

from .scenarios import cut_zone, start_serving_cluster
from .simulated_cluster import NODES, SimulatedCluster, batch, spec


def test_cancellation_is_confirmed_only_when_all_tasks_are_proven_finished() -> None:
    # A confirmation that relied on leases limited how long the tasks of a partitioned zone could be
    # kept, and was wrong in a partition together with an outage. The client gets 503 and tries
    # again until the tasks are proven finished.
    cluster = start_serving_cluster()
    ref = "j-000000"
    heal = cut_zone(cluster, "b")
    cluster.cloud.down = True
    cluster.run(6)
    leader = NODES.index(cluster.leader() or "")
    requested_at = cluster.sim.time
    replies: list[tuple[float, int]] = []
    cluster.call(
        NODES[leader],
        "POST",
        f"{wire.JOBS}/{ref}/cancel",
        None,
        lambda status, _: replies.append((cluster.sim.time - requested_at, status)),
    )
    cluster.run(2)
    assert [status for _, status in replies] == [503]
    assert replies[0][0] < 0.1
    # One task was stopped, the other cannot be reached: the job is not reported as cancelled, and
    # none of its tasks starts.
    assert cluster.count(ref) == 1
    assert cluster.query_job(ref)[1]["stage"] in ("running", "pending")
    cluster.run(20)
    assert ref not in cluster.reported_cancelled_at
    heal()
    cluster.cloud.down = False
    cluster.cancel(ref, node=leader)
    assert cluster.run_until(lambda: ref in cluster.reported_cancelled_at, 30), cluster.trace
    assert cluster.count(ref) == 0
    assert cluster.query_job(ref)[1]["stage"] == "aborted"


def test_cancellation_terminates_a_machine_that_no_command_reaches() -> None:
    # A stop command cannot reach the machine: the cloud must have terminated it before `cancel_s`
    # has passed.
    cluster = start_serving_cluster()
    machine = cluster.find_machine("j-000000/0")
    for name in NODES:
        cluster.sim.cut(cluster.ip(name), cluster.get_machine_ip(machine))
    cluster.cancel("j-000000")
    assert cluster.run_until(lambda: "j-000000" in cluster.reported_cancelled_at, 10)
    cluster.run(35)
    assert cluster.count("j-000000") == 0
    assert cluster.query_job("j-000000")[1]["stage"] == "aborted"


def test_cancel_stops_at_once_and_is_final() -> None:
    # A cancelled job must stay cancelled when all controllers restart and when it is submitted
    # again.
    cluster = start_serving_cluster()
    cluster.cancel("j-000001", node=2)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 0, 0.2)
    for name in NODES:
        cluster.crash(name, restart_after_s=1.0)
    cluster.run(8)
    assert cluster.query_job("j-000001")[1]["stage"] == "aborted"
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(5)
    assert cluster.count("j-000001") == 0


def test_hard_limit_holds_under_many_submissions() -> None:
    # The two machines that are provisioned for the limit of 10 GPUs could run 16 tasks: the free
    # capacity must not let the team exceed its limit.
    cluster = SimulatedCluster(team=Team("crew", 0.0, 200.0, 0.0, 10.0))
    for number in range(6):
        cluster.submit(batch(f"j-{number:06d}", 30), run_time=4.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 10, 60)
    cluster.run(30)
    assert cluster.accepted == {f"j-{number:06d}" for number in range(6)}


def test_invalid_submissions_are_rejected_and_known_ids_get_their_status() -> None:
    # A submission under a known id must be replied to with the job's status, even if its body is
    # malformed: a client that sends a job again must not be told that it was rejected.
    cluster = start_serving_cluster()
    statuses: dict[str, int] = {}

    def send(name: str, body: object) -> None:
        cluster.call(
            "hearth-1",
            "POST",
            wire.JOBS,
            body,
            lambda status, _: statuses.__setitem__(name, status),
        )
        cluster.run(0.5)

    good = wire.build_submission(spec("j-000070"))
    send("not a map", [1, 2])
    send("missing field", {"ref": "j-000071"})
    send("no tasks", wire.build_submission(spec("j-000072", tasks=0)))
    send("infinite", wire.build_submission(spec("j-000073", cores=float("inf"))))
    send("bad id", wire.build_submission(spec("job-1")))
    send("unknown team", wire.build_submission(spec("j-000074", team="nobody")))
    send("too big for any", wire.build_submission(spec("j-000075", cores=1000.0)))
    send("over the limit", wire.build_submission(spec("j-000076", tasks=101)))
    send("known, malformed", {"ref": "j-000000"})
    send("good", good)
    assert statuses == {
        "not a map": 400,
        "missing field": 400,
        "no tasks": 400,
        "infinite": 400,
        "bad id": 400,
        "unknown team": 422,
        "too big for any": 422,
        "over the limit": 422,
        "known, malformed": 200,
        "good": 201,
    }


def start_full_cluster() -> SimulatedCluster:
    """Starts a cluster whose only GPU machine is full of batch tasks."""
    cluster = SimulatedCluster()
    for key in cluster.cloud._capacity:
        cluster.cloud._capacity[key] = 1 if key == ("g8", "a", False) else 0
    cluster.submit(batch("j-000100", 8), run_time=300.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") == 8, 60)
    return cluster


def test_critical_replica_preempts_batch_tasks() -> None:
    # Batch tasks use all GPUs, and the cloud has no more: the replica must not wait until they
    # finish.
    cluster = start_full_cluster()
    cluster.submit(spec("j-000001", gpus=2.0, cores=6.0))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 1, 10), cluster.trace
    cluster.run(10)
    assert (cluster.count("j-000001"), cluster.count("j-000100")) == (1, 6)


def test_machines_with_low_utilization_are_emptied_and_terminated() -> None:
    # Replicas that keep running kept machines with a utilization of a tenth from ever becoming
    # idle.
    cluster = SimulatedCluster()
    for number in range(16):
        cluster.submit(spec(f"j-{number:06d}", gpus=2.0, cores=6.0))
    assert cluster.run_until(lambda: len(cluster.running) == 16, 60)
    before = len(cluster.workers)
    for number in (0, 1, 2, 4, 5, 7, 8, 10, 11, 13):
        cluster.cancel(f"j-{number:06d}")
    assert cluster.run_until(
        lambda: len(cluster.running) == 6 and len(cluster.workers) <= 2 < before, 200
    ), cluster.trace[-40:]


def test_two_preemptions_on_one_machine_do_not_count_the_same_capacity_twice() -> None:
    # A machine with two replicas died, and both replicas waited for the capacity of the same four
    # stopped tasks. An earlier fix closed a machine with a preemption to all others, which delayed
    # the quotas guaranteed to teams.
    cluster = start_full_cluster()
    cluster.submit(spec("j-000001", gpus=2.0, cores=6.0))
    cluster.submit(spec("j-000002", gpus=2.0, cores=6.0), node=1)
    assert cluster.run_until(
        lambda: cluster.count("j-000001") + cluster.count("j-000002") == 2, 3
    ), cluster.trace
    cluster.run(10)
    assert cluster.count("j-000100") == 4


def test_late_job_that_can_meet_a_multiple_of_its_deadline_goes_first() -> None:
    # In an overloaded queue, jobs past their deadline were ordered by age, although some could
    # still finish within the multiple of the deadline that another objective asks for.
    cluster = SimulatedCluster(
        objectives=(
            Objective("deadline", "batch", 0.0, 0.9),
            Objective("deadline", "batch", 0.0, 0.9, 3.0),
        )
    )
    cluster.run(1)
    for name, deadline in (("j-000001", 8.0), ("j-000002", 40.0), ("j-000003", 10.0)):
        cluster.submit(batch(name, 1, deadline=deadline))
    cluster.run(1)
    leader = cluster.nodes[cluster.leader() or ""].leader
    jobs = [leader.state.jobs_by_ref[name] for name in ("j-000001", "j-000002", "j-000003")]
    accepted_at = jobs[0].accepted_at
    # At 14 s: the first can finish within three times its deadline until 18 s, the third until
    # 24 s.
    order = sorted(
        jobs, key=lambda job: leader.duties.jobs.queue.compute_urgency(job, accepted_at + 14.0)
    )
    assert [job.spec.ref for job in order] == ["j-000002", "j-000001", "j-000003"]
    order = sorted(
        jobs, key=lambda job: leader.duties.jobs.queue.compute_urgency(job, accepted_at + 20.0)
    )
    assert [job.spec.ref for job in order] == ["j-000002", "j-000003", "j-000001"]
