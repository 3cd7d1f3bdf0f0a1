"""What the commands of both daemons share."""

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
        path: Settings file.
        daemon: Name of the daemon on each log line.

    Returns:
        The checked settings.

    Raises:
        cappa.Exit: The settings are wrong; every fault is printed.
    """
    try:
        settings = load_settings(path)
    except ValidationError as error:
        print(error, file=sys.stderr)
        raise cappa.Exit(code=USAGE) from error
    configure_logs(settings.log.form, settings.log.level, instance=settings.instance, daemon=daemon)
    return settings
