"""Reservations of accelerators for large gangs that cannot start yet."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from foxtailwell.core._allocations import Member
from foxtailwell.core._guarantees import MemberAllocation
from foxtailwell.core._jobs import GangSpec
from foxtailwell.core._placement import (
    Capacity,
    WorkerCapacity,
    fill_workers,
    places_in,
)


@dataclass(slots=True)
class Reservation:
    """Accelerators kept for one waiting gang.

    Attributes:
        job_id: Waiting job.
        zone: Zone of the reservation.
        members: Where the gang should start.
        due_in_s: Predicted time until all of its accelerators are free.
        free: Accelerators of it that are free now, by worker.
    """

    job_id: str
    zone: str
    members: tuple[Member, ...]
    due_in_s: float
    free: dict[str, int]


# Plain tuples of the time left, the worker and its accelerators; a plan makes one per member.
_End = tuple[float, str, int]


class EndTimes:
    """Predicted ends of all gangs by zone and rack, sorted once for a plan."""

    def __init__(
        self,
        capacity: Capacity,
        holdings: Mapping[str, Sequence[MemberAllocation]],
        remaining_s: Mapping[str, float],
    ) -> None:
        """Sort the ends of the holdings.

        Args:
            capacity: Usable workers.
            holdings: What running gangs hold, by worker.
            remaining_s: Predicted remaining time by job.
        """
        self._capacity = capacity
        self._holdings = holdings
        self._remaining_s = remaining_s
        self._ends: dict[tuple[str, ...], list[_End]] = {}

    def _of(self, key: tuple[str, ...], workers: Iterable[WorkerCapacity]) -> list[_End]:
        ends = self._ends.get(key)
        if ends is None:
            ends = [
                (self._remaining_s.get(h.job_id, 0.0), w.id, h.mask)
                for w in workers
                for h in self._holdings.get(w.id, ())
            ]
            ends.sort()
            self._ends[key] = ends
        return ends

    def earliest(
        self, spec: GangSpec, zones: Collection[str], promised: Mapping[str, int]
    ) -> tuple[float, str, tuple[Member, ...]] | None:
        """Return when, in which zone and on which members a gang could start first.

        Args:
            spec: Gang that waits.
            zones: Zones to consider.
            promised: Accelerators that are promised to other gangs, by worker.
        """
        best: tuple[float, str, tuple[Member, ...]] | None = None
        for zone in zones:
            racks = self._capacity.zones.get(zone, [])
            groups = [((zone, rack.rack), rack.workers) for rack in racks]
            found = False
            for key, workers in groups:
                limit_s = best[0] if best else float("inf")
                in_rack = self._sweep(key, workers, spec, promised, limit_s)
                if in_rack is not None:
                    best, found = (in_rack[0], zone, in_rack[1]), True
            if not found and best is None and len(groups) > 1:
                everything = [worker for _, workers in groups for worker in workers]
                in_zone = self._sweep((zone,), everything, spec, promised, float("inf"))
                if in_zone is not None:
                    best = (in_zone[0], zone, in_zone[1])
        return best

    def _sweep(
        self,
        key: tuple[str, ...],
        workers: list[WorkerCapacity],
        spec: GangSpec,
        promised: Mapping[str, int],
        limit_s: float,
    ) -> tuple[float, tuple[Member, ...]] | None:
        """Free holdings in the order of their ends until the gang fits."""
        size = spec.accelerators_per_member
        if sum(w.accelerators // size for w in workers) < spec.members:
            return None
        free = {w.id: w.free & ~promised.get(w.id, 0) for w in workers}
        places = sum(places_in(mask, size) for mask in free.values())
        at_s = 0.0
        for in_s, worker, mask in self._of(key, workers):
            if places >= spec.members or in_s >= limit_s:
                break
            before = free[worker]
            after = before | (mask & ~promised.get(worker, 0))
            free[worker] = after
            places += places_in(after, size) - places_in(before, size)
            at_s = in_s
        if places < spec.members or at_s >= limit_s:
            return None
        later = [replace(w, free=free[w.id]) for w in workers]
        # Cores and memory of the gangs that end are not tracked; the start checks them again.
        filled = fill_workers(later, GangSpec(spec.members, size), adjacent=True)
        return (at_s, filled[1]) if filled else None
