"""What a controller of a fleet of cells has besides one that stands alone.

`CellSetup` says, before anything is started, what the controller's own cell is: its peers, zones,
share of the rates, and the prefix of its keys. `Membership` wires the parts that speak with other
cells.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from functools import cached_property
from typing import TYPE_CHECKING

from ..api.heartbeat_endpoint import CellRedirect
from ..api.sharding import shard_owner
from ..clients.key_value_store import KeyValueStore
from ..cluster.leader_key import LEADER_KEY
from ..cluster.peer_links import LinkListener, PeerLinks
from ..cluster.peer_liveness import PeerLiveness
from ..runtime.actor import Actor
from .cell_cloud import CellCloud
from .directory import Directory
from .gateway import Gateway
from .map import Cell, CellFile, CellIndex, CellMapError
from .map_watcher import CellMapWatcher
from .messages import STATE, CellState, Kind
from .quota_rebalancer import QuotaRebalancer
from .shares import ZERO, Amount

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..api.leader_requests import LeaderRequests
    from ..clients.cloud import Cloud
    from ..cluster.leader_election import LeaderElection
    from ..leader.leader import Leader
    from ..policy import Policy
    from ..protocol import wire
    from ..runtime.loop import Address, Runtime
    from ..settings import Settings

log = logging.getLogger(__name__)

SHARED_PART = 0.2
"""Of the state service's rates, for the keys that all cells share, where one service has both."""
PASSED_PART = 0.25
"""Of the sockets' number: so many questions may be under way to other cells."""


class CellSetup:
    """A controller's own cell, by the deploy file and its settings."""

    def __init__(self, cells: CellFile, settings: Settings) -> None:
        """Raises `CellMapError` if file and settings contradict each other."""
        self.file, self._settings = cells, settings
        self.index = CellIndex(cells.map)
        cell = self.index.by_controller.get(settings.node)
        if cell is None:
            raise CellMapError(f"controller {settings.node} is in no cell")
        unknown = set(cell.controllers) - set(settings.peers) - {settings.node}
        if unknown:
            raise CellMapError(
                f"controller {min(unknown)} of cell {cell.name} is not in the settings' others"
            )
        strange = set(cell.zones) - set(settings.zones)
        if strange:
            raise CellMapError(f"zone {min(strange)} of cell {cell.name} is not in the settings")
        self.cell: Cell = cell

    @property
    def shared_state(self) -> Address:
        return self.file.state or self._settings.state

    @property
    def key_prefix(self) -> str:
        """Before every key of the cell's own."""
        return f"cell/{self.cell.name}/"

    @cached_property
    def cell_settings(self) -> Settings:
        """The settings as the cell's leader sees them: its peers, its zones, its part of rates."""
        settings, cells = self._settings, len(self.index.cells)
        state_part = (1 - SHARED_PART) / cells if self.file.state is None else 1.0
        return replace(
            settings,
            peers={
                name: peer for name, peer in settings.peers.items() if name in self.cell.controllers
            },
            zones=self.cell.zones,
            state_rps=settings.state_rps * state_part,
            state_limits=replace(
                settings.state_limits, write_rps=settings.state_limits.write_rps * state_part
            ),
            cloud_rps=settings.cloud_rps / cells,
        )

    def cloud(self, runtime: Runtime, policy: Policy) -> Cloud:
        cell_settings = self.cell_settings
        zones = frozenset(self.cell.zones)
        return CellCloud(
            runtime, cell_settings.cloud, cell_settings.cloud_rps, policy.call * 2, zones
        )


class Membership(Actor):
    """Owns map, directory, shares and the links to other cells' controllers."""

    state_frame = STATE
    """The kind of frame by which a cell's leader tells its own followers how it stands."""

    def __init__(
        self, runtime: Runtime, settings: Settings, policy: Policy, setup: CellSetup
    ) -> None:
        super().__init__(runtime)
        self._settings, self._policy, self._setup = settings, policy, setup
        self._store = KeyValueStore(runtime, setup.shared_state, policy.call, policy.first_call)
        self.map_watcher = CellMapWatcher(
            runtime, self._store, settings.node, setup.file.map, policy.probe
        )
        self.directory = Directory(self._store)
        self.quota_rebalancer = QuotaRebalancer(
            runtime,
            self._store,
            setup.cell.name,
            lambda: sorted(self.map_watcher.index.cells),
            settings.teams,
            self._demand,
            policy.probe,
            settings.state_limits.write_rps,
        )
        self._own_store = KeyValueStore(runtime, settings.state, policy.call, policy.first_call)
        """The cell's state service, under keys without the cell's prefix."""
        self._warned = False
        self._leader: Leader | None = None
        self._election: LeaderElection | None = None

    def connect(
        self,
        election: LeaderElection,
        peers: PeerLinks,
        requests: LeaderRequests,
        leader: Leader,
    ) -> None:
        """Creates the gateway, which passes users' requests on to the job's cell."""
        self._leader, self._election = leader, election
        settings = self._settings
        others = {
            name: address
            for name, (_, address) in settings.peers.items()
            if name not in self._setup.cell.controllers
        }
        self.links = PeerLinks(
            self.runtime,
            PeerLiveness(self.runtime, settings.node, others, self._policy.peer_silence * 2),
            others,
            LinkListener(on_frame=lambda sender, frame: self.gateway.receive(sender, frame)),
            batch_delay_s=self._policy.gather,
        )
        peers.accept_for(self.links)
        self.gateway = Gateway(
            self.runtime,
            self._policy,
            settings.node,
            self._setup.cell.name,
            lambda: self.map_watcher.index,
            election,
            self.links,
            self.directory,
            requests.forward_to_leader,
            self._state,
            peers.broadcast,
            int(settings.max_sockets * PASSED_PART),
        )

    def join_cell(self, start: Callable[[], None]) -> None:
        """Has the controller take part in its cell once that is sure to be the only one there."""
        self.map_watcher.on_agreed = lambda: self._look_for_undivided(start)

    def _look_for_undivided(self, start: Callable[[], None]) -> None:
        """A leader of the whole fleet at the same state service would command our machines too."""

        def told(known: bool, row: wire.Row | None) -> None:
            if known and row is None:
                start()
                return
            if known and not self._warned:
                self._warned = True
                log.error(
                    "event=undivided_fleet node=%s state=%s: this fleet has been led as a whole; "
                    "see docs/cells.md",
                    self._settings.node,
                    "{}:{}".format(*self._settings.state),
                )
            self.later(self._policy.call, self._look_for_undivided, start)

        self._own_store.get(LEADER_KEY, told)

    def on_pause(self, lost: float) -> None:
        """The process stood still: other cells were not silent meanwhile."""
        self.links.on_pause(lost)

    def redirect_to_cell(self, heartbeat: wire.Heartbeat) -> CellRedirect | None:
        """Where a machine of another cell reports; None for a machine of this cell."""
        index: CellIndex = self.map_watcher.index
        home = index.by_zone.get(heartbeat.zone)
        if home is None or home.name == self._setup.cell.name:
            return None
        known = self.gateway.cells.able(home) or list(home.controllers)
        return CellRedirect(shard_owner(heartbeat.machine, heartbeat.zone, known, {}))

    def _state(self) -> CellState:
        election, leader = self._election, self._leader
        assert election is not None
        assert leader is not None
        cell = self._setup.cell.name
        if not leader.term.active:
            return CellState(cell, election.is_available)
        machines = max(1, len(leader.term.fleet.machines))
        waiting = sum(job.pending_count for job in leader.duties.jobs.queue.pending_jobs())
        kinds = [
            Kind(kind.name, kind.cores, kind.gpus, kind.memory_gb)
            for kind in leader.term.machine_types.values()
        ]
        return CellState(cell, election.is_available, waiting / machines, kinds)

    def _demand(self) -> dict[str, Amount]:
        """What each team uses and waits for in this cell."""
        assert self._leader is not None
        usages = self._leader.state.usage_by_team
        found = {team: Amount(usage.cores, usage.gpus) for team, usage in usages.items()}
        if self._leader.term.active:
            for job in self._leader.duties.jobs.queue.pending_jobs():
                spec = job.spec
                needed = Amount(spec.cores * job.pending_count, spec.gpus * job.pending_count)
                found[spec.team] = found.get(spec.team, ZERO) + needed
        return found
