"""Imports the version in production beside the current one, for tests in which both run.

Its sources are extracted from the repository's history, at the commit that `deploy/service.toml`
names. In a clone without that commit, the tests that need it are skipped with that reason; that
the current version reads what production stored is still checked against the fixtures
(`tests/test_formats.py`).
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
    """Return the hash of the commit that is in production."""
    return str(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"])


@cache
def _extracted() -> Path | None:
    """Extract the package and return its parent folder, or None if the clone lacks the commit."""
    archived = subprocess.run(
        ["git", "archive", read_commit(), "flaxtally"], cwd=ROOT, capture_output=True, check=False
    )
    if archived.returncode:
        return None
    folder = Path(tempfile.mkdtemp(prefix="production-"))
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(folder, filter="data")
    # The package uses relative imports, so under another name both versions fit in one process.
    (folder / "flaxtally").rename(folder / PACKAGE)
    sys.path.append(str(folder))
    return folder


def sources() -> Path:
    """Return the folder that holds the package; skip the test if the clone lacks the commit."""
    folder = _extracted()
    if folder is None:
        pytest.skip(f"this clone has no commit {read_commit()}")
    return folder


def load_module(name: str) -> ModuleType:
    """Import a module of the version in production."""
    sources()
    return importlib.import_module(f"{PACKAGE}.{name}")


PRODUCTION_NAMES = {
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
"""Attributes that tests read on both versions: current name to name in the production version."""


class CurrentNamesAdapter:
    """Wraps an object of the production version; its attributes have the current names."""

    def __init__(self, original: Any) -> None:
        self._original = original

    def __getattr__(self, name: str) -> Any:
        return adapt_to_current_names(getattr(self._original, PRODUCTION_NAMES.get(name, name)))


ADAPTED_TYPES = frozenset({"Node", "Election", "Leader", "Book", "Job"})
"""Names of the production types that tests access by current attribute names."""


def adapt_to_current_names(value: Any) -> Any:
    """Wrap a value of the production version so that tests can read it like a current one."""
    if isinstance(value, dict):
        return {key: adapt_to_current_names(each) for key, each in value.items()}
    if type(value).__name__ in ADAPTED_TYPES and type(value).__module__.startswith(PACKAGE):
        return CurrentNamesAdapter(value)
    return value
