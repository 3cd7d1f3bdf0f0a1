"""The randomized soak: a short seeded run, seeds that failed once, and what its judge notices."""

from __future__ import annotations

import random
import time

import pytest

from foxtailwell.workflows import EndKind, Resources, StartCommand, TaskId
from foxtailwell_soak import run_soak
from foxtailwell_soak._checker import Checker
from foxtailwell_soak._faults import FAULT_KINDS, FaultInjector, draw_faults
from foxtailwell_soak._fleet import BOUNDS, Fleet, WorkerHandle
from foxtailwell_soak._history import History, JobRecord
from foxtailwell_standins.platform_store import MemoryStore, StoreFaults
from foxtailwell_standins.platform_worker import MemoryWorker, RunSpan
from foxtailwell_standins.relay import RelayState

SEED = 20261204
REGRESSION_SEEDS = {
    1970167993: "SIGHUP ended an instance that had just begun to start",
    **dict.fromkeys(
        (454861516, 2252139179, 3588264186, 883391157, 3750200725, 1537704294),
        "members of a gang ended one by one in the stand-in",
    ),
    125992539: "the judge took ends of two lives of a worker for one",
}
"""Seeds that ever failed, each with its cause."""

JOB = "00000000000000aa"


@pytest.mark.parametrize("seed", [SEED, *REGRESSION_SEEDS])
def test_promises_hold_under_overlapping_faults(seed, tmp_path):
    """Guards against work lost, run twice or told wrongly when real processes fail together."""
    result = run_soak(seed, tmp_path, length_s=8.0)
    assert result.violations == (), "\n".join((*result.faults, *result.violations))
    assert result.accepted > 5
    assert result.runs > 5


@pytest.fixture
def scene():
    """Return a judge of one worker, with one accepted job of two tasks."""
    worker = MemoryWorker("w0", capacity=Resources(2000, 1000, 2))
    port = WorkerHandle(worker, RelayState("127.0.0.1:1"), "127.0.0.1:1")
    fleet = Fleet(MemoryStore(), StoreFaults(), workers=[port])
    history = History()
    history.jobs[JOB] = JobRecord(JOB, "1.0", Resources(1000, 100, 1), 2, False, accepted_s=1.0)
    return Checker(fleet, history), history, port


def span(
    started_s, ended_s=float("inf"), *, task=f"{JOB}.0.0.0", end_kind=None, end_number=0, run=1
):
    """Return a run."""
    return RunSpan(task, run, "w0", "1.0", started_s, 1, False, ended_s, end_kind, end_number)


def test_judge_notices_a_task_that_runs_twice_at_once(scene):
    """Guards against a judge that never fails."""
    checker, history, port = scene
    port.worker.spans += [span(1.0, 3.0), span(3.0, 4.0, run=2)]
    checker.look()
    assert not history.violations
    port.worker.spans.append(span(3.5, run=3))
    checker.look()
    assert "twice at once" in history.violations[0]


def test_judge_notices_a_start_after_an_end_that_was_taken_note_of(scene):
    """Guards against work that is done again unnoticed."""
    checker, history, port = scene
    port.worker.spans.append(span(1.0, 2.0, end_kind=EndKind.DONE, end_number=1))
    port.worker.acknowledged = 1
    checker.look()
    port.worker.spans.append(span(time.monotonic() + 1, run=2))
    checker.look()
    assert "after done" in history.violations[0]


def test_judge_allows_a_start_after_an_end_that_a_crash_took_along(scene):
    """Guards against a judge that mixes up the ends of two lives of a worker."""
    checker, history, port = scene
    port.worker.spans.append(span(1.0, 2.0, end_kind=EndKind.DONE, end_number=1))
    port.worker.restart()
    port.worker.acknowledged = 1
    checker.look()
    port.worker.spans.append(span(time.monotonic() + 1, run=2))
    checker.look()
    assert not history.violations


@pytest.mark.parametrize(
    ("prepare", "text"),
    [
        (
            lambda history, _: setattr(history.jobs[JOB], "cancelled_s", 1.0),
            "after its cancellation",
        ),
        (lambda _, port: setattr(port, "draining_s", 1.0), "draining"),
        (lambda history, _: history.zones_out_s.update(a=1.0), "which is out"),
        (lambda history, _: history.jobs.clear(), "never asked for"),
    ],
)
def test_judge_notices_a_start_that_must_not_be(scene, prepare, text):
    """Guards against a judge that overlooks cancellations, drains and zones out."""
    checker, history, port = scene
    prepare(history, port)
    port.worker.spans.append(span(1.0 + BOUNDS.evacuate_ms / 1000 + 1))
    checker.look()
    assert text in history.violations[0]


def test_judge_notices_a_refused_job_that_ran_and_a_lost_one(scene):
    """Guards against answers that are not held against what ran."""
    checker, history, port = scene
    checker.check_responses()
    assert "accepted and is unknown" in history.violations[0]
    history.jobs[JOB].accepted_s = 0.0
    history.jobs[JOB].statuses = [503, 503]
    port.worker.spans.append(span(1.0, 2.0))
    checker.check_responses()
    assert "each attempt was refused" in history.violations[1]


@pytest.mark.anyio
async def test_judge_notices_a_worker_over_its_room(scene):
    """Guards against rooms that nobody counts."""
    checker, history, port = scene
    for index in range(3):
        await port.worker.start(StartCommand(TaskId(JOB, 0, 0, index), 1, "1.0", ""), 10_000, 1)
    checker.look()
    assert "over its room" in history.violations[0]


def test_series_of_faults_repeats_by_its_seed_and_overlaps():
    """Guards against a seed that does not repeat, and against faults that come one by one."""
    series = [draw_faults(random.Random(7), 12.0) for _ in range(2)]
    assert series[0] == series[1]
    pairs = zip(series[0], series[0][1:], strict=False)
    assert any(one.at_s + one.for_s > two.at_s for one, two in pairs)
    assert all(hasattr(FaultInjector, kind) for kind in FAULT_KINDS)
