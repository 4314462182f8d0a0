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
    LOST = "lost"
    """A guard failed: somebody else leads."""
    TOO_LARGE = "too large"
    """The state service will never accept it; an earlier copy may still be carried out."""


@dataclass(frozen=True)
class Transaction:
    """Pages to write and to drop, under guards. It is sent again unchanged.

    The first put, if any, is of a page with a record that no earlier transaction put.
    """

    guards: dict[str, int]
    puts: dict[str, Any]
    drops: list[str]

    @property
    def changes(self) -> int:
        """Puts and deletes."""
        return len(self.puts) + len(self.drops)


class TransactionSender(Actor):
    """Sends transactions, one at a time, for one term of leading."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        bucket: TokenBucket,
        retry: float,
        done: Callable[[CommitOutcome, int], None],
    ) -> None:
        """`done(ending, revision)` is told of each transaction, unless the sender was closed."""
        super().__init__(runtime)
        self._store, self._bucket, self._retry, self._done = store, bucket, retry, done
        self._open = True

    def close(self) -> None:
        """Nothing is sent again or told from now on."""
        self._open = False

    def send(self, transaction: Transaction, unsure: bool = False) -> None:
        """Sends it until its outcome is certain. `unsure`: a copy may have been carried out."""
        if not self._open:
            return

        def told(outcome: Outcome, revision: int) -> None:
            if not self._open:
                return
            if outcome is Outcome.COMMITTED:
                self._done(CommitOutcome.COMMITTED, revision)
            elif outcome is Outcome.CONFLICT and unsure:
                # The first copy may have been carried out although its answer was lost.
                self._read_back(transaction)
            elif outcome is Outcome.CONFLICT:
                self._done(CommitOutcome.LOST, 0)
            elif outcome is Outcome.INVALID:
                self._done(CommitOutcome.TOO_LARGE, 0)
            else:
                self._bucket.take(transaction.changes)
                delay = max(self._retry / 4, self._bucket.wait(transaction.changes))
                self.later(
                    delay, self.send, transaction, unsure or outcome is Outcome.INDETERMINATE
                )

        self._store.compare_and_swap(
            transaction.guards,
            transaction.puts,
            transaction.drops,
            told,
            commit=True,
            first=not unsure,
        )

    def _read_back(self, transaction: Transaction) -> None:
        """Finds out by one key of it whether the transaction was carried out."""
        key = next(iter([*transaction.puts, *transaction.drops]))

        def told(known: bool, row: wire.Row | None) -> None:
            if not self._open:
                return
            if not known:
                self.later(self._retry, self._read_back, transaction)
            elif (
                row is not None
                and row.version != transaction.guards[key]
                and pack(row.value) == pack(transaction.puts.get(key))
            ):
                # A transaction is atomic: one page tells for all.
                self._done(CommitOutcome.COMMITTED, row.version)
            elif row is None and not transaction.puts:
                self._done(CommitOutcome.COMMITTED, 0)
            else:
                self._done(CommitOutcome.LOST, 0)

        self._store.get(key, told)
