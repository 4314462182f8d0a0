"""Features that a deployment enables by a file, `serve --features FILE`, with a table for each.

Each feature checks its own table. An unknown table or field is an error: otherwise a typing error
would leave the feature disabled without notice. This module is imported only if the option is
given, and a feature's package, with its libraries, only if the file has its table.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .feature_table import Feature, FeatureError, Table
from .settings import SettingsError, read_toml

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FEATURE_FACTORIES", "Feature", "FeatureError", "read_file"]


def _create_lending(table: Table) -> Feature:
    from .lending.feature import LendingFeature

    return LendingFeature.from_table(table)


def _create_tracing(table: Table) -> Feature:
    try:
        from .tracing import Tracing
    except ModuleNotFoundError as error:
        raise FeatureError(
            f"{table.path}: {table.name}: {error.name} is missing: "
            "pip install -r requirements-tracing.txt"
        ) from None
    return Tracing.from_table(table)


FEATURE_FACTORIES: dict[str, Callable[[Table], Feature]] = {
    "lending": _create_lending,
    "tracing": _create_tracing,
}
"""The function that checks a feature's table and creates the feature, by the table's name."""


def read_file(path: str) -> list[Feature]:
    """Returns the features that a file enables; raises `FeatureError` for the first error."""
    try:
        content = read_toml(path)
    except SettingsError as error:
        raise FeatureError(str(error)) from None
    features = []
    for name, fields in content.items():
        if name not in FEATURE_FACTORIES:
            raise FeatureError(
                f"{path}: {name}: unknown feature, expected one of: {', '.join(FEATURE_FACTORIES)}"
            )
        if not isinstance(fields, dict):
            raise FeatureError(f"{path}: {name}: expected a table, got {fields!r}")
        features.append(FEATURE_FACTORIES[name](Table(path, name, fields)))
    return features
