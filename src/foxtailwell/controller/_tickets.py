"""Requests and stores the advisor's tickets, which allow a step to run on certain workers."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from foxtailwell.adapters.events import ADVICE_UNAVAILABLE
from foxtailwell.adapters.logs import log_event
from foxtailwell.workflows import (
    AdviceCallError,
    Advisor,
    SchedulingUnit,
    UnitKey,
    WorkerEntry,
    client_job_id,
)

__all__ = ["AdviceReceived", "Tickets"]

WORKERS_PER_CALL = 30
"""Limit of workers in one call; the advisor takes time for each, and job targets allow for 30."""

TICKET_MARGIN_S = 0.6
"""Least remaining validity of a usable ticket: one transaction and one retried start command."""

RETRY_PAUSE_S = 0.3
"""Pause after a failed call; the advisor refuses calls while many are waiting."""


@dataclass(frozen=True, slots=True)
class AdviceReceived:
    """The advisor responded to a request.

    Attributes:
        incarnations: Start times of the requested workers' incarnations, by worker.
        tickets: Tickets by worker; the other requested workers are not allowed.
        valid_until_s: Local time until which the tickets are valid.
    """

    key: UnitKey
    incarnations: Mapping[str, int]
    tickets: Mapping[str, str]
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    boot_unix_ms: int
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class _AdviceRequest:
    key: UnitKey
    incarnations: Mapping[str, int]
    valid_s: float


@dataclass(slots=True)
class _StepTickets:
    """Tickets of a step.

    Attributes:
        refused: Workers, with their incarnation, on which the step is not allowed.
        asked_s: Local time of the last call for the step.
    """

    tickets: dict[str, _Ticket] = field(default_factory=dict)
    refused: set[tuple[str, int]] = field(default_factory=set)
    asked_s: float = -math.inf


class Tickets:
    """Calls the advisor, one call at a time, and keeps the tickets it issued.

    Args:
        advisor: Client of the advisor; if None, units of queues with advice are never placed.
        now_s: Local clock that also advances while the machine is suspended.
        events: Passes responses to the controller's main task.
    """

    def __init__(
        self,
        advisor: Advisor | None,
        now_s: Callable[[], float],
        events: MemoryObjectSendStream[AdviceReceived],
    ) -> None:
        self._advisor = advisor
        self._now_s = now_s
        self._events = events
        self._steps: dict[UnitKey, _StepTickets] = {}
        self._requests: list[_AdviceRequest] = []
        self._is_urgent_turn = False
        self._wake = anyio.Event()

    def with_allowed_workers(
        self, units: Iterable[SchedulingUnit], entries: Mapping[str, WorkerEntry]
    ) -> list[SchedulingUnit]:
        """Return the units, limited to workers with a valid ticket if their queue needs advice."""
        return [
            replace(unit, allowed=self._allowed(unit, entries)) if unit.queue.advice else unit
            for unit in units
        ]

    def request_advice(
        self, units: Iterable[SchedulingUnit], entries: Mapping[str, WorkerEntry]
    ) -> None:
        """Replace the pending requests with requests for the given units, most urgent first."""
        waiting = [unit for unit in units if unit.queue.advice]
        waiting.sort(key=lambda unit: (unit.queue.priority, unit.deadline_s))
        requests = [self._request(unit, entries) for unit in waiting]
        self._requests = [request for request in requests if request is not None]
        if self._requests:
            self._wake.set()

    def _allowed(self, unit: SchedulingUnit, entries: Mapping[str, WorkerEntry]) -> frozenset[str]:
        step = self._steps.get(unit.key, _StepTickets())
        least_s = self._now_s() + TICKET_MARGIN_S
        return frozenset(
            worker
            for worker, ticket in step.tickets.items()
            if ticket.valid_until_s > least_s
            and worker in entries
            and entries[worker].boot_unix_ms == ticket.boot_unix_ms
        )

    def _request(
        self, unit: SchedulingUnit, entries: Mapping[str, WorkerEntry]
    ) -> _AdviceRequest | None:
        step = self._step(unit.key)
        candidates = [
            entry
            for entry in entries.values()
            if entry.is_ready
            and entry.pool == unit.queue.pool
            and entry.id not in (unit.allowed or ())
            and (entry.id, entry.boot_unix_ms) not in step.refused
            and (not unit.step.required_label or unit.step.required_label in entry.labels)
        ]
        candidates.sort(key=lambda entry: (entry.rack != unit.step.data_rack, entry.id))
        requested = {entry.id: entry.boot_unix_ms for entry in candidates[:WORKERS_PER_CALL]}
        advice = unit.queue.advice
        return _AdviceRequest(unit.key, requested, advice.valid_s) if requested and advice else None

    def apply(self, event: AdviceReceived) -> None:
        """Store the tickets of a response.

        Workers without a ticket are not requested again in the same incarnation.
        """
        step = self._step(event.key)
        for worker, boot_unix_ms in event.incarnations.items():
            if worker in event.tickets:
                step.tickets[worker] = _Ticket(
                    event.tickets[worker], boot_unix_ms, event.valid_until_s
                )
            else:
                step.refused.add((worker, boot_unix_ms))

    def ticket(self, key: UnitKey, worker: str) -> str:
        """Return the ticket for a start of a step on a worker; empty if there is none."""
        step = self._steps.get(key)
        found = step.tickets.get(worker) if step else None
        return found.text if found else ""

    def discard(self, key: UnitKey, worker: str) -> None:
        """Discard a ticket that its worker rejected, so that a new one is requested."""
        step = self._steps.get(key)
        if step is not None:
            step.tickets.pop(worker, None)

    def remove_jobs(self, job_ids: Iterable[str]) -> None:
        """Discard the tickets of ended jobs."""
        ended = set(job_ids)
        if ended:
            self._steps = {k: step for k, step in self._steps.items() if k[0] not in ended}

    def _take_request(self) -> _AdviceRequest:
        """Remove the most urgent request and the least recently called one in turn.

        Urgent steps that lack capacity, or whose calls fail, would otherwise take all calls.
        """
        self._is_urgent_turn = not self._is_urgent_turn
        chosen = self._requests[0]
        if not self._is_urgent_turn:
            chosen = min(self._requests, key=lambda request: self._step(request.key).asked_s)
        self._requests.remove(chosen)
        self._step(chosen.key).asked_s = self._now_s()
        return chosen

    def _step(self, key: UnitKey) -> _StepTickets:
        return self._steps.setdefault(key, _StepTickets())

    async def run(self) -> None:
        """Send the pending requests, one call at a time, until cancelled."""
        if self._advisor is None:
            return
        while True:
            await self._wake.wait()
            if not self._requests:
                self._wake = anyio.Event()
                continue
            request = self._take_request()
            job_id, occurrence, number = request.key
            sent_s = self._now_s()
            try:
                tickets = await self._advisor.advise(
                    f"{client_job_id(job_id)}.{occurrence}.{number}",
                    tuple(request.incarnations),
                )
            except AdviceCallError as failure:
                log_event(ADVICE_UNAVAILABLE, job=job_id, step=number, reason=failure.reason)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            until_s = sent_s + request.valid_s
            await self._events.send(
                AdviceReceived(request.key, request.incarnations, tickets, until_s)
            )
