"""Changes of job and allocation documents that the executor of a zone makes.

Each may be applied again to a document that already holds its effect, and each refuses to act for
a scheduler whose fencing token is no longer the newest.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from foxtailwell.adapters.group_commit import Mutation
from foxtailwell.core import (
    EndAttempt,
    Gang,
    Job,
    JobShard,
    JobState,
    ZoneAllocation,
    allocate,
    begin_attempt,
    lift_quarantine,
    put_job,
    quarantine,
    raise_term,
    release,
    transition,
    without_expired_jobs,
)
from foxtailwell.core.errors import (
    FoxtailwellError,
    IllegalTransitionError,
    NotRunError,
    StaleTermError,
    UnavailableError,
)

__all__ = [
    "adopt_job",
    "allocate_gang",
    "assign_job",
    "clear_holder",
    "commit_run",
    "end_attempt",
    "fail_job",
    "lift_worker_quarantine",
    "quarantine_worker",
    "raise_zone_term",
    "record_job_state",
    "release_gang",
    "remove_expired_jobs",
]

JobMutation = Mutation[JobShard, Job | None]
AllocationMutation = Mutation[ZoneAllocation, ZoneAllocation]


def assign_job(
    job_id: str,
    attempt: int,
    zone: str,
    term: int,
    at_unix_ms: int,
    is_lease_valid: Callable[[], bool],
) -> JobMutation:
    """Return the change that assigns a waiting job to a zone for an attempt.

    It is refused once the lease has run out: a holder that was paused would win the job, fail on
    the allocation and keep the job from its successor for seconds.
    """

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        if not is_lease_valid():
            raise UnavailableError(f"lease for {zone} ran out", "the new holder starts the job")
        job = _find(shard, job_id)
        if _is_own(job, attempt, zone, term) and job.state is JobState.PREPARING:
            return shard, job
        if job.attempt + 1 != attempt:
            raise IllegalTransitionError(job_id, f"at attempt {job.attempt}", f"attempt {attempt}")
        begun = begin_attempt(job, zone, term, at_unix_ms, f"assigned to {zone}")
        return put_job(shard, begun), begun

    return mutate


def commit_run(job_id: str, attempt: int, zone: str, term: int, at_unix_ms: int) -> JobMutation:
    """Return the change that allows the first `run`; a cancelled job is refused."""

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = _find(shard, job_id)
        _check_own(job, attempt, zone, term)
        if job.cancel_requested:
            raise NotRunError("cancelled by the caller", "submit the job again to run it")
        if job.state is JobState.RUNNING:
            return shard, job
        running = transition(job, JobState.RUNNING, at_unix_ms, f"started in {zone}")
        return put_job(shard, running), running

    return mutate


def record_job_state(
    job_id: str, attempt: int, zone: str, term: int, state: JobState, at_unix_ms: int, reason: str
) -> JobMutation:
    """Return the change that shows a step of a stop; it has no effect once the job moved on."""

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = _find(shard, job_id)
        if not _is_own(job, attempt, zone, term) or job.state is state:
            return shard, job
        try:
            marked = transition(job, state, at_unix_ms, reason)
        except IllegalTransitionError:
            return shard, job
        return put_job(shard, marked), marked

    return mutate


def end_attempt(
    job_id: str, attempt: int, zone: str, term: int, end: EndAttempt, at_unix_ms: int
) -> JobMutation:
    """Return the change that writes the outcome of an attempt."""

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = shard.jobs.get(job_id)
        if job is None or job.attempt != attempt or not job.zone:
            return shard, job
        _check_own(job, attempt, zone, term)
        state, reason = end.state, end.reason
        if state is JobState.WAITING and job.cancel_requested:
            state, reason = JobState.CANCELLED, "cancelled by the caller"
        ended = replace(
            transition(job, state, at_unix_ms, reason),
            checkpoint=end.checkpoint or job.checkpoint,
            failed_workers=tuple(dict.fromkeys((*job.failed_workers, *end.failed_workers))),
        )
        return put_job(shard, ended), ended

    return mutate


def adopt_job(job_id: str, zone: str, term: int) -> JobMutation:
    """Return the change that puts a job of the zone under the new fencing token."""

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = shard.jobs.get(job_id)
        if job is None or job.zone != zone or job.term == term:
            return shard, job
        if job.term > term:
            raise StaleTermError(zone, term, job.term)
        adopted = replace(job, term=term)
        return put_job(shard, adopted), adopted

    return mutate


def fail_job(job_id: str, at_unix_ms: int, reason: str) -> JobMutation:
    """Return the change that ends a waiting job that can never run."""

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = shard.jobs.get(job_id)
        if job is None or job.state is not JobState.WAITING:
            return shard, job
        failed = transition(job, JobState.FAILED, at_unix_ms, reason)
        return put_job(shard, failed), failed

    return mutate


def remove_expired_jobs(at_unix_ms: int) -> Mutation[JobShard, None]:
    """Return the change that removes jobs which ended long ago."""
    return lambda shard: (without_expired_jobs(shard, at_unix_ms), None)


def raise_zone_term(
    zone: str, holder: str, is_lease_valid: Callable[[], bool]
) -> AllocationMutation:
    """Return the change that raises the fencing token for a new holder.

    It is refused once the lease has run out, because a holder that was paused must not raise the
    token above that of its successor.
    """

    def mutate(allocation: ZoneAllocation) -> tuple[ZoneAllocation, ZoneAllocation]:
        if not is_lease_valid():
            raise UnavailableError(f"lease for {zone} ran out", "the lease is acquired again")
        raised = raise_term(allocation, zone, holder)
        return raised, raised

    return mutate


def allocate_gang(gang: Gang, term: int) -> AllocationMutation:
    """Return the change that takes all accelerators of a gang."""
    return _fenced(term, lambda allocation: allocate(allocation, gang))


def release_gang(job_id: str, attempt: int, term: int) -> AllocationMutation:
    """Return the change that releases a gang."""
    return _fenced(term, lambda allocation: release(allocation, job_id, attempt))


def quarantine_worker(worker: str, until_unix_ms: int, term: int) -> AllocationMutation:
    """Return the change that gives a worker no work until a time."""
    return _fenced(term, lambda allocation: quarantine(allocation, worker, until_unix_ms))


def lift_worker_quarantine(worker: str, term: int) -> AllocationMutation:
    """Return the change that gives a worker work again."""
    return _fenced(term, lambda allocation: lift_quarantine(allocation, worker))


def clear_holder(term: int) -> AllocationMutation:
    """Return the change that shows the other schedulers that the zone is free."""
    return _fenced(term, lambda allocation: replace(allocation, holder=""))


def _fenced(term: int, change: Callable[[ZoneAllocation], ZoneAllocation]) -> AllocationMutation:
    def mutate(allocation: ZoneAllocation) -> tuple[ZoneAllocation, ZoneAllocation]:
        if allocation.term != term:
            raise StaleTermError(allocation.zone, term, allocation.term)
        changed = change(allocation)
        return changed, changed

    return mutate


def _find(shard: JobShard, job_id: str) -> Job:
    job = shard.jobs.get(job_id)
    if job is None:
        raise FoxtailwellError(f"job {job_id} is not in its shard", "plan again")
    return job


def _is_own(job: Job, attempt: int, zone: str, term: int) -> bool:
    return (job.attempt, job.zone, job.term) == (attempt, zone, term)


def _check_own(job: Job, attempt: int, zone: str, term: int) -> None:
    if not _is_own(job, attempt, zone, term):
        raise StaleTermError(zone, term, job.term)
