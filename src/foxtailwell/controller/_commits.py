"""Stores changed jobs in transactions that are conditional on the revision of each record."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel

from foxtailwell.adapters.events import COMMIT_UNCONFIRMED
from foxtailwell.adapters.logs import log_event
from foxtailwell.controller._records import (
    CONTROLLER_KEY,
    cancel_key,
    encode_progress,
    job_key,
    progress_key,
    waiting_key,
)
from foxtailwell.workflows import (
    Committed,
    Conflict,
    Item,
    Job,
    KeyValueStore,
    Put,
    StoreCallError,
)

__all__ = ["Commits", "ControllerLostError", "JobChange", "RejectedTransaction"]

MAX_TRANSACTION_ENTRIES = 32
"""Limit of the platform's store on conditions, puts and deletes together."""

SHARED_ENTRIES = 8
"""Entries of a transaction reserved for the controller key, the configuration and zones."""

RETRY_PAUSE_S = 0.15
"""Pause before a transaction without a response is retried."""


class ControllerLostError(Exception):
    """This term has ended; another instance may be the controller."""


@dataclass(frozen=True, slots=True)
class JobChange:
    """A job whose progress is to be stored.

    Attributes:
        is_starting: The record assigns new runs, so the transaction requires that the job has no
            cancellation mark.
        zones: Availability zones in which it starts runs.
    """

    job: Job
    is_starting: bool = False
    zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RejectedTransaction:
    """A transaction without effect because other writers changed a condition.

    Attributes:
        jobs: Identifiers of all jobs of the transaction.
        cancelled: Those of its jobs that have a cancellation mark.
        operator_items: Current items of the changed operator keys; deleted ones are missing.
    """

    jobs: tuple[str, ...]
    cancelled: tuple[str, ...]
    operator_items: Mapping[str, Item]


@dataclass(slots=True)
class _Transaction:
    conditions: dict[str, int] = field(default_factory=dict)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)


class Commits:
    """Stores job records and keeps track of their revisions.

    Args:
        store: The platform's store.
        token: Fencing token: the revision of the controller key, required by each transaction.
        check_term: Raises `ControllerLostError` once this term has ended.

    Attributes:
        revisions: Revisions of the stored progress records, by job.
        waiting_marks: Jobs with a key in the store that counts them as not started.
    """

    def __init__(self, store: KeyValueStore, token: int, check_term: Callable[[], None]) -> None:
        self._store = store
        self._token = token
        self._check_term = check_term
        self.revisions: dict[str, int] = {}
        self.waiting_marks: set[str] = set()

    async def store(
        self, changes: Sequence[JobChange], guards: Callable[[frozenset[str]], Mapping[str, int]]
    ) -> list[RejectedTransaction]:
        """Store all changes, in concurrent transactions of several jobs each.

        Transactions without a response are retried until the term ends.

        Args:
            changes: Jobs to be stored.
            guards: Returns further conditions for starts in the given zones.

        Returns:
            The transactions without effect; all others are durable.

        Raises:
            ControllerLostError: This term has ended.
        """
        rejected: list[RejectedTransaction] = []

        async def run(transaction: _Transaction) -> None:
            rejection = await self._commit(transaction)
            if rejection is not None:
                rejected.append(rejection)

        async with anyio.create_task_group() as group:
            for transaction in self._transactions(changes, guards):
                group.start_soon(run, transaction)
                # Encoding the records of large jobs must not hold up other work of the process.
                await anyio.lowlevel.checkpoint()
        return rejected

    def _transactions(
        self, changes: Sequence[JobChange], guards: Callable[[frozenset[str]], Mapping[str, int]]
    ) -> Iterator[_Transaction]:
        current = _Transaction()
        count = SHARED_ENTRIES
        for change in changes:
            entries = _Transaction()
            self._add(entries, change)
            size = len(entries.conditions) + len(entries.puts) + len(entries.deletes)
            if current.jobs and count + size > MAX_TRANSACTION_ENTRIES:
                yield current
                current, count = _Transaction(), SHARED_ENTRIES
            count += size
            current.conditions |= entries.conditions | {CONTROLLER_KEY: self._token}
            if change.is_starting:
                current.conditions |= guards(change.zones)
            current.puts += entries.puts
            current.deletes += entries.deletes
            current.jobs.append(change.job)
        if current.jobs:
            yield current

    def _add(self, entries: _Transaction, change: JobChange) -> None:
        job = change.job
        job_id = job.submission.job_id
        key = progress_key(job_id)
        entries.conditions[key] = self.revisions.get(job_id, 0)
        entries.puts.append(Put(key, encode_progress(job.progress())))
        if change.is_starting:
            entries.conditions[cancel_key(job_id)] = 0
        if (job.has_started or job.state.is_final) and job_id in self.waiting_marks:
            entries.deletes.append(waiting_key(job.submission.queue, job_id))
        if job.state.is_final and not job.has_placed_tasks:
            # The mark of a client may be there although the watch has not reported it yet.
            entries.deletes += [job_key(job_id), cancel_key(job_id)]

    async def _commit(self, transaction: _Transaction) -> RejectedTransaction | None:
        is_repeated = False
        while True:
            self._check_term()
            try:
                result = await self._store.transact(
                    transaction.conditions, transaction.puts, transaction.deletes
                )
            except StoreCallError as failure:
                is_repeated = is_repeated or failure.is_outcome_unknown
                log_event(
                    COMMIT_UNCONFIRMED,
                    reason=failure.reason,
                    jobs=[job.submission.job_id for job in transaction.jobs],
                )
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if isinstance(result, Conflict) and is_repeated:
                result = _earlier_commit(transaction, result) or result
            if isinstance(result, Committed):
                self._record_commit(transaction, result.revision)
                return None
            return self._rejected(transaction, result)

    def _record_commit(self, transaction: _Transaction, revision: int) -> None:
        for job in transaction.jobs:
            job_id = job.submission.job_id
            self.revisions[job_id] = revision
            if job.has_started or job.state.is_final:
                self.waiting_marks.discard(job_id)

    def _rejected(self, transaction: _Transaction, conflict: Conflict) -> RejectedTransaction:
        current = conflict.items.get(CONTROLLER_KEY)
        if current is None or current.revision != self._token:
            raise ControllerLostError("another instance holds the controller key")
        jobs = tuple(job.submission.job_id for job in transaction.jobs)
        cancelled = tuple(job_id for job_id in jobs if cancel_key(job_id) in conflict.items)
        own = {CONTROLLER_KEY} | {progress_key(j) for j in jobs} | {cancel_key(j) for j in jobs}
        changed = {
            key
            for key, revision in transaction.conditions.items()
            if key not in own
            and (conflict.items[key].revision if key in conflict.items else 0) != revision
        }
        if not cancelled and not changed:
            raise ControllerLostError("a job record was changed by another writer")
        items = {key: item for key, item in conflict.items.items() if key in changed}
        return RejectedTransaction(jobs, cancelled, items)


def _earlier_commit(transaction: _Transaction, conflict: Conflict) -> Committed | None:
    """Return the result of an earlier attempt that took effect; None if there was none."""
    revisions = set()
    for put in transaction.puts:
        item = conflict.items.get(put.key)
        if item is None or item.value != put.value:
            return None
        revisions.add(item.revision)
    return Committed(revisions.pop()) if len(revisions) == 1 else None
