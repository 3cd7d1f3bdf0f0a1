"""Startup steps that the commands of the entry and scheduler daemons share."""

from __future__ import annotations

import sys

import cappa

from foxtailwell.adapters.logs import configure_logs
from foxtailwell.adapters.settings import Settings, load_settings
from foxtailwell.cli._exit_codes import USAGE
from foxtailwell.core.errors import ValidationError

__all__ = ["prepare_daemon"]


def prepare_daemon(path: str, daemon: str) -> Settings:
    """Read the settings of a daemon and configure its log.

    Args:
        path: Path of the settings file.
        daemon: Name of the daemon in each log line.

    Returns:
        The checked settings.

    Raises:
        cappa.Exit: The settings are invalid. All issues are printed to standard error.
    """
    try:
        settings = load_settings(path)
    except ValidationError as error:
        print(error, file=sys.stderr)
        raise cappa.Exit(code=USAGE) from error
    configure_logs(settings.log.form, settings.log.level, instance=settings.instance, daemon=daemon)
    return settings
