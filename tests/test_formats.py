"""Formats of what controllers write for each other: batches, snapshots, the announced formats of
peers, and compatibility with the version in production."""

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
from flaxtally.ledger.snapshot import build_page_records
from flaxtally.protocol import formats, wire
from flaxtally.protocol.formats import FormatRange, parse_range

from . import production
from .ledger_records import accepted, complete_records, record, stored
from .scenarios import change_leader
from .simulated_cluster import NODES, SimulatedCluster, batch, gang, spec
from .simulated_upgrade import LOWERED_LIMITS, UpgradingCluster

if TYPE_CHECKING:
    from flaxtally.cluster.format_negotiation import FormatNegotiation

FIXTURE = Path(__file__).parent / "fixtures" / "production_ledger.json"
PAGE_BYTES = LOWERED_LIMITS.value_bytes * 7 // 8
"""Bytes of the records of a page under the lowered limits: 7/8 of the largest value."""


def get_job_contents(state: Any) -> dict[str, Any]:
    """Returns the contents of a state by job, in plain values that both versions have."""
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


def replay_pages(rows: dict[str, Any], state: Any) -> Any:
    """Returns the state after a replay of all pages."""
    for key in sorted(rows):
        if key.startswith("p/"):
            for items in rows[key]["r"]:
                state.replay(items, int(key[2:]))
    return state


# Compatibility with data of the version in production


def test_pages_written_by_production_give_the_same_state() -> None:
    # An upgraded leader takes over pages that the version in production wrote.
    fixture = json.loads(FIXTURE.read_text())
    assert fixture["commit"] == production.read_commit()
    assert len(fixture["meaning"]) > 20
    assert get_job_contents(replay_pages(fixture["rows"], ClusterState())) == fixture["meaning"]


def test_keys_and_relayed_frames_written_by_production_are_read() -> None:
    # An upgraded controller reads keys and relayed frames that the version in production wrote:
    # heartbeats that announce no formats must count as those of the first format.
    rows = json.loads(FIXTURE.read_text())["rows"]
    assert {"term", "node", "boot"} <= rows["lead"].keys()
    relayed_batches = [
        decode_batch(value)[1] for key, value in rows.items() if key.startswith("mail/")
    ]
    kinds = {frame["k"] for frames in relayed_batches for frame in frames}
    assert "hb" in kinds
    heartbeats = [frame for frames in relayed_batches for frame in frames if frame["k"] == "hb"]
    assert {parse_range(frame.get("formats")) for frame in heartbeats} == {formats.UNANNOUNCED}


def test_production_reads_what_is_written_before_the_format_is_raised() -> None:
    # During a rolling upgrade, or after a rollback, the version in production takes over pages that
    # the present version wrote or compacted. Needs production's sources; skipped if the clone lacks
    # their commit.
    production_state = production.adapt_to_current_names(
        production.load_module("ledger.book").Book()
    )
    cluster = UpgradingCluster(seed=3, upgraded=NODES[:2])
    while cluster.leader() not in NODES[:2]:
        change_leader(cluster) if cluster.leader() else cluster.run(0.5)
    for number in range(8):
        cluster.submit(spec(f"j-{number:06d}", tasks=3), node=number)
        cluster.submit(batch(f"j-{100 + number:06d}", 12), run_time=6.0, node=number)
    cluster.run(45.0)
    for number in range(0, 8, 3):
        cluster.cancel(f"j-{number:06d}", number)
    for number in range(30):
        cluster.submit(batch(f"j-{300 + number:06d}", 4), run_time=2.0, node=number)
    cluster.run(40.0)
    assert cluster.format == formats.FIRST
    rows = {key: value for key, (value, _, _) in cluster.state.rows.items()}
    # Meanwhile the present code has compacted old pages.
    assert min(int(key[2:]) for key in rows if key.startswith("p/") and key != "p/00000000") > 1
    assert get_job_contents(replay_pages(rows, production_state)) == get_job_contents(
        replay_pages(rows, ClusterState())
    )


# Batches


def read_complete_records(records: list[list[Any]]) -> list[list[Any]]:
    """Returns the stored form of the records that take effect."""
    decoded = [decode_record(items) for items in records]
    return [stored(complete) for complete in complete_records(decoded)]


def split_into_pieces(records: list[list[Any]], max_bytes: int) -> list[list[Any]]:
    """Returns the stored form of the pieces into which a batch of these records is split."""
    written = split_batch([record(*items) for items in records], max_bytes)
    return [stored(piece) for piece in written]


def test_a_batch_is_read_completely_or_not_at_all() -> None:
    # A writer may be deposed between the commits of two pieces, and pages may be compacted.
    records = [["E", number, 0, 1, False] for number in range(200)]
    written = split_into_pieces(records, 500)
    assert len(written) > 3
    assert read_complete_records(written) == records
    # The writer was deposed before the last piece; its successor writes other records.
    assert read_complete_records(written[:-1]) == []
    assert read_complete_records([*written[:-1], ["C", 7]]) == [["C", 7]]
    assert (
        read_complete_records([*written[:-1], *split_into_pieces(records[:3], 500)]) == records[:3]
    )
    # The first page was compacted: the records of the others were rewritten.
    assert read_complete_records(written[1:]) == []
    assert read_complete_records([*written[1:], ["C", 7]]) == [["C", 7]]


@pytest.mark.real_processes
@given(st.lists(st.integers(1, 900), max_size=60), st.integers(1000, 4000))
@examples(derandomize=True, max_examples=60)
def test_pieces_stay_within_a_page_and_lose_nothing(sizes: list[int], max_bytes: int) -> None:
    # A piece larger than a page could not be written, and a record that a split loses would be
    # missing in every later replay.
    records: list[list[Any]] = [["F", 0, "x" * size, "done"] for size in sizes]
    written = split_into_pieces(records, max_bytes)
    assert all(
        piece[0] == "B" and record_size(decode_record(piece)) <= max_bytes for piece in written
    )
    assert read_complete_records(written) == records


def test_a_snapshot_of_any_job_fits_into_pages_of_the_lower_limits() -> None:
    # A record larger than a page could not be written: the snapshot of a job with thousands of
    # placed tasks has to be split, and must still restore the same state.
    state = ClusterState()
    job = spec("j-000001", job_kind=wire.ARRAY, tasks=100_000, spread=False)
    state.apply(accepted(1, 1.0, job), 1)
    rng = random.Random(4)
    for task in range(4000):
        state.apply(record("P", 1, task, 1 + task % 3, f"n-{task:06d}", "a"), 1)
        if rng.random() < 0.6:
            state.apply(record("E", 1, task, 1 + task % 3, rng.random() < 0.5), 1)
    types = [{"label": f"type-{number}", "yards": ["a"] * 40} for number in range(30)]
    state.apply(record("K", types), 1)
    groups = build_page_records(state, 1, PAGE_BYTES)
    written = [piece for group in groups for piece in split_batch(group, PAGE_BYTES)]
    assert max(map(record_size, written)) <= PAGE_BYTES
    restored = ClusterState()
    for piece in written:
        restored.replay(stored(piece), 2)
    assert get_job_contents(restored) == get_job_contents(state)
    assert restored.catalog == state.catalog


def test_a_done_gang_stays_done_in_a_snapshot_while_attempts_are_not_proven_ended() -> None:
    # The end of one task completes the gang; a snapshot must not make the others pending again.
    state = ClusterState()
    state.apply(accepted(1, 1.0, gang("j-000001", 3)), 1)
    for task in range(3):
        state.apply(record("P", 1, task, 1, f"n-{task}", "a"), 1)
    state.apply(record("E", 1, 1, 1, True), 1)
    assert state.jobs[1].is_done
    restored = ClusterState()
    for group in build_page_records(state, 1, PAGE_BYTES):
        for written in group:
            restored.replay(stored(written), 2)
    assert restored.jobs[1].is_done
    assert sorted(restored.jobs[1].placements) == [0, 2]
    for task in (0, 2):
        restored.apply(record("E", 1, task, 1, False), 2)
    assert restored.jobs[1].is_done
    assert not restored.jobs[1].pending_count


def test_a_submission_with_names_longer_than_a_page_is_refused() -> None:
    # Its record would fit into no page, so it could never be committed.
    cluster = SimulatedCluster(value_bytes=2048)
    cluster.submit(spec("j-000009", tasks=1))
    cluster.run(15.0)
    long_names = tuple(f"{number:03d}" + "x" * 190 for number in range(20))
    cluster.submit(spec("j-000001", machine_types=("c16", *long_names)))
    cluster.run(3.0)
    assert cluster.trace[-1].endswith("j-000001 refused (422)")
    cluster.submit(spec("j-000002", machine_types=("c16", "t" * 200)))
    assert cluster.run_until(lambda: cluster.count("j-000002") == 1, 10.0)


# Announced formats


@pytest.mark.parametrize(
    "announced", [None, 2, "2", [2], [1, 2, 3], [2, 1], [0, 2], [1, "2"], [True, 2], {"newest": 2}]
)
def test_an_invalid_range_counts_as_the_first_format(announced: object) -> None:
    # If an invalid announcement counted as a newer format, the leader could write records that the
    # peer cannot read.
    assert parse_range(announced) == formats.UNANNOUNCED


def create_format_negotiation() -> FormatNegotiation:
    """Returns the format negotiation of a controller that has no peers running."""
    cluster = SimulatedCluster(nodes=NODES[:1])
    return cluster.nodes[NODES[0]].formats


def test_only_the_newest_connection_of_a_peer_announces_its_formats() -> None:
    # A delayed frame from before an upgrade or a rollback must not replace what the peer has
    # announced since then.
    negotiation = create_format_negotiation()
    negotiation.on_hello("hearth-1", 5, [1, 2])
    assert negotiation.get_newest_format("hearth-1") == 2
    # From an earlier incarnation, before the upgrade; delayed by the network.
    negotiation.on_hello("hearth-1", 3, None)
    assert negotiation.get_newest_format("hearth-1") == 2
    # The peer was rolled back.
    negotiation.on_hello("hearth-1", 6, None)
    assert negotiation.get_newest_format("hearth-1") == 1
    negotiation.on_hello("hearth-1", 5, [1, 2])
    assert negotiation.get_newest_format("hearth-1") == 1


def test_relayed_heartbeats_raise_the_known_format_and_never_lower_it() -> None:
    # Relayed heartbeats may arrive late: one from before the peer's upgrade must not lower the
    # format that is known of it.
    negotiation = create_format_negotiation()
    negotiation.on_relayed_heartbeat("hearth-1", None)
    assert negotiation.get_newest_format("hearth-1") == 1
    negotiation.on_relayed_heartbeat("hearth-1", [1, 2])
    negotiation.on_relayed_heartbeat("hearth-1", None)
    assert negotiation.get_newest_format("hearth-1") == 2


def test_the_common_format_is_read_by_every_configured_member() -> None:
    # If the common format ignored a peer that returned with an older version, the leader would
    # write records that this peer cannot read.
    cluster = SimulatedCluster()
    assert cluster.run_until(lambda: cluster.leader() is not None, 20.0)
    cluster.run(3.0)
    leader = cluster.nodes[cluster.leader() or ""]
    assert leader.formats.common_format == formats.SUPPORTED.newest
    peer = next(name for name in NODES if name != cluster.leader())
    leader.formats.on_hello(peer, 10**6, None)
    assert leader.formats.common_format == formats.FIRST
    assert FormatRange(1, 3) == formats.SUPPORTED


def test_announced_formats_are_not_rewritten_while_unchanged() -> None:
    # The key with the announced formats must not use up the store's write budget.
    cluster = SimulatedCluster()
    cluster.run(60.0)
    _, version, _ = cluster.state.rows["formats"]
    cluster.run(60.0)
    assert cluster.state.rows["formats"][1] == version


# How production treats what it doesn't know: the table in docs/upgrade.md


def replay_in_production(items: list[Any]) -> str:
    """Returns how production treats a stored record that follows a job with one of its two tasks
    placed: the name of the exception, `ignored` or `taken`.
    """
    state = production.adapt_to_current_names(production.load_module("ledger.book").Book())
    job = msgspec.to_builtins(batch("j-000001", 2))
    state.replay(["J", 1, 1.0, *job], 1)
    state.replay(["P", 1, 0, 1, "n-000001", "a"], 1)
    before = get_job_contents(state)
    try:
        state.replay(items, 1)
    except Exception as fault:
        return type(fault).__name__
    return "ignored" if get_job_contents(state) == before else "taken"


@pytest.mark.parametrize(
    ("items", "outcome"),
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
def test_production_applies_ignores_or_refuses_a_record(items: list[Any], outcome: str) -> None:
    # After a rollback, production reads records of newer forms: the table must be right about which
    # it applies, ignores or refuses. Production logs a record that it refuses as `ledger_damaged`,
    # and serves nothing.
    assert replay_in_production(items) == outcome


def test_production_ignores_unknown_frames_and_fields() -> None:
    # During a rolling upgrade, production receives frames and fields that newer controllers send:
    # neither its term nor its tasks may be affected.
    cluster = UpgradingCluster(seed=5)
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(20.0)
    node = cluster.nodes[cluster.leader() or ""]
    peer = next(name for name in NODES if name != cluster.leader())
    term = node.election.term
    node._receive(peer, {"k": "alive", "t": term, "m": ["n-000000"]})
    node._receive(peer, {"k": "novelty", "x": [1, 2]})
    node.election.on_heartbeat(peer, {"k": "hb", "term": term, "leader": None, "formats": [1, 2]})
    cluster.run(5.0)
    assert node.election.term == term
    assert cluster.count("j-000001") == 2
