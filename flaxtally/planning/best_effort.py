"""Best-effort jobs: arrays of the lowest rank. Performs no I/O.

They run on capacity that other jobs leave unused, and on cheap machines. A machine type that costs
several times as much as the cheapest is neither provisioned nor kept for best-effort jobs alone.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .placement import GpuReservations, may_use_machine_type

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..protocol import wire
    from ..protocol.shape import Shape

ExpensiveTypes = frozenset[tuple[str, bool]]
"""Names of machine types, each with whether its machines are spot instances."""
NO_EXPENSIVE_TYPES: ExpensiveTypes = frozenset()
"""For jobs that are not best-effort: they may use all machine types."""


def find_expensive_types(
    spec: wire.Spec | Shape,
    machine_types: Mapping[str, wire.MachineType],
    gpu_reservations: GpuReservations,
    max_price_ratio: float,
) -> ExpensiveTypes:
    """Returns the types on which a task costs more than `max_price_ratio` times the lowest price.

    The lowest price counts even while the cheapest pool is unavailable: that makes no other pool
    cheap.
    """
    prices = {
        (machine_type.name, spot): _hourly_price(spec, machine_type, gpu_reservations, spot=spot)
        for machine_type in machine_types.values()
        for spot in (False, True)
        if any(may_use_machine_type(spec, machine_type, zone, spot) for zone in machine_type.zones)
    }
    lowest = min(prices.values(), default=0.0)
    return frozenset(pool for pool, price in prices.items() if price > max_price_ratio * lowest)


def _hourly_price(
    spec: wire.Spec | Shape,
    machine_type: wire.MachineType,
    gpu_reservations: GpuReservations,
    *,
    spot: bool,
) -> float:
    """Returns the hourly price of the largest fraction of a resource that a task takes.

    On a GPU machine, a task without GPUs may use only what isn't reserved for GPU tasks.
    """
    cores = machine_type.cores
    memory_gb = machine_type.memory_gb
    gpus = machine_type.gpus
    if gpus and not spec.gpus:
        cores -= gpus * min(gpu_reservations.cores, machine_type.cores / gpus)
        memory_gb -= gpus * min(gpu_reservations.memory_gb, machine_type.memory_gb / gpus)
    if cores < spec.cores or memory_gb < spec.memory_gb:
        return math.inf
    shares = [
        amount / total
        for amount, total in ((spec.cores, cores), (spec.memory_gb, memory_gb))
        if amount
    ]
    if spec.gpus:
        shares.append(spec.gpus / gpus)
    price = machine_type.hourly_spot_price if spot else machine_type.hourly_price
    return max(shares, default=0.0) * price
