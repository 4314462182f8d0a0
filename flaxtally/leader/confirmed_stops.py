"""Stop commands that are sent once leadership is confirmed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from .term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ledger.placement import Placement
    from .stopping_tasks import StoppingTasks


class UnconfirmedStop(NamedTuple):
    """A stop command that is sent once leadership is confirmed."""

    placement: Placement
    grace_s: float
    is_first: bool
    """Whether the task did not count as stopping before."""


class ConfirmedStops(TermActor):
    """Owns the stops that wait for confirmation: decisions of the leader that no record commands.

    A machine refuses the commands of a former leader only after it has heard of the successor.
    """

    def __init__(
        self,
        term: Term,
        stopping_tasks: StoppingTasks,
        send: Callable[[Placement, float], None],
    ) -> None:
        """Starts without stops; `send` sends a confirmed one with its grace period, in seconds."""
        super().__init__(term)
        self._stopping_tasks = stopping_tasks
        self._send = send
        self._waiting: list[UnconfirmedStop] = []
        """The stops whose confirmation is to be requested."""

    @property
    def is_waiting(self) -> bool:
        """Whether there are stops whose confirmation is to be requested."""
        return bool(self._waiting)

    def add(self, stop: UnconfirmedStop) -> None:
        """Adds a stop, to be confirmed with the others of this iteration of the event loop."""
        self._waiting.append(stop)

    def request_confirmation(self) -> None:
        """Has leadership confirmed, then sends the stops or withdraws them."""
        stops = self._waiting
        self._waiting = []
        if stops:
            self.term.authority.confirm(
                partial(self._send_stops, stops), partial(self._withdraw_stops, stops)
            )

    def _send_stops(self, stops: list[UnconfirmedStop]) -> None:
        for stop in stops:
            # Otherwise the attempt was proven finished while the stop was not confirmed.
            if stop.placement.is_current:
                self._send(stop.placement, stop.grace_s)

    def _withdraw_stops(self, stops: list[UnconfirmedStop]) -> None:
        """Forgets stops that this controller may not be entitled to send: nothing was sent."""
        for stop in stops:
            if stop.is_first and stop.placement.is_current:
                self._stopping_tasks.unmark_unless_saving(stop.placement)
