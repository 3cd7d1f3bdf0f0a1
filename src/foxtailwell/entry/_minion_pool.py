"""The minions as one entry sees them: connections, health, load and shares of slots."""

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
"""An older report says little, and would keep new requests away that could correct it."""


@dataclass(slots=True)
class Minion:
    """One minion.

    Attributes:
        record: Entry of the instance list.
        client: Connections to it.
        share: Slots that this entry may use.
        in_flight: Requests in flight from this entry.
        health: Errors and ejection.
        reported_load: Load that it reported last.
        reported_at_s: When it reported its load.
    """

    record: InstanceRecord
    client: MinionClient
    share: int = 0
    in_flight: int = 0
    health: MinionHealth = field(default_factory=MinionHealth)
    reported_load: int = 0
    reported_at_s: float = 0.0


class MinionPool:
    """Chooses minions and keeps their state. Only the request path changes it."""

    def __init__(
        self,
        view: FleetView,
        own: str,
        zone: str,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._own = own
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._minions: dict[str, Minion] = {}
        self._removed: list[Minion] = []
        self._near: list[Minion] = []
        self._ejected_count = 0
        self.entry_count = 1
        self.limits = SlotLimits(0)

    def refresh(self) -> None:
        """Take over instances and configuration of the view."""
        records = self._view.instances
        entries = [r.id for r in records.values() if r.role == "entry" and r.state == "live"]
        self.entry_count = len(set(entries) | {self._own})
        found = {r.id: r for r in records.values() if r.role == "minion"}
        for name in [n for n, m in self._minions.items() if _is_replaced(m, found.get(n))]:
            self._removed.append(self._minions.pop(name))
        for name, record in found.items():
            share = slot_share(record.slots, name, entries, self._own)
            minion = self._minions.get(name)
            if minion is None:
                connections = max(1, record.connections // self.entry_count)
                minion = Minion(record, MinionClient(record.address, connections))
                self._minions[name] = minion
            minion.record, minion.share = record, share
        self.update_limits()

    def update_limits(self) -> None:
        """Recompute the slots of this entry."""
        now_s = self._clock()
        slots = 0
        self._near = []
        self._ejected_count = sum(1 for m in self._minions.values() if is_ejected(m.health))
        for minion in self._minions.values():
            if minion.record.zone == self._zone and self._is_usable(minion, now_s):
                self._near.append(minion)
            if self._is_usable(minion, now_s):
                slots += max(minion.share, minion.in_flight)
            else:
                # Its requests hold a slot of the queue until they end.
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
        """Close connections to minions that left the list and have no request in flight."""
        idle = [m for m in self._removed if not m.in_flight]
        self._removed = [m for m in self._removed if m.in_flight]
        for minion in idle:
            await minion.client.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        with anyio.CancelScope(shield=True):
            for minion in [*self._minions.values(), *self._removed]:
                await minion.client.aclose()

    def pick(self, *, is_idempotent: bool, avoid: frozenset[str], avoid_zone: str) -> Minion | None:
        """Choose a minion for one attempt and count the attempt."""
        now_s = self._clock()
        minion = None
        if is_idempotent and self._ejected_count:
            minion = self._find_probe(now_s, avoid)
        if minion is not None:
            minion.health = begin_probe(minion.health)
        elif not avoid:
            minion = self._pick_near(now_s)
        if minion is None:
            minion = self._pick_any(now_s, avoid, avoid_zone)
        if minion is not None:
            minion.in_flight += 1
        return minion

    def _pick_near(self, now_s: float) -> Minion | None:
        """Draw two minions of the near zone and take the less loaded one that has room.

        Looking at two only keeps the cost of a request the same in a large fleet.
        """
        count = len(self._near)
        if not count:
            return None
        first = int(self._rng.random() * count)
        second = (first + 1 + int(self._rng.random() * (count - 1))) % count
        drawn = {first: self._near[first], second: self._near[second]}
        open_ones = [m for m in drawn.values() if _has_room(m)]
        if not open_ones:
            return None
        chosen = less_loaded([self._candidate(m, now_s) for m in open_ones], (0.0, 0.0))
        return self._minions[chosen.id]

    def _pick_any(self, now_s: float, avoid: frozenset[str], avoid_zone: str) -> Minion | None:
        usable = [m for m in self._minions.values() if _has_room(m) and self._is_usable(m, now_s)]
        chosen = choose_minion(
            [self._candidate(m, now_s) for m in usable],
            self._zone,
            (self._rng.random(), self._rng.random()),
            avoid=avoid,
            avoid_zone=avoid_zone,
        )
        return self._minions[chosen.id] if chosen is not None else None

    def on_success(self, minion: Minion, reported_load: int | None) -> None:
        """Record a usable response."""
        was_ejected = is_ejected(minion.health)
        minion.health = record_success(minion.health)
        self._end(minion, reported_load)
        if was_ejected:
            self.update_limits()

    def on_failure(self, minion: Minion) -> None:
        """Record a failure of the minion."""
        ejected = self._ejected_count - is_ejected(minion.health)
        minion.health = record_failure(minion.health, self._clock(), ejected, len(self._minions))
        self._end(minion, None)
        self.update_limits()

    def on_refusal(self, minion: Minion, reason: str, reported_load: int | None) -> None:
        """Record a refusal; a leaving minion gets no new work from now on."""
        if reason == "leaving":
            minion.health = record_leaving(minion.health, self._clock())
        else:
            minion.health = abandon_probe(minion.health)
        self._end(minion, reported_load if reported_load is not None else minion.record.slots)
        self.update_limits()

    def on_cancellation(self, minion: Minion) -> None:
        """Record an attempt that was given up for a reason that is not the minion's."""
        minion.health = abandon_probe(minion.health)
        self._end(minion, None)

    def loads(self) -> tuple[tuple[str, int], ...]:
        """Return the requests in flight by minion."""
        return tuple((n, m.in_flight) for n, m in self._minions.items() if m.in_flight)

    def _end(self, minion: Minion, reported_load: int | None) -> None:
        minion.in_flight -= 1
        if reported_load is not None:
            minion.reported_load = reported_load
            minion.reported_at_s = self._clock()
        if minion.health.ejected_until_s or minion.record.state == "leaving" or self._removed:
            self.update_limits()

    def _find_probe(self, now_s: float, avoid: frozenset[str]) -> Minion | None:
        for minion in self._minions.values():
            if (
                minion.health.ejected_until_s
                and may_probe(minion.health, now_s)
                and minion.record.id not in avoid
                and self._takes_work(minion, now_s)
            ):
                return minion
        return None

    def _is_usable(self, minion: Minion, now_s: float) -> bool:
        return not minion.health.ejected_until_s and self._takes_work(minion, now_s)

    def _takes_work(self, minion: Minion, now_s: float) -> bool:
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


def _has_room(minion: Minion) -> bool:
    return minion.in_flight < minion.share and minion.client.can_connect()
