"""Loads submissions, cancellations and progress from the store and removes ended jobs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import anyio.lowlevel

from foxtailwell.adapters.events import (
    CONTROLLER_LOADED,
    JOB_ENDED,
    JOB_WAITING,
    RECORD_DELETION_DEFERRED,
    RECORD_UNREADABLE,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller._commits import Commits
from foxtailwell.controller._records import (
    CANCEL_PREFIX,
    INTAKE_PREFIX,
    PROGRESS_PREFIX,
    REFUSED_MARK,
    WAITING_PREFIX,
    RecordError,
    decode_job,
    decode_progress,
    job_key,
    job_of_key,
    progress_key,
)
from foxtailwell.workflows import (
    Change,
    Job,
    JobProgress,
    JobRegistry,
    JobState,
    KeyValueStore,
    Queue,
    StoreCallError,
)

__all__ = ["StoredJobs"]

MAX_RECORD_DELETIONS = 30
"""Limit of records deleted in one transaction; the store accepts 32 entries."""

UNKNOWN_QUEUE_ATTEMPTS = 1_000_000
"""Attempts of a job whose queue was removed, so that it does not fail on an unknown limit."""


class StoredJobs:
    """Adds stored jobs to the registry, and removes ended jobs and their old records.

    Args:
        store: The platform's store.
        registry: State of all unfinished jobs.
        commits: Revisions and marks of the stored records.
        find_queue: Returns a queue of the current configuration by name; None if there is none.
        retention_s: Time for which clients may query ended jobs; records are kept twice as long.
        now_s: Local clock that also advances while the machine is suspended.
        now_unix_ms: Time of day.
        metrics: Counts ended jobs and met targets.
    """

    def __init__(
        self,
        store: KeyValueStore,
        registry: JobRegistry,
        commits: Commits,
        find_queue: Callable[[str], Queue | None],
        *,
        retention_s: float,
        now_s: Callable[[], float],
        now_unix_ms: Callable[[], int],
        metrics: WorkMetrics,
    ) -> None:
        self._store = store
        self._registry = registry
        self._commits = commits
        self._find_queue = find_queue
        self._retention_ms = retention_s * 1000
        self._now_s = now_s
        self._now_unix_ms = now_unix_ms
        self._metrics = metrics
        self._ended_unix_ms: dict[str, int] = {}
        # Revisions of the newest cancellation marks, by job.
        self._mark_revisions: dict[str, int] = {}
        # Jobs whose progress cannot be read; started anew, completed tasks would run again.
        self._unreadable: set[str] = set()

    async def load(self, token: int) -> int:
        """Read all records at the start of a term.

        Args:
            token: Fencing token of the term, for the log.

        Returns:
            The revision from which to watch submissions and cancellations.

        Raises:
            StoreCallError: The store gave no usable response.
        """
        items, _ = await self._store.list_items(PROGRESS_PREFIX)
        progress: dict[str, JobProgress] = {}
        for item in items:
            # A term with many or large jobs must not end before they are loaded.
            await anyio.lowlevel.checkpoint()
            job_id = item.key[len(PROGRESS_PREFIX) :]
            self._commits.revisions[job_id] = item.revision
            try:
                progress[job_id] = decode_progress(item.value)
            except RecordError as error:
                log_event(RECORD_UNREADABLE, key=item.key, reason=str(error))
                self._unreadable.add(job_id)
        intake, revision = await self._store.list_items(INTAKE_PREFIX)
        jobs = {job_of_key(item.key) for item in intake} - {None}
        for item in intake:
            await anyio.lowlevel.checkpoint()
            change = Change(item.key, item.value, item.revision)
            self.apply(change, progress, is_recovered=True)
        for job_id, record in progress.items():
            if job_id not in jobs:
                self._ended_unix_ms[job_id] = record.ended_unix_ms
                self._registry.add_ended(job_id, record.run_numbers.highest)
        log_event(CONTROLLER_LOADED, token=token, jobs=len(jobs), ended=len(progress))
        return revision

    async def find_missed_submissions(self) -> tuple[Change, ...]:
        """Return submissions that no watch has reported.

        They are found by the keys that count jobs without a started task.

        Raises:
            StoreCallError: The store gave no usable response.
        """
        marks, _ = await self._store.list_items(WAITING_PREFIX)
        waiting = [mark.key.rpartition("/")[2] for mark in marks]
        missed = [j for j in waiting if not self._is_known(j)]
        found = [await self._store.get(job_key(job_id)) for job_id in missed]
        return tuple(Change(i.key, i.value, i.revision) for i in found if i is not None)

    def apply(
        self, change: Change, progress: Mapping[str, JobProgress], *, is_recovered: bool = False
    ) -> None:
        """Apply a stored submission or cancellation.

        Args:
            change: Item or change under `INTAKE_PREFIX`.
            progress: Stored progress by job; empty for new submissions.
            is_recovered: The item was stored before this term, so that a job's age counts.
        """
        if change.key.startswith(CANCEL_PREFIX):
            if change.value is not None:
                job_id = change.key[len(CANCEL_PREFIX) :]
                self._mark_revisions[job_id] = change.revision
                self._registry.cancel(job_id, self._now_unix_ms())
        elif change.value not in (None, REFUSED_MARK):
            self._apply_submission(change, progress, is_recovered)

    def _is_known(self, job_id: str) -> bool:
        is_ended = job_id in self._ended_unix_ms
        return job_id in self._registry.jobs or is_ended or job_id in self._unreadable

    def _apply_submission(
        self, change: Change, progress: Mapping[str, JobProgress], is_recovered: bool
    ) -> None:
        job_id = job_of_key(change.key)
        if job_id is None or self._is_known(job_id):
            return
        try:
            submission = decode_job(job_id, change.value or b"")
        except RecordError as error:
            log_event(RECORD_UNREADABLE, key=change.key, reason=str(error))
            return
        queue = self._find_queue(submission.queue)
        if queue is None:
            # The queue was removed: its runs continue, and no task of it starts.
            queue = Queue(submission.queue, pool="", max_attempts=UNKNOWN_QUEUE_ATTEMPTS)
        record = progress.get(job_id)
        if not (record and (record.has_started or record.state.is_final)):
            self._commits.waiting_marks.add(job_id)
        # The clocks of two instances may differ, so a job never counts as accepted in the future.
        # Records without a time of acceptance count as new.
        is_aged = is_recovered and submission.accepted_unix_ms > 0
        age_ms = self._now_unix_ms() - submission.accepted_unix_ms if is_aged else 0
        self._registry.add(submission, queue, self._now_s(), record, age_s=max(0, age_ms) / 1000)
        self._registry.prepare(job_id, self._now_unix_ms())
        # Listings name marks before jobs; an older mark belongs to an earlier job.
        if self._mark_revisions.get(job_id, 0) > change.revision:
            self._registry.cancel(job_id, self._now_unix_ms())
        log_event(JOB_WAITING, job=job_id, queue=submission.queue, steps=len(submission.steps))

    def remove_ended(self, jobs: Iterable[Job]) -> list[Job]:
        """Remove ended jobs without placed tasks from the registry.

        Args:
            jobs: Jobs whose current progress is stored.

        Returns:
            The removed jobs.
        """
        removed: list[Job] = []
        for job in jobs:
            job_id = job.submission.job_id
            if job.state.is_final and not job.has_placed_tasks and job_id in self._registry.jobs:
                self._report_end(job)
                self._ended_unix_ms[job_id] = job.ended_unix_ms
                self._registry.remove(job_id)
                removed.append(job)
        return removed

    def _report_end(self, job: Job) -> None:
        queue, account = job.submission.queue, job.submission.account
        elapsed_s = self._now_s() - job.accepted_s
        log_event(
            JOB_ENDED,
            job=job.submission.job_id,
            queue=queue,
            account=account,
            state=job.state.value,
            elapsed_s=round(elapsed_s, 2),
            target_s=round(job.target_s(), 2),
        )
        self._metrics.count("jobs", queue=queue, account=account, state=job.state.value)
        self._metrics.observe_s("job", elapsed_s, queue=queue)
        if job.state is JobState.COMPLETED and not job.submission.start_at_unix_ms:
            result = "met" if elapsed_s <= job.target_s() else "missed"
            self._metrics.count("targets", queue=queue, result=result)

    async def delete_old_records(self) -> None:
        """Delete progress records older than twice the retention time; failures are retried."""
        limit = self._now_unix_ms() - self._retention_ms * 2
        old = [j for j, ended in self._ended_unix_ms.items() if ended and ended < limit]
        old = old[:MAX_RECORD_DELETIONS]
        if not old:
            return
        try:
            await self._store.transact({}, (), [progress_key(job_id) for job_id in old])
        except StoreCallError as failure:
            log_event(RECORD_DELETION_DEFERRED, count=len(old), reason=failure.reason)
            return
        for job_id in old:
            self._ended_unix_ms.pop(job_id, None)
            self._mark_revisions.pop(job_id, None)
            self._registry.remove_ended(job_id)
            self._commits.revisions.pop(job_id, None)
