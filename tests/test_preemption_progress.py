"""Stops of tasks for others: each leads to a start, none is repeated for ever.

More work than the cloud has room for: each test says which jobs stopped each other, or kept each
other out, and how that came about.
"""

from __future__ import annotations

from typing import Any

from flaxtally.protocol import wire
from flaxtally.settings import Team

from .simulated_cluster import SimulatedCluster, spec

GUARANTEED = Team("crew", 32.0, 64.0, 0.0, 0.0)
GUEST = Team("guest", 0.0, 64.0, 0.0, 0.0)
ORDINARY_TRAFFIC_S = 1.0
"""Interval at which a short job is submitted, since each submission and each end causes a pass."""


def array(ref: str, tasks: int = 1, **changes: Any) -> wire.Spec:
    """Returns the specification of an array in zone a that saves no checkpoints."""
    defaults: dict[str, Any] = {
        "job_class": "batch",
        "job_kind": wire.ARRAY,
        "rank": "high",
        "zone": "a",
        "spread": False,
        "estimated_run_s": 20.0,
        "image_gb": 0.5,
    }
    return spec(ref, tasks=tasks, **(defaults | changes))


def start_scarce_cluster(machines: int = 1, **options: Any) -> SimulatedCluster:
    """Starts a cluster with few machines in zone a, and ordinary traffic in zone b."""
    options = {"team": GUARANTEED, "other_teams": (GUEST,)} | options
    cluster = SimulatedCluster(**options)
    for pool in cluster.cloud._capacity:
        cluster.cloud._capacity[pool] = 0
    cluster.cloud._capacity["c16", "a", False] = machines
    cluster.cloud._capacity["c16", "b", False] = 1
    return cluster


def submit_ordinary_traffic(cluster: SimulatedCluster, for_s: float) -> None:
    """Submits a job of one second each second, for the other zone."""
    for number in range(int(for_s / ORDINARY_TRAFFIC_S)):
        small = array(
            f"j-{100000 + number:06d}",
            job_class="small",
            rank="standard",
            cores=1.0,
            zone="b",
            estimated_run_s=1.0,
        )
        cluster.after(number * ORDINARY_TRAFFIC_S, cluster.submit, small, 1.0, number)


def count_starts(cluster: SimulatedCluster, ref: str) -> int:
    """Returns how many attempts of the job's tasks have started."""
    return sum(f" {ref}/" in line and " start on " in line for line in cluster.trace)


def is_done(cluster: SimulatedCluster, ref: str) -> bool:
    """Whether all tasks of the job are done."""
    return len(cluster.rules.jobs[ref].done) == cluster.specs[ref].tasks


def test_guarantee_and_urgent_array_do_not_stop_each_other_for_ever() -> None:
    # Shown by review/4: an array of a higher rank, beyond its team's guarantee, was stopped for a
    # job within its team's guarantee, and was placed again at once in the room that this had freed,
    # as the reservation let higher ranks in. Nothing else got the room that was free beside it.
    cluster = start_scarce_cluster()
    urgent = array("j-000001", 2, team="guest", rank="critical", cores=6.0)
    cluster.submit(urgent, run_time=20.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    submit_ordinary_traffic(cluster, 90.0)
    cluster.submit(array("j-000002", cores=16.0, estimated_run_s=10.0), run_time=10.0)
    cluster.submit(spec("j-000003", rank="standard", cores=1.0, zone="a", spread=False))
    # One after the other, all of it takes 30 s.
    finished = cluster.run_until(
        lambda: (
            is_done(cluster, "j-000001")
            and is_done(cluster, "j-000002")
            and cluster.count("j-000003") == 1
        ),
        60,
    )
    assert finished, cluster.trace[-40:]
    # Each task of the array was stopped once at most.
    assert count_starts(cluster, "j-000001") <= 4
    assert count_starts(cluster, "j-000002") == 1
