"""What happens to thousands of machines at once, in small.

`FLAXTALLY_MACHINES=4000 python -m pytest tests/test_storms.py` plays the same with that many; it
takes minutes, and `docs/CAPACITY.md` says what it gave. The world checks the protocol's rules at
each start and end of a task.
"""

from __future__ import annotations

import dataclasses
import os

import msgspec

from flaxtally.clients.workers import CALLED_SHARE
from flaxtally.leader.reconciliation.health_checks import PROBING_SHARE
from flaxtally.protocol import wire
from flaxtally.runtime.http import Client
from flaxtally.settings import Settings, Team

from .simulated_cluster import CANCEL_S, NODES, TYPES, SimulatedCluster, batch, spec

MACHINES = int(os.environ.get("FLAXTALLY_MACHINES", "120"))
REPLICAS = 4
SOCKETS_A_MACHINE, FEWEST_SOCKETS = 4, 200
LEASE_S = 10.0


class Crowd(SimulatedCluster):
    """A deployment with many machines that are up from the start, all of them in use."""

    def __init__(self, sockets: int | None = None) -> None:
        granted = max(FEWEST_SOCKETS, SOCKETS_A_MACHINE * MACHINES)
        self._sockets = granted if sockets is None else sockets
        super().__init__(capacity=MACHINES, team=Team("crew", 0.0, 1e6, 0.0, 1e5))
        # As many users as ask at a time: a few connections would hold back more than the service.
        for name in NODES:
            self._clients[name] = Client(self.user, (self.ip(name), 8080), MACHINES)
        for number in range(MACHINES):
            self.cloud.add(TYPES[0].name, "ab"[number % 2], False, boot=0.5)
        # Three replicas of five cores fill a machine.
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
        """Each machine's session: 1 as long as it never lost its lease."""
        return [worker.session for worker in self.workers.values()]

    def follower(self) -> str:
        """A controller that does not lead."""
        return next(name for name in NODES if name != self.leader())


def test_two_of_three_controllers_end_and_all_machines_come_to_the_third() -> None:
    cluster = Crowd()
    before, third = dict(cluster.running), cluster.follower()
    others = [name for name in NODES if name != third]
    cluster.crash(others[0])
    cluster.run(0.7)
    cluster.crash(others[1])
    cluster.run(2 * LEASE_S)
    assert cluster.leader() == third
    assert set(cluster.sessions()) == {1}
    assert before.items() <= dict(cluster.running).items()


def test_all_machines_come_to_one_controller_with_fewer_sockets_than_machines() -> None:
    cluster = Crowd(sockets=max(60, MACHINES))
    before, third = dict(cluster.running), cluster.follower()
    for name in NODES:
        if name != third:
            cluster.crash(name)
    cluster.run(2 * LEASE_S)
    assert set(cluster.sessions()) == {1}
    assert before.items() <= dict(cluster.running).items()


def test_all_controllers_begin_anew_while_every_machine_reports() -> None:
    cluster = Crowd()
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


def test_a_silent_zone_keeps_no_orders_from_the_other_and_returns_at_once() -> None:
    # Probes of a silent zone held all connections to workers: orders to the others timed out, and
    # healthy machines were taken for deaf.
    cluster = Crowd(sockets=max(100, MACHINES // 2))
    silent = [name for name, worker in cluster.workers.items() if worker.machine.zone == "b"]
    cluster.inject_machine_fault("hung", silent, 1.5 * LEASE_S)
    cluster.run(6.0)
    leader = cluster.nodes[cluster.leader() or ""].leader
    fleet = leader.term.fleet.machines
    probed = sum(bool(machine.open_probes) for machine in fleet.values())
    assert 0 < probed <= max(1, int(cluster._sockets * CALLED_SHARE * PROBING_SHARE))
    victim = cluster.services[0]
    cluster.cancel(victim)
    free = [cluster.cloud.add(TYPES[0].name, "a", False, boot=0.2) for _ in range(4)]
    assert cluster.run_until(lambda: all(name in cluster.workers for name in free), 5)
    small = msgspec.structs.replace(batch("j-900000", 12), gpus=0.0, cores=1.0, memory_gb=1.0)
    cluster.submit(small, run_time=30.0)
    assert cluster.run_until(lambda: cluster.count("j-900000") >= 8, 4.0), cluster.count("j-900000")
    assert not any(machine.is_unresponsive for machine in fleet.values() if machine.zone == "a")
    cluster.run(3 * LEASE_S)
    assert len(cluster.running) >= 0.97 * (MACHINES * 3 - REPLICAS)
    assert victim in cluster.reported_cancelled_at


def test_a_tenth_of_the_machines_restart_and_their_tasks_run_again() -> None:
    cluster = Crowd()
    restarted = list(cluster.workers)[::10]
    for name in restarted:
        # Longer than its lease without an answer: it kills its tasks and begins a session.
        cluster.inject_machine_fault("mute", [name], 1.2 * LEASE_S)
    cluster.run(4 * LEASE_S)
    assert min(cluster.workers[name].session for name in restarted if name in cluster.workers) > 1
    assert len(cluster.running) >= 0.97 * MACHINES * 3


def test_an_outage_of_the_state_service_tells_no_cancellation_that_is_not_kept() -> None:
    cluster = Crowd()
    cancelled = cluster.services[:: max(1, len(cluster.services) // (MACHINES // 8))]
    cluster.start_state_outage(CANCEL_S + 6.0)
    for number, ref in enumerate(cancelled):
        cluster.after(0.01 * number, cluster.cancel, ref, number)
    cluster.run(CANCEL_S)
    assert not cluster.reported_cancelled_at
    assert set(cluster.sessions()) == {1}
    cluster.run(CANCEL_S)
    assert set(cluster.reported_cancelled_at) == set(cancelled)
    assert not any(cluster.count(ref) for ref in cancelled)


def test_ten_times_the_polls_change_no_leader_and_hold_up_no_start() -> None:
    cluster = Crowd()
    leader, asked, answered = cluster.leader(), [0], [0]

    def told(status: int, _: object) -> None:
        answered[0] += status in (200, 503)

    def poll() -> None:
        cluster.after(1.0 / (1.6 * MACHINES), poll)
        asked[0] += 1
        ref = cluster.rng.choice(cluster.services)
        name = cluster.rng.choice(NODES)
        cluster.call(name, "GET", f"{wire.WORK}/{ref}", None, told)

    poll()
    cluster.run(3.0)
    cluster.cancel(cluster.services[0])
    cluster.run(3.0)
    assert cluster.services[0] in cluster.reported_cancelled_at
    cluster.submit(spec("j-900000", tasks=2, cores=5.0, memory_gb=8.0))
    assert cluster.run_until(lambda: cluster.count("j-900000") == 2, 3.0)
    assert cluster.leader() == leader
    cluster.run(2.0)
    assert answered[0] > 0.95 * asked[0]
    assert set(cluster.sessions()) == {1}


def test_a_thousandfold_boot_is_not_found_twice_while_the_list_lags() -> None:
    # Machines that report before they are listed, and a list of several pages that is older still.
    cluster = Crowd()
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
