"""What the commands share: exit codes, the error of invalid input, logging, the settings files."""

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
    """What the process returns to the shell."""

    DONE = 0
    REFUSED = 1
    """The service refused, or can't be reached."""
    INVALID_INPUT = 2
    INTERRUPTED = 130


class InvalidInputError(Exception):
    """What the user gave can't be used; the text says what and why."""


def configure_logging() -> None:
    """Logs to standard error, at the level that the variable LOG_LEVEL names."""
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )


def load_settings(arguments: argparse.Namespace) -> Settings:
    """The platform's settings file, or `InvalidInputError`."""
    try:
        return load(arguments.config)
    except SettingsError as error:
        raise InvalidInputError(f"{arguments.config}: {error}") from None


def explain_policy(arguments: argparse.Namespace, settings: Settings) -> list[policy.Setting]:
    """The operators' settings with their origins, or `InvalidInputError`."""
    try:
        return policy.explain(settings, arguments.policy)
    except policy.PolicyError as error:
        raise InvalidInputError(str(error)) from None
