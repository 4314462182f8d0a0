"""A small deployment in simulation: the real controllers against the stand-ins, with the rules
checked at every start and end of a task, and a trace that people read."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from flaxtally import policy, wire
from flaxtally.http import Client, Reply
from flaxtally.node import Node
from flaxtally.settings import Objective, Settings, Team
from flaxtally.standin.cloud import Cloud
from flaxtally.standin.state import StateService
from flaxtally.standin.worker import Worker

from .sim import Sim

STATE, CLOUD, USER = ("10.2.0.1", 2379), ("10.2.0.2", 8443), "10.3.0.1"
NODES = ("hearth-0", "hearth-1", "hearth-2")
ZONES = ("a", "b")
TYPES = [
    wire.MachineType("c16", 16.0, 0.0, 64.0, 40.0, 2.0, 1.0, 0.4, 8.0, list(ZONES)),
    wire.MachineType("g8", 32.0, 8.0, 256.0, 200.0, 4.0, 12.0, 4.0, 10.0, list(ZONES)),
]
CANCEL_S = 30.0


def spec(ref: str, **changes: Any) -> wire.Spec:
    """A submission: by default one small critical service replica."""
    base = wire.Spec(
        ref, "gate", "crew", wire.SERVICE, "critical", 1, 2.0, 0.0, 4.0, "img-1", 1.0, None, None, False, True,
        False, 0.0, 0.0, 0.0, None,
    )  # fmt: skip
    return msgspec.structs.replace(base, **changes)


def batch(ref: str, tasks: int, **changes: Any) -> wire.Spec:
    return spec(ref, lane="batch", kind=wire.ARRAY, rank="standard", tasks=tasks, gpus=1.0, cores=3.0, ram=16.0,
                spread=False, spot=True, estimate=6.0, **changes)  # fmt: skip


class World:
    """Controllers, state service, cloud, workers, users."""

    def __init__(
        self, seed: int = 1, team: Team | None = None, value_bytes: int = 8192, nodes: tuple[str, ...] = NODES,
        capacity: int = 4, objectives: tuple[Objective, ...] = (),
    ) -> None:  # fmt: skip
        self.value_bytes, self.names, self.objectives = value_bytes, nodes, objectives
        self.sim = Sim(seed)
        self.rng = random.Random(seed)
        self.team = team or Team("crew", 0.0, 200.0, 0.0, 64.0)
        self.specs: dict[str, wire.Spec] = {}
        self.run_times: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.trace: list[str] = []
        self.running: dict[str, tuple[str, int]] = {}
        self._used = [0.0, 0.0]
        self._pages: dict[str, tuple[int, set[tuple[str, int, str]]]] = {}
        self._refs: dict[int, str] = {}
        self.told_cancelled: dict[str, float] = {}
        self.accepted: set[str] = set()
        self.nodes: dict[str, Node] = {}
        self.state = StateService(self.sim.host(STATE[0]), STATE)
        self.cloud = Cloud(
            self.sim.host(CLOUD[0]), CLOUD, TYPES,
            {(kind.name, zone, spot): capacity for kind in TYPES for zone in ZONES for spot in (False, True)},
            lambda count: f"10.1.{count // 250}.{count % 250 + 1}:9000", self._start_worker, self._end_worker, self.rng,
        )  # fmt: skip
        self.user = self.sim.host(USER)
        self._clients: dict[str, Client] = {}
        for name in nodes:
            self.start(name)

    # The service

    def ip(self, node: str) -> str:
        return f"10.0.0.{self.names.index(node) + 1}"

    def start(self, node: str) -> None:
        settings = Settings(
            node=node, zone=ZONES[self.names.index(node) % 2], listen=(self.ip(node), 8080),
            peer_listen=(self.ip(node), 8081),
            peers={
                other: (ZONES[number % 2], (self.ip(other), 8081))
                for number, other in enumerate(self.names) if other != node
            },
            cloud=CLOUD, state=STATE, zones=ZONES, teams={"crew": self.team}, objectives=self.objectives,
            report_s=1.5, lease_s=10.0, cancel_s=CANCEL_S, state_rps=250.0, state_write_rps=40.0,
            value_bytes=self.value_bytes, txn_ops=32, cloud_rps=3.0, list_lag_s=1.0, max_sockets=500,
        )  # fmt: skip
        self.nodes[node] = Node(
            self.sim.host(self.ip(node)), settings, policy.default(settings), random.Random(self.rng.random())
        )  # fmt: skip

    def crash(self, node: str, back_after: float | None = None) -> None:
        self.note(f"{node} crashes")
        self.sim.crash(self.ip(node))
        if back_after is not None:
            self.sim.at(self.sim.time + back_after, self.start, node)

    def leader(self) -> str | None:
        leading = [
            (node.election.term, name)
            for name, node in self.nodes.items()
            if node.election.leading and self.sim.hosts[self.ip(name)].alive
        ]
        return max(leading)[1] if leading else None

    # Machines

    def _start_worker(self, machine: wire.Listed) -> None:
        kind = next(entry for entry in TYPES if entry.name == machine.type)
        assert machine.address is not None
        ip, _, port = machine.address.partition(":")
        self.workers[machine.machine] = Worker(
            self.sim.host(ip), machine, kind, (ip, int(port)), {name: (self.ip(name), 8080) for name in self.names},
            1.5, 10.0, self.specs.get, self.run_times.get, self._watch, self.rng,
        )  # fmt: skip

    def _end_worker(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.gone()
            self.sim.crash(worker._address[0])
        self.note(f"{name} gone")

    def machine_of(self, task: str) -> str:
        return self.running[task][0]

    def ip_of(self, machine: str) -> str:
        return self.workers[machine]._address[0]

    def _watch(self, event: str, machine: str, task: str, attempt: int) -> None:
        self.note(f"{task} try {attempt} {event} on {machine}")
        ref = task.partition("/")[0]
        job = self.specs[ref]
        if event != "start":
            if self.running.get(task) == (machine, attempt):
                del self.running[task]
                self._count_use(job, -1)
            return
        # The rules, at the moment at which they could be broken.
        assert task not in self.running, f"ran_twice: {task} on {self.running.get(task)} and {machine}"
        # Its user may hear of it a little later, but it and the placement must be committed.
        assert self._is_committed(task, attempt, machine), f"started before its record was committed: {task}"
        if ref in self.told_cancelled:
            assert self.sim.time <= self.told_cancelled[ref] + CANCEL_S, f"ran_cancelled: {task}"
        self.running[task] = (machine, attempt)
        self._count_use(job, 1)
        there = self.workers[machine].machine
        assert job.spot or not there.spot, f"wrong_place: {task} on spot"
        if job.spread:
            others = [self.running.get(f"{ref}/{number}") for number in range(job.tasks)]
            zones = [self.workers[other[0]].machine.zone for other in others if other is not None]
            assert zones.count(there.zone) <= (job.tasks + 1) // 2, f"wrong_place: {task} not spread"
        assert self._used[0] <= self.team.cores_max, "quota"
        assert self._used[1] <= self.team.gpus_max, "quota"

    def _count_use(self, job: wire.Spec, count: int) -> None:
        self._used[0] += job.cores * count
        self._used[1] += job.gpus * count

    def _is_committed(self, task: str, attempt: int, machine: str) -> bool:
        """Whether the state service's pages hold the placement. Pages are read when they changed."""
        held = False
        for key, (value, stamp, _) in sorted(self.state.rows.items()):
            if not key.startswith("p/"):
                continue
            if self._pages.get(key, (0, None))[0] != stamp:
                self._refs.update({record[1]: record[3] for record in value["r"] if record[0] == "J"})
                placed = {(f"{self._refs.get(r[1])}/{r[2]}", r[3], r[4]) for r in value["r"] if r[0] == "P"}
                self._pages[key] = stamp, placed
            held = held or (task, attempt, machine) in self._pages[key][1]
        return held

    # Users

    def call(self, node: str, method: str, path: str, body: Any, done: Callable[[int, Any], None]) -> None:
        client = self._clients.setdefault(node, Client(self.user, (self.ip(node), 8080), 8))

        def told(reply: Reply) -> None:
            done(reply.status, msgspec.msgpack.decode(reply.body) if reply.body else None)

        client.request(method, path, body, 5.0, told)

    def submit(self, job: wire.Spec, run_time: float | None = None, node: int = 0) -> None:
        """Submits until it is answered for good, like the users do."""
        self.specs[job.ref] = job
        if run_time is not None:
            self.run_times[job.ref] = run_time
        name = self.names[node % len(self.names)]

        def done(status: int, _: Any) -> None:
            if status in (200, 201):
                self.accepted.add(job.ref)
                self.note(f"user: {job.ref} accepted ({status})")
            elif status in (400, 422):
                self.note(f"user: {job.ref} refused ({status})")
            else:
                self.sim.at(self.sim.time + 1.0, self.submit, job, run_time, node + 1)

        self.call(name, "POST", wire.WORK, wire.submission(job), done)

    def cancel(self, ref: str, node: int = 0) -> None:
        def done(status: int, body: Any) -> None:
            if status == 200:
                if body["stage"] == wire.ABORTED:
                    self.told_cancelled[ref] = self.sim.time
                    self.sim.at(self.sim.time + CANCEL_S, self._check_cancelled, ref)
                self.note(f"user: {ref} {body['stage']}")
            else:
                self.sim.at(self.sim.time + 1.0, self.cancel, ref, node + 1)

        self.call(self.names[node % len(self.names)], "POST", f"{wire.WORK}/{ref}/cancel", None, done)

    def _check_cancelled(self, ref: str) -> None:
        left = [task for task in self.running if task.startswith(ref + "/")]
        left = [task for task in left if not self.workers[self.running[task][0]].hung]
        assert not left, f"ran_cancelled: {left}"

    def ask(self, ref: str) -> tuple[int, Any]:
        """Polls any node until one answers other than 503, at most 20 s."""
        answers: list[tuple[int, Any]] = []
        end = self.sim.time + 20
        turn = 0
        while self.sim.time < end:
            answers.clear()
            name = self.names[turn % len(self.names)]
            self.call(name, "GET", f"{wire.WORK}/{ref}", None, lambda s, b: answers.append((s, b)))
            self.until(lambda: bool(answers), 6)
            if answers and answers[0][0] in (200, 404):
                return answers[0]
            turn += 1
            self.run(0.3)
        raise AssertionError(f"nobody answers about {ref}")

    # Time

    def note(self, text: str) -> None:
        self.trace.append(f"{self.sim.time:7.2f} {text}")

    def run(self, seconds: float) -> None:
        self.until(lambda: False, seconds)

    def until(self, condition: Callable[[], bool], most: float) -> bool:
        """Plays until the condition holds; False if it did not within the time."""
        end = self.sim.time + most
        while not condition():
            if self.sim.next_time() > end:
                self.sim.time = end
                return condition()
            self.sim.step()
        return True

    def count(self, ref: str) -> int:
        return sum(task.startswith(ref + "/") for task in self.running)
