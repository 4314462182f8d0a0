"""A fleet of two cells: jobs, machines and limits, and faults that could make cells disagree."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.cells.directory import JOB_KEY_PREFIX
from flaxtally.cells.map import CellMap
from flaxtally.cells.map_watcher import MAP_KEY
from flaxtally.cells.quota_rebalancer import SHARE_KEY_PREFIX
from flaxtally.cluster.leader_key import LEADER_KEY
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .scenarios import check_final_state
from .simulated_cells import CELL_NODES, NORTH, SOUTH, SimulatedCells, cell_map
from .simulated_cluster import batch, spec

if TYPE_CHECKING:
    from flaxtally.runtime.http import Request

MAP_IN_FORCE_TARGET_S = 5.0
"""Operators' target for the time until a new cell map is in force at all controllers."""
EIGHT_TASKS_TEAM = Team("crew", 0.0, 24.0, 0.0, 8.0)
"""A team whose limit holds eight tasks of a batch job, so four for each cell at first."""


def service(ref: str, tasks: int = 2, **changes: object) -> wire.Spec:
    return spec(ref, tasks=tasks, spread=False, **changes)


def start_cells(seed: int = 1, **cluster_args: object) -> SimulatedCells:
    cluster = SimulatedCells(seed, **cluster_args)  # type: ignore[arg-type]
    assert cluster.run_until(cluster.both_cells_have_leaders, 15), cluster.trace
    # The first leader writes the initial shares.
    assert cluster.run_until(lambda: SHARE_KEY_PREFIX + cluster.team.name in cluster.state.rows, 10)
    return cluster


def start_busy_cells(seed: int = 1, jobs: int = 8) -> SimulatedCells:
    """Starts cells with running services and arrays that were submitted at all controllers."""
    cluster = start_cells(seed)
    for number in range(jobs):
        cluster.submit(service(f"j-{number:06d}"), node=number)
        cluster.submit(batch(f"j-{100 + number:06d}", 3), run_time=25.0, node=number + 1)
    assert cluster.run_until(lambda: len(cluster.running) == 5 * jobs, 90), cluster.trace[-30:]
    return cluster


def zone_batch(ref: str, zone: str, tasks: int = 4, **changes: object) -> wire.Spec:
    return batch(ref, tasks, zone=zone, **changes)


# Jobs and machines in cells


def test_jobs_spread_over_cells_and_every_controller_reports_each_status() -> None:
    # A controller that only knew the jobs of its own cell would answer 404 about all others.
    cluster = start_busy_cells()
    cells = {ref: cluster.find_cells_with_job(ref) for ref in cluster.specs}
    assert all(len(found) == 1 for found in cells.values())
    assert set.union(*cells.values()) == {NORTH, SOUTH}
    cluster.run(2.0)
    for ref in cluster.specs:
        stages = set()
        for name in CELL_NODES:
            replies: list[tuple[int, object]] = []
            cluster.call(
                name, "GET", f"{wire.JOBS}/{ref}", None, lambda *a, to=replies: to.append(a)
            )
            assert cluster.run_until(lambda to=replies: bool(to), 5)
            assert replies[0][0] == 200, (ref, name, replies)
            stages.add(replies[0][1]["stage"])  # type: ignore[index]
        assert stages <= {wire.RUNNING, wire.DONE}
    check_final_state(cluster)


def test_status_of_an_unknown_job_is_404_at_every_controller() -> None:
    cluster = start_cells()
    for name in CELL_NODES:
        replies: list[int] = []
        cluster.call(
            name, "GET", f"{wire.JOBS}/j-424242", None, lambda s, _, to=replies: to.append(s)
        )
        assert cluster.run_until(lambda to=replies: bool(to), 5)
        assert replies == [404]


def test_cancellation_reaches_the_jobs_cell_from_any_controller() -> None:
    # A cancellation that stayed in the cell of the controller that received it would be lost.
    cluster = start_busy_cells()
    for number, ref in enumerate(sorted(cluster.specs)):
        cluster.cancel(ref, node=number)
    assert cluster.run_until(lambda: len(cluster.reported_cancelled_at) == len(cluster.specs), 40)
    assert cluster.run_until(lambda: not cluster.running, 10)
    check_final_state(cluster, 30.0)


def test_job_bound_to_a_zone_runs_in_the_cell_of_that_zone() -> None:
    # Another cell has no machines in the job's zone: there the job would be pending indefinitely.
    cluster = start_cells()
    for number, zone in enumerate("abab"):
        cluster.submit(zone_batch(f"j-{number:06d}", zone), run_time=20.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 16, 60)
    for number, zone in enumerate("abab"):
        cell = NORTH if zone == "a" else SOUTH
        assert cluster.find_cells_with_job(f"j-{number:06d}") == {cell}


def test_followers_also_send_new_jobs_to_the_cell_with_less_pressure() -> None:
    # Only leaders report a cell's pressure. A follower without its own leader's report would send
    # new jobs to the cell with the backlog.
    cluster = start_cells()
    cluster.submit(zone_batch("j-000001", "a", 400), run_time=60.0)
    assert cluster.run_until(lambda: "j-000001" in cluster.accepted, 10)
    cluster.run(6.0)
    for number, node in enumerate(CELL_NODES):
        cluster.submit(batch(f"j-{10 + number:06d}", 1), run_time=5.0, node=CELL_NODES.index(node))
    assert cluster.run_until(lambda: len(cluster.accepted) == 7, 20)
    assert all(
        cluster.find_cells_with_job(f"j-{10 + number:06d}") == {SOUTH} for number in range(6)
    )


def test_job_stays_in_the_local_cell_under_equal_pressure_and_costs_one_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With two writes per job at the state service that all cells share, a burst of jobs had to wait
    # for a minute.
    cluster = start_cells()
    cluster.run(5.0)
    written: list[str] = []
    transact = cluster.state.transact

    def record_and_transact(txn: wire.Transaction) -> tuple[int, object]:
        written.extend(change.put for change in txn.changes if change.put is not None)
        return transact(txn)

    monkeypatch.setattr(cluster.state, "transact", record_and_transact)
    for number, name in enumerate(CELL_NODES):
        cluster.submit(batch(f"j-{number:06d}", 1), run_time=20.0, node=CELL_NODES.index(name))
    assert cluster.run_until(lambda: len(cluster.accepted) == 6, 10)
    for number, name in enumerate(CELL_NODES):
        ref = f"j-{number:06d}"
        assert cluster.find_cells_with_job(ref) == {name.partition("-")[0]}
        assert written.count(JOB_KEY_PREFIX + ref) == 1


def test_job_that_can_never_run_is_refused_in_any_cell() -> None:
    # A job that fits no machine, or names an unknown zone, would otherwise be pending indefinitely.
    cluster = start_cells()
    cluster.submit(service("j-000001", cores=4000.0))
    cluster.submit(zone_batch("j-000002", "nowhere"))
    assert cluster.run_until(
        lambda: sum("refused (422)" in line for line in cluster.trace) == 2, 20
    )


def test_machines_send_heartbeats_to_controllers_of_their_own_cell() -> None:
    # A machine that two cells counted as theirs would get commands from two leaders.
    cluster = start_busy_cells()
    cluster.run(20.0)
    for worker in cluster.workers.values():
        cell = NORTH if worker.machine.zone == "a" else SOUTH
        assert worker._controller.startswith(cell), (worker.machine, worker._controller)
    for name, node in cluster.nodes.items():
        zones = {machine.zone for machine in node.leader.term.fleet.machines.values()}
        assert zones <= {"a" if name.startswith(NORTH) else "b"}


# Limits over all cells


def test_share_moves_to_the_cell_that_needs_it_within_the_limit() -> None:
    # With fixed shares, a team with all its jobs in one cell could only use half of its limit.
    cluster = start_cells(team=EIGHT_TASKS_TEAM)
    cluster.submit(zone_batch("j-000001", "a", 8), run_time=40.0)
    # The cell's own share holds four tasks; the other cell keeps a small reserve for new tasks.
    assert cluster.run_until(lambda: cluster.count("j-000001") >= 7, 60), cluster.trace[-20:]
    assert cluster.get_share(NORTH).gpus >= 7.0
    cluster.submit(zone_batch("j-000002", "b", 8), run_time=5.0)
    assert cluster.run_until(lambda: cluster.count("j-000002") >= 4, 120), cluster.trace[-20:]
    check_final_state(cluster)


@pytest.mark.parametrize("seed", range(3))
def test_limit_holds_while_both_cells_request_all_of_it(seed: int) -> None:
    # Transfers in both directions with lost replies must not let the cells exceed the team's limit.
    cluster = start_cells(seed, team=EIGHT_TASKS_TEAM)
    for number in range(10):
        zone = "ab"[number % 2]
        job = zone_batch(f"j-{number:06d}", zone, 4)
        cluster.after(number * 3.0, cluster.submit, job, 4.0 + number % 3, number)
    cluster.lose_writes(0.2, 30.0)
    cluster.run(60.0)
    check_final_state(cluster)
    assert all(len(job.done) == 4 for job in cluster.rules.jobs.values())


@pytest.mark.parametrize("seed", range(4))
def test_share_is_neither_lost_nor_duplicated_when_the_giving_leader_crashes(seed: int) -> None:
    # The giver's transaction is executed after its crash; its successor must count the share once.
    cluster = start_cells(seed, team=EIGHT_TASKS_TEAM)
    cluster.submit(zone_batch("j-000001", "a", 8), run_time=30.0)
    before = cluster.get_share(SOUTH)
    # The giver's transactions are executed late and get no reply: it crashes during the transfer.
    assert cluster.run_until(lambda: NORTH in cluster.shares().wants, 30), cluster.trace
    cluster.lose_writes(1.0, 1.5)
    cluster.run(0.3 * (seed + 1))
    giver = cluster.find_cell_leader(SOUTH)
    assert giver is not None
    cluster.crash(giver, back_after=3.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") >= 7, 90), cluster.trace[-20:]
    assert cluster.get_share(SOUTH).gpus < before.gpus
    cluster.submit(zone_batch("j-000002", "b", 4), run_time=5.0)
    check_final_state(cluster)
    assert len(cluster.rules.jobs["j-000002"].done) == 4


def test_new_leader_transfers_no_share_before_its_ledger_is_replayed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Found by the scale run at 3,000 workers: the shares were read before a long ledger, and shares
    # that the cell's tasks used were transferred.
    cluster = start_cells(team=EIGHT_TASKS_TEAM)
    cluster.submit(zone_batch("j-000001", "b", 4), run_time=60.0, node=1)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 4, 60)
    assert cluster.get_share(SOUTH).gpus == 4.0
    serve = cluster.state._serve

    def serve_slowly(request: Request) -> None:
        if "starts=cell/south/p/" in request.path:
            cluster.after(8.0, serve, request)
        else:
            serve(request)

    monkeypatch.setattr(cluster.state, "_serve", serve_slowly)
    cluster.submit(zone_batch("j-000002", "a", 8), run_time=60.0)
    assert cluster.run_until(lambda: cluster.count("j-000002") >= 4, 60)
    cluster.crash(cluster.find_cell_leader(SOUTH) or "", back_after=2.0)
    cluster.run(20.0)
    assert cluster.get_share(SOUTH).gpus == 4.0
    assert cluster.count("j-000001") == 4


def test_replaced_leader_cannot_transfer_its_cells_share() -> None:
    # A former leader that does not know of its successor must not give away a share that the
    # successor already uses.
    cluster = start_cells(team=EIGHT_TASKS_TEAM)
    former = cluster.find_cell_leader(SOUTH) or ""
    # It is cut off but gets its workers' heartbeats; meanwhile the cell elects another leader.
    cluster.cut_off([former], 20.0)
    assert cluster.run_until(lambda: cluster.find_cell_leader(SOUTH) not in (None, former), 30)
    cluster.submit(zone_batch("j-000001", "b", 4), run_time=30.0, node=1)
    cluster.submit(zone_batch("j-000002", "a", 8), run_time=30.0, node=0)
    cluster.run(40.0)
    check_final_state(cluster)


def test_shares_survive_a_restart_of_all_controllers_during_a_transfer() -> None:
    # Nothing about a transfer may depend on the memory of a controller.
    cluster = start_cells(team=EIGHT_TASKS_TEAM)
    cluster.submit(zone_batch("j-000001", "a", 8), run_time=15.0)
    cluster.submit(zone_batch("j-000002", "b", 8), run_time=5.0)
    assert cluster.run_until(lambda: bool(cluster.shares().wants), 30)
    for number, name in enumerate(CELL_NODES):
        cluster.crash(name, back_after=1.0 + 0.2 * number)
    assert cluster.run_until(cluster.both_cells_have_leaders, 30)
    check_final_state(cluster)
    assert all(len(cluster.rules.jobs[ref].done) == 8 for ref in ("j-000001", "j-000002"))


# Jobs must not be in two cells


@pytest.mark.parametrize("seed", range(4))
def test_submission_repeated_at_all_controllers_with_late_writes_is_one_job(seed: int) -> None:
    # Two controllers that assign the same job to different cells would start its tasks twice.
    cluster = start_cells(seed)
    cluster.lose_writes(0.4, 25.0)
    for number in range(6):
        job = batch(f"j-{number:06d}", 2)
        for node in range(len(CELL_NODES)):
            cluster.after(0.3 * node, cluster.submit, job, 10.0, node + number)
    cluster.run(30.0)
    check_final_state(cluster)
    assert all(len(cluster.find_cells_with_job(ref)) == 1 for ref in cluster.specs)
    assert all(len(job.done) == 2 for job in cluster.rules.jobs.values())


def test_job_is_reassigned_if_its_cell_crashes_before_it_keeps_it() -> None:
    # The job would be lost in the crashed cell, or be in two cells when that cell is back.
    cluster = start_cells()
    dead = cluster.list_cell_controllers(SOUTH)
    # The entry is assigned but not kept, as if the controller that wrote it crashed just then.
    cluster.put(JOB_KEY_PREFIX + "j-000001", {"cell": SOUTH, "kept": False})
    for name in dead:
        cluster.crash(name)
    cluster.run(3.0)
    cluster.submit(batch("j-000001", 2), run_time=5.0, node=0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60), cluster.trace[-20:]
    assert cluster.find_cells_with_job("j-000001") == {NORTH}
    for name in dead:
        cluster.start(name)
    cluster.submit(batch("j-000001", 2), run_time=5.0, node=1)
    check_final_state(cluster)
    assert cluster.find_cells_with_job("j-000001") == {NORTH}


def test_cell_whose_controllers_all_crash_keeps_its_jobs_and_workers() -> None:
    # Other cells must neither take over the jobs of a crashed cell nor report them as unknown.
    cluster = start_busy_cells()
    lost = {ref for ref in cluster.specs if cluster.find_cells_with_job(ref) == {SOUTH}}
    assert lost
    for name in cluster.list_cell_controllers(SOUTH):
        cluster.crash(name, back_after=6.0)
    statuses: dict[str, list[int]] = {ref: [] for ref in lost}
    cluster.run(2.0)
    for ref, to in statuses.items():
        cluster.call("north-0", "GET", f"{wire.JOBS}/{ref}", None, lambda s, _, to=to: to.append(s))
    cluster.run(3.0)
    # Never 404: no controller can tell, so the answer is to try again later (503).
    assert all(to and set(to) <= {200, 503} for to in statuses.values()), statuses
    cluster.submit(batch("j-000900", 2), run_time=5.0, node=0)
    check_final_state(cluster)
    assert all(cluster.find_cells_with_job(ref) == {SOUTH} for ref in lost)


def test_cells_cut_off_from_each_other_still_serve_requests_and_jobs() -> None:
    # A cell must not depend on links to other cells for its own jobs.
    cluster = start_busy_cells()
    for north in cluster.list_cell_controllers(NORTH):
        cluster.cut(
            cluster.ip(north),
            [cluster.ip(south) for south in cluster.list_cell_controllers(SOUTH)],
            30.0,
        )
    for number in range(6):
        cluster.submit(batch(f"j-{300 + number:06d}", 2), run_time=5.0, node=number)
    cluster.run(30.0)
    check_final_state(cluster)


# The cell map


def test_new_map_is_in_force_at_all_controllers_within_the_target() -> None:
    # A controller that keeps the old map would still send new jobs to the closed cell.
    cluster = start_cells()
    assert cluster.run_until(lambda: MAP_KEY in cluster.state.rows, 10)
    cluster.put_map(cell_map(2, south=False))
    assert cluster.run_until(
        lambda: set(cluster.map_versions().values()) == {2}, MAP_IN_FORCE_TARGET_S
    )
    for number in range(8):
        cluster.submit(batch(f"j-{number:06d}", 1), run_time=30.0, node=number)
    assert cluster.run_until(lambda: len(cluster.accepted) == 8, 20)
    assert all(cluster.find_cells_with_job(ref) == {NORTH} for ref in cluster.specs)


def test_submission_repeated_at_a_controller_with_an_older_map_is_one_job() -> None:
    # Controllers with different maps choose different cells for the same job.
    cluster = start_cells()
    old = cluster.list_cell_controllers(SOUTH)[0]
    cluster.cut(cluster.ip(old), ["10.2.0.1"], 12.0)
    cluster.put_map(cell_map(2, south=False))
    cluster.run(4.0)
    assert cluster.map_versions()[old] == 1
    assert cluster.map_versions()["north-0"] == 2
    for number in range(6):
        job = batch(f"j-{number:06d}", 1)
        cluster.submit(job, run_time=10.0, node=0)
        cluster.submit(job, run_time=10.0, node=CELL_NODES.index(old))
    cluster.run(15.0)
    check_final_state(cluster)
    assert all(len(cluster.find_cells_with_job(ref)) == 1 for ref in cluster.specs)


def test_map_with_an_older_version_does_not_replace_a_newer_one() -> None:
    # A write of an older map that is executed late, or twice, must have no effect on controllers.
    cluster = start_cells()
    cluster.put_map(cell_map(3, south=False))
    assert cluster.run_until(
        lambda: set(cluster.map_versions().values()) == {3}, MAP_IN_FORCE_TARGET_S
    )
    cluster.put_map(cell_map(2))
    cluster.run(MAP_IN_FORCE_TARGET_S)
    assert set(cluster.map_versions().values()) == {3}


def test_controller_whose_file_contradicts_the_stored_map_does_not_join(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Two leaders would command the zone's machines, with fencing tokens of two sequences.
    cluster = SimulatedCells()
    north, south = cell_map().cells
    everything = msgspec.structs.replace(north, zones=("a", "b"))
    cluster.put_map(CellMap(1, (everything, msgspec.structs.replace(south, zones=("c",)))))
    cluster.run(20.0)
    assert cluster.find_cell_leader(NORTH)
    assert cluster.find_cell_leader(SOUTH) is None
    refused = [
        line
        for line in caplog.messages
        if "zone b: in north by the stored map, in south by this" in line
    ]
    assert len(refused) == 3
    cluster.put_map(cell_map(2))
    assert cluster.run_until(cluster.both_cells_have_leaders, 20), (
        "with the map corrected, they join"
    )


def test_cells_do_not_start_beside_the_leader_of_an_undivided_fleet(
    caplog: pytest.LogCaptureFixture,
) -> None:
    cluster = SimulatedCells()
    cluster.put(LEADER_KEY, {"term": 4, "node": "hearth-0", "boot": "x"})
    cluster.run(20.0)
    assert cluster.find_cell_leader(NORTH) is cluster.find_cell_leader(SOUTH) is None
    warned = [line for line in caplog.messages if "event=undivided_fleet" in line]
    assert len(warned) == len(CELL_NODES), "one log line per controller"
    del cluster.state.rows[LEADER_KEY]
    assert cluster.run_until(cluster.both_cells_have_leaders, 20)


@pytest.mark.parametrize(
    "value",
    [
        "nonsense",
        {"version": 9, "cells": []},
        {"version": 9, "cells": [{"name": "north", "zones": ["a"], "controllers": ["north-0"]}]},
        {"version": True, "cells": None},
    ],
)
def test_malformed_map_is_refused_and_the_one_in_force_stays(
    value: object, caplog: pytest.LogCaptureFixture
) -> None:
    # Whatever is written to the map's key, controllers must go on with the last valid map.
    cluster = start_cells()
    cluster.put(MAP_KEY, value)
    cluster.run(6.0)
    assert set(cluster.map_versions().values()) == {1}
    refused = [line for line in caplog.messages if "cell_map_refused" in line]
    assert len(refused) == len(CELL_NODES), "one log line per controller"
    cluster.submit(batch("j-000001", 1), run_time=5.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 1, 60)


def test_malformed_frames_between_cells_are_one_log_line_each(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A frame of a faulty controller must not stop the one that receives it.
    cluster = start_cells()
    gateway = cluster.nodes["north-0"].membership.gateway  # type: ignore[union-attr]
    caplog.clear()
    for frame in (
        {"k": "cell_ask"},
        {"k": "cell_ask", "number": 1, "what": "submit", "ref": "j-1", "submission": b"?"},
        {"k": "cell_answer", "number": "x", "status": 200},
        {"k": "cell_state", "cell": "south", "able": "yes"},
        {"k": "nothing"},
    ):
        gateway.receive("south-0", frame)
    assert len([line for line in caplog.messages if "cell_frame_malformed" in line]) == 5
    cluster.submit(batch("j-000001", 1), run_time=5.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 1, 60)


def test_requests_are_answered_in_time_while_the_shared_state_service_is_slow() -> None:
    # A request whose job can't be looked up in time gets 503 by then; it is not held back.
    cluster = start_busy_cells()
    cluster.slow_down_state_service(4.0, 20.0)
    requested_at = cluster.sim.time
    latencies: list[float] = []
    for number in range(12):
        for path in ("/j-000001", "/j-424242"):
            cluster.call(
                CELL_NODES[number % 6],
                "GET",
                f"{wire.JOBS}{path}",
                None,
                lambda *_: latencies.append(cluster.sim.time - requested_at),
            )
    cluster.run(6.0)
    assert len(latencies) == 24
    assert max(latencies) < 2.0
    cluster.run(20.0)
    check_final_state(cluster)


def test_answer_that_became_stale_in_a_pause_is_not_sent() -> None:
    # A controller that read that the job is unknown is paused, while another one accepts the job.
    # Answering 404 after the pause would contradict the accepted submission.
    cluster = start_cells()
    node = "north-0"
    replies: list[int] = []
    cluster.call(
        node, "GET", f"{wire.JOBS}/j-000001", None, lambda status, _: replies.append(status)
    )
    cluster.run(0.004)
    cluster.freeze(node, 4.0)
    cluster.submit(batch("j-000001", 1), run_time=20.0, node=CELL_NODES.index("south-0"))
    assert cluster.run_until(lambda: "j-000001" in cluster.accepted, 3.5)
    cluster.run(5.0)
    assert replies != [404]
    check_final_state(cluster)
