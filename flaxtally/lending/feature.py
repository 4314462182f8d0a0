"""The table `lending` of a features file, checked."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..feature_table import FeatureError, Table
from .entitlement import Guarantee

if TYPE_CHECKING:
    from ..policy import Policy
    from ..runtime.loop import Loop
    from ..settings import Settings

NAME = "lending"
DEFAULT_STOPS, DEFAULT_ACCOUNTS_S = 2.0, 60.0
AIMS = ("wait", "guarantee")
"""Aims that say within what time work is to start."""


@dataclass(frozen=True)
class LendingFeature:
    """What the operators say of lending."""

    table: Table
    lenders: frozenset[str]
    """The teams whose demand recalls loans; none: all that have a guarantee."""
    stops_a_minute: float
    """The tasks that recalls may stop a minute, as a share of those that are placed."""
    accounts_every_s: float
    """How often the accounts are kept; a change of leader loses as much of them."""

    @classmethod
    def of(cls, table: Table) -> LendingFeature:
        """The table's values, or `FeatureError`."""
        table.only("lenders", "stops_a_minute", "accounts_every_s")
        return cls(
            table,
            frozenset(table.texts("lenders")),
            table.number("stops_a_minute", DEFAULT_STOPS, 0.001, 60.0),
            table.number("accounts_every_s", DEFAULT_ACCOUNTS_S, 1.0, 86400.0),
        )

    def start(self, loop: Loop, settings: Settings) -> None:
        """The leader takes it up: see `leader.reclaim.quota_reclaim`."""

    def check(self, settings: Settings, policy: Policy, *, has_cells: bool) -> None:
        """Raises `FeatureError` if the other files don't go with it."""
        if has_cells:
            raise FeatureError(
                f"{self.table.path}: {NAME}: guarantees don't hold over cells (--cells)"
            )
        for team in sorted(self.lenders):
            if not Guarantee.of(settings.teams.get(team)).exists:
                raise self.table.fault("lenders", f"{team} is no team with a guarantee")
        for aim in settings.objectives:
            # What is to start sooner than a lease lasts is served from reserves, not by recalls.
            within = aim.within if aim.within >= settings.lease_s else 0.0
            if aim.kind in AIMS and 0 < within < policy.recall:
                job_class = aim.job_class or "work within a guarantee"
                raise FeatureError(
                    f"{self.table.path}: {NAME}: the policy's recall of {policy.recall:g} s is "
                    f"over the aim of {job_class} to start within {within:g} s"
                )
