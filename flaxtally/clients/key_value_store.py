"""Client of the key-value store: typed calls, one outcome each.

Outcomes distinguish what matters to a writer: committed, conflict (a version differs), unavailable
(certainly not executed), and indeterminate (may have been executed, or may still be).
"""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from ..protocol import paths
from ..protocol.store import Lease, LeaseRequest, Revision, Row, Rows, Transaction
from ..runtime.http import Client, Reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Address, Runtime

log = logging.getLogger(__name__)

Message = TypeVar("Message")

MAX_CONNECTIONS = 8
"""More connections than are needed while all calls get replies: a call without a reply occupies its
connection until its timeout.
"""
KEYS_PER_PAGE = 500
SERVED_STATUSES = frozenset({200, 201, 404, 409, 410})
"""HTTP statuses which show that the store serves calls; 429 and 503 are refusals."""

_row_decoder = msgspec.msgpack.Decoder(Row)
_rows_decoder = msgspec.msgpack.Decoder(Rows)
_revision_decoder = msgspec.msgpack.Decoder(Revision)
_lease_decoder = msgspec.msgpack.Decoder(Lease)


class Outcome(enum.Enum):
    """Outcome of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    """Not executed: a key has another version than expected."""
    UNAVAILABLE = "unavailable"
    """Not executed: an outage, or too many requests. The same can be sent again."""
    INVALID = "invalid"
    """Never executed: a value or the transaction is too large, or its lease has expired."""
    INDETERMINATE = "indeterminate"
    """No reply: it may have been executed, or may still be executed."""


class KeyValueStore:
    """Client of the consensus-backed key-value store: keys, compare-and-swap and leases."""

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        timeout_s: float,
        first_timeout_s: float,
        prefix: str = "",
    ) -> None:
        """Takes the store's address and the timeouts of calls and of a transaction's first try.

        `prefix` is prepended to every key, and removed from keys that are read.
        """
        self._runtime = runtime
        self._timeout_s = timeout_s
        self._first_timeout_s = first_timeout_s
        self._prefix = prefix
        self._client = Client(runtime, address, MAX_CONNECTIONS)
        self._commit_client = Client(runtime, address, 1)
        self.last_contact_at = float("-inf")
        """When the store last served a call; a refusal doesn't count."""

    # Keys

    def get(self, key: str, on_done: Callable[[bool, Row | None], None]) -> None:
        """Reads a key.

        Calls `on_done(True, row)`, where `row` is None for a key that does not exist, or
        `on_done(False, None)` when the store gave no valid reply.
        """

        def on_reply(reply: Reply) -> None:
            self._record_contact(reply)
            row = self._decode(reply, _row_decoder) if reply.status == 200 else None
            on_done(row is not None or reply.status == 404, row)

        path = f"{paths.KEYS}/{self._prefix}{key}"
        self._client.request("GET", path, None, self._timeout_s, on_reply)

    def list_prefix(self, prefix: str, on_done: Callable[[list[Row] | None], None]) -> None:
        """Reads all rows with the prefix, page by page; `on_done` gets None when a call fails."""
        found: list[Row] = []

        def on_reply(reply: Reply) -> None:
            self._record_contact(reply)
            page = self._decode(reply, _rows_decoder) if reply.status == 200 else None
            if page is None:
                on_done(None)
                return
            found.extend(self._without_prefix(row) for row in page.rows)
            if page.more and page.rows:
                request_page(page.rows[-1].key)
            else:
                on_done(found)

        def request_page(after: str | None) -> None:
            path = paths.build_key_list_path(self._prefix + prefix, after, KEYS_PER_PAGE)
            self._client.request("GET", path, None, self._timeout_s * 2, on_reply)

        request_page(None)

    def compare_and_swap(
        self,
        expected_versions: dict[str, int],
        writes: dict[str, Any],
        deletes: list[str],
        on_done: Callable[[Outcome, int], None],
        *,
        lease: int | None = None,
        use_commit_connection: bool = False,
        is_first_try: bool = False,
    ) -> None:
        """Changes keys if all of them still have the expected versions.

        `on_done` gets the outcome and the revision of the committed changes, else 0. `lease` is
        attached to every key that is written. `use_commit_connection` selects the connection
        reserved for the write-ahead log; a first try (`is_first_try`) has a shorter timeout.
        """

        def on_reply(reply: Reply) -> None:
            on_done(*self._read_outcome(reply))

        if self._prefix:
            expected_versions = self._with_prefix(expected_versions)
            writes = self._with_prefix(writes)
            deletes = [self._prefix + key for key in deletes]
        transaction = Transaction.build(expected_versions, writes, deletes, lease)
        client = self._commit_client if use_commit_connection else self._client
        timeout_s = self._first_timeout_s if is_first_try else self._timeout_s
        client.request("POST", paths.TRANSACTIONS, transaction, timeout_s, on_reply)

    # Leases

    def grant_lease(self, duration_s: float, on_done: Callable[[int | None], None]) -> None:
        """Requests a lease; `on_done` gets its id, or None when it is unknown."""

        def on_reply(reply: Reply) -> None:
            self._record_contact(reply)
            is_granted = reply.status in (200, 201)
            granted = self._decode(reply, _lease_decoder) if is_granted else None
            on_done(None if granted is None else granted.lease)

        body = LeaseRequest(int(duration_s * 1000))
        self._client.request("POST", paths.LEASES, body, self._timeout_s, on_reply)

    def renew_lease(self, lease: int, on_done: Callable[[bool | None], None]) -> None:
        """Renews a lease; `on_done` gets True if renewed, False if it expired, None if unknown."""

        def on_reply(reply: Reply) -> None:
            self._record_contact(reply)
            on_done({200: True, 404: False}.get(reply.status))

        path = f"{paths.LEASES}/{lease}/extend"
        self._client.request("POST", path, None, self._timeout_s, on_reply)

    # Contact with the store

    def on_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the time without contact with the store."""
        self.last_contact_at = min(self._runtime.now(), self.last_contact_at + pause_s)

    def _record_contact(self, reply: Reply) -> None:
        if reply.status in SERVED_STATUSES:
            self.last_contact_at = self._runtime.now()

    # Reading replies

    def _read_outcome(self, reply: Reply) -> tuple[Outcome, int]:
        self._record_contact(reply)
        if reply.status == 200:
            committed = self._decode(reply, _revision_decoder)
            if committed is None:
                return Outcome.INDETERMINATE, 0
            return Outcome.COMMITTED, committed.revision
        if reply.status == 409:
            return Outcome.CONFLICT, 0
        if reply.status == 400:
            log.warning(
                "the store refused a transaction as invalid (status 400): %r", reply.body[:200]
            )
            return Outcome.INVALID, 0
        if reply.status in (429, 503):
            return Outcome.UNAVAILABLE, 0
        return Outcome.INDETERMINATE, 0

    @staticmethod
    def _decode(reply: Reply, decoder: msgspec.msgpack.Decoder[Message]) -> Message | None:
        try:
            return decoder.decode(reply.body)
        except msgspec.DecodeError as error:
            log.warning("the store's reply cannot be decoded and is ignored: %s", error)
            return None

    # The prefix of keys

    def _with_prefix(self, by_key: dict[str, Message]) -> dict[str, Message]:
        return {self._prefix + key: value for key, value in by_key.items()}

    def _without_prefix(self, row: Row) -> Row:
        if not self._prefix:
            return row
        return Row(row.key.removeprefix(self._prefix), row.value, row.version)
