"""The parser of the command line: commands, options and their help."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING, Any

from .. import __version__
from . import cell_commands, controller_commands, local_commands, request_commands

if TYPE_CHECKING:
    from collections.abc import Callable

EMULATE = "emulate"
DEFAULT_TIMEOUT_S = 5.0
"""Default timeout of a request to a controller."""
DEFAULT_DEMO_PORT = 21000
"""Default of the first port that the demo uses."""


def build_parser() -> argparse.ArgumentParser:
    """Builds the parser; its result has the command's function as `run`."""
    parser = argparse.ArgumentParser(
        prog="flaxtally", description="A scheduler for fleets that serve language models."
    )
    parser.add_argument("--version", action="version", version=f"flaxtally {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_controller_commands(commands)
    _add_cell_commands(commands)
    _add_request_commands(commands)
    _add_demo(commands)
    # `emulate` has a parser of its own, so that starting a controller doesn't import its options.
    commands.add_parser(EMULATE, help="emulate a whole deployment on loopback", add_help=False)
    return parser


def _add_command(
    group: Any, name: str, run: Callable[..., int], text: str
) -> argparse.ArgumentParser:
    command: argparse.ArgumentParser = group.add_parser(name, help=text, description=text)
    command.set_defaults(run=run)
    return command


def _add_group(commands: Any, name: str, text: str) -> Any:
    """Adds a command that has subcommands."""
    group = commands.add_parser(name, help=text, description=text)
    return group.add_subparsers(dest="what", required=True, metavar="COMMAND")


def _add_controller_commands(commands: Any) -> None:
    policy_commands = _add_group(commands, "policy", "inspect the operators' policy")
    serve = _add_command(commands, "serve", controller_commands.serve, "run a controller")
    check = _add_command(
        commands, "check", controller_commands.check, "check a settings file, and a policy file"
    )
    show = _add_command(
        policy_commands,
        "show",
        controller_commands.show_policy,
        "show each setting of the policy, its value and its origin",
    )
    for command in (serve, check, show):
        _add_file_options(command)


def _add_file_options(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--config", required=True, metavar="FILE", help="the platform's settings (TOML)"
    )
    command.add_argument("--policy", metavar="FILE", help="the operators' policy (docs/policy.md)")
    command.add_argument(
        "--cells", metavar="FILE", help="the deploy file with the fleet's cells (docs/cells.md)"
    )
    command.add_argument(
        "--features", metavar="FILE", help="the optional features to enable (docs/operations.md)"
    )


def _add_cell_commands(commands: Any) -> None:
    group = _add_group(commands, "cells", "the map of the fleet's cells")
    check = _add_command(group, "check", cell_commands.check_map, "check a deploy file's cells")
    apply = _add_command(group, "apply", cell_commands.apply_map, "put a newer map in force")
    show = _add_command(
        group, "show", cell_commands.show_map, "show the map in force, and the teams' shares"
    )
    for command in (check, apply):
        command.add_argument("file", metavar="FILE", help="a deploy file with [cells]")
    for command in (apply, show):
        command.add_argument(
            "--state", required=True, metavar="HOST:PORT", help="the cells' shared state service"
        )


def _add_request_commands(commands: Any) -> None:
    submit = _add_command(commands, "submit", request_commands.submit, "submit a job")
    submit.add_argument(
        "job",
        metavar="FILE",
        help='the job as JSON, with the protocol\'s fields; "-": standard input',
    )
    status = _add_command(commands, "status", request_commands.show_status, "show a job's state")
    cancel = _add_command(commands, "cancel", request_commands.cancel, "cancel a job")
    for command in (status, cancel):
        command.add_argument("ref", metavar="ID", help="the job's id")
    loans = _add_command(
        commands,
        "loans",
        request_commands.show_loans,
        "show what teams lend and borrow (docs/lending.md)",
    )
    loans.add_argument("--json", action="store_true", help="print the controller's reply as JSON")
    for command in (submit, status, cancel, loans):
        command.add_argument("--to", required=True, metavar="HOST:PORT", help="a controller")
        command.add_argument(
            "--timeout",
            type=float,
            default=DEFAULT_TIMEOUT_S,
            metavar="SECONDS",
            help="how long to wait for the reply; default: 5",
        )


def _add_demo(commands: Any) -> None:
    demo = _add_command(
        commands,
        "demo",
        local_commands.run_demo,
        "run fakes of the state service, the cloud and the workers on loopback",
    )
    demo.add_argument(
        "folder", metavar="FOLDER", help="folder for the settings files of three controllers"
    )
    demo.add_argument(
        "--port",
        type=int,
        default=DEFAULT_DEMO_PORT,
        metavar="N",
        help="the first port; default: 21000",
    )
