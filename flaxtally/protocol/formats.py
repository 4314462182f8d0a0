"""Format versions of what controllers write for each other: log records, keys, frames.

During a rolling upgrade old and new controllers work on one write-ahead log. Each announces the
range of formats that it reads; one that announces none reads only the first format. The committed
cluster format is the newest that may be written; the leader raises it once every configured
controller reads the new one.
"""

from __future__ import annotations

from typing import NamedTuple

FIRST = 1
"""The format from before controllers announced versions: single records, no batches."""
GANGS = 2
"""Adds batches of records that are read completely or not at all, and the attempts of gangs."""
LENDING = 3
"""Adds the records of loans; the cluster format is raised to it only where lending is enabled."""


class FormatRange(NamedTuple):
    """The formats that a controller reads, both ends included."""

    oldest: int
    newest: int


SUPPORTED = FormatRange(FIRST, LENDING)
"""The formats that this version reads."""
UNANNOUNCED = FormatRange(FIRST, FIRST)
"""The formats that a controller which announces none reads."""


def parse_range(value: object) -> FormatRange:
    """Returns the range that a frame announces; `UNANNOUNCED` if there is none or it is invalid."""
    if (
        isinstance(value, list | tuple)
        and len(value) == 2
        and all(type(bound) is int for bound in value)
        and FIRST <= value[0] <= value[1]
    ):
        return FormatRange(*value)
    return UNANNOUNCED
