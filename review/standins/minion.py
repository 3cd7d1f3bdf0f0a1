"""Stand-in of a minion: it runs tasks under leases, as the platform's pages describe."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http import HttpServer, Request
from standins.store import Store

__all__ = ["End", "Minion", "Run", "Shape", "Start"]

BEAT_S = 1.5
STOP_S = 0.1
STARTUP_S = 0.5
MAX_HOLD_MS = 10_000
CHECK_S = 0.02
MAX_LISTED_ENDS = 500
MAX_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Shape:
    """Resources of a minion or of a task."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


@dataclass(slots=True)
class Run:
    """A run of a task.

    Attributes:
        work_s: Time that its work takes; infinite for a task that lasts.
    """

    task: str
    run: int
    began_s: float
    work_s: float
    is_stopping: bool = False

    def percent(self) -> int:
        """Progress; a task that lasts is at work after a short startup."""
        elapsed_s = time.monotonic() - self.began_s
        whole_s = STARTUP_S if self.work_s == float("inf") else self.work_s
        return min(100, int(100 * elapsed_s / whole_s))


@dataclass(frozen=True, slots=True)
class Start:
    """A run that has begun, with the time of the local clock."""

    task: str
    run: int
    at_s: float


@dataclass(slots=True)
class End:
    """A run that has ended, with the time of the local clock.

    Attributes:
        listed_s: Time at which the end was listed first; infinite before.
        acked_s: Time at which an acknowledgement reached the end; infinite before.
        has_lapsed: The lease of the minion lapsed between its end and its acknowledgement.
    """

    task: str
    run: int
    how: str
    number: int
    born: int
    at_s: float
    listed_s: float = float("inf")
    acked_s: float = float("inf")
    has_lapsed: bool = False


@dataclass(slots=True)
class Minion:
    """One minion with its HTTP interface.

    Attributes:
        work_s: Returns the time that a task works, from its `spec`.
        report: Writes a line to the record.
        running: Present runs by task.
        crash_after_s: Returns the time after which a task crashes this minion, from its `spec`;
            infinite for never.
        reboot_s: Time after which a minion that a task has crashed is back.
        starts: Runs that have begun, over all lives.
        ends: Runs that have ended, over all lives.
        crashes: Tasks that have crashed this minion, and when.
    """

    id: str
    store: Store
    service: str
    zone: str
    rack: str
    shape: Shape
    work_s: Callable[[str], float]
    report: Callable[..., None]
    server: HttpServer = field(init=False)
    state: str = "ready"
    running: dict[str, Run] = field(default_factory=dict)
    is_up: bool = False
    crash_after_s: Callable[[str], float] = lambda spec: float("inf")
    reboot_s: float = 4.5
    starts: list[Start] = field(default_factory=list)
    ends: list[End] = field(default_factory=list)
    crashes: list[tuple[str, float]] = field(default_factory=list)
    _born: int = 0
    _boot_s: float = 0.0
    _seq: int = 0
    _ended: list[list] = field(default_factory=list)
    _end_count: int = 0
    _highest: dict[str, int] = field(default_factory=dict)
    _token: int = 0
    _deadline_ms: int = 0
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _reboot: asyncio.Task | None = None

    def __post_init__(self) -> None:
        self.server = HttpServer(self._handle, MAX_CONNECTIONS)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._boot_s) * 1000)

    async def boot(self) -> None:
        """Begin a life of this minion: it knows nothing of before."""
        self._born = int(time.time() * 1000)
        self._boot_s = time.monotonic()
        self._seq = self._end_count = self._token = self._deadline_ms = 0
        self._ended, self._highest, self.running = [], {}, {}
        self.state = "ready"
        await self.server.start()
        self.is_up = True
        self.report("minion up", minion=self.id, born=self._born)
        for work in (self._beat(), self._check()):
            task = asyncio.create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def crash(self) -> None:
        """End this life at once with all that runs; its entry stays until it expires."""
        self.report("minion crashes", minion=self.id, running=sorted(self.running))
        self._end_life()

    def leave(self) -> None:
        """End this life after it has drained, and remove its entry."""
        self.report("minion leaves", minion=self.id, running=sorted(self.running))
        self.store.delete(f"servers/{self.id}")
        self._end_life()

    def _end_life(self) -> None:
        self.is_up = False
        self.running = {}
        self.server.stop()
        for task in list(self._tasks):
            task.cancel()

    def publish(self) -> None:
        """Write this minion's entry to the store."""
        self._seq += 1
        entry: dict = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {
                "cpu": self.shape.cpu,
                "mem_mb": self.shape.mem_mb,
                "gpu": self.shape.gpu,
            },
            "labels": ["a", self.rack],
            "clock_ms": self._clock_ms(),
            "born": self._born,
            "seq": self._seq,
        }
        if self.state == "draining":
            entry["remaining_ms"] = 2000
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            self.publish()
            await asyncio.sleep(BEAT_S)

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            is_lapsed = self._clock_ms() > self._deadline_ms
            if is_lapsed:
                for end in self.ends[-len(self._ended) :] if self._ended else ():
                    end.has_lapsed = True
            for run in list(self.running.values()):
                if is_lapsed:
                    self._end(run, "lapsed")
                elif time.monotonic() - run.began_s >= run.work_s and not run.is_stopping:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self._end_count += 1
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._ended.append([self._end_count, run.task, run.run, how, ""])
        self.ends.append(End(run.task, run.run, how, self._end_count, self._born, time.monotonic()))
        is_at_work = run.percent() >= 100
        self.report(
            "run ends", minion=self.id, task=run.task, run=run.run, how=how, at_work=is_at_work
        )

    async def _stop(self, run: Run) -> None:
        run.is_stopping = True
        await asyncio.sleep(STOP_S)
        self._end(run, "stopped")

    async def _handle(self, request: Request) -> tuple[int, dict]:
        if request.path == "/health":
            return 200, {}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        body = request.body
        token = body.get("fencing_token", 0)
        if token < self._token:
            return 409, self._reply(reason="fence")
        self._token = token
        match request.path:
            case "/-/run-start":
                return self._start(body)
            case "/-/run-stop":
                return self._begin_stop(body)
            case "/-/hold":
                return await self._hold(body)
            case "/-/pace":
                return 200, self._reply()
        return 404, {}

    def _reply(self, **fields: object) -> dict:
        return {"clock_ms": self._clock_ms(), "born": self._born, **fields}

    def _extend(self, body: dict) -> None:
        longest_ms = self._clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(body.get("deadline_ms", 0), longest_ms))

    def _start(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present and present.run == number:
            return 200, self._reply()
        if body["deadline_ms"] <= self._clock_ms():
            return 409, self._reply(reason="late")
        self._extend(body)
        if present or number <= self._highest.get(task, 0):
            return 409, self._reply(reason="old")
        self.running[task] = Run(task, number, time.monotonic(), self.work_s(body["spec"]))
        self.starts.append(Start(task, number, time.monotonic()))
        self.report("run starts", minion=self.id, task=task, run=number, token=self._token)
        crash_after_s = self.crash_after_s(body["spec"])
        if crash_after_s < float("inf"):
            asyncio.get_running_loop().call_later(crash_after_s, self._crash_by, task, number)
        return 200, self._reply()

    def _crash_by(self, task: str, number: int) -> None:
        """Crash by a run if it is still there, and boot again after a while."""
        present = self.running.get(task)
        if not self.is_up or present is None or present.run != number:
            return
        self.report("task crashes its minion", minion=self.id, task=task, run=number)
        self.crashes.append((task, time.monotonic()))
        self.crash()
        self._reboot = asyncio.create_task(self._boot_later())

    async def _boot_later(self) -> None:
        await asyncio.sleep(self.reboot_s)
        await self.boot()

    def _begin_stop(self, body: dict) -> tuple[int, dict]:
        task, number = body["task"], body["run"]
        self.report("stop ordered", minion=self.id, task=task, run=number, token=self._token)
        self._highest[task] = max(self._highest.get(task, 0), number)
        present = self.running.get(task)
        if present and present.run == number and not present.is_stopping:
            stop = asyncio.create_task(self._stop(present))
            self._tasks.add(stop)
            stop.add_done_callback(self._tasks.discard)
        return 200, self._reply()

    async def _hold(self, body: dict) -> tuple[int, dict]:
        self._extend(body)
        self._forget(body.get("acked", 0))
        for _ in range(int(min(body.get("wait_ms", 0), 2000) / 1000 / CHECK_S)):
            if self._ended:
                break
            await asyncio.sleep(CHECK_S)
        running = [[run.task, run.run, "", run.percent(), 0] for run in self.running.values()]
        listed = self._ended[:MAX_LISTED_ENDS]
        if listed:
            self._note_listed(listed[-1][0])
        return 200, self._reply(running=running, ended=listed)

    def _forget(self, acked: int) -> None:
        """Forget the ends up to a number."""
        self._ended = [end for end in self._ended if end[0] > acked]
        for end in reversed(self.ends):
            if end.born != self._born or end.acked_s < float("inf"):
                break
            if end.number <= acked:
                end.acked_s = time.monotonic()

    def _note_listed(self, number: int) -> None:
        for end in reversed(self.ends):
            if end.born != self._born or end.listed_s < float("inf"):
                break
            if end.number <= number:
                end.listed_s = time.monotonic()
