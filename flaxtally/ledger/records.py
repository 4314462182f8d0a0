"""The records of the ledger: one struct per kind, stored as an array. Performs no I/O.

The first item of an array is the tag of the kind:

    J  number, accepted at, *spec   a job was accepted, or a snapshot of it begins
    P  job, task, attempt, machine, zone   a task was placed
    E  job, task, attempt, has result   an attempt ended
    C  job                          the user cancelled the job
    T  job, runs                    snapshot: [first, count, attempt, is done] of tasks not placed
    F  job, ref, stage              all that is kept of a terminal job
    K  types                        the cloud's machine types, for leaders elected during an outage

Since format 2 (`protocol.formats`), only after a record V that allows it:

    V  format                       all controllers read records of this format
    B  first, last, records         a piece of a batch (`ledger.batch`)
    K  types, more                  with more: added to those of the preceding records
    P, E of gangs                   a lost task of a gang that has not begun may be placed again
                                    with the attempt number of its gang; one task that is done
                                    ends the job

Since format 3 (`ledger.reclaims`):

    R  number, lender, job, machine, at, deadline, tasks, [[job, task, attempt], …]
                                    a reclaim begins, or moves to another machine
    X  number                       a reclaim is finished
    A  team, borrows since, borrowed core s, GPU s, lent core s, GPU s, met, late
                                    the account of a team, in place of its earlier one

A record with items that its kind doesn't have is refused, except J: older controllers ignore
additional items of a spec, and so does this one. `docs/upgrade.md` has the table.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..protocol import wire


class InvalidRecordError(Exception):
    """A record is malformed or breaks an invariant; it must not be committed.

    On replay it means that the ledger is damaged.
    """


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, gc=False, tag="J"):
    """A job was accepted, or a snapshot of it begins. The fields from `ref` on are the spec's."""

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
        """Returns the record that accepts a job with the specification."""
        return cls(number, accepted_at, *msgspec.structs.astuple(spec))

    @property
    def spec(self) -> wire.Spec:
        """The specification of the job."""
        return wire.Spec(*msgspec.structs.astuple(self)[2:])


class TaskRun(msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True):
    """Consecutive tasks in the same state. It is part of a record, so it has no tag."""

    first: int
    count: int
    attempt: int
    is_done: bool


class TasksRestored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="T"
):
    """Snapshot: tasks of a job that were placed before and are not placed now."""

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
    """Whether it ended with the task's result."""


class JobCancelled(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="C"
):
    """The user cancelled the job."""

    job: int


class JobTerminated(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="F"
):
    """All that is kept of a terminal job."""

    job: int
    """The job's number; 0 if it is no longer known."""
    ref: str
    stage: str


class CatalogStored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="K"
):
    """The cloud's machine types, which replace the earlier ones."""

    types: list[Any]


class CatalogPartStored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="K"
):
    """Some of the cloud's machine types, if they don't all fit into one record."""

    types: list[Any]
    is_continuation: bool
    """Whether these types are added to those of the preceding records."""


class FormatRaised(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="V"
):
    """All controllers read records of this format."""

    format: int


class ReclaimStarted(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="R"
):
    """A reclaim of borrowed quota begins, moves to another machine, or is rewritten."""

    number: int
    lender: str
    job: int
    machine: str
    decided_at: float
    deadline: float
    tasks: int
    attempts: tuple[tuple[int, int, int], ...]
    """The borrowers' attempts that it stops, each as job, task, attempt."""


class ReclaimFinished(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="X"
):
    """A reclaim is finished."""

    number: int


class LoanAccountStored(
    msgspec.Struct, frozen=True, array_like=True, gc=False, forbid_unknown_fields=True, tag="A"
):
    """The account of a team, which replaces its earlier one."""

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
"""A record with a meaning of its own."""


class BatchPiece(msgspec.Struct, frozen=True, array_like=True, gc=False, tag="B"):
    """A piece of a batch; its records apply once the last piece is read (`ledger.batch`)."""

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
"""The kinds with a tag of their own. Two kinds share K, and a B contains other records."""


class _StoredPiece(msgspec.Struct, array_like=True, forbid_unknown_fields=True, tag=_BATCH_TAG):
    """A piece of a batch whose records are not decoded yet."""

    is_first: bool
    is_last: bool
    records: list[Any]


def record_size(record: StoredRecord) -> int:
    """Returns the bytes that the record takes in a page, with the comma that follows it."""
    return len(msgspec.json.encode(record)) + 1


def decode_record(stored: Any) -> StoredRecord:
    """Decodes an item of a page; raises `InvalidRecordError` if it is not a valid record."""
    try:
        kind = _KINDS_BY_TAG.get(stored[0])
        if kind is not None:
            return msgspec.convert(stored, kind)
        if stored[0] == _BATCH_TAG:
            return _decode_piece(stored)
        return _decode_catalog(stored)
    except (msgspec.ValidationError, LookupError, TypeError) as error:
        raise InvalidRecordError(f"not a valid record: {error}") from error


def _decode_catalog(stored: Any) -> CatalogStored | CatalogPartStored:
    """Decodes the two kinds that share a tag; they differ in their lengths."""
    if len(stored) == _CATALOG_PART_ITEMS:
        return msgspec.convert(stored, CatalogPartStored)
    return msgspec.convert(stored, CatalogStored)


def _decode_piece(stored: Any) -> BatchPiece:
    """Decodes a piece of a batch; a batch inside it is refused like any unknown tag."""
    piece = msgspec.convert(stored, _StoredPiece)
    records: list[Record] = []
    for inner in piece.records:
        kind = _KINDS_BY_TAG.get(inner[0])
        records.append(_decode_catalog(inner) if kind is None else msgspec.convert(inner, kind))
    return BatchPiece(piece.is_first, piece.is_last, records)
