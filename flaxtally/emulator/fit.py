"""Least-squares lines through the figures of several sizes, extrapolated to a larger size."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_SIZES = 4
"""Sizes that a scale run needs before lines are fitted through its figures."""
MAX_POWER_DEVIATION = 0.25
"""A figure is reported as not linear if its power of the size differs from 1 by more than this."""


class Fit(msgspec.Struct):
    """A figure as a linear function of the number of workers."""

    figure: str
    at_zero: float
    per_worker: float
    residual: float
    """Root mean square of the deviations from the line, as a fraction of the figures' mean."""
    power: float | None
    """The power of the size with which the figure grows; None if a value is not positive."""
    target: int
    at_target: float
    """The figure at `target` workers, extrapolated."""
    factor: float
    """The ratio of the target to the largest size measured."""

    @property
    def is_linear(self) -> bool:
        return self.power is None or abs(self.power - 1) <= MAX_POWER_DEVIATION


def fit(figure: str, sizes: Sequence[float], values: Sequence[float], target: int) -> Fit:
    """Fits a line by least squares; needs at least two sizes."""
    line = statistics.linear_regression(sizes, values)
    errors = [
        value - line.intercept - line.slope * size
        for size, value in zip(sizes, values, strict=True)
    ]
    mean = statistics.fmean(values)
    residual = math.sqrt(statistics.fmean(error * error for error in errors))
    power = None
    if all(value > 0 for value in values):
        logs = [math.log(size) for size in sizes], [math.log(value) for value in values]
        power = round(statistics.linear_regression(*logs).slope, 3)
    return Fit(
        figure,
        line.intercept,
        line.slope,
        residual / abs(mean) if mean else 0.0,
        power,
        target,
        line.intercept + line.slope * target,
        target / max(sizes),
    )


def format_table(fits: Sequence[Fit]) -> list[str]:
    """Formats the fits as lines of a table."""
    lines = [
        f"{'figure':34} {'at zero':>11} {'each':>12} {'residual':>9} {'power':>6} "
        f"{'at target':>11} {'factor':>7}"
    ]
    for entry in fits:
        power = "-" if entry.power is None else f"{entry.power:.2f}"
        lines.append(
            f"{entry.figure:34} {entry.at_zero:11.4g} {entry.per_worker:12.4g} "
            f"{entry.residual:9.1%} {power:>6} {entry.at_target:11.4g} {entry.factor:7.1f}"
            f"{'' if entry.is_linear else '  not linear'}"
        )
    return lines
