"""Client of the platform's workers.

A worker has one call, `POST /v1/sync`: it carries out commands, renews task leases and reports its
tasks. Another kind of worker is plugged in by a module with the same functions.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec

from foxtailwell.adapters.http_client import TRANSPORT_ERRORS, HttpClient, open_http_client
from foxtailwell.core import Operation, TaskState
from foxtailwell.core.errors import StaleTermError, UnavailableError

__all__ = [
    "CommandRefusal",
    "SyncReply",
    "SyncRequest",
    "TaskReport",
    "WorkerCallCounts",
    "WorkerClient",
    "WorkerCommand",
    "open_worker",
]


@dataclass(frozen=True, slots=True)
class WorkerCommand:
    """Command for one task.

    Attributes:
        op: What to do.
        job_id: Job of the task.
        attempt: Attempt of the job; the worker refuses one lower than it has seen.
        member: Number of the member in its gang.
        accelerators: Indexes that the task uses.
        lease_s: Task lease that a preparation begins.
        valid_s: Time by the worker's clock in which a preparation can be started and run.
        checkpoint: Checkpoint to continue from, or to write.
        payload: Opaque arguments of the job.
        throttle_share: Share of the full speed, for `throttle`.
    """

    op: Operation
    job_id: str
    attempt: int
    member: int
    accelerators: tuple[int, ...] = ()
    lease_s: float = 0.0
    valid_s: float = 0.0
    checkpoint: str = ""
    payload: str = ""
    throttle_share: float = 1.0


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Everything that a scheduler tells one worker.

    Attributes:
        zone: Zone whose scheduler calls.
        term: Fencing token; the worker refuses one lower than it has seen for the zone.
        commands: Commands in order.
        renew: Jobs whose task leases are renewed.
        renew_from_clock_s: The worker's clock in the last reply. The renewed lease counts from
            it, so that a request delayed in the network cannot extend a lease that the
            scheduler takes for lapsed.
    """

    zone: str
    term: int
    commands: tuple[WorkerCommand, ...] = ()
    renew: tuple[str, ...] = ()
    renew_from_clock_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of one task; `usage` is the share of its accelerators in use some seconds ago."""

    job_id: str
    attempt: int
    member: int
    state: TaskState
    has_run: bool = False
    checkpoint: str = ""
    usage: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CommandRefusal:
    """A command that the worker did not carry out."""

    op: Operation
    job_id: str
    attempt: int
    member: int
    reason: str


@dataclass(frozen=True, slots=True)
class SyncReply:
    """What one worker reports."""

    clock_s: float
    tasks: tuple[TaskReport, ...] = ()
    refused: tuple[CommandRefusal, ...] = ()


@dataclass(frozen=True, slots=True)
class _StaleTerm:
    term: int


@dataclass(slots=True)
class WorkerCallCounts:
    """Calls sent to all workers so far, and their bytes."""

    calls: int = 0
    bytes_sent: int = 0


class WorkerClient:
    """Calls of one worker."""

    def __init__(self, http: HttpClient, totals: WorkerCallCounts, timeout_s: float) -> None:
        self._http = http
        self._totals = totals
        self._timeout_s = timeout_s

    async def sync(self, address: str, request: SyncRequest) -> SyncReply:
        """Send commands and renewals to a worker.

        Args:
            address: `host:port` of the worker.
            request: What the worker is told.

        Returns:
            All tasks of the worker, and the commands that it refused.

        Raises:
            StaleTermError: The worker has seen a higher term for the zone; it did nothing.
            UnavailableError: No response arrived; the commands may have been carried out.
        """
        sent_before_bytes = self._http.bytes_sent
        self._totals.calls += 1
        try:
            reply = await self._http.request(
                "POST",
                f"http://{address}/v1/sync",
                body=msgspec.json.encode(request),
                headers={"content-type": "application/json"},
                timeout_s=self._timeout_s,
            )
        except TRANSPORT_ERRORS as error:
            raise _unavailable(address, type(error).__name__) from error
        finally:
            self._totals.bytes_sent += self._http.bytes_sent - sent_before_bytes
        try:
            if reply.status == 409:
                seen = msgspec.json.decode(reply.body, type=_StaleTerm)
                raise StaleTermError(request.zone, request.term, seen.term)
            if reply.status == 200:
                return msgspec.json.decode(reply.body, type=SyncReply)
        except msgspec.DecodeError as error:
            raise _unavailable(address, str(error)) from error
        raise _unavailable(address, f"status {reply.status}")


def _unavailable(address: str, cause: str) -> UnavailableError:
    return UnavailableError(
        f"worker {address}: {cause}", "commands are repeated; check the worker if this continues"
    )


@asynccontextmanager
async def open_worker(totals: WorkerCallCounts, *, timeout_s: float) -> AsyncIterator[WorkerClient]:
    """Open a client for one worker, whose address may change.

    Each worker has a pool of its own, because a pool looks at all of its connections with every
    call.

    Args:
        totals: Where the calls are counted.
        timeout_s: Limit of each step of a call.
    """
    async with open_http_client("", max_connections=2) as http:
        yield WorkerClient(http, totals, timeout_s)
