"""Keys and values of everything the product stores."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from foxtailwell.workflows import JobProgress, JobState, Submission, TaskProgress

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
"""Value of a job key that keeps an unanswered create from taking effect later."""


class RecordError(Exception):
    """A stored value cannot be read; it is left as it is."""


class _ProgressRecord(msgspec.Struct):
    state: JobState
    begun: bool
    ended_unix_ms: int = 0
    tasks: list[tuple[int, int, int, int, int, str, int, tuple[int, ...], str]] = []


def job_key(job_id: str) -> str:
    """Return the key of a submission."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: str) -> str:
    """Return the key of a cancellation mark."""
    return CANCEL_PREFIX + job_id


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


def waiting_prefix(queue: str) -> str:
    """Return the prefix of the jobs of a queue without a started task."""
    return f"{WAITING_PREFIX}{queue}/"


def waiting_key(queue: str, job_id: str) -> str:
    """Return the key that counts a job without a started task."""
    return waiting_prefix(queue) + job_id


def encode_submission_record(submission: Submission) -> bytes:
    """Encode a submission."""
    return msgspec.json.encode(submission)


def decode_submission_record(value: bytes) -> Submission:
    """Decode a submission; raises `RecordError`."""
    try:
        return msgspec.json.decode(value, type=Submission)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(f"submission: {error}") from error


def encode_progress(progress: JobProgress) -> bytes:
    """Encode the progress of a job."""
    tasks = [
        (
            task.occurrence,
            task.step,
            task.index,
            task.state,
            task.run,
            task.worker,
            task.boot_unix_ms,
            task.failed_runs,
            task.checkpoint,
        )
        for task in progress.tasks
    ]
    return msgspec.json.encode(
        _ProgressRecord(progress.state, progress.has_started, progress.ended_unix_ms, tasks)
    )


def decode_progress(value: bytes) -> JobProgress:
    """Decode the progress of a job; raises `RecordError`."""
    try:
        record = msgspec.json.decode(value, type=_ProgressRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(f"progress: {error}") from error
    tasks = tuple(TaskProgress(*task) for task in record.tasks)
    return JobProgress(record.state, record.begun, record.ended_unix_ms, tasks)


def wave_key(number: int) -> str:
    """Return the key of the progress of a wave of upkeep."""
    return f"{_WAVE_PREFIX}{number}"


def encode_wave_progress(machines: Iterable[str]) -> bytes:
    """Encode the machines of a wave whose upkeep has begun."""
    return msgspec.json.encode(sorted(machines))


def decode_wave_progress(value: bytes) -> tuple[str, ...]:
    """Decode the progress of a wave; raises `RecordError`."""
    try:
        return msgspec.json.decode(value, type=tuple[str, ...])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(f"wave: {error}") from error
