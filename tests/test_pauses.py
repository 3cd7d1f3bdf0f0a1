"""Controllers whose process is paused at any call, and goes on after another one has taken over."""

from __future__ import annotations

from collections import Counter

import anyio
import pytest

from controller_harness import LATER, Pause, job_id, make_deployment, step, until
from foxtailwell.workflows import JobState

pytestmark = pytest.mark.anyio

PAUSES = 60
"""Passages at which the controller is paused; the first job takes about so many."""

DEPLOYMENTS_AT_ONCE = 20


async def check_pause(group, at: int) -> bool:
    """Pause a controller at a call, and check the starts; return whether the pause began."""
    fleet = make_deployment(group, 2, task_duration_s=0.4)
    group.start_soon(fleet.send_heartbeats)
    pause = Pause(at)
    first = fleet.start("one", pause=pause)
    assert await until(lambda: pause.is_active or first.leadership.is_controller)
    second = fleet.start("two")
    job = await fleet.submit(1, LATER, [step(2), step(1, after=(0,))])
    await until(lambda: pause.is_active, 3.0)
    has_paused = pause.is_active
    if has_paused:
        assert await until(lambda: second.leadership.is_controller, 9.0), at
        await anyio.sleep(at % 4 * 0.1)
        pause.end()
    assert await fleet.reaches(job, JobState.COMPLETED, 15.0), at
    await anyio.sleep(0.5)
    tasks = [f"{job_id(1)}.0.0.0", f"{job_id(1)}.0.0.1", f"{job_id(1)}.0.1.0"]
    assert [len(fleet.runs(task)) for task in tasks] == [1] * 3, at
    sent = Counter(
        (task, run) for worker in fleet.workers.values() for task, run, _ in worker.commands
    )
    assert max(sent.values()) == 1, (at, sent)
    return has_paused


async def test_controller_paused_at_any_call_starts_nothing_twice(group):
    """Guards against actions on a term, a plan or a lease that ended during a pause."""
    paused: list[int] = []
    for begin in range(1, PAUSES + 1, DEPLOYMENTS_AT_ONCE):

        async def check(at: int) -> None:
            async with anyio.create_task_group() as deployment_group:
                if await check_pause(deployment_group, at):
                    paused.append(at)
                deployment_group.cancel_scope.cancel()

        async with anyio.create_task_group() as batch:
            for at in range(begin, begin + DEPLOYMENTS_AT_ONCE):
                batch.start_soon(check, at)
    assert len(paused) > PAUSES / 2
