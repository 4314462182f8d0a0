"""Commands for the cell map of a divided fleet: `cells check`, `cells apply` and `cells show`."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse


def check_map(arguments: argparse.Namespace) -> int:
    """Checks the cells of a deploy file."""
    from ..cells.command import check

    return check(arguments.file)


def apply_map(arguments: argparse.Namespace) -> int:
    """Puts a newer map in force."""
    from ..cells.command import apply

    return apply(arguments.file, arguments.state)


def show_map(arguments: argparse.Namespace) -> int:
    """Shows the map in force, and how the teams' limits are divided."""
    from ..cells.command import show

    return show(arguments.state)
