"""Decides whether a controller that can't reach the leader should campaign now.

A premature takeover costs work but never safety, because every write is guarded by the leader key's
version. These rules therefore only weigh the cost of a takeover against that of waiting.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..policy import Policy


class CandidacyAction(enum.Enum):
    """What to do about an unreachable leader."""

    WAIT = "wait"
    CAMPAIGN = "campaign"
    CHECK_LEASE = "check_lease"
    """Read the leader's lease at the key-value store, and campaign if it has expired."""


@dataclass(frozen=True)
class CandidacyDecision:
    """An action, and for `WAIT` the delay until the next evaluation."""

    action: CandidacyAction
    retry_in_s: float = 0.0


@dataclass(frozen=True)
class UnreachableLeader:
    """What a controller that can't reach the leader knows about it and about its peers."""

    unreachable_for_s: float
    rank: int
    """Position of this controller, from 0, among the reachable controllers sorted by name."""
    is_alone: bool
    """Whether no controller other than, possibly, the leader can be reached."""
    refuses_connections: bool
    """Whether the leader's address refuses connections, so that its process is probably dead."""
    is_seen_by_peer: bool
    """Whether a reachable peer reports that it can reach the leader."""


def decide_candidacy(leader: UnreachableLeader, policy: Policy) -> CandidacyDecision:
    """Decides whether to wait (staggered by rank), to campaign, or to check the leader's lease."""
    stagger_s = policy.heartbeat * (0.25 + leader.rank)
    if leader.unreachable_for_s < stagger_s:
        return CandidacyDecision(CandidacyAction.WAIT, stagger_s)
    if (
        leader.is_alone
        and leader.refuses_connections
        and leader.unreachable_for_s < policy.refused_patience
    ):
        # All other controllers refuse connections: either they died together, or a packet filter
        # rejects the connections. In the second case the frames of a live leader arrive through the
        # store relay.
        return CandidacyDecision(CandidacyAction.WAIT, policy.heartbeat)
    if (leader.refuses_connections or not leader.is_alone) and not leader.is_seen_by_peer:
        return CandidacyDecision(CandidacyAction.CAMPAIGN)
    # No peer can confirm that the leader is dead, or a peer still sees it.
    return CandidacyDecision(CandidacyAction.CHECK_LEASE)
