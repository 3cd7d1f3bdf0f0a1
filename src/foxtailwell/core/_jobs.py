"""Jobs: their states, the allowed transitions, and the documents that store them.

Jobs are distributed over a fixed number of documents (shards) by their identifier.
"""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass, field, replace
from enum import StrEnum

from foxtailwell.core.errors import IllegalTransitionError

JOBS_SCHEMA_VERSION = 1
JOB_SHARD_COUNT = 16

HISTORY_LIMIT = 16
"""Maximum number of transitions kept for a job. It bounds the size of the shard, since a job may
return to the queue many times."""

ENDED_JOB_RETENTION_MS = 24 * 3600 * 1000
"""Time for which an ended job is kept, so that callers can read its outcome."""


class JobState(StrEnum):
    """State of a job. The values are stored and sent."""

    ACCEPTED = "accepted"
    WAITING = "waiting"
    PREPARING = "preparing"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether no further transition is possible."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class GangSpec:
    """Size of a gang: the number of members, and the resources that each needs on one worker."""

    members: int
    accelerators_per_member: int
    cores_per_member: int = 0
    memory_gb_per_member: int = 0

    @property
    def accelerators(self) -> int:
        """Number of accelerators of the whole gang."""
        return self.members * self.accelerators_per_member


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of a job's state, as kept in its history."""

    state: JobState
    at_unix_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class Job:
    """A job as stored in its shard.

    Attributes:
        id: Identifier derived from the account and the idempotency key.
        account: Client account.
        work_class: Name of the class of work.
        spec: Size of the gang.
        declared_run_s: Run time that the caller expects, 0 when unknown; often inaccurate.
        idempotent: Whether the job may run more than once; copied from the class at submission.
        payload: Opaque arguments for the tasks.
        submitted_unix_ms: Time of acceptance.
        state: Current state.
        attempt: Number of the newest attempt. It rises with every start; workers refuse commands of
            older attempts.
        zone: Zone in which the current attempt runs, empty while waiting.
        checkpoint: Newest checkpoint of the whole gang, empty when there is none.
        started_unix_ms: Start of the current attempt, 0 while not running.
        failed_workers: Workers on which the job failed.
        crash_weight: Evidence that the job crashes its workers; 0 once it has outlasted a start.
        cancel_requested: Whether a caller has cancelled the job; such a job never starts.
        history: Newest transitions, oldest first; at most `HISTORY_LIMIT`.
        term: Fencing token of the scheduler that assigned or took over the current attempt. A
            scheduler with another token may not change the job.
    """

    id: str
    account: str
    work_class: str
    spec: GangSpec
    declared_run_s: float
    idempotent: bool
    payload: str
    submitted_unix_ms: int
    state: JobState
    attempt: int = 0
    zone: str = ""
    checkpoint: str = ""
    started_unix_ms: int = 0
    failed_workers: tuple[str, ...] = ()
    crash_weight: int = 0
    cancel_requested: bool = False
    history: tuple[Transition, ...] = ()
    term: int = 0


@dataclass(frozen=True, slots=True)
class JobShard:
    """Jobs by identifier, as stored in one `jobs/` document."""

    schema_version: int = JOBS_SCHEMA_VERSION
    jobs: dict[str, Job] = field(default_factory=dict)


_NEXT_STATES: dict[JobState, frozenset[JobState]] = {
    JobState.ACCEPTED: frozenset({JobState.WAITING, JobState.FAILED, JobState.CANCELLED}),
    JobState.WAITING: frozenset({JobState.PREPARING, JobState.FAILED, JobState.CANCELLED}),
    JobState.PREPARING: frozenset(
        {
            JobState.RUNNING,
            JobState.STOPPING,
            JobState.WAITING,
            JobState.DONE,
            JobState.FAILED,
            JobState.CANCELLED,
        }
    ),
    JobState.RUNNING: frozenset(
        {
            JobState.CHECKPOINTING,
            JobState.STOPPING,
            JobState.WAITING,
            JobState.DONE,
            JobState.FAILED,
            JobState.CANCELLED,
        }
    ),
    JobState.CHECKPOINTING: frozenset(
        {
            JobState.STOPPING,
            JobState.WAITING,
            JobState.DONE,
            JobState.FAILED,
            JobState.CANCELLED,
        }
    ),
    JobState.STOPPING: frozenset(
        {JobState.WAITING, JobState.DONE, JobState.FAILED, JobState.CANCELLED}
    ),
    JobState.DONE: frozenset(),
    JobState.FAILED: frozenset(),
    JobState.CANCELLED: frozenset(),
}


def job_id(account: str, idempotency_key: str) -> str:
    """Return the identifier of a job, which is the same for all submissions with one key."""
    # The length marks where the account ends, so that different pairs give different texts.
    text = f"{len(account)}:{account}:{idempotency_key}"
    return "j-" + hashlib.sha256(text.encode()).hexdigest()[:24]


def job_shard(job_id: str) -> int:
    """Return the number of the `jobs/` document that holds a job."""
    return zlib.crc32(job_id.encode()) % JOB_SHARD_COUNT


def transition(job: Job, state: JobState, at_unix_ms: int, reason: str) -> Job:
    """Return the job in another state, with the reason in its history.

    Args:
        job: Job before the transition.
        state: State to enter.
        at_unix_ms: Time of the transition.
        reason: Reason for the history.

    Returns:
        The changed job. A job that ends or returns to the queue has no zone, term or start time.

    Raises:
        IllegalTransitionError: The job cannot enter the state from its current state, or it is
            cancelled and would start.
    """
    if state not in _NEXT_STATES[job.state]:
        raise IllegalTransitionError(job.id, job.state, state)
    if state is JobState.PREPARING and job.cancel_requested:
        raise IllegalTransitionError(job.id, f"{job.state} (cancel requested)", state)
    history = (*job.history, Transition(state, at_unix_ms, reason))[-HISTORY_LIMIT:]
    changed = replace(job, state=state, history=history)
    if state is JobState.RUNNING:
        return replace(changed, started_unix_ms=at_unix_ms)
    if state is JobState.WAITING or state.is_final:
        return replace(changed, zone="", started_unix_ms=0, term=0)
    return changed


def begin_attempt(job: Job, zone: str, term: int, at_unix_ms: int, reason: str) -> Job:
    """Return a waiting job assigned to a zone for its next attempt.

    Args:
        job: Waiting job.
        zone: Zone in which it is to run.
        term: Fencing token of the zone's scheduler.
        at_unix_ms: Time of the transition.
        reason: Reason for the history.

    Raises:
        IllegalTransitionError: The job is not waiting, or it is cancelled.
    """
    preparing = transition(job, JobState.PREPARING, at_unix_ms, reason)
    return replace(preparing, zone=zone, term=term, attempt=job.attempt + 1)


def ended_unix_ms(job: Job) -> int | None:
    """Return when a job ended in Unix milliseconds, or None when it has not ended."""
    if not job.state.is_final:
        return None
    return job.history[-1].at_unix_ms if job.history else job.submitted_unix_ms


def without_expired_jobs(shard: JobShard, now_unix_ms: int) -> JobShard:
    """Return the shard without the jobs that ended longer ago than `ENDED_JOB_RETENTION_MS`.

    Returns:
        The same object when no job has expired.
    """
    oldest_unix_ms = now_unix_ms - ENDED_JOB_RETENTION_MS
    kept = {}
    for job in shard.jobs.values():
        ended = ended_unix_ms(job)
        if ended is None or ended > oldest_unix_ms:
            kept[job.id] = job
    return shard if len(kept) == len(shard.jobs) else replace(shard, jobs=kept)


def put_job(shard: JobShard, job: Job) -> JobShard:
    """Return the shard with a job added or replaced."""
    return replace(shard, jobs={**shard.jobs, job.id: job})
