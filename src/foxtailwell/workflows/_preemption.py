"""Preemption: selects the runs to stop so that a waiting urgent unit fits."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from foxtailwell.workflows._capacity import AVOIDABLE_WAIT_S, FreeCapacity, can_ever_fit
from foxtailwell.workflows._fleet_view import Placement, Reservation, RunningTask, WorkerView
from foxtailwell.workflows._jobs import TaskId
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = ["preempt", "reservation_limit_s"]

START_ALLOWANCE_S = 0.5
"""Time for an urgent job to be stored, noticed and started once there is room."""

STOP_ALLOWANCE_S = 0.4
"""Time in which a stop is stored, sent and listed beyond what the worker needs for it."""


def reservation_limit_s(reclaim_s: float, stop_timeout_s: float) -> float:
    """Return how long a reservation lasts if its victims do not stop.

    Other victims must still have as long to stop within the time that a guarantee allows.

    Args:
        reclaim_s: Time within which guaranteed capacity must be given back.
        stop_timeout_s: Time that a worker needs at most to stop a run.
    """
    return max((reclaim_s - START_ALLOWANCE_S) / 2, stop_timeout_s + STOP_ALLOWANCE_S)


def preempt(
    capacity: FreeCapacity, unit: SchedulingUnit, stopping: set[TaskId], now_s: float
) -> tuple[list[TaskId], Reservation] | None:
    """Select the runs whose preemption loses the least work and lets the whole unit start.

    The rack of the unit's data is tried first, then single racks, then all eligible workers. The
    selected capacity is allocated to the unit, and the victims are added to `stopping`.

    Returns:
        Runs to stop, and the reservation for the unit; None if no preemption makes it fit.
    """
    candidates = capacity.eligible_workers(unit).workers
    by_rack = dict(capacity.eligible_workers(unit).by_rack)
    local = by_rack.pop(unit.step.data_rack, []) if unit.step.data_rack else []
    best = _cheapest(capacity, unit, [local], stopping)
    is_late = now_s - unit.waiting_since_s > AVOIDABLE_WAIT_S
    if best is None and (is_late or not local):
        best = _cheapest(capacity, unit, list(by_rack.values()), stopping)
        if best is None and (
            is_late
            or not unit.step.is_same_rack
            or not any(can_ever_fit(unit, workers) for workers in by_rack.values())
        ):
            best = _cheapest(capacity, unit, [candidates], stopping)
    if best is None:
        return None
    _, victims, chosen = best
    stopping.update(victims)
    capacity.allocate_all(unit, chosen)
    placement = Placement(unit, chosen)
    return victims, Reservation(placement, now_s + capacity.reservation_limit_s, tuple(victims))


def _cheapest(
    capacity: FreeCapacity,
    unit: SchedulingUnit,
    groups: Iterable[list[WorkerView]],
    stopping: set[TaskId],
) -> tuple[float, list[TaskId], dict[TaskId, str]] | None:
    options = [_preempt_in(capacity, unit, workers, stopping) for workers in groups]
    return min((o for o in options if o is not None), key=lambda o: o[0], default=None)


def _preempt_in(
    capacity: FreeCapacity,
    unit: SchedulingUnit,
    workers: Sequence[WorkerView],
    stopping: set[TaskId],
) -> tuple[float, list[TaskId], dict[TaskId, str]] | None:
    """Greedily take the option with the least loss per copy until the unit fits."""
    options = {worker.id: _options(capacity, unit, worker, stopping) for worker in workers}
    heap = [(_loss_per_copy(own[0]), worker) for worker, own in options.items() if own]
    heapq.heapify(heap)
    chosen: dict[TaskId, str] = {}
    remaining: Sequence[TaskId] = unit.tasks
    stopped: list[TaskId] = []
    total = 0.0
    while heap and remaining:
        _, worker_id = heapq.heappop(heap)
        option = options[worker_id].pop(0)
        count = min(option.count, len(remaining))
        placed, remaining = capacity.split(worker_id, unit, remaining, count)
        chosen.update(dict.fromkeys(placed, worker_id))
        total += option.loss
        stopped += [victim.id for victim in option.victims if not victim.is_stopping]
        if options[worker_id]:
            heapq.heappush(heap, (_loss_per_copy(options[worker_id][0]), worker_id))
    return None if remaining else (total, stopped, chosen)


@dataclass(frozen=True, slots=True)
class _Option:
    """Additional copies that fit on a worker once the victims are stopped.

    Attributes:
        loss: Lost work in weighted core-seconds.
    """

    count: int
    loss: float
    victims: tuple[RunningTask, ...] = ()


def _is_preemptible(task: RunningTask, unit: SchedulingUnit) -> bool:
    if task.is_protected:
        return False
    if task.priority > unit.queue.priority:
        return True
    return unit.is_guaranteed and task.is_borrowing and task.priority == unit.queue.priority


def _loss_per_copy(option: _Option) -> float:
    return option.loss / option.count


def _options(
    capacity: FreeCapacity, unit: SchedulingUnit, worker: WorkerView, stopping: set[TaskId]
) -> list[_Option]:
    available = capacity.free[worker.id]
    count = capacity.max_copies(worker.id, unit, available)
    options = [_Option(count, 0.0)] if count else []
    is_overdue = worker.id in capacity.overdue_workers
    preemptible = [
        task
        for task in worker.running
        if _is_preemptible(task, unit)
        and task.id not in stopping
        and not (task.is_stopping and is_overdue)
    ]
    victims: list[RunningTask] = []
    for task in sorted(preemptible, key=lambda t: (not t.is_stopping, t.loss)):
        available = available.plus(task.request)
        victims.append(task)
        more = capacity.max_copies(worker.id, unit, available)
        if more > count:
            loss = sum(0.0 if victim.is_stopping else victim.loss for victim in victims)
            options.append(_Option(more - count, loss, tuple(victims)))
            count = more
            victims = []
    return options
