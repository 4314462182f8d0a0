"""Leadership confirmed after a question was asked.

An answer that is not final may only be given by a controller that leads *after* the question came.
A compare-only transaction on the leader key's version, sent after it, shows that.
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
    """Who wants leadership confirmed, until it is told once."""

    __slots__ = ("done",)

    def __init__(self, done: Callable[[bool], None]) -> None:
        self.done: Callable[[bool], None] | None = done

    def tell(self, leading: bool) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(leading)


class LeadershipBarrier(Actor):
    """Owns the requests to confirm leadership under one version of the leader key.

    One transaction is under way at a time and serves all who asked before it was sent. `lost` is
    called when somebody else leads.
    """

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        version: int,
        first_call: float,
        gather: float,
        lost: Callable[[], None],
    ) -> None:
        super().__init__(runtime)
        self._store, self._version, self._lost = store, version, lost
        self._first_call, self._gather = first_call, gather
        self._waiting: list[_Request] = []
        self._open = True
        self._asking = False
        self._round = 0

    def confirm(self, done: Callable[[bool], None]) -> None:
        """`done(True)` once a transaction sent after this call shows that this node leads."""
        self._waiting.append(_Request(done))
        if not self._asking:
            self._asking = True
            self.later(self._gather / 2, self._ask)

    def close(self) -> None:
        """The version is none of ours any more: who waits is told that leadership is not sure."""
        self._open = False
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            request.tell(False)

    def _ask(self) -> None:
        if not self._open:
            return
        asked, self._waiting = self._waiting, []
        number = self._round

        def told(outcome: Outcome, _: int) -> None:
            timer.cancel()
            for request in asked:
                request.tell(self._open and outcome is Outcome.COMMITTED)
            if self._open and outcome is Outcome.CONFLICT:
                self._lost()
            else:
                self._next_round(number)

        def unanswered() -> None:
            # The answer may be lost: they are asked for again with whoever came since. An answer
            # still counts.
            if self._open and number == self._round:
                self._waiting = [
                    request for request in asked if request.done is not None
                ] + self._waiting
                self._next_round(number)

        timer = self.later(self._first_call, unanswered)
        self._store.compare_and_swap({LEADER_KEY: self._version}, {}, [], told)

    def _next_round(self, number: int) -> None:
        if not self._open or number != self._round:
            return
        self._round += 1
        if self._waiting:
            self.later(self._gather, self._ask)
        else:
            self._asking = False
