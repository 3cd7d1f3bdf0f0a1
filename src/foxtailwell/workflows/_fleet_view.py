"""Input and output of the placement planner.

These classes belong to the workflows model (jobs of steps and tasks). `FleetView`, `Plan` and
`Reservation` are unrelated to the classes of these names in `core` and `fleet`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from foxtailwell.workflows._jobs import Resources, TaskId, UnitKey
from foxtailwell.workflows._tasks import SchedulingUnit

__all__ = [
    "PASSING_OBSTACLES",
    "FleetView",
    "Obstacle",
    "Placement",
    "Plan",
    "PoolUse",
    "Reservation",
    "RunningTask",
    "Wait",
    "WorkerView",
]

HIGH_UTILIZATION = 0.55
"""Share of a pool in use above which a unit may wait longer for better workers than those with
room."""

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
        NOT_STOPPING: It does not stop a run, so its lease is left to expire.
        IN_DOUBT: A call to it got no response, and it is being asked whether it responds.
        BACKING_OFF: It has just failed to accept a start.
        LABEL: It lacks the label that the unit requires.
        TICKET: There is no valid ticket for the unit.
        RESERVED: It is reserved for another gang before the unit would end.
        SUSPECT: The unit and a unit there must not share a worker, because of earlier crashes.
        INTERFERENCE: Filling tasks and serving tasks must not share a worker.
        NAME: It has runs of another job under the names of the unit's tasks.
        LIMIT: It has as many tasks of the step as it may have.
        ROOM: Its free resources do not suffice for a task.
    """

    ZONE_OUT = "zone out"
    DRAINING = "draining"
    CORDONED = "cordoned"
    KEPT_ALONE = "kept alone"
    OLD_REPORT = "old report"
    UNRESPONSIVE = "unresponsive"
    IN_DOUBT = "in doubt"
    QUARANTINED = "quarantined"
    NOT_STOPPING = "not stopping"
    BACKING_OFF = "backing off"
    LABEL = "label"
    TICKET = "ticket"
    RESERVED = "reserved"
    SUSPECT = "suspect"
    INTERFERENCE = "interference"
    NAME = "name"
    LIMIT = "limit"
    ROOM = "room"


PASSING_OBSTACLES = frozenset({Obstacle.IN_DOUBT, Obstacle.BACKING_OFF})
"""Obstacles that end by themselves within about a second."""


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
        lost_s = STOP_LOSS_S + (0.0 if self.is_checkpointing else self.elapsed_s)
        weight = URGENT_LOSS_FACTOR if self.priority == 0 else 1.0
        return self.request.core_count * lost_s * self.member_count * weight


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
        victims: Tasks whose runs are preempted for it.
    """

    placement: Placement
    until_s: float
    victims: tuple[TaskId, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetView:
    """Input of one planning round.

    Attributes:
        now_s: Local monotonic time.
        workers: Workers by identifier.
        reservations: Reservations that the previous plan returned.
        explained: Keys of the units whose wait is to be explained if they are not placed.
        reservation_limit_s: Time after which a new reservation expires if its victims have not
            stopped.
        searched: Keys of the units that the plans before have considered and not deferred, if the
            previous one has deferred some.
    """

    now_s: float
    workers: Mapping[str, WorkerView]
    units: Sequence[SchedulingUnit]
    reservations: Sequence[Reservation] = ()
    explained: Collection[UnitKey] = ()
    reservation_limit_s: float = 1.0
    searched: Collection[UnitKey] = ()


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


@dataclass(frozen=True, slots=True)
class Wait:
    """Why a unit was not placed, or only in part.

    Attributes:
        obstacles: Number of workers of its pool by the first obstacle found.
        fitting_tasks: Tasks of the unit that fit on the workers without an obstacle. If they are
            all tasks, the unit waits for workers near its data or in one rack.
        pool_use: Use of its pool before the plan.
        possible_tasks: Tasks of the unit that the workers of its pool with its label would hold if
            they were empty.
    """

    unit: SchedulingUnit
    obstacles: Mapping[Obstacle, int]
    fitting_tasks: int
    pool_use: PoolUse
    possible_tasks: int

    @property
    def is_unservable(self) -> bool:
        """Whether the listed workers cannot serve the unit, however long it waits for their runs.

        Workers come and go, so this says nothing about later. Tasks that need not run together are
        served if one fits.
        """
        return self.possible_tasks < (len(self.unit.tasks) if self.unit.step.is_gang else 1)


@dataclass(frozen=True, slots=True)
class Plan:
    """Result of one planning round.

    Attributes:
        stops: Tasks whose runs are preempted.
        reservations: Reservations that the next round has to be given.
        waits: Explanations of the waits that the view asks for.
        deferred: Keys of the units that the plan has not considered, as it would take too long.
    """

    placements: tuple[Placement, ...] = ()
    stops: tuple[TaskId, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    waits: tuple[Wait, ...] = ()
    deferred: frozenset[UnitKey] = frozenset()
