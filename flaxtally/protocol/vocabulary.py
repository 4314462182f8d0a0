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
"""The task waits for the other tasks of its gang."""
FLUSHING = "flushing"
"""The task saves a checkpoint before it exits."""
EXITED = "exited"
TASK_STATES = frozenset({FETCHING, WAITING, RUNNING, FLUSHING, EXITED})

# Causes of a task's exit

CAUSE_DONE = "done"
CAUSE_ERROR = "error"
CAUSE_FULL = "full"
"""The machine lacks free capacity for the task."""
CAUSE_IN_USE = "in_use"
"""Another attempt of the task runs on the machine."""
CAUSE_UNKNOWN = "unknown"
"""The worker does not know the job."""
CAUSE_HALTED = "halted"
"""The task was stopped by a command."""
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
"""Verb of the command to omit an exited attempt from further heartbeats."""
