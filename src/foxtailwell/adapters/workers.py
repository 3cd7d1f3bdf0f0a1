"""HTTP client for the platform's workers.

A worker has one endpoint, `POST /v1/sync`, which executes commands, renews task leases and returns
the state of all tasks. To support another kind of worker, replace this module by one with the same
functions.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec

from foxtailwell.adapters.http_client import (
    TRANSPORT_ERRORS,
    HttpClient,
    HttpReply,
    open_http_client,
)
from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.adapters.ranges import decode_in_range
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
    """A command to a worker about one task.

    Attributes:
        op: Operation to execute.
        job_id: Job of the task.
        attempt: Attempt of the job; the worker refuses attempts lower than one it has seen.
        member: Number of the task in its gang.
        accelerators: Indexes of the accelerators that the task uses.
        lease_s: Duration of the task lease that begins with `prepare`.
        valid_s: Time on the worker's clock within which a prepared task can be started and run.
        checkpoint: Checkpoint to resume from or to write.
        payload: Opaque arguments of the job.
        throttle_share: Fraction of the full speed, for `throttle`.
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
    """Commands and lease renewals from a scheduler to one worker.

    Attributes:
        zone: Zone of the calling scheduler.
        term: Fencing token; the worker refuses terms lower than one it has seen for the zone.
        commands: Commands in the order of execution.
        renew: Jobs whose task leases are renewed.
        renew_from_clock_s: The worker's clock in its last reply, from which the renewed lease
            counts. Otherwise a request delayed in the network could extend a lease that the
            scheduler regards as expired.
    """

    zone: str
    term: int
    commands: tuple[WorkerCommand, ...] = ()
    renew: tuple[str, ...] = ()
    renew_from_clock_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of one task; `usage` is the fraction of its accelerators in use some seconds ago."""

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
    """A command that the worker refused, with the reason."""

    op: Operation
    job_id: str
    attempt: int
    member: int
    reason: str


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Reply of a worker: its clock, its tasks and the refused commands."""

    clock_s: float
    tasks: tuple[TaskReport, ...] = ()
    refused: tuple[CommandRefusal, ...] = ()


@dataclass(frozen=True, slots=True)
class _StaleTerm:
    term: int


@dataclass(slots=True)
class WorkerCallCounts:
    """Total calls and bytes sent to all workers."""

    calls: int = 0
    bytes_sent: int = 0


class WorkerClient:
    """Sends calls to one worker."""

    def __init__(self, http: HttpClient, totals: WorkerCallCounts, timeout_s: float) -> None:
        self._http = http
        self._totals = totals
        self._timeout_s = timeout_s

    async def sync(self, address: str, request: SyncRequest) -> SyncReply:
        """Send commands and renewals to a worker.

        Args:
            address: Current `host:port` of the worker.
            request: Commands and lease renewals.

        Returns:
            All tasks of the worker and the commands that it refused.

        Raises:
            StaleTermError: The worker has seen a higher term for the zone and executed nothing.
            UnavailableError: No usable response arrived; the commands may have been executed.
        """
        bytes_sent_before = self._http.bytes_sent
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
            self._totals.bytes_sent += self._http.bytes_sent - bytes_sent_before
        return _decode(address, request, reply)


def _decode(address: str, request: SyncRequest, reply: HttpReply) -> SyncReply:
    try:
        if reply.status == 409:
            seen = decode_in_range(reply.body, _StaleTerm)
            raise StaleTermError(request.zone, request.term, seen.term)
        if reply.status == 200:
            return decode_in_range(reply.body, SyncReply)
    except MALFORMED as error:
        raise _unavailable(address, str(error)) from error
    raise _unavailable(address, f"status {reply.status}")


def _unavailable(address: str, cause: str) -> UnavailableError:
    return UnavailableError(
        f"worker {address}: {cause}", "commands are retried; check the worker if this continues"
    )


@asynccontextmanager
async def open_worker(totals: WorkerCallCounts, *, timeout_s: float) -> AsyncIterator[WorkerClient]:
    """Open a client for one worker, whose address may change between calls.

    Each worker has its own connection pool, because a pool scans all of its connections on every
    call.

    Args:
        totals: Counts that the calls are added to.
        timeout_s: Timeout of each step of a request (connect, write, read).
    """
    async with open_http_client("", max_connections=2) as http:
        yield WorkerClient(http, totals, timeout_s)
