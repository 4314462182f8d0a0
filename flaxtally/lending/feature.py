"""Reads and checks the table `lending` of a features file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..feature_table import FeatureError, Table
from .entitlement import Quota

if TYPE_CHECKING:
    from ..policy import Policy
    from ..runtime.loop import Loop
    from ..settings import Settings

NAME = "lending"
DEFAULT_STOPS_PER_MINUTE = 2.0
"""The default of tasks stopped per minute, as a multiple of the number of placed tasks."""
DEFAULT_ACCOUNT_INTERVAL_S = 60.0
START_OBJECTIVE_KINDS = ("wait", "guarantee")
"""The kinds of objectives that set a time within which work must start."""


@dataclass(frozen=True)
class LendingFeature:
    """The operators' configuration of lending."""

    table: Table
    lenders: frozenset[str]
    """The teams whose demand starts reclaims; empty: all teams that have a quota."""
    stops_per_minute: float
    """Tasks that reclaims may stop per minute, as a multiple of the number of placed tasks."""
    account_interval_s: float
    """Interval at which accounts are stored; a change of leader loses at most one interval."""

    @classmethod
    def from_table(cls, table: Table) -> LendingFeature:
        """Returns the configuration in the table; raises `FeatureError` if it is invalid."""
        table.refuse_unknown_fields("lenders", "stops_a_minute", "accounts_every_s")
        return cls(
            table,
            frozenset(table.texts("lenders")),
            table.number("stops_a_minute", DEFAULT_STOPS_PER_MINUTE, 0.001, 60.0),
            table.number("accounts_every_s", DEFAULT_ACCOUNT_INTERVAL_S, 1.0, 86400.0),
        )

    def start(self, loop: Loop, settings: Settings) -> None:
        """Does nothing: the leader reads the table, see `leader.reclaim.quota_accounting`."""

    def check(self, settings: Settings, policy: Policy, *, has_cells: bool) -> None:
        """Raises `FeatureError` if settings, policy or cells are incompatible with lending."""
        if has_cells:
            raise FeatureError(
                f"{self.table.path}: {NAME}: can't be used with --cells: "
                "guarantees don't hold across cells"
            )
        self._check_lenders(settings)
        self._check_objectives(settings, policy)

    def _check_lenders(self, settings: Settings) -> None:
        for team in sorted(self.lenders):
            if not Quota.from_settings(settings.teams.get(team)).is_granted:
                raise self.table.error(
                    "lenders", f"{team} is not a team with a guarantee in the settings"
                )

    def _check_objectives(self, settings: Settings, policy: Policy) -> None:
        for objective in settings.objectives:
            if objective.kind not in START_OBJECTIVE_KINDS:
                continue
            # Objectives shorter than a lease are met by spare capacity, not by reclaims.
            if objective.within >= settings.lease_s and 0 < objective.within < policy.recall:
                job_class = objective.job_class or "work within a guarantee"
                raise FeatureError(
                    f"{self.table.path}: {NAME}: the policy's recall of {policy.recall:g} s is "
                    f"longer than the objective of {job_class} "
                    f"to start within {objective.within:g} s"
                )
