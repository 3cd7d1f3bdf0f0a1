"""Command `foxtailwell-standin`, which runs a stand-in for a platform service as a process."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa
import msgspec

from foxtailwell.adapters.http_client import open_http_client
from foxtailwell.adapters.http_server import serve_http
from foxtailwell.core import InstanceRecord, Role
from foxtailwell_standins.instance_list import InstanceListState, make_instance_list_app
from foxtailwell_standins.minions import MinionState, serve_minion
from foxtailwell_standins.relay import RelayState, make_relay_app, serve_relay
from foxtailwell_standins.store import StoreState, make_store_app
from foxtailwell_standins.workers import WorkerFleet, make_worker_records, serve_workers

__all__ = ["main"]


@cappa.command(name="store", help="Run the configuration store.")
@dataclass(frozen=True)
class StoreCommand:
    """Options of `store`, the stand-in for the configuration store."""

    port: Annotated[int, cappa.Arg(long=True, help="Port on 127.0.0.1.")] = 0

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        anyio.run(_serve, make_store_app(StoreState()), self.port)


@cappa.command(name="instance-list", help="Run the instance list.")
@dataclass(frozen=True)
class InstanceListCommand:
    """Options of `instance-list`, the stand-in for the instance list."""

    port: Annotated[int, cappa.Arg(long=True, help="Port on 127.0.0.1.")] = 0

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        anyio.run(_serve, make_instance_list_app(InstanceListState()), self.port)


@cappa.command(name="workers", help="Run workers, each on its own port.")
@dataclass(frozen=True)
class WorkersCommand:
    """Options of `workers`, which runs workers and adds them to the instance list."""

    instance_list: Annotated[str, cappa.Arg(long=True, help="URL of the instance list.")]
    zones: Annotated[str, cappa.Arg(long=True, help="Zones, separated by commas.")] = "zone-a"
    region: Annotated[str, cappa.Arg(long=True, help="Region of the zones.")] = "region"
    per_zone: Annotated[int, cappa.Arg(long=True, help="Workers in each zone.")] = 8
    per_rack: Annotated[int, cappa.Arg(long=True, help="Workers in each rack.")] = 8
    accelerators: Annotated[int, cappa.Arg(long=True, help="Accelerators per worker.")] = 8
    cores: Annotated[int, cappa.Arg(long=True, help="Processor cores per worker.")] = 128
    memory_gb: Annotated[int, cappa.Arg(long=True, help="Memory per worker in GB.")] = 256

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        records = make_worker_records(
            self.zones.split(","),
            per_zone=self.per_zone,
            per_rack=self.per_rack,
            region=self.region,
            accelerators=self.accelerators,
            cores=self.cores,
            memory_gb=self.memory_gb,
        )
        anyio.run(_serve_workers, records, self.instance_list)


@cappa.command(name="minions", help="Run minions, each on its own port.")
@dataclass(frozen=True)
class MinionsCommand:
    """Options of `minions`, which runs minions in one process, each on a port of its own."""

    count: Annotated[int, cappa.Arg(long=True, help="Number of minions.")] = 1
    port: Annotated[int, cappa.Arg(long=True, help="First port; 0 takes free ones.")] = 0
    zones: Annotated[str, cappa.Arg(long=True, help="Zones, by comma, used in turn.")] = "zone-a"
    region: Annotated[str, cappa.Arg(long=True, help="Region of the zones.")] = "region"
    slots: Annotated[int, cappa.Arg(long=True, help="Concurrent requests per minion.")] = 8
    connections: Annotated[int, cappa.Arg(long=True, help="Connections per minion.")] = 64
    instance_list: Annotated[str, cappa.Arg(long=True, help="URL of the instance list.")] = ""

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        anyio.run(_serve_minions, self, backend_options={"use_uvloop": True})


@cappa.command(name="relay", help="Run a TCP relay that can inject link faults.")
@dataclass(frozen=True)
class RelayCommand:
    """Options of `relay`, which forwards TCP connections to one target."""

    target: Annotated[str, cappa.Arg(help="host:port to forward to.")]
    port: Annotated[int, cappa.Arg(long=True, help="Port on 127.0.0.1; 0 takes a free one.")] = 0
    control_port: Annotated[int, cappa.Arg(long=True, help="Port of the control interface.")] = 0

    def __call__(self) -> None:
        """Serve until a signal arrives."""
        anyio.run(_serve_relay, self)


@cappa.command(name="register", help="Add an instance to the instance list.")
@dataclass(frozen=True)
class RegisterCommand:
    """Options of `register`, which adds one instance to the instance list as the platform would."""

    id: Annotated[str, cappa.Arg(help="Identifier, <instance>/<role> for own daemons.")]
    role: Annotated[Role, cappa.Arg(help="Role of the instance.")]
    zone: Annotated[str, cappa.Arg(help="Availability zone.")]
    address: Annotated[str, cappa.Arg(help="host:port; the peer port of an own daemon.")]
    instance_list: Annotated[str, cappa.Arg(long=True, help="URL of the instance list.")]
    region: Annotated[str, cappa.Arg(long=True, help="Region of the zone.")] = "region"

    def __call__(self) -> None:
        """Send the record to the instance list and return."""
        record = InstanceRecord(self.id, self.role, self.zone, self.address, region=self.region)
        anyio.run(_register, self.instance_list, [record])


@cappa.command(name="foxtailwell-standin", help="Stand-ins for the platform, for tests only.")
@dataclass(frozen=True)
class StandinCommand:
    """Options of `foxtailwell-standin`."""

    command: cappa.Subcommands[
        StoreCommand
        | InstanceListCommand
        | WorkersCommand
        | MinionsCommand
        | RelayCommand
        | RegisterCommand
    ]


async def _serve(app: object, port: int) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        bound = await group.start(serve_http, app, "127.0.0.1", port, stop)
        print(f"listening on 127.0.0.1:{bound}", flush=True)
        await _wait_for_signal()
        group.cancel_scope.cancel()


async def _serve_workers(records: list[InstanceRecord], instance_list_url: str) -> None:
    async with anyio.create_task_group() as group:
        registered = await group.start(serve_workers, WorkerFleet(), records)
        await _register(instance_list_url, registered)
        await _wait_for_signal()
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
        await _register(command.instance_list, records)
        await _wait_for_signal()
        group.cancel_scope.cancel()


async def _serve_relay(command: RelayCommand) -> None:
    state, stop = RelayState(command.target), anyio.Event()
    async with anyio.create_task_group() as group:
        app = make_relay_app(state)
        control = await group.start(serve_http, app, "127.0.0.1", command.control_port, stop)
        bound = await group.start(serve_relay, state, command.port)
        print(f"control on 127.0.0.1:{control}", flush=True)
        print(f"listening on 127.0.0.1:{bound}", flush=True)
        await _wait_for_signal()
        group.cancel_scope.cancel()


async def _register(instance_list_url: str, records: list[InstanceRecord]) -> None:
    for record in records:
        print(f"{record.id} listening on {record.address}", flush=True)
    if instance_list_url:
        async with open_http_client(instance_list_url) as http:
            await http.request("PUT", "/v1/instances", body=msgspec.json.encode(records))


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def main() -> None:
    """Parse the command line and run the chosen command."""
    cappa.invoke(StandinCommand)
