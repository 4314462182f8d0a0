"""Deployed form of `python3 -m flaxtally serve`: adds the built dependencies to the path first.

`deploy/service.toml` runs it without the environment's `site` hooks, which are not needed here and
would slow down each start. `run.py --warm-up` is the last step of the build: it compiles what
`serve` imports into `target/pycache`, so that a controller compiles nothing when it starts.
"""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE / "target" / "deps")]

from flaxtally.cli import import_runtime, main  # noqa: E402  the path above must be set first

if __name__ == "__main__":
    if sys.argv[1:] == ["--warm-up"]:
        import_runtime()
    else:
        sys.exit(main(["serve", *sys.argv[1:]]))
