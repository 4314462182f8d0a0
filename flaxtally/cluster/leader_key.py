"""The leader key of the key-value store: who leads, and under which term."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clients.key_value_store import KeyValueStore
    from ..protocol import wire

LEADER_KEY = "lead"


class InvalidLeaderKeyError(ValueError):
    """The leader key holds something other than a leader record."""


@dataclass(frozen=True)
class LeaderRecord:
    """The value of the leader key."""

    term: int
    node: str
    incarnation_id: Any
    """Of the process that took over; a restarted controller has another."""

    def to_value(self) -> dict[str, Any]:
        """The record as it is stored."""
        return {"term": self.term, "node": self.node, "boot": self.incarnation_id}


def parse_leader_record(value: Any) -> LeaderRecord:
    """The record that a stored value holds, or `InvalidLeaderKeyError`."""
    if not isinstance(value, dict) or not isinstance(value.get("term"), int):
        raise InvalidLeaderKeyError(f"not a leader record: {value!r}")
    return LeaderRecord(value["term"], str(value.get("node")), value.get("boot"))


class LeaderKeyReader:
    """Reads the leader key, and keeps the version that a campaign is guarded by."""

    def __init__(self, store: KeyValueStore, on_read: Callable[[wire.Row | None], None]) -> None:
        """`on_read` gets each row that was read, None where the key does not exist."""
        self._store = store
        self._on_read = on_read
        self._is_reading = False
        self.version = 0
        """Of the key as it was last read."""
        self.is_current = False
        """The key was read, and nothing has shown since that it changed."""
        self.names_earlier_incarnation = False
        """The key names this controller, as an earlier process of it wrote it."""

    def read(self) -> None:
        """Reads the key, unless that is under way."""
        if not self._is_reading:
            self._is_reading = True
            self._store.get(LEADER_KEY, self._on_answer)

    def _on_answer(self, is_known: bool, row: wire.Row | None) -> None:
        self._is_reading = False
        if is_known:
            self._on_read(row)

    def mark_current(self, version: int) -> None:
        """A campaign may be guarded by that version."""
        self.version = version
        self.is_current = True

    def mark_outdated(self) -> None:
        """The key has changed, or may have: no campaign before it is read anew."""
        self.is_current = False
