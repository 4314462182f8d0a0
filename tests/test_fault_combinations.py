"""Tests each combination of faults that `docs/fault_combinations.md` lists.

The rules (`flaxtally/emulator/rules.py`) are checked in every simulated cluster, throughout the run
and once the faults are over.
"""

from __future__ import annotations

import random

import pytest

from flaxtally.protocol import wire
from flaxtally.settings import Objective, Team

from .scenarios import (
    change_leader,
    check_final_state,
    cut_zone,
    start_busy_cluster,
    submit_steady_load,
    wait_for_leader,
)
from .simulated_cluster import NODES, STATE_ADDRESS, SimulatedCluster, batch, spec


def test_overload_of_urgent_and_other_jobs_over_slow_links() -> None:
    # More work than the fleet has capacity for, with cancellations that arrive while messages are
    # delayed: jobs could be lost or wait after capacity becomes free.
    cluster = SimulatedCluster(capacity=1)
    cluster.slow_down_links(0.4, 60.0)
    for number in range(12):
        cluster.submit(batch(f"j-{number:06d}", 6), run_time=25.0, node=number)
    for number in range(6):
        cluster.after(
            20.0 + number,
            cluster.submit,
            spec(f"j-{100 + number:06d}", tasks=1, cores=6.0),
            None,
            number,
        )
        cluster.after(22.0 + number, cluster.cancel, f"j-{number:06d}", number)
    cluster.run(24)
    assert any(node.leader.duties.jobs.queue.pending_jobs() for node in cluster.nodes.values())
    cluster.run(37)
    check_final_state(cluster, 200)


def test_cancellations_queries_and_repeats_coincide_with_the_end_of_the_last_task() -> None:
    # A job that is cancelled while its last task ends could be reported as done by one controller
    # and as aborted by another, or differently after a takeover. Every reply must be the same.
    cluster = start_busy_cluster(arrays=0)
    for number in range(24):
        ref = f"j-{300 + number:06d}"
        cluster.submit(batch(ref, 1), run_time=5.0, node=number)
        assert cluster.run_until(lambda ref=ref: cluster.count(ref) == 1, 60)  # type: ignore[misc]
        cluster.run(4.97 + 0.005 * number)
        if number % 3 != 1:
            cluster.cancel(ref, number)
        if number % 2:
            cluster.poll_repeatedly(ref)
        if number % 8 == 7:
            cluster.after(0.005 * (number // 8), cluster.crash, wait_for_leader(cluster), 1.0)
        cluster.run(2)
    reported = {job.final_stage for job in cluster.rules.jobs.values()}
    assert {wire.DONE, wire.ABORTED} <= reported
    check_final_state(cluster, 20)


@pytest.mark.parametrize("fault", ["hung", "deaf", "mute", "cut"])
def test_team_at_its_limit_with_a_new_leader_and_cancellations_on_unreachable_machines(
    fault: str,
) -> None:
    # Cancelled tasks count against the quota until they are known to have stopped, also for a new
    # leader; from then on waiting jobs must be placed at once.
    cluster = start_busy_cluster(
        team=Team("crew", 0.0, 37.0, 0.0, 8.0), services=3, arrays=2, run_time=120.0
    )
    for number in range(200, 203):
        cluster.submit(batch(f"j-{number:06d}", 2), run_time=10.0, node=number)
    machines = sorted({cluster.find_machine("j-000100/0"), cluster.find_machine("j-000000/0")})
    cluster.inject_machine_fault(fault, machines, 14.0)
    cluster.after(1.0, cluster.crash, wait_for_leader(cluster), 3.0)
    for number, ref in enumerate(["j-000100", "j-000101", "j-000000"]):
        cluster.after(0.5 + number, cluster.cancel, ref, number)
    cluster.run(70)
    assert len(cluster.reported_cancelled_at) == 3, (
        cluster.unanswered_cancellations,
        cluster.trace,
    )
    check_final_state(cluster)


@pytest.mark.parametrize("fault", ["cut", "deaf"])
def test_leader_crash_while_machines_with_long_tasks_are_unreachable(fault: str) -> None:
    # The new leader has not heard from some machines yet: it must neither lose nor duplicate their
    # tasks.
    cluster = start_busy_cluster(run_time=40.0)
    cluster.inject_machine_fault(fault, sorted(cluster.workers)[:2], 9.0)
    cluster.run(0.5)
    change_leader(cluster)
    cluster.run(8)
    check_final_state(cluster)


def test_isolated_leader_keeps_its_workers_but_reports_and_starts_nothing() -> None:
    # A leader that is cut off from the state service and its peers, but not from workers and users,
    # could report or start jobs that its successor has cancelled.
    cluster = start_busy_cluster(services=8, run_time=100.0)
    old_leader = wait_for_leader(cluster)
    served = [name for name, worker in cluster.workers.items() if worker._controller == old_leader]
    cluster.isolate(old_leader, 30.0)
    assert cluster.run_until(lambda: wait_for_leader(cluster) != old_leader, 15)
    cluster.run(1)
    others = [NODES.index(name) for name in NODES if name != old_leader]
    cluster.submit(batch("j-000400", 3), run_time=5.0, node=others[0])
    for number in range(4):
        cluster.cancel(f"j-{number:06d}", others[number % 2])
    statuses: list[int] = []
    cluster.call(
        old_leader,
        "POST",
        f"{wire.JOBS}/j-000005/cancel",
        None,
        lambda status, _: statuses.append(status),
    )
    for ref in list(cluster.specs):
        cluster.poll_repeatedly(ref)
    cluster.run(20)
    assert served
    assert statuses == [503]
    assert len(cluster.reported_cancelled_at) == 4, cluster.trace
    token = cluster.nodes[wait_for_leader(cluster)].election.term
    assert all(cluster.workers[name].token == token for name in served if name in cluster.workers)
    cluster.run(12)
    cluster.cancel("j-000005")
    check_final_state(cluster)


@pytest.mark.parametrize("with_another_controller", [False, True])
def test_isolated_leader_terminates_no_machine_that_its_successor_uses(
    with_another_controller: bool,
) -> None:
    # Found by a random run: a leader cut off from the state service and its peers terminated
    # machines that it saw as idle or without heartbeats, and with them the tasks that the next
    # leader had placed there.
    cluster = start_busy_cluster(services=2, arrays=0)
    spare = [cluster.cloud.add("c16", zone, False, boot=0.5) for zone in "ab"]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in spare), 10)
    cluster.run(4)
    old_leader = wait_for_leader(cluster)
    other_isolated, other = (number for number, name in enumerate(NODES) if name != old_leader)
    if with_another_controller:
        # Cut off together with another controller, as when a zone is cut off.
        for name in (old_leader, NODES[other_isolated]):
            cluster.cut(cluster.ip(name), [STATE_ADDRESS[0], cluster.ip(NODES[other])], 60.0)
    else:
        cluster.isolate(old_leader, 60.0)
    for name in spare:
        cluster.sim.cut(cluster.ip(old_leader), cluster.get_machine_ip(name))
    assert cluster.run_until(lambda: wait_for_leader(cluster) != old_leader, 30)
    cluster.run(2)
    refs = [f"j-{400 + number:06d}" for number in range(6)]
    for ref in refs:
        cluster.submit(spec(ref, tasks=2, cores=4.0), node=other)
    assert cluster.run_until(lambda: all(cluster.count(ref) == 2 for ref in refs), 40)
    assert set(spare) & {machine for machine, _ in cluster.running.values()}
    running_before = dict(cluster.running)
    cluster.run(45)
    assert cluster.nodes[old_leader].election.is_leader
    assert cluster.running == running_before, cluster.trace[-20:]
    for name in spare:
        cluster.sim.heal(cluster.ip(old_leader), cluster.get_machine_ip(name))
    check_final_state(cluster, 40)


def test_tasks_of_a_job_finish_far_apart_across_leader_changes() -> None:
    # A new leader could report a job as finished, or forget its finished task, while another task
    # of the job still runs.
    cluster = start_busy_cluster(arrays=0)
    for number in range(6):
        cluster.submit(batch(f"j-{200 + number:06d}", 2 + number % 2), run_time=10.0, node=number)
    second_tasks = [f"j-{200 + number:06d}/1" for number in range(6)]
    assert cluster.run_until(lambda: all(task in cluster.running for task in second_tasks), 60)
    for task in second_tasks:
        # Each job's second task takes much longer than its first.
        held = cluster.workers[cluster.find_machine(task)].tasks[task, 1]
        assert held.timer is not None
        held.timer.cancel()
        cluster.after(40.0, cluster.workers[cluster.find_machine(task)].exit, held, wire.CAUSE_DONE)
    cluster.run(15)
    assert all(
        cluster.query_job(f"j-{200 + number:06d}")[1]["stage"] == "running" for number in range(6)
    )
    change_leader(cluster)
    cluster.run(12)
    change_leader(cluster)
    check_final_state(cluster)


def test_cancellations_while_the_workers_of_a_crashed_follower_change_controllers() -> None:
    # A cancellation could be lost when the workers that must stop the tasks move to another
    # controller.
    cluster = start_busy_cluster(services=8, run_time=60.0)
    for turn in range(4):
        follower = next(name for name in NODES if name != wait_for_leader(cluster))
        cluster.crash(follower, restart_after_s=1.5)
        for number in range(2):
            cluster.after(0.7 * number, cluster.cancel, f"j-{2 * turn + number:06d}", turn + number)
        cluster.run(5)
    assert len(cluster.reported_cancelled_at) == 8, cluster.trace
    check_final_state(cluster)


def test_commands_reach_workers_whose_heartbeats_are_lost() -> None:
    # Half of the workers receive commands, but no controller receives their heartbeats: cancelled
    # jobs must still be reported, across a leader change.
    cluster = start_busy_cluster(run_time=40.0)
    names = sorted(cluster.workers)
    cluster.inject_machine_fault("mute", names[: len(names) // 2], 25.0)
    cluster.run(2)
    cluster.cancel("j-000000")
    cluster.cancel("j-000100", 1)
    cluster.submit(batch("j-000300", 3), run_time=5.0)
    cluster.run(8)
    change_leader(cluster)
    cluster.run(20)
    assert {"j-000000", "j-000100"} <= set(cluster.reported_cancelled_at)
    check_final_state(cluster)


def test_services_and_arrays_bound_to_one_zone_lose_machines() -> None:
    # A replacement for a lost task must respect the job's zone, also after a leader crash.
    cluster = SimulatedCluster()
    for number, zone in enumerate("abab"):
        cluster.submit(spec(f"j-{number:06d}", tasks=2, zone=zone, spread=False), node=number)
        cluster.submit(batch(f"j-{100 + number:06d}", 4, zone=zone), run_time=20.0, node=number)
        cluster.submit(batch(f"j-{200 + number:06d}", 4, one_zone=True), run_time=20.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) > 20, 90), cluster.trace
    for turn in range(3):
        for task in [f"j-{turn:06d}/0", f"j-{100 + turn:06d}/0"]:
            if task in cluster.running:
                cluster.cloud.remove_machine(cluster.find_machine(task))
        if turn == 1:
            cluster.crash(wait_for_leader(cluster), restart_after_s=2.0)
        cluster.run(8)
    check_final_state(cluster)


def test_all_controllers_crash_and_one_restarts_within_a_second() -> None:
    # Found in review: request and command numbers started at 1 in each process, so a restarted
    # controller accepted a reply to its previous process as a reply to a request of its own.
    cluster = start_busy_cluster(run_time=60.0)
    submit_steady_load(cluster, 40.0)
    for _ in range(4):
        cluster.crash(wait_for_leader(cluster), restart_after_s=0.3)
        cluster.run(3)
    for name in NODES:
        cluster.crash(name)
    cluster.after(0.4, cluster.start, NODES[0])
    cluster.run(8)
    assert wait_for_leader(cluster) == NODES[0]
    for name in NODES[1:]:
        cluster.start(name)
    cluster.run(5)
    check_final_state(cluster)


def test_all_controllers_are_down_for_longer_than_a_lease() -> None:
    # Workers stop their tasks when their leases expire: restarted controllers must notice that and
    # place the tasks again.
    cluster = start_busy_cluster(run_time=60.0)
    held = set(cluster.running)
    for name in NODES:
        cluster.crash(name, restart_after_s=14.0)
    cluster.run(13.9)
    assert any(" end lapsed " in line for line in cluster.trace) or not held & set(cluster.running)
    cluster.run(1)
    for number in range(2):
        cluster.cancel(f"j-{number:06d}", number)
    cluster.run(30)
    assert len(cluster.reported_cancelled_at) == 2
    check_final_state(cluster)


def test_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() -> None:
    # Tasks in the zone are replaced while their machines, with expired leases, are only cut off: no
    # task may run twice.
    cluster = start_busy_cluster(services=6, run_time=60.0)
    heal = cut_zone(cluster, "b")
    for number in range(2):
        cluster.cancel(f"j-{number:06d}", 0)
    cluster.run(14)
    heal()
    check_final_state(cluster)


@pytest.mark.parametrize("kind", [wire.SERVICE, wire.ARRAY])
def test_jobs_without_gpus_use_cores_reserved_for_gpu_tasks_when_nothing_else_is_available(
    kind: str,
) -> None:
    # Found in review: when no machine without GPUs could be provisioned, tasks without GPUs waited
    # indefinitely although the cores reserved for GPU tasks were free.
    cluster = SimulatedCluster(3, capacity=1)
    for pool in list(cluster.cloud._capacity):
        if pool[0] == "c16":
            cluster.cloud._capacity[pool] = 0
    cluster.submit(spec("j-000001", tasks=2, gpus=4.0, cores=8.0, memory_gb=32.0, job_class="big"))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    for number in range(12):
        job = spec(
            f"j-{100 + number:06d}",
            job_kind=kind,
            tasks=2,
            cores=6.0,
            job_class="small",
            estimated_run_s=30.0,
        )
        cluster.submit(job, run_time=300.0, node=number)
    cluster.run(30)
    assert any(node.leader.duties.jobs.queue.pending_jobs() for node in cluster.nodes.values())
    cluster.run_without_faults(150)


def test_largest_job_starts_within_four_minutes_of_overload() -> None:
    # A large job that is passed over while small jobs can still meet their deadlines must start
    # eventually.
    cluster = SimulatedCluster(capacity=1, objectives=(Objective("finished", "batch", 40.0, 1.0),))
    for number in range(280):
        cluster.after(
            number * 1.0, cluster.submit, batch(f"j-{number:06d}", 2, deadline=30.0), 20.0, number
        )
    cluster.run(50)
    cluster.submit(batch("j-900000", 30, deadline=30.0), run_time=20.0)
    cluster.run(60)
    assert cluster.count("j-900000") == 0
    assert any(cluster.count(f"j-{number:06d}") for number in range(52, 110))
    assert cluster.run_until(lambda: cluster.count("j-900000") > 0, 120), cluster.trace[-40:]


RANDOM_MIX_SEEDS = range(1, 7)


@pytest.mark.parametrize("seed", RANDOM_MIX_SEEDS)
def test_random_mix_of_faults(seed: int) -> None:
    # Looks for combinations of faults that no other test covers: twelve random faults per seed.
    rng = random.Random(seed)
    team = rng.choice([None, Team("crew", 0.0, 70.0, 0.0, 16.0)])
    cluster = start_busy_cluster(
        seed, services=6, arrays=3, run_time=40.0, value_bytes=rng.choice([768, 8192]), team=team
    )
    cluster.cloud.list_lag_s, cluster.cloud.boot = rng.choice([0.0, 3.0]), rng.choice([None, 1.0])
    submit_steady_load(cluster, 60.0, interval_s=0.6)
    for _ in range(12):
        inject_random_fault(cluster, rng)
        cluster.run(rng.uniform(0.5, 9.0))
    cluster.run(20)
    check_final_state(cluster, 150)


def inject_random_fault(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Inject one fault, chosen at random; earlier faults may still be active."""
    leader = cluster.leader() or NODES[0]
    machines = sorted(cluster.workers)
    chosen_machines = rng.sample(machines, min(len(machines), 2))
    duration_s = rng.uniform(3.0, 16.0)
    ip = cluster.ip(leader)
    choice = rng.randrange(22)
    if choice == 0:
        cluster.refuse(leader, duration_s)
    elif choice == 1:
        cluster.start_state_outage(duration_s)
    elif choice in (2, 3):
        cluster.lose_writes(0.3, duration_s, at_once=choice == 3)
    elif choice == 4:
        cluster.slow_down_state_service(0.5, duration_s)
    elif choice in (5, 6):
        cluster.duplicate_heartbeats(0.5, duration_s, deliver_in_next_term=choice == 6)
    elif choice in (7, 8, 9):
        cluster.inject_machine_fault(
            ("hung", "deaf", "mute")[choice - 7], chosen_machines, duration_s
        )
    elif choice == 10 and cluster.sim.hosts[ip].alive:
        cluster.crash(leader, restart_after_s=rng.choice([0.3, 3.0]))
    elif choice == 11:
        cluster.isolate(leader, duration_s)
    elif choice == 12:
        heal = cut_zone(cluster, rng.choice("ab"))
        cluster.after(duration_s, heal)
    elif choice == 13:
        cluster.cloud.down = True
        cluster.after(duration_s, setattr, cluster.cloud, "down", False)
    elif choice == 14:
        for name in chosen_machines:
            cluster.cloud.remove_machine(name)
    elif choice == 15:
        cluster.slow_down_links(0.3, duration_s)
    elif choice in (16, 17):
        for ref in rng.sample(sorted(cluster.accepted), min(8, len(cluster.accepted))):
            cluster.poll_repeatedly(ref)
            if choice == 17:
                cluster.cancel(ref, rng.randrange(3))
                cluster.after(rng.uniform(0.0, 0.2), cluster.poll_repeatedly, ref)
    elif choice == 18:
        for name in NODES:
            if cluster.sim.hosts[cluster.ip(name)].alive:
                cluster.crash(name, restart_after_s=rng.choice([0.3, 3.0, 12.0]))
    elif choice == 19:
        cluster.faulty_machines |= set(chosen_machines)
        cluster.after(duration_s, cluster.faulty_machines.clear)
    elif choice == 20:
        ref = f"j-{8000 + len(cluster.broken):06d}"
        cluster.broken.add(ref)
        cluster.submit(batch(ref, 3), run_time=5.0)
        cluster.after(duration_s, cluster.cancel, ref)
    else:
        cluster.inject_machine_fault("cut", chosen_machines, duration_s)
