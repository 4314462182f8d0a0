"""A simulated deployment whose controllers run the version in production until upgraded."""

from __future__ import annotations

import random
import tomllib
from typing import Any

from flaxtally.fakes.settings_text import settings_text
from flaxtally.settings import StateLimits

from . import production
from .simulated_cluster import NODES, SimulatedCluster

CURRENT_LIMITS = StateLimits(write_rps=40.0, value_bytes=8192, txn_ops=32)
LOWERED_LIMITS = StateLimits(write_rps=15.0, value_bytes=2048, txn_ops=4)


class UpgradingCluster(SimulatedCluster):
    """New controllers are configured with the lower limits of the state service.

    The state service enforces the higher ones until `lower_limits`.
    """

    def __init__(
        self, seed: int = 1, upgraded: tuple[str, ...] = (), **cluster_options: Any
    ) -> None:
        self.upgraded = set(upgraded)
        super().__init__(seed, **cluster_options)
        self.state.enforce(CURRENT_LIMITS.value_bytes, CURRENT_LIMITS.txn_ops)

    def start(self, node: str) -> None:
        """Starts the version that the controller has now: the old one until its upgrade."""
        if node in self.upgraded:
            super().start(node)
            return
        settings = production.load_module("settings").parse(
            tomllib.loads(settings_text(self.build_settings(node, CURRENT_LIMITS)))
        )
        controller = production.load_module("node").Node(
            self.sim.host(self.ip(node)),
            settings,
            production.load_module("policy").default(settings),
            random.Random(self.rng.random()),
        )
        self.nodes[node] = production.adapt_to_current_names(controller)

    def build_settings(self, node: str, limits: StateLimits = LOWERED_LIMITS) -> Any:
        return self.with_limits(super().build_settings(node), limits)

    def upgrade(self, node: str, restart_after_s: float = 1.0) -> None:
        """Kills the controller; it restarts with the new version."""
        self.upgraded.add(node)
        self.crash(node, restart_after_s)

    def roll_out_upgrade(self, interval_s: float = 8.0, names: tuple[str, ...] = NODES) -> None:
        """Upgrades the controllers one after the other, one per interval."""
        for name in names:
            self.upgrade(name)
            self.run(interval_s)

    def lower_limits(self) -> None:
        """The state service enforces the lower limits from now on."""
        self.add_trace_line("the state service has its new limits")
        self.state.enforce(
            LOWERED_LIMITS.value_bytes, LOWERED_LIMITS.txn_ops, LOWERED_LIMITS.write_rps
        )

    @property
    def format(self) -> int:
        """The ledger's format according to the leader; 0 without a leader."""
        leader = self.leader()
        return getattr(self.nodes[leader].leader.state, "format", 1) if leader else 0
