"""Choice of runs that make room for urgent work."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from foxtailwell.workflows._fleet_view import (
    Placement,
    Reservation,
    Rooms,
    RunningTask,
    WorkerView,
    can_ever_fit,
)
from foxtailwell.workflows._jobs import TaskId
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = ["LOCAL_PATIENCE_S", "reclaim"]

LOCAL_PATIENCE_S = 2.0
"""Wait for a place near the data or in one rack; work may not idle for 3 s beside free room."""

RESERVATION_S = 3.0
"""Longest time for which room is kept for a unit whose victims are being stopped."""


def reclaim(
    rooms: Rooms, unit: SchedulingUnit, stopping: set[TaskId], now_s: float
) -> tuple[list[TaskId], Reservation] | None:
    """Choose the cheapest runs of lower priority whose room lets the unit start."""
    candidates = rooms.group(unit).workers
    by_rack = dict(rooms.group(unit).by_rack)
    local = by_rack.pop(unit.step.data_rack, []) if unit.step.data_rack else []
    best = _cheapest(rooms, unit, [local], stopping)
    is_late = now_s - unit.waiting_since_s > LOCAL_PATIENCE_S
    if best is None and (is_late or not local):
        best = _cheapest(rooms, unit, list(by_rack.values()), stopping)
        if best is None and (
            is_late
            or not unit.step.is_same_rack
            or not any(can_ever_fit(unit, workers) for workers in by_rack.values())
        ):
            best = _cheapest(rooms, unit, [candidates], stopping)
    if best is None:
        return None
    _, victims, chosen = best
    stopping.update(victims)
    for worker in chosen.values():
        rooms.take(worker, unit)
    placement = Placement(unit, chosen)
    return victims, Reservation(placement, now_s + RESERVATION_S)


def _cheapest(
    rooms: Rooms, unit: SchedulingUnit, groups: Iterable[list[WorkerView]], stopping: set[TaskId]
) -> tuple[float, list[TaskId], dict[TaskId, str]] | None:
    options = [_reclaim_in(rooms, unit, workers, stopping) for workers in groups]
    return min((o for o in options if o is not None), key=lambda o: o[0], default=None)


def _reclaim_in(
    rooms: Rooms, unit: SchedulingUnit, workers: Sequence[WorkerView], stopping: set[TaskId]
) -> tuple[float, list[TaskId], dict[TaskId, str]] | None:
    """Take the cheapest further place again and again until the unit fits."""
    places = {worker.id: _places(rooms, unit, worker, stopping) for worker in workers}
    heap = [(_unit_loss(steps[0]), worker) for worker, steps in places.items() if steps]
    heapq.heapify(heap)
    chosen: dict[TaskId, str] = {}
    left = list(unit.tasks)
    stopped: list[TaskId] = []
    total = 0.0
    while heap and left:
        _, worker_id = heapq.heappop(heap)
        place = places[worker_id].pop(0)
        count = min(place.count, len(left))
        chosen.update(dict.fromkeys(left[:count], worker_id))
        left = left[count:]
        total += place.loss
        stopped += [victim.id for victim in place.victims if not victim.is_stopping]
        if places[worker_id]:
            heapq.heappush(heap, (_unit_loss(places[worker_id][0]), worker_id))
    return None if left else (total, stopped, chosen)


@dataclass(frozen=True, slots=True)
class _Place:
    """Further copies that fit on a worker once the victims are stopped."""

    count: int
    loss: float
    victims: tuple[RunningTask, ...] = ()


def _is_reclaimable(task: RunningTask, unit: SchedulingUnit) -> bool:
    if task.is_protected:
        return False
    if task.priority > unit.queue.priority:
        return True
    return unit.is_guaranteed and task.is_borrowing and task.priority == unit.queue.priority


def _unit_loss(place: _Place) -> float:
    return place.loss / place.count


def _places(
    rooms: Rooms, unit: SchedulingUnit, worker: WorkerView, stopping: set[TaskId]
) -> list[_Place]:
    room = rooms.free[worker.id]
    count = rooms.copies(worker.id, unit, room)
    places = [_Place(count, 0.0)] if count else []
    borrowers = [
        task for task in worker.running if _is_reclaimable(task, unit) and task.id not in stopping
    ]
    victims: list[RunningTask] = []
    for task in sorted(borrowers, key=lambda t: (not t.is_stopping, t.loss)):
        room = room.plus(task.request)
        victims.append(task)
        more = rooms.copies(worker.id, unit, room)
        if more > count:
            loss = sum(0.0 if victim.is_stopping else victim.loss for victim in victims)
            places.append(_Place(more - count, loss, tuple(victims)))
            count = more
            victims = []
    return places
