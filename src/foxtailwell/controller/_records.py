"""Store keys and record formats of the controller key, jobs and maintenance waves.

The field names of `_ProgressRecord` and the order of the fields of its tasks are stored.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec

from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.adapters.ranges import NaturalNumber
from foxtailwell.workflows import (
    CrashRecord,
    JobProgress,
    JobState,
    RunNumbers,
    Submission,
    TaskProgress,
    TaskState,
    client_job_id,
    encode_submission,
    find_submission_fault,
    is_namesake_id,
    namesake_id,
)

__all__ = [
    "CANCEL_PREFIX",
    "CONTROLLER_KEY",
    "INTAKE_PREFIX",
    "PROGRESS_PREFIX",
    "REFUSED_MARK",
    "RecordError",
    "WAITING_PREFIX",
    "cancel_key",
    "decode_job",
    "decode_progress",
    "decode_submission_record",
    "decode_wave_progress",
    "encode_progress",
    "encode_submission_record",
    "encode_wave_progress",
    "job_key",
    "job_of_key",
    "progress_key",
    "waiting_key",
    "waiting_prefix",
    "wave_key",
]

CONTROLLER_KEY = "foxtailwell/controller"
INTAKE_PREFIX = "foxtailwell/in/"
_JOB_PREFIX = INTAKE_PREFIX + "job/"
# Earlier versions read the keys above only, and would take a namesake for a damaged record.
_NAMESAKE_PREFIX = INTAKE_PREFIX + "namesake/"
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
    queue: str = ""
    account: str = ""
    digest: str = ""
    highest_run: _Number = 0
    run_ranges: tuple[tuple[_Number, _Number], ...] | None = None


def job_key(job_id: str) -> str:
    """Return the key of a job's submission, or of `REFUSED_MARK` in its place."""
    return (_NAMESAKE_PREFIX if is_namesake_id(job_id) else _JOB_PREFIX) + job_id


def job_of_key(key: str) -> str | None:
    """Return the job whose submission has the key; None if it is not the key of a submission."""
    prefixes = (p for p in (_JOB_PREFIX, _NAMESAKE_PREFIX) if key.startswith(p))
    return next((key.removeprefix(prefix) for prefix in prefixes), None)


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
    return encode_submission(submission)


def decode_submission_record(value: bytes) -> Submission:
    """Decode a submission, which names the job by its client's identifier.

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


def decode_job(job_id: str, value: bytes) -> Submission:
    """Decode the submission under the key of a job, and name the job as the key does.

    Raises:
        RecordError: The value is malformed, or belongs to another job.
    """
    submission = decode_submission_record(value)
    expected = submission.job_id
    if is_namesake_id(job_id):
        expected = namesake_id(expected, submission.queue)
    if expected != job_id or client_job_id(submission.job_id) != submission.job_id:
        raise RecordError(f"submission: names job {submission.job_id}")
    return replace(submission, job_id=job_id)


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
            progress.state,
            progress.has_started,
            progress.ended_unix_ms,
            tasks,
            crashes,
            progress.queue,
            progress.account,
            progress.digest,
            progress.run_numbers.highest,
            progress.run_numbers.ranges,
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
    return JobProgress(
        record.state,
        record.begun,
        record.ended_unix_ms,
        tasks,
        record.queue,
        record.account,
        record.digest,
        RunNumbers(record.highest_run, record.run_ranges),
    )


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
