"""Tasks and jobs that have not ended, what is stored of them, and units that may be placed."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from foxtailwell.workflows._jobs import JobState, Queue, Step, Submission, TaskId

__all__ = [
    "EndKind",
    "Job",
    "JobProgress",
    "Task",
    "TaskProgress",
    "TaskState",
    "SchedulingUnit",
]


class TaskState(IntEnum):
    """Where a task stands."""

    WAITING = 0
    ASSIGNED = 1
    STOPPING = 2
    DONE = 3


class EndKind(StrEnum):
    """How a run ended at its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


@dataclass(slots=True)
class Task:
    """One task and its newest run.

    Attributes:
        boot_unix_ms: Start of the worker's life that the run was ordered from.
        failed_runs: Runs that ended as failed, each once.
        is_confirmed: The worker confirmed the start or listed the run.
        start_settled_s: Local time at which the start call returned or was abandoned; 0 after
            recovery from the store.
        stopped_s: Local time at which the worker confirmed a stop; 0 before.
        percent: Progress of the run as last listed.
        progress_s: Local time at which the progress last changed.
    """

    id: TaskId
    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: str = ""
    boot_unix_ms: int = 0
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    is_confirmed: bool = False
    started_s: float = 0.0
    start_settled_s: float = 0.0
    stopped_s: float = 0.0
    percent: int = 0
    progress_s: float = 0.0

    @property
    def is_placed(self) -> bool:
        """Whether the run may be at a worker."""
        return self.state in (TaskState.ASSIGNED, TaskState.STOPPING)


@dataclass(frozen=True, slots=True)
class TaskProgress:
    """What is stored of one task."""

    occurrence: int
    step: int
    index: int
    state: int
    run: int
    worker: str
    boot_unix_ms: int
    failed_runs: tuple[int, ...]
    checkpoint: str


@dataclass(frozen=True, slots=True)
class JobProgress:
    """What is stored of a job besides its submission."""

    state: JobState
    has_started: bool
    ended_unix_ms: int
    tasks: tuple[TaskProgress, ...] = ()


@dataclass(frozen=True, slots=True)
class SchedulingUnit:
    """Tasks of one step that may be placed now: a whole gang, or all that wait.

    Attributes:
        waiting_since_s: Local time from which the unit could have been placed.
        deadline_s: Local time at which its job misses the target of its class.
        accepted_s: Local time at which its job was seen.
        is_guaranteed: All urgent jobs of its account together need no more than its guarantee.
        allowed: Workers with a valid ticket; None when the queue needs none.
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
    allowed: frozenset[str] | None = None

    @property
    def key(self) -> tuple[str, int, int]:
        """Identify the step of the job."""
        return (self.job_id, self.occurrence, self.step_number)


@dataclass(slots=True)
class Job:
    """A job that has not ended, or whose last tasks are being stopped."""

    submission: Submission
    queue: Queue
    accepted_s: float
    state: JobState = JobState.QUEUED
    has_started: bool = False
    ended_unix_ms: int = 0
    tasks: dict[TaskId, Task] = field(default_factory=dict)
    ready_since_s: dict[tuple[int, int], float] = field(default_factory=dict)
    _step_tasks: dict[tuple[int, int], tuple[Task, ...]] = field(default_factory=dict)

    def step(self, task: TaskId) -> Step:
        """Return the step of a task."""
        return self.submission.steps[task.step]

    def step_tasks(self, occurrence: int, step: int) -> tuple[Task, ...]:
        """Return the tasks of one step."""
        key = (occurrence, step)
        if key not in self._step_tasks:
            job_id = self.submission.job_id
            self._step_tasks[key] = tuple(
                self.tasks[TaskId(job_id, occurrence, step, index)]
                for index in range(self.submission.steps[step].count)
            )
        return self._step_tasks[key]

    @property
    def has_placed_tasks(self) -> bool:
        """Whether any run may be at a worker."""
        return any(task.is_placed for task in self.tasks.values())

    def progress(self) -> JobProgress:
        """Return what has to be stored."""
        keep_all = not self.state.is_final
        tasks = tuple(
            TaskProgress(
                task.id.occurrence,
                task.id.step,
                task.id.index,
                int(TaskState.ASSIGNED if task.is_placed else task.state),
                task.run,
                task.worker,
                task.boot_unix_ms,
                task.failed_runs,
                task.checkpoint,
            )
            for task in self.tasks.values()
            if task.is_placed or (keep_all and (task.run or task.state is TaskState.DONE))
        )
        return JobProgress(self.state, self.has_started, self.ended_unix_ms, tasks)

    def peak_accelerators(self) -> int:
        """Return the most accelerators that one step of the job needs."""
        return max(step.count * step.request.accelerators for step in self.submission.steps)

    def target_s(self) -> float:
        """Return the time from acceptance in which the class wants the job to complete."""
        return (self.queue.stretch * self.critical_path_ms() + self.queue.target_ms) / 1e3

    def critical_path_ms(self) -> float:
        """Return the estimated length of the longest chain of steps."""
        longest: list[float] = []
        for step in self.submission.steps:
            before = max((longest[i] for i in step.after if i < len(longest)), default=0.0)
            longest.append(before + step.estimate_ms)
        return max(longest, default=0.0)
