"""Deploy form of `python3 -m flaxtally serve`: finds the built dependencies, then starts.

`deploy/service.toml` has it run without the environment's `site` hooks, which are not needed here
and cost time at each start. `run.py --warm-up` is the last step of its build: what `serve`
imports is compiled into `target/pycache`, so that no start of a controller compiles anything.
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
