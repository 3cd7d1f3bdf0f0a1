"""In-memory stand-ins for the platform's workers and advisor, with injectable faults.

They implement the interfaces `WorkerCalls` and `Advisor` of the workflows model.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from collections.abc import Set as AbstractSet
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
"""Time between a stop command and the end of the run."""

GANG_TIMEOUT_S = 3.0
"""Time after which a member ends with GANG_INCOMPLETE when other members have not started."""


@dataclass(slots=True)
class WorkerFaults:
    """Faults of one worker.

    Attributes:
        is_unreachable: No call reaches the worker; its runs continue.
        is_refusing_connections: No call is sent to the worker; its runs continue.
        lost_start_responses: Number of coming starts that take effect but get no response.
        response_timeout_s: Time after which the caller gives up a start without a response.
        delayed_starts: Number of coming starts that get no response and take effect when
            `apply_delayed` is called.
        is_losing_stops: Stops get no response and have no effect.
        is_refusing_stops: Stops are refused with UNHEALTHY and have no effect.
        start_delay_s: Time for which a start is on its way, so that a stop may overtake it.
        lost_listings: Number of coming listings that get no response.
        listing_delay_s: Time for which the response to a listing is on its way.
        is_unhealthy: Starts are refused with UNHEALTHY.
        is_failing_runs: Each run ends as failed as soon as it starts.
        is_stalled: Runs make no progress and do not complete.
        is_replaced: Another worker has its address and rejects all calls that name this one.
        fatal_tasks: Tasks that crash the worker as soon as one of their runs starts; workers may
            share the set.
        crash_s: Time for which the worker is silent after such a crash.
    """

    is_unreachable: bool = False
    is_refusing_connections: bool = False
    lost_start_responses: int = 0
    response_timeout_s: float = 0.0
    delayed_starts: int = 0
    is_losing_stops: bool = False
    is_refusing_stops: bool = False
    start_delay_s: float = 0.0
    lost_listings: int = 0
    listing_delay_s: float = 0.0
    is_unhealthy: bool = False
    is_failing_runs: bool = False
    is_stalled: bool = False
    is_replaced: bool = False
    fatal_tasks: AbstractSet[str] = frozenset()
    crash_s: float = 0.2


@dataclass(slots=True)
class RunSpan:
    """Times and end of one run on a worker; times are on the monotonic clock.

    Attributes:
        boot_unix_ms: Incarnation of the worker in which the run started.
        is_delayed: `apply_delayed` executed the start command.
        ended_s: Time of the end; infinite while it runs.
        end_kind: How it ended; None while it runs and after a worker restart.
        end_number: Sequence number of its end; 0 while it runs and after a worker restart.
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
    complete_since_s: float = float("inf")
    is_ending: bool = False


@dataclass(slots=True)
class GangCoordinator:
    """Gangs across workers: members work once all have started, and all end when one does.

    Attributes:
        sizes: Number of members by step; the key is the task name without its last part.
    """

    sizes: dict[str, int] = field(default_factory=dict)
    _gangs: dict[tuple[str, int], _Gang] = field(default_factory=dict)

    def find(self, task: str, run: int) -> _Gang | None:
        """Return the gang of a run; None when its step is not a gang."""
        step = task.rpartition(".")[0]
        return self._gangs.setdefault((step, run), _Gang()) if step in self.sizes else None

    def join(self, task: str, run: int, worker: MemoryWorker) -> None:
        """Record that a member has started; members of other steps are ignored."""
        gang = self.find(task, run)
        if gang is not None:
            gang.members[task] = worker
            if len(gang.members) == self.sizes[task.rpartition(".")[0]]:
                gang.complete_since_s = time.monotonic()

    def leave(self, task: str, run: int, kind: EndKind | None) -> None:
        """End the other members after one has ended.

        Args:
            task: Task whose run has ended.
            run: Number of the run.
            kind: How it ended; None for a worker restart.
        """
        gang = self.find(task, run)
        if gang is None:
            return
        gang.members.pop(task, None)
        gang.complete_since_s = float("inf")
        if not gang.is_ending:
            gang.is_ending = True
            others = EndKind.DONE if kind is EndKind.DONE else EndKind.GANG_BROKEN
            for member, worker in list(gang.members.items()):
                worker.end(member, others)
            gang.is_ending = False


@dataclass(slots=True)
class MemoryAdvisor:
    """Stand-in for the service that decides which workers a step may run on.

    Attributes:
        tickets: Ticket by allowed worker.
        refusals: Number of coming calls that are refused with status 429.
        failing_steps: Steps whose calls fail.
        decision_s: Duration of each call.
        calls: Step and workers of each call, refused calls included.
    """

    tickets: dict[str, str]
    refusals: int = 0
    failing_steps: frozenset[str] = frozenset()
    decision_s: float = 0.005
    calls: list[tuple[str, tuple[str, ...]]] = field(default_factory=list)

    async def advise(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        """Return tickets for those of the workers that are allowed.

        Raises:
            AdviceCallError: The call is refused or fails.
        """
        await anyio.sleep(self.decision_s)
        self.calls.append((step, tuple(workers)))
        if self.refusals:
            self.refusals -= 1
            raise AdviceCallError("status 429")
        if step in self.failing_steps:
            raise AdviceCallError("status 500")
        return {worker: self.tickets[worker] for worker in workers if worker in self.tickets}


@dataclass(slots=True)
class MemoryWorker:
    """One worker with its runs.

    Attributes:
        task_duration_s: Duration of each run; if infinite, the test ends runs with `end`.
        payload_duration_s: Returns the duration of a run from its payload; overrides
            `task_duration_s`.
        max_listed_ends: Ends that one listing has at most; further ones follow once these are
            acknowledged.
        ticket: Ticket that start commands must carry; empty if none is required.
        gangs: Gangs that the workers share; None if gang members run independently.
        boot_unix_ms: Identifies the incarnation; each restart adds 1.
        log: Every run that has started, as (task, run, checkpoint).
        commands: Every start command that arrived, as (task, run, fencing token).
        spans: Every run with its times.
        acknowledged: Highest acknowledged number of an end.
        token: Highest fencing token of a command.
        now_s: Clock of the worker, which may run slower than the monotonic clock.
    """

    id: str
    rack: str = "r1-1"
    zone: str = "a"
    pool: str = "pool"
    capacity: Resources = field(default_factory=lambda: Resources(128_000, 262_144, 8))
    task_duration_s: float = float("inf")
    payload_duration_s: Callable[[str], float] | None = None
    max_listed_ends: int = 500
    ticket: str = ""
    gangs: GangCoordinator | None = None
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    boot_unix_ms: int = 1
    log: list[tuple[str, int, str]] = field(default_factory=list)
    commands: list[tuple[str, int, int]] = field(default_factory=list)
    spans: list[RunSpan] = field(default_factory=list)
    acknowledged: int = 0
    token: int = 0
    now_s: Callable[[], float] = time.monotonic
    running: dict[str, _Run] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    _highest_runs: dict[str, int] = field(default_factory=dict)
    _end_count: int = 0
    _lease_end_ms: int = 0
    _boot_s: float = field(default_factory=time.monotonic)
    _delayed: list[tuple[StartCommand, int, int]] = field(default_factory=list)
    _silent_until_s: float = 0.0

    def entry(self, *, is_ready: bool = True) -> WorkerEntry:
        """Return the entry that the worker publishes in the store."""
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
        """Return the worker's clock: milliseconds since the start of this incarnation."""
        return int((self.now_s() - self._boot_s) * 1000)

    def restart(self) -> None:
        """Start a new incarnation under the same identifier; runs and unread ends are lost."""
        self.boot_unix_ms += 1
        while self.running:
            task, run = self.running.popitem()
            run.span.ended_s = time.monotonic()
            if self.gangs is not None:
                self.gangs.leave(task, run.run, None)
        self.ended.clear()
        self._highest_runs.clear()
        self._end_count = self.token = self._lease_end_ms = self.acknowledged = 0
        self._boot_s = self.now_s()

    @property
    def is_silent(self) -> bool:
        """Whether calls get no response: the worker is unreachable or has just crashed."""
        is_cut = self.faults.is_unreachable or self.faults.is_refusing_connections
        return is_cut or time.monotonic() < self._silent_until_s

    def crash(self, silence_s: float | None = None, next_id: str = "") -> None:
        """Restart after a silence; all runs end at once.

        Args:
            silence_s: Length of the silence; `WorkerFaults.crash_s` if omitted.
            next_id: Identifier of the next incarnation, which does not carry out commands to this
                one; unchanged if omitted.
        """
        silence_s = self.faults.crash_s if silence_s is None else silence_s
        self._silent_until_s = time.monotonic() + silence_s
        self.restart()
        if next_id:
            self.id = next_id
            self._delayed.clear()

    def end(self, task: str, kind: EndKind, checkpoint: str = "") -> None:
        """End a run of this worker, and the other members of its gang."""
        run = self.running.pop(task)
        self._end_count += 1
        self._highest_runs[task] = max(self._highest_runs.get(task, 0), run.run)
        run.span.ended_s, run.span.end_kind = time.monotonic(), kind
        run.span.end_number = self._end_count
        self.ended.append(EndedRun(self._end_count, task, run.run, kind, checkpoint))
        if self.gangs is not None:
            self.gangs.leave(task, run.run, kind)

    def apply_delayed(self) -> None:
        """Execute the start commands that the fault `delayed_starts` queued, up to a crash."""
        delayed, self._delayed = self._delayed, []
        for command, until_clock_ms, token in delayed:
            if not self.is_silent:
                self._begin_run(command, until_clock_ms, token, is_delayed=True)

    def end_due_runs(self) -> None:
        """End the runs whose lease has expired or whose work is complete."""
        if self.running and self.clock_ms() > self._lease_end_ms:
            for task in list(self.running):
                # The end of one member of a gang ends the others.
                if task in self.running:
                    self.end(task, EndKind.EXPIRED)
        for task, run in list(self.running.items()):
            kind = self._due_end_kind(task, run)
            if kind is not None and task in self.running:
                self.end(task, kind)

    def _due_end_kind(self, task: str, run: _Run) -> EndKind | None:
        if self.faults.is_stalled:
            return None
        duration_s = (
            self.payload_duration_s(run.payload)
            if self.payload_duration_s
            else self.task_duration_s
        )
        gang = self.gangs.find(task, run.run) if self.gangs else None
        if gang is None:
            return EndKind.DONE if self.now_s() - run.started_s >= duration_s else None
        if time.monotonic() - gang.complete_since_s >= duration_s:
            return EndKind.DONE
        is_incomplete = gang.complete_since_s == float("inf")
        has_waited = self.now_s() - run.started_s >= GANG_TIMEOUT_S
        return EndKind.GANG_INCOMPLETE if is_incomplete and has_waited else None

    async def _begin_call(self) -> None:
        await anyio.sleep(0.001)
        if self.is_silent:
            await anyio.sleep(0.02)
            may_have_been_sent = not self.faults.is_refusing_connections
            raise WorkerCallError("no response", may_have_been_sent=may_have_been_sent)
        self.end_due_runs()

    def _begin_run(
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
        if task in self.running or command.run <= self._highest_runs.get(task, 0):
            return CommandOutcome.STALE_RUN
        self._lease_end_ms = max(self._lease_end_ms, until_clock_ms)
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
        if task in self.faults.fatal_tasks:
            self.crash()
        return CommandOutcome.DONE

    async def start(
        self, command: StartCommand, until_clock_ms: int, token: int
    ) -> tuple[CommandOutcome, int | None]:
        """Start a run under a lease that ends at `until_clock_ms` on the worker's clock."""
        await anyio.sleep(self.faults.start_delay_s)
        await self._begin_call()
        self.commands.append((str(command.task), command.run, token))
        if self.faults.is_replaced:
            return CommandOutcome.OTHER_INCARNATION, None
        if self.faults.is_unhealthy:
            return CommandOutcome.UNHEALTHY, None
        if self.faults.delayed_starts:
            self.faults.delayed_starts -= 1
            self._delayed.append((command, until_clock_ms, token))
            raise WorkerCallError("no response")
        outcome = self._begin_run(command, until_clock_ms, token)
        if self.faults.lost_start_responses:
            self.faults.lost_start_responses -= 1
            await anyio.sleep(self.faults.response_timeout_s)
            raise WorkerCallError("no response")
        return outcome, self.clock_ms()

    async def stop(self, task: TaskId, run: int, token: int) -> CommandOutcome:
        """Stop a run; a run that has not started yet will be rejected."""
        await self._begin_call()
        if self.faults.is_losing_stops:
            raise WorkerCallError("no response")
        if self.faults.is_refusing_stops:
            return CommandOutcome.UNHEALTHY
        if self.faults.is_replaced:
            return CommandOutcome.OTHER_INCARNATION
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        self._highest_runs[str(task)] = max(self._highest_runs.get(str(task), 0), run)
        if str(task) in self.running and self.running[str(task)].run == run:
            await anyio.sleep(STOP_S)
            if str(task) in self.running:
                self.end(str(task), EndKind.STOPPED, f"saved-{run}")
        return CommandOutcome.DONE

    async def renew_lease(
        self, until_clock_ms: int | None, token: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing | CommandOutcome:
        """Renew the lease of all runs and list runs and ends; wait up to `wait_ms` for an end."""
        await self._begin_call()
        if self.faults.lost_listings:
            self.faults.lost_listings -= 1
            raise WorkerCallError("no response")
        if self.faults.is_replaced:
            return CommandOutcome.OTHER_INCARNATION
        if token < self.token:
            return CommandOutcome.FENCED
        self.token = token
        self._lease_end_ms = max(self._lease_end_ms, until_clock_ms or 0)
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.ended = [end for end in self.ended if end.number > acknowledged]
        wait_until_s = self.now_s() + wait_ms / 1000
        while not self.ended and self.now_s() < wait_until_s and not self.is_silent:
            await anyio.sleep(0.01)
            self.end_due_runs()
        if self.is_silent:
            raise WorkerCallError("no response")
        running = tuple(
            ListedRun(task, run.run, run.checkpoint, self._percent(run))
            for task, run in self.running.items()
        )
        ended = tuple(self.ended[: self.max_listed_ends])
        is_complete = len(ended) < self.max_listed_ends
        listing = WorkerListing(self.clock_ms(), self.boot_unix_ms, running, ended, is_complete)
        await anyio.sleep(self.faults.listing_delay_s)
        return listing

    def _percent(self, run: _Run) -> int:
        if self.faults.is_stalled:
            return 0
        return int((self.now_s() - run.started_s) * 10) % 100

    def close(self) -> None:
        """Do nothing; there are no connections to close."""
