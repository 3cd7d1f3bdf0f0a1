"""Real scheduler processes against the stand-in platform."""

from __future__ import annotations

import signal

import pytest

from foxtailwell.core import JobState
from scheduler_harness import open_platform

pytestmark = pytest.mark.anyio


@pytest.fixture
async def platform(serving, tmp_path):
    async with open_platform(serving, tmp_path, per_zone=3) as platform:
        yield platform


async def test_job_runs_as_gang_and_ends_as_done(platform):
    """Guards against a job that is accepted and never run, or run without its whole gang."""
    platform.start_process("s1")
    identifier = await platform.submit("first", members=5)
    await platform.until_state(identifier, JobState.DONE)
    worked = [r for r in platform.log(identifier) if r.first_work_s]
    assert sorted(r.member for r in worked) == [0, 1, 2, 3, 4]
    await platform.until(lambda: not platform.allocation().gangs)
    platform.check_work()
    platform.signal("s1", signal.SIGTERM)
    await platform.until(lambda: platform.processes["s1"].poll() == 0)
