"""Features that a file enables, and the one for traces."""

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


def write(folder: Path, text: str) -> str:
    path = folder / "features.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[tracking]\n", "tracking: not known; there are lending, tracing"),
        ("tracing = 3\n", "tracing: not a table"),
        ("[tracing]\n", "tracing.file: missing, or not a text"),
        ("[tracing]\nfile = 3\n", "tracing.file: missing, or not a text"),
        ('[tracing]\nfile = "x"\nleast_ms = "fast"\n', "tracing.least_ms: not a number"),
        ('[tracing]\nfile = "x"\nleast_ms = 0\n', "tracing.least_ms: 0 is not within"),
        ('[tracing]\nfile = "x"\nleast = 3\n', "tracing.least: not known; there are file"),
        ("[tracing\n", "Expected"),
    ],
)
def test_a_faulty_features_file_is_one_line_that_names_the_place(
    text: str, said: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config = tmp_path / "node.toml"
    config.write_text(settings_text(SimulatedCluster().settings_of("hearth-0")))
    path = write(tmp_path, text)
    for command in ("check", "serve"):
        assert main([command, "--config", str(config), "--features", path]) == 2
        told = capsys.readouterr()
        assert told.out == ""
        assert said in told.err
        assert path in told.err
        assert len(told.err.splitlines()) == 1


def test_a_features_file_that_is_missing_is_named() -> None:
    with pytest.raises(FeatureError, match=r"/nowhere/features\.toml: No such file"):
        read_file("/nowhere/features.toml")


def test_the_shipped_features_file_is_sound() -> None:
    tracing, lending = read_file(str(ROOT / "deploy" / "features.toml"))
    assert isinstance(tracing, Tracing)
    assert tracing.min_callback_s == 0.01
    assert isinstance(lending, LendingFeature)
    assert lending.stops_per_minute == 2.0


@pytest.mark.real_processes
def test_without_a_features_file_no_library_of_a_feature_is_imported() -> None:
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


def test_a_library_that_is_missing_is_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delitem(sys.modules, "flaxtally.tracing")
    monkeypatch.setitem(sys.modules, "opentelemetry.sdk.resources", None)
    with pytest.raises(FeatureError, match=r"tracing: .* is missing: pip install -r"):
        read_file(write(tmp_path, '[tracing]\nfile = "x"\n'))


def nap() -> None:
    time.sleep(0.03)


def blink() -> None:
    pass


@pytest.mark.real_processes
def test_long_callbacks_are_spans_and_short_ones_are_not(tmp_path: Path) -> None:
    trace = tmp_path / "trace.jsonl"
    features = read_file(write(tmp_path, f'[tracing]\nfile = "{trace}"\nleast_ms = 20\n'))
    loop = Loop()
    controller_commands._start_features(features, loop, SimulatedCluster().settings_of("hearth-1"))
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
def test_a_full_trace_is_kept_once_and_a_failing_disk_ends_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    trace = tmp_path / "trace.jsonl"
    features = read_file(
        write(tmp_path, f'[tracing]\nfile = "{trace}"\nleast_ms = 0.1\nmost_mb = 0.001\n')
    )
    loop = Loop()
    controller_commands._start_features(features, loop, SimulatedCluster().settings_of("hearth-1"))
    for number in range(12):
        loop.after(0.002 * number, time.sleep, 0.001)
    loop.after(0.2, loop.stop)
    loop.run()
    loop.close()
    lines = trace.read_text().splitlines()
    kept = trace.with_name("trace.jsonl.1")
    assert kept.exists()
    assert kept.stat().st_size < 3000
    assert all(json.loads(line)["name"] == "sleep" for line in lines)
    exporter = FileExporter(tmp_path / "other.jsonl", 1000)
    exporter._file.close()
    exporter._file = open("/dev/full", "w")  # noqa: SIM115  closed by the test's end
    from opentelemetry.sdk.trace import TracerProvider

    span = TracerProvider().get_tracer("t").start_span("x")
    span.end()
    assert exporter.export([span]).name == "FAILURE"
    assert "event=trace_lost spans=1" in caplog.text


def test_a_trace_file_that_cannot_be_written_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config = tmp_path / "node.toml"
    config.write_text(settings_text(SimulatedCluster().settings_of("hearth-0")))
    path = write(tmp_path, '[tracing]\nfile = "/nowhere/trace.jsonl"\n')
    assert main(["serve", "--config", str(config), "--features", path]) == 2
    told = capsys.readouterr().err.splitlines()
    assert told[-1].endswith("tracing.file: No such file or directory")
