"""How many files this process may open, sockets included."""

from __future__ import annotations

import resource

NON_SOCKET_FILES = 32
"""Beside a controller's sockets: standard streams, the selector, listeners, modules being read."""


def compute_open_files_needed(sockets: int) -> int:
    """Open files of a controller that uses so many sockets."""
    return sockets + NON_SOCKET_FILES


def get_open_files_limit() -> int | None:
    """As many as the process may have after `raise_limit`; None: there is no bound."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if hard == resource.RLIM_INFINITY else hard


def raise_limit(needed: int) -> int:
    """Raises the process's own limit if it is lower and may be; returns how many it may open."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= needed:
        return needed
    granted = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (granted, hard))
    except (OSError, ValueError):
        return soft
    return granted
