"""Stand-ins of the users' platform for the scripts of this review, on loopback addresses.

They use the standard library only, and follow PROTOCOL.md and DEPLOY.md: store, minions, machines,
operator and clients run in this process, the project's instances as processes of their own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BEAT_S = 1.5
MAX_ENTRIES = 32
MAX_VALUE_BYTES = 1_048_576
MAX_HOLD_MS = 10_000
STOP_S = 0.1
STARTUP_S = 0.5
MAINTENANCE_S = 2.0
STORE_DELAY_S = 0.004
LIMIT_S = 110.0
FIRST_PORT = 10_240
PORTS_PER_BLOCK = 64
PORT_BLOCKS = 330
HOST = "jobs.example"
BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "evacuate_ms": 5000,
    "max_hold_ms": MAX_HOLD_MS,
    "stop_timeout_ms": 400,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "notice_ms": 4500,
    "maintenance_s": MAINTENANCE_S,
    "require_fence": False,
    "lease_ms": 3000,
    "reclaim_ms": 2900,
}

Reply = tuple[int, object]
Handler = Callable[[str, str, dict[str, str], dict[str, str], Any], Awaitable[Reply | None]]


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()


class HttpServer:
    """HTTP/1.1 server for JSON bodies; a handler that returns None leaves its call unanswered."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, port: int) -> None:
        """Listen on a port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def close(self) -> None:
        """Close the listener and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                content = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                body = json.loads(content) if content else {}
                reply = await self._handler(method, url.path, query, headers, body)
                if reply is None:
                    await asyncio.sleep(60)
                    return
                encoded = json.dumps(reply[1], separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {reply[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(encoded)}\r\n\r\n".encode()
                    + encoded
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # A cancelled handler belongs to a server that ends; asyncio would print a traceback.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass
class _Item:
    value: str
    revision: int
    created: int
    lease: int


class Store:
    """The platform's key-value store."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, str | None]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 1
        self._lease_count = 0
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def write(self, key: str, value: object) -> None:
        """Write a key as the operator or a minion does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._revision += 1
        self._put(key, text, 0)
        self._notify()

    def delete(self, key: str) -> None:
        """Delete a key as the operator or the platform does."""
        if key in self._items:
            self._revision += 1
            self._remove(key)
            self._notify()

    def read(self, key: str) -> Any:
        """Return the JSON value of a key; None if there is none."""
        item = self._items.get(key)
        return json.loads(base64.b64decode(item.value)) if item else None

    def read_text(self, key: str) -> str:
        """Return the value of a key as text; empty if there is none."""
        item = self._items.get(key)
        return base64.b64decode(item.value).decode() if item else ""

    def _put(self, key: str, text: str, lease: int) -> None:
        known = self._items.get(key)
        created = known.created if known else self._revision
        self._items[key] = _Item(text, self._revision, created, lease)
        self._history.append((self._revision, key, text))

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append((self._revision, key, None))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def expire_leases(self) -> None:
        """End the leases whose time has passed, with their keys."""
        now_s = time.monotonic()
        for lease, (until_s, _) in list(self._leases.items()):
            if now_s >= until_s:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item.lease == lease]:
            self._revision += 1
            self._remove(key)
        self._notify()

    def _encode(self, key: str) -> dict[str, object]:
        item = self._items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created_rev": item.created,
            "lease_id": item.lease,
        }

    async def _handle(
        self, method: str, path: str, query: dict[str, str], _: dict[str, str], body: Any
    ) -> Reply:
        await asyncio.sleep(STORE_DELAY_S)
        self.expire_leases()
        name = path.removeprefix("/-/")
        if name == "kv-key":
            key = query["key"]
            found = key in self._items
            return (200, self._encode(key) | {"at_rev": self._revision}) if found else (404, {})
        if name == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(query["prefix"]) and k > after)
            items = [self._encode(key) for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "at_rev": self._revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            self._lease_count += 1
            ttl_s = body["ttl_ms"] / 1000
            self._leases[self._lease_count] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease_id": self._lease_count, "ttl_ms": body["ttl_ms"]}
        call, _, lease_text = name.partition("/")
        lease = int(lease_text or 0)
        if call == "kv-keep" and lease in self._leases:
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if call == "kv-lease-end" and lease in self._leases:
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> Reply:
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [e for e in self._history if e[0] > after and e[1].startswith(prefix)]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))
            self.expire_leases()
        events = [
            {"key": key, "revision": revision, "deleted": True}
            if text is None
            else {"key": key, "revision": revision, "value": text}
            for revision, key, text in found
        ]
        return 200, {"events": events, "at_rev": found[-1][0] if found else after}

    def _transact(self, body: Any) -> Reply:
        conditions, puts, deletes = body["precondition"], body["puts"], body["deletes"]
        count = len(conditions) + len(puts) + len(deletes)
        if count > MAX_ENTRIES:
            self._record(f"store    400 to a transaction of {count} entries (at most 32)")
            return 400, {"error": "too many entries"}
        longest = max((len(base64.b64decode(p["value"])) for p in puts), default=0)
        if longest > MAX_VALUE_BYTES:
            self._record(f"store    400 to a value of {longest} bytes (at most {MAX_VALUE_BYTES})")
            return 400, {"error": "value too large"}
        if any(p["key"].startswith(("op/", "servers/")) for p in puts):
            return 403, {}
        current = {row["key"]: self._items.get(row["key"]) for row in conditions}
        if any(
            (item.revision if (item := current[row["key"]]) else 0) != row["revision"]
            for row in conditions
        ):
            return 412, {"items": [self._encode(k) for k, item in current.items() if item]}
        if any(p.get("lease_id") and p["lease_id"] not in self._leases for p in puts):
            return 404, {}
        if puts or deletes:
            self._revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease_id", 0))
        for key in deletes:
            self._remove(key)
        self._notify()
        return 200, {"revision": self._revision}


@dataclass
class Run:
    """A run of a task on a minion; times are on the monotonic clock."""

    task: str
    run: int
    minion: str
    lasts: bool
    duration_s: float
    started_s: float
    spec: str = ""
    ended_s: float = 0.0
    how: str = ""
    is_stopping: bool = False

    def percent(self) -> int:
        """Return the progress; a task that lasts is at 100 once it is at work."""
        share = (time.monotonic() - self.started_s) / (STARTUP_S if self.lasts else self.duration_s)
        return int(min(100.0 if self.lasts else 99.0, share * 100))

    def is_at_work(self) -> bool:
        """Return whether it runs and has completed its startup."""
        return not self.ended_s and time.monotonic() - self.started_s >= STARTUP_S


@dataclass
class Minion:
    """One minion; it starts whatever it is told to start (`preconditions` false).

    The `spec` of a job is a JSON list with the duration of a task in seconds by step; 0 lasts.
    """

    id: str
    zone: str
    store: Store
    record: Record
    port: int
    rack: str = "r1"
    kind: str = "a"
    cpu: int = 128_000
    mem_mb: int = 262_144
    gpu: int = 8
    service: str = "pool"
    checkpoint_chars: int = 0
    state: str = "ready"
    log: list[Run] = field(default_factory=list)
    running: dict[str, Run] = field(default_factory=dict)
    is_up: bool = False
    on_order: Callable[[Run, str], None] = lambda _run, _order: None

    def __post_init__(self) -> None:
        """Create the interface."""
        self.server = HttpServer(self._handle)
        self._boot()

    def _boot(self) -> None:
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._token = self._end_count = self._seq = 0
        self._lease_end_ms = 0
        self._highest: dict[str, int] = {}
        self._ended: list[list[object]] = []
        self._leaves_s = 0.0
        self.state = "ready"
        self._end_event = asyncio.Event()

    async def open(self) -> None:
        """Start a life of the minion and register it."""
        self._boot()
        await self.server.open(self.port)
        self.is_up = True
        self.beat()
        self.record(f"{self.id:8} up, born {self._born_ms}, zone {self.zone}")

    def crash(self, why: str = "crash") -> None:
        """End the life of the minion; everything that runs on it ends."""
        self.is_up = False
        self.server.close()
        self.record(f"{self.id:8} {why}: {len(self.running)} runs end")
        for run in self.running.values():
            run.ended_s, run.how = time.monotonic(), why
        self.running.clear()

    def beat(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": self.gpu},
            "labels": [self.kind, self.rack],
            "clock_ms": self._clock_ms(),
            "born": self._born_ms,
            "seq": self._seq,
        }
        if self.state == "draining":
            entry["remaining_ms"] = max(0, int((self._leaves_s - time.monotonic()) * 1000))
        self.store.write(f"servers/{self.id}", entry)

    async def drain(self, drain_s: float) -> None:
        """Report `draining`, serve on for the given time, and leave; its entry is removed then."""
        self.state, self._leaves_s = "draining", time.monotonic() + drain_s
        self.beat()
        self.record(f"{self.id:8} draining, leaves in {drain_s} s")
        await asyncio.sleep(drain_s)
        self.crash("left")
        self.store.delete(f"servers/{self.id}")

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000)

    def tick(self) -> None:
        """End the runs whose work is done or whose lease has lapsed."""
        now_s = time.monotonic()
        for run in list(self.running.values()):
            if self._clock_ms() > self._lease_end_ms:
                self._end(run, "lapsed")
            elif not run.lasts and now_s - run.started_s >= run.duration_s:
                self._end(run, "done")

    def fail(self, task: str) -> None:
        """End a run as failed, as a task that lasts may at any time."""
        self._end(self.running[task], "failed")

    def _end(self, run: Run, how: str) -> None:
        if self.running.pop(run.task, None) is None:
            return
        run.ended_s, run.how = time.monotonic(), how
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.run, how, self._saved(run)])
        self.record(f"{self.id:8} end of {run.task} run {run.run}: {how}")
        self._end_event.set()
        self._end_event = asyncio.Event()

    def _saved(self, run: Run) -> str:
        text = f"{run.task}:{run.run}:{run.percent()}:"
        return text.ljust(self.checkpoint_chars, "0") if self.checkpoint_chars else ""

    async def _handle(
        self, _: str, path: str, query: dict[str, str], headers: dict[str, str], body: Any
    ) -> Reply:
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        self.tick()
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._rejected("fence")
        self._token = token
        if path == "/-/run-start":
            return self._start(body)
        if path == "/-/run-stop":
            return self._stop(body)
        if path == "/-/hold":
            return await self._hold(body)
        return 404, {}

    def _rejected(self, reason: str) -> Reply:
        return 409, {"clock_ms": self._clock_ms(), "reason": reason, "born": self._born_ms}

    def _done(self) -> Reply:
        return 200, {"clock_ms": self._clock_ms(), "born": self._born_ms}

    def _extend(self, deadline_ms: int) -> None:
        limit_ms = min(deadline_ms, self._clock_ms() + MAX_HOLD_MS)
        self._lease_end_ms = max(self._lease_end_ms, limit_ms)

    def _start(self, body: Any) -> Reply:
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.run == number:
            return self._done()
        if body["deadline_ms"] < self._clock_ms():
            return self._rejected("late")
        self._extend(body["deadline_ms"])
        if number <= self._highest.get(task, 0):
            return self._rejected("old")
        duration_s = float(json.loads(body["spec"])[int(task.split(".")[2])])
        run = Run(task, number, self.id, not duration_s, duration_s, time.monotonic(), body["spec"])
        self.running[task] = run
        self.log.append(run)
        self.record(f"{self.id:8} start of {task} run {number}, token {self._token}")
        return self._done()

    def _stop(self, body: Any) -> Reply:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run == number and not run.is_stopping:
            self.record(f"{self.id:8} told to stop {task} run {number}")
            if run.is_at_work():
                self.on_order(run, "a stop")
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return self._done()

    async def _hold(self, body: Any) -> Reply:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        self._ended = [e for e in self._ended if int(str(e[0])) > body["acked"]]
        if not self._ended and body.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_event.wait(), body["wait_ms"] / 1000)
        running = [[r.task, r.run, self._saved(r), r.percent(), 0] for r in self.running.values()]
        return 200, {
            "clock_ms": self._clock_ms(),
            "born": self._born_ms,
            "running": running,
            "ended": self._ended[:500],
        }


class Machines:
    """The platform's machine interface: machine `m-ID` has the minion ID at first."""

    def __init__(self, store: Store, record: Record) -> None:
        self._store = store
        self._record = record
        self.minions: dict[str, Minion] = {}
        self._down: set[str] = set()
        self._begun: set[tuple[str, int]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = HttpServer(self._handle)

    async def _handle(
        self, method: str, path: str, _: dict[str, str], headers: dict[str, str], body: Any
    ) -> Reply:
        if method == "GET":
            rows = [
                {
                    "machine": name,
                    "pool": minion.service,
                    "state": "upkeep" if name in self._down else "up",
                    "zone": minion.zone,
                    "labels": [minion.kind, minion.rack],
                    "capacity": {"cpu": minion.cpu, "mem_mb": minion.mem_mb, "gpu": minion.gpu},
                    "id": minion.id,
                }
                for name, minion in self.minions.items()
            ]
            return 200, {"machines": rows, "next_token": None}
        if path != "/-/machine-upkeep":
            return 404, {}
        name, wave = body["machine"], body["wave"]
        holder, token = headers.get("x-duty-holder"), headers.get("x-fencing-token")
        if name not in self.minions:
            return 400, {}
        if (name, wave) in self._begun:
            return 200, {}
        request = self._store.read(f"op/wave/{wave}")
        if request is None or name not in request["machines"]:
            return 409, {"reason": "wave"}
        if name in self._down:
            return 409, {"reason": "busy"}
        self._record(f"{name:8} upkeep of wave {wave} by {holder}, token {token}")
        self._begun.add((name, wave))
        self._down.add(name)
        minion = self.minions[name]
        for run in minion.running.values():
            if run.is_at_work():
                minion.on_order(run, "an upkeep")
        minion.crash("upkeep")
        self._store.delete(f"servers/{minion.id}")
        task = asyncio.create_task(self._return(name, minion))
        self._tasks.add(task)
        return 200, {}

    def has_begun(self, machine: str, wave: int) -> bool:
        """Return whether the upkeep of a machine in a wave has begun."""
        return (machine, wave) in self._begun

    async def _return(self, name: str, minion: Minion) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        minion.id += "x"
        await minion.open()
        self._down.discard(name)


@dataclass
class Instance:
    """One instance of the project as a process, started with the command of the deploy file."""

    name: str
    zone: str
    front: int
    ready: int
    metrics: int
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """Stand-ins, instances, operator and clients of one script."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.machines = Machines(self.store, self.record)
        self.minions: list[Minion] = []
        self.instances: list[Instance] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._store_port, self._machines_port = free_ports(2)
        self._ticker: asyncio.Task[None] | None = None
        self.last_beat_s = 0.0

    async def open(self, instances: int, minions: list[dict[str, Any]]) -> None:
        """Start everything.

        Args:
            instances: Number of instances.
            minions: Fields of each minion: `zone`, and others of `Minion` where they differ.
        """
        await self.store.server.open(self._store_port)
        await self.machines.server.open(self._machines_port)
        for number, (port, fields) in enumerate(
            zip(free_ports(len(minions)), minions, strict=True)
        ):
            minion = Minion(
                f"i-{number:04x}", store=self.store, record=self.record, port=port, **fields
            )
            self.minions.append(minion)
            self.machines.minions[f"m-{number:04x}"] = minion
            await minion.open()
        ports = free_ports(3 * instances)
        for number in range(instances):
            zone = minions[number % len(minions)]["zone"]
            own = ports[3 * number : 3 * number + 3]
            self.instances.append(Instance(f"edge-{zone}-{number + 1}", zone, *own))
        self._ticker = asyncio.create_task(self._tick())
        for instance in self.instances:
            self.start(instance)

    def start(self, instance: Instance) -> None:
        """Write the settings file of an instance and start its process."""
        zones = {minion.zone: "region-1" for minion in self.minions}
        settings = {
            "node_name": instance.name,
            "role": "instance",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": instance.zone,
            "region": "region-1",
            "zones": zones,
            "listen_addrs": {
                "front": f"127.0.0.1:{instance.front}",
                "ready": f"127.0.0.1:{instance.ready}",
            },
            "port_range": [instance.metrics, instance.metrics],
            "bootstrap": True,
            "heartbeat_ms": int(BEAT_S * 1000),
            "control_mode": "rpc",
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{self._store_port}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "max_value_bytes": MAX_VALUE_BYTES,
                "ttl_min_ms": 1000,
            },
            "cloud_api": {
                "address": f"127.0.0.1:{self._machines_port}",
                "rate_per_s": 60.0,
                "duties": [],
                "duty_per_s": 60.0,
            },
        }
        path = self._folder / f"{instance.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {"FOXTAILWELL_BOOT": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        with (self._folder / f"{instance.name}.log").open("ab") as log:
            instance.process = subprocess.Popen(
                ["python3", "src/instance.py"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"operator starts {instance.name}, process {instance.process.pid}")

    def kill(self, instance: Instance) -> None:
        """Kill the process of an instance."""
        if instance.process is not None:
            self.record(f"operator kills {instance.name}")
            instance.process.send_signal(signal.SIGKILL)
            instance.process.wait()

    def controller(self) -> Instance | None:
        """Return the instance that holds the controller key."""
        holder = self.store.read_text("foxtailwell/controller").rpartition(" ")[0]
        return next((i for i in self.instances if i.name == holder), None)

    async def _tick(self) -> None:
        next_beat_s = time.monotonic() + BEAT_S
        while True:
            await asyncio.sleep(0.02)
            self.store.expire_leases()
            is_due = time.monotonic() >= next_beat_s
            if is_due:
                self.last_beat_s = next_beat_s
                next_beat_s += BEAT_S
            for minion in self.minions:
                if minion.is_up:
                    minion.tick()
                    if is_due:
                        minion.beat()

    def configure(
        self, version: int, routes: list[dict[str, Any]], guaranteed: tuple[int, ...] = (0,)
    ) -> None:
        """Write a configuration.

        Args:
            version: Version.
            routes: Name, and other fields where they differ from the defaults.
            guaranteed: Accelerators guaranteed to each tenant; `key-1` is the key of the first.
        """
        defaults = {
            "host": HOST,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": "pool",
            "max_attempts": 3,
            "stretch": 3.0,
            "no_auth": False,
        }
        value = {
            "version": version,
            "routes": [defaults | {"prefix": f"/{r['name']}/"} | r for r in routes],
            "services": [{"name": "pool", "preconditions": False, "standby": False}],
            "limits": {"max_body_bytes": 262144},
            "tenants": [
                {"name": f"t{n}", "api_keys": [f"key-{n}"], "priority": 1, "guaranteed": {"gpu": g}}
                for n, g in enumerate(guaranteed, 1)
            ],
        }
        self.store.write("op/config", value)
        self.record(f"operator writes configuration {version}: {[r['name'] for r in routes]}")

    async def call(
        self, method: str, path: str, body: object = None, tenant: int = 1
    ) -> tuple[int, Any]:
        """Send a request of a client; the status is 0 if no answer came within 3 s."""
        live = [i for i in self.instances if i.process and i.process.poll() is None]
        target = live[sum(path.encode()) % len(live)]
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token key-{tenant}\r\n"
            f"X-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", target.front)
                writer.write(head.encode() + content)
                raw = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            self.record(f"client   {method} {path} at {target.name}: no answer")
            return 0, None
        if not raw:
            return 0, None
        status = int(raw.split(b" ", 2)[1])
        text = raw.partition(b"\r\n\r\n")[2]
        reply = json.loads(text) if text else None
        self.record(f"client   {method} {path} at {target.name}: {status} {reply}")
        return status, reply

    async def submit(self, queue: str, job_id: str, body: dict[str, Any], tenant: int = 1) -> bool:
        """Hand in a job, with up to four retries; return whether it was accepted."""
        for _ in range(5):
            status, _ = await self.call("POST", f"/{queue}/{job_id}", body, tenant)
            if status == 200:
                return True
            if status in (400, 401):
                return False
            await asyncio.sleep(1.0)
        return False

    async def state(self, queue: str, job_id: str, tenant: int = 1) -> str:
        """Return a job's state as its client sees it; the status if there is none."""
        status, reply = await self.call("GET", f"/{queue}/{job_id}", tenant=tenant)
        return str(reply["state"]) if status == 200 else str(status)

    async def until_ready(self) -> bool:
        """Wait until each instance is ready and one holds the controller key."""
        for _ in range(300):
            answers = [await self._is_ready(i) for i in self.instances]
            if all(answers) and self.controller() is not None:
                self.record("platform all instances are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def _is_ready(self, instance: Instance) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", instance.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                raw = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return raw.startswith(b"HTTP/1.1 200")

    def runs(self, prefix: str) -> list[Run]:
        """Return all runs of the tasks whose names begin so, by start."""
        found = [r for m in self.minions for r in m.log if r.task.startswith(prefix)]
        return sorted(found, key=lambda run: run.started_s)

    def close(self) -> None:
        """End all processes that the script started."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        if self._ticker is not None:
            self._ticker.cancel()
        if os.environ.get("KEEP"):
            print(self._folder, file=sys.stderr)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


async def until(condition: Callable[[], bool], limit_s: float) -> bool:
    """Return whether a condition comes true within the given time."""
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() >= end_s:
            return False
        await asyncio.sleep(0.02)
    return True


_PORTS = itertools.count(FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK)


def free_ports(count: int) -> list[int]:
    """Return free ports of 127.0.0.1.

    They are below those that outgoing connections take by themselves, and scripts that run at the
    same time use different ones.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


def job(*phases: dict[str, Any], durations_s: list[float]) -> dict[str, Any]:
    """Return the body of a submission; a duration of 0 s is that of tasks that last."""
    return {"spec": json.dumps(durations_s), "phases": list(phases)}


def is_troubled() -> bool:
    """Return whether the disruption is to be made: not with `TROUBLE=0`."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Deployment], Awaitable[bool | None]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    Args:
        folder: Folder of the case, which takes `record.txt`.
        case: Returns whether the rule held; None if the case could not run.
    """

    async def main() -> int:
        deployment = Deployment(folder)
        task = asyncio.current_task()
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        held: bool | None = None
        try:
            async with asyncio.timeout(LIMIT_S):
                held = await case(deployment)
        except (Exception, asyncio.CancelledError) as error:
            deployment.record(f"check    the script failed: {error!r}")
        finally:
            deployment.close()
        if held is None:
            deployment.record("the case could not run")
            return 2
        deployment.record("the rule held" if held else "THE RULE WAS BROKEN")
        return 0 if held else 1

    sys.exit(asyncio.run(main()))
