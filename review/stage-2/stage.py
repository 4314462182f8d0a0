"""Common parts of the cases 4 to 8: a small deployment on loopback.

The controllers are separate processes, started with the `run` line of the deploy file. The state
service, the cloud, the workers and the users are stand-ins in this process, on the real clock: the
project's own (`flaxtally/fakes`), with what the cases need added here.
"""

from __future__ import annotations

import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, Callable

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import msgspec  # noqa: E402

from flaxtally.fakes.cloud import Cloud  # noqa: E402
from flaxtally.fakes.gang_rendezvous import GangRendezvous  # noqa: E402
from flaxtally.fakes.key_value_store import FakeKeyValueStore  # noqa: E402
from flaxtally.fakes.settings_text import settings_text  # noqa: E402
from flaxtally.fakes.worker import Worker  # noqa: E402
from flaxtally.protocol import wire  # noqa: E402
from flaxtally.runtime.http import Client, Reply  # noqa: E402
from flaxtally.runtime.loop import Loop  # noqa: E402
from flaxtally.settings import Settings, StateLimits, Team  # noqa: E402

HOST = "127.0.0.1"
NODES = ("hearth-0", "hearth-1", "hearth-2")
ZONES = ("a", "b")
REPORT_S, LEASE_S, CANCEL_S = 1.5, 10.0, 30.0
GANG_WAIT_S, GANG_PEER_S = 50.0, 8.0
LIST_LAG_S = 4.0
BOOT_S = 1.5
"""How long a machine boots: "at times machines are up within a second or two"."""
LISTED_AS_RUNNING_S = 30.0
"""A machine that died is listed as running for so long, then as failed."""
POLL_S, POLL_TIMEOUT_S, SUBMIT_TIMEOUT_S, RETRY_S = 5.0, 2.0, 5.0, 1.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
CPU_TYPE = wire.MachineType("c16", 16.0, 0.0, 64.0, 40.0, 2.0, 1.0, 0.4, 5.0, list(ZONES))
GPU_TYPE = wire.MachineType("g8", 32.0, 8.0, 256.0, 200.0, 4.0, 12.0, 4.0, 8.0, list(ZONES))


def with_trouble() -> bool:
    """Whether the disruption is to be made: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


class Finished(Exception):
    """Ends the play; the exit code and the reason."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


def submission(ref: str, **changes: Any) -> wire.Spec:
    """A job: by default an ordinary service with one replica of 2 cores."""
    base = wire.Spec(
        ref, "gate", "crew", wire.SERVICE, "standard", 1, 2.0, 0.0, 4.0, "img-1", 0.5,
        None, None, False, False, False, 0.0, 0.0, 0.0, None,
    )  # fmt: skip
    return msgspec.structs.replace(base, **changes)


class Stage:
    """The deployment. `tick` is called every quarter of a second, and may raise `Finished`."""

    def __init__(
        self,
        folder: Path,
        teams: dict[str, Team],
        types: list[wire.MachineType],
        capacity: dict[tuple[str, str, bool], int],
        seconds: float,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.began = time.monotonic()
        self.seconds = seconds
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.note(f"TROUBLE={'1' if with_trouble() else '0'}; times in seconds since the start")
        self.loop = Loop()
        self.rng = random.Random()
        self.types = types
        self.specs: dict[str, wire.Spec] = {}
        self.run_times: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.on_machine: dict[str, str] = {}
        """The machine of each task that is on one: from when it has its image to its end."""
        self.done_tasks: set[str] = set()
        self.starts: list[tuple[float, str, str]] = []
        self.accepted_at: dict[str, float] = {}
        self.refused: dict[str, int] = {}
        self.stages: dict[str, str] = {}
        self.answers: dict[str, int] = {}
        self.died: set[str] = set()
        self.faulty: Callable[[str], bool] = lambda _: False
        """Whether tasks fail on the machine of that name."""
        self.on_worker: Callable[[Worker], None] = lambda _: None
        self.end: Finished | None = None
        self._folder = Path(tempfile.mkdtemp(prefix="flaxtally-review-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._clients: dict[str, Client] = {}
        self._used_ports: set[int] = set()
        state, cloud = (HOST, self.port()), (HOST, self.port())
        self.addresses = {node: (HOST, self.port()) for node in NODES}
        peers = {node: (HOST, self.port()) for node in NODES}
        self.state = FakeKeyValueStore(self.loop, state)
        self.state.enforce(8192, 32)
        self.cloud = Cloud(
            self.loop, cloud, types, capacity, lambda _: f"{HOST}:{self.port()}",
            self._on_boot, self._on_gone, self.rng,
        )  # fmt: skip
        self.cloud.boot = BOOT_S
        self.cloud.list_lag_s = LIST_LAG_S
        self.gangs = GangRendezvous(self.loop, GANG_WAIT_S, GANG_PEER_S, self.run_times.get)
        self.fetch_factor = 1.0
        for number, node in enumerate(NODES):
            values: dict[str, Any] = dict(
                node=node, zone=ZONES[number % 2], listen=self.addresses[node],
                peer_listen=peers[node],
                peers={o: (ZONES[n % 2], peers[o]) for n, o in enumerate(NODES) if o != node},
                cloud=cloud, state=state, zones=ZONES, teams=teams, objectives=(),
                report_s=REPORT_S, lease_s=LEASE_S, gang_wait_s=GANG_WAIT_S,
                gang_peer_s=GANG_PEER_S, cancel_s=CANCEL_S, state_rps=250.0,
                state_limits=StateLimits(40.0, 8192, 32), cloud_rps=3.0,
                list_lag_s=LIST_LAG_S, max_sockets=700,
            )  # fmt: skip
            values |= settings or {}
            text = settings_text(Settings(**values))
            (self._folder / f"{node}.toml").write_text(text, encoding="utf-8")

    # The record

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Writes a line of the record."""
        self.record.write(f"{self.now:7.2f} {text}\n")
        self.record.flush()

    # Processes

    def port(self) -> int:
        """Returns a free port that was not handed out before."""
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port: int = probe.getsockname()[1]
            if port not in self._used_ports:
                self._used_ports.add(port)
                return port

    def start_controller(self, node: str) -> None:
        """Starts a controller as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self._folder / f"{node}.toml")]
        with (self._folder / f"{node}.log").open("ab") as log:
            self._processes[node] = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env=dict(os.environ, LOG_LEVEL="info"),
            )  # fmt: skip
        self.note(f"controller {node} starts, process {self._processes[node].pid}")

    def kill_controller(self, node: str) -> None:
        """Kills a controller without any signal that it could handle."""
        process = self._processes.pop(node)
        process.kill()
        process.wait()
        self.note(f"controller {node} is killed")

    def leader(self) -> str | None:
        """The controller that logged last that it was elected; only to choose whom to kill."""
        found: list[tuple[int, str]] = []
        for node in self._processes:
            for line in (self._folder / f"{node}.log").read_text(errors="replace").splitlines():
                if "event=leader_elected" in line:
                    term = next(w for w in line.split() if w.startswith("term="))
                    found.append((int(term[len("term=") :]), node))
        return max(found)[1] if found else None

    # Machines

    def _on_boot(self, machine: wire.ListedMachine) -> None:
        kind = next(each for each in self.types if each.name == machine.machine_type)
        kind = msgspec.structs.replace(
            kind, fetch_gb_per_s=kind.fetch_gb_per_s * self.fetch_factor
        )
        host, _, port = str(machine.address).partition(":")
        name = machine.machine
        worker = self.workers[name] = Worker(
            self.loop, machine, kind, (host, int(port)), self.addresses, REPORT_S, LEASE_S,
            self.specs.get, self.run_times.get, self._on_task, self.rng, self.gangs,
        )  # fmt: skip
        worker.saves_checkpoints = True
        worker.does_job_fail = lambda _: self.faulty(name)
        self.note(f"machine {name} ({machine.machine_type}, zone {machine.zone}) is up")
        self.on_worker(worker)

    def _on_gone(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.shut_down()
        self.note(f"machine {name} is deleted")

    def stop_machine(self, name: str) -> None:
        """The machine stops with all that is on it: it is silent, and does nothing any more."""
        worker = self.workers[name]
        worker.deaf = worker.mute = worker.hung = True
        self.died.add(name)
        for task in [task for task, machine in self.on_machine.items() if machine == name]:
            del self.on_machine[task]
            self.note(f"task {task} is lost with {name}")
        self.note(f"machine {name} stops with all that is on it")
        self.loop.after(LISTED_AS_RUNNING_S, self._list_as_failed, name)

    def _list_as_failed(self, name: str) -> None:
        machine = self.cloud.machines.get(name)
        if machine is not None:
            machine.state = wire.FAILED

    def _on_task(self, event: str, machine: str, task: str, attempt: int) -> None:
        if machine in self.died:
            return
        self.note(f"task {task} try {attempt} {event} on {machine}")
        if event == "start":
            self.starts.append((self.now, task, machine))
            self.on_task_start(task, machine)
            self.on_machine[task] = machine
        elif self.on_machine.get(task) == machine:
            del self.on_machine[task]
            if event == "end done":
                self.done_tasks.add(task)

    def on_task_start(self, task: str, machine: str) -> None:
        """Called when a task starts, before it counts as being on its machine."""

    def running(self, ref: str) -> list[str]:
        """The tasks of the job that are on machines."""
        return sorted(task for task in self.on_machine if task.startswith(ref + "/"))

    # Users

    def _ask(
        self, node: str, method: str, path: str, body: Any, timeout_s: float,
        on_done: Callable[[int, Any], None],
    ) -> None:  # fmt: skip
        client = self._clients.setdefault(node, Client(self.loop, self.addresses[node], 8))

        def on_reply(reply: Reply) -> None:
            on_done(reply.status, msgspec.msgpack.decode(reply.body) if reply.body else None)

        client.request(method, path, body, timeout_s, on_reply)

    def submit(self, spec: wire.Spec, run_s: float | None = None, number: int = 0) -> None:
        """A user submits a job, and tries again at the next controller as the protocol says.

        `run_s`: how long its tasks run; None: until they are stopped.
        """
        if spec.ref not in self.specs:
            self.specs[spec.ref] = spec
            if run_s is not None:
                self.run_times[spec.ref] = run_s
            self.note(f"user submits {wire_json(wire.build_submission(spec))}")
        node = NODES[number % len(NODES)]

        def on_done(status: int, body: Any) -> None:
            if status in (200, 201):
                self.note(f"{node} answers the submission of {spec.ref}: {status} {body}")
                self.accepted_at.setdefault(spec.ref, self.now)
                self.loop.after(POLL_S, self._poll, spec.ref, number)
            elif status in (400, 422):
                self.note(f"{node} answers the submission of {spec.ref}: {status} {body}")
                self.refused[spec.ref] = status
            else:
                self.loop.after(RETRY_S, self.submit, spec, run_s, number + 1)

        self._ask(
            node, "POST", wire.JOBS, wire.build_submission(spec), SUBMIT_TIMEOUT_S, on_done
        )

    def _poll(self, ref: str, number: int) -> None:
        node = NODES[number % len(NODES)]

        def on_done(status: int, body: Any) -> None:
            if status == 200:
                self.answers[ref] = self.answers.get(ref, 0) + 1
                self.note(f"{node} answers the question about {ref}: {status} {body}")
                self.stages[ref] = body["stage"]
            elif status == 404:
                self.note(f"{node} answers the question about {ref}: 404")
            if self.stages.get(ref) not in (wire.DONE, wire.ABORTED):
                self.loop.after(POLL_S, self._poll, ref, number + 1)

        self._ask(node, "GET", f"{wire.JOBS}/{ref}", None, POLL_TIMEOUT_S, on_done)

    def cancel(self, ref: str, number: int = 0) -> None:
        """A user cancels a job, and tries again until that is confirmed."""
        node = NODES[number % len(NODES)]

        def on_done(status: int, body: Any) -> None:
            if status == 200:
                self.note(f"{node} answers the cancellation of {ref}: {status} {body}")
                self.stages[ref] = body["stage"]
            else:
                self.loop.after(RETRY_S, self.cancel, ref, number + 1)

        self.note(f"user cancels {ref}")
        self._ask(
            node, "POST", f"{wire.JOBS}/{ref}/cancel", None, SUBMIT_TIMEOUT_S, on_done
        )

    # The play

    def play(self, tick: Callable[[], None]) -> int:
        """Starts the controllers, calls `tick` until it ends the play; returns the exit code."""

        def repeat() -> None:
            try:
                if self.now > self.seconds:
                    raise Finished(NOT_RUN, "the time is over before the play has ended")
                for node, process in self._processes.items():
                    if process.poll() is not None:
                        raise Finished(NOT_RUN, f"controller {node} ended by itself")
                tick()
            except Finished as finished:
                self.end = finished
            except Exception as error:
                self.end = Finished(NOT_RUN, f"the play failed: {error!r}")
            if self.end is not None:
                self.loop.stop()
            else:
                self.loop.after(0.25, repeat)

        # Whoever ends the play ends its controllers too.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: sys.exit(NOT_RUN))
        try:
            for node in NODES:
                self.start_controller(node)
            self.loop.after(0.25, repeat)
            self.loop.run()
        finally:
            for process in self._processes.values():
                process.kill()
                process.wait()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(self._folder, keep, dirs_exist_ok=True)
            shutil.rmtree(self._folder, ignore_errors=True)
        finished = self.end or Finished(NOT_RUN, "the play was interrupted")
        names = {BROKEN: "BROKEN", HELD: "held", NOT_RUN: "not run"}
        self.note(f"{names[finished.code]}: {finished.reason}")
        print(f"{names[finished.code]}: {finished.reason}")
        return finished.code


def wire_json(message: Any) -> str:
    """Returns a message as JSON with the protocol's words, for the record."""
    return msgspec.json.encode(message).decode()
