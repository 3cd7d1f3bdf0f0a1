"""Searches for room that failed in one plan, so that similar units need no search of their own."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from foxtailwell.workflows._jobs import Resources

__all__ = ["Demand", "FailedSearches"]

MAX_KNOWN = 16
"""Limit of the failed demands with the same constraints, as each unit is compared with all."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What a unit needs.

    Attributes:
        constraints: What has to be equal for two demands to be comparable.
        request: Resources of one task.
        estimate_ms: Estimated run time; longer tasks are kept off workers reserved for gangs.
        count: Number of tasks that need room.
    """

    constraints: Hashable
    request: Resources
    estimate_ms: int
    count: int = 1

    def covers(self, other: Demand) -> bool:
        """Return whether another demand with the same constraints needs at least as much."""
        return (
            self.request.fits(other.request)
            and self.estimate_ms <= other.estimate_ms
            and self.count <= other.count
        )


@dataclass(slots=True)
class FailedSearches:
    """Demands that found no room in one plan, in which room only shrinks."""

    _failed: dict[Hashable, list[Demand]] = field(default_factory=dict)

    def has_failed(self, demand: Demand) -> bool:
        """Return whether a search for the demand must fail, as one for less has."""
        return any(known.covers(demand) for known in self._failed.get(demand.constraints, ()))

    def add(self, demand: Demand) -> None:
        """Record that a search among all workers has failed."""
        known = self._failed.get(demand.constraints, [])
        kept = [other for other in known if not demand.covers(other)]
        self._failed[demand.constraints] = [*kept, demand][-MAX_KNOWN:]
