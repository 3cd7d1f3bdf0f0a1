"""Submission and cancellation of jobs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from foxtailwell.core._configuration import Configuration
from foxtailwell.core._inventory import InstanceRecord
from foxtailwell.core._jobs import (
    GangSpec,
    Job,
    JobShard,
    JobState,
    Transition,
    put_job,
    transition,
)
from foxtailwell.core.errors import KeyReusedError, ValidationIssue

MAX_MEMBERS = 1024
MAX_PAYLOAD_BYTES = 4096
"""Keeps a shard of jobs well below the store's 1 MB for a value."""

MAX_RUN_S = 366 * 86_400.0
MAX_KEY_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as a caller describes it.

    Attributes:
        account: Client account.
        work_class: Class of work, of kind `job`.
        members: Members of the gang.
        accelerators_per_member: Accelerators of each member, on one worker.
        cores_per_member: Processor cores of each member.
        memory_gb_per_member: Memory of each member.
        declared_run_s: Expected run time, 0 when unknown.
        payload: Opaque arguments for the tasks.
        idempotency_key: The same key from the same account finds the first submission.
    """

    account: str
    work_class: str
    members: int
    accelerators_per_member: int
    cores_per_member: int = 0
    memory_gb_per_member: int = 0
    declared_run_s: float = 0.0
    payload: str = ""
    idempotency_key: str = ""

    @property
    def spec(self) -> GangSpec:
        """Gang that the job needs."""
        return GangSpec(
            self.members,
            self.accelerators_per_member,
            self.cores_per_member,
            self.memory_gb_per_member,
        )


def accept_submission(
    submission: Submission,
    identifier: str,
    configuration: Configuration,
    workers: Iterable[InstanceRecord],
    now_unix_ms: int,
    path: str,
) -> Result[Job, tuple[ValidationIssue, ...]]:
    """Return the waiting job that a submission describes, or everything that is wrong with it.

    Args:
        submission: What the caller sent.
        identifier: Identifier of the job.
        configuration: Configuration in force.
        workers: Workers of the instance list, zones out of service included, since they return.
        now_unix_ms: Time of acceptance.
        path: Where the submission stands in the caller's document.
    """
    issues = [*_check_names(submission, configuration, path), *_check_bounds(submission, path)]
    if not issues:
        issues.extend(_check_size(submission, configuration, list(workers), path))
    if issues:
        return Err(tuple(issues))
    return Ok(_waiting_job(submission, identifier, configuration, now_unix_ms))


def largest_member_count(spec: GangSpec, workers: Iterable[InstanceRecord]) -> int:
    """Return how many members of a gang the best zone can hold when it is empty."""
    zones: dict[str, int] = {}
    for worker in workers:
        zones[worker.zone] = zones.get(worker.zone, 0) + members_per_worker(spec, worker)
    return max(zones.values(), default=0)


def members_per_worker(spec: GangSpec, worker: InstanceRecord) -> int:
    """Return how many members of a gang an empty worker can hold."""
    limits = [worker.accelerators // spec.accelerators_per_member]
    if spec.cores_per_member:
        limits.append(worker.cores // spec.cores_per_member)
    if spec.memory_gb_per_member:
        limits.append(worker.memory_gb // spec.memory_gb_per_member)
    return min(limits)


def _check_names(
    submission: Submission, configuration: Configuration, path: str
) -> Iterable[ValidationIssue]:
    if submission.account not in configuration.accounts:
        known = ", ".join(sorted(configuration.accounts)) or "none"
        yield _issue(
            path, "account", f"unknown client account {submission.account!r}", f"known: {known}"
        )
    work_class = configuration.classes.get(submission.work_class)
    job_classes = sorted(c.name for c in configuration.classes.values() if c.kind == "job")
    known = ", ".join(job_classes) or "none"
    if work_class is None:
        yield _issue(
            path, "work_class", f"unknown class {submission.work_class!r}", f"classes: {known}"
        )
    elif work_class.kind != "job":
        yield _issue(
            path, "work_class", f"{submission.work_class!r} is a class of requests", f"use {known}"
        )


def _check_bounds(submission: Submission, path: str) -> Iterable[ValidationIssue]:
    bounds = (
        ("members", submission.members, 1, MAX_MEMBERS),
        ("accelerators_per_member", submission.accelerators_per_member, 1, 1024),
        ("cores_per_member", submission.cores_per_member, 0, 65_536),
        ("memory_gb_per_member", submission.memory_gb_per_member, 0, 1_048_576),
        ("declared_run_s", submission.declared_run_s, 0, MAX_RUN_S),
    )
    for name, value, low, high in bounds:
        if not low <= value <= high:
            yield _issue(path, name, f"found {value}", f"give {low} to {high}")
    size_bytes = len(submission.payload.encode())
    if size_bytes > MAX_PAYLOAD_BYTES:
        yield _issue(
            path,
            "payload",
            f"{size_bytes} bytes",
            f"at most {MAX_PAYLOAD_BYTES} bytes; store larger input elsewhere and pass its name",
        )
    if len(submission.idempotency_key) > MAX_KEY_CHARACTERS:
        yield _issue(
            path,
            "idempotency_key",
            f"{len(submission.idempotency_key)} characters",
            f"at most {MAX_KEY_CHARACTERS}",
        )


def _check_size(
    submission: Submission,
    configuration: Configuration,
    workers: list[InstanceRecord],
    path: str,
) -> Iterable[ValidationIssue]:
    quota = configuration.accounts[submission.account].quota_accelerators
    if quota and submission.spec.accelerators > quota:
        yield _issue(
            path,
            "members",
            f"{submission.spec.accelerators} accelerators, over the account's quota of {quota}",
            f"ask for at most {quota} accelerators",
        )
    if not workers:
        # Without an instance list nothing is known about sizes; the planner checks again.
        return
    fitting = largest_member_count(submission.spec, workers)
    if fitting < submission.members:
        yield _issue(
            path,
            "members",
            f"{submission.members} members never fit into one availability zone",
            f"at most {fitting} members of this size fit",
        )


def _issue(path: str, name: str, found: str, remedy: str) -> ValidationIssue:
    return ValidationIssue(f"{path}.{name}", found, remedy)


def _waiting_job(
    submission: Submission, identifier: str, configuration: Configuration, now_unix_ms: int
) -> Job:
    work_class = configuration.classes[submission.work_class]
    return Job(
        id=identifier,
        account=submission.account,
        work_class=submission.work_class,
        spec=submission.spec,
        declared_run_s=submission.declared_run_s,
        idempotent=work_class.idempotent,
        payload=submission.payload,
        submitted_unix_ms=now_unix_ms,
        state=JobState.WAITING,
        history=(Transition(JobState.WAITING, now_unix_ms, "submitted"),),
    )


def add_job(shard: JobShard, job: Job) -> tuple[JobShard, Job]:
    """Add a submitted job, or find the one that an earlier submission with its key made.

    Returns:
        The shard, and the job that it holds under the identifier.

    Raises:
        KeyReusedError: The key was used for a different job.
    """
    present = shard.jobs.get(job.id)
    if present is None:
        return put_job(shard, job), job
    if _content(present) != _content(job):
        raise KeyReusedError(
            f"the idempotency key of job {job.id} was used for a different job",
            "use a new key for a different job",
        )
    return shard, present


def cancel_jobs(
    shard: JobShard, identifiers: Iterable[str], now_unix_ms: int
) -> tuple[JobShard, dict[str, Job | None]]:
    """Cancel jobs of one shard.

    A waiting job ends at once. A job that holds accelerators is marked; its zone's scheduler stops
    it and never starts it again.

    Returns:
        The shard, and each job as it is now; None for an unknown identifier.
    """
    results: dict[str, Job | None] = {}
    changed: dict[str, Job] = {}
    for identifier in identifiers:
        job = shard.jobs.get(identifier)
        if job is not None and not job.state.is_final and not job.cancel_requested:
            job = _cancelled(job, now_unix_ms)
            changed[identifier] = job
        results[identifier] = job
    return (replace(shard, jobs={**shard.jobs, **changed}) if changed else shard), results


def _cancelled(job: Job, now_unix_ms: int) -> Job:
    marked = replace(job, cancel_requested=True)
    if job.state in (JobState.ACCEPTED, JobState.WAITING):
        return transition(marked, JobState.CANCELLED, now_unix_ms, "cancelled by the caller")
    return marked


def _content(job: Job) -> tuple[object, ...]:
    return (job.account, job.work_class, job.spec, job.payload)
