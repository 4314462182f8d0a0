"""Client of the cloud: typed calls, sent by a queue in the order of their urgency."""

from __future__ import annotations

import enum
import logging
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
from .call_queue import NOT_SENT, CallQueue, ChangeGuard, CloudCall, Priority

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.http import Reply
    from ..runtime.loop import Address, Runtime

log = logging.getLogger(__name__)

Message = TypeVar("Message")

MAX_MACHINES_PER_TERMINATE_CALL = 100
MAX_MACHINES_PER_PROVISION_CALL = 50
MACHINES_PER_PAGE = 500

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


class Cloud:
    """The calls to the cloud.

    `on_done` of a method that lists something gets None when there was no valid reply.
    """

    def __init__(self, runtime: Runtime, address: Address, rps: float, timeout_s: float) -> None:
        """Takes the cloud's address, its limit of calls per second, and the timeout of a call."""
        self._runtime = runtime
        self._queue = CallQueue(runtime, address, rps, timeout_s)
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

        self._add(Priority.LIST, "GET", paths.MACHINE_TYPES, None, on_reply)

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

        self._add(Priority.PROVISION, "POST", paths.MACHINES, request, on_reply)

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
        self._add(Priority.TERMINATE, "POST", paths.TERMINATE, body, on_reply)

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
            self._add(Priority.LIST, "GET", path, None, on_reply)

        request_page(None)

    # Control of the queue

    def guard_changes(self, guard: ChangeGuard) -> None:
        """Asks `guard` before each call that changes machines is sent.

        A call that it keeps back has the outcome of one that was not executed.
        """
        self._queue.guard = guard

    @property
    def has_waiting_calls(self) -> bool:
        """Whether a call waits for its turn."""
        return self._queue.has_waiting_calls

    def drop_queued_calls(self) -> None:
        """Drops the queued calls when a term of leadership begins or ends, and ends a pause."""
        self._queue.drop_calls()

    def pause_calls(self) -> None:
        """Pauses the sending of calls until `resume`; queued calls keep their order."""
        self._queue.pause()

    def resume(self) -> None:
        """Sends calls again after `pause_calls`."""
        self._queue.resume()

    # Sending and replies

    def _add(
        self,
        priority: Priority,
        method: str,
        path: str,
        body: ProvisionRequest | TerminateRequest | None,
        on_reply: Callable[[Reply], None],
    ) -> None:
        def record_and_reply(reply: Reply) -> None:
            self._record_failure(reply)
            on_reply(reply)

        self._queue.add(CloudCall(priority, method, path, body, record_and_reply))

    def _record_failure(self, reply: Reply) -> None:
        is_outage = reply.status == 503 and not _is_out_of_capacity(reply)
        if reply is not NOT_SENT and (reply.status in (0, 429) or is_outage):
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
