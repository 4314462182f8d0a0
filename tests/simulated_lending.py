"""Two teams and more on a fleet that is too small for both, with lending, and an audit of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from flaxtally.emulator.loan_audit import LoanAudit
from flaxtally.feature_table import Table
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.lending.feature import LendingFeature
from flaxtally.settings import Team

from .simulated_cluster import NODES, SimulatedCluster, batch

if TYPE_CHECKING:
    from collections.abc import Callable

    from flaxtally.ledger.reclaims import Reclaim
    from flaxtally.protocol import wire

FEATURE = LendingFeature.from_table(Table("features.toml", "lending", {}))
CREW = Team("crew", 0.0, 0.0, 8.0, 64.0)
OTHERS = Team("others", 0.0, 0.0, 8.0, 64.0)
FIVE = tuple(f"hearth-{number}" for number in range(5))
RECALL_S = 12.5
"""The policy's, for the world's lease of 10 s."""


def work(ref: str, tasks: int, team: str = "crew", **changes: Any) -> wire.Spec:
    """An array of GPU tasks on ordinary machines that saves every 5 s."""
    usual: dict[str, Any] = {
        "team": team,
        "checkpoint_interval_s": 5.0,
        "checkpoint_save_s": 1.0,
        "spot": False,
    }
    return msgspec.structs.replace(batch(ref, tasks), **(usual | changes))


class SimulatedLendingCluster(SimulatedCluster):
    """Two GPU machines of 8 GPUs each; each of two teams is guaranteed 8."""

    def __init__(
        self,
        seed: int = 1,
        teams: tuple[Team, ...] = (CREW, OTHERS),
        nodes: tuple[str, ...] = NODES,
        capacity: int = 1,
        most_s: float = RECALL_S,
        without: tuple[str, ...] = (),
    ) -> None:
        """`most_s`: the audit's bound; `without`: controllers without the feature."""
        self.without = set(without)
        self.halted: list[tuple[float, str, int]] = []
        """Tasks that were told to stop, and did."""
        self.deadlines: dict[int, float] = {}
        """Of each recall that was seen in the ledger."""
        self.seen: dict[int, Reclaim] = {}
        super().__init__(seed, team=teams[0], guests=teams[1:], nodes=nodes, capacity=capacity)
        self.audit = LoanAudit(self.rules, self.teams, most_s)

    def lending_of(self, node: str) -> LendingFeature | None:
        return None if node in self.without else FEATURE

    def _start_worker(self, machine: wire.Listed) -> None:
        super()._start_worker(machine)
        self.workers[machine.machine].saves = True

    def _watch(self, event: str, machine: str, task: str, attempt: int) -> None:
        if event != "start":
            self.audit.record_upcoming_end(task, self.sim.time)
        super()._watch(event, machine, task, attempt)
        if event == "start":
            self.audit.record_start(task, machine, self.sim.time)
        elif event == "end halted":
            self.halted.append((self.sim.time, task, attempt))
            self.audit.record_stop(task, machine, self.sim.time)

    def _look(self) -> None:
        super()._look()
        up = [w.machine for w in self.workers.values() if not w.hung and w.notice is None]
        self.audit.check_deadlines(self.sim.time, up)
        for recall in self.recalls().values():
            # Whoever leads: a deadline stands.
            self.seen[recall.number] = recall
            assert self.deadlines.setdefault(recall.number, recall.deadline) == recall.deadline
        assert not self.audit.breaches, (self.audit.breaches, self.trace[-30:])

    # What the ledger says

    def book(self) -> ClusterState:
        """The ledger as a leader that begins now would read it."""
        book = ClusterState()
        for key, (value, _, _) in sorted(self.state.rows.items()):
            if key.startswith("p/"):
                for record in value["r"]:
                    book.replay(record, int(key[2:]))
        return book

    def recalls(self) -> dict[int, Reclaim]:
        return self.book().loan_state.reclaims

    def stops_of(self, ref: str) -> int:
        return sum(task.startswith(ref + "/") for _, task, _ in self.halted)


def borrowed_world(
    seed: int = 1, run_time: float = 300.0, **world_args: Any
) -> SimulatedLendingCluster:
    """The team `others` uses all 16 GPUs, 8 of them borrowed from `crew`."""
    world = SimulatedLendingCluster(seed, **world_args)
    world.submit(work("j-000100", 16, "others"), run_time=run_time)
    assert world.until(lambda: world.count("j-000100") == 16, 60), world.trace[-30:]
    assert world.until(lambda: world.book().format >= 3, 30)
    # The pools' refusals and the machines' images are known by now.
    world.run(5.0)
    return world


def until(world: SimulatedCluster, condition: Callable[[], bool], most: float) -> None:
    assert world.until(condition, most), world.trace[-40:]
