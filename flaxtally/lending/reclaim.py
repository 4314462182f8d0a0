"""The states of a reclaim, and its next step. Performs no I/O.

A *reclaim* frees capacity for pending tasks that are entitled to it, by stopping borrowed tasks
(its *victims*) on one machine before a deadline. `ledger.reclaims` defines what is stored of it.
Everything else is derived from what the leader observes, so that the next leader can continue it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Step(enum.Enum):
    """The next action of the leader for a reclaim."""

    WAIT = "wait"
    STOP = "stop"
    """Stop the victims, with the grace period that they need to save a checkpoint."""
    FORCE = "force"
    """Stop the victims without a grace period: the deadline is near."""
    MOVE = "move"
    """The machine can't provide the capacity: find another one, with the same deadline."""
    WITHDRAW = "withdraw"
    """The capacity is no longer needed: victims that were not commanded to stop keep running."""
    GIVE_UP = "give up"
    """The reclaim is long overdue: it is dropped, and the demand is treated as new."""


@dataclass(frozen=True)
class ReclaimTimes:
    """The durations on which the choice of a step depends."""

    resend_after_s: float
    """The time after which a stop without effect is sent again."""
    stop_s: float
    """The time from a stop without a grace period until the task is proven to be terminated."""
    give_up_after_s: float
    """The time from the deadline until the reclaim is given up."""


@dataclass(frozen=True)
class ReclaimSituation:
    """The leader's observations of a committed reclaim."""

    is_wanted: bool
    """Whether the demand still waits for this capacity and is entitled to it."""
    can_machine_serve: bool
    """Whether new work can be placed on the machine."""
    remaining_victim_count: int
    """The number of victims that are not proven to be terminated."""
    since_stop_s: float | None
    """The time since the last stop was sent in this term; None: no stop was sent."""
    is_forced: bool
    """Whether the last stop was sent without a grace period."""
    until_deadline_s: float
    """The time until the deadline; negative once it has passed."""
    longest_save_s: float
    """The longest time that a remaining victim needs to save a checkpoint."""


def choose_next_step(situation: ReclaimSituation, times: ReclaimTimes) -> Step:
    """Returns the next step of a reclaim."""
    if not situation.is_wanted:
        return Step.WITHDRAW
    if situation.until_deadline_s < -times.give_up_after_s:
        return Step.GIVE_UP
    if not situation.can_machine_serve:
        return Step.MOVE
    if not situation.remaining_victim_count:
        return Step.WAIT
    return _choose_stop(situation, times)


def _choose_stop(situation: ReclaimSituation, times: ReclaimTimes) -> Step:
    """Returns whether to send the victims a stop now, and with or without a grace period."""
    since_stop_s = situation.since_stop_s
    if since_stop_s is None:
        can_save = situation.longest_save_s + times.stop_s <= situation.until_deadline_s
        return Step.STOP if can_save else Step.FORCE
    if situation.until_deadline_s < times.stop_s and not situation.is_forced:
        return Step.FORCE
    if situation.is_forced:
        return Step.FORCE if since_stop_s >= times.resend_after_s else Step.WAIT
    is_due = since_stop_s >= times.resend_after_s + situation.longest_save_s
    return Step.STOP if is_due else Step.WAIT
