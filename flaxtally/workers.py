"""Client of the workers: direct orders and status questions, one kept connection a machine."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import msgspec

from . import wire
from .http import Client, Reply
from .loop import Address, Runtime

log = logging.getLogger(__name__)

decode_report = msgspec.msgpack.Decoder(wire.Report).decode


def parse_address(text: str) -> Address | None:
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None


class Workers:
    """`done(status, body)`: status 0 means that no answer came, so the orders may yet be executed."""

    def __init__(self, runtime: Runtime, timeout: float) -> None:
        self._runtime, self._timeout = runtime, timeout
        self._clients: dict[str, Client] = {}

    def orders(self, address: str, body: dict[str, Any], done: Callable[[int, bytes], None]) -> None:
        self._call(address, "POST", wire.ORDERS, body, done)

    def status(self, address: str, done: Callable[[int, bytes], None]) -> None:
        self._call(address, "GET", wire.STATUS, None, done)

    def drop(self, address: str) -> None:
        """Closes the connection to a machine that is gone."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def _call(self, address: str, method: str, path: str, body: Any, done: Callable[[int, bytes], None]) -> None:
        client = self._clients.get(address)
        if client is None:
            target = parse_address(address)
            if target is None:
                log.warning("worker address %r is none", address)
                done(0, b"")
                return
            client = self._clients[address] = Client(self._runtime, target, most=2)

        def told(reply: Reply) -> None:
            done(reply.status, reply.body)

        client.request(method, path, body, self._timeout, told)
