"""A small deployment in simulation: the real controllers against the stand-ins, with the rules
checked at every start and end of a task, and a trace that people read."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any

import msgspec

from flaxtally import policy
from flaxtally.controller import Controller
from flaxtally.emulator.rules import Rules
from flaxtally.fakes.cloud import Cloud, equal_pools
from flaxtally.fakes.gang_meeting import GangMeetings
from flaxtally.fakes.key_value_store import FakeKeyValueStore
from flaxtally.fakes.worker import Worker
from flaxtally.ledger.records import (
    BatchPiece,
    JobAccepted,
    StoredRecord,
    TaskPlaced,
    decode_record,
)
from flaxtally.protocol import wire
from flaxtally.runtime.http import Client, Reply
from flaxtally.settings import Objective, Settings, StateLimits, Team

from .ledger_records import certain_records
from .simulation import Simulation

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from flaxtally.cells.membership import CellSetup
    from flaxtally.lending.feature import LendingFeature

STATE, CLOUD, USER = ("10.2.0.1", 2379), ("10.2.0.2", 8443), "10.3.0.1"
GANGS = "10.3.0.2"
NODES = ("hearth-0", "hearth-1", "hearth-2")
ZONES = ("a", "b")
TYPES = [
    wire.MachineType("c16", 16.0, 0.0, 64.0, 40.0, 2.0, 1.0, 0.4, 8.0, list(ZONES)),
    wire.MachineType("g8", 32.0, 8.0, 256.0, 200.0, 4.0, 12.0, 4.0, 10.0, list(ZONES)),
]
CANCEL_S = 30.0
GANG_WAIT_S, GANG_PEER_S = 20.0, 4.0


def spec(ref: str, **changes: Any) -> wire.Spec:
    """A submission: by default one small critical service replica."""
    base = wire.Spec(
        ref,
        "gate",
        "crew",
        wire.SERVICE,
        "critical",
        1,
        2.0,
        0.0,
        4.0,
        "img-1",
        1.0,
        None,
        None,
        False,
        True,
        False,
        0.0,
        0.0,
        0.0,
        None,
    )
    return msgspec.structs.replace(base, **changes)


def batch(ref: str, tasks: int, **changes: Any) -> wire.Spec:
    return spec(
        ref,
        job_class="batch",
        job_kind=wire.ARRAY,
        rank="standard",
        tasks=tasks,
        gpus=1.0,
        cores=3.0,
        memory_gb=16.0,
        spread=False,
        spot=True,
        estimated_run_s=6.0,
        **changes,
    )


def gang(ref: str, tasks: int = 4, **changes: Any) -> wire.Spec:
    """A gang that saves, in one zone by default."""
    usual: dict[str, Any] = {
        "job_class": "gang",
        "job_kind": wire.GANG,
        "rank": "standard",
        "one_zone": True,
        "spread": False,
        "estimated_run_s": 10.0,
        "checkpoint_interval_s": 5.0,
        "checkpoint_save_s": 1.0,
    }
    return spec(ref, tasks=tasks, **(usual | changes))


class SimulatedCluster:
    """Controllers, state service, cloud, workers, users."""

    def __init__(
        self,
        seed: int = 1,
        team: Team | None = None,
        value_bytes: int = 8192,
        txn_ops: int = 32,
        nodes: tuple[str, ...] = NODES,
        capacity: int = 4,
        objectives: tuple[Objective, ...] = (),
        guests: tuple[Team, ...] = (),
    ) -> None:
        self.value_bytes, self.txn_ops = value_bytes, txn_ops
        self.names, self.objectives = nodes, objectives
        self.sim = Simulation(seed)
        self.rng = random.Random(seed)
        self.team = team or Team("crew", 0.0, 200.0, 0.0, 64.0)
        self.specs: dict[str, wire.Spec] = {}
        self.run_times: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.trace: list[str] = []
        self.teams = {team.name: team for team in (self.team, *guests)}
        self.rules = Rules(self.teams, TYPES, CANCEL_S)
        self.calm_since = float("inf")
        self.copies = 0
        self._copy_share, self._copy_for_next = 0.0, False
        self._kept: list[tuple[int, wire.Heartbeat]] = []
        self.broken: set[str] = set()
        """Jobs submitted with a mistake: they fail on every machine."""
        self.faulty: set[str] = set()
        """Machines on which every task fails."""
        self.gave_up: list[str] = []
        """Cancellations that got no answer of use within 60 s."""
        self._pages: dict[str, tuple[int, set[tuple[str, int, str]], list[StoredRecord]]] = {}
        self._refs: dict[tuple[str, int], str] = {}
        self.told_cancelled: dict[str, float] = {}
        self.accepted: set[str] = set()
        self.nodes: dict[str, Controller] = {}
        self.state = FakeKeyValueStore(self.sim.host(STATE[0]), STATE, random.Random(seed))
        self.cloud = Cloud(
            self.sim.host(CLOUD[0]),
            CLOUD,
            TYPES,
            equal_pools(TYPES, ZONES, capacity),
            lambda count: f"10.1.{count // 250}.{count % 250 + 1}:9000",
            self._start_worker,
            self._end_worker,
            self.rng,
        )
        self.user = self.sim.host(USER)
        self.gangs = GangMeetings(
            self.sim.host(GANGS), GANG_WAIT_S, GANG_PEER_S, self.run_times.get
        )
        self._clients: dict[str, Client] = {}
        for name in nodes:
            self.start(name)
        self.sim.at(1.0, self._look)
        self.sim.at(0.0, self._deliver_kept)

    @property
    def running(self) -> dict[str, tuple[str, int]]:
        """Where each task is, and its attempt."""
        return {
            task: (machine.machine, attempt)
            for task, (machine, attempt) in self.rules.placements.items()
        }

    # The service

    def ip(self, node: str) -> str:
        return f"10.0.0.{self.names.index(node) + 1}"

    def settings_of(self, node: str) -> Settings:
        return Settings(
            node=node,
            zone=ZONES[self.names.index(node) % 2],
            listen=(self.ip(node), 8080),
            peer_listen=(self.ip(node), 8081),
            peers={
                other: (ZONES[number % 2], (self.ip(other), 8081))
                for number, other in enumerate(self.names)
                if other != node
            },
            cloud=CLOUD,
            state=STATE,
            zones=ZONES,
            teams=self.teams,
            objectives=self.objectives,
            report_s=1.5,
            lease_s=10.0,
            gang_wait_s=GANG_WAIT_S,
            gang_peer_s=GANG_PEER_S,
            cancel_s=CANCEL_S,
            state_rps=250.0,
            state_limits=StateLimits(40.0, self.value_bytes, self.txn_ops),
            cloud_rps=3.0,
            list_lag_s=1.0,
            max_sockets=500,
        )

    @staticmethod
    def with_limits(settings: Settings, limits: StateLimits) -> Settings:
        """The same with other limits of the state service."""
        return dataclasses.replace(settings, state_limits=limits)

    def cells_of(self, settings: Settings) -> CellSetup | None:
        """Which cell the controller is of; None: the fleet is not divided."""
        return None

    def lending_of(self, node: str) -> LendingFeature | None:
        """Whether the controller recalls loans between teams."""
        return None

    def start(self, node: str) -> None:
        settings = self.settings_of(node)
        self.nodes[node] = Controller(
            self.sim.host(self.ip(node)),
            settings,
            policy.default(settings),
            random.Random(self.rng.random()),
            self.cells_of(settings),
            self.lending_of(node),
        )

    def crash(self, node: str, back_after: float | None = None) -> None:
        self.note(f"{node} crashes")
        self.sim.crash(self.ip(node))
        if back_after is not None:
            self.sim.at(self.sim.time + back_after, self.start, node)

    def leader(self) -> str | None:
        leading = [
            (node.election.term, name)
            for name, node in self.nodes.items()
            if node.election.is_leader and self.sim.hosts[self.ip(name)].alive
        ]
        return max(leading)[1] if leading else None

    # Machines

    def _start_worker(self, machine: wire.Listed) -> None:
        kind = next(entry for entry in TYPES if entry.name == machine.machine_type)
        assert machine.address is not None
        ip, _, port = machine.address.partition(":")
        worker = self.workers[machine.machine] = Worker(
            self.sim.host(ip),
            machine,
            kind,
            (ip, int(port)),
            {name: (self.ip(name), 8080) for name in self.names},
            1.5,
            10.0,
            self.specs.get,
            self.run_times.get,
            self._watch,
            self.rng,
            self.gangs,
        )
        worker.copy = self._copied
        worker.fails = lambda ref: ref in self.broken or machine.machine in self.faulty

    def _end_worker(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.gone()
            self.sim.crash(worker._address[0])
        self.note(f"{name} gone")

    def machine_of(self, task: str) -> str:
        return self.rules.placements[task][0].machine

    def ip_of(self, machine: str) -> str:
        return self.workers[machine]._address[0]

    def _watch(self, event: str, machine: str, task: str, attempt: int) -> None:
        self.note(f"{task} try {attempt} {event} on {machine}")
        if event == "start":
            # Its user may hear of it a little later, but it and the placement must be committed.
            assert self._is_committed(task, attempt, machine), (
                f"started before its record was committed: {task}"
            )
            self.rules.record_start(task, attempt, self.workers[machine].machine, self.sim.time)
        else:
            self.rules.record_end(task, attempt, machine, event == "end done")

    def _look(self) -> None:
        self.sim.at(self.sim.time + 1.0, self._look)
        self.rules.check_deadlines(self.sim.time)
        if self.sim.time > self.calm_since:
            up = [
                (
                    worker.machine,
                    {held.task for held in worker.tasks.values() if held.state != wire.EXITED},
                )
                for worker in self.workers.values()
                if worker.notice is None
            ]
            self.rules.check_after_faults(self.sim.time, self.calm_since, up)

    def _is_committed(self, task: str, attempt: int, machine: str) -> bool:
        """Whether the state service's pages hold the placement. Pages are read on change; what
        stands in batches counts only if the batch is whole.
        """
        held = False
        in_batches: dict[str, list[StoredRecord]] = {}
        for key, (value, stamp, _) in sorted(self.state.rows.items()):
            ledger, page, _ = key.rpartition("p/")
            if not page or not (ledger == "" or ledger.startswith("cell/")):
                continue
            if key not in self._pages or self._pages[key][0] != stamp:
                records = [decode_record(stored) for stored in value["r"]]
                self._pages[key] = stamp, self._placed_by(ledger, records), records
            _, placed, records = self._pages[key]
            if any(isinstance(record, BatchPiece) for record in records):
                in_batches.setdefault(ledger, []).extend(records)
                continue
            held = held or (task, attempt, machine) in placed
        for ledger, pieces in in_batches.items():
            placed = self._placed_by(ledger, certain_records(pieces))
            held = held or (task, attempt, machine) in placed
        return held

    def _placed_by(self, ledger: str, records: Sequence[StoredRecord]) -> set[tuple[str, int, str]]:
        """The placements that the records say; who reads further records knows the jobs of these.

        What stands in batches says nothing here but the jobs: they may be placed in later pages.
        """
        self._refs.update(
            {(ledger, each.number): each.ref for each in records if isinstance(each, JobAccepted)}
        )
        return {
            (f"{self._refs.get((ledger, each.job))}/{each.task}", each.attempt, each.machine)
            for each in records
            if isinstance(each, TaskPlaced)
        }

    # Troubles, one way to say each. Each ends by itself.

    def after(self, seconds: float, fn: Callable[..., None], *args: Any) -> None:
        self.sim.at(self.sim.time + seconds, fn, *args)

    def refuse(self, node: str, for_s: float) -> None:
        """The state service answers 503 to this controller alone; its leases run out."""
        self.note(f"the state service refuses {node}")
        self.state.refused.add(self.ip(node))
        self.after(for_s, self.state.refused.discard, self.ip(node))

    def outage(self, for_s: float) -> None:
        """The state service answers 503 to all."""
        self.note("the state service has trouble")
        self.state.down = True
        self.after(for_s, self.state.recover)

    def lose_writes(self, share: float, for_s: float, at_once: bool = False) -> None:
        """That share of transactions gets no answer; each is carried out 2 to 12 s later, or at
        once.
        """
        self.state.lost_share, self.state.lost_delay = share, (0.0, 0.0) if at_once else (2.0, 12.0)
        self.after(for_s, setattr, self.state, "lost_share", 0.0)

    def freeze(self, node: str, for_s: float) -> None:
        """The controller stands still while its clocks run on."""
        self.note(f"{node} stands still")
        self.sim.hosts[self.ip(node)].freeze(for_s)

    def slow_processor(self, node: str, call_seconds: float, for_s: float) -> None:
        """Each call of the controller's takes that long; what comes meanwhile waits its turn."""
        self.note(f"{node} has a slow processor")
        host = self.sim.hosts[self.ip(node)]
        host.call_seconds = call_seconds
        self.after(for_s, setattr, host, "call_seconds", 0.0)

    def slow_state(self, seconds: float, for_s: float) -> None:
        self.state.slow = seconds
        self.after(for_s, setattr, self.state, "slow", 0.0)

    def copy_reports(self, share: float, for_s: float, for_next: bool = False) -> None:
        """A copy of that share of reports arrives again: 2 s to 1.6 leases later, at any
        controller; or at every controller when the next leader has begun.
        """
        self._copy_share, self._copy_for_next = share, for_next
        self.after(for_s, setattr, self, "_copy_share", 0.0)

    def _copied(self, node: str, report: wire.Heartbeat) -> None:
        if self._copy_share and self.rng.random() < self._copy_share:
            if self._copy_for_next:
                self._kept.append((self._term_active(), report))
            else:
                self.after(
                    self.rng.uniform(2.0, 16.0),
                    self._deliver_copy,
                    self.rng.choice(self.names),
                    report,
                )

    def _term_active(self) -> int:
        return max(
            (node.leader.term.number for node in self.nodes.values() if node.leader.term.active),
            default=0,
        )

    def _deliver_kept(self) -> None:
        self.after(0.05, self._deliver_kept)
        term = self._term_active()
        due = [report for kept_in, report in self._kept if kept_in < term]
        self._kept = [entry for entry in self._kept if entry[0] >= term]
        for report in due:
            for name in self.names:
                self._deliver_copy(name, report)

    def _deliver_copy(self, node: str, report: wire.Heartbeat) -> None:
        self.copies += 1
        Client(self.user, (self.ip(node), 8080)).request(
            "POST", wire.BEAT, report, 4.0, lambda _: None
        )

    def machine_trouble(self, what: str, machines: list[str], for_s: float) -> None:
        """`what`: hung, deaf (answers and orders lost, reports arrive), mute (reaches no
        controller) or cut (from all controllers: what is sent is held).
        """
        for name in machines:
            self.note(f"{name} is {what}")
            if what == "cut":
                self.cut(self.ip_of(name), [self.ip(node) for node in self.names], for_s)
                continue
            setattr(self.workers[name], what, True)
            self.after(for_s, setattr, self.workers[name], what, False)

    def cut(self, one: str, others: list[str], for_s: float) -> None:
        """Between these hosts all is held, and then delivered in order."""
        for other in others:
            self.sim.cut(one, other)
            self.after(for_s, self.sim.heal, one, other)

    def slow_links(self, seconds: float, for_s: float) -> None:
        """Between controllers, and between these and the state service."""
        hosts = [*(self.ip(name) for name in self.names), STATE[0]]
        self.sim.slow = {
            frozenset((one, other)): seconds for one in hosts for other in hosts if one != other
        }
        self.after(for_s, self.sim.slow.clear)

    def isolate(self, node: str, for_s: float) -> None:
        """The controller loses the state service and the other controllers, not its workers or
        users.
        """
        self.note(f"{node} is cut from the state service and its peers")
        self.cut(
            self.ip(node),
            [STATE[0], *(self.ip(name) for name in self.names if name != node)],
            for_s,
        )

    def calm(self, for_s: float = 110.0) -> None:
        """All troubles are over: now the rules count how long questions and waiting jobs are left
        alone.
        """
        self.calm_since = self.sim.time
        for _ in range(int(for_s / 5)):
            for ref, job in self.rules.jobs.items():
                if job.accepted:
                    name = self.rng.choice(self.names)
                    self.call(name, "GET", f"{wire.WORK}/{ref}", None, lambda *_: None)
            self.run(5.0)

    # Users

    def call(
        self, node: str, method: str, path: str, body: Any, done: Callable[[int, Any], None]
    ) -> None:
        """A user's request. The rules see all that are asked and answered."""
        client = self._clients.setdefault(node, Client(self.user, (self.ip(node), 8080), 8))
        asked_at = self.sim.time
        if path == wire.WORK:
            what, ref = (
                "submit",
                getattr(body, "ref", "") or (body.get("ref", "") if isinstance(body, dict) else ""),
            )
            if isinstance(body, wire.Submission):
                self.rules.record_submission(
                    self.specs.get(ref) or wire.Spec(**msgspec.structs.asdict(body))
                )
        else:
            ref, _, verb = path[len(wire.WORK) + 1 :].partition("/")
            what = verb or "poll"
            if what == "cancel":
                self.rules.record_cancel_request(ref)

        def told(reply: Reply) -> None:
            answer = msgspec.msgpack.decode(reply.body) if reply.body else None
            if path.startswith(wire.WORK) and ref:
                self.rules.record_reply(what, ref, asked_at, self.sim.time, reply.status, answer)
            done(reply.status, answer)

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

    def cancel(self, ref: str, node: int = 0, since: float | None = None) -> None:
        """Asks until it is told the end, like the users do: for 60 s."""
        first = self.sim.time if since is None else since

        def done(status: int, body: Any) -> None:
            if status == 200:
                if body["stage"] == wire.ABORTED and ref not in self.told_cancelled:
                    self.told_cancelled[ref] = self.sim.time
                self.note(f"user: {ref} {body['stage']}")
            elif self.sim.time - first < 60.0:
                self.after(1.0, self.cancel, ref, node + 1, first)
            else:
                self.gave_up.append(ref)

        self.call(
            self.names[node % len(self.names)], "POST", f"{wire.WORK}/{ref}/cancel", None, done
        )

    def look_closely(self, ref: str) -> None:
        """Its user asks at all nodes, again and again within milliseconds, and repeats the
        submission.
        """
        for turn in range(4):
            for number, name in enumerate(self.names):
                delay = 0.004 * turn + 0.001 * number
                self.after(
                    delay, self.call, name, "GET", f"{wire.WORK}/{ref}", None, lambda *_: None
                )
                body = wire.submission(self.specs[ref])
                self.after(delay, self.call, name, "POST", wire.WORK, body, lambda *_: None)

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
            assert not self.rules.broken, self.rules.broken
        return True

    def count(self, ref: str) -> int:
        return sum(task.startswith(ref + "/") for task in self.running)
