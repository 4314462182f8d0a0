"""Parses the command line, runs the command, and turns its errors into exit codes."""

from __future__ import annotations

import os
import sys

from .common import ExitCode, InvalidInputError
from .local_commands import emulate
from .parser import EMULATE, build_parser


def main(argv: list[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    words = sys.argv[1:] if argv is None else argv
    try:
        return _run(words)
    except InvalidInputError as error:
        print(f"flaxtally: {error}", file=sys.stderr)
        return ExitCode.INVALID_INPUT
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader of standard output has closed it. Redirected to the null device, it can still
        # be flushed at exit without a second error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.DONE


def _run(words: list[str]) -> int:
    if words[:1] == [EMULATE]:
        return emulate(words[1:])
    arguments = build_parser().parse_args(words)
    code: int = arguments.run(arguments)
    return code
