"""Command that runs one stand-in."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from foxtailwell.adapters.http_server import serve_http
from foxtailwell.core import InstanceRecord
from foxtailwell_standins.instance_list import InstanceListState, make_instance_list_app
from foxtailwell_standins.minions import MinionState, register_minions, serve_minion
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


@cappa.command(name="minions", help="Run minions, each on its own port.")
@dataclass(frozen=True)
class MinionsCommand:
    """Run stand-ins of minions in one process."""

    count: Annotated[int, cappa.Arg(long=True, help="Number of minions.")] = 1
    port: Annotated[int, cappa.Arg(long=True, help="First port; 0 takes free ones.")] = 0
    zones: Annotated[str, cappa.Arg(long=True, help="Zones, by comma, taken in turn.")] = "zone-a"
    region: Annotated[str, cappa.Arg(long=True, help="Region of the zones.")] = "region"
    slots: Annotated[int, cappa.Arg(long=True, help="Requests that a minion runs at once.")] = 8
    connections: Annotated[int, cappa.Arg(long=True, help="Connections a minion accepts.")] = 64
    instance_list_url: Annotated[
        str, cappa.Arg(long=True, help="Instance list to register the minions with.")
    ] = ""

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        anyio.run(_serve_minions, self, backend_options={"use_uvloop": True})


@cappa.command(name="foxtailwell-standin", help="Stand-ins of the platform, for tests only.")
@dataclass(frozen=True)
class StandinCommand:
    """Run one of the stand-ins."""

    command: cappa.Subcommands[StoreCommand | InstanceListCommand | MinionsCommand]


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


async def _serve_minions(command: MinionsCommand) -> None:
    zones = command.zones.split(",")
    records = []
    async with anyio.create_task_group() as group:
        for index in range(command.count):
            state = MinionState(command.slots, command.connections)
            port = command.port + index if command.port else 0
            bound = await group.start(serve_minion, state, port)
            record = InstanceRecord(
                id=f"minion-{index + 1}",
                role="minion",
                zone=zones[index % len(zones)],
                address=f"127.0.0.1:{bound}",
                region=command.region,
                slots=command.slots,
                connections=command.connections,
            )
            records.append(record)
            print(f"listening on {record.address} as {record.id}", flush=True)
        if command.instance_list_url:
            await register_minions(command.instance_list_url, records)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        group.cancel_scope.cancel()


def main() -> None:
    """Run the command."""
    cappa.invoke(StandinCommand)
