"""Client of the state service: typed calls, one outcome each.

Outcomes keep apart what matters to a writer: done, a guard that failed, surely not executed
(refused), and unknown (it may have been executed, or may yet be).
"""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from ..protocol import wire
from ..runtime.http import Client, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Address, Runtime

log = logging.getLogger(__name__)

_row = msgspec.msgpack.Decoder(wire.Row)
_rows = msgspec.msgpack.Decoder(wire.Rows)
_revision = msgspec.msgpack.Decoder(wire.Revision)
_hold = msgspec.msgpack.Decoder(wire.Lease)


class Outcome(enum.Enum):
    """How a transaction ended."""

    COMMITTED = "done"
    CONFLICT = "failed"
    UNAVAILABLE = "refused"
    """Not now: an outage, or too many requests. The same can be sent again."""
    INVALID = "invalid"
    """Never: a value or the transaction is too large, or its lease has ended."""
    INDETERMINATE = "unknown"


class KeyValueStore:
    """Client of the consensus-backed key-value store: keys, compare-and-swap and leases.

    `last_contact_at` is when the store last answered for real.
    """

    def __init__(
        self, runtime: Runtime, address: Address, timeout: float, first: float, prefix: str = ""
    ) -> None:
        """`first`: how long to wait for the answer to a transaction's first try.

        `prefix`: put before every key, and taken off those that are read.
        """
        self._prefix = prefix
        self._runtime, self._timeout, self._first = runtime, timeout, first
        # More than are needed while all is answered: calls whose answers are lost keep theirs for a
        # while.
        self._client = Client(runtime, address, most=8)
        self._commits = Client(runtime, address, most=1)
        self.last_contact_at = float("-inf")

    def get(self, key: str, on_done: Callable[[bool, wire.Row | None], None]) -> None:
        """`on_done(True, row or None)`, or `on_done(False, None)` when the service can't tell."""

        def told(reply: Reply) -> None:
            if self._served(reply) and reply.status in (200, 404):
                try:
                    on_done(True, _row.decode(reply.body) if reply.status == 200 else None)
                    return
                except msgspec.DecodeError as fault:
                    log.warning("state service: %s", fault)
            on_done(False, None)

        path = f"{wire.STORE}/{self._prefix}{key}"
        self._client.request("GET", path, None, self._timeout, told)

    def list_prefix(self, prefix: str, on_done: Callable[[list[wire.Row] | None], None]) -> None:
        """All rows with the prefix, over as many calls as it takes; None when one fails."""
        found: list[wire.Row] = []

        def told(reply: Reply) -> None:
            if not self._served(reply) or reply.status != 200:
                on_done(None)
                return
            try:
                page = _rows.decode(reply.body)
            except msgspec.DecodeError as fault:
                log.warning("state service: %s", fault)
                on_done(None)
                return
            found.extend(self._own_row(row) for row in page.rows)
            if page.more and page.rows:
                ask(page.rows[-1].key)
            else:
                on_done(found)

        def ask(after: str | None) -> None:
            path = wire.rows_path(self._prefix + prefix, after, 500)
            self._client.request("GET", path, None, self._timeout * 2, told)

        ask(None)

    def _own_row(self, row: wire.Row) -> wire.Row:
        """The row under its key without the prefix."""
        if not self._prefix:
            return row
        return wire.Row(row.key[len(self._prefix) :], row.value, row.version)

    def compare_and_swap(
        self,
        expected_versions: dict[str, int],
        writes: dict[str, Any],
        deletes: list[str],
        on_done: Callable[[Outcome, int], None],
        lease: int | None = None,
        commit: bool = False,
        first: bool = False,
    ) -> None:
        """`on_done(outcome, revision)`; the revision is that of the change when it was done.

        `commit` puts it on the connection kept for the ledger's commits; `first` tries are waited
        for less long.
        """

        def told(reply: Reply) -> None:
            if self._served(reply):
                if reply.status == 200:
                    try:
                        on_done(Outcome.COMMITTED, _revision.decode(reply.body).revision)
                        return
                    except msgspec.DecodeError as fault:
                        log.warning("state service: %s", fault)
                elif reply.status == 409:
                    on_done(Outcome.CONFLICT, 0)
                    return
            if reply.status == 400:
                log.warning("state service refused a transaction: %r", reply.body[:200])
                on_done(Outcome.INVALID, 0)
            elif reply.status in (429, 503):
                on_done(Outcome.UNAVAILABLE, 0)
            else:
                on_done(Outcome.INDETERMINATE, 0)

        client = self._commits if commit else self._client
        timeout = self._first if first else self._timeout
        prefix = self._prefix
        if prefix:
            expected_versions = {
                prefix + key: version for key, version in expected_versions.items()
            }
            writes = {prefix + key: value for key, value in writes.items()}
            deletes = [prefix + key for key in deletes]
        client.request(
            "POST", wire.TXN, wire.txn(expected_versions, writes, deletes, lease), timeout, told
        )

    def grant_lease(self, life: float, on_done: Callable[[int | None], None]) -> None:
        def told(reply: Reply) -> None:
            lease = None
            if self._served(reply) and reply.status in (200, 201):
                try:
                    lease = _hold.decode(reply.body).lease
                except msgspec.DecodeError as fault:
                    log.warning("state service: %s", fault)
            on_done(lease)

        self._client.request("POST", wire.HOLDS, wire.hold_body(life), self._timeout, told)

    def renew_lease(self, lease: int, on_done: Callable[[bool | None], None]) -> None:
        """`on_done(True)`: renewed; `on_done(False)`: it has expired; `on_done(None)`: unknown."""

        def told(reply: Reply) -> None:
            self._served(reply)
            on_done({200: True, 404: False}.get(reply.status))

        self._client.request("POST", f"{wire.HOLDS}/{lease}/extend", None, self._timeout, told)

    def on_pause(self, lost: float) -> None:
        """The process stood still: the service was not silent meanwhile."""
        self.last_contact_at = min(self._runtime.now(), self.last_contact_at + lost)

    def _served(self, reply: Reply) -> bool:
        """Whether the service really answered (429 and 503 are refusals)."""
        served = reply.status in (200, 201, 404, 409, 410)
        if served:
            self.last_contact_at = self._runtime.now()
        return served
