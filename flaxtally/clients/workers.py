"""Client of the workers: commands and status queries, few kept connections a machine."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ..protocol import paths
from ..protocol.workers import CommandBatch, EncodedBatch, Heartbeat
from ..runtime.http import Client, OpenConnections, Reply

if TYPE_CHECKING:
    from ..runtime.loop import Address, Runtime

log = logging.getLogger(__name__)

WORKER_SOCKETS_FRACTION = 0.3
"""Of the sockets, for calls to workers."""
CONNECTIONS_PER_WORKER = 2

OnReply = Callable[[int, bytes], None]
"""Gets the status and the body of a worker's reply.

Status 0 means that no reply came, so the commands may yet be executed.
"""
decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode


def parse_address(text: str) -> Address | None:
    """The address of `HOST:PORT`, or None."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None


class _Request(NamedTuple):
    """A call to a worker; `batch` None: a status query."""

    address: str
    batch: CommandBatch | EncodedBatch | None
    on_reply: OnReply


class _QueuedCall(NamedTuple):
    """A call that waits for a connection; its time runs from when it was asked for."""

    request: _Request
    target: Address
    deadline_at: float


class Workers:
    """Sends commands and status queries to workers over a bounded number of connections.

    Those that were used last are kept; a call beyond the bound waits.
    """

    def __init__(self, runtime: Runtime, timeout_s: float, max_connections: int) -> None:
        """Takes the time-out of a call, and how many connections there may be in all."""
        self._runtime = runtime
        self._timeout_s = timeout_s
        self._max_connections = max(CONNECTIONS_PER_WORKER, max_connections)
        self._opened = OpenConnections()
        self._clients: dict[str, Client] = {}
        """By address, the one called longest ago first."""
        self._queue: deque[_QueuedCall] = deque()

    def send_commands(
        self, address: str, batch: CommandBatch | EncodedBatch, on_reply: OnReply
    ) -> None:
        """Sends commands to the worker at the address."""
        self._enqueue(_Request(address, batch, on_reply))

    def query_status(self, address: str, on_reply: OnReply) -> None:
        """Asks the worker at the address for its status."""
        self._enqueue(_Request(address, None, on_reply))

    def _enqueue(self, request: _Request) -> None:
        target = parse_address(request.address)
        if target is None:
            log.warning("a worker's address is none: %r", request.address)
            request.on_reply(0, b"")
            return
        deadline_at = self._runtime.now() + self._timeout_s
        self._queue.append(_QueuedCall(request, target, deadline_at))
        self._send_queued()

    def _send_queued(self) -> None:
        while self._queue:
            call = self._queue[0]
            now = self._runtime.now()
            if call.deadline_at <= now:
                self._queue.popleft()
                call.request.on_reply(0, b"")
                continue
            client = self._use_client(call)
            if client is None:
                return
            self._queue.popleft()
            self._send(client, call.request, call.deadline_at - now)

    def _use_client(self, call: _QueuedCall) -> Client | None:
        """The client for the call, as the one used last; None: there is no connection for it."""
        address = call.request.address
        client = self._clients.pop(address, None)
        if client is None:
            if not self._make_capacity():
                return None
            client = Client(self._runtime, call.target, CONNECTIONS_PER_WORKER, self._opened)
        self._clients[address] = client
        return client

    def _make_capacity(self) -> bool:
        """Whether one more worker may be called.

        Closes the connections that were used longest ago.
        """
        if self._opened.count + CONNECTIONS_PER_WORKER <= self._max_connections:
            return True
        for address, client in self._clients.items():
            if not client.busy:
                client.close()
                del self._clients[address]
                return True
        return False

    def _send(self, client: Client, request: _Request, timeout_s: float) -> None:
        def on_reply(reply: Reply) -> None:
            request.on_reply(reply.status, reply.body)
            if self._queue:
                self._send_queued()

        if request.batch is None:
            client.request("GET", paths.WORKER_STATUS, None, timeout_s, on_reply)
        else:
            client.request("POST", paths.COMMANDS, request.batch, timeout_s, on_reply)
