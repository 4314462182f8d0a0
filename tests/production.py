"""The version in production, imported beside this one, for days on which both serve.

Its sources come from the repository's history, at the commit that `deploy/service.toml` names. A
clone without that commit can't play these days: the tests that need it say so and are skipped, and
what production wrote is still checked by the kept fixtures (`tests/test_formats.py`).
"""

from __future__ import annotations

import importlib
import io
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from types import ModuleType

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "flaxtally_production"


def read_commit() -> str:
    """The commit that is in production."""
    return str(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"])


@cache
def _extracted() -> Path | None:
    """The folder that holds the package; None: the clone lacks the commit."""
    found = subprocess.run(
        ["git", "archive", read_commit(), "flaxtally"], cwd=ROOT, capture_output=True, check=False
    )
    if found.returncode:
        return None
    folder = Path(tempfile.mkdtemp(prefix="production-"))
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")
    # Its imports are relative: under another name both packages live in one process.
    (folder / "flaxtally").rename(folder / PACKAGE)
    sys.path.append(str(folder))
    return folder


def sources() -> Path:
    """The folder that holds the package; skips the test where the clone lacks its commit."""
    folder = _extracted()
    if folder is None:
        pytest.skip(f"this clone has no commit {read_commit()}")
    return folder


def load_module(name: str) -> ModuleType:
    """A module of the version in production."""
    sources()
    return importlib.import_module(f"{PACKAGE}.{name}")


RENAMED = {
    "is_leader": "leading",
    "on_heartbeat": "heartbeat",
    "is_ready": "ready",
    "state": "book",
    "terminal_jobs": "finals",
    "jobs_by_ref": "by_ref",
    "is_terminal": "final",
    "is_cancelled": "cancelled",
    "placements": "placed",
    "pending_count": "waiting",
}
"""Present names of what tests ask of both versions, and those of the version in production."""


class CurrentNamesAdapter:
    """An object of the version in production whose attributes go by the present names."""

    def __init__(self, original: Any) -> None:
        self._original = original

    def __getattr__(self, name: str) -> Any:
        return adapt_to_current_names(getattr(self._original, RENAMED.get(name, name)))


WRAPPED = frozenset({"Node", "Election", "Leader", "Book", "Job"})
"""Types of the version in production that are asked by the present names."""


def adapt_to_current_names(value: Any) -> Any:
    """The value of the version in production, so that tests can ask it like a present one."""
    if isinstance(value, dict):
        return {key: adapt_to_current_names(each) for key, each in value.items()}
    if type(value).__name__ in WRAPPED and type(value).__module__.startswith(PACKAGE):
        return CurrentNamesAdapter(value)
    return value
