"""The election's state machine and the rules for a candidacy, without a cluster around them."""

from __future__ import annotations

from typing import Any

import pytest

from flaxtally.cluster.candidacy_rules import (
    CandidacyAction,
    CandidacyDecision,
    LostLeader,
    decide_candidacy,
)
from flaxtally.cluster.election_state import ElectionState, Role, TransitionReason
from flaxtally.cluster.leader_key import (
    InvalidLeaderKeyError,
    LeaderRecord,
    parse_leader_record,
)
from flaxtally.policy import default

from .simulated_cluster import NODES, SimulatedCluster

POLICY = default(SimulatedCluster().build_settings(NODES[0]))


def lost(**changes: Any) -> LostLeader:
    fields: dict[str, Any] = {
        "lost_for_s": POLICY.refused_patience + 60.0,
        "rank": 0,
        "is_alone": False,
        "refuses_connections": False,
        "is_seen_by_peer": False,
    }
    return LostLeader(**fields | changes)


@pytest.mark.parametrize(
    ("leader", "decision"),
    [
        (lost(), CandidacyDecision(CandidacyAction.CAMPAIGN)),
        (
            lost(lost_for_s=0.0, rank=2),
            CandidacyDecision(CandidacyAction.WAIT, POLICY.heartbeat * 2.25),
        ),
        (lost(is_seen_by_peer=True), CandidacyDecision(CandidacyAction.CHECK_LEASE)),
        (lost(is_alone=True), CandidacyDecision(CandidacyAction.CHECK_LEASE)),
        (
            lost(is_alone=True, refuses_connections=True),
            CandidacyDecision(CandidacyAction.CAMPAIGN),
        ),
        (
            lost(
                is_alone=True,
                refuses_connections=True,
                lost_for_s=POLICY.refused_patience - 0.01,
            ),
            CandidacyDecision(CandidacyAction.WAIT, POLICY.heartbeat),
        ),
    ],
)
def test_when_a_lost_leader_is_replaced(leader: LostLeader, decision: CandidacyDecision) -> None:
    assert decide_candidacy(leader, POLICY) == decision


def test_the_states_and_the_reasons_for_their_transitions(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    state = ElectionState("controller-0")
    assert (state.role, state.term, state.leader) == (Role.FOLLOWER, 0, None)
    state.become_candidate(TransitionReason.NO_LEADER_YET)
    assert state.role is Role.CANDIDATE
    state.become_leader(1, TransitionReason.CAMPAIGN_WON)
    state.mark_ready()
    assert (state.is_leader, state.leader, state.is_ready) == (True, "controller-0", True)
    # A campaign that was pending meanwhile changes nothing about a leader.
    state.become_candidate(TransitionReason.LEADER_UNREACHABLE)
    state.end_candidacy(TransitionReason.CAMPAIGN_LOST)
    assert state.is_leader
    state.step_down(TransitionReason.GUARDED_WRITE_FAILED)
    assert (state.role, state.term, state.leader) == (Role.FOLLOWER, 1, None)
    assert not state.is_ready
    state.follow(2, "controller-1", TransitionReason.NEWER_TERM_STORED)
    assert (state.term, state.leader, state.last_led_term) == (2, "controller-1", 1)
    assert [message.split(" ")[0::3] for message in caplog.messages] == [
        ["event=candidacy_begun", "reason=no_leader_yet"],
        ["event=leader_elected", "reason=campaign_won"],
        ["event=leader_stepped_down", "reason=guarded_write_failed"],
        ["event=following_leader", "leader=controller-1"],
    ]


def test_the_leader_key_keeps_its_stored_form() -> None:
    value = {"term": 3, "node": "controller-1", "boot": "00ff"}
    assert parse_leader_record(value) == LeaderRecord(3, "controller-1", "00ff")
    assert LeaderRecord(3, "controller-1", "00ff").to_value() == value
    assert list(LeaderRecord(3, "controller-1", "00ff").to_value()) == ["term", "node", "boot"]
    for invalid in (None, [], {"node": "controller-1"}, {"term": "3"}):
        with pytest.raises(InvalidLeaderKeyError):
            parse_leader_record(invalid)
