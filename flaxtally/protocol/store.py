"""Messages to and from the key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Row(msgspec.Struct, rename={"key": "k", "value": "v", "version": "stamp"}):
    """A key of the store with its value and version."""

    key: str
    value: Any
    version: int


class Rows(msgspec.Struct, rename={"more": "hasNext"}):
    """A page of keys."""

    rows: list[Row]
    more: bool = False


class VersionCheck(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """A condition of a transaction: the key has this version (0: the key does not exist)."""

    key: str
    version: int


class Change(msgspec.Struct, omit_defaults=True, rename={"value": "v", "lease": "tenure"}):
    """A write (`put`, `value`, optionally `lease`) or a delete (`drop`) in a transaction."""

    put: str | None = None
    value: Any = msgspec.UNSET
    """UNSET in a delete; None is a valid value of a write."""
    lease: int | None = None
    """Id of the lease; the key is deleted when it expires."""
    drop: str | None = None


class Transaction(
    msgspec.Struct,
    omit_defaults=True,
    rename={"expected_versions": "guards", "changes": "apply"},
):
    """A compare-and-swap: all changes are made, or none when one of the versions differs."""

    expected_versions: list[VersionCheck]
    changes: list[Change] = []

    @classmethod
    def build(
        cls,
        expected_versions: Mapping[str, int],
        writes: Mapping[str, Any],
        deletes: Iterable[str],
        lease: int | None = None,
    ) -> Transaction:
        """Builds a transaction; `lease` is attached to every key that it writes."""
        changes = [Change(key, value, lease) for key, value in writes.items()]
        changes += [Change(drop=key) for key in deletes]
        checks = [VersionCheck(key, version) for key, version in expected_versions.items()]
        return cls(checks, changes)


class Revision(msgspec.Struct, rename={"revision": "ledger"}):
    """The store's revision after a transaction."""

    revision: int


class LeaseRequest(msgspec.Struct, rename={"milliseconds": "lifeMs"}):
    """A request for a lease of this length."""

    milliseconds: int


class Lease(msgspec.Struct, rename={"lease": "tenure"}):
    """A lease that was granted."""

    lease: int
