"""The program of a child process of the emulator: it runs fake services, workers or users.

`python3 -m flaxtally.emulator.child_process PLAN ROLE NUMBER`. The process has one connection to
the coordinator and exits when it closes, so no child process outlives the coordinator.
"""

from __future__ import annotations

import gc
import logging
import sys
from pathlib import Path

from .fake_environment import FakeEnvironment
from .link import ENVIRONMENT, WORKERS, CoordinatorLink, RoleHandler
from .measured import CountingLoop
from .plan import Plan, load
from .users import Users
from .workers import Workers


def _create_handler(
    loop: CountingLoop, plan: Plan, role: str, number: int, link: CoordinatorLink
) -> RoleHandler:
    if role == ENVIRONMENT:
        return FakeEnvironment(loop, plan, link)
    if role == WORKERS:
        return Workers(loop, plan, number, link)
    return Users(loop, plan, link)


def main(argv: list[str]) -> int:
    """Runs one role until the connection to the coordinator closes; returns the exit code."""
    plan, role, number = load(Path(argv[0])), argv[1], int(argv[2])
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s"
    )
    loop = CountingLoop()
    link = CoordinatorLink(loop, plan, role, number)
    link.start(_create_handler(loop, plan, role, number, link))
    gc.freeze()
    loop.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
