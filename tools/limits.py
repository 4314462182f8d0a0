"""What 10,000 known jobs cost a controller: memory of the ledger's content, and processor time of
what the leader does with it. Run from the repository's root: `python3 tools/limits.py [JOBS]`.
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

PAGE_BYTES = 7 * 1024


def spec(number: int) -> wire.Spec:
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


def records(jobs: int, placed: bool) -> list[list[Any]]:
    found: list[list[Any]] = []
    for number in range(1, jobs + 1):
        found.append(["J", number, 1.8e9, *msgspec.to_builtins(spec(number))])
        if placed:
            found += [
                ["P", number, task, 1, f"n-{(number * 8 + task) % 340:06d}", "a"]
                for task in range(8)
            ]
    return found


def fill(found: list[list[Any]]) -> ClusterState:
    book = ClusterState()
    for number, record in enumerate(found):
        book.replay(record, number // 100 + 1)
    return book


def timed(text: str, act: Callable[[], object]) -> None:
    began = time.process_time()
    act()
    print(f"{text}: {(time.process_time() - began) * 1000:.1f} ms")


def main() -> None:
    parser = argparse.ArgumentParser(description="What many known jobs cost a controller.")
    parser.add_argument("jobs", nargs="?", type=int, default=10_000)
    jobs = parser.parse_args().jobs
    for placed, text in ((False, "waiting"), (True, "with 8 placements each")):
        found = records(jobs, placed)
        tracemalloc.start()
        book = fill(found)
        print(f"{jobs} jobs {text}: {tracemalloc.get_traced_memory()[0] / 2**20:.1f} MB")
        tracemalloc.stop()
        timed(f"  replay of {len(found)} records", lambda found=found: fill(found))  # type: ignore[misc]
        timed("  a snapshot of one page", lambda book=book: build_page_records(book, 1, PAGE_BYTES))  # type: ignore[misc]
        timed("  weight of everything", book.snapshot_bytes)
    final = ClusterState()
    tracemalloc.start()
    for number in range(1, jobs + 1):
        final.replay(["F", number, f"j-{number:06d}", wire.DONE], number // 1000 + 1)
    print(f"{jobs} final jobs: {tracemalloc.get_traced_memory()[0] / 2**20:.1f} MB")
    tracemalloc.stop()


if __name__ == "__main__":
    main()
