"""Read barrier: leadership is confirmed after a request was received.

Before a controller replies with state that may still change, it must prove that it was the leader
after it received the request. A transaction that is sent after that, and only compares the leader
key's version, proves it.
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
    """A request to confirm leadership, which is resolved once."""

    __slots__ = ("_on_done",)

    def __init__(self, on_done: Callable[[bool], None]) -> None:
        self._on_done: Callable[[bool], None] | None = on_done

    @property
    def is_resolved(self) -> bool:
        """Whether the request was resolved."""
        return self._on_done is None

    def resolve(self, *, is_leading: bool) -> None:
        """Calls the request's callback, unless it was resolved before."""
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            on_done(is_leading)


class LeadershipBarrier(Actor):
    """Owns the requests to confirm leadership under one version of the leader key.

    One transaction is in flight at a time and serves all requests received before it was sent.
    """

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        leader_key_version: int,
        first_call_timeout_s: float,
        batching_delay_s: float,
        on_leadership_lost: Callable[[], None],
        on_key_changed: Callable[[], None],
    ) -> None:
        """`on_leadership_lost` is called when another controller leads.

        `on_key_changed` is called if the leader key has changed while this controller writes it.
        """
        super().__init__(runtime)
        self._store = store
        self._leader_key_version = leader_key_version
        self._on_leadership_lost = on_leadership_lost
        self._on_key_changed = on_key_changed
        self._first_call_timeout_s = first_call_timeout_s
        self._batching_delay_s = batching_delay_s
        self._waiting: list[_Request] = []
        self._is_open = True
        self._is_sending = False
        self._is_key_changing = False
        """Whether this controller is writing the leader key itself."""
        self._is_held = False
        """Whether the next round waits until the leader key is written."""
        self._round = 0
        """Number of the transaction that is in flight, or else of the next one."""

    def confirm(self, on_done: Callable[[bool], None]) -> None:
        """Calls `on_done(True)` once a transaction sent after this call proves leadership.

        Calls `on_done(False)` if that transaction fails, or the term ends before.
        """
        self._waiting.append(_Request(on_done))
        if not self._is_sending:
            self._is_sending = True
            self.later(self._batching_delay_s / 2, self._send_round)

    def close(self) -> None:
        """Ends the term: pending requests are resolved as not confirmed."""
        self._is_open = False
        self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        """Resolves the waiting requests as not confirmed."""
        waiting = self._waiting
        self._waiting = []
        for request in waiting:
            request.resolve(is_leading=False)

    def _wait_again(self, requests: list[_Request]) -> None:
        """Puts requests of a round that was sent back before those that came since."""
        self._waiting = [each for each in requests if not each.is_resolved] + self._waiting

    def begin_key_change(self) -> None:
        """From now on a conflict may be due to this controller's own write of the leader key."""
        self._is_key_changing = True

    def complete_key_change(self, leader_key_version: int) -> None:
        """Compares with that version of the leader key, which this controller has written."""
        self._leader_key_version = leader_key_version
        self._is_key_changing = False
        if self._is_held:
            self._is_held = False
            self._send_round()

    def _send_round(self) -> None:
        if not self._is_open:
            return
        key_version = self._leader_key_version
        requests = self._waiting
        self._waiting = []
        round_number = self._round

        def on_reply(outcome: Outcome, _: int) -> None:
            timer.cancel()
            if outcome is Outcome.CONFLICT and self._may_be_own_change(key_version):
                self._repeat_after_key_change(round_number, requests)
            else:
                self._on_reply(round_number, requests, outcome)

        timer = self.later(self._first_call_timeout_s, self._on_timeout, round_number, requests)
        self._store.compare_and_swap({LEADER_KEY: key_version}, {}, [], on_reply)

    def _may_be_own_change(self, key_version: int) -> bool:
        """Whether this controller may have changed the leader key since a round was sent."""
        return self._is_open and (self._is_key_changing or key_version != self._leader_key_version)

    def _repeat_after_key_change(self, round_number: int, requests: list[_Request]) -> None:
        """Sends the requests again once the leader key's new version is known.

        They are not confirmed if that takes too long. Those of a round that timed out have been
        sent again since.
        """
        if round_number != self._round:
            return
        self._wait_again(requests)
        self._round += 1
        if self._is_key_changing:
            self._is_held = True
            self.later(self._first_call_timeout_s, self._give_up_held_round, self._round)
            self._on_key_changed()
        else:
            self.later(self._batching_delay_s / 2, self._send_round)

    def _give_up_held_round(self, round_number: int) -> None:
        if self._is_held and round_number == self._round:
            self._is_held = False
            self._is_sending = False
            self._refuse_waiting()

    def _on_reply(self, round_number: int, requests: list[_Request], outcome: Outcome) -> None:
        is_lost = self._is_open and outcome is Outcome.CONFLICT
        if is_lost:
            # Before the requests are resolved: who gets False may ask whether this controller still
            # leads, or just could not reach the store.
            self._on_leadership_lost()
        for request in requests:
            request.resolve(is_leading=self._is_open and outcome is Outcome.COMMITTED)
        if not is_lost:
            self._start_next_round(round_number)

    def _on_timeout(self, round_number: int, requests: list[_Request]) -> None:
        """Sends the unresolved requests again, with those received since: the reply may be lost.

        A reply that arrives later still counts.
        """
        if self._is_open and round_number == self._round:
            self._wait_again(requests)
            self._start_next_round(round_number)

    def _start_next_round(self, round_number: int) -> None:
        if not self._is_open or round_number != self._round:
            return
        self._round += 1
        if self._waiting:
            self.later(self._batching_delay_s, self._send_round)
        else:
            self._is_sending = False
