"""The life of a recall, and what is to be done next about it. Pure.

A *recall* makes room for one waiting task that is entitled to it, by stopping borrowed tasks on one
machine before a deadline. What is stored of it is said in `ledger.reclaims`; all else follows from
what the leader sees, so that a successor finds each recall in its state.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Step(enum.Enum):
    """What the leader does next about a recall."""

    WAIT = "wait"
    STOP = "stop"
    """Tell the borrowed tasks to stop, with the grace period that they need to save."""
    FORCE = "force"
    """Tell them again, without a grace period: the deadline is near."""
    SEEK = "seek"
    """The machine can't give the room: look for it elsewhere, with the same deadline."""
    WITHDRAW = "withdraw"
    """Nobody needs the room any more: who was not told yet stays."""
    GIVE_UP = "give up"
    """It is long overdue: the demand is looked at anew."""


@dataclass(frozen=True)
class Times:
    """Seconds that decide about the steps."""

    repeat: float
    """A stop without an effect is sent again after that."""
    stop: float
    """From a stop without a grace period until its proof."""
    overdue: float
    """After the deadline, when the recall is given up."""


@dataclass(frozen=True)
class Situation:
    """What the leader sees of a recall that is committed."""

    is_wanted: bool
    """The demand still waits for this room, and is entitled to it."""
    machine_answers: bool
    """New work can be placed on the machine."""
    borrowed_left: int
    """Tasks to be stopped that are not proven over."""
    since_told: float | None
    """Seconds since the last stop was sent in this term; None: none was."""
    is_forced: bool
    until_deadline: float
    longest_save: float
    """Of the tasks that are left."""


def next_step(situation: Situation, times: Times) -> Step:
    """The next step of a recall."""
    if not situation.is_wanted:
        return Step.WITHDRAW
    if situation.until_deadline < -times.overdue:
        return Step.GIVE_UP
    if not situation.machine_answers:
        return Step.SEEK
    if not situation.borrowed_left:
        return Step.WAIT
    if situation.since_told is None:
        saves_in_time = situation.longest_save + times.stop <= situation.until_deadline
        return Step.STOP if saves_in_time else Step.FORCE
    if situation.until_deadline < times.stop and not situation.is_forced:
        return Step.FORCE
    if situation.is_forced:
        return Step.FORCE if situation.since_told >= times.repeat else Step.WAIT
    is_due = situation.since_told >= times.repeat + situation.longest_save
    return Step.STOP if is_due else Step.WAIT
