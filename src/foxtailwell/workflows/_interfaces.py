"""Interfaces of the platform that the controller and the instances use: store, workers, advisor.

They belong to the workflows model; `Change` and `WorkerCalls` are unrelated to the classes of these
names in `core` and `adapters`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from foxtailwell.workflows._jobs import TaskId
from foxtailwell.workflows._tasks import EndKind

__all__ = [
    "AdviceCallError",
    "Advisor",
    "CallFailedError",
    "Change",
    "CommandOutcome",
    "Committed",
    "Conflict",
    "EndedRun",
    "HistoryLostError",
    "Item",
    "KeyValueStore",
    "ListedRun",
    "Put",
    "StartCommand",
    "StoreCallError",
    "WorkerCallError",
    "WorkerCalls",
    "WorkerListing",
]


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """A write or deletion of a watched key; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to be written; it is deleted with its lease, or never if the lease is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction that took effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a transaction without effect because a condition failed.

    Attributes:
        items: Present items of the keys that its conditions named.
    """

    items: Mapping[str, Item]


class StoreCallError(Exception):
    """The store gave no usable response; retry later.

    Args:
        reason: Cause for the log.
        is_outcome_unknown: Whether the call may have taken effect or may still do so.
    """

    def __init__(self, reason: str, *, is_outcome_unknown: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_outcome_unknown = is_outcome_unknown


class HistoryLostError(Exception):
    """The store has discarded the history that a watch asked for; list the prefix again."""


class KeyValueStore(Protocol):
    """Key-value store of the platform. Every method may raise `StoreCallError`."""

    async def get(self, key: str) -> Item | None:
        """Return the item of a key; None when the key is absent."""

    async def list_items(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items of a prefix, and the revision to pass to `watch`."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> tuple[list[Change], int]:
        """Wait up to `wait_ms` for changes after a revision.

        Returns:
            The changes, and the revision to pass to the next call.

        Raises:
            HistoryLostError: The store no longer holds all changes after the revision.
        """

    async def transact(
        self,
        conditions: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        """Apply all writes and deletions atomically if every condition holds.

        Args:
            conditions: Required revision by key; 0 requires the key to be absent.
            puts: Values to be written.
            deletes: Keys to be deleted.
        """

    async def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease and return its identifier."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; returns False if it has expired or was revoked."""

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""


class CallFailedError(Exception):
    """A call got no usable response; it may still take effect.

    Args:
        reason: Cause for the log.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class WorkerCallError(CallFailedError):
    """A worker gave no usable response.

    Args:
        reason: Cause for the log.
        may_have_been_sent: The command may have reached the worker and may still take effect.
    """

    def __init__(self, reason: str, *, may_have_been_sent: bool = True) -> None:
        super().__init__(reason)
        self.may_have_been_sent = may_have_been_sent


class AdviceCallError(CallFailedError):
    """The advisor gave no usable response; retry later."""


class Advisor(Protocol):
    """Service of the platform that decides which workers a step may run on."""

    async def advise(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        """Return tickets by worker; workers without a ticket are not allowed.

        Raises:
            AdviceCallError: The advisor gave no usable response.
        """


class CommandOutcome(Enum):
    """Response of a worker to a command.

    Attributes:
        FENCED: The worker has seen a newer fencing token.
        STALE_RUN: The worker has seen this or a newer run of the task.
        DEADLINE_PASSED: The command arrived after its deadline on the worker's clock.
        NO_CAPACITY: The free capacity of the worker does not suffice.
        NO_TICKET: The worker requires a valid ticket of the advisor.
        UNHEALTHY: The worker currently accepts no commands.
        OTHER_INCARNATION: The address now belongs to another worker identifier.
        INVALID: The worker rejected the command as malformed.
    """

    DONE = "done"
    FENCED = "fenced"
    STALE_RUN = "old run"
    DEADLINE_PASSED = "late"
    NO_CAPACITY = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other boot"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Command to start a run of a task.

    Attributes:
        payload: Text from the submission that the worker interprets.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Ticket of the advisor; empty if the queue needs none.
    """

    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as running.

    Attributes:
        checkpoint: Newest checkpoint; empty for none.
        percent: Progress, 0 to 100.
    """

    task: str
    run: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that a worker lists as ended.

    Attributes:
        number: Sequence number of the end within the worker's incarnation.
        checkpoint: Newest checkpoint; empty for none.
    """

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """Running and ended runs of a worker.

    Attributes:
        clock_ms: The worker's clock at the time of the listing.
        boot_unix_ms: Start time of the worker's incarnation.
        running: All runs that have not ended.
        ended: Ends that have not been acknowledged yet, oldest first.
        is_complete: Whether `ended` has all of them. A worker lists a limited number at once, so a
            run that is missing from an incomplete listing may have ended.
    """

    clock_ms: int
    boot_unix_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    is_complete: bool = True


class WorkerCalls(Protocol):
    """Commands to one worker. Every call may raise `WorkerCallError`.

    Each call carries the fencing token of the controller's term; the worker rejects older tokens.
    """

    async def start(
        self, command: StartCommand, until_clock_ms: int, token: int
    ) -> tuple[CommandOutcome, int | None]:
        """Start a run under a lease that ends at `until_clock_ms` on the worker's clock.

        Returns:
            The outcome, and the worker's clock in milliseconds; None if it was not reported.
        """

    async def stop(self, task: TaskId, run: int, token: int) -> CommandOutcome:
        """Stop a run; a run that has not started yet will be rejected."""

    async def renew_lease(
        self, until_clock_ms: int | None, token: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing | CommandOutcome:
        """Renew the lease of all runs and list running and ended runs.

        Args:
            until_clock_ms: New end of the lease on the worker's clock; None to only list.
            token: Fencing token.
            acknowledged: Highest number of an end that needs no further listing.
            wait_ms: Longest time for which the worker may wait for an end before it responds.
        """

    def close(self) -> None:
        """Close the connections to the worker."""
