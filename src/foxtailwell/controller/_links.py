"""One task a worker: extends the lease of its runs, lists ends, and carries orders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from foxtailwell.adapters.events import COMMAND_REFUSED, WORKER_REACHED, WORKER_UNRESPONSIVE
from foxtailwell.adapters.logs import log_event
from foxtailwell.workflows import (
    CommandOutcome,
    StartCommand,
    TaskId,
    WorkerCallError,
    WorkerCalls,
    WorkerEntry,
    WorkerListing,
)

__all__ = [
    "LinkEvent",
    "StartAnswered",
    "StopAnswered",
    "WorkerLink",
    "WorkerListed",
    "longest_hold_s",
]

WAIT_MS = 1500
"""Longest wait of a listing; the platform allows 2,000 and a lease lasts several times as long."""

HOLDS_PER_LEASE = 4
"""Extensions within one lease, so that some may go unanswered."""

PROCESSING_LIMIT_S = 0.6
"""Wait for the ends of a listing to be durable before the lease is extended without them."""

RETRY_PAUSE_S = 0.25
"""Pause after a call without an answer."""

START_TRIES = 3
"""Sends of one start; the same run is started once, however often the order arrives."""

CLOCK_DRIFT = 1.03
"""Longest local time for one unit of a worker's clock; the clock may be 2 % slow."""

LAPSE_MARGIN_S = 0.4
"""Added to a lease for the way of the order and the end of its processes."""


def longest_hold_s(lease_ms: int) -> float:
    """Return the longest local time from sending a lease to the end of what it holds."""
    return lease_ms / 1000 * CLOCK_DRIFT + LAPSE_MARGIN_S


@dataclass(frozen=True, slots=True)
class WorkerListed:
    """A worker answered a listing that was sent at `sent_s`."""

    worker: str
    sent_s: float
    listing: WorkerListing
    processed: anyio.Event


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """A start was answered, or given up.

    Attributes:
        outcome: None when no try was answered.
        is_certain: No earlier try may still be carried out.
    """

    worker: str
    task: TaskId
    run: int
    outcome: CommandOutcome | None
    is_certain: bool


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A worker confirmed a stop."""

    worker: str
    task: TaskId
    run: int


LinkEvent = WorkerListed | StartAnswered | StopAnswered


@dataclass(slots=True)
class WorkerLink:
    """State of the calls to one worker; owned by its tasks, read by the controller.

    Attributes:
        on_fenced: Called when the worker has seen a newer controller.
        granted_until_s: Local time at which every lease given so far has lapsed.
        own_until_s: The same for the leases of this term alone.
        acknowledged: Ends up to this number are durable.
        listed_end: Highest end that was listed.
        is_wanted: Runs may be here, so that their lease must be extended.
    """

    entry: WorkerEntry
    calls: WorkerCalls
    token: int
    lease_ms: int
    now_s: Callable[[], float]
    may_hold: Callable[[], bool]
    on_fenced: Callable[[str], None]
    events: MemoryObjectSendStream[LinkEvent]
    granted_until_s: float
    own_until_s: float = 0.0
    boot_unix_ms: int = 0
    clock_ms: int = 0
    clock_read_s: float = 0.0
    acknowledged: int = 0
    confirmed: int = 0
    listed_end: int = 0
    is_wanted: bool = False
    is_silent: bool = False
    silent_since_s: float = 0.0
    stopping: set[tuple[TaskId, int]] = field(default_factory=set)
    wake: anyio.Event = field(default_factory=anyio.Event)
    _first_answer_s: float = 0.0

    def until_clock_ms(self) -> int:
        """Return the end of a lease that begins now, on the worker's clock, and note it."""
        now_s = self.now_s()
        lapse_s = now_s + longest_hold_s(self.lease_ms)
        self.own_until_s = max(self.own_until_s, lapse_s)
        self.granted_until_s = max(self.granted_until_s, lapse_s)
        return self.clock_ms + int((now_s - self.clock_read_s) * 1000) + self.lease_ms

    def read_clock(self, clock_ms: int | None, boot_unix_ms: int | None = None) -> None:
        """Take over the worker's clock from an answer; None when it did not say."""
        if boot_unix_ms is not None and boot_unix_ms != self.boot_unix_ms:
            self.boot_unix_ms = boot_unix_ms
            self.acknowledged = self.confirmed = self.listed_end = 0
        if clock_ms is not None:
            self.clock_ms = clock_ms
            self.clock_read_s = self.now_s()

    def set_wanted(self, is_wanted: bool) -> None:
        """Say whether runs may be at the worker."""
        self.is_wanted = is_wanted
        if is_wanted or self.acknowledged > self.confirmed:
            self.wake.set()

    async def run(self) -> None:
        """Extend the lease and list ends for as long as runs may be here."""
        while True:
            if not self.is_wanted and self.acknowledged <= self.confirmed:
                self.wake = anyio.Event()
                await self.wake.wait()
                continue
            if not self.may_hold():
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            await self._hold_once()

    async def _hold_once(self) -> None:
        sent_s = self.now_s()
        has_open_ends = self.listed_end > self.acknowledged
        is_waiting = self.is_wanted and not has_open_ends and not self.is_silent
        wait_ms = min(WAIT_MS, self.lease_ms // HOLDS_PER_LEASE) if is_waiting else 0
        acknowledged = self.acknowledged
        try:
            # A silent worker is only probed: a lease that it may never answer for would put off
            # the time at which its runs count as gone.
            is_extending = self.is_wanted and not self.is_silent
            until = self.until_clock_ms() if is_extending else None
            answer = await self.calls.renew_lease(until, self.token, acknowledged, wait_ms)
        except WorkerCallError as failure:
            self._note_silence(failure.reason)
            await anyio.sleep(RETRY_PAUSE_S)
            return
        if isinstance(answer, CommandOutcome):
            if answer is CommandOutcome.FENCED:
                self.on_fenced(self.entry.id)
            self._note_silence(answer.value)
            await anyio.sleep(RETRY_PAUSE_S)
            return
        self._note_answer()
        self.read_clock(answer.clock_ms, answer.boot_unix_ms)
        self.confirmed = max(self.confirmed, acknowledged)
        self.listed_end = max((end.number for end in answer.ended), default=self.acknowledged)
        processed = anyio.Event()
        await self.events.send(WorkerListed(self.entry.id, sent_s, answer, processed))
        with anyio.move_on_after(PROCESSING_LIMIT_S):
            await processed.wait()

    def _note_silence(self, reason: str) -> None:
        if not self.is_silent:
            self.is_silent = True
            self.silent_since_s = self.now_s()
            log_event(WORKER_UNRESPONSIVE, worker=self.entry.id, reason=reason)

    def _note_answer(self) -> None:
        # The worker has seen this term's token, which shuts out every earlier controller; a lease
        # of the last one may still run for a full hold from now.
        self._first_answer_s = self._first_answer_s or self.now_s()
        full_hold_s = longest_hold_s(self.lease_ms)
        self.own_until_s = max(self.own_until_s, self._first_answer_s + full_hold_s)
        self.granted_until_s = self.own_until_s
        if self.is_silent:
            self.is_silent = False
            silent_s = round(self.now_s() - self.silent_since_s, 2)
            log_event(WORKER_REACHED, worker=self.entry.id, silent_s=silent_s)

    def start(self, group: TaskGroup, order: StartCommand) -> None:
        """Send a start order in its own task."""
        group.start_soon(self._start, order)

    async def _start(self, order: StartCommand) -> None:
        outcome: CommandOutcome | None = None
        is_certain = True
        for _ in range(START_TRIES):
            if not self.may_hold():
                is_certain = False
                break
            try:
                outcome, clock_ms = await self.calls.start(order, self.until_clock_ms(), self.token)
            except WorkerCallError as failure:
                is_certain = False
                self._note_silence(failure.reason)
                continue
            self.read_clock(clock_ms)
            if outcome is CommandOutcome.FENCED:
                self.on_fenced(self.entry.id)
            elif outcome is CommandOutcome.DONE:
                self._note_answer()
            break
        if outcome is not CommandOutcome.DONE:
            log_event(
                COMMAND_REFUSED,
                worker=self.entry.id,
                task=str(order.task),
                run=order.run,
                outcome=outcome.value if outcome else "no answer",
            )
        await self.events.send(
            StartAnswered(self.entry.id, order.task, order.run, outcome, is_certain)
        )

    def stop(self, group: TaskGroup, task: TaskId, run: int) -> None:
        """Send a stop in its own task until it is confirmed; once for each run."""
        if (task, run) not in self.stopping:
            self.stopping.add((task, run))
            group.start_soon(self._stop, task, run)

    async def _stop(self, task: TaskId, run: int) -> None:
        try:
            while self.may_hold():
                try:
                    outcome = await self.calls.stop(task, run, self.token)
                except WorkerCallError as failure:
                    self._note_silence(failure.reason)
                    await anyio.sleep(RETRY_PAUSE_S)
                    if self.now_s() > self.granted_until_s:
                        return
                    continue
                if outcome is CommandOutcome.FENCED:
                    self.on_fenced(self.entry.id)
                    return
                await self.events.send(StopAnswered(self.entry.id, task, run))
                return
        finally:
            self.stopping.discard((task, run))
