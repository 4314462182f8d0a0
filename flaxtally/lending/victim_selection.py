"""Selects the tasks to stop on one machine so that another task fits there. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

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
    """Returns the capacity that is free after the stops, and the tasks to stop, in the given order.

    `try_take`: whether a task may be stopped in addition to the earlier ones; if so, it counts as
    stopped. If the returned capacity is too small, no permitted selection is sufficient. Tasks that
    larger ones after them made unnecessary are left out again.
    """
    victims: list[Task] = []
    for candidate in candidates:
        if free.holds(spec):
            break
        if try_take(candidate):
            free = free.plus(spec_of(candidate))
            victims.append(candidate)
    return remove_unneeded(victims, free, spec_of, lambda remaining: remaining.holds(spec))


def remove_unneeded(
    victims: Sequence[Task],
    free: FreeResources,
    spec_of: Callable[[Task], wire.Spec],
    is_sufficient: Callable[[FreeResources], bool],
) -> tuple[FreeResources, list[Task]]:
    """Returns the free capacity and the victims without those that need not stop, last one first.

    `free`: the capacity that is free after all of them have stopped.
    """
    needed: list[Task] = []
    for victim in reversed(victims):
        without = free.minus(spec_of(victim))
        if is_sufficient(without):
            free = without
        else:
            needed.append(victim)
    needed.reverse()
    return free, needed
