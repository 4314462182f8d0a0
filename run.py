"""Deploy form of `python3 -m flaxtally serve`: finds the built dependencies, then starts."""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE / "target" / "deps")]

from flaxtally.cli import main  # noqa: E402  the path above must be set first

if __name__ == "__main__":
    sys.exit(main(["serve", *sys.argv[1:]]))
