"""Traces of long callbacks of a controller's event loop, as OpenTelemetry spans in a file.

Each callback that takes longer than a threshold becomes a span with its function, start and end.
In a fleet of thousands of machines the spans show which of the leader's duties (a scheduling pass,
an autoscaling plan, a replay) delayed the others, and when. The table `tracing` of a features file
enables them; `docs/tracing.md` is the operators' page.
"""

from __future__ import annotations

import json
import logging
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult

from ..runtime.loop_delay import get_callback_name

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..feature_table import Table
    from ..policy import Policy
    from ..runtime.loop import Loop
    from ..settings import Settings

log = logging.getLogger(__name__)

NANOSECONDS_PER_S = 1_000_000_000
BYTES_PER_MB = 2**20
DEFAULT_MIN_CALLBACK_MS, DEFAULT_MAX_FILE_MB = 10.0, 16.0
"""Defaults of the fields `least_ms` and `most_mb`."""


class FileExporter(SpanExporter):
    """Writes spans as lines of JSON; a full file is rotated, and one old file is kept (`.1`)."""

    def __init__(self, path: Path, max_file_bytes: int) -> None:
        """Opens the file for appending; raises `OSError` if it can't be written."""
        self._path, self._max_file_bytes = path, max_file_bytes
        self._file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Appends the spans; if the disk fails, they are lost and the controller continues."""
        try:
            for span in spans:
                self._file.write(json.dumps(_build_line(span), separators=(",", ":")) + "\n")
            self._file.flush()
            if self._file.tell() > self._max_file_bytes:
                self._rotate()
        except OSError as error:
            log.warning("event=trace_lost spans=%d why=%r", len(spans), str(error))
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def _rotate(self) -> None:
        self._file.close()
        self._path.replace(self._path.with_name(self._path.name + ".1"))
        self._file = self._path.open("a", encoding="utf-8")

    def shutdown(self) -> None:
        """Closes the file."""
        self._file.close()


def _build_line(span: ReadableSpan) -> dict[str, Any]:
    start_ns, end_ns = span.start_time or 0, span.end_time or 0
    return {
        "name": span.name,
        "at": start_ns / NANOSECONDS_PER_S,
        "seconds": (end_ns - start_ns) / NANOSECONDS_PER_S,
        "resource": dict(span.resource.attributes),
    }


@dataclass(frozen=True)
class Tracing:
    """The tracing feature, as configured by its table."""

    table: Table
    path: Path
    """File of the spans."""
    min_callback_s: float
    """Duration above which a callback becomes a span."""
    max_file_bytes: int
    """Size above which the file is rotated."""

    @classmethod
    def from_table(cls, table: Table) -> Tracing:
        """Reads the feature's table; raises `FeatureError` if it is invalid."""
        table.refuse_unknown_fields("file", "least_ms", "most_mb")
        return cls(
            table,
            Path(table.text("file")),
            table.number("least_ms", DEFAULT_MIN_CALLBACK_MS, 0.1, 60_000.0) / 1000,
            int(table.number("most_mb", DEFAULT_MAX_FILE_MB, 0.001, 1024.0) * BYTES_PER_MB),
        )

    def check(self, settings: Settings, policy: Policy, *, has_cells: bool) -> None:
        """Accepts all settings and policies: tracing is compatible with them and with cells."""

    def start(self, loop: Loop, settings: Settings) -> None:
        """Writes a span for each long callback of the loop."""
        try:
            exporter = FileExporter(self.path, self.max_file_bytes)
        except OSError as error:
            raise self.table.error("file", error.strerror or str(error)) from None
        resource = Resource(
            {"service.name": "flaxtally", "node": settings.node, "zone": settings.zone}
        )
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracer = provider.get_tracer("flaxtally.loop")

        def write_span(callback: Callable[..., None], duration_s: float) -> None:
            end_ns = time.time_ns()
            start_ns = end_ns - round(duration_s * NANOSECONDS_PER_S)
            tracer.start_span(get_callback_name(callback), start_time=start_ns).end(end_time=end_ns)

        loop.on_long_callback(self.min_callback_s, write_span)
