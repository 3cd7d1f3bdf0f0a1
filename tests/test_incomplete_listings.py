"""Runs that a worker lists neither as running nor as ended, because it lists some ends later."""

from __future__ import annotations

import anyio
import pytest

from controller_harness import LATER, Deployment, Instance, make_deployment, step, until
from foxtailwell.controller import _controller, _workers
from foxtailwell.workflows import EndKind, JobState
from foxtailwell_standins.platform_worker import MemoryWorker

pytestmark = pytest.mark.anyio

COUNT = 6
SHORT_LEASE_MS = 1000
SLOW_WRITE_S = 0.8
"""Time of a write that keeps listed ends unacknowledged, so that the same ones are listed again."""


@pytest.fixture
async def fleet(group) -> Deployment:
    """Return a deployment with one worker, which lists two ends at once."""
    return make_deployment(group, 1, max_listed_ends=2)


def end_all(worker: MemoryWorker) -> None:
    """Complete all runs of a worker at once."""
    for task in list(worker.running):
        worker.end(task, EndKind.DONE)


async def run_tasks(fleet: Deployment, worker: MemoryWorker) -> str:
    """Submit a job and wait until all of its tasks run; return its identifier."""
    job = await fleet.submit(1, LATER, [step(COUNT)])
    assert await until(lambda: len(worker.running) == COUNT)
    return job


async def end_during_a_takeover(fleet: Deployment, first: Instance, worker: MemoryWorker) -> None:
    first.kill()
    end_all(worker)
    fleet.start("two").faults.write_delay_s = SLOW_WRITE_S


async def end_beside_a_slow_store(fleet: Deployment, first: Instance, worker: MemoryWorker) -> None:
    first.faults.write_delay_s = SLOW_WRITE_S
    end_all(worker)


async def end_beside_an_outage(fleet: Deployment, first: Instance, worker: MemoryWorker) -> None:
    first.faults.is_down = True
    end_all(worker)
    await anyio.sleep(SLOW_WRITE_S)
    first.faults.is_down = False
    first.faults.write_delay_s = SLOW_WRITE_S


@pytest.mark.parametrize(
    "end_runs", [end_during_a_takeover, end_beside_a_slow_store, end_beside_an_outage]
)
async def test_run_whose_end_is_listed_later_is_not_started_again(group, fleet, end_runs):
    """Guards against work that runs again because its end did not fit into a listing."""
    worker = fleet.workers["w0"]
    first = fleet.start("one")
    job = await run_tasks(fleet, worker)
    await end_runs(fleet, first, worker)
    assert await fleet.reaches(job, JobState.COMPLETED, 12.0)
    assert len(worker.log) == COUNT


async def test_end_of_a_new_incarnation_that_is_listed_later_is_not_a_crash(
    group, fleet, caplog_events
):
    """Guards against runs that count as lost with an earlier incarnation, which never had them."""
    worker = fleet.workers["w0"]
    fleet.start("one")
    await fleet.start_one_task()
    worker.faults.listing_delay_s = 1.2
    worker.restart()
    job = await fleet.submit(2, LATER, [step(COUNT)])
    assert await until(lambda: len(worker.running) == COUNT)
    end_all(worker)
    assert await fleet.reaches(job, JobState.COMPLETED, 12.0)
    lost = [e for e in caplog_events if e.get("event") == "FW1608" and e["job"] == job]
    blamed = [e for e in caplog_events if job in str(e.get("evidence"))]
    assert not lost + blamed


async def test_ended_run_that_is_listed_later_has_not_stalled(
    group, fleet, monkeypatch, caplog_events
):
    """Guards against a quarantine of a worker whose runs have ended."""
    monkeypatch.setattr(_controller, "STALL_TIMEOUT_S", 0.5)
    worker = fleet.workers["w0"]
    first = fleet.start("one")
    job = await run_tasks(fleet, worker)
    await end_beside_a_slow_store(fleet, first, worker)
    assert await fleet.reaches(job, JobState.COMPLETED, 12.0)
    assert not [e for e in caplog_events if e.get("event") in ("FW1618", "FW1417")]


async def test_stopped_run_whose_end_is_listed_later_keeps_no_lease_from_renewal(
    group, fleet, monkeypatch
):
    """Guards against a lapse of all runs of a worker that has stopped the run in question."""
    monkeypatch.setattr(_workers, "STOP_LIMIT_S", 0.5)
    worker = fleet.workers["w0"]
    first = fleet.start("one", lease_ms=SHORT_LEASE_MS)
    stopped = await run_tasks(fleet, worker)
    kept = f"{await fleet.submit(2, LATER, [step()])}.0.0.0"
    assert await until(lambda: kept in worker.running)
    first.faults.write_delay_s = SLOW_WRITE_S
    await fleet.cancel(stopped)
    assert await until(lambda: list(worker.running) == [kept])
    await anyio.sleep(4 * SHORT_LEASE_MS / 1000)
    assert kept in worker.running
    assert fleet.runs(kept) == [("w0", 1)]
