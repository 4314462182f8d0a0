"""When a leader may take the key-value store for down for all, and not for itself alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from .scenarios import term, wait_for_leader
from .simulated_cluster import NODES, SimulatedCluster

if TYPE_CHECKING:
    from flaxtally.cluster.leader_election import LeaderElection


def start_outage(
    cluster: SimulatedCluster, leader: str, for_s: float, until_s: float
) -> LeaderElection:
    """Starts an outage of the store; returns the leader's election `until_s` into the outage.

    Before the outage the leader must not take the store for down for all; then it must.
    """
    election = cluster.nodes[leader].election
    cluster.run(3)
    assert not election.is_store_down_for_all
    cluster.start_state_outage(for_s)
    cluster.run(until_s)
    assert election.is_store_down_for_all
    return election


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fault", ["refused", "silent", "slow"])
def test_outage_counts_as_common_only_until_a_peer_may_take_over(fault: str, seed: int) -> None:
    # Replies of all peers that the store is down for them too stand in for the store. If they
    # counted for longer than it takes a peer to take over, the leader would act beside it.
    cluster = SimulatedCluster(seed)
    former = wait_for_leader(cluster)
    others = [cluster.ip(name) for name in NODES if name != former]
    if fault == "slow":
        cluster.slow_down_links(0.2, 60.0)
    election = start_outage(cluster, former, for_s=8.0, until_s=7.9)
    # From now on the store refuses only the leader.
    cluster.refuse(former, 30.0)
    if fault == "refused":
        cluster.refuse_peers(former, 30.0)
    elif fault == "silent":
        cluster.cut(cluster.ip(former), others, 30.0)
    before = term(cluster)
    while term(cluster) == before:
        was_down_for_all = election.is_store_down_for_all
        cluster.sim.step()
    assert not was_down_for_all
    cluster.run(1)
    assert not election.is_store_down_for_all


def test_frames_that_waited_during_a_pause_are_no_sign_of_a_common_outage() -> None:
    # After a pause the former leader read frames that peers had sent before they took over. What
    # counts is the age of its own frame that they reply to.
    cluster = SimulatedCluster()
    former = wait_for_leader(cluster)
    election = start_outage(cluster, former, for_s=20.0, until_s=5.0)
    others = [cluster.ip(name) for name in NODES if name != former]
    cluster.freeze(former, 0.95)
    cluster.run(0.2)
    cluster.cut(cluster.ip(former), others, 10.0)
    cluster.run(0.76)
    assert not election.is_store_down_for_all


def test_controller_started_in_an_outage_does_not_vouch_for_the_time_before() -> None:
    # Its earlier process may have taken over before the outage; nobody else might know.
    cluster = SimulatedCluster()
    former = wait_for_leader(cluster)
    election = start_outage(cluster, former, for_s=30.0, until_s=5.0)
    cluster.crash(next(name for name in NODES if name != former), restart_after_s=1.0)
    cluster.run(10)
    assert not election.list_unreachable_peers()
    assert not election.is_store_down_for_all
