"""Benchmark of jobs of many steps: how long a controller holds up other work of its process.

Usage: `python -m foxtailwell_bench large_jobs`. The rows of each part are the longest time that it
takes without giving the event loop back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from time import perf_counter

from foxtailwell.controller._records import (
    decode_submission_record,
    encode_progress,
    encode_submission_record,
)
from foxtailwell.workflows import (
    EndKind,
    FleetView,
    JobRegistry,
    Plan,
    Queue,
    Resources,
    RunningTask,
    Step,
    Submission,
    TaskId,
    WorkerView,
    plan,
    submission_digest,
)
from foxtailwell_bench.policy import Row

STEP_COUNTS = (10, 100, 1_000, 2_000, 10_000)
WORKER_COUNTS = (8, 175)
CORES = 128
ENDS = 50
"""Ends of runs that are applied at once."""

JOB_ID = "00000000000000aa"
_REQUEST = Resources(1000, 100, 0)


def run() -> Iterator[Row]:
    """Yield a row for each part, number of steps, number of workers and priority, in ms."""
    for steps in STEP_COUNTS:
        yield from _measure_submission(steps)
        for workers in WORKER_COUNTS:
            for priority in (0, 2):
                yield from _measure_controller(steps, workers, priority)


def _submission(steps: int) -> Submission:
    return Submission(JOB_ID, "batch", "acme", "x", (Step(1, _REQUEST, 500),) * steps)


def _row(part: str, steps: int, value_ms: float, **fields: object) -> Row:
    return {
        "benchmark": "large_jobs",
        "measure": part,
        "unit": "ms",
        "value": round(value_ms, 2),
        "steps": steps,
        **fields,
    }


def _time_ms(function: Callable[[], object]) -> float:
    start_s = perf_counter()
    function()
    return (perf_counter() - start_s) * 1e3


def _measure_submission(steps: int) -> Iterator[Row]:
    submission = _submission(steps)
    record = encode_submission_record(submission)
    yield _row("digest", steps, _time_ms(lambda: submission_digest(submission)))
    yield _row("encode_submission", steps, _time_ms(lambda: encode_submission_record(submission)))
    yield _row("decode_submission", steps, _time_ms(lambda: decode_submission_record(record)))


def _workers(count: int, *, is_full: bool) -> dict[str, WorkerView]:
    running = tuple(
        RunningTask(TaskId("b", 0, 0, n), _REQUEST, 2, 1.0, False, False)
        for n in range(CORES if is_full else 0)
    )
    capacity = Resources(CORES * 1000, 256_000, 8)
    return {
        f"w{n}": WorkerView(
            f"w{n}", "pool", "a", f"r{n // 8}", frozenset(), capacity, running=running
        )
        for n in range(count)
    }


def _measure_controller(steps: int, workers: int, priority: int) -> Iterator[Row]:
    registry = JobRegistry()
    fields = {"workers": workers, "priority": priority}
    queue = Queue("batch", "pool", priority=priority)
    submission = _submission(steps)
    yield _row("add", steps, _time_ms(lambda: registry.add(submission, queue, 0.0)), **fields)
    yield _row("prepare", steps, _time_ms(lambda: registry.prepare(JOB_ID, 0)), **fields)
    decided = Plan()

    def decide(*, is_full: bool) -> None:
        nonlocal decided
        registry.stale_runs()
        within = registry.accounts_within_guarantee({})
        units = registry.ready_units(0.0, 0, within)
        decided = plan(FleetView(0.0, _workers(workers, is_full=is_full), units))

    yield _row("first_plan", steps, _time_ms(lambda: decide(is_full=True)), **fields)
    yield _row("plan_beside_full", steps, _time_ms(lambda: decide(is_full=True)), **fields)
    yield _row("plan_beside_empty", steps, _time_ms(lambda: decide(is_full=False)), **fields)
    for placement in decided.placements:
        number = registry.next_run(placement.unit)
        for task_id, worker in placement.workers.items():
            task = registry.find(task_id)
            if task is not None:
                registry.assign(task, worker, 1, number, 0.0)
    job = registry.jobs[JOB_ID]
    yield _row(
        "encode_progress", steps, _time_ms(lambda: encode_progress(job.progress())), **fields
    )
    ending = list(job.placed.values())[:ENDS]

    def end_runs() -> None:
        for task in ending:
            registry.end_run(task, task.run, EndKind.DONE, "", 1)

    yield _row("ends", steps, _time_ms(end_runs), **fields)
