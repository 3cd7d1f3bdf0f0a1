"""Stand-ins for the platform: store, workers and machine interface, in one process.

Only the standard library is used. They follow the users' pages; where these are silent they behave
like a sound service. Each script of this review runs them on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import math
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

Json = dict[str, Any]
Handler = Callable[[str, str, dict[str, str], Json], Awaitable["Reply | None"]]
Reply = tuple[int, Json]

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.1
MAINTENANCE_S = 2.0
STARTUP_S = 0.3

BOUNDS = {
    "contact_ms": 3000,
    "grace_s": 6,
    "max_hold_ms": MAX_HOLD_MS,
    "revoke_ms": 5000,
    "reclaim_ms": 2900,
    "stop_timeout_ms": 400,
    "status_s": 120,
    "maintenance_s": 2,
    "cancel_ms": 3000,
    "notice_ms": 4500,
}


def free_ports(count: int) -> list[int]:
    """Return free ports on the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


class Record:
    """Lines of what was sent, answered and run, with seconds since the start.

    Attributes:
        summarized: Text in the lines of runs that are only counted, in a line each second.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()
        self.summarized = ""
        self.counts: dict[str, int] = {}

    def add_run(self, worker: str, what: str, task: str, details: str) -> None:
        """Add a line on a run, or count it."""
        if self.summarized and task.startswith(self.summarized):
            key = f"{what} {details.split(' ')[-1]}" if what == "ends" else what
            self.counts[key] = self.counts.get(key, 0) + 1
        else:
            self.add(f"{worker} {what} {task} {details}")

    def flush_counts(self) -> None:
        """Add a line with the runs that were only counted since the last call."""
        if self.counts:
            counts, self.counts = self.counts, {}
            found = ", ".join(f"{key}: {count}" for key, count in sorted(counts.items()))
            self.add(f"all workers, tasks of {self.summarized}: {found}")

    def add(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self.start_s:8.3f} {text}\n")
        self._file.flush()


async def serve(handler: Handler) -> tuple[asyncio.Server, str]:
    """Serve HTTP/1.1 on a free loopback port; a handler that returns None closes the connection."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                raw = await reader.readexactly(int(headers.get("content-length", "0")))
                reply = await handler(method, target, headers, json.loads(raw) if raw else {})
                if reply is None:
                    break
                body = json.dumps(reply[1]).encode()
                writer.write(
                    f"HTTP/1.1 {reply[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", 0, limit=4 * 1024 * 1024)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


async def call(
    address: str, method: str, path: str, body: Json | None = None, **headers: str
) -> tuple[int, Json]:
    """Send one request on a new connection; status 0 if there is no answer within 5 s."""
    host, _, port = address.rpartition(":")
    raw = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(raw)}", "Connection: close"]
    lines += ["Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer = None
    try:
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join((*lines, "", "")).encode() + raw)
            answer = await reader.read()
        head, _, content = answer.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        return status, json.loads(content) if content else {}
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's key-value store.

    Attributes:
        on_transaction: Called with the body of each transaction before it is done. It returns None
            for a plain answer, or a delay in seconds after which a transaction that gets no answer
            is carried out if its condition still holds.
    """

    def __init__(self, max_value_bytes: int = 1_048_576) -> None:
        self.max_value_bytes = max_value_bytes
        self.revision = 100
        self.items: dict[str, Json] = {}
        self.history: list[Json] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self.on_transaction: Callable[[Json], float | None] = lambda body: None
        self.refused = 0

    def put(self, key: str, value: bytes, lease_id: int = 0, *, revision: int = 0) -> None:
        """Write a key, as the operator and the workers do."""
        if not revision:
            self.revision += 1
            revision = self.revision
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created_rev": known["created_rev"] if known else revision,
            "lease_id": lease_id,
        }
        self.items[key] = item
        self._note(item)

    def delete(self, key: str, *, revision: int = 0) -> None:
        """Delete a key; an absent one is ignored."""
        if self.items.pop(key, None) is not None:
            if not revision:
                self.revision += 1
                revision = self.revision
            self._note({"key": key, "revision": revision, "deleted": True})

    def value(self, key: str) -> bytes:
        """Return the value of a key; empty if it is absent."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else b""

    def _note(self, event: Json) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease_id, (until_s, _) in list(self.leases.items()):
            if now_s >= until_s:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        for key in [k for k, item in self.items.items() if item["lease_id"] == lease_id]:
            self.delete(key)

    def transact(self, body: Json) -> Reply:
        """Carry out a transaction."""
        self._expire()
        rows, puts = body.get("precondition", []), body.get("puts", [])
        deletes = body.get("deletes", [])
        if len(rows) + len(puts) + len(deletes) > 32:
            self.refused += 1
            return 400, {"error": "too many entries"}
        for put in puts:
            if len(base64.b64decode(put["value"])) > self.max_value_bytes:
                self.refused += 1
                return 400, {"error": "the value is too long"}
        current = [self.items[row["key"]] for row in rows if row["key"] in self.items]
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": current}
        if any(put.get("lease_id", 0) not in (0, *self.leases) for put in puts):
            return 404, {}
        if puts or deletes:
            self.revision += 1
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease_id", 0), revision=self.revision)
        for key in deletes:
            self.delete(key, revision=self.revision)
        return 200, {"revision": self.revision}

    async def handle(self, method: str, target: str, headers: dict[str, str], body: Json) -> Any:
        """Answer a call."""
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        name = parts.path.removeprefix("/-/")
        self._expire()
        await asyncio.sleep(0.004)
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at_rev": self.revision}) if item else (404, {})
        if name == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            found, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if found and size > 1_000_000:
                    break
                found.append(self.items[key])
            has_more = len(found) < len(keys)
            return 200, {"items": found, "has_more": has_more, "at_rev": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            delay_s = self.on_transaction(body)
            if delay_s is None:
                return self.transact(body)
            asyncio.get_running_loop().call_later(delay_s, self.transact, body)
            await asyncio.sleep(30)
            return None
        if name == "kv-lease":
            self.revision += 1
            ttl_s = body["ttl_ms"] / 1000
            self.leases[self.revision] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease_id": self.revision, "ttl_ms": body["ttl_ms"]}
        verb, _, lease = name.partition("/")
        if verb == "kv-keep":
            if int(lease) not in self.leases:
                return 404, {}
            ttl_s = self.leases[int(lease)][1]
            self.leases[int(lease)] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {}
        if verb == "kv-lease-end":
            self._end_lease(int(lease))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> Reply:
        after, until_s = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire()
            at_rev = self.revision
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(query["prefix"]):
                    events.append(event)
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events[::-1], "at_rev": at_rev}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.1)):
                    await changed.wait()


class Worker:
    """One life of a worker, with its runs.

    A payload (`spec`) is JSON with `work_s`, the duration of a task, or `lasting` for tasks that
    run until they are stopped, or until they fail after `fail_s`.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        record: Record,
        *,
        rack: str = "r1-1",
        capacity: tuple[int, int, int] = (128_000, 262_144, 8),
    ) -> None:
        self.id = name
        self.zone = zone
        self.rack = rack
        self.capacity = capacity
        self.record = record
        self.address = ""
        self.server: asyncio.Server | None = None
        self.boot_unix_ms = int(time.time() * 1000)
        self.boot_s = time.monotonic()
        self.token = 0
        self.lease_end_ms = 0
        self.running: dict[str, Json] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.highest: dict[str, int] = {}
        self.acked = 0
        self.seq = 0
        self.is_up = True
        self.state = "ready"
        self.leaves_s = 0.0
        self.on_start: Callable[[Worker, Json], float | None] = lambda worker, body: None
        self.on_stop: Callable[[Worker, str, int], None] = lambda *stopped: None
        self.on_end: Callable[[str, str], None] = lambda task, how: None
        self.listed = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.boot_s) * 1000)

    def entry(self) -> bytes:
        """Return the entry under `servers/`."""
        self.seq += 1
        cpu, memory, gpu = self.capacity
        left_ms = int((self.leaves_s - time.monotonic()) * 1000)
        draining = {"remaining_ms": max(0, left_ms)} if self.state == "draining" else {}
        return json.dumps(
            draining
            | {
                "service": "pool",
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.seq,
                "born": self.boot_unix_ms,
                "clock_ms": self.clock_ms(),
                "capacity": {"cpu": cpu, "mem_mb": memory, "gpu": gpu},
                "labels": ["a", self.rack],
            }
        ).encode()

    def end(self, task: str, how: str) -> None:
        """End a run and list its end."""
        run = self.running.pop(task)
        self.end_count += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.end_count, task, run["run"], how, ""])
        self.record.add_run(self.id, "ends", task, f"run {run['run']} {how}")
        self.on_end(task, how)
        self.listed.set()
        self.listed = asyncio.Event()

    def die(self) -> None:
        """Lose power: nothing runs and nothing is answered any more."""
        self.is_up = False
        for task, run in list(self.running.items()):
            self.record.add_run(self.id, "loses", task, f"run {run['run']}")
        self.running.clear()

    def tick(self) -> None:
        """End what is done, stopped or without a lease."""
        if not self.is_up:
            return
        now_s = time.monotonic()
        if self.running and self.clock_ms() > self.lease_end_ms:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run["stop_s"] and now_s >= run["stop_s"]:
                self.end(task, "stopped")
            elif now_s >= run["until_s"]:
                self.end(task, "failed" if run["lasting"] else "done")

    def is_at_work(self, run: Json) -> bool:
        """Return whether the percent of a lasting run is 100."""
        return time.monotonic() - run["began_s"] >= STARTUP_S and not run["stop_s"]

    def _percent(self, run: Json) -> int:
        age_s = time.monotonic() - run["began_s"]
        if not run["lasting"]:
            return min(99, int(100 * age_s / (run["until_s"] - run["began_s"])))
        return 100 if age_s >= STARTUP_S else int(100 * age_s / STARTUP_S)

    def start(self, body: Json) -> Reply:
        """Carry out a start."""
        clock = self.clock_ms()
        task, run = body["task"], body["run"]
        if body["fencing_token"] < self.token:
            return 409, {"clock_ms": clock, "reason": "fence"}
        self.token = body["fencing_token"]
        if body["deadline_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend(body["deadline_ms"])
        known = self.running.get(task)
        if known and known["run"] == run:
            return 200, {"clock_ms": clock}
        if known or run <= self.highest.get(task, 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        work = json.loads(body["spec"])
        now_s = time.monotonic()
        lasting_s = work.get("fail_s", math.inf) if work.get("lasting") else work["work_s"]
        self.running[task] = {
            "run": run,
            "began_s": now_s,
            "until_s": now_s + lasting_s,
            "stop_s": 0.0,
            "lasting": bool(work.get("lasting")),
        }
        self.record.add_run(self.id, "starts", task, f"run {run} fence {body['fencing_token']}")
        return 200, {"clock_ms": clock}

    def _extend(self, deadline_ms: int) -> None:
        longest = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_end_ms = max(self.lease_end_ms, longest)

    async def handle(self, method: str, target: str, headers: dict[str, str], body: Json) -> Any:
        """Answer a call."""
        await asyncio.sleep(0.001)
        if not self.is_up:
            await asyncio.sleep(30)
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        self.tick()
        if target == "/-/run-start":
            delay_s = self.on_start(self, body)
            if delay_s is None:
                return self.start(body)
            asyncio.get_running_loop().call_later(delay_s, self._start_late, body)
            await asyncio.sleep(30)
            return None
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if target == "/-/run-stop":
            task, run = body["task"], body["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            known = self.running.get(task)
            if known and known["run"] <= run and not known["stop_s"]:
                self.on_stop(self, task, run)
                known["stop_s"] = time.monotonic() + STOP_S
                self.record.add_run(self.id, "is told to stop", task, f"run {run}")
            return 200, {"clock_ms": self.clock_ms()}
        if target == "/-/hold":
            return await self._hold(body)
        return 404, {}

    def _start_late(self, body: Json) -> None:
        if self.is_up:
            self.record.add(f"{self.id} carries out a late start of {body['task']}")
            self.start(body)

    async def _hold(self, body: Json) -> Reply | None:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        self.acked = max(self.acked, body["acked"])
        self.ended = [end for end in self.ended if end[0] > body["acked"]]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until_s and self.is_up:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await self.listed.wait()
            self.tick()
        if not self.is_up:
            await asyncio.sleep(30)
            return None
        running = [
            [task, run["run"], "", self._percent(run), 0] for task, run in self.running.items()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.boot_unix_ms,
            "running": running,
            "ended": self.ended[:500],
        }


class Machines:
    """The platform's machines; the machine of worker `w0` is `m-w0`, its next life is `w0-2`.

    Attributes:
        down: End of the maintenance by machine.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.workers: dict[str, Worker] = {}
        self.begun: set[tuple[str, int]] = set()
        self.down: dict[str, float] = {}

    def _state(self, machine: str) -> str:
        if machine in self.down:
            return "upkeep"
        return "up" if self.workers[machine].is_up else "down"

    async def handle(self, method: str, target: str, headers: dict[str, str], body: Json) -> Any:
        """Answer a call."""
        await asyncio.sleep(0.004)
        if target.startswith("/-/machines"):
            rows = [
                {
                    "machine": machine,
                    "pool": "pool",
                    "state": self._state(machine),
                    "zone": worker.zone,
                    "labels": ["a", worker.rack],
                    "id": worker.id if self._state(machine) == "up" else "",
                }
                for machine, worker in self.workers.items()
            ]
            return 200, {"machines": rows, "next_token": ""}
        if target == "/-/machine-upkeep":
            return await self._begin(body["machine"], body["wave"], headers)
        return 404, {}

    async def _begin(self, machine: str, wave: int, headers: dict[str, str]) -> Reply:
        if machine not in self.workers:
            return 400, {}
        if (machine, wave) in self.begun:
            return 200, {}
        if self._state(machine) != "up":
            return 409, {"reason": "busy"}
        self.begun.add((machine, wave))
        self.platform.record.add(
            f"upkeep of {machine} begins, by {headers.get('x-duty-holder')} "
            f"fence {headers.get('x-fencing-token')}"
        )
        worker = self.workers[machine]
        worker.die()
        self.platform.store.delete(f"servers/{worker.id}")
        self.down[machine] = time.monotonic() + MAINTENANCE_S
        asyncio.get_running_loop().call_later(MAINTENANCE_S, self._finish, machine)
        return 200, {}

    def _finish(self, machine: str) -> None:
        self.down.pop(machine, None)
        former = self.workers[machine]
        base, _, life = former.id.partition("-")
        name = f"{base}-{int(life or 1) + 1}"
        self.platform.tasks.append(
            asyncio.ensure_future(self.platform.add_worker(name, former.zone, former.rack, machine))
        )


class Platform:
    """All stand-ins, the instances as processes, and the operator."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.machines = Machines(self)
        self.workers: list[Worker] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: list[asyncio.Future[Any]] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self.fronts: list[str] = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.on_worker: Callable[[Worker], None] = lambda worker: None
        self.settings: Json = {}

    async def __aenter__(self) -> Platform:
        """Start the store, the machine interface and the heartbeats."""
        server, self.store_address = await serve(self.store.handle)
        cloud, self.cloud_address = await serve(self.machines.handle)
        self.servers += [server, cloud]
        self.tasks.append(asyncio.ensure_future(self._beat()))
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        self.temporary.cleanup()

    async def add_worker(self, name: str, zone: str, rack: str, machine: str = "") -> Worker:
        """Start a worker and write its entry."""
        worker = Worker(name, zone, self.record, rack=rack)
        worker.server, worker.address = await serve(worker.handle)
        self.servers.append(worker.server)
        self.workers.append(worker)
        self.on_worker(worker)
        self.machines.workers[machine or f"m-{name}"] = worker
        self.store.put(f"servers/{worker.id}", worker.entry())
        self.record.add(f"{name} is up in {zone}")
        return worker

    async def _beat(self) -> None:
        last_s: dict[str, float] = {}
        flushed_s, holder = 0.0, b""
        while True:
            now_s = time.monotonic()
            if now_s - flushed_s >= 1.0:
                flushed_s = now_s
                self.record.flush_counts()
            if self.store.value("foxtailwell/controller") != holder:
                holder = self.store.value("foxtailwell/controller")
                self.record.add(f"the controller key is held by {holder.decode() or 'nobody'}")
            for worker in self.workers:
                worker.tick()
                age_s = now_s - last_s.get(worker.id, now_s - HEARTBEAT_S)
                if worker.is_up and age_s >= HEARTBEAT_S:
                    last_s[worker.id] = now_s
                    self.store.put(f"servers/{worker.id}", worker.entry())
                elif not worker.is_up and age_s >= 3 * HEARTBEAT_S:
                    self.store.delete(f"servers/{worker.id}")
            await asyncio.sleep(0.02)

    def configure(
        self, version: int, routes: list[Json], guaranteed: tuple[int, ...] = (0,)
    ) -> None:
        """Write a configuration, as the operator does, with a tenant for each guaranteed number.

        The key of the first tenant is `key-1`.
        """
        tenants = [
            {"name": f"tenant-{n}", "api_keys": [f"key-{n}"], "guaranteed": {"gpu": gpu}}
            for n, gpu in enumerate(guaranteed, 1)
        ]
        value = {
            "version": version,
            "routes": routes,
            "services": [{"name": "pool", "preconditions": False}],
            "limits": {},
            "tenants": tenants,
        }
        self.store.put("op/config", json.dumps(value).encode())
        self.record.add(f"configuration {version}")

    def start_instance(self, name: str, zone: str) -> subprocess.Popen[bytes]:
        """Start an instance with the command of the deploy file."""
        front, ready, control, first = free_ports(4)
        path = Path(self.temporary.name) / f"{name}.json"
        settings = {
            "node_name": name,
            "role": "instance",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region",
            "zones": {"a": "region", "b": "region"},
            "listen_addrs": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            },
            "port_range": [first, first],
            "seeds": [],
            "bootstrap": True,
            "data_dir": None,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "control_mode": "rpc",
            "platform": {
                "address": self.store_address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "max_value_bytes": self.store.max_value_bytes,
                "ttl_min_ms": 1000,
            },
            "cloud_api": {
                "address": self.cloud_address,
                "rate_per_s": 60.0,
                "duties": ["upkeep"],
                "duty_per_s": 60.0,
            },
        }
        path.write_text(json.dumps(settings | self.settings), encoding="utf-8")
        log = (Path(self.temporary.name) / f"{name}.log").open("ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {
            "FOXTAILWELL_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        process = subprocess.Popen(
            ["python3", "src/instance.py"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        self.fronts.append(f"127.0.0.1:{front}")
        self.record.add(f"{name} starts")
        return process

    def log_lines(self) -> list[Json]:
        """Return the structured lines that all instances have written so far."""
        found = []
        for path in sorted(Path(self.temporary.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found

    async def request(
        self, method: str, path: str, body: Json | None = None, at: int = 0, key: str = "key-1"
    ) -> Reply:
        """Send a client's request to an instance and record it with its answer."""
        headers = {"Host": "jobs.example", "Authorization": f"Token {key}"}
        status, answer = await call(self.fronts[at], method, path, body, **headers)
        self.record.add(f"client {method} {path} -> {status} {json.dumps(answer)}")
        return status, answer

    async def submit(
        self, path: str, body: Json, key: str = "key-1", limit_s: float = 15.0
    ) -> bool:
        """Submit a job until it is accepted, as a client does that may repeat its request."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            status, _ = await self.request("POST", path, body, key=key)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False


def route(name: str, *, priority: int) -> Json:
    """Return a route of a configuration; its prefix is its name."""
    return {
        "name": name,
        "host": "jobs.example",
        "prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": priority,
        "service": "pool",
        "max_attempts": 3,
        "stretch": 3.0,
        "no_auth": False,
    }


def has_trouble() -> bool:
    """Return whether the script is to cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case within 115 s; exit code 2 if it cannot run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def limited() -> int:
        async with asyncio.timeout(115):
            return await case()

    try:
        code = asyncio.run(limited())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
