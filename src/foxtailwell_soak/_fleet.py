"""Deployment under test: stand-ins for the platform, relays, and instances as processes."""

from __future__ import annotations

import json
import math
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from datetime import datetime
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from foxtailwell.adapters.events import DAEMON_STARTED, TASK_FAILED
from foxtailwell.adapters.http_connection import HttpEndpoint
from foxtailwell.workflows import Resources
from foxtailwell_standins.platform_server import (
    encode_entry,
    serve_on_loopback,
    store_app,
    worker_app,
)
from foxtailwell_standins.platform_store import MemoryStore, StoreFaults
from foxtailwell_standins.platform_worker import GangCoordinator, MemoryWorker, WorkerFaults
from foxtailwell_standins.ports import free_ports
from foxtailwell_standins.relay import LinkFailures, RelayState, serve_relay

__all__ = [
    "BOUNDS",
    "HEARTBEAT_S",
    "WORKER_CAPACITY",
    "Bounds",
    "Fleet",
    "InstanceProcess",
    "WorkerHandle",
    "describe_processor_use",
    "is_signal_handled",
    "restore_links",
]

HEARTBEAT_S = 0.5
"""Interval of worker heartbeats; a third of the platform's, because a soak test lasts seconds."""

MISSED_HEARTBEATS = 3
"""Missed heartbeats after which the entry of a worker is removed, as on the platform."""

CHECK_INTERVAL_S = 0.02
"""Interval at which leases and runs are checked for their end."""

SLOW_CLOCK_RATE = 0.98
"""Rate of the slowest worker clock that is allowed, relative to real time."""

WORKER_CAPACITY = Resources(8_000, 8_000, 8)
"""Capacity of a worker; small, so that a few jobs fill it."""

CRASH_S = 1.0
"""Time for which a worker is silent after a task has crashed it."""

ZONES = ("a", "b")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits in the settings; leases are shorter than on the platform to end a test sooner."""

    contact_ms: int = 2000
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
    """One instance with its own link to the store.

    Attributes:
        directory: Takes the settings file and the log.
        store_link: Relay between the instance and the store.
        store_address: `host:port` of the relay.
        store_faults: Faults of the store that only this instance sees.
        ports: Ports for clients, readiness and metrics.
        termination_sent_s: When the test last sent a signal that ends the process; 0 if it has
            sent none since the start.
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

    @property
    def address(self) -> str:
        """`host:port` that clients connect to."""
        return f"127.0.0.1:{self.ports[0]}"

    @property
    def log_path(self) -> Path:
        """File that takes the output of all processes of this instance."""
        return self.directory / f"{self.name}.log"

    def unhandled_errors(self) -> list[str]:
        """Return the last line of each traceback in the log, and each failed background task."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        starts = [n for n, line in enumerate(lines) if line.startswith("Traceback")]
        # The frames of a traceback are indented; the error itself is not.
        errors = [next((x for x in lines[n + 1 :] if x[:1] != " "), "") for n in starts]
        return errors + [x for x in lines if f'"event":"{TASK_FAILED.number}"' in x]

    def describe_starts(self, origin_unix_s: float) -> str:
        """Return when the processes logged their starts, and how the last one shared a processor.

        Args:
            origin_unix_s: Time of day from which the starts count.
        """
        starts = [
            f"{datetime.fromisoformat(json.loads(line)['time']).timestamp() - origin_unix_s:.1f}"
            for line in self.log_path.read_text(errors="replace").splitlines()
            if f'"event":"{DAEMON_STARTED.number}"' in line
        ]
        use = describe_processor_use(self.process.pid) if self.process else "not started"
        return f"{self.name} started at {', '.join(starts) or 'no time'} s; {use}"

    def start(self) -> None:
        """Write the settings file and start the process; its output is appended to the log."""
        front, ready, metrics = self.ports
        settings = {
            "node_name": self.name,
            "ip": "127.0.0.1",
            "zone": self.zone,
            "listen_addrs": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "port_range": [metrics, metrics],
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "platform": {"address": self.store_address},
            "bounds": msgspec.to_builtins(BOUNDS),
        }
        path = self.directory / f"{self.name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        program = Path(__file__).parents[1] / "instance.py"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(program)],
                stdout=log,
                stderr=log,
                env={**os.environ, "FOXTAILWELL_BOOT": str(path)},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process; a process that has exited is ignored."""
        if self.process is not None and self.process.poll() is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.termination_sent_s = time.monotonic()
            self.process.send_signal(number)

    def has_exited_unexpectedly(self) -> bool:
        """Whether the process has exited although the test sent no terminating signal."""
        return (
            self.process is not None
            and self.process.poll() is not None
            and not self.termination_sent_s
        )


@dataclass(slots=True)
class WorkerHandle:
    """One worker with the link to it.

    Attributes:
        link: Relay between the instances and the worker.
        address: `host:port` of the relay.
        draining_s: When its state "draining" was stored; 0 while it is ready.
        is_removed: Whether it is temporarily removed from the fleet.
        is_cut_off: Whether neither the store nor an instance can be reached.
        unsent: Entry that it wrote before it was cut off; the first one to be stored afterwards.
        published_s: Time of its last heartbeat.
        capacities: Its capacities, each with the time from which it holds.
    """

    worker: MemoryWorker
    link: RelayState
    address: str
    draining_s: float = 0.0
    is_removed: bool = False
    is_cut_off: bool = False
    unsent: bytes = b""
    published_s: float = 0.0
    capacities: list[tuple[float, Resources]] = field(default_factory=list)

    def resize(self, capacity: Resources) -> None:
        """Change the capacity; the next heartbeat reports it."""
        self.worker.capacity = capacity
        self.capacities.append((time.monotonic(), capacity))

    def capacities_within(self, since_s: float, until_s: float) -> list[Resources]:
        """Return the capacities that held at some time between two times."""
        ends_s = [from_s for from_s, _ in self.capacities[1:]] + [math.inf]
        return [
            capacity
            for (from_s, capacity), end_s in zip(self.capacities, ends_s, strict=True)
            if from_s <= until_s and end_s >= since_s
        ]


@dataclass(slots=True)
class Fleet:
    """All parts of the deployment; `close` ends only processes that the test started.

    Attributes:
        shared_store_faults: Faults of the store that also stop worker heartbeats.
        fatal_tasks: Tasks that crash each worker that starts them.
        fatal_jobs_due: Number of coming jobs whose first task is to be fatal.
        long_jobs_due: Number of coming jobs whose tasks are to outlast the pause between two waves.
        crash_waves_s: Times at which many workers crashed at once.
        lapses_s: Times at which entries of former identifiers lapse, by identifier.
        clients: Connections of clients, to be closed after the test.
    """

    store: MemoryStore
    shared_store_faults: StoreFaults
    fatal_tasks: set[str] = field(default_factory=set)
    fatal_jobs_due: int = 0
    long_jobs_due: int = 0
    crash_waves_s: list[float] = field(default_factory=list)
    lapses_s: dict[str, float] = field(default_factory=dict)
    gangs: GangCoordinator = field(default_factory=GangCoordinator)
    instances: list[InstanceProcess] = field(default_factory=list)
    workers: list[WorkerHandle] = field(default_factory=list)
    clients: list[HttpEndpoint] = field(default_factory=list)

    def close(self) -> None:
        """Kill all instances and wait for their exit; suspended ones are resumed first."""
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()

    def workers_without(self, job_id: str) -> list[str]:
        """Return the workers on which no run of a job has started."""
        return [
            handle.worker.id
            for handle in self.workers
            if not any(span.task.startswith(f"{job_id}.") for span in handle.worker.spans)
        ]

    def publish(self, handle: WorkerHandle) -> None:
        """Write the entry of a worker to the store, which counts as its heartbeat.

        A worker that was cut off sends the entry that it wrote before, and the present one next.
        """
        if handle.is_cut_off:
            return
        value, handle.unsent = handle.unsent or _entry_value(handle), b""
        self.store.write(f"servers/{handle.worker.id}", value)
        handle.published_s = time.monotonic()

    def cut_off(self, handle: WorkerHandle) -> None:
        """Keep the entries of a worker from the store, beginning with one that it writes now."""
        handle.unsent, handle.is_cut_off = _entry_value(handle), True

    def crash(self, handle: WorkerHandle, silence_s: float, *, is_renamed: bool) -> None:
        """Crash a worker, whose next incarnation may have another identifier.

        The entry of the former identifier stays until its heartbeats are missed.
        """
        worker = handle.worker
        if not is_renamed:
            worker.crash(silence_s)
            return
        self.lapses_s[worker.id] = handle.published_s + MISSED_HEARTBEATS * HEARTBEAT_S
        worker.crash(silence_s, f"{worker.id.partition('-')[0]}-{worker.boot_unix_ms}")
        handle.published_s = 0.0

    async def run_workers(self) -> None:
        """End due runs and leases, and write or remove worker entries, until cancelled."""
        while True:
            now_s = time.monotonic()
            is_store_down = self.shared_store_faults.is_down
            for handle in self.workers:
                handle.worker.end_due_runs()
                is_due = now_s - handle.published_s >= HEARTBEAT_S
                is_silent = handle.is_removed or handle.is_cut_off or handle.worker.is_silent
                if is_due and not is_silent and not is_store_down:
                    self.publish(handle)
                elif now_s - handle.published_s > MISSED_HEARTBEATS * HEARTBEAT_S:
                    self.store.delete(f"servers/{handle.worker.id}")
            for former, lapse_s in list(self.lapses_s.items()):
                if now_s > lapse_s:
                    self.store.delete(f"servers/{former}")
                    del self.lapses_s[former]
            self.store.expire_leases()
            await anyio.sleep(CHECK_INTERVAL_S)


def _entry_value(handle: WorkerHandle) -> bytes:
    entry = replace(handle.worker.entry(is_ready=not handle.draining_s), address=handle.address)
    if handle.draining_s:
        entry = replace(entry, remaining_ms=BOUNDS.drain_ms)
    return encode_entry(entry)


async def open_fleet(
    group: TaskGroup, directory: Path, instance_count: int, worker_count: int
) -> Fleet:
    """Start the stand-ins and instances.

    Args:
        group: Task group that runs the stand-ins.
        directory: Takes settings files and logs.
        instance_count: Number of instances; they alternate between two zones.
        worker_count: Number of workers; they alternate between two zones, and two share a rack.
    """
    fleet = Fleet(MemoryStore(), StoreFaults())
    for number in range(worker_count):
        rate = SLOW_CLOCK_RATE if number % 2 else 1.0
        worker = MemoryWorker(
            f"w{number}",
            rack=f"r{number // 2}",
            zone=ZONES[number % len(ZONES)],
            capacity=WORKER_CAPACITY,
            payload_duration_s=float,
            gangs=fleet.gangs,
            now_s=lambda rate=rate: time.monotonic() * rate,  # type: ignore[misc]
            faults=WorkerFaults(fatal_tasks=fleet.fatal_tasks, crash_s=CRASH_S),
        )
        worker.restart()
        link, address = await _open_link(group, await serve_on_loopback(group, worker_app(worker)))
        handle = WorkerHandle(worker, link, address, capacities=[(0.0, WORKER_CAPACITY)])
        fleet.workers.append(handle)
        fleet.publish(handle)
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


def describe_processor_use(pid: int) -> str:
    """Return for how long a process has run and has waited for a processor.

    It tells a process that had nothing to run on from one that its own code held up.
    """
    try:
        ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii").split()
    except OSError:
        # The process has exited, or the kernel keeps no such statistics.
        return "use of processors unknown"
    return f"{int(ran_ns) / 1e9:.1f} s on a processor, {int(waited_ns) / 1e9:.1f} s waiting for one"


def is_signal_handled(pid: int, number: signal.Signals) -> bool:
    """Whether a process handles or ignores a signal, according to its status in /proc."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        # The process has exited.
        return False
    fields = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
    mask = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(mask >> (number - 1) & 1)


def restore_links(links: Sequence[RelayState]) -> None:
    """Remove all faults of links."""
    for link in links:
        link.set_failures(LinkFailures())
