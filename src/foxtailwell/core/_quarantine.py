"""Detects unhealthy workers, on which every job fails, and jobs that fail on every worker."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from foxtailwell.core._jobs import Job
from foxtailwell.core._plan import WorkerFailures

FAILURES_BEFORE_QUARANTINE = 3
"""Distinct jobs that must fail in a row; one faulty job can fail repeatedly on a healthy worker."""

PROBE_AFTER_MS = 60_000
"""Duration of a quarantine, after which one job probes the worker."""

WORKERS_BEFORE_JOB_FAILS = 3
"""Distinct workers on which a job must fail before it is ended."""


class WorkerHealth:
    """Counts consecutive failures of each worker; one success clears them."""

    def __init__(self) -> None:
        """Create a record without failures."""
        self._failures: dict[str, WorkerFailures] = {}

    def record_failure(self, worker: str, job_id: str, now_unix_ms: int) -> None:
        """Record a failed task; repeated failures of one job count once."""
        jobs = self._failures.get(worker, WorkerFailures()).job_ids
        others = tuple(j for j in jobs if j != job_id)[1 - FAILURES_BEFORE_QUARANTINE :]
        self._failures[worker] = WorkerFailures((*others, job_id), now_unix_ms)

    def record_success(self, worker: str) -> None:
        """Clear the failures of a worker after a task completed there."""
        self._failures.pop(worker, None)

    def remove_delisted(self, workers: Collection[str]) -> None:
        """Remove workers that are not among the listed ones, which bounds the memory used."""
        self._failures = {w: f for w, f in self._failures.items() if w in workers}

    def failures(self) -> dict[str, WorkerFailures]:
        """Return the failures by worker for `ClusterView.failing_workers`."""
        return dict(self._failures)


def quarantine_until_ms(
    failures: WorkerFailures,
    quarantined_until_ms: int | None,
    now_unix_ms: int,
    *,
    failed_jobs: int = FAILURES_BEFORE_QUARANTINE,
    probe_after_ms: int = PROBE_AFTER_MS,
) -> int | None:
    """Return the end of a new quarantine, or None if the worker is not to be quarantined.

    After a quarantine expires, only a failure later than its end starts another one, until a
    successful probe clears the record. A record that is older than a quarantine starts none: the
    quarantine that it had started was lifted without a probe.
    """
    is_outdated = now_unix_ms - failures.last_unix_ms > probe_after_ms
    if len(failures.job_ids) < failed_jobs or is_outdated:
        return None
    if quarantined_until_ms is not None and failures.last_unix_ms <= quarantined_until_ms:
        return None
    return now_unix_ms + probe_after_ms


def has_exhausted_workers(job: Job, quarantined: Mapping[str, int]) -> bool:
    """Whether a job failed on too many distinct workers.

    Quarantined workers do not count, because every job fails there.
    """
    return len(set(job.failed_workers) - set(quarantined)) >= WORKERS_BEFORE_JOB_FAILS
