"""One digest a simulated day, over all bytes between hosts and the moments at which they are sent:
`python3 tools/wire_digest.py [--kinds plain,lending,...] [--jobs N] [--expect FILE] SEED...`

Where a change must leave behaviour as it is, equal digests before and after show that nothing on
the wire changed, to the byte and the moment, on the days that were played. Kinds of days:

- plain: three controllers; crashes, an outage, a frozen controller, lost writes, a cancellation;
- lending: two teams on too few machines, loans that are recalled, crashes meanwhile;
- cells: two cells with jobs in both, crashes, a cell that is cut off, one that is closed;
- upgrade: from the version in production, one controller after the other, with changes of leader
  between, and lower limits of the state service at the end (needs that version's commit);
- five: the plain day with five controllers.

It prints `KIND SEED DIGEST COUNT` a day (COUNT: sends and ends of streams), by kind, then by seed
as given. `--expect FILE` compares with such lines, names each day that differs and then exits with
1; without seeds it plays the file's days. Each day is played in a process of its own.
"""

from __future__ import annotations

import argparse
import contextlib
import hashlib
import logging
import multiprocessing
import random
import shutil
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

# What is named in `tests/`: all of it stands between here and "What happens on a day".

import pytest

from tests import production, scenarios
from tests.simulated_cells import SOUTH, SimulatedCells, cell_map
from tests.simulated_cluster import SimulatedCluster, batch, gang, spec
from tests.simulated_lending import FIVE_NODES, SimulatedLendingCluster, gpu_array
from tests.simulated_upgrade import UpgradingCluster
from tests.simulation import SimStream, Simulation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

LATE_RECALL_S = 200.0
"""The lending audit's bound: recalls wait while nobody leads."""
LENDER, BORROWER = "crew", "others"


class Recorder:
    """Counts and hashes what the simulated network carries."""

    def __init__(self) -> None:
        self.hash = hashlib.blake2b(digest_size=12)
        self.count = 0

    @contextlib.contextmanager
    def recording(self) -> Iterator[None]:
        transmit = Simulation.transmit

        def recorded(simulation: Simulation, stream: SimStream, data: bytes | None) -> None:
            self._record(simulation.time, stream.host.ip, stream.far, data)
            transmit(simulation, stream, data)

        Simulation.transmit = recorded  # type: ignore[assignment,method-assign]
        try:
            yield
        finally:
            Simulation.transmit = transmit  # type: ignore[method-assign]

    def _record(self, moment: float, sender: str, receiver: str, data: bytes | None) -> None:
        self.count += 1
        self.hash.update(f"{moment:.9f} {sender} {receiver} ".encode())
        self.hash.update(b"closed" if data is None else data)


class Day:
    """A simulated deployment, and chance for what happens to it."""

    def __init__(self, seed: int, cluster: SimulatedCluster) -> None:
        self.random = random.Random(seed)
        self.cluster = cluster
        self.controllers = cluster.names
        self._jobs = 0

    def run(self, seconds: float) -> None:
        self.cluster.run(seconds)

    # What users do

    def next_job(self) -> str:
        self._jobs += 1
        return f"j-{self._jobs:06d}"

    def any_number(self) -> int:
        """A controller, as users count them."""
        return self.random.randrange(len(self.controllers))

    def service(self, job: str, tasks: int, number: int) -> None:
        self.cluster.submit(spec(job, tasks=tasks), node=number)

    def array(self, job: str, tasks: int, length: float, number: int) -> None:
        self.cluster.submit(batch(job, tasks), run_time=length, node=number)

    def gang(self, job: str, tasks: int, length: float, number: int) -> None:
        self.cluster.submit(gang(job, tasks), run_time=length, node=number)

    def gpu_array(self, job: str, tasks: int, team: str, length: float) -> None:
        number = self.any_number()
        self.cluster.submit(gpu_array(job, tasks, team), run_time=length, node=number)

    def cancel(self, job: str) -> None:
        self.cluster.cancel(job, node=self.any_number())

    # Troubles

    def any_controller(self) -> str:
        return self.random.choice(self.controllers)

    def crash(self, controller: str, back_after: float = 4.0) -> None:
        self.cluster.crash(controller, back_after=back_after)

    def change_leader(self) -> None:
        scenarios.change_leader(self.cluster)

    def start_state_outage(self, seconds: float) -> None:
        self.cluster.start_state_outage(seconds)

    def freeze(self, controller: str, seconds: float) -> None:
        self.cluster.freeze(controller, seconds)

    def lose_writes(self, share: float, seconds: float) -> None:
        self.cluster.lose_writes(share, seconds)


class CellDay(Day):
    def __init__(self, seed: int) -> None:
        self.cells = SimulatedCells(seed)
        super().__init__(seed, self.cells)

    def both_cells_have_leaders(self) -> None:
        assert self.cells.run_until(self.cells.both_cells_have_leaders, 15.0), (
            "a cell has no leader"
        )

    def cut_off_south(self, seconds: float) -> None:
        self.cells.cut_off(self.cells.list_cell_controllers(SOUTH), seconds)

    def close_north(self) -> None:
        self.cells.put_map(cell_map(2, north=False))


class UpgradeDay(Day):
    def __init__(self, seed: int) -> None:
        self.upgraded = UpgradingCluster(seed)
        super().__init__(seed, self.upgraded)

    def upgrade(self, controller: str) -> None:
        self.upgraded.upgrade(controller)

    def lower_limits(self) -> None:
        self.upgraded.lower_limits()


def plain_day(seed: int) -> Day:
    return Day(seed, SimulatedCluster(seed))


def five_day(seed: int) -> Day:
    return Day(seed, SimulatedCluster(seed, nodes=FIVE_NODES))


def lending_day(seed: int) -> Day:
    return Day(seed, SimulatedLendingCluster(seed, max_reclaim_s=LATE_RECALL_S))


@contextlib.contextmanager
def production_version() -> Iterator[None]:
    """Unpacks the sources in production once, for all processes that are forked meanwhile."""
    try:
        folder = production.sources()
    except pytest.skip.Exception as lacking:
        sys.exit(f"upgrade days can't be played: {lacking}")
    try:
        yield
    finally:
        shutil.rmtree(folder)


# What happens on a day: nothing of `tests/` is named from here on


def arrivals(day: Day) -> None:
    """One to three jobs of all kinds."""
    for _ in range(day.random.randrange(1, 4)):
        job, choice = day.next_job(), day.random.random()
        number, length = day.any_number(), day.random.uniform(2, 20)
        if choice < 0.4:
            day.service(job, day.random.randrange(1, 4), number)
        elif choice < 0.8:
            day.array(job, day.random.randrange(1, 8), length, number)
        else:
            day.gang(job, 3, length, number)


def play_mixed(day: Day) -> None:
    for turn in range(12):
        arrivals(day)
        if turn % 3 == 1:
            day.crash(day.any_controller())
        if turn == 4:
            day.start_state_outage(6.0)
        if turn == 6:
            day.freeze(day.any_controller(), 8.0)
        if turn == 8:
            day.lose_writes(0.5, 6.0)
        if turn == 9:
            day.cancel("j-000002")
        day.run(day.random.uniform(4, 10))


def play_lending(day: Day) -> None:
    """The borrower wants all there is; the lender comes back again and again."""
    day.gpu_array(day.next_job(), 16, BORROWER, 300.0)
    day.run(day.random.uniform(25, 30))
    for turn in range(8):
        length = day.random.uniform(6, 20)
        day.gpu_array(day.next_job(), day.random.randrange(2, 7), LENDER, length)
        if turn % 3 == 1:
            day.run(day.random.uniform(0.5, 6))
            day.change_leader()
        if turn % 3 == 2:
            day.crash(day.any_controller())
        if turn == 4:
            day.gpu_array(day.next_job(), day.random.randrange(2, 7), BORROWER, length)
        if turn == 6:
            day.cancel("j-000002")
            day.lose_writes(0.5, 6.0)
        day.run(day.random.uniform(6, 14))


def play_cells(day: CellDay) -> None:
    day.both_cells_have_leaders()
    for turn in range(10):
        arrivals(day)
        if turn % 3 == 1:
            day.crash(day.any_controller())
        if turn == 3:
            day.change_leader()
        if turn == 5:
            day.cut_off_south(8.0)
        if turn == 7:
            day.cancel("j-000002")
        if turn == 8:
            day.close_north()
        day.run(day.random.uniform(4, 8))


def play_upgrade(day: UpgradeDay) -> None:
    waiting = day.random.sample(day.controllers, len(day.controllers))
    for turn in range(12):
        arrivals(day)
        if turn % 3 == 1 and waiting:
            day.upgrade(waiting.pop())
        if turn % 3 == 2:
            day.change_leader()
        if turn == 6:
            day.cancel("j-000002")
        if turn == 10:
            day.lower_limits()
        day.run(day.random.uniform(4, 10))


KINDS: dict[str, tuple[Callable[[int], Day], Callable[..., None]]] = {
    "plain": (plain_day, play_mixed),
    "lending": (lending_day, play_lending),
    "cells": (CellDay, play_cells),
    "upgrade": (UpgradeDay, play_upgrade),
    "five": (five_day, play_mixed),
}
"""How each kind of day begins, and how it goes on."""


# Playing and comparing


class Named(NamedTuple):
    """Which day."""

    kind: str
    seed: int


class Played(NamedTuple):
    """What was sent on a day."""

    digest: str
    sends: int


def play(day: Named) -> Played:
    logging.disable(logging.CRITICAL)
    begin, go_on = KINDS[day.kind]
    recorder = Recorder()
    try:
        with recorder.recording():
            go_on(begin(day.seed))
    except Exception as error:
        error.add_note(f"on the day: {day.kind} {day.seed}")
        raise
    return Played(recorder.hash.hexdigest(), recorder.count)


def play_all(days: list[Named], jobs: int) -> Iterator[tuple[Named, Played]]:
    """In order, as they are done; each in a new process, so that none depends on one before."""
    forking = multiprocessing.get_context("fork")
    with contextlib.ExitStack() as stack:
        if any(day.kind == "upgrade" for day in days):
            stack.enter_context(production_version())
        pool = stack.enter_context(forking.Pool(jobs, maxtasksperchild=1))
        yield from zip(days, pool.imap(play, days, chunksize=1), strict=True)


def read(path: Path) -> dict[Named, Played]:
    """The days of a file that this tool wrote."""
    days = {}
    for line in path.read_text().splitlines():
        kind, seed, digest, count = line.split()
        days[Named(kind, int(seed))] = Played(digest, int(count))
    return days


def difference(day: Named, expected: Played | None, played: Played) -> str | None:
    name = f"{day.kind} {day.seed}"
    if expected is None:
        return f"{name} is not among the expected days"
    if expected != played:
        return f"{name} differs: expected {expected.digest} {expected.sends}"
    return None


def kinds_of(text: str) -> list[str]:
    kinds = text.split(",")
    for kind in kinds:
        if kind not in KINDS:
            raise argparse.ArgumentTypeError(f"{kind!r} is none of {', '.join(KINDS)}")
    return kinds


def arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="One digest a simulated day, over all bytes sent.")
    parser.add_argument("seeds", metavar="SEED", type=int, nargs="*")
    parser.add_argument("--kinds", type=kinds_of, default=list(KINDS), help="all by default")
    parser.add_argument("--jobs", type=int, default=4, help="processes at once")
    parser.add_argument("--expect", type=Path, metavar="FILE", help="lines to compare with")
    return parser.parse_args()


def main() -> None:
    given = arguments()
    expected = read(given.expect) if given.expect else {}
    days = [Named(kind, seed) for kind in given.kinds for seed in given.seeds]
    if not given.seeds:
        days = [day for day in expected if day.kind in given.kinds]
    if not days:
        sys.exit("no days to play: give seeds, or a file of expected days")
    differences = []
    for day, played in play_all(days, given.jobs):
        print(*day, *played, flush=True)
        if given.expect:
            differences.append(difference(day, expected.get(day), played))
    found = [text for text in differences if text is not None]
    if found:
        sys.exit("\n".join(found))


if __name__ == "__main__":
    main()
