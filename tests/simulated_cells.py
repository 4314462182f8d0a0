"""A small simulated deployment divided into two cells, one per zone."""

from __future__ import annotations

from typing import Any

import msgspec

from flaxtally.cells.map import Cell, CellFile, CellMap
from flaxtally.cells.map_watcher import MAP_KEY
from flaxtally.cells.membership import CellSetup
from flaxtally.cells.quota_rebalancer import SHARE_KEY_PREFIX
from flaxtally.cells.shares import Amount, TeamShares, get_team_limit
from flaxtally.ledger.records import JobAccepted, decode_record
from flaxtally.protocol import wire
from flaxtally.settings import Settings, Team

from .simulated_cluster import STATE, SimulatedCluster

NORTH, SOUTH = "north", "south"
CELL_NODES = ("north-0", "south-0", "north-1", "south-1", "north-2", "south-2")
TEAM = Team("crew", 40.0, 200.0, 16.0, 64.0)


def cell_map(version: int = 1, **closed: bool) -> CellMap:
    """The map of the two cells; `north=False` closes that cell."""
    cells = []
    for name, zone in ((NORTH, "a"), (SOUTH, "b")):
        controllers = tuple(node for node in CELL_NODES if node.startswith(name))
        cells.append(Cell(name, (zone,), controllers, closed.get(name, True)))
    return CellMap(version, tuple(cells))


class SimulatedCells(SimulatedCluster):
    """Six controllers, three per cell, on one state service; ledgers and shares are audited."""

    def __init__(self, seed: int = 1, team: Team = TEAM, **more: Any) -> None:
        super().__init__(seed, team=team, nodes=CELL_NODES, **more)
        self.after(0.5, self._audit)

    def build_cell_setup(self, settings: Settings) -> CellSetup:
        return CellSetup(CellFile(cell_map(), None), settings)

    def find_cell_leader(self, cell: str) -> str | None:
        leading = [
            (node.election.term, name)
            for name, node in self.nodes.items()
            if name.startswith(cell) and node.election.is_leader
            if self.sim.hosts[self.ip(name)].alive and node.leader.term.active
        ]
        return max(leading)[1] if leading else None

    def both_cells_have_leaders(self) -> bool:
        return all(self.find_cell_leader(cell) for cell in (NORTH, SOUTH))

    def list_cell_controllers(self, cell: str) -> list[str]:
        return [name for name in CELL_NODES if name.startswith(cell)]

    def cut_off(self, nodes: list[str], for_s: float) -> None:
        """Cuts controllers from state service and the others; their workers still reach them."""
        for node in nodes:
            others = [self.ip(name) for name in self.names if name not in nodes]
            self.cut(self.ip(node), [STATE[0], *others], for_s)

    def put(self, key: str, value: Any) -> None:
        """Writes to the state service, like an operator or a fault."""
        assert self.state.transact(wire.Transaction.build({}, {key: value}, []))[0] == 200

    def put_map(self, newer: CellMap) -> None:
        self.put(MAP_KEY, msgspec.to_builtins(newer))

    def map_versions(self) -> dict[str, int]:
        """The version of the cell map that each running controller has."""
        return {
            name: node.membership.map_watcher.index.version
            for name, node in self.nodes.items()
            if node.membership is not None and self.sim.hosts[self.ip(name)].alive
        }

    def shares(self, team: str = TEAM.name) -> TeamShares:
        value = self.state.rows[SHARE_KEY_PREFIX + team][0]
        return msgspec.convert(value, TeamShares)

    def get_share(self, cell: str) -> Amount:
        return self.shares().get_share(cell)

    def find_cells_with_job(self, ref: str) -> set[str]:
        """The cells whose ledgers have accepted the job."""
        found = set()
        for key, (value, _, _) in self.state.rows.items():
            words = key.split("/")
            if words[0] == "cell" and words[2] == "p":
                for stored in value["r"]:
                    record = decode_record(stored)
                    if isinstance(record, JobAccepted) and record.ref == ref:
                        found.add(words[1])
        return found

    def _audit(self) -> None:
        """Checks that no job is in two ledgers and that no team's shares exceed its limit."""
        self.after(0.5, self._audit)
        for ref in self.specs:
            cells = self.find_cells_with_job(ref)
            if len(cells) > 1:
                self.rules.record_violation("in_two_cells", f"{ref} in {cells}", self.sim.time)
        for key, (value, _, _) in self.state.rows.items():
            team = self.teams.get(key.removeprefix(SHARE_KEY_PREFIX))
            if key.startswith(SHARE_KEY_PREFIX) and team is not None:
                msgspec.convert(value, TeamShares).check(get_team_limit(team))
