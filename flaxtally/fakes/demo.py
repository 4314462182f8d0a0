"""The fakes on loopback, with settings for three controllers: a deployment to try out."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

import msgspec

from ..ledger.records import BatchPiece, JobAccepted, decode_record
from ..protocol import wire
from ..runtime.loop import Address, Loop
from ..settings import Settings, StateLimits, Team
from .cloud import Cloud, build_equal_pools
from .gang_rendezvous import GangRendezvous
from .key_value_store import FakeKeyValueStore
from .settings_text import settings_text
from .worker import Worker

if TYPE_CHECKING:
    from pathlib import Path

log = logging.getLogger(__name__)

HOST = "127.0.0.1"
NODES = ("controller-0", "controller-1", "controller-2")
ZONES = ("a", "b")
MACHINES_PER_POOL = 3
MACHINE_TYPES = [
    wire.MachineType("c16", 16.0, 0.0, 64.0, 40.0, 2.0, 1.0, 0.4, 5.0, list(ZONES)),
    wire.MachineType("g8", 32.0, 8.0, 256.0, 200.0, 4.0, 12.0, 4.0, 8.0, list(ZONES)),
]
TEAM = Team("team-a", 64.0, 128.0, 16.0, 32.0)
GANG_WAIT_S, GANG_PEER_S = 20.0, 3.0
REPORT_S, LEASE_S = 1.5, 10.0
JOB = wire.Submission(
    "j-000001",
    "gate",
    "team-a",
    wire.SERVICE,
    "critical",
    2,
    2.0,
    0.0,
    4.0,
    "img-1",
    1.0,
    False,
    True,
    False,
    0.0,
    0.0,
    0.0,
)


def get_user_address(first_port: int, number: int) -> Address:
    """Returns the address on which a controller listens to users."""
    return HOST, first_port + 2 + 2 * number


def get_peer_address(first_port: int, number: int) -> Address:
    """Returns the address on which a controller listens to its peers."""
    return HOST, get_user_address(first_port, number)[1] + 1


def build_controller_settings(first_port: int, number: int) -> str:
    """Returns the text of one controller's settings file."""
    settings = Settings(
        node=NODES[number],
        zone=ZONES[number % 2],
        listen=get_user_address(first_port, number),
        peer_listen=get_peer_address(first_port, number),
        peers={
            name: (ZONES[other % 2], get_peer_address(first_port, other))
            for other, name in enumerate(NODES)
            if other != number
        },
        cloud=(HOST, first_port + 1),
        state=(HOST, first_port),
        zones=ZONES,
        teams={TEAM.name: TEAM},
        objectives=(),
        report_s=REPORT_S,
        lease_s=LEASE_S,
        gang_wait_s=GANG_WAIT_S,
        gang_peer_s=GANG_PEER_S,
        cancel_s=30.0,
        state_rps=250.0,
        state_limits=StateLimits(write_rps=40.0, value_bytes=8192, txn_ops=32),
        cloud_rps=3.0,
        list_lag_s=1.0,
        max_sockets=500,
    )
    return settings_text(settings)


class Demo:
    """Key-value store, cloud and workers on one loop, on consecutive ports from `first_port`."""

    def __init__(self, loop: Loop, first_port: int) -> None:
        self._loop, self._first_port, self._rng = loop, first_port, random.Random()
        self.state = FakeKeyValueStore(loop, (HOST, first_port))
        self.cloud = Cloud(
            loop,
            (HOST, first_port + 1),
            MACHINE_TYPES,
            build_equal_pools(MACHINE_TYPES, ZONES, MACHINES_PER_POOL),
            lambda count: f"{HOST}:{first_port + 20 + count}",
            self._start,
            self._end,
            self._rng,
        )
        self._workers: dict[str, Worker] = {}
        self._gang_rendezvous = GangRendezvous(loop, GANG_WAIT_S, GANG_PEER_S, self._run_time)

    def _start(self, machine: wire.ListedMachine) -> None:
        machine_type = next(entry for entry in MACHINE_TYPES if entry.name == machine.machine_type)
        host, _, port = str(machine.address).partition(":")
        self._workers[machine.machine] = Worker(
            self._loop,
            machine,
            machine_type,
            (host, int(port)),
            {name: get_user_address(self._first_port, n) for n, name in enumerate(NODES)},
            REPORT_S,
            LEASE_S,
            self.spec,
            self._run_time,
            self._on_task_event,
            self._rng,
            self._gang_rendezvous,
        )
        log.info(
            "event=machine_up machine=%s type=%s zone=%s",
            machine.machine,
            machine.machine_type,
            machine.zone,
        )

    def _end(self, name: str) -> None:
        worker = self._workers.pop(name, None)
        if worker is not None:
            worker.shut_down()
        log.info("event=machine_gone machine=%s", name)

    def spec(self, ref: str) -> wire.Spec | None:
        """Returns a job's spec for the workers.

        Real users upload it to the workers directly. The demo has no such path; its workers read
        the ledger instead.
        """
        for key, (value, _, _) in self.state.rows.items():
            if not key.startswith("p/"):
                continue
            for stored in value["r"]:
                record = decode_record(stored)
                for inner in record.records if isinstance(record, BatchPiece) else [record]:
                    if isinstance(inner, JobAccepted) and inner.ref == ref:
                        return inner.spec
        return None

    def _run_time(self, ref: str) -> float | None:
        spec = self.spec(ref)
        return (
            None
            if spec is None or spec.job_kind == wire.SERVICE
            else max(1.0, spec.estimated_run_s)
        )

    @staticmethod
    def _on_task_event(event: str, machine: str, task: str, attempt: int) -> None:
        log.info(
            "event=task_%s machine=%s task=%s attempt=%d",
            event.replace(" ", "_"),
            machine,
            task,
            attempt,
        )


def run(folder: Path, first_port: int) -> int:
    """Writes settings and a job, prints the commands to use them, and runs until it is stopped."""
    folder.mkdir(parents=True, exist_ok=True)
    loop = Loop()
    Demo(loop, first_port)
    for number, name in enumerate(NODES):
        (folder / f"{name}.toml").write_text(
            build_controller_settings(first_port, number), encoding="utf-8"
        )
    (folder / "job.json").write_bytes(msgspec.json.format(msgspec.json.encode(JOB)) + b"\n")
    host, port = get_user_address(first_port, 0)
    print(f"stand-ins run on {host}, ports from {first_port}; now, each in a terminal of its own:")
    for name in NODES:
        print(f"  python3 -m flaxtally serve --config {folder / name}.toml")
    print(f"  python3 -m flaxtally submit {folder / 'job.json'} --to {host}:{port}")
    print(f"  python3 -m flaxtally status {JOB.ref} --to {host}:{port}", flush=True)
    loop.run()
    return 0
