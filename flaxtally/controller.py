"""A controller: wires the actors."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .api.heartbeat_endpoint import HeartbeatEndpoint
from .api.job_api import JobApi
from .clients.cloud import Cloud
from .clients.key_value_store import KeyValueStore
from .clients.workers import CALLED_SHARE, Workers
from .cluster.format_negotiation import FormatNegotiation
from .cluster.frame_router import FrameRouter
from .cluster.leader_election import LeaderElection, LeadershipListener
from .cluster.messages import (
    FORWARDED_HEARTBEAT_KIND,
    HEARTBEAT_KIND,
    MACHINES_ALIVE_KIND,
    RELAYED_COMMAND_RESULT_KIND,
    Frame,
    Heartbeat,
)
from .cluster.peer_links import LinkListener, PeerLinks
from .cluster.peer_liveness import PeerLiveness
from .cluster.store_relay import RelayLimits, StoreRelay
from .leader.leader import Leader
from .leader.team_limits import SettingsLimits, TeamLimits
from .leader.term import LeaderContext
from .ledger.group_commit import LedgerTimings
from .ledger.pages import PAGE_SHARE
from .ledger.write_ahead_log import WriteAheadLog
from .runtime.http import Server

if TYPE_CHECKING:
    import random

    from .cells.membership import CellSetup, Membership
    from .lending.feature import LendingFeature
    from .policy import Policy
    from .runtime.loop import Runtime
    from .runtime.loop_delay import LoopDelay
    from .settings import Settings

log = logging.getLogger(__name__)

ACCEPTED_SHARE = 0.55
"""Of the sockets, for users and workers; another share is for calls to workers, the rest for peers,
state service and cloud.
"""


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
        """`cells`: the controller is one of a fleet that is divided into several.

        `lending`: loans between teams are recalled.
        """
        self._name = settings.node
        self.membership: Membership | None = None
        prefix = ""
        limits: TeamLimits = SettingsLimits(settings)
        if cells is None:
            cloud = Cloud(runtime, settings.cloud, settings.cloud_rps, policy.call * 2)
        else:
            self.membership = self._join(runtime, settings, policy, cells)
            limits, cloud = self.membership.allotment, cells.cloud(runtime, policy)
            prefix, settings = cells.prefix, cells.own
        store = self._store = KeyValueStore(
            runtime, settings.state, policy.call, policy.first_call, prefix
        )
        workers = Workers(runtime, policy.order_call, int(settings.max_sockets * CALLED_SHARE))
        self.formats = FormatNegotiation(runtime, settings.peers, store, policy.retry)
        self.peers = self._link_peers(runtime, settings, policy)
        self.election = LeaderElection(
            runtime,
            settings.node,
            policy,
            store,
            self.peers,
            rng,
            LeadershipListener(
                on_elected=lambda term, version: runtime.soon(
                    self.leader.begin_term, term, version
                ),
                on_step_down=lambda: runtime.soon(self.leader.end_term),
            ),
        )
        self.dispatch = HeartbeatEndpoint(
            runtime, settings, policy, self.election, self.peers, workers, self.formats
        )
        self.ledger = WriteAheadLog(
            runtime,
            store,
            settings.state_limits,
            LedgerTimings(
                retry_s=policy.retry, first_call_s=policy.first_call, gather_s=policy.gather
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
                cloud=cloud,
                rng=rng,
                limits=limits,
            ),
            election=self.election,
            transport=self.dispatch,
            formats=self.formats,
            lending=lending,
        )
        self.dispatch.deliver_to(self.leader.handle_heartbeat, self.leader.handle_liveness)
        self.intake = JobApi(
            runtime,
            policy,
            self.election,
            self.peers,
            self.leader,
            self.dispatch.handle_heartbeat,
            settings.max_sockets,
            self.formats,
        )
        if self.membership is not None:
            self.membership.connect(
                self.election, self.peers, self.intake, self.dispatch, self.leader
            )
        self._router = FrameRouter()
        self._router.add_message_handler(Heartbeat, self.election.on_heartbeat)
        frame_handlers = {
            FORWARDED_HEARTBEAT_KIND: self.dispatch.forwarded,
            MACHINES_ALIVE_KIND: self.dispatch.alive,
            "ord": self.dispatch.order,
            RELAYED_COMMAND_RESULT_KIND: self.dispatch.carried,
            "ask": self.intake.asked,
            "ans": self.intake.answered,
        }
        if self.membership is not None:
            frame_handlers[self.membership.state_frame] = self.membership.gateway.receive
        for kind, handle in frame_handlers.items():
            self._router.add_frame_handler(kind, handle)
        Server(
            runtime,
            settings.listen,
            self.intake.handle,
            int(settings.max_sockets * ACCEPTED_SHARE),
            settings.lease_s * 3,
            policy.retry,
        )
        runtime.on_pause(policy.process_pause, self._on_pause)
        runtime.on_delay(policy.loop_delay, settings.lease_s, self._on_delay)
        if self.membership is None:
            self.election.start()
        else:
            self.membership.take_part(self.election.start)
        log.info("event=start node=%s zone=%s", settings.node, settings.zone)

    @staticmethod
    def _join(runtime: Runtime, settings: Settings, policy: Policy, cells: CellSetup) -> Membership:
        # Imported here: a controller that stands alone does without cells and their library.
        from .cells.membership import Membership

        return Membership(runtime, settings, policy, cells)

    def _link_peers(self, runtime: Runtime, settings: Settings, policy: Policy) -> PeerLinks:
        """The links to the other controllers, with the relay for those that are silent."""
        liveness = PeerLiveness(runtime, settings.node, settings.peers, policy.peer_silence)
        max_batch_chars = int(settings.state_limits.value_bytes * PAGE_SHARE)
        relay = StoreRelay(
            runtime,
            self._store,
            liveness,
            RelayLimits(policy.mail, max_batch_chars),
            may_relay_to=self._may_relay_to,
            on_frame=self._receive_relayed,
        )
        return PeerLinks(
            runtime,
            liveness,
            {name: address for name, (_, address) in settings.peers.items()},
            LinkListener(
                on_frame=self._receive,
                on_hello=self.formats.on_hello,
                on_refused=lambda: self.election.on_connection_refused(),
            ),
            batch_delay_s=policy.gather,
            listen=settings.peer_listen,
            relay=relay,
        )

    def _may_relay_to(self, peer: str) -> bool:
        """Whether frames for the peer may go through the key-value store.

        Only a leader and its followers write to each other: changes there are few.
        """
        election = self.election
        return election.is_store_reachable and (election.is_leader or election.leader == peer)

    def _on_delay(self, delay: LoopDelay) -> None:
        """For operators: this controller has more to do than its share of a processor allows."""
        log.warning(
            "event=loop_behind node=%s late=%.2f longest=%.2f callback=%s",
            self._name,
            delay.late,
            delay.longest,
            delay.callback,
        )

    def _on_pause(self, lost: float) -> None:
        """What was silent while this process stood still is not to blame for it."""
        log.warning("event=process_pause node=%s lost=%.1f", self._name, lost)
        self._store.on_pause(lost)
        self.peers.on_pause(lost)
        self.election.on_pause(lost)
        self.leader.on_pause(lost)
        if self.membership is not None:
            self.membership.on_pause(lost)

    def _receive_relayed(self, sender: str, frame: Frame) -> None:
        if frame["k"] == HEARTBEAT_KIND:
            self.formats.on_relayed_heartbeat(sender, frame.get("formats"))
        self._receive(sender, frame)

    def _receive(self, sender: str, frame: Frame) -> None:
        self._router.route(sender, frame)
