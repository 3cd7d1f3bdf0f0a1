"""Workers that crash together, and the tasks that were on them."""

from __future__ import annotations

import time
from dataclasses import replace

import anyio
import pytest

from controller_harness import (
    LATER,
    Deployment,
    evidence_against,
    job_id,
    make_deployment,
    step,
    until,
)
from foxtailwell.workflows import (
    CrashRecord,
    EndKind,
    Failure,
    JobState,
    LostRun,
    Resources,
    TaskId,
    is_given_up,
    judge_crash,
    may_coincide,
)
from foxtailwell_standins.platform_worker import GangCoordinator

pytestmark = pytest.mark.anyio

ENDLESS = float("inf")
WHOLE = Resources(10_000, 10_000, 8)


@pytest.fixture
async def fleet(group) -> Deployment:
    """Return a deployment of six workers that send heartbeats, and whose runs go on."""
    deployment = make_deployment(group, 6, task_duration_s=ENDLESS)
    group.start_soon(deployment.send_heartbeats)
    return deployment


def crash_all(fleet: Deployment) -> None:
    """Crash all workers at the same moment."""
    for worker in fleet.workers.values():
        worker.crash()


def let_runs_end(fleet: Deployment) -> None:
    """Let all runs end soon after their starts."""
    for worker in fleet.workers.values():
        worker.task_duration_s = 0.1


async def runs_everywhere(fleet: Deployment, count: int) -> bool:
    """Return whether the workers get to run so many tasks in all."""
    return await until(lambda: sum(len(w.running) for w in fleet.workers.values()) == count, 6.0)


@pytest.mark.parametrize("run_s", [0.1, 0.7, 1.4])
async def test_job_whose_workers_crash_together_again_and_again_completes(fleet, run_s):
    """Guards against jobs that fail because several crashes of all workers count against them."""
    fleet.start("one")
    jobs = [await fleet.submit(n, LATER, [step(4)]) for n in range(1, 5)]
    for _ in range(5):
        assert await runs_everywhere(fleet, 16)
        await anyio.sleep(run_s)
        crash_all(fleet)
    let_runs_end(fleet)
    for job in jobs:
        assert await fleet.reaches(job, JobState.COMPLETED, 8.0)


async def test_job_whose_workers_crash_together_at_each_handover_completes(fleet):
    """Guards against crashes of all workers that each new controller counts once more."""
    instance = fleet.start("one")
    jobs = [await fleet.submit(n, LATER, [step(4)]) for n in range(1, 3)]
    for _ in range(5):
        assert await runs_everywhere(fleet, 8)
        instance.kill()
        crash_all(fleet)
        instance = fleet.start("one")
    let_runs_end(fleet)
    for job in jobs:
        assert await fleet.reaches(job, JobState.COMPLETED, 8.0)


async def test_task_that_crashes_every_worker_is_given_up_beside_common_crashes(fleet):
    """Guards against common crashes that excuse a task which crashes its workers by itself."""
    task = f"{job_id(9)}.0.0.0"
    fleet.start("one")
    jobs = [await fleet.submit(n, LATER, [step(4)]) for n in range(1, 4)]
    assert await runs_everywhere(fleet, 12)
    crash_all(fleet)
    assert await runs_everywhere(fleet, 12)
    for worker in fleet.workers.values():
        worker.faults = replace(worker.faults, fatal_tasks=frozenset({task}))
    fatal = await fleet.submit(9, LATER, [step()])
    for _ in range(3):
        await anyio.sleep(1.6)
        crash_all(fleet)
    assert await fleet.reaches(fatal, JobState.FAILED, 8.0)
    assert len(fleet.runs(task)) <= 5
    let_runs_end(fleet)
    for job in jobs:
        assert await fleet.reaches(job, JobState.COMPLETED, 8.0)


async def test_start_that_another_incarnation_rejects_is_no_evidence(fleet):
    """Guards against a run that has never begun and counts as the cause of a crash."""
    fleet.start("one")
    first = await fleet.submit(1, LATER, [step()])
    assert await runs_everywhere(fleet, 1)
    for worker in fleet.workers.values():
        worker.faults.is_replaced, worker.faults.start_delay_s = True, 0.4
    job = await fleet.submit(2, LATER, [step()])
    rejected = [w.commands for w in fleet.workers.values()]
    assert await until(lambda: sum(map(len, rejected)) >= 4, 8.0)
    assert not evidence_against(fleet, job)
    for worker in fleet.workers.values():
        worker.faults.is_replaced, worker.faults.start_delay_s = False, 0.0
    let_runs_end(fleet)
    assert await fleet.reaches(job, JobState.COMPLETED, 6.0)
    assert await fleet.reaches(first, JobState.COMPLETED, 6.0)
    assert len(fleet.runs(f"{job}.0.0.0")) == 1


async def crash_after_start(fleet: Deployment, after_s: float) -> None:
    """Crash each worker a time after the start of any run on it."""
    while True:
        now_s = time.monotonic()
        for worker in fleet.workers.values():
            if any(now_s - r.span.started_s >= after_s for r in worker.running.values()):
                worker.crash()
        await anyio.sleep(0.005)


@pytest.mark.parametrize("after_s", [0.01, 0.7, 1.5])
async def test_job_whose_tasks_crash_their_workers_at_the_same_age_fails(group, fleet, after_s):
    """Guards against tasks of one step that excuse each other because they behave alike."""
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step(2, request=WHOLE)])
    group.start_soon(crash_after_start, fleet, after_s)
    assert await fleet.reaches(job, JobState.FAILED, 20.0)
    assert max(len(fleet.runs(f"{job}.0.0.{index}")) for index in range(2)) <= 5


async def test_gang_that_completes_while_a_crash_of_its_worker_is_judged(group):
    """Guards against a judgement on a task whose job is no longer in the registry."""
    gangs = GangCoordinator({f"{job_id(1)}.0.0": 2})
    fleet = make_deployment(group, 3, task_duration_s=ENDLESS, gangs=gangs)
    group.start_soon(fleet.send_heartbeats)
    instance = fleet.start("one")
    job = await fleet.submit(1, LATER, [step(2, request=WHOLE, is_gang=True)])
    assert await runs_everywhere(fleet, 2)
    await anyio.sleep(0.2)
    first = fleet.holder_of(f"{job}.0.0.0")
    second = fleet.holder_of(f"{job}.0.0.1")
    idle = next(w for w in fleet.workers.values() if w not in (first, second))
    second.faults.listing_delay_s = 0.7
    await anyio.sleep(1.0)
    # Nothing is known of the other workers until the judgement is due.
    fleet.withdrawn |= {second.id, idle.id}
    first.end(f"{job}.0.0.0", EndKind.DONE)
    first.crash()
    assert await fleet.reaches(job, JobState.COMPLETED, 6.0)
    await anyio.sleep(2.5)
    assert instance.leadership.is_controller
    fleet.withdrawn.clear()
    second.faults.listing_delay_s = 0.0
    for worker in fleet.workers.values():
        worker.task_duration_s = 0.1
    later = await fleet.submit(2, LATER, [step()])
    assert await fleet.reaches(later, JobState.COMPLETED, 3.0)


async def test_job_that_two_crashes_soon_after_its_starts_interrupt_completes(fleet):
    """Guards against a job that fails because its workers crashed twice for other causes."""
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    task = f"{job}.0.0.0"
    for number in range(2):
        assert await until(lambda count=number + 1: len(fleet.runs(task)) == count)
        await anyio.sleep(0.35)
        fleet.holder_of(task).crash()
    assert await until(lambda: len(fleet.runs(task)) == 3)
    let_runs_end(fleet)
    assert await fleet.reaches(job, JobState.COMPLETED)


def lost_run(number: int, silent_after_s: float, *, is_blamed: bool = False) -> LostRun:
    """Return a confirmed run of its own job, by the time from its start to the silence."""
    task = TaskId(job_id(number), 0, 0, 0)
    return LostRun(task, silent_after_s, silent_after_s, is_blamed, is_on_probation=is_blamed)


def failure(number: int, *runs: LostRun, alive_s: float = 9.0, silent_s: float = 10.0) -> Failure:
    """Return a worker that failed between the two times."""
    return Failure(f"w{number}", alive_s, silent_s, runs)


def silence(number: int) -> Failure:
    """Return an idle worker that is silent and may have failed."""
    return replace(failure(number), is_crash=False)


FRESH, EARLIER, OLD, SUDDEN = 0.1, 1.2, 30.0, 0.01


@pytest.mark.parametrize(
    ("after_s", "others", "weight"),
    [
        pytest.param(FRESH, [], 2, id="alone"),
        pytest.param(EARLIER, [], 1, id="alone, some time after the start"),
        pytest.param(FRESH, [failure(2, lost_run(2, OLD))], 0, id="beside an old run"),
        pytest.param(EARLIER, [failure(2, lost_run(2, OLD))], 0, id="later, beside an old run"),
        pytest.param(FRESH, [failure(2)], 0, id="beside an idle worker"),
        pytest.param(FRESH, [silence(2)], 1, id="beside a silent worker"),
        pytest.param(FRESH, [silence(2), silence(3)], 0, id="beside several silent workers"),
        pytest.param(FRESH, [failure(2, lost_run(2, EARLIER))], 0, id="beside an earlier start"),
        pytest.param(FRESH, [failure(2, lost_run(2, FRESH))], 1, id="beside a fresh start"),
        pytest.param(SUDDEN, [failure(2, lost_run(2, OLD))], 1, id="sudden, beside an old run"),
        pytest.param(
            FRESH, [failure(2, lost_run(2, OLD, is_blamed=True))], 1, id="beside a suspect"
        ),
        pytest.param(
            FRESH,
            [failure(2, lost_run(2, FRESH)), failure(3, lost_run(3, OLD))],
            0,
            id="beside a fresh start and an old run",
        ),
    ],
)
def test_weight_of_a_crash_depends_on_what_explains_the_others(after_s, others, weight):
    """Guards against a common cause that is blamed on the tasks it has struck."""
    run = lost_run(1, after_s)
    assert judge_crash(failure(1, run), others) == {run.task: weight}


@pytest.mark.parametrize(
    ("alive_s", "silent_s", "expected"),
    [(9.0, 10.0, True), (5.0, 30.0, True), (9.95, 12.0, True), (10.5, 12.0, False)],
)
def test_worker_that_lived_on_has_not_failed_at_the_same_moment(alive_s, silent_s, expected):
    """Guards against separate crashes that excuse each other because they are close in time."""
    crash, other = failure(1), failure(2, alive_s=alive_s, silent_s=silent_s)
    assert may_coincide(crash, other) is expected
    assert may_coincide(other, crash) is expected


def test_crashes_without_weight_never_give_up_a_task():
    """Guards against any number of common crashes that end a job."""
    assert not is_given_up([CrashRecord(run, 0, 1500, True) for run in range(1, 100)])
