"""Choice of workers for ready tasks, and of running tasks that make room for urgent ones."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from foxtailwell.workflows._book import Unit
from foxtailwell.workflows._jobs import Resources, TaskId

__all__ = ["FleetView", "Placement", "Plan", "Reservation", "RunningTask", "WorkerView", "plan"]

LOCAL_PATIENCE_S = 2.0
"""Wait for a place near the data or in one rack; work may not idle for 3 s beside free room."""

LOCAL_PATIENCE_SHARE = 1.0
"""The same wait as a share of the estimate: elsewhere a task takes three times as long."""

ACCELERATOR_CORES = 8
"""Cores that one accelerator counts as in the cost of lost work."""

RESERVATION_S = 3.0
"""Longest time for which room is kept for a unit whose victims are being stopped."""

STOP_LOSS_S = 0.5
"""Time lost by any stop: the stop itself, the next placement, and the work after a checkpoint."""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that occupies a worker."""

    id: TaskId
    request: Resources
    priority: int
    elapsed_s: float
    is_checkpointing: bool
    is_stopping: bool
    member_count: int = 1

    @property
    def loss(self) -> float:
        """Return the core-seconds that a stop throws away, with those of the rest of its gang."""
        cores = self.request.cpu_millicores / 1000 + ACCELERATOR_CORES * self.request.accelerators
        lost_s = STOP_LOSS_S + (0.0 if self.is_checkpointing else self.elapsed_s)
        return cores * lost_s * self.member_count


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker as the placement sees it.

    Attributes:
        is_usable: New tasks may start here.
        suspicion: How likely the worker is faulty or slow; lower values are taken first.
    """

    id: str
    pool: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    running: tuple[RunningTask, ...] = ()
    is_usable: bool = True
    suspicion: float = 0.0

    @property
    def free(self) -> Resources:
        """Return the room that no run occupies."""
        room = self.capacity
        for task in self.running:
            room = room.minus(task.request)
        return room


@dataclass(frozen=True, slots=True)
class Placement:
    """The workers for the tasks of one unit."""

    unit: Unit
    workers: Mapping[TaskId, str]


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is being freed for a unit."""

    placement: Placement
    until_s: float


@dataclass(frozen=True, slots=True)
class FleetView:
    """Everything that a plan depends on."""

    now_s: float
    workers: Mapping[str, WorkerView]
    units: Sequence[Unit]
    reservations: Sequence[Reservation] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """What is to be done."""

    placements: tuple[Placement, ...] = ()
    stops: tuple[TaskId, ...] = ()
    reservations: tuple[Reservation, ...] = ()


@dataclass(slots=True)
class _Rooms:
    """Free room while a plan is made."""

    workers: Mapping[str, WorkerView]
    free: dict[str, Resources]
    step_counts: dict[tuple[str, tuple[str, int, int]], int] = field(default_factory=dict)

    def take(self, worker: str, unit: Unit) -> None:
        self.free[worker] = self.free[worker].minus(unit.step.request)
        key = (worker, unit.key)
        self.step_counts[key] = self.step_counts.get(key, 0) + 1

    def copies(self, worker: str, unit: Unit, free: Resources | None = None) -> int:
        room = self.free[worker] if free is None else free
        count = unit.step.request.copies(room)
        if unit.step.max_per_worker:
            taken = self.step_counts.get((worker, unit.key), 0)
            count = min(count, unit.step.max_per_worker - taken)
        return max(0, count)


def plan(view: FleetView) -> Plan:
    """Place the units in the order of priority and time left.

    Args:
        view: Workers, ready units and room that is being freed.

    Returns:
        Placements to start, runs to stop, and reservations that stay in force.
    """
    rooms = _open_rooms(view)
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
    for unit in sorted(units.values(), key=_order):
        placed = _place(rooms, unit, view.now_s)
        if placed:
            placements.append(Placement(unit, placed))
        elif unit.queue.priority == 0:
            made = _reclaim(rooms, unit, stopping, view.now_s)
            if made is not None:
                victims, reservation = made
                stops += victims
                reservations.append(reservation)
    return Plan(tuple(placements), tuple(stops), tuple(reservations))


def _order(unit: Unit) -> tuple[int, float, str]:
    return (unit.queue.priority, unit.due_s, unit.job_id)


def _open_rooms(view: FleetView) -> _Rooms:
    rooms = _Rooms(view.workers, {w.id: w.free for w in view.workers.values()})
    for worker in view.workers.values():
        for task in worker.running:
            key = (worker.id, (task.id.job_id, task.id.occurrence, task.id.step))
            rooms.step_counts[key] = rooms.step_counts.get(key, 0) + 1
    return rooms


def _use_reservation(
    rooms: _Rooms, reservation: Reservation, now_s: float
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


def _candidates(rooms: _Rooms, unit: Unit) -> list[WorkerView]:
    label = unit.step.required_label
    return [
        worker
        for worker in rooms.workers.values()
        if worker.is_usable
        and worker.pool == unit.queue.pool
        and (not label or label in worker.labels)
    ]


def _is_local_only(unit: Unit, now_s: float) -> bool:
    patience_s = min(LOCAL_PATIENCE_S, LOCAL_PATIENCE_SHARE * unit.step.estimate_ms / 1e3)
    return now_s - unit.waiting_since_s < patience_s


def _place(rooms: _Rooms, unit: Unit, now_s: float) -> dict[TaskId, str]:
    candidates = _candidates(rooms, unit)
    if not candidates:
        return {}
    by_rack = _by_rack(candidates)
    step = unit.step
    if step.is_gang:
        chosen = _place_gang(rooms, unit, by_rack, candidates, now_s)
    else:
        chosen = _place_singly(rooms, unit, by_rack, candidates, now_s)
    for worker in chosen.values():
        rooms.take(worker, unit)
    return chosen


def _by_rack(workers: Iterable[WorkerView]) -> dict[str, list[WorkerView]]:
    racks: dict[str, list[WorkerView]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return racks


def _place_gang(
    rooms: _Rooms,
    unit: Unit,
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
    wants_data = bool(step.data_rack) and step.data_rack in by_rack
    if wants_data and _is_local_only(unit, now_s):
        return {}
    if racks:
        return _fill(rooms, unit, by_rack[racks[0]])
    can_ever_fit = any(
        sum(rooms.copies(w.id, unit, w.capacity) for w in workers) >= step.count
        for workers in by_rack.values()
    )
    if step.is_same_rack and can_ever_fit and _is_local_only(unit, now_s):
        return {}
    return _fill(rooms, unit, candidates)


def _place_singly(
    rooms: _Rooms,
    unit: Unit,
    by_rack: Mapping[str, list[WorkerView]],
    candidates: list[WorkerView],
    now_s: float,
) -> dict[TaskId, str]:
    local = by_rack.get(unit.step.data_rack, [])
    if unit.step.data_rack and local:
        chosen = _fill(rooms, unit, local, is_partial_allowed=True)
        if len(chosen) == len(unit.tasks) or _is_local_only(unit, now_s):
            return chosen
        rest = [t for t in unit.tasks if t not in chosen]
        others = [w for w in candidates if w.rack != unit.step.data_rack]
        return chosen | _fill(rooms, unit, others, tasks=rest, is_partial_allowed=True)
    return _fill(rooms, unit, candidates, is_partial_allowed=True)


def _fill(
    rooms: _Rooms,
    unit: Unit,
    workers: Iterable[WorkerView],
    *,
    tasks: Sequence[TaskId] | None = None,
    is_partial_allowed: bool = False,
) -> dict[TaskId, str]:
    """Fill the fullest workers first, which keeps whole workers free for large tasks."""
    left = list(unit.tasks if tasks is None else tasks)
    chosen: dict[TaskId, str] = {}
    ordered = sorted(workers, key=lambda w: (w.suspicion, rooms.free[w.id].accelerators, w.id))
    for worker in ordered:
        count = min(rooms.copies(worker.id, unit), len(left))
        for task in left[:count]:
            chosen[task] = worker.id
        left = left[count:]
        if not left:
            return chosen
    return chosen if is_partial_allowed else {}


def _reclaim(
    rooms: _Rooms, unit: Unit, stopping: set[TaskId], now_s: float
) -> tuple[list[TaskId], Reservation] | None:
    """Choose the cheapest runs of lower priority whose room lets the unit start."""
    candidates = _candidates(rooms, unit)
    by_rack = _by_rack(candidates)
    groups: list[list[WorkerView]] = []
    if unit.step.data_rack in by_rack:
        groups.append(by_rack[unit.step.data_rack])
    groups += [workers for rack, workers in by_rack.items() if rack != unit.step.data_rack]
    best: tuple[float, list[TaskId], dict[TaskId, str]] | None = None
    for number, workers in enumerate([*groups, candidates]):
        option = _reclaim_in(rooms, unit, workers, stopping)
        if option is None:
            continue
        if best is None or option[0] < best[0]:
            best = option
        is_preferred = number == 0 and unit.step.data_rack in by_rack
        if is_preferred or (number == len(groups) - 1 and unit.step.is_same_rack):
            break
    if best is None:
        return None
    _, victims, chosen = best
    stopping.update(victims)
    for worker in chosen.values():
        rooms.take(worker, unit)
    placement = Placement(unit, chosen)
    return victims, Reservation(placement, now_s + RESERVATION_S)


def _reclaim_in(
    rooms: _Rooms, unit: Unit, workers: Sequence[WorkerView], stopping: set[TaskId]
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


def _unit_loss(place: _Place) -> float:
    return place.loss / place.count


def _places(rooms: _Rooms, unit: Unit, worker: WorkerView, stopping: set[TaskId]) -> list[_Place]:
    room = rooms.free[worker.id]
    count = rooms.copies(worker.id, unit, room)
    places = [_Place(count, 0.0)] if count else []
    borrowers = [
        task
        for task in worker.running
        if task.priority > unit.queue.priority and task.id not in stopping
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
