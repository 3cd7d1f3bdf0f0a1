"""Work does not wait beside room: a property of the planner over random fleets.

The rules of what may run where are written down here once more, without the planner's code.
"""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from foxtailwell.workflows import (
    FleetView,
    Obstacle,
    Placement,
    Plan,
    Queue,
    Reservation,
    Resources,
    RunningTask,
    SchedulingUnit,
    Step,
    TaskId,
    WorkerView,
    _placement,
    plan,
)
from foxtailwell.workflows._capacity import FreeCapacity

NOW_S = 100.0
LONGEST_WAIT_S = 3.0
"""Time that a unit may wait beside room that it may use, in a pool that is not busy."""

BUSY_SHARE = 0.55
"""Share of the scarcest resource in use from which a pool is busy."""

CAPACITY = Resources(16_000, 16_000, 8)
RACKS = ("r0", "r1")
SIZES = st.builds(
    Resources, st.sampled_from((0, 1000, 4000)), st.just(100), st.sampled_from((1, 2, 4, 8, 8))
)
SMALL_SIZES = st.builds(Resources, st.just(500), st.just(100), st.sampled_from((0, 1, 1, 4)))
RUN_FLAGS = st.sampled_from(
    (
        *({"remaining_s": remaining_s} for remaining_s in (0.5, 5.0, 5.0, math.inf)),
        *({name: True} for name in ("is_stopping", "is_serving", "is_filling")),
    )
)
STEP_FLAGS = st.sampled_from(
    (
        *({"is_gang": is_gang} for is_gang in (False, False, True, True, True)),
        *({"data_rack": rack, "is_gang": is_gang} for rack in RACKS for is_gang in (False, True)),
        {"is_gang": True, "is_same_rack": True},
        *({name: True} for name in ("is_serving", "is_filling")),
        *({"required_label": label} for label in ("a", "b")),
        {"max_per_worker": 1},
        {"max_per_worker": 1, "is_gang": True},
    )
)
SUSPICIONS = st.sampled_from(
    (*[{}] * 5, {"is_suspect": True}, {"is_suspect": True, "is_kept_alone": True})
)
OBSTACLES = st.sampled_from(
    (
        *[None] * 10,
        *[Obstacle.KEPT_ALONE] * 4,
        *(Obstacle.ZONE_OUT, Obstacle.DRAINING, Obstacle.CORDONED, Obstacle.OLD_REPORT),
        *(Obstacle.UNRESPONSIVE, Obstacle.QUARANTINED, Obstacle.BACKING_OFF),
    )
)


@st.composite
def _workers(draw, number):
    name = f"w{number}"
    running = tuple(
        RunningTask(
            TaskId(f"{name}-{index}", 0, 0, 0),
            draw(SMALL_SIZES),
            priority=draw(st.integers(0, 2)),
            elapsed_s=1.0,
            is_checkpointing=False,
            **{"is_stopping": False} | draw(RUN_FLAGS),
        )
        for index in range(draw(st.sampled_from((0, 0, 1, 2))))
    )
    obstacle = draw(OBSTACLES)
    return WorkerView(
        name,
        draw(st.sampled_from(("pool", "pool", "pool", "other"))),
        "z",
        draw(st.sampled_from(RACKS)),
        frozenset(draw(st.sampled_from((("a",), ("a", "b"))))),
        CAPACITY,
        running,
        obstacle,
        has_suspect=obstacle is Obstacle.KEPT_ALONE or draw(st.booleans()),
    )


@st.composite
def _units(draw, number, names):
    step = Step(
        draw(st.integers(1, 4)),
        draw(SIZES),
        draw(st.sampled_from((500, 9000, 9000))),
        **draw(STEP_FLAGS),
    )
    since_s = NOW_S - draw(st.sampled_from((0.0, 1.0, LONGEST_WAIT_S, 9.0)))
    job = f"j{number}"
    return SchedulingUnit(
        job,
        0,
        0,
        step,
        Queue("queue", "pool", priority=draw(st.sampled_from((0, 0, 1, 2)))),
        "acme",
        tuple(TaskId(job, 0, 0, index) for index in range(step.count)),
        waiting_since_s=since_s,
        deadline_s=NOW_S + draw(st.sampled_from((-50.0, 1.0, 50.0))),
        accepted_s=since_s,
        queued_since_s=since_s,
        allowed=draw(st.sampled_from((*[None] * 5, frozenset(names[1:])))),
        **draw(SUSPICIONS),
    )


@st.composite
def _fleets(draw):
    workers = [draw(_workers(number)) for number in range(draw(st.integers(2, 5)))]
    names = [worker.id for worker in workers]
    units = [draw(_units(number, names)) for number in range(draw(st.integers(1, 4)))]
    reservations = [
        Reservation(
            Placement(unit, dict.fromkeys(unit.tasks, draw(st.sampled_from(names)))),
            NOW_S + draw(st.sampled_from((-0.1, -0.1, 1.0))),
        )
        for unit in units
        if unit.queue.priority == 0 and draw(st.booleans())
    ]
    return FleetView(NOW_S, {w.id: w for w in workers}, units, reservations)


def _is_busy(view: FleetView, pool: str) -> bool:
    workers = [worker for worker in view.workers.values() if worker.pool == pool]
    for field in ("cpu_millicores", "memory_mb", "accelerators"):
        capacity = sum(getattr(worker.capacity, field) for worker in workers)
        used = sum(getattr(task.request, field) for w in workers for task in w.running)
        if capacity and used / capacity > BUSY_SHARE - 1e-9:
            return True
    return False


def _copies(
    unit: SchedulingUnit, worker: WorkerView, starting: list[tuple[SchedulingUnit, str]]
) -> int:
    """Return how many tasks of the unit may start on a worker beside what a plan starts there."""
    step = unit.step
    others = [other for other, name in starting if name == worker.id and other.key != unit.key]
    own = sum(name == worker.id and other.key == unit.key for other, name in starting)
    beside = [*worker.running, *(other.step for other in others)]
    is_free = worker.obstacle is None or (
        worker.obstacle is Obstacle.KEPT_ALONE and not unit.is_suspect
    )
    is_kept_off = (
        (step.required_label and step.required_label not in worker.labels)
        or (unit.allowed is not None and worker.id not in unit.allowed)
        or (step.is_filling and any(task.is_serving for task in beside))
        or (step.is_serving and any(task.is_filling for task in beside))
        or (unit.is_kept_alone and (worker.has_suspect or others))
        or (unit.is_suspect and any(other.is_kept_alone for other in others))
    )
    if worker.pool != unit.queue.pool or not is_free or is_kept_off:
        return 0
    free = worker.free()
    for other, name in starting:
        if name == worker.id:
            free = free.minus(other.step.request)
    copies = step.request.max_copies(free)
    return min(copies, step.max_per_worker - own) if step.max_per_worker else copies


def _waits_beside_room(view: FleetView, decided: Plan) -> list[SchedulingUnit]:
    """Return the units that have waited too long beside room which the plan leaves to them."""
    # A reservation for preempted runs to stop has a limit in time of its own.
    reserved = [held.placement for held in decided.reservations if held.until_s >= NOW_S]
    starting = [
        (placement.unit, worker)
        for placement in (*decided.placements, *reserved)
        for worker in placement.workers.values()
    ]
    waits = []
    for unit in view.units:
        is_due = NOW_S - unit.queued_since_s >= LONGEST_WAIT_S
        if not is_due or _is_busy(view, unit.queue.pool) or any(p.unit is unit for p in reserved):
            continue
        placed = sum(len(p.workers) for p in decided.placements if p.unit is unit)
        missing = len(unit.tasks) - placed
        room = sum(_copies(unit, worker, starting) for worker in view.workers.values())
        if missing and room >= (missing if unit.step.is_gang else 1):
            waits.append(unit)
    return waits


def _check(view: FleetView) -> None:
    assert _waits_beside_room(view, plan(view)) == []


def _with_examples(count: int, phases: tuple[Phase, ...]):
    return settings(
        max_examples=count,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=[HealthCheck.too_slow],
    )(given(_fleets())(_check))


def test_work_that_has_waited_beside_room_is_placed():
    """Guards against work that waits without a bound although workers have room for it."""
    _with_examples(10 * settings.default.max_examples, (Phase.generate, Phase.shrink))()


def _ignore_expiry(monkeypatch):
    use = _placement._use_reservation
    monkeypatch.setattr(
        _placement, "_use_reservation", lambda capacity, held, _: use(capacity, held, -math.inf)
    )


def _keep_reserved(monkeypatch):
    beside = FreeCapacity._obstacle_beside
    monkeypatch.setattr(
        FreeCapacity,
        "_obstacle_beside",
        lambda capacity, worker, unit: (
            Obstacle.RESERVED
            if capacity.is_reserved(worker, unit)
            else beside(capacity, worker, unit)
        ),
    )


@pytest.mark.parametrize(
    "remove_bound",
    [
        lambda m: m.setattr("foxtailwell.workflows._capacity.AVOIDABLE_WAIT_S", math.inf),
        lambda m: m.setattr("foxtailwell.workflows._placement.AVOIDABLE_WAIT_S", math.inf),
        lambda m: m.setattr("foxtailwell.workflows._fleet_view.HIGH_UTILIZATION", 0.0),
        lambda m: m.setattr(FreeCapacity, "_may_share", FreeCapacity.is_apart),
        lambda m: m.setattr(FreeCapacity, "_joins_all", lambda *_: False),
        _keep_reserved,
        _ignore_expiry,
    ],
    ids=[
        "wait behind reservations and suspects",
        "wait for local workers",
        "busy pool",
        "wait apart from suspects",
        "wait beside a suspect kept alone",
        "wait behind a gang's reservation",
        "reservation for preempted runs",
    ],
)
def test_work_waits_beside_room_once_a_bound_is_removed(monkeypatch, remove_bound):
    """Guards against a property that holds whatever the planner does."""
    remove_bound(monkeypatch)
    with pytest.raises(AssertionError):
        _with_examples(50 * settings.default.max_examples, (Phase.generate,))()


@pytest.mark.parametrize(("waited_s", "is_reported"), [(LONGEST_WAIT_S, True), (2.9, False)])
def test_property_tells_which_unit_waits(waited_s, is_reported):
    """Guards against a check that misses work beside empty workers, or allows it no wait."""
    worker = WorkerView("w0", "pool", "z", "r0", frozenset(), CAPACITY)
    step = Step(1, Resources(1000, 100, 8))
    tasks = (TaskId("j", 0, 0, 0),)
    unit = SchedulingUnit("j", 0, 0, step, Queue("queue", "pool", 1), "acme", tasks, 0.0, NOW_S)
    unit = replace(unit, queued_since_s=NOW_S - waited_s)
    view = FleetView(NOW_S, {"w0": worker}, [unit])
    assert _waits_beside_room(view, Plan()) == ([unit] if is_reported else [])
    assert not _waits_beside_room(view, Plan((Placement(unit, {tasks[0]: "w0"}),)))
