"""Which tasks of a machine give way so that another fits there. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..planning.placement import Room
    from ..protocol import wire

Task = TypeVar("Task")


def giving_way(
    spec: wire.Spec,
    free: Room,
    tasks: Iterable[Task],
    spec_of: Callable[[Task], wire.Spec],
    take: Callable[[Task], bool],
) -> tuple[Room, list[Task]]:
    """The tasks that give way, in the order given, and the room that there is without them.

    `take`: whether a task may be stopped beside those before it; then it counts as stopped. The
    room may still be too small: then all that may be stopped does not make it.
    """
    chosen: list[Task] = []
    for task in tasks:
        if free.holds(spec):
            break
        if take(task):
            free = free.plus(spec_of(task))
            chosen.append(task)
    return free, chosen
