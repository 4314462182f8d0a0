"""A deployment whose controllers are of the version in production until each has its turn."""

from __future__ import annotations

import random
import tomllib
from typing import Any

from flaxtally.fakes.settings_text import settings_text
from flaxtally.settings import StateLimits

from . import production
from .simulated_cluster import NODES, SimulatedCluster

NOW = StateLimits(write_rps=40.0, value_bytes=8192, txn_ops=32)
LOWER = StateLimits(write_rps=15.0, value_bytes=2048, txn_ops=4)


class UpgradingCluster(SimulatedCluster):
    """New controllers know the lower limits of the state service; it keeps the higher ones until
    `lower_limits`.
    """

    def __init__(self, seed: int = 1, upgraded: tuple[str, ...] = (), **world_args: Any) -> None:
        self.upgraded = set(upgraded)
        super().__init__(seed, **world_args)
        self.state.enforce(NOW.value_bytes, NOW.txn_ops)

    def start(self, node: str) -> None:
        """With the version that it has now: one that dies before its turn comes back old."""
        if node in self.upgraded:
            super().start(node)
            return
        settings = production.load_module("settings").parse(
            tomllib.loads(settings_text(self.settings_of(node, NOW)))
        )
        controller = production.load_module("node").Node(
            self.sim.host(self.ip(node)),
            settings,
            production.load_module("policy").default(settings),
            random.Random(self.rng.random()),
        )
        self.nodes[node] = production.adapt_to_current_names(controller)

    def settings_of(self, node: str, limits: StateLimits = LOWER) -> Any:
        return self.with_limits(super().settings_of(node), limits)

    def upgrade(self, node: str, back_after: float = 1.0) -> None:
        """The controller is killed and comes back with the new version."""
        self.upgraded.add(node)
        self.crash(node, back_after)

    def roll(self, every: float = 8.0, names: tuple[str, ...] = NODES) -> None:
        """All controllers, one after the other."""
        for name in names:
            self.upgrade(name)
            self.run(every)

    def lower_limits(self) -> None:
        """The state service accepts less from now on."""
        self.note("the state service has its new limits")
        self.state.enforce(LOWER.value_bytes, LOWER.txn_ops, LOWER.write_rps)

    @property
    def format(self) -> int:
        """The format of the ledger, as the leader knows it."""
        leader = self.leader()
        return getattr(self.nodes[leader].leader.state, "format", 1) if leader else 0
