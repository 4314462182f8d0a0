"""Prints one digest per simulated run, over all bytes between hosts and the times of sending:
`python3 tools/wire_digest.py [--kinds plain,lending,...] [--jobs N] [--expect FILE] SEED...`

If a change must not alter behaviour, equal digests before and after show that nothing on the wire
changed in the scenarios that were run, neither a byte nor a time. Kinds of scenarios:

- plain: three controllers; crashes, an outage, a frozen controller, lost writes, a cancellation;
- lending: two teams on too few machines; loans are reclaimed while controllers crash;
- cells: two cells with jobs in both; crashes, a cell that is cut off, one that is closed;
- upgrade: from the version in production, one controller after the other, with leader changes in
  between, and lower limits of the state service at the end (needs the commit in production);
- five: the plain scenario with five controllers.

It prints `KIND SEED DIGEST COUNT` per run (COUNT: sends and ends of streams), ordered by kind, then
by seed as given. `--expect FILE` compares with such lines, names each run that differs and then
exits with 1; without seeds it runs the scenarios of the file. Each run has a process of its own.
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

# Names of `tests/` are used only between here and "The course of each scenario".

import pytest

from tests import production, scenarios
from tests.simulated_cells import SOUTH, SimulatedCells, cell_map
from tests.simulated_cluster import SimulatedCluster, batch, gang, spec
from tests.simulated_lending import FIVE_NODES, SimulatedLendingCluster, gpu_array
from tests.simulated_upgrade import UpgradingCluster
from tests.simulation import SimStream, Simulation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_RECLAIM_S = 200.0
"""Longest reclaim that the lending checks accept: reclaims wait while there is no leader."""
LENDER, BORROWER = "crew", "others"


class Recorder:
    """Counts and hashes everything that the simulated network transmits."""

    def __init__(self) -> None:
        self.hash = hashlib.blake2b(digest_size=12)
        self.count = 0

    @contextlib.contextmanager
    def recording(self) -> Iterator[None]:
        transmit = Simulation.transmit

        def transmit_recorded(
            simulation: Simulation, stream: SimStream, data: bytes | None
        ) -> None:
            self._record(simulation.time, stream.host.ip, stream.far, data)
            transmit(simulation, stream, data)

        Simulation.transmit = transmit_recorded  # type: ignore[assignment,method-assign]
        try:
            yield
        finally:
            Simulation.transmit = transmit  # type: ignore[method-assign]

    def _record(self, time_s: float, sender: str, receiver: str, data: bytes | None) -> None:
        self.count += 1
        self.hash.update(f"{time_s:.9f} {sender} {receiver} ".encode())
        self.hash.update(b"closed" if data is None else data)


class Scenario:
    """A simulated deployment, and the random generator that decides what happens to it."""

    def __init__(self, seed: int, cluster: SimulatedCluster) -> None:
        self.random = random.Random(seed)
        self.cluster = cluster
        self.controllers = cluster.names
        self._jobs = 0

    def run(self, seconds: float) -> None:
        self.cluster.run(seconds)

    # What users do

    def next_job_name(self) -> str:
        self._jobs += 1
        return f"j-{self._jobs:06d}"

    def pick_controller_number(self) -> int:
        """Pick the number of a controller, as users choose one."""
        return self.random.randrange(len(self.controllers))

    def submit_service(self, job: str, tasks: int, number: int) -> None:
        self.cluster.submit(spec(job, tasks=tasks), node=number)

    def submit_array(self, job: str, tasks: int, run_time: float, number: int) -> None:
        self.cluster.submit(batch(job, tasks), run_time=run_time, node=number)

    def submit_gang(self, job: str, tasks: int, run_time: float, number: int) -> None:
        self.cluster.submit(gang(job, tasks), run_time=run_time, node=number)

    def submit_gpu_array(self, job: str, tasks: int, team: str, run_time: float) -> None:
        number = self.pick_controller_number()
        self.cluster.submit(gpu_array(job, tasks, team), run_time=run_time, node=number)

    def cancel(self, job: str) -> None:
        self.cluster.cancel(job, node=self.pick_controller_number())

    # Faults

    def pick_controller(self) -> str:
        return self.random.choice(self.controllers)

    def crash(self, controller: str, restart_after_s: float = 4.0) -> None:
        self.cluster.crash(controller, restart_after_s=restart_after_s)

    def change_leader(self) -> None:
        scenarios.change_leader(self.cluster)

    def start_state_outage(self, seconds: float) -> None:
        self.cluster.start_state_outage(seconds)

    def freeze(self, controller: str, seconds: float) -> None:
        self.cluster.freeze(controller, seconds)

    def lose_writes(self, fraction: float, seconds: float) -> None:
        self.cluster.lose_writes(fraction, seconds)


class CellScenario(Scenario):
    def __init__(self, seed: int) -> None:
        self.cells = SimulatedCells(seed)
        super().__init__(seed, self.cells)

    def wait_for_both_leaders(self) -> None:
        assert self.cells.run_until(self.cells.both_cells_have_leaders, 15.0), (
            "a cell has no leader"
        )

    def cut_off_south(self, seconds: float) -> None:
        self.cells.cut_off(self.cells.list_cell_controllers(SOUTH), seconds)

    def close_north(self) -> None:
        self.cells.put_map(cell_map(2, north=False))


class UpgradeScenario(Scenario):
    def __init__(self, seed: int) -> None:
        self.upgraded = UpgradingCluster(seed)
        super().__init__(seed, self.upgraded)

    def upgrade(self, controller: str) -> None:
        self.upgraded.upgrade(controller)

    def lower_limits(self) -> None:
        self.upgraded.lower_limits()


def build_plain_scenario(seed: int) -> Scenario:
    return Scenario(seed, SimulatedCluster(seed))


def build_five_scenario(seed: int) -> Scenario:
    return Scenario(seed, SimulatedCluster(seed, nodes=FIVE_NODES))


def build_lending_scenario(seed: int) -> Scenario:
    return Scenario(seed, SimulatedLendingCluster(seed, max_shortfall_s=MAX_RECLAIM_S))


@contextlib.contextmanager
def unpacked_production_version() -> Iterator[None]:
    """Unpack the sources in production once, for all processes forked inside the `with` block."""
    try:
        folder = production.sources()
    except pytest.skip.Exception as skipped:
        sys.exit(f"upgrade scenarios can't be run: {skipped}")
    try:
        yield
    finally:
        shutil.rmtree(folder)


# The course of each scenario: no names of `tests/` are used from here on


def submit_random_jobs(scenario: Scenario) -> None:
    """Submit one to three jobs, each a service, an array or a gang."""
    for _ in range(scenario.random.randrange(1, 4)):
        job, choice = scenario.next_job_name(), scenario.random.random()
        number, run_time = scenario.pick_controller_number(), scenario.random.uniform(2, 20)
        if choice < 0.4:
            scenario.submit_service(job, scenario.random.randrange(1, 4), number)
        elif choice < 0.8:
            scenario.submit_array(job, scenario.random.randrange(1, 8), run_time, number)
        else:
            scenario.submit_gang(job, 3, run_time, number)


def run_mixed(scenario: Scenario) -> None:
    for step in range(12):
        submit_random_jobs(scenario)
        if step % 3 == 1:
            scenario.crash(scenario.pick_controller())
        if step == 4:
            scenario.start_state_outage(6.0)
        if step == 6:
            scenario.freeze(scenario.pick_controller(), 8.0)
        if step == 8:
            scenario.lose_writes(0.5, 6.0)
        if step == 9:
            scenario.cancel("j-000002")
        scenario.run(scenario.random.uniform(4, 10))


def run_lending(scenario: Scenario) -> None:
    """Let the borrower request all GPUs while the lender repeatedly submits jobs of its own."""
    scenario.submit_gpu_array(scenario.next_job_name(), 16, BORROWER, 300.0)
    scenario.run(scenario.random.uniform(25, 30))
    for step in range(8):
        run_time = scenario.random.uniform(6, 20)
        scenario.submit_gpu_array(
            scenario.next_job_name(), scenario.random.randrange(2, 7), LENDER, run_time
        )
        if step % 3 == 1:
            scenario.run(scenario.random.uniform(0.5, 6))
            scenario.change_leader()
        if step % 3 == 2:
            scenario.crash(scenario.pick_controller())
        if step == 4:
            scenario.submit_gpu_array(
                scenario.next_job_name(), scenario.random.randrange(2, 7), BORROWER, run_time
            )
        if step == 6:
            scenario.cancel("j-000002")
            scenario.lose_writes(0.5, 6.0)
        scenario.run(scenario.random.uniform(6, 14))


def run_cells(scenario: CellScenario) -> None:
    scenario.wait_for_both_leaders()
    for step in range(10):
        submit_random_jobs(scenario)
        if step % 3 == 1:
            scenario.crash(scenario.pick_controller())
        if step == 3:
            scenario.change_leader()
        if step == 5:
            scenario.cut_off_south(8.0)
        if step == 7:
            scenario.cancel("j-000002")
        if step == 8:
            scenario.close_north()
        scenario.run(scenario.random.uniform(4, 8))


def run_upgrade(scenario: UpgradeScenario) -> None:
    waiting = scenario.random.sample(scenario.controllers, len(scenario.controllers))
    for step in range(12):
        submit_random_jobs(scenario)
        if step % 3 == 1 and waiting:
            scenario.upgrade(waiting.pop())
        if step % 3 == 2:
            scenario.change_leader()
        if step == 6:
            scenario.cancel("j-000002")
        if step == 10:
            scenario.lower_limits()
        scenario.run(scenario.random.uniform(4, 10))


KINDS: dict[str, tuple[Callable[[int], Scenario], Callable[..., None]]] = {
    "plain": (build_plain_scenario, run_mixed),
    "lending": (build_lending_scenario, run_lending),
    "cells": (CellScenario, run_cells),
    "upgrade": (UpgradeScenario, run_upgrade),
    "five": (build_five_scenario, run_mixed),
}
"""For each kind of scenario, the functions that build and run it."""


# Running and comparing


class ScenarioId(NamedTuple):
    """The kind and the random seed of a scenario."""

    kind: str
    seed: int


class RunResult(NamedTuple):
    """Digest and number of the sends of a run."""

    digest: str
    sends: int


def run_scenario(scenario_id: ScenarioId) -> RunResult:
    logging.disable(logging.CRITICAL)
    build, run = KINDS[scenario_id.kind]
    recorder = Recorder()
    try:
        with recorder.recording():
            run(build(scenario_id.seed))
    except Exception as error:
        error.add_note(f"in scenario: {scenario_id.kind} {scenario_id.seed}")
        raise
    return RunResult(recorder.hash.hexdigest(), recorder.count)


def run_scenarios(
    scenario_ids: list[ScenarioId], jobs: int
) -> Iterator[tuple[ScenarioId, RunResult]]:
    """Yield results in the given order; each run has a new process, so none depends on another."""
    fork_context = multiprocessing.get_context("fork")
    with contextlib.ExitStack() as stack:
        if any(scenario_id.kind == "upgrade" for scenario_id in scenario_ids):
            stack.enter_context(unpacked_production_version())
        pool = stack.enter_context(fork_context.Pool(jobs, maxtasksperchild=1))
        yield from zip(
            scenario_ids, pool.imap(run_scenario, scenario_ids, chunksize=1), strict=True
        )


def read_results(path: Path) -> dict[ScenarioId, RunResult]:
    """Read the results in a file that this tool wrote."""
    results = {}
    for line in path.read_text().splitlines():
        kind, seed, digest, count = line.split()
        results[ScenarioId(kind, int(seed))] = RunResult(digest, int(count))
    return results


def describe_difference(
    scenario_id: ScenarioId, expected: RunResult | None, actual: RunResult
) -> str | None:
    name = f"{scenario_id.kind} {scenario_id.seed}"
    if expected is None:
        return f"{name} is not among the expected scenarios"
    if expected != actual:
        return f"{name} differs: expected {expected.digest} {expected.sends}"
    return None


def parse_kinds(text: str) -> list[str]:
    kinds = text.split(",")
    for kind in kinds:
        if kind not in KINDS:
            raise argparse.ArgumentTypeError(f"{kind!r} is none of {', '.join(KINDS)}")
    return kinds


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description="Print one digest per simulated run, over all bytes sent."
    )
    parser.add_argument("seeds", metavar="SEED", type=int, nargs="*")
    parser.add_argument("--kinds", type=parse_kinds, default=list(KINDS), help="all by default")
    parser.add_argument("--jobs", type=int, default=4, help="processes at once")
    parser.add_argument("--expect", type=Path, metavar="FILE", help="lines to compare with")
    return parser.parse_args()


def main() -> None:
    options = parse_arguments()
    expected = read_results(options.expect) if options.expect else {}
    scenario_ids = [ScenarioId(kind, seed) for kind in options.kinds for seed in options.seeds]
    if not options.seeds:
        scenario_ids = [
            scenario_id for scenario_id in expected if scenario_id.kind in options.kinds
        ]
    if not scenario_ids:
        sys.exit("no scenarios to run: give seeds, or a file of expected results")
    differences = []
    for scenario_id, result in run_scenarios(scenario_ids, options.jobs):
        print(*scenario_id, *result, flush=True)
        if options.expect:
            differences.append(describe_difference(scenario_id, expected.get(scenario_id), result))
    messages = [text for text in differences if text is not None]
    if messages:
        sys.exit("\n".join(messages))


if __name__ == "__main__":
    main()
