"""Measures what many known jobs (10,000 by default) cost a controller: the memory of the ledger's
state, and the processor time of replay and snapshots. Run it from the repository's root:
`python3 tools/limits.py [JOBS]`.
"""

from __future__ import annotations

import argparse
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from typing import TYPE_CHECKING, Any

import msgspec

from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.ledger.snapshot import build_page_records
from flaxtally.protocol import wire

if TYPE_CHECKING:
    from collections.abc import Callable

SNAPSHOT_PAGE_BYTES = 7 * 1024


def build_job_spec(number: int) -> wire.Spec:
    service = number % 3 == 0
    job_class, kind, rank = (
        ("gate", wire.SERVICE, "critical") if service else ("batch", wire.ARRAY, "standard")
    )
    return wire.Spec(
        f"j-{number:06d}",
        job_class,
        f"team-{number % 4}",
        kind,
        rank,
        8,
        2.0,
        0.0 if service else 1.0,
        4.0,
        f"img-{number % 16}",
        1.5,
        None,
        None,
        False,
        service,
        not service,
        0.0 if service else 40.0,
        0.0,
        0.0,
        None,
    )


def build_ledger_records(jobs: int, placed: bool) -> list[list[Any]]:
    records: list[list[Any]] = []
    for number in range(1, jobs + 1):
        records.append(["J", number, 1.8e9, *msgspec.to_builtins(build_job_spec(number))])
        if placed:
            records += [
                ["P", number, task, 1, f"n-{(number * 8 + task) % 340:06d}", "a"]
                for task in range(8)
            ]
    return records


def replay_records(records: list[list[Any]]) -> ClusterState:
    state = ClusterState()
    for number, record in enumerate(records):
        state.replay(record, number // 100 + 1)
    return state


def print_processor_time(text: str, action: Callable[[], object]) -> None:
    started_at = time.process_time()
    action()
    print(f"{text}: {(time.process_time() - started_at) * 1000:.1f} ms")


def main() -> None:
    parser = argparse.ArgumentParser(description="Measure what many known jobs cost a controller.")
    parser.add_argument("jobs", nargs="?", type=int, default=10_000)
    jobs = parser.parse_args().jobs
    for placed, text in ((False, "waiting"), (True, "with 8 placements each")):
        records = build_ledger_records(jobs, placed)
        tracemalloc.start()
        state = replay_records(records)
        print(f"{jobs} jobs {text}: {tracemalloc.get_traced_memory()[0] / 2**20:.1f} MB")
        tracemalloc.stop()
        print_processor_time(
            f"  replay of {len(records)} records",
            lambda records=records: replay_records(records),  # type: ignore[misc]
        )
        print_processor_time(
            "  a snapshot of one page",
            lambda state=state: build_page_records(state, 1, SNAPSHOT_PAGE_BYTES),  # type: ignore[misc]
        )
        print_processor_time("  size of a full snapshot", state.snapshot_bytes)
    final_state = ClusterState()
    tracemalloc.start()
    for number in range(1, jobs + 1):
        final_state.replay(["F", number, f"j-{number:06d}", wire.DONE], number // 1000 + 1)
    print(f"{jobs} final jobs: {tracemalloc.get_traced_memory()[0] / 2**20:.1f} MB")
    tracemalloc.stop()


if __name__ == "__main__":
    main()
