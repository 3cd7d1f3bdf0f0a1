"""Discrete-event simulation of the core's request queue and routing under a virtual clock.

It replays a seeded list of arrivals through the queue and routing of the core or through a
baseline. It models slots and run times only: no network and no failures.
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

__all__ = ["RequestSimulationResult", "LoadClass", "Policy", "Scenario", "simulate_requests"]

Policy = Literal["first_come", "static_shares", "power_of_two", "adaptive_limit"]

QUEUE_CAPACITY = 2048
RUN_TIME_SIGMA = 0.4
PLACEMENT_ATTEMPTS = 3
EXPIRE_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A work class and the load that its requests offer.

    Attributes:
        name: Name of the work class.
        run_s: Mean run time.
        target_s: Target for the time from arrival to completion.
        patience_s: Longest wait in the queue before the request is refused.
        share: Offered load as a share of all slots.
        burst: Number of requests that arrive together.
    """

    name: str
    run_s: float
    target_s: float
    patience_s: float
    share: float
    burst: int = 1


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and the deployment that it is offered to.

    Attributes:
        classes: Classes of the load; the first is the ordinary class, whose latency is measured.
        minions: Number of minions.
        slots: Slots of each minion.
        entries: Number of entries; each arrival goes to a random one.
        duration_s: Time during which requests arrive.
        accounts: Client accounts and their shares of the load.
        slow_minions: Number of minions that run every request `slow_factor` times as long.
        slow_factor: Ratio of run times on slow and on normal minions.
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
class RequestSimulationResult:
    """Measurements of a simulation.

    Attributes:
        latencies_ms: Completion times of the ordinary class.
        offered: Arrivals of the ordinary class.
        within_target: Ordinary requests that were completed within their target.
        refused: Refused requests of all classes.
        refused_by_minions: Placement attempts of all classes that met a full minion.
        placed: Requests of all classes whose placement on a minion was attempted.
    """

    latencies_ms: list[float] = field(default_factory=list)
    offered: int = 0
    within_target: int = 0
    refused: int = 0
    refused_by_minions: int = 0
    placed: int = 0

    def percentile_ms(self, share: float) -> float:
        """Return a latency quantile (0 to 1) of completed ordinary requests; 0 if none."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0

    @property
    def within_target_share(self) -> float:
        """Share of the offered ordinary requests that were completed within their target."""
        return self.within_target / max(1, self.offered)


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    load_class: LoadClass
    account: str
    entry: int
    run_s: float


def _make_arrivals(scenario: Scenario, rng: random.Random) -> list[_Arrival]:
    names = [name for name, _ in scenario.accounts]
    weights = [weight for _, weight in scenario.accounts]
    arrivals: list[_Arrival] = []
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
                arrivals.append(_Arrival(at_s, load_class, account, entry, run_s))
            at_s += rng.expovariate(rate_per_s)
    return sorted(arrivals, key=lambda a: a.at_s)


class _Entry:
    """One entry: its queue, its slots and the minion loads that were reported to it."""

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
        self.reported_in_flight = [0] * scenario.minions
        self.next_minion = 0
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
        """Return a minion below its limit by the policy, or None when there is none."""
        count = self.scenario.minions
        if self.policy in ("first_come", "static_shares"):
            start = 0 if self.policy == "first_come" else self.next_minion
            order = ((start + n) % count for n in range(count))
            chosen = next((m for m in order if self.in_flight[m] < self.limit(m)), None)
            self.next_minion = ((chosen or 0) + 1) % count
            return chosen
        sampled = self.rng.sample(range(count), 2) if count > 1 else [0]
        available = [m for m in sampled if self.in_flight[m] < self.limit(m)]
        available = available or [m for m in range(count) if self.in_flight[m] < self.limit(m)]
        if not available:
            return None
        draw = (self.rng.random(), self.rng.random())
        return int(less_loaded([self._candidate(m) for m in available], draw).id)

    def _candidate(self, minion: int) -> Candidate:
        return Candidate(
            str(minion),
            "",
            self.scenario.slots,
            self.limit(minion),
            self.in_flight[minion],
            self.reported_in_flight[minion],
        )


class _RequestSimulator:
    """Virtual clock, pending arrivals and completions of one simulation."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        rng = random.Random(seed)
        self.scenario = scenario
        self.policy = policy
        self.arrivals = _make_arrivals(scenario, rng)
        self.entries = [_Entry(n, scenario, policy, rng) for n in range(scenario.entries)]
        self.minion_load = [0] * scenario.minions
        self.completions: list[tuple[float, int, int, int, Ticket]] = []
        self.arrivals_by_ticket: dict[int, _Arrival] = {}
        self.result = RequestSimulationResult()
        self.ordinary_class = scenario.classes[0].name

    def run(self) -> RequestSimulationResult:
        expire_at_s = 0.0
        for number, arrival in enumerate(self.arrivals):
            if arrival.at_s >= expire_at_s:
                expire_at_s = arrival.at_s + EXPIRE_INTERVAL_S
                self._remove_expired(arrival.at_s)
            for _ in self._completions_until(arrival.at_s):
                pass
            self._handle_arrival(number, arrival)
        for _ in self._completions_until(float("inf")):
            pass
        return self.result

    def _completions_until(self, limit_s: float) -> Iterator[None]:
        while self.completions and self.completions[0][0] <= limit_s:
            now_s, _, entry, minion, ticket = heapq.heappop(self.completions)
            self._handle_completion(now_s, self.entries[entry], minion, ticket)
            yield

    def _handle_arrival(self, number: int, arrival: _Arrival) -> None:
        load_class, now_s = arrival.load_class, arrival.at_s
        ticket = Ticket(
            number,
            arrival.account,
            load_class.name,
            now_s,
            now_s + load_class.target_s,
            now_s + load_class.patience_s,
        )
        self.arrivals_by_ticket[number] = arrival
        self.result.offered += load_class.name == self.ordinary_class
        entry = self.entries[arrival.entry]
        if self.policy == "first_come":
            entry.fifo.append(ticket)
        elif not entry.queue.try_start(ticket, entry.slots()):
            cause, shed = entry.queue.offer(ticket, entry.slots(), now_s)
            self.result.refused += (cause is not None) + (shed is not None)
        else:
            self._place_on_minion(now_s, entry, arrival.entry, ticket)
            return
        self._dispatch(now_s, entry, arrival.entry)

    def _remove_expired(self, now_s: float) -> None:
        for entry in self.entries:
            self.result.refused += len(entry.queue.remove_expired(now_s))

    def _dispatch(self, now_s: float, entry: _Entry, number: int) -> None:
        while (ticket := self._take_next(now_s, entry)) is not None:
            if self.policy != "first_come" and ticket.start_deadline_s <= now_s:
                entry.queue.finish(ticket)
                self.result.refused += 1
                continue
            self._place_on_minion(now_s, entry, number, ticket)

    def _take_next(self, now_s: float, entry: _Entry) -> Ticket | None:
        if self.policy != "first_come":
            return entry.queue.take(entry.slots(), now_s) if entry.queue.waiting else None
        if not entry.fifo or entry.running >= sum(entry.shares):
            return None
        entry.running += 1
        return entry.fifo.popleft()

    def _place_on_minion(self, now_s: float, entry: _Entry, number: int, ticket: Ticket) -> None:
        self.result.placed += 1
        for _ in range(PLACEMENT_ATTEMPTS):
            minion = entry.choose()
            if minion is None:
                break
            if self.minion_load[minion] < self.scenario.slots:
                self.minion_load[minion] += 1
                entry.in_flight[minion] += 1
                is_slow = minion < self.scenario.slow_minions
                run_time_factor = self.scenario.slow_factor if is_slow else 1.0
                end_s = now_s + self.arrivals_by_ticket[ticket.id].run_s * run_time_factor
                heapq.heappush(self.completions, (end_s, ticket.id, number, minion, ticket))
                return
            self.result.refused_by_minions += 1
            entry.limits[minion] = limit_after_refusal(entry.limits[minion])
            entry.reported_in_flight[minion] = self.scenario.slots
        entry.queue.finish(ticket)
        self.result.refused += 1

    def _handle_completion(self, now_s: float, entry: _Entry, minion: int, ticket: Ticket) -> None:
        arrival = self.arrivals_by_ticket[ticket.id]
        entry.limits[minion] = limit_after_success(
            entry.limits[minion], entry.in_flight[minion], self.scenario.slots
        )
        self.minion_load[minion] -= 1
        entry.in_flight[minion] -= 1
        entry.reported_in_flight[minion] = self.minion_load[minion]
        if self.policy == "first_come":
            entry.running -= 1
        else:
            entry.queue.finish(ticket)
            entry.run_times.observe(ticket.work_class, arrival.run_s)
        if ticket.work_class == self.ordinary_class:
            self.result.latencies_ms.append((now_s - arrival.at_s) * 1000)
            self.result.within_target += now_s <= ticket.due_s
        self._dispatch(now_s, entry, arrival.entry)


def simulate_requests(scenario: Scenario, policy: Policy, seed: int) -> RequestSimulationResult:
    """Simulate a scenario under a policy.

    Args:
        scenario: Load and deployment to simulate.
        policy: `first_come` is the baseline: one queue in order of arrival, first minion with a
            free slot, no refusals. The others use the core's queue and differ in routing.
        seed: Seed of the random numbers; with the same seed, all policies get the same arrivals.
    """
    return _RequestSimulator(scenario, policy, seed).run()
