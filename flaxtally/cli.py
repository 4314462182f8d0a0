"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import random
import sys

from . import __version__
from .settings import SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _logging() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s %(message)s")


def _serve(arguments: argparse.Namespace) -> int:
    try:
        settings = load(arguments.config)
    except SettingsError as fault:
        print(f"flaxtally: {arguments.config}: {fault}", file=sys.stderr)
        return 2
    _logging()
    # Imported here so that `check` and `--help` need none of the run-time libraries.
    from . import policy
    from .loop import Loop
    from .node import Node

    loop = Loop()
    try:
        Node(loop, settings, policy.default(settings), random.Random())
    except OSError as fault:
        print(f"flaxtally: can't listen: {fault}", file=sys.stderr)
        return 1
    loop.run()
    return 0


def _check(arguments: argparse.Namespace) -> int:
    try:
        load(arguments.config)
    except SettingsError as fault:
        print(f"flaxtally: {arguments.config}: {fault}", file=sys.stderr)
        return 2
    print(f"{arguments.config}: settings are sound")
    return 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="flaxtally", description="A scheduler for fleets that serve language models.")
    parser.add_argument("--version", action="version", version=f"flaxtally {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, run, text in (("serve", _serve, "run a controller"), ("check", _check, "check a settings file")):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--config", required=True, metavar="FILE", help="the platform's settings (TOML)")
        command.set_defaults(run=run)
    arguments = parser.parse_args(argv)
    code: int = arguments.run(arguments)
    return code
