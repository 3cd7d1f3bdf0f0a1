"""The entry's queue: waits for a slot, and hands free slots to the next request."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio

from foxtailwell.core import AdmissionQueue, RefusalCause, ServiceTimes, Ticket, WorkClass
from foxtailwell.core.errors import NotRunError
from foxtailwell.entry._minion_pool import MinionPool

__all__ = ["Dispatcher", "RefusedError"]

QUEUE_CAPACITY = 2048
"""Requests that one entry keeps waiting; more would wait longer than any patience."""

_MESSAGES: dict[RefusalCause, tuple[str, str]] = {
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
    """The queue refused a request before it was sent."""

    def __init__(self, cause: RefusalCause) -> None:
        super().__init__(*_MESSAGES[cause])
        self.cause = cause


class _Waiter:
    __slots__ = ("event", "refusal", "ticket")

    def __init__(self, ticket: Ticket) -> None:
        self.ticket = ticket
        self.event = anyio.Event()
        self.refusal: RefusalCause | None = None


class Dispatcher:
    """Waiting and running requests of this entry."""

    def __init__(self, pool: MinionPool, clock: Callable[[], float]) -> None:
        self._pool = pool
        self._clock = clock
        self._waiters: dict[int, _Waiter] = {}
        self.service_times = ServiceTimes()
        self.queue = AdmissionQueue(QUEUE_CAPACITY, self.service_times)

    def check(self, ticket: Ticket) -> None:
        """Refuse a request that would certainly wait too long, before it is claimed.

        Raises:
            RefusedError: The request is refused.
        """
        cause = self.queue.refusal_cause(ticket, self._pool.limits, self._clock())
        if cause is not None:
            raise RefusedError(cause)

    def configure(self, classes: Iterable[WorkClass]) -> None:
        """Take over the classes of requests."""
        targets_s = {c.name: c.target_ms / 1000 for c in classes if c.kind == "request"}
        self.service_times.configure(targets_s)

    async def acquire(self, ticket: Ticket) -> None:
        """Wait for a slot.

        Raises:
            RefusedError: The request did not get a slot and was not sent.
        """
        if self.queue.try_start(ticket, self._pool.limits):
            return
        cause, shed = self.queue.offer(ticket, self._pool.limits, self._clock())
        if cause is not None:
            raise RefusedError(cause)
        if shed is not None:
            self._refuse(shed)
        waiter = self._waiters[ticket.id] = _Waiter(ticket)
        self.dispatch()
        try:
            with anyio.move_on_after(max(0.0, ticket.start_deadline_s - self._clock())):
                await waiter.event.wait()
        except BaseException:
            self._give_up(waiter)
            raise
        if not waiter.event.is_set():
            self._give_up(waiter)
            raise RefusedError("deadline")
        if waiter.refusal is not None:
            raise RefusedError(waiter.refusal)

    def release(self, ticket: Ticket, run_s: float | None) -> None:
        """Free the slot of a request and learn its run time if it completed."""
        self.queue.finish(ticket)
        if run_s is not None:
            self.service_times.observe(ticket.work_class, run_s)
        if self.queue.waiting:
            self.dispatch()

    def dispatch(self) -> None:
        """Give free slots to waiting requests."""
        while self.queue.waiting:
            ticket = self.queue.take(self._pool.limits, self._clock())
            if ticket is None:
                return
            self._waiters.pop(ticket.id).event.set()

    def _refuse(self, ticket: Ticket) -> None:
        waiter = self._waiters.pop(ticket.id)
        waiter.refusal = "queue_full"
        waiter.event.set()

    def _give_up(self, waiter: _Waiter) -> None:
        """Leave the queue, or return a slot that was granted in the same moment."""
        if self._waiters.pop(waiter.ticket.id, None) is not None:
            self.queue.remove(waiter.ticket)
        elif waiter.refusal is None:
            self.release(waiter.ticket, None)
