"""Stand-ins of the platform for the review's tests: state service, cloud, workers, users.

They follow PROTOCOL-flaxtally.md and the page on gangs, and run on loopback and the real clock in
the test's own process. The controllers are the project's own program, started as separate processes
with the `run` line of the deploy file. Each stand-in can be told to answer late, or not at all.
"""

from __future__ import annotations

import asyncio
import ctypes
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
from functools import partial
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "target" / "deps"))
import msgspec  # noqa: E402  from the project's own build

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.decode
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


ZONES = ["timis-vest", "cluj-nord", "cluj-sud", "iasi-centru"]
SANDA_16 = {
    "label": "sanda-16",
    "cores": 16.0,
    "cards": 0.0,
    "ramGb": 32.0,
    "cacheGb": 60.0,
    "pullGbPerS": 0.2,
    "hourly": 0.98,
    "spotPrice": 0.38,
    "bootS": 20.0,
    "yards": ZONES,
}
"""A machine type of the site quizul-cluj."""


class CouldNotRun(Exception):
    """The case did not come about, so the test says nothing."""


_taken: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports on which nothing listens, below those of outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        with socket.socket() as each:
            try:
                each.bind((HOST, port))
            except OSError:
                continue
        if port not in _taken:
            _taken.add(port)
            found.append(port)
    return found


class Record:
    """What was sent, answered and run: one line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        print(f"{self.now():8.3f} {text}", file=self._file, flush=True)


# HTTP


async def read_message(reader: asyncio.StreamReader) -> tuple[list[str], bytes, bool]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    length, closes = 0, False
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
        elif name.lower() == "connection":
            closes = "close" in value.lower()
    body = await reader.readexactly(length) if length else b""
    return head[0].split(" ", 2), body, closes


class Server:
    """An HTTP server; `handle(method, path, query, body)` returns a status and a body, or None for
    a request that is never answered."""

    def __init__(self, port: int, handle) -> None:
        self.port, self._handle, self._server = port, handle, None
        self._connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        def accept(reader, writer) -> None:
            connection = asyncio.get_running_loop().create_task(self._serve(reader, writer))
            self._connections.add(connection)
            connection.add_done_callback(self._connections.discard)

        self._server = await asyncio.start_server(accept, HOST, self.port, backlog=512)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                start, body, closes = await read_message(reader)
                path, _, query = start[1].partition("?")
                answer = await self._handle(start[0], path, query, body)
                if answer is None:
                    await asyncio.sleep(60)
                    break
                payload = b"" if answer[1] is None else pack(answer[1])
                writer.write(
                    f"HTTP/1.1 {answer[0]} X\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
                if closes:
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def request(port: int, method: str, path: str, body=None, timeout_s: float = 5.0):
    """Sends a request on a connection of its own; returns status and body, (0, None): no answer."""

    async def send():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            payload = b"" if body is None else pack(body)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\n"
                f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n".encode()
                + payload
            )
            start, reply, _ = await read_message(reader)
            return int(start[1]), (unpack(reply) if reply else None)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(send(), timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, None


class Proxy:
    """Carries connections to a port, until it refuses them."""

    def __init__(self, target: int) -> None:
        self.port, self._target = free_ports(1)[0], target
        self._server = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, HOST, self.port)

    def refuse(self) -> None:
        """Resets the connections and refuses new ones, like a packet filter that rejects them."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, far_writer}

        async def carry(source, to) -> None:
            try:
                while data := await source.read(65536):
                    to.write(data)
                    await to.drain()
            except OSError:
                pass
            to.close()

        await asyncio.gather(carry(reader, far_writer), carry(far_reader, writer))
        self._open -= {writer, far_writer}


# The state service


class StateService:
    """Keys with stamps, transactions, leases; with the limits of the settings."""

    def __init__(self, ports: dict[str, int], record: Record, rps: float, write_rps: float) -> None:
        """`ports`: the port by controller, so that one of them can be refused alone."""
        self.ports = ports
        self.servers = [Server(port, partial(self._receive, name)) for name, port in ports.items()]
        self.refused: set[str] = set()
        """Controllers that get 503 while the others are served."""
        self.record = record
        self.rows: dict[str, tuple[object, int, int | None]] = {}
        self.ledger = 0
        self.leases: dict[int, list[float]] = {}
        self._next_lease = 1
        self._rps, self._write_rps = rps, write_rps
        self._tokens, self._write_tokens, self._filled_at = rps, write_rps, time.monotonic()
        self.on_commit = lambda transaction: None
        """Called with each transaction that was carried out."""
        self.before_transaction = None
        """None, or a coroutine that gets each transaction first; True: no answer is given to it."""

    def _may_serve(self, requests: int, changes: int) -> bool:
        now = time.monotonic()
        passed, self._filled_at = now - self._filled_at, now
        self._tokens = min(self._rps, self._tokens + passed * self._rps)
        self._write_tokens = min(self._write_rps, self._write_tokens + passed * self._write_rps)
        if self._tokens < requests or self._write_tokens < changes:
            return False
        self._tokens -= requests
        self._write_tokens -= changes
        return True

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [each for each, (_, until) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self.ledger += 1
        for key in keys:
            del self.rows[key]

    async def _receive(self, name, method, path, query, body):
        if name in self.refused:
            return 503, {"error": "trouble"}
        return await self._handle(method, path, query, body)

    async def _handle(self, method, path, query, body):
        self._expire()
        transaction = unpack(body) if path == "/txn" else None
        changes = len(transaction.get("apply") or ()) if transaction else 0
        if not self._may_serve(1, changes):
            return 429, {"error": "too many"}
        await asyncio.sleep(0.002)
        if transaction is not None:
            if self.before_transaction is not None and await self.before_transaction(transaction):
                return None
            return self.transact(transaction)
        if path == "/store":
            return 200, self._list({name: value[0] for name, value in parse_qs(query).items()})
        if path.startswith("/store/"):
            key = path[len("/store/") :]
            row = self.rows.get(key)
            if row is None:
                return 404, {"ledger": self.ledger}
            return 200, {"k": key, "v": row[0], "stamp": row[1], "tenure": row[2]}
        return self._handle_lease(method, path, body)

    def _handle_lease(self, method, path, body):
        parts = path.strip("/").split("/")
        if parts[0] != "holds":
            return 400, {"error": "no such path"}
        if len(parts) == 1:
            life_s = unpack(body)["lifeMs"] / 1000
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[lease] = [life_s, time.monotonic() + life_s]
            return 200, {"tenure": lease}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {"tenure": lease}

    def _list(self, query):
        prefix, after = query.get("starts", ""), query.get("after", "")
        most = min(1000, int(query.get("most", "1000")))
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        rows = [{"k": key, "v": self.rows[key][0], "stamp": self.rows[key][1]} for key in keys]
        return {"rows": rows[:most], "hasNext": len(rows) > most, "ledger": self.ledger}

    def transact(self, transaction):
        """Carries a transaction out if its guards hold; returns status and body of the answer."""
        changes = transaction.get("apply") or []
        for change in changes:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
            if len(msgspec.json.encode(change.get("v"))) > 8192:
                return 400, {"error": "too large"}
        if len(changes) > 32:
            return 400, {"error": "too many changes"}
        failed = [
            guard["k"]
            for guard in transaction.get("guards") or []
            if self.rows.get(guard["k"], (None, 0))[1] != guard["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if changes:
            self.ledger += 1
        for change in changes:
            if "put" in change and change["put"] is not None:
                self.rows[change["put"]] = change.get("v"), self.ledger, change.get("tenure")
            else:
                self.rows.pop(change["drop"], None)
        self.on_commit(transaction)
        return 200, {"ledger": self.ledger}

    @property
    def leader(self) -> str | None:
        """The controller that the key `lead` names."""
        row = self.rows.get("lead")
        return row[0]["node"] if row else None

    @property
    def term(self) -> int:
        row = self.rows.get("lead")
        return row[0]["term"] if row else 0


# The cloud


class Cloud:
    """Rents machines up to `capacity`, lists them 4 s late, and releases them."""

    def __init__(self, ports: dict[str, int], record: Record, breeds: list[dict]) -> None:
        """`ports`: the port by controller, which shows who asks."""
        self.ports = ports
        self.servers = [Server(port, partial(self._handle, name)) for name, port in ports.items()]
        self.on_release = lambda controller, worker: None
        """Called before a machine is released, with the controller that asked for it."""
        self.record, self.breeds = record, breeds
        self.machines: dict[str, Worker] = {}
        self.capacity = 0
        """How many machines may be up or booting; 0: none can be rented."""
        self.hires: dict[str, list[str]] = {}
        self.hired_at: list[float] = []
        """When machines were rented."""
        self.make_worker = lambda yard: None
        self._requested_at: dict[str, float] = {}
        self._died_at: dict[str, float] = {}

    async def _handle(self, asking, method, path, query, body):
        await asyncio.sleep(0.05)
        if path == "/catalog":
            return 200, {"breeds": self.breeds}
        if path == "/rentals/release":
            names = unpack(body)["rigs"]
            self.record.write(f"cloud: {asking} asks to release {names}")
            for name in names:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    self.on_release(asking, worker)
                    await worker.remove()
            return 200, {}
        return self._rent(unpack(body)) if method == "POST" else self._list(query)

    def _rent(self, wanted):
        hire, number = wanted["hire"], wanted["number"]
        if hire not in self.hires:
            up = sum(name not in self._died_at for name in self.machines)
            granted = min(number, self.capacity - up)
            if granted <= 0:
                return 503, {"error": "no capacity"}
            self.record.write(f"cloud: {hire} rents {granted} of {number} in {wanted['yard']}")
            self.hires[hire] = [self._add(wanted["yard"]) for _ in range(granted)]
        return 200, {"rigs": self.hires[hire]}

    def _add(self, yard: str) -> str:
        worker = self.make_worker(yard)
        self.machines[worker.name] = worker
        self._requested_at[worker.name] = time.monotonic()
        self.hired_at.append(time.monotonic())
        asyncio.get_running_loop().create_task(self._boot(worker))
        return worker.name

    async def _boot(self, worker: Worker) -> None:
        # "At times machines are up within a second or two."
        await asyncio.sleep(2.0)
        if worker.name in self.machines:
            self.record.write(f"{worker.name} is up")
            await worker.start()

    async def die(self, name: str) -> None:
        """The machine stops with all that is on it; it is listed as running for 30 s more."""
        self.record.write(f"TROUBLE {name} stops")
        self._died_at[name] = time.monotonic()
        self.machines[name].power_off()

    def _list(self, query):
        after = parse_qs(query).get("after", [""])[0]
        now = time.monotonic()
        rigs = []
        for name, worker in sorted(self.machines.items()):
            age_s = now - self._requested_at.get(name, now - 600.0)
            if name <= after or age_s < 4.0:
                continue
            is_failed = now - self._died_at.get(name, now) > 30.0
            rigs.append(
                {
                    "ref": name,
                    "address": f"{HOST}:{worker.port}",
                    "breed": worker.breed,
                    "yard": worker.yard,
                    "loaner": False,
                    "stage": "failed" if is_failed else "running",
                    "ageS": age_s - 4.0,
                }
            )
        return 200, {"rigs": rigs, "hasNext": False}


# Workers


class Task:
    def __init__(self, hand: str, attempt: int) -> None:
        self.hand, self.attempt = hand, attempt
        self.stage, self.cause, self.kept = "fetching", None, False
        self.on_machine = False
        """Whether it has its image and has not ended."""
        self.timers: list[asyncio.TimerHandle] = []


class Worker:
    """A machine with its agent: reports, lease, token, session, tasks."""

    def __init__(self, fleet: Fleet, name: str, port: int, yard: str, breed: dict) -> None:
        self.fleet, self.name, self.port, self.yard = fleet, name, port, yard
        self.breed, self.kind = breed["label"], breed
        self.record, self.rng = fleet.record, random.Random(name)
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.controller = self.rng.choice(sorted(fleet.nodes))
        self.server = Server(port, self._handle)
        self._answered_at = 0.0
        self._last_report_at = 0.0
        self._changed = asyncio.Event()
        self._is_up = False
        self._loop: asyncio.Task | None = None
        self.hold_command = lambda orders: 0.0
        """Seconds for which a direct command is held up on its way; it then gets no answer."""
        self.answer_delay = lambda: 0.0
        """Seconds for which an answer to a direct command is held up."""
        self.on_report = lambda report: None

    async def start(self) -> None:
        self._is_up = True
        self._answered_at = time.monotonic()
        await self.server.start()
        self._loop = asyncio.create_task(self._report_for_ever())

    def power_off(self) -> None:
        """The machine stops with all that is on it; connections to it hang."""
        self._is_up = False
        for task in list(self.tasks.values()):
            self._end(task, "machine gone")
        self.tasks.clear()
        if self._loop is not None:
            self._loop.cancel()

    async def remove(self) -> None:
        """The machine is gone, with all that is on it."""
        self.power_off()
        await self.server.stop()

    # Reports

    def report(self) -> dict:
        self.tally += 1
        return {
            "rig": self.name,
            "address": f"{HOST}:{self.port}",
            "breed": self.breed,
            "yard": self.yard,
            "loaner": False,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "warningS": None,
            "hands": [
                {"hand": task.hand, "try": task.attempt, "stage": task.stage}
                | ({"cause": task.cause} if task.cause else {})
                | ({"kept": True} if task.kept else {})
                for task in self.tasks.values()
            ],
        }

    async def _report_for_ever(self) -> None:
        await asyncio.sleep(self.rng.uniform(0, self.fleet.report_s))
        while self._is_up:
            self._check_lease()
            self._changed.clear()
            sent_at, shift = time.monotonic(), self.shift
            self._last_report_at = sent_at
            report = self.report()
            self.on_report(report)
            node = self.controller
            status, body = await request(
                self.fleet.nodes[node], "POST", "/agent/beat", report, timeout_s=4.0
            )
            pause_s = self.fleet.report_s * self.rng.uniform(0.75, 1.25)
            if status == 200:
                if body.get("baton", -1) >= self.baton and shift == self.shift:
                    if body["baton"] > self.baton:
                        self.baton = body["baton"]
                        self._changed.set()
                    self._answered_at = sent_at
                    self.execute(body.get("orders") or [])
            elif status == 421:
                target = (body or {}).get("foreman")
                if target in self.fleet.nodes and target != node:
                    self.controller, pause_s = target, self.rng.uniform(0, 0.5)
                else:
                    self.controller, pause_s = self._next(node), 1.0
            else:
                self.controller, pause_s = self._next(node), 1.0
            if status != 200:
                await asyncio.sleep(pause_s)
                continue
            try:
                await asyncio.wait_for(self._changed.wait(), pause_s)
            except asyncio.TimeoutError:
                continue
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - self._last_report_at)))

    def _next(self, node: str) -> str:
        names = sorted(self.fleet.nodes)
        return names[(names.index(node) + 1) % len(names)]

    def _check_lease(self) -> None:
        if time.monotonic() - self._answered_at > self.fleet.lease_s:
            for task in list(self.tasks.values()):
                self._end(task, "lease expired")
            self.tasks.clear()
            self.shift += 1
            self._answered_at = time.monotonic()
            self.record.write(f"{self.name}: session {self.shift} begins")

    # Commands

    async def _handle(self, method, path, query, body):
        if not self._is_up:
            return None
        self._check_lease()
        if path == "/status":
            return 200, self.report()
        batch = unpack(body) if path == "/orders" else {}
        if batch.get("baton") is None or batch.get("shift") is None:
            return 400, {"error": "lacks a field"}
        orders = batch["orders"]
        hold_s = self.hold_command(orders)
        if hold_s:
            self.record.write(f"{self.name}: held up {hold_s:.1f} s on its way: {show(orders)}")
            asyncio.get_running_loop().call_later(hold_s, self._carry_out_late, batch)
            return None
        status = self._carry_out(batch, "")
        answer = self.report()
        await asyncio.sleep(self.answer_delay())
        return status, answer

    def _carry_out_late(self, batch: dict) -> None:
        self._check_lease()
        self._carry_out(batch, " (late)")

    def _carry_out(self, batch: dict, note: str) -> int:
        if not self._is_up:
            return 409
        if batch["baton"] < self.baton or batch["shift"] != self.shift:
            if batch["orders"]:
                self.record.write(f"{self.name}: 409{note}: {show(batch['orders'])}")
            return 409
        if batch["baton"] > self.baton:
            self.baton = batch["baton"]
            self._changed.set()
        if batch["orders"]:
            self.record.write(
                f"{self.name}: carries out{note}, baton {self.baton}: {show(batch['orders'])}"
            )
        self.execute(batch["orders"])
        return 200

    def execute(self, orders: list[dict]) -> None:
        for order in orders:
            key = order["hand"], order["try"]
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self._launch(*key)
            elif order["verb"] == "stop" and task is not None and task.stage != "exited":
                self.exit(task, "halted")
            elif order["verb"] == "reap" and task is not None and task.stage == "exited":
                del self.tasks[key]

    # Tasks

    def _launch(self, hand: str, attempt: int) -> None:
        task = self.tasks[hand, attempt] = Task(hand, attempt)
        self._changed.set()
        job = self.fleet.jobs.get(hand.partition("/")[0])
        held = [other for other in self.tasks.values() if other.stage != "exited"]
        if job is None:
            self.exit(task, "unknown")
            return
        if any(other.hand == hand and other is not task for other in held):
            self.exit(task, "in_use")
            return
        specs = [self.fleet.jobs[other.hand.partition("/")[0]] for other in held]
        if any(
            sum(spec[field] for spec in specs) > self.kind[field] + 1e-6
            for field in ("cores", "cards", "ramGb")
        ):
            self.exit(task, "full")
            return
        fetch_s = (
            0.0 if job["mold"] in self.images else job["sizeGb"] / self.kind["pullGbPerS"]
        ) * self.rng.uniform(0.9, 1.3)
        task.timers.append(asyncio.get_running_loop().call_later(fetch_s, self._begin, task))

    def _begin(self, task: Task) -> None:
        if task.stage != "fetching":
            return
        ref = task.hand.partition("/")[0]
        job = self.fleet.jobs[ref]
        self.images.add(job["mold"])
        task.on_machine = True
        self.fleet.on_start(self, task)
        if self.fleet.fails(self, task):
            task.stage = "waiting" if job["craft"] == "group" else "running"
            asyncio.get_running_loop().call_later(0.05, self.exit, task, "error")
        elif job["craft"] == "group":
            self.fleet.gangs.arrive(self, task, job)
        else:
            task.stage = "running"
            run_s = self.fleet.run_s.get(ref)
            if run_s is not None:
                task.timers.append(
                    asyncio.get_running_loop().call_later(run_s, self.exit, task, "done")
                )
        self._changed.set()

    def set_stage(self, task: Task, stage: str) -> None:
        task.stage = stage
        self._changed.set()

    def exit(self, task: Task, cause: str) -> None:
        if task.stage == "exited":
            return
        self._end(task, cause)
        task.stage, task.cause = "exited", cause
        self._changed.set()

    def _end(self, task: Task, why: str) -> None:
        for timer in task.timers:
            timer.cancel()
        if task.on_machine:
            task.on_machine = False
            self.fleet.on_end(self, task, why)
        self.fleet.gangs.leave(task)


def show(orders: list[dict]) -> str:
    return ", ".join(f"{order['verb']} {order['hand']} try {order['try']}" for order in orders)


class Gangs:
    """Tasks of an attempt start together, end together, and notice when one of them is lost."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.attempts: dict[tuple[str, int], dict[str, tuple[Worker, Task]]] = {}
        self.started: set[tuple[str, int]] = set()

    def arrive(self, worker: Worker, task: Task, job: dict) -> None:
        key = job["ref"], task.attempt
        members = self.attempts.setdefault(key, {})
        members[task.hand] = worker, task
        task.stage = "waiting"
        loop = asyncio.get_running_loop()
        task.timers.append(loop.call_later(self.fleet.gang_wait_s, self._give_up, worker, task))
        if len(members) == job["hands"] and key not in self.started:
            self.started.add(key)
            self.fleet.record.write(f"gang {job['ref']} attempt {task.attempt} runs")
            for other, each in members.values():
                other.set_stage(each, "running")
            loop.call_later(self.fleet.run_s.get(job["ref"], 5.0), self._complete, key)

    def _give_up(self, worker: Worker, task: Task) -> None:
        if task.stage == "waiting":
            worker.exit(task, "incomplete")

    def _complete(self, key: tuple[str, int]) -> None:
        for worker, task in list(self.attempts.get(key, {}).values()):
            worker.exit(task, "done")

    def leave(self, task: Task) -> None:
        key = task.hand.partition("/")[0], task.attempt
        members = self.attempts.get(key, {})
        if task.hand in members and members[task.hand][1] is task:
            del members[task.hand]
            if key in self.started and members:
                asyncio.get_running_loop().call_later(self.fleet.gang_peer_s / 2, self._fail, key)

    def _fail(self, key: tuple[str, int]) -> None:
        for worker, task in list(self.attempts.get(key, {}).values()):
            worker.exit(task, "mates_gone")


# The deployment


def end_with_parent() -> None:
    """Has the kernel end this process when the test's process ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Controller:
    """One of the project's own processes, started with the deploy file's `run` line."""

    def __init__(self, name: str, config: Path, log: Path) -> None:
        self.name, self._config, self._log = name, config, log
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self._config)]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": "info"},
                preexec_fn=end_with_parent,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """A small deployment: three controllers, state service, cloud, workers and users."""

    report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s = 1.5, 10.0, 50.0, 8.0, 30.0

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.names = ["hearth-0", "hearth-1", "hearth-2"]
        ports = free_ports(12)
        self.names_for_users = self.names
        """The controllers that the load balancer takes for healthy."""
        self.nodes = dict(zip(self.names, ports[:3], strict=True))
        self.peer_ports = dict(zip(self.names, ports[3:6], strict=True))
        self.dial_ports: dict[tuple[str, str], int] = {}
        """Ports of a proxy, by the controllers that dial and that are dialled."""
        self.state = StateService(
            dict(zip(self.names, ports[6:9], strict=True)), record, 250.0, 40.0
        )
        self.cloud = Cloud(dict(zip(self.names, ports[9:], strict=True)), record, [SANDA_16])
        self.controllers: dict[str, Controller] = {}
        self.jobs: dict[str, dict] = {}
        """Descriptions that users uploaded, by job."""
        self.run_s: dict[str, float | None] = {}
        self.gangs = Gangs(self)
        self.fails = lambda worker, task: False
        self.on_machine: dict[str, list[tuple[Worker, Task]]] = {}
        self.violations: list[str] = []
        self._machine_count = 0
        self.cloud.make_worker = self.make_worker

    # Tasks on machines

    def on_start(self, worker: Worker, task: Task) -> None:
        self.record.write(f"START {task.hand} try {task.attempt} on {worker.name}")
        holders = self.on_machine.setdefault(task.hand, [])
        others = [other.name for other, _ in holders if other is not worker]
        holders.append((worker, task))
        if others:
            self.break_rule(f"ran_twice: {task.hand} starts on {worker.name} while on {others}")

    def on_end(self, worker: Worker, task: Task, why: str) -> None:
        self.record.write(f"END {task.hand} try {task.attempt} on {worker.name}: {why}")
        holders = self.on_machine.get(task.hand, [])
        self.on_machine[task.hand] = [each for each in holders if each[1] is not task]

    def break_rule(self, text: str) -> None:
        self.record.write(f"RULE BROKEN {text}")
        self.violations.append(text)

    # Life

    def settings(self, name: str) -> str:
        others = "".join(
            f'\n[[others]]\nnode_name = "{other}"\nsite = "{ZONES[number]}"\n'
            f'peer_addr = "{HOST}:{self.dial_ports.get((name, other), self.peer_ports[other])}"\n'
            for number, other in enumerate(self.names)
            if other != name
        )
        zone = ZONES[self.names.index(name)]
        return f"""node_name = "{name}"
site = "{zone}"
listen = "{HOST}:{self.nodes[name]}"
cluster_listen = "{HOST}:{self.peer_ports[name]}"
{others}
[endpoints]
cloud = "{HOST}:{self.cloud.ports[name]}"
state = "{HOST}:{self.state.ports[name]}"

[params]
size = 3
zones = {msgspec.json.encode(ZONES).decode()}
time_bound_ms = 250.0

[[params.teams]]
name = "echipa-intrebari"
cpus = 664.0
cpus_max = 1992.0
gpus = 40.0
gpus_max = 96.0

[[params.teams]]
name = "echipa-gazde"
cpus = 576.0
cpus_max = 1656.0
gpus = 40.0
gpus_max = 96.0

[[params.objectives]]
kind = "wait"
class = "crainic"
within_s = 120.0
share = 0.8

[[params.objectives]]
kind = "finished"
class = "corvin"
within_s = 150.0
share = 0.78

[[params.objectives]]
kind = "finished"
class = "corvin"
within_s = 250.0
share = 0.92

[[params.objectives]]
kind = "wait"
class = "portar"
within_s = 1.0
share = 0.95

[[params.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.92

[params.workers]
report_s = {self.report_s}
lease_s = {self.lease_s}
gang_wait_s = {self.gang_wait_s}
gang_peer_s = {self.gang_peer_s}
cancel_s = {self.cancel_s}

[params.state]
rps = 250.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32

[params.cloud]
rps = 3.0
list_lag_s = 4.0

[params.limits]
cores = 0.72
mem_mb = 146.0
max_sockets = 700
"""

    def make_worker(self, yard: str) -> Worker:
        self._machine_count += 1
        name = f"n-{self._machine_count:06d}"
        return Worker(self, name, free_ports(1)[0], yard, SANDA_16)

    async def start(self, machines: int) -> None:
        for server in [*self.state.servers, *self.cloud.servers]:
            await server.start()
        for number in range(machines):
            worker = self.make_worker(ZONES[number % len(ZONES)])
            self.cloud.machines[worker.name] = worker
        for name in self.names:
            config = self.folder / f"{name}.toml"
            config.write_text(self.settings(name), encoding="utf-8")
            self.controllers[name] = Controller(name, config, self.folder / f"{name}.log")
            self.controllers[name].start()
        for worker in self.cloud.machines.values():
            await worker.start()

    def stop(self) -> None:
        for controller in self.controllers.values():
            controller.signal(signal.SIGCONT)
            controller.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Users

    def job(self, ref: str, **fields) -> dict:
        return {
            "ref": ref,
            "lane": "corvin",
            "crew": "echipa-intrebari",
            "craft": "array",
            "rank": "standard",
            "hands": 1,
            "cores": 2.0,
            "cards": 0.0,
            "ramGb": 4.0,
            "mold": "img-0",
            "sizeGb": 1.0,
            "breeds": None,
            "yard": None,
            "samePlace": False,
            "scatter": False,
            "loaner": False,
            "reckonS": 10.0,
            "stashEveryS": 0.0,
            "stashS": 0.0,
            "dueS": None,
        } | fields

    async def submit(self, job: dict, run_s: float | None = None) -> None:
        """Submits a job and repeats that for up to 60 s, as users do."""
        ref = job["ref"]
        self.jobs[ref], self.run_s[ref] = job, run_s
        until = time.monotonic() + 60
        number = 0
        while time.monotonic() < until:
            name = self.names_for_users[number % len(self.names_for_users)]
            status, body = await request(self.nodes[name], "POST", "/work", job)
            self.record.write(f"user: submit {ref} at {name}: {status} {body}")
            if status in (200, 201):
                return
            number += 1
            await asyncio.sleep(1.0)
        raise CouldNotRun(f"{ref} was not accepted")

    async def poll(self, name: str, ref: str, timeout_s: float = 2.0):
        status, body = await request(self.nodes[name], "GET", f"/work/{ref}", timeout_s=timeout_s)
        self.record.write(f"user: poll {ref} at {name}: {status} {body}")
        return status, body

    async def cancel(self, ref: str) -> str:
        """Cancels a job and repeats that for up to 60 s; returns the stage that it was told."""
        until = time.monotonic() + 60
        number = 0
        while time.monotonic() < until:
            name = self.names[number % 3]
            status, body = await request(self.nodes[name], "POST", f"/work/{ref}/cancel")
            self.record.write(f"user: cancel {ref} at {name}: {status} {body}")
            if status == 200 and body["stage"] in ("aborted", "done"):
                return body["stage"]
            number += 1
            await asyncio.sleep(1.0)
        raise CouldNotRun(f"the cancellation of {ref} was not answered")

    async def until(self, condition, within_s: float, what: str, *, required: bool = True) -> bool:
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        if required:
            raise CouldNotRun(f"not within {within_s:.0f} s: {what}")
        return False


def run_case(folder: Path, case) -> None:
    """Runs `case(record, trouble)`, a coroutine that returns the violations; exits with the code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble: {trouble}")
    if not (ROOT / "target" / "deps").is_dir():
        record.write("COULD NOT RUN: the project is not built")
        sys.exit(COULD_NOT_RUN)

    def finish(code: int, word: str) -> None:
        # Ends the process at once: the stand-ins' tasks need not be wound up.
        record.write(f"verdict: {word}")
        sys.stdout.flush()
        os._exit(code)

    async def bounded() -> None:
        try:
            violations = await asyncio.wait_for(case(record, trouble), 110.0)
        except Exception as error:  # a fault of the test itself is no verdict either
            print(f"could not run: {error!r}")
            finish(COULD_NOT_RUN, f"could not run: {error!r}")
        for text in violations:
            print(f"broken: {text}")
        finish(BROKEN if violations else HELD, "broken" if violations else "held")

    asyncio.run(bounded())
