"""`foxtailwell-entry`: command that runs the entry daemon."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Annotated

import anyio
import cappa

from foxtailwell.cli._daemon import prepare_daemon
from foxtailwell.entry import operator_routes, run_entry
from foxtailwell.fleet import run_fleet

__all__ = ["main"]


@cappa.command(
    name="foxtailwell-entry",
    help="Run the entry daemon.",
    description="Example: foxtailwell-entry --settings /etc/foxtailwell/entry.jsonc",
)
@dataclass(frozen=True)
class EntryCommand:
    """Run the entry daemon of one instance until SIGTERM."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file, JSON with comments.")]

    def __call__(self) -> None:
        settings = prepare_daemon(self.settings, "entry")
        run = partial(run_entry, settings, run_fleet=run_fleet, operator_routes=operator_routes)
        anyio.run(run, backend_options={"use_uvloop": True})


def main() -> None:
    """Run `foxtailwell-entry` with the arguments of the process."""
    cappa.invoke(EntryCommand)


if __name__ == "__main__":
    main()
