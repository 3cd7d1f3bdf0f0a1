"""What placement sees of workers, units and runs, and the room that is left while it decides."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from foxtailwell.workflows._jobs import Resources, TaskId
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = [
    "FleetView",
    "Group",
    "Placement",
    "Plan",
    "Reservation",
    "Rooms",
    "RunningTask",
    "WorkerView",
    "by_rack",
    "can_ever_fit",
    "open_rooms",
]

BUSY_SHARE = 0.55
"""Share of a pool's accelerators in use above which idle room elsewhere is no reason to start."""

ACCELERATOR_CORES = 8
"""Cores that one accelerator counts as in the cost of lost work."""

URGENT_LOSS_FACTOR = 10.0
"""How much more the loss of urgent work counts: a guarantee takes it only as the last resort."""

STOP_LOSS_S = 0.5
"""Time lost by any stop: the stop itself, the next placement, and the work after a checkpoint."""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that occupies a worker.

    Attributes:
        is_borrowing: Its account uses more than its guarantee.
        is_protected: It must not be stopped to make room.
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
    is_protected: bool = False
    is_serving: bool = False
    is_filling: bool = False

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
        fault_score: How likely the worker is faulty or slow; lower values are taken first.
    """

    id: str
    pool: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    running: tuple[RunningTask, ...] = ()
    is_usable: bool = True
    fault_score: float = 0.0

    def free(self) -> Resources:
        """Return the room that no run occupies."""
        room = self.capacity
        for task in self.running:
            room = room.minus(task.request)
        return room


@dataclass(frozen=True, slots=True)
class Placement:
    """The workers for the tasks of one unit."""

    unit: SchedulingUnit
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
    units: Sequence[SchedulingUnit]
    reservations: Sequence[Reservation] = ()


@dataclass(frozen=True, slots=True)
class Plan:
    """What is to be done."""

    placements: tuple[Placement, ...] = ()
    stops: tuple[TaskId, ...] = ()
    reservations: tuple[Reservation, ...] = ()


@dataclass(frozen=True, slots=True)
class Group:
    """Usable workers of one pool and label."""

    workers: list[WorkerView]
    by_rack: dict[str, list[WorkerView]]


@dataclass(slots=True)
class Rooms:
    """Free room while a plan is made."""

    workers: Mapping[str, WorkerView]
    free: dict[str, Resources]
    step_counts: dict[tuple[str, tuple[str, int, int]], int] = field(default_factory=dict)
    reserved_for_s: dict[str, float] = field(default_factory=dict)
    is_busy: bool = False
    serving: set[str] = field(default_factory=set)
    filling: set[str] = field(default_factory=set)
    _groups: dict[tuple[str, str], Group] = field(default_factory=dict)

    def group(self, unit: SchedulingUnit) -> Group:
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
            self._groups[key] = Group(found, by_rack(found))
        if unit.allowed is None:
            return self._groups[key]
        allowed = [worker for worker in self._groups[key].workers if worker.id in unit.allowed]
        return Group(allowed, by_rack(allowed))

    def take(self, worker: str, unit: SchedulingUnit) -> None:
        """Take the room of one task of the unit."""
        self.free[worker] = self.free[worker].minus(unit.step.request)
        key = (worker, unit.key)
        self.step_counts[key] = self.step_counts.get(key, 0) + 1
        if unit.step.is_serving:
            self.serving.add(worker)
        if unit.step.is_filling:
            self.filling.add(worker)

    def copies(self, worker: str, unit: SchedulingUnit, free: Resources | None = None) -> int:
        """Return how many further tasks of the unit fit; `free` stands for the present room."""
        if self.reserved_for_s.get(worker, math.inf) < unit.step.estimate_ms / 1e3:
            return 0
        if (unit.step.is_filling and worker in self.serving) or (
            unit.step.is_serving and worker in self.filling
        ):
            return 0
        room = self.free[worker] if free is None else free
        count = unit.step.request.copies(room)
        if unit.step.max_per_worker:
            taken = self.step_counts.get((worker, unit.key), 0)
            count = min(count, unit.step.max_per_worker - taken)
        return max(0, count)


def open_rooms(view: FleetView) -> Rooms:
    """Return the room that the runs of a view leave."""
    rooms = Rooms(view.workers, {w.id: w.free() for w in view.workers.values()})
    total = sum(w.capacity.accelerators for w in view.workers.values() if w.is_usable)
    unused = sum(rooms.free[w.id].accelerators for w in view.workers.values() if w.is_usable)
    rooms.is_busy = total > 0 and unused < (1 - BUSY_SHARE) * total
    for worker in view.workers.values():
        for task in worker.running:
            key = (worker.id, (task.id.job_id, task.id.occurrence, task.id.step))
            rooms.step_counts[key] = rooms.step_counts.get(key, 0) + 1
            if task.is_serving:
                rooms.serving.add(worker.id)
            if task.is_filling:
                rooms.filling.add(worker.id)
    return rooms


def by_rack(workers: Iterable[WorkerView]) -> dict[str, list[WorkerView]]:
    """Return the workers of each rack."""
    racks: dict[str, list[WorkerView]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return racks


def can_ever_fit(unit: SchedulingUnit, workers: Iterable[WorkerView]) -> bool:
    """Whether the whole unit would fit on these workers if they were empty."""
    return sum(unit.step.request.copies(w.capacity) for w in workers) >= unit.step.count
