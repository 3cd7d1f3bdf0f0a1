"""`foxtailwell-scheduler`: command that runs the scheduler daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from foxtailwell.cli._daemon import prepare_daemon
from foxtailwell.scheduler import run_scheduler

__all__ = ["main"]


@cappa.command(
    name="foxtailwell-scheduler",
    help="Schedule gangs in availability zones.",
    description="Example: foxtailwell-scheduler --settings /etc/foxtailwell/scheduler.jsonc",
)
@dataclass(frozen=True)
class SchedulerCommand:
    """Run the scheduler daemon of one instance until SIGTERM."""

    settings: Annotated[str, cappa.Arg(long=True, help="Settings file, JSON with comments.")]

    def __call__(self) -> None:
        settings = prepare_daemon(self.settings, "scheduler")
        anyio.run(run_scheduler, settings, backend_options={"use_uvloop": True})


def main() -> None:
    """Run `foxtailwell-scheduler` with the arguments of the process."""
    cappa.invoke(SchedulerCommand)


if __name__ == "__main__":
    main()
