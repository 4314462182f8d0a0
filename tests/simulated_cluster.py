"""A small simulated deployment: the real controllers with fakes of the external systems.

The rules are checked at every start and end of a task; a readable trace is kept.
"""

from __future__ import annotations

import dataclasses
import random
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from flaxtally import policy
from flaxtally.controller import Controller
from flaxtally.emulator.rules import Rules
from flaxtally.fakes.cloud import Cloud, build_equal_pools
from flaxtally.fakes.gang_rendezvous import GangRendezvous
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

from .ledger_records import complete_records
from .simulation import Simulation

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from flaxtally.cells.membership import CellSetup
    from flaxtally.lending.feature import LendingFeature

STATE_ADDRESS, CLOUD_ADDRESS, USER_IP = ("10.2.0.1", 2379), ("10.2.0.2", 8443), "10.3.0.1"
GANG_RENDEZVOUS_IP = "10.3.0.2"
NODES = ("hearth-0", "hearth-1", "hearth-2")
ZONES = ("a", "b")
TYPES = [
    wire.MachineType("c16", 16.0, 0.0, 64.0, 40.0, 2.0, 1.0, 0.4, 8.0, list(ZONES)),
    wire.MachineType("g8", 32.0, 8.0, 256.0, 200.0, 4.0, 12.0, 4.0, 10.0, list(ZONES)),
]
CANCEL_DEADLINE_S = 30.0
"""Seconds after a cancellation was reported by which no task of the job may run."""
GANG_WAIT_S, GANG_PEER_S = 20.0, 4.0
"""The settings `gang_wait_s` and `gang_peer_s`, in seconds."""


def spec(ref: str, **changes: Any) -> wire.Spec:
    """Returns the specification of a job: by default a critical service with one small replica."""
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
    """Returns the specification of an array of GPU tasks that may run on spot machines."""
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
    """Returns the specification of a gang that saves checkpoints, by default in one zone."""
    defaults: dict[str, Any] = {
        "job_class": "gang",
        "job_kind": wire.GANG,
        "rank": "standard",
        "one_zone": True,
        "spread": False,
        "estimated_run_s": 10.0,
        "checkpoint_interval_s": 5.0,
        "checkpoint_save_s": 1.0,
    }
    return spec(ref, tasks=tasks, **(defaults | changes))


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
        other_teams: tuple[Team, ...] = (),
    ) -> None:
        """Starts all controllers.

        `value_bytes` and `txn_ops`: the configured limits of the state service; `capacity`: the
        machines that the cloud can provision in each pool.
        """
        self.value_bytes, self.txn_ops = value_bytes, txn_ops
        self.names, self.objectives = nodes, objectives
        self.sim = Simulation(seed)
        self.rng = random.Random(seed)
        self.team = team or Team("crew", 0.0, 200.0, 0.0, 64.0)
        self.specs: dict[str, wire.Spec] = {}
        self.run_times: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.trace: list[str] = []
        self.teams = {team.name: team for team in (self.team, *other_teams)}
        self.rules = Rules(self.teams, TYPES, CANCEL_DEADLINE_S)
        self.faults_ended_at = float("inf")
        self.delivered_copies = 0
        """Number of duplicated heartbeats that were sent to a controller."""
        self.executed_batches: list[tuple[str, wire.CommandBatch]] = []
        """The command batches that machines executed and answered, with the machine."""
        self.delivered_batch_copies = 0
        """Number of copies of such batches that reached a machine, executed or not."""
        self._batch_copy_fraction = 0.0
        self._copy_rng = random.Random(f"{seed}/copies")
        """Of its own, so that copies change nothing about the other random events."""
        self._duplicate_fraction, self._duplicate_in_next_term = 0.0, False
        self._kept_heartbeats: list[tuple[int, wire.Heartbeat]] = []
        self.broken: set[str] = set()
        """Jobs submitted with an error: their tasks fail on every machine."""
        self.faulty_machines: set[str] = set()
        """Machines on which every task fails."""
        self.on_worker_started: Callable[[Worker], None] = lambda _: None
        """Called with each worker that starts, before it reports."""
        self.unanswered_cancellations: list[str] = []
        """Jobs whose cancellation got no 200 within 60 s."""
        self._pages: dict[str, tuple[int, set[tuple[str, int, str]], list[StoredRecord]]] = {}
        self._refs_by_number: dict[tuple[str, int], str] = {}
        self.reported_cancelled_at: dict[str, float] = {}
        self.accepted: set[str] = set()
        self.nodes: dict[str, Controller] = {}
        self.state = FakeKeyValueStore(
            self.sim.host(STATE_ADDRESS[0]), STATE_ADDRESS, random.Random(seed)
        )
        self.cloud = Cloud(
            self.sim.host(CLOUD_ADDRESS[0]),
            CLOUD_ADDRESS,
            TYPES,
            build_equal_pools(TYPES, ZONES, capacity),
            lambda count: f"10.1.{count // 250}.{count % 250 + 1}:9000",
            self._start_worker,
            self._end_worker,
            self.rng,
        )
        self.user = self.sim.host(USER_IP)
        self.gangs = GangRendezvous(
            self.sim.host(GANG_RENDEZVOUS_IP), GANG_WAIT_S, GANG_PEER_S, self.run_times.get
        )
        self._clients: dict[str, Client] = {}
        for name in nodes:
            self.start(name)
        self.sim.at(1.0, self._check_rules)
        self.sim.at(0.0, self._deliver_kept_heartbeats)

    @property
    def running(self) -> dict[str, tuple[str, int]]:
        """Machine and attempt of each running task."""
        return {
            task: (machine.machine, attempt)
            for task, (machine, attempt) in self.rules.placements.items()
        }

    # Controllers

    def ip(self, node: str) -> str:
        return f"10.0.0.{self.names.index(node) + 1}"

    def build_settings(self, node: str) -> Settings:
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
            cloud=CLOUD_ADDRESS,
            state=STATE_ADDRESS,
            zones=ZONES,
            teams=self.teams,
            objectives=self.objectives,
            report_s=1.5,
            lease_s=10.0,
            gang_wait_s=GANG_WAIT_S,
            gang_peer_s=GANG_PEER_S,
            cancel_s=CANCEL_DEADLINE_S,
            state_rps=250.0,
            state_limits=StateLimits(40.0, self.value_bytes, self.txn_ops),
            cloud_rps=3.0,
            list_lag_s=1.0,
            max_sockets=500,
        )

    @staticmethod
    def with_limits(settings: Settings, limits: StateLimits) -> Settings:
        """Returns the settings with other limits of the state service."""
        return dataclasses.replace(settings, state_limits=limits)

    def build_cell_setup(self, settings: Settings) -> CellSetup | None:
        """Returns the controller's cell, or None if the fleet is not divided into cells."""
        return None

    def build_lending_feature(self, node: str) -> LendingFeature | None:
        """Returns the controller's feature for loans between teams, or None."""
        return None

    def start(self, node: str) -> None:
        settings = self.build_settings(node)
        self.nodes[node] = Controller(
            self.sim.host(self.ip(node)),
            settings,
            policy.default(settings),
            random.Random(self.rng.random()),
            self.build_cell_setup(settings),
            self.build_lending_feature(node),
        )

    def crash(self, node: str, restart_after_s: float | None = None) -> None:
        self.add_trace_line(f"{node} crashes")
        self.sim.crash(self.ip(node))
        if restart_after_s is not None:
            self.sim.at(self.sim.time + restart_after_s, self.start, node)

    def leader(self) -> str | None:
        leading = [
            (node.election.term, name)
            for name, node in self.nodes.items()
            if node.election.is_leader and self.sim.hosts[self.ip(name)].alive
        ]
        return max(leading)[1] if leading else None

    # Machines

    def _start_worker(self, machine: wire.ListedMachine) -> None:
        machine_type = next(entry for entry in TYPES if entry.name == machine.machine_type)
        assert machine.address is not None
        ip, _, port = machine.address.partition(":")
        worker = self.workers[machine.machine] = Worker(
            self.sim.host(ip),
            machine,
            machine_type,
            (ip, int(port)),
            {name: (self.ip(name), 8080) for name in self.names},
            1.5,
            10.0,
            self.specs.get,
            self.run_times.get,
            self._on_task_event,
            self.rng,
            self.gangs,
        )
        worker.on_heartbeat_sent = self._duplicate_at_random
        worker.on_batch_executed = partial(self._record_batch, machine.machine)
        worker.does_job_fail = lambda ref: (
            ref in self.broken or machine.machine in self.faulty_machines
        )
        self.on_worker_started(worker)

    def _end_worker(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.shut_down()
            self.sim.crash(worker._address[0])
        self.add_trace_line(f"{name} gone")

    def find_machine(self, task: str) -> str:
        return self.rules.placements[task][0].machine

    def get_machine_ip(self, machine: str) -> str:
        return self.workers[machine]._address[0]

    def _on_task_event(self, event: str, machine: str, task: str, attempt: int) -> None:
        self.add_trace_line(f"{task} try {attempt} {event} on {machine}")
        if event == "start":
            # The user may be notified a little later, but job and placement must be committed.
            assert self._is_committed(task, attempt, machine), (
                f"task started before its placement was committed: {task}"
            )
            self.rules.record_start(task, attempt, self.workers[machine].machine, self.sim.time)
        else:
            self.rules.record_end(task, attempt, machine, event == "end done")

    def _check_rules(self) -> None:
        self.sim.at(self.sim.time + 1.0, self._check_rules)
        self.rules.check_deadlines(self.sim.time)
        if self.sim.time > self.faults_ended_at:
            healthy_machines = [
                (
                    worker.machine,
                    {held.task for held in worker.tasks.values() if held.state != wire.EXITED},
                )
                for worker in self.workers.values()
                if worker.preemption_notice_s is None
            ]
            self.rules.check_after_faults(self.sim.time, self.faults_ended_at, healthy_machines)

    def _is_committed(self, task: str, attempt: int, machine: str) -> bool:
        """Returns whether the state service's ledger pages hold the placement.

        Pages are decoded when they change; records in batches count only if the batch is complete.
        """
        is_committed = False
        in_batches: dict[str, list[StoredRecord]] = {}
        for key, (value, version, _) in sorted(self.state.rows.items()):
            ledger, page, _ = key.rpartition("p/")
            if not page or not (ledger == "" or ledger.startswith("cell/")):
                continue
            if key not in self._pages or self._pages[key][0] != version:
                records = [decode_record(stored) for stored in value["r"]]
                self._pages[key] = version, self._placements_in(ledger, records), records
            _, placed, records = self._pages[key]
            if any(isinstance(record, BatchPiece) for record in records):
                in_batches.setdefault(ledger, []).extend(records)
                continue
            is_committed = is_committed or (task, attempt, machine) in placed
        for ledger, pieces in in_batches.items():
            placed = self._placements_in(ledger, complete_records(pieces))
            is_committed = is_committed or (task, attempt, machine) in placed
        return is_committed

    def _placements_in(
        self, ledger: str, records: Sequence[StoredRecord]
    ) -> set[tuple[str, int, str]]:
        """Returns the placements in the records, and remembers the references of accepted jobs.

        Later pages may place these jobs. Batch pieces are skipped: their records count only once
        the batch is complete.
        """
        self._refs_by_number.update(
            {(ledger, each.number): each.ref for each in records if isinstance(each, JobAccepted)}
        )
        return {
            (
                f"{self._refs_by_number.get((ledger, each.job))}/{each.task}",
                each.attempt,
                each.machine,
            )
            for each in records
            if isinstance(each, TaskPlaced)
        }

    # Faults; each ends by itself after `for_s` seconds

    def after(self, seconds: float, callback: Callable[..., None], *args: Any) -> None:
        self.sim.at(self.sim.time + seconds, callback, *args)

    def refuse(self, node: str, for_s: float) -> None:
        """The state service replies 503 to this controller only; its leases expire."""
        self.add_trace_line(f"the state service refuses {node}")
        self.state.refused_hosts.add(self.ip(node))
        self.after(for_s, self.state.refused_hosts.discard, self.ip(node))

    def start_state_outage(self, for_s: float) -> None:
        """The state service replies 503 to every request."""
        self.add_trace_line("the state service has trouble")
        self.state.is_down = True
        self.after(for_s, self.state.recover)

    def lose_writes(self, fraction: float, for_s: float, at_once: bool = False) -> None:
        """Leaves that fraction of transactions without a reply.

        Each of these is executed 2 to 12 s later, or without delay if `at_once`.
        """
        self.state.lost_fraction, self.state.lost_delay_s = (
            fraction,
            (0.0, 0.0) if at_once else (2.0, 12.0),
        )
        self.after(for_s, setattr, self.state, "lost_fraction", 0.0)

    def freeze(self, node: str, for_s: float) -> None:
        """Pauses the controller's process while its clocks continue."""
        self.add_trace_line(f"{node} stands still")
        self.sim.hosts[self.ip(node)].freeze(for_s)

    def slow_down_processor(self, node: str, call_duration_s: float, for_s: float) -> None:
        """Makes each callback of the controller take that long; others wait in a queue."""
        self.add_trace_line(f"{node} has a slow processor")
        host = self.sim.hosts[self.ip(node)]
        host.call_duration_s = call_duration_s
        self.after(for_s, setattr, host, "call_duration_s", 0.0)

    def slow_down_state_service(self, mean_delay_s: float, for_s: float) -> None:
        """Delays each request to the state service by a random time with that mean."""
        self.state.extra_delay_s = mean_delay_s
        self.after(for_s, setattr, self.state, "extra_delay_s", 0.0)

    def duplicate_heartbeats(
        self, fraction: float, for_s: float, deliver_in_next_term: bool = False
    ) -> None:
        """Sends a copy of that fraction of heartbeats to a random controller.

        The copy is sent 2 to 16 s later, at most 1.6 worker leases; with `deliver_in_next_term` it
        is sent to every controller as soon as the next leader's term is active.
        """
        self._duplicate_fraction, self._duplicate_in_next_term = fraction, deliver_in_next_term
        self.after(for_s, setattr, self, "_duplicate_fraction", 0.0)

    def _duplicate_at_random(self, node: str, report: wire.Heartbeat) -> None:
        if self._duplicate_fraction and self.rng.random() < self._duplicate_fraction:
            if self._duplicate_in_next_term:
                self._kept_heartbeats.append((self._find_highest_active_term(), report))
            else:
                self.after(
                    self.rng.uniform(2.0, 16.0),
                    self._deliver_copy,
                    self.rng.choice(self.names),
                    report,
                )

    def _find_highest_active_term(self) -> int:
        return max(
            (node.leader.term.number for node in self.nodes.values() if node.leader.term.active),
            default=0,
        )

    def _deliver_kept_heartbeats(self) -> None:
        self.after(0.05, self._deliver_kept_heartbeats)
        term = self._find_highest_active_term()
        due = [report for kept_in_term, report in self._kept_heartbeats if kept_in_term < term]
        self._kept_heartbeats = [entry for entry in self._kept_heartbeats if entry[0] >= term]
        for report in due:
            for name in self.names:
                self._deliver_copy(name, report)

    def _deliver_copy(self, node: str, report: wire.Heartbeat) -> None:
        self.delivered_copies += 1
        Client(self.user, (self.ip(node), 8080)).request(
            "POST", wire.HEARTBEAT, report, 4.0, lambda _: None
        )

    def copy_command_batches(self, fraction: float, for_s: float) -> None:
        """Delivers a copy of that fraction of the command batches that were executed and answered.

        The copy arrives 0.1 to 24 s later: at most 2.4 worker leases.
        """
        self._batch_copy_fraction = fraction
        self.after(for_s, setattr, self, "_batch_copy_fraction", 0.0)

    def _record_batch(self, machine: str, commands: wire.CommandBatch) -> None:
        self.executed_batches.append((machine, commands))
        if self._batch_copy_fraction and self._copy_rng.random() < self._batch_copy_fraction:
            # Half of the copies arrive within 1.5 s.
            delay_s = 0.1 * 240.0 ** self._copy_rng.random()
            self.after(delay_s, self.deliver_batch_copy, machine, commands)

    def deliver_batch_copy(self, machine: str, commands: wire.CommandBatch) -> bool:
        """Delivers a copy of a batch to the machine; returns whether it was executed."""
        worker = self.workers.get(machine)
        if worker is None:
            return False
        self.delivered_batch_copies += 1
        return worker.receive_late(commands)

    def inject_machine_fault(self, fault: str, machines: list[str], for_s: float) -> None:
        """Applies a fault to the machines.

        `fault`: hung; deaf (receives no replies or commands, its heartbeats arrive); mute (its
        heartbeats are lost); or cut (from all controllers; packets are held until the end).
        """
        for name in machines:
            self.add_trace_line(f"{name} is {fault}")
            if fault == "cut":
                self.cut(self.get_machine_ip(name), [self.ip(node) for node in self.names], for_s)
                continue
            setattr(self.workers[name], fault, True)
            self.after(for_s, setattr, self.workers[name], fault, False)

    def cut(self, one: str, others: list[str], for_s: float) -> None:
        """Holds all packets between `one` and each of `others`, then delivers them in order."""
        for other in others:
            self.sim.cut(one, other)
            self.after(for_s, self.sim.heal, one, other)

    def hold_packets(self, sender: str, receiver: str, for_s: float) -> None:
        """Holds the packets of one controller to another, but not those in the other direction."""
        self.add_trace_line(f"packets of {sender} to {receiver} are held")
        self.sim.hold(self.ip(sender), self.ip(receiver))
        self.after(for_s, self.sim.release, self.ip(sender), self.ip(receiver))

    def slow_down_links(self, delay_s: float, for_s: float) -> None:
        """Delays packets between controllers, and between these and the state service."""
        hosts = [*(self.ip(name) for name in self.names), STATE_ADDRESS[0]]
        self.sim.extra_delay_s = {
            frozenset((one, other)): delay_s for one in hosts for other in hosts if one != other
        }
        self.after(for_s, self.sim.extra_delay_s.clear)

    def isolate(self, node: str, for_s: float) -> None:
        """Cuts the controller from the state service and the other controllers.

        Its workers and users still reach it.
        """
        self.add_trace_line(f"{node} is cut from the state service and its peers")
        self.cut(
            self.ip(node),
            [STATE_ADDRESS[0], *(self.ip(name) for name in self.names if name != node)],
            for_s,
        )

    def refuse_peers(self, node: str, for_s: float) -> None:
        """Resets and refuses the connections between the controller and all others.

        Its workers, its users and the state service still reach it.
        """
        self.add_trace_line(f"connections between {node} and its peers are refused")
        for other in self.names:
            if other != node:
                self.sim.refuse(self.ip(node), self.ip(other))
                pair = frozenset((self.ip(node), self.ip(other)))
                self.after(for_s, self.sim.refused_pairs.discard, pair)

    def run_without_faults(self, for_s: float = 110.0) -> None:
        """Runs after all faults have ended, while users poll their jobs.

        From now on the rules limit how long requests and pending jobs may wait.
        """
        self.faults_ended_at = self.sim.time
        for _ in range(int(for_s / 5)):
            for ref, job in self.rules.jobs.items():
                if job.accepted:
                    name = self.rng.choice(self.names)
                    self.call(name, "GET", f"{wire.JOBS}/{ref}", None, lambda *_: None)
            self.run(5.0)

    # Users

    def call(
        self, node: str, method: str, path: str, body: Any, on_done: Callable[[int, Any], None]
    ) -> None:
        """Sends a user's request. The rules record all requests and replies."""
        client = self._clients.setdefault(node, Client(self.user, (self.ip(node), 8080), 8))
        requested_at = self.sim.time
        if path == wire.JOBS:
            operation, ref = (
                "submit",
                getattr(body, "ref", "") or (body.get("ref", "") if isinstance(body, dict) else ""),
            )
            if isinstance(body, wire.Submission):
                self.rules.record_submission(
                    self.specs.get(ref) or wire.Spec(**msgspec.structs.asdict(body))
                )
        else:
            ref, _, verb = path[len(wire.JOBS) + 1 :].partition("/")
            operation = verb or "poll"
            if operation == "cancel":
                self.rules.record_cancel_request(ref)

        def on_reply(reply: Reply) -> None:
            body_of_reply = msgspec.msgpack.decode(reply.body) if reply.body else None
            if path.startswith(wire.JOBS) and ref:
                self.rules.record_reply(
                    operation, ref, requested_at, self.sim.time, reply.status, body_of_reply
                )
            on_done(reply.status, body_of_reply)

        client.request(method, path, body, 5.0, on_reply)

    def submit(self, job: wire.Spec, run_time: float | None = None, node: int = 0) -> None:
        """Submits a job; like users, retries until it is accepted or rejected.

        `run_time`: seconds after which each task is done; None: tasks run until they are stopped.
        """
        self.specs[job.ref] = job
        if run_time is not None:
            self.run_times[job.ref] = run_time
        name = self.names[node % len(self.names)]

        def on_done(status: int, _: Any) -> None:
            if status in (200, 201):
                self.accepted.add(job.ref)
                self.add_trace_line(f"user: {job.ref} accepted ({status})")
            elif status in (400, 422):
                self.add_trace_line(f"user: {job.ref} refused ({status})")
            else:
                self.sim.at(self.sim.time + 1.0, self.submit, job, run_time, node + 1)

        self.call(name, "POST", wire.JOBS, wire.build_submission(job), on_done)

    def cancel(self, ref: str, node: int = 0, since: float | None = None) -> None:
        """Cancels a job; like users, retries for 60 s until the reply is 200."""
        first = self.sim.time if since is None else since

        def on_done(status: int, body: Any) -> None:
            if status == 200:
                if body["stage"] == wire.ABORTED and ref not in self.reported_cancelled_at:
                    self.reported_cancelled_at[ref] = self.sim.time
                self.add_trace_line(f"user: {ref} {body['stage']}")
            elif self.sim.time - first < 60.0:
                self.after(1.0, self.cancel, ref, node + 1, first)
            else:
                self.unanswered_cancellations.append(ref)

        self.call(
            self.names[node % len(self.names)], "POST", f"{wire.JOBS}/{ref}/cancel", None, on_done
        )

    def poll_repeatedly(self, ref: str) -> None:
        """Polls the job and repeats its submission at all controllers, every few milliseconds."""
        for attempt_number in range(4):
            for number, name in enumerate(self.names):
                delay = 0.004 * attempt_number + 0.001 * number
                self.after(
                    delay, self.call, name, "GET", f"{wire.JOBS}/{ref}", None, lambda *_: None
                )
                body = wire.build_submission(self.specs[ref])
                self.after(delay, self.call, name, "POST", wire.JOBS, body, lambda *_: None)

    def query_job(self, ref: str) -> tuple[int, Any]:
        """Polls one controller after the other until a reply is 200 or 404, for at most 20 s."""
        replies: list[tuple[int, Any]] = []
        deadline = self.sim.time + 20
        attempt_number = 0
        while self.sim.time < deadline:
            replies.clear()
            name = self.names[attempt_number % len(self.names)]
            self.call(name, "GET", f"{wire.JOBS}/{ref}", None, lambda s, b: replies.append((s, b)))
            self.run_until(lambda: bool(replies), 6)
            if replies and replies[0][0] in (200, 404):
                return replies[0]
            attempt_number += 1
            self.run(0.3)
        raise AssertionError(f"no controller replied 200 or 404 about {ref} within 20 s")

    # Time

    def add_trace_line(self, text: str) -> None:
        self.trace.append(f"{self.sim.time:7.2f} {text}")

    def run(self, seconds: float) -> None:
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Runs until the condition holds; returns False if it does not within the timeout."""
        deadline = self.sim.time + timeout_s
        while not condition():
            if self.sim.next_time() > deadline:
                self.sim.time = deadline
                return condition()
            self.sim.step()
            assert not self.rules.broken, self.rules.broken
        return True

    def count(self, ref: str) -> int:
        """Returns the number of running tasks of the job."""
        return sum(task.startswith(ref + "/") for task in self.running)
