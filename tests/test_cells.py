"""A fleet of two cells: jobs, machines and limits, and the failures that could tear them apart."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.cells.directory import JOBS
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

IN_FORCE_S = 5.0
"""The operators' aim for a change of configuration."""
FEW = Team("crew", 0.0, 24.0, 0.0, 8.0)
"""A limit that holds eight tasks of a batch job in all, so four a cell."""


def service(ref: str, tasks: int = 2, **changes: object) -> wire.Spec:
    return spec(ref, tasks=tasks, spread=False, **changes)


def ready(seed: int = 1, **more: object) -> SimulatedCells:
    cluster = SimulatedCells(seed, **more)  # type: ignore[arg-type]
    assert cluster.run_until(cluster.both_cells_have_leaders, 15), cluster.trace
    # The first to lead writes how the limit is divided.
    assert cluster.run_until(lambda: SHARE_KEY_PREFIX + cluster.team.name in cluster.state.rows, 10)
    return cluster


def busy_cells(seed: int = 1, jobs: int = 8) -> SimulatedCells:
    """Services and arrays that users submitted at all controllers."""
    cluster = ready(seed)
    for number in range(jobs):
        cluster.submit(service(f"j-{number:06d}"), node=number)
        cluster.submit(batch(f"j-{100 + number:06d}", 3), run_time=25.0, node=number + 1)
    assert cluster.run_until(lambda: len(cluster.running) == 5 * jobs, 90), cluster.trace[-30:]
    return cluster


def in_zone(ref: str, zone: str, tasks: int = 4, **changes: object) -> wire.Spec:
    return batch(ref, tasks, zone=zone, **changes)


# What cells do


def test_jobs_go_to_both_cells_and_every_controller_answers_about_all() -> None:
    cluster = busy_cells()
    cells = {ref: cluster.find_cells_with_job(ref) for ref in cluster.specs}
    assert all(len(found) == 1 for found in cells.values())
    assert set.union(*cells.values()) == {NORTH, SOUTH}
    cluster.run(2.0)
    for ref in cluster.specs:
        stages = set()
        for name in CELL_NODES:
            answers: list[tuple[int, object]] = []
            cluster.call(
                name, "GET", f"{wire.JOBS}/{ref}", None, lambda *a, to=answers: to.append(a)
            )
            assert cluster.run_until(lambda to=answers: bool(to), 5)
            assert answers[0][0] == 200, (ref, name, answers)
            stages.add(answers[0][1]["stage"])  # type: ignore[index]
        assert stages <= {wire.RUNNING, wire.DONE}
    check_final_state(cluster)


def test_a_job_that_nobody_submitted_is_unknown_at_every_controller() -> None:
    cluster = ready()
    for name in CELL_NODES:
        answers: list[int] = []
        cluster.call(
            name, "GET", f"{wire.JOBS}/j-424242", None, lambda s, _, to=answers: to.append(s)
        )
        assert cluster.run_until(lambda to=answers: bool(to), 5)
        assert answers == [404]


def test_a_cancellation_reaches_the_jobs_cell_from_any_controller() -> None:
    cluster = busy_cells()
    for number, ref in enumerate(sorted(cluster.specs)):
        cluster.cancel(ref, node=number)
    assert cluster.run_until(lambda: len(cluster.reported_cancelled_at) == len(cluster.specs), 40)
    assert cluster.run_until(lambda: not cluster.running, 10)
    check_final_state(cluster, 30.0)


def test_a_job_bound_to_a_zone_runs_in_the_cell_of_that_zone() -> None:
    cluster = ready()
    for number, zone in enumerate("abab"):
        cluster.submit(in_zone(f"j-{number:06d}", zone), run_time=20.0, node=number)
    assert cluster.run_until(lambda: len(cluster.running) == 16, 60)
    for number, zone in enumerate("abab"):
        cell = NORTH if zone == "a" else SOUTH
        assert cluster.find_cells_with_job(f"j-{number:06d}") == {cell}


def test_new_jobs_go_where_less_waits_also_at_controllers_that_follow() -> None:
    cluster = ready()
    cluster.submit(in_zone("j-000001", "a", 400), run_time=60.0)
    assert cluster.run_until(lambda: "j-000001" in cluster.accepted, 10)
    cluster.run(6.0)
    for number, node in enumerate(CELL_NODES):
        cluster.submit(batch(f"j-{10 + number:06d}", 1), run_time=5.0, node=CELL_NODES.index(node))
    assert cluster.run_until(lambda: len(cluster.accepted) == 7, 20)
    assert all(
        cluster.find_cells_with_job(f"j-{10 + number:06d}") == {SOUTH} for number in range(6)
    )


def test_a_job_stays_where_it_was_submitted_without_a_reason_and_costs_one_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two changes a job at the service that all cells share made a burst of jobs wait a minute.
    cluster = ready()
    cluster.run(5.0)
    written: list[str] = []
    transact = cluster.state.transact

    def noted(txn: wire.Transaction) -> tuple[int, object]:
        written.extend(change.put for change in txn.changes if change.put is not None)
        return transact(txn)

    monkeypatch.setattr(cluster.state, "transact", noted)
    for number, name in enumerate(CELL_NODES):
        cluster.submit(batch(f"j-{number:06d}", 1), run_time=20.0, node=CELL_NODES.index(name))
    assert cluster.run_until(lambda: len(cluster.accepted) == 6, 10)
    for number, name in enumerate(CELL_NODES):
        ref = f"j-{number:06d}"
        assert cluster.find_cells_with_job(ref) == {name.partition("-")[0]}
        assert written.count(JOBS + ref) == 1


def test_a_job_that_can_never_run_is_refused_whatever_its_cell() -> None:
    cluster = ready()
    cluster.submit(service("j-000001", cores=4000.0))
    cluster.submit(in_zone("j-000002", "nowhere"))
    assert cluster.run_until(
        lambda: sum("refused (422)" in line for line in cluster.trace) == 2, 20
    )


def test_machines_report_to_their_own_cells_controllers() -> None:
    cluster = busy_cells()
    cluster.run(20.0)
    for worker in cluster.workers.values():
        cell = NORTH if worker.machine.zone == "a" else SOUTH
        assert worker._controller.startswith(cell), (worker.machine, worker._controller)
    for name, node in cluster.nodes.items():
        zones = {machine.zone for machine in node.leader.term.fleet.machines.values()}
        assert zones <= {"a" if name.startswith(NORTH) else "b"}


# Limits over all cells


def test_a_share_moves_to_the_cell_that_needs_it_and_the_limit_holds_all_along() -> None:
    cluster = ready(team=FEW)
    cluster.submit(in_zone("j-000001", "a", 8), run_time=40.0)
    # Its own share holds four; the other cell keeps a little for what comes next.
    assert cluster.run_until(lambda: cluster.count("j-000001") >= 7, 60), cluster.trace[-20:]
    assert cluster.share(NORTH).gpus >= 7.0
    cluster.submit(in_zone("j-000002", "b", 8), run_time=5.0)
    assert cluster.run_until(lambda: cluster.count("j-000002") >= 4, 120), cluster.trace[-20:]
    check_final_state(cluster)


@pytest.mark.parametrize("seed", range(3))
def test_the_limit_holds_while_both_cells_ask_for_all_of_it(seed: int) -> None:
    cluster = ready(seed, team=FEW)
    for number in range(10):
        zone = "ab"[number % 2]
        job = in_zone(f"j-{number:06d}", zone, 4)
        cluster.after(number * 3.0, cluster.submit, job, 4.0 + number % 3, number)
    cluster.lose_writes(0.2, 30.0)
    cluster.run(60.0)
    check_final_state(cluster)
    assert all(len(job.done) == 4 for job in cluster.rules.jobs.values())


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_that_dies_while_it_gives_a_share_loses_and_doubles_nothing(seed: int) -> None:
    cluster = ready(seed, team=FEW)
    cluster.submit(in_zone("j-000001", "a", 8), run_time=30.0)
    before = cluster.share(SOUTH)
    # Its transactions are carried out late and unanswered: it dies with the gift on its way.
    assert cluster.run_until(lambda: NORTH in cluster.shares().wants, 30), cluster.trace
    cluster.lose_writes(1.0, 1.5)
    cluster.run(0.3 * (seed + 1))
    giver = cluster.find_cell_leader(SOUTH)
    assert giver is not None
    cluster.crash(giver, back_after=3.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") >= 7, 90), cluster.trace[-20:]
    assert cluster.share(SOUTH).gpus < before.gpus
    cluster.submit(in_zone("j-000002", "b", 4), run_time=5.0)
    check_final_state(cluster)
    assert len(cluster.rules.jobs["j-000002"].done) == 4


def test_a_new_leader_gives_nothing_before_it_has_read_what_its_cell_uses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Found by the scale run at 3,000 workers: shares were read sooner than a long ledger, and what
    # the cell's tasks used was given away.
    cluster = ready(team=FEW)
    cluster.submit(in_zone("j-000001", "b", 4), run_time=60.0, node=1)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 4, 60)
    assert cluster.share(SOUTH).gpus == 4.0
    serve = cluster.state._serve

    def slowly(request: Request) -> None:
        if "starts=cell/south/p/" in request.path:
            cluster.after(8.0, serve, request)
        else:
            serve(request)

    monkeypatch.setattr(cluster.state, "_serve", slowly)
    cluster.submit(in_zone("j-000002", "a", 8), run_time=60.0)
    assert cluster.run_until(lambda: cluster.count("j-000002") >= 4, 60)
    cluster.crash(cluster.find_cell_leader(SOUTH) or "", back_after=2.0)
    cluster.run(20.0)
    assert cluster.share(SOUTH).gpus == 4.0
    assert cluster.count("j-000001") == 4


def test_a_leader_that_was_replaced_can_give_nothing_of_its_cells_share() -> None:
    cluster = ready(team=FEW)
    former = cluster.find_cell_leader(SOUTH) or ""
    # It is cut off while it still hears its workers; the cell has another leader meanwhile.
    cluster.cut_off([former], 20.0)
    assert cluster.run_until(lambda: cluster.find_cell_leader(SOUTH) not in (None, former), 30)
    cluster.submit(in_zone("j-000001", "b", 4), run_time=30.0, node=1)
    cluster.submit(in_zone("j-000002", "a", 8), run_time=30.0, node=0)
    cluster.run(40.0)
    check_final_state(cluster)


def test_all_controllers_restart_while_shares_move() -> None:
    cluster = ready(team=FEW)
    cluster.submit(in_zone("j-000001", "a", 8), run_time=15.0)
    cluster.submit(in_zone("j-000002", "b", 8), run_time=5.0)
    assert cluster.run_until(lambda: bool(cluster.shares().wants), 30)
    for number, name in enumerate(CELL_NODES):
        cluster.crash(name, back_after=1.0 + 0.2 * number)
    assert cluster.run_until(cluster.both_cells_have_leaders, 30)
    check_final_state(cluster)
    assert all(len(cluster.rules.jobs[ref].done) == 8 for ref in ("j-000001", "j-000002"))


# Jobs that must not be in two cells


@pytest.mark.parametrize("seed", range(4))
def test_a_submission_repeated_everywhere_while_writes_come_late_is_one_job(seed: int) -> None:
    cluster = ready(seed)
    cluster.lose_writes(0.4, 25.0)
    for number in range(6):
        job = batch(f"j-{number:06d}", 2)
        for node in range(len(CELL_NODES)):
            cluster.after(0.3 * node, cluster.submit, job, 10.0, node + number)
    cluster.run(30.0)
    check_final_state(cluster)
    assert all(len(cluster.find_cells_with_job(ref)) == 1 for ref in cluster.specs)
    assert all(len(job.done) == 2 for job in cluster.rules.jobs.values())


def test_a_job_whose_cell_dies_before_it_kept_it_goes_to_another() -> None:
    cluster = ready()
    dead = cluster.list_cell_controllers(SOUTH)
    # Sent to a cell that has not marked it: what an entry controller leaves that dies just then.
    cluster.put(JOBS + "j-000001", {"cell": SOUTH, "kept": False})
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


def test_a_cell_without_controllers_keeps_its_jobs_and_its_workers_go_on_when_it_is_back() -> None:
    cluster = busy_cells()
    lost = {ref for ref in cluster.specs if cluster.find_cells_with_job(ref) == {SOUTH}}
    assert lost
    for name in cluster.list_cell_controllers(SOUTH):
        cluster.crash(name, back_after=6.0)
    statuses: dict[str, list[int]] = {ref: [] for ref in lost}
    cluster.run(2.0)
    for ref, to in statuses.items():
        cluster.call("north-0", "GET", f"{wire.JOBS}/{ref}", None, lambda s, _, to=to: to.append(s))
    cluster.run(3.0)
    # Never unknown: nobody can tell, so they are told to ask again.
    assert all(to and set(to) <= {200, 503} for to in statuses.values()), statuses
    cluster.submit(batch("j-000900", 2), run_time=5.0, node=0)
    check_final_state(cluster)
    assert all(cluster.find_cells_with_job(ref) == {SOUTH} for ref in lost)


def test_cells_that_cannot_reach_each_other_answer_and_run_on() -> None:
    cluster = busy_cells()
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


# The map


def test_a_new_map_is_in_force_everywhere_within_the_operators_time() -> None:
    cluster = ready()
    assert cluster.run_until(lambda: MAP_KEY in cluster.state.rows, 10)
    cluster.put_map(cell_map(2, south=False))
    assert cluster.run_until(lambda: set(cluster.map_versions().values()) == {2}, IN_FORCE_S)
    for number in range(8):
        cluster.submit(batch(f"j-{number:06d}", 1), run_time=30.0, node=number)
    assert cluster.run_until(lambda: len(cluster.accepted) == 8, 20)
    assert all(cluster.find_cells_with_job(ref) == {NORTH} for ref in cluster.specs)


def test_a_user_who_repeats_at_a_controller_with_an_older_map_has_one_job() -> None:
    cluster = ready()
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


def test_a_map_that_is_carried_out_late_or_twice_changes_nothing_newer() -> None:
    cluster = ready()
    cluster.put_map(cell_map(3, south=False))
    assert cluster.run_until(lambda: set(cluster.map_versions().values()) == {3}, IN_FORCE_S)
    cluster.put_map(cell_map(2))
    cluster.run(IN_FORCE_S)
    assert set(cluster.map_versions().values()) == {3}


def test_who_has_a_file_that_gives_a_zone_to_another_cell_takes_no_part(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Two leaders would command the zone's machines, with tokens of two sequences.
    cluster = SimulatedCells()
    north, south = cell_map().cells
    everything = msgspec.structs.replace(north, zones=("a", "b"))
    cluster.put_map(CellMap(1, (everything, msgspec.structs.replace(south, zones=("c",)))))
    cluster.run(20.0)
    assert cluster.find_cell_leader(NORTH)
    assert cluster.find_cell_leader(SOUTH) is None
    refused = [line for line in caplog.messages if "zone b: in north, by our file" in line]
    assert len(refused) == 3
    cluster.put_map(cell_map(2))
    assert cluster.run_until(cluster.both_cells_have_leaders, 20), "mended, they take part"


def test_cells_do_not_begin_beside_a_fleet_that_is_led_as_a_whole(
    caplog: pytest.LogCaptureFixture,
) -> None:
    cluster = SimulatedCells()
    cluster.put(LEADER_KEY, {"term": 4, "node": "hearth-0", "boot": "x"})
    cluster.run(20.0)
    assert cluster.find_cell_leader(NORTH) is cluster.find_cell_leader(SOUTH) is None
    warned = [line for line in caplog.messages if "event=undivided_fleet" in line]
    assert len(warned) == len(CELL_NODES), "one line a controller"
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
def test_a_map_that_is_nonsense_is_refused_and_the_one_in_force_stays(
    value: object, caplog: pytest.LogCaptureFixture
) -> None:
    cluster = ready()
    cluster.put(MAP_KEY, value)
    cluster.run(6.0)
    assert set(cluster.map_versions().values()) == {1}
    refused = [line for line in caplog.messages if "cell_map_refused" in line]
    assert len(refused) == len(CELL_NODES), "one line a controller"
    cluster.submit(batch("j-000001", 1), run_time=5.0)
    assert cluster.run_until(lambda: cluster.count("j-000001") == 1, 60)


def test_frames_between_cells_that_are_nonsense_are_one_line_each(
    caplog: pytest.LogCaptureFixture,
) -> None:
    cluster = ready()
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


def test_questions_are_answered_in_time_while_the_shared_state_service_is_slow() -> None:
    # What can't be looked up in time is told so at once, never held back.
    cluster = busy_cells()
    cluster.slow_down_state_service(4.0, 20.0)
    asked_at = cluster.sim.time
    took: list[float] = []
    for number in range(12):
        for path in ("/j-000001", "/j-424242"):
            cluster.call(
                CELL_NODES[number % 6],
                "GET",
                f"{wire.JOBS}{path}",
                None,
                lambda *_: took.append(cluster.sim.time - asked_at),
            )
    cluster.run(6.0)
    assert len(took) == 24
    assert max(took) < 2.0
    cluster.run(20.0)
    check_final_state(cluster)


def test_an_answer_that_a_pause_made_old_is_not_given() -> None:
    cluster = ready()
    node = "north-0"
    answers: list[int] = []
    cluster.call(
        node, "GET", f"{wire.JOBS}/j-000001", None, lambda status, _: answers.append(status)
    )
    cluster.run(0.004)
    cluster.freeze(node, 4.0)
    cluster.submit(batch("j-000001", 1), run_time=20.0, node=CELL_NODES.index("south-0"))
    assert cluster.run_until(lambda: "j-000001" in cluster.accepted, 3.5)
    cluster.run(5.0)
    assert answers != [404]
    check_final_state(cluster)
