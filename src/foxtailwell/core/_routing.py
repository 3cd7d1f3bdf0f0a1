"""Choice of the minion for a request.

Covers the share of each minion's slots that one entry may use, load balancing by the power of two
choices, ejection of failing minions until a probe succeeds, and adaptive concurrency limits.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

EJECT_CONSECUTIVE_FAILURES = 3
"""Failures in a row that eject a minion, even when only a few requests went to it."""

EJECT_ERROR_RATE = 0.5
ERROR_SMOOTHING = 0.1
EJECT_MIN_SAMPLES = 10
EJECTION_BACKOFF_FIRST_S = 1.0
EJECTION_BACKOFF_MAX_S = 30.0
MAX_EJECTED_SHARE = 0.5
"""At most this share of the minions is ejected: when more of them fail, the cause is probably not
in the minions."""

LIMIT_DECREASE_FACTOR = 0.75
LEAVING_TTL_S = 60.0
"""Time for which a minion gets no requests after it refused one because it is leaving. The instance
list reports the minion as leaving in less time."""


def slot_share(slots: int, minion: str, entries: Sequence[str], own: str) -> int:
    """Return how many slots of a minion one entry may use.

    Args:
        slots: Slots of the minion.
        minion: Identifier of the minion.
        entries: Identifiers of all live entries, the own one included.
        own: Identifier of this entry.

    Returns:
        The share. The shares of all entries add up to `slots`. The remainder of the division goes
        to entries in order, from a start that depends on the minion, so that no entry gets the
        remainder of every minion.
    """
    ordered = sorted(set(entries) | {own})
    count = len(ordered)
    base, remainder = divmod(slots, count)
    first = zlib.crc32(minion.encode()) % count
    position = (ordered.index(own) - first) % count
    return base + (1 if position < remainder else 0)


@dataclass(frozen=True, slots=True)
class MinionHealth:
    """Error history of a minion as one entry observed it.

    Attributes:
        consecutive_failures: Failures since the last success.
        error_rate: Exponential moving average of failures, 0 to 1.
        samples: Number of results since the minion was last put back into use.
        ejected_until_s: Earliest time of the next probe while ejected, otherwise 0.
        ejections: Ejections without a success between them; each doubles the next backoff.
        is_probing: Whether a probe is in flight.
        leaving_until_s: Time until which the minion counts as leaving, because it refused a
            request for that reason.
    """

    consecutive_failures: int = 0
    error_rate: float = 0.0
    samples: int = 0
    ejected_until_s: float = 0.0
    ejections: int = 0
    is_probing: bool = False
    leaving_until_s: float = 0.0


def is_ejected(health: MinionHealth) -> bool:
    """Return whether a minion is ejected: it gets no requests except probes."""
    return health.ejected_until_s > 0.0


def may_probe(health: MinionHealth, now_s: float) -> bool:
    """Return whether an ejected minion may get one request as a probe."""
    return is_ejected(health) and not health.is_probing and now_s >= health.ejected_until_s


def begin_probe(health: MinionHealth) -> MinionHealth:
    """Return the health with a probe in flight."""
    return replace(health, is_probing=True)


def record_success(health: MinionHealth) -> MinionHealth:
    """Return the health after a successful response, which ends an ejection."""
    if is_ejected(health):
        return MinionHealth(leaving_until_s=health.leaving_until_s)
    if not health.error_rate and not health.consecutive_failures:
        return health if health.samples >= EJECT_MIN_SAMPLES else _with_sample(health, 0.0)
    return replace(
        _with_sample(health, health.error_rate * (1 - ERROR_SMOOTHING)),
        consecutive_failures=0,
        ejections=0,
    )


def record_failure(
    health: MinionHealth, now_s: float, ejected_count: int, minion_count: int
) -> MinionHealth:
    """Return the health after a failure, which may eject the minion.

    Args:
        health: Health before the failure.
        now_s: Current time.
        ejected_count: Number of other minions that are ejected.
        minion_count: Number of known minions.
    """
    rate = health.error_rate + ERROR_SMOOTHING * (1.0 - health.error_rate)
    failed = replace(
        _with_sample(health, rate),
        consecutive_failures=health.consecutive_failures + 1,
        is_probing=False,
    )
    is_failing = (
        is_ejected(health)
        or failed.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
        or (failed.samples >= EJECT_MIN_SAMPLES and rate >= EJECT_ERROR_RATE)
    )
    may_eject = ejected_count + 1 <= minion_count * MAX_EJECTED_SHARE
    if not is_failing or not (may_eject or is_ejected(health)):
        return failed
    backoff_s = min(EJECTION_BACKOFF_MAX_S, EJECTION_BACKOFF_FIRST_S * 2**health.ejections)
    return replace(failed, ejected_until_s=now_s + backoff_s, ejections=health.ejections + 1)


def abandon_probe(health: MinionHealth) -> MinionHealth:
    """Return the health after an inconclusive probe, such as a refused one."""
    return replace(health, is_probing=False)


def record_leaving(health: MinionHealth, now_s: float) -> MinionHealth:
    """Return the health after the minion refused a request because it is leaving."""
    return replace(health, leaving_until_s=now_s + LEAVING_TTL_S, is_probing=False)


def _with_sample(health: MinionHealth, error_rate: float) -> MinionHealth:
    return replace(health, error_rate=error_rate, samples=health.samples + 1)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A minion that may take a request.

    Attributes:
        id: Identifier of the minion.
        zone: Availability zone of the minion.
        slots: Number of requests that the minion runs at once.
        limit: Requests that this entry may have in flight at the minion.
        own_in_flight: Requests that this entry has in flight at the minion.
        reported_load: Requests from all entries in flight, as the minion last reported.
    """

    id: str
    zone: str
    slots: int
    limit: int
    own_in_flight: int
    reported_load: int


def load_of(candidate: Candidate) -> float:
    """Return the load of a minion as a fraction of its slots.

    The larger of the two counts is used, because the reported load may be out of date.
    """
    return max(candidate.own_in_flight, candidate.reported_load) / max(1, candidate.slots)


def choose_minion(
    candidates: Iterable[Candidate],
    local_zone: str,
    draw: tuple[float, float],
    *,
    avoid: frozenset[str] = frozenset(),
    avoid_zone: str = "",
) -> Candidate | None:
    """Choose the less loaded of two minions that are drawn at random.

    Args:
        candidates: Minions that accept requests.
        local_zone: Zone of this entry; its minions are preferred while one has a free slot.
        draw: Two random numbers in [0, 1).
        avoid: Minions on which the request already failed.
        avoid_zone: Zone in which the request already failed; its minions are used only when no
            other zone has a free slot.

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
    """Return the less loaded of two different minions of a pool; the pool must not be empty."""
    count = len(pool)
    first = int(draw[0] * count)
    if count == 1:
        return pool[first]
    second = (first + 1 + int(draw[1] * (count - 1))) % count
    return min(pool[first], pool[second], key=load_of)


@dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Limit of the requests that one entry may have in flight at a minion.

    It follows additive increase and multiplicative decrease (AIMD).
    """

    limit: float = 2.0


def limit_after_success(current: AdaptiveLimit, in_flight: int, slots: int) -> AdaptiveLimit:
    """Return the limit after a successful response.

    The limit rises only while it is fully used, by about one for each round of `limit` responses,
    and never above the slots of the minion.
    """
    if in_flight < int(current.limit):
        return current
    return AdaptiveLimit(min(float(slots), current.limit + 1.0 / current.limit))


def limit_after_refusal(current: AdaptiveLimit) -> AdaptiveLimit:
    """Return the limit after the minion refused a request or failed."""
    return AdaptiveLimit(max(1.0, current.limit * LIMIT_DECREASE_FACTOR))
