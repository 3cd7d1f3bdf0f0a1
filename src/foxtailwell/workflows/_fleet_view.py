"""Input and output of the placement planner, and the free capacity it tracks while planning.

These classes belong to the workflows model (jobs of steps and tasks). `FleetView`, `Plan` and
`Reservation` are unrelated to the classes of these names in `core` and `fleet`.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from foxtailwell.workflows._jobs import Resources, TaskId
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = [
    "EligibleWorkers",
    "FleetView",
    "FreeCapacity",
    "Obstacle",
    "Placement",
    "Plan",
    "PoolUse",
    "Reservation",
    "RunningTask",
    "Wait",
    "WorkerView",
    "by_rack",
    "can_ever_fit",
    "free_capacity",
]

HIGH_UTILIZATION = 0.55
"""Share of a pool in use above which a unit may wait for better workers.

Below it, a unit takes free capacity after `AVOIDABLE_WAIT_S`.
"""

AVOIDABLE_WAIT_S = 2.0
"""Longest wait for local workers, behind a gang's reservation, or apart from suspects, beside free
capacity.

Ready work must not wait 3 s while capacity is free elsewhere. Suspects that are kept alone wait
longer: each joint crash would be further evidence against all of them, up to the limit.
"""

ACCELERATOR_CORES = 8
"""CPU cores that one accelerator is equivalent to in the cost of lost work."""

URGENT_LOSS_FACTOR = 10.0
"""Weight of lost work of priority 0, so that guarantees reclaim it only as the last resort."""

STOP_LOSS_S = 0.5
"""Time that every stop loses: stopping, placing again, and the work since the last checkpoint."""


class Obstacle(StrEnum):
    """What keeps a unit off a worker.

    Attributes:
        ZONE_OUT: Its availability zone is out of service.
        CORDONED: Its machine is about to go down for maintenance.
        KEPT_ALONE: A suspect that is kept alone runs there.
        OLD_REPORT: Its last report is too old to rely on the capacity in it.
        BACKING_OFF: It has just failed to accept a start.
        LABEL: It lacks the label that the unit requires.
        TICKET: There is no valid ticket for the unit.
        RESERVED: It is reserved for another gang before the unit would end.
        SUSPECT: The unit and a unit there must not share a worker, because of earlier crashes.
        INTERFERENCE: Filling tasks and serving tasks must not share a worker.
        LIMIT: It has as many tasks of the step as it may have.
        ROOM: Its free resources do not suffice for a task.
    """

    ZONE_OUT = "zone out"
    DRAINING = "draining"
    CORDONED = "cordoned"
    KEPT_ALONE = "kept alone"
    OLD_REPORT = "old report"
    UNRESPONSIVE = "unresponsive"
    QUARANTINED = "quarantined"
    BACKING_OFF = "backing off"
    LABEL = "label"
    TICKET = "ticket"
    RESERVED = "reserved"
    SUSPECT = "suspect"
    INTERFERENCE = "interference"
    LIMIT = "limit"
    ROOM = "room"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that occupies capacity of a worker.

    Attributes:
        member_count: Tasks of its gang, which all lose their work if one is stopped; 1 for none.
        remaining_s: Expected time until it ends; infinite if it runs until its job is cancelled.
        is_borrowing: Urgent jobs of its account need more than the account's guarantee.
        is_protected: It must not be preempted.
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
        """Return the weighted core-seconds of work that a stop loses, over its whole gang."""
        cores = self.request.cpu_millicores / 1000 + ACCELERATOR_CORES * self.request.accelerators
        lost_s = STOP_LOSS_S + (0.0 if self.is_checkpointing else self.elapsed_s)
        weight = URGENT_LOSS_FACTOR if self.priority == 0 else 1.0
        return cores * lost_s * self.member_count * weight


@dataclass(frozen=True, slots=True)
class WorkerView:
    """State of a worker as input of the planner.

    Attributes:
        obstacle: Why no new task may start here; None if tasks may. `KEPT_ALONE` is only given if
            there is no other obstacle.
        fault_score: Evidence that the worker is faulty or slow; lower scores are preferred.
        has_suspect: A suspect on probation runs there, so other suspects are kept off.
    """

    id: str
    pool: str
    zone: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    running: tuple[RunningTask, ...] = ()
    obstacle: Obstacle | None = None
    fault_score: float = 0.0
    has_suspect: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether new tasks may start here."""
        return self.obstacle is None

    def free(self) -> Resources:
        """Return the capacity that no run occupies; negative where the worker is overcommitted."""
        available = self.capacity
        for task in self.running:
            available = available.minus(task.request)
        return available


@dataclass(frozen=True, slots=True)
class Placement:
    """Assignment of the tasks of one unit to worker identifiers."""

    unit: SchedulingUnit
    workers: Mapping[TaskId, str]


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity reserved for a unit while preempted runs stop.

    Attributes:
        until_s: Local time at which the reservation expires.
    """

    placement: Placement
    until_s: float


@dataclass(frozen=True, slots=True)
class FleetView:
    """Input of one planning round.

    Attributes:
        now_s: Local monotonic time.
        workers: Workers by identifier.
        reservations: Reservations that the previous plan returned.
        explained: Keys of the units whose wait is to be explained if they are not placed.
    """

    now_s: float
    workers: Mapping[str, WorkerView]
    units: Sequence[SchedulingUnit]
    reservations: Sequence[Reservation] = ()
    explained: Collection[tuple[str, int, int]] = ()


@dataclass(frozen=True, slots=True)
class PoolUse:
    """Capacity and free resources of a pool, including workers that take no tasks now."""

    capacity: Resources
    free: Resources

    @property
    def cpu_share(self) -> float:
        """Share of the processors in use."""
        return _used_share(self.capacity.cpu_millicores, self.free.cpu_millicores)

    @property
    def memory_share(self) -> float:
        """Share of the memory in use."""
        return _used_share(self.capacity.memory_mb, self.free.memory_mb)

    @property
    def accelerator_share(self) -> float:
        """Share of the accelerators in use."""
        return _used_share(self.capacity.accelerators, self.free.accelerators)

    @property
    def is_high(self) -> bool:
        """Whether the share of the scarcest resource exceeds `HIGH_UTILIZATION`."""
        shares = (self.cpu_share, self.memory_share, self.accelerator_share)
        return max(shares) > HIGH_UTILIZATION


def _used_share(capacity: int, free: int) -> float:
    return 1 - free / capacity if capacity > 0 else 0.0


_EMPTY_POOL = PoolUse(Resources(), Resources())


@dataclass(frozen=True, slots=True)
class Wait:
    """Why a unit was not placed, or only in part.

    Attributes:
        obstacles: Number of workers of its pool by the first obstacle found.
        fitting_tasks: Tasks of the unit that fit on the workers without an obstacle. If they are
            all tasks, the unit waits for workers near its data or in one rack.
        pool_use: Use of its pool before the plan.
    """

    unit: SchedulingUnit
    obstacles: Mapping[Obstacle, int]
    fitting_tasks: int
    pool_use: PoolUse


@dataclass(frozen=True, slots=True)
class Plan:
    """Result of one planning round.

    Attributes:
        stops: Tasks whose runs are preempted.
        reservations: Reservations that the next round has to be given.
        waits: Explanations of the waits that the view asks for.
    """

    placements: tuple[Placement, ...] = ()
    stops: tuple[TaskId, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    waits: tuple[Wait, ...] = ()


@dataclass(frozen=True, slots=True)
class EligibleWorkers:
    """Usable workers on which a unit may be placed, also grouped by rack."""

    workers: list[WorkerView]
    by_rack: dict[str, list[WorkerView]]


@dataclass(slots=True)
class FreeCapacity:
    """Free capacity of the fleet, updated while a plan is made.

    Attributes:
        free: Free resources by worker.
        step_counts: Tasks of a step on a worker, by worker and unit key.
        reserved_after_s: Seconds from now after which a worker is reserved for a gang; tasks with
            a longer estimate are not placed there.
        now_s: Local time of the plan.
        pool_use: Use of each pool before the plan.
        serving_workers: Workers with latency-sensitive tasks; filling tasks are kept off them.
        filling_workers: Workers with filling tasks; serving tasks are kept off them.
        suspects: Units with suspects that this plan places, by worker. Other suspects are kept off
            these workers, and all units if the suspects are kept alone.
        starting: Keys of the units that this plan places, by worker.
        overdue_workers: Workers on which preempted runs did not stop before their reservation
            expired; other runs are preempted rather than waiting for these.
    """

    workers: Mapping[str, WorkerView]
    free: dict[str, Resources]
    step_counts: dict[tuple[str, tuple[str, int, int]], int] = field(default_factory=dict)
    reserved_after_s: dict[str, float] = field(default_factory=dict)
    now_s: float = 0.0
    pool_use: Mapping[str, PoolUse] = field(default_factory=dict)
    serving_workers: set[str] = field(default_factory=set)
    filling_workers: set[str] = field(default_factory=set)
    suspects: dict[str, SchedulingUnit] = field(default_factory=dict)
    starting: dict[str, set[tuple[str, int, int]]] = field(default_factory=dict)
    overdue_workers: set[str] = field(default_factory=set)
    _eligible: dict[tuple[str, str, bool], EligibleWorkers] = field(default_factory=dict)

    def eligible_workers(self, unit: SchedulingUnit) -> EligibleWorkers:
        """Return the usable workers with the unit's pool and label that its advice allows."""
        key = (unit.queue.pool, unit.step.required_label, self._joins_all(unit))
        if key not in self._eligible:
            pool, label, _ = key
            found = [
                worker
                for worker in self.workers.values()
                if self.is_usable(worker, unit)
                and worker.pool == pool
                and (not label or label in worker.labels)
            ]
            self._eligible[key] = EligibleWorkers(found, by_rack(found))
        if unit.allowed is None:
            return self._eligible[key]
        allowed = [worker for worker in self._eligible[key].workers if worker.id in unit.allowed]
        return EligibleWorkers(allowed, by_rack(allowed))

    def is_usable(self, worker: WorkerView, unit: SchedulingUnit) -> bool:
        """Return whether tasks of the unit may start on a worker, whatever runs there."""
        is_kept_alone = worker.obstacle is Obstacle.KEPT_ALONE
        return worker.is_usable or (is_kept_alone and self._joins_all(unit))

    def _joins_all(self, unit: SchedulingUnit) -> bool:
        """Return whether the unit may start even beside suspects that are kept alone."""
        return not unit.is_suspect and self._is_overdue(unit)

    def allocate(self, worker: str, unit: SchedulingUnit) -> None:
        """Subtract the request of one task of the unit from a worker's free capacity."""
        self.free[worker] = self.free[worker].minus(unit.step.request)
        key = (worker, unit.key)
        self.step_counts[key] = self.step_counts.get(key, 0) + 1
        self.starting.setdefault(worker, set()).add(unit.key)
        if unit.step.is_serving:
            self.serving_workers.add(worker)
        if unit.step.is_filling:
            self.filling_workers.add(worker)
        known = self.suspects.get(worker)
        if unit.is_suspect and (known is None or not known.is_kept_alone):
            self.suspects[worker] = unit

    def max_copies(self, worker: str, unit: SchedulingUnit, free: Resources | None = None) -> int:
        """Return how many more tasks of the unit may be placed on a worker.

        Args:
            worker: Identifier of the worker.
            unit: Unit to be placed.
            free: Resources to assume free; None for the currently free ones.
        """
        if self._obstacle_beside(worker, unit) is not None:
            return 0
        available = self.free[worker] if free is None else free
        count = unit.step.request.max_copies(available)
        if unit.step.max_per_worker:
            count = min(count, unit.step.max_per_worker - self._step_count(worker, unit))
        return max(0, count)

    def explain(self, unit: SchedulingUnit) -> Wait:
        """Return why the unit cannot be placed on the workers of its pool now."""
        obstacles: dict[Obstacle, int] = {}
        fitting = 0
        for worker in self.workers.values():
            if worker.pool != unit.queue.pool:
                continue
            obstacle = self._obstacle(worker, unit)
            if obstacle is None:
                fitting += self.max_copies(worker.id, unit)
            else:
                obstacles[obstacle] = obstacles.get(obstacle, 0) + 1
        pool_use = self.pool_use.get(unit.queue.pool, _EMPTY_POOL)
        return Wait(unit, obstacles, min(fitting, len(unit.tasks)), pool_use)

    def _obstacle(self, worker: WorkerView, unit: SchedulingUnit) -> Obstacle | None:
        """Return the first reason why no task of the unit can be placed on a worker."""
        step = unit.step
        if not self.is_usable(worker, unit):
            return worker.obstacle
        if step.required_label and step.required_label not in worker.labels:
            return Obstacle.LABEL
        if unit.allowed is not None and worker.id not in unit.allowed:
            return Obstacle.TICKET
        beside = self._obstacle_beside(worker.id, unit)
        if beside is not None:
            return beside
        if step.max_per_worker and self._step_count(worker.id, unit) >= step.max_per_worker:
            return Obstacle.LIMIT
        return None if step.request.fits(self.free[worker.id]) else Obstacle.ROOM

    def _obstacle_beside(self, worker: str, unit: SchedulingUnit) -> Obstacle | None:
        """Return why other units keep the unit off a usable worker; None if they do not."""
        if self.is_reserved(worker, unit) and not self._is_overdue(unit):
            return Obstacle.RESERVED
        if not self._may_share(worker, unit):
            return Obstacle.SUSPECT
        if (unit.step.is_filling and worker in self.serving_workers) or (
            unit.step.is_serving and worker in self.filling_workers
        ):
            return Obstacle.INTERFERENCE
        return None

    def is_reserved(self, worker: str, unit: SchedulingUnit) -> bool:
        """Return whether a worker is reserved for another gang before the unit would end."""
        return self.reserved_after_s.get(worker, math.inf) < unit.step.estimate_ms / 1e3

    def _is_overdue(self, unit: SchedulingUnit) -> bool:
        """Return whether the unit has waited too long for better workers than those with room."""
        waited_s = self.now_s - unit.queued_since_s
        return waited_s >= AVOIDABLE_WAIT_S and not self.is_highly_utilized(unit)

    def is_highly_utilized(self, unit: SchedulingUnit) -> bool:
        """Return whether the unit may wait longer, as little of its pool is free."""
        return self.pool_use.get(unit.queue.pool, _EMPTY_POOL).is_high

    def _step_count(self, worker: str, unit: SchedulingUnit) -> int:
        return self.step_counts.get((worker, unit.key), 0)

    def _may_share(self, worker: str, unit: SchedulingUnit) -> bool:
        """Return whether a unit may start beside the suspects on a worker, or as one of them."""
        if unit.is_kept_alone or not self._is_overdue(unit):
            return self.is_apart(worker, unit)
        suspect = self.suspects.get(worker)
        return not (unit.is_suspect and suspect is not None and suspect.is_kept_alone)

    def is_apart(self, worker: str, unit: SchedulingUnit) -> bool:
        """Return whether nothing on a worker is to be kept apart from the unit."""
        if self.workers[worker].obstacle is Obstacle.KEPT_ALONE:
            return False
        if unit.is_suspect and self.workers[worker].has_suspect:
            return False
        if unit.is_kept_alone and self.starting.get(worker, set()) - {unit.key}:
            return False
        suspect = self.suspects.get(worker)
        if suspect is None or suspect.key == unit.key:
            return True
        return not (suspect.is_kept_alone or unit.is_suspect)


def free_capacity(view: FleetView) -> FreeCapacity:
    """Return the capacity that is not occupied by the runs of a view."""
    free = {w.id: w.free() for w in view.workers.values()}
    capacity = FreeCapacity(
        view.workers, free, now_s=view.now_s, pool_use=_pool_use(view.workers.values(), free)
    )
    for worker in view.workers.values():
        for task in worker.running:
            key = (worker.id, (task.id.job_id, task.id.occurrence, task.id.step))
            capacity.step_counts[key] = capacity.step_counts.get(key, 0) + 1
            if task.is_serving:
                capacity.serving_workers.add(worker.id)
            if task.is_filling:
                capacity.filling_workers.add(worker.id)
    return capacity


def _pool_use(workers: Iterable[WorkerView], free: Mapping[str, Resources]) -> dict[str, PoolUse]:
    use: dict[str, PoolUse] = {}
    for worker in workers:
        known = use.get(worker.pool, _EMPTY_POOL)
        use[worker.pool] = PoolUse(
            known.capacity.plus(worker.capacity), known.free.plus(free[worker.id])
        )
    return use


def by_rack(workers: Iterable[WorkerView]) -> dict[str, list[WorkerView]]:
    """Group workers by rack."""
    racks: dict[str, list[WorkerView]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    return racks


def can_ever_fit(unit: SchedulingUnit, workers: Iterable[WorkerView]) -> bool:
    """Return whether the whole unit would fit on these workers if they were empty."""
    return sum(unit.step.request.max_copies(w.capacity) for w in workers) >= unit.step.count
