"""Commands that run a deployment on this machine: `demo` and `emulate`."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from .common import InvalidInputError, configure_logging

if TYPE_CHECKING:
    import argparse


def run_demo(arguments: argparse.Namespace) -> int:
    """Runs fakes of the key-value store, the cloud and the workers until it is killed."""
    from ..fakes.demo import run

    configure_logging()
    try:
        return run(Path(arguments.folder), arguments.port)
    except OSError as error:
        raise InvalidInputError(
            f"{arguments.folder}, --port {arguments.port}: can't run the demo: {error}"
        ) from None


def emulate(words: list[str]) -> int:
    """Emulates a whole deployment; `emulate` parses its own options."""
    from ..emulator import command

    return command.main(words)
