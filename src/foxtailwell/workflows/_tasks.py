"""Unfinished jobs and tasks of the workflows model, their stored progress, and scheduling units.

`Job` and `TaskState` are unrelated to the classes of these names in `core`. The values of
`TaskState` and the order of the fields of `TaskProgress` are stored.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from foxtailwell.workflows._crashes import CrashRecord, is_blamed, is_kept_alone, probation_s
from foxtailwell.workflows._identifiers import RunNumbers
from foxtailwell.workflows._jobs import JobState, Queue, Step, Submission, TaskId, UnitKey

__all__ = [
    "EndKind",
    "Job",
    "JobProgress",
    "SchedulingUnit",
    "StopReason",
    "Task",
    "TaskProgress",
    "TaskState",
]


class TaskState(IntEnum):
    """State of a task; `STOPPING` is stored as `ASSIGNED`."""

    WAITING = 0
    ASSIGNED = 1
    STOPPING = 2
    DONE = 3


class EndKind(StrEnum):
    """How a run ended, as reported by its worker.

    Attributes:
        STOPPED: A stop command ended it.
        EXPIRED: Its lease expired.
        GANG_BROKEN: Another member of its gang ended.
        GANG_INCOMPLETE: The other members of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class StopReason(StrEnum):
    """Why the controller stops a run.

    Attributes:
        JOB_ENDED: Its job has ended, or another run has completed its task.
        GANG: Another member of its gang is no longer assigned.
        PREEMPTED: Urgent work needs its room.
        DRAINING: Its worker leaves, or its machine is due for maintenance.
        STALLED: It makes no progress.
        UNANSWERED: Its start got no response.
        UNLISTED: Its worker does not list it.
        CRASHED: It has ended with its worker, and waits for the judgement of the crash.
    """

    JOB_ENDED = "job ended"
    GANG = "gang"
    PREEMPTED = "preempted"
    DRAINING = "draining"
    STALLED = "stalled"
    UNANSWERED = "unanswered"
    UNLISTED = "unlisted"
    CRASHED = "crashed"


@dataclass(slots=True)
class Task:
    """One task and its newest run.

    Attributes:
        boot_unix_ms: Start time of the worker incarnation that the run is on.
        failed_runs: Numbers of the runs that failed, without duplicates.
        crashes: Runs that ended with a crash of their worker which the task may have caused.
        is_confirmed: The worker acknowledged the start or listed the run.
        start_settled_s: Local time at which the start call returned or failed; infinite while it is
            pending, 0 after recovery from the store.
        stopping_since_s: Local time since which the run is being stopped; 0 before.
        stopped_s: Local time at which the worker acknowledged a stop; 0 before.
        stop_reason: Why the run is being stopped; None before.
        percent: Progress of the run as last listed by the worker, 0 to 100.
        progress_s: Local time at which the progress last changed.
        listed_s: Local time at which the worker last listed the run as running; 0 before.
        waiting_since_s: Local time from which the run could have been placed; 0 before.
        is_completed_earlier: An earlier run has completed the task, and the newest one is being
            stopped.
        is_counted_done: The index of the steps counts the task as completed.
        is_counted_waiting: The index of the steps counts the task as waiting.
    """

    id: TaskId
    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: str = ""
    boot_unix_ms: int = 0
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    crashes: tuple[CrashRecord, ...] = ()
    is_confirmed: bool = False
    started_s: float = 0.0
    start_settled_s: float = 0.0
    stopping_since_s: float = 0.0
    stopped_s: float = 0.0
    stop_reason: StopReason | None = None
    percent: int = 0
    progress_s: float = 0.0
    listed_s: float = 0.0
    waiting_since_s: float = 0.0
    is_completed_earlier: bool = False
    is_counted_done: bool = False
    is_counted_waiting: bool = False

    @property
    def is_done(self) -> bool:
        """Whether a run has completed the task."""
        return self.state is TaskState.DONE or self.is_completed_earlier

    @property
    def lasted_s(self) -> float:
        """Time from the assignment of the run to the last listing of its worker; 0 for none."""
        return max(0.0, self.listed_s - self.started_s)

    @property
    def is_on_probation(self) -> bool:
        """Whether the task is a suspect of earlier crashes and its run has not outlasted them."""
        return bool(self.crashes) and self.is_placed and self.lasted_s < probation_s(self.crashes)

    @property
    def is_blamed(self) -> bool:
        """Whether any of the earlier crashes is evidence against the task."""
        return is_blamed(self.crashes)

    @property
    def is_kept_alone(self) -> bool:
        """Whether nothing else may start on its worker."""
        return self.is_on_probation and is_kept_alone(self.crashes)

    @property
    def is_start_under_way(self) -> bool:
        """Whether the start of the run has been sent, or will be, and its outcome is not known."""
        return self.start_settled_s == math.inf and not self.is_confirmed

    def describe_start(self) -> str:
        """Return what is known of the start of the run, for the log."""
        if self.is_confirmed:
            return "confirmed"
        if self.is_start_under_way:
            return "under way"
        return "no answer" if self.start_settled_s > 0 else "earlier term"

    @property
    def is_placed(self) -> bool:
        """Whether the task occupies a worker: it is assigned or being stopped."""
        return self.state in (TaskState.ASSIGNED, TaskState.STOPPING)


@dataclass(frozen=True, slots=True)
class TaskProgress:
    """Stored progress of a task; the order of the fields is part of the format.

    Attributes:
        crashes: Stored apart from the other fields.
    """

    occurrence: int
    step: int
    index: int
    state: int
    run: int
    worker: str
    boot_unix_ms: int
    failed_runs: tuple[int, ...]
    checkpoint: str
    crashes: tuple[CrashRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class JobProgress:
    """Stored progress of a job; its submission is stored separately, and deleted when it ends.

    Attributes:
        queue: Queue of the job; empty in records of earlier versions.
        account: Client account of the job; empty for none, and in records of earlier versions.
        digest: Digest of its submission; empty in records of earlier versions.
    """

    state: JobState
    has_started: bool
    ended_unix_ms: int
    tasks: tuple[TaskProgress, ...] = ()
    queue: str = ""
    account: str = ""
    digest: str = ""
    run_numbers: RunNumbers = field(default_factory=RunNumbers)


@dataclass(frozen=True, slots=True)
class SchedulingUnit:
    """Tasks of one step that are planned together: a whole gang, or all waiting tasks of a step.

    Attributes:
        waiting_since_s: Local time from which the unit could first have been placed.
        deadline_s: Local time by which its job has to complete to meet the target of its queue.
        accepted_s: Local time at which its job was accepted.
        is_guaranteed: It is urgent, and its account's urgent jobs together fit into the guarantee.
        is_suspect: Earlier crashes speak against its tasks.
        is_kept_alone: They speak against them so much that nothing else starts beside its tasks.
        queued_since_s: Local time from which the longest waiting of its tasks has been queued since
            its last run; infinite if none is known.
        allowed: Workers for which the unit has a valid ticket; None if its queue needs no tickets.
        has_namesakes: Tasks of another job may have the names that its tasks have at the workers.
        names_in_use: Workers that have a run of that other job, each with the task of the unit that
            has the same name there.
    """

    job_id: str
    occurrence: int
    step_number: int
    step: Step
    queue: Queue
    account: str
    tasks: tuple[TaskId, ...]
    waiting_since_s: float
    deadline_s: float
    accepted_s: float = 0.0
    is_guaranteed: bool = False
    is_suspect: bool = False
    is_kept_alone: bool = False
    queued_since_s: float = math.inf
    allowed: frozenset[str] | None = None
    has_namesakes: bool = False
    names_in_use: frozenset[tuple[str, TaskId]] = frozenset()

    @property
    def key(self) -> UnitKey:
        """Job identifier, occurrence and index of the step."""
        return (self.job_id, self.occurrence, self.step_number)


@dataclass(slots=True)
class Job:
    """A job that has not ended, or has ended while some of its runs are still being stopped.

    Attributes:
        accepted_s: Local time of its acceptance, also by an earlier controller's term.
        has_started: Some worker has confirmed a run of the job.
        ended_unix_ms: Time of day of its end; 0 before.
        ready_since_s: Local time from which a step could be placed, by occurrence and step.
        run_numbers: Numbers of the runs of all its tasks.
        placed: Tasks that are assigned or being stopped.
        started: Tasks that have had a run or have completed, by identifier.
        checked_attempts: Limit of attempts against which all tasks were checked; 0 for none.
        peak_accelerators: Largest number of accelerators that a single step needs.
        critical_path_ms: Estimated length of the longest chain of dependent steps.
    """

    submission: Submission
    queue: Queue
    accepted_s: float
    state: JobState = JobState.QUEUED
    has_started: bool = False
    ended_unix_ms: int = 0
    tasks: dict[TaskId, Task] = field(default_factory=dict)
    ready_since_s: dict[tuple[int, int], float] = field(default_factory=dict)
    run_numbers: RunNumbers = field(default_factory=RunNumbers)
    placed: dict[TaskId, Task] = field(default_factory=dict)
    started: dict[TaskId, Task] = field(default_factory=dict)
    checked_attempts: int = 0
    peak_accelerators: int = field(init=False)
    critical_path_ms: float = field(init=False)

    def __post_init__(self) -> None:
        """Compute the figures that depend on the submission alone."""
        steps = self.submission.steps
        needed = (step.count * step.request.accelerators for step in steps)
        self.peak_accelerators = max(needed, default=0)
        self.critical_path_ms = _critical_path_ms(steps)

    def step(self, task: TaskId) -> Step:
        """Return the step that a task of this job belongs to."""
        return self.submission.steps[task.step]

    @property
    def has_placed_tasks(self) -> bool:
        """Whether any task is assigned or being stopped."""
        return bool(self.placed)

    def progress(self) -> JobProgress:
        """Return the progress to be stored.

        Tasks that were never started are left out; of an ended job, only placed tasks are kept.
        """
        keep_all = not self.state.is_final
        tasks = tuple(
            TaskProgress(
                task.id.occurrence,
                task.id.step,
                task.id.index,
                int(_stored_state(task)),
                task.run,
                task.worker,
                task.boot_unix_ms,
                task.failed_runs,
                task.checkpoint,
                task.crashes,
            )
            for task in (self.started if keep_all else self.placed).values()
        )
        return JobProgress(
            self.state,
            self.has_started,
            self.ended_unix_ms,
            tasks,
            self.submission.queue,
            self.submission.account,
            self.submission.digest,
            self.run_numbers,
        )

    def target_s(self) -> float:
        """Return the target time in seconds from acceptance to completion."""
        return (self.queue.stretch * self.critical_path_ms + self.queue.target_ms) / 1e3


def _critical_path_ms(steps: Sequence[Step]) -> float:
    longest: list[float] = []
    for step in steps:
        before = max((longest[i] for i in step.after if i < len(longest)), default=0.0)
        longest.append(before + step.estimate_ms)
    return max(longest, default=0.0)


def _stored_state(task: Task) -> TaskState:
    if task.is_done:
        return TaskState.DONE
    return TaskState.ASSIGNED if task.is_placed else task.state
