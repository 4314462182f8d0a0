"""Assigns machines to the controllers that handle their heartbeats, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..settings import Settings

WEIGHT_BYTES = 8


def compute_rendezvous_weight(key: str, name: str) -> bytes:
    """Returns a name's weight for a key: evenly distributed, and the same in every process."""
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=WEIGHT_BYTES).digest()


def find_shard_owner(
    machine: str, zone: str, controllers: list[str], zone_by_controller: dict[str, str]
) -> str | None:
    """Returns the controller whose shard the machine belongs to; None if there are no controllers.

    Controllers of the machine's own zone are preferred. If zones can't reach each other, a worker
    that first had to try the controllers of other zones, at some seconds each, would lose its lease
    meanwhile.
    """
    in_zone = [name for name in controllers if zone_by_controller.get(name) == zone]
    return max(
        in_zone or controllers,
        key=lambda name: compute_rendezvous_weight(machine, name),
        default=None,
    )


def map_controllers_to_zones(settings: Settings) -> dict[str, str]:
    """Returns the zone of each controller, this one included."""
    zones = {settings.node: settings.zone}
    zones.update({name: zone for name, (zone, _) in settings.peers.items()})
    return zones
