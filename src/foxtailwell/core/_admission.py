"""Bounded queue of one entry: ordered by slack to the target, fair by client account.

Within one account and class the order of arrival is the order of slack, so the queue keeps one
lane for each pair and compares only the heads.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal

LONG_SLOT_SHARE = 0.75
"""Part of the slots that long classes may use; the last quarter is for ordinary requests."""

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
        give_up_s: Time at which the request is refused if it has not started.
    """

    id: int
    account: str
    work_class: str
    arrived_s: float
    due_s: float
    give_up_s: float


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

    def safe_s(self, work_class: str) -> float:
        """Return a run time that most requests of a class stay below."""
        known = self._classes.get(work_class)
        return known.mean_s + 2.0 * known.deviation_s if known else 0.0

    def is_long(self, work_class: str) -> bool:
        """Return whether a request of a class could alone make an ordinary request late.

        That is so when it holds a slot for more than half of the shortest target.
        """
        return self.mean_s(work_class) > self._shortest_target_s / 2


Lane = dict[int, Ticket]
LaneKey = tuple[str, str]


class AdmissionQueue:
    """Waiting and running requests of one entry.

    Args:
        capacity: Most requests that wait.
        service_times: Learned run times.
    """

    def __init__(self, capacity: int, service_times: ServiceTimes) -> None:
        self._capacity = capacity
        self._run_times = service_times
        self._lanes: dict[LaneKey, Lane] = {}
        self._waiting_by_account: dict[str, int] = {}
        self._running_by_account: dict[str, int] = {}
        self.waiting = 0
        self._long: set[int] = set()
        self.running = 0

    @property
    def long_running(self) -> int:
        """Number of running requests of long classes."""
        return len(self._long)

    def lengths(self) -> dict[LaneKey, int]:
        """Return the number of waiting requests by account and class."""
        return {key: len(lane) for key, lane in self._lanes.items()}

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
        refusal = self.refusal(ticket, limits, now_s)
        if refusal is not None:
            return refusal, None
        shed = None
        if self.waiting >= self._capacity:
            shed = self._choose_shed(limits, now_s, ticket)
            if shed is None or shed is ticket:
                return "queue_full", None
            self.remove(shed)
        self._lanes.setdefault((ticket.account, ticket.work_class), {})[ticket.id] = ticket
        _add(self._waiting_by_account, ticket.account, 1)
        self.waiting += 1
        return None, shed

    def refusal(self, ticket: Ticket, limits: SlotLimits, now_s: float) -> RefusalCause | None:
        """Return why a new ticket would be refused whatever room the queue has, or None.

        An account below its guaranteed slots is not refused for a predicted wait.
        """
        if limits.slots <= 0:
            return "no_slots"
        if ticket.give_up_s <= now_s:
            return "deadline"
        if self._is_guaranteed(ticket.account, limits):
            return None
        wait_s = self.predicted_wait_s(ticket, limits)
        return "predicted_wait" if now_s + wait_s > self._latest_start_s(ticket) else None

    def start_now(self, ticket: Ticket, limits: SlotLimits) -> bool:
        """Start a ticket without queueing it when nothing waits and a slot is free for it."""
        if self.waiting or not self._may_run(ticket.work_class, limits):
            return False
        self._count_running(ticket, 1)
        return True

    def take(self, limits: SlotLimits, now_s: float) -> Ticket | None:
        """Take the next ticket that may start, and count it as running.

        Accounts below their guaranteed slots come first, then accounts below their fair share,
        then the account with the fewest requests running. Among these the least slack wins; a
        ticket that can still meet its target precedes one that cannot, so that an overload does
        not make every request late.
        """
        best: Ticket | None = None
        best_rank: tuple[int, int, float, int] | None = None
        fair = self._fair_slots(limits)
        for (account, work_class), lane in self._lanes.items():
            if not self._may_run(work_class, limits):
                continue
            ticket = self._head(lane, now_s)
            rank = self._rank(ticket, account, fair, limits, now_s)
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
        key = (ticket.account, ticket.work_class)
        lane = self._lanes.get(key)
        if lane is None or lane.pop(ticket.id, None) is None:
            return False
        if not lane:
            del self._lanes[key]
        _add(self._waiting_by_account, ticket.account, -1)
        self.waiting -= 1
        return True

    def expired(self, now_s: float) -> list[Ticket]:
        """Remove and return the tickets that may no longer wait."""
        late = [t for t in self._tickets() if t.give_up_s <= now_s]
        for ticket in late:
            self.remove(ticket)
        return late

    def predicted_wait_s(self, ticket: Ticket, limits: SlotLimits) -> float:
        """Return the predicted wait of a new ticket.

        The prediction is the smaller of two: the work of all accounts that precedes it over all
        slots, and the account's own work over the slots that fairness gives the account.
        """
        if not self.waiting and self._may_run(ticket.work_class, limits):
            return 0.0
        is_long = self._run_times.is_long(ticket.work_class)
        slots = self._usable_slots(is_long, limits)
        own_s, all_s = self._work_ahead_s(ticket, is_long)
        fair = max(1.0, self._fair_slots(limits), limits.guaranteed.get(ticket.account, 0))
        step_s = self._run_times.mean_s(ticket.work_class)
        return min(all_s / slots, own_s / min(fair, slots)) + step_s / slots

    def _work_ahead_s(self, ticket: Ticket, is_long: bool) -> tuple[float, float]:
        own_s = all_s = 0.0
        for (account, work_class), lane in self._lanes.items():
            if self._run_times.is_long(work_class) != is_long and not is_long:
                continue
            work_s = len(lane) * self._run_times.mean_s(work_class)
            all_s += work_s
            if account == ticket.account:
                own_s += work_s
        return own_s, all_s

    def _usable_slots(self, is_long: bool, limits: SlotLimits) -> float:
        if is_long:
            return max(1.0, _long_slots(limits.slots))
        return max(1.0, limits.slots - self.long_running)

    def _latest_start_s(self, ticket: Ticket) -> float:
        """Return the latest useful start: patience where the class has more than its target."""
        if ticket.give_up_s > ticket.due_s:
            return ticket.give_up_s
        return ticket.due_s - self._run_times.mean_s(ticket.work_class)

    def _may_run(self, work_class: str, limits: SlotLimits) -> bool:
        if self.running >= limits.slots:
            return False
        if self._run_times.is_long(work_class):
            return self.long_running < _long_slots(limits.slots)
        return True

    def _head(self, lane: Lane, now_s: float) -> Ticket:
        """Return the oldest ticket of a lane that can still meet its target, or the oldest."""
        first = next(iter(lane.values()))
        if self._slack_s(first, now_s) >= 0:
            return first
        for ticket in lane.values():
            if self._slack_s(ticket, now_s) >= 0:
                return ticket
        return first

    def _slack_s(self, ticket: Ticket, now_s: float) -> float:
        return ticket.due_s - now_s - self._run_times.safe_s(ticket.work_class)

    def _rank(
        self, ticket: Ticket, account: str, fair: float, limits: SlotLimits, now_s: float
    ) -> tuple[int, int, float, int]:
        running = self._running_by_account.get(account, 0)
        if running < limits.guaranteed.get(account, 0):
            tier = 0
        elif running < fair:
            tier = 1
        else:
            tier = 2 + running
        slack_s = self._slack_s(ticket, now_s)
        return tier, 0 if slack_s >= 0 else 1, slack_s, ticket.id

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
        for lane in self._lanes.values():
            yield from lane.values()

    def _count_running(self, ticket: Ticket, change: int) -> None:
        self.running += change
        _add(self._running_by_account, ticket.account, change)
        # A class may become long while its requests run, so each one is counted as it started.
        if change < 0:
            self._long.discard(ticket.id)
        elif self._run_times.is_long(ticket.work_class):
            self._long.add(ticket.id)


def _shed_rank(slack_s: float, ticket_id: int) -> tuple[bool, float, int]:
    return slack_s < 0, slack_s, ticket_id


def _long_slots(slots: int) -> int:
    return max(1, int(slots * LONG_SLOT_SHARE))


def _add(counts: dict[str, int], key: str, change: int) -> None:
    value = counts.get(key, 0) + change
    if value > 0:
        counts[key] = value
    else:
        counts.pop(key, None)
