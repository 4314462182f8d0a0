"""Client of the cloud: all calls share one budget, and urgent calls are sent first.

The cloud fences nothing: it executes what any controller asks. A call that changes machines is
therefore checked with a guard at the moment at which it would be sent, however long it was queued.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ..protocol import paths
from ..protocol.cloud import (
    ListedMachine,
    MachineList,
    MachineType,
    MachineTypeList,
    ProvisionReply,
    ProvisionRequest,
    TerminateRequest,
)
from ..runtime.http import Client, Reply
from ..runtime.token_bucket import TokenBucket

if TYPE_CHECKING:
    from ..runtime.loop import Address, Runtime

log = logging.getLogger(__name__)

Message = TypeVar("Message")

ChangeGuard = Callable[[Callable[[], None], Callable[[], None]], None]
"""Calls the first callback if a call that changes machines may be sent now, else the second."""

MAX_MACHINES_PER_TERMINATE_CALL = 100
MAX_MACHINES_PER_PROVISION_CALL = 50
MAX_CONNECTIONS = 3
MACHINES_PER_PAGE = 500
CALL_RATE_FRACTION = 0.9
"""Fraction of the cloud's limit of calls per second that this client uses."""

NOT_SENT = Reply(503)
"""Stands for the reply to a call that the guard kept back: like in an outage, nothing was done."""

_machine_type_list_decoder = msgspec.msgpack.Decoder(MachineTypeList)
_provision_reply_decoder = msgspec.msgpack.Decoder(ProvisionReply)
_machine_list_decoder = msgspec.msgpack.Decoder(MachineList)


class ProvisionOutcome(enum.Enum):
    """Outcome of a request for machines."""

    PROVISIONED = enum.auto()
    NO_CAPACITY = enum.auto()
    UNAVAILABLE = enum.auto()
    """Not executed: an outage, or too many calls."""
    INDETERMINATE = enum.auto()
    """No reply: the request may have been executed, or may still be executed."""


class _Priority(enum.IntEnum):
    """Priority of a queued call; the smallest value is sent first."""

    TERMINATE = 0
    PROVISION = 1
    LIST = 2


@dataclass(frozen=True)
class _Request:
    """A call, and the callback for its reply."""

    priority: _Priority
    method: str
    path: str
    body: ProvisionRequest | TerminateRequest | None
    on_reply: Callable[[Reply], None]

    @property
    def changes_machines(self) -> bool:
        """Whether the call provisions or terminates machines."""
        return self.priority is not _Priority.LIST


@dataclass(order=True, frozen=True)
class _QueueEntry:
    """A queued call; calls of one priority are sent in the order in which they were queued."""

    priority: _Priority
    sequence_number: int
    request: _Request = field(compare=False)


def _allow_all_changes(on_allowed: Callable[[], None], _on_denied: Callable[[], None]) -> None:
    on_allowed()


@dataclass(eq=False, frozen=True)
class _Check:
    """A call for which the guard has not answered yet."""

    entry: _QueueEntry


class Cloud:
    """The calls to the cloud.

    `on_done` of a method that lists something gets None when there was no valid reply.
    """

    def __init__(self, runtime: Runtime, address: Address, rps: float, timeout_s: float) -> None:
        """Takes the cloud's address, its limit of calls per second, and the timeout of a call."""
        self._runtime = runtime
        self._timeout_s = timeout_s
        self._client = Client(runtime, address, MAX_CONNECTIONS)
        # Controllers do not share the budget: only the leader calls, and a new leader must not
        # start with a burst, since its predecessor may just have used it.
        self._bucket = TokenBucket(runtime, rps * CALL_RATE_FRACTION, rps)
        self._queue: list[_QueueEntry] = []
        self._sequence_numbers = itertools.count()
        self._checks: set[_Check] = set()
        self._sent_count = 0
        """Number of calls that were sent and have no reply yet."""
        self._guard: ChangeGuard = _allow_all_changes
        self._is_send_scheduled = False
        self._is_paused = False
        self.last_failure_at = float("-inf")
        """When a call last got no reply or was refused."""
        self.last_contact_at = float("-inf")
        """When the cloud last served a call."""

    @property
    def is_failing(self) -> bool:
        """Whether a call failed since the cloud last served one."""
        return self.last_failure_at > self.last_contact_at

    # Calls

    def list_machine_types(self, on_done: Callable[[list[MachineType] | None], None]) -> None:
        """Reads the machine types that the cloud offers."""

        def on_reply(reply: Reply) -> None:
            offered = self._decode(reply, _machine_type_list_decoder)
            on_done(None if offered is None else offered.types)

        self._enqueue(_Request(_Priority.LIST, "GET", paths.MACHINE_TYPES, None, on_reply))

    def provision(
        self,
        request: ProvisionRequest,
        on_done: Callable[[ProvisionOutcome, list[str]], None],
    ) -> None:
        """Requests machines; `on_done` gets the outcome and the names of the new machines."""

        def on_reply(reply: Reply) -> None:
            provisioned = self._decode(reply, _provision_reply_decoder)
            if provisioned is not None:
                on_done(ProvisionOutcome.PROVISIONED, provisioned.machines)
            elif _is_out_of_capacity(reply):
                self.last_contact_at = self._runtime.now()
                on_done(ProvisionOutcome.NO_CAPACITY, [])
            elif reply.status in (429, 503):
                on_done(ProvisionOutcome.UNAVAILABLE, [])
            else:
                on_done(ProvisionOutcome.INDETERMINATE, [])

        self._enqueue(_Request(_Priority.PROVISION, "POST", paths.MACHINES, request, on_reply))

    def terminate(self, machines: list[str], on_done: Callable[[bool], None]) -> None:
        """Terminates machines.

        `on_done` gets True only after status 200: the machines and all that ran on them are gone.
        """

        def on_reply(reply: Reply) -> None:
            is_terminated = reply.status == 200
            if is_terminated:
                self.last_contact_at = self._runtime.now()
            on_done(is_terminated)

        body = TerminateRequest(machines)
        self._enqueue(_Request(_Priority.TERMINATE, "POST", paths.TERMINATE, body, on_reply))

    def list_machines(self, on_done: Callable[[list[ListedMachine] | None], None]) -> None:
        """Reads the list of machines, page by page; None when a page can't be read."""
        found: list[ListedMachine] = []

        def on_reply(reply: Reply) -> None:
            page = self._decode(reply, _machine_list_decoder)
            if page is None:
                on_done(None)
                return
            found.extend(page.machines)
            if page.more and page.machines:
                request_page(page.machines[-1].machine)
            else:
                on_done(found)

        def request_page(after: str | None) -> None:
            path = paths.build_machine_list_path(after, MACHINES_PER_PAGE)
            self._enqueue(_Request(_Priority.LIST, "GET", path, None, on_reply))

        request_page(None)

    # Control of the queue

    def guard_changes(self, guard: ChangeGuard) -> None:
        """Asks `guard` before each call that changes machines is sent.

        A call that it keeps back has the outcome of one that was not executed.
        """
        self._guard = guard

    def drop_queued_calls(self) -> None:
        """Drops the queued calls when a term of leadership begins or ends, and ends a pause."""
        self._queue.clear()
        self._checks.clear()
        self._is_paused = False
        self._client.abort_unsent_calls()

    def pause_calls(self) -> None:
        """Pauses the sending of calls until `resume`; queued calls keep their order.

        A call whose connection is not established yet fails: it must not be sent when it is.
        """
        self._is_paused = True
        for check in self._checks:
            heapq.heappush(self._queue, check.entry)
        self._checks.clear()
        self._client.abort_unsent_calls()

    def resume(self) -> None:
        """Sends calls again after `pause_calls`."""
        self._is_paused = False
        self._send_queued()

    # Sending and replies

    def _enqueue(self, request: _Request) -> None:
        entry = _QueueEntry(request.priority, next(self._sequence_numbers), request)
        heapq.heappush(self._queue, entry)
        self._send_queued()

    def _send_queued(self) -> None:
        self._is_send_scheduled = False
        # No call waits for a connection behind the guard: it would be sent long after the check.
        while self._queue and not self._is_paused and self._open_call_count < MAX_CONNECTIONS:
            wait_s = self._bucket.seconds_until_available(1.0)
            if wait_s > 0:
                self._is_send_scheduled = True
                self._runtime.after(wait_s, self._send_scheduled)
                return
            self._bucket.take(1.0)
            entry = heapq.heappop(self._queue)
            if entry.request.changes_machines:
                self._check(entry)
            else:
                self._send(entry.request)

    @property
    def _open_call_count(self) -> int:
        return len(self._checks) + self._sent_count

    def _send_scheduled(self) -> None:
        if self._is_send_scheduled:
            self._send_queued()

    def _check(self, entry: _QueueEntry) -> None:
        check = _Check(entry)
        self._checks.add(check)
        self._guard(partial(self._on_allowed, check), partial(self._on_denied, check))

    def _on_allowed(self, check: _Check) -> None:
        if self._end_check(check):
            self._send(check.entry.request)

    def _on_denied(self, check: _Check) -> None:
        if self._end_check(check):
            check.entry.request.on_reply(NOT_SENT)
            self._send_queued()

    def _end_check(self, check: _Check) -> bool:
        """Returns False if the call was dropped, or went back to the queue, since the check."""
        if check not in self._checks:
            return False
        self._checks.remove(check)
        return True

    def _send(self, request: _Request) -> None:
        def on_reply(reply: Reply) -> None:
            self._sent_count -= 1
            self._record_failure(reply)
            request.on_reply(reply)
            self._send_queued()

        self._sent_count += 1
        self._client.request(request.method, request.path, request.body, self._timeout_s, on_reply)

    def _record_failure(self, reply: Reply) -> None:
        if reply.status == 429:
            self._bucket.empty()
        is_outage = reply.status == 503 and not _is_out_of_capacity(reply)
        if reply.status in (0, 429) or is_outage:
            self.last_failure_at = self._runtime.now()

    def _decode(self, reply: Reply, decoder: msgspec.msgpack.Decoder[Message]) -> Message | None:
        if reply.status != 200:
            return None
        self.last_contact_at = self._runtime.now()
        try:
            return decoder.decode(reply.body)
        except msgspec.DecodeError as error:
            log.warning("the cloud's reply cannot be decoded and is ignored: %s", error)
            return None


def _is_out_of_capacity(reply: Reply) -> bool:
    """Whether the cloud has no capacity for the requested machines."""
    return reply.status == 503 and b"capacity" in reply.body
