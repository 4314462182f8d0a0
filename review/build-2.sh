#!/usr/bin/env bash
# Builds what the cases 4 to 8 start besides the controllers: compiles the project's stand-ins and
# the plays, and checks that all of it can be imported with the libraries in target/deps alone.
# Run it after the `build` line of deploy/service.toml. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -I -S -X pycache_prefix=target/pycache -c '
import compileall, pathlib, sys
root = pathlib.Path.cwd()
sys.path[:0] = [str(root / "review" / "stage-2"), str(root), str(root / "target" / "deps")]
import stage
folders = [root / "review" / "stage-2", root / "flaxtally" / "fakes"]
folders += [folder for n in range(4, 9) if (folder := root / "review" / str(n)).is_dir()]
sys.exit(not all(compileall.compile_dir(folder, quiet=1) for folder in folders))
'
