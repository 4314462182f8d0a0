"""What makes tasks alike for scheduling: resources, and the machines that they may use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .vocabulary import GANG, RANKS, SERVICE

if TYPE_CHECKING:
    from .jobs import Spec


@dataclass(frozen=True)
class Shape:
    """The resource shape of tasks; tasks of one shape are interchangeable for the autoscaler."""

    job_class: str
    cores: float
    gpus: float
    memory_gb: float
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    is_service: bool
    rank: int
    is_gang: bool = False
    """All tasks of a job start at the same time."""
    one_zone: bool = False
    """Of a gang: all tasks run in one zone."""

    @property
    def is_best_effort(self) -> bool:
        """Whether it is of the lowest rank and runs to an end."""
        return not self.is_service and self.rank == RANKS["idle"]

    @classmethod
    def of(cls, spec: Spec) -> Shape:
        """The shape of a job's tasks."""
        is_gang = spec.job_kind == GANG
        return cls(
            spec.job_class,
            round(spec.cores, 1),
            spec.gpus,
            spec.memory_gb,
            spec.machine_types,
            spec.zone,
            spec.spot,
            spec.job_kind == SERVICE,
            RANKS[spec.rank],
            is_gang,
            is_gang and spec.one_zone,
        )
