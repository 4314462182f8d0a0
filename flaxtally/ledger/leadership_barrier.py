"""A read barrier: leadership is confirmed after a request came.

An answer that may still change may only be given by a controller that leads *after* the request
came. A transaction that only compares the leader key's version, sent after it, shows that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clients.key_value_store import KeyValueStore, Outcome
from ..cluster.leader_key import LEADER_KEY
from ..runtime.actor import Actor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Runtime


class _Request:
    """A request to confirm leadership, until it is answered once."""

    __slots__ = ("_on_done",)

    def __init__(self, on_done: Callable[[bool], None]) -> None:
        self._on_done: Callable[[bool], None] | None = on_done

    @property
    def is_answered(self) -> bool:
        """Whether it was answered."""
        return self._on_done is None

    def answer(self, *, is_leading: bool) -> None:
        """Answers the request, unless it was answered before."""
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            on_done(is_leading)


class LeadershipBarrier(Actor):
    """Owns the requests to confirm leadership under one version of the leader key.

    One transaction is under way at a time and serves all requests that came before it was sent.
    """

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        leader_key_version: int,
        first_call_timeout_s: float,
        batching_delay_s: float,
        on_leadership_lost: Callable[[], None],
    ) -> None:
        """`on_leadership_lost` is called when somebody else leads."""
        super().__init__(runtime)
        self._store = store
        self._leader_key_version = leader_key_version
        self._on_leadership_lost = on_leadership_lost
        self._first_call_s = first_call_timeout_s
        self._gather_s = batching_delay_s
        self._waiting: list[_Request] = []
        self._is_open = True
        self._is_asking = False
        self._round = 0

    def confirm(self, on_done: Callable[[bool], None]) -> None:
        """`on_done(True)` once a transaction sent after this call shows that we lead."""
        self._waiting.append(_Request(on_done))
        if not self._is_asking:
            self._is_asking = True
            self.later(self._gather_s / 2, self._ask)

    def close(self) -> None:
        """The version is none of ours any more: requests are answered that it is not sure."""
        self._is_open = False
        waiting = self._waiting
        self._waiting = []
        for request in waiting:
            request.answer(is_leading=False)

    def _ask(self) -> None:
        if not self._is_open:
            return
        asked = self._waiting
        self._waiting = []
        number = self._round

        def on_reply(outcome: Outcome, _: int) -> None:
            timer.cancel()
            self._on_reply(number, asked, outcome)

        timer = self.later(self._first_call_s, self._on_unanswered, number, asked)
        self._store.compare_and_swap({LEADER_KEY: self._leader_key_version}, {}, [], on_reply)

    def _on_reply(self, number: int, asked: list[_Request], outcome: Outcome) -> None:
        for request in asked:
            request.answer(is_leading=self._is_open and outcome is Outcome.COMMITTED)
        if self._is_open and outcome is Outcome.CONFLICT:
            self._on_leadership_lost()
        else:
            self._next_round(number)

    def _on_unanswered(self, number: int, asked: list[_Request]) -> None:
        """The answer may be lost: it is asked again for them and whoever came since.

        An answer that comes later still counts.
        """
        if self._is_open and number == self._round:
            self._waiting = [each for each in asked if not each.is_answered] + self._waiting
            self._next_round(number)

    def _next_round(self, number: int) -> None:
        if not self._is_open or number != self._round:
            return
        self._round += 1
        if self._waiting:
            self.later(self._gather_s, self._ask)
        else:
            self._is_asking = False
