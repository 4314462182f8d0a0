"""The leader's lease at the key-value store.

It lets controllers that receive no heartbeats of the leader see whether it is alive: it is while a
key of its term exists under `LEADER_LEASE_PREFIX`. The store deletes the key when the lease
expires.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..clients.key_value_store import KeyValueStore, Outcome
from .leader_key import LEADER_KEY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..protocol import wire

LEADER_LEASE_PREFIX = "alive/"


def is_leader_lease_held(term: int, rows: Iterable[wire.Row]) -> bool:
    """Whether the rows under `LEADER_LEASE_PREFIX` contain a lease of the term's leader."""
    return any(row.value == term for row in rows)


class LeaderLease:
    """Obtains, records and renews the lease while this controller leads."""

    def __init__(self, store: KeyValueStore, ttl_s: float) -> None:
        """`ttl_s`: the time after its last renewal at which the lease expires."""
        self._store = store
        self._ttl_s = ttl_s
        self._term: int | None = None
        """The term that this controller leads; None while it does not lead."""
        self._leader_key_version = 0
        self._lease_id: int | None = None
        self._is_call_pending = False
        self._granted_count = 0
        """Number of leases recorded so far, which makes the key of each one unique."""

    def begin_term(self, term: int, leader_key_version: int) -> None:
        """Records that this controller was elected; `renew` then obtains a lease."""
        self._term = term
        self._leader_key_version = leader_key_version
        self._lease_id = None

    def end_term(self) -> None:
        """Stops renewing the lease and lets it expire: this controller no longer leads."""
        self._term = None
        self._lease_id = None

    def renew(self) -> None:
        """Renews the term's lease, or requests one; does nothing while a call is pending."""
        if self._is_call_pending or self._term is None:
            return
        self._is_call_pending = True
        if self._lease_id is not None:
            self._store.renew_lease(self._lease_id, partial(self._on_renewed, self._lease_id))
        else:
            self._store.grant_lease(self._ttl_s, partial(self._on_granted, self._term))

    def _on_renewed(self, lease_id: int, is_alive: bool | None) -> None:
        self._is_call_pending = False
        if is_alive is False and self._lease_id == lease_id:
            self._lease_id = None

    def _on_granted(self, term: int, lease_id: int | None) -> None:
        self._is_call_pending = False
        if lease_id is None or self._term != term:
            return
        self._lease_id = lease_id
        self._granted_count += 1
        key = f"{LEADER_LEASE_PREFIX}{term}-{self._granted_count}"
        self._store.compare_and_swap(
            {LEADER_KEY: self._leader_key_version, key: 0},
            {key: term},
            [],
            self._on_recorded,
            lease=lease_id,
        )

    def _on_recorded(self, outcome: Outcome, _revision: int) -> None:
        if outcome in (Outcome.UNAVAILABLE, Outcome.INVALID, Outcome.INDETERMINATE):
            self._lease_id = None
