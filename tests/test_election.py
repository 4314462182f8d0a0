"""Unit tests of the election's state machine, the candidacy rules and the leader key."""

from __future__ import annotations

from typing import Any

import pytest

from flaxtally.cluster.candidacy_rules import (
    CandidacyAction,
    CandidacyDecision,
    UnreachableLeader,
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


def unreachable_leader(**changes: Any) -> UnreachableLeader:
    fields: dict[str, Any] = {
        "unreachable_for_s": POLICY.refused_patience + 60.0,
        "rank": 0,
        "is_alone": False,
        "refuses_connections": False,
        "is_seen_by_peer": False,
    }
    return UnreachableLeader(**fields | changes)


@pytest.mark.parametrize(
    ("leader", "decision"),
    [
        (unreachable_leader(), CandidacyDecision(CandidacyAction.CAMPAIGN)),
        (
            unreachable_leader(unreachable_for_s=0.0, rank=2),
            CandidacyDecision(CandidacyAction.WAIT, POLICY.heartbeat * 2.25),
        ),
        (unreachable_leader(is_seen_by_peer=True), CandidacyDecision(CandidacyAction.CHECK_LEASE)),
        (unreachable_leader(is_alone=True), CandidacyDecision(CandidacyAction.CHECK_LEASE)),
        (
            unreachable_leader(is_alone=True, refuses_connections=True),
            CandidacyDecision(CandidacyAction.CAMPAIGN),
        ),
        (
            unreachable_leader(
                is_alone=True,
                refuses_connections=True,
                unreachable_for_s=POLICY.refused_patience - 0.01,
            ),
            CandidacyDecision(CandidacyAction.WAIT, POLICY.heartbeat),
        ),
    ],
)
def test_candidacy_decision_about_an_unreachable_leader(
    leader: UnreachableLeader, decision: CandidacyDecision
) -> None:
    # A controller that campaigns too early replaces a live leader; one that campaigns too late
    # prolongs an outage.
    assert decide_candidacy(leader, POLICY) == decision


def test_election_state_transitions_log_their_reasons(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A transition that is missing, or has the wrong reason in the log, would mislead operators and
    # let a controller act in a role that it does not have.
    caplog.set_level("INFO")
    state = ElectionState("controller-0")
    assert (state.role, state.term, state.leader) == (Role.FOLLOWER, 0, None)
    state.become_candidate(TransitionReason.NO_LEADER_YET)
    assert state.role is Role.CANDIDATE
    state.become_leader(1, TransitionReason.CAMPAIGN_WON)
    state.mark_ready()
    assert (state.is_leader, state.leader, state.is_ready) == (True, "controller-0", True)
    # A campaign that is still pending does not change the role of a leader.
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


def test_leader_key_keeps_its_stored_form() -> None:
    # Controllers of other versions must be able to read the leader key, and an invalid value must
    # end in a typed error.
    value = {"term": 3, "node": "controller-1", "boot": "00ff"}
    assert parse_leader_record(value) == LeaderRecord(3, "controller-1", "00ff")
    assert LeaderRecord(3, "controller-1", "00ff").to_value() == value
    assert list(LeaderRecord(3, "controller-1", "00ff").to_value()) == ["term", "node", "boot"]
    for invalid in (None, [], {"node": "controller-1"}, {"term": "3"}):
        with pytest.raises(InvalidLeaderKeyError):
            parse_leader_record(invalid)
