"""The interface of a feature, and the checked access to its table in a features file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from .policy import Policy
    from .runtime.loop import Loop
    from .settings import Settings


class FeatureError(Exception):
    """A features file is invalid; the text is one line that names the file and the field."""


class Feature(Protocol):
    """A feature whose table is valid."""

    def check(self, settings: Settings, policy: Policy, *, has_cells: bool) -> None:
        """Raises `FeatureError` if it is incompatible with the controller's other files."""

    def start(self, loop: Loop, settings: Settings) -> None:
        """Starts the feature before the controller's loop runs; may raise `FeatureError`."""


@dataclass(frozen=True)
class Table:
    """A feature's table in a features file; errors name the file and the field."""

    path: str
    name: str
    fields: dict[str, Any]

    def error(self, field: str, text: str) -> FeatureError:
        """Returns an error that names the file and the field."""
        return FeatureError(f"{self.path}: {self.name}.{field}: {text}")

    def text(self, field: str) -> str:
        """Returns the value of a required field that must be a non-empty string."""
        value = self.fields.get(field)
        if not isinstance(value, str) or not value:
            raise self.error(field, f"missing, or not a non-empty string: got {value!r}")
        return value

    def number(self, field: str, default: float, minimum: float, maximum: float) -> float:
        """Returns a number between the bounds; a missing field has the default."""
        value = self.fields.get(field, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(field, f"expected a number, got {value!r}")
        if not minimum <= value <= maximum:
            raise self.error(field, f"{value:g} is not within {minimum:g} to {maximum:g}")
        return float(value)

    def texts(self, field: str) -> list[str]:
        """Returns a list of strings; empty if the field is missing."""
        value = self.fields.get(field, [])
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise self.error(field, f"expected a list of strings, got {value!r}")
        return value

    def refuse_unknown_fields(self, *known: str) -> None:
        """Raises `FeatureError` if the table has a field that is not among `known`."""
        for field in self.fields:
            if field not in known:
                raise self.error(field, f"unknown field, expected one of: {', '.join(known)}")
