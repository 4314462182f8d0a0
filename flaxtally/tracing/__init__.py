"""Traces of what holds up a controller's loop, as OpenTelemetry spans in a file.

Each callback of the loop that takes longer than a bound is a span: its function, and when it began
and ended. A leader of thousands of machines shows so which duty (a pass, a plan, a replay) held up
the others, and when. Enabled by the table `tracing` of a features file; `docs/tracing.md` is the
operators' page.
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

from ..runtime.loop_delay import callback_name

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..feature_table import Table
    from ..policy import Policy
    from ..runtime.loop import Loop
    from ..settings import Settings

log = logging.getLogger(__name__)

NANOSECONDS = 1_000_000_000
MB = 2**20
DEFAULT_LEAST_MS, DEFAULT_MOST_MB = 10.0, 16.0


class FileExporter(SpanExporter):
    """Writes spans as lines of JSON; a full file is kept once, under its name with `.1`."""

    def __init__(self, path: Path, most_bytes: int) -> None:
        """Raises OSError if the file can't be written."""
        self._path, self._most_bytes = path, most_bytes
        self._file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Appends the spans; a disk that fails costs spans and nothing else."""
        try:
            for span in spans:
                self._file.write(json.dumps(_as_line(span), separators=(",", ":")) + "\n")
            self._file.flush()
            if self._file.tell() > self._most_bytes:
                self._begin_anew()
        except OSError as fault:
            log.warning("event=trace_lost spans=%d why=%r", len(spans), str(fault))
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def _begin_anew(self) -> None:
        self._file.close()
        self._path.replace(self._path.with_name(self._path.name + ".1"))
        self._file = self._path.open("a", encoding="utf-8")

    def shutdown(self) -> None:
        """Closes the file."""
        self._file.close()


def _as_line(span: ReadableSpan) -> dict[str, Any]:
    began, ended = span.start_time or 0, span.end_time or 0
    return {
        "name": span.name,
        "at": began / NANOSECONDS,
        "seconds": (ended - began) / NANOSECONDS,
        "resource": dict(span.resource.attributes),
    }


@dataclass(frozen=True)
class Tracing:
    """The feature: where spans go, and how long a callback must take to be one."""

    table: Table
    path: Path
    min_callback_s: float
    most_bytes: int

    @classmethod
    def of(cls, table: Table) -> Tracing:
        """Checks the feature's table."""
        table.only("file", "least_ms", "most_mb")
        return cls(
            table,
            Path(table.text("file")),
            table.number("least_ms", DEFAULT_LEAST_MS, 0.1, 60_000.0) / 1000,
            int(table.number("most_mb", DEFAULT_MOST_MB, 0.001, 1024.0) * MB),
        )

    def check(self, settings: Settings, policy: Policy, *, has_cells: bool) -> None:
        """It goes with all of them."""

    def start(self, loop: Loop, settings: Settings) -> None:
        """Has the loop tell of its long callbacks."""
        try:
            exporter = FileExporter(self.path, self.most_bytes)
        except OSError as fault:
            raise self.table.fault("file", fault.strerror or str(fault)) from None
        resource = Resource(
            {"service.name": "flaxtally", "node": settings.node, "zone": settings.zone}
        )
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracer = provider.get_tracer("flaxtally.loop")

        def ran(callback: Callable[..., None], seconds: float) -> None:
            ended = time.time_ns()
            began = ended - round(seconds * NANOSECONDS)
            tracer.start_span(callback_name(callback), start_time=began).end(end_time=ended)

        loop.on_long_callback(self.min_callback_s, ran)
