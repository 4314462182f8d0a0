"""Measures a controller's processor time by duty: `python3 tools/profile_controller.py`.

Real controllers serve a simulated deployment (the tests' fakes, clock and network) with hundreds of
machines, arrivals and polls. A meter wraps each duty's entry points and charges processor time to
the innermost duty that is running, so the shares of a role add up to all the time that its
controllers' own code took. Sockets and the selector are not included.

The number and rate of events repeat from run to run, but the microseconds do not: to compare two
versions of the sources, run both alternately, several times. `--functions ROLE` instead prints the
costliest functions of that role by the standard profiler, whose overhead exceeds the cost of most
functions that it measures.
"""

from __future__ import annotations

import argparse
import cProfile
import dataclasses
import functools
import gc
import importlib
import pstats
import random
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from flaxtally.protocol import wire
from flaxtally.settings import Settings, Team
from tests import simulated_cluster, simulation

if TYPE_CHECKING:
    from collections.abc import Callable

DUTIES: dict[str, list[str]] = {
    "worker reports": [
        "api.heartbeat_endpoint:HeartbeatEndpoint.handle_heartbeat",
        "api.heartbeat_endpoint:HeartbeatEndpoint.handle_forwarded_heartbeat",
        "leader.reconciliation.heartbeat_handler:HeartbeatHandler.handle_heartbeat",
    ],
    "user requests": [
        "api.job_api:JobApi.handle_request",
        "api.leader_requests:LeaderRequests.handle_request",
        "api.leader_requests:LeaderRequests.handle_response",
        "api.leader_requests:LeaderRequests._resend_to_successor",
    ],
    "peer links": [
        "cluster.peer_links:PeerLinks.send",
        "cluster.peer_links:_Link.flush",
        "cluster.frame_codec:FrameDecoder.feed",
    ],
    "store relay": ["cluster.store_relay:StoreRelay._relay_frames"],
    "heartbeats": [
        "cluster.leader_election:LeaderElection._send_heartbeat",
        "cluster.leader_election:LeaderElection.on_heartbeat",
    ],
    "leader key": [
        "cluster.leader_election:LeaderElection._read_leader_key",
        "cluster.leader_election:LeaderElection._on_leader_key_read",
    ],
    "commit": [
        "ledger.write_ahead_log:WriteAheadLog.propose",
        "ledger.group_commit:GroupCommit._commit",
        "ledger.group_commit:GroupCommit._on_outcome",
        "ledger.leadership_barrier:LeadershipBarrier._send_round",
    ],
    "compaction": ["ledger.write_ahead_log:WriteAheadLog.compact"],
    "replay": ["ledger.write_ahead_log:WriteAheadLog.replay", "leader.leader:Leader._on_replayed"],
    "commands": [
        "leader.commands:CommandSender._send_queued",
        "api.command_relay:CommandRelay.handle_command",
        "api.command_relay:CommandRelay.handle_result",
    ],
    "scheduling": ["leader.scheduling.scheduler:Scheduler._schedule"],
    "autoscaling": ["leader.autoscaling.autoscaler:Autoscaler.scale"],
    "consolidation": [
        "leader.autoscaling.consolidation:Consolidation.consolidate",
        "leader.autoscaling.consolidation:Consolidation.continue_moves",
    ],
    "monitoring": [
        "leader.reconciliation.machine_monitor:MachineMonitor.check_machines",
        "leader.reconciliation.stragglers:Stragglers.check_running_tasks",
    ],
    "http server": [
        "runtime.http:ServerConnection._on_data",
        "runtime.http:ServerConnection.send_reply",
        "runtime.http:Server._accept",
    ],
    "http client": [
        "runtime.http:Client.request",
        "runtime.http:Client._on_data",
        "runtime.http:Client._on_timeout",
    ],
}
"""The entry points of each duty, as `MODULE:CLASS.METHOD` within the package `flaxtally`."""
OTHER_DUTY = "other"
"""The duty that is charged with time outside the entry points."""
LEADER, FOLLOWER, FAKES = "leader", "follower", "fakes"
MAX_PRINTED_FUNCTIONS = 50
SERVICE_IMAGE_COUNT, BATCH_IMAGE_COUNT = 16, 12
POOL_COUNT = 8
"""Pools of the simulated cloud: machine types, zones, and spot or not, two of each."""
SOCKETS_PER_MACHINE, MIN_SOCKETS = 4, 500
ARRAY_SIZES = (4, 8, 12, 12, 20, 40)


class Meter:
    """Charges processor time to the innermost running duty, separately for each role."""

    def __init__(self) -> None:
        self.role = FAKES
        self._stack = [OTHER_DUTY]
        self.reset()

    def reset(self) -> None:
        self.spent_s: dict[tuple[str, str], float] = {}
        self.events: dict[tuple[str, str], int] = {}
        self.longest_s: dict[tuple[str, str], float] = {}
        self._since = time.perf_counter()

    def switch(self) -> float:
        """Charge the time since the last switch to the innermost duty; return the current time."""
        now = time.perf_counter()
        key = self.role, self._stack[-1]
        self.spent_s[key] = self.spent_s.get(key, 0.0) + now - self._since
        self._since = now
        return now

    def run_as(self, role: str, fn: Callable[..., Any], *args: Any) -> None:
        """Make a call on a host of that role."""
        self.switch()
        self.role = role
        try:
            fn(*args)
        finally:
            self.switch()
            self.role = FAKES

    def wrap(self, duty: str, fn: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(fn)
        def metered(*args: Any, **kwargs: Any) -> Any:
            started_at = self.switch()
            self._stack.append(duty)
            try:
                return fn(*args, **kwargs)
            finally:
                finished_at = self.switch()
                self._stack.pop()
                key = self.role, duty
                self.events[key] = self.events.get(key, 0) + 1
                self.longest_s[key] = max(self.longest_s.get(key, 0.0), finished_at - started_at)

        return metered

    def format_table(self, role: str, seconds: float, controllers: int) -> str:
        """Format what one controller of the role did per second, averaged over `seconds`."""
        spent_s = {
            duty: took_s for (duty_role, duty), took_s in self.spent_s.items() if duty_role == role
        }
        total_s = sum(spent_s.values()) or 1.0
        lines = [
            f"{role:14} {'events/s':>9} {'us/event':>9} {'ms/s':>7} {'share':>6} {'longest':>9}"
        ]
        for duty, took_s in sorted(spent_s.items(), key=lambda item: -item[1]):
            events = self.events.get((role, duty), 0)
            each = f"{took_s / events * 1e6:9.0f}" if events else f"{'-':>9}"
            longest_ms = self.longest_s.get((role, duty), 0.0) * 1000
            lines.append(
                f"{duty:14} {events / seconds / controllers:9.1f} {each} "
                f"{took_s * 1000 / seconds / controllers:7.2f} {took_s / total_s:6.1%} "
                f"{longest_ms:6.1f} ms"
            )
        share = total_s / seconds / controllers
        lines.append(f"in all {share:.4f} of a core for each second served")
        return "\n".join(lines)


def meter_duties(meter: Meter) -> None:
    """Wrap the entry points of all duties."""
    for duty, places in DUTIES.items():
        for place in places:
            module, _, name = place.partition(":")
            owner_name, _, method = name.partition(".")
            owner = getattr(importlib.import_module(f"flaxtally.{module}"), owner_name)
            original = owner.__dict__[method]
            plain = original.__func__ if isinstance(original, staticmethod) else original
            metered = meter.wrap(duty, plain)
            setattr(owner, method, staticmethod(metered) if original is not plain else metered)


def intercept_calls(find_role: Callable[[str], str], run_as: Callable[..., None]) -> None:
    """Route every call on a simulated host through `run_as`, which also gets the host's role."""
    call = simulation.Host.call

    def call_as_role(host: simulation.Host, fn: Callable[..., None], *args: Any) -> None:
        run_as(find_role(host.ip), call, host, fn, *args)

    simulation.Host.call = call_as_role  # type: ignore[method-assign]


class Load:
    """Users of the simulated deployment: services, arrays and polls."""

    def __init__(
        self,
        deployment: simulated_cluster.SimulatedCluster,
        jobs_per_second: float,
        polls_per_second: float,
    ) -> None:
        self._cluster, self._rng = deployment, random.Random(7)
        self._jobs_per_second, self.polls_per_second = jobs_per_second, polls_per_second
        self._jobs = 0

    def start(self, services: int) -> None:
        """Submit the initial services, then start arrivals and polls."""
        for _ in range(services):
            self._submit_service()
        self._arrive()
        self._poll()

    def _submit_service(self) -> None:
        self._jobs += 1
        image = f"gate-{self._rng.randrange(SERVICE_IMAGE_COUNT)}"
        tasks = self._rng.choice((2, 3, 6))
        job = simulated_cluster.spec(f"j-{self._jobs:06d}", tasks=tasks, image=image)
        self._cluster.submit(job, node=self._jobs)

    def _submit_array(self) -> None:
        self._jobs += 1
        ref, image = f"j-{self._jobs:06d}", f"batch-{self._rng.randrange(BATCH_IMAGE_COUNT)}"
        run_time = self._rng.uniform(20.0, 50.0)
        job = simulated_cluster.batch(ref, self._rng.choice(ARRAY_SIZES), image=image)
        self._cluster.submit(job, run_time=run_time, node=self._jobs)

    def _arrive(self) -> None:
        self._cluster.after(self._rng.expovariate(self._jobs_per_second), self._arrive)
        if self._rng.random() < 0.25:
            self._submit_service()
        else:
            self._submit_array()

    def _poll(self) -> None:
        self._cluster.after(self._rng.expovariate(self.polls_per_second), self._poll)
        ref = f"j-{self._rng.randrange(self._jobs) + 1:06d}"
        node = self._rng.choice(self._cluster.names)
        self._cluster.call(node, "GET", f"{wire.JOBS}/{ref}", None, lambda *_: None)


class LargeCluster(simulated_cluster.SimulatedCluster):
    """A deployment whose controllers may open as many sockets as its size needs."""

    def __init__(self, capacity: int, team: Team) -> None:
        self._sockets = max(MIN_SOCKETS, SOCKETS_PER_MACHINE * capacity * POOL_COUNT)
        super().__init__(capacity=capacity, team=team)

    def build_settings(self, node: str) -> Settings:
        return dataclasses.replace(super().build_settings(node), max_sockets=self._sockets)


def build_deployment(
    capacity: int, running: int
) -> tuple[simulated_cluster.SimulatedCluster, Callable[[str], str]]:
    """Build a deployment and a function from a host's address to its role.

    `running` machines run at the start; each pool has `capacity` machines at most.
    """
    max_machines = capacity * POOL_COUNT
    team = Team(
        "crew", 0.0, max(20000.0, 19.0 * max_machines), 0.0, max(4000.0, 3.8 * max_machines)
    )
    deployment = LargeCluster(capacity, team)
    for number in range(running):
        kind, zone = (
            simulated_cluster.TYPES[number % 2].name,
            simulated_cluster.ZONES[number // 2 % 2],
        )
        deployment.cloud.add(kind, zone, number // 4 % 2 == 0, boot=1.0)
    names = {deployment.ip(name): name for name in deployment.names}

    def find_role(ip: str) -> str:
        if ip not in names:
            return FAKES
        return LEADER if deployment.nodes[names[ip]].election.is_leader else FOLLOWER

    return deployment, find_role


def report_duties(
    deployment: simulated_cluster.SimulatedCluster, meter: Meter, seconds: float, text: str
) -> None:
    """Run the deployment for `seconds` and print what its controllers did."""
    meter.reset()
    deployment.run(seconds)
    print(f"-- {text}: {len(deployment.workers)} machines, {len(deployment.running)} tasks")
    print(meter.format_table(LEADER, seconds, 1))
    print(meter.format_table(FOLLOWER, seconds, len(deployment.nodes) - 1))


def main() -> None:
    parser = argparse.ArgumentParser(description="Measure a controller's processor time by duty.")
    parser.add_argument("--capacity", type=int, default=33, help="machines per pool (of eight)")
    parser.add_argument("--running", type=int, default=0, help="machines running at the start")
    parser.add_argument("--gates", type=int, default=200, help="services running at the start")
    parser.add_argument("--arrivals", type=float, default=1.2, help="jobs per second")
    parser.add_argument("--polls", type=float, default=20.0, help="polls per second")
    parser.add_argument(
        "--storm", type=float, default=20.0, help="factor on the rate of polls in the poll storm"
    )
    parser.add_argument("--warm-up", type=float, default=60.0, metavar="SECONDS")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--functions", choices=(LEADER, FOLLOWER), metavar="ROLE")
    parser.add_argument("--duties", action="store_true", help="list the entry points and exit")
    arguments = parser.parse_args()

    meter = Meter()
    if arguments.duties:
        meter_duties(meter)
        print("\n".join(f"{duty}: {place}" for duty in DUTIES for place in DUTIES[duty]))
        return
    if not arguments.functions:
        # Wrap before the controllers exist: they keep references to their own methods.
        meter_duties(meter)
    deployment, find_role = build_deployment(arguments.capacity, arguments.running)
    load = Load(deployment, arguments.arrivals, arguments.polls)
    load.start(arguments.gates)
    deployment.run(arguments.warm_up)
    # Otherwise garbage collection of the fakes' objects would be charged to a controller.
    gc.collect()
    gc.freeze()
    if arguments.functions:
        profile = cProfile.Profile()

        def run_profiled(role: str, fn: Callable[..., Any], *args: Any) -> None:
            if role == arguments.functions:
                profile.runcall(fn, *args)
            else:
                fn(*args)

        intercept_calls(find_role, run_profiled)
        deployment.run(arguments.seconds)
        load.polls_per_second *= arguments.storm
        deployment.run(arguments.seconds)
        pstats.Stats(profile).sort_stats("tottime").print_stats(MAX_PRINTED_FUNCTIONS)
        return
    intercept_calls(find_role, meter.run_as)
    report_duties(
        deployment, meter, arguments.seconds, f"steady, {load.polls_per_second:g} polls/s"
    )
    load.polls_per_second *= arguments.storm
    report_duties(
        deployment, meter, arguments.seconds, f"poll storm, {load.polls_per_second:g} polls/s"
    )


if __name__ == "__main__":
    main()
