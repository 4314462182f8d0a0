"""A plugin of pytest for CI: passes over just the tests that KNOWN-RED.txt lists, and prints them.

A line is `test, cause, issue`, three lines at most. A listed test that passes or doesn't exist
fails the run: it is to be taken off the list.
"""

from __future__ import annotations

from pathlib import Path

import pytest

LIST = "KNOWN-RED.txt"
MOST = 3


def read(root: Path) -> dict[str, str]:
    """The listed tests, each with its cause and issue; none when there is no list."""
    path = root / LIST
    lines = (
        [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    )
    if len(lines) > MOST:
        raise pytest.UsageError(f"{LIST}: {len(lines)} lines, {MOST} at most")
    known: dict[str, str] = {}
    for line in lines:
        test, _, rest = line.partition(",")
        if rest.count(",") < 1 or not all(part.strip() for part in rest.split(",")):
            raise pytest.UsageError(f"{LIST}: not `test, cause, issue`: {line}")
        if test.strip() in known:
            raise pytest.UsageError(f"{LIST}: twice: {test}")
        known[test.strip()] = rest.strip()
    return known


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read(config.rootpath)
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=f"{LIST}: {known[item.nodeid]}", strict=True))
    missing = set(known) - {item.nodeid for item in items}
    if missing:
        raise pytest.UsageError(f"{LIST}: no such test: {', '.join(sorted(missing))}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for test, why in read(config.rootpath).items():
        terminalreporter.write_line(f"known red: {test}, {why}")
