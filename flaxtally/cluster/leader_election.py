"""Who leads: the leader key, the term, and when a lost leader is replaced.

The key `lead` holds `{term, node, boot}`. A takeover is a transaction guarded by the version that
was read, with a term one higher; every ledger transaction guards that version too, so a deposed
leader's writes fail whatever the timing, and taking over early costs work but never safety. What
follows is therefore only about *when* it is worth it.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any

from ..clients.key_value_store import KeyValueStore, Outcome
from ..protocol import formats, wire
from ..runtime.actor import Actor

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..policy import Policy
    from ..runtime.loop import Runtime
    from .messages import Frame
    from .peer_links import PeerLinks

log = logging.getLogger(__name__)

LEADER_KEY = "lead"
LEADER_LEASE_PREFIX = "alive/"


class LeaderElection(Actor):
    """Owns the node's belief about term, leader and live view."""

    def __init__(
        self,
        runtime: Runtime,
        node: str,
        policy: Policy,
        store: KeyValueStore,
        peers: PeerLinks,
        rng: random.Random,
        lead: Callable[[int, int], None],
        follow: Callable[[], None],
    ) -> None:
        super().__init__(runtime)
        self._node, self._policy, self._store, self._peers, self._rng = (
            node,
            policy,
            store,
            peers,
            rng,
        )
        self._lead, self._follow = lead, follow
        self._boot = f"{rng.getrandbits(64):016x}"
        self._started = runtime.now()
        self.incarnation = int(self._boot, 16) >> 2
        """A number of this life of the process alone: what it numbers begins there, so that no
        answer to a former life is taken for one to this.
        """
        self.term = 0
        self._led = 0
        """The last term that this life has led. One that it gave up it never takes up again:
        launches of it may still be on their way under the same token, so a report that lacks one
        would prove nothing.
        """
        self.leader: str | None = None
        self.is_leader = False
        self.is_ready = False
        self.version = 0
        self.live_members: list[str] = []
        self._key_known = False
        self._key_mine_of_old = False
        self._leader_heard = float("-inf")
        self._replaced_at = float("-inf")
        """When the leader that this node followed, or itself, was last found to be replaced."""
        self._leader_able = False
        self._leader_ready = False
        self._lost_since: float | None = None
        self._sees: dict[str, bool] = {}
        self._reading = self._taking = self._checking = False
        self._attempt = 0
        """Numbers the attempts at a takeover: one that a pause fell into is judged anew."""
        self._lease: int | None = None
        self._lease_turn = 0
        self._leasing = False
        self._able_at = float("-inf")
        self._barred = False
        """The ledger is of a format that this program does not read: it must not lead."""

    def start(self) -> None:
        self.every(self._policy.heartbeat, self._beat)
        self.every(self._policy.probe, self._probe)
        self._peers.on_refused = self._refused

    def on_pause(self, lost: float) -> None:
        """The process stood still: the leader was not silent, and attempts under way are old."""
        self._leader_heard = min(self.runtime.now(), self._leader_heard + lost)
        self._lost_since = None
        self._attempt += 1
        self._taking = self._key_known = False
        self._probe()

    # What others ask

    @property
    def is_store_reachable(self) -> bool:
        return self.runtime.now() - self._store.last_contact_at < 2.2 * self._policy.probe

    @property
    def may_be_superseded(self) -> bool:
        """Whether others may well lead by now.

        The state service doesn't answer, and some other controller is neither heard nor dead. (In
        an outage of the state service the others are heard, and nobody can take over.)
        """
        peers = self._peers
        return not self.is_store_reachable and not all(
            peers.is_reachable(peer) or peers.refuses_connections(peer)
            for peer in peers.last_heard_at
        )

    @property
    def seconds_since_leader_contact(self) -> float:
        """Seconds since the leader of our term was last heard (0 for the leader itself)."""
        if self.is_leader:
            return max(0.0, self.runtime.now() - self._store.last_contact_at - self._policy.probe)
        return self.runtime.now() - self._leader_heard

    @property
    def served_term(self) -> int:
        """The term whose leader is ready for requests, as far as this node knows; 0 for none."""
        ready = self.is_ready if self.is_leader else self._leader_ready and self._sees_leader()
        return self.term if ready else 0

    @property
    def is_available(self) -> bool:
        """Whether this node reaches, or is, a leader that can commit.

        Damped, since a node that was marked down comes back slowly.
        """
        now = self.runtime.now()
        if self.is_leader:
            able = self.is_ready and self.is_store_reachable
        else:
            able = (
                self._peers.is_directly_reachable(self.leader or "")
                and self._leader_able
                and self._leader_ready
            )
        if able:
            self._able_at = now
        return now - self._able_at < 3 * self._policy.probe

    # Heartbeats

    def _beat(self) -> None:
        if self.is_leader:
            self.live_members = sorted(
                [
                    self._node,
                    *(peer for peer in self._peers.last_heard_at if self._peers.is_reachable(peer)),
                ]
            )
        self._peers.broadcast(
            {
                "k": "hb",
                "term": self.term,
                "leader": self.leader,
                "able": self.is_leader and self.is_store_reachable,
                "ready": self.is_ready,
                "sees": self._sees_leader(),
                "view": self.live_members if self.is_leader else [],
                "formats": list(formats.OWN),
            }
        )
        self._consider()

    def on_heartbeat(self, sender: str, frame: Frame) -> None:
        term, leader = frame.get("term"), frame.get("leader")
        if not isinstance(term, int) or not isinstance(leader, str | None):
            return
        self._sees[sender] = frame.get("sees") is True and term == self.term
        if term > self.term and leader is not None:
            self._adopt(term, leader)
        if sender == leader == self.leader and term == self.term and not self.is_leader:
            self._leader_heard = self.runtime.now()
            self._leader_able = frame.get("able") is True
            self._leader_ready = frame.get("ready") is True
            view = frame.get("view")
            if isinstance(view, list) and all(isinstance(name, str) for name in view):
                self.live_members = view

    def _sees_leader(self) -> bool:
        if self.is_leader:
            return True
        return (
            self.leader is not None
            and self._peers.is_reachable(self.leader)
            and self._leader_able
            and not self._peers.refuses_connections(self.leader)
        )

    def _adopt(self, term: int, leader: str) -> None:
        log.info("event=follow node=%s term=%d leader=%s", self._node, term, leader)
        was = self.is_leader
        if self.term:
            self._replaced_at = self.runtime.now()
        self.term, self.leader, self.is_leader, self.is_ready = term, leader, False, False
        self._key_known = False
        self._lease = None
        self._leader_heard, self._leader_able, self._leader_ready = self.runtime.now(), True, False
        self._lost_since = None
        if was:
            self._follow()

    def step_down(self) -> None:
        """A guarded write failed: somebody else leads. The key will say who."""
        if self.is_leader:
            log.info("event=deposed node=%s term=%d", self._node, self.term)
            self.is_leader = self.is_ready = False
            self.leader = None
            self._lease = None
            self._follow()
            self._probe()

    def refuse_to_lead(self) -> None:
        """Gives up leading for good: the ledger was raised to a format that others read."""
        log.error("event=refuses_to_lead node=%s term=%d", self._node, self.term)
        self._barred = True
        self.step_down()

    # The key

    def _probe(self) -> None:
        if self.is_leader:
            self._keep_lease()
        if self._reading:
            return
        self._reading = True

        def told(known: bool, row: wire.Row | None) -> None:
            self._reading = False
            if known:
                self._read(row)

        self._store.get(LEADER_KEY, told)

    def _read(self, row: wire.Row | None) -> None:
        if row is None:
            if self.term == 0:
                self.version, self._key_known = 0, True
                self._consider()
            return
        value: Any = row.value
        if not isinstance(value, dict) or not isinstance(value.get("term"), int):
            log.error("the leader key holds nonsense: %r", value)
            return
        term, node = value["term"], str(value.get("node"))
        mine = value.get("boot") == self._boot
        if self.is_leader:
            if term > self.term or (term == self.term and not mine):
                self.step_down()
            return
        if term < self.term:
            return
        if mine and term > self._led:
            # Our own takeover was applied although its answer was lost.
            self._won(term, row.version)
            return
        if term > self.term or self.leader is None:
            self._adopt(term, node)
        self.version, self._key_known = row.version, True
        self._key_mine_of_old = node == self._node
        self._consider()

    def _refused(self) -> None:
        """Told at once to those who would otherwise still trust our last word on the leader."""
        if self.leader is not None and self._peers.refuses_connections(self.leader):
            self._beat()

    def _consider(self) -> None:
        """Takes over when the leader is lost, and nobody whom we hear still sees it."""
        if self.is_leader or self._taking or self._barred or not self.is_store_reachable:
            return
        if not self._key_known:
            if not self._sees_leader():
                self._probe()
            return
        now, policy = self.runtime.now(), self._policy
        if self.term == 0 or self._key_mine_of_old:
            # No leader yet, or an earlier life of this very node: nothing to wait for.
            self._schedule(self._rng.uniform(0, policy.peer_silence / 4) if self.term == 0 else 0.0)
            return
        lost = not self._sees_leader() and now - self._started > policy.peer_silence
        if not lost:
            self._lost_since = None
            return
        if self._lost_since is None:
            self._lost_since = now
        others = [
            peer
            for peer in self._peers.last_heard_at
            if peer != self.leader
            and self._peers.is_reachable(peer)
            and not self._peers.refuses_connections(peer)
        ]
        rank = sorted([self._node, *others]).index(self._node)
        pause = policy.heartbeat * (0.25 + rank)
        if now - self._lost_since < pause:
            self.later(pause, self._consider)
            return
        refused = self.leader is not None and self._peers.refuses_connections(self.leader)
        alone = not others
        if alone and refused and now - self._lost_since < policy.refused_patience:
            # All refuse us: they died together, or a filter stands between us. A live leader's mail
            # will tell.
            self.later(policy.heartbeat, self._consider)
            return
        if (refused or not alone) and not any(self._sees.get(peer) for peer in others):
            self._schedule(self._rng.uniform(0, policy.heartbeat / 2))
        elif not self._checking and now - self._replaced_at > policy.lease_patience:
            # Alone, or others disagree: the leader's lease at the state service decides. A leader
            # that has just begun, on a slow processor, is reading the ledger and has none yet.
            self._checking = True
            self._store.list_prefix(LEADER_LEASE_PREFIX, partial(self._checked, self._attempt))

    def _checked(self, attempt: int, rows: list[wire.Row] | None) -> None:
        self._checking = False
        if (
            attempt == self._attempt
            and rows is not None
            and not any(row.value == self.term for row in rows)
        ):
            self._schedule(self._rng.uniform(0, self._policy.heartbeat))

    def _schedule(self, delay: float) -> None:
        self._taking = True
        self.later(delay, self._take, self._attempt)

    def _take(self, attempt: int) -> None:
        if attempt != self._attempt:
            return
        if self.is_leader or not self._key_known:
            self._taking = False
            return
        term, version = self.term + 1, self.version
        value = {"term": term, "node": self._node, "boot": self._boot}

        def told(outcome: Outcome, revision: int) -> None:
            if attempt != self._attempt:
                # Somebody may have taken over since. The key tells, also whether it names us.
                self._probe()
                return
            self._taking = False
            if outcome is Outcome.COMMITTED and term > self.term:
                self._won(term, revision)
            elif outcome is not Outcome.COMMITTED:
                self._key_known = False
                self._probe()

        self._store.compare_and_swap(
            {LEADER_KEY: version}, {LEADER_KEY: value}, [], told, first=True
        )

    def _won(self, term: int, version: int) -> None:
        log.info("event=lead node=%s term=%d", self._node, term)
        self._led = term
        self.term, self.leader, self.version = term, self._node, version
        self.is_leader, self.is_ready, self._key_mine_of_old = True, False, False
        self._key_known = False
        self._lost_since = None
        self._lease = None
        self._beat()
        self._lead(term, version)
        self._keep_lease()

    def _keep_lease(self) -> None:
        """Keeps `alive/...` at the state service: the backstop for those who can't hear us."""
        if self._leasing:
            return
        self._leasing = True
        term, lease = self.term, self._lease
        if lease is not None:

            def extended(alive: bool | None) -> None:
                self._leasing = False
                if alive is False and self._lease == lease:
                    self._lease = None

            self._store.renew_lease(lease, extended)
            return

        def held(lease: int | None) -> None:
            self._leasing = False
            if lease is None or not self.is_leader or self.term != term:
                return
            self._lease = lease
            self._lease_turn += 1
            key = f"{LEADER_LEASE_PREFIX}{term}-{self._lease_turn}"
            self._store.compare_and_swap(
                {LEADER_KEY: self.version, key: 0}, {key: term}, [], self._noted, lease=lease
            )

        self._store.grant_lease(self._policy.leader_hold, held)

    def _noted(self, outcome: Outcome, _: int) -> None:
        if outcome in (Outcome.UNAVAILABLE, Outcome.INVALID, Outcome.INDETERMINATE):
            self._lease = None
