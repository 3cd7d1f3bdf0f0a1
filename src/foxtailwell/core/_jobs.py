"""Jobs and their documents."""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass, field, replace
from enum import StrEnum

from foxtailwell.core.errors import IllegalTransitionError

JOBS_SCHEMA_VERSION = 1
JOB_SHARD_COUNT = 16

HISTORY_LIMIT = 16
"""Transitions kept per job; a job that returns to the queue often must not fill its shard."""

ENDED_JOB_KEPT_MS = 24 * 3600 * 1000
"""Time for which callers can read the outcome of an ended job."""


class JobState(StrEnum):
    """State of a job."""

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
        """Whether the job can never run again."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True)
class GangSpec:
    """Size of a gang: members, and what each of them needs on one worker."""

    members: int
    accelerators_per_member: int
    cores_per_member: int = 0
    memory_gb_per_member: int = 0

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.members * self.accelerators_per_member


@dataclass(frozen=True, slots=True)
class Transition:
    """One change of state with its reason."""

    state: JobState
    at_unix_ms: int
    reason: str


@dataclass(frozen=True, slots=True)
class Job:
    """One job as the store keeps it.

    Attributes:
        id: Identifier derived from the account and the idempotency key.
        account: Client account.
        work_class: Class of work.
        spec: Gang that the job needs.
        declared_run_s: Run time that the caller expects; often far off.
        idempotent: Copied from the class at submission.
        payload: Opaque arguments for the tasks.
        submitted_unix_ms: Time of acceptance.
        state: Current state.
        attempt: Rises with every start; commands of older attempts are refused.
        zone: Zone that holds the current attempt, empty while waiting.
        checkpoint: Newest checkpoint, empty when there is none.
        started_unix_ms: Start of the current attempt, 0 while not running.
        failed_workers: Workers on which the job failed.
        cancel_requested: Set by a caller; a job with it never starts.
        history: Newest transitions, bounded.
        term: Fencing token of the scheduler that assigned or took over the current attempt; a
            scheduler with another one may not change the job.
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
    cancel_requested: bool = False
    history: tuple[Transition, ...] = ()
    term: int = 0


@dataclass(frozen=True, slots=True)
class JobShard:
    """All jobs of one shard."""

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
    """Return the identifier of a job, the same for every submission with the same key."""
    # The length separates the two parts, so that no two pairs give the same text.
    text = f"{len(account)}:{account}:{idempotency_key}"
    return "j-" + hashlib.sha256(text.encode()).hexdigest()[:24]


def job_shard(job_id: str) -> int:
    """Return the number of the `jobs/` document that holds a job."""
    return zlib.crc32(job_id.encode()) % JOB_SHARD_COUNT


def transition(job: Job, state: JobState, at_unix_ms: int, reason: str) -> Job:
    """Return the job in another state, with the reason in its history.

    Args:
        job: Job as the store keeps it.
        state: State to enter.
        at_unix_ms: Time of the transition.
        reason: Why, for whoever reads the history.

    Returns:
        The changed job.

    Raises:
        IllegalTransitionError: The job cannot enter the state from its present one, or it is
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
    """Return the job assigned to a zone for a new attempt.

    Args:
        job: Waiting job.
        zone: Zone that gets it.
        term: Fencing token of the zone's scheduler.
        at_unix_ms: Time of the transition.
        reason: Why, for whoever reads the history.

    Raises:
        IllegalTransitionError: The job does not wait, or it is cancelled.
    """
    preparing = transition(job, JobState.PREPARING, at_unix_ms, reason)
    return replace(preparing, zone=zone, term=term, attempt=job.attempt + 1)


def ended_unix_ms(job: Job) -> int | None:
    """Return when the job ended, or None while it has not."""
    if not job.state.is_final:
        return None
    return job.history[-1].at_unix_ms if job.history else job.submitted_unix_ms


def without_expired_jobs(shard: JobShard, now_unix_ms: int) -> JobShard:
    """Return the shard without the jobs that ended too long ago.

    Returns:
        The same object when no job has expired.
    """
    limit = now_unix_ms - ENDED_JOB_KEPT_MS
    kept = {}
    for job in shard.jobs.values():
        ended = ended_unix_ms(job)
        if ended is None or ended > limit:
            kept[job.id] = job
    return shard if len(kept) == len(shard.jobs) else replace(shard, jobs=kept)


def put_job(shard: JobShard, job: Job) -> JobShard:
    """Return the shard with a job added or replaced."""
    return replace(shard, jobs={**shard.jobs, job.id: job})
