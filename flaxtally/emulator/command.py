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

DONE, FAILED, INVALID_INPUT = 0, 1, 2
SMALLEST = 4
DEFAULT = Plan(workers=250)


class Played(NamedTuple):
    """A run that came to its end."""

    report: list[str]
    is_good: bool


def _positive(text: str) -> float:
    value = float(text)
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"{text} is not above 0")
    return value


def _count(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(f"{text} is not above 0")
    return value


def _sizes(text: str) -> list[int]:
    sizes = [int(entry) for entry in text.split(",")]
    if any(size < SMALLEST for size in sizes):
        raise argparse.ArgumentTypeError(f"a size is below {SMALLEST}")
    return sizes


def parser() -> argparse.ArgumentParser:
    """The emulator's own command line."""
    emulate = argparse.ArgumentParser(
        prog="flaxtally emulate",
        description="A whole deployment on loopback, with load and faults.",
    )
    commands = emulate.add_subparsers(dest="what", required=True, metavar="COMMAND")
    text = (
        "Real controllers on loopback, stand-ins of state service, cloud and workers, a load by "
        "the expected fleet's ratios. Steps the fleet's size up, holds each, then ends the "
        "leader, restarts workers and silences a zone; checks the rules over all starts and ends. "
        "Needs the libraries of requirements-emulator.txt. Exit code 1: a rule was broken, or a "
        "process died; 2: an option, or the machine, doesn't allow the run."
    )
    scale = commands.add_parser("scale", help="find what saturates first", description=text)
    scale.set_defaults(run=run_scale)
    scale.add_argument(
        "--workers",
        type=_sizes,
        default=[250, 500],
        metavar="N,N,…",
        help="sizes to play, in this order; default: 250,500",
    )
    scale.add_argument("--out", type=Path, required=True, metavar="DIR", help="results and logs")
    _add_plan_options(scale)
    text = (
        "Three real controllers on loopback with lending, two teams that swap roles, a controller "
        "killed or stopped and continued every few seconds. Every loan goes to loans.jsonl; an "
        "audit that sees only the workers' starts and ends gives the verdict. Exit code 1: a "
        "guarantee or a rule was broken, or nothing was recalled."
    )
    lending = commands.add_parser(
        "lending", help="loans recalled while controllers fail", description=text
    )
    lending.set_defaults(run=run_lending)
    lending.add_argument("--out", type=Path, required=True, metavar="DIR", help="results and logs")
    for name, kind, default, meaning in (
        ("--seconds", _positive, 60.0, "how long it is played"),
        ("--seed", int, 1, "draws the faults"),
        ("--port", _count, 23500, "the first of the ports"),
        ("--fault-every", _positive, 10.0, "seconds between two faults"),
        ("--swap-every", _positive, 8.0, "seconds until the next team comes back, or leaves"),
        ("--most-s", _positive, 10.0, "seconds that a team may lack what it is entitled to"),
    ):
        lending.add_argument(
            name, type=kind, default=default, metavar="N", help=f"{meaning}; default: {default:g}"
        )
    text = "print the results of runs again, several as one; aims and lines are reckoned anew"
    again = commands.add_parser("report", help=text, description=text)
    again.set_defaults(run=run_report)
    again.add_argument("folders", type=Path, nargs="+", metavar="DIR", help="a run's --out")
    return emulate


def main(words: list[str]) -> int:
    """Runs the command line; returns the exit code."""
    arguments = parser().parse_args(words)
    code: int = arguments.run(arguments)
    return code


def _add_plan_options(scale: argparse.ArgumentParser) -> None:
    def add(name: str, kind: Any, text: str) -> None:
        field = name.removeprefix("--").replace("-", "_")
        default = getattr(DEFAULT, field)
        scale.add_argument(
            name, type=kind, default=default, metavar="N", help=f"{text}; default: {default:g}"
        )

    add("--seconds", _positive, "how long a size is held, and at least disturbed")
    add("--warm-up", _positive, "seconds at most until the standing replicas run")
    add("--seed", int, "the same seed draws the same load")
    add("--port", _count, "the first of the ports")
    add("--controllers", _count, "real controllers a cell")
    add("--cells", _count, "cells, each with controllers and a state service of its own")
    add("--zones", _count, "zones; the last one falls silent")
    add("--workers-per-process", _count, "hollow workers that a process plays")
    add("--state-rps", _positive, "the state service's requests a second")
    add("--state-write-rps", _positive, "the state service's changes a second")
    add("--report-s", _positive, "seconds between a worker's reports")
    add("--lease-s", _positive, "a worker's lease, in seconds")
    add("--tasks-per-worker", _positive, "running tasks a worker")
    add("--starts-per-worker", _positive, "starts a second and worker")
    add("--array-tasks", _count, "mean tasks of a batch job")
    scale.add_argument("--policy", metavar="FILE", help="the controllers' policy (docs/policy.md)")
    scale.add_argument(
        "--break-rule",
        action="store_true",
        help="have a worker start a task twice: the run must notice it and end with exit code 1",
    )


def _plans(arguments: argparse.Namespace) -> list[Plan]:
    fields = {name for name in Plan.__struct_fields__ if name != "workers"}
    options = {name: value for name, value in vars(arguments).items() if name in fields}
    return [Plan(workers=workers, **options) for workers in arguments.workers]


def run_report(arguments: argparse.Namespace) -> int:
    """Prints what earlier runs have left."""
    try:
        import msgspec

        from . import scale
    except ModuleNotFoundError as fault:
        return _missing(fault)
    try:
        result = scale.combine(arguments.folders)
    except (OSError, msgspec.DecodeError) as fault:
        print(f"flaxtally: {fault}", file=sys.stderr)
        return INVALID_INPUT
    print("\n".join(scale.report(result)))
    return FAILED if result.rules_broken else DONE


def _missing(fault: ModuleNotFoundError) -> int:
    print(
        f"flaxtally: {fault.name} is missing: pip install -r requirements-emulator.txt",
        file=sys.stderr,
    )
    return INVALID_INPUT


def _terminated(*_: object) -> NoReturn:
    raise KeyboardInterrupt


def _play(out: Path, refused: tuple[type[Exception], ...], play: Callable[[], Played]) -> int:
    """Plays a run that leaves its files in `out`; returns the exit code.

    `refused`: what says that the machine, or an option, doesn't allow the run.
    """
    from .processes import ProcessEndedError

    # Set for both: in a background job of a shell an interrupt would be ignored.
    signal.signal(signal.SIGINT, _terminated)
    signal.signal(signal.SIGTERM, _terminated)
    try:
        out.mkdir(parents=True, exist_ok=True)
        played = play()
    except refused as fault:
        print(f"flaxtally: {fault}", file=sys.stderr)
        return INVALID_INPUT
    except ProcessEndedError as fault:
        print(f"flaxtally: {fault}", file=sys.stderr)
        return FAILED
    print("\n".join(played.report))
    return DONE if played.is_good else FAILED


def run_lending(arguments: argparse.Namespace) -> int:
    """Plays the scenario; the verdict goes to standard output."""
    try:
        from . import lending
    except ModuleNotFoundError as fault:
        return _missing(fault)
    options = {name: getattr(arguments, name) for name in lending.Options.__struct_fields__}

    def play() -> Played:
        verdict = lending.run(lending.Options(**options), arguments.out)
        return Played(lending.report(verdict), verdict.is_good)

    return _play(arguments.out, (OSError,), play)


def run_scale(arguments: argparse.Namespace) -> int:
    """Plays the sizes; results go to standard output, progress to standard error."""
    try:
        from . import limits, scale
    except ModuleNotFoundError as fault:
        return _missing(fault)

    def play() -> Played:
        result = scale.run(_plans(arguments), arguments.out)
        return Played(scale.report(result), not result.rules_broken)

    return _play(arguments.out, (limits.LimitError, OSError), play)
