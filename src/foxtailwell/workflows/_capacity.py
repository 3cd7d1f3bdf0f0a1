"""Free capacity of the fleet, which the placement planner tracks while it makes a plan.

It also decides which units may share a worker, and how long a unit waits for better workers than
those with room.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from foxtailwell.workflows._fleet_view import FleetView, Obstacle, PoolUse, Wait, WorkerView
from foxtailwell.workflows._jobs import UNLIMITED_COPIES, Resources, TaskId, UnitKey
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = [
    "AVOIDABLE_WAIT_S",
    "EligibleWorkers",
    "FreeCapacity",
    "by_rack",
    "can_ever_fit",
    "free_capacity",
]

AVOIDABLE_WAIT_S = 2.0
"""Longest wait for local workers, behind a gang's reservation, or apart from suspects, beside free
capacity.

Ready work must not wait 3 s while capacity is free elsewhere. Suspects that are kept alone wait
longer: each joint crash would be further evidence against all of them, up to the limit.
"""

_EMPTY_POOL = PoolUse(Resources(), Resources())


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
        busy_pools: Pools of which the use is high.
        serving_workers: Workers with latency-sensitive tasks; filling tasks are kept off them.
        filling_workers: Workers with filling tasks; serving tasks are kept off them.
        suspects: Units with suspects that this plan places, by worker. Other suspects are kept off
            these workers, and all units if the suspects are kept alone.
        starting: Keys of the units that this plan places, by worker.
        placed_names: Workers and names of the tasks that this plan places and that have namesakes.
        overdue_workers: Workers on which preempted runs did not stop before their reservation
            expired; other runs are preempted rather than waiting for these.
        reservation_limit_s: Time after which a reservation expires if its victims have not stopped.
    """

    workers: Mapping[str, WorkerView]
    free: dict[str, Resources]
    step_counts: dict[tuple[str, UnitKey], int] = field(default_factory=dict)
    reserved_after_s: dict[str, float] = field(default_factory=dict)
    now_s: float = 0.0
    pool_use: Mapping[str, PoolUse] = field(default_factory=dict)
    busy_pools: frozenset[str] = frozenset()
    serving_workers: set[str] = field(default_factory=set)
    filling_workers: set[str] = field(default_factory=set)
    suspects: dict[str, SchedulingUnit] = field(default_factory=dict)
    starting: dict[str, set[UnitKey]] = field(default_factory=dict)
    placed_names: set[tuple[str, str]] = field(default_factory=set)
    overdue_workers: set[str] = field(default_factory=set)
    reservation_limit_s: float = math.inf
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
        return not unit.is_suspect and self.is_overdue(unit)

    def allocate_all(self, unit: SchedulingUnit, workers: Mapping[TaskId, str]) -> None:
        """Allocate capacity to tasks of the unit on the workers that were chosen for them."""
        for worker in workers.values():
            self.allocate(worker, unit)
        if unit.has_namesakes:
            self.placed_names.update((worker, str(task)) for task, worker in workers.items())

    def is_name_free(self, worker: str, unit: SchedulingUnit, task: TaskId) -> bool:
        """Return whether a worker has no run of another job under the name of the task.

        A worker rejects a start under a name that it is running, whatever the number of the run.
        """
        if not unit.has_namesakes:
            return True
        is_placed = (worker, str(task)) in self.placed_names
        return not is_placed and (worker, task) not in unit.names_in_use

    def split(
        self, worker: str, unit: SchedulingUnit, tasks: Sequence[TaskId], count: int
    ) -> tuple[Sequence[TaskId], Sequence[TaskId]]:
        """Split tasks of the unit into up to `count` that a worker may be given, and the others.

        Tasks whose names are in use at other workers come first, as they have the least choice.
        """
        if not unit.has_namesakes:
            return tasks[:count], tasks[count:]
        in_use = {task for _, task in unit.names_in_use}
        free = [task for task in tasks if self.is_name_free(worker, unit, task)]
        chosen = sorted(free, key=lambda task: task not in in_use)[:count]
        return chosen, [task for task in tasks if task not in chosen]

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
        # The cheapest check comes first: most workers of a busy fleet have no room.
        count = unit.step.request.max_copies(self.free[worker] if free is None else free)
        return min(count, self.max_allowed(worker, unit)) if count else 0

    def max_allowed(self, worker: str, unit: SchedulingUnit) -> int:
        """Return how many more tasks of the unit a worker may have, whatever its free resources."""
        if self._obstacle_beside(worker, unit) is not None:
            return 0
        if not (unit.has_namesakes or unit.step.max_per_worker):
            return UNLIMITED_COPIES
        limit = UNLIMITED_COPIES
        if unit.has_namesakes:
            limit = sum(self.is_name_free(worker, unit, task) for task in unit.tasks)
        if unit.step.max_per_worker:
            limit = min(limit, unit.step.max_per_worker - self._step_count(worker, unit))
        return max(0, limit)

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
        count = len(unit.tasks)
        possible = sum(self._max_if_empty(worker, unit) for worker in self.workers.values())
        return Wait(unit, obstacles, min(fitting, count), pool_use, min(possible, count))

    def _max_if_empty(self, worker: WorkerView, unit: SchedulingUnit) -> int:
        """Return how many tasks of the unit a worker would hold if it were empty and usable."""
        step = unit.step
        if worker.pool != unit.queue.pool or not worker.labels.issuperset(
            {step.required_label} - {""}
        ):
            return 0
        return min(
            step.request.max_copies(worker.capacity), step.max_per_worker or UNLIMITED_COPIES
        )

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
        if not any(self.is_name_free(worker.id, unit, task) for task in unit.tasks):
            return Obstacle.NAME
        if step.max_per_worker and self._step_count(worker.id, unit) >= step.max_per_worker:
            return Obstacle.LIMIT
        return None if step.request.fits(self.free[worker.id]) else Obstacle.ROOM

    def _obstacle_beside(self, worker: str, unit: SchedulingUnit) -> Obstacle | None:
        """Return why other units keep the unit off a usable worker; None if they do not."""
        if self.is_reserved(worker, unit) and not self.is_overdue(unit):
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

    def is_overdue(self, unit: SchedulingUnit) -> bool:
        """Return whether the unit has waited too long for better workers than those with room."""
        waited_s = self.now_s - unit.queued_since_s
        return waited_s >= AVOIDABLE_WAIT_S and not self.is_highly_utilized(unit)

    def is_highly_utilized(self, unit: SchedulingUnit) -> bool:
        """Return whether the unit may wait longer, as little of its pool is free."""
        return unit.queue.pool in self.busy_pools

    def _step_count(self, worker: str, unit: SchedulingUnit) -> int:
        return self.step_counts.get((worker, unit.key), 0)

    def _may_share(self, worker: str, unit: SchedulingUnit) -> bool:
        """Return whether a unit may start beside the suspects on a worker, or as one of them."""
        if unit.is_kept_alone or not self.is_overdue(unit):
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
    pool_use = _pool_use(view.workers.values(), free)
    capacity = FreeCapacity(
        view.workers,
        free,
        now_s=view.now_s,
        pool_use=pool_use,
        busy_pools=frozenset(pool for pool, use in pool_use.items() if use.is_high),
        reservation_limit_s=view.reservation_limit_s,
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
