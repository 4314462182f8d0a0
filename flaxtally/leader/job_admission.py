"""Admission of submitted jobs by team, by the machine types that fit, and by the team's limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..planning import placement
from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..settings import Team
    from .term import Term


class JobAdmission:
    """Decides whether a submitted job could ever run."""

    def __init__(self, term: Term) -> None:
        """Checks jobs against the teams of the term's settings and the term's machine types."""
        self._term = term

    def find_rejection_reason(self, spec: wire.Spec) -> str | None:
        """Returns the reason to reject the job; None if it is admitted."""
        team = self._term.settings.teams.get(spec.team)
        if team is None:
            return "unknown team"
        if next(self._allowed_zones(spec), None) is None:
            return "no allowed machine type holds a task"
        if spec.job_kind == wire.GANG and not self._can_hold_gang(spec):
            return "no zones hold all tasks at the same time"
        if _exceeds_limit(spec, team):
            return "more than the team's limit"
        return None

    def _allowed_zones(self, spec: wire.Spec) -> Iterator[str]:
        """Yields the zone of each pair of machine type and zone that may run a task of the job.

        A zone is yielded once for each such machine type.
        """
        for machine_type in self._term.machine_types.values():
            for zone in machine_type.zones:
                if placement.may_use_machine_type(spec, machine_type, zone, spot=False):
                    yield zone

    def _can_hold_gang(self, spec: wire.Spec) -> bool:
        """Whether the zones can hold all tasks of a gang that is spread over zones."""
        if not (spec.spread and spec.tasks > spec.max_tasks_per_zone):
            return True
        return not spec.one_zone and len(set(self._allowed_zones(spec))) > 1


def _exceeds_limit(spec: wire.Spec, team: Team) -> bool:
    """Whether the tasks that must run at the same time exceed the team's hard limit.

    The tasks of an array can run one after the other, so only one of them counts.
    """
    count = 1 if spec.job_kind == wire.ARRAY else spec.tasks
    exceeds_cores = (
        team.cores_max and spec.cores * count > team.cores_max + placement.RESOURCE_TOLERANCE
    )
    exceeds_gpus = (
        team.gpus_max and spec.gpus * count > team.gpus_max + placement.RESOURCE_TOLERANCE
    )
    return bool(exceeds_cores or exceeds_gpus)
