"""Command that runs the entry daemon."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from functools import partial
from typing import Annotated

import anyio
import cappa

from foxtailwell.adapters.logs import configure_logs
from foxtailwell.adapters.settings import load_settings
from foxtailwell.cli._exit_codes import USAGE
from foxtailwell.core.errors import ValidationError
from foxtailwell.entry import operator_routes, run_entry
from foxtailwell.fleet import run_fleet

__all__ = ["main"]


@cappa.command(name="foxtailwell-entry", help="Run the entry daemon.")
@dataclass(frozen=True)
class EntryCommand:
    """Run the entry daemon of one instance."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file, JSON with comments.")]

    def __call__(self) -> None:
        """Run until SIGTERM."""
        try:
            settings = load_settings(self.settings)
        except ValidationError as error:
            print(error, file=sys.stderr)
            raise cappa.Exit(code=USAGE) from error
        configure_logs(
            settings.log.form, settings.log.level, instance=settings.instance, daemon="entry"
        )
        run = partial(run_entry, settings, run_fleet=run_fleet, operator_routes=operator_routes)
        anyio.run(run, backend_options={"use_uvloop": True})


def main() -> None:
    """Run the command."""
    cappa.invoke(EntryCommand)


if __name__ == "__main__":
    main()
