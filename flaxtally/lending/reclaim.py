"""The life of a reclaim, and its next step. No I/O.

A *reclaim* makes room for pending tasks that are entitled to it, by stopping borrowed tasks (its
*victims*) on one machine before a deadline. `ledger.reclaims` says what is stored of it; all else
follows from what the leader observes, so that the next leader finds each reclaim in its state.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Step(enum.Enum):
    """What the leader does next about a reclaim."""

    WAIT = "wait"
    STOP = "stop"
    """Stop the victims, with the grace period that they need to save a checkpoint."""
    FORCE = "force"
    """Stop them without a grace period: the deadline is near."""
    MOVE = "move"
    """The machine can't give the capacity: find another one, with the same deadline."""
    WITHDRAW = "withdraw"
    """Nobody needs the capacity any more: victims that were not sent a stop stay."""
    GIVE_UP = "give up"
    """It is long overdue: the demand is considered as if it were new."""


@dataclass(frozen=True)
class ReclaimTimes:
    """Durations that decide about the steps."""

    resend_after_s: float
    """A stop without an effect is sent again after that."""
    stop_s: float
    """From a stop without a grace period until the task is proven to have ended."""
    give_up_after_s: float
    """From the deadline until the reclaim is given up."""


@dataclass(frozen=True)
class ReclaimSituation:
    """What the leader observes of a reclaim that is committed."""

    is_wanted: bool
    """The demand still waits for this capacity, and is entitled to it."""
    can_machine_serve: bool
    """New work can be placed on the machine."""
    remaining_victim_count: int
    """Victims that are not proven to have ended."""
    since_stop_s: float | None
    """Time since the last stop was sent in this term; None: none was."""
    is_forced: bool
    """The last stop gave no grace period."""
    until_deadline_s: float
    """Negative once the deadline has passed."""
    longest_save_s: float
    """Of the remaining victims."""


def next_step(situation: ReclaimSituation, times: ReclaimTimes) -> Step:
    """The next step of a reclaim."""
    if not situation.is_wanted:
        return Step.WITHDRAW
    if situation.until_deadline_s < -times.give_up_after_s:
        return Step.GIVE_UP
    if not situation.can_machine_serve:
        return Step.MOVE
    if not situation.remaining_victim_count:
        return Step.WAIT
    return _next_stop(situation, times)


def _next_stop(situation: ReclaimSituation, times: ReclaimTimes) -> Step:
    """Whether the victims are to be sent a stop now, and which."""
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
