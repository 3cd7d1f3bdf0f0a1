"""Command that runs the scheduler daemon."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from foxtailwell.adapters.settings import load_settings
from foxtailwell.cli._exit_codes import USAGE
from foxtailwell.core.errors import ValidationError
from foxtailwell.scheduler import run_scheduler

__all__ = ["main"]


@cappa.command(name="foxtailwell-scheduler", help="Schedule gangs in availability zones.")
@dataclass(frozen=True)
class SchedulerCommand:
    """Run the scheduler daemon until a signal arrives."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file, JSON with comments.")]

    def __call__(self) -> None:
        """Read the settings and run."""
        try:
            settings = load_settings(self.settings)
        except ValidationError as error:
            print(error, file=sys.stderr)
            raise cappa.Exit(code=USAGE) from error
        anyio.run(run_scheduler, settings, backend_options={"use_uvloop": True})


def main() -> None:
    """Run the command."""
    cappa.invoke(SchedulerCommand)


if __name__ == "__main__":
    main()
