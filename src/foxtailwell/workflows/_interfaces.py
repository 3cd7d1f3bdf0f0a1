"""What the controller and the instances need of the store and of workers."""

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
    "Committed",
    "Conflict",
    "EndedRun",
    "HistoryLostError",
    "Item",
    "KeyValueStore",
    "ListedRun",
    "CommandOutcome",
    "Put",
    "StartCommand",
    "StoreCallError",
    "WorkerCalls",
    "WorkerCallError",
    "WorkerListing",
]


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """A watched key that was written or deleted (`value` is None)."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to be written; a lease of 0 keeps it for good."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction did nothing; the keys of its conditions as they are now."""

    items: Mapping[str, Item]


class StoreCallError(Exception):
    """The store gave no usable answer; call again later.

    Args:
        reason: What happened.
        is_outcome_unknown: Whether the call may have taken effect or may still do so.
    """

    def __init__(self, reason: str, *, is_outcome_unknown: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_outcome_unknown = is_outcome_unknown


class HistoryLostError(Exception):
    """The store dropped the history that a watch asked for; list the prefix again."""


class KeyValueStore(Protocol):
    """The platform's store. Every method may raise `StoreCallError`."""

    async def get(self, key: str) -> Item | None:
        """Read one key."""

    async def list_items(self, prefix: str) -> tuple[list[Item], int]:
        """Read all keys of a prefix, and the revision from which to watch."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> tuple[list[Change], int]:
        """Wait for changes after a revision; raises `HistoryLostError`."""

    async def transact(
        self,
        conditions: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        """Write all or nothing on condition of revisions; 0 stands for an absent key."""

    async def grant_lease(self, ttl_ms: int) -> int:
        """Open a lease."""

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; False when it has ended."""

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease, which deletes its keys."""


class CallFailedError(Exception):
    """A call gave no usable answer; it may still be carried out.

    Args:
        reason: What happened.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class WorkerCallError(CallFailedError):
    """A worker gave no usable answer."""


class AdviceCallError(CallFailedError):
    """The advisor gave no usable answer; ask again later."""


class Advisor(Protocol):
    """Tells which workers a step may run on."""

    async def advise(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        """Return a ticket for each allowed worker; may raise `AdviceCallError`."""


class CommandOutcome(Enum):
    """Response to a start or stop."""

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
    """A task to be started."""

    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as running."""

    task: str
    run: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that a worker lists as ended; `number` counts the ends of this boot."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """What a worker runs and which ends it reports."""

    clock_ms: int
    boot_unix_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]


class WorkerCalls(Protocol):
    """Orders to one worker. Every method may raise `WorkerCallError`."""

    async def start(
        self, command: StartCommand, until_clock_ms: int, token: int
    ) -> tuple[CommandOutcome, int | None]:
        """Start a task; returns the outcome and the worker's clock (None if it did not say)."""

    async def stop(self, task: TaskId, run: int, token: int) -> CommandOutcome:
        """Stop a run, or keep it from beginning."""

    async def renew_lease(
        self, until_clock_ms: int | None, token: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing | CommandOutcome:
        """Extend the lease of all runs and list runs and ends."""

    def close(self) -> None:
        """Close the connections."""
