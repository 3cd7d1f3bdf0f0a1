"""Rack-aware placement of a single gang, and fragmentation of the free capacity.

The free accelerators of a worker are a bit mask. Equal masks have equal runs of adjacent
accelerators, so the runs come from a cache instead of a search on each worker.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from heapq import heapify, heappop, heapreplace

from foxtailwell.core._allocations import Member
from foxtailwell.core._inventory import InstanceRecord
from foxtailwell.core._jobs import GangSpec

NO_RUN = (1 << 30, 0)
"""Run length and start if no run is long enough; sorts after every other run."""


@dataclass(slots=True, eq=False)
class WorkerCapacity:
    """Unused resources of a worker.

    Attributes:
        id: Identifier of the worker.
        zone: Its availability zone.
        rack: Its rack.
        accelerators: Total number of accelerators.
        free: Bit mask of free accelerators.
        cores: Free cores.
        memory_gb: Free memory.
    """

    id: str
    zone: str
    rack: str
    accelerators: int
    free: int
    cores: int
    memory_gb: int


@dataclass(slots=True, eq=False)
class RackCapacity:
    """Workers of one rack and the number of their free accelerators."""

    zone: str
    rack: str
    workers: list[WorkerCapacity] = field(default_factory=list)
    free_count: int = 0


class Capacity:
    """Free resources by worker, rack and zone; a plan takes and releases them as it is made."""

    def __init__(self, workers: Iterable[InstanceRecord]) -> None:
        """Start with all resources of the workers free."""
        self.workers: dict[str, WorkerCapacity] = {}
        self.racks: dict[tuple[str, str], RackCapacity] = {}
        self.zones: dict[str, list[RackCapacity]] = {}
        for record in sorted(workers, key=lambda w: (w.zone, w.rack, w.id)):
            mask = (1 << record.accelerators) - 1
            worker = WorkerCapacity(
                record.id,
                record.zone,
                record.rack,
                record.accelerators,
                mask,
                record.cores,
                record.memory_gb,
            )
            key = (record.zone, record.rack)
            if key not in self.racks:
                self.racks[key] = RackCapacity(*key)
                self.zones.setdefault(record.zone, []).append(self.racks[key])
            self.racks[key].workers.append(worker)
            self.racks[key].free_count += record.accelerators
            self.workers[record.id] = worker

    def take(self, members: Iterable[Member], spec: GangSpec) -> None:
        """Take the resources of a gang; members on unknown workers are ignored."""
        self._apply(members, spec, taken=True)

    def release(self, members: Iterable[Member], spec: GangSpec) -> None:
        """Return the resources of a gang; members on unknown workers are ignored."""
        self._apply(members, spec, taken=False)

    def _apply(self, members: Iterable[Member], spec: GangSpec, *, taken: bool) -> None:
        sign = -1 if taken else 1
        workers = self.workers
        for member in members:
            worker = workers.get(member.worker)
            if worker is None:
                continue
            before = worker.free
            mask = mask_of(member.accelerators) & ((1 << worker.accelerators) - 1)
            worker.free = before & ~mask if taken else before | mask
            worker.cores += sign * spec.cores_per_member
            worker.memory_gb += sign * spec.memory_gb_per_member
            changed = worker.free.bit_count() - before.bit_count()
            self.racks[worker.zone, worker.rack].free_count += changed

    @property
    def free_count(self) -> int:
        """Number of free accelerators on all workers."""
        return sum(rack.free_count for rack in self.racks.values())


@lru_cache(maxsize=1 << 16)
def mask_of(accelerators: tuple[int, ...]) -> int:
    """Return the bit mask with a bit set for each accelerator index."""
    mask = 0
    for index in accelerators:
        mask |= 1 << index
    return mask


@lru_cache(maxsize=1 << 16)
def indexes_of(mask: int) -> tuple[int, ...]:
    """Return the accelerator indexes in a bit mask, in ascending order."""
    return tuple(i for i in range(mask.bit_length()) if mask >> i & 1)


@lru_cache(maxsize=1 << 16)
def runs_of(mask: int) -> tuple[tuple[int, int], ...]:
    """Return length and start of each run of adjacent set bits."""
    runs = []
    start = 0
    while mask >> start:
        shifted = mask >> start
        start += (shifted & -shifted).bit_length() - 1
        ones = mask >> start
        length = ((ones + 1) & -(ones + 1)).bit_length() - 1
        runs.append((length, start))
        start += length
    return tuple(runs)


@lru_cache(maxsize=1 << 16)
def shortest_run(mask: int, size: int) -> tuple[int, int]:
    """Return length and start of the shortest run of at least `size`, or `NO_RUN`."""
    return min((run for run in runs_of(mask) if run[0] >= size), default=NO_RUN)


@lru_cache(maxsize=1 << 16)
def places_in(mask: int, size: int) -> int:
    """Return how many members with `size` adjacent accelerators each fit."""
    return sum(length // size for length, _ in runs_of(mask))


def members_on(worker: WorkerCapacity, spec: GangSpec, *, adjacent: bool = True) -> int:
    """Return how many members of a gang fit on a worker."""
    size = spec.accelerators_per_member
    count = places_in(worker.free, size) if adjacent else worker.free.bit_count() // size
    if spec.cores_per_member:
        count = min(count, worker.cores // spec.cores_per_member)
    if spec.memory_gb_per_member:
        count = min(count, worker.memory_gb // spec.memory_gb_per_member)
    return max(count, 0)


def place_best_fit(
    capacity: Capacity,
    spec: GangSpec,
    *,
    zones: Iterable[str] | None = None,
    rank: Callable[[RackCapacity], int] | None = None,
) -> tuple[str, tuple[Member, ...]] | None:
    """Return the zone and members of the best-fit placement of a gang, or None.

    Adjacent accelerators in one rack are tried first, then adjacent accelerators in several racks
    of one zone, then any free accelerators of one zone. The capacity is not changed.

    Args:
        capacity: Free accelerators.
        spec: Gang to place.
        zones: Zones to consider; all when omitted.
        rank: Key of a rack, lower first; compared before the fit.
    """
    chosen = list(capacity.zones) if zones is None else [z for z in zones if z in capacity.zones]
    for adjacent in (True, False):
        best: tuple[tuple[int, ...], tuple[Member, ...], str] | None = None
        for zone in chosen:
            for rack in capacity.zones[zone]:
                if rack.free_count < spec.accelerators:
                    continue
                found = fill_workers(rack.workers, spec, adjacent=adjacent)
                if found is not None:
                    preference = rank(rack) if rank else 0
                    score = (preference, found[0], rack.free_count)
                    if best is None or score < best[0]:
                        best = (score, found[1], zone)
        if best is not None:
            return best[2], best[1]
        for zone in chosen:
            members = _fill_zone(capacity.zones[zone], spec, adjacent=adjacent)
            if members is not None:
                return zone, members
    return None


def _fill_zone(
    racks: list[RackCapacity], spec: GangSpec, *, adjacent: bool
) -> tuple[Member, ...] | None:
    """Place a gang on the fewest racks of a zone, those with most free accelerators first."""
    if sum(rack.free_count for rack in racks) < spec.accelerators:
        return None
    workers: list[WorkerCapacity] = []
    count = 0
    for rack in sorted(racks, key=lambda r: (-r.free_count, r.rack)):
        workers += rack.workers
        count += sum(members_on(w, spec, adjacent=adjacent) for w in rack.workers)
        if count >= spec.members:
            found = fill_workers(workers, spec, adjacent=adjacent)
            return found[1] if found else None
    return None


def fill_workers(
    workers: list[WorkerCapacity], spec: GangSpec, *, adjacent: bool
) -> tuple[int, tuple[Member, ...]] | None:
    """Place a gang on workers, shortest runs first.

    Returns:
        The number of free accelerators left on workers whose run was split, and the members; None
        if the gang does not fit.
    """
    size, wanted = spec.accelerators_per_member, spec.members
    # Entries are (run length, free count, worker order, free mask, members that still fit).
    heap: list[tuple[int, int, int, int, int]] = []
    total = 0
    for order, worker in enumerate(workers):
        if worker.free.bit_count() < size:
            continue
        places = members_on(worker, spec, adjacent=adjacent)
        if places:
            total += places
            heap.append(_entry(worker.free, size, order, places, adjacent=adjacent))
    if total < wanted:
        return None
    if wanted == 1:
        heap = [min(heap)]
    heapify(heap)
    members: list[Member] = []
    left: dict[int, int] = {}
    while len(members) < wanted:
        length, _, order, free, places = heap[0]
        taken = _mask_to_take(free, size, adjacent=adjacent)
        members.append(Member(workers[order].id, indexes_of(taken)))
        left[order] = free.bit_count() - size if length > size else 0
        if places > 1:
            rest = _entry(free & ~taken, size, order, places - 1, adjacent=adjacent)
            heapreplace(heap, rest)
        else:
            heappop(heap)
    return sum(left.values()), tuple(members)


def _entry(
    free: int, size: int, order: int, places: int, *, adjacent: bool
) -> tuple[int, int, int, int, int]:
    count = free.bit_count()
    length = shortest_run(free, size)[0] if adjacent else count
    return (length, count, order, free, places)


@lru_cache(maxsize=1 << 16)
def _mask_to_take(free: int, size: int, *, adjacent: bool) -> int:
    """Return `size` free accelerators as a mask, from the shortest run if adjacent."""
    if adjacent:
        _, start = shortest_run(free, size)
        return ((1 << size) - 1) << start
    return mask_of(indexes_of(free)[:size])


def largest_gang(racks: Iterable[RackCapacity]) -> int:
    """Return the most adjacent accelerators available to one gang in one rack.

    These are all fully free workers plus the longest run on one partly used worker.
    """
    largest = 0
    for rack in racks:
        whole, part = 0, 0
        for worker in rack.workers:
            if worker.free.bit_count() == worker.accelerators:
                whole += worker.accelerators
            elif worker.free:
                part = max(part, max(runs_of(worker.free))[0])
        largest = max(largest, whole + part)
    return largest


def fragmentation(capacity: Capacity) -> float:
    """Return 1 minus the sum of the largest gangs per zone divided by all free accelerators.

    A gang cannot span zones, so each zone counts separately; otherwise an empty cluster of three
    zones would appear two thirds fragmented. The value is 0 if nothing is free.
    """
    free = capacity.free_count
    if free == 0:
        return 0.0
    return 1.0 - sum(largest_gang(racks) for racks in capacity.zones.values()) / free
