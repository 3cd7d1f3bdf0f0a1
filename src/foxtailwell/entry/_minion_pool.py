"""State of the minions at one entry, and the choice of a minion for each attempt of a request.

The state comprises connections, health, load and the entry's share of each minion's slots.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from foxtailwell.adapters.minions import MinionClient
from foxtailwell.core import (
    Candidate,
    InstanceRecord,
    MinionHealth,
    SlotLimits,
    abandon_probe,
    begin_probe,
    choose_minion,
    is_ejected,
    less_loaded,
    may_probe,
    record_failure,
    record_leaving,
    record_success,
    slot_share,
)
from foxtailwell.fleet import FleetView

__all__ = ["Minion", "MinionPool"]

REPORTED_LOAD_LIMIT_S = 0.5
"""Maximum age of a reported load. An older report is ignored: it is out of date, and a high load
would keep away the very requests whose responses would update it."""


IDEMPOTENT_PROBE_WAIT_S = 10.0
"""Time for which a due probe waits for a request that is safe to repeat; then any request serves,
because an entry may get no other requests."""


@dataclass(slots=True)
class Minion:
    """State of one minion.

    Attributes:
        record: Its record in the instance list.
        client: Connections to it.
        share: Number of its slots that this entry may use.
        in_flight: Requests from this entry that are in flight.
        health: Error history and ejection.
        reported_load: Requests in flight from all entries, as it last reported.
        reported_at_s: Time of that report.
    """

    record: InstanceRecord
    client: MinionClient
    share: int = 0
    in_flight: int = 0
    health: MinionHealth = field(default_factory=MinionHealth)
    reported_load: int = 0
    reported_at_s: float = 0.0


class MinionPool:
    """Chooses minions and records how attempts ended.

    Only the request path and the daemon's refresh task change its state.

    Args:
        view: Instance list and configuration.
        own_id: Identifier of this entry in the instance list.
        zone: Availability zone of this entry.
        clock: Monotonic clock in seconds.
        rng: Source of the random choice of minions.
    """

    def __init__(
        self,
        view: FleetView,
        own_id: str,
        zone: str,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._own_id = own_id
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._minions: dict[str, Minion] = {}
        self._removed: list[Minion] = []
        self._local_minions: list[Minion] = []
        self._ejected_count = 0
        self.entry_count = 1
        self.limits = SlotLimits(0)

    def refresh(self) -> None:
        """Apply the instance list and the configuration of the view."""
        records = self._view.instances
        entries = [r.id for r in records.values() if r.role == "entry" and r.state == "live"]
        self.entry_count = len(set(entries) | {self._own_id})
        listed = {r.id: r for r in records.values() if r.role == "minion"}
        for name in [n for n, m in self._minions.items() if _is_replaced(m, listed.get(n))]:
            self._removed.append(self._minions.pop(name))
        for name, record in listed.items():
            share = slot_share(record.slots, name, entries, self._own_id)
            minion = self._minions.get(name)
            if minion is None:
                connections = max(1, record.connections // self.entry_count)
                minion = Minion(record, MinionClient(record.address, connections))
                self._minions[name] = minion
            minion.record, minion.share = record, share
        self.update_limits()

    def update_limits(self) -> None:
        """Recompute how many requests this entry may have in flight at all minions together."""
        now_s = self._clock()
        slots = 0
        self._local_minions = []
        self._ejected_count = sum(1 for m in self._minions.values() if is_ejected(m.health))
        for minion in self._minions.values():
            if minion.record.zone == self._zone and self._is_usable(minion, now_s):
                self._local_minions.append(minion)
            if self._is_usable(minion, now_s):
                slots += max(minion.share, minion.in_flight)
            else:
                # Requests in flight still occupy slots of the queue, and a probe needs one.
                slots += minion.in_flight + (1 if may_probe(minion.health, now_s) else 0)
        slots += sum(m.in_flight for m in self._removed)
        accounts = self._view.configuration.accounts
        guaranteed = {
            name: -(-account.guaranteed_slots // self.entry_count)
            for name, account in accounts.items()
            if account.guaranteed_slots
        }
        self.limits = SlotLimits(slots, guaranteed)

    async def close_removed(self) -> None:
        """Close the connections to removed minions that have no request in flight."""
        idle = [m for m in self._removed if not m.in_flight]
        self._removed = [m for m in self._removed if m.in_flight]
        for minion in idle:
            await minion.client.aclose()

    async def aclose(self) -> None:
        """Close the connections to all minions; called on shutdown."""
        with anyio.CancelScope(shield=True):
            for minion in [*self._minions.values(), *self._removed]:
                await minion.client.aclose()

    def pick(self, *, is_idempotent: bool, avoid: frozenset[str], avoid_zone: str) -> Minion | None:
        """Choose a minion for one attempt and count the attempt as in flight.

        The caller reports the end of the attempt to one of the `on_` methods.

        Args:
            is_idempotent: Whether the request is safe to repeat, so that it may serve as a probe of
                an ejected minion at once.
            avoid: Minions on which the request already failed.
            avoid_zone: Zone in which the request already failed, used only if no other has a free
                slot.

        Returns:
            The minion, or None if no minion has a free slot.
        """
        now_s = self._clock()
        minion = None
        if self._ejected_count:
            due_s = now_s if is_idempotent else now_s - IDEMPOTENT_PROBE_WAIT_S
            minion = self._find_probe_target(now_s, due_s, avoid)
        if minion is not None:
            minion.health = begin_probe(minion.health)
        elif not avoid:
            minion = self._pick_local(now_s)
        if minion is None:
            minion = self._pick_any(now_s, avoid, avoid_zone)
        if minion is not None:
            minion.in_flight += 1
        return minion

    def _pick_local(self, now_s: float) -> Minion | None:
        """Sample two minions of the entry's zone and return the less loaded one with capacity.

        Examining only two keeps the cost of a request independent of the size of the fleet.
        """
        count = len(self._local_minions)
        if not count:
            return None
        first = int(self._rng.random() * count)
        second = (first + 1 + int(self._rng.random() * (count - 1))) % count
        sampled = {first: self._local_minions[first], second: self._local_minions[second]}
        available = [m for m in sampled.values() if _has_free_capacity(m)]
        if not available:
            return None
        chosen = less_loaded([self._candidate(m, now_s) for m in available], (0.0, 0.0))
        return self._minions[chosen.id]

    def _pick_any(self, now_s: float, avoid: frozenset[str], avoid_zone: str) -> Minion | None:
        usable = [
            m for m in self._minions.values() if _has_free_capacity(m) and self._is_usable(m, now_s)
        ]
        chosen = choose_minion(
            [self._candidate(m, now_s) for m in usable],
            self._zone,
            (self._rng.random(), self._rng.random()),
            avoid=avoid,
            avoid_zone=avoid_zone,
        )
        return self._minions[chosen.id] if chosen is not None else None

    def on_success(self, minion: Minion, reported_load: int | None) -> None:
        """Record that an attempt got a usable response, which ends an ejection."""
        was_ejected = is_ejected(minion.health)
        minion.health = record_success(minion.health)
        self._finish_attempt(minion, reported_load)
        if was_ejected:
            self.update_limits()

    def on_failure(self, minion: Minion) -> None:
        """Record that an attempt failed because of the minion, which may eject it."""
        ejected = self._ejected_count - is_ejected(minion.health)
        minion.health = record_failure(minion.health, self._clock(), ejected, len(self._minions))
        self._finish_attempt(minion, None)
        self.update_limits()

    def on_refusal(self, minion: Minion, reason: str, reported_load: int | None) -> None:
        """Record that the minion refused an attempt.

        A minion that refused because it is leaving gets no new requests. A refusal without a
        reported load counts as a report that all slots are in use.
        """
        if reason == "leaving":
            minion.health = record_leaving(minion.health, self._clock())
        else:
            minion.health = abandon_probe(minion.health)
        self._finish_attempt(
            minion, reported_load if reported_load is not None else minion.record.slots
        )
        self.update_limits()

    def on_cancellation(self, minion: Minion) -> None:
        """Record that an attempt was cancelled for a reason other than the minion."""
        minion.health = abandon_probe(minion.health)
        self._finish_attempt(minion, None)

    def loads(self) -> tuple[tuple[str, int], ...]:
        """Return the number of requests in flight for each minion that has any."""
        return tuple((n, m.in_flight) for n, m in self._minions.items() if m.in_flight)

    def _finish_attempt(self, minion: Minion, reported_load: int | None) -> None:
        minion.in_flight -= 1
        if reported_load is not None:
            minion.reported_load = reported_load
            minion.reported_at_s = self._clock()
        if minion.health.ejected_until_s or minion.record.state == "leaving" or self._removed:
            self.update_limits()

    def _find_probe_target(
        self, now_s: float, due_s: float, avoid: frozenset[str]
    ) -> Minion | None:
        """Return a minion whose probe was due at `due_s`; None if there is none."""
        for minion in self._minions.values():
            if (
                minion.health.ejected_until_s
                and may_probe(minion.health, due_s)
                and minion.record.id not in avoid
                and self._is_in_service(minion, now_s)
            ):
                return minion
        return None

    def _is_usable(self, minion: Minion, now_s: float) -> bool:
        return not minion.health.ejected_until_s and self._is_in_service(minion, now_s)

    def _is_in_service(self, minion: Minion, now_s: float) -> bool:
        configuration = self._view.configuration
        record = minion.record
        return (
            record.state == "live"
            and minion.health.leaving_until_s <= now_s
            and record.zone not in configuration.zones_out
            and record.id not in configuration.leaving_instances
        )

    def _candidate(self, minion: Minion, now_s: float) -> Candidate:
        is_recent = now_s - minion.reported_at_s <= REPORTED_LOAD_LIMIT_S
        return Candidate(
            id=minion.record.id,
            zone=minion.record.zone,
            slots=minion.record.slots,
            limit=minion.share,
            own_in_flight=minion.in_flight,
            reported_load=minion.reported_load if is_recent else 0,
        )


def _is_replaced(minion: Minion, record: InstanceRecord | None) -> bool:
    return record is None or record.address != minion.record.address


def _has_free_capacity(minion: Minion) -> bool:
    return minion.in_flight < minion.share and minion.client.can_connect()
