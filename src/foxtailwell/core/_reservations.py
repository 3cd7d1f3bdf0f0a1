"""Predicted starts of large gangs and the accelerators reserved for them.

This module belongs to the model of single-gang jobs; `workflows` has its own `Reservation` for
steps and tasks.
"""

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
    members_on,
)


@dataclass(slots=True)
class Reservation:
    """Accelerators reserved for one waiting gang.

    Attributes:
        job_id: Waiting job.
        zone: Zone of the reservation.
        members: Accelerators on which the gang is to start.
        due_in_s: Predicted time until all these accelerators are free.
        free: Mask by worker of those that are free now and not yet assigned.
    """

    job_id: str
    zone: str
    members: tuple[Member, ...]
    due_in_s: float
    free: dict[str, int]


# Remaining seconds, worker, accelerator mask, cores and memory. Plain tuples: a plan creates one
# per member.
_End = tuple[float, str, int, int, int]


class EndTimes:
    """Predicted end times of all gangs, sorted once per plan by zone and rack."""

    def __init__(
        self,
        capacity: Capacity,
        worker_allocations: Mapping[str, Sequence[MemberAllocation]],
        remaining_s: Mapping[str, float],
    ) -> None:
        """Take the allocations of a plan; end times are sorted when first needed.

        Args:
            capacity: Usable workers.
            worker_allocations: Resources of running gangs, by worker.
            remaining_s: Predicted remaining time by job.
        """
        self._capacity = capacity
        self._worker_allocations = worker_allocations
        self._remaining_s = remaining_s
        self._ends: dict[tuple[str, ...], list[_End]] = {}

    def _ends_of(self, key: tuple[str, ...], workers: Iterable[WorkerCapacity]) -> list[_End]:
        ends = self._ends.get(key)
        if ends is None:
            ends = [
                (self._remaining_s.get(a.job_id, 0.0), w.id, a.mask, a.cores, a.memory_gb)
                for w in workers
                for a in self._worker_allocations.get(w.id, ())
            ]
            ends.sort()
            self._ends[key] = ends
        return ends

    def earliest_start(
        self, spec: GangSpec, zones: Collection[str], reserved: Mapping[str, int]
    ) -> tuple[float, str, tuple[Member, ...]] | None:
        """Return the seconds until the earliest start of a gang, its zone and members.

        Args:
            spec: Waiting gang.
            zones: Zones to consider.
            reserved: Masks reserved for other gangs, by worker.
        """
        best: tuple[float, str, tuple[Member, ...]] | None = None
        for zone in zones:
            racks = self._capacity.zones.get(zone, [])
            groups = [((zone, rack.rack), rack.workers) for rack in racks]
            found = False
            for key, workers in groups:
                limit_s = best[0] if best else float("inf")
                in_rack = self._earliest_fit(key, workers, spec, reserved, limit_s)
                if in_rack is not None:
                    best, found = (in_rack[0], zone, in_rack[1]), True
            if not found and best is None and len(groups) > 1:
                everything = [worker for _, workers in groups for worker in workers]
                in_zone = self._earliest_fit((zone,), everything, spec, reserved, float("inf"))
                if in_zone is not None:
                    best = (in_zone[0], zone, in_zone[1])
        return best

    def _earliest_fit(
        self,
        key: tuple[str, ...],
        workers: list[WorkerCapacity],
        spec: GangSpec,
        reserved: Mapping[str, int],
        limit_s: float,
    ) -> tuple[float, tuple[Member, ...]] | None:
        """Release allocations in order of their predicted ends until the gang fits."""
        size = spec.accelerators_per_member
        if sum(w.accelerators // size for w in workers) < spec.members:
            return None
        later = {w.id: replace(w, free=w.free & ~reserved.get(w.id, 0)) for w in workers}
        places = sum(members_on(worker, spec) for worker in later.values())
        free_in_s = 0.0
        for ends_in_s, worker_id, mask, cores, memory_gb in self._ends_of(key, workers):
            if places >= spec.members or ends_in_s >= limit_s:
                break
            worker = later[worker_id]
            before = members_on(worker, spec)
            worker.free |= mask & ~reserved.get(worker_id, 0)
            worker.cores += cores
            worker.memory_gb += memory_gb
            places += members_on(worker, spec) - before
            free_in_s = ends_in_s
        if places < spec.members or free_in_s >= limit_s:
            return None
        filled = fill_workers(list(later.values()), spec, adjacent=True)
        return (free_in_s, filled[1]) if filled else None
