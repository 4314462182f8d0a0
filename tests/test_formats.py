"""Formats of what controllers write for each other: batches, snapshots, evidence of what members
read, and what the version in production wrote."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from flaxtally.cluster.relay_batch import decode_batch
from flaxtally.ledger.batch import split_batch
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.ledger.records import decode_record, record_size
from flaxtally.ledger.snapshot import page_records
from flaxtally.protocol import formats, wire
from flaxtally.protocol.formats import FormatRange, parse_range

from . import production
from .ledger_records import accepted, certain_records, record, stored
from .scenarios import change_leader
from .simulated_cluster import NODES, SimulatedCluster, batch, gang, spec
from .simulated_upgrade import LOWER, UpgradingCluster

if TYPE_CHECKING:
    from flaxtally.cluster.format_negotiation import FormatNegotiation

FIXTURE = Path(__file__).parent / "fixtures" / "production_ledger.json"
PAGE_BYTES = LOWER.value_bytes * 7 // 8


def meaning(state: Any) -> dict[str, Any]:
    """What a ledger says of each job, in plain values: the same for both versions."""
    found: dict[str, Any] = {ref: state.terminal_jobs.get(ref) for ref in state.terminal_jobs}
    for job in state.jobs.values():
        if job.is_terminal and not job.placements:
            found[job.spec.ref] = wire.ABORTED if job.is_cancelled else wire.DONE
            continue
        found[job.spec.ref] = {
            "tasks": job.spec.tasks,
            "cancelled": job.is_cancelled,
            "done": sorted(job.done_tasks),
            "placed": [
                [task, placed.attempt, placed.machine, placed.zone]
                for task, placed in sorted(job.placements.items())
            ],
            "attempts": sorted([task, attempt] for task, attempt in job.attempts.items()),
            "waiting": job.pending_count,
        }
    return found


def read(rows: dict[str, Any], book: Any) -> Any:
    """The book that the pages make."""
    for key in sorted(rows):
        if key.startswith("p/"):
            for record in rows[key]["r"]:
                book.replay(record, int(key[2:]))
    return book


# What production wrote, and what it reads


def test_pages_that_production_wrote_mean_the_same_today() -> None:
    kept = json.loads(FIXTURE.read_text())
    assert kept["commit"] == production.read_commit()
    assert len(kept["meaning"]) > 20
    assert meaning(read(kept["rows"], ClusterState())) == kept["meaning"]


def test_keys_and_mail_that_production_wrote_are_read_today() -> None:
    rows = json.loads(FIXTURE.read_text())["rows"]
    assert {"term", "node", "boot"} <= rows["lead"].keys()
    mailed = [decode_batch(value)[1] for key, value in rows.items() if key.startswith("mail/")]
    kinds = {frame["k"] for frames in mailed for frame in frames}
    assert "hb" in kinds
    heartbeats = [frame for frames in mailed for frame in frames if frame["k"] == "hb"]
    assert {parse_range(frame.get("formats")) for frame in heartbeats} == {formats.UNSTATED}


def test_what_is_written_before_the_raise_means_the_same_to_production() -> None:
    # Needs production's sources: skipped where the clone lacks its commit.
    book = production.adapt_to_current_names(production.load_module("ledger.book").Book())
    world = UpgradingCluster(seed=3, upgraded=NODES[:2])
    while world.leader() not in NODES[:2]:
        change_leader(world) if world.leader() else world.run(0.5)
    for number in range(8):
        world.submit(spec(f"j-{number:06d}", tasks=3), node=number)
        world.submit(batch(f"j-{100 + number:06d}", 12), run_time=6.0, node=number)
    world.run(45.0)
    for number in range(0, 8, 3):
        world.cancel(f"j-{number:06d}", number)
    for number in range(30):
        world.submit(batch(f"j-{300 + number:06d}", 4), run_time=2.0, node=number)
    world.run(40.0)
    assert world.format == formats.FIRST
    rows = {key: value for key, (value, _, _) in world.state.rows.items()}
    # Old pages were cleaned by today's code meanwhile.
    assert min(int(key[2:]) for key in rows if key.startswith("p/") and key != "p/00000000") > 1
    assert meaning(read(rows, book)) == meaning(read(rows, ClusterState()))


# Batches


def read_all(records: list[list[Any]]) -> list[list[Any]]:
    read = [decode_record(items) for items in records]
    return [stored(certain) for certain in certain_records(read)]


def pieces(records: list[list[Any]], max_bytes: int) -> list[list[Any]]:
    """What lies in the store of a batch of these records."""
    written = split_batch([record(*items) for items in records], max_bytes)
    return [stored(piece) for piece in written]


def test_a_batch_is_read_whole_or_not_at_all() -> None:
    records = [["E", number, 0, 1, False] for number in range(200)]
    written = pieces(records, 500)
    assert len(written) > 3
    assert read_all(written) == records
    # Its writer was deposed before the last piece; the next one writes other records.
    assert read_all(written[:-1]) == []
    assert read_all([*written[:-1], ["C", 7]]) == [["C", 7]]
    assert read_all([*written[:-1], *pieces(records[:3], 500)]) == records[:3]
    # Its first page was cleaned: what the rest says was said anew.
    assert read_all(written[1:]) == []
    assert read_all([*written[1:], ["C", 7]]) == [["C", 7]]


@pytest.mark.real_processes
@given(st.lists(st.integers(1, 900), max_size=60), st.integers(1000, 4000))
@examples(derandomize=True, max_examples=60)
def test_pieces_stay_within_a_page_and_lose_nothing(sizes: list[int], most: int) -> None:
    records: list[list[Any]] = [["F", 0, "x" * size, "done"] for size in sizes]
    written = pieces(records, most)
    assert all(piece[0] == "B" and record_size(decode_record(piece)) <= most for piece in written)
    assert read_all(written) == records


def test_a_snapshot_of_any_job_fits_into_pages_of_the_lower_limits() -> None:
    book = ClusterState()
    job = spec("j-000001", job_kind=wire.ARRAY, tasks=100_000, spread=False)
    book.apply(accepted(1, 1.0, job), 1)
    rng = random.Random(4)
    for task in range(4000):
        book.apply(record("P", 1, task, 1 + task % 3, f"n-{task:06d}", "a"), 1)
        if rng.random() < 0.6:
            book.apply(record("E", 1, task, 1 + task % 3, rng.random() < 0.5), 1)
    types = [{"label": f"type-{number}", "yards": ["a"] * 40} for number in range(30)]
    book.apply(record("K", types), 1)
    groups = page_records(book, 1, PAGE_BYTES)
    written = [piece for group in groups for piece in split_batch(group, PAGE_BYTES)]
    assert max(map(record_size, written)) <= PAGE_BYTES
    again = ClusterState()
    for piece in written:
        again.replay(stored(piece), 2)
    assert meaning(again) == meaning(book)
    assert again.catalog == book.catalog


def test_a_gang_that_is_done_stays_done_in_a_snapshot_with_tasks_not_proven_over() -> None:
    book = ClusterState()
    book.apply(accepted(1, 1.0, gang("j-000001", 3)), 1)
    for task in range(3):
        book.apply(record("P", 1, task, 1, f"n-{task}", "a"), 1)
    book.apply(record("E", 1, 1, 1, True), 1)
    assert book.jobs[1].is_done
    again = ClusterState()
    for group in page_records(book, 1, PAGE_BYTES):
        for written in group:
            again.replay(stored(written), 2)
    assert again.jobs[1].is_done
    assert sorted(again.jobs[1].placements) == [0, 2]
    for task in (0, 2):
        again.apply(record("E", 1, task, 1, False), 2)
    assert again.jobs[1].is_done
    assert not again.jobs[1].pending_count


def test_a_submission_with_names_longer_than_a_page_is_refused() -> None:
    world = SimulatedCluster(value_bytes=2048)
    world.submit(spec("j-000009", tasks=1))
    world.run(15.0)
    long_names = tuple(f"{number:03d}" + "x" * 190 for number in range(20))
    world.submit(spec("j-000001", machine_types=("c16", *long_names)))
    world.run(3.0)
    assert world.trace[-1].endswith("j-000001 refused (422)")
    world.submit(spec("j-000002", machine_types=("c16", "t" * 200)))
    assert world.until(lambda: world.count("j-000002") == 1, 10.0)


# Evidence


@pytest.mark.parametrize(
    "stated", [None, 2, "2", [2], [1, 2, 3], [2, 1], [0, 2], [1, "2"], [True, 2], {"newest": 2}]
)
def test_a_range_that_is_none_counts_as_the_first_format(stated: object) -> None:
    assert parse_range(stated) == formats.UNSTATED


def member_formats() -> FormatNegotiation:
    world = SimulatedCluster(nodes=NODES[:1])
    return world.nodes[NODES[0]].formats


def test_only_the_newest_connection_of_a_peer_speaks_for_it() -> None:
    known = member_formats()
    known.on_hello("hearth-1", 5, [1, 2])
    assert known.newest_format_of("hearth-1") == 2
    # Its earlier life, before the upgrade: held back by the network, delivered late.
    known.on_hello("hearth-1", 3, None)
    assert known.newest_format_of("hearth-1") == 2
    # It was rolled back.
    known.on_hello("hearth-1", 6, None)
    assert known.newest_format_of("hearth-1") == 1
    known.on_hello("hearth-1", 5, [1, 2])
    assert known.newest_format_of("hearth-1") == 1


def test_mail_raises_what_is_known_and_never_lowers_it() -> None:
    known = member_formats()
    known.on_relayed_heartbeat("hearth-1", None)
    assert known.newest_format_of("hearth-1") == 1
    known.on_relayed_heartbeat("hearth-1", [1, 2])
    known.on_relayed_heartbeat("hearth-1", None)
    assert known.newest_format_of("hearth-1") == 2


def test_what_all_read_is_what_every_configured_member_reads() -> None:
    world = SimulatedCluster()
    assert world.until(lambda: world.leader() is not None, 20.0)
    world.run(3.0)
    leader = world.nodes[world.leader() or ""]
    assert leader.formats.common_format == formats.OWN.newest
    peer = next(name for name in NODES if name != world.leader())
    leader.formats.on_hello(peer, 10**6, None)
    assert leader.formats.common_format == formats.FIRST
    assert FormatRange(1, 3) == formats.OWN


def test_the_evidence_costs_few_changes() -> None:
    world = SimulatedCluster()
    world.run(60.0)
    _, stamp, _ = world.state.rows["formats"]
    world.run(60.0)
    assert world.state.rows["formats"][1] == stamp


# What production does with what it doesn't know: the table in docs/upgrade.md


def production_reads(record: list[Any]) -> str:
    """How production's ledger takes a record after a job of two tasks, one of them placed."""
    book = production.adapt_to_current_names(production.load_module("ledger.book").Book())
    job = msgspec.to_builtins(batch("j-000001", 2))
    book.replay(["J", 1, 1.0, *job], 1)
    book.replay(["P", 1, 0, 1, "n-000001", "a"], 1)
    before = meaning(book)
    try:
        book.replay(record, 1)
    except Exception as fault:
        return type(fault).__name__
    return "ignored" if meaning(book) == before else "taken"


@pytest.mark.parametrize(
    ("record", "outcome"),
    [
        (["V", 2], "KeyError"),
        (["B", True, True, []], "KeyError"),
        (["J", 2, 1.0, *msgspec.to_builtins(spec("j-000002")), "more"], "taken"),
        (["P", 1, 1, 1, "n-000001", "a", "more"], "TypeError"),
        (["P", 1, 0, 1, "n-000002", "a"], "BookError"),
        (["E", 1, 0, 1, True, "more"], "TypeError"),
        (["C", 9], "ignored"),
        (["K", [], True], "TypeError"),
    ],
)
def test_production_takes_ignores_or_refuses_a_record(record: list[Any], outcome: str) -> None:
    # What it refuses it logs as `ledger_damaged`, and serves nothing.
    assert production_reads(record) == outcome


def test_production_passes_over_frames_and_fields_that_it_does_not_know() -> None:
    world = UpgradingCluster(seed=5)
    world.submit(spec("j-000001", tasks=2))
    world.run(20.0)
    node = world.nodes[world.leader() or ""]
    peer = next(name for name in NODES if name != world.leader())
    term = node.election.term
    node._receive(peer, {"k": "alive", "t": term, "m": ["n-000000"]})
    node._receive(peer, {"k": "novelty", "x": [1, 2]})
    node.election.on_heartbeat(peer, {"k": "hb", "term": term, "leader": None, "formats": [1, 2]})
    world.run(5.0)
    assert node.election.term == term
    assert world.count("j-000001") == 2
