"""The table `lending` of a features file, checked."""

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
DEFAULT_ACCOUNT_INTERVAL_S = 60.0
START_OBJECTIVES = ("wait", "guarantee")
"""The kinds of objectives that say within what time work is to start."""


@dataclass(frozen=True)
class LendingFeature:
    """How the operators configured lending."""

    table: Table
    lenders: frozenset[str]
    """The teams whose demand starts reclaims; none: all that have a quota."""
    stops_per_minute: float
    """The tasks that reclaims may stop in a minute, as a share of those that are placed."""
    account_interval_s: float
    """How often the accounts are stored; a change of leader loses as much of them."""

    @classmethod
    def from_table(cls, table: Table) -> LendingFeature:
        """The table's values, or `FeatureError`."""
        table.refuse_unknown_fields("lenders", "stops_a_minute", "accounts_every_s")
        return cls(
            table,
            frozenset(table.texts("lenders")),
            table.number("stops_a_minute", DEFAULT_STOPS_PER_MINUTE, 0.001, 60.0),
            table.number("accounts_every_s", DEFAULT_ACCOUNT_INTERVAL_S, 1.0, 86400.0),
        )

    def start(self, loop: Loop, settings: Settings) -> None:
        """Nothing to start: the leader uses it, see `leader.reclaim.quota_accounting`."""

    def check(self, settings: Settings, policy: Policy, *, has_cells: bool) -> None:
        """Raises `FeatureError` if the other files don't go with it."""
        if has_cells:
            raise FeatureError(
                f"{self.table.path}: {NAME}: guarantees don't hold over cells (--cells)"
            )
        self._check_lenders(settings)
        self._check_objectives(settings, policy)

    def _check_lenders(self, settings: Settings) -> None:
        for team in sorted(self.lenders):
            if not Quota.from_settings(settings.teams.get(team)).is_granted:
                raise self.table.error("lenders", f"{team} is no team with a guarantee")

    def _check_objectives(self, settings: Settings, policy: Policy) -> None:
        for objective in settings.objectives:
            if objective.kind not in START_OBJECTIVES:
                continue
            # What is to start sooner than a lease lasts is served from reserves, not by reclaims.
            if objective.within >= settings.lease_s and 0 < objective.within < policy.recall:
                job_class = objective.job_class or "work within a guarantee"
                raise FeatureError(
                    f"{self.table.path}: {NAME}: the policy's recall of {policy.recall:g} s is "
                    f"over the aim of {job_class} to start within {objective.within:g} s"
                )
