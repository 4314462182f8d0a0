"""The teams' quotas and hard limits that a leader enforces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..settings import Settings, Team


class TeamLimits(Protocol):
    """The limits that a leader enforces. An unknown team has no limits and may use nothing."""

    def find_team(self, team: str) -> Team | None:
        """Returns the team's current quota and hard limit; None if the team is unknown."""

    def begin_term(self, term: int) -> None:
        """Begins to provide limits for a term whose log has been replayed."""

    def end_term(self) -> None:
        """Ends the term: this controller does not lead any more."""


class SettingsLimits:
    """The limits in the settings, for a fleet with a single leader. They never change."""

    def __init__(self, settings: Settings) -> None:
        """Reads the teams of the settings."""
        self._teams = settings.teams

    def find_team(self, team: str) -> Team | None:
        """Returns the team from the settings; None if it is unknown."""
        return self._teams.get(team)

    def begin_term(self, term: int) -> None:
        """Does nothing: the limits do not depend on the term."""

    def end_term(self) -> None:
        """Does nothing: the limits do not depend on the term."""
