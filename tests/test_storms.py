"""Events that affect thousands of machines at once, simulated with a smaller number.

`FLAXTALLY_MACHINES=4000 python -m pytest tests/test_storms.py` runs the same tests with 4000
machines; it takes minutes, and `docs/CAPACITY.md` has the results. The simulated cluster checks the
protocol's rules at each start and end of a task.
"""

from __future__ import annotations

import dataclasses
import os

import msgspec

from flaxtally.clients.workers import WORKER_SOCKETS_FRACTION
from flaxtally.leader.reconciliation.health_checks import MAX_PROBING_FRACTION
from flaxtally.protocol import wire
from flaxtally.runtime.http import Client
from flaxtally.settings import Settings, Team

from .simulated_cluster import CANCEL_DEADLINE_S, NODES, TYPES, SimulatedCluster, batch, spec

MACHINES = int(os.environ.get("FLAXTALLY_MACHINES", "120"))
REPLICAS = 4
SOCKETS_PER_MACHINE, MIN_SOCKETS = 4, 200
LEASE_S = 10.0


class LargeCluster(SimulatedCluster):
    """A cluster with many machines that are up from the start, all of them in use."""

    def __init__(self, sockets: int | None = None) -> None:
        default_sockets = max(MIN_SOCKETS, SOCKETS_PER_MACHINE * MACHINES)
        self._sockets = default_sockets if sockets is None else sockets
        super().__init__(capacity=MACHINES, team=Team("crew", 0.0, 1e6, 0.0, 1e5))
        # As many connections as users poll at a time: with fewer, the clients would be the
        # bottleneck instead of the service.
        for name in NODES:
            self._clients[name] = Client(self.user, (self.ip(name), 8080), MACHINES)
        for number in range(MACHINES):
            self.cloud.add(TYPES[0].name, "ab"[number % 2], False, boot=0.5)
        # Three replicas with five cores each fill a machine.
        self.services = [f"j-{number:06d}" for number in range(1, MACHINES * 3 // REPLICAS + 1)]
        for number, ref in enumerate(self.services):
            job = spec(ref, tasks=REPLICAS, cores=5.0, memory_gb=8.0, image=f"img-{number % 8}")
            self.after(2.0 + 0.002 * number, self.submit, job, None, number)
        assert self.run_until(lambda: len(self.running) >= 0.98 * MACHINES * 3, 60), len(
            self.running
        )

    def build_settings(self, node: str) -> Settings:
        settings = dataclasses.replace(super().build_settings(node), max_sockets=self._sockets)
        return dataclasses.replace(
            settings,
            state_rps=700.0,
            state_limits=dataclasses.replace(settings.state_limits, write_rps=50.0),
        )

    def sessions(self) -> list[int]:
        """Returns the session of each machine: 1 as long as it never lost its lease."""
        return [worker.session for worker in self.workers.values()]

    def follower(self) -> str:
        """Returns a controller that does not lead."""
        return next(name for name in NODES if name != self.leader())


def test_all_machines_reconnect_to_the_last_of_three_controllers() -> None:
    # Two controllers crash within a second: all machines turn to the third, which must become the
    # leader and renew the workers' leases in time.
    cluster = LargeCluster()
    before, third = dict(cluster.running), cluster.follower()
    others = [name for name in NODES if name != third]
    cluster.crash(others[0])
    cluster.run(0.7)
    cluster.crash(others[1])
    cluster.run(2 * LEASE_S)
    assert cluster.leader() == third
    assert set(cluster.sessions()) == {1}
    assert before.items() <= dict(cluster.running).items()


def test_all_machines_reconnect_to_a_controller_with_few_sockets() -> None:
    # All machines turn to one controller whose sockets, shared with its other connections, are
    # fewer than the machines: no worker may lose its lease.
    cluster = LargeCluster(sockets=max(60, MACHINES))
    before, third = dict(cluster.running), cluster.follower()
    for name in NODES:
        if name != third:
            cluster.crash(name)
    cluster.run(2 * LEASE_S)
    assert set(cluster.sessions()) == {1}
    assert before.items() <= dict(cluster.running).items()


def test_all_controllers_restart_while_every_machine_sends_heartbeats() -> None:
    # A new leader starts while the heartbeats of all machines arrive: no worker may lose its lease,
    # and the leader must know all placements.
    cluster = LargeCluster()
    before = dict(cluster.running)
    for number, name in enumerate(NODES):
        cluster.after(0.1 * number, cluster.crash, name, 2.0)
    cluster.run(2 * LEASE_S)
    assert cluster.leader() is not None
    assert set(cluster.sessions()) == {1}
    assert before.items() <= dict(cluster.running).items()
    leader = cluster.nodes[cluster.leader() or ""].leader
    assert sum(len(machine.placements) for machine in leader.term.fleet.machines.values()) >= len(
        before
    )


def test_zone_without_heartbeats_does_not_delay_commands_to_the_other_zone() -> None:
    # Probes of a zone without heartbeats held all connections to workers: commands to the others
    # timed out, and healthy machines were considered unresponsive.
    cluster = LargeCluster(sockets=max(100, MACHINES // 2))
    hung = [name for name, worker in cluster.workers.items() if worker.machine.zone == "b"]
    cluster.inject_machine_fault("hung", hung, 1.5 * LEASE_S)
    cluster.run(6.0)
    leader = cluster.nodes[cluster.leader() or ""].leader
    fleet = leader.term.fleet.machines
    probed = sum(bool(machine.open_probes) for machine in fleet.values())
    assert (
        0 < probed <= max(1, int(cluster._sockets * WORKER_SOCKETS_FRACTION * MAX_PROBING_FRACTION))
    )
    victim = cluster.services[0]
    cluster.cancel(victim)
    added = [cluster.cloud.add(TYPES[0].name, "a", False, boot=0.2) for _ in range(4)]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in added), 5)
    small = msgspec.structs.replace(batch("j-900000", 12), gpus=0.0, cores=1.0, memory_gb=1.0)
    cluster.submit(small, run_time=30.0)
    assert cluster.run_until(lambda: cluster.count("j-900000") >= 8, 4.0), cluster.count("j-900000")
    assert not any(machine.is_unresponsive for machine in fleet.values() if machine.zone == "a")
    cluster.run(3 * LEASE_S)
    assert len(cluster.running) >= 0.97 * (MACHINES * 3 - REPLICAS)
    assert victim in cluster.reported_cancelled_at


def test_tasks_run_again_after_a_tenth_of_the_machines_lose_their_leases() -> None:
    # Many tasks finish at once when their workers lose their leases: all must be placed again.
    cluster = LargeCluster()
    restarted = list(cluster.workers)[::10]
    for name in restarted:
        # The worker gets no reply for longer than its lease: it kills its tasks and begins a new
        # session.
        cluster.inject_machine_fault("mute", [name], 1.2 * LEASE_S)
    cluster.run(4 * LEASE_S)
    assert min(cluster.workers[name].session for name in restarted if name in cluster.workers) > 1
    assert len(cluster.running) >= 0.97 * MACHINES * 3


def test_cancellations_during_a_state_service_outage_are_confirmed_only_when_done() -> None:
    # No cancellation can be committed during the outage: none may be confirmed before its tasks are
    # stopped, and all must be confirmed afterwards.
    cluster = LargeCluster()
    cancelled = cluster.services[:: max(1, len(cluster.services) // (MACHINES // 8))]
    cluster.start_state_outage(CANCEL_DEADLINE_S + 6.0)
    for number, ref in enumerate(cancelled):
        cluster.after(0.01 * number, cluster.cancel, ref, number)
    cluster.run(CANCEL_DEADLINE_S)
    assert not cluster.reported_cancelled_at
    assert set(cluster.sessions()) == {1}
    cluster.run(CANCEL_DEADLINE_S)
    assert set(cluster.reported_cancelled_at) == set(cancelled)
    assert not any(cluster.count(ref) for ref in cancelled)


def test_ten_times_the_polls_change_no_leader_and_delay_no_start() -> None:
    # Ten times the usual number of polls must not delay cancellations, starts of tasks and the
    # renewal of leases.
    cluster = LargeCluster()
    leader, poll_count, reply_count = cluster.leader(), [0], [0]

    def on_reply(status: int, _: object) -> None:
        reply_count[0] += status in (200, 503)

    def poll() -> None:
        cluster.after(1.0 / (1.6 * MACHINES), poll)
        poll_count[0] += 1
        ref = cluster.rng.choice(cluster.services)
        name = cluster.rng.choice(NODES)
        cluster.call(name, "GET", f"{wire.JOBS}/{ref}", None, on_reply)

    poll()
    cluster.run(3.0)
    cluster.cancel(cluster.services[0])
    cluster.run(3.0)
    assert cluster.services[0] in cluster.reported_cancelled_at
    cluster.submit(spec("j-900000", tasks=2, cores=5.0, memory_gb=8.0))
    assert cluster.run_until(lambda: cluster.count("j-900000") == 2, 3.0)
    assert cluster.leader() == leader
    cluster.run(2.0)
    assert reply_count[0] > 0.95 * poll_count[0]
    assert set(cluster.sessions()) == {1}


def test_machines_that_boot_while_the_cloud_list_lags_stay_known() -> None:
    # Many new machines send heartbeats before the cloud lists them, and its list has several pages
    # that are older still: each machine must be known once, and must not be considered removed.
    cluster = LargeCluster()
    cluster.cloud.list_lag_s = 6.0
    booted = [
        cluster.cloud.add(TYPES[0].name, "ab"[number % 2], False, boot=0.01 * number)
        for number in range(MACHINES // 4)
    ]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in booted), 10)
    cluster.run(2.0)
    leader = cluster.nodes[cluster.leader() or ""].leader
    known = leader.term.fleet.machines
    assert all(known[name].is_reconciled for name in booted if name in known)
    assert sum(name in known for name in booted) >= 0.95 * len(booted)
