"""Drops the entries of machines that have not reported for a long time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..runtime.actor import Actor

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..runtime.loop import Runtime

RETENTION_LEASES = 4
"""Durations of a worker's lease for which entries are kept; none is used for longer."""


class ExpiringTable(Protocol):
    """A table by machine whose entries hold the time of their last use."""

    def expire(self, before: float) -> None:
        """Drops entries that were last used before the given time."""


class ExpiryTimer(Actor):
    """Expires old entries of the given tables once per lease."""

    def __init__(self, runtime: Runtime, lease_s: float, tables: Sequence[ExpiringTable]) -> None:
        """`lease_s`: the duration of a worker's lease."""
        super().__init__(runtime)
        self._lease_s = lease_s
        self._tables = tables
        self.every(lease_s, self._expire)

    def _expire(self) -> None:
        before = self.runtime.now() - RETENTION_LEASES * self._lease_s
        for table in self._tables:
            table.expire(before)
