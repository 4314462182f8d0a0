"""Stops of tasks for others: each leads to a start, none is repeated for ever.

More work than the cloud has room for: each test says which jobs stopped each other, or kept each
other out, and how that came about.
"""

from __future__ import annotations

from typing import Any

import pytest

from flaxtally.fakes.worker import Worker
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import change_leader, wait_for_leader
from .simulated_cluster import SimulatedCluster, gang, spec

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
    cluster.on_worker_started = lambda worker: setattr(worker, "saves_checkpoints", True)
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


def start_with_urgent_array(**changes: Any) -> SimulatedCluster:
    """Starts a cluster whose machine in zone a is used by two urgent tasks of the guests."""
    cluster = start_scarce_cluster()
    defaults: dict[str, Any] = {"team": "guest", "rank": "critical", "cores": 6.0}
    cluster.submit(array("j-000001", 2, **(defaults | changes)), run_time=20.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    submit_ordinary_traffic(cluster, 120.0)
    return cluster


@pytest.mark.parametrize("victim_rank", ["critical", "high", "standard"])
@pytest.mark.parametrize("kind", [wire.ARRAY, wire.GANG, wire.SERVICE])
def test_each_kind_of_job_gets_the_room_that_was_freed_for_it(kind: str, victim_rank: str) -> None:
    # The same fault for other kinds and ranks: tasks of an equal or a higher rank, beyond their
    # team's guarantee, took the room again that was freed for a job within its team's guarantee.
    cluster = start_with_urgent_array(rank=victim_rank)
    if kind == wire.GANG:
        job = gang("j-000002", 2, cores=8.0, rank="high", zone="a", image_gb=0.5)
    elif kind == wire.ARRAY:
        job = array("j-000002", rank="standard", cores=16.0)
    else:
        job = spec("j-000002", rank="standard", cores=16.0, zone="a", spread=False, image_gb=0.5)
    cluster.submit(job, run_time=None if kind == wire.SERVICE else 10.0)
    assert cluster.run_until(lambda: cluster.count("j-000002") == job.tasks, 20), cluster.trace[
        -40:
    ]
    if kind == wire.SERVICE:
        cluster.run(15)
        assert cluster.count("j-000002") == 1
        cluster.cancel("j-000002")
    else:
        assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 20), cluster.trace[-40:]
    assert cluster.run_until(lambda: is_done(cluster, "j-000001"), 40), cluster.trace[-40:]
    assert count_starts(cluster, "j-000001") <= 4
    assert count_starts(cluster, "j-000002") == job.tasks


def test_gang_that_was_stopped_does_not_take_the_room_again() -> None:
    # The same fault with a gang as the one that is stopped: it is placed as a whole, by a search of
    # its own, and took the room again that was freed for a job within its team's guarantee.
    cluster = start_scarce_cluster()
    urgent = gang("j-000001", 2, team="guest", rank="critical", cores=6.0, zone="a", image_gb=0.5)
    cluster.submit(urgent, run_time=20.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    submit_ordinary_traffic(cluster, 120.0)
    cluster.run(3)
    cluster.submit(array("j-000002", cores=16.0), run_time=10.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 30), cluster.trace[-40:]
    assert cluster.run_until(lambda: is_done(cluster, "j-000001"), 50), cluster.trace[-40:]
    assert count_starts(cluster, "j-000001") <= 4


def start_with_victims_that_save(*save_times_s: float) -> SimulatedCluster:
    """Starts a cluster whose machine in zone a is used by arrays that save for these times."""
    cluster = start_scarce_cluster()
    for number, save_s in enumerate(save_times_s, 1):
        saving = {"checkpoint_interval_s": 5.0, "checkpoint_save_s": save_s}
        urgent = array(f"j-{number:06d}", team="guest", rank="critical", cores=7.0, **saving)
        cluster.submit(urgent, run_time=30.0)
    count = len(save_times_s)
    assert cluster.run_until(lambda: len(cluster.running) == count, 60), cluster.trace
    submit_ordinary_traffic(cluster, 120.0)
    cluster.run(6)
    return cluster


def test_room_that_comes_free_in_steps_is_kept_until_all_of_it_is_free() -> None:
    # The tasks that are stopped save for different times. The room of the first was taken again
    # before the last had left, and the reservation ended while tasks were still saving.
    cluster = start_with_victims_that_save(1.0, 9.0)
    cluster.submit(array("j-000003", cores=16.0), run_time=5.0)
    # One core is free all the time, but nothing fits beside the 16 cores that are reserved.
    cluster.submit(array("j-000004", rank="standard", cores=1.0), run_time=3.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000003"), 25), cluster.trace[-40:]
    assert count_starts(cluster, "j-000003") == 1
    for ref in ("j-000001", "j-000002", "j-000004"):
        assert cluster.run_until(lambda: is_done(cluster, ref), 60), cluster.trace[-40:]  # noqa: B023
        assert count_starts(cluster, ref) <= 2


def test_small_job_is_placed_beside_what_is_reserved() -> None:
    # A machine with a reservation was closed to all lower ranks, however much was free on it. The
    # task that is stopped saves for 9 s; the small job has room beside it all the time.
    cluster = start_scarce_cluster()
    saving = {"checkpoint_interval_s": 5.0, "checkpoint_save_s": 9.0}
    cluster.submit(array("j-000001", team="guest", cores=8.0, **saving), run_time=40.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 1, 60), cluster.trace
    cluster.run(6)
    cluster.submit(array("j-000002", rank="high", cores=12.0), run_time=5.0)
    cluster.run(1)
    cluster.submit(array("j-000003", rank="idle", cores=4.0, team="guest"), run_time=2.0)
    assert cluster.run_until(lambda: cluster.count("j-000003") == 1, 4), cluster.trace[-40:]
    assert cluster.count("j-000002") == 0
    assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 25), cluster.trace[-40:]


def test_rank_does_not_stop_work_within_another_teams_guarantee() -> None:
    # The other direction of the same fault: an urgent job beyond its team's guarantee stopped work
    # within another team's guarantee, which then had the right to stop it in turn.
    cluster = start_scarce_cluster()
    cluster.submit(array("j-000001", 2, rank="standard", cores=8.0), run_time=30.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    submit_ordinary_traffic(cluster, 60.0)
    cluster.submit(array("j-000002", team="guest", rank="critical", cores=8.0), run_time=10.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000001"), 40), cluster.trace[-40:]
    assert count_starts(cluster, "j-000001") == 2
    assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 15), cluster.trace[-40:]


def test_rank_decides_between_jobs_that_are_both_beyond_their_guarantee() -> None:
    # A guarantee must not weaken ranks where none is claimed: the higher rank stops the lower one.
    cluster = start_scarce_cluster()
    cluster.submit(array("j-000001", 2, team="guest", rank="standard", cores=8.0), run_time=30.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    cluster.run(15)
    cluster.submit(array("j-000002", team="guest", rank="high", cores=16.0), run_time=10.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 20), cluster.trace[-40:]
    assert cluster.run_until(lambda: is_done(cluster, "j-000001"), 60), cluster.trace[-40:]
    assert count_starts(cluster, "j-000001") == 4


def test_only_what_a_team_uses_beyond_its_guarantee_is_stopped_for_another_guarantee() -> None:
    # A job counted as beyond its team's guarantee because of pending work of the team. Its tasks
    # were stopped for another team's guarantee although their team used less than its own.
    others = Team("others", 16.0, 64.0, 0.0, 0.0)
    cluster = start_scarce_cluster(other_teams=(others,))
    cluster.submit(array("j-000001", 2, team="others", rank="standard", cores=7.0), run_time=30.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    # It needs two GPUs, which the cloud does not have.
    cluster.submit(spec("j-000002", team="others", cores=6.0, gpus=2.0, zone="a", spread=False))
    cluster.submit(array("j-000003", rank="standard", cores=16.0), run_time=5.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000001"), 40), cluster.trace[-20:]
    assert count_starts(cluster, "j-000001") == 2
    assert cluster.run_until(lambda: is_done(cluster, "j-000003"), 15), cluster.trace[-20:]


def test_quota_goes_to_the_highest_ranks_of_a_team_first() -> None:
    # Jobs were within the guarantee in the order of their acceptance: an urgent job of the team
    # would then come after older, less important work of the same team, or stop it and be stopped
    # in turn for work that comes before it only through its team's guarantee.
    cluster = start_scarce_cluster()
    cluster.submit(array("j-000001", 2, rank="standard", cores=16.0), run_time=60.0)
    cluster.submit(array("j-000002", team="guest", rank="critical", cores=8.0), run_time=10.0)
    cluster.submit(array("j-000003", rank="critical", cores=16.0), run_time=10.0)
    cluster.run(3)
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    queue = leader.duties.jobs.queue
    order = [entry.job.spec.ref for entry in queue.get_ordered_jobs()]
    assert order.index("j-000003") == 0
    assert queue.jobs_over_quota == {
        leader.state.jobs_by_ref[ref].number for ref in ("j-000001", "j-000002")
    }
    assert cluster.run_until(lambda: is_done(cluster, "j-000003"), 40), cluster.trace[-40:]


def test_stream_of_urgent_jobs_does_not_keep_a_guaranteed_job_waiting() -> None:
    # Each urgent job of the other team that was accepted took the room that was freed for the job
    # within its team's guarantee.
    cluster = start_with_urgent_array()
    for number in range(40):
        urgent = array(f"j-{2000 + number:06d}", team="guest", rank="critical", cores=4.0)
        cluster.after(2.0 * number, cluster.submit, urgent, 8.0, number)
    cluster.after(10.0, cluster.submit, array("j-000002", cores=16.0), 10.0)
    cluster.run(10)
    assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 30), cluster.trace[-40:]
    assert count_starts(cluster, "j-000002") == 1


def test_jobs_of_the_own_team_do_not_let_others_stop_guaranteed_work_again_and_again() -> None:
    # A short urgent job of the team uses its guarantee for a moment, and older work of the team is
    # beyond it meanwhile. An urgent array of another team stopped that work each time, and was
    # stopped for it once the short job was done: neither was ever done.
    cluster = start_scarce_cluster(team=Team("crew", 16.0, 64.0, 0.0, 0.0))
    cluster.submit(array("j-000001", 2, team="guest", rank="critical", cores=6.0), run_time=20.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    cluster.submit(array("j-000002", rank="standard", cores=16.0), run_time=15.0)
    for number in range(25):
        urgent = array(f"j-{3000 + number:06d}", rank="critical", cores=1.0, zone="b")
        cluster.after(4.0 + 4.0 * number, cluster.submit, urgent, 2.0, number)
    assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 60), cluster.trace[-40:]
    assert cluster.run_until(lambda: is_done(cluster, "j-000001"), 60), cluster.trace[-40:]
    assert count_starts(cluster, "j-000002") <= 2
    assert count_starts(cluster, "j-000001") <= 6


def test_several_teams_within_their_guarantees_share_the_room_by_rank() -> None:
    # Two teams within their guarantees, and one beyond its own, need one machine each. Only the
    # last is stopped for its guarantee's sake; among the others the rank decides.
    crew = Team("crew", 16.0, 64.0, 0.0, 0.0)
    others = (GUEST, Team("others", 16.0, 64.0, 0.0, 0.0))
    cluster = start_scarce_cluster(team=crew, other_teams=others)
    cluster.submit(array("j-000001", 2, team="guest", rank="critical", cores=8.0), run_time=20.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    submit_ordinary_traffic(cluster, 120.0)
    cluster.submit(array("j-000002", rank="standard", cores=15.0), run_time=10.0)
    cluster.run(5)
    cluster.submit(array("j-000003", team="others", rank="high", cores=16.0), run_time=10.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000003"), 25), cluster.trace[-40:]
    for ref, starts in (("j-000002", 2), ("j-000001", 4)):
        assert cluster.run_until(lambda: is_done(cluster, ref), 60), cluster.trace[-40:]  # noqa: B023
        assert count_starts(cluster, ref) <= starts


def test_change_of_leader_between_a_stop_and_its_start() -> None:
    # The new leader knows nothing of the reservation: the stopped task must not take the room.
    cluster = start_with_victims_that_save(1.0, 8.0)
    cluster.submit(array("j-000003", cores=16.0), run_time=5.0)
    assert cluster.run_until(lambda: len(cluster.running) == 1, 8), cluster.trace[-40:]
    change_leader(cluster)
    assert cluster.run_until(lambda: is_done(cluster, "j-000003"), 40), cluster.trace[-40:]
    for ref in ("j-000001", "j-000002"):
        assert cluster.run_until(lambda: is_done(cluster, ref), 60), cluster.trace[-40:]  # noqa: B023
        assert count_starts(cluster, ref) <= 3


def test_lost_stop_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    # A stop that did not reach the task was never sent again, since the task counted as stopping:
    # the job it was made for waited until the other was done.
    cluster = start_with_urgent_array(cores=8.0)
    stops_lost = [4]
    execute = Worker._execute

    def lose_stops(worker: Worker, commands: list[wire.Command]) -> None:
        kept = []
        for command in commands:
            if command.verb == wire.STOP and stops_lost[0]:
                stops_lost[0] -= 1
            else:
                kept.append(command)
        execute(worker, kept)

    monkeypatch.setattr(Worker, "_execute", lose_stops)
    cluster.submit(array("j-000002", cores=16.0), run_time=5.0)
    assert cluster.run_until(lambda: count_starts(cluster, "j-000002") == 1, 12), cluster.trace[
        -40:
    ]
    assert not stops_lost[0]


def test_nothing_is_stopped_on_a_slow_machine_that_the_job_may_not_use() -> None:
    # Tasks were stopped on a machine that is too slow for arrays: the array was not placed there,
    # the stopped tasks were placed again, and were stopped again.
    cluster = start_scarce_cluster()
    cluster.submit(
        spec("j-000001", rank="idle", tasks=2, cores=8.0, zone="a", spread=False, team="guest")
    )
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    machine = leader.duties.term.fleet.machines[cluster.find_machine("j-000001/0")]
    machine.is_slow = True
    machine.mark_changed()
    submit_ordinary_traffic(cluster, 120.0)
    cluster.submit(array("j-000002", cores=16.0), run_time=5.0)
    cluster.run(20)
    assert count_starts(cluster, "j-000001") == 2
    assert count_starts(cluster, "j-000002") == 0
    # A job that has waited for long uses slow machines, too.
    assert cluster.run_until(lambda: is_done(cluster, "j-000002"), 70), cluster.trace[-40:]
    assert count_starts(cluster, "j-000001") <= 4


def test_only_tasks_whose_room_is_needed_are_stopped() -> None:
    # Tasks were stopped in the order of the work that this loses until the pending one fitted. A
    # small task that came first was stopped although the large one after it was enough.
    cluster = start_scarce_cluster()
    cluster.submit(array("j-000001", team="guest", rank="idle", cores=2.0), run_time=60.0)
    saving = {"checkpoint_interval_s": 5.0, "checkpoint_save_s": 9.0}
    cluster.submit(array("j-000002", team="guest", rank="idle", cores=12.0, **saving), 60.0)
    assert cluster.run_until(lambda: len(cluster.running) == 2, 60), cluster.trace
    cluster.run(6)
    cluster.submit(array("j-000003", cores=13.0), run_time=10.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000003"), 30), cluster.trace[-20:]
    assert count_starts(cluster, "j-000001") == 1


def test_only_as_many_tasks_are_stopped_for_a_gang_as_it_has_tasks() -> None:
    # The last machine that was chosen for a gang was emptied as if all tasks of the gang were to
    # be placed there.
    cluster = start_scarce_cluster(machines=2)
    idle = array("j-000001", 8, team="guest", rank="idle", cores=4.0)
    cluster.submit(idle, run_time=60.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 8, 60), cluster.trace
    cluster.run(2)
    cluster.submit(
        gang("j-000002", 5, cores=4.0, rank="high", zone="a", image_gb=0.5), run_time=10.0
    )
    assert cluster.run_until(lambda: cluster.count("j-000002") == 5, 20), cluster.trace[-20:]
    assert cluster.count("j-000001") == 3
    assert count_starts(cluster, "j-000001") == 8


def test_limit_of_the_team_is_left_to_the_job_that_others_were_stopped_for() -> None:
    # The room that was freed for a job of a team at its limit stayed empty: while other tasks were
    # still saving, a less important job of the same team used what the limit had left.
    cluster = start_scarce_cluster(team=Team("crew", 15.0, 15.0, 0.0, 0.0))
    saving = {"checkpoint_interval_s": 5.0, "checkpoint_save_s": 6.0}
    cluster.submit(array("j-000001", team="guest", rank="idle", cores=10.0, **saving), 60.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 1, 60), cluster.trace
    cluster.submit(array("j-000002", rank="idle", cores=4.0), run_time=4.0)
    cluster.run(2)
    cluster.submit(array("j-000003", cores=10.0), run_time=5.0)
    cluster.run(0.5)
    cluster.submit(array("j-000004", rank="idle", cores=6.0), run_time=40.0)
    assert cluster.run_until(lambda: is_done(cluster, "j-000003"), 20), cluster.trace[-20:]


def start_emptying(cluster: SimulatedCluster, name: str) -> None:
    """Makes the leader move all replicas off the machine."""
    duties = cluster.nodes[wait_for_leader(cluster)].leader.duties
    machine = duties.term.fleet.machines[name]
    duties.consolidation._moves.start_emptying(machine, cluster.sim.time)
    machine.is_cordoned = True
    machine.mark_changed()


def service(ref: str, cores: float) -> wire.Spec:
    """Returns the specification of a service with one replica in zone a."""
    return spec(ref, cores=cores, zone="a", spread=False, rank="standard")


def submit_one_by_one(cluster: SimulatedCluster, *jobs: tuple[wire.Spec, float | None]) -> None:
    """Submits jobs with one task each and the run times of these, each once the last one runs."""
    for job, run_time in jobs:
        cluster.submit(job, run_time)
        assert cluster.run_until(lambda: cluster.count(job.ref) == 1, 60), cluster.trace  # noqa: B023


def test_moving_replica_gets_the_room_that_was_chosen_for_it() -> None:
    # A replica is stopped to move to a machine that has room for it. Until it had left, another job
    # took this room, and the replica found none.
    cluster = start_scarce_cluster(machines=2)
    submit_one_by_one(
        cluster,
        (service("j-000001", 12.0), None),
        (service("j-000002", 12.0), None),
        (service("j-000003", 4.0), None),
    )
    source = cluster.find_machine("j-000003/0")
    is_first = cluster.find_machine("j-000001/0") == source
    cluster.cancel("j-000001" if is_first else "j-000002")
    target = cluster.find_machine("j-000002/0" if is_first else "j-000001/0")
    cluster.run(2)
    leader = cluster.nodes[wait_for_leader(cluster)].leader
    placed = leader.state.jobs_by_ref["j-000003"].placements[0]
    start_emptying(cluster, source)
    assert cluster.run_until(lambda: placed.stopping_at is not None, 5), cluster.trace
    late = service("j-000004", 4.0)
    cluster.specs["j-000004"] = late
    cluster.rules.record_submission(late)
    leader.submit(late, lambda *_: None)
    assert cluster.run_until(lambda: count_starts(cluster, "j-000003") == 2, 5), cluster.trace
    assert cluster.find_machine("j-000003/0") == target


def test_replica_does_not_move_into_reserved_room() -> None:
    # The target of a move was chosen by what is free, also if that is reserved. The replica was
    # stopped, was not let in there, and found no room.
    cluster = start_scarce_cluster(machines=2)
    saving = {"checkpoint_interval_s": 5.0, "checkpoint_save_s": 9.0}
    submit_one_by_one(
        cluster,
        (service("j-000001", 12.0), None),
        (array("j-000002", team="guest", cores=8.0, **saving), 60.0),
        (service("j-000003", 4.0), None),
        (service("j-000004", 4.0), None),
    )
    source, target = cluster.find_machine("j-000003/0"), cluster.find_machine("j-000002/0")
    assert (cluster.find_machine("j-000001/0"), cluster.find_machine("j-000004/0")) == (
        source,
        target,
    )
    cluster.run(6)
    cluster.submit(array("j-000005", cores=12.0), run_time=30.0)
    cluster.run(1)
    cluster.cancel("j-000001")
    start_emptying(cluster, source)
    assert cluster.run_until(lambda: cluster.count("j-000005") == 1, 15), cluster.trace[-20:]
    assert cluster.find_machine("j-000005/0") == target
    assert cluster.count("j-000003") == count_starts(cluster, "j-000003") == 1


def test_machine_with_reserved_room_is_not_emptied() -> None:
    # A machine that is being emptied takes no new tasks: stopping tasks there was in vain.
    cluster = start_scarce_cluster()
    saving = {"checkpoint_interval_s": 5.0, "checkpoint_save_s": 9.0}
    submit_one_by_one(cluster, (array("j-000001", team="guest", cores=8.0, **saving), 60.0))
    cluster.run(6)
    cluster.submit(array("j-000002", cores=12.0), run_time=5.0)
    cluster.run(2)
    assert cluster.count("j-000002") == 0
    consolidation = cluster.nodes[wait_for_leader(cluster)].leader.duties.consolidation
    machine = cluster.find_machine("j-000001/0")
    assert machine in consolidation._make_emptying_rules(cluster.sim.time).skipped
