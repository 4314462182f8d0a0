"""Checks that docs/architecture.md agrees with the code in modules, functions and log events."""

from __future__ import annotations

import importlib
import re
from functools import reduce
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "flaxtally"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
NAMES = sorted(set(re.findall(r"`([a-z_.]+:[A-Za-z_.]+)`", PAGE)))
EVENT_SECTION = PAGE.partition("## From a log event to the code")[2].partition("\n## ")[0]
EVENT_ROW = re.compile(r"^\| `([a-z_]+)` \| `([a-z_.]+)` \|", re.MULTILINE)
LOGGED_EVENT = re.compile(r"event=([a-z_]+)")
PACKAGES_OUTSIDE_CONTROLLERS = ("fakes", "emulator")
"""Packages that are not part of a controller: the page does not list their events."""


def find_events(module: Path) -> set[str]:
    """Return the log events of a module."""
    return set(LOGGED_EVENT.findall(module.read_text()))


def list_modules() -> list[Path]:
    """Return the files of a controller's modules."""
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] not in PACKAGES_OUTSIDE_CONTROLLERS
    ]


def test_page_names_many_code_locations() -> None:
    # Without names that match the pattern, the test of each name would have no cases and pass.
    assert len(NAMES) > 40


@pytest.mark.parametrize("name", NAMES)
def test_each_name_on_the_page_exists(name: str) -> None:
    # A renamed or moved function would leave the page pointing at nothing.
    module, _, path = name.partition(":")
    reduce(getattr, path.split("."), importlib.import_module(f"flaxtally.{module}"))


def test_each_event_on_the_page_is_logged_by_its_module() -> None:
    # An event that moved to another module would send readers of the page to the wrong file.
    rows = EVENT_ROW.findall(EVENT_SECTION)
    assert len(rows) > 40
    for event, module in rows:
        path = PACKAGE / f"{module.replace('.', '/')}.py"
        path = path if path.exists() else PACKAGE / module.replace(".", "/") / "__init__.py"
        assert event in find_events(path), (event, module)


def test_each_logged_event_is_on_the_page() -> None:
    # An operator who sees a new event in the log would not find it on the page.
    logged = set().union(*map(find_events, list_modules()))
    assert logged - {event for event, _ in EVENT_ROW.findall(EVENT_SECTION)} == set()


@pytest.mark.parametrize("module", list_modules(), ids=lambda path: str(path.relative_to(PACKAGE)))
def test_event_names_are_literal(module: Path) -> None:
    # A formatted event name can neither be searched for in the code nor compared with the page.
    assert "event=%" not in module.read_text()
