"""The resource shapes of recently submitted jobs, by job class."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ..planning import placement

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..protocol import wire
    from ..protocol.shape import Shape

MAX_SHAPES = 256
"""The most shapes kept of each job class: the newest ones.

The bound is needed where sizes vary freely, so that each job has a shape of its own.
"""


class ResourceShapes:
    """Keeps one job specification of each recently submitted shape."""

    def __init__(self) -> None:
        """Starts without shapes."""
        self._shapes_by_job_class: dict[str, OrderedDict[Shape, wire.Spec]] = {}
        self._gpu_reservations: placement.GpuReservations | None = placement.GpuReservations()
        """The cached value of `gpu_reservations`; None if it must be computed again."""

    def record_shape(self, shape: Shape, spec: wire.Spec) -> None:
        """Records the shape of a submitted job."""
        shapes = self._shapes_by_job_class.setdefault(shape.job_class, OrderedDict())
        if shape in shapes:
            return
        shapes[shape] = spec
        if len(shapes) > MAX_SHAPES:
            shapes.popitem(last=False)
        if spec.gpus:
            self._gpu_reservations = None

    @property
    def gpu_reservations(self) -> placement.GpuReservations:
        """The cores and memory to reserve for each GPU."""
        if self._gpu_reservations is None:
            self._gpu_reservations = placement.compute_gpu_reservations(
                spec for shapes in self._shapes_by_job_class.values() for spec in shapes.values()
            )
        return self._gpu_reservations

    def is_typical(self, shape: Shape) -> bool:
        """Whether the shape represents its job class in the forecast: it is the newest one."""
        shapes = self._shapes_by_job_class.get(shape.job_class)
        return shapes is not None and next(reversed(shapes)) == shape

    def typical_shapes(self) -> Iterator[tuple[Shape, wire.Spec]]:
        """Yields the newest shape of each job class, with a specification of that shape."""
        for shapes in self._shapes_by_job_class.values():
            shape = next(reversed(shapes))
            yield shape, shapes[shape]
