"""What makes tasks alike: amounts, and the machines that they may use."""

from __future__ import annotations

from dataclasses import dataclass

from . import wire


@dataclass(frozen=True)
class Shape:
    """Tasks that are alike to the planner."""

    lane: str
    cores: float
    gpus: float
    ram: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    service: bool
    rank: int
    gang: bool = False
    """All tasks of a job begin at the same time."""
    one_zone: bool = False
    """Of a gang: in one zone."""

    @property
    def best_effort(self) -> bool:
        """Whether it is of the lowest rank and runs to an end."""
        return not self.service and self.rank == wire.RANKS["idle"]

    @classmethod
    def of(cls, spec: wire.Spec) -> Shape:
        return cls(
            spec.lane,
            round(spec.cores, 1),
            spec.gpus,
            spec.ram,
            spec.types,
            spec.zone,
            spec.spot,
            spec.kind == wire.SERVICE,
            wire.RANKS[spec.rank],
            spec.kind == wire.GANG,
            spec.kind == wire.GANG and spec.one_zone,
        )
