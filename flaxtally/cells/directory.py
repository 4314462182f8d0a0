"""The directory of jobs: one key per job at the shared state service names the job's cell.

The first controller that sends the job to a cell creates the key (`assign`). Until that cell has
marked the entry as kept (`kept`), the job can be assigned to another cell. Each write is guarded by
the key's version: if a cell keeps a job while a controller sends it to another cell, exactly one of
them succeeds, however late their transactions arrive. A cell only accepts jobs that it has kept,
and a kept entry never changes. Therefore at most one cell accepts a job, and a kept entry can be
cached.
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

JOB_KEY_PREFIX = "jobs/"
"""Prefix of the key of a job's entry."""
MAX_REMEMBERED_JOBS = 200_000
"""Capacity of the cache of kept entries, in jobs; the least recently used one is evicted."""


class Entry(msgspec.Struct, frozen=True):
    """The cell that a job is assigned to, as stored under the job's key."""

    cell: str
    kept: bool = False
    """Whether the cell has kept the job; from then on the entry never changes."""


class Lookup(msgspec.Struct, frozen=True):
    """An entry and the version of its key; `entry` is None if the job has no key."""

    entry: Entry | None
    version: int = 0


class Directory:
    """Reads and writes the entries of jobs, and caches those that are kept.

    Callbacks get None when the state service does not reply or the entry can't be decoded.
    """

    def __init__(self, store: KeyValueStore, max_remembered: int = MAX_REMEMBERED_JOBS) -> None:
        self._store, self._max_remembered = store, max_remembered
        self._kept_cells: OrderedDict[str, str] = OrderedDict()

    def look_up(self, ref: str, on_done: Callable[[Lookup | None], None]) -> None:
        """Looks up the job's entry: a kept one from the cache, any other by a new read."""
        cell = self._kept_cells.get(ref)
        if cell is not None:
            self._kept_cells.move_to_end(ref)
            on_done(Lookup(Entry(cell, kept=True)))
            return

        def on_reply(known: bool, row: wire.Row | None) -> None:
            on_done(self._parse_row(ref, row) if known else None)

        self._store.get(JOB_KEY_PREFIX + ref, on_reply)

    def assign(
        self, ref: str, entry: Entry, version: int, on_done: Callable[[Lookup | None], None]
    ) -> None:
        """Writes the entry if the key still has that version, and reports the entry in force.

        Reports None if it is unknown whether the entry was written; `look_up` shows it later.
        """

        def on_reply(outcome: Outcome, revision: int) -> None:
            if outcome is Outcome.COMMITTED:
                self._remember(ref, entry)
                on_done(Lookup(entry, revision))
            elif outcome is Outcome.CONFLICT:
                self.look_up(ref, on_done)
            else:
                on_done(None)

        key = JOB_KEY_PREFIX + ref
        value = msgspec.to_builtins(entry)
        self._store.compare_and_swap({key: version}, {key: value}, [], on_reply, is_first_try=True)

    def _parse_row(self, ref: str, row: wire.Row | None) -> Lookup | None:
        if row is None:
            return Lookup(None)
        try:
            entry = msgspec.convert(row.value, Entry)
        except msgspec.ValidationError as error:
            log.error("event=directory_damaged job=%s why=%s", ref, error)
            return None
        self._remember(ref, entry)
        return Lookup(entry, row.version)

    def _remember(self, ref: str, entry: Entry) -> None:
        if entry.kept:
            self._kept_cells[ref] = entry.cell
            self._kept_cells.move_to_end(ref)
            if len(self._kept_cells) > self._max_remembered:
                self._kept_cells.popitem(last=False)
