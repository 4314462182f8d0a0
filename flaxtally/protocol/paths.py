"""HTTP paths of the protocol, and the queries of those that list something."""

from __future__ import annotations

JOBS = "/work"
HEARTBEAT = "/agent/beat"
COMMANDS = "/orders"
WORKER_STATUS = "/status"
HEALTH = "/up"
LOANS = "/loans"
"""The operators' page, beyond the protocol."""

MACHINE_TYPES = "/catalog"
MACHINES = "/rentals"
TERMINATE = "/rentals/release"

KEYS = "/store"
TRANSACTIONS = "/txn"
LEASES = "/holds"


def build_key_list_path(prefix: str, after: str | None, max_count: int) -> str:
    """The path of a page of keys with a prefix, those behind the key `after`."""
    start = f"&after={after}" if after else ""
    return f"{KEYS}?starts={prefix}{start}&most={max_count}"


def build_machine_list_path(after: str | None, max_count: int) -> str:
    """The path of a page of the cloud's machines, those behind the machine `after`."""
    start = f"&after={after}" if after else ""
    return f"{MACHINES}?most={max_count}{start}"
