"""Values of fields on the wire: kinds, ranks, states, causes and verbs."""

from __future__ import annotations

# Kinds of jobs

ARRAY = "array"
SERVICE = "daemon"
GANG = "group"

RANKS = {"critical": 0, "high": 1, "standard": 2, "idle": 3}
"""Priorities by name; a smaller number is scheduled first."""

# States of jobs; `RUNNING` is also a state of tasks and machines

PENDING = "pending"
RUNNING = "running"
DONE = "done"
ABORTED = "aborted"

# States of tasks

FETCHING = "fetching"
WAITING = "waiting"
FLUSHING = "flushing"
EXITED = "exited"
TASK_STATES = frozenset({FETCHING, WAITING, RUNNING, FLUSHING, EXITED})

# Causes of a task's exit

CAUSE_DONE = "done"
CAUSE_ERROR = "error"
CAUSE_FULL = "full"
CAUSE_IN_USE = "in_use"
CAUSE_UNKNOWN = "unknown"
CAUSE_HALTED = "halted"
CAUSE_PEER_LOST = "mates_gone"
"""Cause for a task of a gang: another task of the gang was lost."""
CAUSE_INCOMPLETE = "incomplete"
"""Cause for a task of a gang: the gang was not complete in time."""
CAUSES = frozenset(
    {
        CAUSE_DONE,
        CAUSE_ERROR,
        CAUSE_FULL,
        CAUSE_IN_USE,
        CAUSE_UNKNOWN,
        CAUSE_HALTED,
        CAUSE_PEER_LOST,
        CAUSE_INCOMPLETE,
    }
)

# States of machines in the cloud's list

FAILED = "failed"
BOOTING = "booting"

# Verbs of commands

LAUNCH = "launch"
STOP = "stop"
FORGET = "reap"
