"""Connection to one worker: sends commands without delay and renews the leases of its tasks.

The executor of a zone has one link, with one task, for each worker that its gangs use.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from foxtailwell.adapters.workers import (
    SyncReply,
    SyncRequest,
    WorkerCallCounts,
    WorkerClient,
    WorkerCommand,
    open_worker,
)
from foxtailwell.core.errors import StaleTermError, UnavailableError

__all__ = ["RENEW_INTERVAL_S", "WorkerLink", "WorkerReplied", "run_link"]

RENEW_INTERVAL_S = 5.0
"""Maximum time between two calls of a worker. Each call renews the leases of its tasks."""

CALL_TIMEOUT_S = 0.4
"""Timeout of one call. It is shorter than the 1 s in which a gang must pass `prepare` and `start`,
so that a command whose response was lost is resent within the same attempt."""

MIN_CALL_INTERVAL_S = 0.5
"""Time between two calls of a worker with a new gang, so that short jobs and immediate failures are
noticed early. The interval grows with the age of the newest gang, up to `RENEW_INTERVAL_S`."""


@dataclass(frozen=True, slots=True)
class WorkerReplied:
    """Message: a worker replied to a call.

    Attributes:
        worker: Identifier of the worker.
        reply: Its reply.
        sent_s: When the call was sent, on the monotonic clock.
        silent_s: When the first failed call since the previous reply ended; None if none failed.
    """

    worker: str
    reply: SyncReply
    sent_s: float
    silent_s: float | None


@dataclass(slots=True)
class WorkerLink:
    """Queued commands and lease renewals for one worker.

    Attributes:
        worker: Identifier of the worker.
        address: Its last known `host:port`; empty when it was never listed.
        commands: Commands to send with the next call.
        renewed_jobs: Jobs whose task leases each call renews.
        newest_gang_s: When the newest gang on the worker was started or adopted, on the monotonic
            clock.
        worker_clock_s: The worker's clock in its last reply.
        alive_s: When the newest call was sent whose reply has been handled; before that, when the
            link was made.
        called_s: When the newest call was sent that has failed or whose reply has been handled.
        silent_s: When the first failed call since the last reply ended; None if none failed.
        wake: Set to make the next call without delay.
        is_open: Whether the worker is still used by a gang; the link's task ends otherwise.
    """

    worker: str
    address: str
    commands: list[WorkerCommand] = field(default_factory=list)
    renewed_jobs: set[str] = field(default_factory=set)
    newest_gang_s: float = 0.0
    worker_clock_s: float = 0.0
    alive_s: float = field(default_factory=time.monotonic)
    called_s: float = 0.0
    silent_s: float | None = None
    wake: anyio.Event = field(default_factory=anyio.Event)
    is_open: bool = True

    def send(self, command: WorkerCommand) -> None:
        """Queue a command and wake the link's task to send it."""
        self.commands.append(command)
        self.wake.set()

    def close(self) -> None:
        """Make the link's task end after the call in progress."""
        self.is_open = False
        self.wake.set()

    def interval_s(self, now_s: float) -> float:
        """Return the time until the next call if no command is queued until then."""
        age_s = now_s - self.newest_gang_s
        return min(RENEW_INTERVAL_S, max(MIN_CALL_INTERVAL_S, age_s / 2))


async def run_link(
    link: WorkerLink,
    totals: WorkerCallCounts,
    zone: str,
    term: int,
    on_reply: Callable[[WorkerReplied], None],
    on_stale_term: Callable[[StaleTermError], None],
) -> None:
    """Call one worker until the link is closed or the worker reports a higher fencing token.

    A failed call is not retried here, because the gang's state machine resends each command that a
    report does not confirm.

    Args:
        link: Commands and renewals to send.
        totals: Counts that the calls are added to.
        zone: Zone of the worker.
        term: Fencing token of the zone's holder.
        on_reply: Called with each reply.
        on_stale_term: Called once if the worker has seen a higher token.
    """
    async with open_worker(totals, timeout_s=CALL_TIMEOUT_S) as client:
        await _call_until_closed(link, client, zone, term, on_reply, on_stale_term)


async def _call_until_closed(
    link: WorkerLink,
    client: WorkerClient,
    zone: str,
    term: int,
    on_reply: Callable[[WorkerReplied], None],
    on_stale_term: Callable[[StaleTermError], None],
) -> None:
    while link.is_open:
        link.wake = anyio.Event()
        commands, link.commands = tuple(link.commands), []
        request = SyncRequest(
            zone, term, commands, tuple(sorted(link.renewed_jobs)), link.worker_clock_s
        )
        sent_s = time.monotonic()
        try:
            reply = await client.sync(link.address, request)
        except StaleTermError as error:
            on_stale_term(error)
            return
        except UnavailableError:
            link.called_s = sent_s
            if link.silent_s is None:
                link.silent_s = time.monotonic()
        else:
            link.worker_clock_s = reply.clock_s
            silent_s, link.silent_s = link.silent_s, None
            on_reply(WorkerReplied(link.worker, reply, sent_s, silent_s))
        if not link.commands:
            with anyio.move_on_after(link.interval_s(time.monotonic())):
                await link.wake.wait()
