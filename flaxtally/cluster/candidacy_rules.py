"""Whether a controller that can't see the leader should campaign now.

A takeover that comes too early costs work, never safety: the leader key's version guards every
write. So these rules are only about when it is worth it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..policy import Policy


class CandidacyAction(enum.Enum):
    """What to do about a lost leader."""

    WAIT = "wait"
    CAMPAIGN = "campaign"
    CHECK_LEASE = "check_lease"
    """The leader's lease at the key-value store decides."""


@dataclass(frozen=True)
class CandidacyDecision:
    """An action, and for `WAIT` when to evaluate again."""

    action: CandidacyAction
    retry_in_s: float = 0.0


@dataclass(frozen=True)
class LostLeader:
    """The situation of a controller that can't see the leader."""

    lost_for_s: float
    rank: int
    """Of this controller, by name, among those that could campaign."""
    is_alone: bool
    """No other controller can be reached but, perhaps, the leader."""
    refuses_connections: bool
    """The leader's address refuses connections: its process is likely dead."""
    is_seen_by_peer: bool
    """A reachable peer can see the leader."""


def decide_candidacy(leader: LostLeader, policy: Policy) -> CandidacyDecision:
    """Staggers the candidates by rank, then campaigns, or has the leader's lease checked."""
    stagger_s = policy.heartbeat * (0.25 + leader.rank)
    if leader.lost_for_s < stagger_s:
        return CandidacyDecision(CandidacyAction.WAIT, stagger_s)
    if (
        leader.is_alone
        and leader.refuses_connections
        and leader.lost_for_s < policy.refused_patience
    ):
        # All others refuse connections: they died together, or a filter stands between us. In the
        # second case the frames of a live leader will come through the store relay.
        return CandidacyDecision(CandidacyAction.WAIT, policy.heartbeat)
    if (leader.refuses_connections or not leader.is_alone) and not leader.is_seen_by_peer:
        return CandidacyDecision(CandidacyAction.CAMPAIGN)
    # Alone, or the peers disagree.
    return CandidacyDecision(CandidacyAction.CHECK_LEASE)
