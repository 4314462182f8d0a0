"""Messages to and from users: submissions of jobs and the status of jobs."""

from __future__ import annotations

import math
import re

import msgspec

from .vocabulary import ARRAY, GANG, RANKS, SERVICE

JOB_ID = re.compile(r"j-[0-9]{1,18}\Z")
MAX_TASKS = 100_000
MAX_NAME_LENGTH = 200
MAX_MACHINE_TYPES = 50


class Spec(msgspec.Struct, frozen=True, array_like=True):
    """The specification of a job. Encoded as an array, it is also the form in the ledger."""

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

    @property
    def max_tasks_per_zone(self) -> int:
        """How many tasks of a job that spreads over zones may run in one zone."""
        return (self.tasks + 1) // 2

    @property
    def is_best_effort(self) -> bool:
        """Whether the job has the lowest rank and its tasks run to completion."""
        return self.job_kind == ARRAY and RANKS[self.rank] == RANKS["idle"]


class Submission(
    msgspec.Struct,
    rename={
        "job_class": "lane",
        "team": "crew",
        "job_kind": "craft",
        "tasks": "hands",
        "gpus": "cards",
        "memory_gb": "ramGb",
        "image": "mold",
        "image_gb": "sizeGb",
        "machine_types": "breeds",
        "zone": "yard",
        "one_zone": "samePlace",
        "spread": "scatter",
        "spot": "loaner",
        "estimated_run_s": "reckonS",
        "checkpoint_interval_s": "stashEveryS",
        "checkpoint_save_s": "stashS",
        "deadline": "dueS",
    },
):
    """A job as a user submits it."""

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
    one_zone: bool
    spread: bool
    spot: bool
    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    machine_types: tuple[str, ...] | None = None
    zone: str | None = None
    deadline: float | None = None


class InvalidSubmissionError(Exception):
    """The submission is malformed; the message names the field."""


_submission_decoder = msgspec.msgpack.Decoder(Submission)


def parse_submission(body: bytes) -> Spec:
    """Decodes and checks a submission, or raises `InvalidSubmissionError`.

    Decoding checks the types of the fields; this function also checks their ranges.
    """
    try:
        submission = _submission_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidSubmissionError(str(error)) from None
    _check_identity(submission)
    _check_amounts(submission)
    _check_names(submission)
    return _to_spec(submission)


def _check_identity(submission: Submission) -> None:
    if not JOB_ID.match(submission.ref):
        raise InvalidSubmissionError("ref: not of the form j-000412")
    if submission.job_kind not in (ARRAY, SERVICE, GANG):
        raise InvalidSubmissionError("craft: unknown")
    if submission.rank not in RANKS:
        raise InvalidSubmissionError("rank: unknown")
    if not 1 <= submission.tasks <= MAX_TASKS:
        raise InvalidSubmissionError(f"hands: not within 1 to {MAX_TASKS}")


def _check_amounts(submission: Submission) -> None:
    amounts = (
        submission.cores,
        submission.gpus,
        submission.memory_gb,
        submission.image_gb,
        submission.estimated_run_s,
        submission.checkpoint_interval_s,
        submission.checkpoint_save_s,
        submission.deadline or 0.0,
    )
    if not all(math.isfinite(amount) and amount >= 0 for amount in amounts):
        raise InvalidSubmissionError("an amount is negative or not finite")


def _check_names(submission: Submission) -> None:
    machine_types = submission.machine_types or ()
    names = (
        submission.job_class,
        submission.team,
        submission.image,
        submission.zone or "",
        *machine_types,
    )
    if any(len(name) > MAX_NAME_LENGTH for name in names):
        raise InvalidSubmissionError("a name is too long")
    if len(machine_types) > MAX_MACHINE_TYPES:
        raise InvalidSubmissionError("breeds: too many")


def _to_spec(submission: Submission) -> Spec:
    return Spec(
        submission.ref,
        submission.job_class,
        submission.team,
        submission.job_kind,
        submission.rank,
        submission.tasks,
        submission.cores,
        submission.gpus,
        submission.memory_gb,
        submission.image,
        submission.image_gb,
        submission.machine_types,
        submission.zone,
        submission.one_zone,
        submission.spread,
        submission.spot,
        submission.estimated_run_s,
        submission.checkpoint_interval_s,
        submission.checkpoint_save_s,
        submission.deadline,
    )


def build_submission(spec: Spec) -> Submission:
    """Returns the submission that a user sends for the specification."""
    return Submission(**msgspec.structs.asdict(spec))


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"state": "stage", "attempt": "try"}):
    """The reply to a user's submission, query or cancellation."""

    ref: str
    state: str
    done: int | None = None
    """Number of finished tasks; like `running`, present while the job's details are kept."""
    running: int | None = None
    attempt: int | None = None
    """Newest attempt of a gang; like `waiting`, present while the gang is not terminal."""
    waiting: int | None = None
    """Number of tasks that wait for the other tasks of their gang."""
