"""Machines and zones that hang, fail, run slowly, are cut off or return. Each test names the
failure that it guards against.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .scenarios import cut_zone, serving
from .simulated_cluster import NODES, SimulatedCluster, batch, spec

if TYPE_CHECKING:
    from flaxtally.fakes.worker import Worker
    from flaxtally.runtime.http import Request


def test_hung_machine_is_replaced_and_may_return() -> None:
    # Missing heartbeats do not prove that the tasks of a hung machine are finished: they move only
    # once the cloud has confirmed its termination with a 200. When the machine continues, nothing
    # may run twice.
    world = serving()
    machine = world.machine_of("j-000000/0")
    worker = world.workers[machine]
    worker.hung = True
    assert world.until(lambda: machine not in world.workers, 30), world.trace
    assert world.until(lambda: len(world.running) == 8, 40), world.trace
    worker.hung = False
    world.run(20)
    assert len(world.running) == 8


def test_tasks_of_hung_machine_do_not_move_during_cloud_outage() -> None:
    # During a cloud outage nothing proves the termination of a hung machine: its tasks must not
    # start elsewhere before the machine continues or the cloud is back.
    world = serving()
    machine = world.machine_of("j-000000/0")
    held = {task for task, (name, _) in world.running.items() if name == machine}
    spare = [world.cloud.add("c16", zone, False, boot=0.5) for zone in "ab"]
    assert world.until(lambda: all(name in world.workers for name in spare), 5)
    world.run(3)
    world.cloud.down = True
    world.workers[machine].hung = True
    world.run(25)
    assert held <= set(world.running)
    world.workers[machine].hung = False
    world.cloud.down = False
    assert world.until(
        lambda: len(world.running) == 8 and machine not in dict(world.running.values()), 40
    )


def test_worker_without_replies_loses_its_lease_and_its_tasks_move() -> None:
    # The worker's heartbeats arrive, but replies and commands do not reach it. Its lease expires,
    # and its new session proves that the old tasks are finished.
    world = serving()
    machine = world.machine_of("j-000000/0")
    world.workers[machine]._execute = lambda *_: None  # type: ignore[method-assign]
    for name in NODES:
        world.sim.cut(world.ip(name), world.ip_of(machine))
    assert world.until(lambda: machine not in world.workers, 40)
    assert world.until(lambda: len(world.running) == 8, 40), world.trace


def test_controller_restarted_in_partitioned_zone_keeps_its_workers_tasks() -> None:
    # The only controller of a partitioned zone restarted, knew no term and replied 503 to its
    # workers: 956 tasks were killed when their leases expired. The cluster has two controllers,
    # because with more a worker's attempts to reach those outside the zone outlast its lease.
    world = SimulatedCluster(nodes=NODES[:2])
    for number in range(4):
        world.submit(spec(f"j-{number:06d}", tasks=2))
    assert world.until(lambda: len(world.running) == 8, 60), world.trace
    added = [world.cloud.add("c16", "b", False, boot=0.5) for _ in range(3)]
    assert world.until(lambda: all(name in world.workers for name in added), 5)
    world.run(3)
    before = dict(world.running)
    heal = cut_zone(world, "b")
    world.run(4)
    world.crash("hearth-1", back_after=1.0)
    world.run(25)
    assert world.running == before
    heal()
    world.run(25)
    assert world.running == before
    assert world.ask("j-000000")[1]["stage"] == "running"


def test_copies_of_an_old_heartbeat_prove_nothing() -> None:
    # Copies of an old heartbeat arrive for longer than a lease: they must not make a hung machine
    # look alive, nor prove that a task is absent.
    world = serving()
    leader = world.leader()
    assert leader
    machine = world.machine_of("j-000000/0")
    stale = world.workers[machine].report()
    stale.tasks = []
    world.run(4)
    attempts = {task: attempt for task, (_, attempt) in world.running.items()}
    world.nodes[leader].leader.handle_heartbeat(leader, stale)
    world.run(1)
    assert {task: attempt for task, (_, attempt) in world.running.items()} == attempts
    world.workers[machine].hung = True
    for _ in range(20):
        world.nodes[leader].leader.handle_heartbeat(leader, stale)
        world.run(1)
    assert machine not in world.workers


def delay_commands(worker: Worker, seconds: float) -> None:
    """Delays the commands to the worker; its heartbeats are not delayed."""
    direct = worker._direct

    def handle_later(request: Request) -> None:
        worker._runtime.after(seconds, direct, request)

    worker._direct = handle_later  # type: ignore[method-assign]
    worker._server.handler = handle_later


def test_late_launch_is_not_replaced_by_a_second_attempt() -> None:
    # Heartbeats that do not list a launched task arrive before the launch command does: they do not
    # prove that the command will never arrive.
    world = SimulatedCluster()
    for zone in "ab":
        world.cloud.add("c16", zone, False, boot=0.5)
    world.run(5)
    for worker in world.workers.values():
        delay_commands(worker, 6.0)
    world.submit(spec("j-000001", tasks=2))
    assert world.until(lambda: world.count("j-000001") == 2, 20), world.trace
    job = world.nodes[world.leader() or ""].leader.state.jobs_by_ref["j-000001"]
    assert job.attempts == {0: 1, 1: 1}


def test_heartbeat_under_an_older_token_proves_no_task_absent() -> None:
    # Until a machine has the new leader's token, a launch command of the old leader may still
    # arrive there.
    world = serving()
    old_leader = world.leader()
    assert old_leader
    world.crash(old_leader, back_after=30.0)
    assert world.until(
        lambda: (new := world.leader()) is not None and world.nodes[new].leader.term.active, 10
    )
    leader = world.nodes[world.leader() or ""].leader
    machine = world.machine_of("j-000000/0")
    heartbeat = world.workers[machine].report()
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
    world = SimulatedCluster()
    name = world.cloud.add("g8", "a", False, boot=0.5)
    world.run(5)
    leader = world.nodes[world.leader() or ""].leader
    send = leader._transport.send

    def send_and_lose_reply(controller, machine, address, body, on_reply):  # type: ignore[no-untyped-def]
        send(controller, machine, address, body, lambda *_: on_reply(0, b""))

    leader._transport.send = send_and_lose_reply  # type: ignore[method-assign]
    world.submit(batch("j-000001", 2), run_time=3.0)
    world.run(15)
    assert world.ask("j-000001")[1]["stage"] == "done"
    assert len(world.workers[name].tasks) == 2


def test_job_completes_when_all_spot_machines_are_lost_at_once() -> None:
    # The cloud takes all spot machines at once without notice: their tasks restart elsewhere, and
    # nothing runs twice.
    world = SimulatedCluster()
    world.submit(batch("j-000100", 24), run_time=12.0)
    assert world.until(lambda: world.count("j-000100") >= 20, 60)
    for name in [name for name, worker in world.workers.items() if worker.machine.spot]:
        world.cloud.take(name)
    assert world.until(
        lambda: len(world.nodes) > 0 and world.ask("j-000100")[1]["stage"] == "done", 120
    ), world.trace


def test_unknown_machine_is_added_and_terminated_when_idle() -> None:
    # A machine that was provisioned late and is unknown to the leader is found by its heartbeats.
    # It costs money until it is used or terminated.
    world = serving()
    name = world.cloud.add("g8", "a", False, boot=1.0)
    assert world.until(lambda: name in world.workers, 5)
    assert world.until(lambda: name not in world.cloud.machines, 90), world.trace
    assert len(world.running) == 8


def test_zone_partitioned_from_the_leader_keeps_its_tasks() -> None:
    # In a partition between zones the leader terminated all machines of the other zone, although a
    # controller there received their heartbeats. That controller relays through the state service:
    # tasks keep running, the leader learns of exits, and cancellations and launches get through.
    world = serving(jobs=6)
    world.submit(batch("j-000100", 6), run_time=25.0)
    assert world.until(lambda: world.count("j-000100") == 6, 60)
    before = {
        task: where for task, where in world.running.items() if not task.startswith("j-000100")
    }
    machines_b = {name for name, worker in world.workers.items() if worker.machine.zone == "b"}
    zone_a = [*(world.ip(name) for name in NODES if NODES.index(name) % 2 == 0)]
    zone_a += [
        world.ip_of(name) for name, worker in world.workers.items() if worker.machine.zone == "a"
    ]
    zone_b = [world.ip("hearth-1"), *(world.ip_of(name) for name in machines_b)]
    for ip_a in zone_a:
        for ip_b in zone_b:
            world.sim.cut(ip_a, ip_b)
    world.run(40)
    assert {
        task: where for task, where in world.running.items() if not task.startswith("j-000100")
    } == before
    victim = next(task for task, (name, _) in world.running.items() if name in machines_b)
    ref = victim.partition("/")[0]
    world.cancel(ref)
    assert world.until(lambda: world.count(ref) == 0, 10), world.trace
    assert world.ask("j-000100")[1]["stage"] == "done"
    for ip_a in zone_a:
        for ip_b in zone_b:
            world.sim.heal(ip_a, ip_b)
    world.run(20)
    assert len(world.running) == 10


def test_machines_are_kept_when_a_whole_zone_loses_its_heartbeats() -> None:
    # The only controller of a partitioned zone crashed. The leader considered all machines of the
    # zone lost, and terminated them just when that controller was back.
    world = SimulatedCluster()
    for number in range(24):
        world.submit(spec(f"j-{number:06d}", tasks=2, cores=8.0))
    assert world.until(lambda: len(world.running) == 2 * 12, 90), len(world.running)
    machines_b = [name for name, worker in world.workers.items() if worker.machine.zone == "b"]
    assert len(machines_b) >= 3
    for name in machines_b:
        for node in NODES:
            world.sim.cut(world.ip(node), world.ip_of(name))
    world.run(14)
    assert all(name in world.workers for name in machines_b)
    for name in machines_b:
        for node in NODES:
            world.sim.heal(world.ip(node), world.ip_of(name))
    world.run(15)
    assert all(name in world.workers for name in machines_b)


def test_slow_machine_is_detected_and_gets_no_batch_tasks() -> None:
    # Two machines of 300 were faulty and slow: each job with a task there finished minutes later
    # than its other tasks. Tasks that write checkpoints must be moved, new batch tasks must go
    # elsewhere.
    world = SimulatedCluster()
    world.submit(
        batch("j-000001", 24, checkpoint_interval_s=1.0, checkpoint_save_s=0.2), run_time=10.0
    )
    assert world.until(lambda: world.count("j-000001") == 24, 60)
    slow_worker = max(world.workers.values(), key=lambda worker: len(worker.tasks))
    slow_worker.slowness = 8.0
    world.submit(
        batch("j-000002", 24, checkpoint_interval_s=1.0, checkpoint_save_s=0.2), run_time=10.0
    )
    started = world.sim.time
    assert world.until(lambda: world.ask("j-000002")[1]["stage"] == "done", 60)
    assert world.sim.time - started < 50
    leader = world.nodes[world.leader() or ""].leader
    assert [name for name, machine in leader.term.fleet.machines.items() if machine.is_slow] == [
        slow_worker.machine.machine
    ]
    world.submit(batch("j-000003", 12), run_time=10.0)
    assert world.until(lambda: world.count("j-000003") == 12, 30)
    assert not any(
        place[0] == slow_worker.machine.machine
        for task, place in world.running.items()
        if "j-000003" in task
    )


def test_jobs_submitted_with_a_mistake_quarantine_no_machine() -> None:
    # Two jobs that were submitted with a mistake failed on the same machines, which were then
    # considered faulty. Services kept them up but cordoned for the rest of the run: half of the
    # GPUs were lost, and three quarters of the array jobs were not served.
    world = SimulatedCluster(capacity=1)
    world.submit(spec("j-000001", tasks=2, gpus=2.0))
    assert world.until(lambda: world.count("j-000001") == 2, 60), world.trace
    for number in range(3):
        ref = f"j-{100 + number:06d}"
        world.broken.add(ref)
        world.submit(batch(ref, 4), run_time=5.0, node=number)
    world.run(20)
    for number in range(6):
        world.submit(batch(f"j-{200 + number:06d}", 4), run_time=10.0, node=number)
    world.run(60)
    machines = world.nodes[world.leader() or ""].leader.term.fleet.machines
    assert {world.machine_of("j-000001/0"), world.machine_of("j-000001/1")} <= set(machines)
    assert not any(machine.is_cordoned for machine in machines.values())
    assert all(len(world.rules.jobs[f"j-{200 + number:06d}"].done) == 4 for number in range(6))


def test_machine_with_a_transient_fault_is_used_again() -> None:
    # Two of four GPU machines failed all tasks for a moment. Services kept running on them, and no
    # other task was placed there for three minutes.
    world = SimulatedCluster(capacity=1)
    world.submit(spec("j-000001", tasks=2, gpus=2.0))
    assert world.until(lambda: world.count("j-000001") == 2, 60), world.trace
    faulty_machine = world.machine_of("j-000001/0")
    world.faulty.add(faulty_machine)
    for number in range(12):
        world.submit(batch(f"j-{200 + number:06d}", 4), run_time=60.0, node=number)
    world.run(5)
    world.faulty.clear()
    world.run(45)
    tasks_there = [
        task
        for task, (machine, _) in world.running.items()
        if machine == faulty_machine and task.startswith("j-0002")
    ]
    assert len(tasks_there) >= 5, world.running


def test_machine_on_which_several_jobs_fail_is_terminated() -> None:
    # This holds even if one of the jobs has failed on another machine before: its successful tasks
    # show that it was submitted without a mistake.
    world = SimulatedCluster()
    for number in range(4):
        world.submit(batch(f"j-{number:06d}", 6), run_time=4.0, node=number)
    assert world.until(lambda: len(world.running) > 8, 60), world.trace
    faulty_machine = world.machine_of(min(world.running))
    world.faulty.add(faulty_machine)
    for number in range(4, 12):
        world.submit(batch(f"j-{number:06d}", 6), run_time=4.0, node=number)
    assert world.until(lambda: faulty_machine not in world.workers, 40), world.trace[-30:]
    world.run(40)
    assert all(
        world.rules.jobs[f"j-{number:06d}"].told
        or world.ask(f"j-{number:06d}")[1]["stage"] == "done"
        for number in range(12)
    )


def test_old_provisioning_requests_are_dropped_in_a_cloud_outage() -> None:
    # During a cloud outage the requests of each plan were kept and retried. After the outage they
    # used up all calls for 38 s, and the machines that were needed by then had to wait.
    world = SimulatedCluster()
    world.run(2)
    world.cloud.down = True
    world.submit(spec("j-000001", tasks=2))
    world.run(30)
    assert len(world.cloud.asked) == len(set(world.cloud.asked)) <= 30 / 2.5 + 8
    world.cloud.down = False
    before = len(world.cloud.asked)
    assert world.until(lambda: world.count("j-000001") == 2, 25)
    assert len(world.cloud.asked) - before <= 4
    assert len(world.cloud.machines) <= 3


def test_new_leader_removes_machines_that_the_cloud_no_longer_lists() -> None:
    # A leader terminated two hung machines while the state service was down, and crashed before it
    # could commit that. The next leader waited for their heartbeats to time out, until the cloud
    # was down in turn.
    world = serving()
    lost = world.machine_of("j-000000/0")
    for name in NODES:
        world.crash(name, back_after=4.0)
    world.cloud.take(lost)
    assert world.until(lambda: world.leader() is not None, 8)
    world.run(2.5)
    leader = world.nodes[world.leader() or ""].leader
    assert lost in leader.term.fleet.removed_machines
    assert lost not in leader.state.placements_by_machine
