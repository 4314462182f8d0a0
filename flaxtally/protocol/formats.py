"""Format versions of what controllers write for each other: log records, keys, frames.

During a rolling upgrade old and new controllers work on one write-ahead log. Each states the range
of formats that it reads; one that states none reads only the first format. The committed cluster
format, which the leader raises once every configured controller reads it, bounds what may be
written.
"""

from __future__ import annotations

from typing import NamedTuple

FIRST = 1
"""Before versions were stated: single records, none of them a batch."""
GANGS = 2
"""Adds batches of records that are read whole or not at all, and the attempts of gangs."""
LENDING = 3
"""Adds the records of loans; raised only where lending is enabled."""


class FormatRange(NamedTuple):
    """The formats that a controller reads, both ends included."""

    oldest: int
    newest: int


SUPPORTED = FormatRange(FIRST, LENDING)
"""What this version reads."""
UNANNOUNCED = FormatRange(FIRST, FIRST)
"""A controller that states no range."""


def parse_range(value: object) -> FormatRange:
    """The range that a frame states; `UNANNOUNCED` if it states none that is valid."""
    if (
        isinstance(value, list | tuple)
        and len(value) == 2
        and all(type(bound) is int for bound in value)
        and FIRST <= value[0] <= value[1]
    ):
        return FormatRange(*value)
    return UNANNOUNCED
