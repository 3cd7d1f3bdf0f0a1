"""A small deployment: instances as processes, and stand-ins of all that they speak to."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

from standins.http import Handler, HttpServer, call, find_free_port
from standins.minion import Minion, Shape
from standins.store import Store

__all__ = [
    "BOUNDS",
    "FIRST_VERSION",
    "Client",
    "Deployment",
    "Instance",
    "Queue",
    "Tenant",
    "fraction_in_use",
    "is_trouble_wanted",
    "room_for",
    "run_case",
]

ROOT = Path(__file__).parents[2]
ZONES = ("hengelo-a", "enschede-b", "delden-c")
SERVICE = "depot-watch"
HOST = "nony24.example"
RESTART_S = 0.5
FIRST_VERSION = 7
MEMORY_MB = 300

BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "max_hold_ms": 10000,
    "revoke_ms": 5000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "stop_timeout_ms": 400,
    "gang_timeout_ms": 3000,
    "notice_ms": 4500,
    "reclaim_ms": 2900,
    "maintenance_s": 2,
    "lease_ms": 3000,
}

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration."""

    name: str
    priority: int

    @property
    def prefix(self) -> str:
        """Path prefix of its route."""
        return f"/{self.name}/"


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant with one key and the accelerators that are guaranteed to it."""

    name: str = "kaje80"
    key: str = "d4a3hwrr6x73d3zji9n7"
    guaranteed: int = 8


@dataclass(slots=True)
class Instance:
    """One instance of the system and its process."""

    name: str
    zone: str
    front: str
    ready: str
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "FOXTAILWELL_BOOT": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "src/instance.py"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Resident memory of the process; 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class Record:
    """Writes what was sent, answered and run, one JSON line each."""

    def __init__(self, output: TextIO) -> None:
        self._output = output
        self._began_s = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
        at_s = round(time.monotonic() - self._began_s, 3)
        line = json.dumps({"at_s": at_s, "event": event, **fields})
        self._output.write(line + "\n")
        self._output.flush()


class Deployment:
    """Store, operator, minions and instances.

    Args:
        directory: Temporary folder for settings and logs.
        report: Writes a line to the record.
        queues: Queues of the configuration.
        work_s: Returns the time that a task works, from its `spec`.
        shape: Capacity of each minion.
        minion_count: Number of minions.
        tenants: Tenants of the configuration.
        zones: Availability zones, over which minions and instances are spread in turn.
    """

    def __init__(
        self,
        directory: Path,
        report: Callable[..., None],
        queues: tuple[Queue, ...],
        work_s: Callable[[str], float],
        shape: Shape,
        minion_count: int,
        tenants: tuple[Tenant, ...] = (Tenant(),),
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        self.report = report
        self._zones = zones
        self._tenants = tenants
        self.store = Store()
        self.queues = {queue.name: queue for queue in queues}
        self._directory = directory
        self._work_s = work_s
        self._servers: list[HttpServer] = []
        self._keeper: asyncio.Task | None = None
        self.instances: list[Instance] = []
        self.minions = [
            Minion(
                f"i-{number:08x}",
                self.store,
                SERVICE,
                zones[number % len(zones)],
                f"r{number % len(zones)}-1",
                shape,
                work_s,
                report,
            )
            for number in range(minion_count)
        ]

    async def start(self, instance_count: int = 3) -> None:
        """Start everything, and wait until the instances are ready."""
        self.configure(FIRST_VERSION)
        for minion in self.minions:
            await minion.boot()
        for number in range(instance_count):
            zone = self._zones[number % len(self._zones)]
            name = f"edge-{zone}-{number + 1}"
            store = await self._serve(self.store.handler(name))
            self.instances.append(self._prepare(name, zone, store))
        for instance in self.instances:
            instance.start()
        self._keeper = asyncio.create_task(self._keep_running())
        until_s = time.monotonic() + 15
        while not all([await self.is_ready(instance) for instance in self.instances]):
            if time.monotonic() > until_s:
                raise TimeoutError("the instances are not ready")
            await asyncio.sleep(0.1)
        self.report("instances are ready", instances=[i.name for i in self.instances])

    async def stop(self) -> None:
        """End all processes that were started, and all stand-ins."""
        if self._keeper is not None:
            self._keeper.cancel()
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
            if instance.process is not None:
                instance.process.wait()
        for minion in self.minions:
            if minion.is_up:
                minion.leave()
        for server in self._servers:
            server.stop()

    async def _serve(self, handler: Handler) -> str:
        server = HttpServer(handler)
        await server.start()
        self._servers.append(server)
        return server.address

    async def _keep_running(self) -> None:
        """Restart processes that have ended, after a short delay, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            for instance in self.instances:
                if instance.process is not None and instance.process.poll() is not None:
                    code = instance.process.returncode
                    self.report("process ended", instance=instance.name, code=code)
                    await asyncio.sleep(RESTART_S)
                    instance.start()
                    self.report("process started", instance=instance.name)

    def _prepare(self, name: str, zone: str, store: str) -> Instance:
        front, ready, metrics = (find_free_port() for _ in range(3))
        settings = {
            "node_name": name,
            "role": "instance",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "nl-oost",
            "zones": dict.fromkeys(self._zones, "nl-oost"),
            "listen_addrs": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "port_range": [metrics, metrics],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": MEMORY_MB, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "control_mode": "rpc",
            "recommendation": None,
            "platform": {
                "address": store,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "max_value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
            "cloud_api": None,
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return Instance(
            name,
            zone,
            f"127.0.0.1:{front}",
            f"127.0.0.1:{ready}",
            path,
            self._directory / f"{name}.log",
        )

    def configure(self, version: int, removed: str = "") -> None:
        """Write a version of the configuration as the operator does, without one of the queues."""
        queues = [queue.name for queue in self.queues.values() if queue.name != removed]
        self.store.put("op/config", json.dumps(self._configuration(version, removed)).encode())
        self.report("configuration", version=version, queues=queues)

    def _configuration(self, version: int, removed: str) -> dict:
        routes = [
            {
                "name": queue.name,
                "host": HOST,
                "prefix": queue.prefix,
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": queue.priority,
                "service": SERVICE,
                "max_attempts": 4,
                "stretch": 3.0,
                "no_auth": False,
            }
            for queue in self.queues.values()
            if queue.name != removed
        ]
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 64,
            "preconditions": False,
        }
        tenants = [
            {"name": t.name, "api_keys": [t.key], "guaranteed": {"gpu": t.guaranteed}}
            for t in self._tenants
        ]
        return {"version": version, "routes": routes, "services": [service], "tenants": tenants}

    async def is_ready(self, instance: Instance) -> bool:
        """Ask an instance for its readiness, as the platform does."""
        return (await call(instance.ready, "GET", "/-/readiness", timeout_s=1.0))[0] == 200

    def count_logged(self, event: str) -> dict[str, int]:
        """Return how often each instance has logged an event, for the record only."""
        return {i.name: i.log.read_text(errors="replace").count(event) for i in self.instances}

    def find(self, name: str) -> Instance:
        """Return an instance by name."""
        return next(instance for instance in self.instances if instance.name == name)

    def running(self) -> dict[str, str]:
        """Return the minion of each task that runs now."""
        return {task: m.id for m in self.minions if m.is_up for task in m.running}


class Client:
    """A client of the system, with retries at other instances.

    Args:
        deployment: Deployment to call.
        seed: Seed of the choice of instances.
        tenant: Tenant of the client.
        avoided: Instance that the client's connections do not lead to.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int = 1,
        tenant: Tenant | None = None,
        avoided: Instance | None = None,
    ) -> None:
        self._deployment = deployment
        self._deployment = deployment
        self._avoided = avoided
        self._tenant = tenant or Tenant()
        self._random = random.Random(seed)

    async def submit(self, queue: str, job: str, body: dict, attempts: int = 5) -> bool:
        """Hand in a job, and return whether it was accepted."""
        for _ in range(attempts):
            status, _ = await self.call("POST", queue, job, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, queue: str, job: str, attempts: int = 5) -> str:
        """Return the state of a job, or what was answered instead."""
        status = 0
        for _ in range(attempts):
            status, body = await self.call("GET", queue, job)
            if status == 200:
                return str(body["state"])
            await asyncio.sleep(0.3)
        return f"status {status}" if status else "no answer"

    async def call(
        self,
        method: str,
        queue: str,
        job: str,
        body: dict | None = None,
        at: Instance | None = None,
    ) -> tuple[int, dict]:
        """Send one request at an instance, or at one that is chosen by chance."""
        instances = [i for i in self._deployment.instances if i is not self._avoided]
        instance = at or self._random.choice(instances)
        path = self._deployment.queues[queue].prefix + job
        headers = {
            "Host": HOST,
            "Authorization": f"Token {self._tenant.key}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": "3000",
        }
        status, answer = await call(instance.front, method, path, body, headers)
        self._deployment.report(
            "client call", method=method, job=job, at=instance.name, status=status, answer=answer
        )
        return status, answer


def room_for(deployment: Deployment, shapes: dict[str, Shape], need: Shape) -> int:
    """Return how many tasks of a shape the free capacity of all minions would hold.

    Args:
        deployment: Deployment with its minions.
        shapes: Shapes of tasks, by the name of their job.
        need: Shape of a task.
    """
    total = 0
    for minion in deployment.minions:
        if not minion.is_up or minion.state != "ready":
            continue
        used = [shapes[task.partition(".")[0]] for task in minion.running]
        free = (
            minion.shape.cpu - sum(s.cpu for s in used),
            minion.shape.mem_mb - sum(s.mem_mb for s in used),
            minion.shape.gpu - sum(s.gpu for s in used),
        )
        each = [f // n for f, n in zip(free, (need.cpu, need.mem_mb, need.gpu), strict=True) if n]
        total += max(0, min(each))
    return total


def fraction_in_use(deployment: Deployment, shapes: dict[str, Shape]) -> float:
    """Return the largest share of a resource of all minions that is in use."""
    up = [minion for minion in deployment.minions if minion.is_up]
    used = [shapes[task.partition(".")[0]] for minion in up for task in minion.running]
    shares = [
        sum(getattr(s, name) for s in used) / max(1, sum(getattr(m.shape, name) for m in up))
        for name in ("cpu", "mem_mb", "gpu")
    ]
    return round(max(shares), 2)


def is_trouble_wanted() -> bool:
    """Return whether the disruption is to be made; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


Case = Callable[[Path, Callable[..., None]], Awaitable[bool]]


def run_case(folder: Path, case: Case, limit_s: float = 112.0) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, and 2 if it could not run.

    Args:
        folder: Folder of the case, which takes `record.txt`.
        case: Returns whether the rule was broken.
        limit_s: Time after which the case is given up.
    """
    with (folder / "record.txt").open("w") as output, tempfile.TemporaryDirectory() as directory:
        report = Record(output)
        report("begin", trouble=is_trouble_wanted())

        async def run() -> bool:
            async with asyncio.timeout(limit_s):
                return await case(Path(directory), report)

        try:
            is_broken = asyncio.run(run())
        except (OSError, TimeoutError, AssertionError) as error:
            report("the case could not run", reason=repr(error))
            print(f"not run: {error!r}")
            sys.exit(EXIT_NOT_RUN)
        report("end", is_broken=is_broken)
        print("the rule was broken" if is_broken else "the rule held")
        sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
