"""Best-effort work: arrays of the lowest rank. Pure.

It runs on room that other work leaves and on cheap machines. A machine type that costs several
times the cheapest is neither rented nor kept for it alone.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .placement import GpuNeeds, allowed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..protocol import wire
    from ..protocol.shape import Shape

ExpensiveTypes = frozenset[tuple[str, bool]]
"""Machine types, each with whether it is spot."""
NO_EXPENSIVE_TYPES: ExpensiveTypes = frozenset()


def _hourly(spec: wire.Spec | Shape, kind: wire.MachineType, spot: bool, needs: GpuNeeds) -> float:
    """What a task's share of the machine costs an hour, by its scarcest resource.

    Of a GPU machine a task without GPUs gets what is not kept for its GPUs.
    """
    cores, memory_gb = kind.cores, kind.memory_gb
    if kind.gpus and not spec.gpus:
        cores -= kind.gpus * min(needs.cores, kind.cores / kind.gpus)
        memory_gb -= kind.gpus * min(needs.memory_gb, kind.memory_gb / kind.gpus)
    if cores < spec.cores or memory_gb < spec.memory_gb:
        return math.inf
    shares = [
        amount / of for amount, of in ((spec.cores, cores), (spec.memory_gb, memory_gb)) if amount
    ]
    if spec.gpus:
        shares.append(spec.gpus / kind.gpus)
    return max(shares, default=0.0) * (kind.hourly_spot_price if spot else kind.hourly_price)


def find_expensive_types(
    spec: wire.Spec | Shape,
    kinds: Mapping[str, wire.MachineType],
    needs: GpuNeeds,
    most: float,
) -> ExpensiveTypes:
    """The types on which a task costs more than `most` times as much as on the cheapest.

    The cheapest counts even while none can be had: a refused pool makes no other one cheap.
    """
    prices = {
        (kind.name, spot): _hourly(spec, kind, spot, needs)
        for kind in kinds.values()
        for spot in (False, True)
        if any(allowed(spec, kind, zone, spot) for zone in kind.zones)
    }
    lowest = min(prices.values(), default=0.0)
    return frozenset(pool for pool, price in prices.items() if price > most * lowest)
