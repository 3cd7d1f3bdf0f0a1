"""Command that runs the entry daemon."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa
from starlette.routing import Route

from foxtailwell.adapters.logs import configure_logs
from foxtailwell.adapters.metrics import QueueLength, TargetCounts
from foxtailwell.adapters.settings import Settings, load_settings
from foxtailwell.adapters.store import StoreClient
from foxtailwell.cli._exit_codes import USAGE
from foxtailwell.core import Configuration, InstanceRecord, check_guarantees
from foxtailwell.core.errors import ValidationError
from foxtailwell.entry import operator_routes, run_entry
from foxtailwell.fleet import FleetView, run_fleet

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
        anyio.run(_run, settings, backend_options={"use_uvloop": True})


async def _run(settings: Settings) -> None:
    await run_entry(settings, run_fleet=run_fleet, operator_routes=_operator_routes)


def _operator_routes(
    store: StoreClient,
    view: FleetView,
    queue: Callable[[], list[QueueLength]],
    targets: TargetCounts,
) -> list[Route]:
    return operator_routes(
        store, view, check_guarantees=_missing_guarantees, queue=queue, targets=targets
    )


def _missing_guarantees(
    configuration: Configuration, instances: Iterable[InstanceRecord]
) -> tuple[str, ...]:
    workers = [record for record in instances if record.role == "worker"]
    packing = check_guarantees(configuration, workers)
    return () if packing.fits else (packing.reason,)


def main() -> None:
    """Run the command."""
    cappa.invoke(EntryCommand)


if __name__ == "__main__":
    main()
