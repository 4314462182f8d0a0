"""Tests of the features file and of the feature `tracing`."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest

from flaxtally.cli import controller_commands, main
from flaxtally.fakes.settings_text import settings_text
from flaxtally.feature_table import FeatureError
from flaxtally.features import read_file
from flaxtally.lending.feature import LendingFeature
from flaxtally.runtime.loop import Loop
from flaxtally.tracing import FileExporter, Tracing

from .simulated_cluster import SimulatedCluster

ROOT = Path(__file__).resolve().parent.parent


def write_features(folder: Path, text: str) -> str:
    path = folder / "features.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[tracking]\n", "tracking: unknown feature, expected one of: lending, tracing"),
        ("tracing = 3\n", "tracing: expected a table, got 3"),
        ("[tracing]\n", "tracing.file: missing, or not a non-empty string: got None"),
        ("[tracing]\nfile = 3\n", "tracing.file: missing, or not a non-empty string: got 3"),
        (
            '[tracing]\nfile = "x"\nleast_ms = "fast"\n',
            "tracing.least_ms: expected a number, got 'fast'",
        ),
        ('[tracing]\nfile = "x"\nleast_ms = 0\n', "tracing.least_ms: 0 is not within"),
        (
            '[tracing]\nfile = "x"\nleast = 3\n',
            "tracing.least: unknown field, expected one of: file",
        ),
        ("[tracing\n", "Expected"),
    ],
)
def test_an_invalid_features_file_gives_one_line_that_names_the_place(
    text: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # A typing error must not leave a feature disabled without notice: the controller doesn't start.
    config = tmp_path / "node.toml"
    config.write_text(settings_text(SimulatedCluster().build_settings("hearth-0")))
    path = write_features(tmp_path, text)
    for command in ("check", "serve"):
        assert main([command, "--config", str(config), "--features", path]) == 2
        captured = capsys.readouterr()
        assert captured.out == ""
        assert expected in captured.err
        assert path in captured.err
        assert len(captured.err.splitlines()) == 1


def test_a_missing_features_file_is_named() -> None:
    # The error must contain the path that the operator gave.
    with pytest.raises(FeatureError, match=r"/nowhere/features\.toml: No such file"):
        read_file("/nowhere/features.toml")


def test_the_shipped_features_file_is_valid() -> None:
    # Guards against a shipped file that the current checks reject or read differently.
    tracing, lending = read_file(str(ROOT / "deploy" / "features.toml"))
    assert isinstance(tracing, Tracing)
    assert tracing.min_callback_s == 0.01
    assert isinstance(lending, LendingFeature)
    assert lending.stops_per_minute == 2.0


@pytest.mark.real_processes
def test_without_a_features_file_no_library_of_a_feature_is_imported() -> None:
    # A controller without features must start without the optional libraries, and not import them.
    found = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, run; run.import_runtime(); print(*sys.modules, sep='\\n')",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert "flaxtally.controller" in found
    assert not [name for name in found if "opentelemetry" in name or name.endswith(".features")]


def test_a_missing_library_of_a_feature_is_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The libraries of a feature are optional: the error must say how to install them.
    monkeypatch.delitem(sys.modules, "flaxtally.tracing")
    monkeypatch.setitem(sys.modules, "opentelemetry.sdk.resources", None)
    with pytest.raises(FeatureError, match=r"tracing: .* is missing: pip install -r"):
        read_file(write_features(tmp_path, '[tracing]\nfile = "x"\n'))


def nap() -> None:
    time.sleep(0.03)


def blink() -> None:
    pass


@pytest.mark.real_processes
def test_long_callbacks_are_spans_and_short_ones_are_not(tmp_path: Path) -> None:
    # Spans of short callbacks would fill the trace; a missing long one would hide a slow callback.
    # Callbacks that take at least `least_ms` are traced, in the order in which they ran.
    trace = tmp_path / "trace.jsonl"
    features = read_file(write_features(tmp_path, f'[tracing]\nfile = "{trace}"\nleast_ms = 20\n'))
    loop = Loop()
    controller_commands._start_features(
        features, loop, SimulatedCluster().build_settings("hearth-1")
    )
    for _ in range(20):
        loop.soon(blink)
    loop.soon(nap)
    loop.after(0.01, nap)
    loop.after(0.2, loop.stop)
    before = time.time()
    loop.run()
    loop.close()
    spans = [json.loads(line) for line in trace.read_text().splitlines()]
    assert [span["name"] for span in spans] == ["nap", "nap"]
    assert all(0.02 < span["seconds"] < 0.2 for span in spans)
    assert all(before - 1 < span["at"] < time.time() for span in spans)
    assert spans[0]["resource"]["node"] == "hearth-1"


@pytest.mark.real_processes
def test_a_full_trace_is_rotated_once_and_a_failing_disk_stops_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Traces must neither fill the disk nor stop the controller when they can't be written: spans
    # are lost then, which is logged.
    trace = tmp_path / "trace.jsonl"
    features = read_file(
        write_features(tmp_path, f'[tracing]\nfile = "{trace}"\nleast_ms = 0.1\nmost_mb = 0.001\n')
    )
    loop = Loop()
    controller_commands._start_features(
        features, loop, SimulatedCluster().build_settings("hearth-1")
    )

    def sleep_and_stop() -> None:
        # Sleeps, so that it always gets a span: `loop.stop` alone takes longer than `least_ms` only
        # if the process is preempted meanwhile.
        time.sleep(0.001)
        loop.stop()

    for number in range(12):
        loop.after(0.002 * number, time.sleep, 0.001)
    loop.after(0.2, sleep_and_stop)
    loop.run()
    loop.close()
    rotated = trace.with_name("trace.jsonl.1")
    assert rotated.exists()
    assert rotated.stat().st_size < 3000
    lines = [line for path in (rotated, trace) for line in path.read_text().splitlines()]
    names = [json.loads(line)["name"] for line in lines]
    assert names[-1].endswith(".sleep_and_stop")
    assert set(names[:-1]) == {"sleep"}
    exporter = FileExporter(tmp_path / "other.jsonl", 1000)
    exporter._file.close()
    exporter._file = open("/dev/full", "w")  # noqa: SIM115  closed at the end of the test
    from opentelemetry.sdk.trace import TracerProvider

    span = TracerProvider().get_tracer("t").start_span("x")
    span.end()
    assert exporter.export([span]).name == "FAILURE"
    assert "event=trace_lost spans=1" in caplog.text


def test_a_trace_file_that_cannot_be_written_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # An error of the operating system must come with the field of the features file.
    config = tmp_path / "node.toml"
    config.write_text(settings_text(SimulatedCluster().build_settings("hearth-0")))
    path = write_features(tmp_path, '[tracing]\nfile = "/nowhere/trace.jsonl"\n')
    assert main(["serve", "--config", str(config), "--features", path]) == 2
    captured = capsys.readouterr().err.splitlines()
    assert captured[-1].endswith("tracing.file: No such file or directory")
