"""A simulated deployment with lending: teams on a fleet that is too small for them.

An audit checks at every event that no team waits too long for capacity that others borrow.
"""

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

LENDING_FEATURE = LendingFeature.from_table(Table("features.toml", "lending", {}))
CREW_TEAM = Team("crew", 0.0, 0.0, 8.0, 64.0)
OTHERS_TEAM = Team("others", 0.0, 0.0, 8.0, 64.0)
FIVE_NODES = tuple(f"hearth-{number}" for number in range(5))
RECLAIM_DEADLINE_S = 12.5
"""Seconds from a reclaim to its deadline under the default policy, for a worker lease of 10 s."""


def gpu_array(ref: str, tasks: int, team: str = "crew", **changes: Any) -> wire.Spec:
    """Returns an array of GPU tasks on on-demand machines that saves a checkpoint every 5 s."""
    defaults: dict[str, Any] = {
        "team": team,
        "checkpoint_interval_s": 5.0,
        "checkpoint_save_s": 1.0,
        "spot": False,
    }
    return msgspec.structs.replace(batch(ref, tasks), **(defaults | changes))


class SimulatedLendingCluster(SimulatedCluster):
    """Two GPU machines of 8 GPUs each; each of two teams is guaranteed 8."""

    def __init__(
        self,
        seed: int = 1,
        teams: tuple[Team, ...] = (CREW_TEAM, OTHERS_TEAM),
        nodes: tuple[str, ...] = NODES,
        capacity: int = 1,
        max_shortfall_s: float = RECLAIM_DEADLINE_S,
        nodes_without_lending: tuple[str, ...] = (),
    ) -> None:
        """Starts the controllers; those in `nodes_without_lending` lack the feature.

        `max_shortfall_s`: how long the audit lets a team wait for capacity that others borrow.
        """
        self.nodes_without_lending = set(nodes_without_lending)
        self.stopped_tasks: list[tuple[float, str, int]] = []
        """Tasks that stopped on command: time, task and attempt."""
        self.deadlines: dict[int, float] = {}
        """Deadline of each reclaim that was in the ledger at a check, by its number."""
        self.seen_reclaims: dict[int, Reclaim] = {}
        """The latest state of each reclaim that was in the ledger at a check, by its number."""
        super().__init__(seed, team=teams[0], other_teams=teams[1:], nodes=nodes, capacity=capacity)
        self.audit = LoanAudit(self.rules, self.teams, max_shortfall_s)

    def build_lending_feature(self, node: str) -> LendingFeature | None:
        return None if node in self.nodes_without_lending else LENDING_FEATURE

    def _start_worker(self, machine: wire.ListedMachine) -> None:
        super()._start_worker(machine)
        self.workers[machine.machine].saves_checkpoints = True

    def _on_task_event(self, event: str, machine: str, task: str, attempt: int) -> None:
        if event != "start":
            self.audit.record_upcoming_end(task, self.sim.time)
        super()._on_task_event(event, machine, task, attempt)
        if event == "start":
            self.audit.record_start(task, machine, self.sim.time)
        elif event == "end halted":
            self.stopped_tasks.append((self.sim.time, task, attempt))
            self.audit.record_stop(task, machine, self.sim.time)

    def _check_rules(self) -> None:
        super()._check_rules()
        healthy_machines = [
            w.machine for w in self.workers.values() if not w.hung and w.preemption_notice_s is None
        ]
        self.audit.check_deadlines(self.sim.time, healthy_machines)
        for reclaim in self.read_reclaims().values():
            # A change of leader must not change a deadline.
            self.seen_reclaims[reclaim.number] = reclaim
            assert self.deadlines.setdefault(reclaim.number, reclaim.deadline) == reclaim.deadline
        assert not self.audit.breaches, (self.audit.breaches, self.trace[-30:])

    # Contents of the ledger

    def read_ledger(self) -> ClusterState:
        """Returns the cluster state that a new leader would replay from the ledger now."""
        state = ClusterState()
        for key, (value, _, _) in sorted(self.state.rows.items()):
            if key.startswith("p/"):
                for record in value["r"]:
                    state.replay(record, int(key[2:]))
        return state

    def read_reclaims(self) -> dict[int, Reclaim]:
        """Returns the reclaims that the ledger holds now, by number."""
        return self.read_ledger().loan_state.reclaims

    def count_stops(self, ref: str) -> int:
        return sum(task.startswith(ref + "/") for _, task, _ in self.stopped_tasks)


def start_cluster_with_loans(
    seed: int = 1, run_time: float = 300.0, **cluster_options: Any
) -> SimulatedLendingCluster:
    """Returns a cluster in which team `others` uses all 16 GPUs, 8 of them borrowed from `crew`."""
    cluster = SimulatedLendingCluster(seed, **cluster_options)
    cluster.submit(gpu_array("j-000100", 16, "others"), run_time=run_time)
    assert cluster.run_until(lambda: cluster.count("j-000100") == 16, 60), cluster.trace[-30:]
    assert cluster.run_until(lambda: cluster.read_ledger().format >= 3, 30)
    # By then the leader knows which pools refuse and which images the machines have.
    cluster.run(5.0)
    return cluster


def run_until(cluster: SimulatedCluster, condition: Callable[[], bool], timeout_s: float) -> None:
    assert cluster.run_until(condition, timeout_s), cluster.trace[-40:]
