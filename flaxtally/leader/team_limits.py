"""What a team may use under this leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..settings import Settings, Team


class TeamLimits(Protocol):
    """The limits that a leader keeps. A team that is not known has none and may use nothing."""

    def of(self, team: str) -> Team | None:
        """The team's guarantee and limit as they are now."""

    def begin(self, term: int) -> None:
        """A term begins here, and its ledger has been read."""

    def end(self) -> None:
        """This node leads no more."""


class SettingsLimits:
    """Those of the settings, where one leader leads all."""

    def __init__(self, settings: Settings) -> None:
        self._teams = settings.teams

    def of(self, team: str) -> Team | None:
        return self._teams.get(team)

    def begin(self, term: int) -> None:
        pass

    def end(self) -> None:
        pass
