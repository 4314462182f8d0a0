"""Decides when this controller campaigns for leadership, and writes the leader key."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.actor import Actor
from .candidacy_rules import CandidacyAction, UnreachableLeader, decide_candidacy
from .election_state import ElectionState, TransitionReason
from .leader_key import LEADER_KEY, LeaderKeyReader, LeaderRecord
from .leader_lease import LEADER_LEASE_PREFIX, is_leader_lease_held

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..policy import Policy
    from ..protocol import wire
    from ..runtime.loop import Runtime
    from .leader_observation import LeaderObservation
    from .peer_links import PeerLinks

STORE_CONTACT_PROBE_PERIODS = 2.2
"""Probe periods after its last reply during which the key-value store counts as reachable."""


@dataclass(frozen=True)
class ElectionContext:
    """The collaborators and settings that the components of the election share."""

    node: str
    incarnation_id: str
    """Identifies this process; a restarted controller has another one."""
    policy: Policy
    store: KeyValueStore
    peers: PeerLinks
    rng: random.Random
    state: ElectionState
    observation: LeaderObservation
    leader_key: LeaderKeyReader

    def is_store_reachable(self, now: float) -> bool:
        """Whether the key-value store replied recently."""
        return now - self.store.last_contact_at < STORE_CONTACT_PROBE_PERIODS * self.policy.probe


class Candidacy(Actor):
    """Runs the campaigns of this controller, one at a time."""

    def __init__(
        self,
        runtime: Runtime,
        context: ElectionContext,
        on_won: Callable[[int, int], None],
        refresh_leader_key: Callable[[], None],
    ) -> None:
        """`on_won` gets the term that was won and the leader key's version.

        `refresh_leader_key` starts another read of the key.
        """
        super().__init__(runtime)
        self._node = context.node
        self._incarnation_id = context.incarnation_id
        self._policy = context.policy
        self._store = context.store
        self._peers = context.peers
        self._rng = context.rng
        self._state = context.state
        self._observation = context.observation
        self._leader_key = context.leader_key
        self._context = context
        self._on_won = on_won
        self._refresh_leader_key = refresh_leader_key
        self._started_at = runtime.now()
        self._store_reported_down_at = float("-inf")
        self._is_campaign_pending = False
        """Whether a campaign waits for its delay to end, or for the reply to its write."""
        self._is_checking_lease = False
        self._attempt = 0
        """Number of the current takeover attempt. A process pause raises it, so that callbacks of
        attempts from before the pause are recognized as outdated.
        """
        self._is_ineligible = False
        """Whether this program must not lead, since it can't read the ledger's format."""

    def on_pause(self) -> None:
        """Invalidates pending attempts and the leader key as last read, after a process pause."""
        self._attempt += 1
        self._leader_key.mark_outdated()
        self._end_campaign(TransitionReason.PROCESS_PAUSED)

    def disable(self) -> None:
        """Prevents all further campaigns of this controller."""
        self._is_ineligible = True

    def on_store_reported_down(self) -> None:
        """Records that the peers were just told that this controller can't reach the store."""
        self._store_reported_down_at = self.runtime.now()

    def may_leader_rely_on_outage(self) -> bool:
        """Whether the leader may still take the store for down because this controller said so.

        See `LeaderElection.is_store_down_for_all`. A leader that is not heard has sent nothing
        recently that this controller could have replied to.
        """
        leader = self._state.leader
        since_report_s = self.runtime.now() - self._store_reported_down_at
        return (
            leader is not None
            and self._peers.is_directly_reachable(leader)
            and since_report_s < self._peers.max_echo_age_s
        )

    def evaluate(self) -> None:
        """Campaigns if neither this controller nor a peer that it reaches can see a leader."""
        if (
            self._state.is_leader
            or self._is_campaign_pending
            or self._is_ineligible
            or not self._context.is_store_reachable(self.runtime.now())
        ):
            return
        if not self._leader_key.is_current:
            if not self._observation.can_see_leader():
                self._refresh_leader_key()
        elif self._state.term == 0:
            delay_s = self._rng.uniform(0, self._policy.peer_silence / 4)
            self._schedule_campaign(delay_s, TransitionReason.NO_LEADER_YET)
        elif self._leader_key.names_earlier_incarnation:
            self._schedule_campaign(0.0, TransitionReason.OWN_EARLIER_INCARNATION)
        elif self._is_leader_unreachable():
            if not self.may_leader_rely_on_outage():
                self._evaluate_takeover()
        else:
            self._observation.unreachable_since = None

    def _is_leader_unreachable(self) -> bool:
        running_s = self.runtime.now() - self._started_at
        return not self._observation.can_see_leader() and running_s > self._policy.peer_silence

    def _evaluate_takeover(self) -> None:
        decision = decide_candidacy(self._assess_unreachable_leader(), self._policy)
        if decision.action is CandidacyAction.WAIT:
            self.later(decision.retry_in_s, self.evaluate)
        elif decision.action is CandidacyAction.CAMPAIGN:
            delay_s = self._rng.uniform(0, self._policy.heartbeat / 2)
            self._schedule_campaign(delay_s, TransitionReason.LEADER_UNREACHABLE)
        else:
            self._check_lease()

    def _assess_unreachable_leader(self) -> UnreachableLeader:
        peers, leader = self._peers, self._state.leader
        others = [
            peer
            for peer in peers.last_heard_at
            if peer != leader and peers.is_reachable(peer) and not peers.refuses_connections(peer)
        ]
        return UnreachableLeader(
            unreachable_for_s=self._observation.measure_unreachable_s(self.runtime.now()),
            rank=sorted([self._node, *others]).index(self._node),
            is_alone=not others,
            refuses_connections=leader is not None and peers.refuses_connections(leader),
            is_seen_by_peer=self._observation.is_seen_by_any(others),
        )

    # The lease of an unreachable leader

    def _check_lease(self) -> None:
        # On a slow processor, a new leader may still be replaying the ledger and not hold a lease
        # yet.
        replaced_for_s = self.runtime.now() - self._observation.replaced_at
        if self._is_checking_lease or replaced_for_s <= self._policy.lease_patience:
            return
        self._is_checking_lease = True
        self._store.list_prefix(LEADER_LEASE_PREFIX, partial(self._on_lease_checked, self._attempt))

    def _on_lease_checked(self, attempt: int, rows: list[wire.Row] | None) -> None:
        self._is_checking_lease = False
        is_outdated = attempt != self._attempt
        if is_outdated or rows is None or is_leader_lease_held(self._state.term, rows):
            return
        delay_s = self._rng.uniform(0, self._policy.heartbeat)
        self._schedule_campaign(delay_s, TransitionReason.LEADER_LEASE_EXPIRED)

    # The campaign

    def _schedule_campaign(self, delay_s: float, reason: TransitionReason) -> None:
        self._is_campaign_pending = True
        self._state.become_candidate(reason)
        self.later(delay_s, self._campaign, self._attempt, reason)

    def _campaign(self, attempt: int, reason: TransitionReason) -> None:
        if attempt != self._attempt:
            return
        if self._state.is_leader or not self._leader_key.is_current:
            self._end_campaign(TransitionReason.CAMPAIGN_OUTDATED)
            return
        self._state.become_candidate(reason)
        record = LeaderRecord(self._state.term + 1, self._node, self._incarnation_id)
        self._store.compare_and_swap(
            {LEADER_KEY: self._leader_key.version},
            {LEADER_KEY: record.to_value()},
            [],
            partial(self._on_campaign_reply, attempt, record.term),
            is_first_try=True,
        )

    def _on_campaign_reply(
        self, attempt: int, term: int, outcome: Outcome, key_version: int
    ) -> None:
        if attempt != self._attempt:
            # Another controller may have taken over since. The leader key shows who leads, and also
            # whether this write succeeded.
            self._refresh_leader_key()
            return
        if outcome is Outcome.COMMITTED and term > self._state.term:
            self._is_campaign_pending = False
            self._on_won(term, key_version)
            return
        self._end_campaign(TransitionReason.CAMPAIGN_LOST)
        if outcome is not Outcome.COMMITTED:
            self._leader_key.mark_outdated()
            self._refresh_leader_key()

    def _end_campaign(self, reason: TransitionReason) -> None:
        self._is_campaign_pending = False
        self._state.end_candidacy(reason)
