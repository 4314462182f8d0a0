"""The page of the architecture names what is there: modules, functions and log events."""

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
EVENTS = PAGE.partition("## From a log event to the code")[2].partition("\n## ")[0]
EVENT_ROW = re.compile(r"^\| `([a-z_]+)` \| `([a-z_.]+)` \|", re.MULTILINE)
LOGGED = re.compile(r"event=([a-z_]+)")
WITHOUT_CONTROLLERS = ("fakes", "emulator")
"""Packages that are no part of a controller: their events are not on the page."""


def events_of(module: Path) -> set[str]:
    """The log events of a module."""
    return set(LOGGED.findall(module.read_text()))


def modules() -> list[Path]:
    """The modules of a controller."""
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] not in WITHOUT_CONTROLLERS
    ]


def test_the_page_names_many() -> None:
    assert len(NAMES) > 40


@pytest.mark.parametrize("name", NAMES)
def test_each_name_on_the_page_exists(name: str) -> None:
    module, _, path = name.partition(":")
    reduce(getattr, path.split("."), importlib.import_module(f"flaxtally.{module}"))


def test_each_event_on_the_page_is_logged_there() -> None:
    rows = EVENT_ROW.findall(EVENTS)
    assert len(rows) > 40
    for event, module in rows:
        path = PACKAGE / f"{module.replace('.', '/')}.py"
        path = path if path.exists() else PACKAGE / module.replace(".", "/") / "__init__.py"
        assert event in events_of(path), (event, module)


def test_each_event_that_a_controller_logs_is_on_the_page() -> None:
    logged = set().union(*map(events_of, modules()))
    assert logged - {event for event, _ in EVENT_ROW.findall(EVENTS)} == set()


@pytest.mark.parametrize("module", modules(), ids=lambda path: str(path.relative_to(PACKAGE)))
def test_no_event_has_a_name_that_is_put_together(module: Path) -> None:
    # It could neither be searched for nor be held against the page.
    assert "event=%" not in module.read_text()
