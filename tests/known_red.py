"""A plugin of pytest for CI: passes over just the tests that KNOWN-RED.txt lists, and prints them.

A line is `test, cause, issue`, three lines at most. A listed test that passes or doesn't exist
fails the run: it is to be taken off the list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from pathlib import Path

LIST = "KNOWN-RED.txt"
MOST = 3
MISSING = pytest.StashKey[list[str]]()


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


def pytest_configure(config: pytest.Config) -> None:
    # A faulty list is said once, before any worker of pytest-xdist starts.
    read(config.rootpath)


# Before `-m` takes tests out: a listed test may belong to the other of CI's two commands.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read(config.rootpath)
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=f"{LIST}: {known[item.nodeid]}", strict=True))
    missing = sorted(set(known) - {item.nodeid for item in items})
    if missing and hasattr(config, "workeroutput"):
        # A worker of pytest-xdist that ends here would take its reason with it.
        config.workeroutput[LIST] = missing
    elif missing:
        raise pytest.UsageError(no_such(missing))


def no_such(tests: list[str]) -> str:
    return f"{LIST}: no such test: {', '.join(tests)}"


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any) -> None:
    """A worker of pytest-xdist has ended: what it missed is told to the process that reports."""
    missing = getattr(node, "workeroutput", {}).get(LIST, [])
    if missing:
        node.config.stash[MISSING] = missing


@pytest.hookimpl(tryfirst=True)
def pytest_sessionfinish(session: pytest.Session) -> None:
    if session.config.stash.get(MISSING, []):
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for test, why in read(config.rootpath).items():
        terminalreporter.write_line(f"known red: {test}, {why}")
    missing = config.stash.get(MISSING, [])
    if missing:
        terminalreporter.write_line(f"ERROR: {no_such(missing)}")
