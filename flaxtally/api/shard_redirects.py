"""Decides which machines are redirected to the controller that owns their shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .sharding import find_shard_owner, zones_of_controllers

if TYPE_CHECKING:
    from ..cluster.leader_election import LeaderElection
    from ..cluster.peer_links import PeerLinks
    from ..protocol import wire
    from ..settings import Settings

BOUNCE_LEASES = 3
"""A machine that came back from a redirect is answered here for so many leases."""
NEVER = float("-inf")


class ShardRedirects:
    """Owns what is known of machines of other controllers' shards that report here."""

    def __init__(self, settings: Settings, election: LeaderElection, peers: PeerLinks) -> None:
        """The owner of a shard follows from the live members that the leader names."""
        self._node = settings.node
        self._lease_s = settings.lease_s
        self._election = election
        self._peers = peers
        self._zone_by_controller = zones_of_controllers(settings)
        self._owners: dict[str, str | None] = {}
        """By machine, for the live members in `_owners_members`."""
        self._owners_members: list[str] = []
        self._redirected_at: dict[str, float] = {}
        self._bounced_at: dict[str, float] = {}
        """When a machine last reported here although it had just been redirected."""
        self._reported_at: dict[str, float] = {}
        """When a machine of another controller's shard last reported here."""

    def owner_to_redirect_to(self, heartbeat: wire.Heartbeat, now: float) -> str | None:
        """The controller that the machine is to report to instead; None: it is answered here."""
        machine = heartbeat.machine
        owner = self._owner_of(machine, heartbeat.zone)
        if owner is None or owner == self._node or not self._peers.is_directly_reachable(owner):
            return None
        if now - self._redirected_at.get(machine, NEVER) < self._lease_s:
            # Redirected and back again: evidently it can't reach its owner.
            self._bounced_at[machine] = now
        reported_lately = now - self._reported_at.get(machine, NEVER) < self._lease_s / 2
        self._reported_at[machine] = now
        bounce_age_s = now - self._bounced_at.get(machine, NEVER)
        if not reported_lately or bounce_age_s <= BOUNCE_LEASES * self._lease_s:
            # Never at its first heartbeat here: it may come from an owner that does not answer it
            # (cut off from workers alone, or standing still), and that took half of its lease.
            return None
        self._redirected_at[machine] = now
        return owner

    def expire(self, before: float) -> None:
        """Drops what happened before that time."""
        self._redirected_at = _newer_than(before, self._redirected_at)
        self._bounced_at = _newer_than(before, self._bounced_at)
        self._reported_at = _newer_than(before, self._reported_at)

    def _owner_of(self, machine: str, zone: str) -> str | None:
        members = self._election.live_members
        if members != self._owners_members:
            self._owners = {}
            self._owners_members = list(members)
        if machine not in self._owners:
            self._owners[machine] = find_shard_owner(
                machine, zone, members, self._zone_by_controller
            )
        return self._owners[machine]


def _newer_than(before: float, times: dict[str, float]) -> dict[str, float]:
    return {machine: at for machine, at in times.items() if at > before}
