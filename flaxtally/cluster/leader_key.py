"""The leader key of the key-value store, which holds the current leader and its term."""

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
    """Identifies the process that took over; a restarted controller has another one."""

    def to_value(self) -> dict[str, Any]:
        """Returns the record in its stored form."""
        return {"term": self.term, "node": self.node, "boot": self.incarnation_id}


def parse_leader_record(value: Any) -> LeaderRecord:
    """Returns the record that a stored value holds, or raises `InvalidLeaderKeyError`."""
    if not isinstance(value, dict) or not isinstance(value.get("term"), int):
        raise InvalidLeaderKeyError(
            f"not a leader record: {value!r}, expected a map with an integer 'term'"
        )
    return LeaderRecord(value["term"], str(value.get("node")), value.get("boot"))


class LeaderKeyReader:
    """Reads the leader key, and keeps its version as the guard of a campaign."""

    def __init__(self, store: KeyValueStore, on_read: Callable[[wire.Row | None], None]) -> None:
        """`on_read` gets the row after each successful read, None if the key does not exist."""
        self._store = store
        self._on_read = on_read
        self._is_reading = False
        self.version = 0
        """Version of the key as it was last read."""
        self.is_current = False
        """Whether the key was read and has, as far as is known, not changed since."""
        self.names_earlier_incarnation = False
        """Whether the key names this controller, but was written by an earlier process of it."""

    def read(self) -> None:
        """Reads the key, unless a read is pending."""
        if not self._is_reading:
            self._is_reading = True
            self._store.get(LEADER_KEY, self._on_reply)

    def _on_reply(self, is_read: bool, row: wire.Row | None) -> None:
        self._is_reading = False
        if is_read:
            self._on_read(row)

    def mark_current(self, version: int) -> None:
        """Allows a campaign guarded by that version."""
        self.version = version
        self.is_current = True

    def mark_outdated(self) -> None:
        """Forbids campaigns until the key is read again, since it has or may have changed."""
        self.is_current = False
