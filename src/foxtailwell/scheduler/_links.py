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

__all__ = ["RENEW_INTERVAL_S", "WorkerLink", "run_link"]

RENEW_INTERVAL_S = 5.0
"""Maximum time between two calls of a worker. Each call renews the leases of its tasks."""

CALL_TIMEOUT_S = 0.4
"""Timeout of one call. It is shorter than the 1 s in which a gang must pass `prepare` and `start`,
so that a command whose response was lost is resent within the same attempt."""

MIN_CALL_INTERVAL_S = 0.5
"""Time between two calls of a worker with a new gang, so that short jobs and immediate failures are
noticed early. The interval grows with the age of the newest gang, up to `RENEW_INTERVAL_S`."""


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
        wake: Set to make the next call without delay.
        is_open: Whether the worker is still used by a gang; the link's task ends otherwise.
    """

    worker: str
    address: str
    commands: list[WorkerCommand] = field(default_factory=list)
    renewed_jobs: set[str] = field(default_factory=set)
    newest_gang_s: float = 0.0
    worker_clock_s: float = 0.0
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
    on_reply: Callable[[str, SyncReply], None],
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
        on_reply: Called with the worker and each reply.
        on_stale_term: Called once if the worker has seen a higher token.
    """
    async with open_worker(totals, timeout_s=CALL_TIMEOUT_S) as client:
        await _call_until_closed(link, client, zone, term, on_reply, on_stale_term)


async def _call_until_closed(
    link: WorkerLink,
    client: WorkerClient,
    zone: str,
    term: int,
    on_reply: Callable[[str, SyncReply], None],
    on_stale_term: Callable[[StaleTermError], None],
) -> None:
    while link.is_open:
        link.wake = anyio.Event()
        commands, link.commands = tuple(link.commands), []
        request = SyncRequest(
            zone, term, commands, tuple(sorted(link.renewed_jobs)), link.worker_clock_s
        )
        try:
            reply = await client.sync(link.address, request)
        except StaleTermError as error:
            on_stale_term(error)
            return
        except UnavailableError:
            pass
        else:
            link.worker_clock_s = reply.clock_s
            on_reply(link.worker, reply)
        if not link.commands:
            with anyio.move_on_after(link.interval_s(time.monotonic())):
                await link.wake.wait()
