"""Placement planner of the workflows model: assigns units to workers and reserves capacity.

The planner is a pure function of a `FleetView`. Units of priority 0 may preempt other runs.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from foxtailwell.workflows._capacity import (
    AVOIDABLE_WAIT_S,
    FreeCapacity,
    can_ever_fit,
    free_capacity,
)
from foxtailwell.workflows._failed_searches import Demand, FailedSearches
from foxtailwell.workflows._fleet_view import (
    PASSING_OBSTACLES,
    FleetView,
    Placement,
    Plan,
    Reservation,
    Wait,
    WorkerView,
)
from foxtailwell.workflows._jobs import Resources, TaskId, UnitKey
from foxtailwell.workflows._preemption import preempt
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = ["plan"]

REMOTE_SLOWDOWN_FACTOR = 3.0
"""Run time of a task away from its data, or of a gang across racks, relative to a local run."""

MAX_GANG_RESERVATIONS = 2
"""Waiting gangs that hold a reservation in one plan; more would leave too many workers idle."""

ZERO_VALUE_FACTOR = 3.0
"""Multiple of the target time after which completing a job has no value to its client."""

MAX_EXAMINED = 50_000
"""Workers and runs that one plan examines for the units of each priority.

The other units are left to the next plan, so that the caller can do something else in between.
"""

NO_VALUE = 2
"""Lateness of a unit that has no value left."""


def plan(view: FleetView) -> Plan:
    """Choose the starts and stops for the current state of the fleet.

    Reservations from the previous plan are served first, then the other units in the order of
    priority and deadline. Units that earlier plans passed over come last among their priority.

    Args:
        view: Workers, ready units, and reservations of the previous plan.

    Returns:
        Placements to start, runs to stop, and the reservations to pass to the next plan.
    """
    capacity = free_capacity(view)
    units = {unit.key: unit for unit in view.units}
    placements: list[Placement] = []
    reservations: list[Reservation] = []
    for reservation in view.reservations:
        unit = units.pop(reservation.placement.unit.key, None)
        if unit is None or unit.tasks != reservation.placement.unit.tasks:
            continue
        outcome = _use_reservation(capacity, reservation, view.now_s)
        if outcome is None:
            units[unit.key] = unit
            if view.now_s > reservation.until_s:
                capacity.overdue_workers.update(reservation.placement.workers.values())
        elif isinstance(outcome, Placement):
            placements.append(outcome)
        else:
            reservations.append(outcome)
    stops: list[TaskId] = []
    stopping: set[TaskId] = set()
    waits: list[Wait] = []
    deferred: set[UnitKey] = set()
    reserved_count = 0
    search = _Search(capacity)
    for unit in sorted(
        units.values(), key=lambda unit: _sort_key(unit, view.now_s, unit.key in view.searched)
    ):
        if search.is_exhausted(unit):
            deferred.add(unit.key)
            continue
        placed = search.place(unit)
        if placed:
            placements.append(Placement(unit, placed))
            if len(placed) == len(unit.tasks):
                continue
        if unit.key in view.explained:
            waits.append(capacity.explain(unit))
        if placed:
            continue
        preemption = search.preempt(unit, stopping)
        if preemption is not None:
            victims, reservation = preemption
            stops += victims
            reservations.append(reservation)
        elif unit.step.is_gang and reserved_count < MAX_GANG_RESERVATIONS:
            reserved_count += _reserve(capacity, unit)
    return Plan(
        tuple(placements), tuple(stops), tuple(reservations), tuple(waits), frozenset(deferred)
    )


@dataclass(slots=True)
class _Search:
    """Looks for room for one unit after the other, within the limit of a plan.

    Attributes:
        examined: Workers and runs that were examined, by priority of the units.
    """

    capacity: FreeCapacity
    examined: dict[int, int] = field(default_factory=dict)
    _unplaced: FailedSearches = field(default_factory=FailedSearches)
    _unpreempted: FailedSearches = field(default_factory=FailedSearches)

    def is_exhausted(self, unit: SchedulingUnit) -> bool:
        """Return whether the plan has looked for room for units of this priority long enough."""
        return self.examined.get(unit.queue.priority, 0) >= MAX_EXAMINED

    def _count(self, unit: SchedulingUnit, number: int) -> None:
        priority = unit.queue.priority
        self.examined[priority] = self.examined.get(priority, 0) + number

    def place(self, unit: SchedulingUnit) -> dict[TaskId, str]:
        """Return workers for the tasks of a unit, for some of them if the unit may be split."""
        demand = self._demand(unit)
        if self._unplaced.has_failed(demand):
            return {}
        self._count(unit, len(self.capacity.workers))
        placed = _place(self.capacity, unit, self.capacity.now_s)
        is_incomplete = len(placed) < len(unit.tasks)
        if is_incomplete and not unit.step.is_gang and _fails_for_room_only(unit):
            self._unplaced.add(demand)
        return placed

    def preempt(
        self, unit: SchedulingUnit, stopping: set[TaskId]
    ) -> tuple[list[TaskId], Reservation] | None:
        """Select the runs to stop so that a unit fits; None if it may not preempt or would not."""
        now_s = self.capacity.now_s
        if not _may_preempt(unit, now_s):
            return None
        rights = (unit.queue.priority, unit.is_guaranteed)
        demand = self._demand(unit, count=len(unit.tasks), rights=rights)
        if self._unpreempted.has_failed(demand):
            return None
        workers = self.capacity.eligible_workers(unit).workers
        self._count(unit, sum(1 + len(worker.running) for worker in workers))
        found = preempt(self.capacity, unit, stopping, now_s)
        if found is None and not unit.step.is_same_rack and _fails_for_room_only(unit):
            self._unpreempted.add(demand)
        return found

    def _demand(
        self, unit: SchedulingUnit, *, count: int = 1, rights: tuple[int, bool] | None = None
    ) -> Demand:
        step = unit.step
        constraints = (
            unit.queue.pool,
            step.required_label,
            step.is_serving,
            step.is_filling,
            self.capacity.is_overdue(unit),
            rights,
        )
        return Demand(constraints, step.request, step.estimate_ms, count)


def _fails_for_room_only(unit: SchedulingUnit) -> bool:
    """Return whether a unit starts wherever there is room, and does not wait for some workers."""
    is_limited = unit.is_suspect or unit.has_namesakes or bool(unit.step.max_per_worker)
    return unit.allowed is None and not (is_limited or unit.step.data_rack)


def _sort_key(
    unit: SchedulingUnit, now_s: float, is_searched: bool
) -> tuple[int, bool, bool, int, float, str]:
    """Sort by priority, turn, guarantee, whether the targets can still be met, and deadline.

    Units that an earlier plan has considered have their turn after those that it has deferred.
    Units that can still meet their deadline come first: under overload, serving the earliest
    deadline first would make every job slightly late.
    """
    return (
        unit.queue.priority,
        is_searched,
        not unit.is_guaranteed,
        _lateness(unit, now_s),
        unit.deadline_s,
        unit.job_id,
    )


def _lateness(unit: SchedulingUnit, now_s: float) -> int:
    """Return 0 if the unit can meet its deadline, 1 if it is late, 2 if it has no value left."""
    zero_value_s = unit.accepted_s + ZERO_VALUE_FACTOR * (unit.deadline_s - unit.accepted_s)
    end_s = now_s + unit.step.estimate_ms / 1e3
    return int(end_s > unit.deadline_s) + int(end_s > zero_value_s)


def _may_preempt(unit: SchedulingUnit, now_s: float) -> bool:
    """Return whether runs are stopped for a unit: not for one that gains nothing by it."""
    return unit.queue.priority == 0 and (unit.is_guaranteed or _lateness(unit, now_s) < NO_VALUE)


def _use_reservation(
    capacity: FreeCapacity, reservation: Reservation, now_s: float
) -> Placement | Reservation | None:
    unit = reservation.placement.unit
    workers = reservation.placement.workers
    views = [capacity.workers.get(worker) for worker in workers.values()]
    are_names_free = all(
        capacity.is_name_free(worker, unit, task) for task, worker in workers.items()
    )
    if (
        now_s > reservation.until_s
        or not are_names_free
        or not all(
            view is not None
            and (capacity.is_usable(view, unit) or view.obstacle in PASSING_OBSTACLES)
            and unit.step.request.fits(view.capacity)
            for view in views
        )
    ):
        return None
    is_usable = all(view is not None and view.obstacle not in PASSING_OBSTACLES for view in views)
    capacity.allocate_all(unit, workers)
    zero = Resources()
    if is_usable and all(zero.fits(capacity.free[worker]) for worker in workers.values()):
        return reservation.placement
    return reservation


def _is_worth_waiting(
    capacity: FreeCapacity, unit: SchedulingUnit, workers: Sequence[WorkerView], now_s: float
) -> bool:
    """Return whether to wait for these workers rather than run slower elsewhere now."""
    waited_s = now_s - unit.waiting_since_s
    if not capacity.is_highly_utilized(unit):
        return waited_s < AVOIDABLE_WAIT_S
    extra_s = (REMOTE_SLOWDOWN_FACTOR - 1) * unit.step.estimate_ms / 1e3
    if waited_s >= extra_s:
        return False
    fit = _expected_fit(capacity, unit, workers)
    return fit is not None and fit.after_s < extra_s - waited_s


@dataclass(frozen=True, slots=True)
class _ExpectedFit:
    """Workers on which a unit is expected to fit once some of their runs have ended.

    Attributes:
        after_s: Expected seconds until then.
        copies: Tasks of the unit that fit by then, by worker.
    """

    after_s: float
    copies: Mapping[str, int]

    def fewest_workers(self, count: int) -> list[str]:
        """Return the fewest workers that hold `count` tasks."""
        chosen: list[str] = []
        for worker in sorted(self.copies, key=lambda w: (-self.copies[w], w)):
            if count <= 0:
                break
            chosen.append(worker)
            count -= self.copies[worker]
        return chosen


def _expected_fit(
    capacity: FreeCapacity, unit: SchedulingUnit, workers: Iterable[WorkerView]
) -> _ExpectedFit | None:
    """Return when and where the whole unit is expected to fit; None if the end of runs won't do."""
    gains: list[tuple[float, int, str]] = []
    for worker in workers:
        allowed = capacity.max_allowed(worker.id, unit)
        if not allowed:
            continue
        available = capacity.free[worker.id]
        count = min(unit.step.request.max_copies(available), allowed)
        gains.append((0.0, count, worker.id))
        ending = [task for task in worker.running if math.isfinite(task.remaining_s)]
        for task in sorted(ending, key=lambda t: t.remaining_s):
            available = available.plus(task.request)
            more = min(unit.step.request.max_copies(available), allowed)
            if more > count:
                gains.append((task.remaining_s, more - count, worker.id))
                count = more
    missing = len(unit.tasks)
    copies: dict[str, int] = {}
    for after_s, count, worker_id in sorted(gains):
        missing -= count
        copies[worker_id] = copies.get(worker_id, 0) + count
        if missing <= 0:
            return _ExpectedFit(after_s, copies)
    return None


def _reserve(capacity: FreeCapacity, unit: SchedulingUnit) -> bool:
    """Reserve as many workers as a waiting gang needs, where it is expected to fit first.

    Shorter tasks may still backfill them, so the gang is not starved by a stream of small tasks.
    A gang that does not wait for runs to end gets no reservation, as nobody knows until when.

    Returns:
        Whether a reservation was made.
    """
    eligible = capacity.eligible_workers(unit)
    racks = list(eligible.by_rack.values())
    if unit.step.data_rack in eligible.by_rack:
        preferences = [[eligible.by_rack[unit.step.data_rack]], racks, [eligible.workers]]
    elif unit.step.is_same_rack:
        preferences = [racks, [eligible.workers]]
    else:
        preferences = [[*racks, eligible.workers]]
    for groups in preferences:
        fits = [_expected_fit(capacity, unit, workers) for workers in groups]
        earliest = min((f for f in fits if f is not None), key=lambda f: f.after_s, default=None)
        if earliest is not None:
            for worker in earliest.fewest_workers(len(unit.tasks)):
                earlier_s = capacity.reserved_after_s.get(worker, math.inf)
                capacity.reserved_after_s[worker] = min(earlier_s, earliest.after_s)
            return True
    return False


def _place(capacity: FreeCapacity, unit: SchedulingUnit, now_s: float) -> dict[TaskId, str]:
    candidates, by_rack = (
        capacity.eligible_workers(unit).workers,
        capacity.eligible_workers(unit).by_rack,
    )
    if not candidates:
        return {}
    step = unit.step
    if step.is_gang:
        chosen = _place_gang(capacity, unit, by_rack, candidates, now_s)
    else:
        chosen = _place_independent(capacity, unit, by_rack, candidates, now_s)
    capacity.allocate_all(unit, chosen)
    return chosen


def _place_gang(
    capacity: FreeCapacity,
    unit: SchedulingUnit,
    by_rack: Mapping[str, list[WorkerView]],
    candidates: list[WorkerView],
    now_s: float,
) -> dict[TaskId, str]:
    step = unit.step
    fitting = [
        (rack, sum(capacity.max_copies(w.id, unit) for w in workers))
        for rack, workers in by_rack.items()
    ]
    racks = [rack for rack, count in sorted(fitting, key=lambda f: f[1]) if count >= step.count]
    if step.data_rack in racks:
        return _pack(capacity, unit, by_rack[step.data_rack])
    local = by_rack.get(step.data_rack, []) if step.data_rack else []
    if local and _is_worth_waiting(capacity, unit, local, now_s):
        return {}
    if racks:
        return _pack(capacity, unit, by_rack[racks[0]])
    if step.is_same_rack and any(
        can_ever_fit(unit, workers) and _is_worth_waiting(capacity, unit, workers, now_s)
        for workers in by_rack.values()
    ):
        return {}
    return _pack(capacity, unit, candidates)


def _place_independent(
    capacity: FreeCapacity,
    unit: SchedulingUnit,
    by_rack: Mapping[str, list[WorkerView]],
    candidates: list[WorkerView],
    now_s: float,
) -> dict[TaskId, str]:
    local = by_rack.get(unit.step.data_rack, [])
    if unit.step.data_rack and local:
        chosen = _pack(capacity, unit, local, is_partial_allowed=True)
        if len(chosen) == len(unit.tasks) or _is_worth_waiting(capacity, unit, local, now_s):
            return chosen
        rest = [t for t in unit.tasks if t not in chosen]
        others = [w for w in candidates if w.rack != unit.step.data_rack]
        return chosen | _pack(capacity, unit, others, tasks=rest, is_partial_allowed=True)
    return _pack(capacity, unit, candidates, is_partial_allowed=True)


def _pack(
    capacity: FreeCapacity,
    unit: SchedulingUnit,
    workers: Iterable[WorkerView],
    *,
    tasks: Sequence[TaskId] | None = None,
    is_partial_allowed: bool = False,
) -> dict[TaskId, str]:
    """Assign tasks by best fit: the fullest workers first, so that whole workers stay free.

    Suspects go where their worker's crash would lose the least work. Workers that are reserved for
    another gang come last, before them those that the unit would share with suspects; among the
    others, those with a lower fault score come first. Without
    `is_partial_allowed` the result is empty unless every task fits.
    """
    remaining = unit.tasks if tasks is None else tasks
    chosen: dict[TaskId, str] = {}

    is_overdue = capacity.is_overdue(unit)

    def preference(worker: WorkerView) -> tuple[bool, bool, float, float, str]:
        rank = (
            sum(task.loss for task in worker.running)
            if unit.is_suspect
            else capacity.free[worker.id].accelerators
        )
        # Only an overdue unit may start on workers that are reserved or have suspects.
        is_reserved = is_overdue and capacity.is_reserved(worker.id, unit)
        is_shared = is_overdue and not capacity.is_apart(worker.id, unit)
        return (is_reserved, is_shared, worker.fault_score, rank, worker.id)

    ordered = sorted(workers, key=preference)
    for worker in ordered:
        count = min(capacity.max_copies(worker.id, unit), len(remaining))
        # A plan looks at every pair of worker and unit, and most workers have no room.
        if not count:
            continue
        placed, remaining = capacity.split(worker.id, unit, remaining, count)
        chosen.update(dict.fromkeys(placed, worker.id))
        if not remaining:
            return chosen
    return chosen if is_partial_allowed else {}
