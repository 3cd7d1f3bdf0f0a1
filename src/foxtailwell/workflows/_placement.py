"""Choice of workers for ready tasks, and of running tasks that make room for urgent ones."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from foxtailwell.workflows._book import Unit
from foxtailwell.workflows._jobs import Resources, TaskId

__all__ = ["FleetView", "Placement", "Plan", "Reservation", "RunningTask", "WorkerView", "plan"]

LOCAL_PATIENCE_S = 2.0
"""Wait for a place near the data or in one rack; work may not idle for 3 s beside free room."""

BUSY_SHARE = 0.55
"""Share of a pool's accelerators in use above which idle room elsewhere is no reason to start."""

REMOTE_PENALTY = 3.0
"""How many times as long a task takes away from its data, or a gang over several racks."""

RESERVED_UNITS = 2
"""Waiting units for which room is kept; more would leave too much of the fleet idle."""

HOPELESS_FACTOR = 3.0
"""Multiple of the target after which an ended job is worth nothing any more."""

ACCELERATOR_CORES = 8
"""Cores that one accelerator counts as in the cost of lost work."""

RESERVATION_S = 3.0
"""Longest time for which room is kept for a unit whose victims are being stopped."""

URGENT_LOSS_FACTOR = 10.0
"""How much more the loss of urgent work counts: a guarantee takes it only as the last resort."""

STOP_LOSS_S = 0.5
"""Time lost by any stop: the stop itself, the next placement, and the work after a checkpoint."""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that occupies a worker.

    Attributes:
        is_borrowing: Its account uses more than its guarantee.
    """

    id: TaskId
    request: Resources
    priority: int
    elapsed_s: float
    is_checkpointing: bool
    is_stopping: bool
    member_count: int = 1
    remaining_s: float = 0.0
    is_borrowing: bool = False

    @property
    def loss(self) -> float:
        """Return the core-seconds that a stop throws away, with those of the rest of its gang."""
        cores = self.request.cpu_millicores / 1000 + ACCELERATOR_CORES * self.request.accelerators
        lost_s = STOP_LOSS_S + (0.0 if self.is_checkpointing else self.elapsed_s)
        weight = URGENT_LOSS_FACTOR if self.priority == 0 else 1.0
        return cores * lost_s * self.member_count * weight


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


@dataclass(frozen=True, slots=True)
class _Group:
    workers: list[WorkerView]
    by_rack: dict[str, list[WorkerView]]


@dataclass(slots=True)
class _Rooms:
    """Free room while a plan is made."""

    workers: Mapping[str, WorkerView]
    free: dict[str, Resources]
    step_counts: dict[tuple[str, tuple[str, int, int]], int] = field(default_factory=dict)
    reserved_for_s: dict[str, float] = field(default_factory=dict)
    is_busy: bool = False
    _groups: dict[tuple[str, str], _Group] = field(default_factory=dict)

    def group(self, unit: Unit) -> _Group:
        """Return the usable workers of the unit's pool and label."""
        key = (unit.queue.pool, unit.step.required_label)
        if key not in self._groups:
            pool, label = key
            found = [
                worker
                for worker in self.workers.values()
                if worker.is_usable
                and worker.pool == pool
                and (not label or label in worker.labels)
            ]
            self._groups[key] = _Group(found, _by_rack(found))
        return self._groups[key]

    def take(self, worker: str, unit: Unit) -> None:
        self.free[worker] = self.free[worker].minus(unit.step.request)
        key = (worker, unit.key)
        self.step_counts[key] = self.step_counts.get(key, 0) + 1

    def copies(self, worker: str, unit: Unit, free: Resources | None = None) -> int:
        if self.reserved_for_s.get(worker, math.inf) < unit.step.estimate_ms / 1e3:
            return 0
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
    reserved_count = 0
    for unit in sorted(units.values(), key=lambda unit: _order(unit, view.now_s)):
        placed = _place(rooms, unit, view.now_s)
        if placed:
            placements.append(Placement(unit, placed))
            continue
        made = _reclaim(rooms, unit, stopping, view.now_s) if unit.queue.priority == 0 else None
        if made is not None:
            victims, reservation = made
            stops += victims
            reservations.append(reservation)
        elif unit.step.is_gang and reserved_count < RESERVED_UNITS:
            reserved_count += _keep_room(rooms, unit)
    return Plan(tuple(placements), tuple(stops), tuple(reservations))


def _order(unit: Unit, now_s: float) -> tuple[int, bool, int, float, str]:
    """Order by priority, guarantee, what the job can still be worth, and the time left."""
    hopeless_s = unit.accepted_s + HOPELESS_FACTOR * (unit.due_s - unit.accepted_s)
    end_s = now_s + unit.step.estimate_ms / 1e3
    lateness = int(end_s > unit.due_s) + int(end_s > hopeless_s)
    return (unit.queue.priority, not unit.is_guaranteed, lateness, unit.due_s, unit.job_id)


def _open_rooms(view: FleetView) -> _Rooms:
    rooms = _Rooms(view.workers, {w.id: w.free() for w in view.workers.values()})
    total = sum(w.capacity.accelerators for w in view.workers.values() if w.is_usable)
    unused = sum(rooms.free[w.id].accelerators for w in view.workers.values() if w.is_usable)
    rooms.is_busy = total > 0 and unused < (1 - BUSY_SHARE) * total
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


def _is_worth_waiting(
    rooms: _Rooms, unit: Unit, workers: Sequence[WorkerView], now_s: float
) -> bool:
    """Whether a unit had better wait for these workers than run elsewhere and take longer."""
    waited_s = now_s - unit.waiting_since_s
    if not rooms.is_busy:
        return waited_s < LOCAL_PATIENCE_S
    longer_s = (REMOTE_PENALTY - 1) * unit.step.estimate_ms / 1e3
    return waited_s < longer_s and _free_after_s(rooms, unit, workers) < longer_s - waited_s


def _free_after_s(rooms: _Rooms, unit: Unit, workers: Iterable[WorkerView]) -> float:
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


def _keep_room(rooms: _Rooms, unit: Unit) -> bool:
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


def _place(rooms: _Rooms, unit: Unit, now_s: float) -> dict[TaskId, str]:
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
    local = by_rack.get(step.data_rack, []) if step.data_rack else []
    if local and _is_worth_waiting(rooms, unit, local, now_s):
        return {}
    if racks:
        return _fill(rooms, unit, by_rack[racks[0]])
    if step.is_same_rack and any(
        _can_ever_fit(unit, workers) and _is_worth_waiting(rooms, unit, workers, now_s)
        for workers in by_rack.values()
    ):
        return {}
    return _fill(rooms, unit, candidates)


def _can_ever_fit(unit: Unit, workers: Iterable[WorkerView]) -> bool:
    return sum(unit.step.request.copies(w.capacity) for w in workers) >= unit.step.count


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
        if len(chosen) == len(unit.tasks) or _is_worth_waiting(rooms, unit, local, now_s):
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
            or not any(_can_ever_fit(unit, workers) for workers in by_rack.values())
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
    rooms: _Rooms, unit: Unit, groups: Iterable[list[WorkerView]], stopping: set[TaskId]
) -> tuple[float, list[TaskId], dict[TaskId, str]] | None:
    options = [_reclaim_in(rooms, unit, workers, stopping) for workers in groups]
    return min((o for o in options if o is not None), key=lambda o: o[0], default=None)


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


def _is_reclaimable(task: RunningTask, unit: Unit) -> bool:
    if task.priority > unit.queue.priority:
        return True
    return unit.is_guaranteed and task.is_borrowing and task.priority == unit.queue.priority


def _unit_loss(place: _Place) -> float:
    return place.loss / place.count


def _places(rooms: _Rooms, unit: Unit, worker: WorkerView, stopping: set[TaskId]) -> list[_Place]:
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
