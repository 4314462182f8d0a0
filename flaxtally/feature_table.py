"""What a feature is, and its table in a features file, checked field by field."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from .policy import Policy
    from .runtime.loop import Loop
    from .settings import Settings


class FeatureError(Exception):
    """The file can't be used; the text is one line that names the place."""


class Feature(Protocol):
    """A feature whose table was found sound."""

    def check(self, settings: Settings, policy: Policy, *, has_cells: bool) -> None:
        """Raises `FeatureError` if it doesn't go with the controller's other files."""

    def start(self, loop: Loop, settings: Settings) -> None:
        """Takes part in a controller before its loop runs; raises `FeatureError`."""


@dataclass(frozen=True)
class Table:
    """A feature's table, asked field by field, with errors that name the field in full."""

    path: str
    name: str
    fields: dict[str, Any]

    def error(self, field: str, text: str) -> FeatureError:
        """An error that names the field."""
        return FeatureError(f"{self.path}: {self.name}.{field}: {text}")

    def text(self, field: str) -> str:
        """A text that must be there."""
        value = self.fields.get(field)
        if not isinstance(value, str) or not value:
            raise self.error(field, "missing, or not a text")
        return value

    def number(self, field: str, default: float, least: float, most: float) -> float:
        """A number within bounds."""
        value = self.fields.get(field, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(field, "not a number")
        if not least <= value <= most:
            raise self.error(field, f"{value:g} is not within {least:g} to {most:g}")
        return float(value)

    def texts(self, field: str) -> list[str]:
        """A list of texts; none if the field is missing."""
        value = self.fields.get(field, [])
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise self.error(field, "not a list of texts")
        return value

    def refuse_unknown_fields(self, *known: str) -> None:
        """Refuses fields that are none of these."""
        for field in self.fields:
            if field not in known:
                raise self.error(field, f"not known; there are {', '.join(known)}")
