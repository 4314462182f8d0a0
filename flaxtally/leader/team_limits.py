"""The teams' quotas and hard limits that a leader enforces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..settings import Settings, Team


class TeamLimits(Protocol):
    """The limits that a leader enforces. An unknown team has none and may use nothing."""

    def find_team(self, team: str) -> Team | None:
        """The team's quota and hard limit as they are now."""

    def begin_term(self, term: int) -> None:
        """A term begins, and its log has been replayed."""

    def end_term(self) -> None:
        """This controller does not lead any more."""


class SettingsLimits:
    """The limits of the settings, for a fleet that has a single leader: they never change."""

    def __init__(self, settings: Settings) -> None:
        """Reads the teams of the settings."""
        self._teams = settings.teams

    def find_team(self, team: str) -> Team | None:
        """The team as it stands in the settings."""
        return self._teams.get(team)

    def begin_term(self, term: int) -> None:
        """Nothing depends on the term."""

    def end_term(self) -> None:
        """Nothing depends on the term."""
