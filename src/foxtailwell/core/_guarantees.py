"""Packing of guaranteed shapes and choice of the gangs to preempt.

Every guaranteed shape, used or not, gets a slot: adjacent accelerators of one rack that no other
slot overlaps. A gang inside the slots of its own account is covered; every other gang is a
borrower and may be stopped. Slots are disjoint and contain only free accelerators, borrowers and
gangs of their own account, so a shape stays reclaimable whichever gangs end or start.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache
from heapq import heapify, heappop, heapreplace
from typing import NamedTuple

from foxtailwell.core._allocations import Gang, Member
from foxtailwell.core._configuration import Configuration
from foxtailwell.core._inventory import InstanceRecord
from foxtailwell.core._jobs import GangSpec
from foxtailwell.core._placement import (
    NO_RUN,
    Capacity,
    RackCapacity,
    WorkerCapacity,
    indexes_of,
    largest_gang,
    mask_of,
    runs_of,
    shortest_run,
)

SEARCH_NODE_LIMIT = 4000
"""Maximum nodes of the packing search that follows a failed greedy pass; takes about 50 ms."""

SEARCH_SHAPE_LIMIT = 96
"""Maximum shapes for the search; more are only packed greedily, as it would not finish."""


@dataclass(frozen=True, slots=True)
class GuaranteedSlot:
    """Adjacent accelerators that stay reclaimable for one guaranteed shape."""

    account: str
    accelerators: int
    zone: str
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MissingShape:
    """One guaranteed shape that needs a slot, or for which none was found."""

    account: str
    accelerators: int


@dataclass(frozen=True, slots=True)
class GuaranteePacking:
    """Result of packing the guaranteed shapes.

    Attributes:
        slots: Slots that do not overlap.
        missing: Shapes for which no slot was found.
        reason: Why shapes are missing; empty when all fit.
    """

    slots: tuple[GuaranteedSlot, ...]
    missing: tuple[MissingShape, ...]
    reason: str

    @property
    def is_complete(self) -> bool:
        """Whether every guaranteed shape has a slot."""
        return not self.missing


def usable_workers(
    configuration: Configuration, workers: Iterable[InstanceRecord], without_zone: str | None = None
) -> list[InstanceRecord]:
    """Return live workers with accelerators that the configuration does not exclude."""
    leaving = set(configuration.leaving_instances)
    return [
        w
        for w in workers
        if w.role == "worker"
        and w.state == "live"
        and w.accelerators
        and w.zone != without_zone
        and w.zone not in configuration.zones_out
        and w.id not in leaving
    ]


def pack_guarantees(
    configuration: Configuration, workers: Iterable[InstanceRecord], without_zone: str | None = None
) -> GuaranteePacking:
    """Pack all guaranteed shapes on the workers, regardless of running gangs.

    Args:
        configuration: Configuration with the accounts and the zones that are out.
        workers: Workers of the instance list.
        without_zone: Zone that is assumed to be lost.

    Returns:
        The slots, and the reason when some shapes have none.
    """
    capacity = Capacity(usable_workers(configuration, workers, without_zone))
    shapes = _shapes_of(configuration)
    packer = _Packer(capacity)
    missing = packer.fill(shapes)
    if missing and len(shapes) <= SEARCH_SHAPE_LIMIT:
        searched = _Packer(capacity)
        if searched.search(shapes):
            packer, missing = searched, []
    return packer.result(missing, without_zone)


def check_guarantees(
    configuration: Configuration, workers: Iterable[InstanceRecord]
) -> GuaranteePacking:
    """Return the packing that decides whether a configuration is accepted.

    With `survive_zone_loss` the shapes must also fit without any one of the zones; a smaller zone
    can be decisive if it has the larger racks. While a zone is already out, no further loss is
    assumed.
    """
    fleet = list(workers)
    packing = pack_guarantees(configuration, fleet)
    if not packing.is_complete or not configuration.survive_zone_loss or configuration.zones_out:
        return packing
    for zone in sorted({w.zone for w in usable_workers(configuration, fleet)}):
        without = pack_guarantees(configuration, fleet, zone)
        if not without.is_complete:
            return without
    return packing


def pack_around(
    configuration: Configuration,
    capacity: Capacity,
    gangs: Sequence[Gang],
    protected: Sequence[Mapping[str, int]],
) -> GuaranteePacking:
    """Pack the guaranteed shapes so that as many running gangs as possible are covered.

    Unused slots are placed on free accelerators if all shapes still fit, because a slot on a
    running gang means that the gang is stopped when the account needs the slot.

    Args:
        configuration: Configuration with the accounts.
        capacity: Usable workers, with the gangs taken.
        gangs: Running gangs in the order in which they should be covered.
        protected: Masks by worker that unused slots avoid; the last entry is the most important
            and contains the gangs within their account's guarantee.

    Returns:
        The packing with the fewest missing shapes; covering fewer gangs is tried when the
        covered ones leave no space for another account's shape.
    """
    shapes = _shapes_of(configuration)
    if not shapes:
        return GuaranteePacking((), (), "")
    best: tuple[int, _Packer, list[MissingShape]] | None = None
    for count, avoid in ((len(gangs), protected), (len(gangs), ()), (len(gangs) // 2, ()), (0, ())):
        packer = _Packer(capacity)
        rest = packer.cover(shapes, gangs[:count], avoid[-1] if avoid else {})
        missing = packer.fill(rest, avoid)
        lost = sum(shape.accelerators for shape in missing)
        if best is None or lost < best[0]:
            best = (lost, packer, missing)
        if not missing or not gangs:
            break
    assert best is not None
    return best[1].result(best[2], None)


def _shapes_of(configuration: Configuration) -> list[MissingShape]:
    shapes = [
        MissingShape(account.name, shape.accelerators)
        for account in configuration.accounts.values()
        for shape in account.guarantees
        for _ in range(shape.count)
        if shape.accelerators > 0
    ]
    return sorted(shapes, key=lambda s: (-s.accelerators, s.account))


def _masks_by_account(gangs: Iterable[Gang]) -> dict[str, dict[str, int]]:
    masks: dict[str, dict[str, int]] = {}
    for gang in gangs:
        own = masks.setdefault(gang.account, {})
        for member in gang.members:
            own[member.worker] = own.get(member.worker, 0) | mask_of(member.accelerators)
    return masks


def _groups(needed: Mapping[str, int], sizes: Sequence[int]) -> Iterable[dict[str, int]]:
    """Yield candidate parts of a gang for one slot: all of it, then the largest for each size."""
    yield dict(needed)
    for size in sorted(set(sizes), reverse=True):
        group: dict[str, int] = {}
        left = size
        for worker, mask in sorted(needed.items()):
            if mask.bit_count() <= left:
                group[worker] = mask
                left -= mask.bit_count()
        if group and len(group) < len(needed):
            yield group


@lru_cache(maxsize=1 << 16)
def _window(free: int, needed: int, size: int) -> int:
    """Return the mask of `size` adjacent free accelerators around the needed ones, or 0.

    Of several such windows, the one that leaves the longest run free is returned.
    """
    best, best_left = 0, -1
    for length, first in runs_of(free):
        for start in range(first, first + length - size + 1):
            mask = ((1 << size) - 1) << start
            if needed & ~mask:
                continue
            left = max((run[0] for run in runs_of(free & ~mask)), default=0)
            if left > best_left:
                best, best_left = mask, left
    return best


class _Packer:
    """Mutable state of one packing: placed slots and the accelerators outside all slots."""

    def __init__(self, capacity: Capacity) -> None:
        self._capacity = capacity
        self._open = {w.id: (1 << w.accelerators) - 1 for w in capacity.workers.values()}
        self._slots: list[tuple[MissingShape, RackCapacity, dict[str, int]]] = []
        self._own: dict[str, dict[str, int]] = {}
        self._prefers_free = False
        self._protected: Mapping[str, int] = {}
        self._own_masks: Mapping[str, int] = {}

    def result(self, missing: list[MissingShape], without_zone: str | None) -> GuaranteePacking:
        slots = tuple(
            GuaranteedSlot(
                shape.account,
                shape.accelerators,
                rack.zone,
                tuple(Member(worker, indexes_of(mask)) for worker, mask in sorted(masks.items())),
            )
            for shape, rack, masks in self._slots
        )
        return GuaranteePacking(slots, tuple(missing), self._reason(missing, without_zone))

    def _reason(self, missing: list[MissingShape], without_zone: str | None) -> str:
        if not missing:
            return ""
        first = missing[0]
        place = f" without zone {without_zone}" if without_zone else ""
        largest = max((largest_gang([r]) for r in self._open_racks()), default=0)
        total = len(missing) + len(self._slots)
        return (
            f"{len(missing)} of {total} guaranteed shapes do not fit together{place}; the first is "
            f"{first.accelerators} adjacent accelerators of account {first.account}, and "
            f"{largest} adjacent accelerators of one rack are left"
        )

    def _open_racks(self) -> list[RackCapacity]:
        return [
            RackCapacity(
                rack.zone,
                rack.rack,
                [
                    WorkerCapacity(w.id, w.zone, w.rack, w.accelerators, self._open[w.id], 0, 0)
                    for w in rack.workers
                ],
            )
            for rack in self._capacity.racks.values()
        ]

    def _allowed(self, worker: str) -> int:
        """Return the mask outside all slots and outside protected gangs of other accounts."""
        protected = self._protected.get(worker, 0) & ~self._own_masks.get(worker, 0)
        return self._open[worker] & ~protected

    def _place(self, shape: MissingShape, rack: RackCapacity, masks: dict[str, int]) -> None:
        own = self._own.setdefault(shape.account, {})
        for worker, mask in masks.items():
            self._open[worker] &= ~mask
            own[worker] = own.get(worker, 0) | mask
        self._slots.append((shape, rack, masks))

    def _undo(self) -> MissingShape:
        shape, _, masks = self._slots.pop()
        for worker, mask in masks.items():
            self._open[worker] |= mask
            self._own[shape.account][worker] &= ~mask
        return shape

    def cover(
        self, shapes: list[MissingShape], gangs: Sequence[Gang], protected: Mapping[str, int]
    ) -> list[MissingShape]:
        """Place slots around running gangs of the same account; return the shapes without a slot.

        Args:
            shapes: Shapes of all accounts.
            gangs: Running gangs in the order in which they are covered.
            protected: Masks by worker that only slots of the gang's own account may contain.
        """
        own = _masks_by_account(gangs)
        left: dict[str, list[int]] = {}
        for shape in reversed(shapes):
            left.setdefault(shape.account, []).append(shape.accelerators)
        for gang in gangs:
            sizes = left.get(gang.account)
            if not sizes:
                continue
            self._protected, self._own_masks = protected, own[gang.account]
            if len(gang.members) > 1 or not self._cover_single(gang, sizes):
                self._cover_gang(gang, sizes)
        self._protected, self._own_masks = {}, {}
        rest = [MissingShape(account, n) for account, sizes in left.items() for n in sizes]
        return sorted(rest, key=lambda s: (-s.accelerators, s.account))

    def _cover_single(self, gang: Gang, sizes: list[int]) -> bool:
        """Cover a single-member gang on its worker; False if only a wider slot could cover it.

        Most gangs have a single member.
        """
        member = gang.members[0]
        worker = self._capacity.workers.get(member.worker)
        mask = mask_of(member.accelerators)
        if worker is None or not mask & ~self._own.get(gang.account, {}).get(worker.id, 0):
            return True
        allowed = self._allowed(worker.id)
        if mask & ~allowed:
            return True
        for index, size in enumerate(sizes):
            if size > worker.accelerators:
                return False
            window = _window(allowed, mask, size)
            if window:
                rack = self._capacity.racks[worker.zone, worker.rack]
                self._place(MissingShape(gang.account, size), rack, {worker.id: window})
                del sizes[index]
                return True
        return True

    def _cover_gang(self, gang: Gang, sizes: list[int]) -> None:
        own = self._own.get(gang.account, {})
        needed: dict[str, int] = {}
        for member in gang.members:
            mask = mask_of(member.accelerators)
            if mask & ~own.get(member.worker, 0):
                needed[member.worker] = needed.get(member.worker, 0) | mask
        if not needed or not sizes or any(worker not in self._open for worker in needed):
            return
        placed = 0
        while needed:
            group = next(
                (g for g in _groups(needed, sizes) if self._cover_masks(gang.account, g, sizes)),
                None,
            )
            if group is None:
                for _ in range(placed):
                    sizes.append(self._undo().accelerators)
                sizes.sort()
                return
            needed = {worker: mask for worker, mask in needed.items() if worker not in group}
            placed += 1

    def _cover_masks(self, account: str, needed: dict[str, int], sizes: list[int]) -> bool:
        rack = self._rack_of(needed)
        if rack is None:
            return False
        count = sum(mask.bit_count() for mask in needed.values())
        previous = 0
        for index, size in enumerate(sizes):
            if size < count or size == previous:
                continue
            previous = size
            masks = self._slot_in(rack, size, needed)
            if masks is not None:
                self._place(MissingShape(account, size), rack, masks)
                del sizes[index]
                return True
        return False

    def _rack_of(self, needed: Mapping[str, int]) -> RackCapacity | None:
        workers = self._capacity.workers
        keys = {(workers[w].zone, workers[w].rack) for w in needed}
        return self._capacity.racks[keys.pop()] if len(keys) == 1 else None

    def _slot_in(
        self, rack: RackCapacity, size: int, needed: Mapping[str, int]
    ) -> dict[str, int] | None:
        """Return masks by worker of a slot in a rack that contains the needed accelerators."""
        if len(needed) == 1:
            ((name, mask),) = needed.items()
            if size <= self._capacity.workers[name].accelerators:
                window = _window(self._allowed(name), mask, size)
                return {name: window} if window else None
        masks: dict[str, int] = {}
        left = size
        order = sorted(
            rack.workers,
            key=lambda w: (-needed.get(w.id, 0).bit_count(), -w.free.bit_count(), w.id),
        )
        for worker in order:
            full = (1 << worker.accelerators) - 1
            if left >= worker.accelerators and self._allowed(worker.id) == full:
                masks[worker.id] = full
                left -= worker.accelerators
        if left:
            part = self._part(order, masks, left, needed)
            if part is None:
                return None
            masks[part[0]] = part[1]
        is_covered = all(not mask & ~masks.get(name, 0) for name, mask in needed.items())
        return masks if is_covered else None

    def _part(
        self,
        workers: list[WorkerCapacity],
        used: Mapping[str, int],
        size: int,
        needed: Mapping[str, int],
    ) -> tuple[str, int] | None:
        """Return worker and mask for the rest of a slot, on the shortest run that fits."""
        candidates = []
        for order, worker in enumerate(workers):
            if worker.id in used:
                continue
            window = _window(self._allowed(worker.id), needed.get(worker.id, 0), size)
            if window:
                length = shortest_run(self._allowed(worker.id), size)[0]
                candidates.append((not needed.get(worker.id, 0), length, order, worker.id, window))
        return min(candidates)[3:] if candidates else None

    def fill(
        self, shapes: list[MissingShape], avoid: Sequence[Mapping[str, int]] = ()
    ) -> list[MissingShape]:
        """Place each shape on the tightest fit; return the shapes that do not fit.

        Args:
            shapes: Shapes, largest first.
            avoid: Masks by worker to use last, most important mask last; if any are given, free
                accelerators are used first.
        """
        self._prefers_free = bool(avoid)
        missing: list[MissingShape] = []
        workers = list(self._capacity.workers.values())
        size, heap = 0, list[tuple[int, int, int, int]]()
        for shape in shapes:
            if shape.accelerators != size:
                size = shape.accelerators
                entries = (self._run_entry(i, w, size, avoid) for i, w in enumerate(workers))
                heap = [e for e in entries if e]
                heapify(heap)
            if heap:
                _, _, order, start = heap[0]
                worker = workers[order]
                rack = self._capacity.racks[worker.zone, worker.rack]
                self._place(shape, rack, {worker.id: ((1 << size) - 1) << start})
                next_choice = self._run_entry(order, worker, size, avoid)
                if next_choice:
                    heapreplace(heap, next_choice)
                else:
                    heappop(heap)
            elif not self._place_across_workers(shape):
                missing.append(shape)
        return missing

    def _run_entry(
        self, order: int, worker: WorkerCapacity, size: int, avoid: Sequence[Mapping[str, int]]
    ) -> tuple[int, int, int, int] | None:
        """Return preference level, run length, worker order and start of a run, or None."""
        free = self._open[worker.id]
        masks = [free]
        if avoid:
            masks = [free & worker.free, *(free & ~a.get(worker.id, 0) for a in avoid), free]
        for level, mask in enumerate(masks):
            length, start = shortest_run(mask, size)
            if length != NO_RUN[0]:
                return (level, length, order, start)
        return None

    def _place_across_workers(self, shape: MissingShape) -> bool:
        found = min(
            self._options_across_workers(shape.accelerators), key=lambda o: o[0], default=None
        )
        if found is None:
            return False
        self._place(shape, found[1], found[2])
        return True

    def _options_across_workers(
        self, size: int
    ) -> Iterable[tuple[tuple[int, int], RackCapacity, dict[str, int]]]:
        for rack in self._capacity.racks.values():
            open_count = sum(self._open[w.id].bit_count() for w in rack.workers)
            if open_count >= size:
                masks = self._slot_in(rack, size, {})
                if masks is not None:
                    taken = sum(
                        (m & ~self._capacity.workers[w].free).bit_count() for w, m in masks.items()
                    )
                    yield (taken if self._prefers_free else 0, open_count), rack, masks

    def search(self, shapes: list[MissingShape]) -> bool:
        """Search depth-first for a packing; False if `SEARCH_NODE_LIMIT` nodes yield none."""
        budget = SEARCH_NODE_LIMIT

        def descend(index: int) -> bool:
            nonlocal budget
            if index == len(shapes):
                return True
            for rack, masks in self._options(shapes[index].accelerators):
                budget -= 1
                if budget < 0:
                    return False
                self._place(shapes[index], rack, masks)
                if descend(index + 1):
                    return True
                self._undo()
            return False

        return descend(0)

    def _options(self, size: int) -> list[tuple[RackCapacity, dict[str, int]]]:
        """Return placements that leave different free accelerators, tightest first."""
        options: dict[object, tuple[tuple[int, int], RackCapacity, dict[str, int]]] = {}
        for rack in self._capacity.racks.values():
            state = tuple(sorted(self._open[w.id] for w in rack.workers))
            for worker in rack.workers:
                free = self._open[worker.id]
                for length, start in runs_of(free):
                    if length >= size:
                        mask = ((1 << size) - 1) << start
                        open_count = sum(m.bit_count() for m in state)
                        key = (state, free, mask)
                        options.setdefault(key, ((length, open_count), rack, {worker.id: mask}))
        if not options:
            for score, rack, masks in self._options_across_workers(size):
                state = tuple(sorted(self._open[w.id] for w in rack.workers))
                options.setdefault(state, (score, rack, masks))
        return [(rack, masks) for _, rack, masks in sorted(options.values(), key=lambda o: o[0])]


class MemberAllocation(NamedTuple):
    """Accelerators, cores and memory allocated to a gang on one worker."""

    job_id: str
    mask: int
    cores: int
    memory_gb: int


@dataclass(frozen=True, slots=True)
class Preemption:
    """A placement and the gangs that must stop before it is free."""

    zone: str
    members: tuple[Member, ...]
    job_ids: tuple[str, ...]
    cost: float


def choose_preemption(
    capacity: Capacity,
    worker_allocations: Mapping[str, Sequence[MemberAllocation]],
    costs: Mapping[str, float],
    spec: GangSpec,
    *,
    within: Mapping[str, int] | None = None,
    zones: Collection[str] | None = None,
) -> Preemption | None:
    """Choose the cheapest set of gangs to stop so that a gang can start.

    Args:
        capacity: Free accelerators.
        worker_allocations: Resources of running gangs, by worker.
        costs: Work lost by a stop, by job; jobs that are not listed may not be stopped.
        spec: Gang to start.
        within: Masks that may be used, by worker; all accelerators when omitted.
        zones: Zones that may be used; all when omitted.

    Returns:
        The cheapest choice found, or None. Several racks of a zone are only tried if no single
        rack of it suffices.
    """
    best: tuple[float, Preemption] | None = None
    for zone, groups in _groups_of(capacity, within).items():
        if zones is not None and zone not in zones:
            continue
        found = [
            r
            for g in groups
            if (r := _choose_in_group(zone, g, worker_allocations, costs, spec, within))
        ]
        if not found and len(groups) > 1:
            everything = [worker for group in groups for worker in group]
            whole = _choose_in_group(zone, everything, worker_allocations, costs, spec, within)
            found = [whole] if whole else []
        for preemption in found:
            if best is None or preemption.cost < best[0]:
                best = (preemption.cost, preemption)
    return best[1] if best else None


def _groups_of(
    capacity: Capacity, within: Mapping[str, int] | None
) -> dict[str, list[list[WorkerCapacity]]]:
    """Return the workers that may be used, grouped by zone and rack."""
    if within is None:
        return {z: [rack.workers for rack in racks] for z, racks in capacity.zones.items()}
    by_rack: dict[tuple[str, str], list[WorkerCapacity]] = {}
    for name in sorted(name for name, mask in within.items() if mask):
        worker = capacity.workers[name]
        by_rack.setdefault((worker.zone, worker.rack), []).append(worker)
    groups: dict[str, list[list[WorkerCapacity]]] = {}
    for (zone, _), workers in sorted(by_rack.items()):
        groups.setdefault(zone, []).append(workers)
    return groups


class _WorkerChoice(NamedTuple):
    """Cheapest choice of accelerators of one worker for one member."""

    cost: float
    leftover: int
    mask: int
    job_ids: frozenset[str]


def _choose_in_group(
    zone: str,
    workers: list[WorkerCapacity],
    worker_allocations: Mapping[str, Sequence[MemberAllocation]],
    costs: Mapping[str, float],
    spec: GangSpec,
    within: Mapping[str, int] | None,
) -> Preemption | None:
    """Choose the cheapest worker for each member in turn; None if the gang does not fit."""
    if sum(w.accelerators // spec.accelerators_per_member for w in workers) < spec.members:
        return None
    taken: dict[str, int] = {}
    counts: dict[str, int] = {}
    stopped: set[str] = set()
    members: list[Member] = []
    total = 0.0

    def cheapest(worker: WorkerCapacity) -> _WorkerChoice | None:
        allowed = within.get(worker.id, 0) if within is not None else (1 << worker.accelerators) - 1
        allowed &= ~taken.get(worker.id, 0)
        on_worker = worker_allocations.get(worker.id, ())
        return _cheapest_choice(
            worker, on_worker, costs, spec, allowed, stopped, counts.get(worker.id, 0)
        )

    choices = {w.id: choice for w in workers if (choice := cheapest(w))}
    by_id = {w.id: w for w in workers}
    while len(members) < spec.members:
        if not choices:
            return None
        name = min(choices, key=lambda n: (choices[n].cost, choices[n].leftover, n))
        choice = choices[name]
        members.append(Member(name, indexes_of(choice.mask)))
        total += choice.cost
        taken[name] = taken.get(name, 0) | choice.mask
        counts[name] = counts.get(name, 0) + 1
        stopped |= choice.job_ids
        changed = by_id if choice.job_ids else {name: by_id[name]}
        for other, worker in changed.items():
            next_choice = cheapest(worker)
            if next_choice:
                choices[other] = next_choice
            else:
                choices.pop(other, None)
    return Preemption(zone, tuple(members), tuple(sorted(stopped)), total)


def _cheapest_choice(
    worker: WorkerCapacity,
    on_worker: Sequence[MemberAllocation],
    costs: Mapping[str, float],
    spec: GangSpec,
    allowed: int,
    stopped: Collection[str],
    placed: int,
) -> _WorkerChoice | None:
    size = spec.accelerators_per_member
    best: _WorkerChoice | None = None
    usable = worker.free
    for allocation in on_worker:
        if allocation.job_id in costs or allocation.job_id in stopped:
            usable |= allocation.mask
    for length, first in runs_of(allowed & usable):
        for start in range(first, first + length - size + 1):
            mask = ((1 << size) - 1) << start
            blocked = mask & ~worker.free
            overlapping = [a for a in on_worker if a.mask & blocked and a.job_id not in stopped]
            if not _has_cores_and_memory(worker, on_worker, overlapping, spec, stopped, placed):
                continue
            jobs = frozenset(a.job_id for a in overlapping)
            choice = _WorkerChoice(sum(costs[j] for j in jobs), length - size, mask, jobs)
            if best is None or (choice.cost, choice.leftover) < (best.cost, best.leftover):
                best = choice
    return best


def _has_cores_and_memory(
    worker: WorkerCapacity,
    on_worker: Sequence[MemberAllocation],
    overlapping: list[MemberAllocation],
    spec: GangSpec,
    stopped: Collection[str],
    placed: int,
) -> bool:
    """Whether cores and memory suffice after the overlapping and stopped gangs have ended."""
    if not spec.cores_per_member and not spec.memory_gb_per_member:
        return True
    freed = overlapping + [a for a in on_worker if a.job_id in stopped]
    cores = worker.cores + sum(a.cores for a in freed)
    memory_gb = worker.memory_gb + sum(a.memory_gb for a in freed)
    wanted = placed + 1
    return (
        cores >= wanted * spec.cores_per_member and memory_gb >= wanted * spec.memory_gb_per_member
    )
