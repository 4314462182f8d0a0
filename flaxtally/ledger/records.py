"""The records of the ledger: one struct a kind, encoded as the array that lies in the store. Pure.

The first item of an array is the tag of its kind:

    J  number, accepted at, *spec   a job was accepted, or a snapshot of it begins
    P  job, task, attempt, machine, zone   a task was placed
    E  job, task, attempt, has result   an attempt ended
    C  job                          the user cancelled the job
    T  job, runs                    snapshot: [first, count, attempt, is done] of tasks not placed
    F  job, ref, stage              a terminal job, all that is kept of it
    K  types                        the cloud's machine types, for leaders that begin in an outage

Since format 2 (`protocol.formats`), and never before a record V says so:

    V  format                       all controllers read records of this format
    B  first, last, records         a piece of a batch (`ledger.batch`)
    K  types, more                  with more: in addition to those of the records before
    P, E of gangs                   a lost task of a gang that has not begun may be placed again
                                    with the attempt number of its gang; one task that is done
                                    ends the job

Since format 3 (`ledger.reclaims`):

    R  number, lender, job, machine, at, deadline, tasks, [[job, task, attempt], …]
                                    a reclaim begins, or goes on elsewhere
    X  number                       a reclaim is over
    A  team, borrows since, borrowed core s, GPU s, lent core s, GPU s, met, late
                                    the account of a team, in place of its earlier one

A record with items that its kind doesn't have is refused, except J: older controllers pass over
further items of a spec, and so does this one. `docs/upgrade.md` has the table.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..protocol import wire


class InvalidRecordError(Exception):
    """A record is malformed or breaks an invariant; it must not be committed.

    On replay: a damaged ledger.
    """


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, gc=False, tag="J"):
    """A job was accepted, or a snapshot of it begins. From `ref` on these are the spec's items."""

    number: int
    accepted_at: float
    ref: str
    job_class: str
    team: str
    job_kind: str
    rank: str
    tasks: int
    cores: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    machine_types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    deadline: float | None

    @classmethod
    def from_spec(cls, number: int, accepted_at: float, spec: wire.Spec) -> JobAccepted:
        """The record that accepts a job of that specification."""
        return cls(number, accepted_at, *msgspec.structs.astuple(spec))

    @property
    def spec(self) -> wire.Spec:
        """What the user asked for."""
        return wire.Spec(*msgspec.structs.astuple(self)[2:])


class TaskRun(msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True):
    """Tasks that follow each other and are alike. It is part of a record, so it has no tag."""

    first: int
    count: int
    attempt: int
    is_done: bool


class TasksRestored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="T"
):
    """Snapshot: tasks of a job that have been placed before and are not placed now."""

    job: int
    runs: list[TaskRun]


class TaskPlaced(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="P"
):
    """A task was placed on a machine."""

    job: int
    task: int
    attempt: int
    machine: str
    zone: str


class AttemptEnded(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="E"
):
    """An attempt is proven to have ended."""

    job: int
    task: int
    attempt: int
    is_done: bool
    """It ended with the task's result."""


class JobCancelled(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="C"
):
    """The user cancelled the job."""

    job: int


class JobTerminated(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="F"
):
    """A terminal job: all that is kept of it."""

    job: int
    """0: its number is no longer known."""
    ref: str
    stage: str


class CatalogStored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="K"
):
    """The cloud's machine types, in place of the earlier ones."""

    types: list[Any]


class CatalogPartStored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="K"
):
    """Some of the cloud's machine types, where they don't all fit into one record."""

    types: list[Any]
    is_continuation: bool
    """In addition to those of the records before."""


class FormatRaised(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="V"
):
    """All controllers read records of this format."""

    format: int


class ReclaimStarted(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="R"
):
    """A reclaim of borrowed quota begins, goes on elsewhere, or is rewritten."""

    number: int
    lender: str
    job: int
    machine: str
    decided_at: float
    deadline: float
    tasks: int
    attempts: tuple[tuple[int, int, int], ...]
    """The attempts of borrowers that it stops: job, task, attempt."""


class ReclaimFinished(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="X"
):
    """A reclaim is over."""

    number: int


class LoanAccountStored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="A"
):
    """The account of a team, in place of its earlier one."""

    team: str
    borrows_since: float
    borrowed_core_seconds: float
    borrowed_gpu_seconds: float
    lent_core_seconds: float
    lent_gpu_seconds: float
    met: int
    late: int


JobRecord = TasksRestored | TaskPlaced | AttemptEnded | JobCancelled
"""Records about a job that an earlier record accepted."""
JOB_RECORDS = (TasksRestored, TaskPlaced, AttemptEnded, JobCancelled)
Record = (
    JobAccepted
    | JobRecord
    | JobTerminated
    | CatalogStored
    | CatalogPartStored
    | FormatRaised
    | ReclaimStarted
    | ReclaimFinished
    | LoanAccountStored
)
"""A record that says something by itself."""


class BatchPiece(msgspec.Struct, frozen=True, array_like=True, gc=False, tag="B"):
    """A piece of a batch: its records count once its last piece is read (`ledger.batch`)."""

    is_first: bool
    is_last: bool
    records: list[Record]


StoredRecord = Record | BatchPiece
"""An item of a page."""

_BATCH_TAG = "B"
_CATALOG_PART_ITEMS = 3
_KINDS_BY_TAG: dict[str, type[Record]] = {
    "J": JobAccepted,
    "T": TasksRestored,
    "P": TaskPlaced,
    "E": AttemptEnded,
    "C": JobCancelled,
    "F": JobTerminated,
    "V": FormatRaised,
    "R": ReclaimStarted,
    "X": ReclaimFinished,
    "A": LoanAccountStored,
}
"""The kinds that alone have their tag. Two share K, and a B holds other records."""


class _StoredPiece(msgspec.Struct, array_like=True, forbid_unknown_fields=True, tag=_BATCH_TAG):
    """A piece of a batch whose records are not decoded yet."""

    is_first: bool
    is_last: bool
    records: list[Any]


def record_size(record: StoredRecord) -> int:
    """Bytes that the record takes in a page, with the comma that follows it."""
    return len(msgspec.json.encode(record)) + 1


def decode_record(stored: Any) -> StoredRecord:
    """The record that an item of a page says; raises `InvalidRecordError` if it says none."""
    try:
        kind = _KINDS_BY_TAG.get(stored[0])
        if kind is not None:
            return msgspec.convert(stored, kind)
        if stored[0] == _BATCH_TAG:
            return _decode_piece(stored)
        return _decode_catalog(stored)
    except (msgspec.ValidationError, LookupError, TypeError) as fault:
        raise InvalidRecordError(f"no record: {fault}") from fault


def _decode_catalog(stored: Any) -> CatalogStored | CatalogPartStored:
    """The two kinds that share a tag differ in their lengths."""
    if len(stored) == _CATALOG_PART_ITEMS:
        return msgspec.convert(stored, CatalogPartStored)
    return msgspec.convert(stored, CatalogStored)


def _decode_piece(stored: Any) -> BatchPiece:
    """A piece of a batch; a batch in it is refused like any unknown tag."""
    piece = msgspec.convert(stored, _StoredPiece)
    records: list[Record] = []
    for inner in piece.records:
        kind = _KINDS_BY_TAG.get(inner[0])
        records.append(_decode_catalog(inner) if kind is None else msgspec.convert(inner, kind))
    return BatchPiece(piece.is_first, piece.is_last, records)
