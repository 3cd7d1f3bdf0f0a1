"""Virtual-clock driver of the core's request decisions.

It replays one list of arrivals, made from a seed, through the queue and routing of the core or
through a baseline. It models slots and run times only: no network, no failures.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal

from foxtailwell.core import (
    AdaptiveLimit,
    AdmissionQueue,
    Candidate,
    ServiceTimes,
    SlotLimits,
    Ticket,
    less_loaded,
    limit_after_refusal,
    limit_after_success,
    slot_share,
)

__all__ = ["DriverResult", "LoadClass", "Policy", "Scenario", "drive"]

Policy = Literal["first_come", "static_shares", "power_of_two", "adaptive_limit"]

QUEUE_CAPACITY = 2048
RUN_TIME_SIGMA = 0.4
PLACE_ATTEMPTS = 3
EXPIRE_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A class of requests and its part of the load.

    Attributes:
        name: Class.
        run_s: Mean run time.
        target_s: Target of the completion time.
        patience_s: Longest wait.
        share: Part of all slots that its requests keep busy.
        burst: Requests that arrive at once.
    """

    name: str
    run_s: float
    target_s: float
    patience_s: float
    share: float
    burst: int = 1


@dataclass(frozen=True, slots=True)
class Scenario:
    """One load on one deployment.

    Attributes:
        classes: Classes of the load; the first one is the ordinary class.
        minions: Number of minions.
        slots: Slots of each minion.
        entries: Number of entries, which get the arrivals at random.
        duration_s: Length of the load.
        accounts: Accounts and their parts of the load.
        slow_minions: Minions on which every request takes `slow_factor` times as long.
        slow_factor: See `slow_minions`.
    """

    classes: tuple[LoadClass, ...]
    minions: int = 24
    slots: int = 8
    entries: int = 6
    duration_s: float = 60.0
    accounts: tuple[tuple[str, float], ...] = (("a", 0.5), ("b", 0.3), ("c", 0.15), ("d", 0.05))
    slow_minions: int = 0
    slow_factor: float = 1.0


@dataclass(slots=True)
class DriverResult:
    """What became of the ordinary class, and of all requests together."""

    latencies_ms: list[float] = field(default_factory=list)
    offered: int = 0
    within_target: int = 0
    refused: int = 0
    refused_by_minions: int = 0
    placed: int = 0

    def percentile_ms(self, share: float) -> float:
        """Return a latency percentile of the answered ordinary requests."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0

    @property
    def within_target_share(self) -> float:
        """Part of the offered ordinary requests that were answered within their target."""
        return self.within_target / max(1, self.offered)


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    load_class: LoadClass
    account: str
    entry: int
    run_s: float


def _arrivals(scenario: Scenario, rng: random.Random) -> list[_Arrival]:
    names = [name for name, _ in scenario.accounts]
    weights = [weight for _, weight in scenario.accounts]
    found: list[_Arrival] = []
    slots = scenario.minions * scenario.slots
    for load_class in scenario.classes:
        rate_per_s = load_class.share * slots / load_class.run_s / load_class.burst
        at_s = rng.expovariate(rate_per_s)
        while at_s < scenario.duration_s:
            account = rng.choices(names, weights)[0]
            for _ in range(load_class.burst):
                run_s = load_class.run_s * rng.lognormvariate(
                    -(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA
                )
                entry = rng.randrange(scenario.entries)
                found.append(_Arrival(at_s, load_class, account, entry, run_s))
            at_s += rng.expovariate(rate_per_s)
    return sorted(found, key=lambda a: a.at_s)


class _Entry:
    """One entry: its queue, its slots and what it knows of the minions."""

    def __init__(self, number: int, scenario: Scenario, policy: Policy, rng: random.Random) -> None:
        names = [f"e{n}" for n in range(scenario.entries)]
        self.policy = policy
        self.scenario = scenario
        self.rng = rng
        self.shares = [
            slot_share(scenario.slots, f"m{m}", names, names[number])
            for m in range(scenario.minions)
        ]
        self.limits = [AdaptiveLimit() for _ in range(scenario.minions)]
        self.in_flight = [0] * scenario.minions
        self.reported = [0] * scenario.minions
        self.turn = 0
        self.fifo: deque[Ticket] = deque()
        self.running = 0
        self.run_times = ServiceTimes()
        self.run_times.configure({c.name: c.target_s for c in scenario.classes})
        self.queue = AdmissionQueue(QUEUE_CAPACITY, self.run_times)

    def slots(self) -> SlotLimits:
        if self.policy == "adaptive_limit":
            return SlotLimits(sum(int(limit.limit) for limit in self.limits))
        return SlotLimits(sum(self.shares))

    def limit(self, minion: int) -> int:
        if self.policy == "adaptive_limit":
            return int(self.limits[minion].limit)
        return self.shares[minion]

    def choose(self) -> int | None:
        """Choose a minion with room by the policy."""
        count = self.scenario.minions
        if self.policy in ("first_come", "static_shares"):
            start = 0 if self.policy == "first_come" else self.turn
            order = ((start + n) % count for n in range(count))
            chosen = next((m for m in order if self.in_flight[m] < self.limit(m)), None)
            self.turn = ((chosen or 0) + 1) % count
            return chosen
        drawn = self.rng.sample(range(count), 2) if count > 1 else [0]
        room = [m for m in drawn if self.in_flight[m] < self.limit(m)]
        room = room or [m for m in range(count) if self.in_flight[m] < self.limit(m)]
        if not room:
            return None
        draw = (self.rng.random(), self.rng.random())
        return int(less_loaded([self._candidate(m) for m in room], draw).id)

    def _candidate(self, minion: int) -> Candidate:
        return Candidate(
            str(minion),
            "",
            self.scenario.slots,
            self.limit(minion),
            self.in_flight[minion],
            self.reported[minion],
        )


class _Driver:
    """Moves the virtual clock from event to event."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        rng = random.Random(seed)
        self.scenario = scenario
        self.policy = policy
        self.arrivals = _arrivals(scenario, rng)
        self.entries = [_Entry(n, scenario, policy, rng) for n in range(scenario.entries)]
        self.minions = [0] * scenario.minions
        self.completions: list[tuple[float, int, int, int, Ticket]] = []
        self.by_ticket: dict[int, _Arrival] = {}
        self.result = DriverResult()
        self.ordinary = scenario.classes[0].name

    def run(self) -> DriverResult:
        expire_at_s = 0.0
        for number, arrival in enumerate(self.arrivals):
            if arrival.at_s >= expire_at_s:
                expire_at_s = arrival.at_s + EXPIRE_INTERVAL_S
                self._expire(arrival.at_s)
            for _ in self._completions_until(arrival.at_s):
                pass
            self._arrive(number, arrival)
        for _ in self._completions_until(float("inf")):
            pass
        return self.result

    def _completions_until(self, limit_s: float) -> Iterator[None]:
        while self.completions and self.completions[0][0] <= limit_s:
            now_s, _, entry, minion, ticket = heapq.heappop(self.completions)
            self._complete(now_s, self.entries[entry], minion, ticket)
            yield

    def _arrive(self, number: int, arrival: _Arrival) -> None:
        load_class, now_s = arrival.load_class, arrival.at_s
        ticket = Ticket(
            number,
            arrival.account,
            load_class.name,
            now_s,
            now_s + load_class.target_s,
            now_s + load_class.patience_s,
        )
        self.by_ticket[number] = arrival
        self.result.offered += load_class.name == self.ordinary
        entry = self.entries[arrival.entry]
        if self.policy == "first_come":
            entry.fifo.append(ticket)
        elif not entry.queue.try_start(ticket, entry.slots()):
            cause, shed = entry.queue.offer(ticket, entry.slots(), now_s)
            self.result.refused += (cause is not None) + (shed is not None)
        else:
            self._place(now_s, entry, arrival.entry, ticket)
            return
        self._dispatch(now_s, entry, arrival.entry)

    def _expire(self, now_s: float) -> None:
        for entry in self.entries:
            self.result.refused += len(entry.queue.remove_expired(now_s))

    def _dispatch(self, now_s: float, entry: _Entry, number: int) -> None:
        while (ticket := self._next(now_s, entry)) is not None:
            if self.policy != "first_come" and ticket.start_deadline_s <= now_s:
                entry.queue.finish(ticket)
                self.result.refused += 1
                continue
            self._place(now_s, entry, number, ticket)

    def _next(self, now_s: float, entry: _Entry) -> Ticket | None:
        if self.policy != "first_come":
            return entry.queue.take(entry.slots(), now_s) if entry.queue.waiting else None
        if not entry.fifo or entry.running >= sum(entry.shares):
            return None
        entry.running += 1
        return entry.fifo.popleft()

    def _place(self, now_s: float, entry: _Entry, number: int, ticket: Ticket) -> None:
        self.result.placed += 1
        for _ in range(PLACE_ATTEMPTS):
            minion = entry.choose()
            if minion is None:
                break
            if self.minions[minion] < self.scenario.slots:
                self.minions[minion] += 1
                entry.in_flight[minion] += 1
                is_slow = minion < self.scenario.slow_minions
                factor = self.scenario.slow_factor if is_slow else 1.0
                end_s = now_s + self.by_ticket[ticket.id].run_s * factor
                heapq.heappush(self.completions, (end_s, ticket.id, number, minion, ticket))
                return
            self.result.refused_by_minions += 1
            entry.limits[minion] = limit_after_refusal(entry.limits[minion])
            entry.reported[minion] = self.scenario.slots
        entry.queue.finish(ticket)
        self.result.refused += 1

    def _complete(self, now_s: float, entry: _Entry, minion: int, ticket: Ticket) -> None:
        arrival = self.by_ticket[ticket.id]
        entry.limits[minion] = limit_after_success(
            entry.limits[minion], entry.in_flight[minion], self.scenario.slots
        )
        self.minions[minion] -= 1
        entry.in_flight[minion] -= 1
        entry.reported[minion] = self.minions[minion]
        if self.policy == "first_come":
            entry.running -= 1
        else:
            entry.queue.finish(ticket)
            entry.run_times.observe(ticket.work_class, arrival.run_s)
        if ticket.work_class == self.ordinary:
            self.result.latencies_ms.append((now_s - arrival.at_s) * 1000)
            self.result.within_target += now_s <= ticket.due_s
        self._dispatch(now_s, entry, arrival.entry)


def drive(scenario: Scenario, policy: Policy, seed: int) -> DriverResult:
    """Replay a scenario.

    Args:
        scenario: Load and deployment.
        policy: `first_come` is the baseline: one queue in order of arrival, first minion with a
            free slot, no refusals. The others use the core's queue and differ in routing.
        seed: Seed of arrivals and draws; policies with the same seed get the same arrivals.
    """
    return _Driver(scenario, policy, seed).run()
