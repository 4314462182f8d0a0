"""A controller: creates its actors and connects them with each other."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .api.command_relay import CommandRelay
from .api.expiry import ExpiryTimer
from .api.heartbeat_endpoint import HeartbeatEndpoint, HeartbeatTables
from .api.heartbeat_forwarding import HeartbeatForwarding
from .api.job_api import JobApi
from .api.leader_requests import LeaderRequests
from .api.recent_heartbeats import RecentHeartbeats
from .api.shard_redirects import ShardRedirects
from .clients.cloud import Cloud
from .clients.key_value_store import KeyValueStore
from .clients.workers import WORKER_SOCKETS_FRACTION, Workers
from .cluster.format_negotiation import FormatNegotiation
from .cluster.frame_router import FrameRouter
from .cluster.leader_election import LeaderElection, LeadershipListener
from .cluster.messages import (
    HEARTBEAT_KIND,
    ForwardedHeartbeat,
    Frame,
    Heartbeat,
    JobRequest,
    JobResponse,
    MachinesAlive,
    RelayedCommand,
    RelayedCommandResult,
)
from .cluster.peer_links import LinkListener, PeerLinks
from .cluster.peer_liveness import PeerLiveness
from .cluster.store_relay import RelayLimits, StoreRelay
from .leader.leader import Leader
from .leader.team_limits import SettingsLimits, TeamLimits
from .leader.term import LeaderContext
from .ledger.group_commit import LedgerTimings
from .ledger.pages import PAGE_FILL_FRACTION
from .ledger.write_ahead_log import WriteAheadLog
from .runtime.http import Server

if TYPE_CHECKING:
    import random

    from .api.job_api import RequestRouter
    from .cells.membership import CellSetup, Membership
    from .lending.feature import LendingFeature
    from .policy import Policy
    from .runtime.loop import Runtime
    from .runtime.loop_delay import LoopDelay
    from .settings import Settings

log = logging.getLogger(__name__)

ACCEPTED_SOCKETS_FRACTION = 0.55
"""Fraction of the sockets for connections from users and workers. Another fraction is for calls to
workers, and the rest for peers, the key-value store and the cloud.
"""
IDLE_CONNECTION_LEASES = 3
"""Durations of a worker's lease after which an idle connection of a user or worker is closed."""


@dataclass(frozen=True)
class _Scope:
    """What a controller is responsible for: the whole fleet, or one of its cells."""

    settings: Settings
    """The settings for the leader of the fleet or cell."""
    cloud: Cloud
    limits: TeamLimits
    key_prefix: str
    """Prefix of every key in the key-value store."""
    membership: Membership | None
    """None if the fleet is not divided into cells."""


def _build_fleet_scope(runtime: Runtime, settings: Settings, policy: Policy) -> _Scope:
    cloud = Cloud(runtime, settings.cloud, settings.cloud_rps, policy.call * 2)
    return _Scope(settings, cloud, SettingsLimits(settings), key_prefix="", membership=None)


def _build_cell_scope(
    runtime: Runtime, settings: Settings, policy: Policy, cells: CellSetup
) -> _Scope:
    # Imported here, so that a controller of an undivided fleet does not load the cells package and
    # the library that it needs.
    from .cells.membership import Membership

    membership = Membership(runtime, settings, policy, cells)
    cloud = cells.create_cloud_client(runtime, policy)
    return _Scope(
        cells.cell_settings, cloud, membership.quota_rebalancer, cells.key_prefix, membership
    )


class Controller:
    """All actors of one controller on one runtime."""

    def __init__(
        self,
        runtime: Runtime,
        settings: Settings,
        policy: Policy,
        rng: random.Random,
        cells: CellSetup | None = None,
        lending: LendingFeature | None = None,
    ) -> None:
        """`cells`: the setup of the controller's cell; None in an undivided fleet.

        `lending`: the configuration by which loans between teams are reclaimed; None if off.
        """
        if cells is None:
            scope = _build_fleet_scope(runtime, settings, policy)
        else:
            scope = _build_cell_scope(runtime, settings, policy, cells)
        self._runtime = runtime
        self._settings = scope.settings
        self._policy = policy
        self.membership = scope.membership
        self._store = KeyValueStore(
            runtime, scope.settings.state, policy.call, policy.first_call, scope.key_prefix
        )
        self._frame_router = FrameRouter()
        # Each of these starts its timers when it is created, so their order affects seeded runs.
        self._create_cluster(rng)
        self._create_heartbeat_tables()
        self._create_leader(scope, rng, lending)
        self._create_endpoints()
        self._add_frame_handlers()
        self._start()

    # Creating the actors

    def _create_cluster(self, rng: random.Random) -> None:
        """Creates the links to the other controllers, the election, and what they need."""
        runtime, settings, policy = self._runtime, self._settings, self._policy
        self._workers = Workers(
            runtime, policy.order_call, int(settings.max_sockets * WORKER_SOCKETS_FRACTION)
        )
        self.formats = FormatNegotiation(runtime, settings.peers, self._store, policy.retry)
        self.peers = self._link_peers()
        self.election = LeaderElection(
            runtime,
            settings.node,
            policy,
            self._store,
            self.peers,
            rng,
            LeadershipListener(on_elected=self._on_elected, on_step_down=self._on_step_down),
        )

    def _link_peers(self) -> PeerLinks:
        """Creates the links to the other controllers, with the relay for links that are down."""
        runtime, settings, policy = self._runtime, self._settings, self._policy
        liveness = PeerLiveness(runtime, settings.node, settings.peers, policy.peer_silence)
        max_batch_chars = int(settings.state_limits.value_bytes * PAGE_FILL_FRACTION)
        relay = StoreRelay(
            runtime,
            self._store,
            liveness,
            RelayLimits(policy.mail, max_batch_chars),
            may_relay_to=self._may_relay_to,
            on_frame=self._on_relayed_frame,
        )
        return PeerLinks(
            runtime,
            liveness,
            {name: address for name, (_, address) in settings.peers.items()},
            LinkListener(
                on_frame=self._frame_router.route,
                on_hello=self.formats.on_hello,
                on_refused=lambda: self.election.on_connection_refused(),
            ),
            batch_delay_s=policy.gather,
            listen=settings.peer_listen,
            relay=relay,
        )

    def _create_heartbeat_tables(self) -> None:
        """Creates the state that this controller keeps about the machines that report to it."""
        runtime, settings = self._runtime, self._settings
        forwarding = HeartbeatForwarding(
            runtime, settings, self._policy, self.election, self.peers, self.formats
        )
        self.recent_heartbeats = RecentHeartbeats(runtime, settings.lease_s)
        redirects = ShardRedirects(settings, self.election, self.peers)
        self._heartbeat_tables = HeartbeatTables(forwarding, self.recent_heartbeats, redirects)
        ExpiryTimer(runtime, settings.lease_s, [forwarding, self.recent_heartbeats, redirects])

    def _create_leader(
        self, scope: _Scope, rng: random.Random, lending: LendingFeature | None
    ) -> None:
        """Creates the leader's components, which are inactive while another controller leads."""
        runtime, settings, policy = self._runtime, self._settings, self._policy
        self.command_relay = CommandRelay(
            runtime,
            settings,
            policy,
            self.election,
            self.peers,
            self._workers,
            self.recent_heartbeats,
        )
        self.ledger = WriteAheadLog(
            runtime,
            self._store,
            settings.state_limits,
            LedgerTimings(
                retry_s=policy.retry,
                first_call_timeout_s=policy.first_call,
                batching_delay_s=policy.gather,
            ),
            self.election.step_down,
            self.election.refuse_to_lead,
        )
        self.leader = Leader(
            LeaderContext(
                runtime=runtime,
                settings=settings,
                policy=policy,
                ledger=self.ledger,
                cloud=scope.cloud,
                rng=rng,
                limits=scope.limits,
                leadership=self.election,
            ),
            election=self.election,
            transport=self.command_relay,
            formats=self.formats,
            lending=lending,
        )

    def _create_endpoints(self) -> None:
        """Creates the endpoints that workers, users and other controllers call."""
        runtime, settings, policy = self._runtime, self._settings, self._policy
        self.leader_requests = LeaderRequests(
            runtime, policy, self.election, self.peers, self.leader, settings.max_sockets
        )
        route: RequestRouter = self.leader_requests.forward_to_leader
        if self.membership is not None:
            self.membership.connect(self.election, self.peers, self.leader_requests, self.leader)
            route = self.membership.gateway.handle_user_request
        self.heartbeat_endpoint = HeartbeatEndpoint(
            runtime,
            settings.node,
            policy,
            self.election,
            self.leader,
            self._heartbeat_tables,
            self.membership,
        )
        self.job_api = JobApi(
            self.election, self.formats, self.heartbeat_endpoint, self.leader_requests, route
        )

    def _add_frame_handlers(self) -> None:
        """Registers the handlers for messages of other controllers."""
        router = self._frame_router
        endpoint = self.heartbeat_endpoint
        router.add_message_handler(Heartbeat, self.election.on_heartbeat)
        router.add_message_handler(ForwardedHeartbeat, endpoint.handle_forwarded_heartbeat)
        router.add_message_handler(MachinesAlive, endpoint.handle_liveness)
        router.add_message_handler(RelayedCommand, self.command_relay.handle_command)
        router.add_message_handler(RelayedCommandResult, self.command_relay.handle_result)
        router.add_message_handler(JobRequest, self.leader_requests.handle_request)
        router.add_message_handler(JobResponse, self.leader_requests.handle_response)
        if self.membership is not None:
            router.add_frame_handler(self.membership.state_frame, self.membership.gateway.receive)

    def _start(self) -> None:
        runtime, settings, policy = self._runtime, self._settings, self._policy
        Server(
            runtime,
            settings.listen,
            self.job_api.handle_request,
            int(settings.max_sockets * ACCEPTED_SOCKETS_FRACTION),
            settings.lease_s * IDLE_CONNECTION_LEASES,
            policy.retry,
        )
        runtime.on_pause(policy.process_pause, self._on_pause)
        runtime.on_delay(policy.loop_delay, settings.lease_s, self._on_delay)
        if self.membership is None:
            self.election.start()
        else:
            self.membership.join_cell(self.election.start)
        log.info("event=controller_started node=%s zone=%s", settings.node, settings.zone)

    # Leadership

    def _on_elected(self, term: int, version: int) -> None:
        self._runtime.soon(self.leader.begin_term, term, version)

    def _on_step_down(self) -> None:
        self._runtime.soon(self.leader.end_term)

    # Frames of other controllers

    def _may_relay_to(self, peer: str) -> bool:
        """Whether frames for the peer may be relayed through the key-value store.

        Only a leader and its followers relay to each other, to limit the writes to the store.
        """
        election = self.election
        return election.is_store_reachable and (election.is_leader or election.leader == peer)

    def _on_relayed_frame(self, sender: str, frame: Frame) -> None:
        if frame["k"] == HEARTBEAT_KIND:
            self.formats.on_relayed_heartbeat(sender, frame.get("formats"))
        self._frame_router.route(sender, frame)

    # The process

    def _on_delay(self, delay: LoopDelay) -> None:
        """Warns operators that this controller has too little processor time for its load."""
        log.warning(
            "event=loop_behind node=%s late=%.2f longest=%.2f callback=%s",
            self._settings.node,
            delay.max_lateness_s,
            delay.max_duration_s,
            delay.callback,
        )

    def _on_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the timeouts of all components."""
        log.warning("event=process_pause node=%s lost=%.1f", self._settings.node, pause_s)
        self._store.on_pause(pause_s)
        self.peers.on_pause(pause_s)
        self.election.on_pause(pause_s)
        self.leader.on_pause(pause_s)
        if self.membership is not None:
            self.membership.on_pause(pause_s)
