"""Decoding of the platform's messages and settings, and the HTTP client of its services."""

from __future__ import annotations

import asyncio
import gc
import math

import anyio
import msgspec
import pytest

from foxtailwell.adapters.http_connection import CallError, HttpEndpoint
from foxtailwell.core.errors import ValidationError
from foxtailwell.platform import messages
from foxtailwell.platform.settings import load_instance_settings
from foxtailwell.platform.workers import connect_worker, decode_worker_entry
from foxtailwell.workflows import Resources

ENTRY = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "born": 1700000000000,
    "clock_ms": 5,
    "capacity": {"cpu": 1000, "mem_mb": 2, "gpu": 8},
    "labels": ["kind", "r1-3"],
}
SETTINGS = {
    "node_name": "n1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen_addrs": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "port_range": [7000, 7015],
    "platform": {"address": "10.0.0.9:1"},
}


def test_worker_entry_gives_rack_and_capacity():
    """Guards against placement that ignores racks."""
    entry = decode_worker_entry("i-1", msgspec.json.encode(ENTRY))
    assert (entry.rack, entry.capacity, entry.is_ready) == ("r1-3", Resources(1000, 2, 8), True)


@pytest.mark.parametrize(
    "change",
    [{"state": "odd"}, {"address": 7}, {"address": "nowhere"}, {"born": "x"}, {"capacity": []}],
)
def test_invalid_worker_entry_is_ignored(change):
    """Guards against an entry of another program that is used or ends the process."""
    assert decode_worker_entry("i-1", msgspec.json.encode(ENTRY | change)) is None
    assert decode_worker_entry("i-1", b"\xff\x00") is None


@pytest.mark.anyio
@pytest.mark.parametrize(("count", "is_complete"), [(0, True), (499, True), (500, False)])
async def test_listing_with_the_most_ends_may_lack_further_ones(anyio_server, count, is_complete):
    """Guards against a run that is missing from a full list of ends and counts as lost."""
    ended = [[n + 1, f"{'a' * 16}.0.0.{n}", 1, "done", ""] for n in range(count)]
    body = msgspec.json.encode({"clock_ms": 1, "born": 2, "running": [], "ended": ended})

    async def handle(stream):
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async with anyio.create_task_group() as group:
        calls = connect_worker("i-1", await anyio_server(group, handle))
        listing = await calls.renew_lease(None, 1, 0, 0)
        assert (len(listing.ended), listing.is_complete) == (count, is_complete)
        group.cancel_scope.cancel()


def test_filling_tasks_request_no_processors():
    """Guards against filling tasks that prevent other tasks from starting."""
    body = {"spec": "s", "phases": [{"count": 1, "cpu": 900, "gpu": 1, "fills": True}]}
    job = messages.decode_submission("a" * 16, "q", "acme", 0, msgspec.json.encode(body))
    assert job.steps[0].request == Resources(0, 0, 1)


def test_lasting_and_serving_steps_are_decoded():
    """Guards against preemption of lasting tasks whose step limits unavailable tasks."""
    phases = [
        {"count": 2, "perpetual": True, "max_unavailable": 1, "target_ms": 80},
        {"count": 2, "perpetual": True},
    ]
    body = msgspec.json.encode({"spec": "s", "phases": phases})
    steps = messages.decode_submission("a" * 16, "q", "acme", 0, body).steps
    assert [(s.is_lasting, s.max_unavailable, s.is_serving) for s in steps] == [
        (True, 1, True),
        (True, None, False),
    ]


def test_unreadable_configuration_is_refused():
    """Guards against a configuration that is decoded in part."""
    with pytest.raises(messages.MessageError):
        messages.decode_configuration(b'{"version":"x"}')


def test_longest_prefix_selects_the_queue():
    """Guards against jobs that are put into the queue of a shorter prefix."""
    routes = [
        {"name": n, "host": "H.example", "prefix": p, "service": "s"}
        for n, p in (("short", "/a/"), ("long", "/a/b/"))
    ]
    configuration = messages.decode_configuration(
        msgspec.json.encode({"version": 1, "routes": routes})
    )
    assert configuration.find_route("h.example", "/a/b/c").queue.name == "long"
    assert configuration.find_route("other", "/a/b/c") is None


def test_settings_are_read_and_errors_name_the_field(tmp_path):
    """Guards against an instance that starts with incomplete settings."""
    path = tmp_path / "local.json"
    path.write_bytes(msgspec.json.encode(SETTINGS | {"new_field": 1}))
    assert load_instance_settings(str(path)).metrics_address == "10.0.0.1:7000"
    path.write_bytes(msgspec.json.encode({k: v for k, v in SETTINGS.items() if k != "zone"}))
    with pytest.raises(ValidationError, match="zone"):
        load_instance_settings(str(path))
    with pytest.raises(ValidationError):
        load_instance_settings(str(tmp_path / "absent.json"))
    path.write_bytes(b'{"unread":' + b"[" * 100_000 + b"]" * 100_000 + b"}")
    with pytest.raises(ValidationError):
        load_instance_settings(str(path))


def test_bounds_of_a_guarantee_are_read(tmp_path):
    """Guards against reservations that ignore in which time guarantees have to be met."""
    path = tmp_path / "local.json"
    bounds = {"reclaim_ms": 2700, "stop_timeout_ms": 200}
    path.write_bytes(msgspec.json.encode(SETTINGS | {"bounds": bounds}))
    settings = load_instance_settings(str(path))
    assert (settings.reclaim_s, settings.stop_timeout_s) == (2.7, 0.2)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("max_hold_ms", 10),
        ("contact_ms", 3),
        ("revoke_ms", -1),
        ("reclaim_ms", 3),
        ("grace_s", 120_000),
        ("status_s", -1),
    ],
)
def test_setting_of_another_unit_is_refused(tmp_path, field, value):
    """Guards against leases and limits that are a thousand times too short or too long."""
    path = tmp_path / "local.json"
    path.write_bytes(msgspec.json.encode(SETTINGS | {"bounds": {field: value}}))
    with pytest.raises(ValidationError) as caught:
        load_instance_settings(str(path))
    (issue,) = caught.value.issues
    assert issue.path == f"$.bounds.{field}"
    assert "unit" in issue.remedy


@pytest.mark.anyio
async def test_connection_is_reused_and_replaced_when_closed(anyio_server):
    """Guards against a new connection for each call, and against calls on a closed connection."""
    connections = []

    async def handle(stream):
        connections.append(stream)
        async with stream:
            for _ in range(2):
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    async with anyio.create_task_group() as group:
        endpoint = HttpEndpoint(await anyio_server(group, handle))
        for _ in range(4):
            reply = await endpoint.call("GET", "/", timeout_s=1.0)
            assert (reply.status, reply.body) == (200, b"{}")
            await anyio.sleep(0.01)
        assert len(connections) == 2
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_call_without_progress_times_out_and_slow_progress_does_not(anyio_server):
    """Guards against a call that never ends, and against a timeout of large responses."""

    async def handle(stream):
        async with stream:
            request = await stream.receive()
            if b"/silent" in request:
                await anyio.sleep_forever()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
            for _ in range(5):
                await anyio.sleep(0.1)
                await stream.send(b"x")

    async with anyio.create_task_group() as group:
        endpoint = HttpEndpoint(await anyio_server(group, handle))
        with pytest.raises(CallError) as error:
            await endpoint.call("GET", "/silent", timeout_s=0.2)
        assert error.value.may_have_been_sent
        assert (await endpoint.call("GET", "/slow", timeout_s=0.3)).body == b"xxxxx"
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_call_that_a_later_one_overtakes_fails_early_unless_it_may_wait(anyio_server):
    """Guards against waiting out the timeouts of calls that a server lost in an outage."""

    async def handle(stream):
        async with stream:
            request = await stream.receive()
            if b"/lost" in request:
                await anyio.sleep_forever()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await anyio.sleep_forever()

    failed_s = {}

    async def call_lost(endpoint, overtaken_after_s):
        started_s = anyio.current_time()
        with pytest.raises(CallError) as error:
            await endpoint.call("GET", "/lost", timeout_s=1.0, overtaken_after_s=overtaken_after_s)
        assert error.value.may_have_been_sent
        failed_s[overtaken_after_s] = anyio.current_time() - started_s

    async with anyio.create_task_group() as group:
        endpoint = HttpEndpoint(await anyio_server(group, handle))
        async with anyio.create_task_group() as calls:
            for overtaken_after_s in (0.1, 0.5, math.inf):
                calls.start_soon(call_lost, endpoint, overtaken_after_s)
            await anyio.sleep(0.2)
            await endpoint.call("GET", "/", timeout_s=1.0)
        group.cancel_scope.cancel()
    assert failed_s[0.1] < 0.5
    assert failed_s[0.5] > 0.9
    assert failed_s[math.inf] > 0.9


@pytest.mark.anyio
async def test_abandoned_call_leaves_no_unhandled_error(anyio_server):
    """Guards against errors that asyncio reports because no caller retrieves them."""
    unhandled = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: unhandled.append(context))

    async def handle(stream):
        async with stream:
            await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        endpoint = HttpEndpoint(await anyio_server(group, handle))
        with pytest.raises(CallError):
            await endpoint.call("GET", "/", timeout_s=0.1)
        with anyio.move_on_after(0.1):
            await endpoint.call("GET", "/", timeout_s=5.0)
        await anyio.sleep(0.05)
        gc.collect()
        group.cancel_scope.cancel()
    assert not unhandled


@pytest.mark.anyio
async def test_refused_connection_reports_that_nothing_was_sent():
    """Guards against an unknown outcome although no byte was sent."""
    with pytest.raises(CallError) as error:
        await HttpEndpoint("127.0.0.1:1").call("GET", "/", timeout_s=0.2)
    assert not error.value.may_have_been_sent
