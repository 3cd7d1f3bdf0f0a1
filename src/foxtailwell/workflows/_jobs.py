"""Jobs as submitted: steps of tasks with dependencies."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["AdviceRules", "JobState", "Queue", "Resources", "Step", "Submission", "TaskId"]


UNLIMITED_COPIES = 1_000_000
"""Copies of a task that requests nothing."""


class JobState(StrEnum):
    """State of a job as its client sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class Resources:
    """Room of a worker, or what one task takes of it."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: Resources) -> bool:
        """Whether this request fits into the room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return what is left when the other is taken away."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def copies(self, room: Resources) -> int:
        """Return how many such requests fit into the room."""
        # Written out: placement asks this for every worker and unit.
        count = UNLIMITED_COPIES
        if self.accelerators > 0:
            count = room.accelerators // self.accelerators
        if self.cpu_millicores > 0:
            count = min(count, room.cpu_millicores // self.cpu_millicores)
        if self.memory_mb > 0:
            count = min(count, room.memory_mb // self.memory_mb)
        return count if count > 0 else 0


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a job.

    Attributes:
        is_lasting: The tasks run until the job is cancelled.
        max_unavailable: So many lasting tasks may be away by the product's own doing, so that none
            is stopped to make room for others; None for no limit.
        is_serving: The tasks answer requests and have a latency objective.
        is_filling: The tasks use processors that others leave idle, and disturb those who serve.
    """

    count: int
    request: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_same_rack: bool = False
    is_checkpointing: bool = False
    is_lasting: bool = False
    max_unavailable: int | None = None
    is_serving: bool = False
    is_filling: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0


@dataclass(frozen=True, slots=True)
class TaskId:
    """One task: the job, the occurrence, the step and the index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Return the form that workers use."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as its client handed it in.

    Attributes:
        payload: Text that every start order of the job carries.
        accepted_unix_ms: Time of day at the instance that accepted it.
    """

    job_id: str
    queue: str
    account: str
    payload: str
    steps: tuple[Step, ...]
    start_at_unix_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0
    accepted_unix_ms: int = 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repeat_count)

    def due_unix_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start; 0 for at once."""
        if not self.start_at_unix_ms:
            return 0
        return self.start_at_unix_ms + occurrence * self.interval_ms

    def task_ids(self) -> Iterator[TaskId]:
        """Yield every task of the job."""
        for occurrence in range(self.occurrences):
            for number, step in enumerate(self.steps):
                for index in range(step.count):
                    yield TaskId(self.job_id, occurrence, number, index)


@dataclass(frozen=True, slots=True)
class AdviceRules:
    """A queue whose steps run only where the platform's advisor allows it.

    Attributes:
        valid_s: Time for which a ticket is accepted by its worker.
    """

    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """What the configuration says of a class of jobs.

    Attributes:
        priority: 0 is served first and may preempt others.
        stretch: Target as a multiple of the longest chain of work.
        target_ms: Added to the stretched chain.
        advice: None when its steps may run everywhere.
    """

    name: str
    pool: str
    priority: int = 1
    max_attempts: int = 3
    stretch: float = 3.0
    target_ms: int = 1000
    advice: AdviceRules | None = None
