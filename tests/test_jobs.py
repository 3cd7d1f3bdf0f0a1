"""Jobs: transitions, identifiers and expiry."""

from __future__ import annotations

from dataclasses import replace

import pytest

from foxtailwell.core import (
    JOB_SHARD_COUNT,
    GangSpec,
    Job,
    JobShard,
    JobState,
    begin_attempt,
    job_id,
    job_shard,
    put_job,
    transition,
    without_expired_jobs,
)
from foxtailwell.core.errors import IllegalTransitionError

WAITING = Job("j", "a", "c", GangSpec(2, 1), 1.0, True, "", 1, JobState.WAITING)


def test_ended_job_never_runs_again():
    """Guards against a second run of a job whose outcome the caller has already read."""
    done = replace(WAITING, state=JobState.DONE)
    for state in JobState:
        with pytest.raises(IllegalTransitionError):
            transition(done, state, 2, "test")


def test_cancelled_job_never_starts():
    """Guards against a start after the cancellation was confirmed."""
    with pytest.raises(IllegalTransitionError):
        begin_attempt(replace(WAITING, cancel_requested=True), "z", 1, 2, "test")


def test_attempt_rises_and_history_is_bounded():
    """Guards against a reused attempt number, and a history that grows without limit."""
    job = WAITING
    for at in range(20):
        job = begin_attempt(job, "z", 1, at, "start")
        job = transition(job, JobState.WAITING, at, "member lost")
    assert (job.attempt, job.zone, len(job.history)) == (20, "", 16)
    assert job.history[-1].reason == "member lost"


def test_identifier_keeps_account_and_key_apart():
    """Guards against two accounts that share a job because account and key are only joined."""
    assert job_id("a", "b:c") != job_id("a:b", "c")
    assert job_id("a", "k") == job_id("a", "k")
    assert {job_shard(job_id("a", str(i))) for i in range(400)} == set(range(JOB_SHARD_COUNT))


def test_only_jobs_that_ended_long_ago_expire():
    """Guards against the loss of a waiting job, and a shard that grows without limit."""
    day_ms = 24 * 3600 * 1000
    ended = replace(transition(WAITING, JobState.CANCELLED, 10, "caller"), id="ended")
    shard = put_job(put_job(JobShard(), WAITING), ended)
    assert without_expired_jobs(shard, day_ms + 9) is shard
    assert set(without_expired_jobs(shard, day_ms + 10).jobs) == {"j"}
