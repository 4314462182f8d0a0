"""HTTP paths of the protocol, and the query strings of those that return lists."""

from __future__ import annotations

JOBS = "/work"
HEARTBEAT = "/agent/beat"
COMMANDS = "/orders"
WORKER_STATUS = "/status"
HEALTH = "/up"
LOANS = "/loans"
"""Path of a page for operators, which is not part of the protocol."""

MACHINE_TYPES = "/catalog"
MACHINES = "/rentals"
TERMINATE = "/rentals/release"

KEYS = "/store"
TRANSACTIONS = "/txn"
LEASES = "/holds"


def build_key_list_path(prefix: str, after: str | None, max_count: int) -> str:
    """Returns the path of a page of the keys with a prefix that come after the key `after`."""
    start = f"&after={after}" if after else ""
    return f"{KEYS}?starts={prefix}{start}&most={max_count}"


def build_machine_list_path(after: str | None, max_count: int) -> str:
    """Returns the path of a page of the cloud's machines that come after the machine `after`."""
    start = f"&after={after}" if after else ""
    return f"{MACHINES}?most={max_count}{start}"
