"""The protocol's messages. This module alone has the wire's words; all else uses the field's terms.

Each Struct names its fields as the rest of the package does and renames them for the wire.
Decoding checks types; `parse_submission` also checks ranges.
"""

from __future__ import annotations

import math
import re
from typing import Any

import msgspec

JOB_ID = re.compile(r"j-[0-9]{1,18}\Z")
MOST_TASKS = 100_000

WORK, BEAT, ORDERS, STATUS, UP = "/work", "/agent/beat", "/orders", "/status", "/up"
LOANS = "/loans"
"""The operators' page, beyond the protocol."""
CATALOG, RENTALS, RELEASE = "/catalog", "/rentals", "/rentals/release"
STORE, TXN, HOLDS = "/store", "/txn", "/holds"

ARRAY, SERVICE, GANG = "array", "daemon", "group"
RANKS = {"critical": 0, "high": 1, "standard": 2, "idle": 3}
PENDING, RUNNING, DONE, ABORTED = "pending", "running", "done", "aborted"
FETCHING, WAITING, FLUSHING, EXITED = "fetching", "waiting", "flushing", "exited"
TASK_STATES = frozenset({FETCHING, WAITING, RUNNING, FLUSHING, EXITED})
CAUSE_DONE, CAUSE_ERROR, CAUSE_FULL, CAUSE_IN_USE, CAUSE_UNKNOWN = (
    "done",
    "error",
    "full",
    "in_use",
    "unknown",
)
CAUSE_HALTED = "halted"
CAUSE_PEERS, CAUSE_ALONE = "mates_gone", "incomplete"
"""Of a gang's task: another one is gone, or the gang was not complete in time."""
CAUSES = frozenset(
    {
        CAUSE_DONE,
        CAUSE_ERROR,
        CAUSE_FULL,
        CAUSE_IN_USE,
        CAUSE_UNKNOWN,
        CAUSE_HALTED,
        CAUSE_PEERS,
        CAUSE_ALONE,
    }
)
FAILED, BOOTING = "failed", "booting"


class Spec(msgspec.Struct, frozen=True, array_like=True):
    """What a user asked for. As an array it is also the form that the ledger keeps."""

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
    def zone_share(self) -> int:
        """How many tasks of a job that spreads may be in one zone."""
        return (self.tasks + 1) // 2

    @property
    def is_best_effort(self) -> bool:
        """Whether the job is of the lowest rank and runs to an end."""
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
    """A submission as it is sent."""

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


class TaskStatus(msgspec.Struct, rename={"task": "hand", "attempt": "try", "state": "stage"}):
    """One task in a worker's report."""

    task: str
    attempt: int
    state: str
    cause: str | None = None
    kept: bool = False


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine": "rig",
        "machine_type": "breed",
        "zone": "yard",
        "spot": "loaner",
        "incarnation": "shift",
        "sequence_number": "tally",
        "fencing_token": "baton",
        "preemption_notice_s": "warningS",
        "tasks": "hands",
    },
):
    """A worker's report."""

    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    incarnation: int
    sequence_number: int
    fencing_token: int
    tasks: list[TaskStatus]
    preemption_notice_s: float | None = None

    @property
    def recency(self) -> tuple[int, int]:
        """Of two reports of a machine, the one with the larger is the newer."""
        return self.incarnation, self.sequence_number


class MachineType(
    msgspec.Struct,
    rename={
        "name": "label",
        "gpus": "cards",
        "memory_gb": "ramGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "pullGbPerS",
        "hourly_price": "hourly",
        "hourly_spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "yards",
    },
):
    """A machine type of the catalogue."""

    name: str
    cores: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    hourly_price: float
    hourly_spot_price: float
    boot_s: float
    zones: list[str]


class Catalog(msgspec.Struct, rename={"types": "breeds"}):
    """The cloud's machine types."""

    types: list[MachineType]


class Rented(msgspec.Struct, rename={"machines": "rigs"}):
    """The answer to a rental request."""

    machines: list[str]


class Listed(
    msgspec.Struct,
    rename={
        "machine": "ref",
        "machine_type": "breed",
        "zone": "yard",
        "spot": "loaner",
        "state": "stage",
        "age_s": "ageS",
    },
):
    """A machine as the cloud lists it."""

    machine: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    address: str | None = None


class Listing(msgspec.Struct, rename={"machines": "rigs", "more": "hasNext"}):
    """A page of the cloud's list of machines."""

    machines: list[Listed]
    more: bool = False


class Row(msgspec.Struct, rename={"key": "k", "value": "v", "version": "stamp"}):
    """A key of the state service with its value and version."""

    key: str
    value: Any
    version: int


class Rows(msgspec.Struct, rename={"rows": "rows", "more": "hasNext"}):
    """A page of keys."""

    rows: list[Row]
    more: bool = False


class Revision(msgspec.Struct, rename={"revision": "ledger"}):
    """The revision of a change."""

    revision: int


class Lease(msgspec.Struct, rename={"lease": "tenure"}):
    """A lease that was granted."""

    lease: int


class InvalidSubmissionError(Exception):
    """The submission is malformed; the text says which field."""


_submission = msgspec.msgpack.Decoder(Submission)


def parse_submission(body: bytes) -> Spec:
    """Decodes and checks a submission, or raises `InvalidSubmissionError`."""
    try:
        sent = _submission.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise InvalidSubmissionError(str(fault)) from None
    if not JOB_ID.match(sent.ref):
        raise InvalidSubmissionError("ref: not of the form j-000412")
    if sent.job_kind not in (ARRAY, SERVICE, GANG):
        raise InvalidSubmissionError("craft: unknown")
    if sent.rank not in RANKS:
        raise InvalidSubmissionError("rank: unknown")
    if not 1 <= sent.tasks <= MOST_TASKS:
        raise InvalidSubmissionError(f"hands: not within 1 to {MOST_TASKS}")
    amounts = [
        sent.cores,
        sent.gpus,
        sent.memory_gb,
        sent.image_gb,
        sent.estimated_run_s,
        sent.checkpoint_interval_s,
        sent.checkpoint_save_s,
    ]
    amounts.append(sent.deadline or 0.0)
    if not all(math.isfinite(amount) and amount >= 0 for amount in amounts):
        raise InvalidSubmissionError("an amount is negative or not finite")
    if any(
        len(text) > 200
        for text in (
            sent.job_class,
            sent.team,
            sent.image,
            sent.zone or "",
            *(sent.machine_types or ()),
        )
    ):
        raise InvalidSubmissionError("a name is too long")
    if sent.machine_types is not None and len(sent.machine_types) > 50:
        raise InvalidSubmissionError("breeds: too many")
    return Spec(
        sent.ref,
        sent.job_class,
        sent.team,
        sent.job_kind,
        sent.rank,
        sent.tasks,
        sent.cores,
        sent.gpus,
        sent.memory_gb,
        sent.image,
        sent.image_gb,
        sent.machine_types,
        sent.zone,
        sent.one_zone,
        sent.spread,
        sent.spot,
        sent.estimated_run_s,
        sent.checkpoint_interval_s,
        sent.checkpoint_save_s,
        sent.deadline,
    )


def job_status(
    ref: str, stage: str, done: int | None = None, running: int | None = None
) -> dict[str, Any]:
    """What a user is told of a job."""
    status: dict[str, Any] = {"ref": ref, "stage": stage}
    if done is not None:
        status["done"], status["running"] = done, running
    return status


def launch(task: str, attempt: int) -> dict[str, Any]:
    """The order to start an attempt of a task."""
    return {"verb": "launch", "hand": task, "try": attempt}


def stop(task: str, attempt: int, grace: float) -> dict[str, Any]:
    """The order to stop an attempt, with seconds to save."""
    return {"verb": "stop", "hand": task, "try": attempt, "leewayS": grace}


def forget(task: str, attempt: int) -> dict[str, Any]:
    """The order to drop an exited attempt from the reports."""
    return {"verb": "reap", "hand": task, "try": attempt}


def orders_body(token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """Direct orders, under a token and for a session."""
    return {"baton": token, "shift": session, "orders": orders}


def beat_answer(token: int) -> dict[str, Any]:
    """The answer to a report: it renews the lease and gives no orders (those go directly)."""
    return {"baton": token, "orders": []}


def report_elsewhere(node: str | None) -> dict[str, Any]:
    """The answer that sends a worker to another controller, or to any."""
    return {} if node is None else {"foreman": node}


def rental(request: str, kind: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """A rental request; its name must never be used again."""
    return {"hire": request, "breed": kind, "yard": zone, "loaner": spot, "number": count}


def release(machines: list[str]) -> dict[str, Any]:
    """A request to give machines back."""
    return {"rigs": machines}


def txn(
    guards: dict[str, int], puts: dict[str, Any], drops: list[str], lease: int | None = None
) -> dict[str, Any]:
    """A transaction; `lease` is attached to every key that it puts."""
    apply: list[dict[str, Any]] = []
    for key, value in puts.items():
        change: dict[str, Any] = {"put": key, "v": value}
        if lease is not None:
            change["tenure"] = lease
        apply.append(change)
    apply += [{"drop": key} for key in drops]
    body: dict[str, Any] = {
        "guards": [{"k": key, "stamp": version} for key, version in guards.items()]
    }
    if apply:
        body["apply"] = apply
    return body


def hold_body(life: float) -> dict[str, Any]:
    """A request for a lease."""
    return {"lifeMs": int(life * 1000)}


def rows_path(prefix: str, after: str | None, most: int) -> str:
    """The path of a listing of keys."""
    return f"{STORE}?starts={prefix}" + (f"&after={after}" if after else "") + f"&most={most}"


def listing_path(after: str | None, most: int) -> str:
    """The path of a listing of machines."""
    return f"{RENTALS}?most={most}" + (f"&after={after}" if after else "")


# The other side's view, for the stand-ins


class WorkerCommand(
    msgspec.Struct, rename={"task": "hand", "attempt": "try", "grace_s": "leewayS"}
):
    """An order as a worker reads it."""

    verb: str
    task: str
    attempt: int
    grace_s: float = 0.0


class WorkerCommands(msgspec.Struct, rename={"fencing_token": "baton", "incarnation": "shift"}):
    """What a worker gets, as direct orders or as the answer to its report."""

    orders: list[WorkerCommand] = []
    fencing_token: int = 0
    incarnation: int = 0


class Elsewhere(msgspec.Struct, rename={"node": "foreman"}):
    """A redirection as a worker reads it."""

    node: str | None = None


class Guard(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """A condition of a transaction: the key has this version (0: none)."""

    key: str
    version: int


class Change(msgspec.Struct, rename={"value": "v", "lease": "tenure"}):
    """A put or a drop of a transaction."""

    put: str | None = None
    value: Any = None
    lease: int | None = None
    drop: str | None = None


class Txn(msgspec.Struct):
    """A transaction as the state service reads it."""

    guards: list[Guard] = []
    apply: list[Change] = []


class Rental(
    msgspec.Struct,
    rename={
        "request": "hire",
        "type": "breed",
        "zone": "yard",
        "spot": "loaner",
        "count": "number",
    },
):
    """A rental request as the cloud reads it."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class Release(msgspec.Struct, rename={"machines": "rigs"}):
    """A release as the cloud reads it."""

    machines: list[str]


class Life(msgspec.Struct, rename={"milliseconds": "lifeMs"}):
    """A lease's length as the state service reads it."""

    milliseconds: int


LAUNCH, STOP, FORGET = "launch", "stop", "reap"


def submission(spec: Spec) -> Submission:
    """The submission that a user sends for this."""
    return Submission(**msgspec.structs.asdict(spec))
