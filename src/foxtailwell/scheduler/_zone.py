"""Executor of one availability zone: starts, monitors and stops the gangs of the zone.

The executor feeds decisions of the planner, replies of workers and ticks of the clock into the
state machine of each gang, sends the resulting commands to the workers and performs the writes.
Only the holder of the zone's lease runs one, and its fencing token guards every write.
"""

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
from foxtailwell.adapters.workers import TaskReport, WorkerCommand
from foxtailwell.core import (
    PREPARATION_LIMIT_S,
    PROBATION_S,
    TASK_LEASE_S,
    CommandRefused,
    CommitRun,
    CrashedRun,
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
    MemberRun,
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
    WorkerFailure,
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
from foxtailwell.scheduler._crashes import CrashReports
from foxtailwell.scheduler._links import WorkerLink, WorkerReplied, run_link
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

PAUSE_THRESHOLD_S = 2.0
"""Time between two readings of the clock above which the process counts as having been paused."""

ORPHAN_AGE_S = 3.0
"""Age after which a job or gang in the documents without an active gang here is cleaned up. It is
longer than the delay of a watch, so that a start in progress is not mistaken for an orphan."""

QUARANTINE_MS = 60_000
"""Duration of a quarantine for repeated failed starts."""

PROBE_TIMEOUT_MS = 300_000
"""Time after the end of a quarantine at which it is lifted without a successful probe. There may be
nothing to probe with, for example when only gangs of several members wait."""

START_FAILURES_TO_QUARANTINE = 3
MAX_START_BACKOFF_S = 5.0

_STARTING_PHASES = (
    GangPhase.PREPARING,
    GangPhase.STARTING,
    GangPhase.COMMITTING,
    GangPhase.OPENING,
)


@dataclass(slots=True)
class _ActiveGang:
    """A gang that this executor runs, with its job and the state of its current attempt.

    Attributes:
        job: Job as it was when the executor took on the gang.
        gang: Workers and accelerators of the gang.
        run: State of the attempt.
        crash_weight: Evidence of this attempt that the job crashes its workers.
        members_by_worker: Indexes of the gang's members by worker.
    """

    job: Job
    gang: Gang
    run: GangRun
    crash_weight: int = 0
    members_by_worker: dict[str, list[int]] = field(init=False)

    def __post_init__(self) -> None:
        self.members_by_worker = {}
        for index, member in enumerate(self.gang.members):
            self.members_by_worker.setdefault(member.worker, []).append(index)

    @property
    def is_on_probation(self) -> bool:
        """Whether the job may have crashed workers and has not outlasted its present start.

        Members that have ended crash no worker any more.
        """
        return self.job.crash_weight > 0 and any(
            member.lasted_s < PROBATION_S and not member.has_ended for member in self.run.members
        )


@dataclass(frozen=True, slots=True)
class _DecisionsMade:
    """Message: the planner made new decisions."""

    decisions: tuple[Decision, ...]


@dataclass(frozen=True, slots=True)
class _GangAllocated:
    """Message: the documents of a start are written, so the workers can be called."""

    job: Job
    gang: Gang


@dataclass(frozen=True, slots=True)
class _CommitFinished:
    """Message: the write that records a job as running succeeded or failed."""

    job_id: str
    attempt: int
    result: RunCommitted


_Message = _DecisionsMade | _GangAllocated | WorkerReplied | _CommitFinished


@dataclass(slots=True)
class _Backoff:
    """Delay before the next start of a job whose starts failed.

    Attributes:
        failures: Number of consecutive failed starts.
        until_s: Time on the monotonic clock before which the job is not started.
    """

    failures: int
    until_s: float


@dataclass(slots=True)
class ZoneExecutor:
    """State of a zone whose lease this scheduler holds.

    Times are readings of the local monotonic clock.

    Attributes:
        state: State that the tasks of the scheduler share.
        zone: Name of the zone.
        term: Fencing token of this holder.
        send: Sending end of the executor's message queue.
        receive: Receiving end of the executor's message queue.
        is_lease_valid: Returns whether the lease has certainly not expired.
        active_gangs: Gangs that this executor prepares, runs or stops, by job.
        starting: Gangs whose documents are being written, by job.
        pending_writes: Number of running tasks that write documents.
        links: Connections to the workers of active gangs, by worker.
        lost: Set when another scheduler holds the zone.
        is_stopping: Whether the zone is being released and no further gang is started.
        backoffs: Delays of jobs whose starts failed, by job.
        start_failures: Consecutive failed starts by worker.
        orphaned_since_s: When a stored job or gang without an active gang was first seen, by job.
        group: Task group of the executor's tasks; None until `run_zone` opens it.
        last_clock_read_s: Newest reading of the clock, from which pauses are detected.
        observing_since_s: End of the newest process pause, or the first reading of the clock.
        last_reconcile_s: Newest comparison of the documents with the active gangs.
        last_tick_s: Newest check of the time limits of all gangs.
        crashes: Crashes of workers, until the jobs to blame are known.
    """

    state: SchedulerState
    zone: str
    term: int
    send: MemoryObjectSendStream[_Message]
    receive: MemoryObjectReceiveStream[_Message]
    is_lease_valid: Callable[[], bool]
    active_gangs: dict[str, _ActiveGang] = field(default_factory=dict)
    starting: dict[str, Gang] = field(default_factory=dict)
    pending_writes: int = 0
    links: dict[str, WorkerLink] = field(default_factory=dict)
    lost: anyio.Event = field(default_factory=anyio.Event)
    is_stopping: bool = False
    backoffs: dict[str, _Backoff] = field(default_factory=dict)
    start_failures: dict[str, int] = field(default_factory=dict)
    orphaned_since_s: dict[str, float] = field(default_factory=dict)
    group: TaskGroup | None = None
    last_clock_read_s: float = 0.0
    observing_since_s: float = 0.0
    last_reconcile_s: float = 0.0
    last_tick_s: float = 0.0
    crashes: CrashReports = field(init=False)

    def __post_init__(self) -> None:
        self.crashes = CrashReports(self.zone, self.links, lambda worker: _runs_on(self, worker))

    def submit(self, decisions: Iterable[Decision]) -> None:
        """Queue decisions of the planner; an empty sequence only wakes the executor."""
        self.send.send_nowait(_DecisionsMade(tuple(decisions)))

    def abandon(self, error: FoxtailwellError) -> None:
        """Stop the executor without sending further commands, because another scheduler took over.

        Only the first call logs the error.
        """
        if not self.lost.is_set():
            log_event(ZONE_LOST, zone=self.zone, term=self.term, error=str(error))
            self.lost.set()

    def gangs(self) -> dict[str, Gang]:
        """Return all gangs by job that have accelerators allocated or are being allocated."""
        active = {job_id: active.gang for job_id, active in self.active_gangs.items()}
        return {**active, **self.starting}

    def start_permission(self) -> StartPermission:
        """Return the current permission to start tasks, with the end of the newest process pause.

        Each call reads the clock, and a long gap between two readings counts as a pause.
        """
        permission = self.state.start_permission(self.zone)
        if permission.now_s - self.last_clock_read_s > PAUSE_THRESHOLD_S:
            self.observing_since_s = permission.now_s
        self.last_clock_read_s = permission.now_s
        return replace(permission, observing_since_s=self.observing_since_s)

    @property
    def is_idle(self) -> bool:
        """Whether no gang is starting and no document write is in progress."""
        is_start_pending = any(a.run.phase in _STARTING_PHASES for a in self.active_gangs.values())
        return not (self.starting or self.pending_writes or is_start_pending)


async def take_over_zone(
    state: SchedulerState, zone: str, is_lease_valid: Callable[[], bool]
) -> ZoneExecutor:
    """Raise the fencing token of a zone and adopt the gangs of its previous holder.

    Args:
        state: State that the tasks of the scheduler share.
        zone: Zone whose lease was acquired.
        is_lease_valid: Returns whether the lease has certainly not expired.

    Returns:
        An executor for `run_zone` that continues the adopted gangs.

    Raises:
        FoxtailwellError: The lease expired, or the documents could not be read or written.
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
        if job is not None and _is_current_gang(job, gang, zone):
            executor.active_gangs[job_id] = _ActiveGang(job, gang, resume_gang(job, gang, now_s))
            log_event(GANG_RESUMED, job=job_id, attempt=gang.attempt, zone=zone)
    return executor


def _is_current_gang(job: Job, gang: Gang, zone: str) -> bool:
    return job.zone == zone and job.attempt == gang.attempt and not job.state.is_final


async def _adopt_jobs(executor: ZoneExecutor, allocation: ZoneAllocation) -> dict[str, Job | None]:
    state = executor.state
    watched = {job.id for job in state.jobs() if job.zone == executor.zone}
    jobs: dict[str, Job | None] = {}

    async def adopt(job_id: str) -> None:
        jobs[job_id] = await state.job_documents.apply(
            shard_key(job_id), adopt_job(job_id, executor.zone, executor.term)
        )

    async with _UnwrappingTaskGroup() as group:
        for job_id in watched | set(allocation.gangs):
            group.start_soon(adopt, job_id)
    return jobs


class _UnwrappingTaskGroup:
    """Task group that raises the first `FoxtailwellError` of its tasks, not an `ExceptionGroup`."""

    def __init__(self) -> None:
        self._group = anyio.create_task_group()

    async def __aenter__(self) -> TaskGroup:
        return await self._group.__aenter__()

    async def __aexit__(self, *details: object) -> None:
        try:
            await self._group.__aexit__(*details)  # type: ignore[arg-type]
        except ExceptionGroup as group:
            matching = group.subgroup(FoxtailwellError)
            if matching is None:
                raise
            raise matching.exceptions[0] from None


async def run_zone(executor: ZoneExecutor) -> None:
    """Execute decisions and monitor the gangs until the zone is lost or the stop has drained."""
    async with anyio.create_task_group() as group:
        executor.group = group
        group.start_soon(_cancel_when_lost, executor, group)
        for active in executor.active_gangs.values():
            _watch_workers(executor, active)
        while not (executor.is_stopping and executor.is_idle):
            with anyio.move_on_after(_time_to_tick_s(executor)):
                _handle(executor, await executor.receive.receive())
                _handle_queued(executor)
            _judge_crashes(executor)
            # A tick visits every gang, so frequent messages must not cause additional ticks.
            if _time_to_tick_s(executor) <= 0:
                executor.last_tick_s = time.monotonic()
                _tick(executor)
        group.cancel_scope.cancel()


async def _cancel_when_lost(executor: ZoneExecutor, group: TaskGroup) -> None:
    await executor.lost.wait()
    group.cancel_scope.cancel()


def _handle_queued(executor: ZoneExecutor) -> None:
    while True:
        try:
            message = executor.receive.receive_nowait()
        except anyio.WouldBlock:
            return
        _handle(executor, message)


def _time_to_tick_s(executor: ZoneExecutor) -> float:
    is_steady = all(a.run.phase is GangPhase.RUNNING for a in executor.active_gangs.values())
    interval_s = STEADY_TICK_S if is_steady and not executor.is_stopping else ACTIVE_TICK_S
    return executor.last_tick_s + interval_s - time.monotonic()


def _handle(executor: ZoneExecutor, message: _Message) -> None:
    if isinstance(message, _DecisionsMade):
        _execute(executor, message.decisions)
    elif isinstance(message, _GangAllocated):
        _begin_gang(executor, message)
    elif isinstance(message, WorkerReplied):
        _handle_reply(executor, message)
    else:
        active = executor.active_gangs.get(message.job_id)
        if active is not None and active.run.attempt == message.attempt:
            _advance(executor, active, message.result)


def _execute(executor: ZoneExecutor, decisions: tuple[Decision, ...]) -> None:
    starts = []
    for decision in decisions:
        if isinstance(decision, StartGang) and _may_start(executor, decision):
            starts.append(decision)
        elif isinstance(decision, StopGang):
            active = executor.active_gangs.get(decision.job_id)
            if active is not None:
                event = StopRequested(decision.reason, decision.checkpoint_wait_s)
                _advance(executor, active, event)
        elif isinstance(decision, QuarantineWorker):
            _start_write(executor, _quarantine, executor, decision.worker, decision.until_unix_ms)
    for start in starts:
        job = executor.state.find_job(start.job_id)
        if job is None or _is_beside_suspect(executor, start.members):
            continue
        if not _has_overlap(executor, start.members):
            gang = Gang(job.id, job.attempt + 1, job.account, start.members, now_unix_ms())
            executor.starting[job.id] = gang
            _start_write(executor, _allocate_gang, executor, gang)


def _may_start(executor: ZoneExecutor, start: StartGang) -> bool:
    job_id = start.job_id
    if executor.is_stopping or job_id in executor.active_gangs or job_id in executor.starting:
        return False
    backoff = executor.backoffs.get(job_id)
    if backoff is not None and time.monotonic() < backoff.until_s:
        return False
    return executor.state.start_permission(executor.zone).allows_start


def _is_beside_suspect(executor: ZoneExecutor, members: tuple[Member, ...]) -> bool:
    """Whether a worker of a start has a suspect on probation, whose next crash would hit it too."""
    gangs = [active.gang for active in executor.active_gangs.values() if active.is_on_probation]
    for job_id, gang in executor.starting.items():
        job = executor.state.find_job(job_id)
        if job is not None and job.crash_weight:
            gangs.append(gang)
    occupied = {member.worker for gang in gangs for member in gang.members}
    return any(member.worker in occupied for member in members)


def _has_overlap(executor: ZoneExecutor, members: tuple[Member, ...]) -> bool:
    allocated = {
        (member.worker, index)
        for gang in executor.gangs().values()
        for member in gang.members
        for index in member.accelerators
    }
    return any((m.worker, index) in allocated for m in members for index in m.accelerators)


def _start_write(
    executor: ZoneExecutor, function: Callable[..., Awaitable[None]], *args: object
) -> None:
    async def run() -> None:
        executor.pending_writes += 1
        try:
            await function(*args)
        except StaleTermError as error:
            executor.abandon(error)
        finally:
            executor.pending_writes -= 1

    assert executor.group is not None
    executor.group.start_soon(run)


async def _allocate_gang(executor: ZoneExecutor, gang: Gang) -> None:
    """Write the two documents of a start: assign the job, then allocate its accelerators."""
    state, job_id = executor.state, gang.job_id
    try:
        mutation = assign_job(
            job_id,
            gang.attempt,
            executor.zone,
            executor.term,
            now_unix_ms(),
            executor.is_lease_valid,
        )
        job = await state.job_documents.apply(shard_key(job_id), mutation)
    except FoxtailwellError as error:
        # The job was cancelled or assigned to another zone. If the write took effect although its
        # response was lost, `_reconcile` returns the job to the queue.
        _abandon_start(executor, gang, error)
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
        await _record_outcome(executor, gang, end)
        _abandon_start(executor, gang, error)
        return
    executor.send.send_nowait(_GangAllocated(job, gang))


def _abandon_start(executor: ZoneExecutor, gang: Gang, error: FoxtailwellError) -> None:
    log_event(START_REFUSED, job=gang.job_id, attempt=gang.attempt, error=str(error))
    executor.starting.pop(gang.job_id, None)
    _back_off_start(executor, gang.job_id)


def _back_off_start(executor: ZoneExecutor, job_id: str) -> None:
    """Delay the next start of a job, so that a start that keeps failing causes few store writes."""
    previous = executor.backoffs.get(job_id)
    failures = previous.failures + 1 if previous else 1
    delay_s = min(MAX_START_BACKOFF_S, 0.1 * 2 ** min(failures, 10))
    until_s = time.monotonic() + random.uniform(delay_s / 2, delay_s)
    executor.backoffs[job_id] = _Backoff(failures, until_s)


def _begin_gang(executor: ZoneExecutor, message: _GangAllocated) -> None:
    job, gang = message.job, message.gang
    step = begin_gang(job, gang, time.monotonic())
    active = _ActiveGang(job, gang, step.run)
    executor.active_gangs[job.id] = active
    executor.starting.pop(job.id, None)
    log_event(GANG_STARTING, job=job.id, attempt=gang.attempt, zone=executor.zone)
    _watch_workers(executor, active)
    _apply_step(executor, active, step)


def _watch_workers(executor: ZoneExecutor, active: _ActiveGang) -> None:
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
                executor.send.send_nowait,
                executor.abandon,
            )
        link.newest_gang_s = time.monotonic()
        if active.run.phase is not GangPhase.STOPPING:
            link.renewed_jobs.add(active.job.id)


def _advance(executor: ZoneExecutor, active: _ActiveGang, event: GangEvent) -> None:
    _apply_step(executor, active, advance(active.run, event, executor.start_permission()))


def _apply_step(executor: ZoneExecutor, active: _ActiveGang, step: GangStep) -> None:
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
        _start_write(executor, _perform_effect, executor, active, effect)


def _stop_renewals(executor: ZoneExecutor, active: _ActiveGang) -> None:
    for member in active.gang.members:
        link = executor.links.get(member.worker)
        if link is not None:
            link.renewed_jobs.discard(active.job.id)


def _worker_command(active: _ActiveGang, command: MemberCommand) -> WorkerCommand:
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


def _handle_reply(executor: ZoneExecutor, message: WorkerReplied) -> None:
    reports = {(t.job_id, t.attempt, t.member): t for t in message.reply.tasks}
    for refusal in message.reply.refused:
        active = executor.active_gangs.get(refusal.job_id)
        if active is not None and active.run.attempt == refusal.attempt:
            _advance(executor, active, CommandRefused(refusal.member, refusal.op, refusal.reason))
    reported = [
        (active, tuple(_reported_task(active, index, reports) for index in indexes))
        for active in executor.active_gangs.values()
        if (indexes := active.members_by_worker.get(message.worker))
    ]
    _report_restart(executor, message, reported)
    for active, tasks in reported:
        # One event for all tasks of the worker, because each step visits every gang member.
        _advance(executor, active, TasksReported(tasks))


def _report_restart(
    executor: ZoneExecutor,
    message: WorkerReplied,
    reported: Iterable[tuple[_ActiveGang, tuple[TaskReported, ...]]],
) -> None:
    """Record whether a worker has restarted since its last reply, and which runs it has lost."""
    now_s = time.monotonic()
    lost = [
        (active, active.run.members[task.member])
        for active, tasks in reported
        for task in tasks
        if _has_lost_task(active.run.members[task.member], task)
    ]
    link = executor.links.get(message.worker)
    if link is None:
        return
    if lost:
        runs = tuple(_crashed_run(active, member) for active, member in lost if member.may_have_run)
        failed_s = now_s if message.silent_s is None else message.silent_s
        failure = WorkerFailure(message.worker, link.alive_s, failed_s, runs)
        executor.crashes.report(failure, now_s)
    link.alive_s = link.called_s = message.sent_s


def _has_lost_task(member: MemberRun, task: TaskReported) -> bool:
    """Whether a worker no longer knows a task that it has reported, or that may have run there.

    A restarted worker that gets a `stop` reports a task that has not run.
    """
    if member.has_ended:
        return False
    if task.state is TaskState.ABSENT:
        return member.may_have_run or member.task is not None
    return member.running_since_s is not None and not task.has_run


def _crashed_run(active: _ActiveGang, member: MemberRun) -> CrashedRun:
    is_suspect = active.job.crash_weight > 0
    return CrashedRun(active.job.id, member.lasted_s, member.is_fenced, is_suspect)


def _runs_on(executor: ZoneExecutor, worker: str) -> tuple[CrashedRun, ...]:
    return tuple(
        _crashed_run(active, member)
        for active in executor.active_gangs.values()
        for member in active.run.members
        if member.worker == worker and member.may_have_run and not member.has_ended
    )


def _judge_crashes(executor: ZoneExecutor) -> None:
    for weights in executor.crashes.judge():
        for job_id, weight in weights.items():
            active = executor.active_gangs[job_id]
            # One event counts once for a job, on however many of its workers it is noticed.
            active.crash_weight = max(active.crash_weight, weight)


def _reported_task(
    active: _ActiveGang, index: int, reports: Mapping[tuple[str, int, int], TaskReport]
) -> TaskReported:
    report = reports.get((active.job.id, active.gang.attempt, index))
    if report is None:
        return TaskReported(index, TaskState.ABSENT)
    return TaskReported(index, report.state, report.has_run, report.checkpoint, report.detail)


async def _perform_effect(executor: ZoneExecutor, active: _ActiveGang, effect: Effect) -> None:
    if isinstance(effect, CommitRun):
        await _commit_run(executor, active)
    elif isinstance(effect, RecordJobState):
        await _record_state(executor, active, effect)
    else:
        await _end_attempt(executor, active, effect)


async def _commit_run(executor: ZoneExecutor, active: _ActiveGang) -> None:
    job_id, attempt = active.job.id, active.gang.attempt
    commit = commit_run(job_id, attempt, executor.zone, executor.term, now_unix_ms())
    try:
        await executor.state.job_documents.apply(shard_key(job_id), commit)
        result = RunCommitted(True)
    except StaleTermError:
        raise
    except FoxtailwellError as error:
        result = RunCommitted(False, error.message)
    executor.send.send_nowait(_CommitFinished(job_id, attempt, result))


async def _record_state(
    executor: ZoneExecutor, active: _ActiveGang, effect: RecordJobState
) -> None:
    job_id = active.job.id
    mutation = record_job_state(
        job_id,
        active.gang.attempt,
        executor.zone,
        executor.term,
        effect.state,
        now_unix_ms(),
        effect.reason,
    )
    try:
        await executor.state.job_documents.apply(shard_key(job_id), mutation)
    except (StoreUnavailableError, StoreOverloadedError, UnavailableError):
        # This state is only shown to readers. Unlike the outcome of an attempt, it is not retried.
        return


async def _end_attempt(executor: ZoneExecutor, active: _ActiveGang, end: EndAttempt) -> None:
    gang = active.gang
    await executor.crashes.wait_until_judged(gang.job_id)
    await _record_outcome(executor, gang, replace(end, crash_weight=active.crash_weight))
    # The job is written first. After an interruption, `_reconcile` can release a gang whose job has
    # ended, but a job whose outcome is lost would run again.
    await _retry_until_stored(
        lambda: executor.state.allocation_documents.apply(
            allocation_key(executor.zone), release_gang(gang.job_id, gang.attempt, executor.term)
        )
    )
    log_event(GANG_ENDED, job=gang.job_id, attempt=gang.attempt, state=end.state, reason=end.reason)
    _update_health_and_backoff(executor, active, end)
    del executor.active_gangs[gang.job_id]
    _close_idle_links(executor)
    executor.state.notify()


async def _record_outcome(executor: ZoneExecutor, gang: Gang, end: EndAttempt) -> None:
    mutation = end_attempt(
        gang.job_id, gang.attempt, executor.zone, executor.term, end, now_unix_ms()
    )
    await _retry_until_stored(
        lambda: executor.state.job_documents.apply(shard_key(gang.job_id), mutation)
    )


async def _retry_until_stored(write: Callable[[], Awaitable[T]]) -> T:
    delay_s = 0.1
    while True:
        try:
            return await write()
        except (StoreUnavailableError, StoreOverloadedError, UnavailableError):
            await anyio.sleep(random.uniform(delay_s / 2, delay_s))
            delay_s = min(2.0, delay_s * 2)


def _update_health_and_backoff(
    executor: ZoneExecutor, active: _ActiveGang, end: EndAttempt
) -> None:
    """Record successes and failures of the workers, and delay a job whose start failed."""
    for member in active.run.members:
        if member.task is TaskState.DONE:
            executor.state.worker_health.record_success(member.worker)
            _lift_quarantine_if_set(executor, member.worker)
        elif member.task is TaskState.FAILED:
            executor.state.worker_health.record_failure(member.worker, active.job.id, now_unix_ms())
    if end.state is JobState.WAITING and not any(m.may_have_run for m in active.run.members):
        _back_off_start(executor, active.job.id)
        _count_start_failures(executor, active.run.responsible_workers)
        return
    executor.backoffs.pop(active.job.id, None)
    for member in active.run.members:
        executor.start_failures.pop(member.worker, None)


def _count_start_failures(executor: ZoneExecutor, workers: tuple[str, ...]) -> None:
    """Quarantine workers that repeatedly prevent starts; the planner only notices failed tasks."""
    for worker in workers:
        executor.start_failures[worker] = executor.start_failures.get(worker, 0) + 1
        if executor.start_failures[worker] >= START_FAILURES_TO_QUARANTINE:
            del executor.start_failures[worker]
            until_unix_ms = now_unix_ms() + QUARANTINE_MS
            _start_write(executor, _quarantine, executor, worker, until_unix_ms)


def _lift_quarantine_if_set(executor: ZoneExecutor, worker: str) -> None:
    allocation = executor.state.allocations.get(executor.zone)
    if allocation is not None and worker in allocation.quarantined:
        _start_write(executor, _lift_quarantine, executor, worker)


async def _lift_quarantine(executor: ZoneExecutor, worker: str) -> None:
    mutation = lift_worker_quarantine(worker, executor.term)
    try:
        await executor.state.allocation_documents.apply(allocation_key(executor.zone), mutation)
    except (StoreUnavailableError, StoreOverloadedError, UnavailableError):
        return
    log_event(WORKER_RETURNED, worker=worker, zone=executor.zone)


def _lift_unprobed_quarantines(executor: ZoneExecutor) -> None:
    allocation = executor.state.allocations.get(executor.zone)
    for worker, until_unix_ms in (allocation.quarantined if allocation else {}).items():
        if now_unix_ms() - until_unix_ms > PROBE_TIMEOUT_MS:
            _start_write(executor, _lift_quarantine, executor, worker)


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
    if now_s - executor.last_reconcile_s >= RECONCILE_INTERVAL_S:
        executor.last_reconcile_s = now_s
        _refresh_addresses(executor)
        _report_removed_workers(executor)
        _lift_unprobed_quarantines(executor)
        _reconcile(executor, now_s)


def _refresh_addresses(executor: ZoneExecutor) -> None:
    for link in executor.links.values():
        record = executor.state.view.instances.get(link.worker)
        if record is not None:
            link.address = record.address


def _report_removed_workers(executor: ZoneExecutor) -> None:
    view = executor.state.view
    for active in list(executor.active_gangs.values()):
        removed = view.removed_instances(m.worker for m in active.run.members if not m.is_fenced)
        if removed:
            _advance(executor, active, WorkersRemoved(removed))


def _reconcile(executor: ZoneExecutor, now_s: float) -> None:
    """Clean up jobs and gangs in the zone's documents that have no active gang.

    They remain when the response to a write of a start was lost, or when the previous scheduler
    was killed between two writes.
    """
    active_jobs = set(executor.active_gangs) | set(executor.starting)
    jobs = {j.id: j for j in executor.state.jobs() if j.zone == executor.zone}
    found = {i for i, j in jobs.items() if i not in active_jobs and not j.state.is_final}
    allocation = executor.state.allocations.get(executor.zone)
    gangs = allocation.gangs if allocation and allocation.term == executor.term else {}
    found |= {job_id for job_id in gangs if job_id not in active_jobs}
    executor.orphaned_since_s = {i: executor.orphaned_since_s.get(i, now_s) for i in found}
    for job_id, since_s in list(executor.orphaned_since_s.items()):
        if now_s - since_s >= ORPHAN_AGE_S:
            del executor.orphaned_since_s[job_id]
            _start_write(executor, _clean_up_orphan, executor, job_id, gangs.get(job_id))


async def _clean_up_orphan(executor: ZoneExecutor, job_id: str, gang: Gang | None) -> None:
    state = executor.state
    job = await _retry_until_stored(
        lambda: state.job_documents.apply(
            shard_key(job_id), adopt_job(job_id, executor.zone, executor.term)
        )
    )
    if job_id in executor.active_gangs or job_id in executor.starting:
        return
    if job is not None and job.zone == executor.zone and not job.state.is_final:
        orphan = Gang(job.id, job.attempt, job.account, ())
        await _record_outcome(executor, orphan, _orphan_outcome(job))
    if gang is not None:
        await _retry_until_stored(
            lambda: state.allocation_documents.apply(
                allocation_key(executor.zone),
                release_gang(job_id, gang.attempt, executor.term),
            )
        )


def _orphan_outcome(job: Job) -> EndAttempt:
    """Return the outcome of an attempt that was never prepared or whose gang is unknown.

    The job is queued again if no member can have run, or if a repeated run is harmless because the
    job is idempotent or has a checkpoint.
    """
    if job.state is JobState.PREPARING or job.idempotent or job.checkpoint:
        return EndAttempt(JobState.WAITING, "start was interrupted")
    return EndAttempt(JobState.FAILED, "outcome_unknown: no record of the gang")
