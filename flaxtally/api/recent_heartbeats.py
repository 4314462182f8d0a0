"""Keeps the newest heartbeat of each machine, for a term that begins at this controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from ..protocol import wire
    from ..runtime.loop import Runtime


class _ReceivedHeartbeat(NamedTuple):
    received_at: float
    heartbeat: wire.Heartbeat


class RecentHeartbeats:
    """The newest heartbeat of each machine that reported to this controller."""

    def __init__(self, runtime: Runtime, lease_s: float) -> None:
        """`lease_s`: the duration of a worker's lease, for which a heartbeat counts as recent."""
        self._runtime = runtime
        self._lease_s = lease_s
        self._received: dict[str, _ReceivedHeartbeat] = {}

    def record(self, heartbeat: wire.Heartbeat) -> None:
        """Keeps the heartbeat unless a newer one is known, since late copies of old ones arrive."""
        known = self._received.get(heartbeat.machine)
        if known is None or heartbeat.recency > known.heartbeat.recency:
            now = self._runtime.now()
            self._received[heartbeat.machine] = _ReceivedHeartbeat(now, heartbeat)

    def get_newest(self, machine: str) -> wire.Heartbeat | None:
        """Returns the machine's newest heartbeat; None if none is kept."""
        known = self._received.get(machine)
        return known.heartbeat if known is not None else None

    def list_recent(self) -> list[wire.Heartbeat]:
        """Returns the heartbeats that were received within the last lease."""
        now = self._runtime.now()
        return [
            known.heartbeat
            for known in self._received.values()
            if now - known.received_at < self._lease_s
        ]

    def expire(self, before: float) -> None:
        """Drops heartbeats that were received before the given time."""
        self._received = {
            machine: known
            for machine, known in self._received.items()
            if known.received_at > before
        }
