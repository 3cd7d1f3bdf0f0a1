"""Workers that fail every task, and jobs that fail on every worker."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from foxtailwell.core._jobs import Job
from foxtailwell.core._plan import WorkerFailures

FAILURES_BEFORE_QUARANTINE = 3
"""Different jobs that must fail in a row; one bad job fails repeatedly on a good worker."""

PROBE_AFTER_MS = 60_000
"""Time without work before one job probes the worker."""

WORKERS_BEFORE_JOB_FAILS = 3
"""Different workers on which a job must fail before it ends."""


class WorkerHealth:
    """Failures in a row of each worker; one success clears them."""

    def __init__(self) -> None:
        """Start with all workers healthy."""
        self._failures: dict[str, WorkerFailures] = {}

    def record_failure(self, worker: str, job_id: str, now_unix_ms: int) -> None:
        """Record that a task of a job failed on a worker."""
        jobs = self._failures.get(worker, WorkerFailures()).job_ids
        others = tuple(j for j in jobs if j != job_id)[1 - FAILURES_BEFORE_QUARANTINE :]
        self._failures[worker] = WorkerFailures((*others, job_id), now_unix_ms)

    def record_success(self, worker: str) -> None:
        """Record that a task completed on a worker."""
        self._failures.pop(worker, None)

    def remove_delisted(self, workers: Collection[str]) -> None:
        """Drop workers that are no longer in the instance list, which bounds the state."""
        self._failures = {w: f for w, f in self._failures.items() if w in workers}

    def failures(self) -> dict[str, WorkerFailures]:
        """Return the workers with failures, as a `ClusterView` takes them."""
        return dict(self._failures)


def quarantine_until_ms(
    failures: WorkerFailures,
    quarantined_until_ms: int | None,
    now_unix_ms: int,
    *,
    failed_jobs: int = FAILURES_BEFORE_QUARANTINE,
    probe_after_ms: int = PROBE_AFTER_MS,
) -> int | None:
    """Return the end of a new quarantine, or None when none is due.

    A worker whose quarantine ended is on probation until a job succeeds there; only a failure
    after that end quarantines it again.
    """
    if len(failures.job_ids) < failed_jobs:
        return None
    if quarantined_until_ms is not None and failures.last_unix_ms <= quarantined_until_ms:
        return None
    return now_unix_ms + probe_after_ms


def has_exhausted_workers(job: Job, quarantined: Mapping[str, int]) -> bool:
    """Whether a job failed on enough workers that are not known to fail everything."""
    return len(set(job.failed_workers) - set(quarantined)) >= WORKERS_BEFORE_JOB_FAILS
