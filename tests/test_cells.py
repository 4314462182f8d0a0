"""A fleet of two cells: jobs, machines and limits, and the failures that could tear them apart."""

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

from .scenarios import ends_well
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
    world = SimulatedCells(seed, **more)  # type: ignore[arg-type]
    assert world.until(world.both_lead, 15), world.trace
    # The first to lead writes how the limit is divided.
    assert world.until(lambda: SHARE_KEY_PREFIX + world.team.name in world.state.rows, 10)
    return world


def busy_cells(seed: int = 1, jobs: int = 8) -> SimulatedCells:
    """Services and arrays that users submitted at all controllers."""
    world = ready(seed)
    for number in range(jobs):
        world.submit(service(f"j-{number:06d}"), node=number)
        world.submit(batch(f"j-{100 + number:06d}", 3), run_time=25.0, node=number + 1)
    assert world.until(lambda: len(world.running) == 5 * jobs, 90), world.trace[-30:]
    return world


def in_zone(ref: str, zone: str, tasks: int = 4, **changes: object) -> wire.Spec:
    return batch(ref, tasks, zone=zone, **changes)


# What cells do


def test_jobs_go_to_both_cells_and_every_controller_answers_about_all() -> None:
    world = busy_cells()
    cells = {ref: world.cells_with(ref) for ref in world.specs}
    assert all(len(found) == 1 for found in cells.values())
    assert set.union(*cells.values()) == {NORTH, SOUTH}
    world.run(2.0)
    for ref in world.specs:
        stages = set()
        for name in CELL_NODES:
            answers: list[tuple[int, object]] = []
            world.call(name, "GET", f"{wire.WORK}/{ref}", None, lambda *a, to=answers: to.append(a))
            assert world.until(lambda to=answers: bool(to), 5)
            assert answers[0][0] == 200, (ref, name, answers)
            stages.add(answers[0][1]["stage"])  # type: ignore[index]
        assert stages <= {wire.RUNNING, wire.DONE}
    ends_well(world)


def test_a_job_that_nobody_submitted_is_unknown_at_every_controller() -> None:
    world = ready()
    for name in CELL_NODES:
        answers: list[int] = []
        world.call(
            name, "GET", f"{wire.WORK}/j-424242", None, lambda s, _, to=answers: to.append(s)
        )
        assert world.until(lambda to=answers: bool(to), 5)
        assert answers == [404]


def test_a_cancellation_reaches_the_jobs_cell_from_any_controller() -> None:
    world = busy_cells()
    for number, ref in enumerate(sorted(world.specs)):
        world.cancel(ref, node=number)
    assert world.until(lambda: len(world.told_cancelled) == len(world.specs), 40)
    assert world.until(lambda: not world.running, 10)
    ends_well(world, 30.0)


def test_a_job_bound_to_a_zone_runs_in_the_cell_of_that_zone() -> None:
    world = ready()
    for number, zone in enumerate("abab"):
        world.submit(in_zone(f"j-{number:06d}", zone), run_time=20.0, node=number)
    assert world.until(lambda: len(world.running) == 16, 60)
    for number, zone in enumerate("abab"):
        cell = NORTH if zone == "a" else SOUTH
        assert world.cells_with(f"j-{number:06d}") == {cell}


def test_new_jobs_go_where_less_waits_also_at_controllers_that_follow() -> None:
    world = ready()
    world.submit(in_zone("j-000001", "a", 400), run_time=60.0)
    assert world.until(lambda: "j-000001" in world.accepted, 10)
    world.run(6.0)
    for number, node in enumerate(CELL_NODES):
        world.submit(batch(f"j-{10 + number:06d}", 1), run_time=5.0, node=CELL_NODES.index(node))
    assert world.until(lambda: len(world.accepted) == 7, 20)
    assert all(world.cells_with(f"j-{10 + number:06d}") == {SOUTH} for number in range(6))


def test_a_job_stays_where_it_was_submitted_without_a_reason_and_costs_one_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two changes a job at the service that all cells share made a burst of jobs wait a minute.
    world = ready()
    world.run(5.0)
    written: list[str] = []
    transact = world.state.transact

    def noted(txn: wire.Transaction) -> tuple[int, object]:
        written.extend(change.put for change in txn.changes if change.put is not None)
        return transact(txn)

    monkeypatch.setattr(world.state, "transact", noted)
    for number, name in enumerate(CELL_NODES):
        world.submit(batch(f"j-{number:06d}", 1), run_time=20.0, node=CELL_NODES.index(name))
    assert world.until(lambda: len(world.accepted) == 6, 10)
    for number, name in enumerate(CELL_NODES):
        ref = f"j-{number:06d}"
        assert world.cells_with(ref) == {name.partition("-")[0]}
        assert written.count(JOB_KEY_PREFIX + ref) == 1


def test_a_job_that_can_never_run_is_refused_whatever_its_cell() -> None:
    world = ready()
    world.submit(service("j-000001", cores=4000.0))
    world.submit(in_zone("j-000002", "nowhere"))
    assert world.until(lambda: sum("refused (422)" in line for line in world.trace) == 2, 20)


def test_machines_report_to_their_own_cells_controllers() -> None:
    world = busy_cells()
    world.run(20.0)
    for worker in world.workers.values():
        cell = NORTH if worker.machine.zone == "a" else SOUTH
        assert worker._at.startswith(cell), (worker.machine, worker._at)
    for name, node in world.nodes.items():
        zones = {machine.zone for machine in node.leader.term.fleet.machines.values()}
        assert zones <= {"a" if name.startswith(NORTH) else "b"}


# Limits over all cells


def test_a_share_moves_to_the_cell_that_needs_it_and_the_limit_holds_all_along() -> None:
    world = ready(team=FEW)
    world.submit(in_zone("j-000001", "a", 8), run_time=40.0)
    # Its own share holds four; the other cell keeps a little for what comes next.
    assert world.until(lambda: world.count("j-000001") >= 7, 60), world.trace[-20:]
    assert world.share(NORTH).gpus >= 7.0
    world.submit(in_zone("j-000002", "b", 8), run_time=5.0)
    assert world.until(lambda: world.count("j-000002") >= 4, 120), world.trace[-20:]
    ends_well(world)


@pytest.mark.parametrize("seed", range(3))
def test_the_limit_holds_while_both_cells_ask_for_all_of_it(seed: int) -> None:
    world = ready(seed, team=FEW)
    for number in range(10):
        zone = "ab"[number % 2]
        job = in_zone(f"j-{number:06d}", zone, 4)
        world.after(number * 3.0, world.submit, job, 4.0 + number % 3, number)
    world.lose_writes(0.2, 30.0)
    world.run(60.0)
    ends_well(world)
    assert all(len(job.done) == 4 for job in world.rules.jobs.values())


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_that_dies_while_it_gives_a_share_loses_and_doubles_nothing(seed: int) -> None:
    world = ready(seed, team=FEW)
    world.submit(in_zone("j-000001", "a", 8), run_time=30.0)
    before = world.share(SOUTH)
    # Its transactions are carried out late and unanswered: it dies with the gift on its way.
    assert world.until(lambda: NORTH in world.shares().wants, 30), world.trace
    world.lose_writes(1.0, 1.5)
    world.run(0.3 * (seed + 1))
    giver = world.leader_of(SOUTH)
    assert giver is not None
    world.crash(giver, back_after=3.0)
    assert world.until(lambda: world.count("j-000001") >= 7, 90), world.trace[-20:]
    assert world.share(SOUTH).gpus < before.gpus
    world.submit(in_zone("j-000002", "b", 4), run_time=5.0)
    ends_well(world)
    assert len(world.rules.jobs["j-000002"].done) == 4


def test_a_new_leader_gives_nothing_before_it_has_read_what_its_cell_uses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Found by the scale run at 3,000 workers: shares were read sooner than a long ledger, and what
    # the cell's tasks used was given away.
    world = ready(team=FEW)
    world.submit(in_zone("j-000001", "b", 4), run_time=60.0, node=1)
    assert world.until(lambda: world.count("j-000001") == 4, 60)
    assert world.share(SOUTH).gpus == 4.0
    serve = world.state._serve

    def slowly(request: Request) -> None:
        if "starts=cell/south/p/" in request.path:
            world.after(8.0, serve, request)
        else:
            serve(request)

    monkeypatch.setattr(world.state, "_serve", slowly)
    world.submit(in_zone("j-000002", "a", 8), run_time=60.0)
    assert world.until(lambda: world.count("j-000002") >= 4, 60)
    world.crash(world.leader_of(SOUTH) or "", back_after=2.0)
    world.run(20.0)
    assert world.share(SOUTH).gpus == 4.0
    assert world.count("j-000001") == 4


def test_a_leader_that_was_replaced_can_give_nothing_of_its_cells_share() -> None:
    world = ready(team=FEW)
    former = world.leader_of(SOUTH) or ""
    # It is cut off while it still hears its workers; the cell has another leader meanwhile.
    world.cut_off([former], 20.0)
    assert world.until(lambda: world.leader_of(SOUTH) not in (None, former), 30)
    world.submit(in_zone("j-000001", "b", 4), run_time=30.0, node=1)
    world.submit(in_zone("j-000002", "a", 8), run_time=30.0, node=0)
    world.run(40.0)
    ends_well(world)


def test_all_controllers_restart_while_shares_move() -> None:
    world = ready(team=FEW)
    world.submit(in_zone("j-000001", "a", 8), run_time=15.0)
    world.submit(in_zone("j-000002", "b", 8), run_time=5.0)
    assert world.until(lambda: bool(world.shares().wants), 30)
    for number, name in enumerate(CELL_NODES):
        world.crash(name, back_after=1.0 + 0.2 * number)
    assert world.until(world.both_lead, 30)
    ends_well(world)
    assert all(len(world.rules.jobs[ref].done) == 8 for ref in ("j-000001", "j-000002"))


# Jobs that must not be in two cells


@pytest.mark.parametrize("seed", range(4))
def test_a_submission_repeated_everywhere_while_writes_come_late_is_one_job(seed: int) -> None:
    world = ready(seed)
    world.lose_writes(0.4, 25.0)
    for number in range(6):
        job = batch(f"j-{number:06d}", 2)
        for node in range(len(CELL_NODES)):
            world.after(0.3 * node, world.submit, job, 10.0, node + number)
    world.run(30.0)
    ends_well(world)
    assert all(len(world.cells_with(ref)) == 1 for ref in world.specs)
    assert all(len(job.done) == 2 for job in world.rules.jobs.values())


def test_a_job_whose_cell_dies_before_it_kept_it_goes_to_another() -> None:
    world = ready()
    dead = world.nodes_of(SOUTH)
    # Sent to a cell that has not marked it: what an entry controller leaves that dies just then.
    world.put(JOB_KEY_PREFIX + "j-000001", {"cell": SOUTH, "kept": False})
    for name in dead:
        world.crash(name)
    world.run(3.0)
    world.submit(batch("j-000001", 2), run_time=5.0, node=0)
    assert world.until(lambda: world.count("j-000001") == 2, 60), world.trace[-20:]
    assert world.cells_with("j-000001") == {NORTH}
    for name in dead:
        world.start(name)
    world.submit(batch("j-000001", 2), run_time=5.0, node=1)
    ends_well(world)
    assert world.cells_with("j-000001") == {NORTH}


def test_a_cell_without_controllers_keeps_its_jobs_and_its_workers_go_on_when_it_is_back() -> None:
    world = busy_cells()
    lost = {ref for ref in world.specs if world.cells_with(ref) == {SOUTH}}
    assert lost
    for name in world.nodes_of(SOUTH):
        world.crash(name, back_after=6.0)
    statuses: dict[str, list[int]] = {ref: [] for ref in lost}
    world.run(2.0)
    for ref, to in statuses.items():
        world.call("north-0", "GET", f"{wire.WORK}/{ref}", None, lambda s, _, to=to: to.append(s))
    world.run(3.0)
    # Never unknown: nobody can tell, so they are told to ask again.
    assert all(to and set(to) <= {200, 503} for to in statuses.values()), statuses
    world.submit(batch("j-000900", 2), run_time=5.0, node=0)
    ends_well(world)
    assert all(world.cells_with(ref) == {SOUTH} for ref in lost)


def test_cells_that_cannot_reach_each_other_answer_and_run_on() -> None:
    world = busy_cells()
    for north in world.nodes_of(NORTH):
        world.cut(world.ip(north), [world.ip(south) for south in world.nodes_of(SOUTH)], 30.0)
    for number in range(6):
        world.submit(batch(f"j-{300 + number:06d}", 2), run_time=5.0, node=number)
    world.run(30.0)
    ends_well(world)


# The map


def test_a_new_map_is_in_force_everywhere_within_the_operators_time() -> None:
    world = ready()
    assert world.until(lambda: MAP_KEY in world.state.rows, 10)
    world.put_map(cell_map(2, south=False))
    assert world.until(lambda: set(world.versions().values()) == {2}, IN_FORCE_S)
    for number in range(8):
        world.submit(batch(f"j-{number:06d}", 1), run_time=30.0, node=number)
    assert world.until(lambda: len(world.accepted) == 8, 20)
    assert all(world.cells_with(ref) == {NORTH} for ref in world.specs)


def test_a_user_who_repeats_at_a_controller_with_an_older_map_has_one_job() -> None:
    world = ready()
    old = world.nodes_of(SOUTH)[0]
    world.cut(world.ip(old), ["10.2.0.1"], 12.0)
    world.put_map(cell_map(2, south=False))
    world.run(4.0)
    assert world.versions()[old] == 1
    assert world.versions()["north-0"] == 2
    for number in range(6):
        job = batch(f"j-{number:06d}", 1)
        world.submit(job, run_time=10.0, node=0)
        world.submit(job, run_time=10.0, node=CELL_NODES.index(old))
    world.run(15.0)
    ends_well(world)
    assert all(len(world.cells_with(ref)) == 1 for ref in world.specs)


def test_a_map_that_is_carried_out_late_or_twice_changes_nothing_newer() -> None:
    world = ready()
    world.put_map(cell_map(3, south=False))
    assert world.until(lambda: set(world.versions().values()) == {3}, IN_FORCE_S)
    world.put_map(cell_map(2))
    world.run(IN_FORCE_S)
    assert set(world.versions().values()) == {3}


def test_who_has_a_file_that_gives_a_zone_to_another_cell_takes_no_part(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Two leaders would command the zone's machines, with tokens of two sequences.
    world = SimulatedCells()
    north, south = cell_map().cells
    everything = msgspec.structs.replace(north, zones=("a", "b"))
    world.put_map(CellMap(1, (everything, msgspec.structs.replace(south, zones=("c",)))))
    world.run(20.0)
    assert world.leader_of(NORTH)
    assert world.leader_of(SOUTH) is None
    refused = [
        line
        for line in caplog.messages
        if "zone b: in north by the stored map, in south by this" in line
    ]
    assert len(refused) == 3
    world.put_map(cell_map(2))
    assert world.until(world.both_lead, 20), "mended, they take part"


def test_cells_do_not_begin_beside_a_fleet_that_is_led_as_a_whole(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = SimulatedCells()
    world.put(LEADER_KEY, {"term": 4, "node": "hearth-0", "boot": "x"})
    world.run(20.0)
    assert world.leader_of(NORTH) is world.leader_of(SOUTH) is None
    warned = [line for line in caplog.messages if "event=undivided_fleet" in line]
    assert len(warned) == len(CELL_NODES), "one line a controller"
    del world.state.rows[LEADER_KEY]
    assert world.until(world.both_lead, 20)


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
    world = ready()
    world.put(MAP_KEY, value)
    world.run(6.0)
    assert set(world.versions().values()) == {1}
    refused = [line for line in caplog.messages if "cell_map_refused" in line]
    assert len(refused) == len(CELL_NODES), "one line a controller"
    world.submit(batch("j-000001", 1), run_time=5.0)
    assert world.until(lambda: world.count("j-000001") == 1, 60)


def test_frames_between_cells_that_are_nonsense_are_one_line_each(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = ready()
    gateway = world.nodes["north-0"].membership.gateway  # type: ignore[union-attr]
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
    world.submit(batch("j-000001", 1), run_time=5.0)
    assert world.until(lambda: world.count("j-000001") == 1, 60)


def test_questions_are_answered_in_time_while_the_shared_state_service_is_slow() -> None:
    # What can't be looked up in time is told so at once, never held back.
    world = busy_cells()
    world.slow_state(4.0, 20.0)
    asked_at = world.sim.time
    took: list[float] = []
    for number in range(12):
        for path in ("/j-000001", "/j-424242"):
            world.call(
                CELL_NODES[number % 6],
                "GET",
                f"{wire.WORK}{path}",
                None,
                lambda *_: took.append(world.sim.time - asked_at),
            )
    world.run(6.0)
    assert len(took) == 24
    assert max(took) < 2.0
    world.run(20.0)
    ends_well(world)


def test_an_answer_that_a_pause_made_old_is_not_given() -> None:
    world = ready()
    node = "north-0"
    answers: list[int] = []
    world.call(node, "GET", f"{wire.WORK}/j-000001", None, lambda status, _: answers.append(status))
    world.run(0.004)
    world.freeze(node, 4.0)
    world.submit(batch("j-000001", 1), run_time=20.0, node=CELL_NODES.index("south-0"))
    assert world.until(lambda: "j-000001" in world.accepted, 3.5)
    world.run(5.0)
    assert answers != [404]
    ends_well(world)
