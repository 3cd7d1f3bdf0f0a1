"""Job submissions, cancellations and queries, which every instance serves from the store."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from foxtailwell.controller._records import (
    REFUSED_MARK,
    RecordError,
    cancel_key,
    decode_progress,
    decode_submission_record,
    encode_submission_record,
    job_key,
    progress_key,
    waiting_key,
    waiting_prefix,
)
from foxtailwell.workflows import (
    Committed,
    Conflict,
    JobState,
    KeyValueStore,
    Put,
    StoreCallError,
    Submission,
)

__all__ = ["CancelOutcome", "Intake", "IntakeError", "SubmitOutcome"]


class SubmitOutcome(Enum):
    """Outcome of a submission.

    Attributes:
        DUPLICATE: A job with this identifier was stored before.
        REFUSED: The job is not stored, and this submission can no longer take effect.
        UNKNOWN: The job may have been stored; submit it again to find out.
        CONFIGURATION_CHANGED: A guard failed; check the job against the new configuration.
    """

    STORED = "stored"
    DUPLICATE = "known"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CONFIGURATION_CHANGED = "configuration changed"


class CancelOutcome(Enum):
    """Outcome of a cancellation.

    Attributes:
        STORED: The cancellation mark is stored, by this call or an earlier one.
        ENDED: The job has already ended.
        ABSENT: There is no such job.
    """

    STORED = "stored"
    ENDED = "ended"
    ABSENT = "absent"


class IntakeError(Exception):
    """The store gave no usable response, so retry later, or a record cannot be decoded."""


class Intake:
    """Access of client requests to the jobs in the store.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def submit(self, submission: Submission, guards: Mapping[str, int]) -> SubmitOutcome:
        """Store a job unless one with its identifier is stored already.

        Args:
            submission: The job.
            guards: Store conditions on the configuration that the job was checked against.

        Returns:
            The outcome; REFUSED only if this submission can never take effect.
        """
        job_id = submission.job_id
        key = job_key(job_id)
        conditions = {key: 0, progress_key(job_id): 0, **guards}
        puts = [
            Put(key, encode_submission_record(submission)),
            Put(waiting_key(submission.queue, job_id), b""),
        ]
        try:
            result = await self._store.transact(conditions, puts)
        except StoreCallError as failure:
            if not failure.is_outcome_unknown:
                return SubmitOutcome.REFUSED
            return await self._resolve_unknown(submission)
        if isinstance(result, Committed):
            return SubmitOutcome.STORED
        if progress_key(job_id) in result.items:
            return SubmitOutcome.DUPLICATE
        item = result.items.get(key)
        if item is None:
            return SubmitOutcome.CONFIGURATION_CHANGED
        if item.value != REFUSED_MARK:
            return SubmitOutcome.DUPLICATE
        return await self._overwrite_refused(conditions | {key: item.revision}, puts)

    async def _overwrite_refused(
        self, conditions: Mapping[str, int], puts: list[Put]
    ) -> SubmitOutcome:
        """Store a job whose earlier submission was refused and can no longer take effect."""
        try:
            result = await self._store.transact(conditions, puts)
        except StoreCallError as failure:
            return SubmitOutcome.UNKNOWN if failure.is_outcome_unknown else SubmitOutcome.REFUSED
        return SubmitOutcome.STORED if isinstance(result, Committed) else SubmitOutcome.UNKNOWN

    async def _resolve_unknown(self, submission: Submission) -> SubmitOutcome:
        """Find out whether a submission without a response took effect; if not, prevent it."""
        key = job_key(submission.job_id)
        conditions = {key: 0, progress_key(submission.job_id): 0}
        try:
            # No retry: clients wait for 3 s, and each of the two calls times out after 1.2 s.
            result = await self._store.transact(conditions, [Put(key, REFUSED_MARK)])
        except StoreCallError:
            return SubmitOutcome.UNKNOWN
        if isinstance(result, Committed):
            return SubmitOutcome.REFUSED
        return self._outcome_from_conflict(result, key, submission.job_id)

    @staticmethod
    def _outcome_from_conflict(result: Conflict, key: str, job_id: str) -> SubmitOutcome:
        if progress_key(job_id) in result.items:
            return SubmitOutcome.DUPLICATE
        item = result.items.get(key)
        if item is None:
            return SubmitOutcome.UNKNOWN
        return SubmitOutcome.REFUSED if item.value == REFUSED_MARK else SubmitOutcome.DUPLICATE

    async def state(self, job_id: str) -> tuple[JobState, str] | None:
        """Return a job's state and its queue; None if there is no such job.

        The queue is empty once the job has a progress record.

        Raises:
            IntakeError: The store gave no usable response, or the record cannot be decoded.
        """
        try:
            for _ in range(2):
                progress = await self._store.get(progress_key(job_id))
                if progress is not None:
                    return decode_progress(progress.value).state, ""
                item = await self._store.get(job_key(job_id))
                if item is not None:
                    if item.value == REFUSED_MARK:
                        return None
                    submission = decode_submission_record(item.value)
                    return JobState.QUEUED, submission.queue
                # The job may have ended between both reads, which created its progress record.
        except StoreCallError as failure:
            raise IntakeError(failure.reason) from failure
        except RecordError as error:
            raise IntakeError(str(error)) from error
        return None

    async def cancel(self, job_id: str) -> CancelOutcome:
        """Store a cancellation mark for a job that has not ended.

        Raises:
            IntakeError: The store gave no usable response; the mark may have been stored.
        """
        state = await self.state(job_id)
        if state is None:
            return CancelOutcome.ABSENT
        if state[0].is_final:
            return CancelOutcome.ENDED
        try:
            # A conflict means that the mark is there already.
            await self._store.transact({cancel_key(job_id): 0}, [Put(cancel_key(job_id), b"")])
        except StoreCallError as failure:
            raise IntakeError(failure.reason) from failure
        return CancelOutcome.STORED

    async def pending_count(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue without any started task.

        Raises:
            IntakeError: The store gave no usable response.
        """
        try:
            items, _ = await self._store.list_items(waiting_prefix(queue))
        except StoreCallError as failure:
            raise IntakeError(failure.reason) from failure
        return len(items)
