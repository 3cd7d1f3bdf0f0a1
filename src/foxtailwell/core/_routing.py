"""Choice of a minion: shares of slots, power of two choices, adaptive limits, ejection, probes."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

EJECT_CONSECUTIVE_FAILURES = 3
"""A minion whose last three requests failed is ejected even when few requests went to it."""

EJECT_ERROR_RATE = 0.5
ERROR_WEIGHT = 0.1
EJECT_MINIMUM_SAMPLES = 10
EJECTION_FIRST_S = 1.0
EJECTION_LONGEST_S = 30.0
EJECTED_SHARE_LIMIT = 0.5
"""At most half of the minions are ejected: when more fail, the cause is probably elsewhere."""

LIMIT_DECREASE = 0.75
LEAVING_MEMORY_S = 60.0
"""How long a refusal as leaving keeps a minion out; the instance list lags by less."""


def slot_share(slots: int, minion: str, entries: Sequence[str], own: str) -> int:
    """Return how many slots of a minion one entry may use.

    Args:
        slots: Slots of the minion.
        minion: Identifier of the minion.
        entries: Identifiers of all live entries, the own one included.
        own: Identifier of this entry.

    Returns:
        The share. The shares of all entries add up to `slots`; the remainder goes to entries in
        turn, starting at a place that depends on the minion.
    """
    ordered = sorted(set(entries) | {own})
    count = len(ordered)
    base, remainder = divmod(slots, count)
    first = zlib.crc32(minion.encode()) % count
    place = (ordered.index(own) - first) % count
    return base + (1 if place < remainder else 0)


@dataclass(frozen=True, slots=True)
class MinionHealth:
    """What one entry knows of a minion's errors.

    Attributes:
        consecutive_failures: Failures since the last success.
        error_rate: Moving average of failures.
        samples: Number of results seen since the last return.
        ejected_until_s: Time of the next probe while ejected, otherwise 0.
        ejections: Ejections without a success between them; lengthens the next one.
        is_probing: Whether a probe is on its way.
        leaving_until_s: Until when the minion counts as leaving because it said so.
    """

    consecutive_failures: int = 0
    error_rate: float = 0.0
    samples: int = 0
    ejected_until_s: float = 0.0
    ejections: int = 0
    is_probing: bool = False
    leaving_until_s: float = 0.0


def is_ejected(health: MinionHealth) -> bool:
    """Return whether a minion gets no work but probes."""
    return health.ejected_until_s > 0.0


def may_probe(health: MinionHealth, now_s: float) -> bool:
    """Return whether an ejected minion may get one request as a probe."""
    return is_ejected(health) and not health.is_probing and now_s >= health.ejected_until_s


def begin_probe(health: MinionHealth) -> MinionHealth:
    """Return the health after a probe was sent."""
    return replace(health, is_probing=True)


def record_success(health: MinionHealth) -> MinionHealth:
    """Return the health after a usable response; an ejected minion returns."""
    if is_ejected(health):
        return MinionHealth(leaving_until_s=health.leaving_until_s)
    if not health.error_rate and not health.consecutive_failures:
        return health if health.samples >= EJECT_MINIMUM_SAMPLES else _sampled(health, 0.0)
    return replace(
        _sampled(health, health.error_rate * (1 - ERROR_WEIGHT)),
        consecutive_failures=0,
        ejections=0,
    )


def record_failure(
    health: MinionHealth, now_s: float, ejected_count: int, minion_count: int
) -> MinionHealth:
    """Return the health after a failure.

    Args:
        health: Health before.
        now_s: Current time.
        ejected_count: Minions ejected now, without this one.
        minion_count: All minions known.
    """
    rate = health.error_rate + ERROR_WEIGHT * (1.0 - health.error_rate)
    failed = replace(
        _sampled(health, rate),
        consecutive_failures=health.consecutive_failures + 1,
        is_probing=False,
    )
    must_eject = (
        is_ejected(health)
        or failed.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
        or (failed.samples >= EJECT_MINIMUM_SAMPLES and rate >= EJECT_ERROR_RATE)
    )
    has_room = ejected_count + 1 <= minion_count * EJECTED_SHARE_LIMIT
    if not must_eject or not (has_room or is_ejected(health)):
        return failed
    pause_s = min(EJECTION_LONGEST_S, EJECTION_FIRST_S * 2**health.ejections)
    return replace(failed, ejected_until_s=now_s + pause_s, ejections=health.ejections + 1)


def abandon_probe(health: MinionHealth) -> MinionHealth:
    """Return the health after a probe that told nothing, such as a refusal."""
    return replace(health, is_probing=False)


def record_leaving(health: MinionHealth, now_s: float) -> MinionHealth:
    """Return the health after the minion refused because it is leaving."""
    return replace(health, leaving_until_s=now_s + LEAVING_MEMORY_S, is_probing=False)


def _sampled(health: MinionHealth, error_rate: float) -> MinionHealth:
    return replace(health, error_rate=error_rate, samples=health.samples + 1)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A minion that may take a request.

    Attributes:
        id: Identifier.
        zone: Its availability zone.
        slots: Its slots.
        limit: Requests that this entry may have in flight there.
        own_in_flight: Requests in flight from this entry.
        reported_load: Requests in flight that the minion last reported.
    """

    id: str
    zone: str
    slots: int
    limit: int
    own_in_flight: int
    reported_load: int


def load_of(candidate: Candidate) -> float:
    """Return the load of a minion: the larger of reported and own load over its slots."""
    return max(candidate.own_in_flight, candidate.reported_load) / max(1, candidate.slots)


def choose_minion(
    candidates: Iterable[Candidate],
    local_zone: str,
    draw: tuple[float, float],
    *,
    avoid: frozenset[str] = frozenset(),
    avoid_zone: str = "",
) -> Candidate | None:
    """Choose the less loaded of two minions drawn at random.

    Args:
        candidates: Minions that take work.
        local_zone: Zone of this entry; it is preferred where it has a free slot.
        draw: Two random numbers in [0, 1).
        avoid: Minions that already failed the request.
        avoid_zone: Zone that already failed the request; left out where another one has room.

    Returns:
        The choice, or None when no minion has a free slot.
    """
    free = [c for c in candidates if c.own_in_flight < c.limit and c.id not in avoid]
    if not free:
        return None
    pool = [c for c in free if c.zone != avoid_zone] or free
    pool = [c for c in pool if c.zone == local_zone] or pool
    return less_loaded(pool, draw)


def less_loaded(pool: Sequence[Candidate], draw: tuple[float, float]) -> Candidate:
    """Return the less loaded of two different members of a pool."""
    count = len(pool)
    first = int(draw[0] * count)
    if count == 1:
        return pool[first]
    second = (first + 1 + int(draw[1] * (count - 1))) % count
    return min(pool[first], pool[second], key=load_of)


@dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Requests that one entry may have in flight at a minion, found by additive increase."""

    limit: float = 2.0


def limit_after_success(current: AdaptiveLimit, in_flight: int, slots: int) -> AdaptiveLimit:
    """Return the limit after a response; it rises only while it is used."""
    if in_flight < int(current.limit):
        return current
    return AdaptiveLimit(min(float(slots), current.limit + 1.0 / current.limit))


def limit_after_refusal(current: AdaptiveLimit) -> AdaptiveLimit:
    """Return the limit after the minion refused or failed."""
    return AdaptiveLimit(max(1.0, current.limit * LIMIT_DECREASE))
