"""Stand-in of a platform worker: runs, leases, ends and boots in memory, with faults."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio

from foxtailwell.workflows import (
    AdviceCallError,
    CommandOutcome,
    EndedRun,
    EndKind,
    ListedRun,
    Resources,
    StartCommand,
    TaskId,
    WorkerCallError,
    WorkerEntry,
    WorkerListing,
)

__all__ = ["GangCoordinator", "MemoryAdvisor", "MemoryWorker", "RunSpan", "WorkerFaults"]

STOP_S = 0.02
"""Time that a stop takes."""

GANG_TIMEOUT_S = 3.0
"""Time after which a member that waits for the others ends as alone."""


@dataclass(slots=True)
class WorkerFaults:
    """What goes wrong.

    Attributes:
        is_unreachable: No call arrives; runs go on.
        lost_start_responses: So many starts are carried out without an answer.
        delayed_starts: So many starts get no answer and are carried out by `apply_delayed`.
        is_unhealthy: Starts are refused as by an unhealthy worker.
        is_failing_runs: Each run ends as failed at once.
        is_stalled: No run advances or ends.
    """

    is_unreachable: bool = False
    lost_start_responses: int = 0
    delayed_starts: int = 0
    is_unhealthy: bool = False
    is_failing_runs: bool = False
    is_stalled: bool = False


@dataclass(slots=True)
class RunSpan:
    """One run as it took place at a worker.

    Attributes:
        boot_unix_ms: Life of the worker in which it began.
        is_delayed: The order was carried out by `apply_delayed`.
        ended_s: When it ended; infinite while it runs.
        end_kind: How it ended; None while it runs and after a crash.
        end_number: Number of its end; 0 while it runs and after a crash.
    """

    task: str
    run: int
    worker: str
    payload: str
    started_s: float
    boot_unix_ms: int = 1
    is_delayed: bool = False
    ended_s: float = float("inf")
    end_kind: EndKind | None = None
    end_number: int = 0


@dataclass(slots=True)
class _Run:
    run: int
    payload: str
    checkpoint: str
    started_s: float
    span: RunSpan


@dataclass(slots=True)
class _Gang:
    members: dict[str, MemoryWorker] = field(default_factory=dict)
    complete_s: float = float("inf")
    is_over: bool = False


@dataclass(slots=True)
class GangCoordinator:
    """Gangs across workers: members work from the time when all are present, and end together.

    Attributes:
        sizes: Number of members by step, as in the first three parts of a task's name.
    """

    sizes: dict[str, int] = field(default_factory=dict)
    _gangs: dict[tuple[str, int], _Gang] = field(default_factory=dict)

    def find(self, task: str, run: int) -> _Gang | None:
        """Return the gang of a run; None when its step is none."""
        step = task.rpartition(".")[0]
        return self._gangs.setdefault((step, run), _Gang()) if step in self.sizes else None

    def join(self, task: str, run: int, worker: MemoryWorker) -> None:
        """Note that a member has begun."""
        gang = self.find(task, run)
        if gang is not None:
            gang.members[task] = worker
            if len(gang.members) == self.sizes[task.rpartition(".")[0]]:
                gang.complete_s = time.monotonic()

    def leave(self, task: str, run: int, kind: EndKind | None) -> None:
        """End the other members after one has ended; None stands for a crash."""
        gang = self.find(task, run)
        if gang is None:
            return
        gang.members.pop(task, None)
        gang.complete_s = float("inf")
        if not gang.is_over:
            gang.is_over = True
            others = EndKind.DONE if kind is EndKind.DONE else EndKind.GANG_BROKEN
            for member, worker in list(gang.members.items()):
                worker.end(member, others)
            gang.is_over = False


@dataclass(slots=True)
class MemoryAdvisor:
    """The service that says where steps may run.

    Attributes:
        tickets: Ticket of each allowed worker.
        refusals: So many calls are refused.
        calls: The step and the workers of each call.
    """

    tickets: dict[str, str]
    refusals: int = 0
    calls: list[tuple[str, tuple[str, ...]]] = field(default_factory=list)

    async def advise(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        """Return a ticket for each allowed worker."""
        await anyio.sleep(0.005)
        self.calls.append((step, tuple(workers)))
        if self.refusals:
            self.refusals -= 1
            raise AdviceCallError("status 429")
        return {worker: self.tickets[worker] for worker in workers if worker in self.tickets}


@dataclass(slots=True)
class MemoryWorker:
    """One worker.

    Attributes:
        task_duration_s: Duration of each run; infinite unless the test ends runs itself.
        payload_duration_s: Returns the duration of a run from its payload; overrides
            `task_duration_s`.
        log: Every run that began, as (task, run, checkpoint).
        spans: Every run with its times.
        ticket: What a start must carry; empty for nothing.
        gangs: Shared by the workers whose gangs work together; None for members on their own.
    """

    id: str
    rack: str = "r1-1"
    zone: str = "a"
    pool: str = "pool"
    capacity: Resources = field(default_factory=lambda: Resources(128_000, 262_144, 8))
    task_duration_s: float = float("inf")
    payload_duration_s: Callable[[str], float] | None = None
    ticket: str = ""
    gangs: GangCoordinator | None = None
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    boot_unix_ms: int = 1
    log: list[tuple[str, int, str]] = field(default_factory=list)
    spans: list[RunSpan] = field(default_factory=list)
    acknowledged: int = 0
    token: int = 0
    now_s: Callable[[], float] = time.monotonic
    running: dict[str, _Run] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    _highest: dict[str, int] = field(default_factory=dict)
    _end_count: int = 0
    _until_ms: int = 0
    _born_s: float = field(default_factory=time.monotonic)
    _late: list[tuple[StartCommand, int, int]] = field(default_factory=list)

    def entry(self, *, is_ready: bool = True) -> WorkerEntry:
        """Return the entry that the worker keeps in the store."""
        return WorkerEntry(
            self.id,
            self.pool,
            f"{self.id}:1",
            self.zone,
            self.rack,
            frozenset({"a", self.rack}),
            self.capacity,
            is_ready,
            self.boot_unix_ms,
            self.clock_ms(),
        )

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int((self.now_s() - self._born_s) * 1000)

    def restart(self) -> None:
        """Begin a new life under the same identifier."""
        self.boot_unix_ms += 1
        while self.running:
            task, run = self.running.popitem()
            run.span.ended_s = time.monotonic()
            if self.gangs is not None:
                self.gangs.leave(task, run.run, None)
        self.ended.clear()
        self._highest.clear()
        self._end_count = self.token = self._until_ms = self.acknowledged = 0
        self._born_s = self.now_s()

    def end(self, task: str, kind: EndKind, checkpoint: str = "") -> None:
        """End a run."""
        run = self.running.pop(task)
        self._end_count += 1
        self._highest[task] = max(self._highest.get(task, 0), run.run)
        run.span.ended_s, run.span.end_kind = time.monotonic(), kind
        run.span.end_number = self._end_count
        self.ended.append(EndedRun(self._end_count, task, run.run, kind, checkpoint))
        if self.gangs is not None:
            self.gangs.leave(task, run.run, kind)

    def apply_delayed(self) -> None:
        """Carry out the starts that were held back."""
        late, self._late = self._late, []
        for order, until_clock_ms, token in late:
            self._begin(order, until_clock_ms, token, is_delayed=True)

    def end_due_runs(self) -> None:
        """End the runs whose lease or work is over."""
        if self.running and self.clock_ms() > self._until_ms:
            for task in list(self.running):
                self.end(task, EndKind.EXPIRED)
        for task, run in list(self.running.items()):
            kind = self._due_end(task, run)
            if kind is not None and task in self.running:
                self.end(task, kind)

    def _due_end(self, task: str, run: _Run) -> EndKind | None:
        if self.faults.is_stalled:
            return None
        work_s = (
            self.payload_duration_s(run.payload)
            if self.payload_duration_s
            else self.task_duration_s
        )
        gang = self.gangs.find(task, run.run) if self.gangs else None
        if gang is None:
            return EndKind.DONE if self.now_s() - run.started_s >= work_s else None
        if time.monotonic() - gang.complete_s >= work_s:
            return EndKind.DONE
        is_alone = gang.complete_s == float("inf")
        has_waited = self.now_s() - run.started_s >= GANG_TIMEOUT_S
        return EndKind.GANG_INCOMPLETE if is_alone and has_waited else None

    async def _arrive(self) -> None:
        await anyio.sleep(0.001)
        if self.faults.is_unreachable:
            await anyio.sleep(0.02)
            raise WorkerCallError("no response")
        self.end_due_runs()

    def _begin(
        self, command: StartCommand, until_clock_ms: int, token: int, *, is_delayed: bool = False
    ) -> CommandOutcome:
        task = str(command.task)
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        if task in self.running and self.running[task].run == command.run:
            return CommandOutcome.DONE
        if until_clock_ms < self.clock_ms():
            return CommandOutcome.DEADLINE_PASSED
        if self.ticket and command.ticket != self.ticket:
            return CommandOutcome.NO_TICKET
        if command.run <= self._highest.get(task, 0):
            return CommandOutcome.STALE_RUN
        self._until_ms = max(self._until_ms, until_clock_ms)
        started_s = time.monotonic()
        span = RunSpan(
            task, command.run, self.id, command.payload, started_s, self.boot_unix_ms, is_delayed
        )
        self.spans.append(span)
        self.running[task] = _Run(
            command.run, command.payload, command.checkpoint, self.now_s(), span
        )
        self.log.append((task, command.run, command.checkpoint))
        if self.gangs is not None:
            self.gangs.join(task, command.run, self)
        if self.faults.is_failing_runs:
            self.end(task, EndKind.FAILED)
        return CommandOutcome.DONE

    async def start(
        self, command: StartCommand, until_clock_ms: int, token: int
    ) -> tuple[CommandOutcome, int | None]:
        """Start a task."""
        await self._arrive()
        if self.faults.is_unhealthy:
            return CommandOutcome.UNHEALTHY, None
        if self.faults.delayed_starts:
            self.faults.delayed_starts -= 1
            self._late.append((command, until_clock_ms, token))
            raise WorkerCallError("no response")
        outcome = self._begin(command, until_clock_ms, token)
        if self.faults.lost_start_responses:
            self.faults.lost_start_responses -= 1
            raise WorkerCallError("no response")
        return outcome, self.clock_ms()

    async def stop(self, task: TaskId, run: int, token: int) -> CommandOutcome:
        """Stop a run, or keep it from beginning."""
        await self._arrive()
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        self._highest[str(task)] = max(self._highest.get(str(task), 0), run)
        if str(task) in self.running and self.running[str(task)].run == run:
            await anyio.sleep(STOP_S)
            if str(task) in self.running:
                self.end(str(task), EndKind.STOPPED, f"saved-{run}")
        return CommandOutcome.DONE

    async def renew_lease(
        self, until_clock_ms: int | None, token: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing | CommandOutcome:
        """Extend the lease of all runs and list runs and ends."""
        await self._arrive()
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        self._until_ms = max(self._until_ms, until_clock_ms or 0)
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        wait_until_s = self.now_s() + wait_ms / 1000
        while not self.ended and self.now_s() < wait_until_s and not self.faults.is_unreachable:
            await anyio.sleep(0.01)
            self.end_due_runs()
        if self.faults.is_unreachable:
            raise WorkerCallError("no response")
        running = tuple(
            ListedRun(task, run.run, run.checkpoint, self._percent(run))
            for task, run in self.running.items()
        )
        return WorkerListing(self.clock_ms(), self.boot_unix_ms, running, tuple(self.ended))

    def _percent(self, run: _Run) -> int:
        if self.faults.is_stalled:
            return 0
        return int((self.now_s() - run.started_s) * 10) % 100

    def close(self) -> None:
        """Close the connections."""
