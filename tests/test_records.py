"""Records: decoding and encoding a stored record reproduces its bytes; invalid ones are refused."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, get_type_hints

import msgspec
import pytest

from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.ledger.records import InvalidRecordError, JobAccepted, decode_record, record_size
from flaxtally.ledger.snapshot import build_catalog_records
from flaxtally.protocol import wire

from .ledger_records import accepted, record, stored
from .scenarios import change_leader
from .simulated_cluster import batch, gang, spec
from .simulated_lending import SimulatedLendingCluster
from .simulated_upgrade import UpgradingCluster

FIXTURE = Path(__file__).parent / "fixtures" / "production_ledger.json"
SPEC_ITEMS = msgspec.to_builtins(spec("j-000001"))


def assert_encoded_as_stored(items: list[Any]) -> None:
    """Asserts that the decoded record has the bytes and the size of the items."""
    decoded = decode_record(items)
    assert msgspec.msgpack.encode(decoded) == msgspec.msgpack.encode(items)
    assert msgspec.json.encode(decoded) == msgspec.json.encode(items)
    assert record_size(decoded) == len(msgspec.json.encode(items)) + 1


def stored_records(rows: dict[str, Any]) -> list[list[Any]]:
    """Returns the items of all pages."""
    return [items for key in sorted(rows) if key.startswith("p/") for items in rows[key]["r"]]


def tags(records: list[list[Any]]) -> set[str]:
    """Returns the kinds of the records, including those within batches."""
    inner = [each for items in records if items[0] == "B" for each in items[3]]
    return {items[0] for items in [*records, *inner]}


def test_records_of_the_stored_fixture_are_encoded_as_they_were_stored() -> None:
    # During a rolling upgrade, production reads what this version writes: a record that is encoded
    # in another way than production does it could not be read.
    records = stored_records(json.loads(FIXTURE.read_text())["rows"])
    assert len(records) > 300
    assert tags(records) == {"J", "P", "E", "C", "K"}
    for items in records:
        assert_encoded_as_stored(items)


def test_records_that_production_writes_are_encoded_as_they_were_stored() -> None:
    # The same with records that production's own code writes in a run. Needs production's sources;
    # skipped if the clone lacks their commit.
    cluster = UpgradingCluster(seed=4, upgraded=())
    cluster.run(10.0)
    for number in range(6):
        cluster.submit(spec(f"j-{number:06d}", tasks=3), node=number)
        cluster.submit(batch(f"j-{100 + number:06d}", 12), run_time=6.0, node=number)
    cluster.run(30.0)
    cluster.cancel("j-000001", 0)
    cluster.run(10.0)
    records = stored_records({key: row[0] for key, row in cluster.state.rows.items()})
    assert tags(records) >= {"J", "P", "E", "C"}
    for items in records:
        assert_encoded_as_stored(items)


def test_records_of_a_run_with_loans_and_gangs_are_encoded_as_they_were_stored() -> None:
    # The same with records that this version writes once the format is raised.
    cluster = SimulatedLendingCluster()
    cluster.run(10.0)
    cluster.submit(gang("j-000001", 3, cores=1.0))
    cluster.submit(spec("j-000002", tasks=2))
    cluster.run(20.0)
    change_leader(cluster)
    cluster.run(20.0)
    records = stored_records({key: row[0] for key, row in cluster.state.rows.items()})
    assert tags(records) >= {"J", "P", "V"}
    for items in records:
        assert_encoded_as_stored(items)


@pytest.mark.parametrize(
    "items",
    [
        ["J", 7, 12.5, *SPEC_ITEMS],
        ["P", 7, 0, 1, "n-000001", "a"],
        ["E", 7, 0, 1, True],
        ["C", 7],
        ["T", 7, [[0, 3, 1, False], [4, 1, 0, True]]],
        ["F", 0, "j-000001", "done"],
        ["K", [{"label": "c16"}]],
        ["K", [{"label": "c16"}], False],
        ["K", [{"label": "c16"}], True],
        ["V", 2],
        ["B", True, False, [["C", 7], ["K", [], True], ["F", 0, "j-000001", "aborted"]]],
        ["R", 4, "crew", 1, "n-1", 10.0, 20.5, 1, [[2, 0, 1], [2, 1, 1]]],
        ["X", 4],
        ["A", "crew", 5.0, 1.0, 2.0, 3.0, 4.0, 5, 6],
    ],
)
def test_each_form_of_a_record_is_encoded_as_it_was_stored(items: list[Any]) -> None:
    # Guards against a changed encoding of a form that the runs above may not write.
    assert_encoded_as_stored(items)


def test_an_accepted_job_has_the_items_of_its_specification_in_order() -> None:
    # The record stores the fields of a specification by their position: a field that only one of
    # the two types has would shift all later ones.
    record_fields = list(get_type_hints(JobAccepted).items())
    assert record_fields[2:] == list(get_type_hints(wire.Spec).items())
    job = spec("j-000001", machine_types=("c16", "g8"), deadline=9.5)
    assert accepted(3, 1.5, job).spec == job
    items = json.loads(msgspec.json.encode(job))
    assert stored(accepted(3, 1.5, job)) == ["J", 3, 1.5, *items]


def test_additional_items_of_a_specification_are_ignored() -> None:
    # A newer version may append fields to a specification; its records must stay readable.
    assert record("J", 3, 1.5, *SPEC_ITEMS, "more") == record("J", 3, 1.5, *SPEC_ITEMS)


def test_a_catalog_is_one_record_or_several_that_replace_the_earlier_ones() -> None:
    # A catalog that exceeds a page is stored in several records: if it is replayed again, its
    # machine types must not be added twice.
    types = [{"label": f"type-{number}"} for number in range(4)]
    assert [stored(each) for each in build_catalog_records(types, 4096)] == [["K", types]]
    parts = [stored(each) for each in build_catalog_records(types, 64)]
    assert parts == [["K", [each], index > 0] for index, each in enumerate(types)]
    state = ClusterState()
    for _ in range(2):
        for part in parts:
            state.replay(part, 1)
        assert state.catalog == types


@pytest.mark.parametrize(
    "items",
    [
        None,
        7,
        [],
        ["Q", 1],
        ["P", 1],
        ["P", 1, 1, 1, "n-000001", "a", "more"],
        ["P", 1, "0", 1, "n-000001", "a"],
        ["E", 1, 0, 1, True, "more"],
        ["E", 1, 0, 1],
        ["C"],
        ["T", 1, [[0, 1, 1]]],
        ["J", 3, 1.5, *SPEC_ITEMS[:-1]],
        ["K", [], True, True],
        ["V", "2"],
        ["B", True, True],
        ["B", True, True, [], "more"],
        ["B", True, True, [["B", True, True, []]]],
        ["R", 4, "crew", 1, "n-1", 10.0, 20.5, 1, [[2, 0]]],
        ["A", "crew", 5.0],
    ],
)
def test_an_invalid_record_is_refused(items: Any) -> None:
    # A damaged record must raise the typed error, instead of giving a wrong state or another
    # exception.
    with pytest.raises(InvalidRecordError):
        ClusterState().replay(items, 1)
