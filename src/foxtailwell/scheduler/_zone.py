"""Executor of one availability zone: starts, watches over and stops the gangs of the zone."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from foxtailwell.adapters.events import (
    GANG_ENDED,
    GANG_RESUMED,
    GANG_STARTING,
    GANG_STOPPING,
    START_REFUSED,
    WORKER_QUARANTINED,
    WORKER_RETURNED,
    ZONE_LOST,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.workers import SyncReply, TaskReport, WorkerCommand
from foxtailwell.core import (
    PREPARATION_LIMIT_S,
    TASK_LEASE_S,
    CommandRefused,
    CommitRun,
    Decision,
    Effect,
    EndAttempt,
    Gang,
    GangEvent,
    GangPhase,
    GangRun,
    GangStep,
    Job,
    JobState,
    Member,
    MemberCommand,
    Operation,
    QuarantineWorker,
    RecordJobState,
    RunCommitted,
    StartGang,
    StartPermission,
    StopGang,
    StopRequested,
    TaskReported,
    TasksReported,
    TaskState,
    TimePassed,
    WorkersRemoved,
    ZoneAllocation,
    advance,
    begin_gang,
    resume_gang,
)
from foxtailwell.core.errors import (
    FoxtailwellError,
    StaleTermError,
    StoreOverloadedError,
    StoreUnavailableError,
    UnavailableError,
)
from foxtailwell.scheduler._links import WorkerLink, run_link
from foxtailwell.scheduler._mutations import (
    adopt_job,
    allocate_gang,
    assign_job,
    commit_run,
    end_attempt,
    lift_worker_quarantine,
    quarantine_worker,
    raise_zone_term,
    record_job_state,
    release_gang,
)
from foxtailwell.scheduler._state import (
    SchedulerState,
    allocation_key,
    now_unix_ms,
    shard_key,
)

__all__ = ["ZoneExecutor", "run_zone", "take_over_zone"]

T = TypeVar("T")

ACTIVE_TICK_S = 0.1
STEADY_TICK_S = 1.0
RECONCILE_INTERVAL_S = 2.0

PAUSE_S = 2.0
"""Time between two looks at the clock that only a pause of the process explains."""

ORPHAN_AFTER_S = 3.0
"""Age after which a job or gang that no run belongs to is cleaned up. It is longer than a watch
takes to show a write, so that a start in progress is not taken for an orphan."""

QUARANTINE_MS = 60_000
UNPROBED_MS = 300_000
"""Time after a quarantine in which no probe was possible, for example because only gangs wait; then
the worker gets ordinary work again."""

REFUSALS_TO_QUARANTINE = 3
LONGEST_START_BACKOFF_S = 5.0

_STARTING = (GangPhase.PREPARING, GangPhase.STARTING, GangPhase.COMMITTING, GangPhase.OPENING)


@dataclass(slots=True)
class _Active:
    """A gang with its job and the state of its protocol."""

    job: Job
    gang: Gang
    run: GangRun
    members_by_worker: dict[str, list[int]] = field(init=False)

    def __post_init__(self) -> None:
        self.members_by_worker = {}
        for index, member in enumerate(self.gang.members):
            self.members_by_worker.setdefault(member.worker, []).append(index)


@dataclass(frozen=True, slots=True)
class _Decisions:
    decisions: tuple[Decision, ...]


@dataclass(frozen=True, slots=True)
class _Begun:
    job: Job
    gang: Gang


@dataclass(frozen=True, slots=True)
class _Replied:
    worker: str
    reply: SyncReply


@dataclass(frozen=True, slots=True)
class _Committed:
    job_id: str
    attempt: int
    result: RunCommitted


_Message = _Decisions | _Begun | _Replied | _Committed


@dataclass(slots=True)
class _Backoff:
    """Delay of further starts of a job whose starts failed."""

    failures: int
    until_s: float


@dataclass(slots=True)
class ZoneExecutor:
    """State of a zone that this scheduler holds.

    Attributes:
        state: What the tasks of the scheduler share.
        zone: Name of the zone.
        term: Fencing token.
        send: Where messages to the executor go.
        receive: Where the executor takes them from.
        is_lease_valid: Whether the lease is certainly held still.
        active_gangs: Gangs by job.
        starting: Gangs whose documents are being written, by job.
        writing: Effects that are being carried out.
        links: Connections to workers with tasks.
        lost: Set when another scheduler holds the zone.
        is_stopping: Whether no gang is started any more.
        backoffs: Delays of jobs whose starts failed.
        refusals: Failed starts in a row by worker.
        orphans: When a job or gang without a run was first seen.
        group: Task group of the executor's tasks.
        active_s: When the executor last looked at the clock.
        observing_since_s: End of the newest pause of the process.
        reconciled_s: Newest comparison of the documents with the runs.
        ticked_s: Newest check of the time limits of all gangs.
    """

    state: SchedulerState
    zone: str
    term: int
    send: MemoryObjectSendStream[_Message]
    receive: MemoryObjectReceiveStream[_Message]
    is_lease_valid: Callable[[], bool]
    active_gangs: dict[str, _Active] = field(default_factory=dict)
    starting: dict[str, Gang] = field(default_factory=dict)
    writing: int = 0
    links: dict[str, WorkerLink] = field(default_factory=dict)
    lost: anyio.Event = field(default_factory=anyio.Event)
    is_stopping: bool = False
    backoffs: dict[str, _Backoff] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)
    orphans: dict[str, float] = field(default_factory=dict)
    group: TaskGroup | None = None
    active_s: float = 0.0
    observing_since_s: float = 0.0
    reconciled_s: float = 0.0
    ticked_s: float = 0.0

    def submit(self, decisions: Iterable[Decision]) -> None:
        """Give the executor the newest decisions of the planner."""
        self.send.send_nowait(_Decisions(tuple(decisions)))

    def abandon(self, error: FoxtailwellError) -> None:
        """Give the zone up without another command."""
        if not self.lost.is_set():
            log_event(ZONE_LOST, zone=self.zone, term=self.term, error=str(error))
            self.lost.set()

    def gangs(self) -> dict[str, Gang]:
        """Return the gangs that hold accelerators or are about to."""
        active = {job_id: active.gang for job_id, active in self.active_gangs.items()}
        return {**active, **self.starting}

    def start_permission(self) -> StartPermission:
        """Return what is known now, and notice when the process was paused."""
        known = self.state.start_permission(self.zone)
        if known.now_s - self.active_s > PAUSE_S:
            self.observing_since_s = known.now_s
        self.active_s = known.now_s
        return replace(known, observing_since_s=self.observing_since_s)

    @property
    def is_idle(self) -> bool:
        """Whether no start and no write is in progress."""
        has_start = any(a.run.phase in _STARTING for a in self.active_gangs.values())
        return not (self.starting or self.writing or has_start)


async def take_over_zone(
    state: SchedulerState, zone: str, is_lease_valid: Callable[[], bool]
) -> ZoneExecutor:
    """Raise the fencing token of a zone and continue its gangs.

    Args:
        state: What the tasks of the scheduler share.
        zone: Zone whose lease was acquired.
        is_lease_valid: Whether the lease is certainly held still.

    Returns:
        The executor with the gangs of the previous holder.

    Raises:
        FoxtailwellError: The documents could not be read or written.
    """
    allocation = await state.allocation_documents.apply(
        allocation_key(zone), raise_zone_term(zone, state.instance, is_lease_valid)
    )
    send, receive = anyio.create_memory_object_stream[_Message](float("inf"))
    executor = ZoneExecutor(state, zone, allocation.term, send, receive, is_lease_valid)
    jobs = await _adopt_jobs(executor, allocation)
    now_s = time.monotonic()
    for job_id, gang in allocation.gangs.items():
        job = jobs.get(job_id)
        if job is not None and _holds(job, gang, zone):
            executor.active_gangs[job_id] = _Active(job, gang, resume_gang(job, gang, now_s))
            log_event(GANG_RESUMED, job=job_id, attempt=gang.attempt, zone=zone)
    return executor


def _holds(job: Job, gang: Gang, zone: str) -> bool:
    return job.zone == zone and job.attempt == gang.attempt and not job.state.is_final


async def _adopt_jobs(executor: ZoneExecutor, allocation: ZoneAllocation) -> dict[str, Job | None]:
    state = executor.state
    seen = {job.id for job in state.jobs() if job.zone == executor.zone}
    jobs: dict[str, Job | None] = {}

    async def adopt(job_id: str) -> None:
        jobs[job_id] = await state.job_documents.apply(
            shard_key(job_id), adopt_job(job_id, executor.zone, executor.term)
        )

    async with _FlatTaskGroup() as group:
        for job_id in seen | set(allocation.gangs):
            group.start_soon(adopt, job_id)
    return jobs


class _FlatTaskGroup:
    """Task group that raises the first typed error of its tasks by itself."""

    def __init__(self) -> None:
        self._group = anyio.create_task_group()

    async def __aenter__(self) -> TaskGroup:
        return await self._group.__aenter__()

    async def __aexit__(self, *details: object) -> None:
        try:
            await self._group.__aexit__(*details)  # type: ignore[arg-type]
        except ExceptionGroup as group:
            typed = group.subgroup(FoxtailwellError)
            if typed is None:
                raise
            raise typed.exceptions[0] from None


async def run_zone(executor: ZoneExecutor) -> None:
    """Execute decisions and watch over the gangs until the zone is lost or stopped."""
    async with anyio.create_task_group() as group:
        executor.group = group
        group.start_soon(_cancel_when_lost, executor, group)
        for active in executor.active_gangs.values():
            _watch_workers(executor, active)
        while not (executor.is_stopping and executor.is_idle):
            with anyio.move_on_after(_until_tick_s(executor)):
                _handle(executor, await executor.receive.receive())
                _handle_waiting(executor)
            # A tick costs time for every gang, so a busy stream of messages must not cause more.
            if _until_tick_s(executor) <= 0:
                executor.ticked_s = time.monotonic()
                _tick(executor)
        group.cancel_scope.cancel()


async def _cancel_when_lost(executor: ZoneExecutor, group: TaskGroup) -> None:
    await executor.lost.wait()
    group.cancel_scope.cancel()


def _handle_waiting(executor: ZoneExecutor) -> None:
    while True:
        try:
            message = executor.receive.receive_nowait()
        except anyio.WouldBlock:
            return
        _handle(executor, message)


def _until_tick_s(executor: ZoneExecutor) -> float:
    is_steady = all(a.run.phase is GangPhase.RUNNING for a in executor.active_gangs.values())
    interval_s = STEADY_TICK_S if is_steady and not executor.is_stopping else ACTIVE_TICK_S
    return executor.ticked_s + interval_s - time.monotonic()


def _handle(executor: ZoneExecutor, message: _Message) -> None:
    if isinstance(message, _Decisions):
        _execute(executor, message.decisions)
    elif isinstance(message, _Begun):
        _begin(executor, message)
    elif isinstance(message, _Replied):
        _take_reply(executor, message)
    else:
        active = executor.active_gangs.get(message.job_id)
        if active is not None and active.run.attempt == message.attempt:
            _advance(executor, active, message.result)


def _execute(executor: ZoneExecutor, decisions: tuple[Decision, ...]) -> None:
    starts = []
    for decision in decisions:
        if isinstance(decision, StartGang) and _may_begin(executor, decision):
            starts.append(decision)
        elif isinstance(decision, StopGang):
            active = executor.active_gangs.get(decision.job_id)
            if active is not None:
                event = StopRequested(decision.reason, decision.checkpoint_wait_s)
                _advance(executor, active, event)
        elif isinstance(decision, QuarantineWorker):
            _spawn(executor, _quarantine, executor, decision.worker, decision.until_unix_ms)
    for start in starts:
        job = executor.state.find_job(start.job_id)
        if job is not None and not _overlaps(executor, start.members):
            gang = Gang(job.id, job.attempt + 1, job.account, start.members, now_unix_ms())
            executor.starting[job.id] = gang
            _spawn(executor, _start_gang, executor, gang)


def _may_begin(executor: ZoneExecutor, start: StartGang) -> bool:
    job_id = start.job_id
    if executor.is_stopping or job_id in executor.active_gangs or job_id in executor.starting:
        return False
    backoff = executor.backoffs.get(job_id)
    if backoff is not None and time.monotonic() < backoff.until_s:
        return False
    return executor.state.start_permission(executor.zone).allows_start


def _overlaps(executor: ZoneExecutor, members: tuple[Member, ...]) -> bool:
    taken = {
        (member.worker, index)
        for gang in executor.gangs().values()
        for member in gang.members
        for index in member.accelerators
    }
    return any((m.worker, index) in taken for m in members for index in m.accelerators)


def _spawn(executor: ZoneExecutor, function: Callable[..., Awaitable[None]], *args: object) -> None:
    async def run() -> None:
        executor.writing += 1
        try:
            await function(*args)
        except StaleTermError as error:
            executor.abandon(error)
        finally:
            executor.writing -= 1

    assert executor.group is not None
    executor.group.start_soon(run)


async def _start_gang(executor: ZoneExecutor, gang: Gang) -> None:
    """Carry out steps 1 and 2 of a start: assign the job, then take its accelerators."""
    state, job_id = executor.state, gang.job_id
    try:
        begin = assign_job(
            job_id,
            gang.attempt,
            executor.zone,
            executor.term,
            now_unix_ms(),
            executor.is_lease_valid,
        )
        job = await state.job_documents.apply(shard_key(job_id), begin)
    except FoxtailwellError as error:
        # The job was cancelled or assigned to another zone. Where the outcome of the write is not
        # known, the comparison of documents and runs returns the job to the queue.
        _forget_start(executor, gang, error)
        return
    assert job is not None
    try:
        await state.allocation_documents.apply(
            allocation_key(executor.zone), allocate_gang(gang, executor.term)
        )
    except StaleTermError:
        raise
    except FoxtailwellError as error:
        end = EndAttempt(JobState.WAITING, f"accelerators not taken: {error.message}")
        await _write_end(executor, gang, end)
        _forget_start(executor, gang, error)
        return
    executor.send.send_nowait(_Begun(job, gang))


def _forget_start(executor: ZoneExecutor, gang: Gang, error: FoxtailwellError) -> None:
    log_event(START_REFUSED, job=gang.job_id, attempt=gang.attempt, error=str(error))
    executor.starting.pop(gang.job_id, None)
    _delay_start(executor, gang.job_id)


def _delay_start(executor: ZoneExecutor, job_id: str) -> None:
    """Delay the next start of a job, so that a start that cannot succeed does not use up writes."""
    previous = executor.backoffs.get(job_id)
    failures = previous.failures + 1 if previous else 1
    delay_s = min(LONGEST_START_BACKOFF_S, 0.1 * 2 ** min(failures, 10))
    until_s = time.monotonic() + random.uniform(delay_s / 2, delay_s)
    executor.backoffs[job_id] = _Backoff(failures, until_s)


def _begin(executor: ZoneExecutor, message: _Begun) -> None:
    job, gang = message.job, message.gang
    step = begin_gang(job, gang, time.monotonic())
    active = _Active(job, gang, step.run)
    executor.active_gangs[job.id] = active
    executor.starting.pop(job.id, None)
    log_event(GANG_STARTING, job=job.id, attempt=gang.attempt, zone=executor.zone)
    _watch_workers(executor, active)
    _apply(executor, active, step)


def _watch_workers(executor: ZoneExecutor, active: _Active) -> None:
    assert executor.group is not None
    for member in active.gang.members:
        link = executor.links.get(member.worker)
        if link is None:
            record = executor.state.view.instances.get(member.worker)
            link = WorkerLink(member.worker, record.address if record else "")
            executor.links[member.worker] = link
            executor.group.start_soon(
                run_link,
                link,
                executor.state.worker_calls,
                executor.zone,
                executor.term,
                lambda worker, reply: executor.send.send_nowait(_Replied(worker, reply)),
                executor.abandon,
            )
        link.newest_gang_s = time.monotonic()
        if active.run.phase is not GangPhase.STOPPING:
            link.renewed_jobs.add(active.job.id)


def _advance(executor: ZoneExecutor, active: _Active, event: GangEvent) -> None:
    _apply(executor, active, advance(active.run, event, executor.start_permission()))


def _apply(executor: ZoneExecutor, active: _Active, step: GangStep) -> None:
    before, active.run = active.run, step.run
    if step.run.phase is GangPhase.STOPPING and before.phase is not GangPhase.STOPPING:
        log_event(
            GANG_STOPPING,
            job=step.run.job_id,
            attempt=step.run.attempt,
            reason=step.run.stop_reason,
        )
    if step.run.phase in (GangPhase.STOPPING, GangPhase.ENDED):
        _stop_renewals(executor, active)
    for command in step.commands:
        link = executor.links.get(active.gang.members[command.member].worker)
        if link is not None:
            link.send(_worker_command(active, command))
    for effect in step.effects:
        _spawn(executor, _carry_out, executor, active, effect)


def _stop_renewals(executor: ZoneExecutor, active: _Active) -> None:
    for member in active.gang.members:
        link = executor.links.get(member.worker)
        if link is not None:
            link.renewed_jobs.discard(active.job.id)


def _worker_command(active: _Active, command: MemberCommand) -> WorkerCommand:
    is_prepare = command.operation is Operation.PREPARE
    return WorkerCommand(
        command.operation,
        active.job.id,
        active.gang.attempt,
        command.member,
        active.gang.members[command.member].accelerators,
        TASK_LEASE_S if is_prepare else 0.0,
        PREPARATION_LIMIT_S if is_prepare else 0.0,
        command.checkpoint,
        active.job.payload if is_prepare else "",
    )


def _take_reply(executor: ZoneExecutor, message: _Replied) -> None:
    reports = {(t.job_id, t.attempt, t.member): t for t in message.reply.tasks}
    for refusal in message.reply.refused:
        active = executor.active_gangs.get(refusal.job_id)
        if active is not None and active.run.attempt == refusal.attempt:
            _advance(executor, active, CommandRefused(refusal.member, refusal.op, refusal.reason))
    for active in list(executor.active_gangs.values()):
        indexes = active.members_by_worker.get(message.worker)
        if indexes:
            # One event for a worker's tasks: a step costs time for every member of the gang.
            seen = tuple(_seen(active, index, reports) for index in indexes)
            _advance(executor, active, TasksReported(seen))


def _seen(
    active: _Active, index: int, reports: Mapping[tuple[str, int, int], TaskReport]
) -> TaskReported:
    report = reports.get((active.job.id, active.gang.attempt, index))
    if report is None:
        return TaskReported(index, TaskState.ABSENT)
    return TaskReported(index, report.state, report.has_run, report.checkpoint, report.detail)


async def _carry_out(executor: ZoneExecutor, active: _Active, effect: Effect) -> None:
    if isinstance(effect, CommitRun):
        await _commit_run(executor, active)
    elif isinstance(effect, RecordJobState):
        await _mark(executor, active, effect)
    else:
        await _end(executor, active, effect)


async def _commit_run(executor: ZoneExecutor, active: _Active) -> None:
    job_id, attempt = active.job.id, active.gang.attempt
    commit = commit_run(job_id, attempt, executor.zone, executor.term, now_unix_ms())
    try:
        await executor.state.job_documents.apply(shard_key(job_id), commit)
        result = RunCommitted(True)
    except StaleTermError:
        raise
    except FoxtailwellError as error:
        result = RunCommitted(False, error.message)
    executor.send.send_nowait(_Committed(job_id, attempt, result))


async def _mark(executor: ZoneExecutor, active: _Active, mark: RecordJobState) -> None:
    job_id = active.job.id
    mutation = record_job_state(
        job_id,
        active.gang.attempt,
        executor.zone,
        executor.term,
        mark.state,
        now_unix_ms(),
        mark.reason,
    )
    try:
        await executor.state.job_documents.apply(shard_key(job_id), mutation)
    except (StoreUnavailableError, StoreOverloadedError, UnavailableError):
        # The mark only informs; the end of the attempt is written until it succeeds.
        return


async def _end(executor: ZoneExecutor, active: _Active, end: EndAttempt) -> None:
    gang = active.gang
    await _write_end(executor, gang, end)
    # The job is written first: a gang without its job is released by whoever finds it, but a job
    # whose outcome was lost would run again.
    await _until_stored(
        lambda: executor.state.allocation_documents.apply(
            allocation_key(executor.zone), release_gang(gang.job_id, gang.attempt, executor.term)
        )
    )
    log_event(GANG_ENDED, job=gang.job_id, attempt=gang.attempt, state=end.state, reason=end.reason)
    _note_end(executor, active, end)
    del executor.active_gangs[gang.job_id]
    _close_idle_links(executor)
    executor.state.notify()


async def _write_end(executor: ZoneExecutor, gang: Gang, end: EndAttempt) -> None:
    mutation = end_attempt(
        gang.job_id, gang.attempt, executor.zone, executor.term, end, now_unix_ms()
    )
    await _until_stored(
        lambda: executor.state.job_documents.apply(shard_key(gang.job_id), mutation)
    )


async def _until_stored(write: Callable[[], Awaitable[T]]) -> T:
    delay_s = 0.1
    while True:
        try:
            return await write()
        except (StoreUnavailableError, StoreOverloadedError, UnavailableError):
            await anyio.sleep(random.uniform(delay_s / 2, delay_s))
            delay_s = min(2.0, delay_s * 2)


def _note_end(executor: ZoneExecutor, active: _Active, end: EndAttempt) -> None:
    """Learn which workers complete and fail tasks, and delay a job whose start failed."""
    for member in active.run.members:
        if member.task is TaskState.DONE:
            executor.state.worker_health.record_success(member.worker)
            _lift_quarantine(executor, member.worker)
        elif member.task is TaskState.FAILED:
            executor.state.worker_health.record_failure(member.worker, active.job.id, now_unix_ms())
    if end.state is JobState.WAITING and not any(m.may_have_run for m in active.run.members):
        _delay_start(executor, active.job.id)
        _count_refusals(executor, active.run.responsible_workers)
        return
    executor.backoffs.pop(active.job.id, None)
    for member in active.run.members:
        executor.refusals.pop(member.worker, None)


def _count_refusals(executor: ZoneExecutor, workers: tuple[str, ...]) -> None:
    """Quarantine workers that keep gangs from starting, which no failed task would show."""
    for worker in workers:
        executor.refusals[worker] = executor.refusals.get(worker, 0) + 1
        if executor.refusals[worker] >= REFUSALS_TO_QUARANTINE:
            del executor.refusals[worker]
            until_unix_ms = now_unix_ms() + QUARANTINE_MS
            _spawn(executor, _quarantine, executor, worker, until_unix_ms)


def _lift_quarantine(executor: ZoneExecutor, worker: str) -> None:
    allocation = executor.state.allocations.get(executor.zone)
    if allocation is not None and worker in allocation.quarantined:
        _spawn(executor, _write_lift, executor, worker)


async def _write_lift(executor: ZoneExecutor, worker: str) -> None:
    mutation = lift_worker_quarantine(worker, executor.term)
    try:
        await executor.state.allocation_documents.apply(allocation_key(executor.zone), mutation)
    except (StoreUnavailableError, StoreOverloadedError, UnavailableError):
        return
    log_event(WORKER_RETURNED, worker=worker, zone=executor.zone)


def _lift_unprobed(executor: ZoneExecutor) -> None:
    allocation = executor.state.allocations.get(executor.zone)
    for worker, until_unix_ms in (allocation.quarantined if allocation else {}).items():
        if now_unix_ms() - until_unix_ms > UNPROBED_MS:
            _spawn(executor, _write_lift, executor, worker)


async def _quarantine(executor: ZoneExecutor, worker: str, until_unix_ms: int) -> None:
    mutation = quarantine_worker(worker, until_unix_ms, executor.term)
    try:
        await executor.state.allocation_documents.apply(allocation_key(executor.zone), mutation)
    except (StoreUnavailableError, StoreOverloadedError, UnavailableError):
        return
    log_event(WORKER_QUARANTINED, worker=worker, zone=executor.zone, until_unix_ms=until_unix_ms)


def _close_idle_links(executor: ZoneExecutor) -> None:
    used = {m.worker for a in executor.active_gangs.values() for m in a.gang.members}
    for worker in [w for w in executor.links if w not in used]:
        executor.links.pop(worker).close()


def _tick(executor: ZoneExecutor) -> None:
    now_s = executor.start_permission().now_s
    for active in list(executor.active_gangs.values()):
        job = executor.state.find_job(active.job.id)
        is_cancelled = job is not None and job.cancel_requested
        if is_cancelled and active.run.requested_stop != "cancel":
            _advance(executor, active, StopRequested("cancel", 0.0))
        _advance(executor, active, TimePassed())
    if now_s - executor.reconciled_s >= RECONCILE_INTERVAL_S:
        executor.reconciled_s = now_s
        _refresh_addresses(executor)
        _note_removed_workers(executor)
        _lift_unprobed(executor)
        _reconcile(executor, now_s)


def _refresh_addresses(executor: ZoneExecutor) -> None:
    for link in executor.links.values():
        record = executor.state.view.instances.get(link.worker)
        if record is not None:
            link.address = record.address


def _note_removed_workers(executor: ZoneExecutor) -> None:
    listed = executor.state.view.instances
    if not listed:
        # Without a list nothing is known of removals.
        return
    for active in list(executor.active_gangs.values()):
        gone = {m.worker for m in active.run.members if not m.is_fenced} - set(listed)
        if gone:
            _advance(executor, active, WorkersRemoved(frozenset(gone)))


def _reconcile(executor: ZoneExecutor, now_s: float) -> None:
    """Clean up jobs and gangs of the zone that no run belongs to.

    They remain when the response to a write of a start was lost, or when the previous scheduler
    was killed between two writes.
    """
    known = set(executor.active_gangs) | set(executor.starting)
    jobs = {j.id: j for j in executor.state.jobs() if j.zone == executor.zone}
    found = {i for i, j in jobs.items() if i not in known and not j.state.is_final}
    allocation = executor.state.allocations.get(executor.zone)
    gangs = allocation.gangs if allocation and allocation.term == executor.term else {}
    found |= {job_id for job_id in gangs if job_id not in known}
    executor.orphans = {i: executor.orphans.get(i, now_s) for i in found}
    for job_id, since_s in list(executor.orphans.items()):
        if now_s - since_s >= ORPHAN_AFTER_S:
            del executor.orphans[job_id]
            _spawn(executor, _clean_up, executor, job_id, gangs.get(job_id))


async def _clean_up(executor: ZoneExecutor, job_id: str, gang: Gang | None) -> None:
    state = executor.state
    job = await _until_stored(
        lambda: state.job_documents.apply(
            shard_key(job_id), adopt_job(job_id, executor.zone, executor.term)
        )
    )
    if job_id in executor.active_gangs or job_id in executor.starting:
        return
    if job is not None and job.zone == executor.zone and not job.state.is_final:
        orphan = Gang(job.id, job.attempt, job.account, ())
        await _write_end(executor, orphan, _orphan_end(job))
    if gang is not None:
        await _until_stored(
            lambda: state.allocation_documents.apply(
                allocation_key(executor.zone),
                release_gang(job_id, gang.attempt, executor.term),
            )
        )


def _orphan_end(job: Job) -> EndAttempt:
    """Return the outcome of an attempt that was never prepared, or whose gang is unknown."""
    if job.state is JobState.PREPARING or job.idempotent or job.checkpoint:
        return EndAttempt(JobState.WAITING, "start was interrupted")
    return EndAttempt(JobState.FAILED, "outcome_unknown: no record of the gang")
