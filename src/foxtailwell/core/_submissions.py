"""Submission and cancellation of jobs: validation, and the changes to a shard of jobs."""

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
"""The limit keeps a shard of jobs well below the 1 MB that the store accepts for a value."""

MAX_RUN_S = 366 * 86_400.0
MAX_KEY_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class Submission:
    """A request of a caller to run a job.

    Attributes:
        account: Client account.
        work_class: Name of a class of work of kind `job`.
        members: Number of members of the gang.
        accelerators_per_member: Accelerators of each member, all on one worker.
        cores_per_member: Processor cores of each member; 0 requires none.
        memory_gb_per_member: Memory of each member; 0 requires none.
        declared_run_s: Run time that the caller expects, 0 when unknown.
        payload: Opaque arguments for the tasks.
        idempotency_key: Key of the submission. A later submission of the same account with the
            same key returns the job of the first one.
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
        """Size of the gang."""
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
    """Validate a submission, and return its job in state `WAITING` or all issues.

    Args:
        submission: The submission.
        identifier: Identifier of the job.
        configuration: Current configuration.
        workers: Workers of the instance list. Those of zones out of service are included, because
            such a zone is expected to return.
        now_unix_ms: Time of acceptance.
        path: Path of the submission in the caller's document, for the issues.
    """
    issues = [*_check_names(submission, configuration, path), *_check_bounds(submission, path)]
    if not issues:
        issues.extend(_check_fit(submission, configuration, list(workers), path))
    if issues:
        return Err(tuple(issues))
    return Ok(_waiting_job(submission, identifier, configuration, now_unix_ms))


def largest_member_count(spec: GangSpec, workers: Iterable[InstanceRecord]) -> int:
    """Return how many members of a gang fit into the largest zone when no gang runs there."""
    zones: dict[str, int] = {}
    for worker in workers:
        zones[worker.zone] = zones.get(worker.zone, 0) + members_per_worker(spec, worker)
    return max(zones.values(), default=0)


def members_per_worker(spec: GangSpec, worker: InstanceRecord) -> int:
    """Return how many members of a gang fit on a worker when nothing else runs there."""
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
            path,
            "account",
            f"unknown client account {submission.account!r}",
            f"known: {known}",
        )
    work_class = configuration.classes.get(submission.work_class)
    job_classes = sorted(c.name for c in configuration.classes.values() if c.kind == "job")
    known = ", ".join(job_classes) or "none"
    if work_class is None:
        yield _issue(
            path,
            "work_class",
            f"unknown class {submission.work_class!r}",
            f"classes: {known}",
        )
    elif work_class.kind != "job":
        yield _issue(
            path,
            "work_class",
            f"{submission.work_class!r} is a class of requests",
            f"use {known}",
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


def _check_fit(
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
        # Sizes are unknown without an instance list. The planner repeats this check later.
        return
    max_members = largest_member_count(submission.spec, workers)
    if max_members < submission.members:
        yield _issue(
            path,
            "members",
            f"{submission.members} members never fit into one availability zone",
            f"at most {max_members} members of this size fit",
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
    """Add a job, or return the job that an earlier submission with the same key added.

    Returns:
        The shard, and the stored job.

    Raises:
        KeyReusedError: The key was used for a different job.
    """
    existing = shard.jobs.get(job.id)
    if existing is None:
        return put_job(shard, job), job
    if _content(existing) != _content(job):
        raise KeyReusedError(
            f"the idempotency key of job {job.id} was used for a different job",
            "use a new key for a different job",
        )
    return shard, existing


def cancel_jobs(
    shard: JobShard, identifiers: Iterable[str], now_unix_ms: int
) -> tuple[JobShard, dict[str, Job | None]]:
    """Cancel jobs of one shard.

    A waiting job ends at once. A job with allocated accelerators is only marked. The scheduler of
    its zone stops it and does not start it again.

    Returns:
        The shard, and the jobs after the change by identifier; None for an unknown identifier.
    """
    results: dict[str, Job | None] = {}
    changed: dict[str, Job] = {}
    for identifier in identifiers:
        job = shard.jobs.get(identifier)
        if job is not None and not job.state.is_final and not job.cancel_requested:
            job = _cancel(job, now_unix_ms)
            changed[identifier] = job
        results[identifier] = job
    return (replace(shard, jobs={**shard.jobs, **changed}) if changed else shard), results


def _cancel(job: Job, now_unix_ms: int) -> Job:
    requested = replace(job, cancel_requested=True)
    if job.state in (JobState.ACCEPTED, JobState.WAITING):
        return transition(requested, JobState.CANCELLED, now_unix_ms, "cancelled by the caller")
    return requested


def _content(job: Job) -> tuple[object, ...]:
    return (job.account, job.work_class, job.spec, job.payload)
