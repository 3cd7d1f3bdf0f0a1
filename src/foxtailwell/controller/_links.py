"""Calls of the controller to one worker: lease renewals with listings, start and stop commands.

The classes belong to the workflows model.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from foxtailwell.adapters.events import COMMAND_REFUSED, WORKER_REACHED, WORKER_UNRESPONSIVE
from foxtailwell.adapters.logs import log_event
from foxtailwell.controller._clocks import CLOCK_DRIFT_FACTOR, ClockReading, more_exact
from foxtailwell.workflows import (
    CommandOutcome,
    Resources,
    StartCommand,
    TaskId,
    WorkerCallError,
    WorkerCalls,
    WorkerEntry,
    WorkerListing,
)

__all__ = [
    "IncarnationReplaced",
    "LinkEvent",
    "ListingReceived",
    "StartFinished",
    "StopConfirmed",
    "WorkerLink",
    "max_lease_s",
]

LISTING_WAIT_MS = 1500
"""Longest wait of a listing; the platform allows 2,000 ms, and leases are several times longer."""

RENEWALS_PER_LEASE = 4
"""Renewals within one lease, so that some may fail before it expires."""

PROCESSING_TIMEOUT_S = 0.6
"""Longest wait for listed ends to be stored before the next renewal is sent anyway."""

RETRY_PAUSE_S = 0.25
"""Pause after a failed call."""

IDLE_PROBE_PAUSE_S = 1.0
"""Pause between probes of a worker without runs, once it has been unresponsive for as long."""

START_DOUBT_S = 2.3
"""Time for which a start without a response is repeated while its worker answers listings.

The members of a gang that have begun wait for the others; the platform ends them after 4 s.
"""

MAX_UNLISTED_S = 1.0
"""Age of the last answered listing up to which a start without a response is repeated at once."""

MAX_DOUBT_S = 1.4
"""Time without any response after which a worker that accepts connections is unresponsive."""

LOSS_MEMORY_S = 5.0
"""Time after a lost response for which further ones are expected of the same worker.

Listings are kept short meanwhile, as a lost one is noticed late.
"""

USUAL_DOUBT_S = 0.5
"""Time without a response up to which a worker that has lost some before still gets starts."""

SHORT_LISTING_WAIT_MS = 300
"""Longest wait of a listing after a lost response."""

COMMAND_PAUSE_S = 0.05
"""Pause after a command without a response while its worker answers listings."""

EXPIRY_MARGIN_S = 0.4
"""Time added to a lease for the delivery of the command and the end of the run's processes."""

_REFUSALS = frozenset({CommandOutcome.UNHEALTHY, CommandOutcome.INVALID})
"""Outcomes of a command that the worker has not carried out, whatever it runs."""


def max_lease_s(lease_ms: int) -> float:
    """Return the longest local time in seconds from sending a lease to the end of its runs."""
    return lease_ms / 1000 * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S


@dataclass(frozen=True, slots=True)
class ListingReceived:
    """A worker responded to a listing.

    Attributes:
        sent_s: Local time at which the request was sent.
        processed: Set once the controller has processed the listing and tried to store its ends.
    """

    worker: str
    sent_s: float
    listing: WorkerListing
    processed: anyio.Event


@dataclass(frozen=True, slots=True)
class StartFinished:
    """A start command got a response, or was given up after failed attempts.

    Attributes:
        request: Resources of the task.
        boot_unix_ms: Start time of the worker's incarnation at the first attempt.
        settled_s: Local time at which the last attempt returned or failed.
        outcome: None if no attempt got a response.
        is_certain: Every attempt got a response or was not sent, so that none may take effect
            later.
    """

    worker: str
    task: TaskId
    run: int
    request: Resources
    boot_unix_ms: int
    settled_s: float
    outcome: CommandOutcome | None
    is_certain: bool


@dataclass(frozen=True, slots=True)
class StopConfirmed:
    """A worker confirmed a stop command.

    Attributes:
        boot_unix_ms: Start time of the incarnation that was known when the command was sent.
        confirmed_s: Local time of the response.
    """

    worker: str
    task: TaskId
    run: int
    boot_unix_ms: int
    confirmed_s: float


@dataclass(frozen=True, slots=True)
class IncarnationReplaced:
    """Another incarnation answers at the worker's address, so the worker's runs have ended.

    Attributes:
        boot_unix_ms: Start time of the incarnation that is gone, as the link knew it.
    """

    worker: str
    boot_unix_ms: int


LinkEvent = ListingReceived | StartFinished | StopConfirmed | IncarnationReplaced


@dataclass(slots=True)
class WorkerLink:
    """State of the calls to one worker; written by its own tasks, read by the controller.

    Attributes:
        lease_ms: Duration of a lease.
        may_act: Returns whether this term may still send commands.
        on_fenced: Called with the worker's identifier when it has seen a newer fencing token.
        leases_expire_s: Local time by which every lease granted so far has expired, including
            those of earlier controllers.
        own_leases_expire_s: The same for the leases of this term only.
        boot_unix_ms: Start time of the worker's incarnation.
        reading: Most exact reading of the clock of the incarnation that last responded to a
            listing; None before the first response.
        clock_ms: Last known reading of the worker's clock, taken at the local time `clock_read_s`.
        durable_end: Ends up to this number are stored.
        acknowledged_end: Ends up to this number are acknowledged to the worker.
        listed_end: Highest number of an end in the last listing.
        has_unlisted_ends: The listing that the controller processed last may lack ends, so that
            runs which it does not list as running may have ended.
        may_have_runs: The worker may have runs, so that their lease must be renewed.
        is_lapsing: It does not stop a run, so that the lease of all its runs is not renewed.
        is_listed: The store lists the worker, so that it may get runs.
        needs_reading: Its entry cannot be dated without a new reading of its clock.
        is_unresponsive: It could not be called, gave no response for `MAX_DOUBT_S`, or rejected a
            listing, and has not responded since.
        is_in_doubt: A call got no response, and no listing sent since has been answered. Listings
            are sent until one is answered or the worker is unresponsive.
        silent_since_s: Local time at which a call got no response while none had before, or a
            listing was rejected; the worker may have crashed then.
        responsive_since_s: Local time at which that silence ended.
        alive_s: Latest local time at which the incarnation is known to have lived; 0 for none.
        former_alive_s: The same for the incarnation before.
        stopping: Runs with a stop command in progress.
    """

    entry: WorkerEntry
    calls: WorkerCalls
    token: int
    lease_ms: int
    now_s: Callable[[], float]
    may_act: Callable[[], bool]
    on_fenced: Callable[[str], None]
    events: MemoryObjectSendStream[LinkEvent]
    leases_expire_s: float
    own_leases_expire_s: float = 0.0
    boot_unix_ms: int = 0
    reading: ClockReading | None = None
    clock_ms: int = 0
    clock_read_s: float = 0.0
    durable_end: int = 0
    acknowledged_end: int = 0
    listed_end: int = 0
    has_unlisted_ends: bool = False
    may_have_runs: bool = False
    is_lapsing: bool = False
    is_listed: bool = False
    needs_reading: bool = False
    is_unresponsive: bool = False
    is_in_doubt: bool = False
    silent_since_s: float = 0.0
    responsive_since_s: float = 0.0
    alive_s: float = 0.0
    former_alive_s: float = 0.0
    stopping: set[tuple[TaskId, int]] = field(default_factory=set)
    wake: anyio.Event = field(default_factory=anyio.Event)
    _doubted_s: float = 0.0
    _passed_doubt_s: float = -math.inf
    _doubt_over: anyio.Event = field(default_factory=anyio.Event)
    _waiting: anyio.CancelScope | None = None
    _is_hurried: bool = False
    _first_response_s: float = 0.0
    _has_listed: bool = False
    _listed_s: float = 0.0

    def begin_lease(self) -> int:
        """Record a lease that begins now, and return its end on the worker's clock in ms."""
        now_s = self.now_s()
        expires_s = now_s + max_lease_s(self.lease_ms)
        self.own_leases_expire_s = max(self.own_leases_expire_s, expires_s)
        self.leases_expire_s = max(self.leases_expire_s, expires_s)
        return self.clock_ms + int((now_s - self.clock_read_s) * 1000) + self.lease_ms

    def update_clock(self, clock_ms: int | None, boot_unix_ms: int | None = None) -> None:
        """Update the known state of the worker's clock and incarnation.

        Args:
            clock_ms: Reading of the worker's clock; None if it was not reported.
            boot_unix_ms: Start time of its incarnation; a new one restarts the numbers of ends.
        """
        if boot_unix_ms is not None and boot_unix_ms != self.boot_unix_ms:
            self.boot_unix_ms = boot_unix_ms
            self.durable_end = self.acknowledged_end = self.listed_end = 0
            self.former_alive_s, self.alive_s = self.alive_s, 0.0
        if clock_ms is not None:
            self.clock_ms = clock_ms
            self.clock_read_s = self.now_s()

    def record_life(self, boot_unix_ms: int, at_s: float) -> None:
        """Record that an incarnation lived at a local time."""
        if boot_unix_ms == self.boot_unix_ms:
            self.alive_s = max(self.alive_s, at_s)

    def record_stored_ends(self, boot_unix_ms: int, number: int) -> None:
        """Record that the ends of an incarnation up to a number are stored.

        Another incarnation, which counts its ends anew, may have responded while they were written.
        """
        if boot_unix_ms == self.boot_unix_ms:
            self.durable_end = max(self.durable_end, number)

    def set_may_have_runs(self, may_have_runs: bool) -> None:
        """Set whether the worker may have runs; renewals resume when it may."""
        self.may_have_runs = may_have_runs
        if self._is_needed:
            self.wake.set()

    @property
    def _is_needed(self) -> bool:
        """Whether calls are due; an unresponsive worker gets no tasks until a call succeeds."""
        is_probed = self.is_in_doubt or (
            self.is_listed and (self.is_unresponsive or self.needs_reading)
        )
        return self.may_have_runs or self.durable_end > self.acknowledged_end or is_probed

    @property
    def _retry_pause_s(self) -> float:
        is_brief = self.silence_s() < IDLE_PROBE_PAUSE_S
        return RETRY_PAUSE_S if self.may_have_runs or is_brief else IDLE_PROBE_PAUSE_S

    def request_reading(self) -> None:
        """Read the worker's clock as soon as possible, once."""
        self.needs_reading = True
        self.wake.set()

    def probe(self) -> None:
        """Send a listing as soon as possible, instead of one whose response waits for an end."""
        self._is_hurried = True
        if self._waiting is not None:
            self._waiting.cancel()
        self.wake.set()

    def _record_unanswered(self) -> None:
        """Record that a call got no response, and find out whether its worker responds."""
        # The worker may have restarted.
        self._has_listed = False
        self._doubted_s = self.now_s()
        if not self.is_unresponsive and not self.is_in_doubt:
            self.is_in_doubt = True
            self._doubt_over = anyio.Event()
            self.silent_since_s = self._doubted_s
            self.probe()

    def _end_doubt(self) -> None:
        self.is_in_doubt = False
        self._doubt_over.set()

    async def _await_response(self) -> None:
        """Wait until a worker in doubt has answered a listing or is unresponsive."""
        with anyio.move_on_after(START_DOUBT_S):
            if self.is_in_doubt:
                await self._doubt_over.wait()

    async def run(self) -> None:
        """Renew the lease, list ends or probe the worker while needed; runs until cancelled."""
        while True:
            if not self._is_needed:
                self.wake = anyio.Event()
                await self.wake.wait()
                self._has_listed = False
                continue
            if not self.may_act():
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            await self._renew_once()

    async def _renew_once(self) -> None:
        sent_s = self.now_s()
        has_unprocessed_ends = self.listed_end > self.durable_end
        # A response that the worker holds back would date its entries less exactly.
        is_dating, self.needs_reading = self.needs_reading, False
        is_waiting = (
            self.may_have_runs
            and not has_unprocessed_ends
            and not self.is_unresponsive
            and not is_dating
            and not self.is_in_doubt
            and not self._is_hurried
        )
        self._is_hurried = False
        longest_ms = SHORT_LISTING_WAIT_MS if self._is_lossy else LISTING_WAIT_MS
        wait_ms = min(longest_ms, self.lease_ms // RENEWALS_PER_LEASE) if is_waiting else 0
        # Another incarnation counts its ends anew, and would discard ends that nobody has read.
        acknowledged = self.durable_end if self._has_listed else 0
        address, boot_unix_ms = self.entry.address, self.boot_unix_ms
        try:
            # A worker that may be silent is only probed: a renewal that it may never receive
            # would postpone the time at which its runs count as lost.
            is_silent = self.is_unresponsive or self.is_in_doubt
            is_renewing = self.may_have_runs and not (is_silent or self.is_lapsing)
            until = self.begin_lease() if is_renewing else None
            response: WorkerListing | CommandOutcome | None = None
            with anyio.CancelScope() as scope:
                self._waiting = scope if wait_ms else None
                response = await self.calls.renew_lease(until, self.token, acknowledged, wait_ms)
            self._waiting = None
            if response is None:
                # The next call takes another connection, perhaps to another incarnation.
                self._has_listed = False
                return
        except WorkerCallError as failure:
            self.needs_reading = self.needs_reading or is_dating
            self._waiting = None
            self._record_unanswered()
            is_silent = self.now_s() - self.silent_since_s >= MAX_DOUBT_S
            if self.is_in_doubt and failure.may_have_been_sent and not is_silent:
                await anyio.sleep(COMMAND_PAUSE_S)
                return
            self._mark_unresponsive(failure.reason)
            await anyio.sleep(self._retry_pause_s)
            return
        if isinstance(response, CommandOutcome):
            self.needs_reading = self.needs_reading or is_dating
            if response is CommandOutcome.FENCED:
                self.on_fenced(self.entry.id)
            self._mark_unresponsive(response.value)
            # An entry with a new address while the call was under way belongs to a newer
            # incarnation, of which this response says nothing.
            if (
                response is CommandOutcome.OTHER_INCARNATION
                and self.may_have_runs
                and self.entry.address == address
            ):
                await self.events.send(IncarnationReplaced(self.entry.id, boot_unix_ms))
            await anyio.sleep(self._retry_pause_s)
            return
        self._mark_responsive()
        if self.is_in_doubt and sent_s >= self._doubted_s:
            self.responsive_since_s = self._passed_doubt_s = self.now_s()
            self._end_doubt()
        self._listed_s = sent_s
        self._has_listed = True
        reading = ClockReading(response.boot_unix_ms, response.clock_ms, sent_s, self.now_s())
        self.reading = more_exact(self.reading, reading)
        self.update_clock(response.clock_ms, response.boot_unix_ms)
        self.record_life(response.boot_unix_ms, sent_s)
        if response.boot_unix_ms == boot_unix_ms:
            self.acknowledged_end = max(self.acknowledged_end, acknowledged)
        self.listed_end = max((end.number for end in response.ended), default=self.durable_end)
        processed = anyio.Event()
        await self.events.send(ListingReceived(self.entry.id, sent_s, response, processed))
        with anyio.move_on_after(PROCESSING_TIMEOUT_S):
            await processed.wait()

    def _mark_unresponsive(self, reason: str) -> None:
        # The silence began with the first call without a response.
        was_in_doubt = self.is_in_doubt
        since_s = self.silent_since_s if was_in_doubt else self.now_s()
        self._has_listed = False
        self._end_doubt()
        if not self.is_unresponsive:
            self.is_unresponsive = True
            self.silent_since_s = since_s
            log_event(
                WORKER_UNRESPONSIVE,
                worker=self.entry.id,
                was_in_doubt=was_in_doubt,
                reason=reason,
                listed_ago_s=round(self.now_s() - self._listed_s, 2),
            )

    def _mark_responsive(self) -> None:
        # The worker has seen this term's token and rejects earlier controllers from now on; a
        # lease that the last one granted before may still run for its full duration.
        self._first_response_s = self._first_response_s or self.now_s()
        lease_s = max_lease_s(self.lease_ms)
        self.own_leases_expire_s = max(self.own_leases_expire_s, self._first_response_s + lease_s)
        self.leases_expire_s = self.own_leases_expire_s
        if self.is_unresponsive:
            self.is_unresponsive = False
            self.responsive_since_s = self.now_s()
            log_event(WORKER_REACHED, worker=self.entry.id, silent_s=round(self.silence_s(), 2))

    @property
    def is_avoided(self) -> bool:
        """Whether it gets no starts now, because it is in doubt for longer than usual.

        Of a worker that has just answered after lost responses, one more means little.
        """
        return self.is_in_doubt and (not self._is_lossy or self.silence_s() > USUAL_DOUBT_S)

    @property
    def _is_lossy(self) -> bool:
        """Whether a doubt has lately ended with a response, so that further losses are likely."""
        return self.now_s() - self._passed_doubt_s < LOSS_MEMORY_S

    def silence_s(self) -> float:
        """Return the duration of the current silence in seconds, or of the last one."""
        is_silent = self.is_unresponsive or self.is_in_doubt
        until_s = self.now_s() if is_silent else self.responsive_since_s
        return until_s - self.silent_since_s

    def start(
        self,
        group: TaskGroup,
        command: StartCommand,
        request: Resources,
        is_wanted: Callable[[], bool],
    ) -> None:
        """Send a start command in a task of the group; `StartFinished` reports its outcome.

        Args:
            group: Group of the new task.
            command: Command to send.
            request: Resources of the task.
            is_wanted: Returns whether the run is still to be started; checked before each attempt.
        """
        group.start_soon(self._start, command, request, is_wanted)

    async def _start(
        self, command: StartCommand, request: Resources, is_wanted: Callable[[], bool]
    ) -> None:
        boot_unix_ms = self.boot_unix_ms
        outcome: CommandOutcome | None = None
        is_certain = True
        attempts, began_s = 0, self.now_s()
        settled_s = began_s
        while True:
            # The start may have crashed the worker, and would crash its next incarnation as well.
            has_restarted = self.boot_unix_ms != boot_unix_ms
            if has_restarted or not self.may_act() or not is_wanted():
                break
            attempts += 1
            sent_s = self.now_s()
            try:
                outcome, clock_ms = await self.calls.start(command, self.begin_lease(), self.token)
            except WorkerCallError as failure:
                settled_s = self.now_s()
                self._record_unanswered()
                is_certain = is_certain and not failure.may_have_been_sent
                # A listing shows whether this is still the same incarnation of the worker.
                if self._listed_s < max(began_s, self.now_s() - MAX_UNLISTED_S):
                    await self._await_response()
                if self.is_unresponsive or self.now_s() - began_s >= START_DOUBT_S:
                    break
                await anyio.sleep(COMMAND_PAUSE_S)
                continue
            settled_s = self.now_s()
            self.update_clock(clock_ms)
            if outcome is CommandOutcome.FENCED:
                self.on_fenced(self.entry.id)
            elif outcome is CommandOutcome.DONE:
                self._mark_responsive()
                self.record_life(boot_unix_ms, sent_s)
            break
        if outcome is not CommandOutcome.DONE:
            log_event(
                COMMAND_REFUSED,
                worker=self.entry.id,
                task=str(command.task),
                run=command.run,
                outcome=outcome.value if outcome else "no answer",
                attempts=attempts,
            )
        await self.events.send(
            StartFinished(
                self.entry.id,
                command.task,
                command.run,
                request,
                boot_unix_ms,
                settled_s,
                outcome,
                is_certain,
            )
        )

    def stop(self, group: TaskGroup, task: TaskId, run: int, *, has_begun: bool) -> None:
        """Send a stop command until it is confirmed, unless one for the run is in progress.

        Args:
            group: Group of the new task.
            task: Task of the run.
            run: Number of the run.
            has_begun: The worker has acknowledged or listed the run.
        """
        if (task, run) not in self.stopping:
            self.stopping.add((task, run))
            group.start_soon(self._stop, task, run, has_begun)

    async def _stop(self, task: TaskId, run: int, has_begun: bool) -> None:
        try:
            while self.may_act():
                boot_unix_ms = self.boot_unix_ms
                is_refused = False
                try:
                    outcome = await self.calls.stop(task, run, self.token)
                except WorkerCallError:
                    self._record_unanswered()
                else:
                    if outcome is CommandOutcome.FENCED:
                        self.on_fenced(self.entry.id)
                        return
                    if outcome not in _REFUSALS:
                        confirmed = StopConfirmed(
                            self.entry.id, task, run, boot_unix_ms, self.now_s()
                        )
                        await self.events.send(confirmed)
                        if not has_begun:
                            # No end may show that the run is over, only a listing without it.
                            self.probe()
                        return
                    is_refused = True
                is_pausing = is_refused or self.is_unresponsive
                await anyio.sleep(RETRY_PAUSE_S if is_pausing else COMMAND_PAUSE_S)
                if self.now_s() > self.leases_expire_s:
                    return
        finally:
            self.stopping.discard((task, run))
