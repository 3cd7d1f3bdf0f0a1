"""Admission of requests at one entry: a bounded queue, and estimates of the run times.

The queue shares the slots fairly among client accounts and orders requests by slack, the time that
is left until a request must start to meet its target. Within one account and class the order of
arrival is the order of slack. The queue therefore keeps one lane for each pair of account and
class, and compares only the first ticket of each lane.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal

RESERVED_SHARE = 0.25
"""Share of the slots reserved for ordinary requests, those whose class is not long. Long classes
may always use an equal share, so that neither kind starves the other."""

DEMAND_MARGIN = 1.15
"""Ratio of the slots reserved for ordinary requests to their mean demand. In the virtual-clock
driver, reserving only a quarter of the slots made 1 to 3 % of these requests late when bursts of
long requests filled the rest."""

DEMAND_AVERAGING_S = 10.0
"""Time constant of the moving average of the demand of ordinary requests."""

RUN_TIME_SMOOTHING = 0.1
"""Weight of a new run time in the moving average. The average then covers about ten requests: it
follows a change of the load overnight, but not a single outlier."""

INITIAL_RUN_SHARE = 0.25
"""Share of the target that is the estimated run time until a request of the class completes."""

RefusalCause = Literal["queue_full", "predicted_wait", "deadline", "no_slots"]


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that needs a slot. All times are readings of one clock of the entry.

    Attributes:
        id: Identifier, unique within the queue.
        account: Client account.
        work_class: Class of the request.
        arrived_s: Time of arrival.
        due_s: Time by which the request must complete to meet the target of its class.
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
    """Current limits of one entry.

    Attributes:
        slots: Requests that may be in flight at once.
        guaranteed: Guaranteed slots of this entry by account.
    """

    slots: int
    guaranteed: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _RunTime:
    mean_s: float
    deviation_s: float


class ServiceTimes:
    """Estimated run times of request classes, as moving averages over completed requests."""

    def __init__(self) -> None:
        self._classes: dict[str, _RunTime] = {}
        self._shortest_target_s = float("inf")

    def configure(self, targets_s: dict[str, float]) -> None:
        """Set the classes and their targets.

        Estimates of classes that stay are kept; a new class starts with a share of its target.
        """
        self._classes = {
            name: self._classes.get(name) or _RunTime(target_s * INITIAL_RUN_SHARE, 0.0)
            for name, target_s in targets_s.items()
        }
        self._shortest_target_s = min(targets_s.values(), default=float("inf"))

    def observe(self, work_class: str, run_s: float) -> None:
        """Update the estimate of a class with the run time of a completed request."""
        known = self._classes.get(work_class)
        if known is None:
            return
        error = run_s - known.mean_s
        known.mean_s += RUN_TIME_SMOOTHING * error
        known.deviation_s += RUN_TIME_SMOOTHING * (abs(error) - known.deviation_s)

    def mean_s(self, work_class: str) -> float:
        """Return the mean run time of a class, 0 for an unknown class."""
        known = self._classes.get(work_class)
        return known.mean_s if known else 0.0

    def upper_bound_s(self, work_class: str) -> float:
        """Return a run time that most requests of a class do not exceed, 0 for an unknown class."""
        known = self._classes.get(work_class)
        return known.mean_s + 2.0 * known.deviation_s if known else 0.0

    def is_long(self, work_class: str) -> bool:
        """Return whether a class is long.

        A class is long when its mean run time exceeds half of the shortest target: one such
        request in front of an ordinary request could alone make it miss its target.
        """
        return self.mean_s(work_class) > self._shortest_target_s / 2


Lane = OrderedDict[int, Ticket]
# An OrderedDict, because a plain dict finds its first entry slowly after many removals.
LaneKey = tuple[str, str]


class AdmissionQueue:
    """Waiting and running requests of one entry.

    Args:
        capacity: Maximum number of waiting requests.
        service_times: Estimated run times of the classes.
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
        self._long_ticket_ids: set[int] = set()
        self.running = 0

    @property
    def long_running(self) -> int:
        """Number of running requests of long classes."""
        return len(self._long_ticket_ids)

    def offer(
        self, ticket: Ticket, limits: SlotLimits, now_s: float
    ) -> tuple[RefusalCause | None, Ticket | None]:
        """Add a ticket to the queue, or refuse it.

        Args:
            ticket: The request.
            limits: Current limits.
            now_s: Current time.

        Returns:
            The cause of a refusal, or None when the ticket was added; and the waiting ticket that
            was removed from a full queue in its favour, if any.
        """
        self._update_demand(ticket, now_s)
        refusal = self.refusal_cause(ticket, limits, now_s)
        if refusal is not None:
            return refusal, None
        shed = None
        if self.waiting >= self._capacity:
            shed = self._choose_ticket_to_shed(limits, now_s, ticket)
            if shed is None or shed is ticket:
                return "queue_full", None
            self.remove(shed)
        self._lanes.setdefault((ticket.account, ticket.work_class), OrderedDict())[ticket.id] = (
            ticket
        )
        _add_count(self._waiting_by_account, ticket.account, 1)
        self.waiting += 1
        return None, shed

    def refusal_cause(
        self, ticket: Ticket, limits: SlotLimits, now_s: float
    ) -> RefusalCause | None:
        """Return why a new ticket would be refused regardless of the queue's length, or None.

        A ticket of an account below its guaranteed slots is not refused for a predicted wait.
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
        """Start a ticket at once when no ticket waits and a slot is free for its class.

        Returns:
            Whether the ticket was started. If not, the caller passes it to `offer`.
        """
        if self.waiting or not self._may_run(ticket.work_class, limits):
            return False
        self._update_demand(ticket, ticket.arrived_s)
        self._count_running(ticket, 1)
        return True

    def take(self, limits: SlotLimits, now_s: float) -> Ticket | None:
        """Remove the next ticket that may start from the queue, and count it as running.

        Accounts below their guaranteed slots come first, then accounts below their fair share,
        then the account with the fewest running requests. Among equal accounts the ticket with the
        least slack is chosen. A ticket that can still meet its target precedes one that cannot, so
        that an overload does not make every request late.
        """
        self._move_late_tickets(now_s)
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
        """Free the slot of a running ticket."""
        self._count_running(ticket, -1)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket, and return whether it was waiting."""
        if not (
            _remove_from_lane(self._lanes, ticket) or _remove_from_lane(self._late_lanes, ticket)
        ):
            return False
        _add_count(self._waiting_by_account, ticket.account, -1)
        self.waiting -= 1
        return True

    def remove_expired(self, now_s: float) -> list[Ticket]:
        """Remove and return the waiting tickets whose start deadline has passed."""
        expired = [t for t in self._tickets() if t.start_deadline_s <= now_s]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def lengths(self) -> dict[LaneKey, int]:
        """Return the number of waiting tickets by account and class."""
        counts: dict[LaneKey, int] = {}
        for lanes in (self._lanes, self._late_lanes):
            for key, lane in lanes.items():
                counts[key] = counts.get(key, 0) + len(lane)
        return counts

    def predicted_wait_s(self, ticket: Ticket, limits: SlotLimits) -> float:
        """Return the predicted wait of a new ticket in seconds.

        The prediction is the smaller of two estimates: the waiting work of all accounts divided by
        the usable slots, and the waiting work of the ticket's own account divided by its fair share
        of the slots or its guaranteed slots, whichever is larger. The mean time until a slot
        becomes free is added.
        """
        if not self.waiting and self._may_run(ticket.work_class, limits):
            return 0.0
        is_long = self._service_times.is_long(ticket.work_class)
        slots = self._usable_slots(is_long, limits)
        own_s, all_s = self._waiting_work_s(ticket, is_long)
        fair = max(1.0, self._fair_slots(limits), limits.guaranteed.get(ticket.account, 0))
        mean_run_s = self._service_times.mean_s(ticket.work_class)
        return min(all_s / slots, own_s / min(fair, slots)) + mean_run_s / slots

    def _waiting_work_s(self, ticket: Ticket, is_long: bool) -> tuple[float, float]:
        """Return the waiting work of the account and of all accounts in slot seconds.

        Late tickets do not count, because a new ticket precedes them.
        """
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
        """Return the latest useful start.

        It is the start deadline where that lies after the target, otherwise the latest start that
        still meets the target.
        """
        if ticket.start_deadline_s > ticket.due_s:
            return ticket.start_deadline_s
        return ticket.due_s - self._service_times.mean_s(ticket.work_class)

    def _may_run(self, work_class: str, limits: SlotLimits) -> bool:
        if self.running >= limits.slots:
            return False
        if self._service_times.is_long(work_class):
            return self.long_running < self._long_slots(limits.slots)
        return True

    def _move_late_tickets(self, now_s: float) -> None:
        """Move the tickets that can no longer meet their target to the late lanes.

        Each ticket moves once, so later calls do not examine it again.
        """
        for key, lane in list(self._lanes.items()):
            while lane and self._slack_s(first := next(iter(lane.values())), now_s) < 0:
                del lane[first.id]
                self._late_lanes.setdefault(key, OrderedDict())[first.id] = first
            if not lane:
                del self._lanes[key]

    def _update_demand(self, ticket: Ticket, now_s: float) -> None:
        """Update the moving average of the slots that ordinary requests occupy."""
        if self._service_times.is_long(ticket.work_class):
            return
        if self._demand_since_s is None:
            self._demand_since_s = self._demand_at_s = now_s
        passed_s = max(0.0, now_s - self._demand_at_s)
        self._demand_at_s = max(self._demand_at_s, now_s)
        self._demand_slots *= math.exp(-passed_s / DEMAND_AVERAGING_S)
        self._demand_slots += self._service_times.mean_s(ticket.work_class) / DEMAND_AVERAGING_S

    def _mean_demand(self) -> float:
        """Return the mean demand in slots, scaled up while the average covers little time."""
        if self._demand_since_s is None:
            return 0.0
        age_s = max(1.0, self._demand_at_s - self._demand_since_s)
        return self._demand_slots / (1.0 - math.exp(-age_s / DEMAND_AVERAGING_S))

    def _long_slots(self, slots: int) -> int:
        """Return how many slots requests of long classes may use at once."""
        quarter = slots * RESERVED_SHARE
        reserved = max(quarter, self._mean_demand() * DEMAND_MARGIN)
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
        count = self._running_by_account.get(account, 0) + self._waiting_by_account.get(account, 0)
        return count < limits.guaranteed.get(account, 0)

    def _choose_ticket_to_shed(
        self, limits: SlotLimits, now_s: float, offered: Ticket
    ) -> Ticket | None:
        """Choose the ticket to refuse when the queue is full; None when no account can lose one.

        It belongs to the account with the most waiting and running requests above its guarantee.
        Tickets that can no longer meet their target are chosen first, then those with the most
        slack.
        """
        request_counts = {
            account: waiting + self._running_by_account.get(account, 0)
            for account, waiting in self._waiting_by_account.items()
        }
        _add_count(request_counts, offered.account, 1)
        excess = {a: count - limits.guaranteed.get(a, 0) for a, count in request_counts.items()}
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
        _add_count(self._running_by_account, ticket.account, change)
        # A class may become long while its requests run. A request therefore counts as long or not
        # according to its class at its start.
        if change < 0:
            self._long_ticket_ids.discard(ticket.id)
        elif self._service_times.is_long(ticket.work_class):
            self._long_ticket_ids.add(ticket.id)


def _shed_rank(slack_s: float, ticket_id: int) -> tuple[bool, float, int]:
    return slack_s < 0, slack_s, ticket_id


def _remove_from_lane(lanes: dict[LaneKey, Lane], ticket: Ticket) -> bool:
    key = (ticket.account, ticket.work_class)
    lane = lanes.get(key)
    if lane is None or lane.pop(ticket.id, None) is None:
        return False
    if not lane:
        del lanes[key]
    return True


def _add_count(counts: dict[str, int], key: str, change: int) -> None:
    value = counts.get(key, 0) + change
    if value > 0:
        counts[key] = value
    else:
        counts.pop(key, None)
