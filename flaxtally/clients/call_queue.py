"""The queue of calls to the cloud: urgent calls first, within the rate limit, under a guard.

The cloud fences nothing: it executes what any controller asks. A call that changes machines is
therefore checked with a guard at the moment at which it would be sent, however long it was queued.
"""

from __future__ import annotations

import enum
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from ..runtime.http import Client, Reply
from ..runtime.token_bucket import TokenBucket

if TYPE_CHECKING:
    from ..protocol.cloud import ProvisionRequest, TerminateRequest
    from ..runtime.loop import Address, Runtime

ChangeGuard = Callable[[Callable[[], None], Callable[[], None]], None]
"""Calls the first callback if a call that changes machines may be sent now, else the second."""

MAX_CONNECTIONS = 3
CALL_RATE_FRACTION = 0.9
"""Fraction of the cloud's limit of calls per second that is used."""
NOT_SENT = Reply(503)
"""Stands for the reply to a call that the guard kept back: like in an outage, nothing was done."""


class Priority(enum.IntEnum):
    """Priority of a queued call; the smallest value is sent first."""

    TERMINATE = 0
    PROVISION = 1
    LIST = 2


@dataclass(frozen=True)
class CloudCall:
    """A call, and the callback for its reply."""

    priority: Priority
    method: str
    path: str
    body: ProvisionRequest | TerminateRequest | None
    on_reply: Callable[[Reply], None]

    @property
    def changes_machines(self) -> bool:
        """Whether the call provisions or terminates machines."""
        return self.priority is not Priority.LIST


@dataclass(order=True, frozen=True)
class _QueueEntry:
    """A queued call; calls of one priority are sent in the order in which they were queued."""

    priority: Priority
    sequence_number: int
    call: CloudCall = field(compare=False)


@dataclass(eq=False, frozen=True)
class _Check:
    """A call for which the guard has not answered yet."""

    entry: _QueueEntry


def _allow_all_changes(on_allowed: Callable[[], None], _on_denied: Callable[[], None]) -> None:
    on_allowed()


class CallQueue:
    """Sends calls in the order of their priority; no more at a time than there are connections.

    So no call waits for a connection after the guard has allowed it.
    """

    def __init__(self, runtime: Runtime, address: Address, rps: float, timeout_s: float) -> None:
        """Takes the cloud's address, its limit of calls per second, and the timeout of a call."""
        self._runtime = runtime
        self._timeout_s = timeout_s
        self._client = Client(runtime, address, MAX_CONNECTIONS)
        # Controllers do not share the budget: only the leader calls, and a new leader must not
        # start with a burst, since its predecessor may just have used it.
        self._bucket = TokenBucket(runtime, rps * CALL_RATE_FRACTION, rps)
        self._entries: list[_QueueEntry] = []
        self._sequence_numbers = itertools.count()
        self._checks: set[_Check] = set()
        self._sent_count = 0
        """Number of calls that were sent and have no reply yet."""
        self._is_send_scheduled = False
        self._is_paused = False
        self.guard: ChangeGuard = _allow_all_changes

    def add(self, call: CloudCall) -> None:
        """Sends the call when its turn comes."""
        entry = _QueueEntry(call.priority, next(self._sequence_numbers), call)
        heapq.heappush(self._entries, entry)
        self._send_next()

    @property
    def has_waiting_calls(self) -> bool:
        """Whether a call waits for its turn."""
        return bool(self._entries)

    def drop_calls(self) -> None:
        """Drops the calls that were not sent, without calling back, and ends a pause."""
        self._entries.clear()
        self._checks.clear()
        self._is_paused = False
        self._client.abort_unsent_calls()

    def pause(self) -> None:
        """Sends no calls until `resume`; those that wait keep their order.

        A call whose connection is not established yet fails: it must not be sent when it is.
        """
        self._is_paused = True
        for check in self._checks:
            heapq.heappush(self._entries, check.entry)
        self._checks.clear()
        self._client.abort_unsent_calls()

    def resume(self) -> None:
        """Sends calls again after `pause`."""
        self._is_paused = False
        self._send_next()

    def _send_next(self) -> None:
        self._is_send_scheduled = False
        while self._entries and not self._is_paused and self._open_call_count < MAX_CONNECTIONS:
            wait_s = self._bucket.seconds_until_available(1.0)
            if wait_s > 0:
                self._is_send_scheduled = True
                self._runtime.after(wait_s, self._send_scheduled)
                return
            self._bucket.take(1.0)
            entry = heapq.heappop(self._entries)
            if entry.call.changes_machines:
                self._check(entry)
            else:
                self._send(entry.call)

    @property
    def _open_call_count(self) -> int:
        return len(self._checks) + self._sent_count

    def _send_scheduled(self) -> None:
        if self._is_send_scheduled:
            self._send_next()

    # The guard

    def _check(self, entry: _QueueEntry) -> None:
        check = _Check(entry)
        self._checks.add(check)
        self.guard(partial(self._on_allowed, check), partial(self._on_denied, check))

    def _on_allowed(self, check: _Check) -> None:
        if self._end_check(check):
            self._send(check.entry.call)

    def _on_denied(self, check: _Check) -> None:
        if self._end_check(check):
            check.entry.call.on_reply(NOT_SENT)
            self._send_next()

    def _end_check(self, check: _Check) -> bool:
        """Returns False if the call was dropped, or went back to the queue, since the check."""
        if check not in self._checks:
            return False
        self._checks.remove(check)
        return True

    # The network

    def _send(self, call: CloudCall) -> None:
        def on_reply(reply: Reply) -> None:
            self._sent_count -= 1
            if reply.status == 429:
                self._bucket.empty()
            call.on_reply(reply)
            self._send_next()

        self._sent_count += 1
        self._client.request(call.method, call.path, call.body, self._timeout_s, on_reply)
