"""Client of the workers: direct orders and status questions, one kept connection a machine."""

from __future__ import annotations

import logging
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from ..protocol import wire
from ..runtime.http import Client, OpenConnections, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Address, Runtime

log = logging.getLogger(__name__)

CALLED_SHARE = 0.3
"""Of the sockets, for calls to workers."""
A_WORKER = 2
"""Connections to one worker at a time."""
decode_report = msgspec.msgpack.Decoder(wire.Heartbeat).decode


def parse_address(text: str) -> Address | None:
    """The address of `HOST:PORT`, or None."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None


class _Call(NamedTuple):
    """A call that waits for a connection; its time runs from when it was asked for."""

    address: str
    target: Address
    method: str
    path: str
    body: Any
    done: Callable[[int, bytes], None]
    until: float


class Workers:
    """`done(status, body)`: status 0 means that no answer came, so the orders may yet be executed.

    At most `most` connections at a time, in all: those that were used last are kept, a call beyond
    them waits.
    """

    def __init__(self, runtime: Runtime, timeout: float, most: int) -> None:
        self._runtime, self._timeout, self._most = runtime, timeout, max(A_WORKER, most)
        self._opened = OpenConnections()
        self._clients: dict[str, Client] = {}
        """By address, the one called longest ago first."""
        self._waiting: deque[_Call] = deque()

    def send_commands(
        self, address: str, body: dict[str, Any], done: Callable[[int, bytes], None]
    ) -> None:
        self._call(address, "POST", wire.ORDERS, body, done)

    def query_status(self, address: str, done: Callable[[int, bytes], None]) -> None:
        self._call(address, "GET", wire.STATUS, None, done)

    def _call(
        self, address: str, method: str, path: str, body: Any, done: Callable[[int, bytes], None]
    ) -> None:
        target = parse_address(address)
        if target is None:
            log.warning("worker address %r is none", address)
            done(0, b"")
            return
        self._waiting.append(
            _Call(address, target, method, path, body, done, self._runtime.now() + self._timeout)
        )
        self._pump()

    def _pump(self) -> None:
        while self._waiting:
            call, now = self._waiting[0], self._runtime.now()
            if call.until <= now:
                self._waiting.popleft()
                call.done(0, b"")
                continue
            client = self._clients.pop(call.address, None)
            if client is None:
                if not self._room():
                    return
                client = Client(self._runtime, call.target, A_WORKER, self._opened)
            self._clients[call.address] = client
            self._waiting.popleft()
            client.request(
                call.method,
                call.path,
                call.body,
                call.until - now,
                partial(self._told, call),
            )

    def _room(self) -> bool:
        """Whether one more machine may be called.

        Closes the connections that were used longest ago.
        """
        if self._opened.count + A_WORKER <= self._most:
            return True
        for address, client in self._clients.items():
            if not client.busy:
                client.close()
                del self._clients[address]
                return True
        return False

    def _told(self, call: _Call, reply: Reply) -> None:
        call.done(reply.status, reply.body)
        if self._waiting:
            self._pump()
