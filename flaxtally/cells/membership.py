"""What a controller needs in a fleet of cells in addition to an undivided fleet.

`CellSetup` determines the controller's own cell before anything is started: its peers, zones, part
of the rate limits, and the prefix of its keys. `Membership` wires the parts that communicate with
other cells.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from functools import cached_property
from typing import TYPE_CHECKING

from ..api.heartbeat_endpoint import CellRedirect
from ..api.sharding import find_shard_owner
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
from .messages import STATE_FRAME, CellState, MachineKind
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

SHARED_KEYS_RATE_FRACTION = 0.2
"""Fraction of the state service's rates that is reserved for the keys that all cells share, unless
these keys have a state service of their own.
"""
FORWARDED_REQUESTS_SOCKET_FRACTION = 0.25
"""Limit on the requests forwarded to other cells, as a fraction of `max_sockets`."""


class CellSetup:
    """A controller's own cell, as defined by the deploy file and the controller's settings."""

    def __init__(self, cells: CellFile, settings: Settings) -> None:
        """Raises `CellMapError` if file and settings contradict each other."""
        self.file, self._settings = cells, settings
        self.index = CellIndex(cells.map)
        cell = self.index.by_controller.get(settings.node)
        if cell is None:
            raise CellMapError(
                f"cells.cell: controller {settings.node} is in no cell; expected it in one"
            )
        unknown_controllers = set(cell.controllers) - set(settings.peers) - {settings.node}
        if unknown_controllers:
            raise CellMapError(
                f"cells.cell: controller {min(unknown_controllers)} of cell {cell.name} is not in "
                "the settings; expected an entry in others"
            )
        unknown_zones = set(cell.zones) - set(settings.zones)
        if unknown_zones:
            raise CellMapError(
                f"cells.cell: zone {min(unknown_zones)} of cell {cell.name} is not in the "
                f"settings; expected one of params.zones: {', '.join(settings.zones)}"
            )
        self.cell: Cell = cell

    @property
    def shared_state(self) -> Address:
        """Address of the state service that all cells share."""
        return self.file.state or self._settings.state

    @property
    def key_prefix(self) -> str:
        """Prefix of all keys that only this cell uses."""
        return f"cell/{self.cell.name}/"

    @cached_property
    def cell_settings(self) -> Settings:
        """The settings reduced to the cell: its peers, its zones, its part of the rate limits."""
        settings, cells = self._settings, len(self.index.cells)
        state_rate_fraction = (
            (1 - SHARED_KEYS_RATE_FRACTION) / cells if self.file.state is None else 1.0
        )
        return replace(
            settings,
            peers={
                name: peer for name, peer in settings.peers.items() if name in self.cell.controllers
            },
            zones=self.cell.zones,
            state_rps=settings.state_rps * state_rate_fraction,
            state_limits=replace(
                settings.state_limits,
                write_rps=settings.state_limits.write_rps * state_rate_fraction,
            ),
            cloud_rps=settings.cloud_rps / cells,
        )

    def create_cloud_client(self, runtime: Runtime, policy: Policy) -> Cloud:
        """Creates the cell's client of the cloud."""
        cell_settings = self.cell_settings
        zones = frozenset(self.cell.zones)
        return CellCloud(
            runtime, cell_settings.cloud, cell_settings.cloud_rps, policy.call * 2, zones
        )


class Membership(Actor):
    """Owns the cell map, the directory, the shares and the links to other cells' controllers."""

    state_frame = STATE_FRAME
    """The kind of frame by which a cell's leader sends the cell's state to its followers."""

    def __init__(
        self, runtime: Runtime, settings: Settings, policy: Policy, cell_setup: CellSetup
    ) -> None:
        super().__init__(runtime)
        self._settings, self._policy, self._cell_setup = settings, policy, cell_setup
        self._store = KeyValueStore(
            runtime, cell_setup.shared_state, policy.call, policy.first_call
        )
        self.map_watcher = CellMapWatcher(
            runtime, self._store, settings.node, cell_setup.file.map, policy.probe
        )
        self.directory = Directory(self._store)
        self.quota_rebalancer = QuotaRebalancer(
            runtime,
            self._store,
            cell_setup.cell.name,
            lambda: sorted(self.map_watcher.index.cells),
            settings.teams,
            self._compute_demand,
            policy.probe,
            settings.state_limits.write_rps,
        )
        self._own_store = KeyValueStore(runtime, settings.state, policy.call, policy.first_call)
        """Client of the cell's own state service that doesn't add the cell's prefix to keys."""
        self._has_warned = False
        """Whether the leader key of an undivided fleet was logged."""
        self._leader: Leader | None = None
        self._election: LeaderElection | None = None

    def connect(
        self,
        election: LeaderElection,
        peers: PeerLinks,
        requests: LeaderRequests,
        leader: Leader,
    ) -> None:
        """Creates the links to other cells and the gateway that forwards users' requests."""
        self._leader, self._election = leader, election
        settings = self._settings
        others = {
            name: address
            for name, (_, address) in settings.peers.items()
            if name not in self._cell_setup.cell.controllers
        }
        self.links = PeerLinks(
            self.runtime,
            PeerLiveness(self.runtime, settings.node, others, self._policy.peer_silence * 2),
            others,
            LinkListener(on_frame=lambda sender, frame: self.gateway.receive(sender, frame)),
            batch_delay_s=self._policy.gather,
        )
        peers.accept_connections_for(self.links)
        self.gateway = Gateway(
            self.runtime,
            self._policy,
            settings.node,
            self._cell_setup.cell.name,
            lambda: self.map_watcher.index,
            election,
            self.links,
            self.directory,
            requests.forward_to_leader,
            self._build_cell_state,
            peers.broadcast,
            int(settings.max_sockets * FORWARDED_REQUESTS_SOCKET_FRACTION),
        )

    def join_cell(self, start: Callable[[], None]) -> None:
        """Calls `start` once it is certain that no other leader commands the cell's machines."""
        self.map_watcher.on_agreed = lambda: self._check_for_undivided_fleet(start)

    def _check_for_undivided_fleet(self, start: Callable[[], None]) -> None:
        """Calls `start` once there is no leader key of an undivided fleet; retries until then.

        A leader of the undivided fleet at the same state service would command the cell's machines
        as well.
        """

        def on_reply(known: bool, row: wire.Row | None) -> None:
            if known and row is None:
                start()
                return
            if known and not self._has_warned:
                self._has_warned = True
                log.error(
                    "event=undivided_fleet node=%s state=%s: an undivided fleet has its leader key "
                    "there; this controller waits until the key is removed (docs/cells.md)",
                    self._settings.node,
                    "{}:{}".format(*self._settings.state),
                )
            self.later(self._policy.call, self._check_for_undivided_fleet, start)

        self._own_store.get(LEADER_KEY, on_reply)

    def on_pause(self, pause_s: float) -> None:
        """Handles a pause of this process, in which it could not read other cells' frames.

        `pause_s`: the length of the pause, which doesn't count against those controllers.
        """
        self.links.on_pause(pause_s)

    def redirect_to_cell(self, heartbeat: wire.Heartbeat) -> CellRedirect | None:
        """Returns the controller for a machine of another cell; None for one of this cell."""
        index: CellIndex = self.map_watcher.index
        home = index.by_zone.get(heartbeat.zone)
        if home is None or home.name == self._cell_setup.cell.name:
            return None
        controllers = self.gateway.cell_states.find_available_controllers(home) or list(
            home.controllers
        )
        return CellRedirect(find_shard_owner(heartbeat.machine, heartbeat.zone, controllers, {}))

    def _build_cell_state(self) -> CellState:
        election, leader = self._election, self._leader
        assert election is not None
        assert leader is not None
        cell = self._cell_setup.cell.name
        if not leader.term.active:
            return CellState(cell, election.is_available)
        machines = max(1, len(leader.term.fleet.machines))
        pending_count = sum(
            job.pending_count for job in leader.duties.jobs.queue.list_pending_jobs()
        )
        kinds = [
            MachineKind(kind.name, kind.cores, kind.gpus, kind.memory_gb)
            for kind in leader.term.machine_types.values()
        ]
        return CellState(cell, election.is_available, pending_count / machines, kinds)

    def _compute_demand(self) -> dict[str, Amount]:
        """Returns what each team uses in this cell plus what its pending tasks need."""
        assert self._leader is not None
        usages = self._leader.state.usage_by_team
        demand = {team: Amount(usage.cores, usage.gpus) for team, usage in usages.items()}
        if self._leader.term.active:
            for job in self._leader.duties.jobs.queue.list_pending_jobs():
                spec = job.spec
                pending = Amount(spec.cores * job.pending_count, spec.gpus * job.pending_count)
                demand[spec.team] = demand.get(spec.team, ZERO) + pending
        return demand
