"""Leader election among the controllers of a cell.

The leader key holds the term and node of the leader (`leader_key.py`). A campaign is a
compare-and-swap on that key that raises the term by one and is guarded by the key's version as last
read. Every transaction of the ledger is guarded by that version too, so the writes of a deposed
leader fail whatever the timing. `election_state.py` has the states and the reasons for transitions,
`candidacy.py` and `candidacy_rules.py` decide when a controller campaigns, and `leader_lease.py`
has the leader's lease.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..protocol import formats, wire
from ..runtime.actor import Actor
from .candidacy import Candidacy, ElectionContext
from .election_state import ElectionState, Role, TransitionReason
from .leader_key import (
    InvalidLeaderKeyError,
    LeaderKeyReader,
    LeaderRecord,
    parse_leader_record,
)
from .leader_lease import LeaderLease
from .leader_observation import LeaderObservation
from .messages import Heartbeat, to_frame

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..clients.key_value_store import KeyValueStore
    from ..policy import Policy
    from ..runtime.loop import Runtime
    from .peer_links import PeerLinks

log = logging.getLogger(__name__)

AVAILABILITY_PROBE_PERIODS = 3
"""Probe periods for which a controller still counts as available after it last was."""


@dataclass(frozen=True)
class LeadershipListener:
    """Callbacks for when this controller becomes the leader or stops leading."""

    on_elected: Callable[[int, int], None]
    """Gets the term and the leader key's version."""
    on_step_down: Callable[[], None]


class LeaderElection(Actor):
    """This controller's part in the election: heartbeats, the leader key, role transitions."""

    def __init__(
        self,
        runtime: Runtime,
        node: str,
        policy: Policy,
        store: KeyValueStore,
        peers: PeerLinks,
        rng: random.Random,
        listener: LeadershipListener,
    ) -> None:
        """Takes part from `start` on; until then it only processes received heartbeats."""
        super().__init__(runtime)
        self._node = node
        self._policy = policy
        self._store = store
        self._peers = peers
        self._listener = listener
        self._incarnation_id = f"{rng.getrandbits(64):016x}"
        self.incarnation = int(self._incarnation_id, 16) >> 2
        """A random number that identifies this process. Its requests are numbered from here on, so
        that replies to requests of an earlier incarnation are not mistaken for replies to its own.
        """
        self.live_members: list[str] = []
        """Names of the controllers that the leader can reach, itself included."""
        self._is_started = False
        self._last_available_at = float("-inf")
        self._state = ElectionState(node)
        self._observation = LeaderObservation(self._state, peers)
        self._leader_key = LeaderKeyReader(store, self._on_leader_key_read)
        self._lease = LeaderLease(store, policy.leader_hold)
        self._context = ElectionContext(
            node=node,
            incarnation_id=self._incarnation_id,
            policy=policy,
            store=store,
            peers=peers,
            rng=rng,
            state=self._state,
            observation=self._observation,
            leader_key=self._leader_key,
        )
        self._candidacy = Candidacy(
            runtime, self._context, self._on_campaign_won, self._read_leader_key
        )

    def start(self) -> None:
        """Starts sending heartbeats and reading the leader key periodically."""
        self._is_started = True
        self.every(self._policy.heartbeat, self._send_heartbeat)
        self.every(self._policy.probe, self._read_leader_key)

    def on_pause(self, pause_s: float) -> None:
        """Adjusts to a process pause: excludes it from timeouts, drops pending campaigns."""
        self._observation.on_pause(self.runtime.now(), pause_s)
        self._candidacy.on_pause()
        self._read_leader_key()

    # Queries

    @property
    def role(self) -> Role:
        """This controller's role in the election."""
        return self._state.role

    @property
    def is_leader(self) -> bool:
        """Whether this controller believes that it leads."""
        return self._state.role is Role.LEADER

    @property
    def is_ready(self) -> bool:
        """Whether this controller leads and serves requests."""
        return self._state.is_ready

    @property
    def term(self) -> int:
        """The newest term that this controller knows of; 0 for none."""
        return self._state.term

    @property
    def leader(self) -> str | None:
        """The leader of `term`; None if it is not known."""
        return self._state.leader

    @property
    def is_store_reachable(self) -> bool:
        """Whether the key-value store replied recently."""
        return self._context.is_store_reachable(self.runtime.now())

    @property
    def may_be_superseded(self) -> bool:
        """Whether another controller may have taken over unnoticed.

        True if the key-value store does not reply and some link to another controller is down. (In
        a mere outage of the store the links are up, and whoever takes over is heard.) A refused
        connection counts like silence: a dead process refuses, but so does a packet filter in front
        of a successor, and the relay that could tell them apart needs the store.
        """
        return not self.is_store_reachable and bool(self.list_unreachable_peers())

    def list_unreachable_peers(self) -> list[str]:
        """Returns the controllers with which frames are not exchanged directly in both directions.

        Frames relayed through the store do not count: they end with the contact to the store.
        """
        peers = self._peers
        return [peer for peer in peers.last_heard_at if peers.is_link_down(peer)]

    @property
    def is_store_down_for_all(self) -> bool:
        """Whether every other controller has just said that it can't reach the store either.

        Then nobody can have taken over: that takes a write to the store, and a controller that had
        seen one would say so. A controller by itself can't tell an outage from a refusal of its own
        calls. True if there are no others.
        """
        return all(
            self._peers.is_in_contact(peer) and self._observation.is_store_down_for(peer)
            for peer in self._peers.last_heard_at
        )

    def get_peer_incarnation(self, peer: str) -> int | None:
        """Returns the process that sent the peer's last heartbeat; None if it is not known."""
        return self._observation.get_incarnation(peer)

    @property
    def seconds_since_leader_contact(self) -> float:
        """Seconds since the last heartbeat of the leader of this controller's term.

        0 for the leader itself: it is in touch with its leader for as long as it leads.
        """
        if self.is_leader:
            return 0.0
        return self.runtime.now() - self._observation.last_heartbeat_at

    @property
    def served_term(self) -> int:
        """The term whose leader is known to serve requests; 0 if there is none."""
        if self.is_leader:
            is_ready = self.is_ready
        else:
            is_ready = self._observation.is_ready and self._observation.can_see_leader()
        return self.term if is_ready else 0

    @property
    def is_available(self) -> bool:
        """Whether this controller is, or can reach, a leader that can commit.

        It stays true for some probe periods afterwards, because a load balancer is slow to take
        back a controller that it has marked down.
        """
        now = self.runtime.now()
        if self.is_leader:
            is_available = self.is_ready and self.is_store_reachable
        else:
            is_available = (
                self._peers.is_directly_reachable(self.leader or "")
                and self._observation.can_commit
                and self._observation.is_ready
            )
        if is_available:
            self._last_available_at = now
        return now - self._last_available_at < AVAILABILITY_PROBE_PERIODS * self._policy.probe

    # Heartbeats

    def _send_heartbeat(self) -> None:
        if self.is_leader:
            self.live_members = self._list_reachable_members()
        heartbeat = Heartbeat(
            term=self.term,
            leader=self.leader,
            can_commit=self.is_leader and self.is_store_reachable,
            is_ready=self.is_ready,
            can_see_leader=self._observation.can_see_leader(),
            live_members=self.live_members if self.is_leader else [],
            formats=list(formats.SUPPORTED),
            can_reach_store=self._assess_store(),
            incarnation=self.incarnation,
        )
        self._peers.broadcast(to_frame(heartbeat))
        if heartbeat.can_reach_store is False:
            self._candidacy.on_store_reported_down()
        self._candidacy.evaluate()

    def _assess_store(self) -> bool | None:
        """Returns whether the key-value store can be reached; None if it never was.

        A process that was started in an outage can't tell what happened before the outage.
        """
        if self.is_store_reachable:
            return True
        return None if self._store.last_contact_at == float("-inf") else False

    def _list_reachable_members(self) -> list[str]:
        peers = self._peers
        reachable = [peer for peer in peers.last_heard_at if peers.is_reachable(peer)]
        return sorted([self._node, *reachable])

    def on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Handles a peer's heartbeat: records its content, follows a leader of a higher term."""
        term, leader = heartbeat.term, heartbeat.leader
        self._observation.on_peer_heartbeat(sender, heartbeat)
        if leader == self._node and self._state.leads_term(term):
            return  # the peer has read the leader key before this controller knows its new term
        if term > self.term and leader is not None:
            self._follow(term, leader, TransitionReason.NEWER_TERM_HEARD)
        # A leader that is taking a further term may learn of that later than its followers.
        is_of_our_term = self.term - 1 <= term <= self.term
        if sender == leader == self.leader and is_of_our_term and not self.is_leader:
            self._observation.on_leader_heartbeat(self.runtime.now(), heartbeat)
            self.live_members = heartbeat.live_members

    def on_connection_refused(self) -> None:
        """Handles a refused connection to a peer's address.

        If it is the leader's address, a heartbeat is sent at once, to tell peers that this
        controller no longer sees the leader.
        """
        leader = self.leader
        if self._is_started and leader is not None and self._peers.refuses_connections(leader):
            self._send_heartbeat()

    # Transitions

    def _follow(self, term: int, leader: str, reason: TransitionReason) -> None:
        was_leader = self.is_leader
        self._observation.on_leader_changed(self.runtime.now(), is_replacement=self.term > 0)
        self._state.follow(term, leader, reason)
        self._leader_key.mark_outdated()
        self._lease.end_term()
        if was_leader:
            self._listener.on_step_down()

    def _on_campaign_won(self, term: int, key_version: int) -> None:
        self._become_leader(term, key_version, TransitionReason.CAMPAIGN_WON)

    def _become_leader(self, term: int, key_version: int, reason: TransitionReason) -> None:
        self._state.become_leader(term, reason)
        self._leader_key.mark_outdated()
        self._leader_key.names_earlier_incarnation = False
        self._observation.unreachable_since = None
        self._lease.begin_term(term, key_version)
        self._send_heartbeat()
        self._listener.on_elected(term, key_version)
        self._lease.renew()

    def mark_ready(self) -> None:
        """Records that this controller leads and serves requests from now on."""
        self._state.mark_ready()

    def leads_term(self, term: int) -> bool:
        """Whether this controller leads in that term, or is taking it while it leads."""
        return self._state.leads_term(term)

    def begin_term_raise(self) -> LeaderRecord:
        """Returns the value of the leader key with which the leader takes a further term.

        The ledger writes it; until `complete_term_raise` is called, it may or may not be stored.
        """
        return LeaderRecord(self._state.begin_raise(), self._node, self._incarnation_id)

    def complete_term_raise(self, key_version: int) -> None:
        """Leads on in the further term, whose leader key has that version."""
        self._state.complete_raise()
        self._lease.begin_term(self.term, key_version)
        self._lease.renew()
        self._send_heartbeat()

    def step_down(self, reason: TransitionReason = TransitionReason.GUARDED_WRITE_FAILED) -> None:
        """Stops leading, and reads the leader key to find the new leader."""
        if self.is_leader:
            self._observation.last_heartbeat_at = self.runtime.now()
            self._state.step_down(reason)
            self._lease.end_term()
            self._listener.on_step_down()
            self._read_leader_key()

    def refuse_to_lead(self) -> None:
        """Stops leading for good: the ledger has a format that only newer programs can read."""
        log.error("event=leadership_refused node=%s term=%d", self._node, self.term)
        self._candidacy.disable()
        self.step_down(TransitionReason.LEDGER_UNREADABLE)

    # The leader key

    def _read_leader_key(self) -> None:
        if self.is_leader:
            self._lease.renew()
        self._leader_key.read()

    def _on_leader_key_read(self, row: wire.Row | None) -> None:
        if row is None:
            self._on_leader_key_absent()
            return
        try:
            record = parse_leader_record(row.value)
        except InvalidLeaderKeyError as error:
            log.error("event=leader_key_invalid node=%s reason=%s", self._node, error)
            return
        if self.is_leader:
            self._confirm_leadership(record)
        elif record.term >= self.term:
            self._on_leader_record(record, row.version)

    def _on_leader_key_absent(self) -> None:
        if self.term == 0:
            self._leader_key.mark_current(0)
            self._candidacy.evaluate()

    def _confirm_leadership(self, record: LeaderRecord) -> None:
        is_own = record.incarnation_id == self._incarnation_id
        if is_own and self._state.leads_term(record.term):
            return
        if record.term > self.term or (record.term == self.term and not is_own):
            self.step_down(TransitionReason.NEWER_TERM_STORED)

    def _on_leader_record(self, record: LeaderRecord, key_version: int) -> None:
        is_own = record.incarnation_id == self._incarnation_id
        if is_own and record.term > self._state.last_led_term:
            if self._candidacy.may_leader_rely_on_outage():
                return  # the key is read again soon
            # Our own takeover was committed, although the reply was lost.
            self._become_leader(record.term, key_version, TransitionReason.CAMPAIGN_FOUND_WON)
            return
        if record.term > self.term or self.leader is None:
            self._follow(record.term, record.node, TransitionReason.NEWER_TERM_STORED)
        self._leader_key.mark_current(key_version)
        self._leader_key.names_earlier_incarnation = record.node == self._node
        self._candidacy.evaluate()
