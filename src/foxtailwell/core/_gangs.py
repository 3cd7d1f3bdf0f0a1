"""Protocol that starts and stops one gang: events in, commands and store effects out.

All times are readings of the local monotonic clock. The caller delivers the commands, reports
what the workers answer, and carries out the effects. Every command may be lost, delivered twice
or answered without the answer arriving; commands are therefore repeated until a report shows
that they were carried out.
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
"""Time for which a worker runs a task without a renewal."""

RUN_DEADLINE_S = 1.0
"""Latest time after the preparation at which `run` is sent for the first time. Workers accept it
for 2 s, so the rest is left for repeating a `run` that was lost; without it one lost message
could leave a gang half running."""

RESEND_INTERVAL_S = 0.3
"""Time after which a command without a visible effect is sent again."""

REPORT_TIMEOUT_S = 15.0
"""Silence after which a worker of a running gang counts as lost. It is half of the task lease, so
that short network cuts end no gang."""


UNREPORTED_STOP_TIMEOUT_S = 4.0
"""Age of an attempt after which members that never got `run` count as stopped even without a
report. They cannot work any more, since their preparation is over; waiting for the task lease would
only keep the rest of the gang's accelerators idle."""


class TaskState(StrEnum):
    """State of one member's task on its worker; `ABSENT` when the worker does not know it."""

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
    """What a worker is told to do with a task."""

    PREPARE = "prepare"
    START = "start"
    RUN = "run"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    THROTTLE = "throttle"


class GangPhase(StrEnum):
    """Step of the protocol."""

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
    """Command for one member."""

    operation: Operation
    member: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class CommitRun:
    """Write the job as running, unless it is cancelled, and report `RunCommitted`.

    The write comes before the first `run`: a scheduler that takes over knows from the job
    document whether any member may have worked.
    """


@dataclass(frozen=True, slots=True)
class RecordJobState:
    """Write a state of the job that only informs its reader."""

    state: JobState
    reason: str


@dataclass(frozen=True, slots=True)
class EndAttempt:
    """Write the outcome of the attempt, then release the accelerators."""

    state: JobState
    reason: str
    checkpoint: str = ""
    failed_workers: tuple[str, ...] = ()


Effect = CommitRun | RecordJobState | EndAttempt


@dataclass(frozen=True, slots=True)
class TaskReported:
    """A worker reported the state of a member's task."""

    member: int
    state: TaskState
    has_run: bool = False
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TasksReported:
    """A worker reported the states of several members' tasks at once."""

    tasks: tuple[TaskReported, ...]


@dataclass(frozen=True, slots=True)
class CommandRefused:
    """A worker refused a command for a reason that repeating does not cure."""

    member: int
    operation: Operation
    reason: str


@dataclass(frozen=True, slots=True)
class RunCommitted:
    """The job is written as running (True), or was cancelled or taken away (False)."""

    is_running: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Checkpoint if there is time, then stop."""

    reason: StopReason
    checkpoint_wait_s: float


@dataclass(frozen=True, slots=True)
class WorkersRemoved:
    """The platform removed workers from the instance list: nobody renews their tasks any more."""

    workers: frozenset[str]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Nothing happened; time limits are checked."""


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
    """What the scheduler knows about its right to start tasks now.

    Attributes:
        now_s: Present time.
        evidence: Newest evidence that the configuration is current.
        is_zone_out: Whether the zone is out of service.
        observing_since_s: Since when the scheduler has run without a pause. Silence before it
            means nothing: the workers' reports may still wait to be read.
    """

    now_s: float
    evidence: Evidence | None
    is_zone_out: bool
    observing_since_s: float = 0.0

    @property
    def allows_start(self) -> bool:
        """Whether a task may start now."""
        return may_start(self.evidence, self.now_s, self.is_zone_out)


@dataclass(frozen=True, slots=True)
class MemberRun:
    """One member as the scheduler knows it.

    Attributes:
        worker: Its worker.
        task: Newest reported state; None before the first report.
        may_have_run: Whether its task may have worked.
        checkpoint: Newest checkpoint that it reported.
        last_report_s: Newest report, or the moment from which the task lease may count.
        is_lease_expired: Whether its task lease has certainly ended.
        is_fenced: Whether its worker refuses renewals of a previous holder of the zone. Until then
            a holder that is cut from the store may renew the task, so its lease does not count.
        detail: Cause of a failure.
    """

    worker: str
    last_report_s: float
    task: TaskState | None = None
    may_have_run: bool = False
    checkpoint: str = ""
    is_lease_expired: bool = False
    is_fenced: bool = True
    detail: str = ""

    @property
    def has_ended(self) -> bool:
        """Whether its accelerators are certainly idle."""
        return self.is_lease_expired or self.task in _ENDED


@dataclass(frozen=True, slots=True)
class GangRun:
    """One attempt of a job.

    Attributes:
        job_id: Its job.
        attempt: Number of the attempt.
        is_idempotent: Whether the job may run more than once.
        members: Its members in order.
        phase: Step of the protocol.
        since_s: Start of the attempt.
        sent_s: When commands were last sent.
        checkpoint: Newest checkpoint of the whole gang.
        wanted_checkpoint: Checkpoint that the members were told to write.
        stop_by_s: Latest end of the checkpoint.
        requested_stop: Requested stop, empty when the gang stops by itself.
        stop_reason: Why the gang stops, for the job's history.
        responsible_workers: Workers because of which the gang stops.
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


@dataclass(frozen=True, slots=True)
class GangStep:
    """Result of one event."""

    run: GangRun
    commands: tuple[MemberCommand, ...] = ()
    effects: tuple[Effect, ...] = ()


def begin_gang(job: Job, gang: Gang, now_s: float) -> GangStep:
    """Begin an attempt whose accelerators are taken: prepare all members."""
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
    return GangStep(run, _to_all(run, Operation.PREPARE))


def resume_gang(job: Job, gang: Gang, now_s: float) -> GangRun:
    """Continue an attempt of a previous scheduler; the workers' reports decide what follows.

    A job that is not written as running never got `run`, so it can only be stopped: the time
    left of its preparation is not known.
    """
    was_released = job.state is not JobState.PREPARING
    members = tuple(
        MemberRun(member.worker, now_s, may_have_run=was_released, is_fenced=False)
        for member in gang.members
    )
    run = GangRun(
        job.id,
        gang.attempt,
        job.idempotent,
        members,
        GangPhase.RUNNING,
        now_s,
        # The first tick sends what is missing.
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
        run: Present state.
        event: What happened.
        permission: Time and evidence at this moment.

    Returns:
        The new state with the commands to send and the effects to carry out.
    """
    if run.phase is GangPhase.ENDED:
        return GangStep(run)
    now_s = permission.now_s
    if isinstance(event, TasksReported):
        run = _note_reports(run, event.tasks, now_s)
    elif isinstance(event, TaskReported):
        run = _note_reports(run, (event,), now_s)
    elif isinstance(event, WorkersRemoved):
        run = _note_removed(run, event.workers, now_s)
    elif isinstance(event, StopRequested):
        return _request_stop(run, event, now_s)
    elif isinstance(event, CommandRefused):
        return _note_refusal(run, event, now_s)
    elif isinstance(event, RunCommitted):
        return _open_barrier(run, event, permission)
    return _PHASES[run.phase](_note_lapses(run, now_s), permission)


def _note_reports(run: GangRun, reports: Iterable[TaskReported], now_s: float) -> GangRun:
    members = list(run.members)
    for seen in reports:
        members[seen.member] = _reported(members[seen.member], seen, run.phase, now_s)
    run = replace(run, members=tuple(members))
    wanted = run.wanted_checkpoint
    if wanted and all(m.checkpoint == wanted or m.task is TaskState.DONE for m in members):
        run = replace(run, checkpoint=wanted)
    return run


def _reported(member: MemberRun, seen: TaskReported, phase: GangPhase, now_s: float) -> MemberRun:
    if member.task in _ENDED:
        return member
    if seen.state is TaskState.ABSENT and member.task is None and phase is GangPhase.PREPARING:
        # The report may be older than the preparation.
        return member
    is_idle = seen.state is not TaskState.ABSENT and not seen.has_run
    # A report that the task has not worked clears the doubt only when no `run` is under way.
    may_have_run = seen.has_run or (member.may_have_run and not (is_idle and seen.state in _ENDED))
    return replace(
        member,
        task=seen.state,
        last_report_s=now_s,
        is_fenced=True,
        may_have_run=may_have_run,
        checkpoint=seen.checkpoint or member.checkpoint,
        detail=seen.detail or member.detail,
    )


def _note_removed(run: GangRun, workers: frozenset[str], now_s: float) -> GangRun:
    members = tuple(
        replace(m, is_fenced=True, last_report_s=now_s)
        if m.worker in workers and not m.is_fenced
        else m
        for m in run.members
    )
    return replace(run, members=members)


def _note_lapses(run: GangRun, now_s: float) -> GangRun:
    members = tuple(
        m
        if m.has_ended or not m.is_fenced or now_s - m.last_report_s <= TASK_LEASE_S
        else replace(m, is_lease_expired=True, detail=m.detail or "task lease lapsed")
        for m in run.members
    )
    return replace(run, members=members)


def _note_refusal(run: GangRun, refused: CommandRefused, now_s: float) -> GangStep:
    is_start = refused.operation in (Operation.PREPARE, Operation.START, Operation.RUN)
    if not is_start or run.phase in (GangPhase.STOPPING, GangPhase.CHECKPOINTING):
        return GangStep(run)
    worker = run.members[refused.member].worker
    return _stop(run, f"{worker} refused {refused.operation}: {refused.reason}", now_s, (worker,))


def _prepare(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _stop(run, _loss_text(lost), now_s, _workers(lost))
    if all(m.task is TaskState.PREPARED for m in run.members):
        if permission.is_zone_out:
            return _stop(run, "zone taken out of service", now_s)
        if permission.allows_start and now_s - run.since_s <= RUN_DEADLINE_S:
            run = replace(run, phase=GangPhase.STARTING, sent_s=now_s)
            return GangStep(run, _to_all(run, Operation.START))
    if now_s - run.since_s > RUN_DEADLINE_S:
        late = tuple(m for m in run.members if m.task is not TaskState.PREPARED)
        cause = "not all members prepared" if late else "configuration evidence is too old"
        return _stop(run, cause, now_s, _workers(late))
    return _repeat(run, Operation.PREPARE, {None}, now_s)


def _start(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _stop(run, _loss_text(lost), now_s, _workers(lost))
    if now_s - run.since_s > RUN_DEADLINE_S:
        late = tuple(m for m in run.members if m.task is not TaskState.STARTED)
        return _stop(run, "not all members started in time", now_s, _workers(late))
    if all(m.task is TaskState.STARTED for m in run.members):
        return GangStep(replace(run, phase=GangPhase.COMMITTING), effects=(CommitRun(),))
    return _repeat(run, Operation.START, {TaskState.PREPARED}, now_s)


def _commit(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _stop(run, _loss_text(lost), now_s, _workers(lost))
    if now_s - run.since_s > RUN_DEADLINE_S:
        return _stop(run, "the store did not confirm the start in time", now_s)
    return GangStep(run)


def _open_barrier(run: GangRun, event: RunCommitted, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if run.phase is not GangPhase.COMMITTING:
        return GangStep(run)
    if not event.is_running:
        return _stop(run, event.reason, now_s)
    if permission.is_zone_out:
        return _stop(run, "zone taken out of service", now_s)
    if now_s - run.since_s > RUN_DEADLINE_S or _lost_members(run, permission):
        return _commit(run, permission)
    members = tuple(replace(m, may_have_run=True) for m in run.members)
    run = replace(run, phase=GangPhase.OPENING, members=members, sent_s=now_s)
    return GangStep(run, _to_all(run, Operation.RUN))


def _open(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if lost := _lost_members(run, permission):
        return _stop(run, _loss_text(lost), now_s, _workers(lost))
    if all(m.task in (TaskState.RUNNING, TaskState.DONE) for m in run.members):
        return _run(replace(run, phase=GangPhase.RUNNING), permission)
    is_late = now_s - run.since_s > PREPARATION_LIMIT_S + RESEND_INTERVAL_S
    if is_late and now_s - permission.observing_since_s > RUN_DEADLINE_S:
        late = tuple(m for m in run.members if m.task is TaskState.STARTED)
        return _stop(run, "not all members passed the barrier", now_s, _workers(late))
    return _repeat(run, Operation.RUN, {TaskState.STARTED}, now_s)


def _run(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if all(m.task is TaskState.DONE for m in run.members):
        return _end(run)
    if lost := _lost_members(run, permission):
        return _stop(run, _loss_text(lost), now_s, _workers(lost))
    # Only a gang that was taken over can have a member at the barrier here. Its `run` was lost
    # with the previous scheduler, and the worker would refuse another one by now.
    if any(m.task in (TaskState.PREPARED, TaskState.STARTED) for m in run.members):
        return _stop(run, "scheduler replaced before the barrier opened", now_s)
    return GangStep(run)


def _checkpoint(run: GangRun, permission: StartPermission) -> GangStep:
    now_s = permission.now_s
    if all(m.task is TaskState.DONE for m in run.members):
        return _end(run)
    if lost := _lost_members(run, permission):
        return _stop(run, _loss_text(lost), now_s, _workers(lost))
    if run.checkpoint == run.wanted_checkpoint or now_s >= run.stop_by_s:
        return _stop(run, run.stop_reason, now_s)
    if now_s - run.sent_s < RESEND_INTERVAL_S:
        return GangStep(run)
    return _send_checkpoint(run, now_s)


def _finish_stop(run: GangRun, permission: StartPermission) -> GangStep:
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
        # `run` is under way: work that has just begun could not be checkpointed. The planner asks
        # again with its next plan.
        return GangStep(run)
    reason = event.reason.replace("_", " ")
    run = replace(run, requested_stop=event.reason, stop_reason=reason)
    if run.phase is not GangPhase.RUNNING or event.checkpoint_wait_s <= 0:
        return _stop(run, reason, now_s)
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


def _stop(
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
    workers = _workers(failed)
    can_repeat = run.is_idempotent or bool(run.checkpoint)
    has_run = any(m.may_have_run for m in run.members)
    if run.requested_stop == "cancel":
        return EndAttempt(JobState.CANCELLED, "cancelled by the caller", run.checkpoint)
    if has_run and not can_repeat:
        if failed:
            return EndAttempt(JobState.FAILED, _loss_text(failed), "", workers)
        return EndAttempt(JobState.FAILED, f"outcome_unknown: {run.stop_reason}")
    return EndAttempt(JobState.WAITING, run.stop_reason, run.checkpoint, workers)


def _lost_members(run: GangRun, permission: StartPermission) -> tuple[MemberRun, ...]:
    silent_before_s = permission.now_s - REPORT_TIMEOUT_S
    return tuple(
        m
        for m in run.members
        if m.is_lease_expired
        or m.task in _LOST
        or (
            m.task is not TaskState.DONE
            and max(m.last_report_s, permission.observing_since_s) < silent_before_s
        )
    )


def _loss_text(lost: tuple[MemberRun, ...]) -> str:
    first = lost[0]
    if first.task is TaskState.FAILED:
        return f"task failed on {first.worker}: {first.detail or 'no detail'}"
    if first.task in _LOST:
        return f"task on {first.worker} is {first.task}"
    return f"no report from {first.worker}"


def _workers(members: tuple[MemberRun, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(m.worker for m in members))


def _to_all(run: GangRun, operation: Operation) -> tuple[MemberCommand, ...]:
    checkpoint = run.checkpoint if operation is Operation.PREPARE else ""
    return tuple(MemberCommand(operation, i, checkpoint) for i in range(len(run.members)))


def _repeat(
    run: GangRun, operation: Operation, missing: Iterable[TaskState | None], now_s: float
) -> GangStep:
    if now_s - run.sent_s < RESEND_INTERVAL_S:
        return GangStep(run)
    states = set(missing)
    commands = tuple(c for c in _to_all(run, operation) if run.members[c.member].task in states)
    return GangStep(replace(run, sent_s=now_s), commands)


_PHASES = {
    GangPhase.PREPARING: _prepare,
    GangPhase.STARTING: _start,
    GangPhase.COMMITTING: _commit,
    GangPhase.OPENING: _open,
    GangPhase.RUNNING: _run,
    GangPhase.CHECKPOINTING: _checkpoint,
    GangPhase.STOPPING: _finish_stop,
}
