"""Mutations of job and allocation documents for `GroupCommitter.apply`.

Each may be applied again to a document that already has its effect, which happens when the response
to a write was lost. A change of an assigned job or of an allocation has no effect for a scheduler
whose fencing token is no longer the newest. `assign_job` and `raise_zone_term` have no token to
compare yet, so they check the lease instead.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from foxtailwell.adapters.group_commit import Mutation
from foxtailwell.core import (
    PROBATION_S,
    EndAttempt,
    Gang,
    Job,
    JobShard,
    JobState,
    ZoneAllocation,
    allocate,
    begin_attempt,
    is_given_up,
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
    """Return the mutation that assigns a waiting job to a zone for an attempt.

    It is rejected after the lease has expired. Otherwise a holder that was paused could assign the
    job, then fail to allocate its accelerators, and block the new holder's start for seconds.
    """

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        if not is_lease_valid():
            raise UnavailableError(f"lease of zone {zone} expired", "the new holder starts the job")
        job = _find(shard, job_id)
        if _is_current_attempt(job, attempt, zone, term) and job.state is JobState.PREPARING:
            return shard, job
        if job.attempt + 1 != attempt:
            raise IllegalTransitionError(job_id, f"at attempt {job.attempt}", f"attempt {attempt}")
        assigned = begin_attempt(job, zone, term, at_unix_ms, f"assigned to {zone}")
        return put_job(shard, assigned), assigned

    return mutate


def commit_run(job_id: str, attempt: int, zone: str, term: int, at_unix_ms: int) -> JobMutation:
    """Return the mutation that records a job as running, after which `run` may be sent.

    It is rejected if the caller of the job has cancelled it.
    """

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = _find(shard, job_id)
        _check_current_attempt(job, attempt, zone, term)
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
    """Return the mutation that records an intermediate state, such as `STOPPING`.

    It has no effect if the attempt is over or its state does not allow the transition.
    """

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = _find(shard, job_id)
        if not _is_current_attempt(job, attempt, zone, term) or job.state is state:
            return shard, job
        try:
            changed = transition(job, state, at_unix_ms, reason)
        except IllegalTransitionError:
            return shard, job
        return put_job(shard, changed), changed

    return mutate


def end_attempt(
    job_id: str, attempt: int, zone: str, term: int, end: EndAttempt, at_unix_ms: int
) -> JobMutation:
    """Return the mutation that records the outcome of an attempt.

    A cancelled job that would be queued again ends as cancelled, and one that has crashed too many
    workers as failed.
    """

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = shard.jobs.get(job_id)
        if job is None or job.attempt != attempt or not job.zone:
            return shard, job
        _check_current_attempt(job, attempt, zone, term)
        state, reason = end.state, end.reason
        evidence = end.crash_weight + (0 if end.lasted_s >= PROBATION_S else job.crash_weight)
        if state is JobState.WAITING and job.cancel_requested:
            state, reason = JobState.CANCELLED, "cancelled by the caller"
        elif state is JobState.WAITING and is_given_up(evidence):
            state, reason = JobState.FAILED, f"workers crash when the job starts: {reason}"
        ended = replace(
            transition(job, state, at_unix_ms, reason),
            checkpoint=end.checkpoint or job.checkpoint,
            failed_workers=tuple(dict.fromkeys((*job.failed_workers, *end.failed_workers))),
            crash_weight=evidence,
        )
        return put_job(shard, ended), ended

    return mutate


def adopt_job(job_id: str, zone: str, term: int) -> JobMutation:
    """Return the mutation that raises the fencing token of a job of the zone.

    From then on the previous holder cannot change the job. Jobs of other zones stay unchanged.
    """

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
    """Return the mutation that fails a job that can never run, unless it is no longer waiting."""

    def mutate(shard: JobShard) -> tuple[JobShard, Job | None]:
        job = shard.jobs.get(job_id)
        if job is None or job.state is not JobState.WAITING:
            return shard, job
        failed = transition(job, JobState.FAILED, at_unix_ms, reason)
        return put_job(shard, failed), failed

    return mutate


def remove_expired_jobs(at_unix_ms: int) -> Mutation[JobShard, None]:
    """Return the mutation that removes jobs whose retention after their end is over."""
    return lambda shard: (without_expired_jobs(shard, at_unix_ms), None)


def raise_zone_term(
    zone: str, holder: str, is_lease_valid: Callable[[], bool]
) -> AllocationMutation:
    """Return the mutation that raises the fencing token for a new holder.

    It is rejected after the lease has expired, because a holder that was paused must not raise the
    token above that of its successor.
    """

    def mutate(allocation: ZoneAllocation) -> tuple[ZoneAllocation, ZoneAllocation]:
        if not is_lease_valid():
            raise UnavailableError(f"lease of zone {zone} expired", "the lease is acquired again")
        raised = raise_term(allocation, zone, holder)
        return raised, raised

    return mutate


def allocate_gang(gang: Gang, term: int) -> AllocationMutation:
    """Return the mutation that allocates all accelerators of a gang, or none if one is taken."""
    return _with_fencing(term, lambda allocation: allocate(allocation, gang))


def release_gang(job_id: str, attempt: int, term: int) -> AllocationMutation:
    """Return the mutation that releases the accelerators that an attempt holds, if any."""
    return _with_fencing(term, lambda allocation: release(allocation, job_id, attempt))


def quarantine_worker(worker: str, until_unix_ms: int, term: int) -> AllocationMutation:
    """Return the mutation that quarantines a worker until a wall-clock time."""
    return _with_fencing(term, lambda allocation: quarantine(allocation, worker, until_unix_ms))


def lift_worker_quarantine(worker: str, term: int) -> AllocationMutation:
    """Return the mutation that ends the quarantine of a worker, if it has one."""
    return _with_fencing(term, lambda allocation: lift_quarantine(allocation, worker))


def clear_holder(term: int) -> AllocationMutation:
    """Return the mutation that removes the holder, which lets standbys acquire the zone at once."""
    return _with_fencing(term, lambda allocation: replace(allocation, holder=""))


def _with_fencing(
    term: int, change: Callable[[ZoneAllocation], ZoneAllocation]
) -> AllocationMutation:
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


def _is_current_attempt(job: Job, attempt: int, zone: str, term: int) -> bool:
    return (job.attempt, job.zone, job.term) == (attempt, zone, term)


def _check_current_attempt(job: Job, attempt: int, zone: str, term: int) -> None:
    if not _is_current_attempt(job, attempt, zone, term):
        raise StaleTermError(zone, term, job.term)
