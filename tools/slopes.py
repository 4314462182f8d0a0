"""What a job, a task, a machine, a team cost by role, as slopes: `python3 tools/slopes.py`.

Each figure is measured at four sizes over a factor of eight and put on a line (`emulator/fit.py`):
its slope, what the line misses, and the power of the size with which it grows. Memory is that of
the objects alone (`tracemalloc`); seconds are processor time, the least of five tries.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import msgspec

from flaxtally.api.sharding import shard_owner
from flaxtally.cells.directory import Directory, Entry
from flaxtally.cells.map import Cell, CellIndex, CellMap
from flaxtally.cells.shares import Amount, TeamShares, equal_shares
from flaxtally.emulator.fit import fit, format_table
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.planning.fleet import Machine
from flaxtally.protocol import wire
from flaxtally.runtime.http import pack
from flaxtally.settings import Team
from tools.limits import fill, records

if TYPE_CHECKING:
    from collections.abc import Callable

TRIES = 5
KB = 1024.0
TARGET_JOBS, TARGET_TASKS, TARGET_MACHINES, TARGET_TEAMS, TARGET_CELLS, TARGET_NODES = (
    350_000,
    190_000,
    20_000,
    750,
    10,
    27,
)
JOB_SIZES = [1500, 3000, 6000, 12_000]
MACHINE_SIZES = [500, 1000, 2000, 4000]
TEAM_SIZES = [90, 180, 360, 720]
CELL_SIZES = [2, 4, 8, 16]
REPORT_SIZES = [4, 8, 16, 32]
NODE_SIZES = [3, 6, 12, 24]


def memory(build: Callable[[], Any]) -> float:
    """Bytes that what is built holds."""
    tracemalloc.start()
    kept = build()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(held)


def seconds(act: Callable[[], Any]) -> float:
    """Processor time of a call."""
    least = float("inf")
    for _ in range(TRIES):
        began = time.process_time()
        act()
        least = min(least, time.process_time() - began)
    return least


def ledger_bytes(jobs: int, placed: bool) -> float:
    return float(sum(len(msgspec.json.encode(record)) + 1 for record in records(jobs, placed)))


def machine(number: int) -> Machine:
    return Machine(f"n-{number:06d}", "g8", "zone-1", spot=False, now=1.0)


def report(tasks: int) -> wire.Heartbeat:
    held = [wire.TaskStatus(f"j-{number:06d}/{number}", 1, "running") for number in range(tasks)]
    return wire.Heartbeat(
        "n-000231", "10.1.0.232:9000", "g8", "zone-1", False, 1, 88, 41, held, None
    )


def shares(teams: int) -> list[bytes]:
    """The keys' values of so many teams in ten cells."""
    cells = [f"cell-{number}" for number in range(TARGET_CELLS)]
    team = Team("team", 800.0, 2000.0, 20.0, 50.0)
    value = equal_shares(team, cells).with_want("cell-3", Amount(6.0, 1.0))
    return [pack(msgspec.to_builtins(value)) for _ in range(teams)]


def read_shares(rows: list[bytes]) -> list[TeamShares]:
    return [msgspec.convert(msgspec.msgpack.decode(row), TeamShares) for row in rows]


def directory(jobs: int) -> Directory:
    found = Directory(None, most=jobs)  # type: ignore[arg-type]
    for number in range(jobs):
        found._note(f"j-{number:06d}", Entry("cell-1", kept=True))
    return found


def cell_map(cells: int) -> CellMap:
    return CellMap(
        1,
        tuple(
            Cell(
                f"cell-{number}",
                (f"zone-{number}-a", f"zone-{number}-b"),
                tuple(f"controller-{number}-{node}" for node in range(3)),
            )
            for number in range(cells)
        ),
    )


def hash_machines(nodes: int) -> Callable[[], None]:
    names = [f"controller-{number}" for number in range(nodes)]
    machines = [f"n-{random.Random(number).randrange(10**6):06d}" for number in range(1000)]

    def act() -> None:
        for name in machines:
            shard_owner(name, "zone-1", names, {})

    return act


class Figure(NamedTuple):
    """What is measured, at which sizes, and the size to come."""

    name: str
    sizes: list[int]
    target: int
    measure: Callable[[int], float]


def _waiting_memory(jobs: int) -> float:
    return memory(lambda: fill(records(jobs, False))) / KB


def _placed_memory(jobs: int) -> float:
    return memory(lambda: fill(records(jobs, True))) / KB


def _machine_memory(machines: int) -> float:
    return memory(lambda: [machine(number) for number in range(machines)]) / KB


def _map_bytes(cells: int) -> float:
    return float(len(pack(msgspec.to_builtins(cell_map(cells)))))


def _check_map(cells: int) -> float:
    return seconds(lambda: CellIndex(cell_map(cells))) * 1000


def _final_memory(jobs: int) -> float:
    def build() -> ClusterState:
        book = ClusterState()
        for number in range(1, jobs + 1):
            book.replay(["F", number, f"j-{number:06d}", wire.DONE], number // 1000 + 1)
        return book

    return memory(build) / KB


def _replay(jobs: int) -> float:
    found = records(jobs, True)
    return seconds(lambda: fill(found))


def _decode(tasks: int) -> float:
    body, decoder = pack(report(tasks)), msgspec.msgpack.Decoder(wire.Heartbeat)

    def act() -> None:
        for _ in range(1000):
            decoder.decode(body)

    return seconds(act) * 1000


def _read(teams: int) -> float:
    rows = shares(teams)
    return seconds(lambda: read_shares(rows)) * 1000


PLACED_JOBS = TARGET_TASKS // 8
FIGURES = [
    Figure("ledger: KB of memory, jobs", JOB_SIZES, TARGET_JOBS, _waiting_memory),
    Figure("ledger: KB of memory, 8-task jobs", JOB_SIZES, PLACED_JOBS, _placed_memory),
    Figure(
        "ledger: KB stored, jobs", JOB_SIZES, TARGET_JOBS, lambda n: ledger_bytes(n, False) / KB
    ),
    Figure(
        "ledger: KB stored, 8-task jobs",
        JOB_SIZES,
        PLACED_JOBS,
        lambda n: ledger_bytes(n, True) / KB,
    ),
    Figure("ledger: KB of memory, final jobs", JOB_SIZES, TARGET_JOBS, _final_memory),
    Figure("takeover: s of replay, 8-task jobs", JOB_SIZES, PLACED_JOBS, _replay),
    Figure("leader: KB of memory, machines", MACHINE_SIZES, TARGET_MACHINES, _machine_memory),
    Figure(
        "worker: bytes of a report, tasks", REPORT_SIZES, 10, lambda n: float(len(pack(report(n))))
    ),
    Figure("report path: us to decode, tasks", REPORT_SIZES, 10, _decode),
    Figure(
        "hashing: us a machine, controllers",
        NODE_SIZES,
        TARGET_NODES,
        lambda n: seconds(hash_machines(n)) * 1000,
    ),
    Figure(
        "directory: KB of memory, jobs",
        JOB_SIZES,
        TARGET_JOBS,
        lambda n: memory(lambda: directory(n)) / KB,
    ),
    Figure(
        "shares: KB a read, teams",
        TEAM_SIZES,
        TARGET_TEAMS,
        lambda n: sum(map(len, shares(n))) / KB,
    ),
    Figure("shares: ms to decode a read, teams", TEAM_SIZES, TARGET_TEAMS, _read),
    Figure("cell map: bytes, cells", CELL_SIZES, TARGET_CELLS, _map_bytes),
    Figure("cell map: ms to check, cells", CELL_SIZES, TARGET_CELLS, _check_map),
]


def main() -> None:
    fits = []
    for figure in FIGURES:
        values = [figure.measure(size) for size in figure.sizes]
        measured = zip(figure.sizes, values, strict=True)
        print(f"{figure.name}: " + ", ".join(f"{size}: {value:.4g}" for size, value in measured))
        fits.append(fit(figure.name, figure.sizes, values, figure.target))
    print()
    print("\n".join(format_table(fits)))


if __name__ == "__main__":
    main()
