"""The process's limit on open files, which include sockets."""

from __future__ import annotations

import resource

NON_SOCKET_FILES = 32
"""Number of open files that a controller needs besides its connections: standard streams, the
selector, listeners, modules being read.
"""


def compute_open_files_needed(sockets: int) -> int:
    """Returns the number of open files that a controller with that many sockets needs."""
    return sockets + NON_SOCKET_FILES


def get_open_files_limit() -> int | None:
    """Returns the maximum number of open files that `raise_limit` can allow; None: unlimited."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if hard == resource.RLIM_INFINITY else hard


def raise_limit(needed: int) -> int:
    """Raises the soft limit to `needed` as far as allowed; returns how many files may be open."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= needed:
        return needed
    granted = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (granted, hard))
    except (OSError, ValueError):
        return soft
    return granted
