"""Client API of an instance under store failures and configuration changes."""

from __future__ import annotations

import json
import time

import anyio
import msgspec
import pytest

from controller_harness import until
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller import Intake
from foxtailwell.instance import JobsApi, OperatorKeys, OperatorWatch
from foxtailwell.instance._jobs_api import read_body
from foxtailwell.platform import messages
from foxtailwell_standins.platform_store import MemoryStore, StoreFaults

pytestmark = pytest.mark.anyio

JOB = "/q/5c0e7a21d94b36f8"
BODY = msgspec.json.encode({"spec": "text", "phases": [{"count": 2, "cpu": 500}]})


class Instance:
    """Client API of one instance, with store faults of its own."""

    def __init__(self, store, limit_s=5.0):
        self.faults = StoreFaults()
        client = store.client(self.faults)
        self.skew_s = 0.0
        keys = OperatorKeys(
            messages.CONFIGURATION_KEY,
            messages.ZONES_OUT_PREFIX,
            messages.decode_configuration,
            messages.MessageError,
        )
        self.operators = OperatorWatch(client, keys, self._now_s, limit_s)
        self.api = JobsApi(
            Intake(client),
            self.operators,
            messages.decode_submission,
            messages.MessageError,
            self._now_s,
            lambda: 1000,
            WorkMetrics(),
        )

    def _now_s(self):
        return time.monotonic() + self.skew_s

    async def call(self, method, path, key="k1", body=BODY):
        """Send one request and return status and decoded body."""

        async def read():
            return body

        reply = await self.api.handle(method, "h.example", path, key, read)
        return reply.status, msgspec.json.decode(reply.body)


def configure(store, version, keys=("k1",), prefixes=("/q/",), other_keys=(), open_prefixes=()):
    """Write a configuration to the store, as an operator does."""
    routes = [
        {
            "name": f"r{n}",
            "host": "h.example",
            "prefix": prefix,
            "service": "s",
            "no_auth": prefix in open_prefixes,
        }
        for n, prefix in enumerate(prefixes)
    ]
    tenants = [
        {"name": name, "api_keys": list(own), "guaranteed": {"gpu": 4}}
        for name, own in (("acme", keys), ("other", other_keys))
    ]
    value = {"version": version, "routes": routes, "services": [], "tenants": tenants}
    store.write(messages.CONFIGURATION_KEY, msgspec.json.encode(value))


@pytest.fixture
def store():
    """Return an in-memory store that holds a configuration."""
    store = MemoryStore()
    configure(store, 1)
    return store


@pytest.fixture
def instance(store):
    """Return an instance that uses `store`."""
    return Instance(store)


async def test_job_is_stored_once_however_often_it_is_sent(store, instance):
    """Guards against a duplicate job when a submission is repeated, also at another instance."""
    assert (await instance.call("POST", JOB))[0] == 200
    before = dict(store.items)
    assert (await Instance(store).call("POST", JOB))[0] == 200
    assert store.items == before
    assert await instance.call("GET", JOB) == (200, {"state": "queued"})
    assert await instance.call("GET", "/q/") == (200, {"pending": 1})


async def test_refused_job_never_runs_although_its_create_takes_effect_late(store, instance):
    """Guards against a 503 for a job whose delayed write is stored after the response."""
    await instance.operators.confirm(instance._now_s())
    instance.faults.delayed_writes = 1
    assert (await instance.call("POST", JOB))[0] == 503
    store.apply_delayed()
    assert (await instance.call("GET", JOB))[0] == 410
    assert (await instance.call("POST", JOB))[0] == 200
    assert (await instance.call("GET", JOB))[0] == 200


async def test_lost_response_to_a_create_is_read_back(store, instance):
    """Guards against a refusal of a job that the store has accepted."""
    await instance.operators.confirm(instance._now_s())
    instance.faults.lost_write_responses = 1
    assert (await instance.call("POST", JOB))[0] == 200


async def test_unknown_outcome_is_not_reported_as_a_refusal(store, instance):
    """Guards against a 503 while the write of the job may still take effect."""
    await instance.operators.confirm(instance._now_s())
    instance.faults.delayed_writes = 2
    assert (await instance.call("POST", JOB))[0] == 504


async def test_request_is_refused_while_the_store_refuses_calls(store, instance):
    """Guards against requests that hang while the store is unavailable."""
    await instance.operators.confirm(instance._now_s())
    instance.faults.is_down = True
    assert (await instance.call("POST", JOB))[0] == 503


async def test_removed_key_is_refused_by_an_instance_without_access_to_the_store(store, instance):
    """Guards against an instance that accepts a removed key while it cannot read the store."""
    assert (await instance.call("GET", "/q/"))[0] == 200
    configure(store, 2, keys=("k2",))
    instance.faults.is_down = True
    instance.skew_s = 4.9
    assert (await instance.call("GET", "/q/"))[0] == 503
    instance.faults.is_down = False
    await instance.operators.confirm(instance._now_s())
    assert (await instance.call("GET", "/q/"))[0] == 401
    assert (await instance.call("GET", "/q/", key="k2"))[0] == 200


async def test_new_key_and_route_are_looked_up_before_they_are_refused(store, instance):
    """Guards against 401 and 404 for a key or route that the instance has not read yet."""
    assert (await instance.call("GET", "/q/"))[0] == 200
    configure(store, 2, keys=("k1", "k2"), prefixes=("/q/", "/new/"))
    instance.skew_s = 0.2
    assert (await instance.call("GET", "/q/", key="k2"))[0] == 200
    configure(store, 3, keys=("k1", "k2"), prefixes=("/q/", "/new/", "/newer/"))
    instance.skew_s = 0.4
    assert (await instance.call("GET", "/newer/"))[0] == 200


async def test_unknown_route_is_refused_although_the_store_is_slow(store, instance):
    """Guards against a 503 for each unknown route while a confirmation takes longer than 0.1 s."""
    assert (await instance.call("GET", "/q/"))[0] == 200
    instance.faults.write_delay_s = 0.3
    instance.skew_s = 0.2
    calls = store.calls
    assert (await instance.call("GET", "/never/"))[0] == 404
    assert store.calls == calls + 1


async def test_request_is_not_answered_on_an_older_configuration_than_an_earlier_one(
    store, instance
):
    """Guards against a dropped route that is in use after a request for a new one was sent."""
    assert (await instance.call("GET", "/q/"))[0] == 200
    configure(store, 2, prefixes=("/new/", "/kept/"))
    instance.faults.write_delay_s = 0.3
    instance.skew_s = 0.2
    replies = {}

    async def send(path):
        replies[path] = (await instance.call("GET", path))[0]

    async with anyio.create_task_group() as group:
        group.start_soon(send, "/new/")
        await anyio.sleep(0.1)
        group.start_soon(send, "/q/")
        group.start_soon(send, "/kept/")
    assert replies == {"/new/": 200, "/q/": 404, "/kept/": 200}


async def test_requests_do_not_wait_for_each_other_while_the_store_is_silent(instance):
    """Guards against requests that wait for one failing recheck after the other."""
    assert (await instance.call("GET", "/q/"))[0] == 200
    instance.skew_s = 0.2
    instance.faults.silence_s = 1.0
    statuses = []

    async def send(path):
        statuses.append((await instance.call("GET", path))[0])

    with anyio.fail_after(2.5):
        async with anyio.create_task_group() as group:
            for path in ("/a/", "/b/", "/c/", "/q/", "/q/"):
                group.start_soon(send, path)
                await anyio.sleep(0.01)
    assert statuses == [503] * 5


async def test_submission_on_an_outdated_configuration_is_checked_again(store, instance):
    """Guards against a job that is stored under a key that was just removed."""
    await instance.operators.confirm(instance._now_s())
    configure(store, 2, keys=())
    assert (await instance.call("POST", JOB))[0] == 401
    assert not any(key.endswith("5c0e7a21d94b36f8") for key in store.items)


async def test_older_configuration_is_never_applied_again(store, instance):
    """Guards against a configuration that goes back to an older version in a running process."""
    configure(store, 7)
    await instance.operators.confirm(instance._now_s())
    configure(store, 6, keys=())
    instance.skew_s = 1.0
    assert (await instance.call("GET", "/q/"))[0] == 200


@pytest.mark.parametrize("is_history_lost", [False, True])
async def test_zone_that_is_back_is_not_taken_out_by_a_late_response(
    store, instance, group, is_history_lost
):
    """Guards against a zone that gets no starts any more: no later change would bring it back."""
    key = f"{messages.ZONES_OUT_PREFIX}a"
    await instance.operators.confirm(instance._now_s())
    group.start_soon(instance.operators.run)

    async def reaches(zones):
        return await until(lambda: instance.operators.view().zones_out == zones)

    store.write(key, b"{}")
    conflict = {key: store.items[key]}
    instance.operators.view().apply_conflict(conflict)
    assert await reaches({"a"})
    store.delete(key)
    if is_history_lost:
        store.drop_history()
    assert await reaches(set())
    instance.operators.view().apply_conflict(conflict)
    assert not instance.operators.view().zones_out
    store.write(key, b"{}")
    instance.operators.view().apply_conflict({key: store.items[key]})
    assert instance.operators.view().zones_out == {"a"}


async def test_restarted_instance_does_not_accept_a_removed_key(store, instance):
    """Guards against a key that is in use again after a restart, also while the store is away."""
    assert (await instance.call("GET", "/q/"))[0] == 200
    configure(store, 2, keys=("k2",))
    restarted = Instance(store)
    restarted.faults.is_down = True
    assert (await restarted.call("GET", "/q/"))[0] == 503
    restarted.faults.is_down = False
    await restarted.operators.confirm(restarted._now_s())
    assert (await restarted.call("GET", "/q/"))[0] == 401
    assert (await restarted.call("GET", "/q/", key="k2"))[0] == 200


async def test_request_before_the_first_configuration_is_refused_temporarily():
    """Guards against a final 404 before the first configuration is read."""
    assert (await Instance(MemoryStore()).call("POST", JOB))[0] == 503


async def test_cancelled_and_unknown_jobs(store, instance):
    """Guards against a cancellation that is acknowledged but not stored."""
    assert (await instance.call("DELETE", JOB))[0] == 410
    await instance.call("POST", JOB)
    assert (await instance.call("DELETE", JOB))[0] == 200
    assert "foxtailwell/in/cancel/5c0e7a21d94b36f8" in store.items


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b"{}",
        b'{"spec":1,"phases":[]}',
        b'{"spec":"","phases":[]}',
        b'{"spec":"","phases":[{"count":0}]}',
        b'{"spec":"","phases":[{"count":1,"after":[0]}]}',
    ],
)
async def test_bad_submission_is_refused_with_its_reason(instance, body):
    """Guards against invalid input that ends the process or is stored."""
    status, reply = await instance.call("POST", JOB, body=body)
    assert (status, bool(reply["error"])) == (400, True)


async def test_request_is_refused_at_once_while_the_store_is_known_to_be_unavailable(
    store, instance
):
    """Guards against requests that wait until their clients time out."""
    await instance.operators.confirm(instance._now_s())
    instance.faults.delayed_writes = 2
    assert (await instance.call("POST", JOB))[0] == 504
    revision = store.revision
    assert (await instance.call("POST", "/q/" + "b" * 16))[0] == 503
    assert (await instance.call("GET", JOB))[0] == 503
    assert store.revision == revision
    await instance.operators.confirm(instance._now_s())
    assert (await instance.call("POST", JOB))[0] == 200


async def test_return_of_a_silent_store_is_noticed_before_lost_calls_time_out(store, instance):
    """Guards against seconds of refusals after an outage, until the last lost call times out."""
    async with anyio.create_task_group() as group:
        group.start_soon(instance.operators.run)
        await anyio.sleep(0.1)
        instance.faults.silence_s = 3.0
        instance.operators.report_store_failure()
        await anyio.sleep(0.5)
        assert (await instance.call("POST", JOB))[0] == 503
        instance.faults.silence_s = 0.0
        await anyio.sleep(0.5)
        assert (await instance.call("POST", JOB))[0] == 200
        await anyio.sleep(3.0)
        assert not instance.operators.is_store_unavailable
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "change",
    [
        {"phases": [{"count": 10**9}]},
        {"phases": [{"count": 2}], "repeat_count": 10**9},
        {"phases": [{"count": 10**400}]},
        {"phases": [{"count": 1, "cpu": -1}]},
        {"phases": [{"count": 1, "estimate_ms": 10**400}]},
        {"phases": [{"count": 1, "max_per_server": -1}]},
        {"phases": [{"count": 1}], "start_at_ms": 10**400},
        {"phases": [{"count": 1}], "interval_ms": -1},
        {"phases": [{"count": 1}], "repeat_count": -1},
    ],
)
async def test_job_out_of_range_is_refused_and_not_stored(change):
    """Guards against a job whose tasks fill the memory of every controller, or end its term."""
    store = MemoryStore()
    configure(store, 1)
    instance = Instance(store)
    body = json.dumps({"spec": "text"} | change).encode()
    assert (await instance.call("POST", JOB, body=body))[0] == 400
    assert not any(key.startswith("foxtailwell/") for key in store.items)


async def test_body_above_the_limit_is_refused_and_not_read_to_its_end():
    """Guards against a client that fills the memory of an instance with one request."""
    parts = 0

    async def receive():
        nonlocal parts
        parts += 1
        return {"type": "http.request", "body": b" " * 300_000, "more_body": parts < 99}

    body = await read_body(receive)
    store = MemoryStore()
    configure(store, 1)
    assert (await Instance(store).call("POST", JOB, body=body))[0] == 413
    assert parts == 4


async def test_jobs_with_one_id_on_two_queues_are_two_jobs(store, instance):
    """Guards against a job that is accepted, never run, and shown with the states of another."""
    configure(store, 2, prefixes=("/q/", "/r/", "/s/"), other_keys=("k2",))
    await instance.operators.confirm(instance._now_s())
    assert (await instance.call("POST", JOB))[0] == 200
    assert (await instance.call("POST", JOB.replace("q", "r"), key="k2"))[0] == 200
    for prefix, key in (("/q/", "k1"), ("/r/", "k2")):
        assert await instance.call("GET", prefix, key=key) == (200, {"pending": 1})
        path = JOB.replace("/q/", prefix)
        assert await instance.call("GET", path, key=key) == (200, {"state": "queued"})
    other = JOB.replace("q", "s")
    assert [(await instance.call(m, other))[0] for m in ("GET", "DELETE")] == [410, 410]
    before = set(store.items)
    assert (await instance.call("DELETE", JOB.replace("q", "r"), key="k2"))[0] == 200
    (mark,) = set(store.items) - before
    assert mark.startswith("foxtailwell/in/cancel/5c0e7a21d94b36f8@")


@pytest.mark.parametrize("is_open", [False, True])
async def test_job_of_another_account_is_neither_shown_nor_cancelled(store, instance, is_open):
    """Guards against a client that reads or cancels another account's job by its ID."""
    open_prefixes = ("/q/",) if is_open else ()
    configure(store, 2, other_keys=("k2",), open_prefixes=open_prefixes)
    await instance.operators.confirm(instance._now_s())
    assert (await instance.call("POST", JOB))[0] == 200
    expected = [200, 200, 200] if is_open else [409, 410, 410]
    seen = [(await instance.call(m, JOB, key="k2"))[0] for m in ("POST", "GET", "DELETE")]
    assert seen == expected


async def test_id_that_stands_for_another_job_is_refused_with_the_remedy(store, instance):
    """Guards against a submission that is accepted as a copy of another job, and not run."""
    assert (await instance.call("POST", JOB))[0] == 200
    before = dict(store.items)
    other = msgspec.json.encode({"spec": "another", "phases": [{"count": 2, "cpu": 500}]})
    status, body = await instance.call("POST", JOB, body=other)
    assert status == 409
    assert "choose another ID" in body["error"]
    assert store.items == before


async def test_job_stays_one_job_after_its_key_is_replaced(store, instance):
    """Guards against a copy that is refused, or stored again, because it carries a newer key."""
    assert (await instance.call("POST", JOB))[0] == 200
    before = set(store.items)
    configure(store, 2, keys=("k3",))
    await instance.operators.confirm(instance._now_s())
    assert (await instance.call("POST", JOB, key="k3"))[0] == 200
    assert set(store.items) == before
    assert (await instance.call("GET", JOB, key="k3"))[0] == 200
