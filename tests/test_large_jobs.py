"""Jobs of many steps: what a plan and the end of a run cost, and that nothing is left out."""

from __future__ import annotations

import random
import sys
from dataclasses import replace
from itertools import pairwise

import anyio.lowlevel
import msgspec
import pytest

from controller_harness import LATER, URGENT, step
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller import Intake, SubmitOutcome
from foxtailwell.controller import _commits as commits
from foxtailwell.controller import _stored_jobs as stored_jobs
from foxtailwell.controller._commits import Commits, JobChange
from foxtailwell.controller._records import (
    CONTROLLER_KEY,
    decode_job,
    decode_submission_record,
    encode_progress,
    encode_submission_record,
    job_key,
)
from foxtailwell.controller._stored_jobs import StoredJobs
from foxtailwell.workflows import (
    EndKind,
    FleetView,
    JobRegistry,
    Resources,
    Step,
    StopReason,
    Submission,
    TaskId,
    TaskState,
    WorkerView,
    plan,
)
from foxtailwell.workflows import _placement as placement
from foxtailwell.workflows._failed_searches import FailedSearches
from foxtailwell.workflows._fleet_view import RunningTask
from foxtailwell_standins.platform_store import MemoryStore

JOB = "00000000000000aa"
SMALL = Resources(1000, 100, 0)

SHAPES = {
    "independent": lambda n: [Step(1, SMALL, 500)] * n,
    "chain": lambda n: [Step(1, SMALL, 500, after=(i - 1,) if i else ()) for i in range(n)],
    "fan": lambda n: [Step(1, SMALL, 500, after=(0,) if i else ()) for i in range(n)],
    "join": lambda n: [Step(1, SMALL)] * (n - 1) + [Step(1, SMALL, after=tuple(range(n - 1)))],
    "two tasks": lambda n: [Step(2, SMALL, 500)] * (n // 2),
    # No step needs at least as much as another one.
    "incomparable": lambda n: [Step(1, Resources(9000 + i, 10**6 - i, 0), 500) for i in range(n)],
}


def calls_of(function):
    """Return how many calls a function makes, with those of generators and of built-ins."""
    count = 0

    def note(_frame, event, _argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


def submit(registry, steps, job_id=JOB, queue=LATER, **fields):
    """Add a job to a registry."""
    return registry.add(
        Submission(job_id, queue.name, "acme", "x", tuple(steps), **fields), queue, 0.0
    )


def workers(count=8, cores=128, running=()):
    """Return views of workers of one pool, by identifier."""
    return {
        f"w{n}": WorkerView(
            f"w{n}",
            "pool",
            "a",
            f"r{n // 2}",
            frozenset(),
            Resources(cores * 1000, 10**6, 8),
            running,
        )
        for n in range(count)
    }


def plan_once(registry, now_s=0.0):
    """Do what each plan of the controller does for the jobs, whether or not anything changed."""
    registry.stale_runs()
    within = registry.accounts_within_guarantee({})
    registry.next_due_unix_ms(0)
    return registry.ready_units(now_s, 0, within)


@pytest.mark.parametrize("queue", [URGENT, LATER], ids=lambda queue: queue.name)
@pytest.mark.parametrize("shape", SHAPES)
def test_calls_of_a_plan_grow_no_faster_than_the_steps_of_a_job(shape, queue):
    """Guards against a job of 2,000 steps whose plans end each term of the controller."""
    counts = []
    for number in (200, 400, 800):
        registry = JobRegistry()
        submit(registry, SHAPES[shape](number), queue=queue)
        counts.append(
            calls_of(lambda r=registry: plan(FleetView(0.0, workers(cores=4), plan_once(r))))
        )
    assert counts[1] <= 2.5 * counts[0]
    assert counts[2] <= 2.5 * counts[1]


@pytest.mark.parametrize("shape", SHAPES)
def test_calls_of_a_plan_without_changes_follow_the_ready_steps(shape):
    """Guards against a plan that visits all steps of all jobs although nothing has changed."""
    registry = JobRegistry()
    submit(registry, SHAPES[shape](800))
    ready = len(plan_once(registry))
    assert calls_of(lambda: plan_once(registry)) <= 40 + 4 * ready


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("kind", [EndKind.DONE, EndKind.FAILED])
def test_calls_of_the_end_of_a_run_do_not_follow_the_size_of_its_job(shape, kind):
    """Guards against ends of a large job that hold up the controller until its term ends."""
    counts = []
    for number in (100, 800):
        registry = JobRegistry()
        job = submit(registry, SHAPES[shape](number))
        tasks = list(job.tasks.values())[:3]
        for task in tasks:
            registry.assign(task, "w0", 1, 1, 0.0)
        first, second = tasks[-2:]
        registry.end_run(first, 1, kind, "", 1)
        counts.append(calls_of(lambda r=registry, t=second: r.end_run(t, 1, kind, "", 2)))
    assert counts[1] <= counts[0] + 20


@pytest.mark.parametrize("count", [8, 350])
def test_plan_looks_at_a_bounded_number_of_workers_and_considers_each_unit_in_turn(count):
    """Guards against a plan that holds up the process, and against units that never get a turn."""
    registry = JobRegistry()
    # No two demands are comparable, so that each unit needs a search of its own.
    sizes = [Resources(5000 + n, 200_000 - n, 0) for n in range(600)]
    submit(registry, [Step(1, size, 500) for size in sizes], queue=URGENT)
    submit(registry, [Step(1, SMALL, 500)], "00000000000000bb")
    victims = tuple(
        RunningTask(TaskId("b", 0, 0, n), SMALL, 0, 1.0, False, False) for n in range(200)
    )
    view = workers(count, cores=202, running=victims)
    units = plan_once(registry)
    searched, considered, rounds = frozenset(), set(), 0
    while len(considered) < len(units):
        decided = plan(FleetView(0.0, view, units, searched=searched))
        now = {unit.key for unit in units} - decided.deferred
        assert any(p.unit.job_id == "00000000000000bb" for p in decided.placements)
        assert len(now - considered) > 0
        considered |= now
        searched |= frozenset(now)
        rounds += 1
    pairs = len(sizes) * count * 2 + len(sizes) * count * len(victims)
    assert rounds <= 2 + pairs / placement.MAX_EXAMINED


@pytest.mark.parametrize("seed", range(40))
def test_failed_searches_change_no_decision(seed, monkeypatch):
    """Guards against units that are left out although there is room for them."""
    source = random.Random(seed)
    registry = JobRegistry()
    for number in range(source.randint(1, 25)):
        steps = [
            Step(
                source.randint(1, 4),
                Resources(1000 * source.randint(1, 20), 100, source.choice((0, 0, 1, 4))),
                source.choice((100, 900, 5000)),
                is_gang=source.random() < 0.2,
                is_same_rack=source.random() < 0.2,
                is_serving=source.random() < 0.1,
                is_filling=source.random() < 0.1,
                data_rack=source.choice(("", "", "r0")),
                max_per_worker=source.choice((0, 0, 1)),
            )
            for _ in range(source.randint(1, 6))
        ]
        submit(registry, steps, f"{number:016x}", source.choice((URGENT, LATER)))
    running = tuple(
        RunningTask(
            TaskId("b", 0, 0, n),
            Resources(1000 * source.randint(1, 20), 100, source.choice((0, 1))),
            source.choice((0, 2)),
            source.random(),
            False,
            source.random() < 0.1,
            remaining_s=source.random(),
        )
        for n in range(source.randint(0, 5))
    )
    now_s = source.choice((0.0, 3.0))
    plan_once(registry)
    view = FleetView(now_s, workers(6, cores=40, running=running), plan_once(registry, now_s))
    decided = plan(view)
    monkeypatch.setattr(FailedSearches, "has_failed", lambda *_: False)
    assert decided == plan(view)


def expected_ready(job, now_unix_ms):
    """Return the ready steps of a job, from the states of all its tasks."""
    submission = job.submission
    found = []
    for occurrence in range(submission.occurrences):
        if submission.due_unix_ms(occurrence) > now_unix_ms or job.state.is_final:
            continue
        for number, each in enumerate(submission.steps):
            tasks = [job.tasks[TaskId(JOB, occurrence, number, i)] for i in range(each.count)]
            waiting = [t for t in tasks if t.state is TaskState.WAITING]
            before = [
                t
                for t in job.tasks.values()
                if t.id.occurrence == occurrence and t.id.step in each.after
            ]
            is_whole = len(waiting) == len(tasks) or not each.is_gang
            if waiting and is_whole and all(t.is_done for t in before):
                found.append((occurrence, number, tuple(t.id for t in waiting)))
    return found


@pytest.mark.parametrize("seed", range(60))
def test_ready_steps_follow_each_change_of_the_tasks(seed):
    """Guards against a step that is never placed, or placed too early, after a rare sequence."""
    source = random.Random(seed)
    steps = [
        step(
            source.randint(1, 3),
            is_gang=source.random() < 0.3,
            after=tuple(sorted(source.sample(range(n), min(n, source.randint(0, 2))))),
        )
        for n in range(source.randint(1, 7))
    ]
    times = {"start_at_unix_ms": 1000, "interval_ms": 100, "repeat_count": 3} if seed % 2 else {}
    registry = JobRegistry()
    job = submit(registry, steps, **times)
    now_unix_ms = 950
    for _ in range(60):
        now_unix_ms += source.choice((0, 0, 20, 60, -70))
        units = registry.ready_units(1.0, now_unix_ms)
        assert [(u.occurrence, u.step_number, u.tasks) for u in units] == expected_ready(
            job, now_unix_ms
        )
        assert job.has_placed_tasks == any(t.is_placed for t in job.tasks.values())
        kept = {t.id for t in job.tasks.values() if t.is_placed or t.run or t.is_done}
        if not job.state.is_final:
            assert {
                TaskId(JOB, t.occurrence, t.step, t.index) for t in job.progress().tasks
            } == kept
        assigned = [t for t in job.tasks.values() if t.state is TaskState.ASSIGNED]
        placed = [t for t in job.tasks.values() if t.is_placed]
        action = source.choice(("assign", "assign", "end", "end", "stop", "requeue", "late"))
        if action == "assign" and units:
            unit = source.choice(units)
            run = registry.next_run(unit)
            for task_id in unit.tasks:
                registry.assign(registry.find(task_id), f"w{source.randint(0, 2)}", 1, run, 1.0)
        elif action == "end" and placed:
            kind = source.choice((EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.STOPPED))
            task = source.choice(placed)
            registry.end_run(task, task.run, kind, "", 1)
        elif action == "stop" and assigned:
            registry.mark_stopping(source.choice(assigned), StopReason.PREEMPTED)
        elif action == "requeue" and placed:
            registry.requeue(source.choice(placed))
        elif action == "late" and placed and source.random() < 0.2:
            task = source.choice(placed)
            registry.end_run(task, task.run - 1, EndKind.DONE, "", 1)
        for task in registry.stale_runs():
            registry.mark_stopping(task, StopReason.GANG)


def test_ready_steps_are_the_same_after_a_change_of_the_controller():
    """Guards against a successor that waits for steps that have completed."""
    before, after = JobRegistry(), JobRegistry()
    job = submit(before, SHAPES["chain"](5))
    for number in range(3):
        task = job.tasks[TaskId(JOB, 0, number, 0)]
        before.assign(task, "w0", 1, 1, 0.0)
        if number < 2:
            before.end_run(task, 1, EndKind.DONE, "", 1)
    after.add(job.submission, LATER, 0.0, job.progress())
    assert not after.ready_units(0.0, 0)
    moved = after.find(TaskId(JOB, 0, 2, 0))
    after.end_run(moved, 1, EndKind.DONE, "", 1)
    assert [unit.step_number for unit in after.ready_units(0.0, 0)] == [3]


class _Turns:
    """Counts how often the event loop serves another task meanwhile."""

    def __init__(self):
        self.count = 0

    async def run(self):
        """Count the turns until cancelled."""
        while True:
            self.count += 1
            await anyio.lowlevel.checkpoint()


@pytest.mark.anyio
async def test_other_work_has_its_turn_while_a_controller_loads_many_jobs(group, monkeypatch):
    """Guards against a successor whose lease ends while it loads the jobs."""
    store = MemoryStore(page_pause_s=0.0)
    jobs = [Submission(f"{n:016x}", LATER.name, "acme", "x", (step(3),)) for n in range(60)]
    for job in jobs:
        store.write(job_key(job.job_id), encode_submission_record(job))
    registry = JobRegistry()
    stored = StoredJobs(
        store.client(),
        registry,
        Commits(store.client(), 1, lambda: None),
        lambda _: LATER,
        retention_s=1.0,
        now_s=lambda: 0.0,
        now_unix_ms=lambda: 0,
        metrics=WorkMetrics(),
    )
    turns, seen = _Turns(), []

    def decode(job_id, value):
        seen.append(turns.count)
        return decode_job(job_id, value)

    monkeypatch.setattr(stored_jobs, "decode_job", decode)
    group.start_soon(turns.run)
    await stored.load(1)
    assert len(registry.jobs) == len(seen) == len(jobs)
    assert all(later > earlier for earlier, later in pairwise(seen))


@pytest.mark.anyio
async def test_other_work_has_its_turn_while_many_records_are_encoded(group, monkeypatch):
    """Guards against a controller that loses its lease while it encodes the records of jobs."""
    store = MemoryStore()
    token = store.write(CONTROLLER_KEY, b"")
    registry = JobRegistry()
    changes = [JobChange(submit(registry, [step()], f"{n:016x}")) for n in range(120)]
    turns, seen = _Turns(), []

    def encode(progress):
        seen.append(turns.count)
        return encode_progress(progress)

    monkeypatch.setattr(commits, "encode_progress", encode)
    group.start_soon(turns.run)
    assert not await Commits(store.client(), token, lambda: None).store(changes, lambda _: {})
    # One transaction holds up to 24 records, so that none waits for more than these.
    assert all(later > earlier for earlier, later in zip(seen, seen[24:], strict=False))


@pytest.mark.anyio
async def test_job_beyond_the_largest_value_of_the_store_is_rejected_for_good():
    """Guards against a client that repeats a job for ever that can never be stored."""
    submission = Submission(JOB, LATER.name, "acme", "x", (step(),) * 50)
    size = len(encode_submission_record(replace(submission, digest="0" * 16)))
    store = MemoryStore()
    assert await Intake(store.client(), size - 1).submit(submission, {}) is SubmitOutcome.TOO_LARGE
    assert not store.items
    assert await Intake(store.client(), size).submit(submission, {}) is SubmitOutcome.STORED


@pytest.mark.parametrize("steps", [1, 10_000])
def test_submission_record_leaves_out_defaults_and_is_read_by_any_version(steps):
    """Guards against jobs of 4,000 small steps that do not fit, and against unreadable ones."""
    submission = Submission(JOB, "later", "acme", "x", (Step(1, SMALL, 500),) * steps, 5, 6, 1, 7)
    record = encode_submission_record(submission)
    assert len(record) < 2**20
    assert msgspec.json.decode(record, type=Submission) == submission
    assert decode_submission_record(msgspec.json.encode(submission)) == submission
