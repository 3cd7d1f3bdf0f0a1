"""Bounded queue of one entry: ordered by slack to the target, fair by client account.

Within one account and class the order of arrival is the order of slack, so the queue keeps one
lane for each pair and compares only the heads.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal

RESERVED_SHARE = 0.25
"""Part of the slots that long classes may not take; also the part that they always may take, so
that neither kind starves the other."""

DEMAND_MARGIN = 1.15
"""Slots kept for ordinary requests over their mean demand. In the virtual-clock driver a reserve
of a quarter alone made 1 to 3 % of them late when bursts of long work filled the rest."""

DEMAND_MEMORY_S = 10.0
"""Time over which the demand of ordinary requests is averaged."""

RUN_TIME_WEIGHT = 0.1
"""Weight of a new observation. Ten requests follow a change of the load overnight quickly enough
and do not follow a single outlier."""

INITIAL_RUN_SHARE = 0.25
"""Part of the target taken as run time before any request of a class has completed."""

RefusalCause = Literal["queue_full", "predicted_wait", "deadline", "no_slots"]


@dataclass(frozen=True, slots=True)
class Ticket:
    """One request that wants a slot.

    Attributes:
        id: Unique within the queue.
        account: Client account.
        work_class: Class of the request.
        arrived_s: Time of arrival.
        due_s: Time by which the class's target is met.
        start_deadline_s: Time at which the request is refused if it has not started.
    """

    id: int
    account: str
    work_class: str
    arrived_s: float
    due_s: float
    start_deadline_s: float


@dataclass(frozen=True, slots=True)
class SlotLimits:
    """Slots of one entry.

    Attributes:
        slots: Requests that may be in flight at once.
        guaranteed: Slots of this entry that each account is guaranteed.
    """

    slots: int
    guaranteed: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _RunTime:
    mean_s: float
    deviation_s: float


class ServiceTimes:
    """Run times of request classes, learned from completed requests."""

    def __init__(self) -> None:
        self._classes: dict[str, _RunTime] = {}
        self._shortest_target_s = float("inf")

    def configure(self, targets_s: dict[str, float]) -> None:
        """Take over the classes and their targets; a target gives the first estimate."""
        self._classes = {
            name: self._classes.get(name) or _RunTime(target_s * INITIAL_RUN_SHARE, 0.0)
            for name, target_s in targets_s.items()
        }
        self._shortest_target_s = min(targets_s.values(), default=float("inf"))

    def observe(self, work_class: str, run_s: float) -> None:
        """Learn from a completed request."""
        known = self._classes.get(work_class)
        if known is None:
            return
        error = run_s - known.mean_s
        known.mean_s += RUN_TIME_WEIGHT * error
        known.deviation_s += RUN_TIME_WEIGHT * (abs(error) - known.deviation_s)

    def mean_s(self, work_class: str) -> float:
        """Return the mean run time of a class."""
        known = self._classes.get(work_class)
        return known.mean_s if known else 0.0

    def upper_bound_s(self, work_class: str) -> float:
        """Return a run time that most requests of a class stay below."""
        known = self._classes.get(work_class)
        return known.mean_s + 2.0 * known.deviation_s if known else 0.0

    def is_long(self, work_class: str) -> bool:
        """Return whether a request of a class could alone make an ordinary request late.

        That is so when it holds a slot for more than half of the shortest target.
        """
        return self.mean_s(work_class) > self._shortest_target_s / 2


Lane = OrderedDict[int, Ticket]
# Taking the first entry of a plain dict is slow once many before it were removed.
LaneKey = tuple[str, str]


class AdmissionQueue:
    """Waiting and running requests of one entry.

    Args:
        capacity: Most requests that wait.
        service_times: Learned run times.
    """

    def __init__(self, capacity: int, service_times: ServiceTimes) -> None:
        self._capacity = capacity
        self._service_times = service_times
        self._lanes: dict[LaneKey, Lane] = {}
        self._late_lanes: dict[LaneKey, Lane] = {}
        self._demand_slots = 0.0
        self._demand_at_s = 0.0
        self._demand_since_s: float | None = None
        self._waiting_by_account: dict[str, int] = {}
        self._running_by_account: dict[str, int] = {}
        self.waiting = 0
        self._long: set[int] = set()
        self.running = 0

    @property
    def long_running(self) -> int:
        """Number of running requests of long classes."""
        return len(self._long)

    def offer(
        self, ticket: Ticket, limits: SlotLimits, now_s: float
    ) -> tuple[RefusalCause | None, Ticket | None]:
        """Accept a ticket into the queue, or refuse it.

        Args:
            ticket: The request.
            limits: Current slots.
            now_s: Current time.

        Returns:
            The cause of a refusal, or None; and another waiting ticket that is shed to make room.
        """
        self._learn_demand(ticket, now_s)
        refusal = self.refusal_cause(ticket, limits, now_s)
        if refusal is not None:
            return refusal, None
        shed = None
        if self.waiting >= self._capacity:
            shed = self._choose_shed(limits, now_s, ticket)
            if shed is None or shed is ticket:
                return "queue_full", None
            self.remove(shed)
        self._lanes.setdefault((ticket.account, ticket.work_class), OrderedDict())[ticket.id] = (
            ticket
        )
        _add(self._waiting_by_account, ticket.account, 1)
        self.waiting += 1
        return None, shed

    def refusal_cause(
        self, ticket: Ticket, limits: SlotLimits, now_s: float
    ) -> RefusalCause | None:
        """Return why a new ticket would be refused whatever room the queue has, or None.

        An account below its guaranteed slots is not refused for a predicted wait.
        """
        if limits.slots <= 0:
            return "no_slots"
        if ticket.start_deadline_s <= now_s:
            return "deadline"
        if self._is_guaranteed(ticket.account, limits):
            return None
        wait_s = self.predicted_wait_s(ticket, limits)
        return "predicted_wait" if now_s + wait_s > self._latest_start_s(ticket) else None

    def try_start(self, ticket: Ticket, limits: SlotLimits) -> bool:
        """Start a ticket without queueing it when nothing waits and a slot is free for it.

        A ticket for which this returns False is to be offered.
        """
        if self.waiting or not self._may_run(ticket.work_class, limits):
            return False
        self._learn_demand(ticket, ticket.arrived_s)
        self._count_running(ticket, 1)
        return True

    def take(self, limits: SlotLimits, now_s: float) -> Ticket | None:
        """Take the next ticket that may start, and count it as running.

        Accounts below their guaranteed slots come first, then accounts below their fair share,
        then the account with the fewest requests running. Among these the least slack wins; a
        ticket that can still meet its target precedes one that cannot, so that an overload does
        not make every request late.
        """
        self._move_late(now_s)
        best: Ticket | None = None
        best_rank: tuple[int, bool, float, int] | None = None
        fair = self._fair_slots(limits)
        for is_late, lanes in ((False, self._lanes), (True, self._late_lanes)):
            for (account, work_class), lane in lanes.items():
                if not self._may_run(work_class, limits):
                    continue
                ticket = next(iter(lane.values()))
                slack_s = self._slack_s(ticket, now_s)
                rank = (self._tier(account, fair, limits), is_late, slack_s, ticket.id)
                if best_rank is None or rank < best_rank:
                    best, best_rank = ticket, rank
        if best is not None:
            self.remove(best)
            self._count_running(best, 1)
        return best

    def finish(self, ticket: Ticket) -> None:
        """Free the slot of a ticket."""
        self._count_running(ticket, -1)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket, and return whether it was waiting."""
        if not (_pop(self._lanes, ticket) or _pop(self._late_lanes, ticket)):
            return False
        _add(self._waiting_by_account, ticket.account, -1)
        self.waiting -= 1
        return True

    def remove_expired(self, now_s: float) -> list[Ticket]:
        """Remove and return the tickets that may no longer wait."""
        late = [t for t in self._tickets() if t.start_deadline_s <= now_s]
        for ticket in late:
            self.remove(ticket)
        return late

    def lengths(self) -> dict[LaneKey, int]:
        """Return the number of waiting tickets by account and class."""
        found: dict[LaneKey, int] = {}
        for lanes in (self._lanes, self._late_lanes):
            for key, lane in lanes.items():
                found[key] = found.get(key, 0) + len(lane)
        return found

    def predicted_wait_s(self, ticket: Ticket, limits: SlotLimits) -> float:
        """Return the predicted wait of a new ticket.

        The prediction is the smaller of two: the work of all accounts that precedes it over all
        slots, and the account's own work over the slots that fairness gives the account.
        """
        if not self.waiting and self._may_run(ticket.work_class, limits):
            return 0.0
        is_long = self._service_times.is_long(ticket.work_class)
        slots = self._usable_slots(is_long, limits)
        own_s, all_s = self._work_ahead_s(ticket, is_long)
        fair = max(1.0, self._fair_slots(limits), limits.guaranteed.get(ticket.account, 0))
        step_s = self._service_times.mean_s(ticket.work_class)
        return min(all_s / slots, own_s / min(fair, slots)) + step_s / slots

    def _work_ahead_s(self, ticket: Ticket, is_long: bool) -> tuple[float, float]:
        """Return the waiting work of the account and of all accounts, without late tickets."""
        own_s = all_s = 0.0
        for (account, work_class), lane in self._lanes.items():
            if self._service_times.is_long(work_class) and not is_long:
                continue
            work_s = len(lane) * self._service_times.mean_s(work_class)
            all_s += work_s
            if account == ticket.account:
                own_s += work_s
        return own_s, all_s

    def _usable_slots(self, is_long: bool, limits: SlotLimits) -> float:
        if is_long:
            return max(1.0, self._long_slots(limits.slots))
        return max(1.0, limits.slots - self.long_running)

    def _latest_start_s(self, ticket: Ticket) -> float:
        """Return the latest useful start: patience where the class has more than its target."""
        if ticket.start_deadline_s > ticket.due_s:
            return ticket.start_deadline_s
        return ticket.due_s - self._service_times.mean_s(ticket.work_class)

    def _may_run(self, work_class: str, limits: SlotLimits) -> bool:
        if self.running >= limits.slots:
            return False
        if self._service_times.is_long(work_class):
            return self.long_running < self._long_slots(limits.slots)
        return True

    def _move_late(self, now_s: float) -> None:
        """Move the tickets that have missed their target behind all others.

        Each ticket moves once, so a long queue of late tickets costs nothing at each choice.
        """
        for key, lane in list(self._lanes.items()):
            while lane and self._slack_s(first := next(iter(lane.values())), now_s) < 0:
                del lane[first.id]
                self._late_lanes.setdefault(key, OrderedDict())[first.id] = first
            if not lane:
                del self._lanes[key]

    def _learn_demand(self, ticket: Ticket, now_s: float) -> None:
        """Average the slots that ordinary requests would keep busy."""
        if self._service_times.is_long(ticket.work_class):
            return
        if self._demand_since_s is None:
            self._demand_since_s = self._demand_at_s = now_s
        passed_s = max(0.0, now_s - self._demand_at_s)
        self._demand_at_s = max(self._demand_at_s, now_s)
        self._demand_slots *= math.exp(-passed_s / DEMAND_MEMORY_S)
        self._demand_slots += self._service_times.mean_s(ticket.work_class) / DEMAND_MEMORY_S

    def _demand(self) -> float:
        """Return the mean demand; a young average is scaled up to the time that it covers."""
        if self._demand_since_s is None:
            return 0.0
        age_s = max(1.0, self._demand_at_s - self._demand_since_s)
        return self._demand_slots / (1.0 - math.exp(-age_s / DEMAND_MEMORY_S))

    def _long_slots(self, slots: int) -> int:
        """Return how many slots long classes may use now."""
        quarter = slots * RESERVED_SHARE
        reserved = max(quarter, self._demand() * DEMAND_MARGIN)
        return max(1, int(max(quarter, slots - reserved)))

    def _slack_s(self, ticket: Ticket, now_s: float) -> float:
        return ticket.due_s - now_s - self._service_times.upper_bound_s(ticket.work_class)

    def _tier(self, account: str, fair: float, limits: SlotLimits) -> int:
        running = self._running_by_account.get(account, 0)
        if running < limits.guaranteed.get(account, 0):
            return 0
        return 1 if running < fair else 2 + running

    def _fair_slots(self, limits: SlotLimits) -> float:
        active = len(self._waiting_by_account.keys() | self._running_by_account.keys())
        return limits.slots / max(1, active)

    def _is_guaranteed(self, account: str, limits: SlotLimits) -> bool:
        held = self._running_by_account.get(account, 0) + self._waiting_by_account.get(account, 0)
        return held < limits.guaranteed.get(account, 0)

    def _choose_shed(self, limits: SlotLimits, now_s: float, offered: Ticket) -> Ticket | None:
        """Choose the request to refuse when the queue is full.

        The account that holds most beyond its guarantee loses the request with the most slack,
        after those that have already missed their target.
        """
        holds = {
            account: waiting + self._running_by_account.get(account, 0)
            for account, waiting in self._waiting_by_account.items()
        }
        _add(holds, offered.account, 1)
        excess = {a: held - limits.guaranteed.get(a, 0) for a, held in holds.items()}
        account = max(excess, key=lambda a: (excess[a], a == offered.account))
        if excess[account] <= 0:
            return None
        candidates = [t for t in self._tickets() if t.account == account]
        if offered.account == account:
            candidates.append(offered)
        return max(candidates, key=lambda t: _shed_rank(self._slack_s(t, now_s), t.id))

    def _tickets(self) -> Iterator[Ticket]:
        for lanes in (self._lanes, self._late_lanes):
            for lane in lanes.values():
                yield from lane.values()

    def _count_running(self, ticket: Ticket, change: int) -> None:
        self.running += change
        _add(self._running_by_account, ticket.account, change)
        # A class may become long while its requests run, so each one is counted as it started.
        if change < 0:
            self._long.discard(ticket.id)
        elif self._service_times.is_long(ticket.work_class):
            self._long.add(ticket.id)


def _shed_rank(slack_s: float, ticket_id: int) -> tuple[bool, float, int]:
    return slack_s < 0, slack_s, ticket_id


def _pop(lanes: dict[LaneKey, Lane], ticket: Ticket) -> bool:
    key = (ticket.account, ticket.work_class)
    lane = lanes.get(key)
    if lane is None or lane.pop(ticket.id, None) is None:
        return False
    if not lane:
        del lanes[key]
    return True


def _add(counts: dict[str, int], key: str, change: int) -> None:
    value = counts.get(key, 0) + change
    if value > 0:
        counts[key] = value
    else:
        counts.pop(key, None)
