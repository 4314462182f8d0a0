"""Jobs from submission to their end: cancellations, quota, preemption, order, consolidation."""

from __future__ import annotations

from flaxtally.protocol import wire
from flaxtally.settings import Objective, Team

from .scenarios import cut_zone, start_serving_cluster
from .simulated_cluster import NODES, SimulatedCluster, batch, spec


def test_a_cancellation_is_told_when_nothing_of_the_job_is_left() -> None:
    # A promise that hung on leases bounded how long a cut zone's tasks could be kept, and could be
    # broken by a cut and an outage together: the user is told to ask again until the tasks are
    # proven over.
    cluster = start_serving_cluster()
    ref = "j-000000"
    heal = cut_zone(cluster, "b")
    cluster.cloud.down = True
    cluster.run(6)
    leader = NODES.index(cluster.leader() or "")
    asked = cluster.sim.time
    answers: list[tuple[float, int]] = []
    cluster.call(
        NODES[leader],
        "POST",
        f"{wire.WORK}/{ref}/cancel",
        None,
        lambda status, _: answers.append((cluster.sim.time - asked, status)),
    )
    cluster.run(2)
    assert [status for _, status in answers] == [503]
    assert answers[0][0] < 0.1
    # One task is stopped, the other can't be reached; nobody calls the job cancelled, and nothing
    # of it starts.
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


def test_cancel_across_a_cut() -> None:
    # The machine can't be told: before `cancel_s` is over the cloud must have taken it back.
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
    cluster = start_serving_cluster()
    cluster.cancel("j-000001", node=2)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 0, 0.2)
    for name in NODES:
        cluster.crash(name, back_after=1.0)
    cluster.run(8)
    assert cluster.query_job("j-000001")[1]["stage"] == "aborted"
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(5)
    assert cluster.count("j-000001") == 0


def test_quota_is_kept_under_a_flood() -> None:
    # There is room for 16 tasks on the two machines that the limit of 10 GPUs asks for.
    cluster = SimulatedCluster(team=Team("crew", 0.0, 200.0, 0.0, 10.0))
    for number in range(6):
        cluster.submit(batch(f"j-{number:06d}", 30), run_time=4.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 10, 60)
    cluster.run(30)
    assert cluster.accepted == {f"j-{number:06d}" for number in range(6)}


def test_bad_submissions_are_answered_and_known_ids_win() -> None:
    cluster = start_serving_cluster()
    answers: dict[str, int] = {}

    def send(name: str, body: object) -> None:
        cluster.call(
            "hearth-1", "POST", wire.WORK, body, lambda status, _: answers.__setitem__(name, status)
        )
        cluster.run(0.5)

    good = wire.submission(spec("j-000070"))
    send("not a map", [1, 2])
    send("missing field", {"ref": "j-000071"})
    send("no tasks", wire.submission(spec("j-000072", tasks=0)))
    send("infinite", wire.submission(spec("j-000073", cores=float("inf"))))
    send("bad id", wire.submission(spec("job-1")))
    send("unknown team", wire.submission(spec("j-000074", team="nobody")))
    send("too big for any", wire.submission(spec("j-000075", cores=1000.0)))
    send("over the limit", wire.submission(spec("j-000076", tasks=101)))
    send("known, malformed", {"ref": "j-000000"})
    send("good", good)
    assert answers == {
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


def crowded() -> SimulatedCluster:
    """A world whose only GPU machine is full of batch tasks."""
    cluster = SimulatedCluster()
    for key in cluster.cloud._capacity:
        cluster.cloud._capacity[key] = 1 if key == ("g8", "a", False) else 0
    cluster.submit(batch("j-000100", 8), run_time=300.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") == 8, 60)
    return cluster


def test_a_critical_replica_takes_the_room_of_batch_tasks() -> None:
    # All GPUs are taken by batch tasks and the cloud has no more: the replica must not wait for
    # them.
    cluster = crowded()
    cluster.submit(spec("j-000001", gpus=2.0, cores=6.0))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 1, 10), cluster.trace
    cluster.run(10)
    assert (cluster.count("j-000001"), cluster.count("j-000100")) == (1, 6)


def test_thinly_used_machines_are_emptied_and_returned() -> None:
    # Found by the fleet's log: replicas that stay kept machines used by a tenth from ever falling
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


def test_two_preemptions_on_one_machine_do_not_count_the_same_room_twice() -> None:
    # Found when a machine with two replicas died: both waited for the same four stopped tasks. Then
    # a machine taken by one preemption was closed to all others, and teams' guarantees waited.
    cluster = crowded()
    cluster.submit(spec("j-000001", gpus=2.0, cores=6.0))
    cluster.submit(spec("j-000002", gpus=2.0, cores=6.0), node=1)
    assert cluster.run_until(
        lambda: cluster.count("j-000001") + cluster.count("j-000002") == 2, 3
    ), cluster.trace
    cluster.run(10)
    assert cluster.count("j-000100") == 4


def test_a_job_that_lost_its_deadline_goes_before_one_that_lost_its_multiple_too() -> None:
    # Found on a grown deployment: in a queue that nothing can meet, jobs past their deadline went
    # by age, though some could still be done by the multiple of it that is asked for as well.
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
    began = jobs[0].accepted_at
    # At 14 s: the first can keep three times its deadline until 18 s, the third until 24 s.
    order = sorted(
        jobs, key=lambda job: leader.duties.jobs.queue.compute_urgency(job, began + 14.0)
    )
    assert [job.spec.ref for job in order] == ["j-000002", "j-000001", "j-000003"]
    order = sorted(
        jobs, key=lambda job: leader.duties.jobs.queue.compute_urgency(job, began + 20.0)
    )
    assert [job.spec.ref for job in order] == ["j-000002", "j-000003", "j-000001"]
