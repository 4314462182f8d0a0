"""Which cell a job belongs to: a key a job at the state service that all cells share.

The key is created by the first controller that sends the job to a cell (`assign`). Until that cell
has put its mark on it (`kept`) it can be assigned anew, each time guarded by the key's version: of
a cell that keeps a job and a controller that sends it elsewhere just one succeeds, however late
their transactions arrive. A cell accepts no job that it has not kept, and what is kept is never
changed: so a job is accepted by one cell at most, and what was read as kept stays true.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from ..clients.key_value_store import KeyValueStore, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire

log = logging.getLogger(__name__)

JOBS = "jobs/"
MOST_KEPT = 200_000
"""Jobs whose cell is remembered, the last used ones; others are read again."""


class Entry(msgspec.Struct, frozen=True):
    """What the key of a job says."""

    cell: str
    kept: bool = False


class Found(msgspec.Struct, frozen=True):
    """An entry and the version of its key; `entry` None: there is none."""

    entry: Entry | None
    version: int = 0


class Directory:
    """Owns what this controller knows of jobs' cells. Answers None when it can't tell."""

    def __init__(self, store: KeyValueStore, max_remembered: int = MOST_KEPT) -> None:
        self._store, self._most = store, max_remembered
        self._kept: OrderedDict[str, str] = OrderedDict()

    def look_up(self, ref: str, done: Callable[[Found | None], None]) -> None:
        """The entry, as of a read after this call unless it is final."""
        cell = self._kept.get(ref)
        if cell is not None:
            self._kept.move_to_end(ref)
            done(Found(Entry(cell, kept=True)))
            return

        def told(known: bool, row: wire.Row | None) -> None:
            done(self._read(ref, row) if known else None)

        self._store.get(JOBS + ref, told)

    def assign(
        self, ref: str, entry: Entry, version: int, done: Callable[[Found | None], None]
    ) -> None:
        """Writes the entry if the key has that version; tells what the key says then.

        None: it is not known whether it was written. Asked again, the key tells.
        """

        def told(outcome: Outcome, revision: int) -> None:
            if outcome is Outcome.COMMITTED:
                self._remember(ref, entry)
                done(Found(entry, revision))
            elif outcome is Outcome.CONFLICT:
                self.look_up(ref, done)
            else:
                done(None)

        key = JOBS + ref
        value = msgspec.to_builtins(entry)
        self._store.compare_and_swap({key: version}, {key: value}, [], told, first=True)

    def _read(self, ref: str, row: wire.Row | None) -> Found | None:
        if row is None:
            return Found(None)
        try:
            entry = msgspec.convert(row.value, Entry)
        except msgspec.ValidationError as fault:
            log.error("event=directory_damaged job=%s why=%s", ref, fault)
            return None
        self._remember(ref, entry)
        return Found(entry, row.version)

    def _remember(self, ref: str, entry: Entry) -> None:
        if entry.kept:
            self._kept[ref] = entry.cell
            self._kept.move_to_end(ref)
            if len(self._kept) > self._most:
                self._kept.popitem(last=False)
