"""Features that a deployment enables by a file: `serve --features FILE`, a table a feature.

Each feature checks its own table; a table or a field that no feature knows is refused, since a
typing error would otherwise leave the feature off unseen. Imported only when the option is given;
a feature's package, with its libraries, only when its table is there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .feature_table import Feature, FeatureError, Table
from .settings import SettingsError, read_toml

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["KNOWN", "Feature", "FeatureError", "read_file"]


def _lending(table: Table) -> Feature:
    from .lending.feature import LendingFeature

    return LendingFeature.from_table(table)


def _tracing(table: Table) -> Feature:
    try:
        from .tracing import Tracing
    except ModuleNotFoundError as fault:
        raise FeatureError(
            f"{table.path}: {table.name}: {fault.name} is missing: "
            "pip install -r requirements-tracing.txt"
        ) from None
    return Tracing.from_table(table)


KNOWN: dict[str, Callable[[Table], Feature]] = {
    "lending": _lending,
    "tracing": _tracing,
}


def read_file(path: str) -> list[Feature]:
    """The features that a file enables, or `FeatureError` for the first fault."""
    try:
        content = read_toml(path)
    except SettingsError as fault:
        raise FeatureError(str(fault)) from None
    found = []
    for name, fields in content.items():
        if name not in KNOWN:
            raise FeatureError(f"{path}: {name}: not known; there are {', '.join(KNOWN)}")
        if not isinstance(fields, dict):
            raise FeatureError(f"{path}: {name}: not a table")
        found.append(KNOWN[name](Table(path, name, fields)))
    return found
