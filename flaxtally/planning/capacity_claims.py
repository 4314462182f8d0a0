"""Claims on a machine's capacity by tasks that are to be placed there. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..ledger.placement import Placement
    from ..protocol import wire
    from .placement import FreeResources


class CapacityClaim(NamedTuple):
    """Capacity that is kept for tasks of a job."""

    spec: wire.Spec
    task_count: int
    leaving: Sequence[Placement]
    """The tasks on the machine that are about to leave it for the job."""


def has_capacity_beside(
    spec: wire.Spec, free: FreeResources, claims: Iterable[CapacityClaim]
) -> bool:
    """Whether a task fits in addition to claims, now and each time that tasks leave.

    It must not take capacity that is free now from a claim that waits for nothing else, even if
    enough for both comes free for another claim later.
    """
    expected = free
    leaving: set[Placement] = set()
    for claim in sorted(claims, key=lambda each: bool(each.leaving)):
        expected = _add_leaving(expected, claim, leaving)
        for _ in range(claim.task_count):
            expected = expected.minus(claim.spec)
        if not expected.holds(spec):
            return False
    return True


def find_unsatisfiable(free: FreeResources, claims: Sequence[CapacityClaim]) -> list[int]:
    """Returns the positions of the claims that can't be met any more, once all tasks have left.

    Earlier claims are met before later ones.
    """
    expected = free
    leaving: set[Placement] = set()
    for claim in claims:
        expected = _add_leaving(expected, claim, leaving)
    unsatisfiable = []
    for position, claim in enumerate(claims):
        for _ in range(claim.task_count):
            if not expected.holds(claim.spec):
                unsatisfiable.append(position)
                break
            expected = expected.minus(claim.spec)
    return unsatisfiable


def _add_leaving(
    free: FreeResources, claim: CapacityClaim, leaving: set[Placement]
) -> FreeResources:
    """Returns the free resources after the claim's tasks have left; counts each task once."""
    for placed in claim.leaving:
        if placed not in leaving:
            leaving.add(placed)
            free = free.plus(placed.job.spec)
    return free
