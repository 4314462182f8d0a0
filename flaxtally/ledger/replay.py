"""Replay: a new leader reads all pages of the ledger once.

Writes of earlier leaders fail after the takeover, so the pages that are read are final.
"""

from __future__ import annotations

import enum
import logging
from typing import TYPE_CHECKING

from ..runtime.actor import Actor
from .cluster_state import UnsupportedFormatError
from .pages import PAGE_PREFIX, page_of_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..clients.key_value_store import KeyValueStore
    from ..protocol import wire
    from ..runtime.loop import Runtime
    from .cluster_state import ClusterState

log = logging.getLogger(__name__)


class ReplayOutcome(enum.Enum):
    """Outcome of a replay."""

    COMPLETE = "complete"
    DAMAGED = "damaged"
    """A page can't be read."""
    UNSUPPORTED_FORMAT = "unsupported format"
    """This program can't read the ledger."""


class Replay(Actor):
    """Reads the pages into a state, and retries until the store serves them."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        state: ClusterState,
        retry_s: float,
        on_done: Callable[[ReplayOutcome], None],
    ) -> None:
        """`on_done` is called once, unless the replay is closed before."""
        super().__init__(runtime)
        self.page_versions: dict[int, int] = {}
        self._store = store
        self._state = state
        self._retry_s = retry_s
        self._on_done = on_done
        self._is_open = True

    def start(self) -> None:
        """Requests the pages from the store."""
        self._store.list_prefix(PAGE_PREFIX, self._on_rows)

    def close(self) -> None:
        """Ends the term: `on_done` is not called any more."""
        self._is_open = False

    def _on_rows(self, rows: list[wire.Row] | None) -> None:
        if not self._is_open:
            return
        if rows is None:
            self.later(self._retry_s, self.start)
            return
        self._on_done(self._read_pages(rows))

    def _read_pages(self, rows: list[wire.Row]) -> ReplayOutcome:
        for row in rows:
            try:
                self._read_page(row)
            except UnsupportedFormatError as error:
                log.error("event=ledger_format_unknown page=%s why=%r", row.key, str(error))
                return ReplayOutcome.UNSUPPORTED_FORMAT
            except Exception as error:
                # Serving without a part of the ledger could start a task twice, so nothing is
                # served until it is repaired.
                log.error("event=ledger_damaged page=%s why=%r", row.key, error)
                return ReplayOutcome.DAMAGED
        return ReplayOutcome.COMPLETE

    def _read_page(self, row: wire.Row) -> None:
        page = page_of_key(row.key)
        self.page_versions[page] = row.version
        for stored in row.value["r"]:
            self._state.replay(stored, page)
