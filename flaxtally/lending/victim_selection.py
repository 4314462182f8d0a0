"""Chooses the tasks of one machine to stop so that another task fits there. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..planning.placement import FreeResources
    from ..protocol import wire

Task = TypeVar("Task")


def select_victims(
    spec: wire.Spec,
    free: FreeResources,
    candidates: Iterable[Task],
    spec_of: Callable[[Task], wire.Spec],
    try_take: Callable[[Task], bool],
) -> tuple[FreeResources, list[Task]]:
    """The tasks to stop, in the order given, and the capacity that is free without them.

    `try_take`: whether a task may be stopped beside those before it; then it counts as stopped. The
    capacity may still be too small: then all that may be stopped is not enough.
    """
    victims: list[Task] = []
    for candidate in candidates:
        if free.holds(spec):
            break
        if try_take(candidate):
            free = free.plus(spec_of(candidate))
            victims.append(candidate)
    return free, victims
