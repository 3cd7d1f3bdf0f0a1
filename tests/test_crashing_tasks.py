"""Tasks that crash every worker that starts them, and tasks that only shared such a worker."""

from __future__ import annotations

from dataclasses import replace

import pytest

from controller_harness import LATER, Deployment, job_id, make_deployment, step
from foxtailwell.workflows import JobState

pytestmark = pytest.mark.anyio


@pytest.fixture
async def fleet(group) -> Deployment:
    """Return a deployment of six workers that send heartbeats."""
    deployment = make_deployment(group, 6, task_duration_s=0.3)
    group.start_soon(deployment.send_heartbeats)
    return deployment


def make_fatal(deployment: Deployment, *tasks: str) -> None:
    """Let the given tasks crash every worker that starts them."""
    for worker in deployment.workers.values():
        worker.faults = replace(worker.faults, fatal_tasks=frozenset(tasks))


async def test_task_that_crashes_every_worker_is_given_up(fleet):
    """Guards against a task that crashes one worker after the other without a limit."""
    task = f"{job_id(1)}.0.0.0"
    make_fatal(fleet, task)
    fleet.start("one")
    job = await fleet.submit(1, LATER, [step()])
    assert await fleet.reaches(job, JobState.FAILED)
    assert len(fleet.runs(task)) == 2
