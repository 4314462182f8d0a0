"""The resource shape of tasks: the resources that they need and the machines that they may use."""

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
    """Whether all tasks of the job start at the same time."""
    one_zone: bool = False
    """Whether all tasks of a gang run in one zone; False for other jobs."""

    @property
    def is_best_effort(self) -> bool:
        """Whether the tasks have the lowest rank and run to completion."""
        return not self.is_service and self.rank == RANKS["idle"]

    @classmethod
    def of(cls, spec: Spec) -> Shape:
        """Returns the shape of a job's tasks."""
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
