"""The parts by themselves: parser, settings, ledger pages, forecast, fill, placement."""

from __future__ import annotations

import copy
import itertools
import random
import tomllib
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flaxtally.api.sharding import shard_owner
from flaxtally.cli import main
from flaxtally.cluster.frame_codec import FrameDecoder, encode_frame
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.ledger.records import InvalidRecordError
from flaxtally.ledger.snapshot import page_records
from flaxtally.planning.choice import choose
from flaxtally.planning.consolidation import EmptyingRules, TargetSearch, choose_machine_to_empty
from flaxtally.planning.fleet import Machine, Pool
from flaxtally.planning.forecast import Arrivals
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.packing import Bin, Demand, FreeCapacity, pack_demand
from flaxtally.planning.placement import GpuNeeds, gpu_needs
from flaxtally.planning.provisioning import ForecastStep, ProvisionDecision, Provisioner
from flaxtally.protocol.shape import Shape
from flaxtally.runtime.http import MalformedMessageError, Parser
from flaxtally.settings import SettingsError, StateLimits, parse

from .ledger_records import accepted, record, stored
from .simulated_cluster import TYPES, batch, spec

if TYPE_CHECKING:
    from pathlib import Path

    from flaxtally.protocol import wire

KINDS = {kind.name: kind for kind in TYPES}
NEEDS = GpuNeeds()


# HTTP

REQUEST = b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"


@pytest.mark.real_processes
@given(st.lists(st.integers(1, 20), min_size=1, max_size=12))
@settings(derandomize=True, max_examples=50)
def test_parser_takes_bytes_in_any_pieces(sizes: list[int]) -> None:
    parser, data, found = Parser(False, 100), REQUEST * 3, []
    while data:
        size = sizes[len(data) % len(sizes)]
        parser.feed(data[:size])
        data = data[size:]
        while (message := parser.next()) is not None:
            found.append((message.start, message.body))
    assert found == [(["POST", "/work", "HTTP/1.1"], b"hello")] * 3


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / SPDY/9\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (b"x" * 20000, 400),
    ],
)
def test_parser_refuses_what_is_broken(data: bytes, status: int) -> None:
    parser = Parser(False, 100)
    parser.feed(data)
    with pytest.raises(MalformedMessageError) as caught:
        parser.next()
    assert caught.value.status == status


def test_peer_frames_survive_any_cut_and_refuse_nonsense() -> None:
    frames, data = FrameDecoder(), encode_frame({"k": "hb", "term": 3}) * 2
    found = [frame for byte in data for frame in frames.feed(bytes([byte]))]
    assert found == [{"k": "hb", "term": 3}] * 2
    with pytest.raises(ValueError, match="too long"):
        FrameDecoder().feed(b"\xff\xff\xff\xff")
    with pytest.raises(ValueError, match="not a frame"):
        FrameDecoder().feed(b"\x00\x00\x00\x01\x05")


# Settings and the command line

SETTINGS = """
node_name = "n0"
site = "a"
listen = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
novelty = 1
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
zones = ["a"]
[[params.teams]]
name = "crew"
cpus = 4.0
[params.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
gang_wait_s = 40.0
gang_peer_s = 6.0
[params.state]
rps = 250.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 3.0
list_lag_s = 4.0
[params.limits]
max_sockets = 700
"""


NEXT = """[params.state.next]
write_rps = 15.0
value_kb = 2.0
txn_ops = 4
"""
SETTINGS = SETTINGS.replace("[params.cloud]", NEXT + "[params.cloud]")


def test_the_lower_limits_of_the_state_service_hold_from_the_start() -> None:
    lower = parse(tomllib.loads(SETTINGS)).state_limits
    assert lower == StateLimits(write_rps=15.0, value_bytes=2048, txn_ops=4)
    # Each by itself: a limit that rises later changes nothing.
    mixed = SETTINGS.replace("write_rps = 15.0", "write_rps = 90.0").replace("= 4\n", "= 64\n")
    found = parse(tomllib.loads(mixed)).state_limits
    assert found == StateLimits(write_rps=40.0, value_bytes=2048, txn_ops=32)
    assert parse(tomllib.loads(SETTINGS.replace(NEXT, ""))).state_limits.value_bytes == 8192


def test_settings_are_read_and_unknown_fields_ignored() -> None:
    found = parse(tomllib.loads(SETTINGS))
    assert (found.node, found.listen, found.state_limits.value_bytes) == (
        "n0",
        ("127.0.0.1", 8080),
        2048,
    )
    assert found.teams["crew"].cores == 4.0
    assert found.teams["crew"].cores_max == 0.0


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("report_s = 1.5", "", "params.workers.report_s: missing"),
        ("report_s = 1.5", 'report_s = "x"', "params.workers.report_s: not a number"),
        ("lease_s = 10.0", "lease_s = 0", "params.workers.lease_s: 0 is too small"),
        ('listen = "127.0.0.1:8080"', 'listen = "here"', "listen: not HOST:PORT"),
        ('zones = ["a"]', "zones = 3", "params.zones: not a list of texts"),
        ("gang_wait_s = 40.0", "", "params.workers.gang_wait_s: missing"),
        ("gang_wait_s = 40.0", "gang_wait_s = -1", "params.workers.gang_wait_s: -1 is too small"),
        ("gang_peer_s = 6.0", 'gang_peer_s = "six"', "params.workers.gang_peer_s: not a number"),
        ("txn_ops = 32", "txn_ops = 0", "params.state.txn_ops: 0 is too small"),
        ("value_kb = 8.0", "value_kb = 0.2", "params.state.value_kb: 0.2 is too small"),
        (NEXT, NEXT.replace("15.0", "0"), "params.state.next.write_rps: 0 is too small"),
        (NEXT, NEXT.replace("2.0", '"2"'), "params.state.next.value_kb: not a number"),
        (NEXT, NEXT.replace("txn_ops = 4", ""), "params.state.next.txn_ops: missing"),
        (NEXT, NEXT.replace("txn_ops = 4", "txn_ops = -4"), "params.state.next.txn_ops: -4 is too"),
        (NEXT, "next = 3\n", "params.state.next: not a table"),
    ],
)
def test_a_wrong_setting_is_named(old: str, new: str, field: str) -> None:
    with pytest.raises(SettingsError, match=field.replace(".", r"\.")):
        parse(tomllib.loads(SETTINGS.replace(old, new, 1)))


def test_bad_settings_end_with_one_line_and_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace("rps = 3.0", "rps = true"))
    assert main(["serve", "--config", str(path)]) == 2
    assert main(["check", "--config", str(tmp_path / "absent")]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert "params.cloud.rps: not a number" in lines[0]
    path.write_text(SETTINGS)
    assert main(["check", "--config", str(path)]) == 0


# The ledger


def fill_book(rng: random.Random, steps: int) -> tuple[ClusterState, list[list[object]]]:
    """A book after random proper records, and those records."""
    book = ClusterState()
    records: list[list[object]] = []

    def apply(*items: object) -> None:
        book.apply(record(*items), 1)
        records.append(list(items))

    for step in range(steps):
        jobs = [job for job in book.jobs.values() if not job.is_terminal]
        action = rng.random()
        if not jobs or action < 0.2:
            made = (
                batch(f"j-{step:06d}", rng.randint(1, 9))
                if rng.random() < 0.7
                else spec(f"j-{step:06d}", tasks=3)
            )
            apply("J", book.next_job_number, 1.0, *msgspec.to_builtins(made))
            continue
        job = rng.choice(jobs)
        if action < 0.6 and job.pending_count:
            task = job.next_pending_task()
            apply(
                "P",
                job.number,
                task,
                job.attempts.get(task, 0) + 1,
                f"n-{rng.randint(0, 3):06d}",
                "a",
            )
        elif action < 0.95 and job.placements:
            placed = rng.choice(list(job.placements.values()))
            apply("E", job.number, placed.task, placed.attempt, rng.random() < 0.6)
        elif action >= 0.98:
            apply("C", job.number)
    return book, records


def picture(book: ClusterState) -> object:
    """All that a book means, comparable."""
    finals = {ref: book.terminal_jobs.get(ref) for ref in book.terminal_jobs}
    jobs = {}
    for job in book.jobs.values():
        if job.is_terminal and not job.placements:
            finals[job.spec.ref] = "aborted" if job.is_cancelled else "done"
            continue
        placed = {task: (p.attempt, p.machine, p.zone) for task, p in job.placements.items()}
        waiting = {*job.retry_queue, *range(job.next_unstarted_task, job.spec.tasks)}
        jobs[job.spec.ref] = (job.spec, job.is_cancelled, job.done_tasks, placed, waiting)
    usage = {
        team: (round(use.cores, 6), round(use.gpus, 6))
        for team, use in book.usage_by_team.items()
        if use.cores > 1e-9
    }
    return finals, jobs, usage


def said_anew(book: ClusterState) -> list[list[Any]]:
    """The records by which the first page is cleaned."""
    return [stored(each) for each in itertools.chain.from_iterable(page_records(book, 1, 2000))]


@pytest.mark.real_processes
@given(st.integers(0, 10**6), st.integers(0, 120))
@settings(derandomize=True, max_examples=60)
def test_replay_and_snapshot_mean_the_same(seed: int, steps: int) -> None:
    # What a takeover reads, whether first written or rewritten by cleaning, is what the leader
    # knew.
    book, records = fill_book(random.Random(seed), steps)
    replayed, rewritten = ClusterState(), ClusterState()
    for written in records:
        replayed.replay(written, 1)
    # The first page is cleaned and gone; what was written since, before the snapshot, is still
    # there.
    for written in [*records[len(records) // 2 :], *said_anew(book)]:
        rewritten.replay(written, 2)
    assert picture(replayed) == picture(book)
    assert picture(rewritten) == picture(book)
    attempts = {
        (job.spec.ref, task): attempt
        for job in book.jobs.values()
        if not job.is_terminal
        for task, attempt in job.attempts.items()
    }
    assert attempts == {
        (job.spec.ref, task): attempt
        for job in rewritten.jobs.values()
        if not job.is_terminal
        for task, attempt in job.attempts.items()
    }


def test_the_book_refuses_what_breaks_an_invariant() -> None:
    # A second placement, an attempt used twice, a placement after a cancellation, an end of
    # nothing.
    book = ClusterState()
    book.apply(accepted(1, 0.0, batch("j-000001", 2)), 1)
    book.apply(record("P", 1, 0, 1, "n-1", "a"), 1)
    for refused in (
        ["P", 1, 0, 2, "n-2", "a"],
        ["E", 1, 0, 7, True],
        ["E", 1, 1, 1, True],
        ["J", 2, 0.0, *msgspec.to_builtins(batch("j-000001", 2))],
    ):
        with pytest.raises(InvalidRecordError):
            book.apply(record(*refused), 1)
    book.apply(record("E", 1, 0, 1, False), 1)
    with pytest.raises(InvalidRecordError):
        book.apply(record("P", 1, 0, 1, "n-2", "a"), 1)
    book.apply(record("C", 1), 1)
    with pytest.raises(InvalidRecordError):
        book.apply(record("P", 1, 0, 2, "n-2", "a"), 1)


# Forecast, fill, placement


def room(kind: str, zone: str = "a", spot: bool = False) -> Bin:
    entry = KINDS[kind]
    return Bin.empty(entry, zone, spot=spot)


def test_forecast_averages_and_leaves_the_burst_out() -> None:
    arrivals = Arrivals(100.0, 5.0)
    arrivals.note("batch", 80, 30.0, 0.0)
    for at in range(5, 100, 5):
        arrivals.note("batch", 2, 30.0, float(at))
    assert arrivals.rate("batch", 100.0) == pytest.approx(0.4, rel=0.15)
    assert arrivals.rate("other", 100.0) == 0.0


def test_one_long_job_does_not_stand_for_its_lane() -> None:
    # Found on magnolia-plant-fleet: the last job's estimate (160 s for a class of 35 s) made each
    # plan rent for all arrivals of that long, a hundred machines and more; they fell idle one after
    # the other.
    arrivals = Arrivals(100.0, 5.0)
    for at in range(20):
        arrivals.note("batch", 10, 35.0, float(at))
    arrivals.note("batch", 5, 160.0, 20.0)
    assert 35.0 < arrivals.length("batch", 20.0) < 40.0
    assert arrivals.length("other", 20.0) == 0.0


def plan(
    steps: list[ForecastStep], kinds: dict[str, wire.MachineType], pools: list[Pool]
) -> list[ProvisionDecision]:
    return Provisioner(kinds, pools, NEEDS, 1.1).plan(steps, 9)


def test_fill_takes_the_cheapest_per_work_and_the_open_zone() -> None:
    gate = Shape.of(spec("j-000001"))
    pools = [Pool(kind, zone, spot) for kind in KINDS for zone in "ab" for spot in (False, True)]
    rents = plan([ForecastStep(0.0, [Demand(gate, 10, 300.0)], FreeCapacity())], KINDS, pools)
    assert [(rent.pool.machine_type, rent.pool.spot) for rent in rents] == [("c16", False)] * 2
    gpu = Shape.of(batch("j-000002", 8))
    rents = plan([ForecastStep(0.0, [Demand(gpu, 8, 60.0)], FreeCapacity())], KINDS, pools)
    assert [(rent.pool.machine_type, rent.pool.spot) for rent in rents] == [("g8", True)]
    assert (
        plan([ForecastStep(0.0, [Demand(gpu, 8, 60.0)], FreeCapacity([room("g8")]))], KINDS, pools)
        == []
    )


def test_fill_sees_that_spread_jobs_need_a_second_zone() -> None:
    # Two replicas of one spread job: room for both in one zone is room for one.
    gate = Shape.of(spec("j-000001", tasks=2))
    pools = [Pool("c16", zone, False) for zone in "ab"]
    demand = Demand(gate, 2, 300.0, max_tasks_by_zone={"a": 1, "b": 1})
    rents = plan([ForecastStep(0.0, [demand], FreeCapacity([room("c16", "a")]))], KINDS, pools)
    assert [rent.pool.zone for rent in rents] == ["b"]


def test_fill_serves_an_early_gap_with_what_boots_in_time_unless_that_is_dear() -> None:
    # Found on a grown deployment: small front replicas waited a minute for big machines that were
    # still booting and counted as room, while small ones boot in a third of that time.
    gate = Shape.of(spec("j-000001"))
    pools = [Pool(kind, "a", False) for kind in ("c16", "g8")]
    quick, slow = KINDS["c16"], msgspec.structs.replace(KINDS["g8"], hourly_price=1.0, boot_s=60.0)

    def kinds_for(price: float) -> dict[str, wire.MachineType]:
        return {"c16": msgspec.structs.replace(quick, hourly_price=price), "g8": slow}

    steps = [
        ForecastStep(30.0, [Demand(gate, 8, 300.0)], FreeCapacity()),
        ForecastStep(60.0, [Demand(gate, 8, 300.0)], FreeCapacity()),
    ]
    assert [
        rent.pool.machine_type for rent in plan(copy.deepcopy(steps), kinds_for(0.6), pools)
    ] == ["c16"]
    assert [
        rent.pool.machine_type for rent in plan(copy.deepcopy(steps), kinds_for(5.0), pools)
    ] == ["g8"]


def test_pieces_of_room_do_not_add_up() -> None:
    # The sum of free GPUs would hold the task; no single machine does.
    big = Demand(Shape.of(batch("j-000001", 1, image="x")), 1, 60.0)
    half = [Bin(KINDS["g8"], "a", 32.0, 0.5, 256.0, spot=True) for _ in range(4)]
    assert pack_demand(big, FreeCapacity(half), NEEDS) == 1


def test_placement_prefers_cached_images_and_leaves_gpus_their_cores() -> None:
    gate, work = spec("j-000001", image_gb=8.0), batch("j-000002", 1)
    cold, warm, gpu = (
        Machine(name, kind, "a", spot=False, now=0.0)
        for name, kind in (("n-1", "c16"), ("n-2", "c16"), ("n-3", "g8"))
    )
    warm.record_image("img-1", 8.0, 40.0)
    chosen = choose(gate, 1, MachineIndex.of([cold, warm], KINDS, random.Random(1)), NEEDS, 9, ())
    assert chosen is warm
    needs = gpu_needs([work])
    gpu.cores = 8.0  # 24 cores left, which its 8 free GPUs will all need
    assert choose(gate, 1, MachineIndex.of([gpu], KINDS, random.Random(1)), needs, 9, ()) is None
    assert choose(work, 2, MachineIndex.of([gpu], KINDS, random.Random(1)), needs, 9, ()) is gpu
    assert (
        choose(gate, 1, MachineIndex.of([warm], KINDS, random.Random(1)), NEEDS, 9, {"a"}) is None
    )


def test_hashing_moves_only_the_lost_controllers_machines() -> None:
    names = [f"n-{number:06d}" for number in range(300)]
    zones = {"h0": "a", "h1": "b", "h2": "b"}
    three = {name: shard_owner(name, "c", ["h0", "h1", "h2"], zones) for name in names}
    two = {name: shard_owner(name, "c", ["h0", "h1"], zones) for name in names}
    assert all(60 < list(three.values()).count(node) < 140 for node in ("h0", "h1", "h2"))
    assert all(two[name] == three[name] for name in names if three[name] != "h2")
    assert shard_owner("n-1", "a", [], zones) is None
    assert {shard_owner(name, "b", ["h0", "h1", "h2"], zones) for name in names} == {"h1", "h2"}
    assert {shard_owner(name, "a", ["h1", "h2"], zones) for name in names} == {"h1", "h2"}


def test_emptying_counts_the_room_that_machines_being_emptied_will_need() -> None:
    # Several machines are emptied at a time in a large fleet: two must not count on the same room.
    book, fleet = (
        ClusterState(),
        [Machine(name, "c16", "a", spot=False, now=0.0) for name in ("x", "y", "z")],
    )
    for number, machine in enumerate(fleet, 1):
        book.apply(accepted(number, 0.0, spec(f"j-{number:06d}", cores=7.0)), 1)
        book.apply(record("P", number, 0, 1, machine.name, "a"), 1)
        machine.add_placement(book.jobs[number].placements[0])
        machine.images["img-1"] = 1.0
    x, _, z = fleet
    z.reserve(spec("j-000009", cores=4.0), 1)

    def pick_with(moving: list[Machine]) -> Machine | None:
        usable = [machine for machine in fleet if machine not in moving]
        return choose_machine_to_empty(
            usable,
            KINDS,
            random.Random(1),
            TargetSearch(NEEDS, 24, lambda *_: ()),
            EmptyingRules(lambda _: True, allow_finite_tasks=True),
            moving,
        ).machine

    assert pick_with([]) in fleet
    assert pick_with([x]) is None
    z.reserve(spec("j-000009", cores=4.0), -1)
    assert pick_with([x]) is not None
