"""Decides which machines are redirected to the controller that owns their shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .sharding import find_shard_owner, map_controllers_to_zones

if TYPE_CHECKING:
    from ..cluster.leader_election import LeaderElection
    from ..cluster.peer_links import PeerLinks
    from ..protocol import wire
    from ..settings import Settings

FAILED_REDIRECT_LEASES = 3
"""Durations of a worker's lease for which a machine that came back is not redirected again."""
NEVER = float("-inf")


class ShardRedirects:
    """Tracks the machines of other controllers' shards that report to this controller."""

    def __init__(self, settings: Settings, election: LeaderElection, peers: PeerLinks) -> None:
        """Determines the owners of shards from the live members according to `election`."""
        self._node = settings.node
        self._lease_s = settings.lease_s
        self._election = election
        self._peers = peers
        self._zone_by_controller = map_controllers_to_zones(settings)
        self._owner_cache: dict[str, str | None] = {}
        """Owner of the shard by machine, valid for the live members in `_owner_cache_members`."""
        self._owner_cache_members: list[str] = []
        self._redirected_at: dict[str, float] = {}
        self._returned_at: dict[str, float] = {}
        """When a machine last reported here although it had just been redirected."""
        self._reported_at: dict[str, float] = {}
        """When a machine of another controller's shard last reported here."""

    def find_redirect_target(self, heartbeat: wire.Heartbeat, now: float) -> str | None:
        """Returns the controller that the machine should report to; None to accept it here."""
        machine = heartbeat.machine
        owner = self._find_owner(machine, heartbeat.zone)
        if owner is None or owner == self._node or not self._peers.is_directly_reachable(owner):
            return None
        if now - self._redirected_at.get(machine, NEVER) < self._lease_s:
            # It came back after a redirect, so it probably can't reach its owner.
            self._returned_at[machine] = now
        has_reported_recently = now - self._reported_at.get(machine, NEVER) < self._lease_s / 2
        self._reported_at[machine] = now
        return_age_s = now - self._returned_at.get(machine, NEVER)
        if not has_reported_recently or return_age_s <= FAILED_REDIRECT_LEASES * self._lease_s:
            # Never redirect the first heartbeat: the machine may come from an owner that does not
            # reply (it is partitioned from workers only, or its process is paused), and waiting for
            # that reply took half of the machine's lease.
            return None
        self._redirected_at[machine] = now
        return owner

    def expire(self, before: float) -> None:
        """Drops records from before the given time."""
        self._redirected_at = _drop_older_than(before, self._redirected_at)
        self._returned_at = _drop_older_than(before, self._returned_at)
        self._reported_at = _drop_older_than(before, self._reported_at)

    def _find_owner(self, machine: str, zone: str) -> str | None:
        members = self._election.live_members
        if members != self._owner_cache_members:
            self._owner_cache = {}
            self._owner_cache_members = list(members)
        if machine not in self._owner_cache:
            self._owner_cache[machine] = find_shard_owner(
                machine, zone, members, self._zone_by_controller
            )
        return self._owner_cache[machine]


def _drop_older_than(before: float, times: dict[str, float]) -> dict[str, float]:
    return {machine: at for machine, at in times.items() if at > before}
