"""Submitted jobs of the workflows model: steps of tasks with dependencies, and their queues.

The field names of `Submission`, `Step` and `Resources` and the values of `JobState` are stored.
`JobState` and `Submission` are unrelated to the classes of these names in `core`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from enum import StrEnum
from hashlib import blake2b

import msgspec

from foxtailwell.workflows._identifiers import client_job_id

__all__ = [
    "AdviceRules",
    "JobState",
    "Queue",
    "Resources",
    "Step",
    "Submission",
    "TaskId",
    "UNLIMITED_COPIES",
    "UnitKey",
    "encode_submission",
    "find_submission_fault",
    "submission_digest",
]


UNLIMITED_COPIES = 1_000_000
"""Result of `Resources.max_copies` for a request without any demand."""

MAX_TASKS = 10_000
"""Limit of the tasks of a job over all occurrences; their progress is one value of the store."""

_DIGEST_BYTES = 8

UnitKey = tuple[str, int, int]
"""Job identifier, occurrence and index of the step."""

MAX_NUMBER = 2**53
"""Largest number in a submission; every integer up to it is exact as a float."""


class JobState(StrEnum):
    """State of a job as reported to its client."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has reached a state that it never leaves."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


ACCELERATOR_CORES = 8
"""CPU cores that one accelerator is equivalent to in the cost of lost work."""


@dataclass(frozen=True, slots=True)
class Resources:
    """Capacity of a worker, or the demand of one task."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def core_count(self) -> float:
        """Number of CPU cores, with each accelerator as several."""
        return self.cpu_millicores / 1000 + ACCELERATOR_CORES * self.accelerators

    def fits(self, available: Resources) -> bool:
        """Return whether this request fits into the available resources."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: Resources) -> Resources:
        """Return the component-wise sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the component-wise difference, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def max_copies(self, available: Resources) -> int:
        """Return how many such requests fit into the available resources."""
        # Unrolled for speed: the planner calls this for every pair of worker and unit.
        count = UNLIMITED_COPIES
        if self.accelerators > 0:
            count = available.accelerators // self.accelerators
        if self.cpu_millicores > 0:
            count = min(count, available.cpu_millicores // self.cpu_millicores)
        if self.memory_mb > 0:
            count = min(count, available.memory_mb // self.memory_mb)
        return count if count > 0 else 0


@dataclass(frozen=True, slots=True)
class Step:
    """Identical tasks within a job.

    Attributes:
        count: Number of tasks.
        request: Resources of one task.
        after: Indexes of the earlier steps that must complete first.
        is_gang: The tasks start and run together or not at all.
        is_same_rack: The gang runs faster within one rack.
        is_checkpointing: The tasks save checkpoints, so that a stop loses little work.
        is_lasting: The tasks run until the job is cancelled.
        max_unavailable: Lasting tasks that the scheduler may take down at the same time; if set,
            none is preempted. None for no limit.
        is_serving: The tasks answer requests and have a latency objective.
        is_filling: The tasks run on idle processors and slow down serving tasks beside them.
        required_label: Label that the worker must carry; empty for any worker.
        data_rack: Rack that holds the data, where the tasks run faster; empty for none.
        max_per_worker: Limit of the step's tasks on one worker; 0 for no limit.
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
    """Identifier of a task.

    Attributes:
        job_id: Identifier of the job; a worker's reports contain the client's identifier instead.
        occurrence: Repetition of the job, from 0.
        step: Index of the step in the job.
        index: Index of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def unit_key(self) -> UnitKey:
        """Key of the scheduling unit that the task is planned with."""
        return (self.job_id, self.occurrence, self.step)

    def __str__(self) -> str:
        """Return the identifier in the format of the worker protocol.

        Tasks of namesakes have the same one.
        """
        job_id = client_job_id(self.job_id)
        return f"{job_id}.{self.occurrence}.{self.step}.{self.index}"


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as its client submitted it.

    Attributes:
        job_id: Identifier that the client chose; within the controller, the identifier that also
            tells namesakes apart.
        payload: Text that is passed to the worker with every start command of the job.
        start_at_unix_ms: Time of day at which the first occurrence may start; 0 for at once.
        interval_ms: Time between the starts of two occurrences.
        accepted_unix_ms: Time of day at the instance that accepted it.
        digest: Result of `submission_digest`; empty in records of earlier versions.
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
    digest: str = ""

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run, at least 1."""
        return max(1, self.repeat_count)

    def due_unix_ms(self, occurrence: int) -> int:
        """Return the earliest start time of an occurrence; 0 for at once."""
        if not self.start_at_unix_ms:
            return 0
        return self.start_at_unix_ms + occurrence * self.interval_ms

    def due_count(self, now_unix_ms: int) -> int:
        """Return how many occurrences are due, the first ones."""
        if not self.start_at_unix_ms:
            return self.occurrences
        passed_ms = now_unix_ms - self.start_at_unix_ms
        if passed_ms < 0:
            return 0
        if not self.interval_ms:
            return self.occurrences
        return min(self.occurrences, passed_ms // self.interval_ms + 1)

    def next_due_unix_ms(self, now_unix_ms: int) -> int | None:
        """Return the time of day at which the next occurrence becomes due; None for never."""
        count = self.due_count(now_unix_ms)
        return self.due_unix_ms(count) if count < self.occurrences else None

    def task_ids(self) -> Iterator[TaskId]:
        """Yield the identifiers of the job's tasks over all occurrences."""
        for occurrence in range(self.occurrences):
            for number, step in enumerate(self.steps):
                for index in range(step.count):
                    yield TaskId(self.job_id, occurrence, number, index)


def submission_digest(submission: Submission) -> str:
    """Return a digest of what a submission asks for, by which another copy is recognized.

    Fields with their default values are left out, so that new ones do not change the digest.
    """
    asked = _changed_fields(
        submission, {"job_id", "queue", "account", "accepted_unix_ms", "digest"}
    )
    asked["steps"] = [_changed_fields(step, {"request"}) for step in submission.steps]
    asked["requests"] = [_changed_fields(step.request, set()) for step in submission.steps]
    encoded = msgspec.json.encode(asked, order="sorted")
    return blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def encode_submission(submission: Submission) -> bytes:
    """Encode a submission as JSON without the fields that have their default values.

    Jobs of many steps would not fit into a value of the store otherwise.
    """
    content = _changed_fields(submission, set())
    content["steps"] = [
        _changed_fields(step, set()) | {"request": _changed_fields(step.request, set())}
        for step in submission.steps
    ]
    return msgspec.json.encode(content)


def _changed_fields(value: Submission | Step | Resources, left_out: set[str]) -> dict[str, object]:
    """Return the fields of a dataclass that differ from their defaults."""
    found = ((name, getattr(value, name), default) for name, default in _DEFAULTS[type(value)])
    return {n: v for n, v, default in found if n not in left_out and v != default}


_DEFAULTS = {
    data_class: tuple((field.name, field.default) for field in fields(data_class))
    for data_class in (Submission, Step, Resources)
}
"""Fields of the dataclasses of a submission, each with its default value."""


def find_submission_fault(submission: Submission) -> str:
    """Return why a job cannot be scheduled, and the remedy; empty if it can."""
    if not submission.steps:
        return "no steps; name at least one"
    times = (
        submission.start_at_unix_ms,
        submission.interval_ms,
        submission.repeat_count,
        submission.accepted_unix_ms,
    )
    if not _are_in_range(times):
        return f"a time or count is out of range; use 0 to {MAX_NUMBER}"
    for number, step in enumerate(submission.steps):
        fault = _find_step_fault(number, step)
        if fault:
            return f"step {number} {fault}"
    tasks = submission.occurrences * sum(step.count for step in submission.steps)
    if tasks > MAX_TASKS:
        return f"{tasks} tasks over all occurrences; use at most {MAX_TASKS}"
    return ""


def _find_step_fault(number: int, step: Step) -> str:
    if step.count < 1:
        return "has no tasks; use a count of 1 or more"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "must name earlier steps only"
    request = step.request
    numbers = (
        step.count,
        request.cpu_millicores,
        request.memory_mb,
        request.accelerators,
        step.estimate_ms,
        step.max_unavailable or 0,
        step.max_per_worker,
    )
    return "" if _are_in_range(numbers) else f"has a number out of range; use 0 to {MAX_NUMBER}"


def _are_in_range(numbers: Iterable[int]) -> bool:
    return all(0 <= number <= MAX_NUMBER for number in numbers)


@dataclass(frozen=True, slots=True)
class AdviceRules:
    """Policy of a queue whose steps run only on workers that the platform's advisor allows.

    Attributes:
        valid_s: Time for which a worker accepts a ticket of the advisor.
    """

    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Configuration of a class of jobs.

    The target time of a job is `stretch` times the length of its critical path, plus `target_ms`.

    Attributes:
        pool: Pool of workers that run its jobs.
        priority: Jobs of priority 0 are urgent: they are placed first and may preempt others.
        max_attempts: Failed runs of a task, or of a gang, after which the job fails.
        advice: None if its steps may run on every worker.
    """

    name: str
    pool: str
    priority: int = 1
    max_attempts: int = 3
    stretch: float = 3.0
    target_ms: int = 1000
    advice: AdviceRules | None = None
