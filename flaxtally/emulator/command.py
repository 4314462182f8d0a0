"""The command line of the emulator: `python3 -m flaxtally emulate scale`."""

from __future__ import annotations

import argparse
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn

from .plan import Plan

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_OK, EXIT_FAILED, EXIT_INVALID_INPUT = 0, 1, 2
MIN_WORKERS = 4
"""The smallest fleet that a scale run accepts."""
DEFAULT_PLAN = Plan(workers=250)


class CompletedRun(NamedTuple):
    """The report of a run that was not aborted, and whether its checks passed."""

    report: list[str]
    has_passed: bool


def _parse_positive(text: str) -> float:
    value = float(text)
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"{text} is not above 0")
    return value


def _parse_count(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(f"{text} is not above 0")
    return value


def _parse_sizes(text: str) -> list[int]:
    sizes = [int(entry) for entry in text.split(",")]
    if any(size < MIN_WORKERS for size in sizes):
        raise argparse.ArgumentTypeError(f"a size is below {MIN_WORKERS}")
    return sizes


def create_parser() -> argparse.ArgumentParser:
    """Creates the parser of the emulator's command line."""
    emulate = argparse.ArgumentParser(
        prog="flaxtally emulate",
        description="A whole deployment on loopback, with load and faults.",
    )
    commands = emulate.add_subparsers(dest="what", required=True, metavar="COMMAND")
    text = (
        "Runs real controllers on loopback with a fake state service, cloud and workers, and a "
        "load with the ratios of the expected fleet. Runs one fleet size after the other: first "
        "without faults, then the leader is killed, workers restart and a zone is cut off. Checks "
        "the protocol's rules over all starts and ends of tasks. Needs the libraries of "
        "requirements-emulator.txt. Exit code 1: a rule was broken, or a process exited; 2: an "
        "option is invalid, or the machine lacks a resource for the run."
    )
    scale = commands.add_parser(
        "scale", help="find the resource that is saturated first", description=text
    )
    scale.set_defaults(run=run_scale)
    scale.add_argument(
        "--workers",
        type=_parse_sizes,
        default=[250, 500],
        metavar="N,N,…",
        help="the fleet sizes, in the order in which they are run; default: 250,500",
    )
    scale.add_argument("--out", type=Path, required=True, metavar="DIR", help="results and logs")
    _add_plan_options(scale)
    text = (
        "Runs three real controllers on loopback with lending, and two teams that lend and borrow "
        "in turn; every few seconds a controller is killed, or paused for a while. Writes each "
        "change of a loan to loans.jsonl. An audit that sees only what users submit and cancel and "
        "which tasks start and end gives the verdict. Exit code 1: a guarantee or a rule was "
        "broken, or no loan was reclaimed."
    )
    lending = commands.add_parser(
        "lending", help="reclaim loans while controllers fail", description=text
    )
    lending.set_defaults(run=run_lending)
    lending.add_argument("--out", type=Path, required=True, metavar="DIR", help="results and logs")
    for name, kind, default, meaning in (
        ("--seconds", _parse_positive, 60.0, "how long the run lasts"),
        ("--seed", int, 1, "seed of the random faults"),
        ("--port", _parse_count, 23500, "the first of the ports"),
        ("--fault-every", _parse_positive, 10.0, "seconds between two faults"),
        (
            "--swap-every",
            _parse_positive,
            8.0,
            "seconds until the next team's job is submitted or cancelled",
        ),
        (
            "--most-s",
            _parse_positive,
            10.0,
            "seconds that a team may wait for capacity that it is guaranteed",
        ),
    ):
        lending.add_argument(
            name, type=kind, default=default, metavar="N", help=f"{meaning}; default: {default:g}"
        )
    text = "print the combined results of earlier runs; aims and fitted lines are computed again"
    report = commands.add_parser("report", help=text, description=text)
    report.set_defaults(run=run_report)
    report.add_argument("folders", type=Path, nargs="+", metavar="DIR", help="a run's --out")
    return emulate


def main(argv: list[str]) -> int:
    """Runs the command line; returns the exit code."""
    arguments = create_parser().parse_args(argv)
    code: int = arguments.run(arguments)
    return code


def _add_plan_options(scale: argparse.ArgumentParser) -> None:
    def add(name: str, kind: Any, text: str) -> None:
        field = name.removeprefix("--").replace("-", "_")
        default = getattr(DEFAULT_PLAN, field)
        scale.add_argument(
            name, type=kind, default=default, metavar="N", help=f"{text}; default: {default:g}"
        )

    add(
        "--seconds",
        _parse_positive,
        "seconds of the phase without faults, and at least of the phase with faults",
    )
    add("--warm-up", _parse_positive, "longest time until the services' replicas run, in seconds")
    add("--seed", int, "seed of the load; the same seed gives the same load")
    add("--port", _parse_count, "the first of the ports")
    add("--controllers", _parse_count, "controllers per cell")
    add("--cells", _parse_count, "cells, each with controllers and a state service of its own")
    add("--zones", _parse_count, "zones; the last one is cut off")
    add("--workers-per-process", _parse_count, "hollow workers that a process runs")
    add("--state-rps", _parse_positive, "requests per second that the state service allows")
    add("--state-write-rps", _parse_positive, "changes per second that the state service allows")
    add("--report-s", _parse_positive, "seconds between a worker's heartbeats")
    add("--lease-s", _parse_positive, "a worker's lease, in seconds")
    add("--tasks-per-worker", _parse_positive, "running tasks per worker")
    add("--starts-per-worker", _parse_positive, "task starts per second and worker")
    add("--array-tasks", _parse_count, "mean number of tasks of a batch job")
    scale.add_argument("--policy", metavar="FILE", help="the controllers' policy (docs/policy.md)")
    scale.add_argument(
        "--break-rule",
        action="store_true",
        help="start a task on a second worker: the run must report it and end with exit code 1",
    )


def _create_plans(arguments: argparse.Namespace) -> list[Plan]:
    fields = {name for name in Plan.__struct_fields__ if name != "workers"}
    options = {name: value for name, value in vars(arguments).items() if name in fields}
    return [Plan(workers=workers, **options) for workers in arguments.workers]


def run_report(arguments: argparse.Namespace) -> int:
    """Prints the results of earlier runs; returns the exit code."""
    try:
        import msgspec

        from . import scale
    except ModuleNotFoundError as error:
        return _report_missing_module(error)
    try:
        result = scale.combine(arguments.folders)
    except (OSError, msgspec.DecodeError) as error:
        print(f"flaxtally: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    print("\n".join(scale.format_report(result)))
    return EXIT_FAILED if result.rules_broken else EXIT_OK


def _report_missing_module(error: ModuleNotFoundError) -> int:
    print(
        f"flaxtally: {error.name} is missing: pip install -r requirements-emulator.txt",
        file=sys.stderr,
    )
    return EXIT_INVALID_INPUT


def _raise_interrupt(*_: object) -> NoReturn:
    raise KeyboardInterrupt


def _run_and_report(
    out: Path, refusals: tuple[type[Exception], ...], run: Callable[[], CompletedRun]
) -> int:
    """Calls `run`, which writes its files to `out`, and prints its report; returns the exit code.

    `refusals`: exceptions that mean that an option or the machine doesn't allow the run.
    """
    from .processes import ProcessEndedError

    # SIGINT gets a handler too: a shell starts background jobs with SIGINT ignored.
    signal.signal(signal.SIGINT, _raise_interrupt)
    signal.signal(signal.SIGTERM, _raise_interrupt)
    try:
        out.mkdir(parents=True, exist_ok=True)
        completed = run()
    except refusals as error:
        print(f"flaxtally: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    except ProcessEndedError as error:
        print(f"flaxtally: {error}", file=sys.stderr)
        return EXIT_FAILED
    print("\n".join(completed.report))
    return EXIT_OK if completed.has_passed else EXIT_FAILED


def run_lending(arguments: argparse.Namespace) -> int:
    """Runs the lending scenario and prints its verdict; returns the exit code."""
    try:
        from . import lending
    except ModuleNotFoundError as error:
        return _report_missing_module(error)
    options = {name: getattr(arguments, name) for name in lending.Options.__struct_fields__}

    def run() -> CompletedRun:
        verdict = lending.run(lending.Options(**options), arguments.out)
        return CompletedRun(lending.format_report(verdict), verdict.has_passed)

    return _run_and_report(arguments.out, (OSError,), run)


def run_scale(arguments: argparse.Namespace) -> int:
    """Runs the sizes: results to standard output, progress to standard error; returns the code."""
    try:
        from . import limits, scale
    except ModuleNotFoundError as error:
        return _report_missing_module(error)

    def run() -> CompletedRun:
        result = scale.run(_create_plans(arguments), arguments.out)
        return CompletedRun(scale.format_report(result), not result.rules_broken)

    return _run_and_report(arguments.out, (limits.LimitError, OSError), run)
