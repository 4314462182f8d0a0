"""Best-effort work: arrays of the lowest rank. Pure.

It runs on capacity that other work leaves and on cheap machines. A machine type that costs several
times the cheapest is neither provisioned nor kept for it alone.
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
"""Machine types, each with whether it is a spot instance."""
NO_EXPENSIVE_TYPES: ExpensiveTypes = frozenset()


def find_expensive_types(
    spec: wire.Spec | Shape,
    machine_types: Mapping[str, wire.MachineType],
    gpu_reservations: GpuReservations,
    max_price_ratio: float,
) -> ExpensiveTypes:
    """The types on which a task costs more than `max_price_ratio` times as much as the cheapest.

    The cheapest counts even while none can be had: a refused pool makes no other one cheap.
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
    """What a task's share of the machine costs an hour, by its scarcest resource.

    On a GPU machine a task without GPUs gets what isn't reserved for GPU tasks.
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
