"""Steps shared by many tests: busy clusters, changes of leader, network cuts, final checks."""

from __future__ import annotations

import os
from collections import Counter
from typing import TYPE_CHECKING

from flaxtally.fakes.worker import Worker
from flaxtally.protocol import wire

from .simulated_cluster import SimulatedCluster, batch, spec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    import pytest


REPLICA_MOVE_S = 2.0
"""Seconds for which a replica may be stopped and not yet started while it moves."""


def choose_soak_seeds(seeds: Sequence[int]) -> Sequence[int]:
    """Returns as many seeds as `FLAXTALLY_SOAK_SEEDS` says; without it, the given few."""
    return range(int(os.environ.get("FLAXTALLY_SOAK_SEEDS", "0"))) or seeds


def start_busy_cluster(
    seed: int = 1,
    services: int = 4,
    arrays: int = 2,
    run_time: float = 25.0,
    **cluster_options: object,
) -> SimulatedCluster:
    """Returns a cluster whose services run and whose arrays have started."""
    cluster = SimulatedCluster(seed, **cluster_options)  # type: ignore[arg-type]
    for number in range(services):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    for number in range(arrays):
        cluster.submit(batch(f"j-{100 + number:06d}", 4), run_time=run_time, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 2 * services + 4 * arrays, 90), (
        cluster.trace
    )
    return cluster


def wait_for_leader(cluster: SimulatedCluster, timeout_s: float = 15.0) -> str:
    """Returns the leader; fails the test if there is none within the timeout."""
    assert cluster.run_until(lambda: cluster.leader() is not None, timeout_s), cluster.trace
    return cluster.leader() or ""


def change_leader(cluster: SimulatedCluster, restart_after_s: float = 2.0) -> str:
    """Crashes the leader; returns the next leader once it is ready."""
    cluster.crash(wait_for_leader(cluster), restart_after_s=restart_after_s)
    assert cluster.run_until(
        lambda: (new := cluster.leader()) is not None and cluster.nodes[new].leader.term.active, 20
    )
    return wait_for_leader(cluster)


def term(cluster: SimulatedCluster) -> int:
    """Returns the highest term that any controller knows."""
    return max(node.election.term for node in cluster.nodes.values())


def submit_steady_load(cluster: SimulatedCluster, for_s: float, interval_s: float = 0.5) -> None:
    """Schedules a small job every `interval_s`; every third one is cancelled 2 to 5 s later."""
    for number in range(int(for_s / interval_s)):
        ref = f"j-{5000 + number:06d}"
        cluster.after(
            number * interval_s,
            cluster.submit,
            batch(ref, 1 + number % 3),
            3.0 + number % 5,
            number,
        )
        if number % 3 == 2:
            cluster.after(number * interval_s + 2.0 + number % 4, cluster.cancel, ref, number + 1)


def check_final_state(cluster: SimulatedCluster, for_s: float = 110.0) -> None:
    """Runs without faults, then checks the accepted jobs.

    No task of a job reported as aborted runs, unfinished arrays and gangs have all their tasks
    running or done, and services that nobody cancelled run all their replicas.
    """
    cluster.run_without_faults(for_s)
    for ref, job in cluster.specs.items():
        checked = cluster.rules.jobs[ref]
        if not checked.accepted:
            continue
        if checked.final_stage == wire.ABORTED:
            assert cluster.count(ref) == 0
        elif job.job_kind in (wire.ARRAY, wire.GANG):
            is_finished = checked.final_stage == wire.DONE or checked.is_cancel_requested
            assert is_finished or len(checked.done) + cluster.count(ref) == job.tasks, (
                ref,
                cluster.query_job(ref),
                cluster.trace[-40:],
            )
        elif not checked.is_cancel_requested:
            all_run = cluster.run_until(lambda: cluster.count(ref) == job.tasks, REPLICA_MOVE_S)  # noqa: B023
            assert all_run, (ref, cluster.query_job(ref))


def count_launches(patch: pytest.MonkeyPatch) -> Counter[tuple[str, int]]:
    """Returns a count of the launches that workers execute from now on, by task and attempt."""
    launched: Counter[tuple[str, int]] = Counter()
    launch = Worker._launch

    def count_launch(worker: Worker, command: wire.Command) -> None:
        launched[command.task, command.attempt] += 1
        launch(worker, command)

    patch.setattr(Worker, "_launch", count_launch)
    return launched


def cut_off_by_refusals(cluster: SimulatedCluster, node: str, for_s: float) -> None:
    """The state service refuses the controller alone, and so do its peers, as behind a filter."""
    cluster.refuse(node, for_s)
    cluster.refuse_peers(node, for_s)


def cut_zone(cluster: SimulatedCluster, zone: str) -> Callable[[], None]:
    """Cuts a zone's controllers and machines off from all other hosts.

    Returns a function that heals the cut.
    """
    inside = {
        cluster.ip(name) for number, name in enumerate(cluster.names) if "ab"[number % 2] == zone
    }
    inside |= {
        cluster.get_machine_ip(name)
        for name, worker in cluster.workers.items()
        if worker.machine.zone == zone
    }
    pairs = [(one, other) for one in inside for other in cluster.sim.hosts if other not in inside]
    for pair in pairs:
        cluster.sim.cut(*pair)
    return lambda: [cluster.sim.heal(*pair) for pair in pairs] and None


def cut_controllers(cluster: SimulatedCluster) -> Callable[[], None]:
    """Cuts the controllers off from each other only; returns a function that heals the cut."""
    pairs = [(a, b) for a in cluster.names for b in cluster.names if a < b]
    for a, b in pairs:
        cluster.sim.cut(cluster.ip(a), cluster.ip(b))

    def heal() -> None:
        for a, b in pairs:
            cluster.sim.heal(cluster.ip(a), cluster.ip(b))

    return heal


def start_serving_cluster(jobs: int = 4, seed: int = 1) -> SimulatedCluster:
    """Returns a cluster with a few running services of two replicas."""
    cluster = SimulatedCluster(seed)
    for number in range(jobs):
        cluster.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 2 * jobs, 60), cluster.trace
    return cluster
