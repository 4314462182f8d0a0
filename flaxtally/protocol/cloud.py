"""Messages to and from the cloud."""

from __future__ import annotations

import msgspec


class MachineType(
    msgspec.Struct,
    rename={
        "name": "label",
        "gpus": "cards",
        "memory_gb": "ramGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "pullGbPerS",
        "hourly_price": "hourly",
        "hourly_spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "yards",
    },
):
    """A machine type that the cloud offers."""

    name: str
    cores: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    hourly_price: float
    hourly_spot_price: float
    boot_s: float
    zones: list[str]


class MachineTypeList(msgspec.Struct, rename={"types": "breeds"}):
    """All machine types of the cloud."""

    types: list[MachineType]


class ProvisionRequest(
    msgspec.Struct,
    frozen=True,
    rename={
        "request": "hire",
        "machine_type": "breed",
        "zone": "yard",
        "spot": "loaner",
        "count": "number",
    },
):
    """A request for machines.

    `request` is its idempotency key: the cloud executes requests with the same key once, so a key
    must never be reused for another request.
    """

    request: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class ProvisionReply(msgspec.Struct, rename={"machines": "rigs"}):
    """The machines that were provisioned; may be fewer than requested."""

    machines: list[str]


class TerminateRequest(msgspec.Struct, rename={"machines": "rigs"}):
    """A request to terminate machines."""

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={
        "machine": "ref",
        "machine_type": "breed",
        "zone": "yard",
        "spot": "loaner",
        "state": "stage",
        "age_s": "ageS",
    },
):
    """A machine as the cloud lists it."""

    machine: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    address: str | None = None


class MachineList(msgspec.Struct, rename={"machines": "rigs", "more": "hasNext"}):
    """A page of the cloud's list of machines."""

    machines: list[ListedMachine]
    more: bool = False
