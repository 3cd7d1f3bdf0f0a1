"""Tests of the placement planner of the workflows model: placement, reservation, preemption."""

from __future__ import annotations

from dataclasses import replace

import pytest

from foxtailwell.controller._waits import WaitLog
from foxtailwell.workflows import (
    FleetView,
    Obstacle,
    Placement,
    PoolUse,
    Queue,
    Reservation,
    Resources,
    RunningTask,
    SchedulingUnit,
    Step,
    TaskId,
    Wait,
    WorkerView,
    plan,
    reservation_limit_s,
)

CAPACITY = Resources(128_000, 262_144, 8)
WHOLE = Resources(10_000, 10_000, 8)
SMALL = Resources(1, 1, 1)
WHOLE_WORKER = Resources(120_000, 10_000, 8)
URGENT = Queue("urgent", "pool", priority=0)
MODEL = Queue("model", "pool", priority=1)
BATCH = Queue("batch", "pool", priority=2)


def _unit(job, queue, step, *, waited_s=0.0, deadline_s=100.0):
    tasks = tuple(TaskId(job, 0, 0, index) for index in range(step.count))
    since_s = 10.0 - waited_s
    unit = SchedulingUnit(job, 0, 0, step, queue, "acme", tasks, since_s, deadline_s, 0.0)
    return replace(unit, queued_since_s=since_s)


def _worker(name, rack="r1", running=(), pool="pool", **fields):
    labels = frozenset({"a", rack})
    return WorkerView(name, pool, "z", rack, labels, CAPACITY, tuple(running), **fields)


def _running(job, request, *, priority=2, elapsed_s=5.0, remaining_s=5.0, **fields):
    task = TaskId(job, 0, 0, 0)
    flags = {"is_checkpointing": False, "is_stopping": False} | fields
    return RunningTask(task, request, priority, elapsed_s, remaining_s=remaining_s, **flags)


def _plan(units, workers):
    return plan(FleetView(10.0, {w.id: w for w in workers}, units))


def test_gang_is_placed_in_the_rack_of_its_data():
    """Guards against a gang that runs three times slower elsewhere while its data rack is free."""
    workers = [_worker(f"w{n}", f"r{n % 2}") for n in range(4)]
    step = Step(2, WHOLE, 1000, is_gang=True, is_same_rack=True, data_rack="r1")
    placed = _plan([_unit("j", MODEL, step)], workers).placements[0]
    assert set(placed.workers.values()) == {"w1", "w3"}


def test_gang_wider_than_any_rack_is_spread_at_once():
    """Guards against a gang that waits for a single rack although no rack is large enough."""
    workers = [_worker("w0", "r0"), _worker("w1", "r1")]
    step = Step(2, WHOLE, 1000, is_gang=True, is_same_rack=True)
    assert _plan([_unit("j", MODEL, step)], workers).placements


def test_small_tasks_fill_the_fullest_worker_first():
    """Guards against fragmentation: small tasks that occupy the last empty workers."""
    workers = [_worker("w0"), _worker("w1", running=[_running("x", Resources(1, 1, 4))])]
    placed = _plan([_unit("j", BATCH, Step(2, Resources(1, 1, 1)))], workers).placements[0]
    assert set(placed.workers.values()) == {"w1"}


def test_waiting_gang_reserves_its_rack_against_longer_tasks():
    """Guards against starvation of a large gang by a stream of small tasks."""
    workers = [_worker("w0"), _worker("w1", running=[_running("x", WHOLE, priority=1)])]
    gang = _unit("g", MODEL, Step(2, WHOLE, 9000, is_gang=True, is_same_rack=True))
    long_task = _unit("l", BATCH, Step(1, Resources(1, 1, 1), 20_000))
    short_task = _unit("s", BATCH, Step(1, Resources(1, 1, 1), 1000))
    started = {p.unit.job_id for p in _plan([gang, long_task, short_task], workers).placements}
    assert started == {"s"}


@pytest.mark.parametrize(
    ("gang", "gang_flags", "beside", "has_suspect"),
    [
        (Step(6, SMALL, 3000, is_gang=True, max_per_worker=1), {}, {}, False),
        (Step(2, SMALL, 3000, is_gang=True), {"is_suspect": True}, {}, True),
        (Step(2, SMALL, 3000, is_gang=True, is_filling=True), {}, {"is_serving": True}, False),
    ],
    ids=["limit per worker", "suspect", "filling beside serving"],
)
def test_gang_that_does_not_wait_for_room_reserves_no_worker(gang, gang_flags, beside, has_suspect):
    """Guards against empty workers that start nothing, reserved for a gang that cannot use them."""
    workers = [
        _worker(f"w{n}", running=[_running(f"x{n}", SMALL, **beside)], has_suspect=has_suspect)
        for n in range(4)
    ]
    units = [
        replace(_unit("g", MODEL, gang), **gang_flags),
        _unit("o", BATCH, Step(1, SMALL, 3000)),
    ]
    assert [p.unit.job_id for p in _plan(units, workers).placements] == ["o"]


@pytest.mark.parametrize("is_same_rack", [False, True])
def test_waiting_gang_reserves_no_more_workers_than_it_needs(is_same_rack):
    """Guards against a whole fleet that starts nothing longer than the wait of one gang."""
    busy = [_worker("w0", running=[_running("x", WHOLE, remaining_s=2.0)])]
    workers = busy + [_worker(f"w{n}", running=[_running(f"x{n}", SMALL)]) for n in range(1, 9)]
    gang = _unit("g", MODEL, Step(2, WHOLE, 9000, is_gang=True, is_same_rack=is_same_rack))
    others = _unit("o", BATCH, Step(99, Resources(10_000, 10_000, 1), 9000))
    placed = _plan([gang, others], workers).placements[0]
    assert set(placed.workers.values()) == {f"w{n}" for n in range(2, 9)}


@pytest.mark.parametrize(
    ("waited_s", "busy_count", "is_placed"), [(2.5, 1, True), (0.5, 1, False), (2.5, 4, False)]
)
def test_reserved_workers_stay_empty_only_for_a_while_unless_most_are_in_use(
    waited_s, busy_count, is_placed
):
    """Guards against work that waits for longer than 3 s while half of its pool is empty."""
    busy = [_worker(f"b{n}", running=[_running(f"b{n}", WHOLE_WORKER)]) for n in range(busy_count)]
    workers = [*busy, _worker("w0"), _worker("w1")]
    gang = _unit("g", MODEL, Step(3, WHOLE_WORKER, 9000, is_gang=True))
    other = _unit("o", BATCH, Step(1, WHOLE_WORKER, 9000), waited_s=waited_s)
    assert bool(_plan([gang, other], workers).placements) == is_placed


def test_wait_for_local_workers_ignores_the_load_of_other_pools():
    """Guards against work that waits for its rack in an empty pool because another pool is full."""
    full = [_worker(f"x{n}", pool="x", running=[_running("x", WHOLE_WORKER)]) for n in range(9)]
    pool = [_worker("w0", "r0", [_running("w", WHOLE_WORKER, remaining_s=3.0)]), _worker("w1")]
    step = Step(1, WHOLE_WORKER, 9000, is_gang=True, data_rack="r0")
    assert _plan([_unit("j", MODEL, step, waited_s=2.5)], [*full, *pool]).placements


def test_preemption_stops_the_run_that_loses_least_work():
    """Guards against preempting a run that loses more work than another candidate."""
    costly = _worker("w0", running=[_running("long", WHOLE, elapsed_s=9.0)])
    cheap = _worker("w1", running=[_running("saved", WHOLE, is_checkpointing=True)])
    decided = _plan([_unit("u", URGENT, Step(1, WHOLE, 1000))], [costly, cheap])
    assert [task.job_id for task in decided.stops] == ["saved"]
    assert not decided.placements


def test_loss_of_a_gang_counts_all_its_members():
    """Guards against a loss that counts one member when preemption stops a whole gang."""
    member = _worker("w0", running=[_running("gang", WHOLE, elapsed_s=3.0, member_count=9)])
    single = _worker("w1", running=[_running("single", WHOLE, elapsed_s=6.0)])
    decided = _plan([_unit("u", URGENT, Step(1, WHOLE, 1000))], [member, single])
    assert [task.job_id for task in decided.stops] == ["single"]


@pytest.mark.parametrize(
    ("is_guaranteed", "is_borrowing", "stops"),
    [(False, False, 0), (False, True, 0), (True, False, 0), (True, True, 1)],
)
def test_urgent_runs_are_reclaimed_only_for_a_guarantee(is_guaranteed, is_borrowing, stops):
    """Guards against urgent jobs preempting each other, and against unreclaimable guarantees."""
    running = _running("x", WHOLE, priority=0, is_borrowing=is_borrowing)
    unit = replace(_unit("u", URGENT, Step(1, WHOLE, 1000)), is_guaranteed=is_guaranteed)
    assert len(_plan([unit], [_worker("w0", running=[running])]).stops) == stops


@pytest.mark.parametrize(
    ("deadline_s", "is_guaranteed", "stops"),
    [(11.5, False, 1), (9.0, False, 1), (3.5, False, 0), (3.5, True, 1)],
    ids=["in time", "late", "without value", "guaranteed"],
)
def test_nothing_is_preempted_for_a_unit_without_value(deadline_s, is_guaranteed, stops):
    """Guards against work that is thrown away for urgent jobs that nobody waits for any more."""
    unit = _unit("u", URGENT, Step(1, WHOLE, 1000), deadline_s=deadline_s)
    unit = replace(unit, is_guaranteed=is_guaranteed)
    assert len(_plan([unit], [_worker("w0", running=[_running("x", WHOLE)])]).stops) == stops


def test_job_that_can_meet_its_target_goes_before_one_that_cannot():
    """Guards against serving late jobs first, which under overload makes every job late."""
    late = _unit("late", MODEL, Step(1, WHOLE, 5000), deadline_s=12.0)
    good = _unit("good", MODEL, Step(1, WHOLE, 5000), deadline_s=20.0)
    assert _plan([late, good], [_worker("w0")]).placements[0].unit.job_id == "good"


def test_reserved_capacity_goes_to_its_unit_once_the_victims_have_stopped():
    """Guards against another unit taking the freed capacity before the urgent unit starts."""
    running = _running("x", WHOLE, is_checkpointing=True)
    unit = _unit("u", URGENT, Step(1, WHOLE, 1000))
    decided = _plan([unit], [_worker("w0", running=[running])])
    other = _unit("o", URGENT, Step(1, WHOLE, 1000), deadline_s=1.0)
    free = FleetView(10.2, {"w0": _worker("w0")}, [other, unit], decided.reservations)
    assert [p.unit.job_id for p in plan(free).placements] == ["u"]


def test_unit_does_not_wait_for_ever_for_victims_that_do_not_stop():
    """Guards against an urgent job that waits for one worker that never confirms a stop."""
    stuck = _running("stuck", WHOLE, elapsed_s=60.0, is_stopping=True)
    workers = [_worker("w0", running=[stuck]), _worker("w1", running=[_running("other", WHOLE)])]
    unit = _unit("j", URGENT, Step(1, WHOLE, 1000))
    for until_s, stops in ((11.0, ()), (9.0, (TaskId("other", 0, 0, 0),))):
        reserved = Reservation(Placement(unit, {unit.tasks[0]: "w0"}), until_s)
        fleet = FleetView(10.0, {w.id: w for w in workers}, [unit], [reserved])
        assert plan(fleet).stops == stops


@pytest.mark.parametrize(
    ("obstacle", "is_kept"),
    [
        (Obstacle.IN_DOUBT, True),
        (Obstacle.BACKING_OFF, True),
        (Obstacle.UNRESPONSIVE, False),
        (Obstacle.DRAINING, False),
    ],
)
def test_reservation_outlasts_obstacles_that_pass(obstacle, is_kept):
    """Guards against runs that are preempted in vain because one command got no response."""
    unit = _unit("u", URGENT, Step(1, WHOLE, 1000))
    reserved = Reservation(Placement(unit, {unit.tasks[0]: "w0"}), 12.0)
    running = _running("x", WHOLE)
    workers = [_worker("w0", obstacle=obstacle), _worker("w1", running=[running])]
    fleet = FleetView(10.0, {w.id: w for w in workers}, [unit], [reserved])
    decided = plan(fleet)
    assert not decided.placements
    assert bool(decided.stops) != is_kept
    assert (reserved in decided.reservations) == is_kept


def test_unusable_and_unlabelled_workers_get_no_tasks():
    """Guards against placement on draining workers or on workers without the required label."""
    workers = [_worker("w0", obstacle=Obstacle.DRAINING), _worker("w1")]
    step = Step(1, Resources(1, 1, 1), required_label="b")
    assert not _plan([_unit("j", BATCH, step)], workers).placements


def test_no_more_tasks_of_a_step_on_a_worker_than_allowed():
    """Guards against a single worker failure that takes down all tasks of a step."""
    step = Step(3, Resources(1, 1, 1), max_per_worker=2)
    placed = _plan([_unit("j", BATCH, step)], [_worker("w0")]).placements[0]
    assert len(placed.workers) == 2


@pytest.mark.parametrize(
    ("reclaim_s", "stop_timeout_s", "limit_s"),
    [(2.7, 0.2, 1.1), (2.9, 0.4, 1.2), (10.0, 0.4, 4.75), (1.0, 0.4, 0.8)],
)
def test_reservation_leaves_time_for_other_victims(reclaim_s, stop_timeout_s, limit_s):
    """Guards against a guarantee that is missed, and victims that are given up before they stop."""
    limit = reservation_limit_s(reclaim_s, stop_timeout_s)
    assert limit == pytest.approx(limit_s)
    workers = [_worker("w0", running=[_running("a", WHOLE, priority=2)])]
    view = FleetView(10.0, {"w0": workers[0]}, [_unit("j", URGENT, Step(1, WHOLE, 1000))])
    decided = plan(replace(view, reservation_limit_s=limit))
    assert [r.until_s for r in decided.reservations] == [10.0 + limit]


def test_protected_lasting_tasks_are_never_preempted():
    """Guards against a service outage that the scheduler itself causes by preemption."""
    workers = [_worker("w0", running=[_running("a", WHOLE, is_protected=True)])]
    assert not _plan([_unit("j", URGENT, Step(1, WHOLE, 1000))], workers).stops


def test_filling_tasks_are_not_placed_beside_serving_tasks():
    """Guards against filling tasks that push serving tasks over their latency target."""
    small = Resources(0, 1000, 1)
    serving = _worker("w0", running=[_running("a", small, is_serving=True)])
    fill = Step(2, small, 1000, is_filling=True)
    placed = _plan([_unit("j", BATCH, fill)], [serving, _worker("w1")]).placements[0]
    assert set(placed.workers.values()) == {"w1"}
    serve = Step(1, small, 1000, is_serving=True, is_lasting=True)
    units = [_unit("j", URGENT, fill), _unit("k", MODEL, serve)]
    chosen = {
        p.unit.job_id: set(p.workers.values()) for p in _plan(units, [_worker("w0")]).placements
    }
    assert chosen == {"j": {"w0"}}


def test_step_with_advice_runs_only_at_allowed_workers():
    """Guards against a start that the worker rejects because the unit has no ticket."""
    workers = [_worker("w0"), _worker("w1")]
    unit = _unit("j", MODEL, Step(1, WHOLE, 1000))
    assert not _plan([replace(unit, allowed=frozenset())], workers).placements
    placed = _plan([replace(unit, allowed=frozenset({"w1"}))], workers).placements[0]
    assert set(placed.workers.values()) == {"w1"}


def test_wait_of_a_step_is_explained_by_what_keeps_it_off_each_worker():
    """Guards against a wait of which nobody can tell whether room or another reason causes it."""
    workers = [
        _worker("w0", obstacle=Obstacle.OLD_REPORT),
        _worker("w1", running=[_running("x", WHOLE, priority=1)]),
        _worker("w2", running=[_running("g", Resources(1, 1, 1))], has_suspect=True),
        replace(_worker("w3"), labels=frozenset({"b"})),
        _worker("w4"),
        _worker("w5", pool="other"),
    ]
    step = Step(2, WHOLE, 3000, is_gang=True, required_label="a")
    unit = replace(_unit("g", MODEL, step), is_suspect=True)
    view = FleetView(10.0, {w.id: w for w in workers}, [unit], explained={unit.key})
    wait = plan(view).waits[0]
    assert (wait.unit, wait.fitting_tasks) == (unit, 1)
    assert wait.obstacles == {
        Obstacle.OLD_REPORT: 1,
        Obstacle.ROOM: 1,
        Obstacle.SUSPECT: 1,
        Obstacle.LABEL: 1,
    }


@pytest.mark.parametrize(
    ("step", "possible"),
    [
        (Step(4, WHOLE, 1000, is_gang=True), 3),
        (Step(4, WHOLE, 1000, is_gang=True, max_per_worker=1), 3),
        (Step(9, Resources(0, 0, 4), 1000, is_gang=True, max_per_worker=2), 6),
        (Step(1, Resources(0, 0, 9), 1000), 0),
        (Step(1, WHOLE, 1000, required_label="b"), 0),
        (Step(2, Resources(0, 0, 9), 1000, is_gang=True), 0),
    ],
)
def test_step_that_no_listed_workers_can_serve_is_reported(caplog_events, step, possible):
    """Guards against a job that waits without anybody being told that it cannot run."""
    busy = [_worker(f"w{n}", running=[_running("x", WHOLE)]) for n in range(3)]
    workers = [*busy, _worker("w9", pool="other")]
    unit = _unit("j", BATCH, step)
    view = FleetView(10.0, {w.id: w for w in workers}, [unit], explained={unit.key})
    (wait,) = plan(view).waits
    assert (wait.possible_tasks, wait.is_unservable) == (possible, True)
    waits = WaitLog()
    waits.select([unit], 10.0)
    for _ in range(3):
        waits.record([], [wait], 12.0)
    assert [e["event"] for e in caplog_events].count("FW1641") == waits.unservable_count == 1
    waits.record([], [replace(wait, possible_tasks=len(unit.tasks))], 14.0)
    assert waits.unservable_count == 0
    assert caplog_events[-1]["event"] == "FW1642"


@pytest.mark.parametrize(
    "step",
    [
        Step(3, WHOLE, 1000, is_gang=True),
        Step(9, WHOLE, 1000),
        Step(1, WHOLE, 1000, required_label="a"),
    ],
)
def test_step_that_waits_for_room_is_not_reported_as_unservable(step):
    """Guards against an alarm for each job that waits in a busy pool."""
    workers = [_worker(f"w{n}", running=[_running("x", WHOLE)]) for n in range(3)]
    workers[0] = replace(workers[0], obstacle=Obstacle.UNRESPONSIVE)
    unit = _unit("j", BATCH, step)
    view = FleetView(10.0, {w.id: w for w in workers}, [unit], explained={unit.key})
    assert not plan(view).waits[0].is_unservable


def test_explanations_of_a_wait_are_rare():
    """Guards against a line in each of the plans, of which several are made in a second."""
    waits, unit = WaitLog(), _unit("j", MODEL, Step(1, WHOLE))
    use = PoolUse(CAPACITY, CAPACITY)
    due = []
    for tenth in range(70):
        if tenth == 45:
            waits.record([unit.key], [], 4.5)
        selected = waits.select([unit], tenth / 10)
        waits.record([], [Wait(unit, {}, 0, use, 1)] if selected else [], tenth / 10)
        due += [tenth] * len(selected)
    assert due == [20, 40, 65]
