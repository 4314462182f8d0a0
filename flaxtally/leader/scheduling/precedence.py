"""The precedence of jobs: one order for the queue, for preemption and for reservations."""

from __future__ import annotations

from typing import NamedTuple


class Precedence(NamedTuple):
    """A job's precedence over others; its fields are compared in order, and the lower one precedes.

    It decides who is placed first, who may stop whom, and whom a reservation keeps out. If these
    had different answers, two jobs could stop each other for ever.
    """

    is_over_quota: bool
    """Whether the job is over its team's quota: others must not wait for it if they are within
    theirs, whatever their rank.
    """
    rank: int
    """The index of the job's rank; 0 is the highest."""
