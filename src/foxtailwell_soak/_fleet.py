"""The deployment under test: stand-ins of the platform, relays, and instances as processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from foxtailwell.adapters.http_connection import HttpEndpoint
from foxtailwell.workflows import Resources
from foxtailwell_standins.platform_server import (
    encode_entry,
    serve_on_loopback,
    store_app,
    worker_app,
)
from foxtailwell_standins.platform_store import MemoryStore, StoreFaults
from foxtailwell_standins.platform_worker import GangCoordinator, MemoryWorker
from foxtailwell_standins.ports import free_ports
from foxtailwell_standins.relay import LinkFailures, RelayState, serve_relay

__all__ = [
    "BOUNDS",
    "Bounds",
    "Fleet",
    "InstanceProcess",
    "WorkerHandle",
    "restore_links",
    "is_signal_handled",
]

HEARTBEAT_S = 0.5
"""Pause between two entries of a worker; a third of the platform's, since a soak lasts seconds."""

SILENT_HEARTBEATS = 3
"""Heartbeats after which the entry of a silent worker is removed, as on the platform."""

TICK_S = 0.02
"""Pause between two looks at the leases and the work of runs."""

SLOW_CLOCK = 0.98
"""Rate of the slowest clock that a worker may have."""

CAPACITY = Resources(8_000, 8_000, 8)
"""Room of a worker: small enough that a few jobs fill it."""

ZONES = ("a", "b")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the settings promise; shorter holds than on the platform end a soak sooner."""

    max_hold_ms: int = 4000
    revoke_ms: int = 5000
    cancel_ms: int = 3000
    drain_ms: int = 2000
    evacuate_ms: int = 5000
    visible_ms: int = 3000
    grace_s: float = 6.0


BOUNDS = Bounds()


@dataclass(slots=True)
class InstanceProcess:
    """One instance and its own path to the store.

    Attributes:
        store_faults: How the store treats this instance.
        termination_sent_s: When the soak last sent a signal that ends the process.
    """

    name: str
    zone: str
    directory: Path
    store_link: RelayState
    store_address: str
    store_faults: StoreFaults
    ports: tuple[int, ...]
    process: subprocess.Popen[bytes] | None = None
    termination_sent_s: float = 0.0
    is_wanted: bool = True

    @property
    def address(self) -> str:
        """Where clients connect."""
        return f"127.0.0.1:{self.ports[0]}"

    def start(self) -> None:
        """Start the process with a fresh settings file."""
        front, ready, metrics = self.ports
        settings = {
            "node_name": self.name,
            "ip": "127.0.0.1",
            "zone": self.zone,
            "listen_addrs": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "port_range": [metrics, metrics],
            "platform": {"address": self.store_address},
            "bounds": msgspec.to_builtins(BOUNDS),
        }
        path = self.directory / f"{self.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        program = Path(__file__).parents[1] / "instance.py"
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(program)],
                stdout=log,
                stderr=log,
                env={**os.environ, "FOXTAILWELL_BOOT": str(path)},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process if it runs."""
        if self.process is not None and self.process.poll() is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.termination_sent_s = time.monotonic()
            self.process.send_signal(number)

    def has_exited_unexpectedly(self) -> bool:
        """Whether the process has ended without a signal of the soak."""
        return (
            self.process is not None
            and self.process.poll() is not None
            and not self.termination_sent_s
        )


@dataclass(slots=True)
class WorkerHandle:
    """One worker and the link to it.

    Attributes:
        draining_s: When its draining was stored; 0 while it is ready.
        is_removed: It has left the fleet for a time.
    """

    worker: MemoryWorker
    link: RelayState
    address: str
    draining_s: float = 0.0
    is_removed: bool = False
    published_s: float = 0.0


@dataclass(slots=True)
class Fleet:
    """Everything that the soak started; it ends these processes and no others."""

    store: MemoryStore
    shared_store_faults: StoreFaults
    gangs: GangCoordinator = field(default_factory=GangCoordinator)
    instances: list[InstanceProcess] = field(default_factory=list)
    workers: list[WorkerHandle] = field(default_factory=list)
    clients: list[HttpEndpoint] = field(default_factory=list)

    def close(self) -> None:
        """End all instances."""
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()

    def publish(self, port: WorkerHandle) -> None:
        """Write a worker's entry."""
        entry = replace(port.worker.entry(is_ready=not port.draining_s), address=port.address)
        if port.draining_s:
            entry = replace(entry, remaining_ms=BOUNDS.drain_ms)
        self.store.write(f"servers/{port.worker.id}", encode_entry(entry))
        port.published_s = time.monotonic()

    async def run_workers(self) -> None:
        """Let time pass at workers and write their entries."""
        while True:
            now_s = time.monotonic()
            is_away = self.shared_store_faults.is_down
            for port in self.workers:
                port.worker.end_due_runs()
                due = now_s - port.published_s >= HEARTBEAT_S
                if due and not port.is_removed and not is_away:
                    self.publish(port)
                elif now_s - port.published_s > SILENT_HEARTBEATS * HEARTBEAT_S:
                    self.store.delete(f"servers/{port.worker.id}")
            self.store.expire_leases()
            await anyio.sleep(TICK_S)


async def open_fleet(
    group: TaskGroup, directory: Path, instance_count: int, worker_count: int
) -> Fleet:
    """Start stand-ins and instances.

    Args:
        group: Runs the stand-ins.
        directory: Takes settings and logs.
        instance_count: Instances, spread over two zones.
        worker_count: Workers, spread over two zones and racks of two.
    """
    fleet = Fleet(MemoryStore(), StoreFaults())
    for number in range(worker_count):
        rate = SLOW_CLOCK if number % 2 else 1.0
        worker = MemoryWorker(
            f"w{number}",
            rack=f"r{number // 2}",
            zone=ZONES[number % len(ZONES)],
            capacity=CAPACITY,
            payload_duration_s=float,
            gangs=fleet.gangs,
            now_s=lambda rate=rate: time.monotonic() * rate,  # type: ignore[misc]
        )
        worker.restart()
        link, address = await _open_link(group, await serve_on_loopback(group, worker_app(worker)))
        port = WorkerHandle(worker, link, address)
        fleet.workers.append(port)
        fleet.publish(port)
    ports = iter(free_ports(3 * instance_count))
    for number in range(instance_count):
        faults = StoreFaults()
        target = await serve_on_loopback(group, store_app(fleet.store.client(faults)))
        link, address = await _open_link(group, target)
        instance = InstanceProcess(
            f"i{number}",
            ZONES[number % len(ZONES)],
            directory,
            link,
            address,
            faults,
            (next(ports), next(ports), next(ports)),
        )
        fleet.instances.append(instance)
        instance.start()
    group.start_soon(fleet.run_workers)
    return fleet


async def _open_link(group: TaskGroup, target: str) -> tuple[RelayState, str]:
    state = RelayState(target)
    port = await group.start(serve_relay, state, 0)
    return state, f"127.0.0.1:{port}"


def is_signal_handled(pid: int, number: signal.Signals) -> bool:
    """Whether a process handles or ignores a signal, as the kernel has it."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        # The process has ended.
        return False
    fields = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
    mask = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(mask >> (number - 1) & 1)


def restore_links(links: Sequence[RelayState]) -> None:
    """Let links work again."""
    for link in links:
        link.set_failures(LinkFailures())
