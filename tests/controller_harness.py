"""In-process deployment of controllers, a store and workers, with fault injection."""

from __future__ import annotations

import inspect
import math
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller import (
    FleetAccess,
    Intake,
    Leadership,
    LeadershipSettings,
    MaintenanceAccess,
    OperatorView,
    SubmitOutcome,
)
from foxtailwell.platform.workers import decode_worker_entry
from foxtailwell.workflows import (
    ClusterConfiguration,
    Item,
    JobState,
    Queue,
    Resources,
    Step,
    Submission,
    WorkerEntry,
)
from foxtailwell_standins.platform_store import MemoryStore, StoreFaults
from foxtailwell_standins.platform_worker import MemoryAdvisor, MemoryWorker

WORKERS = "servers/"
CONFIGURATION = "op/config"
URGENT = Queue("urgent", "pool", priority=0, max_attempts=4, stretch=1.5, target_ms=300)
LATER = Queue("later", "pool", priority=2, max_attempts=3)
LEASE_MS = 4000


def step(count=1, **fields):
    """Return a step of tasks that need one accelerator and 10 cores each."""
    defaults = {"request": Resources(10_000, 10_000, 1), "estimate_ms": 100}
    return Step(count, **(defaults | fields))


def job_id(number: int) -> str:
    """Return the job identifier with the given number, as 16 hexadecimal digits."""
    return f"{number:016x}"


@dataclass
class Pause:
    """Pause of the process of one instance: its clock stops, and no call leaves or returns.

    Attributes:
        at: Number of the passage, before or after a call, from which the pause lasts.
    """

    at: int
    _passages: int = 0
    _since_s: float | None = None
    _resumed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def is_active(self) -> bool:
        """Whether the pause has begun and not ended."""
        return self._since_s is not None

    def now_s(self) -> float:
        """Return the time of the last reading that the process can have made."""
        return time.monotonic() if self._since_s is None else self._since_s

    def end(self) -> None:
        """Let the process go on."""
        self._since_s = None
        self._resumed.set()

    async def _pass(self) -> None:
        self._passages += 1
        if self._passages == self.at:
            self._since_s = time.monotonic()
        if self.is_active:
            await self._resumed.wait()

    def wrap(self, calls: Any) -> Any:
        """Return an object whose asynchronous methods wait while the process is paused."""

        def find(_: object, name: str) -> Any:
            method = getattr(calls, name)
            if not inspect.iscoroutinefunction(method):
                return method

            async def call(*arguments: Any, **options: Any) -> Any:
                await self._pass()
                try:
                    return await method(*arguments, **options)
                finally:
                    await self._pass()

            return call

        return type("Paused", (), {"__getattr__": find})()


@dataclass
class Instance:
    """An instance that takes part in the election; `faults` affect only its own store calls."""

    leadership: Leadership
    faults: StoreFaults
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def kill(self) -> None:
        """End the instance abruptly: it releases neither its key nor its leases."""
        self.scope.cancel()


@dataclass
class Deployment:
    """A store, workers, and the group of tasks that instances run in."""

    group: TaskGroup
    store: MemoryStore
    workers: dict[str, MemoryWorker]
    queues: tuple[Queue, ...] = (URGENT, LATER)
    guaranteed_accelerators: dict[str, int] = field(default_factory=dict)
    zones_out: set[str] = field(default_factory=set)
    revision: int = 0
    is_configured: bool = True
    withdrawn: set[str] = field(default_factory=set)
    advisor: MemoryAdvisor | None = None
    maintenance: MaintenanceAccess | None = None
    heartbeat_s: float = 1.5
    capacity_grace_s: float = math.inf

    @property
    def intake(self) -> Intake:
        """Client access to jobs through fault-free store calls."""
        return Intake(self.store.client())

    def publish(
        self, worker: MemoryWorker, *, is_ready: bool = True, remaining_ms: int | None = None
    ) -> None:
        """Write a worker's entry to the store, as its heartbeat does."""
        entry = replace(worker.entry(is_ready=is_ready), remaining_ms=remaining_ms)
        self.store.write(WORKERS + worker.id, msgspec.json.encode(entry))

    async def send_heartbeats(self) -> None:
        """Publish the entries of the workers that respond and are not withdrawn, repeatedly."""
        while True:
            for worker in self.workers.values():
                if not worker.is_silent and worker.id not in self.withdrawn:
                    self.publish(worker)
            await anyio.sleep(0.1)

    def _view(self) -> OperatorView | None:
        if not self.is_configured:
            return None
        configuration = ClusterConfiguration(
            1,
            guaranteed_accelerators=self.guaranteed_accelerators,
            queues={q.name: q for q in self.queues},
        )

        def guards(zones: frozenset[str]) -> Mapping[str, int]:
            return {CONFIGURATION: self.revision} | {f"op/evacuate/{z}": 0 for z in zones}

        zones = frozenset(self.zones_out)
        return OperatorView(configuration, zones, guards, self._learn)

    def _learn(self, items: Mapping[str, Item]) -> None:
        zones = "op/evacuate/"
        self.zones_out |= {key[len(zones) :] for key in items if key.startswith(zones)}

    def start(self, name: str, *, lease_ms: int = LEASE_MS, pause: Pause | None = None) -> Instance:
        """Start an instance; one with an earlier name stands for its restarted process."""
        faults = StoreFaults()
        pause = pause or Pause(at=0)
        access = FleetAccess(
            WORKERS,
            _decode_entry,
            lambda worker, _: pause.wrap(self.workers[worker]),
            self.advisor,
            self.maintenance,
            self.heartbeat_s,
            self.capacity_grace_s,
        )
        leadership = Leadership(
            pause.wrap(self.store.client(faults)),
            access,
            self._view,
            LeadershipSettings(name, lease_ms, 120),
            pause.now_s,
            lambda: int(time.time() * 1000),
            WorkMetrics(),
        )
        instance = Instance(leadership, faults)

        async def run() -> None:
            with instance.scope:
                await leadership.run()

        self.group.start_soon(run)
        return instance

    async def submit(self, number: int, queue: Queue, steps: Iterable[Step], **fields) -> str:
        """Submit a job with the given number and return its identifier."""
        identifier = job_id(number)
        submission = Submission(identifier, queue.name, "acme", "text", tuple(steps), **fields)
        assert await self.intake.submit(submission, {}) is SubmitOutcome.STORED
        return identifier

    async def start_one_task(self) -> tuple[str, str]:
        """Submit a job of one task and wait until it runs; return the identifiers of both."""
        job = await self.submit(1, LATER, [step()])
        task = f"{job}.0.0.0"
        assert await until(lambda: bool(self.runs(task)))
        return job, task

    async def state(self, identifier: str, queue: Queue = LATER) -> JobState | None:
        """Return a job's state as its client sees it; None if there is no such job."""
        return await self.intake.state(identifier, queue.name)

    async def cancel(self, identifier: str, queue: Queue = LATER) -> None:
        """Cancel a job as its client does."""
        await self.intake.cancel(identifier, queue.name)

    async def reaches(self, identifier: str, state: JobState, limit_s: float = 3.0) -> bool:
        """Return whether a job reaches a state within the given time."""
        return await until(lambda: self._has_state(identifier, state), limit_s)

    def _has_state(self, identifier: str, state: JobState) -> bool:
        item = self.store.items.get(f"foxtailwell/run/{identifier}")
        return item is not None and msgspec.json.decode(item.value)["state"] == state.value

    def runs(self, task: str) -> list[tuple[str, int]]:
        """Return all started runs of a task, as (worker, run)."""
        return [(w.id, run) for w in self.workers.values() for t, run, _ in w.log if t == task]

    def holder_of(self, task: str) -> MemoryWorker:
        """Return the worker that is running a task."""
        return next(w for w in self.workers.values() if task in w.running)


def _decode_entry(worker: str, value: bytes) -> WorkerEntry | None:
    try:
        return msgspec.json.decode(value, type=WorkerEntry)
    except msgspec.DecodeError:
        return decode_worker_entry(worker, value)


def make_deployment(group: TaskGroup, count: int = 3, **fields) -> Deployment:
    """Return a deployment with a configuration and `count` ready workers; `fields` go to each."""
    workers = {f"w{n}": MemoryWorker(f"w{n}", **fields) for n in range(count)}
    deployment = Deployment(group, MemoryStore(), workers)
    deployment.revision = deployment.store.write(CONFIGURATION, b"{}")
    for worker in workers.values():
        deployment.publish(worker)
    return deployment


def evidence_against(deployment: Deployment, job: str) -> list[object]:
    """Return the stored evidence against the tasks of a job."""
    return msgspec.json.decode(deployment.store.items[f"foxtailwell/run/{job}"].value)["crashes"]


async def until(condition: Callable[[], bool], limit_s: float = 3.0) -> bool:
    """Return whether a condition becomes true within the given time."""
    for _ in range(int(limit_s / 0.01)):
        if condition():
            return True
        await anyio.sleep(0.01)
    return condition()
