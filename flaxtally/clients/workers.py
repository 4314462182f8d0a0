"""Client of the workers: commands and status queries over few open connections per machine."""

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
"""Fraction of the process's sockets that may be used for calls to workers."""
CONNECTIONS_PER_WORKER = 2

OnReply = Callable[[int, bytes], None]
"""Callback that gets the HTTP status and the body of a worker's reply.

Status 0 means that there was no reply, so the commands may still be executed.
"""
decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode


def parse_address(text: str) -> Address | None:
    """Parses an address `HOST:PORT`; returns None if the text has another form."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None


class _Request(NamedTuple):
    """A call to a worker; a status query if `batch` is None."""

    address: str
    batch: CommandBatch | EncodedBatch | None
    on_reply: OnReply


class _QueuedCall(NamedTuple):
    """A call that waits for a connection; its timeout starts when it is queued."""

    request: _Request
    target: Address
    deadline_at: float


class Workers:
    """Sends commands and status queries to workers over a bounded number of connections.

    The most recently used connections stay open; a call beyond the bound is queued.
    """

    def __init__(self, runtime: Runtime, timeout_s: float, max_connections: int) -> None:
        """Takes the timeout of a call and the maximum number of connections to all workers."""
        self._runtime = runtime
        self._timeout_s = timeout_s
        self._max_connections = max(CONNECTIONS_PER_WORKER, max_connections)
        self._opened = OpenConnections()
        self._clients: dict[str, Client] = {}
        """Clients by address, the least recently used first."""
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
            log.warning(
                "a worker's address is not HOST:PORT, so it is not called: %r", request.address
            )
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
        """Returns the client for the call, now the most recently used; None if none is free."""
        address = call.request.address
        client = self._clients.pop(address, None)
        if client is None:
            if not self._make_capacity():
                return None
            client = Client(self._runtime, call.target, CONNECTIONS_PER_WORKER, self._opened)
        self._clients[address] = client
        return client

    def _make_capacity(self) -> bool:
        """Returns whether one more worker may be called.

        Closes the least recently used idle client if the bound is reached.
        """
        if self._opened.count + CONNECTIONS_PER_WORKER <= self._max_connections:
            return True
        for address, client in self._clients.items():
            if not client.is_busy:
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
