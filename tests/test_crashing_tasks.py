"""Tasks that crash every worker that starts them, and tasks that only shared such a worker."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from controller_harness import (
    LATER,
    Deployment,
    evidence_against,
    job_id,
    make_deployment,
    step,
    until,
)
from foxtailwell.controller._records import decode_progress, encode_progress
from foxtailwell.workflows import (
    CrashRecord,
    FleetView,
    JobProgress,
    JobState,
    LostRun,
    Resources,
    SchedulingUnit,
    TaskId,
    TaskProgress,
    WorkerView,
    is_given_up,
    is_kept_alone,
    plan,
    weigh_crash,
)

pytestmark = pytest.mark.anyio

WHOLE = Resources(10_000, 10_000, 8)
FATAL_TASK = f"{job_id(1)}.0.0.0"


@pytest.fixture
async def fleet(group) -> Deployment:
    """Return a deployment of six workers that send heartbeats."""
    deployment = make_deployment(group, 6, task_duration_s=0.3)
    group.start_soon(deployment.send_heartbeats)
    return deployment


@pytest.fixture
async def small_fleet(group) -> Deployment:
    """Return a deployment of one worker, which `FATAL_TASK` crashes."""
    deployment = make_deployment(group, 1, task_duration_s=0.3)
    group.start_soon(deployment.send_heartbeats)
    make_fatal(deployment, FATAL_TASK)
    return deployment


def make_fatal(deployment: Deployment, *tasks: str) -> None:
    """Let the given tasks crash every worker that starts them."""
    for worker in deployment.workers.values():
        worker.faults = replace(worker.faults, fatal_tasks=frozenset(tasks))


def run_endlessly(deployment: Deployment) -> None:
    """Let the runs on all workers go on until the test ends them."""
    for worker in deployment.workers.values():
        worker.task_duration_s = float("inf")


async def test_task_that_crashes_every_worker_is_given_up(fleet):
    """Guards against a task that crashes one worker after the other without a limit."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    assert await fleet.reaches(job, JobState.FAILED)
    assert len(fleet.runs(task)) == 2


async def test_slow_store_does_not_excuse_a_task_that_crashes_every_worker(group, fleet):
    """Guards against the time of a start that is only taken once the store has answered."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    instance = fleet.start("one")
    assert await until(lambda: instance.leadership.is_controller)

    async def submit_others() -> None:
        for number in range(2, 90):
            await fleet.submit(number, LATER, [step()])
            await anyio.sleep(0.1)

    group.start_soon(submit_others)
    instance.faults.write_delay_s = 0.7
    job = await fleet.submit(1, LATER, [step()])
    assert await fleet.reaches(job, JobState.FAILED, 8.0)
    assert len(fleet.runs(task)) == 2


async def test_lasting_task_that_crashes_every_worker_is_given_up(fleet):
    """Guards against the exemption of lasting tasks from the limit of attempts."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step(is_lasting=True)])
    assert await fleet.reaches(job, JobState.FAILED)
    assert len(fleet.runs(task)) == 2


async def test_replaced_workers_count_as_crashed(fleet):
    """Guards against crashed workers that return under another identifier at their address."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    for number in range(2):
        assert await until(lambda count=number + 1: len(fleet.runs(task)) == count)
        crashed = fleet.workers[fleet.runs(task)[-1][0]]
        crashed.faults.is_replaced = True
        fleet.store.delete(f"servers/{crashed.id}")
        fleet.withdrawn.add(crashed.id)
    assert await fleet.reaches(job, JobState.FAILED)
    assert len(fleet.runs(task)) == 2


async def crashed_worker(fleet, task, run_count):
    """Wait until a fatal task has started so often, and return the worker of its newest run."""
    assert await until(lambda: len(fleet.runs(task)) == run_count)
    worker, _ = max(fleet.runs(task), key=lambda started: started[1])
    return fleet.workers[worker]


async def test_worker_that_drains_after_its_crash_counts_as_crashed(fleet):
    """Guards against the departure of the next incarnation that excuses the crash of the former."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    for number in range(2):
        crashed = await crashed_worker(fleet, task, number + 1)
        fleet.withdrawn.add(crashed.id)
        fleet.publish(crashed, is_ready=False)
    assert await fleet.reaches(job, JobState.FAILED)
    assert len(fleet.runs(task)) == 2


async def test_worker_that_leaves_after_its_crash_counts_as_crashed(fleet):
    """Guards against the removal of the next incarnation that excuses the crash of the former."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    for worker in fleet.workers.values():
        worker.faults.crash_s = 1.0
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    for number in range(2):
        crashed = await crashed_worker(fleet, task, number + 1)
        fleet.withdrawn.add(crashed.id)
        fleet.publish(crashed, is_ready=False)
        await anyio.sleep(0.3)
        fleet.store.delete(f"servers/{crashed.id}")
    assert await fleet.reaches(job, JobState.FAILED)
    assert len(fleet.runs(task)) == 2


async def test_crashes_count_across_a_change_of_the_controller(fleet):
    """Guards against evidence that is lost with the controller that collected it."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    first = fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    assert await until(lambda: len(fleet.runs(task)) == 2)
    assert evidence_against(fleet, job)
    first.kill()
    fleet.start("one")
    assert await fleet.reaches(job, JobState.FAILED, 6.0)
    assert len(fleet.runs(task)) == 3


# After an absence of 0.3 s the next controller finds the worker already back.
@pytest.mark.parametrize(("absence_s", "limit_s"), [(0.0, 3.0), (0.3, 2.8)])
async def test_task_is_given_up_although_each_crash_ends_the_term_of_the_controller(
    fleet, absence_s, limit_s
):
    """Guards against crashes that no controller has seen from the start of the run."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    instance = fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    for number in range(4):
        assert await until(lambda count=number + 1: len(fleet.runs(task)) == count, limit_s)
        instance.kill()
        await anyio.sleep(absence_s)
        instance = fleet.start("one")
    assert await fleet.reaches(job, JobState.FAILED, limit_s)
    assert len(fleet.runs(task)) == 4


async def test_tasks_beside_a_crashing_task_complete(fleet):
    """Guards against jobs that fail because they shared a worker with the cause of its crash."""
    task = f"{job_id(9)}.0.0.0"
    make_fatal(fleet, task)
    fleet.start("one")
    innocent = [await fleet.submit(number, LATER, [step(3)]) for number in range(1, 9)]
    fatal = await fleet.submit(9, LATER, [step()])
    assert await fleet.reaches(fatal, JobState.FAILED, 6.0)
    for job in innocent:
        assert await fleet.reaches(job, JobState.COMPLETED, 6.0)
    assert len(fleet.runs(task)) <= 4


async def test_crashing_task_of_a_larger_step_is_told_from_the_others(fleet):
    """Guards against a crash that hides behind the other tasks of the same job."""
    task = f"{job_id(1)}.0.0.5"
    make_fatal(fleet, task)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step(12)])
    assert await fleet.reaches(job, JobState.FAILED, 6.0)
    assert len(fleet.runs(task)) <= 4


async def test_gang_with_a_crashing_member_is_given_up(fleet):
    """Guards against a gang that restarts as a whole and crashes a worker each time."""
    task = f"{job_id(1)}.0.0.1"
    make_fatal(fleet, task)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step(3, is_gang=True, request=WHOLE)])
    assert await fleet.reaches(job, JobState.FAILED, 6.0)
    assert len(fleet.runs(task)) <= 4
    assert await until(lambda: not any(w.running for w in fleet.workers.values()))


async def test_several_crashing_tasks_at_once_take_few_workers(fleet):
    """Guards against crashes that excuse each other because they happen at the same time."""
    tasks = [f"{job_id(number)}.0.0.0" for number in range(1, 5)]
    make_fatal(fleet, *tasks)
    fleet.start("one")
    jobs = [await fleet.submit(number, LATER, [step(request=WHOLE)]) for number in range(1, 5)]
    for job in jobs:
        assert await fleet.reaches(job, JobState.FAILED, 8.0)
    assert all(len(fleet.runs(task)) <= 4 for task in tasks)


async def test_delayed_start_that_crashes_its_worker_counts(small_fleet):
    """Guards against crashes by starts that got no response and took effect later."""
    worker, task = small_fleet.workers["w0"], FATAL_TASK
    worker.faults.delayed_starts = 1000
    worker.faults.is_losing_stops = True
    small_fleet.start("one")
    job = await small_fleet.submit(1, LATER, [step()])
    assert await until(lambda: worker.faults.delayed_starts < 998)
    worker.faults.delayed_starts = 0
    worker.apply_delayed()
    assert small_fleet.runs(task) == [("w0", 1)]
    worker.faults.is_losing_stops = False
    assert await until(lambda: bool(evidence_against(small_fleet, job)))
    assert await small_fleet.reaches(job, JobState.FAILED, 6.0)
    assert len(small_fleet.runs(task)) <= 4


async def test_start_is_not_repeated_after_the_crash_that_it_caused(small_fleet):
    """Guards against a repeated start that crashes the next incarnation of its worker as well."""
    worker, task = small_fleet.workers["w0"], FATAL_TASK
    worker.faults.crash_s = 0.05
    worker.faults.lost_start_responses, worker.faults.response_timeout_s = 9, 0.5
    small_fleet.start("one")
    job = await small_fleet.submit(1, LATER, [step()])
    assert await small_fleet.reaches(job, JobState.FAILED, 20.0)
    started = [run for _, run in small_fleet.runs(task)]
    assert len(started) == len(set(started)) <= 4


async def test_silent_worker_is_no_evidence_against_its_tasks(fleet):
    """Guards against work that is given up because its workers were only unreachable."""
    fleet.start("one", lease_ms=600)
    job = await fleet.submit(1, LATER, [step(estimate_ms=60_000)])
    task = f"{job}.0.0.0"
    run_endlessly(fleet)
    for number in range(2):
        assert await until(lambda count=number + 1: len(fleet.runs(task)) == count, 6.0)
        fleet.workers[fleet.runs(task)[-1][0]].faults.is_unreachable = True
    assert await until(lambda: len(fleet.runs(task)) == 3, 6.0)
    assert not evidence_against(fleet, job)


async def test_announced_departure_is_no_evidence_against_tasks(fleet):
    """Guards against work that is given up because its workers left as planned."""
    run_endlessly(fleet)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    task = f"{job}.0.0.0"
    for number in range(2):
        assert await until(lambda count=number + 1: len(fleet.runs(task)) == count)
        holder = fleet.workers[fleet.runs(task)[-1][0]]
        fleet.withdrawn.add(holder.id)
        fleet.publish(holder, is_ready=False)
        await anyio.sleep(0.4)
        holder.crash()
    assert await until(lambda: len(fleet.runs(task)) == 3)
    assert not evidence_against(fleet, job)


async def test_common_crash_of_workers_is_no_evidence_against_long_running_tasks(fleet):
    """Guards against work that is given up after power failures of several workers."""
    run_endlessly(fleet)
    for worker in fleet.workers.values():
        worker.faults.crash_s = 1.2
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step(4, request=WHOLE)])
    assert await until(lambda: sum(len(w.running) for w in fleet.workers.values()) == 4)
    await anyio.sleep(3.2)
    for worker in fleet.workers.values():
        worker.crash()
    assert await until(lambda: sum(len(w.running) for w in fleet.workers.values()) == 4)
    assert not evidence_against(fleet, job)


async def test_job_that_two_crashes_of_other_causes_interrupt_completes(fleet):
    """Guards against a job that fails because its workers crashed some time after its starts."""
    run_endlessly(fleet)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    task = f"{job}.0.0.0"
    for number in range(2):
        assert await until(lambda count=number + 1: len(fleet.runs(task)) == count)
        await anyio.sleep(0.8)
        fleet.holder_of(task).crash()
    assert await until(lambda: len(fleet.runs(task)) == 3)
    for worker in fleet.workers.values():
        worker.task_duration_s = 0.3
    assert await fleet.reaches(job, JobState.COMPLETED)


async def test_crash_of_several_workers_keeps_no_worker_from_other_work(group):
    """Guards against a power failure after which each interrupted task blocks a worker."""
    fleet = make_deployment(group, 2)
    group.start_soon(fleet.send_heartbeats)
    for worker in fleet.workers.values():
        worker.faults.crash_s = 1.2
    fleet.start("one")
    jobs = [await fleet.submit(n, LATER, [step(request=WHOLE)]) for n in (1, 2)]
    assert await until(lambda: sum(len(w.running) for w in fleet.workers.values()) == 2)
    await anyio.sleep(0.8)
    for worker in fleet.workers.values():
        worker.crash()
    await fleet.submit(3, LATER, [step(14)])
    for worker in fleet.workers.values():
        worker.capacity = Resources(128_000, 262_144, 16)
    assert await until(lambda: sum(len(w.running) for w in fleet.workers.values()) == 16)
    assert all(evidence_against(fleet, job) for job in jobs)


async def test_suspect_that_survives_its_probation_is_cleared(fleet):
    """Guards against evidence from two coincidences far apart that ends an innocent job."""
    run_endlessly(fleet)
    fleet.start("one", lease_ms=2000)
    job = await fleet.submit(1, LATER, [step()])
    task = f"{job}.0.0.0"
    assert await until(lambda: any(task in w.running for w in fleet.workers.values()))
    fleet.holder_of(task).crash()
    assert await until(lambda: bool(evidence_against(fleet, job)))
    assert await until(lambda: not evidence_against(fleet, job), 5.0)


async def test_nothing_starts_beside_a_suspect_on_probation(fleet):
    """Guards against further work that is lost when a suspect crashes its next worker."""
    run_endlessly(fleet)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    task = f"{job}.0.0.0"
    assert await until(lambda: any(task in w.running for w in fleet.workers.values()))
    fleet.holder_of(task).crash()
    assert await until(lambda: len(fleet.runs(task)) == 2)
    await fleet.submit(2, LATER, [step(48)])
    assert await until(lambda: sum(len(w.running) for w in fleet.workers.values()) == 41)
    assert list(fleet.holder_of(task).running) == [task]


def test_suspect_does_not_join_what_the_same_plan_starts():
    """Guards against work that starts together with a suspect and is lost by its next crash."""
    units = [
        SchedulingUnit(
            job_id(n), 0, 0, step(), LATER, "acme", (TaskId(job_id(n), 0, 0, 0),), 0.0, 90.0 + n
        )
        for n in (1, 2)
    ]
    units[1] = replace(units[1], is_suspect=True, is_kept_alone=True)
    worker = WorkerView("w0", "pool", "a", "r1", frozenset({"a"}), Resources(128_000, 262_144, 8))
    decided = plan(FleetView(1.0, {"w0": worker}, units))
    assert [placement.unit.job_id for placement in decided.placements] == [job_id(1)]


def lost_run(number: int, *, is_recent: bool = True, is_suspect: bool = False) -> LostRun:
    """Return a confirmed run of its own job; a recent one started just before the crash."""
    lasted_s, silent_after_s = (0.0, 0.02) if is_recent else (5.0, 6.0)
    return LostRun(TaskId(job_id(number), 0, 0, 0), lasted_s, silent_after_s, is_suspect)


@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 4), st.booleans()), min_size=4, max_size=4)
)
def test_every_task_that_always_crashes_is_given_up_after_four_crashes(crashes):
    """Guards against company or a common cause that excuses a task for ever."""
    fatal = lost_run(0)
    weight = 0
    for recent_count, other_count, is_isolated in crashes:
        runs = [
            replace(fatal, is_suspect=weight > 0),
            *(lost_run(n + 1, is_suspect=True) for n in range(recent_count)),
            *(lost_run(n + 9, is_recent=False) for n in range(other_count)),
        ]
        weight += weigh_crash(runs, is_isolated=is_isolated)[fatal.task]
    assert is_given_up([CrashRecord(1, weight, 0)])


@given(st.lists(st.integers(1, 4), min_size=1, max_size=20))
def test_run_that_goes_on_beside_a_fresh_start_is_never_blamed(counts):
    """Guards against long-running work that is given up for the crashes of its neighbours."""
    old = lost_run(0, is_recent=False, is_suspect=True)
    for count in counts:
        runs = [old, *(lost_run(n + 1) for n in range(count))]
        assert old.task not in weigh_crash(runs, is_isolated=True)


def test_earlier_suspect_is_blamed_before_other_fresh_starts():
    """Guards against doubt about a known suspect when something else starts beside it."""
    suspect, other = lost_run(1, is_suspect=True), lost_run(2)
    weights = weigh_crash([other, suspect], is_isolated=True)
    assert weights[suspect.task] > weights[other.task]


def test_suspect_on_probation_is_blamed_beside_fresh_starts():
    """Guards against a task that crashes its workers late and is excused by what starts there."""
    late = LostRun(TaskId(job_id(1), 0, 0, 0), 5.0, 6.0, is_suspect=True, is_on_probation=True)
    assert weigh_crash([late, lost_run(2)], is_isolated=True)[late.task] == 1


def test_suspect_is_kept_alone_after_a_crash_right_after_its_start():
    """Guards against work beside a suspect in doubt that its next crash takes with it."""
    assert is_kept_alone([CrashRecord(1, 1, 0, True)])
    assert not is_kept_alone([CrashRecord(1, 1, 0)])


def test_suspect_is_blamed_for_its_second_crash_while_other_workers_crash():
    """Guards against several crashing tasks that excuse each other up to the limit of doubt."""
    suspect = lost_run(1, is_suspect=True)
    assert weigh_crash([suspect], is_isolated=False)[suspect.task] == 2
    assert weigh_crash([lost_run(1)], is_isolated=False)[suspect.task] == 1


def test_crash_some_time_after_a_start_is_no_certain_evidence():
    """Guards against innocent jobs that two later crashes of their workers would end."""
    later = replace(lost_run(1), silent_after_s=0.8)
    assert weigh_crash([later], is_isolated=True)[later.task] == 1
    assert weigh_crash([lost_run(1)], is_isolated=True)[later.task] == 2


def test_evidence_is_part_of_the_stored_progress():
    """Guards against evidence that is not stored, or records without it that cannot be read."""
    crashes = (CrashRecord(3, 2, 150, True), CrashRecord(4, 1, 0))
    task = TaskProgress(0, 1, 2, 0, 3, "w1", 1, (1,), "", crashes)
    progress = JobProgress(JobState.RUNNING, True, 0, (task,))
    assert decode_progress(encode_progress(progress)) == progress
    earlier = b'{"state":"running","begun":true,"tasks":[[0,1,2,0,3,"w1",1,[1],""]]}'
    assert decode_progress(earlier).tasks == (replace(task, crashes=()),)
