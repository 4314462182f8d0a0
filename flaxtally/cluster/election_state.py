"""The states of a controller in the leader election, and the reasons for its transitions.

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
    """The role of a controller in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    """The controller is about to write the leader key, or waits for the reply."""
    LEADER = "leader"


class TransitionReason(enum.Enum):
    """Why a controller's role, or the leader that it follows, changed."""

    NO_LEADER_YET = "no_leader_yet"
    """The leader key does not exist."""
    OWN_EARLIER_INCARNATION = "own_earlier_incarnation"
    """The leader key names this controller, whose process has been restarted since."""
    LEADER_UNREACHABLE = "leader_unreachable"
    """Neither this controller nor any peer that it can reach sees the leader."""
    LEADER_LEASE_EXPIRED = "leader_lease_expired"
    CAMPAIGN_WON = "campaign_won"
    CAMPAIGN_FOUND_WON = "campaign_found_won"
    """The reply to the write was lost, but the leader key names this incarnation."""
    CAMPAIGN_LOST = "campaign_lost"
    CAMPAIGN_OUTDATED = "campaign_outdated"
    """The leader key changed, or may have changed, before the campaign wrote it."""
    NEWER_TERM_HEARD = "newer_term_heard"
    """A peer's heartbeat names a leader of a higher term."""
    NEWER_TERM_STORED = "newer_term_stored"
    """The leader key names another leader."""
    GUARDED_WRITE_FAILED = "guarded_write_failed"
    """A write guarded by the leader key's version failed."""
    LEDGER_UNREADABLE = "ledger_unreadable"
    """The ledger has a format that this program can't read."""
    PROCESS_PAUSED = "process_paused"


class ElectionState:
    """The state machine: this controller's role, and the term and leader that it knows of."""

    def __init__(self, node: str) -> None:
        """Starts as a follower without a known leader."""
        self._node = node
        self.role = Role.FOLLOWER
        self.term = 0
        """The newest term known to have, or to have had, a leader; 0 if none is known."""
        self.leader: str | None = None
        """The leader of `term`; None if it is not known, or known to have been replaced."""
        self.is_ready = False
        """Whether this controller leads and serves requests."""
        self.first_term = 0
        """The term in which this controller began to lead; 0 while it does not lead."""
        self.pending_term = 0
        """The further term that the leader is taking; 0 if it takes none."""
        self.last_led_term = 0
        """The last term that this incarnation has led. It never leads a term again after stepping
        down from it: launches of that term may still be in transit under the same fencing token, so
        a heartbeat that lacks such a task would not prove that it isn't running.
        """

    @property
    def is_leader(self) -> bool:
        """Whether this controller believes that it leads."""
        return self.role is Role.LEADER

    def follow(self, term: int, leader: str, reason: TransitionReason) -> None:
        """Changes any role to follower of the term's leader."""
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
        self._reset_leadership()

    def become_candidate(self, reason: TransitionReason) -> None:
        """Changes a follower to a candidate for the next term; other roles stay."""
        if self.role is Role.FOLLOWER:
            self._log("event=candidacy_begun", self.term + 1, reason)
            self.role = Role.CANDIDATE

    def end_candidacy(self, reason: TransitionReason) -> None:
        """Changes a candidate to a follower; other roles stay."""
        if self.role is Role.CANDIDATE:
            self._log("event=candidacy_ended", self.term + 1, reason)
            self.role = Role.FOLLOWER

    def become_leader(self, term: int, reason: TransitionReason) -> None:
        """Changes any role to leader; it serves requests only after `mark_ready`."""
        self._log("event=leader_elected", term, reason)
        self.role = Role.LEADER
        self.term = term
        self.leader = self._node
        self._reset_leadership()
        self.first_term = term
        self.last_led_term = term

    def begin_raise(self) -> int:
        """Returns the further term that the leader is to take."""
        self.pending_term = self.term + 1
        return self.pending_term

    def complete_raise(self) -> None:
        """Records that the leader has taken the further term, and leads on."""
        self.term = self.last_led_term = self.pending_term
        self.pending_term = 0

    def leads_term(self, term: int) -> bool:
        """Whether this controller leads in that term, or is taking it while it leads."""
        return self.is_leader and self.first_term <= term <= max(self.term, self.pending_term)

    def mark_ready(self) -> None:
        """Records that the leader serves requests from now on."""
        self.is_ready = True

    def step_down(self, reason: TransitionReason) -> None:
        """Changes the leader to a follower without a known leader."""
        self._log("event=leader_stepped_down", self.term, reason)
        self.role = Role.FOLLOWER
        self.leader = None
        self._reset_leadership()

    def _reset_leadership(self) -> None:
        self.is_ready = False
        self.first_term = 0
        self.pending_term = 0

    def _log(self, event: str, term: int, reason: TransitionReason) -> None:
        log.info("%s node=%s term=%d reason=%s", event, self._node, term, reason.value)
