"""Command that runs one stand-in."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from foxtailwell.adapters.http_server import serve_http
from foxtailwell_standins.instance_list import InstanceListState, make_instance_list_app
from foxtailwell_standins.store import StoreState, make_store_app

__all__ = ["main"]


@cappa.command(name="store", help="Run the configuration store.")
@dataclass(frozen=True)
class StoreCommand:
    """Run the stand-in of the configuration store."""

    port: Annotated[int, cappa.Arg(long=True, help="Port on 127.0.0.1.")] = 0

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        anyio.run(_serve, make_store_app(StoreState()), self.port)


@cappa.command(name="instance-list", help="Run the instance list.")
@dataclass(frozen=True)
class InstanceListCommand:
    """Run the stand-in of the instance list."""

    port: Annotated[int, cappa.Arg(long=True, help="Port on 127.0.0.1.")] = 0

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        anyio.run(_serve, make_instance_list_app(InstanceListState()), self.port)


@cappa.command(name="foxtailwell-standin", help="Stand-ins of the platform, for tests only.")
@dataclass(frozen=True)
class StandinCommand:
    """Run one of the stand-ins."""

    command: cappa.Subcommands[StoreCommand | InstanceListCommand]


async def _serve(app: object, port: int) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        bound = await group.start(serve_http, app, "127.0.0.1", port, stop)
        print(f"listening on 127.0.0.1:{bound}", flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        stop.set()
        group.cancel_scope.cancel()


def main() -> None:
    """Run the command."""
    cappa.invoke(StandinCommand)
