"""Client of the cloud: one call budget, urgent calls first."""

from __future__ import annotations

import heapq
import itertools
import logging
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from ..protocol import wire
from ..runtime.http import Client, Reply
from ..runtime.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Address, Runtime

log = logging.getLogger(__name__)

T = TypeVar("T")
_catalog = msgspec.msgpack.Decoder(wire.Catalog)
_rented = msgspec.msgpack.Decoder(wire.Rented)
_listing = msgspec.msgpack.Decoder(wire.Listing)

URGENT, RENT, ROUTINE = 0, 1, 2
MOST_RELEASED = 100
MOST_RENTED = 50


class Cloud:
    """The cloud's calls. Every `done` gets None when there was no answer that can be believed."""

    def __init__(self, runtime: Runtime, address: Address, rps: float, timeout: float) -> None:
        self._runtime, self._timeout = runtime, timeout
        self._client = Client(runtime, address, most=3)
        # Three nodes share no budget: only the leader calls, and a fresh leader must not start with
        # the burst that its predecessor may just have used.
        self._bucket = TokenBucket(runtime, rps * 0.9, rps)
        self._waiting: list[tuple[int, int, tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._armed = self._held = False
        self.troubled_at = float("-inf")
        self.last_contact_at = float("-inf")

    def list_machine_types(self, done: Callable[[list[wire.MachineType] | None], None]) -> None:
        self._call(
            ROUTINE,
            "GET",
            wire.CATALOG,
            None,
            lambda reply: done(self._read(reply, _catalog, "types")),
        )

    def provision(
        self,
        request: str,
        kind: str,
        zone: str,
        spot: bool,
        count: int,
        done: Callable[[str, list[str]], None],
    ) -> None:
        """Asks for machines.

        `done(outcome, machines)`: `rented`, `none` (no capacity), `trouble` (not executed) or
        `unknown` (no answer: it may have been, or may still be).
        """

        def told(reply: Reply) -> None:
            machines = self._read(reply, _rented, "machines")
            if machines is not None:
                done("rented", machines)
            elif reply.status == 503 and b"capacity" in reply.body:
                self.last_contact_at = self._runtime.now()
                done("none", [])
            elif reply.status in (429, 503):
                done("trouble", [])
            else:
                done("unknown", [])

        self._call(RENT, "POST", wire.RENTALS, wire.rental(request, kind, zone, spot, count), told)

    def terminate(self, machines: list[str], done: Callable[[bool], None]) -> None:
        """`done(True)` only on a 200: then the machines and everything on them are gone."""

        def told(reply: Reply) -> None:
            if reply.status == 200:
                self.last_contact_at = self._runtime.now()
            done(reply.status == 200)

        self._call(URGENT, "POST", wire.RELEASE, wire.release(machines), told)

    def list_machines(self, done: Callable[[list[wire.Listed] | None], None]) -> None:
        found: list[wire.Listed] = []

        def told(reply: Reply) -> None:
            page: wire.Listing | None = self._read(reply, _listing, None)
            if page is None:
                done(None)
                return
            found.extend(page.machines)
            if page.more and page.machines:
                ask(page.machines[-1].machine)
            else:
                done(found)

        def ask(after: str | None) -> None:
            self._call(ROUTINE, "GET", wire.listing_path(after, 500), None, told)

        ask(None)

    @property
    def is_troubled(self) -> bool:
        """Whether its last answer was none, or of no use."""
        return self.troubled_at > self.last_contact_at

    def forget(self) -> None:
        """Drops what still waits to be called; for a leader that is one no more."""
        self._waiting.clear()
        self._held = False

    def hold(self) -> None:
        """Sends nothing until `resume`; calls wait in their order."""
        self._held = True

    def resume(self) -> None:
        """Goes on after `hold`."""
        self._held = False
        self._pump()

    def _read(self, reply: Reply, decoder: Any, field: str | None) -> Any:
        if reply.status != 200:
            return None
        self.last_contact_at = self._runtime.now()
        try:
            message = decoder.decode(reply.body)
        except msgspec.DecodeError as fault:
            log.warning("cloud: %s", fault)
            return None
        return message if field is None else getattr(message, field)

    def _call(
        self, urgency: int, method: str, path: str, body: Any, told: Callable[[Reply], None]
    ) -> None:
        heapq.heappush(self._waiting, (urgency, next(self._order), (method, path, body, told)))
        self._pump()

    def _pump(self) -> None:
        self._armed = False
        while self._waiting and not self._held:
            wait = self._bucket.wait(1.0)
            if wait > 0:
                self._armed = True
                self._runtime.after(wait, self._again)
                return
            self._bucket.take(1.0)
            method, path, body, told = heapq.heappop(self._waiting)[2]
            done = partial(self._told, told=told)
            self._client.request(method, path, body, self._timeout, done)

    def _again(self) -> None:
        if self._armed:
            self._pump()

    def _told(self, reply: Reply, told: Callable[[Reply], None]) -> None:
        if reply.status == 429:
            self._bucket.empty()
        if reply.status in (0, 429) or (reply.status == 503 and b"capacity" not in reply.body):
            self.troubled_at = self._runtime.now()
        told(reply)
