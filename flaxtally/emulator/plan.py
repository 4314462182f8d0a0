"""The contents of one size of an emulated deployment, computed from its options alone.

Every process of a run reads the same plan, so that all agree on machines, addresses, teams and jobs
without exchanging messages.
"""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire
from ..settings import Team

if TYPE_CHECKING:
    from pathlib import Path

    from ..runtime.loop import Address

HOST = "127.0.0.1"
FIRST_WORKER_HOST = int(ipaddress.IPv4Address("127.1.0.1"))
"""The first of the loopback addresses on which hollow workers listen, one address per worker."""
MAX_WORKER_HOSTS = 60_000
"""Number of workers' addresses; after the last one they begin again at the first."""
CONTROLLER = "controller"
GPU_TYPE, CPU_TYPE = "g8", "c64"
MACHINES_PER_GPU_MACHINE = 5
"""Every fifth machine has GPUs: 8 of them, which gives 1.6 GPUs per machine (31,000 GPUs on 20,000
workers).
"""
CORES_PER_CPU_MACHINE, CORES_PER_GPU_MACHINE, GPUS_PER_GPU_MACHINE = 64.0, 96.0, 8.0
CORES_PER_TASK, RAM_GB_PER_TASK = 6.0, 8.0
WORKERS_PER_TEAM = 27
"""Gives 750 teams for 20,000 workers."""
MIN_TEAMS = 4
LIMIT_RATIO, GUARANTEE_RATIO = 2.0, 0.8
"""A team's limit and guarantee, as ratios to the mean amount of the fleet per team."""
SOCKETS_PER_WORKER, MIN_SOCKETS = 4, 700
"""Sockets of a controller: the number per worker, and the least number in total."""
URGENT_CLASS, SERVICE_CLASS, BATCH_CLASS = "gate", "serve", "batch"
"""Job classes of the load."""
URGENT_START_AIM_S, URGENT_AIM_FRACTION = 3.6, 0.95
"""The aim for urgent jobs: this fraction of their tasks starts within this time."""

(
    SHARED_STATE_PORT_OFFSET,
    CLOUD_PORT_OFFSET,
    COORDINATOR_PORT_OFFSET,
    WORKER_PORT_OFFSET,
    FIRST_STATE_PORT_OFFSET,
) = 0, 1, 2, 3, 4
"""Offsets from the first port. From the last one on follow one port per cell for its state service,
then two ports per controller.
"""


class Plan(msgspec.Struct, frozen=True):
    """One size of a scale run. Durations are in seconds, rates per second."""

    workers: int
    seconds: float = 30.0
    warm_up: float = 60.0
    seed: int = 1
    port: int = 23000
    controllers: int = 3
    """Controllers per cell."""
    cells: int = 1
    """Parts of the fleet that each have their own leader and state service."""
    zones: int = 3
    workers_per_process: int = 1000
    state_rps: float = 500.0
    state_write_rps: float = 50.0
    value_kb: float = 8.0
    txn_ops: int = 32
    cloud_rps: float = 5.0
    report_s: float = 2.0
    lease_s: float = 12.0
    cancel_s: float = 30.0
    gang_wait_s: float = 40.0
    gang_peer_s: float = 6.0
    tasks_per_worker: float = 9.5
    """Running tasks per worker: 190,000 tasks on 20,000 workers."""
    starts_per_worker: float = 0.38
    """Task starts per second and worker: 7,600 per second on 20,000 workers."""
    service_share: float = 0.6
    """Fraction of service replicas among the running tasks; the others are batch tasks."""
    array_tasks: int = 100
    """Mean number of tasks of a batch job."""
    command_copy_share: float = 0.01
    """Fraction of executed command batches of which a copy arrives again, at most two leases late.
    """
    policy: str | None = None
    """Path of the controllers' policy file; None: no policy file."""
    break_rule: bool = False
    """Whether a worker starts a task that already runs on another worker, to test the checks."""

    @property
    def zone_names(self) -> list[str]:
        return [f"zone-{number}" for number in range(self.zones)]

    @property
    def nodes(self) -> list[str]:
        return [f"{CONTROLLER}-{number}" for number in range(self.controllers * self.cells)]

    def cell_of_node(self, number: int) -> int:
        """Returns the cell of a controller; neighbours in the list belong to different cells."""
        return number % self.cells

    def nodes_of(self, cell: int) -> list[str]:
        return [name for number, name in enumerate(self.nodes) if self.cell_of_node(number) == cell]

    def zones_of(self, cell: int) -> list[str]:
        return self.zone_names[cell :: self.cells]

    def zone_of_node(self, number: int) -> str:
        zones = self.zones_of(self.cell_of_node(number))
        return zones[number // self.cells % len(zones)]

    @property
    def worker_processes(self) -> int:
        return -(-self.workers // self.workers_per_process)

    @property
    def sockets(self) -> int:
        """Sockets that a controller may open: enough for all workers at one controller, twice."""
        return max(MIN_SOCKETS, SOCKETS_PER_WORKER * self.workers)

    @property
    def shared_state(self) -> Address:
        """Address of the state service that all cells share if there are several."""
        return HOST, self.port + SHARED_STATE_PORT_OFFSET

    def state(self, cell: int) -> Address:
        """Returns the address of a cell's own state service."""
        return HOST, self.port + FIRST_STATE_PORT_OFFSET + cell

    @property
    def cloud(self) -> Address:
        """Address of the fake cloud."""
        return HOST, self.port + CLOUD_PORT_OFFSET

    @property
    def coordinator(self) -> Address:
        """Address on which the coordinator listens to the child processes."""
        return HOST, self.port + COORDINATOR_PORT_OFFSET

    def users_address(self, number: int) -> Address:
        """Returns where a controller listens to users and workers; peers use the next port."""
        return HOST, self.port + FIRST_STATE_PORT_OFFSET + self.cells + 2 * number

    @property
    def node_addresses(self) -> dict[str, Address]:
        return {name: self.users_address(number) for number, name in enumerate(self.nodes)}

    @property
    def ports(self) -> list[int]:
        """All ports on the first loopback address."""
        controller_and_state_offsets = range(
            FIRST_STATE_PORT_OFFSET,
            FIRST_STATE_PORT_OFFSET + self.cells + 2 * self.controllers * self.cells,
        )
        offsets = (
            SHARED_STATE_PORT_OFFSET,
            CLOUD_PORT_OFFSET,
            COORDINATOR_PORT_OFFSET,
            *controller_and_state_offsets,
        )
        return [self.port + offset for offset in offsets]

    def worker_address(self, number: int) -> Address:
        """Returns a worker's own loopback address.

        A run does not use a host twice unless it starts more than `MAX_WORKER_HOSTS` workers.
        """
        host = ipaddress.IPv4Address(FIRST_WORKER_HOST + number % MAX_WORKER_HOSTS)
        return str(host), self.port + WORKER_PORT_OFFSET

    @property
    def types(self) -> list[wire.MachineType]:
        zones = self.zone_names
        return [
            wire.MachineType(
                CPU_TYPE, CORES_PER_CPU_MACHINE, 0.0, 256.0, 80.0, 1.0, 1.0, 0.4, 10.0, zones
            ),
            wire.MachineType(
                GPU_TYPE,
                CORES_PER_GPU_MACHINE,
                GPUS_PER_GPU_MACHINE,
                768.0,
                400.0,
                4.0,
                12.0,
                4.5,
                15.0,
                zones,
            ),
        ]

    @property
    def machines(self) -> list[wire.ListedMachine]:
        """The fleet at the start, with machine types spread evenly over the zones."""
        zones = self.zone_names
        fleet = []
        for number in range(self.workers):
            machine_type = GPU_TYPE if number % MACHINES_PER_GPU_MACHINE == 0 else CPU_TYPE
            zone = zones[number % self.zones]
            host, port = self.worker_address(number)
            name = f"n-{number:06d}"
            fleet.append(
                wire.ListedMachine(
                    name, machine_type, zone, False, "running", 0.0, f"{host}:{port}"
                )
            )
        return fleet

    @property
    def capacity(self) -> dict[tuple[str, str, bool], int]:
        """The cloud's machines by type, zone and spot: the fleet at the start and no more."""
        pools: dict[tuple[str, str, bool], int] = {}
        for machine in self.machines:
            pool = machine.machine_type, machine.zone, machine.spot
            pools[pool] = pools.get(pool, 0) + 1
        return pools

    @property
    def teams(self) -> list[Team]:
        count = max(MIN_TEAMS, self.workers // WORKERS_PER_TEAM)
        gpu_machines = -(-self.workers // MACHINES_PER_GPU_MACHINE)
        cores = (
            self.workers - gpu_machines
        ) * CORES_PER_CPU_MACHINE + gpu_machines * CORES_PER_GPU_MACHINE
        gpus = gpu_machines * GPUS_PER_GPU_MACHINE

        def compute_amounts(total: float) -> tuple[float, float]:
            mean = total / count
            return round(GUARANTEE_RATIO * mean, 1), round(LIMIT_RATIO * mean, 1)

        return [
            Team(f"team-{number}", *compute_amounts(cores), *compute_amounts(gpus))
            for number in range(count)
        ]

    def get_worker_process(self, machine: str) -> int:
        """Returns the number of the workers' process that runs the machine's hollow worker."""
        return int(machine.removeprefix("n-")) % self.worker_processes


def save(plan: Plan, path: Path) -> None:
    """Writes the plan for the processes of a run to a file (JSON)."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan)) + b"\n")


def load(path: Path) -> Plan:
    """Reads what `save` wrote."""
    return msgspec.json.decode(path.read_bytes(), type=Plan)
