"""Ports for tests that start real processes, so that several runs can share a machine."""

from __future__ import annotations

import random

from flaxtally.emulator.limits import LimitError, check_port_is_free
from flaxtally.emulator.plan import HOST

RANGE_LENGTH = 100
"""Consecutive ports that a test gets. The first one is a multiple of this."""
LOWEST_PORT, HIGHEST_PORT = 10_000, 20_000
"""Below the ports of outgoing connections, and of other programs that draw theirs at random."""
MAX_TRIES = 100


def find_free_ports() -> int:
    """Returns the first of `RANGE_LENGTH` consecutive ports on which nothing listens.

    Nothing reserves them: a range is drawn at random, so that another test hardly gets the same.
    """
    for _ in range(MAX_TRIES):
        first = random.randrange(LOWEST_PORT, HIGHEST_PORT, RANGE_LENGTH)
        if all(_is_free(port) for port in range(first, first + RANGE_LENGTH)):
            return first
    raise OSError(f"no {RANGE_LENGTH} free ports in a row on {HOST} in {MAX_TRIES} tries")


def _is_free(port: int) -> bool:
    try:
        check_port_is_free((HOST, port))
    except LimitError:
        return False
    return True
