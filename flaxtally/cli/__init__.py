"""The command line, with a module for each group of commands.

`main` parses the arguments and runs a command. Exit codes: 0 done, 1 the service refused or can't
be reached, 2 invalid input, 130 interrupted by Ctrl-C. A command imports what only it needs when it
runs, so that a controller starts without the libraries of other commands.
"""

from __future__ import annotations

from .controller_commands import import_runtime
from .entry_point import main

__all__ = ["import_runtime", "main"]
