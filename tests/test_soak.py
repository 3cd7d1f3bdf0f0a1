"""The randomized soak: a short seeded run, seeds that failed once, and what its judge notices."""

from __future__ import annotations

import random
import time

import pytest

from foxtailwell.workflows import EndKind, Resources, StartCommand, TaskId
from foxtailwell_soak import run_soak
from foxtailwell_soak._faults import KINDS, Faults, draw_faults
from foxtailwell_soak._fleet import BOUNDS, Fleet, WorkerPort
from foxtailwell_soak._judge import Judge
from foxtailwell_soak._ledger import JobLog, Ledger
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
    port = WorkerPort(worker, RelayState("127.0.0.1:1"), "127.0.0.1:1")
    fleet = Fleet(MemoryStore(), StoreFaults(), workers=[port])
    ledger = Ledger()
    ledger.jobs[JOB] = JobLog(JOB, "1.0", Resources(1000, 100, 1), 2, False, accepted_s=1.0)
    return Judge(fleet, ledger), ledger, port


def span(began_s, ended_s=float("inf"), *, task=f"{JOB}.0.0.0", kind=None, number=0, run=1):
    """Return a run."""
    return RunSpan(task, run, "w0", "1.0", began_s, 1, False, ended_s, kind, number)


def test_judge_notices_a_task_that_runs_twice_at_once(scene):
    """Guards against a judge that never fails."""
    judge, ledger, port = scene
    port.worker.spans += [span(1.0, 3.0), span(3.0, 4.0, run=2)]
    judge.look()
    assert not ledger.violations
    port.worker.spans.append(span(3.5, run=3))
    judge.look()
    assert "twice at once" in ledger.violations[0]


def test_judge_notices_a_start_after_an_end_that_was_taken_note_of(scene):
    """Guards against work that is done again unnoticed."""
    judge, ledger, port = scene
    port.worker.spans.append(span(1.0, 2.0, kind=EndKind.DONE, number=1))
    port.worker.acknowledged = 1
    judge.look()
    port.worker.spans.append(span(time.monotonic() + 1, run=2))
    judge.look()
    assert "after done" in ledger.violations[0]


def test_judge_allows_a_start_after_an_end_that_a_crash_took_along(scene):
    """Guards against a judge that mixes up the ends of two lives of a worker."""
    judge, ledger, port = scene
    port.worker.spans.append(span(1.0, 2.0, kind=EndKind.DONE, number=1))
    port.worker.restart()
    port.worker.acknowledged = 1
    judge.look()
    port.worker.spans.append(span(time.monotonic() + 1, run=2))
    judge.look()
    assert not ledger.violations


@pytest.mark.parametrize(
    ("prepare", "text"),
    [
        (lambda ledger, _: setattr(ledger.jobs[JOB], "cancelled_s", 1.0), "after its cancellation"),
        (lambda _, port: setattr(port, "draining_s", 1.0), "draining"),
        (lambda ledger, _: ledger.zones_out_s.update(a=1.0), "which is out"),
        (lambda ledger, _: ledger.jobs.clear(), "never asked for"),
    ],
)
def test_judge_notices_a_start_that_must_not_be(scene, prepare, text):
    """Guards against a judge that overlooks cancellations, drains and zones out."""
    judge, ledger, port = scene
    prepare(ledger, port)
    port.worker.spans.append(span(1.0 + BOUNDS.evacuate_ms / 1000 + 1))
    judge.look()
    assert text in ledger.violations[0]


def test_judge_notices_a_refused_job_that_ran_and_a_lost_one(scene):
    """Guards against answers that are not held against what ran."""
    judge, ledger, port = scene
    judge.check_answers()
    assert "accepted and is unknown" in ledger.violations[0]
    ledger.jobs[JOB].accepted_s = 0.0
    ledger.jobs[JOB].answers = [503, 503]
    port.worker.spans.append(span(1.0, 2.0))
    judge.check_answers()
    assert "each attempt was refused" in ledger.violations[1]


@pytest.mark.anyio
async def test_judge_notices_a_worker_over_its_room(scene):
    """Guards against rooms that nobody counts."""
    judge, ledger, port = scene
    for index in range(3):
        await port.worker.start(StartCommand(TaskId(JOB, 0, 0, index), 1, "1.0", ""), 10_000, 1)
    judge.look()
    assert "over its room" in ledger.violations[0]


def test_series_of_faults_repeats_by_its_seed_and_overlaps():
    """Guards against a seed that does not repeat, and against faults that come one by one."""
    series = [draw_faults(random.Random(7), 12.0) for _ in range(2)]
    assert series[0] == series[1]
    pairs = zip(series[0], series[0][1:], strict=False)
    assert any(one.at_s + one.for_s > two.at_s for one, two in pairs)
    assert all(hasattr(Faults, kind) for kind in KINDS)
