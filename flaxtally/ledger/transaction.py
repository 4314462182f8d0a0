"""A transaction of the ledger, retried until its outcome is certain."""

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
    """Final outcome of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    """A key has another version than expected: another controller leads."""
    TOO_LARGE = "too large"
    """The store will never accept it, but may still execute an earlier copy."""


@dataclass(frozen=True)
class Transaction:
    """Pages to write and to delete, by compare-and-swap. A retry sends it unchanged.

    The first write, if any, is of a page with a record that no earlier transaction wrote, or of the
    leader key with a new term: reading that key back shows whether this transaction was executed.
    """

    expected_versions: dict[str, int]
    writes: dict[str, Any]
    deletes: list[str]

    @property
    def change_count(self) -> int:
        """How many writes and deletes it has."""
        return len(self.writes) + len(self.deletes)

    @property
    def identifying_key(self) -> str:
        """The key that shows whether this transaction was executed."""
        return next(iter([*self.writes, *self.deletes]))

    def has_written(self, row: wire.Row) -> bool:
        """Whether the row of the identifying key shows that this transaction was executed."""
        key = self.identifying_key
        is_changed = row.version != self.expected_versions[key]
        return is_changed and pack(row.value) == pack(self.writes.get(key))


class TransactionSender(Actor):
    """Sends transactions, one at a time, during one term of leadership."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        bucket: TokenBucket,
        retry_s: float,
        on_outcome: Callable[[CommitOutcome, int], None],
    ) -> None:
        """Calls `on_outcome(outcome, revision)` for each transaction, unless closed before."""
        super().__init__(runtime)
        self._store = store
        self._bucket = bucket
        self._retry_s = retry_s
        self._on_outcome = on_outcome
        self._is_open = True
        self._transaction: Transaction | None = None
        """The transaction whose outcome is not known yet."""
        self._may_be_applied = False
        """Whether the store may have executed a copy of the present transaction without a reply."""

    def close(self) -> None:
        """Ends retries and calls of `on_outcome`."""
        self._is_open = False

    def send(self, transaction: Transaction) -> None:
        """Sends the transaction, and retries it until its outcome is certain."""
        self._may_be_applied = False
        self._transaction = transaction
        self._send_copy(transaction)

    def find_applied(self) -> None:
        """Finds out now whether the present transaction was executed, whose reply may be lost."""
        transaction = self._transaction
        if transaction is not None:
            self._store.get(
                transaction.identifying_key,
                lambda _, row: self._on_looked_up(transaction, row),
            )

    def _on_looked_up(self, transaction: Transaction, row: wire.Row | None) -> None:
        """Ends the transaction if it was executed; otherwise it may still be."""
        if self._is_pending(transaction) and row is not None and transaction.has_written(row):
            self._finish(CommitOutcome.COMMITTED, row.version)

    def _is_pending(self, transaction: Transaction) -> bool:
        return self._is_open and self._transaction is transaction

    def _finish(self, outcome: CommitOutcome, revision: int) -> None:
        self._transaction = None
        self._on_outcome(outcome, revision)

    def _send_copy(self, transaction: Transaction) -> None:
        if not self._is_pending(transaction):
            return

        def on_reply(outcome: Outcome, revision: int) -> None:
            if self._is_pending(transaction):
                self._on_reply(transaction, outcome, revision)

        self._store.compare_and_swap(
            transaction.expected_versions,
            transaction.writes,
            transaction.deletes,
            on_reply,
            use_commit_connection=True,
            is_first_try=not self._may_be_applied,
        )

    def _on_reply(self, transaction: Transaction, outcome: Outcome, revision: int) -> None:
        if outcome is Outcome.COMMITTED:
            self._finish(CommitOutcome.COMMITTED, revision)
        elif outcome is Outcome.CONFLICT and self._may_be_applied:
            # The first copy may have been executed although its reply was lost.
            self._read_back(transaction)
        elif outcome is Outcome.CONFLICT:
            self._finish(CommitOutcome.CONFLICT, 0)
        elif outcome is Outcome.INVALID:
            self._finish(CommitOutcome.TOO_LARGE, 0)
        else:
            self._retry(transaction, outcome)

    def _retry(self, transaction: Transaction, outcome: Outcome) -> None:
        """Retries after a delay: the store did not execute this copy, or that is unknown."""
        self._bucket.take(transaction.change_count)
        delay_s = max(
            self._retry_s / 4, self._bucket.seconds_until_available(transaction.change_count)
        )
        if outcome is Outcome.INDETERMINATE:
            self._may_be_applied = True
        self.later(delay_s, self._send_copy, transaction)

    def _read_back(self, transaction: Transaction) -> None:
        """Finds out by one of its keys whether the transaction was executed."""
        self._store.get(
            transaction.identifying_key,
            lambda is_read, row: self._on_read_back(transaction, row, is_read=is_read),
        )

    def _on_read_back(
        self, transaction: Transaction, row: wire.Row | None, *, is_read: bool
    ) -> None:
        """Derives the outcome from one key, since a transaction is atomic."""
        if not self._is_pending(transaction):
            return
        if not is_read:
            self.later(self._retry_s, self._read_back, transaction)
        elif row is None and not transaction.writes:
            self._finish(CommitOutcome.COMMITTED, 0)
        elif row is not None and transaction.has_written(row):
            self._finish(CommitOutcome.COMMITTED, row.version)
        else:
            self._finish(CommitOutcome.CONFLICT, 0)
