"""A fake key-value store, in memory."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from ..protocol import wire
from ..runtime.http import Request, Server
from ..runtime.token_bucket import TokenBucket

if TYPE_CHECKING:
    from ..runtime.loop import Address, Runtime


class FakeKeyValueStore:
    """Keys with versions, transactions and leases. While `is_down`, all requests get status 503."""

    def __init__(
        self, runtime: Runtime, address: Address, rng: random.Random | None = None
    ) -> None:
        self._runtime, self._rng = runtime, rng or random.Random()
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        """Value, version and lease (or None), by key."""
        self.revision = 0
        self.is_down = False
        self.refused_hosts: set[str] = set()
        """Hosts whose requests get status 503 while all others are served."""
        self.lost_fraction = 0.0
        """Fraction of transactions that get no reply and are executed `lost_delay_s` later."""
        self.lost_delay_s = (2.0, 12.0)
        """Range from which the delay of those transactions is drawn."""
        self.late_statuses: list[int] = []
        """Statuses of the transactions that got no reply, in the order of their execution."""
        self.extra_delay_s = 0.0
        """Mean delay of every request in seconds, drawn between 0.5 and 1.5 times this."""
        self.refuse_changes = False
        self.requests = 0
        """Number of requests received, without those that got status 503."""
        self.oversized_transactions: list[str] = []
        """Descriptions of transactions that exceed `txn_ops` or `value_bytes`.

        They are executed unless the limits are enforced.
        """
        self._are_limits_enforced = False
        self.txn_ops, self.value_bytes = 32, 8 * 1024
        self.request_limit: TokenBucket | None = None
        """Requests above this rate get status 429, as the protocol says; None: unlimited."""
        self.change_limit: TokenBucket | None = None
        """The same limit for puts and drops, including those of failed transactions."""
        self.throttled_count = 0
        """Number of requests that got status 429."""
        self._leases: dict[int, tuple[float, float]] = {}
        """Duration and time of expiry of each lease, by id."""
        self._next_lease = 1
        self.changes = 0
        """Number of puts and drops executed."""
        Server(runtime, address, self._handle, 1000, 600.0, 1.0)

    def enforce(self, value_bytes: int, txn_ops: int, write_rps: float | None = None) -> None:
        """From now on refuses larger transactions with 400, more changes a second with 429."""
        self.value_bytes, self.txn_ops, self._are_limits_enforced = value_bytes, txn_ops, True
        if write_rps is not None:
            self.change_limit = TokenBucket(self._runtime, write_rps, write_rps)

    def _handle(self, request: Request) -> None:
        if self.extra_delay_s:
            self._runtime.after(
                self.extra_delay_s * self._rng.uniform(0.5, 1.5), self._serve, request
            )
        else:
            self._serve(request)

    def _serve(self, request: Request) -> None:
        if self.is_down or request.remote_host in self.refused_hosts:
            request.reply(503, {"error": "trouble"})
            return
        self._expire_leases()
        self.requests += 1
        if self.request_limit is not None and not self.request_limit.try_take(1):
            self._reject_over_limit(request)
            return
        path, _, query = request.path.partition("?")
        if path == wire.TRANSACTIONS:
            self._execute_transaction(request)
        elif path == wire.KEYS:
            self._list(request, {name: values[0] for name, values in parse_qs(query).items()})
        elif path.startswith(wire.KEYS + "/"):
            key = path[len(wire.KEYS) + 1 :]
            row = self.rows.get(key)
            if row is None:
                request.reply(404, {"ledger": self.revision})
            else:
                request.reply(200, wire.Row(key, row[0], row[1]))
        elif path == wire.LEASES:
            duration_s = (
                msgspec.msgpack.decode(request.body, type=wire.LeaseRequest).milliseconds / 1000
            )
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (duration_s, self._runtime.now() + duration_s)
            request.reply(200, wire.Lease(lease))
        else:
            lease = int(path.split("/")[2])
            if lease not in self._leases:
                request.reply(404, {"error": "no such lease"})
                return
            duration_s = self._leases[lease][0]
            self._leases[lease] = (duration_s, self._runtime.now() + duration_s)
            request.reply(200, {"tenure": lease})

    def recover(self) -> None:
        """Ends an outage; all leases get their full duration again."""
        self.is_down = False
        self._leases = {
            lease: (duration_s, self._runtime.now() + duration_s)
            for lease, (duration_s, _) in self._leases.items()
        }

    def _expire_leases(self) -> None:
        now = self._runtime.now()
        for lease in [lease for lease, (_, until) in self._leases.items() if until <= now]:
            del self._leases[lease]
            for key in [key for key, row in self.rows.items() if row[2] == lease]:
                self.revision += 1
                del self.rows[key]

    def _list(self, request: Request, query: dict[str, str]) -> None:
        prefix, after, max_count = (
            query.get("starts", ""),
            query.get("after", ""),
            int(query.get("most", "1000")),
        )
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        found = [wire.Row(key, self.rows[key][0], self.rows[key][1]) for key in keys[:max_count]]
        request.reply(200, wire.Rows(found, len(keys) > max_count))

    def _execute_transaction(self, request: Request) -> None:
        transaction = msgspec.msgpack.decode(request.body, type=wire.Transaction)
        before = len(self.oversized_transactions)
        if (
            len(transaction.changes) > self.txn_ops
            or len(transaction.expected_versions) > 4 * self.txn_ops
        ):
            self.oversized_transactions.append(
                f"{len(transaction.changes)} changes, {len(transaction.expected_versions)} guards"
            )
        for change in transaction.changes:
            if change.put is None:
                continue
            size = len(msgspec.json.encode(change.value))
            if size > self.value_bytes:
                self.oversized_transactions.append(f"{change.put}: {size} bytes")
        if self._are_limits_enforced and len(self.oversized_transactions) > before:
            request.reply(400, {"error": "too large"})
            return
        if self.lost_fraction and self._rng.random() < self.lost_fraction:
            self._runtime.after(
                self._rng.uniform(*self.lost_delay_s), self._execute_late, transaction
            )
            return
        if self.change_limit is not None and not self.change_limit.try_take(
            len(transaction.changes)
        ):
            self._reject_over_limit(request)
            return
        status, body = self.transact(transaction)
        request.reply(status, body)

    def _reject_over_limit(self, request: Request) -> None:
        self.throttled_count += 1
        request.reply(429, {"error": "too many"})

    def _execute_late(self, transaction: wire.Transaction) -> None:
        self.late_statuses.append(self.transact(transaction)[0])

    def transact(self, transaction: wire.Transaction) -> tuple[int, Any]:
        """Executes a transaction; returns the status and body of the reply."""
        if any(
            change.put and change.lease is not None and change.lease not in self._leases
            for change in transaction.changes
        ):
            return 400, {"error": "no such lease"}
        failed = [
            expected.key
            for expected in transaction.expected_versions
            if self.rows.get(expected.key, (None, 0))[1] != expected.version
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if transaction.changes:
            self.revision += 1
        for change in transaction.changes:
            self.changes += 1
            if change.put is not None:
                self.rows[change.put] = (change.value, self.revision, change.lease)
            elif change.drop is not None:
                self.rows.pop(change.drop, None)
        return 200, wire.Revision(self.revision)
