"""Pytest plugin for CI: lets exactly the tests listed in KNOWN-RED.txt fail, and prints them.

Each line is `test, cause, issue`; the list has three lines at most. A listed test that passes or
does not exist fails the run, so that it is removed from the list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from pathlib import Path

LIST_FILE = "KNOWN-RED.txt"
MAX_LINES = 3
MISSING_TESTS_KEY = pytest.StashKey[list[str]]()


def read_list(root: Path) -> dict[str, str]:
    """Return the listed tests, each with its cause and issue; empty if there is no list.

    Raises:
        pytest.UsageError: the list is too long, or a line is malformed or repeats a test.
    """
    path = root / LIST_FILE
    lines = (
        [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    )
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(f"{LIST_FILE}: {len(lines)} lines, {MAX_LINES} at most")
    known: dict[str, str] = {}
    for line in lines:
        test, _, details = line.partition(",")
        if details.count(",") < 1 or not all(part.strip() for part in details.split(",")):
            raise pytest.UsageError(f"{LIST_FILE}: not `test, cause, issue`: {line}")
        if test.strip() in known:
            raise pytest.UsageError(f"{LIST_FILE}: listed twice: {test}")
        known[test.strip()] = details.strip()
    return known


def pytest_configure(config: pytest.Config) -> None:
    # Reports a malformed list once, before any pytest-xdist worker starts.
    read_list(config.rootpath)


# Runs before `-m` deselects tests: a listed test may belong to the other of CI's two commands.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_list(config.rootpath)
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason=f"{LIST_FILE}: {known[item.nodeid]}", strict=True)
            )
    missing = sorted(set(known) - {item.nodeid for item in items})
    if missing and hasattr(config, "workeroutput"):
        # A pytest-xdist worker that exits with an error here would lose the message.
        config.workeroutput[LIST_FILE] = missing
    elif missing:
        raise pytest.UsageError(format_missing(missing))


def format_missing(tests: list[str]) -> str:
    return f"{LIST_FILE}: no such test: {', '.join(tests)}"


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any) -> None:
    """Collect the missing tests of a pytest-xdist worker that exits, for the final report."""
    missing = getattr(node, "workeroutput", {}).get(LIST_FILE, [])
    if missing:
        node.config.stash[MISSING_TESTS_KEY] = missing


@pytest.hookimpl(tryfirst=True)
def pytest_sessionfinish(session: pytest.Session) -> None:
    if session.config.stash.get(MISSING_TESTS_KEY, []):
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for test, reason in read_list(config.rootpath).items():
        terminalreporter.write_line(f"known red: {test}, {reason}")
    missing = config.stash.get(MISSING_TESTS_KEY, [])
    if missing:
        terminalreporter.write_line(f"ERROR: {format_missing(missing)}")
