"""The states of a controller in the election, and the reasons for its transitions.

FOLLOWER ──leader lost──> CANDIDATE ──leader key written──> LEADER
   ^                          │                                │
   └── write lost, pause, ────┴──── guarded write failed, ─────┘
       another leader               newer term, unreadable ledger
"""

from __future__ import annotations

import enum
import logging

log = logging.getLogger(__name__)


class Role(enum.Enum):
    """What a controller is in the present term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    """It is about to write the leader key, or waits for the answer."""
    LEADER = "leader"


class TransitionReason(enum.Enum):
    """Why a controller's role, or the leader that it follows, changed."""

    NO_LEADER_YET = "no_leader_yet"
    """The leader key does not exist."""
    OWN_EARLIER_INCARNATION = "own_earlier_incarnation"
    """The leader key names this controller, whose process was restarted since."""
    LEADER_UNREACHABLE = "leader_unreachable"
    """Neither this controller nor any peer that it hears can see the leader."""
    LEADER_LEASE_EXPIRED = "leader_lease_expired"
    CAMPAIGN_WON = "campaign_won"
    CAMPAIGN_FOUND_WON = "campaign_found_won"
    """The answer to the write was lost; the leader key names this incarnation."""
    CAMPAIGN_LOST = "campaign_lost"
    CAMPAIGN_OUTDATED = "campaign_outdated"
    """The leader key was read anew, or must be, before the campaign began."""
    NEWER_TERM_HEARD = "newer_term_heard"
    """A peer's heartbeat names a leader of a higher term."""
    NEWER_TERM_STORED = "newer_term_stored"
    """The leader key names another leader."""
    GUARDED_WRITE_FAILED = "guarded_write_failed"
    """A write guarded by the leader key's version failed."""
    LEDGER_UNREADABLE = "ledger_unreadable"
    """The ledger is of a format that this program does not read."""
    PROCESS_PAUSED = "process_paused"


class ElectionState:
    """The state machine: this controller's role, and its belief about term and leader."""

    def __init__(self, node: str) -> None:
        """A follower of nobody."""
        self._node = node
        self.role = Role.FOLLOWER
        self.term = 0
        """The newest term that is known to have, or to have had, a leader; 0 for none."""
        self.leader: str | None = None
        """Of the term; None: not known, or known to be replaced."""
        self.is_ready = False
        """This controller leads, and serves requests."""
        self.last_led_term = 0
        """The last term that this incarnation has led. One that it gave up it never takes up again:
        launches of it may still be on their way under the same fencing token, so a heartbeat that
        lacks one would prove nothing.
        """

    @property
    def is_leader(self) -> bool:
        """Whether this controller leads, as far as it knows."""
        return self.role is Role.LEADER

    def follow(self, term: int, leader: str, reason: TransitionReason) -> None:
        """Any state to follower, of the term's leader."""
        log.info(
            "event=following_leader node=%s term=%d leader=%s reason=%s",
            self._node,
            term,
            leader,
            reason.value,
        )
        self.role = Role.FOLLOWER
        self.term = term
        self.leader = leader
        self.is_ready = False

    def become_candidate(self, reason: TransitionReason) -> None:
        """Follower to candidate for the next term; other roles stay."""
        if self.role is Role.FOLLOWER:
            self._log("event=candidacy_begun", self.term + 1, reason)
            self.role = Role.CANDIDATE

    def end_candidacy(self, reason: TransitionReason) -> None:
        """Candidate to follower; other roles stay."""
        if self.role is Role.CANDIDATE:
            self._log("event=candidacy_ended", self.term + 1, reason)
            self.role = Role.FOLLOWER

    def become_leader(self, term: int, reason: TransitionReason) -> None:
        """Any state to leader; it serves requests only after `mark_ready`."""
        self._log("event=leader_elected", term, reason)
        self.role = Role.LEADER
        self.term = term
        self.leader = self._node
        self.is_ready = False
        self.last_led_term = term

    def mark_ready(self) -> None:
        """The leader serves requests from now on."""
        self.is_ready = True

    def step_down(self, reason: TransitionReason) -> None:
        """Leader to follower, of whom is not known."""
        self._log("event=leader_stepped_down", self.term, reason)
        self.role = Role.FOLLOWER
        self.leader = None
        self.is_ready = False

    def _log(self, event: str, term: int, reason: TransitionReason) -> None:
        log.info("%s node=%s term=%d reason=%s", event, self._node, term, reason.value)
