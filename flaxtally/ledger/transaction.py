"""A transaction of the ledger, sent until its outcome is certain."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.actor import Actor
from ..runtime.http import pack

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..runtime.loop import Runtime
    from ..runtime.token_bucket import TokenBucket


class CommitOutcome(enum.Enum):
    """How a transaction came out."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    """A version is not the expected one: somebody else leads."""
    TOO_LARGE = "too large"
    """The store will never accept it; an earlier copy may still be carried out."""


@dataclass(frozen=True)
class Transaction:
    """Pages to write and to delete, by compare-and-swap. It is sent again unchanged.

    The first write, if any, is of a page with a record that no earlier transaction wrote.
    """

    expected_versions: dict[str, int]
    writes: dict[str, Any]
    deletes: list[str]

    @property
    def change_count(self) -> int:
        """How many writes and deletes it has."""
        return len(self.writes) + len(self.deletes)


class TransactionSender(Actor):
    """Sends transactions, one at a time, for one term of leading."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        bucket: TokenBucket,
        retry_s: float,
        on_outcome: Callable[[CommitOutcome, int], None],
    ) -> None:
        """`on_outcome(outcome, revision)` is called for each transaction, unless closed before."""
        super().__init__(runtime)
        self._store = store
        self._bucket = bucket
        self._retry_s = retry_s
        self._on_outcome = on_outcome
        self._is_open = True
        self._may_be_applied = False
        """Whether a copy of the present transaction may have been carried out."""

    def close(self) -> None:
        """Nothing is sent again, and `on_outcome` not called, from now on."""
        self._is_open = False

    def send(self, transaction: Transaction) -> None:
        """Sends it until its outcome is certain."""
        self._may_be_applied = False
        self._send_copy(transaction)

    def _send_copy(self, transaction: Transaction) -> None:
        if not self._is_open:
            return

        def on_reply(outcome: Outcome, revision: int) -> None:
            if self._is_open:
                self._on_reply(transaction, outcome, revision)

        self._store.compare_and_swap(
            transaction.expected_versions,
            transaction.writes,
            transaction.deletes,
            on_reply,
            commit=True,
            first=not self._may_be_applied,
        )

    def _on_reply(self, transaction: Transaction, outcome: Outcome, revision: int) -> None:
        if outcome is Outcome.COMMITTED:
            self._on_outcome(CommitOutcome.COMMITTED, revision)
        elif outcome is Outcome.CONFLICT and self._may_be_applied:
            # The first copy may have been carried out although its answer was lost.
            self._read_back(transaction)
        elif outcome is Outcome.CONFLICT:
            self._on_outcome(CommitOutcome.CONFLICT, 0)
        elif outcome is Outcome.INVALID:
            self._on_outcome(CommitOutcome.TOO_LARGE, 0)
        else:
            self._send_again(transaction, outcome)

    def _send_again(self, transaction: Transaction, outcome: Outcome) -> None:
        """The store did not carry this copy out, or it is not known whether it did."""
        self._bucket.take(transaction.change_count)
        delay_s = max(
            self._retry_s / 4, self._bucket.seconds_until_available(transaction.change_count)
        )
        if outcome is Outcome.INDETERMINATE:
            self._may_be_applied = True
        self.later(delay_s, self._send_copy, transaction)

    def _read_back(self, transaction: Transaction) -> None:
        """Finds out by one key of it whether the transaction was carried out."""
        key = next(iter([*transaction.writes, *transaction.deletes]))
        self._store.get(
            key, lambda is_known, row: self._on_read_back(transaction, key, row, is_known=is_known)
        )

    def _on_read_back(
        self, transaction: Transaction, key: str, row: wire.Row | None, *, is_known: bool
    ) -> None:
        """A transaction is atomic: one page tells for all."""
        if not self._is_open:
            return
        if not is_known:
            self.later(self._retry_s, self._read_back, transaction)
        elif row is None and not transaction.writes:
            self._on_outcome(CommitOutcome.COMMITTED, 0)
        elif (
            row is not None
            and row.version != transaction.expected_versions[key]
            and pack(row.value) == pack(transaction.writes.get(key))
        ):
            self._on_outcome(CommitOutcome.COMMITTED, row.version)
        else:
            self._on_outcome(CommitOutcome.CONFLICT, 0)
