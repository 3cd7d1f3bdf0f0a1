"""Job submissions, cancellations and queries, which every instance serves from the store.

A client addresses a job by a queue and an identifier. The first job with an identifier is stored
under that identifier, as by earlier versions. While it is known, a namesake, that is a job with the
same identifier on another queue, is stored under an identifier that contains its queue.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
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
    Item,
    JobState,
    KeyValueStore,
    Put,
    StoreCallError,
    Submission,
    namesake_id,
    submission_digest,
)

__all__ = ["CancelOutcome", "Intake", "IntakeError", "SubmitOutcome"]

MAX_VALUE_BYTES = 2**20
"""Largest value that the store accepts, unless the settings name another."""

MAX_CREATE_ATTEMPTS = 4
"""Attempts to store a job while other jobs with its identifier come and go."""

MAX_CANCEL_ATTEMPTS = 3
"""Attempts to mark a job as cancelled while it ends."""


class SubmitOutcome(Enum):
    """Outcome of a submission.

    Attributes:
        DUPLICATE: The same job was stored before.
        CONFLICTING: Another job has this identifier on this queue.
        TOO_LARGE: The job does not fit into a value of the store, however often it is submitted.
        REFUSED: The job is not stored, and this submission can no longer take effect.
        UNKNOWN: The job may have been stored; submit it again to find out.
        CONFIGURATION_CHANGED: A guard failed; check the job against the new configuration.
    """

    STORED = "stored"
    DUPLICATE = "known"
    CONFLICTING = "conflicting"
    TOO_LARGE = "too large"
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


@dataclass(frozen=True, slots=True)
class _StoredJob:
    """What the records of a job tell about it.

    Attributes:
        queue: Queue of the job; empty if only a record of an earlier version is left of it.
        account: Client account of the job; empty if unknown or none.
        digest: Digest of its submission; empty if unknown.
    """

    job_id: str
    state: JobState = JobState.QUEUED
    queue: str = ""
    account: str = ""
    digest: str = ""

    def is_on(self, queue: str) -> bool:
        """Return whether it may be the job that clients of a queue mean by its identifier."""
        return self.queue in ("", queue)

    def is_of(self, account: str) -> bool:
        """Return whether it may belong to an account; an empty one stands for every account."""
        return not self.account or not account or self.account == account


def _stored_job(job_id: str, submitted: Item | None, progress: Item | None) -> _StoredJob | None:
    """Return a job by its records; None if there is none.

    Raises:
        RecordError: A record cannot be decoded.
    """
    record = decode_progress(progress.value) if progress else None
    if record is not None and record.queue:
        return _StoredJob(job_id, record.state, record.queue, record.account, record.digest)
    state = record.state if record else JobState.QUEUED
    if submitted is not None and submitted.value != REFUSED_MARK:
        submission = decode_submission_record(submitted.value)
        return _StoredJob(job_id, state, submission.queue, submission.account, submission.digest)
    return _StoredJob(job_id, state) if record else None


def _is_same(found: _StoredJob, submission: Submission, account: str) -> bool:
    has_same_content = found.digest in ("", submission.digest)
    return has_same_content and found.is_of(account)


class Intake:
    """Access of client requests to the jobs in the store.

    Args:
        store: The platform's store.
        max_value_bytes: Largest value that the store accepts.
    """

    def __init__(self, store: KeyValueStore, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self._store = store
        self._max_value_bytes = max_value_bytes

    @property
    def max_value_bytes(self) -> int:
        """Largest encoded job that can be stored."""
        return self._max_value_bytes

    async def submit(
        self, submission: Submission, guards: Mapping[str, int], account: str | None = None
    ) -> SubmitOutcome:
        """Store a job unless it is stored already.

        Args:
            submission: The job.
            guards: Store conditions on the configuration that the job was checked against.
            account: Account that an earlier copy must have; None for that of the submission, empty
                if clients of the queue need none.

        Returns:
            The outcome; REFUSED only if this submission can never take effect.
        """
        submission = replace(submission, digest=submission_digest(submission))
        encoded = encode_submission_record(submission)
        if len(encoded) > self._max_value_bytes:
            return SubmitOutcome.TOO_LARGE
        account = submission.account if account is None else account
        job_id = submission.job_id
        own_id = namesake_id(job_id, submission.queue)
        keys = [key(name) for name in (job_id, own_id) for key in (job_key, progress_key)]
        conditions = dict.fromkeys(keys, 0)
        stored_id = job_id
        for _ in range(MAX_CREATE_ATTEMPTS):
            puts = [
                Put(job_key(stored_id), encoded),
                Put(waiting_key(submission.queue, stored_id), b""),
            ]
            try:
                result = await self._store.transact({**conditions, **guards}, puts)
            except StoreCallError as failure:
                if not failure.is_outcome_unknown:
                    return SubmitOutcome.REFUSED
                return await self._resolve_unknown(submission, account, stored_id, conditions)
            if isinstance(result, Committed):
                return SubmitOutcome.STORED
            known = _known_outcome(result, submission, account)
            if known is not None:
                return known
            next_id, next_conditions = _choose_identifier(result, submission, keys)
            if next_conditions == conditions:
                return SubmitOutcome.CONFIGURATION_CHANGED
            stored_id, conditions = next_id, next_conditions
        return SubmitOutcome.UNKNOWN

    async def _resolve_unknown(
        self,
        submission: Submission,
        account: str,
        stored_id: str,
        conditions: Mapping[str, int],
    ) -> SubmitOutcome:
        """Find out whether a submission without a response took effect; if not, prevent it.

        A conflict without the job prevents it as well: a condition that has failed by another
        record does not hold again before that record is deleted, minutes later.
        """
        mark = Put(job_key(stored_id), REFUSED_MARK)
        try:
            # No retry: clients wait for 3 s, and each of the two calls times out after 1.2 s.
            result = await self._store.transact(conditions, [mark])
        except StoreCallError:
            return SubmitOutcome.UNKNOWN
        if isinstance(result, Committed):
            return SubmitOutcome.REFUSED
        return _known_outcome(result, submission, account) or SubmitOutcome.REFUSED

    async def state(self, job_id: str, queue: str, account: str = "") -> JobState | None:
        """Return a job's state; None if the account has no such job on the queue.

        Args:
            job_id: Identifier that the client chose.
            queue: Queue of the job.
            account: Account of the client; empty if clients of the queue need none.

        Raises:
            IntakeError: The store gave no usable response, or a record cannot be decoded.
        """
        found = await self._find(job_id, queue, account)
        return found.state if found else None

    async def _find(self, job_id: str, queue: str, account: str) -> _StoredJob | None:
        try:
            for _ in range(2):
                first = await self._read(job_id)
                found = first if first and first.queue == queue else None
                found = found or await self._read(namesake_id(job_id, queue))
                if found is None and first is not None and first.is_on(queue):
                    found = first
                if found is not None:
                    return found if found.is_of(account) else None
                # The job may have ended between both reads, which created its progress record.
        except StoreCallError as failure:
            raise IntakeError(failure.reason) from failure
        except RecordError as error:
            raise IntakeError(str(error)) from error
        return None

    async def _read(self, job_id: str) -> _StoredJob | None:
        progress = await self._store.get(progress_key(job_id))
        found = _stored_job(job_id, None, progress)
        if found is not None and found.queue:
            return found
        return _stored_job(job_id, await self._store.get(job_key(job_id)), progress)

    async def cancel(self, job_id: str, queue: str, account: str = "") -> CancelOutcome:
        """Store a cancellation mark for a job that has not ended.

        Args:
            job_id: Identifier that the client chose.
            queue: Queue of the job.
            account: Account of the client; empty if clients of the queue need none.

        Raises:
            IntakeError: The store gave no usable response; the mark may have been stored.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            found = await self._find(job_id, queue, account)
            if found is None:
                return CancelOutcome.ABSENT
            if found.state.is_final:
                return CancelOutcome.ENDED
            try:
                if await self._mark_cancelled(found.job_id):
                    return CancelOutcome.STORED
            except StoreCallError as failure:
                raise IntakeError(failure.reason) from failure
        raise IntakeError("the job has changed with every attempt")

    async def _mark_cancelled(self, job_id: str) -> bool:
        """Store a cancellation mark, and return whether it is stored.

        The mark requires the submission, with which the controller deletes it. One that is stored
        after the end of the job would cancel a later job with its identifier.
        """
        submitted = await self._store.get(job_key(job_id))
        if submitted is None:
            return False
        mark = cancel_key(job_id)
        conditions = {mark: 0, job_key(job_id): submitted.revision}
        result = await self._store.transact(conditions, [Put(mark, b"")])
        return isinstance(result, Committed) or mark in result.items

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


def _known_outcome(
    conflict: Conflict, submission: Submission, account: str
) -> SubmitOutcome | None:
    """Return the outcome of a submission whose job the conflict shows; None if it shows none."""
    items = conflict.items
    for job_id in (submission.job_id, namesake_id(submission.job_id, submission.queue)):
        try:
            found = _stored_job(job_id, items.get(job_key(job_id)), items.get(progress_key(job_id)))
        except RecordError:
            # Stored by a newer version, or damaged: nothing tells it from an earlier copy.
            return SubmitOutcome.DUPLICATE
        if found is not None and found.is_on(submission.queue):
            is_same = _is_same(found, submission, account)
            return SubmitOutcome.DUPLICATE if is_same else SubmitOutcome.CONFLICTING
    return None


def _choose_identifier(
    conflict: Conflict, submission: Submission, keys: list[str]
) -> tuple[str, dict[str, int]]:
    """Return the identifier under which to store a job that is not stored, and the conditions.

    The conditions hold only while no other copy of the submission is stored under either
    identifier. The progress of a job that has not ended changes often, so its submission is
    compared in its place.
    """
    items = conflict.items
    revisions = {key: items[key].revision if key in items else 0 for key in keys}
    job_id = submission.job_id
    submitted, progress = items.get(job_key(job_id)), items.get(progress_key(job_id))
    if _stored_job(job_id, submitted, progress) is None:
        return job_id, revisions
    if submitted is not None and submitted.value != REFUSED_MARK:
        del revisions[progress_key(job_id)]
    return namesake_id(job_id, submission.queue), revisions
