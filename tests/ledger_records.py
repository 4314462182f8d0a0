"""Conversions between records and the arrays that are stored, for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from flaxtally.ledger.batch import BatchReader
from flaxtally.ledger.records import BatchPiece, JobAccepted, Record, StoredRecord, decode_record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flaxtally.protocol import wire


def record(*items: Any) -> Record:
    """Returns the record whose stored form has these items."""
    decoded = decode_record(list(items))
    assert not isinstance(decoded, BatchPiece)
    return decoded


def accepted(number: int, accepted_at: float, spec: wire.Spec) -> JobAccepted:
    """Returns the record that accepts a job."""
    return JobAccepted.from_spec(number, accepted_at, spec)


def stored(written: StoredRecord) -> list[Any]:
    """Returns the stored form of the record."""
    items = msgspec.msgpack.decode(msgspec.msgpack.encode(written))
    assert isinstance(items, list)
    return items


def complete_records(read: Iterable[StoredRecord]) -> list[Record]:
    """Returns the records outside of batches, and those of complete batches."""
    reader = BatchReader()
    found: list[Record] = []
    for each in read:
        if isinstance(each, BatchPiece):
            found += [inner for _, inner in reader.read_piece(1, each)]
        else:
            reader.abandon()
            found.append(each)
    return found
