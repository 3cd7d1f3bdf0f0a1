"""Tests of the HTTP interface for jobs against the stand-in store."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import msgspec
import pytest
from starlette.applications import Starlette

from foxtailwell.adapters.group_commit import open_group_committer
from foxtailwell.adapters.http_client import HttpClient, open_http_client
from foxtailwell.core import (
    ClientAccount,
    Configuration,
    InstanceRecord,
    JobShard,
    WorkClass,
)
from foxtailwell.entry._jobs_api import job_routes
from foxtailwell.entry._jobs_view import JobsView, follow_jobs
from foxtailwell.fleet import FleetView
from foxtailwell_standins.store import StoreFailures

pytestmark = pytest.mark.anyio

JOB = {"account": "geo", "work_class": "model", "members": 2, "accelerators_per_member": 4}


def _view() -> FleetView:
    workers = [
        InstanceRecord(f"w{i}", "worker", "z", f"127.0.0.1:{i}", rack="r", accelerators=8)
        for i in range(2)
    ]
    return FleetView(
        configuration=Configuration(
            revision=1,
            classes={"model": WorkClass("model", "job", 60_000, 0, True)},
            accounts={"geo": ClientAccount("geo", quota_accelerators=64)},
        ),
        instances={w.id: w for w in workers},
    )


@pytest.fixture
async def api(store, serving) -> AsyncIterator[HttpClient]:
    """Serve the jobs interface and yield a client of it."""
    jobs = JobsView()
    async with (
        open_group_committer(store, JobShard, JobShard) as committer,
        anyio.create_task_group() as group,
    ):
        group.start_soon(follow_jobs, store, jobs)
        app = Starlette(routes=job_routes(committer, jobs, _view()))
        async with serving(app) as url, open_http_client(url) as client:
            yield client
        group.cancel_scope.cancel()


async def _post(api, path, value):
    body = value if isinstance(value, bytes) else msgspec.json.encode(value)
    reply = await api.request("POST", path, body=body)
    return reply.status, msgspec.json.decode(reply.body)


async def test_submission_is_durable_before_it_is_acknowledged(api, store_state):
    """Guards against a job that is acknowledged and then lost with the instance."""
    status, body = await _post(api, "/v1/jobs", JOB)
    assert status == 201
    stored = "".join(entry.value for entry in store_state.entries.values())
    assert body["jobs"][0]["id"] in stored


async def test_repeated_key_returns_the_first_submission(api):
    """Guards against a job that runs and is billed twice because its submission was repeated."""
    keyed = {**JOB, "idempotency_key": "k1"}
    (_, first), (_, second) = (
        await _post(api, "/v1/jobs", keyed),
        await _post(api, "/v1/jobs", keyed),
    )
    assert first["jobs"][0]["id"] == second["jobs"][0]["id"]
    status, body = await _post(api, "/v1/jobs", {**keyed, "members": 1})
    assert (status, body["jobs"][0]["outcome"]) == (409, "key_reused")


async def test_burst_of_submissions_shares_few_writes(api, store_state):
    """Guards against one store write for each job of a burst."""
    status, body = await _post(api, "/v1/jobs", {"jobs": [JOB] * 500})
    assert status == 201
    assert len({job["id"] for job in body["jobs"]}) == 500
    assert store_state.counts["writes"] <= 64


async def test_burst_of_cancellations_loses_none_and_shares_few_writes(api, store_state):
    """Guards against lost cancellations, and against one store write for each of them."""
    _, submitted = await _post(api, "/v1/jobs", {"jobs": [JOB] * 500})
    before = store_state.counts["writes"]
    ids = [job["id"] for job in submitted["jobs"]]
    status, body = await _post(api, "/v1/jobs/cancel", {"ids": ids})
    assert status == 200
    assert {job["outcome"] for job in body["jobs"]} == {"cancelled"}
    assert store_state.counts["writes"] - before <= 32


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"\xff\xfe",
        b'{"account":"geo","account":"geo"}',
        {**JOB, "members": -1},
        {**JOB, "members": 10**30},
        {**JOB, "unknown": 1},
        {**JOB, "account": "nobody"},
        {**JOB, "work_class": "nothing"},
        {**JOB, "members": 5},
        {**JOB, "payload": "x" * 5000},
        {"jobs": []},
        {"jobs": [JOB, {**JOB, "members": 0}]},
    ],
)
async def test_invalid_submission_names_the_remedy_and_accepts_nothing(api, store_state, body):
    """Guards against input that is accepted in part, and errors without a remedy."""
    status, reply = await _post(api, "/v1/jobs", body)
    assert status == 422
    assert all(issue["remedy"] for issue in reply["issues"])
    assert store_state.entries == {}


async def test_oversized_job_is_refused_with_the_size_that_fits(api):
    """Guards against a job that waits forever because it fits into no zone."""
    _, reply = await _post(api, "/v1/jobs", {**JOB, "members": 5})
    assert "at most 4 members" in reply["issues"][0]["remedy"]


async def test_submission_during_an_outage_is_not_accepted(api, store_state):
    """Guards against a submission that is reported as accepted while the store is down."""
    store_state.failures = StoreFailures(outage=True)
    status, body = await _post(api, "/v1/jobs", JOB)
    assert (status, body["jobs"][0]["outcome"]) == (503, "not_accepted")


async def test_status_waits_until_the_job_has_ended(api):
    """Guards against a status call that returns before the job has ended, so callers must poll."""
    _, submitted = await _post(api, "/v1/jobs", JOB)
    identifier = submitted["jobs"][0]["id"]
    states = []

    async def wait() -> None:
        reply = await api.request("GET", f"/v1/jobs/{identifier}?wait_s=30", timeout_s=40)
        states.append(msgspec.json.decode(reply.body)["state"])

    async with anyio.create_task_group() as group:
        group.start_soon(wait)
        await anyio.sleep(0.05)
        await _post(api, "/v1/jobs/cancel", {"ids": [identifier]})
    assert states == ["cancelled"]
