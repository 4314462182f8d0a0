"""`emulate lending`: three controllers that fail, two teams that borrow in turn, and an audit.

State service, cloud, workers and users are fakes in this process. The fleet has 16 GPUs; each of
the two teams is guaranteed half of them and requests all of them when its turn comes.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import msgspec

from ..fakes.cloud import Cloud
from ..fakes.key_value_store import FakeKeyValueStore
from ..fakes.settings_text import settings_text
from ..fakes.worker import Worker
from ..protocol import wire
from ..runtime.actor import Actor
from ..runtime.http import Client, Reply
from ..runtime.loop import Address, Loop
from ..settings import Settings, StateLimits, Team
from .coordinator import find_newest_term
from .loan_audit import LoanAudit
from .processes import ProcessEndedError, Processes
from .rules import Rules

if TYPE_CHECKING:
    from pathlib import Path

HOST = "127.0.0.1"
NODES = ("controller-0", "controller-1", "controller-2")
ZONES = ("a", "b")
GPUS_PER_MACHINE = 8.0
MACHINE_TYPE = wire.MachineType(
    "g8", 64.0, GPUS_PER_MACHINE, 256.0, 200.0, 8.0, 12.0, 4.0, 1.0, list(ZONES)
)
TEAMS = {
    name: Team(name, 0.0, 0.0, GPUS_PER_MACHINE, 4 * GPUS_PER_MACHINE) for name in ("day", "night")
}
TASKS_PER_JOB = 16
REPORT_S, LEASE_S, CANCEL_S = 0.8, 4.0, 20.0
CHECK_INTERVAL_S = 0.25
"""Seconds between two checks of the deadlines and of the processes."""
LEADER_FAULT_PROBABILITY = 0.7
"""The probability that a fault is aimed at the leader; otherwise any controller may be hit."""
KILL_PROBABILITY = 0.5
"""The probability that a fault kills the controller; otherwise the controller is paused."""
RESTART_DELAY_RANGE_S = (0.3, 3.0)
"""How long a killed controller stays down, in seconds."""
PAUSE_DURATION_LEASES = 1.5
"""How long a controller is paused, in worker leases."""
REQUEST_TIMEOUT_S, RETRY_BACKOFF_S = 5.0, 1.0
FIRST_WORKER_PORT_OFFSET = 20
"""The port of the first worker, counted from the run's first port."""


class Options(msgspec.Struct, frozen=True):
    """The options of a run; times in seconds."""

    seconds: float
    """How long the run lasts."""
    seed: int
    port: int
    """The first of the ports that the run uses."""
    fault_every: float
    """Time between two faults."""
    swap_every: float
    """Time between two changes of the load, each of which submits or cancels a team's job."""
    most_s: float
    """How long a team may wait for capacity within its guarantee while others borrow it."""


class Verdict(msgspec.Struct):
    """The findings of the audit and of the rules."""

    seconds: float
    breaches: list[str]
    rules_broken: list[str]
    longest_s: dict[str, float]
    """The longest time that each team waited for capacity within its guarantee, in seconds."""
    recalled: int
    """The number of tasks that were stopped so that another team got the capacity."""
    faults: list[str]

    @property
    def has_passed(self) -> bool:
        """Whether no guarantee and no rule was broken and at least one loan was reclaimed."""
        return not self.breaches and not self.rules_broken and self.recalled > 0


class LendingRun(Actor):
    """Owns the fakes, the load and the faults of one run."""

    def __init__(self, loop: Loop, options: Options, folder: Path) -> None:
        super().__init__(loop)
        self._loop, self._options, self._folder = loop, options, folder
        self._rng = random.Random(options.seed)
        self._specs: dict[str, wire.Spec] = {}
        self._workers: dict[str, Worker] = {}
        self._borrowed: dict[str, tuple[float, float]] = {}
        self._swap_count = 0
        self._faults: list[str] = []
        self._reclaimed_count = 0
        self._failure: ProcessEndedError | None = None
        self.processes = Processes()
        self._rules = Rules(TEAMS, [MACHINE_TYPE], CANCEL_S)
        self._audit = LoanAudit(self._rules, TEAMS, options.most_s)
        self._loans_file = (folder / "loans.jsonl").open("wb")
        FakeKeyValueStore(loop, self._address(0), random.Random(options.seed))
        Cloud(
            loop,
            self._address(1),
            [MACHINE_TYPE],
            {(MACHINE_TYPE.name, zone, False): 1 for zone in ZONES},
            lambda count: "{}:{}".format(*self._address(FIRST_WORKER_PORT_OFFSET + count)),
            self._start_worker,
            self._end_worker,
            self._rng,
        )
        self._clients = [
            Client(loop, self._user_address(number), 8) for number in range(len(NODES))
        ]
        self._started_at = loop.now()

    def _address(self, offset: int) -> Address:
        return HOST, self._options.port + offset

    def _user_address(self, number: int) -> Address:
        return self._address(2 + 2 * number)

    def run(self) -> Verdict:
        """Runs the scenario; raises `ProcessEndedError` if a controller exits on its own."""
        features = self._folder / "features.toml"
        features.write_text("[lending]\n", encoding="utf-8")
        try:
            for number, name in enumerate(NODES):
                config = self._folder / f"{name}.toml"
                config.write_text(settings_text(self._settings(number)), encoding="utf-8")
                arguments = ["-m", "flaxtally", "serve", "--config", str(config)]
                arguments += ["--features", str(features)]
                self.processes.start(name, arguments, self._folder / f"{name}.log")
            self.every(CHECK_INTERVAL_S, self._check)
            self.every(self._options.swap_every, self._swap_teams)
            self.later(
                self._options.fault_every, self.every, self._options.fault_every, self._inject_fault
            )
            self.later(self._options.seconds, self._loop.stop)
            self._loop.run()
        finally:
            self.processes.kill_all()
            self._loop.close()
            self._loans_file.close()
        if self._failure is not None:
            raise self._failure
        return Verdict(
            self._options.seconds,
            self._audit.breaches,
            self._rules.broken,
            {
                team: round(longest_shortfall_s, 2)
                for team, longest_shortfall_s in self._audit.longest_shortfall_s.items()
            },
            self._reclaimed_count,
            self._faults,
        )

    def _settings(self, number: int) -> Settings:
        def get_peer_address(node_number: int) -> Address:
            return self._address(3 + 2 * node_number)

        return Settings(
            node=NODES[number],
            zone=ZONES[number % len(ZONES)],
            listen=self._user_address(number),
            peer_listen=get_peer_address(number),
            peers={
                name: (ZONES[other % len(ZONES)], get_peer_address(other))
                for other, name in enumerate(NODES)
                if other != number
            },
            cloud=self._address(1),
            state=self._address(0),
            zones=ZONES,
            teams=TEAMS,
            objectives=(),
            report_s=REPORT_S,
            lease_s=LEASE_S,
            gang_wait_s=10.0,
            gang_peer_s=2.0,
            cancel_s=CANCEL_S,
            state_rps=250.0,
            state_limits=StateLimits(write_rps=40.0, value_bytes=8192, txn_ops=32),
            cloud_rps=5.0,
            list_lag_s=1.0,
            max_sockets=500,
        )

    # Workers

    def _start_worker(self, machine: wire.ListedMachine) -> None:
        host, _, port = str(machine.address).partition(":")
        worker = self._workers[machine.machine] = Worker(
            self._loop,
            machine,
            MACHINE_TYPE,
            (host, int(port)),
            {name: self._user_address(number) for number, name in enumerate(NODES)},
            REPORT_S,
            LEASE_S,
            self._specs.get,
            lambda _: None,
            self._on_task_event,
            self._rng,
        )
        worker.saves_checkpoints = True

    def _end_worker(self, name: str) -> None:
        worker = self._workers.pop(name, None)
        if worker is not None:
            worker.shut_down()

    def _on_task_event(self, event: str, machine: str, task: str, attempt: int) -> None:
        now = self._get_elapsed_s()
        if event == "start":
            self._rules.record_start(task, attempt, self._workers[machine].machine, now)
            self._audit.record_start(task, machine, now)
        else:
            self._audit.record_upcoming_end(task, now)
            self._rules.record_end(task, attempt, machine, event == "end done")
            is_cancelled = self._rules.job(task.partition("/")[0]).is_cancel_requested
            if event == "end halted" and not is_cancelled:
                self._reclaimed_count += 1
                self._audit.record_stop(task, machine, now)
        self._write_loan_changes(now)

    def _write_loan_changes(self, now: float) -> None:
        """Writes a line for each team whose borrowing begins, changes or ends."""
        borrowed = self._audit.compute_borrowed()
        for team in TEAMS:
            before, after = self._borrowed.get(team), borrowed.get(team)
            if before != after:
                cores, gpus = after or (0.0, 0.0)
                line = {"at": round(now, 3), "borrower": team, "cores": cores, "gpus": gpus}
                self._loans_file.write(msgspec.json.encode(line) + b"\n")
        self._borrowed = borrowed

    def _get_elapsed_s(self) -> float:
        return self.runtime.now() - self._started_at

    def _check(self) -> None:
        machines = [worker.machine for worker in self._workers.values()]
        self._audit.check_deadlines(self._get_elapsed_s(), machines)
        self._rules.check_deadlines(self._get_elapsed_s())
        try:
            self.processes.check()
        except ProcessEndedError as failure:
            self._failure = failure
            self._loop.stop()

    # Users

    def _swap_teams(self) -> None:
        """Submits the job of the next team or cancels that of the previous one, in alternation."""
        team = sorted(TEAMS)[self._swap_count // 2 % len(TEAMS)]
        if self._swap_count % 2 == 0:
            self._submit(self._create_job(team))
        elif self._swap_count > 2:
            self._cancel(f"j-{self._swap_count // 2 - 1:06d}")
        self._swap_count += 1

    def _create_job(self, team: str) -> wire.Spec:
        return wire.Spec(
            f"j-{self._swap_count // 2:06d}",
            "batch",
            team,
            wire.ARRAY,
            "standard",
            TASKS_PER_JOB,
            4.0,
            1.0,
            8.0,
            "image",
            1.0,
            machine_types=None,
            zone=None,
            one_zone=False,
            spread=False,
            spot=False,
            estimated_run_s=30.0,
            checkpoint_interval_s=1.0,
            checkpoint_save_s=0.5,
            deadline=None,
        )

    def _submit(self, spec: wire.Spec) -> None:
        self._specs[spec.ref] = spec
        self._rules.record_submission(spec)
        self._send_request("submit", spec.ref, "POST", wire.JOBS, wire.build_submission(spec))

    def _cancel(self, ref: str) -> None:
        self._rules.record_cancel_request(ref)
        self._send_request("cancel", ref, "POST", f"{wire.JOBS}/{ref}/cancel", None)

    def _send_request(self, operation: str, ref: str, method: str, path: str, body: Any) -> None:
        """Sends the request to random controllers until one of them accepts it."""
        asked_at = self._get_elapsed_s()

        def on_reply(reply: Reply) -> None:
            reply_body = msgspec.msgpack.decode(reply.body) if reply.body else None
            self._rules.record_reply(
                operation, ref, asked_at, self._get_elapsed_s(), reply.status, reply_body
            )
            if reply.status not in (200, 201):
                self.later(RETRY_BACKOFF_S, self._send_request, operation, ref, method, path, body)

        client = self._rng.choice(self._clients)
        client.request(method, path, body, REQUEST_TIMEOUT_S, on_reply)

    # Faults

    def _inject_fault(self) -> None:
        """Kills the leader or any controller, or pauses it for longer than a lease."""
        leader = find_newest_term(self._folder, NODES).leader
        name = (
            leader
            if leader and self._rng.random() < LEADER_FAULT_PROBABILITY
            else self._rng.choice(NODES)
        )
        controller = self.processes[name]
        if self._rng.random() < KILL_PROBABILITY:
            restart_delay_s = self._rng.uniform(*RESTART_DELAY_RANGE_S)
            controller.kill()
            self.later(restart_delay_s, controller.start)
            fault = f"killed, back after {restart_delay_s:.1f} s"
        else:
            controller.pause()
            self.later(PAUSE_DURATION_LEASES * LEASE_S, controller.resume)
            fault = f"stopped for {PAUSE_DURATION_LEASES * LEASE_S:g} s"
        role = "the leader" if name == leader else "no leader"
        self._faults.append(f"{self._get_elapsed_s():.1f} {name} ({role}) {fault}")


def run(options: Options, folder: Path) -> Verdict:
    """Runs the scenario; writes `loans.jsonl`, `verdict.json` and the controllers' logs."""
    verdict = LendingRun(Loop(), options, folder).run()
    (folder / "verdict.json").write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    return verdict


def format_report(verdict: Verdict) -> list[str]:
    """Formats the verdict as lines of text."""
    lines = [f"{verdict.seconds:g} s, {len(verdict.faults)} faults, {verdict.recalled} recalled"]
    lines += [f"  {fault}" for fault in verdict.faults]
    lines += [f"  {team} lacked room for {s:g} s at most" for team, s in verdict.longest_s.items()]
    lines += [f"GUARANTEE BROKEN: {breach}" for breach in verdict.breaches]
    lines += [f"RULE BROKEN: {rule}" for rule in verdict.rules_broken]
    if verdict.has_passed:
        lines.append("no guarantee and no rule was broken")
    elif not verdict.recalled:
        lines.append("nothing was recalled: the run shows nothing")
    return lines
