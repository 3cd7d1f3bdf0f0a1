"""Store keys and record formats of the controller key, jobs and maintenance waves.

The field names of `_ProgressRecord` and the order of the fields of its tasks are stored.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.adapters.ranges import NaturalNumber
from foxtailwell.workflows import (
    CrashRecord,
    JobProgress,
    JobState,
    Submission,
    TaskProgress,
    TaskState,
    find_submission_fault,
)

__all__ = [
    "CANCEL_PREFIX",
    "CONTROLLER_KEY",
    "INTAKE_PREFIX",
    "JOB_PREFIX",
    "PROGRESS_PREFIX",
    "REFUSED_MARK",
    "RecordError",
    "WAITING_PREFIX",
    "cancel_key",
    "decode_progress",
    "decode_submission_record",
    "decode_wave_progress",
    "encode_progress",
    "encode_submission_record",
    "encode_wave_progress",
    "job_key",
    "progress_key",
    "waiting_key",
    "waiting_prefix",
    "wave_key",
]

CONTROLLER_KEY = "foxtailwell/controller"
INTAKE_PREFIX = "foxtailwell/in/"
JOB_PREFIX = INTAKE_PREFIX + "job/"
CANCEL_PREFIX = INTAKE_PREFIX + "cancel/"
PROGRESS_PREFIX = "foxtailwell/run/"
WAITING_PREFIX = "foxtailwell/wait/"
_WAVE_PREFIX = "foxtailwell/wave/"

REFUSED_MARK = b"refused"
"""Value of a job key that prevents a submission without a response from taking effect later."""


class RecordError(Exception):
    """A stored value cannot be decoded; it is left unchanged."""


_Number = NaturalNumber
_TaskRow = tuple[
    _Number, _Number, _Number, TaskState, _Number, str, _Number, tuple[_Number, ...], str
]
_CrashRow = tuple[_Number, _Number, _Number, bool]


class _ProgressRecord(msgspec.Struct):
    state: JobState
    begun: bool
    ended_unix_ms: _Number = 0
    tasks: list[_TaskRow] = []
    # Occurrence, step and index of a task; then the crash records of its runs.
    crashes: list[tuple[_Number, _Number, _Number, list[_CrashRow]]] = []


def job_key(job_id: str) -> str:
    """Return the key of a job's submission, or of `REFUSED_MARK` in its place."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key whose presence requests the cancellation of a job."""
    return CANCEL_PREFIX + job_id


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress record, which outlives its submission."""
    return PROGRESS_PREFIX + job_id


def waiting_prefix(queue: str) -> str:
    """Return the prefix of the keys that count a queue's jobs without any started task."""
    return f"{WAITING_PREFIX}{queue}/"


def waiting_key(queue: str, job_id: str) -> str:
    """Return the key that counts a job until its first task starts or it ends."""
    return waiting_prefix(queue) + job_id


def encode_submission_record(submission: Submission) -> bytes:
    """Encode a submission as the JSON value of its key."""
    return msgspec.json.encode(submission)


def decode_submission_record(value: bytes) -> Submission:
    """Decode a submission.

    Raises:
        RecordError: The value is malformed, or the job cannot be scheduled.
    """
    try:
        submission = msgspec.json.decode(value, type=Submission)
    except MALFORMED as error:
        raise RecordError(f"submission: {error}") from error
    fault = find_submission_fault(submission)
    if fault:
        raise RecordError(f"submission: {fault}")
    return submission


def encode_progress(progress: JobProgress) -> bytes:
    """Encode the progress of a job as the JSON value of its key; tasks are stored as arrays."""
    tasks = [
        (
            task.occurrence,
            task.step,
            task.index,
            TaskState(task.state),
            task.run,
            task.worker,
            task.boot_unix_ms,
            task.failed_runs,
            task.checkpoint,
        )
        for task in progress.tasks
    ]
    crashes = [
        (
            t.occurrence,
            t.step,
            t.index,
            [(c.run, c.weight, c.lasted_ms, c.is_immediate) for c in t.crashes],
        )
        for t in progress.tasks
        if t.crashes
    ]
    return msgspec.json.encode(
        _ProgressRecord(
            progress.state, progress.has_started, progress.ended_unix_ms, tasks, crashes
        )
    )


def decode_progress(value: bytes) -> JobProgress:
    """Decode the progress of a job.

    Raises:
        RecordError: The value is malformed.
    """
    try:
        record = msgspec.json.decode(value, type=_ProgressRecord)
    except MALFORMED as error:
        raise RecordError(f"progress: {error}") from error
    crashes = {
        (occurrence, step, index): tuple(CrashRecord(*crash) for crash in recorded)
        for occurrence, step, index, recorded in record.crashes
    }
    tasks = tuple(TaskProgress(*task, crashes.get(task[:3], ())) for task in record.tasks)
    return JobProgress(record.state, record.begun, record.ended_unix_ms, tasks)


def wave_key(number: int) -> str:
    """Return the key of the progress of a maintenance wave."""
    return f"{_WAVE_PREFIX}{number}"


def encode_wave_progress(machines: Iterable[str]) -> bytes:
    """Encode the machines of a wave whose maintenance has begun or that were removed."""
    return msgspec.json.encode(sorted(machines))


def decode_wave_progress(value: bytes) -> tuple[str, ...]:
    """Decode the machines that `encode_wave_progress` stored.

    Raises:
        RecordError: The value is malformed.
    """
    try:
        return msgspec.json.decode(value, type=tuple[str, ...])
    except MALFORMED as error:
        raise RecordError(f"wave: {error}") from error
