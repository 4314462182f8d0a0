"""Machines and zones that hang, fail, run slowly, are cut off or return. Each test names the
failure that it guards against.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .scenarios import cut_zone, start_serving_cluster
from .simulated_cluster import NODES, SimulatedCluster, batch, spec

if TYPE_CHECKING:
    from flaxtally.fakes.worker import Worker
    from flaxtally.runtime.http import Request


def test_hung_machine_is_replaced_and_may_return() -> None:
    # Missing heartbeats do not prove that the tasks of a hung machine are finished: they move only
    # once the cloud has confirmed its termination with a 200. When the machine continues, nothing
    # may run twice.
    cluster = start_serving_cluster()
    machine = cluster.find_machine("j-000000/0")
    worker = cluster.workers[machine]
    worker.hung = True
    assert cluster.run_until(lambda: machine not in cluster.workers, 30), cluster.trace
    assert cluster.run_until(lambda: len(cluster.running) == 8, 40), cluster.trace
    worker.hung = False
    cluster.run(20)
    assert len(cluster.running) == 8


def test_tasks_of_hung_machine_do_not_move_during_cloud_outage() -> None:
    # During a cloud outage nothing proves the termination of a hung machine: its tasks must not
    # start elsewhere before the machine continues or the cloud is back.
    cluster = start_serving_cluster()
    machine = cluster.find_machine("j-000000/0")
    held = {task for task, (name, _) in cluster.running.items() if name == machine}
    spare = [cluster.cloud.add("c16", zone, False, boot=0.5) for zone in "ab"]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in spare), 5)
    cluster.run(3)
    cluster.cloud.down = True
    cluster.workers[machine].hung = True
    cluster.run(25)
    assert held <= set(cluster.running)
    cluster.workers[machine].hung = False
    cluster.cloud.down = False
    assert cluster.run_until(
        lambda: len(cluster.running) == 8 and machine not in dict(cluster.running.values()), 40
    )


def test_worker_without_replies_loses_its_lease_and_its_tasks_move() -> None:
    # The worker's heartbeats arrive, but replies and commands do not reach it. Its lease expires,
    # and its new session proves that the old tasks are finished.
    cluster = start_serving_cluster()
    machine = cluster.find_machine("j-000000/0")
    cluster.workers[machine]._execute = lambda *_: None  # type: ignore[method-assign]
    for name in NODES:
        cluster.sim.cut(cluster.ip(name), cluster.get_machine_ip(machine))
    assert cluster.run_until(lambda: machine not in cluster.workers, 40)
    assert cluster.run_until(lambda: len(cluster.running) == 8, 40), cluster.trace


def test_controller_restarted_in_partitioned_zone_keeps_its_workers_tasks() -> None:
    # The only controller of a partitioned zone restarted, knew no term and replied 503 to its
    # workers: 956 tasks were killed when their leases expired. The cluster has two controllers,
    # because with more a worker's attempts to reach those outside the zone outlast its lease.
    cluster = SimulatedCluster(nodes=NODES[:2])
    for number in range(4):
        cluster.submit(spec(f"j-{number:06d}", tasks=2))
    assert cluster.run_until(lambda: len(cluster.running) == 8, 60), cluster.trace
    added = [cluster.cloud.add("c16", "b", False, boot=0.5) for _ in range(3)]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in added), 5)
    cluster.run(3)
    before = dict(cluster.running)
    heal = cut_zone(cluster, "b")
    cluster.run(4)
    cluster.crash("hearth-1", restart_after_s=1.0)
    cluster.run(25)
    assert cluster.running == before
    heal()
    cluster.run(25)
    assert cluster.running == before
    assert cluster.query_job("j-000000")[1]["stage"] == "running"


def test_copies_of_an_old_heartbeat_prove_nothing() -> None:
    # Copies of an old heartbeat arrive for longer than a lease: they must not make a hung machine
    # look alive, nor prove that a task is absent.
    cluster = start_serving_cluster()
    leader = cluster.leader()
    assert leader
    machine = cluster.find_machine("j-000000/0")
    stale = cluster.workers[machine].report()
    stale.tasks = []
    cluster.run(4)
    attempts = {task: attempt for task, (_, attempt) in cluster.running.items()}
    cluster.nodes[leader].leader.handle_heartbeat(leader, stale)
    cluster.run(1)
    assert {task: attempt for task, (_, attempt) in cluster.running.items()} == attempts
    cluster.workers[machine].hung = True
    for _ in range(20):
        cluster.nodes[leader].leader.handle_heartbeat(leader, stale)
        cluster.run(1)
    assert machine not in cluster.workers


def delay_commands(worker: Worker, seconds: float) -> None:
    """Delays the commands to the worker; its heartbeats are not delayed."""
    direct = worker._handle_request

    def handle_later(request: Request) -> None:
        worker._runtime.after(seconds, direct, request)

    worker._handle_request = handle_later  # type: ignore[method-assign]
    worker._server.handler = handle_later


def test_late_launch_is_not_replaced_by_a_second_attempt() -> None:
    # Heartbeats that do not list a launched task arrive before the launch command does: they do not
    # prove that the command will never arrive.
    cluster = SimulatedCluster()
    for zone in "ab":
        cluster.cloud.add("c16", zone, False, boot=0.5)
    cluster.run(5)
    for worker in cluster.workers.values():
        delay_commands(worker, 6.0)
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 20), cluster.trace
    job = cluster.nodes[cluster.leader() or ""].leader.state.jobs_by_ref["j-000001"]
    assert job.attempts == {0: 1, 1: 1}


def test_heartbeat_under_an_older_token_proves_no_task_absent() -> None:
    # Until a machine has the new leader's token, a launch command of the old leader may still
    # arrive there.
    cluster = start_serving_cluster()
    old_leader = cluster.leader()
    assert old_leader
    cluster.crash(old_leader, restart_after_s=30.0)
    assert cluster.run_until(
        lambda: (new := cluster.leader()) is not None and cluster.nodes[new].leader.term.active, 10
    )
    leader = cluster.nodes[cluster.leader() or ""].leader
    machine = cluster.find_machine("j-000000/0")
    heartbeat = cluster.workers[machine].report()
    heartbeat.tasks, heartbeat.fencing_token, heartbeat.sequence_number = (
        [],
        leader.term.number - 1,
        10**6,
    )
    placements = dict(leader.term.fleet.machines[machine].placements)
    leader.handle_heartbeat("hearth-0", heartbeat)
    assert leader.term.fleet.machines[machine].placements == placements != {}


def test_exited_task_is_not_forgotten_while_its_launch_has_no_reply() -> None:
    # The launch command arrived, but its reply did not: another copy of the command may arrive and
    # would run the task again if the worker had forgotten it.
    cluster = SimulatedCluster()
    name = cluster.cloud.add("g8", "a", False, boot=0.5)
    cluster.run(5)
    leader = cluster.nodes[cluster.leader() or ""].leader
    send = leader._transport.send

    def send_and_lose_reply(controller, machine, address, body, on_reply):  # type: ignore[no-untyped-def]
        send(controller, machine, address, body, lambda *_: on_reply(0, b""))

    leader._transport.send = send_and_lose_reply  # type: ignore[method-assign]
    cluster.submit(batch("j-000001", 2), run_time=3.0)
    cluster.run(15)
    assert cluster.query_job("j-000001")[1]["stage"] == "done"
    assert len(cluster.workers[name].tasks) == 2


def test_job_completes_when_all_spot_machines_are_lost_at_once() -> None:
    # The cloud takes all spot machines at once without notice: their tasks restart elsewhere, and
    # nothing runs twice.
    cluster = SimulatedCluster()
    cluster.submit(batch("j-000100", 24), run_time=12.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") >= 20, 60)
    for name in [name for name, worker in cluster.workers.items() if worker.machine.spot]:
        cluster.cloud.remove_machine(name)
    assert cluster.run_until(
        lambda: len(cluster.nodes) > 0 and cluster.query_job("j-000100")[1]["stage"] == "done", 120
    ), cluster.trace


def test_unknown_machine_is_added_and_terminated_when_idle() -> None:
    # A machine that was provisioned late and is unknown to the leader is found by its heartbeats.
    # It costs money until it is used or terminated.
    cluster = start_serving_cluster()
    name = cluster.cloud.add("g8", "a", False, boot=1.0)
    assert cluster.run_until(lambda: name in cluster.workers, 5)
    assert cluster.run_until(lambda: name not in cluster.cloud.machines, 90), cluster.trace
    assert len(cluster.running) == 8


def test_zone_partitioned_from_the_leader_keeps_its_tasks() -> None:
    # In a partition between zones the leader terminated all machines of the other zone, although a
    # controller there received their heartbeats. That controller relays through the state service:
    # tasks keep running, the leader learns of exits, and cancellations and launches get through.
    cluster = start_serving_cluster(jobs=6)
    cluster.submit(batch("j-000100", 6), run_time=25.0)
    assert cluster.run_until(lambda: cluster.count("j-000100") == 6, 60)
    before = {
        task: where for task, where in cluster.running.items() if not task.startswith("j-000100")
    }
    machines_b = {name for name, worker in cluster.workers.items() if worker.machine.zone == "b"}
    zone_a = [*(cluster.ip(name) for name in NODES if NODES.index(name) % 2 == 0)]
    zone_a += [
        cluster.get_machine_ip(name)
        for name, worker in cluster.workers.items()
        if worker.machine.zone == "a"
    ]
    zone_b = [cluster.ip("hearth-1"), *(cluster.get_machine_ip(name) for name in machines_b)]
    for ip_a in zone_a:
        for ip_b in zone_b:
            cluster.sim.cut(ip_a, ip_b)
    cluster.run(40)
    assert {
        task: where for task, where in cluster.running.items() if not task.startswith("j-000100")
    } == before
    victim = next(task for task, (name, _) in cluster.running.items() if name in machines_b)
    ref = victim.partition("/")[0]
    cluster.cancel(ref)
    assert cluster.run_until(lambda: cluster.count(ref) == 0, 10), cluster.trace
    assert cluster.query_job("j-000100")[1]["stage"] == "done"
    for ip_a in zone_a:
        for ip_b in zone_b:
            cluster.sim.heal(ip_a, ip_b)
    cluster.run(20)
    assert len(cluster.running) == 10


def test_machines_are_kept_when_a_whole_zone_loses_its_heartbeats() -> None:
    # The only controller of a partitioned zone crashed. The leader considered all machines of the
    # zone lost, and terminated them just when that controller was back.
    cluster = SimulatedCluster()
    for number in range(24):
        cluster.submit(spec(f"j-{number:06d}", tasks=2, cores=8.0))
    assert cluster.run_until(lambda: len(cluster.running) == 2 * 12, 90), len(cluster.running)
    machines_b = [name for name, worker in cluster.workers.items() if worker.machine.zone == "b"]
    assert len(machines_b) >= 3
    for name in machines_b:
        for node in NODES:
            cluster.sim.cut(cluster.ip(node), cluster.get_machine_ip(name))
    cluster.run(14)
    assert all(name in cluster.workers for name in machines_b)
    for name in machines_b:
        for node in NODES:
            cluster.sim.heal(cluster.ip(node), cluster.get_machine_ip(name))
    cluster.run(15)
    assert all(name in cluster.workers for name in machines_b)


def test_slow_machine_is_detected_and_gets_no_batch_tasks() -> None:
    # Two machines of 300 were faulty and slow: each job with a task there finished minutes later
    # than its other tasks. Tasks that write checkpoints must be moved, new batch tasks must go
    # elsewhere.
    cluster = SimulatedCluster()
    cluster.submit(
        batch("j-000001", 24, checkpoint_interval_s=1.0, checkpoint_save_s=0.2), run_time=10.0
    )
    assert cluster.run_until(lambda: cluster.count("j-000001") == 24, 60)
    slow_worker = max(cluster.workers.values(), key=lambda worker: len(worker.tasks))
    slow_worker.slowness = 8.0
    cluster.submit(
        batch("j-000002", 24, checkpoint_interval_s=1.0, checkpoint_save_s=0.2), run_time=10.0
    )
    started = cluster.sim.time
    assert cluster.run_until(lambda: cluster.query_job("j-000002")[1]["stage"] == "done", 60)
    assert cluster.sim.time - started < 50
    leader = cluster.nodes[cluster.leader() or ""].leader
    assert [name for name, machine in leader.term.fleet.machines.items() if machine.is_slow] == [
        slow_worker.machine.machine
    ]
    cluster.submit(batch("j-000003", 12), run_time=10.0)
    assert cluster.run_until(lambda: cluster.count("j-000003") == 12, 30)
    assert not any(
        place[0] == slow_worker.machine.machine
        for task, place in cluster.running.items()
        if "j-000003" in task
    )


def test_jobs_submitted_with_a_mistake_quarantine_no_machine() -> None:
    # Two jobs that were submitted with a mistake failed on the same machines, which were then
    # considered faulty. Services kept them up but cordoned for the rest of the run: half of the
    # GPUs were lost, and three quarters of the array jobs were not served.
    cluster = SimulatedCluster(capacity=1)
    cluster.submit(spec("j-000001", tasks=2, gpus=2.0))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    for number in range(3):
        ref = f"j-{100 + number:06d}"
        cluster.broken.add(ref)
        cluster.submit(batch(ref, 4), run_time=5.0, node=number)
    cluster.run(20)
    for number in range(6):
        cluster.submit(batch(f"j-{200 + number:06d}", 4), run_time=10.0, node=number)
    cluster.run(60)
    machines = cluster.nodes[cluster.leader() or ""].leader.term.fleet.machines
    assert {cluster.find_machine("j-000001/0"), cluster.find_machine("j-000001/1")} <= set(machines)
    assert not any(machine.is_cordoned for machine in machines.values())
    assert all(len(cluster.rules.jobs[f"j-{200 + number:06d}"].done) == 4 for number in range(6))


def test_machine_with_a_transient_fault_is_used_again() -> None:
    # Two of four GPU machines failed all tasks for a moment. Services kept running on them, and no
    # other task was placed there for three minutes.
    cluster = SimulatedCluster(capacity=1)
    cluster.submit(spec("j-000001", tasks=2, gpus=2.0))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    faulty_machine = cluster.find_machine("j-000001/0")
    cluster.faulty_machines.add(faulty_machine)
    for number in range(12):
        cluster.submit(batch(f"j-{200 + number:06d}", 4), run_time=60.0, node=number)
    cluster.run(5)
    cluster.faulty_machines.clear()
    cluster.run(45)
    tasks_there = [
        task
        for task, (machine, _) in cluster.running.items()
        if machine == faulty_machine and task.startswith("j-0002")
    ]
    assert len(tasks_there) >= 5, cluster.running


def test_machine_on_which_several_jobs_fail_is_terminated() -> None:
    # This holds even if one of the jobs has failed on another machine before: its successful tasks
    # show that it was submitted without a mistake.
    cluster = SimulatedCluster()
    for number in range(4):
        cluster.submit(batch(f"j-{number:06d}", 6), run_time=4.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) > 8, 60), cluster.trace
    faulty_machine = cluster.find_machine(min(cluster.running))
    cluster.faulty_machines.add(faulty_machine)
    for number in range(4, 12):
        cluster.submit(batch(f"j-{number:06d}", 6), run_time=4.0, node=number)
    assert cluster.run_until(lambda: faulty_machine not in cluster.workers, 40), cluster.trace[-30:]
    cluster.run(40)
    assert all(
        cluster.rules.jobs[f"j-{number:06d}"].final_stage
        or cluster.query_job(f"j-{number:06d}")[1]["stage"] == "done"
        for number in range(12)
    )


def test_old_provisioning_requests_are_dropped_in_a_cloud_outage() -> None:
    # During a cloud outage the requests of each plan were kept and retried. After the outage they
    # used up all calls for 38 s, and the machines that were needed by then had to wait.
    cluster = SimulatedCluster()
    cluster.run(2)
    cluster.cloud.down = True
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(30)
    assert (
        len(cluster.cloud.provision_requests)
        == len(set(cluster.cloud.provision_requests))
        <= 30 / 2.5 + 8
    )
    cluster.cloud.down = False
    before = len(cluster.cloud.provision_requests)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 25)
    assert len(cluster.cloud.provision_requests) - before <= 4
    assert len(cluster.cloud.machines) <= 3


def test_new_leader_removes_machines_that_the_cloud_no_longer_lists() -> None:
    # A leader terminated two hung machines while the state service was down, and crashed before it
    # could commit that. The next leader waited for their heartbeats to time out, until the cloud
    # was down in turn.
    cluster = start_serving_cluster()
    lost = cluster.find_machine("j-000000/0")
    for name in NODES:
        cluster.crash(name, restart_after_s=4.0)
    cluster.cloud.remove_machine(lost)
    assert cluster.run_until(lambda: cluster.leader() is not None, 8)
    cluster.run(2.5)
    leader = cluster.nodes[cluster.leader() or ""].leader
    assert lost in leader.term.fleet.removed_machines
    assert lost not in leader.state.placements_by_machine
