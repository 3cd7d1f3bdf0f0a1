"""State machine that starts and stops the members of one gang together.

`advance` maps an event to commands for workers and to writes to the store. It performs no input or
output itself: the caller sends the commands, reports the workers' replies as events and performs
the writes. A command or its reply may be lost or delivered twice, so a command is resent until a
report shows that it took effect.

An attempt passes through the phases of `GangPhase` in order. No member runs before all members
have started and the store has recorded the job as running.

All times are readings of the local monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

from foxtailwell.core._allocations import Gang
from foxtailwell.core._freshness import PREPARATION_LIMIT_S, Evidence, may_start
from foxtailwell.core._jobs import Job, JobState
from foxtailwell.core._plan import StopReason

TASK_LEASE_S = 30.0
"""Time after the last renewal at which a worker stops a task on its own."""

RUN_DEADLINE_S = 1.0
"""Age of an attempt up to which `run` may be sent for the first time. Workers accept `run` for
`PREPARATION_LIMIT_S` (2 s) after the preparation. The remaining second is for resending: without
it, one lost message could leave only part of the gang running."""

RESEND_INTERVAL_S = 0.3
"""Interval at which a command is resent while no report shows its effect."""

REPORT_TIMEOUT_S = 15.0
"""Time without a report after which a worker of a gang counts as lost. At half of the task lease
it is long enough that a short network partition does not stop the gang."""

UNREPORTED_STOP_TIMEOUT_S = 4.0
"""Age of an attempt after which members that were never sent `run` count as stopped without a
report. Their preparation has expired, so they cannot run any more, and waiting for the task lease
would keep the accelerators of the whole gang idle."""


class TaskState(StrEnum):
    """State of a member's task as its worker reports it.

    `EXPIRED` means that the preparation or the task lease ran out; `ABSENT` that the worker has no
    such task.
    """

    PREPARED = "prepared"
    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "expired"
    ABSENT = "absent"


_ENDED = frozenset(
    {TaskState.DONE, TaskState.FAILED, TaskState.STOPPED, TaskState.EXPIRED, TaskState.ABSENT}
)
_LOST = _ENDED - {TaskState.DONE}


class Operation(StrEnum):
    """Commands that a worker accepts for a task."""

    PREPARE = "prepare"
    START = "start"
    RUN = "run"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    THROTTLE = "throttle"


class GangPhase(StrEnum):
    """Phase of an attempt.

    `STARTING` waits until all members stand at the start barrier, `COMMITTING` until the store has
    recorded the job as running, `OPENING` until all members have passed the barrier.
    """

    PREPARING = "preparing"
    STARTING = "starting"
    COMMITTING = "committing"
    OPENING = "opening"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class MemberCommand:
    """Command to send to the worker of one member.

    Attributes:
        operation: The command.
        member: Index of the member in the gang.
        checkpoint: With `PREPARE` the checkpoint to continue from, with `CHECKPOINT` the one to
            write.
    """

    operation: Operation
    member: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class CommitRun:
    """Record the job as running unless it is cancelled, then report `RunCommitted`.

    The write precedes the first `run`, so that a scheduler that takes over can tell from the job
    document whether a member may have run.
    """


@dataclass(frozen=True, slots=True)
class RecordJobState:
    """Record a state in the job document for its readers.

    The protocol does not depend on this write.
    """

    state: JobState
    reason: str


@dataclass(frozen=True, slots=True)
class EndAttempt:
    """Record the outcome of the attempt, then release its accelerators.

    Attributes:
        state: State that the job enters; `WAITING` returns it to the queue.
        reason: Reason for the job's history.
        checkpoint: Checkpoint from which a later attempt can continue.
        failed_workers: Workers on which a task failed.
        lasted_s: Time for which every member was reported as running.
        crash_weight: Evidence that the job crashes its workers; the executor adds it, because it
            depends on the other gangs there.
    """

    state: JobState
    reason: str
    checkpoint: str = ""
    failed_workers: tuple[str, ...] = ()
    lasted_s: float = 0.0
    crash_weight: int = 0


Effect = CommitRun | RecordJobState | EndAttempt


@dataclass(frozen=True, slots=True)
class TaskReported:
    """Event: a worker reported the state of a member's task.

    Attributes:
        member: Index of the member in the gang.
        state: Reported state.
        has_run: Whether the task has passed the start barrier.
        checkpoint: Newest checkpoint that the task wrote.
        detail: Cause of a failure.
    """

    member: int
    state: TaskState
    has_run: bool = False
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TasksReported:
    """Event: a worker reported the states of several members' tasks in one reply."""

    tasks: tuple[TaskReported, ...]


@dataclass(frozen=True, slots=True)
class CommandRefused:
    """Event: a worker refused a command for a reason that resending cannot change."""

    member: int
    operation: Operation
    reason: str


@dataclass(frozen=True, slots=True)
class RunCommitted:
    """Event: result of the write that `CommitRun` requested.

    Attributes:
        is_running: Whether the job is recorded as running. False when the job was cancelled or
            another scheduler has taken it over.
        reason: Why it is not, for the job's history.
    """

    is_running: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Event: the planner or the caller wants the gang stopped.

    Attributes:
        reason: Why the gang is stopped.
        checkpoint_wait_s: Longest wait for a checkpoint before the stop; 0 stops at once.
    """

    reason: StopReason
    checkpoint_wait_s: float


@dataclass(frozen=True, slots=True)
class WorkersRemoved:
    """Event: workers were removed from the instance list.

    No scheduler renews their task leases any more.
    """

    workers: frozenset[str]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Event: periodic tick that checks the time limits and resends commands."""


GangEvent = (
    TaskReported
    | TasksReported
    | CommandRefused
    | RunCommitted
    | StopRequested
    | WorkersRemoved
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class StartPermission:
    """Current time, and whether the scheduler may start tasks at that time.

    Attributes:
        now_s: Current time.
        evidence: Newest evidence that the configuration is current.
        is_zone_out: Whether the zone is out of service.
        observing_since_s: Since when the scheduler process has run without a pause. A missing
            report from before this time does not show that a worker is lost, because reports may
            still be waiting to be read.
    """

    now_s: float
    evidence: Evidence | None
    is_zone_out: bool
    observing_since_s: float = 0.0

    @property
    def allows_start(self) -> bool:
        """Whether the zone is in service and the evidence is recent enough."""
        return may_start(self.evidence, self.now_s, self.is_zone_out)


@dataclass(frozen=True, slots=True)
class MemberRun:
    """State of one member as the scheduler knows it.

    Attributes:
        worker: Worker that runs the member.
        last_report_s: Time of the newest report. Before the first report, the time from which
            `REPORT_TIMEOUT_S` and the task lease are counted.
        task: Newest reported state; None before the first report.
        may_have_run: Whether the task may have passed the start barrier.
        checkpoint: Newest checkpoint that the member reported.
        is_lease_expired: Whether the task lease has certainly expired.
        is_fenced: Whether no previous holder of the zone can renew the task lease: the worker has
            reported under the current term or is removed. Before that, a previous holder that is
            partitioned from the store may still renew it, so its expiry cannot be concluded.
        running_since_s: Time of the first report that it is running; None before that.
        lasted_s: Time from that report to the newest one that says the same.
        detail: Cause of a failure.
    """

    worker: str
    last_report_s: float
    task: TaskState | None = None
    may_have_run: bool = False
    checkpoint: str = ""
    is_lease_expired: bool = False
    is_fenced: bool = True
    running_since_s: float | None = None
    lasted_s: float = 0.0
    detail: str = ""

    @property
    def has_ended(self) -> bool:
        """Whether the task has ended, so that its accelerators are idle."""
        return self.is_lease_expired or self.task in _ENDED


@dataclass(frozen=True, slots=True)
class GangRun:
    """State of one attempt of a job.

    Attributes:
        job_id: Identifier of the job.
        attempt: Number of the attempt.
        is_idempotent: Whether the job may run more than once.
        members: Members in the order of the allocation.
        phase: Current phase.
        since_s: When the attempt began, or when this scheduler took it over.
        sent_s: When commands were last sent.
        checkpoint: Newest checkpoint of the whole gang.
        wanted_checkpoint: Checkpoint that the members were commanded to write.
        stop_by_s: Deadline of the checkpoint; the gang is stopped then without one.
        requested_stop: Reason of a requested stop; None when no stop was requested.
        stop_reason: Why the gang stops, for the job's history.
        responsible_workers: Workers whose failure or delay is the reason of the stop.
        has_resent_run: Whether any member may have been sent `run` more than once.
    """

    job_id: str
    attempt: int
    is_idempotent: bool
    members: tuple[MemberRun, ...]
    phase: GangPhase
    since_s: float
    sent_s: float
    checkpoint: str = ""
    wanted_checkpoint: str = ""
    stop_by_s: float = 0.0
    requested_stop: StopReason | None = None
    stop_reason: str = ""
    responsible_workers: tuple[str, ...] = ()
    has_resent_run: bool = False


@dataclass(frozen=True, slots=True)
class GangStep:
    """New state after an event, with the commands to send and the writes to perform."""

    run: GangRun
    commands: tuple[MemberCommand, ...] = ()
    effects: tuple[Effect, ...] = ()


def begin_gang(job: Job, gang: Gang, now_s: float) -> GangStep:
    """Begin an attempt whose accelerators are already allocated, and prepare all members."""
    members = tuple(MemberRun(member.worker, now_s) for member in gang.members)
    run = GangRun(
        job.id,
        gang.attempt,
        job.idempotent,
        members,
        GangPhase.PREPARING,
        now_s,
        now_s,
        job.checkpoint,
    )
    return GangStep(run, _command_all(run, Operation.PREPARE))


def resume_gang(job: Job, gang: Gang, now_s: float) -> GangRun:
    """Return the state of an attempt that a previous scheduler began.

    The reports of the workers decide what follows. An attempt that is not recorded as running was
    never sent `run`. It is stopped, because the remaining validity of its preparation is unknown.
    """
    may_have_run = job.state is not JobState.PREPARING
    members = tuple(
        MemberRun(member.worker, now_s, may_have_run=may_have_run, is_fenced=False)
        for member in gang.members
    )
    run = GangRun(
        job.id,
        gang.attempt,
        job.idempotent,
        members,
        GangPhase.RUNNING,
        now_s,
        # The first tick resends the commands that are due.
        now_s - RESEND_INTERVAL_S,
        job.checkpoint,
    )
    if job.state in (JobState.PREPARING, JobState.STOPPING, JobState.CHECKPOINTING):
        reason = job.history[-1].reason if job.history else "stop"
        text = (
            "scheduler replaced during the start"
            if job.state is JobState.PREPARING
            else f"scheduler replaced while stopping: {reason}"
        )
        return replace(run, phase=GangPhase.STOPPING, stop_reason=text)
    return run


def advance(run: GangRun, event: GangEvent, permission: StartPermission) -> GangStep:
    """Apply one event.

    Args:
        run: Current state.
        event: The event.
        permission: Current time and evidence.

    Returns:
        The new state, the commands to send and the writes to perform.
    """
    if run.phase is GangPhase.ENDED:
        return GangStep(run)
    now_s = permission.now_s
    if isinstance(event, TasksReported):
        run = _apply_reports(run, event.tasks, now_s)
    elif isinstance(event, TaskReported):
        run = _apply_reports(run, (event,), now_s)
    elif isinstance(event, WorkersRemoved):
        run = _apply_removal(run, event.workers, now_s)
    elif isinstance(event, StopRequested):
        return _request_stop(run, event, now_s)
    elif isinstance(event, CommandRefused):
        return _handle_refusal(run, event, now_s)
    elif isinstance(event, RunCommitted):
        return _open_barrier(run, event, permission)
    return _PHASE_HANDLERS[run.phase](_expire_leases(run, now_s), permission)


def _apply_reports(run: GangRun, reports: Iterable[TaskReported], now_s: float) -> GangRun:
    members = list(run.members)
    for report in reports:
        members[report.member] = _apply_report(members[report.member], report, run.phase, now_s)
    run = replace(run, members=tuple(members))
    wanted = run.wanted_checkpoint
    if wanted and all(m.checkpoint == wanted or m.task is TaskState.DONE for m in members):
        run = replace(run, checkpoint=wanted)
    return run


def _apply_report(
    member: MemberRun, report: TaskReported, phase: GangPhase, now_s: float
) -> MemberRun:
    if member.task in _ENDED:
        return member
    if report.state is TaskState.ABSENT and member.task is None and phase is GangPhase.PREPARING:
        # The worker may have sent the report before it received `prepare`.
        return member
    has_not_run = report.state is not TaskState.ABSENT and not report.has_run
    # A report that the task has not run clears the flag only when the task has ended: until then a
    # `run` may still be in transit.
    may_have_run = report.has_run or (
        member.may_have_run and not (has_not_run and report.state in _ENDED)
    )
    running_since_s, lasted_s = member.running_since_s, member.lasted_s
    if report.state is TaskState.RUNNING:
        running_since_s = now_s if running_since_s is None else running_since_s
        lasted_s = now_s - running_since_s
    return replace(
        member,
        task=report.state,
        last_report_s=now_s,
        is_fenced=True,
        running_since_s=running_since_s,
        lasted_s=lasted_s,
        may_have_run=may_have_run,
        checkpoint=report.checkpoint or member.checkpoint,
        detail=report.detail or member.detail,
    )


def _apply_removal(run: GangRun, workers: frozenset[str], now_s: float) -> GangRun:
    members = tuple(
        replace(m, is_fenced=True, last_report_s=now_s)
        if m.worker in workers and not m.is_fenced
        else m
        for m in run.members
    )
    return replace(run, members=members)


def _expire_leases(run: GangRun, now_s: float) -> GangRun:
    members = tuple(
        m
        if m.has_ended or not m.is_fenced or now_s - m.last_report_s <= TASK_LEASE_S
        else replace(m, is_lease_expired=True, detail=m.detail or "task lease lapsed")
        for m in run.members
    )
    return replace(run, members=members)


def _handle_refusal(run: GangRun, refused: CommandRefused, now_s: float) -> GangStep:
    if refused.operation is Operation.RUN and not run.has_resent_run:
        # An earlier `run` without a response may have taken effect, but there was none.
        run = _clear_may_have_run(run, refused.member)
    is_start = refused.operation in (Operation.PREPARE, Operation.START, Operation.RUN)
    if not is_start or run.phase in (GangPhase.STOPPING, GangPhase.CHECKPOINTING):
        return GangStep(run)
    worker = run.members[refused.member].worker
    return _begin_stop(
        run, f"{worker} refused {refused.operation}: {refused.reason}", now_s, (worker,)
    )


def _clear_may_have_run(run: GangRun, index: int) -> GangRun:
    members = list(run.members)
    members[index] = replace(members[index], may_have_run=False)
    return replace(run, members=tuple(members))


def _advance_preparing(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _begin_stop(run, _describe_loss(lost), now_s, _distinct_workers(lost))
    if all(m.task is TaskState.PREPARED for m in run.members):
        if permission.is_zone_out:
            return _begin_stop(run, "zone taken out of service", now_s)
        if permission.allows_start and now_s - run.since_s <= RUN_DEADLINE_S:
            run = replace(run, phase=GangPhase.STARTING, sent_s=now_s)
            return GangStep(run, _command_all(run, Operation.START))
    if now_s - run.since_s > RUN_DEADLINE_S:
        late = tuple(m for m in run.members if m.task is not TaskState.PREPARED)
        cause = "not all members prepared" if late else "configuration evidence is too old"
        return _begin_stop(run, cause, now_s, _distinct_workers(late))
    return _resend(run, Operation.PREPARE, {None}, now_s)


def _advance_starting(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _begin_stop(run, _describe_loss(lost), now_s, _distinct_workers(lost))
    if now_s - run.since_s > RUN_DEADLINE_S:
        late = tuple(m for m in run.members if m.task is not TaskState.STARTED)
        return _begin_stop(run, "not all members started in time", now_s, _distinct_workers(late))
    if all(m.task is TaskState.STARTED for m in run.members):
        return GangStep(replace(run, phase=GangPhase.COMMITTING), effects=(CommitRun(),))
    return _resend(run, Operation.START, {TaskState.PREPARED}, now_s)


def _advance_committing(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _begin_stop(run, _describe_loss(lost), now_s, _distinct_workers(lost))
    if now_s - run.since_s > RUN_DEADLINE_S:
        return _begin_stop(run, "the store did not confirm the start in time", now_s)
    return GangStep(run)


def _open_barrier(run: GangRun, event: RunCommitted, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if run.phase is not GangPhase.COMMITTING:
        return GangStep(run)
    if not event.is_running:
        return _begin_stop(run, event.reason, now_s)
    if permission.is_zone_out:
        return _begin_stop(run, "zone taken out of service", now_s)
    if now_s - run.since_s > RUN_DEADLINE_S or _lost_members(run, permission):
        return _advance_committing(run, permission)
    members = tuple(replace(m, may_have_run=True) for m in run.members)
    run = replace(run, phase=GangPhase.OPENING, members=members, sent_s=now_s)
    return GangStep(run, _command_all(run, Operation.RUN))


def _advance_opening(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _begin_stop(run, _describe_loss(lost), now_s, _distinct_workers(lost))
    if all(m.task in (TaskState.RUNNING, TaskState.DONE) for m in run.members):
        return _advance_running(replace(run, phase=GangPhase.RUNNING), permission)
    is_late = now_s - run.since_s > PREPARATION_LIMIT_S + RESEND_INTERVAL_S
    if is_late and now_s - permission.observing_since_s > RUN_DEADLINE_S:
        late = tuple(m for m in run.members if m.task is TaskState.STARTED)
        return _begin_stop(
            run, "not all members passed the barrier", now_s, _distinct_workers(late)
        )
    step = _resend(run, Operation.RUN, {TaskState.STARTED}, now_s)
    return replace(step, run=replace(step.run, has_resent_run=True)) if step.commands else step


def _advance_running(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if all(m.task is TaskState.DONE for m in run.members):
        return _end(run)
    if lost := _lost_members(run, permission):
        return _begin_stop(run, _describe_loss(lost), now_s, _distinct_workers(lost))
    # Only a gang that was taken over can have a member at the start barrier here. The previous
    # scheduler's `run` did not reach it, and its preparation has expired, so that the worker would
    # refuse another `run`.
    if any(m.task in (TaskState.PREPARED, TaskState.STARTED) for m in run.members):
        return _begin_stop(run, "scheduler replaced before the barrier opened", now_s)
    return GangStep(run)


def _advance_checkpointing(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if all(m.task is TaskState.DONE for m in run.members):
        return _end(run)
    if lost := _lost_members(run, permission):
        return _begin_stop(run, _describe_loss(lost), now_s, _distinct_workers(lost))
    if run.checkpoint == run.wanted_checkpoint or now_s >= run.stop_by_s:
        return _begin_stop(run, run.stop_reason, now_s)
    if now_s - run.sent_s < RESEND_INTERVAL_S:
        return GangStep(run)
    return _send_checkpoint(run, now_s)


def _advance_stopping(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    is_old = now_s - run.since_s > UNREPORTED_STOP_TIMEOUT_S
    if all(m.has_ended or (is_old and not m.may_have_run) for m in run.members):
        return _end(run)
    if now_s - run.sent_s < RESEND_INTERVAL_S:
        return GangStep(run)
    return _send_stop(run, now_s)


def _request_stop(run: GangRun, event: StopRequested, now_s: float) -> GangStep:
    if run.requested_stop is not None and event.reason != "cancel":
        return GangStep(run)
    if run.phase is GangPhase.STOPPING:
        return GangStep(replace(run, requested_stop=event.reason))
    if run.phase is GangPhase.OPENING and event.reason != "cancel":
        # `run` has been sent, and a task that has only just started has nothing to checkpoint. The
        # planner requests the stop again with its next plan.
        return GangStep(run)
    reason = event.reason.replace("_", " ")
    run = replace(run, requested_stop=event.reason, stop_reason=reason)
    if run.phase is not GangPhase.RUNNING or event.checkpoint_wait_s <= 0:
        return _begin_stop(run, reason, now_s)
    run = replace(
        run,
        phase=GangPhase.CHECKPOINTING,
        wanted_checkpoint=f"{run.job_id}/{run.attempt}",
        stop_by_s=now_s + event.checkpoint_wait_s,
    )
    step = _send_checkpoint(run, now_s)
    return replace(step, effects=(RecordJobState(JobState.CHECKPOINTING, reason),))


def _send_checkpoint(run: GangRun, now_s: float) -> GangStep:
    commands = tuple(
        MemberCommand(Operation.CHECKPOINT, i, run.wanted_checkpoint)
        for i, m in enumerate(run.members)
        if not m.has_ended and m.checkpoint != run.wanted_checkpoint
    )
    return GangStep(replace(run, sent_s=now_s), commands)


def _begin_stop(
    run: GangRun, reason: str, now_s: float, responsible_workers: tuple[str, ...] = ()
) -> GangStep:
    run = replace(
        run, phase=GangPhase.STOPPING, stop_reason=reason, responsible_workers=responsible_workers
    )
    if all(m.has_ended for m in run.members):
        return _end(run)
    return replace(_send_stop(run, now_s), effects=(RecordJobState(JobState.STOPPING, reason),))


def _send_stop(run: GangRun, now_s: float) -> GangStep:
    commands = tuple(
        MemberCommand(Operation.STOP, i) for i, m in enumerate(run.members) if not m.has_ended
    )
    return GangStep(replace(run, sent_s=now_s), commands)


def _end(run: GangRun) -> GangStep:
    return GangStep(replace(run, phase=GangPhase.ENDED), effects=(_outcome(run),))


def _outcome(run: GangRun) -> EndAttempt:
    if all(m.task is TaskState.DONE for m in run.members):
        return EndAttempt(JobState.DONE, "all members done")
    failed = tuple(m for m in run.members if m.task is TaskState.FAILED)
    workers = _distinct_workers(failed)
    may_rerun = run.is_idempotent or bool(run.checkpoint)
    has_run = any(m.may_have_run for m in run.members)
    if run.requested_stop == "cancel":
        return EndAttempt(JobState.CANCELLED, "cancelled by the caller", run.checkpoint)
    if has_run and not may_rerun:
        if failed:
            return EndAttempt(JobState.FAILED, _describe_loss(failed), "", workers)
        return EndAttempt(JobState.FAILED, f"outcome_unknown: {run.stop_reason}")
    lasted_s = min(m.lasted_s for m in run.members)
    return EndAttempt(JobState.WAITING, run.stop_reason, run.checkpoint, workers, lasted_s)


def _lost_members(run: GangRun, permission: StartPermission) -> tuple[MemberRun, ...]:
    report_limit_s = permission.now_s - REPORT_TIMEOUT_S
    return tuple(
        m
        for m in run.members
        if m.is_lease_expired
        or m.task in _LOST
        or (
            m.task is not TaskState.DONE
            and max(m.last_report_s, permission.observing_since_s) < report_limit_s
        )
    )


def _describe_loss(lost: tuple[MemberRun, ...]) -> str:
    first = lost[0]
    if first.task is TaskState.FAILED:
        return f"task failed on {first.worker}: {first.detail or 'no detail'}"
    if first.task in _LOST:
        return f"task on {first.worker} is {first.task}"
    return f"no report from {first.worker}"


def _distinct_workers(members: tuple[MemberRun, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(m.worker for m in members))


def _command_all(run: GangRun, operation: Operation) -> tuple[MemberCommand, ...]:
    checkpoint = run.checkpoint if operation is Operation.PREPARE else ""
    return tuple(MemberCommand(operation, i, checkpoint) for i in range(len(run.members)))


def _resend(
    run: GangRun, operation: Operation, pending_states: Iterable[TaskState | None], now_s: float
) -> GangStep:
    if now_s - run.sent_s < RESEND_INTERVAL_S:
        return GangStep(run)
    states = set(pending_states)
    commands = tuple(
        c for c in _command_all(run, operation) if run.members[c.member].task in states
    )
    return GangStep(replace(run, sent_s=now_s), commands)


_PHASE_HANDLERS = {
    GangPhase.PREPARING: _advance_preparing,
    GangPhase.STARTING: _advance_starting,
    GangPhase.COMMITTING: _advance_committing,
    GangPhase.OPENING: _advance_opening,
    GangPhase.RUNNING: _advance_running,
    GangPhase.CHECKPOINTING: _advance_checkpointing,
    GangPhase.STOPPING: _advance_stopping,
}
