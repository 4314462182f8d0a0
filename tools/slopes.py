"""Measures the cost of one more job, task, machine, team: `python3 tools/slopes.py`.

Each figure is measured at four sizes over a factor of eight, and a line is fitted through the
values (see `flaxtally/emulator/fit.py`). Prints the slope, the residual, and the power of the size
with which the figure grows. Memory counts the objects alone (`tracemalloc`); seconds are processor
time, the minimum of five tries.
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

from flaxtally.api.sharding import find_shard_owner
from flaxtally.cells.directory import Directory, Entry
from flaxtally.cells.map import Cell, CellIndex, CellMap
from flaxtally.cells.shares import Amount, TeamShares, build_equal_shares
from flaxtally.emulator.fit import fit, format_table
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.planning.fleet import Machine
from flaxtally.protocol import wire
from flaxtally.runtime.http import pack
from flaxtally.settings import Team
from tools.limits import build_ledger_records, replay_records

if TYPE_CHECKING:
    from collections.abc import Callable

TRIES = 5
BYTES_PER_KB = 1024.0
TARGET_JOBS, TARGET_TASKS, TARGET_MACHINES, TARGET_TEAMS, TARGET_CELLS, TARGET_CONTROLLERS = (
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
TASK_SIZES = [4, 8, 16, 32]
CONTROLLER_SIZES = [3, 6, 12, 24]


def measure_memory_bytes(build: Callable[[], Any]) -> float:
    """Return how many bytes the built objects hold."""
    tracemalloc.start()
    built = build()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(held_bytes)


def measure_seconds(action: Callable[[], Any]) -> float:
    """Return the least processor time of a call over all tries."""
    least_s = float("inf")
    for _ in range(TRIES):
        started_at = time.process_time()
        action()
        least_s = min(least_s, time.process_time() - started_at)
    return least_s


def measure_ledger_bytes(jobs: int, placed: bool) -> float:
    return float(
        sum(len(msgspec.json.encode(record)) + 1 for record in build_ledger_records(jobs, placed))
    )


def build_machine(number: int) -> Machine:
    return Machine(f"n-{number:06d}", "g8", "zone-1", spot=False, now=1.0)


def build_heartbeat(tasks: int) -> wire.Heartbeat:
    statuses = [
        wire.TaskStatus(f"j-{number:06d}/{number}", 1, "running") for number in range(tasks)
    ]
    return wire.Heartbeat(
        "n-000231", "10.1.0.232:9000", "g8", "zone-1", False, 1, 88, 41, statuses, None
    )


def build_share_rows(teams: int) -> list[bytes]:
    """Encode the quota shares of `teams` teams in ten cells, one value each."""
    cells = [f"cell-{number}" for number in range(TARGET_CELLS)]
    team = Team("team", 800.0, 2000.0, 20.0, 50.0)
    value = build_equal_shares(team, cells).with_want("cell-3", Amount(6.0, 1.0))
    return [pack(msgspec.to_builtins(value)) for _ in range(teams)]


def decode_share_rows(rows: list[bytes]) -> list[TeamShares]:
    return [msgspec.convert(msgspec.msgpack.decode(row), TeamShares) for row in rows]


def build_directory(jobs: int) -> Directory:
    directory = Directory(None, max_remembered=jobs)  # type: ignore[arg-type]
    for number in range(jobs):
        directory._remember(f"j-{number:06d}", Entry("cell-1", kept=True))
    return directory


def build_cell_map(cells: int) -> CellMap:
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


def build_hash_action(nodes: int) -> Callable[[], None]:
    names = [f"controller-{number}" for number in range(nodes)]
    machines = [f"n-{random.Random(number).randrange(10**6):06d}" for number in range(1000)]

    def hash_machines() -> None:
        for name in machines:
            find_shard_owner(name, "zone-1", names, {})

    return hash_machines


class Figure(NamedTuple):
    """What is measured, at which sizes, and the size to which the line is extrapolated."""

    name: str
    sizes: list[int]
    target: int
    measure: Callable[[int], float]


def _measure_waiting_jobs_kb(jobs: int) -> float:
    return (
        measure_memory_bytes(lambda: replay_records(build_ledger_records(jobs, False)))
        / BYTES_PER_KB
    )


def _measure_placed_jobs_kb(jobs: int) -> float:
    return (
        measure_memory_bytes(lambda: replay_records(build_ledger_records(jobs, True)))
        / BYTES_PER_KB
    )


def _measure_machines_kb(machines: int) -> float:
    return (
        measure_memory_bytes(lambda: [build_machine(number) for number in range(machines)])
        / BYTES_PER_KB
    )


def _measure_map_bytes(cells: int) -> float:
    return float(len(pack(msgspec.to_builtins(build_cell_map(cells)))))


def _measure_map_check_ms(cells: int) -> float:
    return measure_seconds(lambda: CellIndex(build_cell_map(cells))) * 1000


def _measure_terminal_jobs_kb(jobs: int) -> float:
    def build_state() -> ClusterState:
        state = ClusterState()
        for number in range(1, jobs + 1):
            state.replay(["F", number, f"j-{number:06d}", wire.DONE], number // 1000 + 1)
        return state

    return measure_memory_bytes(build_state) / BYTES_PER_KB


def _measure_replay_s(jobs: int) -> float:
    records = build_ledger_records(jobs, True)
    return measure_seconds(lambda: replay_records(records))


def _measure_decode_us(tasks: int) -> float:
    body, decoder = pack(build_heartbeat(tasks)), msgspec.msgpack.Decoder(wire.Heartbeat)

    def decode_repeatedly() -> None:
        for _ in range(1000):
            decoder.decode(body)

    return measure_seconds(decode_repeatedly) * 1000


def _measure_shares_decode_ms(teams: int) -> float:
    rows = build_share_rows(teams)
    return measure_seconds(lambda: decode_share_rows(rows)) * 1000


TARGET_PLACED_JOBS = TARGET_TASKS // 8
FIGURES = [
    Figure("ledger: KB of memory, jobs", JOB_SIZES, TARGET_JOBS, _measure_waiting_jobs_kb),
    Figure(
        "ledger: KB of memory, 8-task jobs", JOB_SIZES, TARGET_PLACED_JOBS, _measure_placed_jobs_kb
    ),
    Figure(
        "ledger: KB stored, jobs",
        JOB_SIZES,
        TARGET_JOBS,
        lambda n: measure_ledger_bytes(n, False) / BYTES_PER_KB,
    ),
    Figure(
        "ledger: KB stored, 8-task jobs",
        JOB_SIZES,
        TARGET_PLACED_JOBS,
        lambda n: measure_ledger_bytes(n, True) / BYTES_PER_KB,
    ),
    Figure("ledger: KB of memory, final jobs", JOB_SIZES, TARGET_JOBS, _measure_terminal_jobs_kb),
    Figure("takeover: s of replay, 8-task jobs", JOB_SIZES, TARGET_PLACED_JOBS, _measure_replay_s),
    Figure("leader: KB of memory, machines", MACHINE_SIZES, TARGET_MACHINES, _measure_machines_kb),
    Figure(
        "worker: bytes of a report, tasks",
        TASK_SIZES,
        10,
        lambda n: float(len(pack(build_heartbeat(n)))),
    ),
    Figure("report path: us to decode, tasks", TASK_SIZES, 10, _measure_decode_us),
    Figure(
        "hashing: us a machine, controllers",
        CONTROLLER_SIZES,
        TARGET_CONTROLLERS,
        lambda n: measure_seconds(build_hash_action(n)) * 1000,
    ),
    Figure(
        "directory: KB of memory, jobs",
        JOB_SIZES,
        TARGET_JOBS,
        lambda n: measure_memory_bytes(lambda: build_directory(n)) / BYTES_PER_KB,
    ),
    Figure(
        "shares: KB a read, teams",
        TEAM_SIZES,
        TARGET_TEAMS,
        lambda n: sum(map(len, build_share_rows(n))) / BYTES_PER_KB,
    ),
    Figure(
        "shares: ms to decode a read, teams", TEAM_SIZES, TARGET_TEAMS, _measure_shares_decode_ms
    ),
    Figure("cell map: bytes, cells", CELL_SIZES, TARGET_CELLS, _measure_map_bytes),
    Figure("cell map: ms to check, cells", CELL_SIZES, TARGET_CELLS, _measure_map_check_ms),
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
