"""Random faults around changes of leader: only the rightful leader does what nothing can fence.

`FLAXTALLY_SOAK_SEEDS=200` plays that many seeds in place of a few.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest

from flaxtally.clients.call_queue import CallQueue
from flaxtally.cluster.leader_key import LEADER_KEY, parse_leader_record
from flaxtally.leader.confirmed_stops import ConfirmedStops

from .scenarios import (
    check_final_state,
    choose_soak_seeds,
    cut_off_by_refusals,
    start_busy_cluster,
    submit_steady_load,
)
from .simulated_cluster import NODES

if TYPE_CHECKING:
    from flaxtally.clients.call_queue import CloudCall
    from flaxtally.leader.confirmed_stops import UnconfirmedStop
    from flaxtally.protocol import wire

    from .simulated_cluster import SimulatedCluster

CONFIRMATION_AGE_S = 0.05
"""Seconds by which leadership may have been confirmed before an act: a message and its handling."""
SLOW_LINK_DELAY_S = 0.2
"""Seconds by which messages are delayed while links are slow."""
SEEDS = (0, 1, 2, 3, 27, 43, 46, 59)
"""The last four brought about acts of a former leader that had just been told of its successor."""
SOAK_SEEDS = choose_soak_seeds(SEEDS)


class ActAudit:
    """Checks at each act that nothing can fence that its controller was entitled to it."""

    def __init__(self, cluster: SimulatedCluster, patch: pytest.MonkeyPatch) -> None:
        self._cluster = cluster
        self._led_until: dict[str, float] = {}
        """By controller: when the leader key last named its present process."""
        self.acts: Counter[str] = Counter()
        """Number of acts, by whether the store was reachable for the controller."""
        self.unentitled: list[str] = []
        transact, send_call, send_stops = (
            cluster.state.transact,
            CallQueue._send,
            ConfirmedStops._send_stops,
        )

        def transact_and_note_leader(transaction: wire.Transaction) -> tuple[int, object]:
            self._note_leader()
            return transact(transaction)

        def check_call(queue: CallQueue, call: CloudCall) -> None:
            if call.changes_machines:
                self._check(queue._runtime.ip, call.path)  # type: ignore[attr-defined]
            send_call(queue, call)

        def check_stops(confirmed: ConfirmedStops, stops: list[UnconfirmedStop]) -> None:
            self._check(confirmed.runtime.ip, "stops")  # type: ignore[attr-defined]
            send_stops(confirmed, stops)

        patch.setattr(cluster.state, "transact", transact_and_note_leader)
        patch.setattr(CallQueue, "_send", check_call)
        patch.setattr(ConfirmedStops, "_send_stops", check_stops)

    def _note_leader(self) -> None:
        row = self._cluster.state.rows.get(LEADER_KEY)
        if row is not None:
            self._led_until[parse_leader_record(row[0]).node] = self._cluster.sim.time

    def _check(self, ip: str, act: str) -> None:
        cluster = self._cluster
        name = next(name for name in NODES if cluster.ip(name) == ip)
        self._note_leader()
        election = cluster.nodes[name].election
        self.acts["confirmed" if election.is_store_reachable else "in contact"] += 1
        max_age_s = CONFIRMATION_AGE_S + (SLOW_LINK_DELAY_S if cluster.sim.extra_delay_s else 0.0)
        was_leading = self._led_until.get(name, -1.0) > cluster.sim.time - max_age_s
        if not was_leading or not election.is_leader:
            self.unentitled.append(f"{cluster.sim.time:.3f} {name} term {election.term}: {act}")


def act_as_leader(cluster: SimulatedCluster) -> None:
    """Has each controller that may act ask the cloud to terminate a machine that does not exist.

    Only while no other calls wait, which these would delay: they are more urgent than most.
    """
    for node in cluster.nodes.values():
        cloud = node.leader._context.cloud
        if node.leader.term.may_act and not cloud.has_waiting_calls:
            cloud.terminate(["n-none"], lambda _: None)
    cluster.after(0.2, act_as_leader, cluster)


def inject_random_fault(cluster: SimulatedCluster) -> None:
    """Injects a fault that may separate a controller, often the leader, from what it needs."""
    rng = cluster.rng
    leader = cluster.leader()
    node = leader if leader and rng.random() < 0.7 else rng.choice(NODES)
    others = [name for name in NODES if name != node]
    for_s = rng.choice([0.3, 1.0, 3.0, 8.0])
    fault = rng.randrange(11)
    if fault == 0:
        cluster.refuse(node, for_s)
    elif fault == 1:
        cut_off_by_refusals(cluster, node, for_s)
    elif fault == 2:
        cluster.isolate(node, for_s)
    elif fault == 3:
        cluster.refuse(node, for_s)
        cluster.cut(cluster.ip(node), [cluster.ip(rng.choice(others))], for_s)
    elif fault == 4:
        cluster.start_state_outage(for_s)
    elif fault == 5 and cluster.sim.hosts[cluster.ip(node)].alive:
        cluster.crash(node, restart_after_s=rng.uniform(0.1, 4.0))
    elif fault == 6 and not cluster.sim.hosts[cluster.ip(node)].is_frozen:
        cluster.freeze(node, for_s)
    elif fault == 7:
        cluster.refuse_peers(node, for_s)
    elif fault == 8:
        cluster.slow_down_links(SLOW_LINK_DELAY_S, for_s)
    elif fault == 9:
        # After an outage for all the store refuses one controller.
        cluster.start_state_outage(for_s)
        cluster.after(for_s - 0.05, cluster.refuse, node, 5.0)
    else:
        cluster.cut(cluster.ip(node), [cluster.ip(name) for name in others], for_s)


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_only_the_leader_acts_under_random_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Random orders of what separates a leader from the state service and its peers: each call that
    # changes machines, and each stop, comes from the controller that the leader key names.
    cluster = start_busy_cluster(seed, services=3, arrays=2, run_time=30.0)
    audit = ActAudit(cluster, monkeypatch)
    act_as_leader(cluster)
    submit_steady_load(cluster, 80.0, interval_s=2.0)
    cluster.copy_command_batches(0.2, 80.0)
    for _ in range(20):
        inject_random_fault(cluster)
        cluster.run(cluster.rng.uniform(0.5, 6.0))
    assert not audit.unentitled, audit.unentitled
    assert audit.acts["confirmed"] > 50
    check_final_state(cluster)
    assert not audit.unentitled, audit.unentitled
