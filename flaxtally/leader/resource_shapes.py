"""The shapes that jobs had lately, by lane."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ..planning import placement

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..protocol import wire
    from ..protocol.shape import Shape

MOST_SHAPES = 256
"""Of a lane: those first seen last stand for it. Where sizes vary freely, every job has its own."""


class ResourceShapes:
    """A job of each shape that was seen lately."""

    def __init__(self) -> None:
        self._job_classes: dict[str, OrderedDict[Shape, wire.Spec]] = {}
        self._needs: placement.GpuNeeds | None = placement.GpuNeeds()

    def note(self, shape: Shape, spec: wire.Spec) -> None:
        """A job of that shape came."""
        shapes = self._job_classes.setdefault(shape.job_class, OrderedDict())
        if shape in shapes:
            return
        shapes[shape] = spec
        if len(shapes) > MOST_SHAPES:
            shapes.popitem(last=False)
        if spec.gpus:
            self._needs = None

    @property
    def gpu_needs(self) -> placement.GpuNeeds:
        """What tasks need beside each GPU."""
        if self._needs is None:
            self._needs = placement.gpu_needs(
                spec for shapes in self._job_classes.values() for spec in shapes.values()
            )
        return self._needs

    def is_typical(self, shape: Shape) -> bool:
        """One shape stands for its lane in the forecast of arrivals: the last new one."""
        shapes = self._job_classes.get(shape.job_class)
        return shapes is not None and next(reversed(shapes)) == shape

    def typical(self) -> Iterator[tuple[Shape, wire.Spec]]:
        """The shape that stands for each lane, with a job of it."""
        for shapes in self._job_classes.values():
            shape = next(reversed(shapes))
            yield shape, shapes[shape]
