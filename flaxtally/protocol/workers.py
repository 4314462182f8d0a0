"""Messages between controllers and workers: heartbeats, commands and the replies to both."""

from __future__ import annotations

from typing import Any

import msgspec

from .vocabulary import FORGET, LAUNCH, STOP


class TaskStatus(msgspec.Struct, rename={"task": "hand", "attempt": "try", "state": "stage"}):
    """One task in a worker's heartbeat."""

    task: str
    attempt: int
    state: str
    cause: str | None = None
    kept: bool = False
    """Whether a checkpoint was saved when the task was stopped."""

    @property
    def job_ref(self) -> str:
        """The id of the task's job, as users know it."""
        return self.task.partition("/")[0]


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
    """A worker's heartbeat with its status; also the reply to commands and status queries."""

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
        """Orders the heartbeats of a machine: the newer one has the larger value."""
        return self.incarnation, self.sequence_number


class Command(
    msgspec.Struct,
    omit_defaults=True,
    rename={"task": "hand", "attempt": "try", "grace_s": "leewayS"},
):
    """A command to a worker about one attempt of a task."""

    verb: str
    task: str
    attempt: int
    grace_s: float | None = None
    """Seconds that a task has to save a checkpoint; only in `stop` commands."""


def launch(task: str, attempt: int) -> Command:
    """Returns the command to start an attempt of a task."""
    return Command(LAUNCH, task, attempt)


def stop(task: str, attempt: int, grace_s: float) -> Command:
    """Returns the command to stop an attempt, with the time to save a checkpoint."""
    return Command(STOP, task, attempt, grace_s)


def forget(task: str, attempt: int) -> Command:
    """Returns the command to omit an exited attempt from further heartbeats."""
    return Command(FORGET, task, attempt)


class CommandBatch(
    msgspec.Struct,
    rename={"fencing_token": "baton", "incarnation": "shift", "commands": "orders"},
):
    """Commands that a worker executes unless the token or the incarnation is outdated."""

    fencing_token: int
    incarnation: int
    commands: list[Command]


EncodedBatch = dict[str, Any]
"""A `CommandBatch` with the field names of the wire, as controllers forward it to each other."""


def encode_batch(batch: CommandBatch) -> EncodedBatch:
    """Returns the batch with the field names of the wire."""
    encoded: EncodedBatch = msgspec.to_builtins(batch)
    return encoded


def fencing_token_of(encoded: EncodedBatch) -> object:
    """Returns the fencing token of a batch from another controller; None if it has none."""
    return encoded.get("baton")


class HeartbeatReply(msgspec.Struct, rename={"fencing_token": "baton", "commands": "orders"}):
    """The reply to a heartbeat: it renews the worker's lease.

    Controllers send commands directly, never with this reply, although the protocol allows both.
    """

    fencing_token: int
    commands: list[Command] = []


class Redirect(msgspec.Struct, omit_defaults=True, rename={"controller": "foreman"}):
    """The reply that redirects a worker to a controller; None: to any other one."""

    controller: str | None = None
