"""Connects the admission queue to waiting tasks: a request waits here until it gets a slot.

The queue of `core` decides which request is next; this module wakes its task.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio

from foxtailwell.core import AdmissionQueue, RefusalCause, ServiceTimes, Ticket, WorkClass
from foxtailwell.core.errors import NotRunError
from foxtailwell.entry._minion_pool import MinionPool

__all__ = ["Dispatcher", "RefusedError"]

QUEUE_CAPACITY = 2048
"""Maximum number of waiting requests; further ones would wait longer than any class's patience."""

_REFUSAL_TEXTS: dict[RefusalCause, tuple[str, str]] = {
    "queue_full": ("the queue is full", "send the request again after a pause"),
    "predicted_wait": (
        "the predicted wait exceeds the target or deadline of the request",
        "send the request again after a pause, or with a later deadline",
    ),
    "deadline": (
        "no slot was free within the patience or deadline",
        "send the request again after a pause, or with a later deadline",
    ),
    "no_slots": ("no minion takes work now", "send the request again after a pause"),
}


class RefusedError(NotRunError):
    """A request was refused before it was sent to a minion; `cause` says why."""

    def __init__(self, cause: RefusalCause) -> None:
        super().__init__(*_REFUSAL_TEXTS[cause])
        self.cause = cause


class _Waiter:
    __slots__ = ("event", "refusal", "ticket")

    def __init__(self, ticket: Ticket) -> None:
        self.ticket = ticket
        self.event = anyio.Event()
        self.refusal: RefusalCause | None = None


class Dispatcher:
    """Admits the requests of this entry and assigns free slots to them."""

    def __init__(self, pool: MinionPool, clock: Callable[[], float]) -> None:
        self._pool = pool
        self._clock = clock
        self._waiters: dict[int, _Waiter] = {}
        self.service_times = ServiceTimes()
        self.queue = AdmissionQueue(QUEUE_CAPACITY, self.service_times)

    def check_admission(self, ticket: Ticket) -> None:
        """Check that the queue would not refuse a request for a cause other than a full queue.

        It is called before the request is claimed, to save the write of a claim that would have to
        be released at once.

        Raises:
            RefusedError: The request would be refused.
        """
        cause = self.queue.refusal_cause(ticket, self._pool.limits, self._clock())
        if cause is not None:
            raise RefusedError(cause)

    def configure(self, classes: Iterable[WorkClass]) -> None:
        """Set the request classes and their targets from the configuration; jobs are ignored."""
        targets_s = {c.name: c.target_ms / 1000 for c in classes if c.kind == "request"}
        self.service_times.configure(targets_s)

    async def acquire(self, ticket: Ticket) -> None:
        """Wait for a slot; the caller must return it with `release`.

        Raises:
            RefusedError: The request was refused, or got no slot before its start deadline.
        """
        if self.queue.try_start(ticket, self._pool.limits):
            return
        cause, shed = self.queue.offer(ticket, self._pool.limits, self._clock())
        if cause is not None:
            raise RefusedError(cause)
        if shed is not None:
            self._refuse_shed(shed)
        waiter = self._waiters[ticket.id] = _Waiter(ticket)
        self.dispatch()
        try:
            with anyio.move_on_after(max(0.0, ticket.start_deadline_s - self._clock())):
                await waiter.event.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        if not waiter.event.is_set():
            self._abandon(waiter)
            raise RefusedError("deadline")
        if waiter.refusal is not None:
            raise RefusedError(waiter.refusal)

    def release(self, ticket: Ticket, run_s: float | None) -> None:
        """Free the slot of a request.

        Args:
            ticket: The request.
            run_s: Its run time, which updates the estimate of its class; None if it did not
                complete.
        """
        self.queue.finish(ticket)
        if run_s is not None:
            self.service_times.observe(ticket.work_class, run_s)
        if self.queue.waiting:
            self.dispatch()

    def dispatch(self) -> None:
        """Assign the free slots to waiting requests and wake their tasks."""
        while self.queue.waiting:
            ticket = self.queue.take(self._pool.limits, self._clock())
            if ticket is None:
                return
            self._waiters.pop(ticket.id).event.set()

    def _refuse_shed(self, ticket: Ticket) -> None:
        waiter = self._waiters.pop(ticket.id)
        waiter.refusal = "queue_full"
        waiter.event.set()

    def _abandon(self, waiter: _Waiter) -> None:
        """Remove a waiter from the queue, or free the slot that it was given in the meantime."""
        if self._waiters.pop(waiter.ticket.id, None) is not None:
            self.queue.remove(waiter.ticket)
        elif waiter.refusal is None:
            self.release(waiter.ticket, None)
