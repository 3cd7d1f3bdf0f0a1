"""Choice of workers for ready tasks, and of running tasks that make room for urgent ones."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

from foxtailwell.workflows._fleet_view import (
    FleetView,
    Placement,
    Plan,
    Reservation,
    Rooms,
    WorkerView,
    can_ever_fit,
    open_rooms,
)
from foxtailwell.workflows._jobs import Resources, TaskId
from foxtailwell.workflows._preemption import LOCAL_PATIENCE_S, reclaim
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = ["plan"]

REMOTE_PENALTY = 3.0
"""How many times as long a task takes away from its data, or a gang over several racks."""

RESERVED_UNITS = 2
"""Waiting units for which room is kept; more would leave too much of the fleet idle."""

HOPELESS_FACTOR = 3.0
"""Multiple of the target after which an ended job is worth nothing any more."""


def plan(view: FleetView) -> Plan:
    """Place the units in the order of priority and time left.

    Args:
        view: Workers, ready units and room that is being freed.

    Returns:
        Placements to start, runs to stop, and reservations that stay in force.
    """
    rooms = open_rooms(view)
    units = {unit.key: unit for unit in view.units}
    placements: list[Placement] = []
    reservations: list[Reservation] = []
    for reservation in view.reservations:
        unit = units.pop(reservation.placement.unit.key, None)
        if unit is None or unit.tasks != reservation.placement.unit.tasks:
            continue
        outcome = _use_reservation(rooms, reservation, view.now_s)
        if outcome is None:
            units[unit.key] = unit
        elif isinstance(outcome, Placement):
            placements.append(outcome)
        else:
            reservations.append(outcome)
    stops: list[TaskId] = []
    stopping: set[TaskId] = set()
    reserved_count = 0
    for unit in sorted(units.values(), key=lambda unit: _order(unit, view.now_s)):
        placed = _place(rooms, unit, view.now_s)
        if placed:
            placements.append(Placement(unit, placed))
            continue
        made = reclaim(rooms, unit, stopping, view.now_s) if unit.queue.priority == 0 else None
        if made is not None:
            victims, reservation = made
            stops += victims
            reservations.append(reservation)
        elif unit.step.is_gang and reserved_count < RESERVED_UNITS:
            reserved_count += _keep_room(rooms, unit)
    return Plan(tuple(placements), tuple(stops), tuple(reservations))


def _order(unit: SchedulingUnit, now_s: float) -> tuple[int, bool, int, float, str]:
    """Order by priority, guarantee, what the job can still be worth, and the time left."""
    hopeless_s = unit.accepted_s + HOPELESS_FACTOR * (unit.deadline_s - unit.accepted_s)
    end_s = now_s + unit.step.estimate_ms / 1e3
    lateness = int(end_s > unit.deadline_s) + int(end_s > hopeless_s)
    return (unit.queue.priority, not unit.is_guaranteed, lateness, unit.deadline_s, unit.job_id)


def _use_reservation(
    rooms: Rooms, reservation: Reservation, now_s: float
) -> Placement | Reservation | None:
    unit = reservation.placement.unit
    workers = reservation.placement.workers
    if now_s > reservation.until_s or not all(
        w in rooms.workers and rooms.workers[w].is_usable for w in workers.values()
    ):
        return None
    for worker in workers.values():
        rooms.take(worker, unit)
    none = Resources()
    if all(none.fits(rooms.free[worker]) for worker in workers.values()):
        return reservation.placement
    return reservation


def _is_worth_waiting(
    rooms: Rooms, unit: SchedulingUnit, workers: Sequence[WorkerView], now_s: float
) -> bool:
    """Whether a unit had better wait for these workers than run elsewhere and take longer."""
    waited_s = now_s - unit.waiting_since_s
    if not rooms.is_busy:
        return waited_s < LOCAL_PATIENCE_S
    longer_s = (REMOTE_PENALTY - 1) * unit.step.estimate_ms / 1e3
    return waited_s < longer_s and _free_after_s(rooms, unit, workers) < longer_s - waited_s


def _free_after_s(rooms: Rooms, unit: SchedulingUnit, workers: Iterable[WorkerView]) -> float:
    """Return the expected time until the whole unit fits on the workers."""
    gains: list[tuple[float, int]] = []
    for worker in workers:
        room = rooms.free[worker.id]
        count = unit.step.request.copies(room)
        gains.append((0.0, count))
        for task in sorted(worker.running, key=lambda t: t.remaining_s):
            room = room.plus(task.request)
            more = unit.step.request.copies(room)
            if more > count:
                gains.append((task.remaining_s, more - count))
                count = more
    missing = len(unit.tasks)
    for after_s, count in sorted(gains):
        missing -= count
        if missing <= 0:
            return after_s
    return math.inf


def _keep_room(rooms: Rooms, unit: SchedulingUnit) -> bool:
    """Keep the rack that a waiting gang will fit into first from longer tasks behind it."""
    by_rack = rooms.group(unit).by_rack
    groups = list(by_rack.values())
    if unit.step.data_rack in by_rack:
        groups = [by_rack[unit.step.data_rack]]
    elif not unit.step.is_same_rack:
        groups.append([worker for workers in groups for worker in workers])
    after_s, workers = min(
        ((_free_after_s(rooms, unit, group), group) for group in groups),
        key=lambda option: option[0],
        default=(math.inf, []),
    )
    if math.isinf(after_s):
        return False
    for worker in workers:
        kept_s = rooms.reserved_for_s.get(worker.id, math.inf)
        rooms.reserved_for_s[worker.id] = min(kept_s, after_s)
    return True


def _place(rooms: Rooms, unit: SchedulingUnit, now_s: float) -> dict[TaskId, str]:
    candidates, by_rack = rooms.group(unit).workers, rooms.group(unit).by_rack
    if not candidates:
        return {}
    step = unit.step
    if step.is_gang:
        chosen = _place_gang(rooms, unit, by_rack, candidates, now_s)
    else:
        chosen = _place_singly(rooms, unit, by_rack, candidates, now_s)
    for worker in chosen.values():
        rooms.take(worker, unit)
    return chosen


def _place_gang(
    rooms: Rooms,
    unit: SchedulingUnit,
    by_rack: Mapping[str, list[WorkerView]],
    candidates: list[WorkerView],
    now_s: float,
) -> dict[TaskId, str]:
    step = unit.step
    fitting = [
        (rack, sum(rooms.copies(w.id, unit) for w in workers)) for rack, workers in by_rack.items()
    ]
    racks = [rack for rack, count in sorted(fitting, key=lambda f: f[1]) if count >= step.count]
    if step.data_rack in racks:
        return _fill(rooms, unit, by_rack[step.data_rack])
    local = by_rack.get(step.data_rack, []) if step.data_rack else []
    if local and _is_worth_waiting(rooms, unit, local, now_s):
        return {}
    if racks:
        return _fill(rooms, unit, by_rack[racks[0]])
    if step.is_same_rack and any(
        can_ever_fit(unit, workers) and _is_worth_waiting(rooms, unit, workers, now_s)
        for workers in by_rack.values()
    ):
        return {}
    return _fill(rooms, unit, candidates)


def _place_singly(
    rooms: Rooms,
    unit: SchedulingUnit,
    by_rack: Mapping[str, list[WorkerView]],
    candidates: list[WorkerView],
    now_s: float,
) -> dict[TaskId, str]:
    local = by_rack.get(unit.step.data_rack, [])
    if unit.step.data_rack and local:
        chosen = _fill(rooms, unit, local, is_partial_allowed=True)
        if len(chosen) == len(unit.tasks) or _is_worth_waiting(rooms, unit, local, now_s):
            return chosen
        rest = [t for t in unit.tasks if t not in chosen]
        others = [w for w in candidates if w.rack != unit.step.data_rack]
        return chosen | _fill(rooms, unit, others, tasks=rest, is_partial_allowed=True)
    return _fill(rooms, unit, candidates, is_partial_allowed=True)


def _fill(
    rooms: Rooms,
    unit: SchedulingUnit,
    workers: Iterable[WorkerView],
    *,
    tasks: Sequence[TaskId] | None = None,
    is_partial_allowed: bool = False,
) -> dict[TaskId, str]:
    """Fill the fullest workers first, which keeps whole workers free for large tasks."""
    left = list(unit.tasks if tasks is None else tasks)
    chosen: dict[TaskId, str] = {}
    ordered = sorted(workers, key=lambda w: (w.fault_score, rooms.free[w.id].accelerators, w.id))
    for worker in ordered:
        count = min(rooms.copies(worker.id, unit), len(left))
        for task in left[:count]:
            chosen[task] = worker.id
        left = left[count:]
        if not left:
            return chosen
    return chosen if is_partial_allowed else {}
