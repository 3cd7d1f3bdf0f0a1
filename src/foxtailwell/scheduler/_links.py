"""One task per worker that sends commands at once and renews task leases."""

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

TIMEOUT_S = 0.4
"""Shorter than the 1 s in which a gang must pass prepare and start, so that a command whose
response was lost is repeated within the same attempt."""

FIRST_INTERVAL_S = 0.5
"""Interval of a young gang, so that short jobs and workers that fail at once are seen early; it
grows to the renewal interval with the age of the youngest gang."""


@dataclass(slots=True)
class WorkerLink:
    """Commands that wait for one worker.

    Attributes:
        worker: Identifier of the worker.
        address: Where it was last known to be.
        commands: Commands to send with the next call.
        renewed_jobs: Jobs whose task leases are renewed.
        newest_gang_s: Start of the youngest gang on the worker.
        worker_clock_s: The worker's clock in its last reply.
        wake: Set to call at once.
        is_open: Cleared when the worker has no tasks left.
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
        """Send a command without delay."""
        self.commands.append(command)
        self.wake.set()

    def close(self) -> None:
        """End the task of the link."""
        self.is_open = False
        self.wake.set()

    def interval_s(self, now_s: float) -> float:
        """Return the time until the next call without a command."""
        age_s = now_s - self.newest_gang_s
        return min(RENEW_INTERVAL_S, max(FIRST_INTERVAL_S, age_s / 2))


async def run_link(
    link: WorkerLink,
    totals: WorkerCallCounts,
    zone: str,
    term: int,
    on_reply: Callable[[str, SyncReply], None],
    on_stale_term: Callable[[StaleTermError], None],
) -> None:
    """Call one worker until the link is closed.

    A call that fails is not repeated here: the gang's protocol repeats what had no effect.

    Args:
        link: Commands and renewals.
        totals: Where calls are counted.
        zone: Zone of the worker.
        term: Fencing token.
        on_reply: Called with the worker and its reply.
        on_stale_term: Called when the worker has seen a higher token.
    """
    async with open_worker(totals, timeout_s=TIMEOUT_S) as client:
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
