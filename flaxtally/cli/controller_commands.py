"""Commands that read a controller's files: `serve`, `check` and `policy show`."""

from __future__ import annotations

import dataclasses
import gc
import logging
import random
import sys
from typing import TYPE_CHECKING

from .. import policy
from ..runtime import open_files
from .common import (
    ExitCode,
    InvalidInputError,
    configure_logging,
    explain_policy,
    load_settings,
)

if TYPE_CHECKING:
    import argparse

    from ..cells.membership import CellSetup
    from ..controller import Controller
    from ..features import Feature
    from ..lending.feature import LendingFeature
    from ..policy import Policy
    from ..runtime.loop import Loop
    from ..settings import Settings

log = logging.getLogger(__name__)


def import_runtime() -> tuple[type[Loop], type[Controller]]:
    """Imports what only a controller needs, so that `check` and `--help` run without it."""
    from ..controller import Controller
    from ..runtime.loop import Loop

    return Loop, Controller


def serve(arguments: argparse.Namespace) -> ExitCode:
    """Runs a controller until it is killed."""
    # Objects that a start allocates live as long as the process. A collection would find no garbage
    # among them, now or later when the jobs' state has grown; `gc.freeze` below excludes them from
    # later collections.
    gc.disable()
    settings = load_settings(arguments)
    built_policy = policy.build(explain_policy(arguments, settings))
    features = read_features(arguments, settings, built_policy)
    configure_logging()
    loop_type, controller_type = import_runtime()
    settings = _limit_sockets_to_open_files(settings)
    loop = loop_type()
    try:
        _start_features(features, loop, settings)
        cells = read_cells(arguments, settings)
        controller_type(
            loop, settings, built_policy, random.Random(), cells, _find_lending(features)
        )
    except OSError as error:
        print(
            f"flaxtally: can't listen on {settings.listen[0]}:{settings.listen[1]} (listen) or "
            f"{settings.peer_listen[0]}:{settings.peer_listen[1]} (cluster_listen): {error}",
            file=sys.stderr,
        )
        return ExitCode.REFUSED
    gc.freeze()
    gc.enable()
    loop.run()
    return ExitCode.DONE


def check(arguments: argparse.Namespace) -> ExitCode:
    """Checks a controller's files, and that the process may open enough files and sockets."""
    settings = load_settings(arguments)
    built_policy = policy.build(explain_policy(arguments, settings))
    read_cells(arguments, settings)
    read_features(arguments, settings, built_policy)
    _check_open_files(arguments.config, settings)
    print(f"{arguments.config}: settings are sound")
    if arguments.policy is not None:
        print(f"{arguments.policy}: policy is sound")
    return ExitCode.DONE


def show_policy(arguments: argparse.Namespace) -> ExitCode:
    """Prints each setting of the policy, its value and its origin."""
    for setting in explain_policy(arguments, load_settings(arguments)):
        unit = f" {setting.unit}" if any(setting.unit) else ""
        origin = f"({setting.source}:{setting.line})"
        print(f"{setting.name} = {setting.value:g}{unit}  # {setting.text}  {origin}")
    return ExitCode.DONE


def read_features(
    arguments: argparse.Namespace, settings: Settings, built_policy: Policy
) -> list[Feature]:
    """Reads the enabled features and checks them against the other files; none without a file."""
    if arguments.features is None:
        return []
    from ..features import FeatureError, read_file

    try:
        found = read_file(arguments.features)
        for feature in found:
            feature.check(settings, built_policy, has_cells=arguments.cells is not None)
    except FeatureError as error:
        raise InvalidInputError(str(error)) from None
    return found


def read_cells(arguments: argparse.Namespace, settings: Settings) -> CellSetup | None:
    """Reads the controller's cell from the deploy file; None if the fleet is not divided."""
    if arguments.cells is None:
        return None
    from ..cells.map import CellMapError, read_file
    from ..cells.membership import CellSetup

    try:
        cells = read_file(arguments.cells)
        # A fleet with a single cell runs like one without the file.
        return CellSetup(cells, settings) if len(cells.map.cells) > 1 else None
    except CellMapError as error:
        raise InvalidInputError(str(error)) from None


def _find_lending(features: list[Feature]) -> LendingFeature | None:
    """Returns the lending feature if it is enabled."""
    if not features:
        return None
    from ..lending.feature import LendingFeature

    return next((feature for feature in features if isinstance(feature, LendingFeature)), None)


def _start_features(features: list[Feature], loop: Loop, settings: Settings) -> None:
    if not features:
        return
    from ..features import FeatureError

    for feature in features:
        try:
            feature.start(loop, settings)
        except FeatureError as error:
            raise InvalidInputError(str(error)) from None


def _limit_sockets_to_open_files(settings: Settings) -> Settings:
    """Lowers `max_sockets` to what the process may open; a controller can run with fewer."""
    needed = open_files.compute_open_files_needed(settings.max_sockets)
    granted = open_files.raise_limit(needed)
    if granted >= needed:
        return settings
    log.warning(
        "event=few_files max_sockets=%d needed=%d granted=%d",
        settings.max_sockets,
        needed,
        granted,
    )
    return dataclasses.replace(settings, max_sockets=max(1, granted - open_files.NON_SOCKET_FILES))


def _check_open_files(path: str, settings: Settings) -> None:
    needed = open_files.compute_open_files_needed(settings.max_sockets)
    allowed = open_files.get_open_files_limit()
    if allowed is not None and needed > allowed:
        raise InvalidInputError(
            f"{path}: params.limits.max_sockets: {settings.max_sockets} sockets need {needed} open "
            f"files, but a process may open only {allowed} here; raise that limit (ulimit -Hn) or "
            "lower max_sockets"
        )
