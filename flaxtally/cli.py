"""The command line. Exit codes: 0 done, 1 the service refused or can't be reached, 2 bad input."""

from __future__ import annotations

import argparse
import dataclasses
import gc
import logging
import os
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from . import __version__, policy
from .runtime import open_files
from .settings import Settings, SettingsError, address, load

if TYPE_CHECKING:
    from collections.abc import Callable

    from .cells.membership import CellSetup
    from .controller import Controller
    from .features import Feature
    from .lending.feature import LendingFeature
    from .policy import Policy
    from .runtime.loop import Loop

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
DONE, REFUSED, INVALID_INPUT = 0, 1, 2
EMULATE = "emulate"


class InvalidInputError(Exception):
    """What the user gave can't be used; the text says what and why."""


def _logging() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )


def _settings(arguments: argparse.Namespace) -> Settings:
    try:
        return load(arguments.config)
    except SettingsError as fault:
        raise InvalidInputError(f"{arguments.config}: {fault}") from None


def _policy(arguments: argparse.Namespace, settings: Settings) -> list[policy.Setting]:
    try:
        return policy.explain(settings, arguments.policy)
    except policy.PolicyError as fault:
        raise InvalidInputError(str(fault)) from None


def import_runtime() -> tuple[type[Loop], type[Controller]]:
    """Imports what only a controller needs: `check` and `--help` do without its libraries."""
    from .controller import Controller
    from .runtime.loop import Loop

    return Loop, Controller


def _serve(arguments: argparse.Namespace) -> int:
    # What a start allocates stays for good: collections would look for garbage in vain, now and
    # again each time that the state of the jobs has grown.
    gc.disable()
    settings = _settings(arguments)
    ratios = policy.build(_policy(arguments, settings))
    features = _features(arguments, settings, ratios)
    _logging()
    Loop, Controller = import_runtime()
    settings = _within_files(settings)
    loop = Loop()
    try:
        _start_features(features, loop, settings)
        cells = _cells(arguments, settings)
        Controller(loop, settings, ratios, random.Random(), cells, _lending(features))
    except OSError as fault:
        print(f"flaxtally: can't listen: {fault}", file=sys.stderr)
        return REFUSED
    gc.freeze()
    gc.enable()
    loop.run()
    return DONE


def _features(arguments: argparse.Namespace, settings: Settings, ratios: Policy) -> list[Feature]:
    """What the features file enables, if it goes with all else; nothing without one."""
    if arguments.features is None:
        return []
    from .features import FeatureError, read_file

    try:
        found = read_file(arguments.features)
        for feature in found:
            feature.check(settings, ratios, has_cells=arguments.cells is not None)
        return found
    except FeatureError as fault:
        raise InvalidInputError(str(fault)) from None


def _lending(features: list[Feature]) -> LendingFeature | None:
    """The feature that the leader takes up, if it is enabled."""
    if not features:
        return None
    from .lending.feature import LendingFeature

    return next((each for each in features if isinstance(each, LendingFeature)), None)


def _start_features(features: list[Feature], loop: Loop, settings: Settings) -> None:
    if not features:
        return
    from .features import FeatureError

    for feature in features:
        try:
            feature.start(loop, settings)
        except FeatureError as fault:
            raise InvalidInputError(str(fault)) from None


def _within_files(settings: Settings) -> Settings:
    """The settings with as many sockets as the process may open; a controller does with fewer."""
    needed = open_files.files_needed(settings.max_sockets)
    granted = open_files.raise_limit(needed)
    if granted >= needed:
        return settings
    logging.getLogger(__name__).warning(
        "event=few_files max_sockets=%d needed=%d granted=%d",
        settings.max_sockets,
        needed,
        granted,
    )
    return dataclasses.replace(settings, max_sockets=max(1, granted - open_files.OTHER_FILES))


def _cells(arguments: argparse.Namespace, settings: Settings) -> CellSetup | None:
    """What the deploy file says of cells; None: this fleet is not divided."""
    if arguments.cells is None:
        return None
    from .cells.map import CellMapError, read_file
    from .cells.membership import CellSetup

    try:
        cells = read_file(arguments.cells)
        # A single cell is the undivided fleet: nothing differs from one without the file.
        return CellSetup(cells, settings) if len(cells.map.cells) > 1 else None
    except CellMapError as fault:
        raise InvalidInputError(str(fault)) from None


def _check_files(path: str, settings: Settings) -> None:
    needed = open_files.files_needed(settings.max_sockets)
    allowed = open_files.most_allowed()
    if allowed is not None and needed > allowed:
        raise InvalidInputError(
            f"{path}: params.limits.max_sockets: {settings.max_sockets} sockets need {needed} open "
            f"files, and a process may open {allowed} here (ulimit -Hn)"
        )


def _check(arguments: argparse.Namespace) -> int:
    settings = _settings(arguments)
    ratios = policy.build(_policy(arguments, settings))
    _cells(arguments, settings)
    _features(arguments, settings, ratios)
    _check_files(arguments.config, settings)
    print(f"{arguments.config}: settings are sound")
    if arguments.policy is not None:
        print(f"{arguments.policy}: policy is sound")
    return DONE


def _policy_show(arguments: argparse.Namespace) -> int:
    for setting in _policy(arguments, _settings(arguments)):
        unit = f" {setting.unit}" if any(setting.unit) else ""
        origin = f"({setting.source}:{setting.line})"
        print(f"{setting.name} = {setting.value:g}{unit}  # {setting.text}  {origin}")
    return DONE


def _job(path: str) -> dict[str, Any]:
    """A job's description from a JSON file, in the protocol's own words; "-" is standard input."""
    import msgspec

    try:
        text = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as fault:
        raise InvalidInputError(f"{path}: {fault.strerror or fault}") from None
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError as fault:
        raise InvalidInputError(f"{path}: {fault}") from None


def _submit(arguments: argparse.Namespace) -> int:
    from .protocol import wire

    return _ask(arguments, "POST", wire.WORK, _job(arguments.job))


def _status(arguments: argparse.Namespace) -> int:
    from .protocol import wire

    return _ask(arguments, "GET", f"{wire.WORK}/{arguments.ref}", None)


def _cancel(arguments: argparse.Namespace) -> int:
    from .protocol import wire

    return _ask(arguments, "POST", f"{wire.WORK}/{arguments.ref}/cancel", None)


def _loans(arguments: argparse.Namespace) -> int:
    from .protocol import wire

    return _ask(arguments, "GET", wire.LOANS, None, None if arguments.json else _loans_text)


def _loans_text(answer: bytes) -> str:
    import msgspec

    from .lending.page import LoansPage, text

    return text(msgspec.msgpack.decode(answer, type=LoansPage))


def _ask(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: Any,
    readable: Callable[[bytes], str] | None = None,
) -> int:
    """One question to a controller; its answer goes to standard output.

    `readable`: how a good answer is printed; without it, and what is none, as JSON.
    """
    import msgspec

    from .runtime.http import Client, Reply
    from .runtime.loop import Loop

    controller = address(arguments.to)
    if controller is None:
        raise InvalidInputError(f"--to {arguments.to}: not HOST:PORT")
    if any(not 33 <= ord(sign) <= 126 for sign in path):
        raise InvalidInputError(f"{arguments.ref!r}: not a job's id")
    loop, replies = Loop(), list[Reply]()

    def told(reply: Reply) -> None:
        replies.append(reply)
        loop.stop()

    Client(loop, controller).request(method, path, body, arguments.timeout, told)
    loop.run()
    status, answer = replies[0].status, replies[0].body
    if status == 0:
        print(f"flaxtally: no answer from {arguments.to}", file=sys.stderr)
        return REFUSED
    if answer and readable is not None and status == 200:
        print(readable(answer))
    elif answer:
        print(msgspec.json.encode(msgspec.msgpack.decode(answer)).decode())
    if status not in (200, 201):
        print(f"flaxtally: {arguments.to} answered {status}", file=sys.stderr)
        return REFUSED
    return DONE


def _cells_check(arguments: argparse.Namespace) -> int:
    from .cells.command import check

    return check(arguments.file)


def _cells_apply(arguments: argparse.Namespace) -> int:
    from .cells.command import apply

    return apply(arguments.file, arguments.state)


def _cells_show(arguments: argparse.Namespace) -> int:
    from .cells.command import show

    return show(arguments.state)


def _demo(arguments: argparse.Namespace) -> int:
    from .fakes.demo import run

    _logging()
    try:
        return run(Path(arguments.folder), arguments.port)
    except OSError as fault:
        raise InvalidInputError(f"{arguments.folder}: {fault}") from None


def _emulate(words: list[str]) -> int:
    from .emulator import command

    return command.main(words)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="flaxtally", description="A scheduler for fleets that serve language models."
    )
    parser.add_argument("--version", action="version", version=f"flaxtally {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(where: Any, name: str, run: Any, text: str) -> argparse.ArgumentParser:
        command: argparse.ArgumentParser = where.add_parser(name, help=text, description=text)
        command.set_defaults(run=run)
        return command

    policies = commands.add_parser(
        "policy", help="the operators' settings", description="the operators' settings"
    )
    inner = policies.add_subparsers(dest="what", required=True, metavar="COMMAND")
    for command in (
        add(commands, "serve", _serve, "run a controller"),
        add(commands, "check", _check, "check a settings file, and a policy file"),
        add(inner, "show", _policy_show, "show each setting, its value and where it came from"),
    ):
        command.add_argument(
            "--config", required=True, metavar="FILE", help="the platform's settings (TOML)"
        )
        command.add_argument(
            "--policy", metavar="FILE", help="the operators' settings (docs/policy.md)"
        )
        command.add_argument(
            "--cells", metavar="FILE", help="the deploy file with the fleet's cells (docs/cells.md)"
        )
        command.add_argument(
            "--features", metavar="FILE", help="features to enable (docs/operations.md)"
        )
    cell_map = commands.add_parser(
        "cells", help="the map of the fleet's cells", description="the map of the fleet's cells"
    ).add_subparsers(dest="what", required=True, metavar="COMMAND")
    check = add(cell_map, "check", _cells_check, "check a deploy file's cells")
    apply = add(cell_map, "apply", _cells_apply, "put a newer map in force")
    shown = add(cell_map, "show", _cells_show, "show the map in force, and the teams' shares")
    for command in (check, apply):
        command.add_argument("file", metavar="FILE", help="a deploy file with [cells]")
    for command in (apply, shown):
        command.add_argument(
            "--state", required=True, metavar="HOST:PORT", help="the cells' shared state service"
        )
    submit = add(commands, "submit", _submit, "submit a job")
    submit.add_argument(
        "job", metavar="FILE", help='the job as JSON, in the protocol\'s words; "-": standard input'
    )
    status = add(commands, "status", _status, "ask for a job's state")
    cancel = add(commands, "cancel", _cancel, "cancel a job")
    for command in (status, cancel):
        command.add_argument("ref", metavar="ID", help="the job's id")
    lent = add(commands, "loans", _loans, "show what teams lend and borrow (docs/lending.md)")
    lent.add_argument("--json", action="store_true", help="print the controller's answer as JSON")
    for command in (submit, status, cancel, lent):
        command.add_argument("--to", required=True, metavar="HOST:PORT", help="a controller")
        command.add_argument(
            "--timeout", type=float, default=5.0, metavar="SECONDS", help="default: 5"
        )
    demo = add(
        commands, "demo", _demo, "run stand-ins of state service, cloud and workers on loopback"
    )
    demo.add_argument(
        "folder", metavar="FOLDER", help="where the settings of three controllers are written to"
    )
    demo.add_argument(
        "--port",
        type=int,
        default=21000,
        metavar="N",
        help="the first of the ports; default: 21000",
    )
    # Its options are its own parser's: a controller's start does without importing them.
    commands.add_parser(EMULATE, help="play a whole deployment on loopback", add_help=False)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    words = sys.argv[1:] if argv is None else argv
    try:
        if words[:1] == [EMULATE]:
            return _emulate(words[1:])
        arguments = _parser().parse_args(words)
        code: int = arguments.run(arguments)
    except InvalidInputError as fault:
        print(f"flaxtally: {fault}", file=sys.stderr)
        return INVALID_INPUT
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:
        # Whoever read our output has seen enough.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return DONE
    return code
