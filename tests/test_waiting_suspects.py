"""Waits of suspects, and of work beside them, while most of their pool is free."""

from __future__ import annotations

from dataclasses import replace

import pytest

from controller_harness import LATER, Deployment, job_id, make_deployment, step, until
from foxtailwell.workflows import (
    FleetView,
    JobState,
    Obstacle,
    Resources,
    RunningTask,
    SchedulingUnit,
    TaskId,
    WorkerView,
    plan,
)

pytestmark = pytest.mark.anyio

CAPACITY = Resources(128_000, 262_144, 8)
HALF = Resources(10_000, 10_000, 4)
SUSPECT = {"is_suspect": True}
KEPT_ALONE = {"is_suspect": True, "is_kept_alone": True}
GANG = step(3, is_gang=True)
SMALL = Resources(1000, 1000, 1)
BESIDE_SUSPECT = {"has_suspect": True}
BESIDE_KEPT_ALONE = {"has_suspect": True, "obstacle": Obstacle.KEPT_ALONE}


def unit_of(number: int, waiting, waited_s: float, **flags) -> SchedulingUnit:
    """Return all tasks of a step that has waited since its last run."""
    tasks = tuple(TaskId(job_id(number), 0, 0, index) for index in range(waiting.count))
    unit = SchedulingUnit(job_id(number), 0, 0, waiting, LATER, "acme", tasks, 0.0, 100.0)
    return replace(unit, queued_since_s=10.0 - waited_s, **flags)


def worker_of(name: str, request: Resources = SMALL, **fields) -> WorkerView:
    """Return a worker on which a run occupies the given resources."""
    run = RunningTask(TaskId(name, 0, 0, 0), request, 2, 5.0, False, False)
    return WorkerView(name, "pool", "a", "r1", frozenset({"a"}), CAPACITY, (run,), **fields)


def placed_on(unit: SchedulingUnit, *workers: WorkerView) -> list[str]:
    """Return the workers on which a plan places the tasks of the unit."""
    decided = plan(FleetView(10.0, {worker.id: worker for worker in workers}, [unit]))
    return [worker for p in decided.placements for worker in p.workers.values()]


@pytest.mark.parametrize(
    ("waiting", "flags", "beside"),
    [
        (step(), SUSPECT, BESIDE_SUSPECT),
        (step(is_lasting=True), SUSPECT, BESIDE_SUSPECT),
        (GANG, SUSPECT, BESIDE_SUSPECT),
        (step(), {}, BESIDE_KEPT_ALONE),
        (GANG, {}, BESIDE_KEPT_ALONE),
    ],
)
def test_wait_for_a_worker_without_a_suspect_is_bounded(waiting, flags, beside):
    """Guards against work that waits as long as a suspect is on probation in an idle pool."""
    idle = [worker_of(f"w{n}", **beside) for n in range(3)]
    assert not placed_on(unit_of(1, waiting, 1.0, **flags), *idle)
    for used in (Resources(80_000), Resources(0, 150_000), Resources(0, 0, 5)):
        busy = [worker_of(f"w{n}", used, **beside) for n in range(3)]
        assert not placed_on(unit_of(1, waiting, 3.0, **flags), *busy)
    assert len(placed_on(unit_of(1, waiting, 3.0, **flags), *idle)) == waiting.count


def test_unit_that_may_join_suspects_prefers_workers_without_one():
    """Guards against a suspect that joins another one although a worker has none."""
    workers = [worker_of("w0", **BESIDE_SUSPECT), worker_of("w1", HALF)]
    assert placed_on(unit_of(1, step(), 3.0, **SUSPECT), *workers) == ["w1"]
    workers = [worker_of("w0", **BESIDE_KEPT_ALONE), worker_of("w1", fault_score=1.0)]
    assert placed_on(unit_of(1, step(), 3.0), *workers) == ["w1"]


@pytest.mark.parametrize(
    ("flags", "beside"),
    [
        (KEPT_ALONE, BESIDE_SUSPECT),
        (KEPT_ALONE, BESIDE_KEPT_ALONE),
        (SUSPECT, BESIDE_KEPT_ALONE),
        (SUSPECT, {"has_suspect": True, "obstacle": Obstacle.UNRESPONSIVE}),
    ],
)
def test_suspects_that_are_kept_alone_are_never_joined(flags, beside):
    """Guards against innocent suspects that joint crashes give up together with the cause."""
    assert not placed_on(unit_of(1, step(), 9.0, **flags), worker_of("w0", **beside))


def test_suspects_that_one_plan_starts_do_not_join_one_that_is_kept_alone():
    """Guards against a suspect that starts together with one that has to be alone."""
    alone = unit_of(1, step(), 9.0, **KEPT_ALONE)
    other = replace(unit_of(2, step(), 9.0, **SUSPECT), deadline_s=200.0)
    decided = plan(FleetView(10.0, {"w0": worker_of("w0")}, [alone, other]))
    assert [placement.unit.job_id for placement in decided.placements] == [alone.job_id]


def test_suspects_and_other_units_of_one_plan_join_different_workers():
    """Guards against workers that are cached for one unit and not allowed for the next."""
    for first, second in ((50.0, 100.0), (100.0, 50.0)):
        suspect = replace(unit_of(1, step(), 3.0, **SUSPECT), deadline_s=first)
        other = replace(unit_of(2, step(), 3.0), deadline_s=second)
        view = FleetView(10.0, {"w0": worker_of("w0", **BESIDE_KEPT_ALONE)}, [suspect, other])
        assert [p.unit.job_id for p in plan(view).placements] == [other.job_id]


@pytest.fixture
async def fleet(group) -> Deployment:
    """Return a deployment of two workers whose runs go on until the test ends."""
    deployment = make_deployment(group, 2, task_duration_s=float("inf"))
    group.start_soon(deployment.send_heartbeats)
    deployment.start("one")
    return deployment


def running_count(fleet: Deployment) -> int:
    """Return the number of runs on all workers."""
    return sum(len(worker.running) for worker in fleet.workers.values())


async def crash_after(fleet: Deployment, run_count: int, lasted_s: float) -> None:
    """Crash the fullest worker once so many runs have lasted for the given time."""
    assert await until(lambda: running_count(fleet) == run_count)
    assert not await until(lambda: running_count(fleet) != run_count, lasted_s)
    max(fleet.workers.values(), key=lambda worker: len(worker.running)).crash()
    assert await until(lambda: running_count(fleet) < run_count)


@pytest.mark.parametrize(
    "waiting",
    [step(), step(is_lasting=True), step(2, is_gang=True)],
    ids=["task", "lasting", "gang"],
)
async def test_suspects_of_one_crash_run_again_soon(fleet, waiting):
    """Guards against suspects of a full worker that run one after the other in an idle pool."""
    job_count = 6 // waiting.count
    for number in range(job_count):
        await fleet.submit(number, LATER, [waiting])
    await crash_after(fleet, 6, 3.0)
    assert await until(lambda: running_count(fleet) == 6, 3.6)


async def test_other_work_does_not_wait_for_the_end_of_a_long_probation(group):
    """Guards against work that waits until a suspect has outlasted a long earlier run."""
    fleet = make_deployment(group, 1, task_duration_s=float("inf"))
    group.start_soon(fleet.send_heartbeats)
    fleet.start("one")
    await fleet.submit(1, LATER, [step()])
    await crash_after(fleet, 1, 3.0)
    await crash_after(fleet, 1, 0.8)
    assert await until(lambda: running_count(fleet) == 1)
    await fleet.submit(2, LATER, [step()])
    assert not await until(lambda: running_count(fleet) == 2, 1.5)
    assert await until(lambda: running_count(fleet) == 2, 1.5)


async def test_crashing_task_among_joint_suspects_is_given_up_alone(fleet):
    """Guards against other suspects that fail because they shared workers with the cause."""
    jobs = [await fleet.submit(number, LATER, [step()]) for number in range(6)]
    await crash_after(fleet, 6, 3.0)
    task = f"{jobs[5]}.0.0.0"
    for worker in fleet.workers.values():
        worker.faults = replace(worker.faults, fatal_tasks=frozenset({task}))
    assert await fleet.reaches(jobs[5], JobState.FAILED, 20.0)
    assert len(fleet.runs(task)) <= 5
    for worker in fleet.workers.values():
        worker.task_duration_s = 0.3
    for job in jobs[:5]:
        assert await fleet.reaches(job, JobState.COMPLETED, 20.0)
