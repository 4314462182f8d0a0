"""Exit codes, errors, logging and settings files, as used by several commands."""

from __future__ import annotations

import enum
import logging
import os
import sys
from typing import TYPE_CHECKING

from .. import policy
from ..settings import Settings, SettingsError, load

if TYPE_CHECKING:
    import argparse

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class ExitCode(enum.IntEnum):
    """Exit code of the process."""

    DONE = 0
    REFUSED = 1
    """The service refused the request or can't be reached."""
    INVALID_INPUT = 2
    INTERRUPTED = 130
    """Ended by Ctrl-C: 128 plus the number of the signal, as shells have it."""


class InvalidInputError(Exception):
    """An argument or a file is invalid; the text names it and says why."""


def configure_logging() -> None:
    """Logs to standard error, at the level of the environment variable LOG_LEVEL."""
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )


def load_settings(arguments: argparse.Namespace) -> Settings:
    """Loads the platform's settings file; raises `InvalidInputError` if it is invalid."""
    try:
        return load(arguments.config)
    except SettingsError as error:
        raise InvalidInputError(f"{arguments.config}: {error}") from None


def explain_policy(arguments: argparse.Namespace, settings: Settings) -> list[policy.Setting]:
    """Lists the policy's settings with origins; raises `InvalidInputError` if it is invalid."""
    try:
        return policy.explain(settings, arguments.policy)
    except policy.PolicyError as error:
        raise InvalidInputError(str(error)) from None
