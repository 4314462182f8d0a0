"""Records in the forms in which tests write them down and in which they lie in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from flaxtally.ledger.batch import BatchReader
from flaxtally.ledger.records import BatchPiece, JobAccepted, Record, StoredRecord, decode_record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flaxtally.protocol import wire


def record(*items: Any) -> Record:
    """The record whose stored form has these items."""
    decoded = decode_record(list(items))
    assert not isinstance(decoded, BatchPiece)
    return decoded


def accepted(number: int, accepted_at: float, spec: wire.Spec) -> JobAccepted:
    """The record that accepts a job."""
    return JobAccepted.from_spec(number, accepted_at, spec)


def stored(written: StoredRecord) -> list[Any]:
    """The form of the record that lies in the store."""
    items = msgspec.msgpack.decode(msgspec.msgpack.encode(written))
    assert isinstance(items, list)
    return items


def complete_records(read: Iterable[StoredRecord]) -> list[Record]:
    """What the records say by themselves, and those of batches that are whole."""
    reader = BatchReader()
    found: list[Record] = []
    for each in read:
        if isinstance(each, BatchPiece):
            found += [inner for _, inner in reader.read_piece(1, each)]
        else:
            reader.abandon()
            found.append(each)
    return found
